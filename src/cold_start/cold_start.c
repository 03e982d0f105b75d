/* The coldstart package's hooks, and the phases that a cold start goes through. */
#include "internal.h"
#include <stdarg.h>

/* A proof of a leader's life that is older than this, in leases, is none; less drift of clocks. */
#define PROOF_LEASES (0.5 * (1 - 0.001))
#define HEARD_SHARE 0.9
/* The account is rewritten so often at most, in leases. */
#define ACCOUNT_LEASES 0.25
/* What has not started again by then, in leases from the end of the observation, waits for room. */
#define RECOVERY_LEASES 4.0
/* The core finds leases that are out within this, in heartbeat intervals. */
#define SWEEP_REPORTS 0.25

void ws_cold_start_logf(const struct ws_cold_start *cold_start, const char *format, ...)
{
	char text[512];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (cold_start->log)
		cold_start->log(text);
}

void ws_cold_start_defaults(struct ws_cold_start_settings *settings)
{
	*settings = (struct ws_cold_start_settings){.keep_s = -1, .heard_share = HEARD_SHARE};
}

struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_cold_start_log_fn log)
{
	struct ws_cold_start *cold_start = calloc(1, sizeof(*cold_start));

	if (!cold_start)
		abort();
	cold_start->settings = *settings;
	cold_start->limits = *limits;
	cold_start->limits.zones = NULL; /* the caller's */
	cold_start->limits.node_zone = NULL;
	cold_start->log = log;
	if (cold_start->settings.keep_s < 0)
		cold_start->settings.keep_s = limits->cancel_s;
	return cold_start;
}

static void term_forget(struct ws_cold_start *cold_start)
{
	ws_cold_start_zones_free(cold_start);
	ws_cold_start_quarantine_free(cold_start);
	ws_cold_start_lost_free(cold_start);
	memset(&cold_start->counts, 0, sizeof(cold_start->counts));
	cold_start->phase = cold_start->recorded_phase = WS_COLD_START_NONE;
	cold_start->recorded_term = cold_start->recorded_began = 0;
	cold_start->recorded_doubt = false;
	cold_start->cold = cold_start->later_format = cold_start->doubted = false;
	cold_start->phase_due = cold_start->counts_changed = cold_start->survey_done = false;
	cold_start->lost_new = false;
	cold_start->account_next = 0;
	cold_start->surveyed_at = -INFINITY;
}

void ws_cold_start_free(struct ws_cold_start *cold_start)
{
	if (!cold_start)
		return;
	term_forget(cold_start);
	free(cold_start);
}

uint64_t ws_cold_start_steps(const struct ws_cold_start *cold_start)
{
	return cold_start->steps;
}

bool ws_cold_start_active(const struct ws_cold_start *cold_start)
{
	return cold_start->phase == WS_COLD_START_OBSERVING ||
	       cold_start->phase == WS_COLD_START_RECOVERING;
}

/* ---- leadership ---- */

static void destroy(void *self)
{
	ws_cold_start_free(self);
}

static void stepped_down(void *self)
{
	term_forget(self);
}

static void elected(void *self, const struct ws_election_facts *facts)
{
	struct ws_cold_start *cold_start = self;

	term_forget(cold_start);
	cold_start->elected_at = facts->now;
	cold_start->leases_out = facts->leases_out;
	cold_start->term = cold_start->began_term = facts->term;
	cold_start->proven_term = facts->proven_term;
	cold_start->unproven_s = facts->unproven_s;
	cold_start->cold = facts->unproven_s > PROOF_LEASES * cold_start->limits.lease_s;
}

static void phase_set(struct ws_cold_start *cold_start, enum ws_cold_start_phase phase)
{
	cold_start->phase = phase;
	cold_start->phase_due = cold_start->counts_changed = true;
	cold_start->account_next = 0;
}

static bool phase_open(enum ws_cold_start_phase phase)
{
	return phase == WS_COLD_START_OBSERVING || phase == WS_COLD_START_RECOVERING;
}

