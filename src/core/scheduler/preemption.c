/*
 * Preemption stops running tasks to free capacity for work of a higher scheduling rank. On each
 * machine the tasks whose preemption costs least are the victims, and the machines with the lowest
 * total cost are used first.
 */
#include "pass.h"

/* Returned in place of a cost if preemption cannot free enough capacity. */
#define WS_PREEMPTION_IMPOSSIBLE (-1.0)
/* Factor by which the preemption of a guaranteed job costs more. */
#define WS_GUARANTEED_COST_FACTOR 4

/* Returns true if a job is of a kind that may preempt other jobs. */
static bool ws_job_can_preempt(const struct ws_job *job)
{
	return job->guaranteed || job->latency_sensitive ||
	       job->spec.priority == WS_PRIORITY_PRODUCTION;
}

/* Returns true if the gang of an attempt may be preempted. The start of a gang is expensive, so it
 * is left running until the start counts. All of its machines must be reachable, since the whole
 * gang is stopped at once. */
static bool ws_gang_can_be_preempted(const struct ws_core *core, const struct ws_attempt *attempt)
{
	double started_at = fmax(attempt->planned_at, attempt->running_at);

	return core->now - started_at >= WS_MIN_COUNTED_RUN_S &&
	       ws_gang_is_reachable(core, attempt->job);
}

/* Returns true if a job may preempt an attempt. */
static bool ws_may_preempt(const struct ws_core *core, const struct ws_job *job,
			   const struct ws_attempt *attempt)
{
	const struct ws_job *victim_job = attempt->job;

	if (!victim_job || attempt->stopping || attempt->unrecorded ||
	    attempt->state == WS_ATTEMPT_RELEASED)
		return false;
	if (ws_scheduling_rank(job) <= ws_scheduling_rank(victim_job) ||
	    (attempt->starved && job->spec.priority != WS_PRIORITY_PRODUCTION) ||
	    !ws_job_can_preempt(job))
		return false;
	if (victim_job->spec.gang && !ws_gang_can_be_preempted(core, attempt))
		return false;
	return victim_job->spec.priority < job->spec.priority ||
	       (job->guaranteed && !victim_job->guaranteed && victim_job->team != job->team);
}

/*
 * Returns the cost of preempting an attempt: the work lost, in CPU seconds. Preempting one task of
 * a gang stops all of its tasks on all machines. A gang with checkpoints loses at most one
 * checkpoint interval plus the time to save and stop. The cost of a gang rises with each earlier
 * preemption.
 */
static double ws_preemption_cost(const struct ws_core *core, const struct ws_attempt *attempt)
{
	const struct ws_job *job = attempt->job;
	const struct ws_job_spec *spec = &job->spec;
	double lost_s = core->now - attempt->planned_at + 1;

	if (spec->gang && spec->checkpoint_interval_s > 0)
		lost_s = spec->checkpoint_interval_s + spec->checkpoint_duration_s +
			 core->settings->gang_peer_s;
	if (spec->gang)
		lost_s *= job->attempt_count * (1 + job->gang.preemptions);
	return lost_s * spec->cpus * (job->guaranteed ? WS_GUARANTEED_COST_FACTOR : 1);
}

/* Returns the attempt on a machine that costs least to preempt and is not chosen yet, or NULL. */
static struct ws_attempt *ws_cheapest_victim(struct ws_core *core, const struct ws_job *job,
					     const struct ws_machine *machine, double *victim_cost)
{
	struct ws_attempt *victim = NULL;

	*victim_cost = 0;
	for (struct ws_attempt *attempt = machine->attempts; attempt;
	     attempt = attempt->machine_next) {
		double cost;

		core->scheduler.steps++;
		if (attempt->mark == core->fleet.mark || !ws_may_preempt(core, job, attempt))
			continue;
		cost = ws_preemption_cost(core, attempt);
		if (!victim || cost < *victim_cost) {
			victim = attempt;
			*victim_cost = cost;
		}
	}
	return victim;
}

/* Returns true if an attempt stops together with a victim on the same machine: it is the victim, or
 * belongs to the same gang. */
static bool ws_stops_with_victim(const struct ws_attempt *attempt, const struct ws_attempt *victim)
{
	if (attempt == victim)
		return true;
	return victim->job->spec.gang && attempt->job == victim->job && !attempt->stopping &&
	       !attempt->unrecorded && attempt->state != WS_ATTEMPT_RELEASED;
}

