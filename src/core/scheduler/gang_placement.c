/*
 * Gang scheduling: all tasks of a gang are placed at once, or none.
 *
 * While there is not enough free capacity, the capacity in the gang's zones that is free or being
 * freed is reserved for it, so that later jobs cannot use it. The reservation lasts if it covers
 * the whole gang, and otherwise only half of the time, so that neither the gang nor the other jobs
 * can starve. For the remaining tasks other work is preempted if that frees enough for all of them;
 * otherwise they become unmet demand.
 */
#include "pass.h"

/* Penalties of machines for a gang. A machine's rank is their sum minus the number of tasks that
 * fit on it; the lowest rank is used first. */
#define WS_GANG_RANK_FAILED 50000 /* its most recent tasks failed */
#define WS_GANG_RANK_FETCH 2000	  /* for each image fetch there, including that of this gang */
#define WS_GANG_RANK_RENTED 1000
#define WS_GANG_RANK_TASKS_MAX 999
/* Limit of the fetches in progress on a machine that count for its rank. */
#define WS_FETCHES_COUNTED_MAX 9

/* Weights per task, used to choose the zone in which a gang with one_zone reserves capacity. */
#define WS_ZONE_SCORE_CAPACITY 2      /* planned capacity exists for the task */
#define WS_ZONE_SCORE_CAN_SCALE_OUT 2 /* machines can be requested there */
#define WS_ZONE_SCORE_RESERVED 1      /* the gang's reservation is there already */

/* Capacity for a gang in each zone, as the number of its tasks that fit. */
struct ws_gang_capacity {
	uint32_t free[WS_MAX_ZONES];		 /* free now */
	uint32_t free_or_stopping[WS_MAX_ZONES]; /* free now or used by stopping tasks */
	uint32_t free_with_image[WS_MAX_ZONES];	 /* free now on machines with the image */
	uint32_t placeable_zones; /* zones where the whole gang fits now, as a bit mask */
};

/* A gang that is being placed in this pass. */
struct ws_gang_placement {
	struct ws_job *job;
	double start_objective_s; /* start latency objective of its class; 0: none */
	uint32_t zones;		  /* eligible zones, as a bit mask */
	bool keeps_reservation;	  /* capacity is reserved even if it is not enough yet */
	struct ws_gang_capacity capacity;
};

/* Returns true if a machine may run tasks of a gang. A machine whose heartbeat is overdue may not,
 * since the whole gang would have to wait for it. */
static bool ws_gang_machine_is_eligible(const struct ws_core *core, const struct ws_job *job,
					const struct ws_machine *machine, uint32_t zones)
{
	return ws_machine_is_eligible(job, machine) &&
	       ws_zone_in_mask(machine->zone_index, zones) &&
	       !ws_heartbeat_overdue(core, machine->last_contact_at);
}

static int ws_gang_candidate_compare(const void *left, const void *right)
{
	const struct ws_machine *first = *(struct ws_machine *const *)left;
	const struct ws_machine *second = *(struct ws_machine *const *)right;

	if (first->pass_rank != second->pass_rank)
		return first->pass_rank < second->pass_rank ? -1 : 1;
	return strcmp(first->name, second->name);
}

/* Returns the number of other images that a machine is fetching, up to a limit. Concurrent fetches
 * share the machine's fetch rate. */
static int ws_fetches_in_flight(const struct ws_machine *machine, int image)
{
	int fetches = 0, last_image = image;

	for (const struct ws_attempt *attempt = machine->attempts;
	     attempt && fetches < WS_FETCHES_COUNTED_MAX; attempt = attempt->machine_next)
		if (attempt->job && attempt->state != WS_ATTEMPT_RELEASED &&
		    attempt->task_state == WS_TASK_FETCHING &&
		    attempt->job->image_index != last_image && attempt->job->image_index != image &&
		    !ws_image_is_cached(machine, attempt->job->image_index)) {
			last_image = attempt->job->image_index;
			fetches++;
		}
	return fetches;
}

/*
 * Returns the rank of a machine for a gang. Machines with the image or with few fetches in progress
 * are preferred, since a gang starts only after its last fetch. Then machines that fit many of its
 * tasks are preferred, since the loss of any machine stops the gang. Machines whose most recent
 * tasks failed are used last.
 */
