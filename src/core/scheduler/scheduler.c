/*
 * Placement: first fit, owned machines first, an image already there preferred among equals.
 * Production goes first, then work within its team's guarantee, then by priority class, deadline
 * and age.
 */
#include "../core_state.h"

/*
 * The order in which work is served. What may stop other work must also be served before it, or
 * the two take the same room from each other for ever.
 */
static int ws_scheduling_rank(const struct ws_job *job)
{
	if (job->spec.priority == WS_PRIORITY_PRODUCTION)
		return 100 + job->guaranteed;
	return (job->guaranteed ? 50 : 0) + (int)job->spec.priority;
}

/* How soon a class should start by its aim; 0: it has none. */
static double ws_start_objective(const struct ws_core *core, const char *job_class)
{
	for (size_t i = 0; i < core->settings->objective_count; i++)
		if (!strcmp(core->settings->objectives[i].kind, "wait") &&
		    !strcmp(core->settings->objectives[i].job_class, job_class))
			return core->settings->objectives[i].within_s;
	return 0;
}

/* How long the fetch of its image takes, on machines of all types alike. */
static double ws_fetch_s(const struct ws_core *core, const struct ws_job *job)
{
	double fetch = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (core->catalog.types[i].fetch_gb_s > 0)
			fetch += job->spec.image_gb / core->catalog.types[i].fetch_gb_s /
				 (double)core->catalog.type_count;
	return fetch;
}

/*
 * No job waits for ever behind those that keep coming: one of which no task was placed for two
 * leases is served before all other arrays until one is. What it then takes, no array may take from
 * it, or the two would do so in turn. Production and the rules of stopping stay as they are. A gang
 * needs more room at once than comes free between others: it ages in a quarter of its promised
 * wait, less the fetch.
 */
static bool ws_job_is_starved(const struct ws_core *core, const struct ws_job *job)
{
	double within = job->spec.gang ? ws_start_objective(core, job->spec.job_class) : 0;

	if (within > 0 && job->unmet_since > 0 &&
	    core->now - job->unmet_since > fmax(0, within - ws_fetch_s(core, job)) / 4)
		return true;
	return core->now - fmax(job->known_at, job->last_placed_at) > 2 * core->settings->lease_s &&
	       job->retry_not_before <= core->now;
}

static int ws_queue_rank(const struct ws_job *job)
{
	int rank = ws_scheduling_rank(job);

	return job->starved && rank < 99 ? 99 : rank;
}

static int ws_queue_order_cmp(const void *left, const void *right)
{
	const struct ws_job *a = *(struct ws_job *const *)left, *b = *(struct ws_job *const *)right;

	if (ws_queue_rank(a) != ws_queue_rank(b))
		return ws_queue_rank(a) > ws_queue_rank(b) ? -1 : 1;
	/* those that a subsystem moves, in its order; 0 stands for none and becomes the largest */
	if (a->move_position != b->move_position)
		return a->move_position - 1 < b->move_position - 1 ? -1 : 1;
	double da = a->submitted_at_wall + (a->spec.deadline_s >= 0 ? a->spec.deadline_s : 1e9);
	double db = b->submitted_at_wall + (b->spec.deadline_s >= 0 ? b->spec.deadline_s : 1e9);
	if (da != db)
		return da < db ? -1 : 1;
	if (a->submitted_at_wall != b->submitted_at_wall)
		return a->submitted_at_wall < b->submitted_at_wall ? -1 : 1;
	return strcmp(a->spec.id, b->spec.id);
}

static int ws_machine_cmp(const void *left, const void *right)
{
	const struct ws_machine *a = *(struct ws_machine *const *)left,
				*b = *(struct ws_machine *const *)right;

	if (a->owned != b->owned)
		return a->owned ? -1 : 1;
	/* preemptible rented machines before ordinary ones, so that the dearer ones empty and go
	 * back */
	if (!a->owned && a->preemptible != b->preemptible)
		return a->preemptible ? -1 : 1;
	return strcmp(a->name, b->name);
}

static int ws_job_age_cmp(const void *left, const void *right)
{
	const struct ws_job *a = *(struct ws_job *const *)left, *b = *(struct ws_job *const *)right;

	if (a->submitted_at_wall != b->submitted_at_wall)
		return a->submitted_at_wall < b->submitted_at_wall ? -1 : 1;
	return strcmp(a->spec.id, b->spec.id);
}

/* A job is guaranteed while it fits its team's guarantee along with the team's earlier jobs. */
static void ws_mark_guaranteed(struct ws_core *core, struct ws_job **all, size_t count)
{
	double cpus[WS_MAX_TEAMS] = {0}, gpus[WS_MAX_TEAMS] = {0};

	qsort(all, count, sizeof(*all), ws_job_age_cmp);
	for (size_t i = 0; i < count; i++) {
		struct ws_job *job = all[i];
		struct ws_team *team = job->team;

		job->guaranteed = false;
		if (!team)
			continue;
		size_t k = (size_t)(team - core->jobs.teams);
		cpus[k] += job->spec.cpus * job->spec.tasks;
		gpus[k] += job->spec.gpus * job->spec.tasks;
		job->guaranteed = cpus[k] <= team->settings->cpus + 1e-9 &&
				  (gpus[k] <= team->settings->gpus + 1e-9 || job->spec.gpus <= 0);
	}
}

/* Whether one more of its attempts may be in a zone, given where others may be alive. */
static bool ws_zone_is_eligible(const struct ws_core *core, const struct ws_job *job, int zone)
{
	if (zone < 0 || (job->pinned_zone >= 0 && job->pinned_zone != zone))
		return false;
	if (job->spec.one_zone)
		for (int i = 0; i < core->catalog.zone_count; i++)
			if (i != zone && job->attempts_by_zone[i])
				return false;
	return !job->spec.spread || job->attempts_by_zone[zone] < (job->spec.tasks + 1) / 2;
}

static uint32_t ws_eligible_zones(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t zones = 0;

	for (int i = 0; i < core->catalog.zone_count; i++)
		if (ws_zone_is_eligible(core, job, i))
			zones |= 1u << i;
	return zones;
}

/*
 * Whether a job may use machines that a subsystem would have avoided: it has found no other room
 * for a lease, or may be nowhere else.
 */
static bool ws_takes_avoided(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t avoided = core->subsystems.zones_avoided;

	if (job->unmet_since > 0 && core->now - job->unmet_since > core->settings->lease_s)
		return true;
	return avoided && job->waiting && !(ws_eligible_zones(core, job) & ~avoided);
}

static bool ws_machine_is_eligible(const struct ws_job *job, const struct ws_machine *machine)
{
	return machine->type && (job->eligible_types >> machine->type_index & 1) &&
	       (!machine->preemptible || job->spec.allows_preemptible) &&
	       (!machine->avoided || job->may_use_avoided);
}

static bool ws_has_free_capacity(const struct ws_job *job, const struct ws_machine *machine)
{
	return machine->used_cpus + job->spec.cpus <= machine->type->cpus + 1e-9 &&
	       machine->used_gpus + job->spec.gpus <= machine->type->gpus + 1e-9 &&
	       machine->used_mem + job->spec.mem_gb <= machine->type->mem_gb + 1e-9;
}

