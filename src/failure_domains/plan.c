/*
 * The evacuation plan: the jobs that lose attempts with an unreachable domain, the order in which
 * they are placed again, and the capacity reserved for them in advance.
 *
 * The order is stored in shards, each at most as large as one record may be. The progress of a job
 * is not restored from the store: each survey derives it from the core's own view of the jobs, so
 * that the two can't disagree after a crash.
 */
#include "plan.h"
#include "../subsystem_support/subsystem_memory.h"
#include "../subsystem_support/subsystem_moves.h"
#include "domains.h"
#include "health.h"
#include "records.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Bytes allowed for a plan record without its entries, and for an entry without its job's name. */
#define SHARD_OVERHEAD_BYTES 64
#define ENTRY_OVERHEAD_BYTES 40
/* Minimum interval between writes of the progress record, in leases. */
#define PROGRESS_WRITE_LEASES 0.25

/* ---- entries ---- */

static struct ws_domains_plan_entry *find_or_add_entry(struct ws_domains_plan *plan,
						       const char *job)
{
	struct ws_domains_plan_entry *entry;

	HASH_FIND_STR(plan->entries, job, entry);
	if (entry)
		return entry;
	entry = ws_subsystem_allocate(sizeof(*entry));
	snprintf(entry->job, sizeof(entry->job), "%s", job);
	entry->shard = -1;
	entry->first_survey = plan->survey_number;
	HASH_ADD_STR(plan->entries, job, entry);
	return entry;
}

static struct ws_domains_plan_shard *find_or_add_shard(struct ws_domains_plan *plan, int64_t number)
{
	struct ws_domains_plan_shard *shard;

	HASH_FIND(hh, plan->shards, &number, sizeof(number), shard);
	if (shard)
		return shard;
	shard = ws_subsystem_allocate(sizeof(*shard));
	shard->number = number;
	HASH_ADD(hh, plan->shards, number, sizeof(shard->number), shard);
	if (number >= plan->next_shard)
		plan->next_shard = number + 1;
	return shard;
}

void ws_domains_plan_free(struct ws_failure_domains *domains)
{
	struct ws_domains_plan *plan = &domains->plan;

	WS_SUBSYSTEM_FREE_TABLE(plan->entries);
	WS_SUBSYSTEM_FREE_TABLE(plan->shards);
	memset(plan, 0, sizeof(*plan));
}

/* ---- order ---- */

static size_t class_position(const struct ws_domains_settings *settings, const char *job_class)
{
	for (size_t i = 0; i < settings->class_count; i++)
		if (!strcmp(settings->class_order[i], job_class))
			return i;
	return settings->class_count;
}

/* Returns the ordering rule that is reported for an entry: the first one that applies. */
static enum ws_domains_ordering_rule ordering_rule_of(const struct ws_failure_domains *domains,
						      const struct ws_domains_plan_entry *entry)
{
	if (entry->pinned)
		return WS_DOMAINS_BY_ZONE_PIN;
	if (entry->class_position < domains->settings.class_count)
		return WS_DOMAINS_BY_CLASS;
	if (entry->needs_first_replica)
		return WS_DOMAINS_BY_FIRST_REPLICA;
	if (entry->guaranteed)
		return WS_DOMAINS_BY_GUARANTEE;
	if (isfinite(entry->latest_start))
		return WS_DOMAINS_BY_DEADLINE;
	return WS_DOMAINS_BY_PRIORITY;
}

static int compare_sizes(size_t left, size_t right)
{
	return (left > right) - (left < right);
}

/*
 * Compares entries by their order of evacuation. The order of recovery after a cold start
 * (cold_start/recovery.c) differs: here recorded positions and the configured job classes come
 * first, and a service without a live replica precedes only other work of the same guarantee and
 * priority, while there first replicas precede all other work.
 */
static int compare_entries(const struct ws_domains_plan_entry *left,
			   const struct ws_domains_plan_entry *right)
{
	if (left->first_survey != right->first_survey)
		return left->first_survey < right->first_survey ? -1 : 1;
	if (left->recorded_position != right->recorded_position)
		return compare_sizes(left->recorded_position, right->recorded_position);
	if (left->class_position != right->class_position)
		return compare_sizes(left->class_position, right->class_position);
	if (left->guaranteed != right->guaranteed)
		return left->guaranteed ? -1 : 1;
	if (left->priority != right->priority)
		return left->priority > right->priority ? -1 : 1;
	if (left->needs_first_replica != right->needs_first_replica)
		return left->needs_first_replica ? -1 : 1;
	if (left->latest_start != right->latest_start)
		return left->latest_start < right->latest_start ? -1 : 1;
	return strcmp(left->job, right->job);
}

