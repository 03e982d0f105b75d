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

static struct ws_cold_start_quarantined *quarantine_find(const struct ws_cold_start *cold_start,
							 const char *job)
{
	struct ws_cold_start_quarantined *quarantined;

	HASH_FIND_STR(cold_start->quarantined, job, quarantined);
	return quarantined;
}

static struct ws_cold_start_quarantined *quarantine_get(struct ws_cold_start *cold_start,
							const char *job, double now)
{
	struct ws_cold_start_quarantined *quarantined = quarantine_find(cold_start, job);

	if (quarantined)
		return quarantined;
	quarantined = calloc(1, sizeof(*quarantined));
	if (!quarantined)
		abort();
	snprintf(quarantined->job, sizeof(quarantined->job), "%s", job);
	quarantined->since = now;
	quarantined->asked_first = quarantined->asked_at = -1;
	HASH_ADD_STR(cold_start->quarantined, job, quarantined);
	return quarantined;
}

void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start)
{
	struct ws_cold_start_quarantined *quarantined = cold_start->quarantined, *next;

	HASH_CLEAR(hh, cold_start->quarantined);
	for (; quarantined; quarantined = next) {
		next = quarantined->hh.next;
		free(quarantined);
	}
}

static double quarantined_for(const struct ws_cold_start_quarantined *quarantined, double now)
{
	return quarantined->before_s + (now - quarantined->since);
}

bool ws_cold_start_keep(struct ws_cold_start *cold_start, double now,
			const struct ws_reconciliation *finding)
{
	struct ws_cold_start_quarantined *quarantined =
	    quarantine_get(cold_start, finding->job, now);

	cold_start->steps++;
	if (!quarantined->reported) {
		quarantined->reported = true;
		snprintf(quarantined->machine, sizeof(quarantined->machine), "%s",
			 finding->machine);
	}
	return !quarantined->ended;
}

/* An earlier leader kept it: for how long counts, also where no worker reports it any more. */
void ws_cold_start_quarantine_loaded(struct ws_cold_start *cold_start, const char *job,
				     json_t *value)
{
	struct ws_cold_start_quarantined *quarantined =
	    quarantine_get(cold_start, job, cold_start->elected_at);

	quarantined->before_s = fmax(0, json_number_value(json_object_get(value, "kept_s")));
	quarantined->on_record = true;
	quarantined->written_at = cold_start->elected_at;
}

void ws_cold_start_looked_up(void *self, double now, const char *job, enum ws_job_standing standing)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined *quarantined = quarantine_find(cold_start, job);

	if (!quarantined || quarantined->ended || standing == WS_STANDING_UNREADABLE)
		return;
	quarantined->looked_up = true;
	quarantined->standing = standing;
	cold_start->counts_changed = true;
	if (standing != WS_STANDING_NEVER_HEARD)
		return;
	cold_start->counts.quarantined++;
	quarantined->record_due = true;
	ws_cold_start_logf(
	    cold_start,
	    "cold start: unrecorded job quarantined job=%s machine=%s quarantine_s=%.0f", job,
	    quarantined->machine,
	    fmax(0, cold_start->settings.keep_s - quarantined_for(quarantined, now)));
	if (!cold_start->doubted)
		ws_cold_start_logf(cold_start, "cold start: store lost records, first starts wait "
					       "for all machines or their leases");
	cold_start->phase_due |= !cold_start->doubted;
	cold_start->doubted = true;
}

static void quarantine_record_delete(struct ws_cold_start_quarantined *quarantined,
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

/* It was submitted again, or its record was there all the time. */
void ws_cold_start_adopted(void *self, double now, const char *job, uint32_t count)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_quarantined *quarantined = quarantine_find(cold_start, job);

	(void)now;
	cold_start->counts.adopted += count;
	cold_start->counts_changed = true;
	if (!quarantined || quarantined->ended)
		return;
	quarantined->ended = true; /* its record goes with the next tick */
	ws_cold_start_logf(cold_start, "cold start: quarantined job adopted job=%s", job);
}

static void quarantine_end_one(struct ws_cold_start *cold_start,
			       struct ws_cold_start_quarantined *quarantined, double grace_s,
			       struct ws_request_queue *out)
{
	quarantined->ended = true;
	cold_start->counts_changed = true;
	ws_request_end_quarantined(out, quarantined->job, grace_s);
}