static bool ws_has_planned_capacity(const struct ws_job *job, const struct ws_machine *machine)
{
	return job->spec.cpus <= machine->planned_cpus + 1e-9 &&
	       job->spec.gpus <= machine->planned_gpus + 1e-9 &&
	       job->spec.mem_gb <= machine->planned_mem + 1e-9;
}

static void ws_planned_capacity_take(const struct ws_job *job, struct ws_machine *machine)
{
	machine->planned_cpus -= job->spec.cpus;
	machine->planned_gpus -= job->spec.gpus;
	machine->planned_mem -= job->spec.mem_gb;
}

static void ws_planned_capacity_give(const struct ws_job *job, struct ws_machine *machine)
{
	machine->planned_cpus += job->spec.cpus;
	machine->planned_gpus += job->spec.gpus;
	machine->planned_mem += job->spec.mem_gb;
}

static bool ws_image_is_cached(const struct ws_machine *machine, int image)
{
	for (int i = 0; i < machine->image_cache_count; i++)
		if (machine->image_cache[i] == image)
			return true;
	return false;
}

/* The protocol counts a start only if the task is not stopped by command for this long. */
#define WS_START_COUNTS_S 30

static bool ws_may_preempt(const struct ws_core *core, const struct ws_job *job,
			   const struct ws_attempt *attempt)
{
	if (!attempt->job || attempt->stopping || attempt->unrecorded ||
	    attempt->state == WS_ATTEMPT_GONE)
		return false;
	const struct ws_job *other_job = attempt->job;

	if (ws_scheduling_rank(job) <= ws_scheduling_rank(other_job) ||
	    (attempt->starved && job->spec.priority != WS_PRIORITY_PRODUCTION) ||
	    !(job->guaranteed || job->latency_sensitive ||
	      job->spec.priority == WS_PRIORITY_PRODUCTION))
		return false;
	/* a gang's start is dear: it is given the time to count, and all of it must be told */
	if (other_job->spec.gang &&
	    (core->now - fmax(attempt->planned_at, attempt->running_at) < WS_START_COUNTS_S ||
	     !ws_gang_is_reachable(core, other_job)))
		return false;
	return other_job->spec.priority < job->spec.priority ||
	       (job->guaranteed && !other_job->guaranteed && other_job->team != job->team);
}

/* Tasks that fit a machine by what it has free and by what it will have. */
static uint32_t ws_tasks_fit_machine(const struct ws_job *job, const struct ws_machine *machine,
				     uint32_t most, bool now)
{
	double cpus = machine->planned_cpus, gpus = machine->planned_gpus,
	       mem = machine->planned_mem;

	if (now) {
		cpus = fmin(cpus, machine->type->cpus - machine->used_cpus);
		gpus = fmin(gpus, machine->type->gpus - machine->used_gpus);
		mem = fmin(mem, machine->type->mem_gb - machine->used_mem);
	}
	return ws_tasks_fit(&job->spec, cpus, gpus, mem, most);
}

/* More machines than this are not all looked at for work to stop. */
#define WS_VICTIM_CANDIDATES 64
/*
 * Steps a pass may spend for each machine. When a full fleet meets hundreds of jobs that wait, each
 * looking for work to stop, a pass took longer than the session lasts and leaders followed one
 * another. Who comes too late for this pass is served in one of the next.
 */
#define WS_PASS_STEPS 100

/* What one pass goes by. */
struct ws_scheduling_pass {
	struct ws_core *core;
	struct ws_machine **machines; /* usable ones, in first fit's order */
	size_t machine_count;
	struct ws_machine **open; /* those with room for the smallest task that waits */
	size_t open_count;
	struct ws_machine **stopping; /* those on which something was told to stop */
	size_t stopping_count;
	struct ws_machine **candidates; /* scratch, of the same size */
	size_t reservation_scan_from; /* machines before this one have no room for any task ahead */
	double smallest_reserved_cpus; /* CPUs of the smallest of those tasks; 0: not known yet */
	double smallest_task_cpus;     /* CPUs of the smallest task that waits */
	uint64_t step_limit;	       /* beyond these nothing more is stopped in this pass */
	struct ws_preemption_victim {
		double cost;
		size_t first_fit_index; /* its place in first fit's order */
		struct ws_machine *machine;
	} * victims;
	int lowest_running_rank; /* rank of what runs */
	/* of the last job for which nothing could be stopped; nothing can for one that asks more */
	bool infeasible_known;
	int infeasible_rank;
	double infeasible_cpus, infeasible_gpus, infeasible_mem;
	bool infeasible_preemptible;
	uint32_t infeasible_types, infeasible_zones;
};

/*
 * What stopping a task loses. Of a gang all stop, wherever they are: if they save, that is the time
 * until they run again, at most the work since the last checkpoint, and more each time.
 */
static double ws_stop_costs(const struct ws_core *core, const struct ws_attempt *attempt)
{
	const struct ws_job_spec *spec = &attempt->job->spec;
	double t = core->now - attempt->planned_at + 1;

	if (spec->gang && spec->checkpoint_s > 0)
		t = spec->checkpoint_s + spec->save_s + core->settings->gang_peer_s;
	if (spec->gang)
		t *= attempt->job->attempt_count * (1 + attempt->job->gang_preemptions);
	return t * spec->cpus * (attempt->job->guaranteed ? 4 : 1);
}

/* Makes room for one task on a machine; what that would lose, or below 0 if it can't be. */
static double ws_preempt_on(struct ws_core *core, struct ws_job *job, struct ws_machine *machine,
			    bool act)
{
	double cpus = machine->planned_cpus, gpus = machine->planned_gpus,
	       mem = machine->planned_mem, cost = 0;

	if (ws_subsystems_defer(core, WS_DEFER_PREEMPTION, machine->zone_index))
		return -1;
	core->fleet.mark++;
	while (cpus + 1e-9 < job->spec.cpus || gpus + 1e-9 < job->spec.gpus ||
	       mem + 1e-9 < job->spec.mem_gb) {
		struct ws_attempt *attempt = NULL;
		double least = 0;

		for (struct ws_attempt *other_attempt = machine->attempts; other_attempt;
		     other_attempt = other_attempt->machine_next) {
			core->scheduler.steps++;
			if (other_attempt->mark == core->fleet.mark ||
			    !ws_may_preempt(core, job, other_attempt))
				continue;
			double lost = ws_stop_costs(core, other_attempt);

			if (!attempt || lost < least) {
				attempt = other_attempt;
				least = lost;
			}
		}
		if (!attempt)
			return -1;
		cost += least;
		for (struct ws_attempt *found_attempt = machine->attempts; found_attempt;
		     found_attempt = found_attempt->machine_next) {
			if (found_attempt != attempt &&
			    (!attempt->job->spec.gang || found_attempt->job != attempt->job ||
			     found_attempt->stopping || found_attempt->unrecorded ||
			     found_attempt->state == WS_ATTEMPT_GONE))
				continue;
			found_attempt->mark = core->fleet.mark;
			cpus += found_attempt->job->spec.cpus;
			gpus += found_attempt->job->spec.gpus;
			mem += found_attempt->job->spec.mem_gb;
			if (act)
				ws_planned_capacity_give(found_attempt->job, machine);
		}
		if (act)
			ws_task_stop(core, attempt,
				     job->guaranteed ? WS_STOP_FOR_GUARANTEE
						     : WS_STOP_FOR_PRODUCTION);
	}
	return cost;
}

