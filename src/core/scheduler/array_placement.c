/*
 * Places arrays, whose tasks run independently of each other, by first-fit bin packing. Owned
 * machines are preferred to rented ones, and among each of these the machines that have the job's
 * image cached. A latency-sensitive job, whose class has a start objective, prefers machines with
 * its image whether they are owned or rented.
 */
#include "pass.h"

/* Penalties of candidate machines. A machine's rank is their sum; the lowest rank is used first. */
#define WS_CANDIDATE_LACKS_IMAGE 1
#define WS_CANDIDATE_IS_RENTED 2
#define WS_CANDIDATE_RANKS 4

/* A job whose tasks are being placed in this pass. */
struct ws_array_placement {
	struct ws_job *job;
	double start_objective_s; /* start latency objective of its class; 0: none */
	uint64_t attempt_number;  /* of the attempts that this pass plans */
	uint32_t unplaced;	  /* tasks that still need capacity */
	size_t record_bytes_left; /* for further attempts in the job's record; 0: full */
	size_t candidate_count;	  /* entries of the pass's list of candidates */
};

/* Removes machines that lack the CPUs for even the smallest waiting task from the list of open
 * machines, so that the rest of the pass skips them. */
static void ws_remove_full_machines(struct ws_scheduling_pass *pass)
{
	size_t kept = 0;

	for (size_t i = 0; i < pass->open_count; i++) {
		struct ws_machine *machine = pass->open_machines[i];
		double free_cpus = machine->type->cpus - machine->used.cpus;

		if (fmin(machine->planned.cpus, free_cpus) + WS_CAPACITY_TOLERANCE >=
		    pass->smallest_task_cpus)
			pass->open_machines[kept++] = machine;
	}
	pass->open_count = kept;
}

/* Lists and ranks machines with capacity. Stops once those of the best rank fit all tasks. */
static void ws_find_candidates(struct ws_scheduling_pass *pass,
			       struct ws_array_placement *placement)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placement->job;
	size_t preferred_tasks = 0; /* tasks that fit on machines of the best rank */

	ws_remove_full_machines(pass);
	for (size_t i = 0; i < pass->open_count && preferred_tasks < placement->unplaced; i++) {
		struct ws_machine *machine = pass->open_machines[i];

		core->scheduler.steps++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_has_planned_capacity(job, machine) || !ws_has_free_capacity(job, machine) ||
		    !ws_zone_is_eligible(core, job, machine->zone_index))
			continue;
		machine->pass_rank = 0;
		if (!ws_image_is_cached(machine, job->image_index))
			machine->pass_rank += WS_CANDIDATE_LACKS_IMAGE;
		if (!job->latency_sensitive && !machine->owned)
			machine->pass_rank += WS_CANDIDATE_IS_RENTED;
		if (!machine->pass_rank)
			preferred_tasks += ws_tasks_fit_now(job, machine, placement->unplaced);
		pass->candidates[placement->candidate_count++] = machine;
	}
}

/* Returns true if the image fetch alone exceeds the start objective on every candidate. */
static bool ws_fetch_exceeds_objective(const struct ws_scheduling_pass *pass,
				       const struct ws_array_placement *placement)
{
	for (size_t i = 0; i < placement->candidate_count; i++) {
		double rate = pass->candidates[i]->type->fetch_gb_s;

		if (!(rate > 0 &&
		      placement->job->spec.image_gb / rate > placement->start_objective_s))
			return false;
	}
	return placement->candidate_count > 0;
}

/* Places as many tasks as possible on the candidates of one rank. */
static void ws_place_on_rank(struct ws_scheduling_pass *pass, struct ws_array_placement *placement,
			     int rank)
{
	for (size_t i = 0;
	     i < placement->candidate_count && placement->unplaced && placement->record_bytes_left;
	     i++)
		if (pass->candidates[i]->pass_rank == rank)
			placement->unplaced -= ws_place_on_machine(
			    pass->core, placement->job, pass->candidates[i], placement->unplaced,
			    placement->attempt_number, &placement->record_bytes_left);
}

/* Places tasks on the candidates in order of rank. If the image fetch would miss the start
 * objective of a latency-sensitive production job, it first preempts other work on machines that
 * have the image. */
static void ws_place_on_candidates(struct ws_scheduling_pass *pass,
				   struct ws_array_placement *placement)
{
	struct ws_job *job = placement->job;

