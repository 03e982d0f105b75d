/*
 * The evacuation plan: which jobs lose attempts with a dark domain, in which order they are to be
 * placed again, and room asked for ahead.
 *
 * The order is on record, in parts of a value's size each. Progress is not: each survey derives it
 * from the core's own view of the jobs, so that the two can't disagree after a crash.
 */
#include "internal.h"

/* Bytes of a plan record besides its entries, and of an entry besides its job's name. */
#define PART_BYTES 64
#define ENTRY_BYTES 40
/* The share of the store's changes in a heartbeat interval that moves may take. */
#define WINDOW_SHARE 0.25
#define WINDOW_MIN 8
/* Progress is written so often at most, in leases. */
#define PROGRESS_LEASES 0.25

/* ---- entries ---- */

static struct ws_domains_entry *entry_get(struct ws_domains_plan *plan, const char *job)
{
	struct ws_domains_entry *entry;

	HASH_FIND_STR(plan->entries, job, entry);
	if (entry)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	snprintf(entry->job, sizeof(entry->job), "%s", job);
	entry->part = -1;
	entry->round = plan->surveys;
	HASH_ADD_STR(plan->entries, job, entry);
	return entry;
}

static struct ws_domains_part *part_get(struct ws_domains_plan *plan, int64_t number)
{
	struct ws_domains_part *part;

	HASH_FIND(hh, plan->parts, &number, sizeof(number), part);
	if (part)
		return part;
	part = calloc(1, sizeof(*part));
	if (!part)
		abort();
	part->number = number;
	HASH_ADD(hh, plan->parts, number, sizeof(part->number), part);
	if (number >= plan->next_part)
		plan->next_part = number + 1;
	return part;
}

void ws_domains_plan_free(struct ws_failure_domains *domains)
{
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_entry *entry = plan->entries, *next_entry;
	struct ws_domains_part *part = plan->parts, *next_part;

	HASH_CLEAR(hh, plan->entries);
	for (; entry; entry = next_entry) {
		next_entry = entry->hh.next;
		free(entry);
	}
	HASH_CLEAR(hh, plan->parts);
	for (; part; part = next_part) {
		next_part = part->hh.next;
		free(part);
	}
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

/* Why the entry stands where it does: the first of the rules that speaks for it. */
static enum ws_domains_reason reason_of(const struct ws_failure_domains *domains,
					const struct ws_domains_entry *entry)
{
	if (entry->pinned)
		return WS_DOMAINS_PINNED;
	if (entry->class_position < domains->settings.class_count)
		return WS_DOMAINS_BY_CLASS;
	if (entry->first_replica)
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

static int compare_entries(const struct ws_domains_entry *left,
			   const struct ws_domains_entry *right)
{
	if (left->round != right->round)
		return left->round < right->round ? -1 : 1;
	if (left->recorded_position != right->recorded_position)
		return compare_sizes(left->recorded_position, right->recorded_position);
	if (left->class_position != right->class_position)
		return compare_sizes(left->class_position, right->class_position);
	if (left->guaranteed != right->guaranteed)
		return left->guaranteed ? -1 : 1;
	if (left->priority != right->priority)
		return left->priority > right->priority ? -1 : 1;
	if (left->first_replica != right->first_replica)
		return left->first_replica ? -1 : 1;
	if (left->latest_start != right->latest_start)
		return left->latest_start < right->latest_start ? -1 : 1;
	return strcmp(left->job, right->job);
}

/* ---- survey ---- */

bool ws_domains_attempt_surveyed(void *self, void *machine_handle)
{
	struct ws_domains_machine *machine = machine_handle;

	(void)self;
	if (machine->presence != WS_DOMAINS_SILENT)
		return false;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		const struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain &&
		    (domain->state == WS_DOMAINS_DARK || domain->state == WS_DOMAINS_RECOVERING)) {
			machine->affected++;
			return true;
		}
	}
	return false;
}

static bool pinned_to_dark(struct ws_failure_domains *domains, const char *zone)
{
	const struct ws_failure_domain *domain =
	    zone[0] ? ws_failure_domain_find(domains, zone) : NULL;

	return domain && domain->state == WS_DOMAINS_DARK;
}

void ws_domains_job_surveyed(void *self, const struct ws_job_facts *facts)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_entry *entry;

	HASH_FIND_STR(plan->entries, facts->id, entry);
	if (!entry && !facts->affected)
		return;
	entry = entry_get(plan, facts->id);
	entry->seen = plan->surveys;
	entry->affected = facts->affected;
	entry->waiting = facts->waiting;
	entry->planned = entry->planned > facts->affected ? entry->planned : facts->affected;
	entry->class_position = class_position(&domains->settings, facts->job_class);
	entry->guaranteed = facts->guaranteed;
	entry->priority = facts->priority;
	entry->latest_start = facts->latest_start;
	entry->service = facts->service;
	entry->first_replica = facts->service && !facts->elsewhere;
	entry->pinned = pinned_to_dark(domains, facts->pinned_zone);
	if (entry->part < 0) /* what is on record keeps the reason it was given */
		entry->reason = reason_of(domains, entry);
}