static void begin_log(const struct ws_cold_start *cold_start, bool again)
{
	size_t expected = ws_cold_start_unheard(cold_start);

	if (again)
		ws_cold_start_logf(cold_start, "cold start: resumed began_term=%llu machines=%zu",
				   (unsigned long long)cold_start->began_term, expected);
	else if (isfinite(cold_start->unproven_s))
		ws_cold_start_logf(cold_start,
				   "cold start: observing, no live leader known "
				   "without_leader_s=%.1f machines=%zu",
				   cold_start->unproven_s, expected);
	else
		ws_cold_start_logf(cold_start,
				   "cold start: observing, no earlier leader known machines=%zu",
				   expected);
}

/*
 * A phase on record goes on if nobody else led since: an earlier leader that is proven to have
 * lived of late must be the one that wrote it.
 */
static void records_loaded(void *self, double now)
{
	struct ws_cold_start *cold_start = self;
	bool open = phase_open(cold_start->recorded_phase);
	bool again =
	    open && (cold_start->cold || cold_start->recorded_term == cold_start->proven_term);

	(void)now;
	if (cold_start->later_format)
		return;
	if (again) {
		cold_start->began_term = cold_start->recorded_began;
		cold_start->doubted = cold_start->recorded_doubt;
	}
	if (cold_start->cold || again) {
		begin_log(cold_start, again);
		phase_set(cold_start, WS_COLD_START_OBSERVING);
	} else if (open) {
		ws_cold_start_logf(cold_start,
				   "cold start: another leader took over since, nothing deferred");
		cold_start->began_term = cold_start->recorded_began;
		cold_start->phase = WS_COLD_START_ENDED;
		cold_start->phase_due = true;
	}
}

/* ---- reconciliation ---- */

static bool attempt_found(void *self, double now, const struct ws_reconciliation *finding)
{
	struct ws_cold_start *cold_start = self;

	if (!ws_cold_start_active(cold_start))
		return false;
	cold_start->steps++;
	cold_start->counts.results[finding->result]++;
	cold_start->counts_changed = true;
	if (finding->result == WS_RECONCILED_TWO_MACHINES)
		ws_cold_start_logf(cold_start,
				   "cold start: duplicate attempt stopped job=%s task=%u "
				   "machine=%s reason=\"recorded on another machine\"",
				   finding->job, finding->task, finding->machine);
	if (ws_reconciliation_loses_work(finding->result))
		ws_cold_start_lost_add(cold_start, finding->job);
	if (finding->result == WS_RECONCILED_UNKNOWN_JOB)
		return ws_cold_start_keep(cold_start, now, finding);
	return finding->result == WS_RECONCILED_UNRECORDED;
}

/* ---- the gate ---- */

static bool waits_for_zone(const struct ws_cold_start *cold_start, const char *zone)
{
	return cold_start->phase == WS_COLD_START_OBSERVING &&
	       ws_cold_start_zone_waits(cold_start, zone);
}

static bool zone_closed(void *self, double now, const char *zone)
{
	(void)now;
	return waits_for_zone(self, zone);
}

static bool order_held(void *self, double now, enum ws_deferrable_action kind, const char *zone)
{
	const struct ws_cold_start *cold_start = self;

	switch (kind) {
	case WS_DEFER_PREEMPTION:
	case WS_DEFER_GANG_STOP:
	case WS_DEFER_SCALE_IN_SILENT: return waits_for_zone(cold_start, zone);
	case WS_DEFER_SCALE_IN_EMPTY:
		return cold_start->phase == WS_COLD_START_OBSERVING ||
		       (ws_cold_start_active(cold_start) && cold_start->lost);
	case WS_DEFER_FIRST_START:
		return cold_start->doubted && now < cold_start->leases_out &&
		       ws_cold_start_unheard(cold_start) > 0;
	case WS_DEFER_SECOND_REPLICA: return ws_cold_start_active(cold_start);
	case WS_DEFERRABLE_ACTIONS: break;
	}
	return false;
}

/* ---- tick ---- */