static int ws_victim_cmp(const void *left, const void *right)
{
	const struct ws_preemption_victim *a = left, *b = right;

	if (a->cost != b->cost)
		return a->cost < b->cost ? -1 : 1;
	return a->first_fit_index < b->first_fit_index ? -1
						       : a->first_fit_index > b->first_fit_index;
}

/*
 * Stops what loses least to make room on each machine; the number of tasks with room to come. For a
 * gang nothing is stopped unless that makes room for all that it lacks.
 */
static uint32_t ws_preempt(struct ws_scheduling_pass *pass, struct ws_job *job, uint32_t want,
			   uint32_t zones, bool cached)
{
	struct ws_core *core = pass->core;
	uint32_t got = 0;
	size_t n = 0;

	if (core->scheduler.steps > pass->step_limit ||
	    ws_scheduling_rank(job) <= pass->lowest_running_rank ||
	    !(job->guaranteed || job->latency_sensitive ||
	      job->spec.priority == WS_PRIORITY_PRODUCTION))
		return 0;
	if (pass->infeasible_known && !job->may_use_avoided &&
	    ws_scheduling_rank(job) <= pass->infeasible_rank &&
	    job->spec.cpus >= pass->infeasible_cpus && job->spec.gpus >= pass->infeasible_gpus &&
	    job->spec.mem_gb >= pass->infeasible_mem &&
	    (!job->spec.allows_preemptible || pass->infeasible_preemptible) &&
	    !(job->eligible_types & ~pass->infeasible_types) && !(zones & ~pass->infeasible_zones))
		return 0;
	/* the cheapest of some, looked for from another machine on each time */
	for (size_t k = 0, from = pass->machine_count > WS_VICTIM_CANDIDATES ? core->fleet.mark : 0;
	     k < pass->machine_count && n < 2 * (size_t)want + WS_VICTIM_CANDIDATES &&
	     core->scheduler.steps <= pass->step_limit;
	     k++) {
		struct ws_machine *machine = pass->machines[(k + from) % pass->machine_count];
		double cost;

		core->scheduler.steps++;
		if (!machine->attempt_count || !ws_machine_is_eligible(job, machine) ||
		    machine->zone_index < 0 || !(zones >> machine->zone_index & 1) ||
		    (cached && !ws_image_is_cached(machine, job->image_index)))
			continue;
		cost = ws_preempt_on(core, job, machine, false);
		if (cost >= 0)
			pass->victims[n++] = (struct ws_preemption_victim){cost, k, machine};
	}
	if (!n && !cached && core->scheduler.steps <= pass->step_limit) {
		pass->infeasible_known = true;
		pass->infeasible_rank = ws_scheduling_rank(job);
		pass->infeasible_cpus = job->spec.cpus;
		pass->infeasible_gpus = job->spec.gpus;
		pass->infeasible_mem = job->spec.mem_gb;
		pass->infeasible_preemptible = job->spec.allows_preemptible;
		pass->infeasible_types = job->eligible_types;
		pass->infeasible_zones = zones;
	}
	if (job->spec.gang && n < want)
		return 0;
	qsort(pass->victims, n, sizeof(*pass->victims), ws_victim_cmp);
	for (size_t i = 0; i < n && got < want; i++) {
		struct ws_machine *other_machine = pass->victims[i].machine;

		if (other_machine->stopping_cpus <= 0 && other_machine->stopping_mem <= 0 &&
		    pass->stopping_count < pass->machine_count)
			pass->stopping[pass->stopping_count++] = other_machine;
		ws_preempt_on(core, job, other_machine, true);
		/* what is stopped often leaves room for more than one */
		for (uint32_t fit = ws_tasks_fit_machine(job, other_machine, want - got, false);
		     fit; fit--) {
			ws_planned_capacity_take(job, other_machine);
			got++;
		}
		ws_machine_send_commands(core, other_machine);
	}
	return got;
}

/* A replica is down while its new machine fetches the image: two heartbeat intervals at most. */
static bool ws_replica_moves_quickly(const struct ws_core *core, const struct ws_machine *machine,
				     const struct ws_job *job)
{
	return ws_image_is_cached(machine, job->image_index) ||
	       job->spec.image_gb <= machine->type->fetch_gb_s * 2 * core->settings->report_s;
}

/*
 * With nothing waiting, a rented machine that holds replicas alone is emptied onto owned machines
 * with room, a replica at a time: the rented machine would be paid for as long as the service runs.
 */
static void ws_consolidate(struct ws_core *core, struct ws_machine **machines, size_t count)
{
	if (core->now < core->scheduler.next_consolidation_at ||
	    core->now - core->leadership.elected_at < core->settings->lease_s)
		return;
	core->scheduler.next_consolidation_at = core->now + core->settings->report_s;
	for (size_t i = count; i-- > 0;) {
		struct ws_machine *machine = machines[i];
		struct ws_attempt *first = NULL, *attempt;
		bool all = machine->attempt_count > 0;

		if (machine->owned)
			break; /* owned ones come first in the order */
		for (attempt = machine->attempts; attempt && all; attempt = attempt->machine_next) {
			size_t k;

			if (attempt->state == WS_ATTEMPT_GONE)
				continue;
			all = attempt->job && attempt->job->spec.service && !attempt->stopping &&
			      !attempt->unrecorded && attempt->task_state == WS_TASK_RUNNING &&
			      attempt->running_at > 0 &&
			      core->now - attempt->running_at > WS_START_COUNTS_S;
			if (!all)
				break;
			if (machine->zone_index >= 0)
				attempt->job
				    ->attempts_by_zone[machine->zone_index]--; /* as if it were gone
										*/
			for (k = 0; k < count && machines[k]->owned; k++)
				if (ws_machine_is_eligible(attempt->job, machines[k]) &&
				    ws_has_free_capacity(attempt->job, machines[k]) &&
				    ws_has_planned_capacity(attempt->job, machines[k]) &&
				    ws_zone_is_eligible(core, attempt->job,
							machines[k]->zone_index) &&
				    ws_replica_moves_quickly(core, machines[k], attempt->job))
					break;
			if (machine->zone_index >= 0)
				attempt->job->attempts_by_zone[machine->zone_index]++;
			all = k < count && machines[k]->owned;
			if (all)
				ws_planned_capacity_take(attempt->job, machines[k]);
			first = attempt;
		}
		if (!all || !first)
			continue;
		ws_task_stop(core, first, WS_STOP_CONSOLIDATION);
		ws_machine_send_commands(core, machine);
		return;
	}
}

/* Once a lease for each job, so that operators can see what it waits for. */
static bool ws_log_wait_reason(struct ws_core *core, struct ws_job *job, const char *reason)
{
	if (core->now - job->wait_logged_at <= core->settings->lease_s)
		return false;
	job->wait_logged_at = core->now;
	ws_log(core, WS_LOG_INFO, "job %s waits: %s", job->spec.id, reason);
	return true;
}

/*
 * Half of what is promised, to work within its guarantee or to its class if that is less, once the
 * image's fetch is taken off.
 */
static double ws_preemption_delay(const struct ws_core *core, const struct ws_job *job,
				  double within)
{
	double bound = ws_latency_bound(core);

	if (within > 0 && within < bound)
		bound = within;
	return fmax(0, bound - ws_fetch_s(core, job)) / 2;
}