/* ---- survey ---- */

bool ws_domains_attempt_surveyed(void *self, void *machine_handle)
{
	struct ws_domains_machine *machine = machine_handle;

	(void)self;
	if (machine->liveness != WS_DOMAINS_UNRESPONSIVE)
		return false;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		const struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain && (domain->state == WS_DOMAINS_UNREACHABLE ||
			       domain->state == WS_DOMAINS_RECOVERING)) {
			machine->affected_attempts++;
			return true;
		}
	}
	return false;
}

static bool pinned_to_unreachable_zone(struct ws_failure_domains *domains, const char *zone)
{
	const struct ws_failure_domain *domain =
	    zone[0] ? ws_failure_domain_find(domains, zone) : NULL;

	return domain && domain->state == WS_DOMAINS_UNREACHABLE;
}

void ws_domains_job_surveyed(void *self, const struct ws_job_info *info)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_plan_entry *entry;

	HASH_FIND_STR(plan->entries, info->id, entry);
	if (!entry && !info->affected)
		return;
	entry = find_or_add_entry(plan, info->id);
	entry->last_survey = plan->survey_number;
	entry->affected = info->affected;
	entry->waiting = info->waiting;
	entry->planned = entry->planned > info->affected ? entry->planned : info->affected;
	entry->class_position = class_position(&domains->settings, info->job_class);
	entry->guaranteed = info->guaranteed;
	entry->priority = info->priority;
	entry->latest_start = info->latest_start;
	entry->service = info->service;
	entry->needs_first_replica = info->service && !info->elsewhere;
	entry->pinned = pinned_to_unreachable_zone(domains, info->pinned_zone);
	if (entry->shard < 0) /* the rule of a recorded entry doesn't change */
		entry->ordering_rule = ordering_rule_of(domains, entry);
}

/*
 * Returns true if the job is over, or if it has no affected attempts and no waiting tasks and no
 * move is requested for it.
 */
static bool entry_finished(const struct ws_domains_plan *plan,
			   const struct ws_domains_plan_entry *entry)
{
	if (entry->last_survey != plan->survey_number) /* the core no longer has this job */
		return true;
	return !entry->affected && !entry->waiting && !entry->requested_move.position &&
	       !entry->requested_move.reserve_ahead && !entry->requested_move.replicas_apart;
}

/* Removes finished entries from the plan and returns them as a list linked by `next_finished`. */
static struct ws_domains_plan_entry *remove_finished_entries(struct ws_domains_plan *plan)
{
	struct ws_domains_plan_entry *entry, *next, *finished = NULL;

	HASH_ITER (hh, plan->entries, entry, next) {
		if (!entry_finished(plan, entry))
			continue;
		HASH_DEL(plan->entries, entry);
		entry->next_finished = finished;
		finished = entry;
	}
	return finished;
}

void ws_domains_survey_done(void *self, double now)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_plan_entry *finished = remove_finished_entries(plan);

	(void)now;
	HASH_SORT(plan->entries, compare_entries);
	while (finished) {
		struct ws_domains_plan_entry *entry = finished;

		finished = entry->next_finished;
		plan->finished_tasks += entry->planned;
		if (entry->shard >= 0) /* a shard is deleted once all its entries are finished */
			find_or_add_shard(plan, entry->shard)->unfinished_entries--;
		free(entry);
	}
	plan->survey_completed = true;
}

void ws_domains_plan_cancel_moves(struct ws_failure_domains *domains,
				  struct ws_domains_machine *machine)
{
	domains->plan.cancelled_moves += machine->affected_attempts;
	machine->affected_attempts = 0;
}

/* ---- records ---- */

static json_t *plan_record(json_t *jobs)
{
	return json_pack("{s:i,s:o}", "v", WS_DOMAINS_RECORD_FORMAT, "jobs", jobs);
}

static void write_shard(struct ws_domains_plan *plan, json_t *jobs,
			struct ws_request_queue *requests)
{
	char name[64];

	snprintf(name, sizeof(name), "plan/%lld", (long long)plan->next_shard);
	find_or_add_shard(plan, plan->next_shard)->unfinished_entries = json_array_size(jobs);
	ws_request_write(requests, name, plan_record(jobs), false);
}

