/*
 * Attempts of jobs that no record names. Each job is looked up; one that is over ends at once. One
 * that the store never heard of is quarantined until its user submits it again or its time is over,
 * and from then on the store is known to have lost records.
 */
#include "quarantine.h"
#include "../subsystem_support/subsystem_memory.h"
#include "records.h"
#include <math.h>
#include <stdio.h>

/* Interval at which an unanswered look-up is repeated, in leases. */
#define RETRY_LEASES (1.0 / 48)
/* After this time without an answer the job may be a cancelled one, and is stopped. */
#define UNREADABLE_LEASES 0.25
/* The time in quarantine is written at this interval, in leases. */
#define RECORD_LEASES 1.0
/* Look-ups in one tick, so that the leader's own requests are not delayed. */
#define LOOK_UPS_MAX 4

static struct ws_cold_start_quarantined *find_quarantined(const struct ws_cold_start *cold_start,
							  const char *job)
{
	struct ws_cold_start_quarantined *quarantined;

	HASH_FIND_STR(cold_start->quarantined, job, quarantined);
	return quarantined;
}

static struct ws_cold_start_quarantined *find_or_add_quarantined(struct ws_cold_start *cold_start,
								 const char *job, double now)
{
	struct ws_cold_start_quarantined *quarantined = find_quarantined(cold_start, job);

	if (quarantined)
		return quarantined;
	quarantined = ws_subsystem_allocate(sizeof(*quarantined));
	snprintf(quarantined->job, sizeof(quarantined->job), "%s", job);
	quarantined->since = now;
	quarantined->first_look_up_at = quarantined->last_look_up_at = -1;
	HASH_ADD_STR(cold_start->quarantined, job, quarantined);
	return quarantined;
}

void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start)
{
	WS_SUBSYSTEM_FREE_TABLE(cold_start->quarantined);
}

static double quarantined_for(const struct ws_cold_start_quarantined *quarantined, double now)
{
	return quarantined->earlier_terms_s + (now - quarantined->since);
}

bool ws_cold_start_quarantine_attempt(struct ws_cold_start *cold_start, double now,
				      const struct ws_reconciliation *reconciliation)
{
	struct ws_cold_start_quarantined *quarantined =
	    find_or_add_quarantined(cold_start, reconciliation->job, now);

	cold_start->steps++;
	if (!quarantined->reported) {
		quarantined->reported = true;
		snprintf(quarantined->machine, sizeof(quarantined->machine), "%s",
			 reconciliation->machine);
	}
	return !quarantined->released;
}

/* An earlier leader quarantined it: that time counts, also where no worker reports it any more. */
void ws_cold_start_quarantine_loaded(struct ws_cold_start *cold_start, const char *job,
				     const json_t *value)
{
	struct ws_cold_start_quarantined *quarantined =
	    find_or_add_quarantined(cold_start, job, cold_start->elected_at);

	quarantined->earlier_terms_s = fmax(0, json_number_value(json_object_get(value, "kept_s")));
	quarantined->on_record = true;
	quarantined->written_at = cold_start->elected_at;
}

void ws_cold_start_looked_up(void *self, double now, const char *job,
			     enum ws_job_lookup_result standing)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined *quarantined = find_quarantined(cold_start, job);

	if (!quarantined || quarantined->released || standing == WS_JOB_LOOKUP_UNAVAILABLE)
		return;
	quarantined->looked_up = true;
	quarantined->standing = standing;
	cold_start->counts_changed = true;
	if (standing != WS_JOB_LOOKUP_NOT_FOUND)
		return;
	cold_start->counts.quarantined++;
	quarantined->record_due = true;
	ws_subsystem_logf(
	    cold_start->log,
	    "cold start: unrecorded job quarantined job=%s machine=%s quarantine_s=%.0f", job,
	    quarantined->machine,
	    fmax(0, cold_start->settings.quarantine_s - quarantined_for(quarantined, now)));
	if (!cold_start->store_lost_records)
		ws_subsystem_logf(cold_start->log,
				  "cold start: store lost records, first starts wait "
				  "for all machines or their leases");
	cold_start->phase_record_due |= !cold_start->store_lost_records;
	cold_start->store_lost_records = true;
}

static void delete_record(struct ws_cold_start_quarantined *quarantined,
			  struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	quarantined->record_due = false;
	if (!quarantined->on_record)
		return;
	quarantined->on_record = false;
	snprintf(name, sizeof(name), "kept/%s", quarantined->job);
	ws_request_delete(out, name);
}

/* The job was submitted again, or its record was only found late. */
void ws_cold_start_adopted(void *self, double now, const char *job, uint32_t count)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined *quarantined = find_quarantined(cold_start, job);

	(void)now;
	cold_start->counts.adopted += count;
	cold_start->counts_changed = true;
	if (!quarantined || quarantined->released)
		return;
	quarantined->released = true; /* its record is deleted in the next tick */
	ws_subsystem_logf(cold_start->log, "cold start: quarantined job adopted job=%s", job);
}