static uint32_t ws_next_waiting(struct ws_job *job)
{
	uint32_t t = job->lowest_waiting;

	while (t < job->spec.tasks && (job->tasks[t].done || job->tasks[t].live_attempts))
		t++;
	job->lowest_waiting = t;
	return t;
}

/* Plans up to 'most' tasks of a job on a machine; how many. */
static uint32_t ws_place_on_machine(struct ws_core *core, struct ws_job *job,
				    struct ws_machine *machine, uint32_t most, uint64_t attempt,
				    size_t *room)
{
	uint32_t n = 0;

	for (uint32_t fit = ws_tasks_fit_machine(job, machine, most, true);
	     n < fit && ws_zone_is_eligible(core, job, machine->zone_index); n++) {
		uint32_t t = ws_next_waiting(job);
		struct ws_attempt *other_attempt;
		size_t size;

		if (t == job->spec.tasks)
			break;
		other_attempt = ws_attempt_add(core, machine, job->spec.id, t, attempt);
		size = ws_record_attempt_size(
		    core, other_attempt->job_prev != other_attempt ? other_attempt->job_prev : NULL,
		    other_attempt);
		if (size > *room) { /* the record holds no more: in slices, then */
			ws_attempt_count(core, other_attempt, -1);
			ws_attempt_free(other_attempt);
			*room = 0;
			break;
		}
		*room -= size;
		other_attempt->starved = job->starved;
		ws_planned_capacity_take(job, machine);
		core->scheduler.steps++;
		ws_log(core, WS_LOG_DEBUG, "place %s/%u attempt %llu on %s", job->spec.id, t,
		       (unsigned long long)attempt, machine->name);
	}
	return n;
}

/* Bytes left for attempts in a job's record: three quarters of what its description leaves. */
static size_t ws_record_bytes_left(const struct ws_core *core, const struct ws_job *job)
{
	size_t names =
	    strlen(job->spec.image) + strlen(job->spec.team) + strlen(job->spec.job_class);
	double room = core->writer.value_bytes_max - 640 - (double)names -
		      WS_NAME_MAX / 4.0 * (double)job->spec.type_count;
	double used = 0;
	const struct ws_attempt *attempt, *before = NULL;

	/* a gang's tasks are done together, in one range */
	room = job->spec.gang ? room - 64 : room * 3 / 4;
	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_GONE && !attempt->unrecorded) {
			used += (double)ws_record_attempt_size(core, before, attempt);
			before = attempt;
		}
	return room > used ? (size_t)(room - used) : 0;
}

/* How many of a job's waiting tasks its team's limit leaves room for, less what gangs hold of it.
 */
static uint32_t ws_tasks_within_team_limit(const struct ws_job *job)
{
	const struct ws_team *team = job->team;
	const struct ws_job_spec *spec = &job->spec;
	double most = job->waiting;

	if (spec->cpus > 0)
		most = fmin(most, floor((team->settings->cpus_max + 1e-9 - team->used_cpus -
					 team->reserved_cpus) /
					spec->cpus));
	if (spec->gpus > 0)
		most = fmin(most, floor((team->settings->gpus_max + 1e-9 - team->used_gpus -
					 team->reserved_gpus) /
					spec->gpus));
	return most > 0 ? (uint32_t)most : 0;
}

/* A number for an attempt: none is used twice. */
static uint64_t ws_attempt_number_new(struct ws_core *core)
{
	return ((core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT) << WS_ATTEMPT_SHIFT) +
	       ++core->jobs.attempt_sequence;
}

/* Machines that a gang may be on: one that is silent would keep the whole waiting. */
static bool ws_gang_machine_is_eligible(const struct ws_core *core, const struct ws_job *job,
					const struct ws_machine *machine, uint32_t zones)
{
	return ws_machine_is_eligible(job, machine) && machine->zone_index >= 0 &&
	       (zones >> machine->zone_index & 1) &&
	       !ws_heartbeat_overdue(core, machine->last_heard_at);
}

static int ws_gang_cmp(const void *left, const void *right)
{
	const struct ws_machine *a = *(struct ws_machine *const *)left,
				*b = *(struct ws_machine *const *)right;

	if (a->pass_rank != b->pass_rank)
		return a->pass_rank < b->pass_rank ? -1 : 1;
	return strcmp(a->name, b->name);
}

/* Fetches of other images under way on a machine, up to 9: they share its rate. */
static int ws_fetches_in_flight(const struct ws_machine *machine, int image)
{
	int n = 0, last = image;

	for (const struct ws_attempt *attempt = machine->attempts; attempt && n < 9;
	     attempt = attempt->machine_next)
		if (attempt->job && attempt->state != WS_ATTEMPT_GONE &&
		    attempt->task_state == WS_TASK_FETCHING && attempt->job->image_index != last &&
		    attempt->job->image_index != image &&
		    !ws_image_is_cached(machine, attempt->job->image_index)) {
			last = attempt->job->image_index;
			n++;
		}
	return n;
}

/*
 * Plans what a gang lacks, all of it or nothing: where the image is first, or few others are
 * fetched, then where most of it fits on one machine, since it starts with its last fetch and ends
 * with its first loss; on one that failed a task of late only if there is no other.
 */
static bool ws_gang_place_whole(struct ws_scheduling_pass *pass, struct ws_job *job, uint32_t zones,
				uint64_t attempt)
{
	struct ws_core *core = pass->core;
	uint32_t want = job->waiting;
	size_t n = 0, room = ws_record_bytes_left(core, job);
	struct ws_attempt *other_attempt, *next_attempt;

	for (size_t i = 0; i < pass->machine_count; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(core, job, machine, zones) ||
		    !(fit = ws_tasks_fit_machine(job, machine, want, true)))
			continue;
		machine->pass_rank =
		    (ws_image_is_cached(machine, job->image_index)
			 ? 0
			 : 2000 * (1 + ws_fetches_in_flight(machine, job->image_index))) +
		    (job->latency_sensitive || machine->owned ? 0 : 1000) +
		    (machine->consecutive_failures ? 50000 : 0) - (int)(fit < 999 ? fit : 999);
		pass->candidates[n++] = machine;
	}
	core->scheduler.steps += n;
	qsort(pass->candidates, n, sizeof(*pass->candidates), ws_gang_cmp);
	for (size_t i = 0; i < n && want && room; i++)
		want -= ws_place_on_machine(core, job, pass->candidates[i], want, attempt, &room);
	if (!want) {
		job->last_placed_at = core->now;
		job->unmet_since = job->gang_broken_at = job->gang_reserving_since = 0;
		ws_job_mark_dirty(core, job, true);
		return true;
	}
	if (!room)
		ws_log_wait_reason(core, job, "its record can't name so many machines");
	DL_FOREACH_SAFE2 (job->attempts, other_attempt, next_attempt, job_next)
		if (other_attempt->state == WS_ATTEMPT_PLANNED &&
		    other_attempt->planned_at == core->now && !other_attempt->write_in_flight) {
			ws_planned_capacity_give(job, other_attempt->machine);
			ws_attempt_count(core, other_attempt, -1);
			ws_attempt_free(other_attempt);
		}
	return false;
}