	for (int rank = 0;
	     rank < WS_CANDIDATE_RANKS && placement->unplaced && placement->record_bytes_left;
	     rank++) {
		if (rank == WS_CANDIDATE_LACKS_IMAGE && job->latency_sensitive &&
		    job->spec.priority == WS_PRIORITY_PRODUCTION &&
		    ws_fetch_exceeds_objective(pass, placement))
			placement->unplaced -=
			    ws_preempt(pass, &(struct ws_preemption_request){
						 .job = job,
						 .tasks = placement->unplaced,
						 .zones = ws_eligible_zones(pass->core, job),
						 .only_cached_image = true,
					     });
		ws_place_on_rank(pass, placement, rank);
	}
}

/* Assigns capacity that stopping tasks will free to unplaced tasks, so that they need neither
 * preemption nor scale-out. */
static void ws_assign_stopping_capacity(struct ws_scheduling_pass *pass,
					struct ws_array_placement *placement)
{
	struct ws_job *job = placement->job;

	for (size_t i = 0; i < pass->stopping_count && placement->unplaced; i++) {
		struct ws_machine *machine = pass->stopping_machines[i];
		uint32_t fit;

		pass->core->scheduler.steps++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_zone_is_eligible(pass->core, job, machine->zone_index))
			continue;
		fit = ws_tasks_fit_planned(job, machine, placement->unplaced);
		for (uint32_t k = 0; k < fit; k++)
			ws_planned_capacity_reserve(job, machine);
		placement->unplaced -= fit;
	}
}

static void ws_log_unplaced(struct ws_core *core, struct ws_job *job, uint32_t tasks)
{
	if (!ws_wait_log_is_due(core, job))
		return;
	ws_log(core, WS_LOG_INFO,
	       "tasks waiting for capacity job=%s count=%u guaranteed=%s preemptible=%s",
	       job->spec.id, tasks, job->guaranteed ? "yes" : "no",
	       job->spec.allows_preemptible ? "allowed" : "no");
}

/* Handles tasks for which no capacity is free: they wait for capacity of stopping tasks, preempt
 * other work, or are added to the unmet demand. */
static void ws_place_unplaced(struct ws_scheduling_pass *pass, struct ws_array_placement *placement)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placement->job;

	ws_assign_stopping_capacity(pass, placement);
	if (placement->unplaced && ws_preemption_is_due(core, job, placement->start_objective_s))
		placement->unplaced -= ws_preempt(
		    pass, &(struct ws_preemption_request){
			      .job = job,
			      .tasks = placement->unplaced,
			      .zones = ws_eligible_zones(core, job),
			      .only_cached_image = job->latency_sensitive && !job->guaranteed,
			  });
	if (!placement->unplaced) {
		job->unmet_since = 0;
		return;
	}
	ws_unmet_demand_add(core, job, placement->unplaced, ws_eligible_zones(core, job));
	ws_log_unplaced(core, job, placement->unplaced);
}

/* Returns how many tasks of a job to place. Tasks above the team's limit are left out, since
 * further machines would not help them. */
static uint32_t ws_tasks_to_place(struct ws_core *core, struct ws_job *job)
{
	uint32_t tasks = ws_tasks_within_team_limit(job);

	if (tasks < job->waiting)
		ws_report_team_limit(core, job);
	if (job->placement_limit && tasks > job->placement_limit)
		tasks = job->placement_limit;
	return tasks;
}

void ws_place_array(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s)
{
	struct ws_core *core = pass->core;
	struct ws_array_placement placement = {.job = job, .start_objective_s = start_objective_s};

	placement.unplaced = ws_tasks_to_place(core, job);
	if (!placement.unplaced)
		return;
	placement.record_bytes_left = ws_record_bytes_left(core, job);
	placement.attempt_number = ws_attempt_number_new(core);
	ws_find_candidates(pass, &placement);
	ws_place_on_candidates(pass, &placement);
	if (job->waiting < job->waiting_at_pass_start) {
		ws_log_team_near_limit(core, job);
		job->last_placed_at = core->now;
		ws_job_mark_dirty(core, job, true);
	}
	/* A full record cannot name further attempts: the other tasks are placed when some end. */
	if (placement.record_bytes_left)
		ws_place_unplaced(pass, &placement);
}
