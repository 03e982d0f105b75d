/*
 * Attempts of jobs that no record names. Each job is looked up; one that is over ends at once. One
 * that the store never heard of is kept until its user submits it again or its time is over, and
 * from then on the store is doubted.
 */
#include "internal.h"

/* While a look-up goes unanswered it is repeated so often, in leases; */
#define RETRY_LEASES (1.0 / 48)
/* after this the job may be a cancelled one, and ends. */
#define UNREADABLE_LEASES 0.25
/* For how long it was kept is written so often, in leases. */
#define RECORD_LEASES 1.0
/* Of one tick, so that they leave the leader's requests room. */
#define LOOK_UPS_MAX 4

static struct ws_cold_start_quarantined *kept_find(const struct ws_cold_start *coldstart,
						   const char *job)
{
	struct ws_cold_start_quarantined *kept;

	HASH_FIND_STR(coldstart->kept, job, kept);
	return kept;
}

static struct ws_cold_start_quarantined *kept_get(struct ws_cold_start *coldstart, const char *job,
						  double now)
{
	struct ws_cold_start_quarantined *kept = kept_find(coldstart, job);

	if (kept)
		return kept;
	kept = calloc(1, sizeof(*kept));
	if (!kept)
		abort();
	snprintf(kept->job, sizeof(kept->job), "%s", job);
	kept->since = now;
	kept->asked_first = kept->asked_at = -1;
	HASH_ADD_STR(coldstart->kept, job, kept);
	return kept;
}

void ws_cold_start_quarantine_free(struct ws_cold_start *coldstart)
{
	struct ws_cold_start_quarantined *kept = coldstart->kept, *next;

	HASH_CLEAR(hh, coldstart->kept);
	for (; kept; kept = next) {
		next = kept->hh.next;
		free(kept);
	}
}

static double kept_for(const struct ws_cold_start_quarantined *kept, double now)
{
	return kept->before_s + (now - kept->since);
}

bool ws_cold_start_keep(struct ws_cold_start *coldstart, double now,
			const struct ws_reconciliation *finding)
{
	struct ws_cold_start_quarantined *kept = kept_get(coldstart, finding->job, now);

	coldstart->steps++;
	if (!kept->reported) {
		kept->reported = true;
		snprintf(kept->machine, sizeof(kept->machine), "%s", finding->machine);
	}
	return !kept->ended;
}

/* An earlier leader kept it: for how long counts, also where no worker reports it any more. */
void ws_cold_start_quarantine_loaded(struct ws_cold_start *coldstart, const char *job,
				     json_t *value)
{
	struct ws_cold_start_quarantined *kept = kept_get(coldstart, job, coldstart->elected_at);

	kept->before_s = fmax(0, json_number_value(json_object_get(value, "kept_s")));
	kept->on_record = true;
	kept->written_at = coldstart->elected_at;
}

void ws_cold_start_looked_up(void *self, double now, const char *job, enum ws_job_standing standing)
{
	struct ws_cold_start *coldstart = self;
	struct ws_cold_start_quarantined *kept = kept_find(coldstart, job);

	if (!kept || kept->ended || standing == WS_STANDING_UNREADABLE)
		return;
	kept->looked_up = true;
	kept->standing = standing;
	coldstart->counts_changed = true;
	if (standing != WS_STANDING_NEVER_HEARD)
		return;
	coldstart->counts.kept++;
	kept->record_due = true;
	ws_cold_start_logf(coldstart,
			   "cold start: machine %s reports job %s, of which the store has never "
			   "heard: kept for %.0f s unless its user submits it again",
			   kept->machine, job,
			   fmax(0, coldstart->settings.keep_s - kept_for(kept, now)));
	if (!coldstart->doubted)
		ws_cold_start_logf(coldstart,
				   "cold start: the store has lost records; first starts wait "
				   "until all machines answered or their leases are out");
	coldstart->phase_due |= !coldstart->doubted;
	coldstart->doubted = true;
}

static void kept_record_delete(struct ws_cold_start_quarantined *kept, struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	kept->record_due = false;
	if (!kept->on_record)
		return;
	kept->on_record = false;
	snprintf(name, sizeof(name), "kept/%s", kept->job);
	ws_request_delete(out, name);
}

/* It was submitted again, or its record was there all the time. */
void ws_cold_start_adopted(void *self, double now, const char *job, uint32_t count)
{
	struct ws_cold_start *coldstart = self;
	struct ws_cold_start_quarantined *kept = kept_find(coldstart, job);

	(void)now;
	coldstart->counts.adopted += count;
	coldstart->counts_changed = true;
	if (!kept || kept->ended)
		return;
	kept->ended = true; /* its record goes with the next tick */
	ws_cold_start_logf(coldstart, "cold start: job %s is known: adopted", job);
}