/* The zones in which a gang gathers room: one, if its tasks must share it, and that for long. */
static uint32_t ws_gang_reservation_zones(struct ws_scheduling_pass *pass, struct ws_job *job,
					  uint32_t zones, const uint32_t *later)
{
	uint32_t best = 0, want = job->waiting;
	int at = -1;

	if (!job->spec.one_zone)
		return zones;
	for (int z = 0; z < pass->core->catalog.zone_count; z++) {
		uint32_t score;

		if (!(zones >> z & 1))
			continue;
		score = 1 + 2 * (later[z] < want ? later[z] : want) +
			(ws_zone_can_scale_out(pass->core, job, z) ? 2 * want : 0) +
			(job->gang_reservation_zone == z + 1 ? want : 0);
		if (score > best) {
			best = score;
			at = z;
		}
	}
	if (at < 0)
		return 0;
	job->gang_reservation_zone = at + 1;
	return 1u << at;
}

/* Whether room that is not yet enough for a gang is kept for it: half of the time, and when it
 * ages. */
static bool ws_gang_keeps_reservation(const struct ws_core *core, struct ws_job *job)
{
	double span = core->settings->gang_wait_s;

	if (!job->gang_reserving_since || core->now - job->gang_reserving_since >= 2 * span ||
	    (job->starved && !job->gang_was_starved))
		job->gang_reserving_since = core->now;
	job->gang_was_starved = job->starved;
	return core->now - job->gang_reserving_since < span;
}

/* Others' work ends all the time: it is stopped only when waiting for that takes too long. */
static bool ws_may_stop_others(const struct ws_core *core, const struct ws_job *job, double within)
{
	double since = job->unmet_since > 0 ? job->unmet_since : core->now;

	return job->spec.priority == WS_PRIORITY_PRODUCTION ||
	       core->now - since >= ws_preemption_delay(core, job, within);
}

/* Room for a gang, by zone, in tasks. */
struct ws_gang_capacity {
	uint32_t free[WS_MAX_ZONES];		 /* free */
	uint32_t free_or_stopping[WS_MAX_ZONES]; /* free, or told to end */
	uint32_t free_with_image[WS_MAX_ZONES];	 /* free, where its image is */
	uint32_t ready_zones; /* zones in which it can be placed at once; 0: none */
};

static void ws_gang_count_capacity(struct ws_scheduling_pass *pass, struct ws_job *job,
				   uint32_t zones, struct ws_gang_capacity *room)
{
	uint32_t want = job->waiting;

	for (size_t i = 0; i < pass->machine_count; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(pass->core, job, machine, zones))
			continue;
		room->free_or_stopping[machine->zone_index] +=
		    ws_tasks_fit_machine(job, machine, want, false);
		fit = ws_tasks_fit_machine(job, machine, want, true);
		room->free[machine->zone_index] += fit;
		if (fit && ws_image_is_cached(machine, job->image_index))
			room->free_with_image[machine->zone_index] += fit;
	}
	pass->core->scheduler.steps += pass->machine_count;
}

/* The zones that hold all of a gang now: the one with most of its image, if it must share one. */
static void ws_gang_choose_zones(const struct ws_core *core, const struct ws_job *job,
				 uint32_t zones, struct ws_gang_capacity *room)
{
	uint32_t want = job->waiting, all = 0;

	for (int z = 0; z < core->catalog.zone_count; z++) {
		uint32_t part =
		    job->spec.spread ? (job->spec.tasks + 1) / 2 - job->attempts_by_zone[z] : want;

		if (!(zones >> z & 1))
			continue;
		room->free[z] = room->free[z] < part ? room->free[z] : part;
		room->free_or_stopping[z] =
		    room->free_or_stopping[z] < part ? room->free_or_stopping[z] : part;
		all += room->free[z];
		if (job->spec.one_zone && room->free[z] >= want &&
		    (!room->ready_zones ||
		     room->free_with_image[z] >
			 room->free_with_image[__builtin_ctz(room->ready_zones)]))
			room->ready_zones = 1u << z;
	}
	if (!job->spec.one_zone && all >= want)
		room->ready_zones = zones;
}

/* Keeps what is free for a gang from those that come after it; how many tasks have no room. */
static uint32_t ws_gang_reserve(struct ws_scheduling_pass *pass, struct ws_job *job, uint32_t zones,
				uint32_t want, bool holds)
{
	struct ws_core *core = pass->core;

	for (size_t i = 0; i < pass->machine_count && want; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t n;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(core, job, machine, zones))
			continue;
		n = ws_tasks_fit_machine(job, machine, want, false);
		want -= n;
		if (!machine->attempt_count && n)
			machine->reserved_until = core->now + core->settings->report_s;
		while (holds && n--)
			ws_planned_capacity_take(job, machine);
	}
	return want;
}

/* A gang for which there is not enough room yet: it is gathered, made or rented. */
static void ws_gang_await_capacity(struct ws_scheduling_pass *pass, struct ws_job *job,
				   double within, uint32_t zones,
				   const struct ws_gang_capacity *room, bool holds)
{
	struct ws_core *core = pass->core;
	uint32_t want = job->waiting, coming = 0;
	char reason[128];

	zones = ws_gang_reservation_zones(pass, job, zones, room->free_or_stopping);
	for (int z = 0; z < core->catalog.zone_count; z++)
		coming += zones >> z & 1 ? room->free_or_stopping[z] : 0;
	if (coming < want && !job->spec.spread && ws_may_stop_others(core, job, within))
		want -= ws_preempt(pass, job, want - coming, zones, false);
	holds |= coming >= want;
	want = ws_gang_reserve(pass, job, zones, want, holds);
	if (want)
		ws_autoscaler_add_demand(core, job, want, zones);
	snprintf(reason, sizeof(reason),
		 "a gang, room for %u of %u tasks is there or comes, %u to be rented%s",
		 coming < job->waiting ? coming : job->waiting, job->waiting, want,
		 holds ? ", and is held" : "");
	ws_log_wait_reason(core, job, reason);
}

/* Its team is at its limit: what it lacks of that is held for it. */
static void ws_gang_at_limit(struct ws_core *core, struct ws_job *job, bool holds)
{
	ws_log_wait_reason(core, job, "its team is at its limit");
	if (!holds)
		return;
	job->team->reserved_cpus += job->waiting * job->spec.cpus;
	job->team->reserved_gpus += job->waiting * job->spec.gpus;
}

/*
 * A gang is placed whole. What it lacks is gathered: what is free in its zone, or will be, is kept
 * from those that come after it, for good if it is enough for the whole and else half of the time,
 * so that neither can starve the other; the rest is rented, or made free if all of it can be.
 */