/* Over, or all of it placed anew or heard again, with no request left to take back. */
static bool entry_finished(const struct ws_domains_plan *plan, const struct ws_domains_entry *entry)
{
	if (entry->seen != plan->surveys) /* the core has no such job any more */
		return true;
	return !entry->affected && !entry->waiting && !entry->sent.position &&
	       !entry->sent.reserve_ahead && !entry->sent.replicas_apart;
}

/* Takes finished entries off the plan, as a list linked by `next_finished`. */
static struct ws_domains_entry *take_finished(struct ws_domains_plan *plan)
{
	struct ws_domains_entry *entry, *next, *finished = NULL;

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
	struct ws_domains_entry *finished = take_finished(plan);

	(void)now;
	HASH_SORT(plan->entries, compare_entries);
	while (finished) {
		struct ws_domains_entry *entry = finished;

		finished = entry->next_finished;
		plan->finished += entry->planned;
		if (entry->part >= 0) /* its part may go when all of it is finished */
			part_get(plan, entry->part)->entries--;
		free(entry);
	}
	plan->surveyed = true;
}

void ws_domains_called_off(struct ws_failure_domains *domains, struct ws_domains_machine *machine)
{
	domains->plan.called_off += machine->affected;
	machine->affected = 0;
}

/* ---- records ---- */

static json_t *plan_record(json_t *jobs)
{
	return json_pack("{s:i,s:o}", "v", WS_DOMAINS_FORMAT, "jobs", jobs);
}

static void part_write(struct ws_domains_plan *plan, json_t *jobs, struct ws_request_queue *out)
{
	char name[64];

	snprintf(name, sizeof(name), "plan/%lld", (long long)plan->next_part);
	part_get(plan, plan->next_part)->entries = json_array_size(jobs);
	ws_request_write(out, name, plan_record(jobs), false);
}

/* Puts on record what is not yet, in the order of the plan. */
static void plan_write(struct ws_failure_domains *domains, struct ws_request_queue *out)
{
	struct ws_domains_plan *plan = &domains->plan;
	size_t bytes = PART_BYTES;
	json_t *jobs = NULL;

	for (struct ws_domains_entry *entry = plan->entries; entry; entry = entry->hh.next) {
		size_t size = ENTRY_BYTES + strlen(entry->job);

		if (entry->part >= 0)
			continue;
		if (jobs && bytes + size > domains->limits.value_bytes) {
			part_write(plan, jobs, out);
			jobs = NULL;
		}
		if (!jobs) {
			jobs = json_array();
			bytes = PART_BYTES;
		}
		bytes += size;
		entry->part = plan->next_part;
		json_array_append_new(jobs,
				      json_pack("[s,I,s]", entry->job, (json_int_t)entry->planned,
						ws_domains_reason_name(entry->reason)));
	}
	if (jobs)
		part_write(plan, jobs, out);
}

/* Takes parts without unfinished entries off the plan, as a list linked by `next_finished`. */
static struct ws_domains_part *take_finished_parts(struct ws_domains_plan *plan)
{
	struct ws_domains_part *part, *next, *finished = NULL;

	HASH_ITER (hh, plan->parts, part, next) {
		if (part->entries)
			continue;
		HASH_DEL(plan->parts, part);
		part->next_finished = finished;
		finished = part;
	}
	return finished;
}

static void parts_delete(struct ws_domains_plan *plan, struct ws_request_queue *out)
{
	struct ws_domains_part *finished = take_finished_parts(plan);

	while (finished) {
		struct ws_domains_part *part = finished;
		char name[64];

		finished = part->next_finished;
		snprintf(name, sizeof(name), "plan/%lld", (long long)part->number);
		ws_request_delete(out, name);
		free(part);
	}
}

/* An earlier leader's order is kept; jobs that are over drop out with the first survey. */
void ws_domains_plan_loaded(struct ws_failure_domains *domains, const char *number, json_t *value)
{
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_part *part = part_get(plan, strtoll(number, NULL, 10));
	json_t *jobs = json_object_get(value, "jobs"), *job;
	size_t i;

	json_array_foreach (jobs, i, job) {
		const char *id = json_string_value(json_array_get(job, 0));
		struct ws_domains_entry *entry;

		if (!id || strlen(id) >= WS_DOMAINS_NAME_MAX)
			continue;
		entry = entry_get(plan, id);
		if (entry->part >= 0)
			continue;
		entry->part = part->number;
		entry->recorded_position = HASH_COUNT(plan->entries);
		entry->planned = (size_t)json_integer_value(json_array_get(job, 1));
		part->entries++;
	}
}

static void progress_write(struct ws_failure_domains *domains, double now,
			   struct ws_request_queue *out)
{
	struct ws_domains_plan *plan = &domains->plan;
	struct ws_domains_progress progress = {.planned = plan->finished,
					       .called_off = plan->called_off};
	size_t open = 0;