/* Writes the entries that are not recorded yet, in the order of the plan. */
static void write_plan(struct ws_failure_domains *domains, struct ws_request_queue *requests)
{
	struct ws_domains_plan *plan = &domains->plan;
	size_t bytes = SHARD_OVERHEAD_BYTES;
	json_t *jobs = NULL;

	for (struct ws_domains_plan_entry *entry = plan->entries; entry; entry = entry->hh.next) {
		size_t size = ENTRY_OVERHEAD_BYTES + strlen(entry->job);

		if (entry->shard >= 0)
			continue;
		if (jobs && bytes + size > domains->limits.value_bytes) {
			write_shard(plan, jobs, requests);
			jobs = NULL;
		}
		if (!jobs) {
			jobs = json_array();
			bytes = SHARD_OVERHEAD_BYTES;
		}
		bytes += size;
		entry->shard = plan->next_shard;
		json_array_append_new(
		    jobs, json_pack("[s,I,s]", entry->job, (json_int_t)entry->planned,
				    ws_domains_ordering_rule_name(entry->ordering_rule)));
	}
	if (jobs)
		write_shard(plan, jobs, requests);
}

/*
 * Removes shards without unfinished entries from the plan and returns them as a list linked by
 * `next_finished`.
 */
static struct ws_domains_plan_shard *remove_finished_shards(struct ws_domains_plan *plan)
{
	struct ws_domains_plan_shard *shard, *next, *finished = NULL;

	HASH_ITER (hh, plan->shards, shard, next) {
		if (shard->unfinished_entries)
			continue;
		HASH_DEL(plan->shards, shard);
		shard->next_finished = finished;
		finished = shard;
	}
	return finished;
}

static void delete_finished_shards(struct ws_domains_plan *plan, struct ws_request_queue *requests)
{
	struct ws_domains_plan_shard *finished = remove_finished_shards(plan);

	while (finished) {
		struct ws_domains_plan_shard *shard = finished;
		char name[64];

		finished = shard->next_finished;
		snprintf(name, sizeof(name), "plan/%lld", (long long)shard->number);
		ws_request_delete(requests, name);
		free(shard);
	}
}

/*
 * Restores entries in the order that an earlier leader recorded. Jobs that are over are removed
 * after the first survey.
 */
void ws_domains_plan_shard_loaded(struct ws_failure_domains *domains, const char *number,
				  const json_t *value)
{
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_plan_shard *shard = find_or_add_shard(plan, strtoll(number, NULL, 10));
	json_t *jobs = json_object_get(value, "jobs"), *job;
	size_t i;

	json_array_foreach (jobs, i, job) {
		const char *id = json_string_value(json_array_get(job, 0));
		struct ws_domains_plan_entry *entry;

		if (!id || strlen(id) >= WS_DOMAINS_NAME_MAX)
			continue;
		entry = find_or_add_entry(plan, id);
		if (entry->shard >= 0)
			continue;
		entry->shard = shard->number;
		entry->recorded_position = HASH_COUNT(plan->entries);
		entry->planned = (size_t)json_integer_value(json_array_get(job, 1));
		shard->unfinished_entries++;
	}
}

static void write_progress(struct ws_failure_domains *domains, double now,
			   struct ws_request_queue *requests)
{
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_progress progress = {.planned = plan->finished_tasks,
					       .cancelled = plan->cancelled_moves};
	size_t unmoved = 0;

	for (struct ws_domains_plan_entry *entry = plan->entries; entry; entry = entry->hh.next) {
		size_t pinned = entry->pinned ? entry->affected + entry->waiting : 0;

		progress.planned += entry->planned;
		progress.moving += entry->affected;
		progress.waiting += entry->waiting - (entry->pinned ? entry->waiting : 0);
		progress.pinned += pinned;
		unmoved += entry->affected + entry->waiting;
	}
	progress.moved = progress.planned > unmoved + progress.cancelled
			     ? progress.planned - unmoved - progress.cancelled
			     : 0;
	if (!memcmp(&progress, &plan->last_progress, sizeof(progress)) ||
	    now - plan->last_progress_at < PROGRESS_WRITE_LEASES * domains->limits.lease_s)
		return;
	plan->last_progress = progress;
	plan->last_progress_at = now;
	ws_subsystem_logf(
	    domains->log,
	    "zones: evacuation progress planned=%zu moved=%zu called_off=%zu moving=%zu "
	    "waiting=%zu pinned=%zu",
	    progress.planned, progress.moved, progress.cancelled, progress.moving, progress.waiting,
	    progress.pinned);
	ws_request_write(
	    requests, "progress",
	    json_pack("{s:i,s:I,s:I,s:I,s:I,s:I,s:I}", "v", WS_DOMAINS_RECORD_FORMAT, "planned",
		      (json_int_t)progress.planned, "moved", (json_int_t)progress.moved, "moving",
		      (json_int_t)progress.moving, "waiting", (json_int_t)progress.waiting,
		      "pinned", (json_int_t)progress.pinned, "called_off",
		      (json_int_t)progress.cancelled),
	    false);
}