static void kept_end(struct ws_cold_start *coldstart, struct ws_cold_start_quarantined *kept,
		     double grace_s, struct ws_request_queue *out)
{
	kept->ended = true;
	coldstart->counts_changed = true;
	ws_request_end_quarantined(out, kept->job, grace_s);
}

/* Whether it was ended because it must not go on. */
static bool kept_must_end(const struct ws_cold_start *coldstart,
			  const struct ws_cold_start_quarantined *kept, double now)
{
	if (kept->looked_up)
		return kept->standing == WS_STANDING_OVER;
	return kept->asked_first >= 0 &&
	       now - kept->asked_first > UNREADABLE_LEASES * coldstart->limits.lease_s;
}

/* Whether a look-up was asked for; not too many in one tick. */
static bool kept_look_up(const struct ws_cold_start *coldstart,
			 struct ws_cold_start_quarantined *kept, double now,
			 struct ws_request_queue *out)
{
	if (kept->looked_up || (kept->asked_at >= 0 &&
				now - kept->asked_at < RETRY_LEASES * coldstart->limits.lease_s))
		return false;
	if (kept->asked_first < 0)
		kept->asked_first = now;
	kept->asked_at = now;
	ws_request_look_up(out, kept->job);
	return true;
}

static void kept_write(struct ws_cold_start_quarantined *kept, double now,
		       struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	kept->record_due = false;
	kept->on_record = true;
	kept->written_at = now;
	snprintf(name, sizeof(name), "kept/%s", kept->job);
	ws_request_write(out, name, ws_cold_start_quarantine_record(kept, now), false);
}

/* No worker has reported it to this leader, and none that held it can. */
static bool kept_vanished(const struct ws_cold_start *coldstart,
			  const struct ws_cold_start_quarantined *kept, double now)
{
	return !kept->reported && now >= coldstart->leases_out;
}

/* Ends what has to end, writes what is due. */
static void kept_one(struct ws_cold_start *coldstart, struct ws_cold_start_quarantined *kept,
		     double now, struct ws_request_queue *out)
{
	coldstart->steps++;
	kept->ended |= kept_vanished(coldstart, kept, now);
	if (kept->ended) {
		kept_record_delete(kept, out);
		return;
	}
	if (kept_must_end(coldstart, kept, now)) {
		coldstart->counts.over++;
		ws_cold_start_logf(coldstart, "cold start: job %s is %s: stopped", kept->job,
				   kept->looked_up ? "over on record" : "not to be looked up");
		kept_end(coldstart, kept, 0, out);
		return;
	}
	if (kept->reported && kept_for(kept, now) >= coldstart->settings.keep_s) {
		coldstart->counts.unclaimed++;
		ws_cold_start_logf(coldstart,
				   "cold start: nobody submitted job %s again within %.0f s: "
				   "stopped with time to save; it ran on machine %s",
				   kept->job, coldstart->settings.keep_s, kept->machine);
		kept_end(coldstart, kept, coldstart->limits.lease_s, out);
		return;
	}
	if (kept->record_due ||
	    (kept->on_record && now - kept->written_at > RECORD_LEASES * coldstart->limits.lease_s))
		kept_write(kept, now, out);
}

void ws_cold_start_quarantine_tick(struct ws_cold_start *coldstart, double now,
				   struct ws_request_queue *out)
{
	unsigned look_ups = LOOK_UPS_MAX;

	for (struct ws_cold_start_quarantined *kept = coldstart->kept; kept; kept = kept->hh.next) {
		kept_one(coldstart, kept, now, out);
		if (kept->reported && !kept->ended && look_ups)
			look_ups -= kept_look_up(coldstart, kept, now, out);
	}
}

void ws_cold_start_quarantine_forget(struct ws_cold_start *coldstart, struct ws_request_queue *out)
{
	for (struct ws_cold_start_quarantined *kept = coldstart->kept; kept; kept = kept->hh.next)
		kept_record_delete(kept, out);
	ws_cold_start_quarantine_free(coldstart);
}

bool ws_cold_start_keeps(const struct ws_cold_start *coldstart)
{
	for (const struct ws_cold_start_quarantined *kept = coldstart->kept; kept;
	     kept = kept->hh.next)
		if (kept->reported && !kept->ended)
			return true;
	return false;
}
