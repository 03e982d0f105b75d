/*
 * Reservations ahead: capacity for tasks whose attempts will surely end on machines that went
 * silent together. It is taken out of what stays free elsewhere, so that nothing else takes it
 * before the tasks may be placed. Nothing is placed here and nothing is preempted.
 */
#include "pass.h"

/* Whether a job's attempts may move to a zone, as if those in avoided zones were gone. */
static bool ws_may_move_to_zone(const struct ws_core *core, const struct ws_job *job, int zone,
				uint32_t zones_with_attempts)
{
	if (!ws_zone_is_among(zone, ~core->subsystems.zones_avoided))
		return false;
	if (job->pinned_zone >= 0 && job->pinned_zone != zone)
		return false;
	if (job->spec.one_zone && zones_with_attempts && zones_with_attempts != 1u << zone)
		return false;
	return !job->spec.spread || job->attempts_by_zone[zone] < (job->spec.tasks + 1) / 2;
}

/* The zones of which that is true, a bit each. */
static uint32_t ws_reservation_zones(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t open_zones = ~core->subsystems.zones_avoided;
	uint32_t zones_with_attempts = 0, zones = 0;

	for (int zone = 0; zone < core->catalog.zone_count; zone++)
		if (job->attempts_by_zone[zone] && ws_zone_is_among(zone, open_zones))
			zones_with_attempts |= 1u << zone;
	for (int zone = 0; zone < core->catalog.zone_count; zone++)
		if (ws_may_move_to_zone(core, job, zone, zones_with_attempts))
			zones |= 1u << zone;
	return zones;
}

/* Reserves planned capacity for tasks; how many found none. */
static uint32_t ws_reserve_capacity(struct ws_scheduling_pass *pass, struct ws_job *job,
				    uint32_t zones, uint32_t tasks)
{
	struct ws_core *core = pass->core;
	uint32_t lacking = tasks;

	for (size_t i = pass->reservation_scan_from; i < pass->machine_count && lacking && zones;
	     i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		core->scheduler.steps++;
		if (i == pass->reservation_scan_from &&
		    machine->planned_cpus + WS_CAPACITY_TOLERANCE < pass->smallest_reserved_cpus)
			pass->reservation_scan_from++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_zone_is_among(machine->zone_index, zones))
			continue;
		fit = ws_tasks_fit_planned(job, machine, lacking);
		if (fit && !machine->attempt_count) /* it does not go back as empty meanwhile */
			machine->reserved_until = core->now + core->settings->report_s;
		lacking -= fit;
		for (uint32_t k = 0; k < fit; k++)
			ws_planned_capacity_take(job, machine);
	}
	return lacking;
}

bool ws_has_live_replica(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_GONE && !attempt->stopping &&
		    !ws_heartbeat_overdue(core, attempt->machine->last_heard_at))
			return true;
	return false;
}

/* Services whose replicas may all be alive still, on silent machines: capacity for one of each. */
void ws_reserve_first_replicas(struct ws_scheduling_pass *pass)
{
	struct ws_core *core = pass->core;
	struct ws_job *job, *next_job;

	HASH_ITER (hh, core->jobs.by_id, job, next_job)
		if (job->replicas_apart && job->reserve_ahead && !job->waiting && job->team &&
		    !ws_job_is_over(job) && !ws_has_live_replica(core, job))
			job->reserved_ahead =
			    1 - ws_reserve_capacity(pass, job, ws_reservation_zones(core, job), 1);
}

/* Attempts of a job that may be alive on silent machines. */
static uint32_t ws_silent_attempts(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;
	uint32_t count = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		count += attempt->state != WS_ATTEMPT_GONE && !attempt->stopping &&
			 ws_heartbeat_overdue(core, attempt->machine->last_heard_at);
	return count;
}

/*
 * Reserves capacity for a job; what has none becomes unmet demand. The subsystem's number of tasks
 * may be a survey old: meanwhile some may be gone, and wait as tasks already, or be heard again.
 */
static void ws_reserve_for_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	uint32_t zones = ws_reservation_zones(pass->core, job);
	uint32_t tasks = ws_silent_attempts(pass->core, job);
	uint32_t lacking;

	if (tasks > job->reserve_ahead)
		tasks = job->reserve_ahead;
	tasks = tasks > job->reserved_ahead ? tasks - job->reserved_ahead : 0;
	lacking = ws_reserve_capacity(pass, job, zones, tasks);
	job->reserved_ahead = 0;
	if (lacking && zones)
		ws_unmet_demand_add(pass->core, job, lacking, zones);
}

/* Lists the jobs that a subsystem wants capacity reserved for, in queue order; how many. */
static size_t ws_list_jobs_with_reservations(struct ws_scheduling_pass *pass)
{
	struct ws_job *job, *next_job;
	size_t count = 0;

	HASH_ITER (hh, pass->core->jobs.by_id, job, next_job)
		if (job->reserve_ahead && job->team && !ws_job_is_over(job))
			pass->jobs[count++] = job;
	if (count)
		qsort(pass->jobs, count, sizeof(*pass->jobs), ws_queue_order_compare);
	return count;
}

void ws_reserve_ahead(struct ws_scheduling_pass *pass)
{
	size_t count;

	if (!pass->core->subsystems.moves)
		return;
	count = ws_list_jobs_with_reservations(pass);
	if (!count)
		return;
	pass->smallest_reserved_cpus = pass->jobs[0]->spec.cpus;
	for (size_t i = 1; i < count; i++)
		pass->smallest_reserved_cpus =
		    fmin(pass->smallest_reserved_cpus, pass->jobs[i]->spec.cpus);
	for (size_t i = 0; i < count; i++)
		ws_reserve_for_job(pass, pass->jobs[i]);
}