	for (struct ws_domains_entry *entry = plan->entries; entry; entry = entry->hh.next) {
		size_t pinned = entry->pinned ? entry->affected + entry->waiting : 0;

		progress.planned += entry->planned;
		progress.moving += entry->affected;
		progress.waiting += entry->waiting - (entry->pinned ? entry->waiting : 0);
		progress.pinned += pinned;
		open += entry->affected + entry->waiting;
	}
	progress.moved = progress.planned > open + progress.called_off
			     ? progress.planned - open - progress.called_off
			     : 0;
	if (!memcmp(&progress, &plan->told, sizeof(progress)) ||
	    now - plan->told_at < PROGRESS_LEASES * domains->limits.lease_s)
		return;
	plan->told = progress;
	plan->told_at = now;
	ws_domains_logf(domains,
			"zones: plan progress planned=%zu moved=%zu called_off=%zu moving=%zu "
			"waiting=%zu pinned=%zu",
			progress.planned, progress.moved, progress.called_off, progress.moving,
			progress.waiting, progress.pinned);
	ws_request_write(
	    out, "progress",
	    json_pack("{s:i,s:I,s:I,s:I,s:I,s:I,s:I}", "v", WS_DOMAINS_FORMAT, "planned",
		      (json_int_t)progress.planned, "moved", (json_int_t)progress.moved, "moving",
		      (json_int_t)progress.moving, "waiting", (json_int_t)progress.waiting,
		      "pinned", (json_int_t)progress.pinned, "called_off",
		      (json_int_t)progress.called_off),
	    false);
}

/* ---- what the core is asked ---- */

/* A domain that flaps gets room ahead only after a while, longer with each flap. */
static bool ahead_due(const struct ws_failure_domains *domains, double now)
{
	for (const struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next) {
		double patience = domains->limits.lease_s / 4 * fmax(0, domain->penalty - 1);

		if (domain->state == WS_DOMAINS_DARK &&
		    now - domain->since >= fmin(patience, domains->limits.lease_s))
			return true;
	}
	return false;
}

static size_t window(const struct ws_failure_domains *domains)
{
	double jobs_max = WINDOW_SHARE * domains->limits.state_write_rps * domains->limits.report_s;

	return jobs_max > WINDOW_MIN ? (size_t)jobs_max : WINDOW_MIN;
}

/* Whether some service of the plan has no replica that is surely heard. */
static bool replica_missing(const struct ws_domains_plan *plan)
{
	for (const struct ws_domains_entry *entry = plan->entries; entry; entry = entry->hh.next)
		if (entry->first_replica && !entry->pinned)
			return true;
	return false;
}

static void moves_request(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *out)
{
	const size_t moves_max = window(domains);
	const bool ahead = ahead_due(domains, now);
	const bool trouble = ws_domains_in_state(domains, WS_DOMAINS_DARK) ||
			     ws_domains_in_state(domains, WS_DOMAINS_RECOVERING);
	const bool apart = replica_missing(&domains->plan);
	uint32_t position = 0;

	for (struct ws_domains_entry *entry = domains->plan.entries; entry;
	     entry = entry->hh.next) {
		struct ws_move move = {0};
		bool open = trouble && !entry->pinned && (entry->affected || entry->waiting);

		if (open && position < moves_max)
			move.position = ++position;
		if (open && ahead)
			move.reserve_ahead = (uint32_t)entry->affected;
		move.replicas_apart = open && apart && entry->service;
		if (move.position == entry->sent.position &&
		    move.reserve_ahead == entry->sent.reserve_ahead &&
		    move.replicas_apart == entry->sent.replicas_apart)
			continue;
		entry->sent = move;
		move.job = entry->job;
		ws_request_move(out, &move);
	}
}

static void plan_log(const struct ws_failure_domains *domains)
{
	const struct ws_domains_entry *first = domains->plan.entries;
	size_t jobs = 0;

	for (const struct ws_domains_entry *entry = first; entry; entry = entry->hh.next)
		jobs += entry->part < 0;
	if (jobs)
		ws_domains_logf(domains, "zones: plan extended jobs=%zu first_job=%s reason=\"%s\"",
				jobs, first->job, ws_domains_reason_name(first->reason));
}

void ws_domains_plan_tick(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *out)
{
	struct ws_domains_plan *plan = &domains->plan;

	if (plan->surveyed) {
		plan->surveyed = false;
		plan_log(domains);
		moves_request(domains, now, out);
		plan_write(domains, out);
		parts_delete(plan, out);
		progress_write(domains, now, out);
	}
	if ((!plan->entries && !plan->parts && !ws_domains_in_state(domains, WS_DOMAINS_DARK)) ||
	    now < plan->survey_next)
		return;
	if (!plan->entries && !plan->parts) { /* the counts of one trouble, from its beginning */
		plan->finished = plan->called_off = 0;
		plan->told = (struct ws_domains_progress){0};
	}
	plan->survey_next = now + domains->limits.report_s;
	plan->surveys++;
	for (struct ws_failure_domain *domain = domains->by_name; domain; domain = domain->hh.next)
		for (struct ws_domains_member *member = domain->members; member;
		     member = member->next) {
			domains->steps++;
			member->machine->affected = 0;
		}
	ws_request_survey(out);
}
