/*
 * Quarantine of attempts whose job is missing from the leader's replica of the live jobs. Each job
 * is looked up in the store, and a job that is recorded as ended is stopped at once. A job without
 * any record shows that the store has lost records; it stays quarantined until its user submits it
 * again or the quarantine times out.
 */
#include "quarantine.h"
#include "../subsystem_support/subsystem_memory.h"
#include "records.h"
#include <math.h>
#include <stdio.h>

/* Interval, in leases, at which a lookup without an answer is repeated. */
#define LOOKUP_RETRY_LEASES (1.0 / 48)
/*
 * A job whose lookup has no answer after this many leases is stopped, since it may have been
 * cancelled.
 */
#define LOOKUP_TIMEOUT_LEASES 0.25
/* Interval, in leases, at which the time in quarantine is written to the store. */
#define RECORD_INTERVAL_LEASES 1.0
/* Maximum lookups in one tick; more could delay other requests of the leader. */
#define LOOKUPS_PER_TICK_MAX 4

static struct ws_cold_start_quarantined_job *
find_quarantined(const struct ws_cold_start *cold_start, const char *job)
{
	struct ws_cold_start_quarantined_job *quarantined;

	HASH_FIND_STR(cold_start->quarantined_jobs, job, quarantined);
	return quarantined;
}

static struct ws_cold_start_quarantined_job *
find_or_add_quarantined(struct ws_cold_start *cold_start, const char *job, double now)
{
	struct ws_cold_start_quarantined_job *quarantined = find_quarantined(cold_start, job);

	if (quarantined)
		return quarantined;
	quarantined = ws_subsystem_allocate(sizeof(*quarantined));
	snprintf(quarantined->job, sizeof(quarantined->job), "%s", job);
	quarantined->quarantined_at = now;
	quarantined->first_lookup_at = quarantined->last_lookup_at = -1;
	HASH_ADD_STR(cold_start->quarantined_jobs, job, quarantined);
	return quarantined;
}

void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start)
{
	WS_SUBSYSTEM_FREE_TABLE(cold_start->quarantined_jobs);
}

static double time_in_quarantine(const struct ws_cold_start_quarantined_job *quarantined,
				 double now)
{
	return quarantined->earlier_terms_s + (now - quarantined->quarantined_at);
}

bool ws_cold_start_quarantine_attempt(struct ws_cold_start *cold_start, double now,
				      const struct ws_reconciliation *reconciliation)
{
	struct ws_cold_start_quarantined_job *quarantined =
	    find_or_add_quarantined(cold_start, reconciliation->job, now);

	cold_start->operations++;
	if (!quarantined->reported) {
		quarantined->reported = true;
		snprintf(quarantined->machine, sizeof(quarantined->machine), "%s",
			 reconciliation->machine);
	}
	return !quarantined->released;
}

/*
 * The time in quarantine under earlier leaders counts toward the limit, even if no worker reports
 * the job any more.
 */
void ws_cold_start_quarantine_restore(struct ws_cold_start *cold_start, const char *job,
				      const json_t *value)
{
	struct ws_cold_start_quarantined_job *quarantined =
	    find_or_add_quarantined(cold_start, job, cold_start->elected_at);

	quarantined->earlier_terms_s = fmax(0, json_number_value(json_object_get(value, "kept_s")));
	quarantined->has_record = true;
	quarantined->written_at = cold_start->elected_at;
}

void ws_cold_start_job_looked_up(void *self, double now, const char *job,
				 enum ws_job_lookup_result lookup_result)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined_job *quarantined = find_quarantined(cold_start, job);

	if (!quarantined || quarantined->released || lookup_result == WS_JOB_LOOKUP_UNAVAILABLE)
		return;
	quarantined->lookup_done = true;
	quarantined->lookup_result = lookup_result;
	cold_start->counts_changed = true;
	if (lookup_result != WS_JOB_LOOKUP_NOT_FOUND)
		return;
	cold_start->counts.quarantined++;
	quarantined->record_due = true;
	ws_subsystem_logf(
	    cold_start->log,
	    "cold start: job without a record quarantined job=%s machine=%s quarantine_s=%.0f", job,
	    quarantined->machine,
	    fmax(0, cold_start->settings.quarantine_s - time_in_quarantine(quarantined, now)));
	if (!cold_start->store_lost_records)
		ws_subsystem_logf(cold_start->log,
				  "cold start: store has lost records, first starts deferred "
				  "until all machines answer or their leases expire");
	cold_start->phase_record_due |= !cold_start->store_lost_records;
	cold_start->store_lost_records = true;
}

static void delete_record(struct ws_cold_start_quarantined_job *quarantined,
			  struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	quarantined->record_due = false;
	if (!quarantined->has_record)
		return;
	quarantined->has_record = false;
	snprintf(name, sizeof(name), "kept/%s", quarantined->job);
	ws_request_delete(out, name);
}

/* Releases the job, which was submitted again or whose record was found late. */
void ws_cold_start_attempts_adopted(void *self, double now, const char *job, uint32_t count)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined_job *quarantined = find_quarantined(cold_start, job);

	(void)now;
	cold_start->counts.adopted += count;
	cold_start->counts_changed = true;
	if (!quarantined || quarantined->released)
		return;
	quarantined->released = true; /* its record is deleted in the next tick */
	ws_subsystem_logf(cold_start->log, "cold start: quarantined job adopted job=%s", job);
}

