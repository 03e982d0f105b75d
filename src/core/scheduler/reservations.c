/*
 * Advance reservations: when a group of machines becomes unreachable, capacity elsewhere is
 * reserved for the tasks whose attempts on them will end, so that no other work uses it before
 * these tasks may be placed again. Only capacity that the pass has left over is reserved; nothing
 * is placed or preempted here.
 */
#include "pass.h"

/* Returns true if a job's tasks may be placed in a zone once its attempts in avoided zones have
 * ended. */
static bool ws_may_move_to_zone(const struct ws_core *core, const struct ws_job *job, int zone,
				uint32_t zones_with_attempts)
{
	if (!ws_zone_in_mask(zone, ~core->subsystems.zones_avoided))
		return false;
	if (job->pinned_zone >= 0 && job->pinned_zone != zone)
		return false;
	if (job->spec.one_zone && zones_with_attempts && zones_with_attempts != 1u << zone)
		return false;
	return !job->spec.spread || job->attempts_by_zone[zone] < (job->spec.tasks + 1) / 2;
}

/* Returns the zones in which a job's tasks may be placed once its attempts in avoided zones have
 * ended, as a bit mask. */
static uint32_t ws_reservation_zones(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t open_zones = ~core->subsystems.zones_avoided;
	uint32_t zones_with_attempts = 0, zones = 0;

	for (int zone = 0; zone < core->catalog.zone_count; zone++)
		if (job->attempts_by_zone[zone] && ws_zone_in_mask(zone, open_zones))
			zones_with_attempts |= 1u << zone;
	for (int zone = 0; zone < core->catalog.zone_count; zone++)
		if (ws_may_move_to_zone(core, job, zone, zones_with_attempts))
			zones |= 1u << zone;
	return zones;
}

/* Reserves planned capacity for tasks of a job. Returns the number of tasks that do not fit. */
static uint32_t ws_reserve_capacity(struct ws_scheduling_pass *pass, struct ws_job *job,
				    uint32_t zones, uint32_t tasks)
{
	struct ws_core *core = pass->core;
	uint32_t missing = tasks;

	for (size_t i = pass->reservation_scan_start; i < pass->machine_count && missing && zones;
	     i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		core->scheduler.steps++;
		if (i == pass->reservation_scan_start &&
		    machine->planned.cpus + WS_CAPACITY_TOLERANCE < pass->smallest_reserved_cpus)
			pass->reservation_scan_start++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_zone_in_mask(machine->zone_index, zones))
			continue;
		fit = ws_tasks_fit_planned(job, machine, missing);
		if (fit && !machine->attempt_count) /* protects the empty machine from scale-in */
			machine->reserved_until = core->now + core->settings->heartbeat_s;
		missing -= fit;
		for (uint32_t k = 0; k < fit; k++)
			ws_planned_capacity_reserve(job, machine);
	}
	return missing;
}

bool ws_has_live_replica(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_RELEASED && !attempt->stopping &&
		    !ws_heartbeat_overdue(core, attempt->machine->last_contact_at))
			return true;
	return false;
}

/* Reserves capacity for one replica of each service that has live attempts, all of them on
 * machines with overdue heartbeats. */
void ws_reserve_first_replicas(struct ws_scheduling_pass *pass)
{
	struct ws_core *core = pass->core;
	struct ws_job *job, *next_job;

	HASH_ITER (hh, core->jobs.by_id, job, next_job)
		if (job->replicas_apart && job->reserve_ahead && !job->waiting && job->team &&
		    !ws_job_is_finished(job) && !ws_has_live_replica(core, job))
			job->reserved_ahead =
			    1 - ws_reserve_capacity(pass, job, ws_reservation_zones(core, job), 1);
}

/* Returns the number of live attempts of a job on machines with overdue heartbeats. */
static uint32_t ws_unreachable_attempts(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;
	uint32_t count = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		count += attempt->state != WS_ATTEMPT_RELEASED && !attempt->stopping &&
			 ws_heartbeat_overdue(core, attempt->machine->last_contact_at);
	return count;
}

/*
 * Reserves capacity for a job and adds tasks that do not fit to the unmet demand. The number of
 * tasks that a subsystem requested dates from its last survey. It is limited to the attempts that
 * are unreachable now, since the others may have ended, so that their tasks are waiting already, or
 * may be reachable again.
 */
static void ws_reserve_for_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	uint32_t zones = ws_reservation_zones(pass->core, job);
	uint32_t tasks = ws_unreachable_attempts(pass->core, job);
	uint32_t missing;

	if (tasks > job->reserve_ahead)
		tasks = job->reserve_ahead;
	tasks = tasks > job->reserved_ahead ? tasks - job->reserved_ahead : 0;
	missing = ws_reserve_capacity(pass, job, zones, tasks);
	job->reserved_ahead = 0;
	if (missing && zones)
		ws_unmet_demand_add(pass->core, job, missing, zones);
}

/* Lists the jobs for which a subsystem requested advance reservations, in queue order. Returns
 * their number. */
static size_t ws_list_jobs_with_reservations(struct ws_scheduling_pass *pass)
{
	struct ws_job *job, *next_job;
	size_t count = 0;

	HASH_ITER (hh, pass->core->jobs.by_id, job, next_job)
		if (job->reserve_ahead && job->team && !ws_job_is_finished(job))
			pass->jobs[count++] = job;
	if (count)
		qsort(pass->jobs, count, sizeof(*pass->jobs), ws_queue_order_compare);
	return count;
}

void ws_make_advance_reservations(struct ws_scheduling_pass *pass)
{
	size_t count;

	if (!pass->core->subsystems.any_move_requested)
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