static int ws_gang_machine_rank(const struct ws_job *job, const struct ws_machine *machine,
				uint32_t fit)
{
	int rank = -(int)(fit < WS_GANG_RANK_TASKS_MAX ? fit : WS_GANG_RANK_TASKS_MAX);

	if (!ws_image_is_cached(machine, job->image_index))
		rank += WS_GANG_RANK_FETCH * (1 + ws_fetches_in_flight(machine, job->image_index));
	if (!job->latency_sensitive && !machine->owned)
		rank += WS_GANG_RANK_RENTED;
	if (machine->consecutive_failures)
		rank += WS_GANG_RANK_FAILED;
	return rank;
}

/* Lists machines with capacity for tasks of a gang, sorted by rank. Returns their number. */
static size_t ws_gang_find_candidates(struct ws_scheduling_pass *pass, const struct ws_job *job,
				      uint32_t zones)
{
	struct ws_core *core = pass->core;
	size_t count = 0;

	for (size_t i = 0; i < pass->machine_count; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(core, job, machine, zones))
			continue;
		fit = ws_tasks_fit_now(job, machine, job->waiting);
		if (!fit)
			continue;
		machine->pass_rank = ws_gang_machine_rank(job, machine, fit);
		pass->candidates[count++] = machine;
	}
	core->scheduler.steps += count;
	qsort(pass->candidates, count, sizeof(*pass->candidates), ws_gang_candidate_compare);
	return count;
}

/* Removes the attempts that this pass planned for a gang. */
static void ws_gang_unplace(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next_attempt;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
		if (attempt->state == WS_ATTEMPT_PLANNED && attempt->planned_at == core->now &&
		    !attempt->write_in_flight) {
			ws_planned_capacity_release(job, attempt->machine);
			ws_attempt_account(core, attempt, -1);
			ws_attempt_free(attempt);
		}
}

/* Plans attempts for all waiting tasks of a gang, or for none. Returns true if it planned them. */
static bool ws_gang_place_whole(struct ws_scheduling_pass *pass, struct ws_job *job, uint32_t zones,
				uint64_t attempt_number)
{
	struct ws_core *core = pass->core;
	uint32_t unplaced = job->waiting;
	size_t record_bytes_left = ws_record_bytes_left(core, job);
	size_t count = ws_gang_find_candidates(pass, job, zones);

	for (size_t i = 0; i < count && unplaced; i++)
		unplaced -= ws_place_on_machine(core, job, pass->candidates[i], unplaced,
						attempt_number, &record_bytes_left);
	if (!unplaced) {
		job->last_placed_at = core->now;
		job->unmet_since = job->gang.member_lost_at = job->gang.reserving_since = 0;
		ws_job_mark_dirty(core, job, true);
		return true;
	}
	ws_gang_unplace(core, job);
	return false;
}

/* Returns how well a zone suits the reservation of a gang with one_zone; always above 0. */
static uint32_t ws_gang_zone_score(struct ws_scheduling_pass *pass,
				   const struct ws_gang_placement *placement, int zone)
{
	const struct ws_job *job = placement->job;
	uint32_t tasks = job->waiting;
	uint32_t with_capacity = placement->capacity.free_or_stopping[zone];
	uint32_t score = 1;

	score += WS_ZONE_SCORE_CAPACITY * (with_capacity < tasks ? with_capacity : tasks);
	if (ws_core_zone_can_scale_out(pass->core, job, zone))
		score += WS_ZONE_SCORE_CAN_SCALE_OUT * tasks;
	if (job->gang.reservation_zone == zone + 1)
		score += WS_ZONE_SCORE_RESERVED * tasks;
	return score;
}

/* Returns the zones in which a gang reserves capacity. For a gang with one_zone this is a single
 * zone; the score of the current one is raised so that the choice seldom changes. */
static uint32_t ws_gang_reservation_zones(struct ws_scheduling_pass *pass,
					  const struct ws_gang_placement *placement)
{
	uint32_t best_score = 0;
	int best_zone = -1;

	if (!placement->job->spec.one_zone)
		return placement->zones;
	for (int zone = 0; zone < pass->core->catalog.zone_count; zone++) {
		uint32_t score;

		if (!ws_zone_in_mask(zone, placement->zones))
			continue;
		score = ws_gang_zone_score(pass, placement, zone);
		if (score > best_score) {
			best_score = score;
			best_zone = zone;
		}
	}
	if (best_zone < 0)
		return 0;
	placement->job->gang.reservation_zone = best_zone + 1;
	return 1u << best_zone;
}