/* Whether it was ended because it must not go on. */
static bool quarantine_must_end(const struct ws_cold_start *cold_start,
				const struct ws_cold_start_quarantined *quarantined, double now)
{
	if (quarantined->looked_up)
		return quarantined->standing == WS_STANDING_OVER;
	return quarantined->asked_first >= 0 &&
	       now - quarantined->asked_first > UNREADABLE_LEASES * cold_start->limits.lease_s;
}

/* Whether a look-up was asked for; not too many in one tick. */
static bool quarantine_look_up(const struct ws_cold_start *cold_start,
			       struct ws_cold_start_quarantined *quarantined, double now,
			       struct ws_request_queue *out)
{
	if (quarantined->looked_up ||
	    (quarantined->asked_at >= 0 &&
	     now - quarantined->asked_at < RETRY_LEASES * cold_start->limits.lease_s))
		return false;
	if (quarantined->asked_first < 0)
		quarantined->asked_first = now;
	quarantined->asked_at = now;
	ws_request_look_up(out, quarantined->job);
	return true;
}

static void quarantine_write(struct ws_cold_start_quarantined *quarantined, double now,
			     struct ws_request_queue *out)
{
	char name[WS_COLD_START_NAME_MAX + 8];

	quarantined->record_due = false;
	quarantined->on_record = true;
	quarantined->written_at = now;
	snprintf(name, sizeof(name), "kept/%s", quarantined->job);
	ws_request_write(out, name, ws_cold_start_quarantine_record(quarantined, now), false);
}

/* No worker has reported it to this leader, and none that held it can. */
static bool quarantine_vanished(const struct ws_cold_start *cold_start,
				const struct ws_cold_start_quarantined *quarantined, double now)
{
	return !quarantined->reported && now >= cold_start->leases_out;
}

/* Ends what has to end, writes what is due. */
static void quarantine_tick_one(struct ws_cold_start *cold_start,
				struct ws_cold_start_quarantined *quarantined, double now,
				struct ws_request_queue *out)
{
	cold_start->steps++;
	quarantined->ended |= quarantine_vanished(cold_start, quarantined, now);
	if (quarantined->ended) {
		quarantine_record_delete(quarantined, out);
		return;
	}
	if (quarantine_must_end(cold_start, quarantined, now)) {
		cold_start->counts.over++;
		ws_cold_start_logf(
		    cold_start, "cold start: quarantined job stopped job=%s reason=\"%s\"",
		    quarantined->job,
		    quarantined->looked_up ? "recorded as ended" : "record not readable");
		quarantine_end_one(cold_start, quarantined, 0, out);
		return;
	}
	if (quarantined->reported &&
	    quarantined_for(quarantined, now) >= cold_start->settings.keep_s) {
		cold_start->counts.unclaimed++;
		ws_cold_start_logf(cold_start,
				   "cold start: quarantined job stopped job=%s machine=%s "
				   "quarantine_s=%.0f reason=\"not submitted again\"",
				   quarantined->job, quarantined->machine,
				   cold_start->settings.keep_s);
		quarantine_end_one(cold_start, quarantined, cold_start->limits.lease_s, out);
		return;
	}
	if (quarantined->record_due ||
	    (quarantined->on_record &&
	     now - quarantined->written_at > RECORD_LEASES * cold_start->limits.lease_s))
		quarantine_write(quarantined, now, out);
}

void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out)
{
	unsigned look_ups = LOOK_UPS_MAX;

	for (struct ws_cold_start_quarantined *quarantined = cold_start->quarantined; quarantined;
	     quarantined = quarantined->hh.next) {
		quarantine_tick_one(cold_start, quarantined, now, out);
		if (quarantined->reported && !quarantined->ended && look_ups)
			look_ups -= quarantine_look_up(cold_start, quarantined, now, out);
	}
}

void ws_cold_start_quarantine_forget(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	for (struct ws_cold_start_quarantined *quarantined = cold_start->quarantined; quarantined;
	     quarantined = quarantined->hh.next)
		quarantine_record_delete(quarantined, out);
	ws_cold_start_quarantine_free(cold_start);
}

bool ws_cold_start_keeps(const struct ws_cold_start *cold_start)
{
	for (const struct ws_cold_start_quarantined *quarantined = cold_start->quarantined;
	     quarantined; quarantined = quarantined->hh.next)
		if (quarantined->reported && !quarantined->ended)
			return true;
	return false;
}
