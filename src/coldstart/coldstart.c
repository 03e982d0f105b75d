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
/* The core finds leases that are out within this, in report periods. */
#define SWEEP_REPORTS 0.25

void ws_coldstart_logf(const struct ws_coldstart *coldstart, const char *format, ...)
{
	char text[512];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (coldstart->log)
		coldstart->log(text);
}

void ws_coldstart_defaults(struct ws_coldstart_settings *settings)
{
	*settings = (struct ws_coldstart_settings){.keep_s = -1, .heard_share = HEARD_SHARE};
}

struct ws_coldstart *ws_coldstart_new(const struct ws_coldstart_settings *settings,
				      const struct ws_cluster_limits *limits,
				      ws_coldstart_log_fn log)
{
	struct ws_coldstart *coldstart = calloc(1, sizeof(*coldstart));

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

static void term_forget(struct ws_coldstart *coldstart)
{
	ws_coldstart_zones_free(coldstart);
	ws_coldstart_kept_free(coldstart);
	ws_coldstart_lost_free(coldstart);
	memset(&coldstart->counts, 0, sizeof(coldstart->counts));
	coldstart->phase = coldstart->recorded_phase = WS_COLDSTART_NONE;
	coldstart->recorded_term = coldstart->recorded_began = 0;
	coldstart->recorded_doubt = false;
	coldstart->cold = coldstart->later_format = coldstart->doubted = false;
	coldstart->phase_due = coldstart->counts_changed = coldstart->survey_done = false;
	coldstart->lost_new = false;
	coldstart->account_next = 0;
	coldstart->surveyed_at = -INFINITY;
}

void ws_coldstart_free(struct ws_coldstart *coldstart)
{
	if (!coldstart)
		return;
	term_forget(coldstart);
	free(coldstart);
}

uint64_t ws_coldstart_steps(const struct ws_coldstart *coldstart)
{
	return coldstart->steps;
}

bool ws_coldstart_active(const struct ws_coldstart *coldstart)
{
	return coldstart->phase == WS_COLDSTART_OBSERVING ||
	       coldstart->phase == WS_COLDSTART_RECOVERING;
}

/* ---- leadership ---- */

static void destroy(void *self)
{
	ws_coldstart_free(self);
}

static void stepped_down(void *self)
{
	term_forget(self);
}

static void elected(void *self, const struct ws_election_facts *facts)
{
	struct ws_coldstart *coldstart = self;

	term_forget(coldstart);
	coldstart->elected_at = facts->now;
	coldstart->leases_out = facts->leases_out;
	coldstart->term = coldstart->began_term = facts->term;
	coldstart->proven_term = facts->proven_term;
	coldstart->unproven_s = facts->unproven_s;
	coldstart->cold = facts->unproven_s > PROOF_LEASES * coldstart->limits.lease_s;
}

static void phase_set(struct ws_coldstart *coldstart, enum ws_coldstart_phase phase)
{
	coldstart->phase = phase;
	coldstart->phase_due = coldstart->counts_changed = true;
	coldstart->account_next = 0;
}

static bool phase_open(enum ws_coldstart_phase phase)
{
	return phase == WS_COLDSTART_OBSERVING || phase == WS_COLDSTART_RECOVERING;
}

static void begin_log(const struct ws_coldstart *coldstart, bool again)
{
	size_t expected = ws_coldstart_unheard(coldstart);

	if (again)
		ws_coldstart_logf(coldstart,
				  "cold start: goes on, begun by the leader of term %llu: %zu "
				  "machines expected",
				  (unsigned long long)coldstart->began_term, expected);
	else if (isfinite(coldstart->unproven_s))
		ws_coldstart_logf(coldstart,
				  "cold start: no leader is known to have lived for %.1f s: %zu "
				  "machines expected",
				  coldstart->unproven_s, expected);
	else
		ws_coldstart_logf(coldstart,
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
	struct ws_coldstart *coldstart = self;
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
		phase_set(coldstart, WS_COLDSTART_OBSERVING);
	} else if (open) {
		ws_coldstart_logf(coldstart, "cold start: another leader has taken over since, "
					     "nothing is held");
		coldstart->began_term = coldstart->recorded_began;
		coldstart->phase = WS_COLDSTART_ENDED;
		coldstart->phase_due = true;
	}
}

/* ---- reconciliation ---- */

static bool loses_work(enum ws_finding_kind kind)
{
	return kind == WS_FINDING_LEASE_LOST || kind == WS_FINDING_LEASE_OUT ||
	       kind == WS_FINDING_MACHINE_GONE || kind == WS_FINDING_ENDED_FAILED;
}

static bool attempt_found(void *self, double now, const struct ws_finding *finding)
{
	struct ws_coldstart *coldstart = self;

	if (!ws_coldstart_active(coldstart))
		return false;
	coldstart->steps++;
	coldstart->counts.findings[finding->kind]++;
	coldstart->counts_changed = true;
	if (finding->kind == WS_FINDING_TWO_MACHINES)
		ws_coldstart_logf(coldstart,
				  "cold start: machine %s reports %s/%u, an attempt on record for "
				  "another machine: stopped",
				  finding->machine, finding->job, finding->task);
	if (loses_work(finding->kind))
		ws_coldstart_lost_add(coldstart, finding->job);
	if (finding->kind == WS_FINDING_UNKNOWN_JOB)
		return ws_coldstart_keep(coldstart, now, finding);
	return finding->kind == WS_FINDING_UNRECORDED;
}

/* ---- the gate ---- */

static bool waits_for_zone(const struct ws_coldstart *coldstart, const char *zone)
{
	return coldstart->phase == WS_COLDSTART_OBSERVING &&
	       ws_coldstart_zone_waits(coldstart, zone);
}

static bool zone_closed(void *self, double now, const char *zone)
{
	(void)now;
	return waits_for_zone(self, zone);
}

static bool order_held(void *self, double now, enum ws_order_kind kind, const char *zone)
{
	const struct ws_coldstart *coldstart = self;

	switch (kind) {
	case WS_ORDER_PREEMPT:
	case WS_ORDER_STOP_GANG:
	case WS_ORDER_RETURN_SILENT: return waits_for_zone(coldstart, zone);
	case WS_ORDER_RETURN_EMPTY:
		return coldstart->phase == WS_COLDSTART_OBSERVING ||
		       (ws_coldstart_active(coldstart) && coldstart->lost);
	case WS_ORDER_FIRST_START:
		return coldstart->doubted && now < coldstart->leases_out &&
		       ws_coldstart_unheard(coldstart) > 0;
	case WS_ORDER_SECOND_REPLICA: return ws_coldstart_active(coldstart);
	case WS_ORDER_KINDS: break;
	}
	return false;
}

/* ---- tick ---- */

static void end_log(const struct ws_coldstart *coldstart, double now)
{
	const struct ws_coldstart_counts *counts = &coldstart->counts;

	ws_coldstart_logf(coldstart,
			  "cold start: ended after %.1f s: %zu attempts agreed, %zu lost, %zu "
			  "jobs lost work, %zu of them run again; %zu jobs the store never heard "
			  "of, %zu attempts adopted, %zu jobs unclaimed",
			  now - coldstart->elected_at, counts->findings[WS_FINDING_AGREED],
			  counts->findings[WS_FINDING_LEASE_LOST] +
			      counts->findings[WS_FINDING_LEASE_OUT] +
			      counts->findings[WS_FINDING_MACHINE_GONE],
			  counts->lost_jobs, counts->recovered_jobs, counts->kept, counts->adopted,
			  counts->unclaimed);
}

/* Leases of machines that were not heard may not be out, or the core may not have seen to it yet.
 */
static bool silent_may_live(const struct ws_coldstart *coldstart, double now)
{
	return now < coldstart->leases_out + SWEEP_REPORTS * coldstart->limits.report_s;
}

static void phase_tick(struct ws_coldstart *coldstart, double now, struct ws_request_queue *out)
{
	double recovering_s = now - coldstart->recovering_at;

	if (coldstart->phase == WS_COLDSTART_OBSERVING) {
		if (!ws_coldstart_observe(coldstart, now))
			return;
		coldstart->recovering_at = now;
		phase_set(coldstart, WS_COLDSTART_RECOVERING);
		return;
	}
	if (ws_coldstart_keeps(coldstart) ||
	    (silent_may_live(coldstart, now) && ws_coldstart_unheard(coldstart)) ||
	    (coldstart->lost && recovering_s < RECOVERY_LEASES * coldstart->limits.lease_s))
		return;
	ws_coldstart_recovery_end(coldstart, out);
	phase_set(coldstart, WS_COLDSTART_ENDED);
	end_log(coldstart, now);
}

static void records_write(struct ws_coldstart *coldstart, double now, struct ws_request_queue *out)
{
	if (coldstart->phase_due)
		ws_request_write(out, "phase", ws_coldstart_phase_record(coldstart), true);
	coldstart->phase_due = false;
	if (!coldstart->counts_changed || now < coldstart->account_next)
		return;
	coldstart->counts_changed = false;
	coldstart->account_next = now + ACCOUNT_LEASES * coldstart->limits.lease_s;
	ws_request_write(out, "account", ws_coldstart_account_record(coldstart, now), false);
}

static void tick(void *self, const struct ws_tick_facts *facts, struct ws_request_queue *out)
{
	struct ws_coldstart *coldstart = self;

	if (coldstart->later_format)
		return;
	if (ws_coldstart_active(coldstart)) /* in an outage too: a job may be a cancelled one */
		ws_coldstart_kept_tick(coldstart, facts->now, out);
	if (!facts->serving)
		return;
	if (ws_coldstart_active(coldstart)) {
		ws_coldstart_recovery_tick(coldstart, facts->now, out);
		phase_tick(coldstart, facts->now, out);
	} else {
		ws_coldstart_kept_forget(coldstart, out);
	}
	records_write(coldstart, facts->now, out);
}

const struct ws_subsystem_ops ws_coldstart_ops = {
    .prefix = "coldstart/",
    .destroy = destroy,
    .elected = elected,
    .record_loaded = ws_coldstart_record_loaded,
    .records_loaded = records_loaded,
    .stepped_down = stepped_down,
    .machine_added = ws_coldstart_machine_added,
    .machine_changed = ws_coldstart_machine_changed,
    .machine_removed = ws_coldstart_machine_removed,
    .heartbeat_seen = ws_coldstart_heartbeat_seen,
    .machine_lost = ws_coldstart_machine_lost,
    .attempt_found = attempt_found,
    .job_looked_up = ws_coldstart_looked_up,
    .attempts_adopted = ws_coldstart_adopted,
    .zone_closed = zone_closed,
    .order_held = order_held,
    .attempt_surveyed = ws_coldstart_attempt_surveyed,
    .job_surveyed = ws_coldstart_job_surveyed,
    .survey_done = ws_coldstart_survey_done,
    .tick = tick,
};