static void ws_place_gang(struct ws_scheduling_pass *pass, struct ws_job *job, double within)
{
	struct ws_core *core = pass->core;
	struct ws_gang_capacity room = {0};
	uint32_t zones = ws_eligible_zones(core, job);
	uint64_t attempt = 0;
	double since = 0;
	bool holds;

	if (job->attempt_count && !ws_gang_is_assembling(job, &attempt, &since)) {
		job->unmet_since = 0; /* it waits for its last attempt to end, not for room */
		return;
	}
	if (!job->unmet_since)
		job->unmet_since = core->now;
	holds = ws_gang_keeps_reservation(core, job);
	if (ws_tasks_within_team_limit(job) < job->waiting) {
		ws_gang_at_limit(core, job, holds);
		return;
	}
	ws_gang_count_capacity(pass, job, zones, &room);
	ws_gang_choose_zones(core, job, zones, &room);
	if (!attempt)
		attempt = ws_attempt_number_new(core);
	if (room.ready_zones && ws_gang_place_whole(pass, job, room.ready_zones, attempt))
		return;
	if (job->attempt_count) { /* it lost a task before it ran */
		if (core->now - since > core->settings->gang_wait_s / 4)
			ws_gang_stop(core, job, 0, WS_STOP_GANG_NO_ROOM);
	} else if (room.ready_zones) { /* on too many machines: nothing is held for it */
		ws_autoscaler_add_demand(
		    core, job, job->waiting,
		    ws_gang_reservation_zones(pass, job, zones, room.free_or_stopping));
	} else {
		ws_gang_await_capacity(pass, job, within, zones, &room, holds);
	}
}

/* A machine that is full for any task that waits need not be looked at again in this pass. */
static void ws_open_machines_compact(struct ws_scheduling_pass *pass)
{
	size_t kept = 0;

	for (size_t i = 0; i < pass->open_count; i++) {
		struct ws_machine *machine = pass->open[i];

		if (fmin(machine->planned_cpus, machine->type->cpus - machine->used_cpus) + 1e-9 >=
		    pass->smallest_task_cpus)
			pass->open[kept++] = machine;
	}
	pass->open_count = kept;
}

/* Of a job whose tasks are being placed in this pass. */
struct ws_placement {
	struct ws_job *job;
	double start_objective_s; /* how soon its class should start by its aim; 0: it has none */
	uint64_t attempt_number;  /* number of what is placed now */
	uint32_t wanted;	  /* tasks that have no room yet */
	size_t record_bytes_left; /* bytes left in its record */
	size_t candidate_count;	  /* machines with room, in the pass's scratch */
};

/*
 * Machines with room, those preferred first: ranks 0 to 3 by owner and image, no more than needed.
 */
static void ws_find_capacity(struct ws_scheduling_pass *pass, struct ws_placement *placing)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placing->job;

	ws_open_machines_compact(pass);
	for (size_t i = 0, sure = 0; i < pass->open_count && sure < placing->wanted; i++) {
		struct ws_machine *machine = pass->open[i];

		core->scheduler.steps++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_has_planned_capacity(job, machine) || !ws_has_free_capacity(job, machine) ||
		    !ws_zone_is_eligible(core, job, machine->zone_index))
			continue;
		machine->pass_rank = ws_image_is_cached(machine, job->image_index) ? 0 : 1;
		if (!job->latency_sensitive && !machine->owned)
			machine->pass_rank += 2;
		if (!machine->pass_rank)
			sure += ws_tasks_fit_machine(job, machine, placing->wanted, true);
		pass->candidates[placing->candidate_count++] = machine;
	}
}

/* Whether on each machine with room the fetch takes longer than the class may wait for its start.
 */
static bool ws_fetches_slow(const struct ws_scheduling_pass *pass,
			    const struct ws_placement *placing)
{
	bool slow = placing->candidate_count > 0;

	for (size_t i = 0; i < placing->candidate_count && slow; i++) {
		double rate = pass->candidates[i]->type->fetch_gb_s;

		slow = rate > 0 && placing->job->spec.image_gb / rate > placing->start_objective_s;
	}
	return slow;
}

/* Places tasks on the machines found, by rank. */
static void ws_take_capacity(struct ws_scheduling_pass *pass, struct ws_placement *placing)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placing->job;

	for (int rank = 0; rank < 4 && placing->wanted && placing->record_bytes_left; rank++) {
		if (rank == 1 && job->latency_sensitive &&
		    job->spec.priority == WS_PRIORITY_PRODUCTION && ws_fetches_slow(pass, placing))
			placing->wanted -= ws_preempt(pass, job, placing->wanted,
						      ws_eligible_zones(core, job), true);
		for (size_t i = 0;
		     i < placing->candidate_count && placing->wanted && placing->record_bytes_left;
		     i++)
			if (pass->candidates[i]->pass_rank == rank)
				placing->wanted -= ws_place_on_machine(
				    core, job, pass->candidates[i], placing->wanted,
				    placing->attempt_number, &placing->record_bytes_left);
	}
}

/* Counts on room that is being made already. */
static void ws_await_stopping_capacity(struct ws_scheduling_pass *pass,
				       struct ws_placement *placing)
{
	struct ws_job *job = placing->job;

	for (size_t i = 0; i < pass->stopping_count && placing->wanted; i++) {
		struct ws_machine *machine = pass->stopping[i];
		uint32_t n;

		pass->core->scheduler.steps++;
		if (!ws_machine_is_eligible(job, machine) ||
		    !ws_zone_is_eligible(pass->core, job, machine->zone_index))
			continue;
		n = ws_tasks_fit_machine(job, machine, placing->wanted, false);
		for (uint32_t k = 0; k < n; k++)
			ws_planned_capacity_take(job, machine);
		placing->wanted -= n;
	}
}

static void ws_log_unmet(struct ws_core *core, struct ws_job *job, uint32_t tasks)
{
	if (core->now - job->wait_logged_at <= core->settings->lease_s)
		return;
	job->wait_logged_at = core->now;
	ws_log(core, WS_LOG_INFO, "job %s: %u tasks wait for room (%s%s)", job->spec.id, tasks,
	       job->guaranteed ? "guaranteed, " : "",
	       job->spec.allows_preemptible ? "spot allowed" : "ordinary machines only");
}

/* What found no room is waited for, made room for, or rented. */
static void ws_place_unmet(struct ws_scheduling_pass *pass, struct ws_placement *placing)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placing->job;

	ws_await_stopping_capacity(pass, placing);
	if (placing->wanted && ws_may_stop_others(core, job, placing->start_objective_s))
		placing->wanted -=
		    ws_preempt(pass, job, placing->wanted, ws_eligible_zones(core, job),
			       job->latency_sensitive && !job->guaranteed);
	if (!placing->wanted) {
		job->unmet_since = 0;
		return;
	}
	ws_autoscaler_add_demand(core, job, placing->wanted, ws_eligible_zones(core, job));
	ws_log_unmet(core, job, placing->wanted);
}

static void ws_place_array(struct ws_scheduling_pass *pass, struct ws_placement *placing)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placing->job;

	/* no more than the team's limit allows: more machines would not help */
	placing->wanted = ws_tasks_within_team_limit(job);
	if (placing->wanted < job->waiting)
		ws_log_wait_reason(core, job, "its team is at its limit");
	if (job->placement_limit && placing->wanted > job->placement_limit)
		placing->wanted = job->placement_limit;
	if (!placing->wanted)
		return;
	placing->record_bytes_left = ws_record_bytes_left(core, job);
	placing->attempt_number = ws_attempt_number_new(core);
	ws_find_capacity(pass, placing);
	ws_take_capacity(pass, placing);
	if (job->waiting < job->waiting_before) {
		job->last_placed_at = core->now;
		ws_job_mark_dirty(core, job, true);
	}
	if (placing->record_bytes_left) /* else as many as can be on record: the rest when these are
					   over */
		ws_place_unmet(pass, placing);
}