/* Marks the attempts that stop with a victim as chosen and adds their resources to a capacity. */
static void ws_choose_victim(const struct ws_core *core, const struct ws_machine *machine,
			     const struct ws_attempt *victim, struct ws_capacity *capacity)
{
	for (struct ws_attempt *attempt = machine->attempts; attempt;
	     attempt = attempt->machine_next) {
		if (!ws_stops_with_victim(attempt, victim))
			continue;
		attempt->mark = core->fleet.mark;
		ws_capacity_add(capacity, &attempt->job->task_capacity, 1);
	}
}

/* Stops a victim and adds the capacity that this frees to the machine's planned capacity. */
static void ws_stop_victim(struct ws_core *core, const struct ws_job *job,
			   struct ws_machine *machine, struct ws_attempt *victim)
{
	for (struct ws_attempt *attempt = machine->attempts; attempt;
	     attempt = attempt->machine_next)
		if (ws_stops_with_victim(attempt, victim))
			ws_planned_capacity_release(attempt->job, machine);
	ws_task_stop(core, victim,
		     job->guaranteed ? WS_STOP_FOR_GUARANTEE : WS_STOP_FOR_PRODUCTION);
}

/* Returns the cost of preempting on a machine until a task of a job fits, or
 * WS_PREEMPTION_IMPOSSIBLE. The victims are stopped only if stop_victims is set. */
static double ws_preempt_for_task(struct ws_core *core, const struct ws_job *job,
				  struct ws_machine *machine, bool stop_victims)
{
	struct ws_capacity capacity = machine->planned;
	double cost = 0;

	if (ws_subsystems_action_deferred(core, WS_DEFER_PREEMPTION, machine->zone_index))
		return WS_PREEMPTION_IMPOSSIBLE;
	core->fleet.mark++; /* attempts with the new mark are chosen */
	while (!ws_capacity_fits_task(&capacity, job)) {
		double victim_cost;
		struct ws_attempt *victim = ws_cheapest_victim(core, job, machine, &victim_cost);

		if (!victim)
			return WS_PREEMPTION_IMPOSSIBLE;
		cost += victim_cost;
		ws_choose_victim(core, machine, victim, &capacity);
		if (stop_victims)
			ws_stop_victim(core, job, machine, victim);
	}
	return cost;
}

/* Returns true if an earlier search of this pass shows that no victim exists for a request. */
static bool ws_preemption_is_infeasible(const struct ws_scheduling_pass *pass,
					const struct ws_preemption_request *request)
{
	const struct ws_infeasible_preemption *infeasible = &pass->infeasible_preemption;
	const struct ws_job *job = request->job;

	return infeasible->valid && !job->may_use_avoided &&
	       ws_scheduling_rank(job) <= infeasible->rank &&
	       job->spec.cpus >= infeasible->task.cpus && job->spec.gpus >= infeasible->task.gpus &&
	       job->spec.mem_gb >= infeasible->task.mem_gb &&
	       job->task_capacity.report_bytes >= infeasible->task.report_bytes &&
	       (!job->spec.allows_preemptible || infeasible->allows_preemptible) &&
	       !(job->eligible_types & ~infeasible->eligible_types) &&
	       !(request->zones & ~infeasible->zones);
}

/* Stores the requirements of a request for which no victim was found. */
static void ws_store_infeasible(struct ws_scheduling_pass *pass,
				const struct ws_preemption_request *request)
{
	const struct ws_job *job = request->job;

	pass->infeasible_preemption = (struct ws_infeasible_preemption){
	    .valid = true,
	    .rank = ws_scheduling_rank(job),
	    .task = job->task_capacity,
	    .allows_preemptible = job->spec.allows_preemptible,
	    .eligible_types = job->eligible_types,
	    .zones = request->zones,
	};
}

/* Returns true if a machine has attempts and may be used for a request. */
static bool ws_may_preempt_on(const struct ws_preemption_request *request,
			      const struct ws_machine *machine)
{
	const struct ws_job *job = request->job;

	return machine->attempt_count && ws_machine_is_eligible(job, machine) &&
	       ws_zone_in_mask(machine->zone_index, request->zones) &&
	       (!request->only_cached_image || ws_image_is_cached(machine, job->image_index));
}

/* Lists machines on which preemption can free capacity for a task. Returns their number. In a large
 * fleet each search starts at a different machine, since it ends once it has found enough. */
