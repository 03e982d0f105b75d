/*
 * Determines which zones and machines a job may use, and how much capacity machines have left.
 *
 * A machine's free capacity is its size minus the resources of all live attempts on it. Its planned
 * capacity is what a pass may allocate: the free capacity plus that of stopping tasks, minus what
 * the pass has already allocated to attempts or reserved.
 */
#include "pass.h"

/* A job with one_zone keeps to the zone of its attempts. A job with spread may have at most half of
 * its tasks, rounded up, in one zone. */
bool ws_zone_is_eligible(const struct ws_core *core, const struct ws_job *job, int zone)
{
	if (zone < 0 || (job->pinned_zone >= 0 && job->pinned_zone != zone))
		return false;
	if (job->spec.one_zone)
		for (int i = 0; i < core->catalog.zone_count; i++)
			if (i != zone && job->attempts_by_zone[i])
				return false;
	return !job->spec.spread || job->attempts_by_zone[zone] < (job->spec.tasks + 1) / 2;
}

uint32_t ws_eligible_zones(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t zones = 0;

	for (int i = 0; i < core->catalog.zone_count; i++)
		if (ws_zone_is_eligible(core, job, i))
			zones |= 1u << i;
	return zones;
}

bool ws_zone_in_mask(int zone, uint32_t zones)
{
	return zone >= 0 && (zones >> zone & 1);
}

/* Avoided machines are allowed if the job has lacked capacity for longer than a lease, or if all of
 * its eligible zones are avoided. */
bool ws_job_may_use_avoided(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t avoided = core->subsystems.zones_avoided;

	if (job->unmet_since > 0 && core->now - job->unmet_since > core->settings->lease_s)
		return true;
	return avoided && job->waiting && !(ws_eligible_zones(core, job) & ~avoided);
}

bool ws_machine_is_eligible(const struct ws_job *job, const struct ws_machine *machine)
{
	return machine->type && (job->eligible_types >> machine->type_index & 1) &&
	       (!machine->preemptible || job->spec.allows_preemptible) &&
	       (!machine->avoided || job->may_use_avoided);
}

bool ws_capacity_fits_task(const struct ws_capacity *capacity, const struct ws_job *job)
{
	const struct ws_capacity *task = &job->task_capacity;

	return task->cpus <= capacity->cpus + WS_CAPACITY_TOLERANCE &&
	       task->gpus <= capacity->gpus + WS_CAPACITY_TOLERANCE &&
	       task->mem_gb <= capacity->mem_gb + WS_CAPACITY_TOLERANCE &&
	       task->report_bytes <= capacity->report_bytes + WS_CAPACITY_TOLERANCE;
}

bool ws_has_free_capacity(const struct ws_job *job, const struct ws_machine *machine)
{
	const struct ws_capacity free_capacity = ws_machine_free_capacity(machine);

	return ws_capacity_fits_task(&free_capacity, job);
}

bool ws_has_planned_capacity(const struct ws_job *job, const struct ws_machine *machine)
{
	return ws_capacity_fits_task(&machine->planned, job);
}

void ws_planned_capacity_reserve(const struct ws_job *job, struct ws_machine *machine)
{
	ws_capacity_add(&machine->planned, &job->task_capacity, -1);
}

void ws_planned_capacity_release(const struct ws_job *job, struct ws_machine *machine)
{
	ws_capacity_add(&machine->planned, &job->task_capacity, 1);
}

uint32_t ws_tasks_fit_planned(const struct ws_job *job, const struct ws_machine *machine,
			      uint32_t limit)
{
	return ws_tasks_fit(&job->task_capacity, &machine->planned, limit);
}

uint32_t ws_tasks_fit_now(const struct ws_job *job, const struct ws_machine *machine,
			  uint32_t limit)
{
	const struct ws_capacity free_capacity = ws_machine_free_capacity(machine);

	return ws_tasks_fit(&job->task_capacity, &free_capacity,
			    ws_tasks_fit_planned(job, machine, limit));
}

bool ws_image_is_cached(const struct ws_machine *machine, int image)
{
	for (int i = 0; i < machine->image_cache_count; i++)
		if (machine->image_cache[i] == image)
			return true;
	return false;
}