/* ---- requests to the core ---- */

/*
 * Returns true if capacity is to be reserved in advance. For a domain that is lost repeatedly this
 * is delayed, by a time that grows with each loss up to one lease.
 */
static bool reservation_due(const struct ws_failure_domains *domains, double now)
{
	for (const struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next) {
		double delay_s = domains->limits.lease_s / 4 * fmax(0, domain->penalty - 1);

		if (domain->state == WS_DOMAINS_UNREACHABLE &&
		    now - domain->state_changed_at >= fmin(delay_s, domains->limits.lease_s))
			return true;
	}
	return false;
}

/* Returns true if a service in the plan may have no live replica. */
static bool replica_missing(const struct ws_domains_plan *plan)
{
	for (const struct ws_domains_plan_entry *entry = plan->entries; entry;
	     entry = entry->hh.next)
		if (entry->needs_first_replica && !entry->pinned)
			return true;
	return false;
}

static void request_moves(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *requests)
{
	const size_t moves_max = ws_subsystem_moves_max(&domains->limits);
	const bool reserve_ahead = reservation_due(domains, now);
	const bool unhealthy = ws_domains_any_in_state(domains, WS_DOMAINS_UNREACHABLE) ||
			       ws_domains_any_in_state(domains, WS_DOMAINS_RECOVERING);
	const bool replicas_apart = replica_missing(&domains->plan);
	uint32_t position = 0;

	for (struct ws_domains_plan_entry *entry = domains->plan.entries; entry;
	     entry = entry->hh.next) {
		struct ws_move move = {0};
		bool movable = unhealthy && !entry->pinned && (entry->affected || entry->waiting);

		if (movable && position < moves_max)
			move.position = ++position;
		if (movable && reserve_ahead)
			move.reserve_ahead = (uint32_t)entry->affected;
		move.replicas_apart = movable && replicas_apart && entry->service;
		if (move.position == entry->requested_move.position &&
		    move.reserve_ahead == entry->requested_move.reserve_ahead &&
		    move.replicas_apart == entry->requested_move.replicas_apart)
			continue;
		entry->requested_move = move;
		move.job = entry->job;
		ws_request_move(requests, &move);
	}
}

static void log_plan(const struct ws_failure_domains *domains)
{
	const struct ws_domains_plan_entry *first = domains->plan.entries;
	size_t jobs = 0;

	for (const struct ws_domains_plan_entry *entry = first; entry; entry = entry->hh.next)
		jobs += entry->shard < 0;
	if (jobs)
		ws_subsystem_logf(
		    domains->log,
		    "zones: evacuation plan extended jobs=%zu first_job=%s reason=\"%s\"", jobs,
		    first->job, ws_domains_ordering_rule_name(first->ordering_rule));
}

void ws_domains_plan_tick(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *requests)
{
	struct ws_domains_plan *plan = &domains->plan;

	if (plan->survey_completed) {
		plan->survey_completed = false;
		log_plan(domains);
		request_moves(domains, now, requests);
		write_plan(domains, requests);
		delete_finished_shards(plan, requests);
		write_progress(domains, now, requests);
	}
	if ((!plan->entries && !plan->shards &&
	     !ws_domains_any_in_state(domains, WS_DOMAINS_UNREACHABLE)) ||
	    now < plan->survey_due_at)
		return;
	if (!plan->entries && !plan->shards) { /* a new evacuation starts its counts at zero */
		plan->finished_tasks = plan->cancelled_moves = 0;
		plan->last_progress = (struct ws_domains_progress){0};
	}
	plan->survey_due_at = now + domains->limits.heartbeat_s;
	plan->survey_number++;
	for (struct ws_failure_domain *domain = domains->by_name; domain; domain = domain->hh.next)
		for (struct ws_domains_membership *member = domain->members; member;
		     member = member->next) {
			domains->machine_operations++;
			member->machine->affected_attempts = 0;
		}
	ws_request_survey(requests);
}
