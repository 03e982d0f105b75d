/*
 * The scheduling pass: updates the state of jobs and machines, places waiting jobs in queue order
 * and makes advance reservations. After the caller has planned the scale-out for the unmet demand,
 * the pass ends with the consolidation of replicas.
 */
#include "pass.h"

/*
 * Steps of work per machine after which a pass searches for no more preemption victims. Without
 * this limit, a full fleet and hundreds of waiting jobs that each search for victims made a pass
 * longer than the leader's session TTL, so that one leader after another lost its session. Jobs
 * that reach the limit continue in a later pass.
 */
#define WS_PASS_STEPS 100
/* Machine lists in the scratch memory: usable, open and stopping machines, and candidates. */
#define WS_PASS_MACHINE_LISTS 4

/*
 * Returns the scratch memory for the lists of one pass. It is reallocated only if it is too small
 * for the fleet and the jobs, since allocating and clearing it each time took a noticeable part of
 * short passes.
 */
static void *ws_pass_scratch(struct ws_core *core, size_t machine_count, size_t job_count)
{
	struct ws_scheduler *scheduler = &core->scheduler;
	size_t bytes = (machine_count + 1) * (sizeof(struct ws_preemption_candidate) +
					      WS_PASS_MACHINE_LISTS * sizeof(struct ws_machine *)) +
		       (job_count + 1) * sizeof(struct ws_job *);

	if (bytes > scheduler->scratch_size) {
		free(scheduler->scratch);
		scheduler->scratch_size = bytes + bytes / 2;
		scheduler->scratch = malloc(scheduler->scratch_size);
		if (!scheduler->scratch)
			abort();
	}
	return scheduler->scratch;
}

/* Divides the scratch memory into the lists of a pass. */
static void ws_pass_init_lists(struct ws_core *core, struct ws_scheduling_pass *pass)
{
	size_t machine_count = core->fleet.first_fit_count;

	pass->preemption_candidates =
	    ws_pass_scratch(core, machine_count, HASH_COUNT(core->jobs.by_id));
	pass->machines = (struct ws_machine **)(pass->preemption_candidates + machine_count);
	pass->candidates = pass->machines + machine_count;
	pass->open_machines = pass->candidates + machine_count;
	pass->stopping_machines = pass->open_machines + machine_count;
	pass->jobs = (struct ws_job **)(pass->stopping_machines + machine_count);
}

/* Initializes the lists and limits of a pass, and reserves capacity within each team's limit for
 * attempts of unknown teams. */
static void ws_pass_begin(struct ws_core *core, struct ws_scheduling_pass *pass)
{
	double reserved_cpus, reserved_gpus;
	uint64_t machines_searched;

	ws_first_fit_order_update(core);
	ws_pass_init_lists(core, pass);
	machines_searched = (uint64_t)core->fleet.first_fit_count + WS_VICTIM_CANDIDATES;
	pass->step_limit = core->scheduler.steps + WS_PASS_STEPS * machines_searched;
	core->scheduler.pass_requested = false;
	core->scheduler.next_pass_at = core->now + ws_sweep_interval(core) / 2;
	core->scheduler.pass_began_at = core->now;
	ws_quarantine_reserved(core, &reserved_cpus, &reserved_gpus);
	for (size_t i = 0; i < core->settings->team_count; i++) {
		core->jobs.teams[i].reserved_cpus = reserved_cpus;
		core->jobs.teams[i].reserved_gpus = reserved_gpus;
	}
	ws_log_unknown_team_reserve(core, reserved_cpus);
	/* in the first pass after the election, usage follows from the records alone */
	if (!core->scheduler.team_usage_logged)
		ws_log_team_usage(core);
	core->scheduler.team_usage_logged = true;
}

/* Returns true if a subsystem defers first starts and nothing of the job was started yet. */
static bool ws_first_start_is_deferred(const struct ws_core *core, const struct ws_job *job)
{
	return ws_subsystems_action_deferred(core, WS_DEFER_FIRST_START, -1) &&
	       job->phase == WS_JOB_QUEUED && !job->attempt_count && !job->done_count;
}