static void stop_quarantined(struct ws_cold_start *cold_start,
			     struct ws_cold_start_quarantined_job *quarantined, double grace_s,
			     struct ws_request_queue *out)
{
	quarantined->released = true;
	cold_start->counts_changed = true;
	ws_request_stop_quarantined(out, quarantined->job, grace_s);
}

/* Returns whether the job is recorded as ended, or its record could not be read for too long. */
static bool must_be_stopped(const struct ws_cold_start *cold_start,
			    const struct ws_cold_start_quarantined_job *quarantined, double now)
{
	if (quarantined->lookup_done)
		return quarantined->lookup_result == WS_JOB_LOOKUP_ARCHIVED;
	return quarantined->first_lookup_at >= 0 &&
	       now - quarantined->first_lookup_at >
		   LOOKUP_TIMEOUT_LEASES * cold_start->limits.lease_s;
}

/* Requests a lookup if one is due. Returns whether it did. */
static bool request_lookup(const struct ws_cold_start *cold_start,
			   struct ws_cold_start_quarantined_job *quarantined, double now,
			   struct ws_request_queue *out)
{
	if (quarantined->lookup_done ||
	    (quarantined->last_lookup_at >= 0 &&
	     now - quarantined->last_lookup_at < LOOKUP_RETRY_LEASES * cold_start->limits.lease_s))
		return false;
	if (quarantined->first_lookup_at < 0)
		quarantined->first_lookup_at = now;
	quarantined->last_lookup_at = now;
	ws_request_look_up(out, quarantined->job);
	return true;
}

static void write_record(struct ws_cold_start_quarantined_job *quarantined, double now,
			 struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	quarantined->record_due = false;
	quarantined->has_record = true;
	quarantined->written_at = now;
	snprintf(name, sizeof(name), "kept/%s", quarantined->job);
	ws_request_write(out, name, ws_cold_start_quarantine_record(quarantined, now), false);
}

/* Returns whether no worker reported the job until all leases of earlier leaders had expired. */
static bool reporting_timed_out(const struct ws_cold_start *cold_start,
				const struct ws_cold_start_quarantined_job *quarantined, double now)
{
	return !quarantined->reported && now >= cold_start->leases_expire_at;
}

/* Releases a job that no worker reports, stops one that must not run on, or writes its record. */
static void update_quarantined(struct ws_cold_start *cold_start,
			       struct ws_cold_start_quarantined_job *quarantined, double now,
			       struct ws_request_queue *out)
{
	cold_start->operations++;
	quarantined->released |= reporting_timed_out(cold_start, quarantined, now);
	if (quarantined->released) {
		delete_record(quarantined, out);
		return;
	}
	if (must_be_stopped(cold_start, quarantined, now)) {
		cold_start->counts.stopped_ended++;
		ws_subsystem_logf(
		    cold_start->log, "cold start: quarantined job stopped job=%s reason=\"%s\"",
		    quarantined->job,
		    quarantined->lookup_done ? "recorded as ended" : "record could not be read");
		stop_quarantined(cold_start, quarantined, 0, out);
		return;
	}
	if (quarantined->reported &&
	    time_in_quarantine(quarantined, now) >= cold_start->settings.quarantine_s) {
		cold_start->counts.unclaimed++;
		ws_subsystem_logf(cold_start->log,
				  "cold start: quarantined job stopped job=%s machine=%s "
				  "quarantine_s=%.0f reason=\"not submitted again\"",
				  quarantined->job, quarantined->machine,
				  cold_start->settings.quarantine_s);
		stop_quarantined(cold_start, quarantined, cold_start->limits.lease_s, out);
		return;
	}
	if (quarantined->record_due ||
	    (quarantined->has_record &&
	     now - quarantined->written_at > RECORD_INTERVAL_LEASES * cold_start->limits.lease_s))
		write_record(quarantined, now, out);
}

void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out)
{
	unsigned lookups_left = LOOKUPS_PER_TICK_MAX;

	for (struct ws_cold_start_quarantined_job *quarantined = cold_start->quarantined_jobs;
	     quarantined; quarantined = quarantined->hh.next) {
		update_quarantined(cold_start, quarantined, now, out);
		if (quarantined->reported && !quarantined->released && lookups_left)
			lookups_left -= request_lookup(cold_start, quarantined, now, out);
	}
}

void ws_cold_start_quarantine_clear(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	for (struct ws_cold_start_quarantined_job *quarantined = cold_start->quarantined_jobs;
	     quarantined; quarantined = quarantined->hh.next)
		delete_record(quarantined, out);
	ws_cold_start_quarantine_free(cold_start);
}

bool ws_cold_start_has_quarantined(const struct ws_cold_start *cold_start)
{
	for (const struct ws_cold_start_quarantined_job *quarantined = cold_start->quarantined_jobs;
	     quarantined; quarantined = quarantined->hh.next)
		if (quarantined->reported && !quarantined->released)
			return true;
	return false;
}