/* Returns true if capacity is reserved for a gang even though it is not enough yet. This holds for
 * the first half of each cycle; a new cycle begins when the gang becomes starved. */
static bool ws_gang_keeps_reservation(const struct ws_core *core, struct ws_job *job)
{
	double half_cycle_s = core->settings->gang_wait_s;

	if (!job->gang.reserving_since ||
	    core->now - job->gang.reserving_since >= 2 * half_cycle_s ||
	    (job->starved && !job->gang.was_starved))
		job->gang.reserving_since = core->now;
	job->gang.was_starved = job->starved;
	return core->now - job->gang.reserving_since < half_cycle_s;
}

/* Counts the tasks of a gang that fit into the capacity of each eligible zone. */
static void ws_gang_count_capacity(struct ws_scheduling_pass *pass,
				   struct ws_gang_placement *placement)
{
	const struct ws_job *job = placement->job;
	struct ws_gang_capacity *capacity = &placement->capacity;

	for (size_t i = 0; i < pass->machine_count; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(pass->core, job, machine, placement->zones))
			continue;
		capacity->free_or_stopping[machine->zone_index] +=
		    ws_tasks_fit_planned(job, machine, job->waiting);
		fit = ws_tasks_fit_now(job, machine, job->waiting);
		capacity->free[machine->zone_index] += fit;
		if (fit && ws_image_is_cached(machine, job->image_index))
			capacity->free_with_image[machine->zone_index] += fit;
	}
	pass->core->scheduler.steps += pass->machine_count;
}

/* Limits the capacity of a zone to the number of tasks allowed in it, which for a gang with spread
 * is half of its tasks, rounded up. */
static void ws_gang_limit_zone_capacity(const struct ws_job *job, int zone,
					struct ws_gang_capacity *capacity)
{
	uint32_t limit = job->spec.spread ? (job->spec.tasks + 1) / 2 - job->attempts_by_zone[zone]
					  : job->waiting;

	if (capacity->free[zone] > limit)
		capacity->free[zone] = limit;
	if (capacity->free_or_stopping[zone] > limit)
		capacity->free_or_stopping[zone] = limit;
}

/* Returns true if no zone is chosen yet, or if more of the gang fits on machines with its image in
 * this zone than in the chosen one. */
static bool ws_zone_has_more_of_image(const struct ws_gang_capacity *capacity, int zone)
{
	return !capacity->placeable_zones ||
	       capacity->free_with_image[zone] >
		   capacity->free_with_image[__builtin_ctz(capacity->placeable_zones)];
}

/* Finds the zones in which the whole gang fits now. For a gang with one_zone, chooses the zone with
 * the most capacity on machines that have its image. */
static void ws_gang_choose_zones(const struct ws_core *core, struct ws_gang_placement *placement)
{
	const struct ws_job *job = placement->job;
	struct ws_gang_capacity *capacity = &placement->capacity;
	uint32_t free_in_all_zones = 0;

	for (int zone = 0; zone < core->catalog.zone_count; zone++) {
		if (!ws_zone_in_mask(zone, placement->zones))
			continue;
		ws_gang_limit_zone_capacity(job, zone, capacity);
		free_in_all_zones += capacity->free[zone];
		if (job->spec.one_zone && capacity->free[zone] >= job->waiting &&
		    ws_zone_has_more_of_image(capacity, zone))
			capacity->placeable_zones = 1u << zone;
	}
	if (!job->spec.one_zone && free_in_all_zones >= job->waiting)
		capacity->placeable_zones = placement->zones;
}

/* Reserves planned capacity for tasks of a gang if takes_capacity is set. In either case protects
 * empty machines that the gang could use from scale-in. Returns how many tasks do not fit. */
static uint32_t ws_gang_reserve(struct ws_scheduling_pass *pass, struct ws_job *job, uint32_t zones,
				uint32_t tasks, bool takes_capacity)
{
	struct ws_core *core = pass->core;
	uint32_t missing = tasks;

	for (size_t i = 0; i < pass->machine_count && missing; i++) {
		struct ws_machine *machine = pass->machines[i];
		uint32_t fit;

		if (!ws_has_planned_capacity(job, machine) ||
		    !ws_gang_machine_is_eligible(core, job, machine, zones))
			continue;
		fit = ws_tasks_fit_planned(job, machine, missing);
		missing -= fit;
		if (!machine->attempt_count && fit)
			machine->reserved_until = core->now + core->settings->heartbeat_s;
		for (uint32_t k = 0; takes_capacity && k < fit; k++)
			ws_planned_capacity_reserve(job, machine);
	}
	return missing;
}