/* Updates the scheduling state of a job for a pass. Returns true if it has tasks to place. */
static bool ws_pass_update_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	struct ws_core *core = pass->core;

	if (job->spec.gang && job->attempt_count)
		ws_gang_check_progress(core, job);
	/* also for jobs without waiting tasks, whose attempts may have to move */
	ws_job_update_eligible_types(core, job);
	if (job->attempt_count && ws_scheduling_rank(job) < pass->lowest_running_rank)
		pass->lowest_running_rank = ws_scheduling_rank(job);
	job->starved = job->waiting && ws_job_is_starved(core, job);
	job->may_use_avoided = ws_job_may_use_avoided(core, job);
	if (ws_first_start_is_deferred(core, job))
		return false;
	if (job->waiting)
		pass->smallest_task_cpus = fmin(pass->smallest_task_cpus, job->spec.cpus);
	else
		job->unmet_since = 0;
	return job->waiting > 0;
}

/* Lists the live jobs that have waiting tasks, in queue order. Returns their number. */
static size_t ws_pass_list_jobs(struct ws_scheduling_pass *pass)
{
	struct ws_core *core = pass->core;
	struct ws_job *job, *next_job;
	size_t live = 0, waiting = 0;

	HASH_ITER (hh, core->jobs.by_id, job, next_job)
		if (!ws_job_is_finished(job))
			pass->jobs[live++] = job;
	ws_mark_guaranteed(core, pass->jobs, live);
	ws_subsystems_begin_pass(core);
	for (size_t i = 0; i < live; i++)
		if (ws_pass_update_job(pass, pass->jobs[i]))
			pass->jobs[waiting++] = pass->jobs[i];
	qsort(pass->jobs, waiting, sizeof(*pass->jobs), ws_queue_order_compare);
	return waiting;
}

/* Lists the usable machines and computes the planned capacity of each. */
static void ws_pass_list_machines(struct ws_scheduling_pass *pass)
{
	struct ws_core *core = pass->core;

	for (size_t i = 0; i < core->fleet.first_fit_count; i++) {
		struct ws_machine *machine = core->fleet.first_fit_order[i];

		if (!machine->type)
			ws_machine_set_kind(core, machine, machine->type_name, machine->zone,
					    machine->preemptible);
		if (!ws_machine_is_usable(core, machine))
			continue;
		pass->machines[pass->machine_count++] = machine;
		machine->avoided = ws_subsystems_avoid_machine(core, machine);
		machine->planned = ws_machine_free_capacity(machine);
		ws_capacity_add(&machine->planned, &machine->stopping, 1);
		pass->open_machines[pass->open_count++] = machine;
		if (machine->stopping.cpus > 0 || machine->stopping.mem_gb > 0)
			pass->stopping_machines[pass->stopping_count++] = machine;
	}
}

/* Places waiting tasks of a job, unless its team is unknown or it is in backoff after failures. */
static void ws_place_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	double start_objective_s = ws_start_objective(pass->core, job->spec.job_class);

	job->latency_sensitive = start_objective_s > 0;
	if (!job->team)
		return;
	if (job->retry_not_before > pass->core->now)
		ws_log_wait_reason(pass->core, job, "backing off after task failures");
	else if (job->spec.gang)
		ws_place_gang(pass, job, start_objective_s);
	else
		ws_place_array(pass, job, start_objective_s);
}

/* Returns true if a service's first replica is placed in the first round and its other replicas in
 * the second round of its rank. */
static bool ws_places_replicas_in_two_rounds(const struct ws_core *core, const struct ws_job *job)
{
	return job->replicas_apart ||
	       (job->spec.service && job->lost_recorded_attempts &&
		ws_subsystems_action_deferred(core, WS_DEFER_SECOND_REPLICA, -1));
}

/* Places a job in the first round of its rank. Of a service whose replicas are placed in two
 * rounds, this places one replica if there is no live one. */