static void end_log(const struct ws_cold_start *cold_start, double now)
{
	const struct ws_cold_start_counts *counts = &cold_start->counts;

	ws_cold_start_logf(cold_start,
			   "cold start: ended after_s=%.1f agreed=%zu lost=%zu lost_jobs=%zu "
			   "recovered_jobs=%zu quarantined_jobs=%zu adopted=%zu unclaimed_jobs=%zu",
			   now - cold_start->elected_at, counts->results[WS_RECONCILED_AGREED],
			   counts->results[WS_RECONCILED_LEASE_LOST] +
			       counts->results[WS_RECONCILED_LEASE_EXPIRED] +
			       counts->results[WS_RECONCILED_MACHINE_GONE],
			   counts->lost_jobs, counts->recovered_jobs, counts->quarantined,
			   counts->adopted, counts->unclaimed);
}

/* Leases of machines that were not heard may not be out, or the core may not have seen to it yet.
 */
static bool silent_may_live(const struct ws_cold_start *cold_start, double now)
{
	return now < cold_start->leases_out + SWEEP_REPORTS * cold_start->limits.report_s;
}

static void phase_tick(struct ws_cold_start *cold_start, double now, struct ws_request_queue *out)
{
	double recovering_s = now - cold_start->recovering_at;

	if (cold_start->phase == WS_COLD_START_OBSERVING) {
		if (!ws_cold_start_observe(cold_start, now))
			return;
		cold_start->recovering_at = now;
		phase_set(cold_start, WS_COLD_START_RECOVERING);
		return;
	}
	if (ws_cold_start_keeps(cold_start) ||
	    (silent_may_live(cold_start, now) && ws_cold_start_unheard(cold_start)) ||
	    (cold_start->lost && recovering_s < RECOVERY_LEASES * cold_start->limits.lease_s))
		return;
	ws_cold_start_recovery_end(cold_start, out);
	phase_set(cold_start, WS_COLD_START_ENDED);
	end_log(cold_start, now);
}

static void records_write(struct ws_cold_start *cold_start, double now,
			  struct ws_request_queue *out)
{
	if (cold_start->phase_due)
		ws_request_write(out, "phase", ws_cold_start_phase_record(cold_start), true);
	cold_start->phase_due = false;
	if (!cold_start->counts_changed || now < cold_start->account_next)
		return;
	cold_start->counts_changed = false;
	cold_start->account_next = now + ACCOUNT_LEASES * cold_start->limits.lease_s;
	ws_request_write(out, "account", ws_cold_start_account_record(cold_start, now), false);
}

static void tick(void *self, const struct ws_tick_facts *facts, struct ws_request_queue *out)
{
	struct ws_cold_start *cold_start = self;

	if (cold_start->later_format)
		return;
	if (ws_cold_start_active(cold_start)) /* in an outage too: a job may be a cancelled one */
		ws_cold_start_quarantine_tick(cold_start, facts->now, out);
	if (!facts->serving)
		return;
	if (ws_cold_start_active(cold_start)) {
		ws_cold_start_recovery_tick(cold_start, facts->now, out);
		phase_tick(cold_start, facts->now, out);
	} else {
		ws_cold_start_quarantine_forget(cold_start, out);
	}
	records_write(cold_start, facts->now, out);
}

const struct ws_subsystem_ops ws_cold_start_ops = {
    .prefix = "coldstart/",
    .destroy = destroy,
    .elected = elected,
    .record_loaded = ws_cold_start_record_loaded,
    .records_loaded = records_loaded,
    .stepped_down = stepped_down,
    .machine_added = ws_cold_start_machine_added,
    .machine_changed = ws_cold_start_machine_changed,
    .machine_removed = ws_cold_start_machine_removed,
    .heartbeat_seen = ws_cold_start_heartbeat_seen,
    .machine_lost = ws_cold_start_machine_lost,
    .attempt_found = attempt_found,
    .job_looked_up = ws_cold_start_looked_up,
    .attempts_adopted = ws_cold_start_adopted,
    .zone_closed = zone_closed,
    .action_deferred = order_held,
    .attempt_surveyed = ws_cold_start_attempt_surveyed,
    .job_surveyed = ws_cold_start_job_surveyed,
    .survey_done = ws_cold_start_survey_done,
    .tick = tick,
};