/* Returns the number of tasks for which capacity in the given zones is free or being freed. */
static uint32_t ws_gang_tasks_with_capacity(const struct ws_core *core,
					    const struct ws_gang_capacity *capacity, uint32_t zones)
{
	uint32_t tasks = 0;

	for (int zone = 0; zone < core->catalog.zone_count; zone++)
		if (ws_zone_in_mask(zone, zones))
			tasks += capacity->free_or_stopping[zone];
	return tasks;
}

/* Handles a gang for which there is not enough free capacity: reserves what there is, preempts
 * other work, and adds the rest to the unmet demand. */
static void ws_gang_await_capacity(struct ws_scheduling_pass *pass,
				   const struct ws_gang_placement *placement)
{
	struct ws_core *core = pass->core;
	struct ws_job *job = placement->job;
	uint32_t zones = ws_gang_reservation_zones(pass, placement);
	uint32_t with_capacity = ws_gang_tasks_with_capacity(core, &placement->capacity, zones);
	uint32_t missing = job->waiting;
	bool takes_capacity;
	char reason[128];

	if (with_capacity < missing && !job->spec.spread &&
	    ws_preemption_is_due(core, job, placement->start_objective_s))
		missing -= ws_preempt(pass, &(struct ws_preemption_request){
						.job = job,
						.tasks = missing - with_capacity,
						.zones = zones,
					    });
	takes_capacity = placement->keeps_reservation || with_capacity >= missing;
	missing = ws_gang_reserve(pass, job, zones, missing, takes_capacity);
	if (missing)
		ws_unmet_demand_add(core, job, missing, zones);
	snprintf(reason, sizeof(reason),
		 "gang capacity for %u of %u tasks free or expected, %u missing%s",
		 with_capacity < job->waiting ? with_capacity : job->waiting, job->waiting, missing,
		 takes_capacity ? ", reserved" : "");
	ws_log_wait_reason(core, job, reason);
}

/* Handles a gang whose team is at its limit. If the gang keeps a reservation, a part of the limit
 * is reserved for its waiting tasks. */
static void ws_gang_at_team_limit(struct ws_core *core, struct ws_job *job, bool keeps_reservation)
{
	ws_report_team_limit(core, job);
	if (!keeps_reservation)
		return;
	job->team->reserved_cpus += job->waiting * job->spec.cpus;
	job->team->reserved_gpus += job->waiting * job->spec.gpus;
}

/* Stops a gang that lost tasks before it ran if they could not be replaced for a quarter of the
 * gang's maximum wait. */
static void ws_gang_check_incomplete(struct ws_core *core, struct ws_job *job,
				     double assembling_since)
{
	if (core->now - assembling_since > core->settings->gang_wait_s / 4)
		ws_gang_stop(core, job, 0, WS_STOP_GANG_NOT_REPLACED);
}

void ws_place_gang(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s)
{
	struct ws_core *core = pass->core;
	struct ws_gang_placement placement = {.job = job, .start_objective_s = start_objective_s};
	uint64_t attempt_number = 0;
	double assembling_since = 0;

	if (job->attempt_count && !ws_gang_is_assembling(job, &attempt_number, &assembling_since)) {
		/* it waits for its previous attempt to end, not for capacity */
		job->unmet_since = 0;
		return;
	}
	if (!job->unmet_since)
		job->unmet_since = core->now;
	placement.zones = ws_eligible_zones(core, job);
	placement.keeps_reservation = ws_gang_keeps_reservation(core, job);
	if (ws_tasks_within_team_limit(job) < job->waiting) {
		ws_gang_at_team_limit(core, job, placement.keeps_reservation);
		return;
	}
	ws_gang_count_capacity(pass, &placement);
	ws_gang_choose_zones(core, &placement);
	if (!attempt_number)
		attempt_number = ws_attempt_number_new(core);
	if (placement.capacity.placeable_zones &&
	    ws_gang_place_whole(pass, job, placement.capacity.placeable_zones, attempt_number))
		return;
	if (job->attempt_count)
		ws_gang_check_incomplete(core, job, assembling_since);
	else
		ws_gang_await_capacity(pass, &placement);
}
