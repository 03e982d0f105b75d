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

void ws_cold_start_logf(const struct ws_cold_start *coldstart, const char *format, ...)
{
	char text[512];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (coldstart->log)
		coldstart->log(text);
}

void ws_cold_start_defaults(struct ws_cold_start_settings *settings)
{
	*settings = (struct ws_cold_start_settings){.keep_s = -1, .heard_share = HEARD_SHARE};
}

struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_cold_start_log_fn log)
{
	struct ws_cold_start *coldstart = calloc(1, sizeof(*coldstart));

	if (!coldstart)
		abort();
	coldstart->settings = *settings;
	coldstart->limits = *limits;
	coldstart->limits.zones = NULL; /* the caller's */
	coldstart->limits.node_zone = NULL;
	coldstart->log = log;
	if (coldstart->settings.keep_s < 0)
		coldstart->settings.keep_s = limits->cancel_s;
	return coldstart;
}

static void term_forget(struct ws_cold_start *coldstart)
{
	ws_cold_start_zones_free(coldstart);
	ws_cold_start_quarantine_free(coldstart);
	ws_cold_start_lost_free(coldstart);
	memset(&coldstart->counts, 0, sizeof(coldstart->counts));
	coldstart->phase = coldstart->recorded_phase = WS_COLD_START_NONE;
	coldstart->recorded_term = coldstart->recorded_began = 0;
	coldstart->recorded_doubt = false;
	coldstart->cold = coldstart->later_format = coldstart->doubted = false;
	coldstart->phase_due = coldstart->counts_changed = coldstart->survey_done = false;
	coldstart->lost_new = false;
	coldstart->account_next = 0;
	coldstart->surveyed_at = -INFINITY;
}

void ws_cold_start_free(struct ws_cold_start *coldstart)
{
	if (!coldstart)
		return;
	term_forget(coldstart);
	free(coldstart);
}

uint64_t ws_cold_start_steps(const struct ws_cold_start *coldstart)
{
	return coldstart->steps;
}

bool ws_cold_start_active(const struct ws_cold_start *coldstart)
{
	return coldstart->phase == WS_COLD_START_OBSERVING ||
	       coldstart->phase == WS_COLD_START_RECOVERING;
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
	struct ws_cold_start *coldstart = self;

	term_forget(coldstart);
	coldstart->elected_at = facts->now;
	coldstart->leases_out = facts->leases_out;
	coldstart->term = coldstart->began_term = facts->term;
	coldstart->proven_term = facts->proven_term;
	coldstart->unproven_s = facts->unproven_s;
	coldstart->cold = facts->unproven_s > PROOF_LEASES * coldstart->limits.lease_s;
}

static void phase_set(struct ws_cold_start *coldstart, enum ws_cold_start_phase phase)
{
	coldstart->phase = phase;
	coldstart->phase_due = coldstart->counts_changed = true;
	coldstart->account_next = 0;
}

static bool phase_open(enum ws_cold_start_phase phase)
{
	return phase == WS_COLD_START_OBSERVING || phase == WS_COLD_START_RECOVERING;
}

static void begin_log(const struct ws_cold_start *coldstart, bool again)
{
	size_t expected = ws_cold_start_unheard(coldstart);

	if (again)
		ws_cold_start_logf(coldstart,
				   "cold start: goes on, begun by the leader of term %llu: %zu "
				   "machines expected",
				   (unsigned long long)coldstart->began_term, expected);
	else if (isfinite(coldstart->unproven_s))
		ws_cold_start_logf(coldstart,
				   "cold start: no leader is known to have lived for %.1f s: %zu "
				   "machines expected",
				   coldstart->unproven_s, expected);
	else
		ws_cold_start_logf(coldstart,
				   "cold start: this process knows of no leader before it: %zu "
				   "machines expected",
				   expected);
}

/*
 * A phase on record goes on if nobody else led since: an earlier leader that is proven to have
 * lived of late must be the one that wrote it.
 */
static void records_loaded(void *self, double now)
{
	struct ws_cold_start *coldstart = self;
	bool open = phase_open(coldstart->recorded_phase);
	bool again =
	    open && (coldstart->cold || coldstart->recorded_term == coldstart->proven_term);

	(void)now;
	if (coldstart->later_format)
		return;
	if (again) {
		coldstart->began_term = coldstart->recorded_began;
		coldstart->doubted = coldstart->recorded_doubt;
	}
	if (coldstart->cold || again) {
		begin_log(coldstart, again);
		phase_set(coldstart, WS_COLD_START_OBSERVING);
	} else if (open) {
		ws_cold_start_logf(coldstart, "cold start: another leader has taken over since, "
					      "nothing is held");
		coldstart->began_term = coldstart->recorded_began;
		coldstart->phase = WS_COLD_START_ENDED;
		coldstart->phase_due = true;
	}
}

/* ---- reconciliation ---- */