static void ws_place_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	struct ws_placement placing = {
	    .job = job, .start_objective_s = ws_start_objective(pass->core, job->spec.job_class)};

	job->latency_sensitive = placing.start_objective_s > 0;
	if (!job->team)
		return;
	if (job->retry_not_before > pass->core->now)
		ws_log_wait_reason(pass->core, job, "held back after failures");
	else if (job->spec.gang)
		ws_place_gang(pass, job, placing.start_objective_s);
	else
		ws_place_array(pass, &placing);
}

/* All machines in the order of first fit. Names change seldom, so neither does the order. */
static void ws_first_fit_order_update(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;

	if (!core->fleet.first_fit_stale)
		return;
	core->fleet.first_fit_count = 0;
	core->fleet.first_fit_order =
	    realloc(core->fleet.first_fit_order,
		    (HASH_COUNT(core->fleet.machines) + 1) * sizeof(*core->fleet.first_fit_order));
	if (!core->fleet.first_fit_order)
		abort();
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		core->fleet.first_fit_order[core->fleet.first_fit_count++] = machine;
	qsort(core->fleet.first_fit_order, core->fleet.first_fit_count,
	      sizeof(*core->fleet.first_fit_order), ws_machine_cmp);
	core->fleet.shared_name_length =
	    core->fleet.first_fit_count ? strlen(core->fleet.first_fit_order[0]->name) - 1 : 0;
	for (size_t i = 1; i < core->fleet.first_fit_count; i++)
		for (size_t k = 0; k < core->fleet.shared_name_length; k++)
			if (core->fleet.first_fit_order[i]->name[k] !=
				core->fleet.first_fit_order[0]->name[k] ||
			    !core->fleet.first_fit_order[i]->name[k + 1])
				core->fleet.shared_name_length = k;
	core->fleet.first_fit_stale = false;
}

/*
 * Room for the lists of one pass, which is taken anew only when the fleet or the jobs have outgrown
 * it: taking and clearing it each time was felt.
 */
static void *ws_pass_memory(struct ws_core *core, size_t machines, size_t jobs)
{
	size_t need = (machines + 1) * (sizeof(struct ws_preemption_victim) + 4 * sizeof(void *)) +
		      (jobs + 1) * sizeof(void *);

	if (need > core->scheduler.scratch_size) {
		free(core->scheduler.scratch);
		core->scheduler.scratch_size = need + need / 2;
		core->scheduler.scratch = malloc(core->scheduler.scratch_size);
		if (!core->scheduler.scratch)
			abort();
	}
	return core->scheduler.scratch;
}

/* The zones that a job's attempts may move to, as if those in avoided zones were gone. */
static uint32_t ws_reservation_zones(const struct ws_core *core, const struct ws_job *job)
{
	uint32_t open = ~core->subsystems.zones_avoided, zones = 0;
	uint32_t kept = 0; /* zones in which attempts stay */

	for (int z = 0; z < core->catalog.zone_count; z++)
		if (job->attempts_by_zone[z] && (open >> z & 1))
			kept |= 1u << z;
	for (int z = 0; z < core->catalog.zone_count; z++) {
		bool ok = (open >> z & 1) && (job->pinned_zone < 0 || job->pinned_zone == z);

		if (job->spec.one_zone && kept && kept != 1u << z)
			ok = false;
		if (job->spec.spread && job->attempts_by_zone[z] >= (job->spec.tasks + 1) / 2)
			ok = false;
		if (ok)
			zones |= 1u << z;
	}
	return zones;
}

/*
 * Keeps room for tasks whose attempts will surely end on machines that went silent together, out of
 * what stays free elsewhere; how many found none. Nothing is placed and nothing is stopped.
 */
static uint32_t ws_reserve_capacity(struct ws_scheduling_pass *pass, struct ws_job *job,
				    uint32_t zones, uint32_t want)
{
	struct ws_core *core = pass->core;

	for (size_t i = pass->reservation_scan_from; i < pass->machine_count && want && zones;
	     i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		core->scheduler.steps++;
		if (i == pass->reservation_scan_from &&
		    machine->planned_cpus + 1e-9 < pass->smallest_reserved_cpus)
			pass->reservation_scan_from++;
		if (!ws_machine_is_eligible(job, machine) || machine->zone_index < 0 ||
		    !(zones >> machine->zone_index & 1))
			continue;
		fit = ws_tasks_fit_machine(job, machine, want, false);
		if (fit && !machine->attempt_count) /* it does not go back as empty meanwhile */
			machine->reserved_until = core->now + core->settings->report_s;
		want -= fit;
		while (fit--)
			ws_planned_capacity_take(job, machine);
	}
	return want;
}

/* Whether a replica may be alive on a machine that is not silent. */
static bool ws_has_replica(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_GONE && !attempt->stopping &&
		    !ws_heartbeat_overdue(core, attempt->machine->last_heard_at))
			return true;
	return false;
}

/* Services whose replicas may all be alive still, on silent machines: room for one of each. */
static void ws_reserve_first_replicas(struct ws_scheduling_pass *pass)
{
	struct ws_core *core = pass->core;
	struct ws_job *job, *next;

	HASH_ITER (hh, core->jobs.by_id, job, next)
		if (job->replicas_apart && job->reserve_ahead && !job->waiting && job->team &&
		    !ws_job_is_over(job) && !ws_has_replica(core, job))
			job->reserved_ahead =
			    1 - ws_reserve_capacity(pass, job, ws_reservation_zones(core, job), 1);
}

/* Whether a service's first replica goes before other replicas of its rank. */
static bool ws_replicas_apart(const struct ws_core *core, const struct ws_job *job)
{
	return job->replicas_apart || (job->spec.service && job->lost_recorded_attempts &&
				       ws_subsystems_defer(core, WS_DEFER_SECOND_REPLICA, -1));
}

/*
 * Places what waits, in order. Of a service with its replicas apart the first is placed in its
 * turn, the others after all else of the same rank.
 */
static void ws_place_jobs(struct ws_scheduling_pass *pass, struct ws_job **jobs, size_t count)
{
	bool reserved = false;

	for (size_t from = 0, to; from < count; from = to) {
		for (to = from; to < count && ws_queue_rank(jobs[to]) == ws_queue_rank(jobs[from]);
		     to++) {
			struct ws_job *job = jobs[to];

			job->waiting_before = job->waiting;
			job->deferred_to_second_round = ws_replicas_apart(pass->core, job);
			job->placement_limit = job->deferred_to_second_round;
			if (!job->deferred_to_second_round || !ws_has_replica(pass->core, job))
				ws_place_job(pass, job);
			job->placement_limit = 0;
		}
		for (size_t i = from; i < to; i++) {
			if (!jobs[i]->deferred_to_second_round || !jobs[i]->waiting)
				continue;
			if (!reserved)
				ws_reserve_first_replicas(pass);
			reserved = true;
			ws_place_job(pass, jobs[i]);
		}
	}
}

/*
 * Attempts of a job on silent machines. A subsystem's figure may be a survey old: meanwhile some
 * may be gone, and wait as tasks already, or be heard again.
 */
static uint32_t ws_silent_attempts(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;
	uint32_t n = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		n += attempt->state != WS_ATTEMPT_GONE && !attempt->stopping &&
		     ws_heartbeat_overdue(core, attempt->machine->last_heard_at);
	return n;
}