static void end_quarantined(struct ws_cold_start *cold_start,
			    struct ws_cold_start_quarantined *quarantined, double grace_s,
			    struct ws_request_queue *out)
{
	quarantined->released = true;
	cold_start->counts_changed = true;
	ws_request_end_quarantined(out, quarantined->job, grace_s);
}

/* Whether the job must be stopped: over on record, or unreadable for too long. */
static bool quarantine_must_end(const struct ws_cold_start *cold_start,
				const struct ws_cold_start_quarantined *quarantined, double now)
{
	if (quarantined->looked_up)
		return quarantined->standing == WS_JOB_LOOKUP_ARCHIVED;
	return quarantined->first_look_up_at >= 0 &&
	       now - quarantined->first_look_up_at > UNREADABLE_LEASES * cold_start->limits.lease_s;
}

/* Requests a look-up if one is due; returns whether it did. */
static bool request_look_up(const struct ws_cold_start *cold_start,
			    struct ws_cold_start_quarantined *quarantined, double now,
			    struct ws_request_queue *out)
{
	if (quarantined->looked_up ||
	    (quarantined->last_look_up_at >= 0 &&
	     now - quarantined->last_look_up_at < RETRY_LEASES * cold_start->limits.lease_s))
		return false;
	if (quarantined->first_look_up_at < 0)
		quarantined->first_look_up_at = now;
	quarantined->last_look_up_at = now;
	ws_request_look_up(out, quarantined->job);
	return true;
}

static void write_record(struct ws_cold_start_quarantined *quarantined, double now,
			 struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	quarantined->record_due = false;
	quarantined->on_record = true;
	quarantined->written_at = now;
	snprintf(name, sizeof(name), "kept/%s", quarantined->job);
	ws_request_write(out, name, ws_cold_start_quarantine_record(quarantined, now), false);
}

/* No worker has reported it to this leader, and every lease that one could hold has expired. */
static bool was_never_reported(const struct ws_cold_start *cold_start,
			       const struct ws_cold_start_quarantined *quarantined, double now)
{
	return !quarantined->reported && now >= cold_start->leases_out;
}

/* Releases or stops a job that must not go on, and writes its record when due. */
static void tick_quarantined(struct ws_cold_start *cold_start,
			     struct ws_cold_start_quarantined *quarantined, double now,
			     struct ws_request_queue *out)
{
	cold_start->steps++;
	quarantined->released |= was_never_reported(cold_start, quarantined, now);
	if (quarantined->released) {
		delete_record(quarantined, out);
		return;
	}
	if (quarantine_must_end(cold_start, quarantined, now)) {
		cold_start->counts.stopped_over++;
		ws_subsystem_logf(
		    cold_start->log, "cold start: quarantined job stopped job=%s reason=\"%s\"",
		    quarantined->job,
		    quarantined->looked_up ? "recorded as ended" : "record not readable");
		end_quarantined(cold_start, quarantined, 0, out);
		return;
	}
	if (quarantined->reported &&
	    quarantined_for(quarantined, now) >= cold_start->settings.quarantine_s) {
		cold_start->counts.unclaimed++;
		ws_subsystem_logf(cold_start->log,
				  "cold start: quarantined job stopped job=%s machine=%s "
				  "quarantine_s=%.0f reason=\"not submitted again\"",
				  quarantined->job, quarantined->machine,
				  cold_start->settings.quarantine_s);
		end_quarantined(cold_start, quarantined, cold_start->limits.lease_s, out);
		return;
	}
	if (quarantined->record_due ||
	    (quarantined->on_record &&
	     now - quarantined->written_at > RECORD_LEASES * cold_start->limits.lease_s))
		write_record(quarantined, now, out);
}

void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out)
{
	unsigned look_ups = LOOK_UPS_MAX;

	for (struct ws_cold_start_quarantined *quarantined = cold_start->quarantined; quarantined;
	     quarantined = quarantined->hh.next) {
		tick_quarantined(cold_start, quarantined, now, out);
		if (quarantined->reported && !quarantined->released && look_ups)
			look_ups -= request_look_up(cold_start, quarantined, now, out);
	}
}

void ws_cold_start_quarantine_forget(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	for (struct ws_cold_start_quarantined *quarantined = cold_start->quarantined; quarantined;
	     quarantined = quarantined->hh.next)
		delete_record(quarantined, out);
	ws_cold_start_quarantine_free(cold_start);
}

bool ws_cold_start_has_quarantined(const struct ws_cold_start *cold_start)
{
	for (const struct ws_cold_start_quarantined *quarantined = cold_start->quarantined;
	     quarantined; quarantined = quarantined->hh.next)
		if (quarantined->reported && !quarantined->released)
			return true;
	return false;
}