static size_t ws_find_preemption_candidates(struct ws_scheduling_pass *pass,
					    const struct ws_preemption_request *request)
{
	struct ws_core *core = pass->core;
	size_t limit = 2 * (size_t)request->tasks + WS_VICTIM_CANDIDATES;
	size_t start = pass->machine_count > WS_VICTIM_CANDIDATES ? core->fleet.mark : 0;
	size_t found = 0;

	for (size_t i = 0;
	     i < pass->machine_count && found < limit && core->scheduler.steps <= pass->step_limit;
	     i++) {
		struct ws_machine *machine = pass->machines[(i + start) % pass->machine_count];
		double cost;

		core->scheduler.steps++;
		if (!ws_may_preempt_on(request, machine))
			continue;
		cost = ws_preempt_for_task(core, request->job, machine, false);
		if (cost >= 0)
			pass->preemption_candidates[found++] =
			    (struct ws_preemption_candidate){cost, i, machine};
	}
	return found;
}

static int ws_preemption_candidate_compare(const void *left, const void *right)
{
	const struct ws_preemption_candidate *first = left, *second = right;

	if (first->cost != second->cost)
		return first->cost < second->cost ? -1 : 1;
	if (first->first_fit_index != second->first_fit_index)
		return first->first_fit_index < second->first_fit_index ? -1 : 1;
	return 0;
}

/* Preempts on a machine and reserves the freed capacity, which often fits more than one task.
 * Returns the number of tasks that fit. */
static uint32_t ws_preempt_on_machine(struct ws_scheduling_pass *pass, struct ws_job *job,
				      struct ws_machine *machine, uint32_t limit)
{
	uint32_t fit;

	if (machine->stopping.cpus <= 0 && machine->stopping.mem_gb <= 0 &&
	    pass->stopping_count < pass->machine_count)
		pass->stopping_machines[pass->stopping_count++] = machine;
	ws_preempt_for_task(pass->core, job, machine, true);
	fit = ws_tasks_fit_planned(job, machine, limit);
	for (uint32_t i = 0; i < fit; i++)
		ws_planned_capacity_reserve(job, machine);
	ws_machine_send_commands(pass->core, machine);
	return fit;
}

uint32_t ws_preempt(struct ws_scheduling_pass *pass, const struct ws_preemption_request *request)
{
	const struct ws_scheduler *scheduler = &pass->core->scheduler;
	struct ws_job *job = request->job;
	uint32_t fitting_tasks = 0;
	size_t count;

	if (scheduler->steps > pass->step_limit ||
	    ws_scheduling_rank(job) <= pass->lowest_running_rank || !ws_job_can_preempt(job) ||
	    ws_preemption_is_infeasible(pass, request))
		return 0;
	count = ws_find_preemption_candidates(pass, request);
	if (!count && !request->only_cached_image && scheduler->steps <= pass->step_limit)
		ws_store_infeasible(pass, request);
	if (job->spec.gang && count < request->tasks)
		return 0;
	qsort(pass->preemption_candidates, count, sizeof(*pass->preemption_candidates),
	      ws_preemption_candidate_compare);
	for (size_t i = 0; i < count && fitting_tasks < request->tasks; i++)
		fitting_tasks +=
		    ws_preempt_on_machine(pass, job, pass->preemption_candidates[i].machine,
					  request->tasks - fitting_tasks);
	return fitting_tasks;
}

/*
 * Returns the seconds that a job waits before it preempts others: the wait promised to guaranteed
 * work, or the start objective of the job's class if that is shorter, minus the time to fetch the
 * image, divided by two.
 */
static double ws_preemption_delay(const struct ws_core *core, const struct ws_job *job,
				  double start_objective_s)
{
	double bound_s = ws_latency_bound(core);

	if (start_objective_s > 0 && start_objective_s < bound_s)
		bound_s = start_objective_s;
	return fmax(0, bound_s - ws_mean_image_fetch_s(core, job)) / 2;
}

/* Running tasks end and free capacity all the time, so jobs other than production preempt only
 * after they have waited for that. */
bool ws_preemption_is_due(const struct ws_core *core, const struct ws_job *job,
			  double start_objective_s)
{
	double unmet_since = job->unmet_since > 0 ? job->unmet_since : core->now;

	return job->spec.priority == WS_PRIORITY_PRODUCTION ||
	       core->now - unmet_since >= ws_preemption_delay(core, job, start_objective_s);
}