/* Room ahead, and rented machines for what has none. */
static void ws_reserve_for_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	uint32_t zones = ws_reservation_zones(pass->core, job);
	uint32_t want = ws_silent_attempts(pass->core, job);

	if (want > job->reserve_ahead)
		want = job->reserve_ahead;
	want = ws_reserve_capacity(pass, job, zones,
				   want > job->reserved_ahead ? want - job->reserved_ahead : 0);
	job->reserved_ahead = 0;
	if (want && zones)
		ws_autoscaler_add_demand(pass->core, job, want, zones);
}

static void ws_reserve_ahead(struct ws_scheduling_pass *pass, struct ws_job **jobs)
{
	struct ws_job *job, *next;
	size_t n = 0;

	if (!pass->core->subsystems.moves)
		return;
	HASH_ITER (hh, pass->core->jobs.by_id, job, next)
		if (job->reserve_ahead && job->team && !ws_job_is_over(job))
			jobs[n++] = job;
	if (!n)
		return;
	qsort(jobs, n, sizeof(*jobs), ws_queue_order_cmp);
	pass->smallest_reserved_cpus = jobs[0]->spec.cpus;
	for (size_t i = 1; i < n; i++)
		pass->smallest_reserved_cpus =
		    fmin(pass->smallest_reserved_cpus, jobs[i]->spec.cpus);
	for (size_t i = 0; i < n; i++)
		ws_reserve_for_job(pass, jobs[i]);
}

/* Memory and figures of a pass; the list for its jobs. */
static struct ws_job **ws_pass_begin(struct ws_core *core, struct ws_scheduling_pass *pass)
{
	double cpus, gpus;

	ws_first_fit_order_update(core);
	pass->victims =
	    ws_pass_memory(core, core->fleet.first_fit_count, HASH_COUNT(core->jobs.by_id));
	pass->machines = (struct ws_machine **)(pass->victims + core->fleet.first_fit_count);
	pass->candidates = pass->machines + core->fleet.first_fit_count;
	pass->open = pass->candidates + core->fleet.first_fit_count;
	pass->stopping = pass->open + core->fleet.first_fit_count;
	pass->smallest_task_cpus = 1e18;
	pass->step_limit =
	    core->scheduler.steps +
	    WS_PASS_STEPS * (uint64_t)(core->fleet.first_fit_count + WS_VICTIM_CANDIDATES);
	core->scheduler.pass_wanted = false;
	core->scheduler.next_pass_at = core->now + ws_sweep_interval(core) / 2;
	core->scheduler.pass_began_at = core->now;
	ws_quarantine_reserved(core, &cpus, &gpus);
	for (size_t i = 0; i < core->settings->team_count; i++) {
		core->jobs.teams[i].reserved_cpus = cpus;
		core->jobs.teams[i].reserved_gpus = gpus;
	}
	return (struct ws_job **)(pass->stopping + core->fleet.first_fit_count);
}

/* Whether a subsystem holds first starts, and the job's are such. */
static bool ws_first_start_held(const struct ws_core *core, const struct ws_job *job)
{
	return ws_subsystems_defer(core, WS_DEFER_FIRST_START, -1) && job->phase == WS_JOB_QUEUED &&
	       !job->attempt_count && !job->done_count;
}

/* Brings a job up to date for a pass; whether tasks of it wait. */
static bool ws_pass_job(struct ws_scheduling_pass *pass, struct ws_job *job)
{
	struct ws_core *core = pass->core;

	if (job->spec.gang && job->attempt_count)
		ws_gang_check_progress(core, job);
	ws_job_update_eligible_types(core,
				     job); /* also of those that only run: they may have to move */
	if (job->attempt_count && ws_scheduling_rank(job) < pass->lowest_running_rank)
		pass->lowest_running_rank = ws_scheduling_rank(job);
	job->starved = job->waiting && ws_job_is_starved(core, job);
	job->may_use_avoided = ws_takes_avoided(core, job);
	if (ws_first_start_held(core, job))
		return false;
	if (job->waiting)
		pass->smallest_task_cpus = fmin(pass->smallest_task_cpus, job->spec.cpus);
	else
		job->unmet_since = 0;
	return job->waiting > 0;
}

/* The live jobs with tasks that wait, in the order in which they are served. */
static size_t ws_pass_jobs(struct ws_scheduling_pass *pass, struct ws_job **jobs)
{
	struct ws_core *core = pass->core;
	struct ws_job *job, *next;
	size_t n = 0, waiting = 0;

	HASH_ITER (hh, core->jobs.by_id, job, next)
		if (!ws_job_is_over(job))
			jobs[n++] = job;
	ws_mark_guaranteed(core, jobs, n);
	ws_subsystems_begin_pass(core);
	for (size_t i = 0; i < n; i++)
		if (ws_pass_job(pass, jobs[i]))
			jobs[waiting++] = jobs[i];
	qsort(jobs, waiting, sizeof(*jobs), ws_queue_order_cmp);
	return waiting;
}

/* The machines that can be used, and what each has left. */
static void ws_pass_machines(struct ws_scheduling_pass *pass)
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
		machine->avoided = ws_subsystems_avoided(core, machine);
		machine->planned_cpus =
		    machine->type->cpus - machine->used_cpus + machine->stopping_cpus;
		machine->planned_gpus =
		    machine->type->gpus - machine->used_gpus + machine->stopping_gpus;
		machine->planned_mem =
		    machine->type->mem_gb - machine->used_mem + machine->stopping_mem;
		pass->open[pass->open_count++] = machine;
		if (machine->stopping_cpus > 0 || machine->stopping_mem > 0)
			pass->stopping[pass->stopping_count++] = machine;
	}
}

void ws_scheduler_run_pass(struct ws_core *core)
{
	struct ws_scheduling_pass pass = {.core = core, .lowest_running_rank = 1000};
	uint64_t began = core->scheduler.steps;
	struct ws_job **jobs = ws_pass_begin(core, &pass);
	size_t waiting = ws_pass_jobs(&pass, jobs);

	ws_pass_machines(&pass);
	ws_place_jobs(&pass, jobs, waiting);
	ws_reserve_ahead(&pass, jobs);
	ws_autoscaler_plan(core);
	core->scheduler.longest_pass_steps =
	    core->scheduler.steps - began > core->scheduler.longest_pass_steps
		? core->scheduler.steps - began
		: core->scheduler.longest_pass_steps;
	if (!waiting)
		ws_consolidate(core, pass.machines, pass.machine_count);
}

void ws_scheduler_reset(struct ws_core *core)
{
	free(core->scheduler.scratch);
	core->scheduler.scratch = NULL;
	core->scheduler.scratch_size = 0;
	core->scheduler.next_pass_at = core->scheduler.pass_began_at = 0;
}

void ws_core_pass_ended(struct ws_core *core, double (*clock)(void))
{
	double now;

	if (core->scheduler.pass_began_at <= 0)
		return;
	now = clock();
	/* placement takes a third of the time at the most, however long what waits; if the process
	 * stood still meanwhile, that was no pass */
	core->scheduler.next_pass_at =
	    fmax(core->scheduler.next_pass_at, now + fmin(2 * (now - core->scheduler.pass_began_at),
							  core->leadership.session_ttl_s / 2));
	core->scheduler.pass_began_at = 0;
}