static void ws_place_first_round(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	job->waiting_at_pass_start = job->waiting;
	job->deferred_to_second_round = ws_places_replicas_in_two_rounds(pass->core, job);
	job->placement_limit = job->deferred_to_second_round ? 1 : 0;
	if (!job->deferred_to_second_round || !ws_has_live_replica(pass->core, job))
		ws_place_job(pass, job);
	job->placement_limit = 0;
}

/*
 * Places waiting jobs in queue order, in two rounds for each rank. Some services place only their
 * first replica in the first round; their other replicas follow in the second, after all other jobs
 * of the rank.
 */
static void ws_place_jobs(struct ws_scheduling_pass *pass, size_t job_count)
{
	struct ws_job **jobs = pass->jobs;
	bool first_replicas_reserved = false;

	for (size_t from = 0, to; from < job_count; from = to) {
		int rank = ws_queue_rank(jobs[from]);

		for (to = from; to < job_count && ws_queue_rank(jobs[to]) == rank; to++)
			ws_place_first_round(pass, jobs[to]);
		for (size_t i = from; i < to; i++) {
			if (!jobs[i]->deferred_to_second_round || !jobs[i]->waiting)
				continue;
			if (!first_replicas_reserved)
				ws_reserve_first_replicas(pass);
			first_replicas_reserved = true;
			ws_place_job(pass, jobs[i]);
		}
	}
}

void ws_scheduler_run_pass(struct ws_core *core)
{
	struct ws_scheduling_pass pass = {
	    .core = core,
	    .lowest_running_rank = WS_RANK_LIMIT,
	    .smallest_task_cpus = INFINITY,
	};
	uint64_t first_step = core->scheduler.steps;
	size_t waiting_jobs;

	ws_pass_begin(core, &pass);
	waiting_jobs = ws_pass_list_jobs(&pass);
	ws_pass_list_machines(&pass);
	ws_place_jobs(&pass, waiting_jobs);
	ws_make_advance_reservations(&pass);
	core->scheduler.unfinished_pass = (struct ws_unfinished_pass){
	    .machines = pass.machines,
	    .machine_count = pass.machine_count,
	    .waiting_job_count = waiting_jobs,
	    .first_step = first_step,
	};
}

void ws_scheduler_finish_pass(struct ws_core *core)
{
	struct ws_scheduler *scheduler = &core->scheduler;
	const struct ws_unfinished_pass *pass = &scheduler->unfinished_pass;
	uint64_t steps = scheduler->steps - pass->first_step;

	scheduler->unmet_count = 0;
	if (steps > scheduler->longest_pass_steps)
		scheduler->longest_pass_steps = steps;
	if (!pass->waiting_job_count)
		ws_consolidate(core, pass->machines, pass->machine_count);
	scheduler->unfinished_pass = (struct ws_unfinished_pass){0};
}

void ws_scheduler_reset(struct ws_core *core)
{
	struct ws_scheduler *scheduler = &core->scheduler;

	free(scheduler->scratch);
	scheduler->scratch = NULL;
	scheduler->scratch_size = 0;
	scheduler->next_pass_at = scheduler->pass_began_at = 0;
	scheduler->team_usage_logged = false;
	scheduler->unknown_team_cpus_logged = scheduler->unknown_teams_logged_at = 0;
	ws_unmet_demand_free(scheduler);
}

/* Delays the next pass by twice the duration of the last one, so that passes take at most a third
 * of the time. The delay is at most half of the session TTL, since the duration also includes any
 * time for which the process was suspended. */
void ws_core_delay_next_pass(struct ws_core *core, double (*clock)(void))
{
	struct ws_scheduler *scheduler = &core->scheduler;
	double now, pause_s;

	if (scheduler->pass_began_at <= 0)
		return;
	now = clock();
	pause_s = fmin(2 * (now - scheduler->pass_began_at), core->leadership.session_ttl_s / 2);
	scheduler->next_pass_at = fmax(scheduler->next_pass_at, now + pause_s);
	scheduler->pass_began_at = 0;
}