static bool attempt_found(void *self, double now, const struct ws_reconciliation *finding)
{
	struct ws_cold_start *coldstart = self;

	if (!ws_cold_start_active(coldstart))
		return false;
	coldstart->steps++;
	coldstart->counts.findings[finding->result]++;
	coldstart->counts_changed = true;
	if (finding->result == WS_RECONCILED_TWO_MACHINES)
		ws_cold_start_logf(coldstart,
				   "cold start: machine %s reports %s/%u, an attempt on record for "
				   "another machine: stopped",
				   finding->machine, finding->job, finding->task);
	if (ws_reconciliation_loses_work(finding->result))
		ws_cold_start_lost_add(coldstart, finding->job);
	if (finding->result == WS_RECONCILED_UNKNOWN_JOB)
		return ws_cold_start_keep(coldstart, now, finding);
	return finding->result == WS_RECONCILED_UNRECORDED;
}

/* ---- the gate ---- */

static bool waits_for_zone(const struct ws_cold_start *coldstart, const char *zone)
{
	return coldstart->phase == WS_COLD_START_OBSERVING &&
	       ws_cold_start_zone_waits(coldstart, zone);
}

static bool zone_closed(void *self, double now, const char *zone)
{
	(void)now;
	return waits_for_zone(self, zone);
}

static bool order_held(void *self, double now, enum ws_deferrable_action kind, const char *zone)
{
	const struct ws_cold_start *coldstart = self;

	switch (kind) {
	case WS_DEFER_PREEMPTION:
	case WS_DEFER_GANG_STOP:
	case WS_DEFER_SCALE_IN_SILENT: return waits_for_zone(coldstart, zone);
	case WS_DEFER_SCALE_IN_EMPTY:
		return coldstart->phase == WS_COLD_START_OBSERVING ||
		       (ws_cold_start_active(coldstart) && coldstart->lost);
	case WS_DEFER_FIRST_START:
		return coldstart->doubted && now < coldstart->leases_out &&
		       ws_cold_start_unheard(coldstart) > 0;
	case WS_DEFER_SECOND_REPLICA: return ws_cold_start_active(coldstart);
	case WS_DEFERRABLE_ACTIONS: break;
	}
	return false;
}

/* ---- tick ---- */

static void end_log(const struct ws_cold_start *coldstart, double now)
{
	const struct ws_cold_start_counts *counts = &coldstart->counts;

	ws_cold_start_logf(coldstart,
			   "cold start: ended after %.1f s: %zu attempts agreed, %zu lost, %zu "
			   "jobs lost work, %zu of them run again; %zu jobs the store never heard "
			   "of, %zu attempts adopted, %zu jobs unclaimed",
			   now - coldstart->elected_at, counts->findings[WS_RECONCILED_AGREED],
			   counts->findings[WS_RECONCILED_LEASE_LOST] +
			       counts->findings[WS_RECONCILED_LEASE_EXPIRED] +
			       counts->findings[WS_RECONCILED_MACHINE_GONE],
			   counts->lost_jobs, counts->recovered_jobs, counts->kept, counts->adopted,
			   counts->unclaimed);
}

/* Leases of machines that were not heard may not be out, or the core may not have seen to it yet.
 */
static bool silent_may_live(const struct ws_cold_start *coldstart, double now)
{
	return now < coldstart->leases_out + SWEEP_REPORTS * coldstart->limits.report_s;
}

static void phase_tick(struct ws_cold_start *coldstart, double now, struct ws_request_queue *out)
{
	double recovering_s = now - coldstart->recovering_at;

	if (coldstart->phase == WS_COLD_START_OBSERVING) {
		if (!ws_cold_start_observe(coldstart, now))
			return;
		coldstart->recovering_at = now;
		phase_set(coldstart, WS_COLD_START_RECOVERING);
		return;
	}
	if (ws_cold_start_keeps(coldstart) ||
	    (silent_may_live(coldstart, now) && ws_cold_start_unheard(coldstart)) ||
	    (coldstart->lost && recovering_s < RECOVERY_LEASES * coldstart->limits.lease_s))
		return;
	ws_cold_start_recovery_end(coldstart, out);
	phase_set(coldstart, WS_COLD_START_ENDED);
	end_log(coldstart, now);
}

static void records_write(struct ws_cold_start *coldstart, double now, struct ws_request_queue *out)
{
	if (coldstart->phase_due)
		ws_request_write(out, "phase", ws_cold_start_phase_record(coldstart), true);
	coldstart->phase_due = false;
	if (!coldstart->counts_changed || now < coldstart->account_next)
		return;
	coldstart->counts_changed = false;
	coldstart->account_next = now + ACCOUNT_LEASES * coldstart->limits.lease_s;
	ws_request_write(out, "account", ws_cold_start_account_record(coldstart, now), false);
}

static void tick(void *self, const struct ws_tick_facts *facts, struct ws_request_queue *out)
{
	struct ws_cold_start *coldstart = self;

	if (coldstart->later_format)
		return;
	if (ws_cold_start_active(coldstart)) /* in an outage too: a job may be a cancelled one */
		ws_cold_start_quarantine_tick(coldstart, facts->now, out);
	if (!facts->serving)
		return;
	if (ws_cold_start_active(coldstart)) {
		ws_cold_start_recovery_tick(coldstart, facts->now, out);
		phase_tick(coldstart, facts->now, out);
	} else {
		ws_cold_start_quarantine_forget(coldstart, out);
	}
	records_write(coldstart, facts->now, out);
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
