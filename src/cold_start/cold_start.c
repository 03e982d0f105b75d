/* Hooks of the cold start subsystem, and the transitions between the phases of a cold start. */
#include "cold_start.h"
#include "../subsystem_support/subsystem_memory.h"
#include "observation.h"
#include "quarantine.h"
#include "records.h"
#include "recovery.h"
#include "state.h"
#include <math.h>
#include <string.h>

/* Proof that a leader was active is valid for half a lease, less a clock drift of 0.1 %. */
#define LEADER_PROOF_LEASES (0.5 * (1 - 0.001))
/* Default share of a zone's expected machines that must answer. */
#define DEFAULT_ANSWERED_SHARE 0.9
/* Minimum interval between writes of the account record, in leases. */
#define ACCOUNT_INTERVAL_LEASES 0.25
/*
 * Lost work that has not started again does not prolong the cold start for more than this many
 * leases after the observation.
 */
#define RECOVERY_TIMEOUT_LEASES 4.0
/* The core handles an expired lease within this many heartbeat intervals. */
#define EXPIRY_DELAY_HEARTBEATS 0.25

void ws_cold_start_defaults(struct ws_cold_start_settings *settings)
{
	*settings = (struct ws_cold_start_settings){.quarantine_s = -1,
						    .answered_share = DEFAULT_ANSWERED_SHARE};
}

struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_subsystem_log_fn log)
{
	struct ws_cold_start *cold_start = ws_subsystem_allocate(sizeof(*cold_start));

	cold_start->settings = *settings;
	cold_start->limits = *limits;
	cold_start->limits.zones = NULL; /* owned by the caller */
	cold_start->limits.node_zone = NULL;
	cold_start->log = log;
	if (cold_start->settings.quarantine_s < 0)
		cold_start->settings.quarantine_s = limits->cancel_s;
	return cold_start;
}

static void reset_term(struct ws_cold_start *cold_start)
{
	ws_cold_start_zones_free(cold_start);
	ws_cold_start_quarantine_free(cold_start);
	ws_cold_start_lost_jobs_free(cold_start);
	memset(&cold_start->counts, 0, sizeof(cold_start->counts));
	cold_start->phase = cold_start->recorded_phase = WS_COLD_START_NONE;
	cold_start->recorded_term = cold_start->recorded_began_term = 0;
	cold_start->recorded_store_lost_records = false;
	cold_start->no_recent_leader = cold_start->later_format = cold_start->store_lost_records =
	    false;
	cold_start->phase_record_due = cold_start->counts_changed = cold_start->survey_done = false;
	cold_start->losses_unsurveyed = false;
	cold_start->account_due_at = 0;
	cold_start->survey_requested_at = -INFINITY;
}

void ws_cold_start_free(struct ws_cold_start *cold_start)
{
	if (!cold_start)
		return;
	reset_term(cold_start);
	free(cold_start);
}

uint64_t ws_cold_start_operations(const struct ws_cold_start *cold_start)
{
	return cold_start->operations;
}

static bool phase_is_active(enum ws_cold_start_phase phase)
{
	return phase == WS_COLD_START_OBSERVING || phase == WS_COLD_START_RECOVERING;
}

bool ws_cold_start_active(const struct ws_cold_start *cold_start)
{
	return phase_is_active(cold_start->phase);
}

/* ---- leadership ---- */

static void destroy(void *self)
{
	ws_cold_start_free(self);
}

static void stepped_down(void *self)
{
	reset_term(self);
}

static void elected(void *self, const struct ws_election_info *info)
{
	struct ws_cold_start *cold_start = self;

	reset_term(cold_start);
	cold_start->elected_at = info->now;
	cold_start->leases_expire_at = info->leases_expire_at;
	cold_start->term = cold_start->began_term = info->term;
	cold_start->last_leader_term = info->leader_proof_term;
	cold_start->without_leader_s = info->leader_proof_age_s;
	cold_start->no_recent_leader =
	    info->leader_proof_age_s > LEADER_PROOF_LEASES * cold_start->limits.lease_s;
}

static void set_phase(struct ws_cold_start *cold_start, enum ws_cold_start_phase phase)
{
	cold_start->phase = phase;
	cold_start->phase_record_due = cold_start->counts_changed = true;
	cold_start->account_due_at = 0;
}

static void log_start(const struct ws_cold_start *cold_start, bool resumed)
{
	size_t machines = ws_cold_start_unanswered_machines(cold_start);

	if (resumed)
		ws_subsystem_logf(cold_start->log,
				  "cold start: resumed began_term=%llu machines=%zu",
				  (unsigned long long)cold_start->began_term, machines);
	else if (isfinite(cold_start->without_leader_s))
		ws_subsystem_logf(cold_start->log,
				  "cold start: observing, no recent proof of an active leader "
				  "without_leader_s=%.1f machines=%zu",
				  cold_start->without_leader_s, machines);
	else
		ws_subsystem_logf(
		    cold_start->log,
		    "cold start: observing, no proof of an earlier leader machines=%zu", machines);
}

/*
 * Resumes a recorded cold start if no other leader was elected after the one that recorded it: if
 * there is recent proof of an active leader, that leader must be the one that wrote the record.
 */
static void records_loaded(void *self, double now)
{
	struct ws_cold_start *cold_start = self;
	bool was_active = phase_is_active(cold_start->recorded_phase);
	bool resumed = was_active && (cold_start->no_recent_leader ||
				      cold_start->recorded_term == cold_start->last_leader_term);

	(void)now;
	if (cold_start->later_format)
		return;
	if (resumed) {
		cold_start->began_term = cold_start->recorded_began_term;
		cold_start->store_lost_records = cold_start->recorded_store_lost_records;
	}
	if (cold_start->no_recent_leader || resumed) {
		log_start(cold_start, resumed);
		set_phase(cold_start, WS_COLD_START_OBSERVING);
	} else if (was_active) {
		ws_subsystem_logf(cold_start->log,
				  "cold start: not resumed, another leader was elected since, "
				  "no actions deferred");
		cold_start->began_term = cold_start->recorded_began_term;
		cold_start->phase = WS_COLD_START_ENDED;
		cold_start->phase_record_due = true;
	}
}

/* ---- reconciliation ---- */

static bool attempt_reconciled(void *self, double now,
			       const struct ws_reconciliation *reconciliation)
{
	struct ws_cold_start *cold_start = self;

	if (!ws_cold_start_active(cold_start))
		return false;
	cold_start->operations++;
	cold_start->counts.results[reconciliation->result]++;
	cold_start->counts_changed = true;
	if (reconciliation->result == WS_RECONCILED_TWO_MACHINES)
		ws_subsystem_logf(cold_start->log,
				  "cold start: duplicate attempt stopped job=%s task=%u "
				  "machine=%s reason=\"recorded on another machine\"",
				  reconciliation->job, reconciliation->task,
				  reconciliation->machine);
	if (ws_reconciliation_loses_work(reconciliation->result))
		ws_cold_start_add_lost_attempt(cold_start, reconciliation->job);
	if (reconciliation->result == WS_RECONCILED_UNKNOWN_JOB)
		return ws_cold_start_quarantine_attempt(cold_start, now, reconciliation);
	return reconciliation->result == WS_RECONCILED_UNRECORDED;
}

/* ---- deferred actions ---- */

static bool zone_is_observing(const struct ws_cold_start *cold_start, const char *zone)
{
	return cold_start->phase == WS_COLD_START_OBSERVING &&
	       ws_cold_start_zone_is_observing(cold_start, zone);
}

static bool zone_closed(void *self, double now, const char *zone)
{
	(void)now;
	return zone_is_observing(self, zone);
}

static bool action_deferred(void *self, double now, enum ws_deferrable_action action,
			    const char *zone)
{
	const struct ws_cold_start *cold_start = self;

	switch (action) {
	case WS_DEFER_PREEMPTION:
	case WS_DEFER_GANG_STOP:
	case WS_DEFER_SCALE_IN_NO_HEARTBEATS: return zone_is_observing(cold_start, zone);
	case WS_DEFER_SCALE_IN_EMPTY:
		return cold_start->phase == WS_COLD_START_OBSERVING ||
		       (ws_cold_start_active(cold_start) && cold_start->lost_jobs);
	case WS_DEFER_FIRST_START:
		return cold_start->store_lost_records && now < cold_start->leases_expire_at &&
		       ws_cold_start_unanswered_machines(cold_start) > 0;
	case WS_DEFER_SECOND_REPLICA: return ws_cold_start_active(cold_start);
	case WS_DEFERRABLE_ACTIONS: break;
	}
	return false;
}

/* ---- tick ---- */

static void log_end(const struct ws_cold_start *cold_start, double now)
{
	const struct ws_cold_start_counts *counts = &cold_start->counts;

	ws_subsystem_logf(cold_start->log,
			  "cold start: ended after_s=%.1f agreed=%zu lost=%zu lost_jobs=%zu "
			  "recovered_jobs=%zu quarantined_jobs=%zu adopted=%zu unclaimed_jobs=%zu",
			  now - cold_start->elected_at, counts->results[WS_RECONCILED_AGREED],
			  counts->results[WS_RECONCILED_LEASE_LOST] +
			      counts->results[WS_RECONCILED_LEASE_EXPIRED] +
			      counts->results[WS_RECONCILED_MACHINE_GONE],
			  counts->lost_jobs, counts->recovered_jobs, counts->quarantined,
			  counts->adopted, counts->unclaimed);
}

/* Returns whether leases of earlier leaders may be valid, or their expiry not yet handled. */
static bool earlier_leases_may_be_valid(const struct ws_cold_start *cold_start, double now)
{
	return now < cold_start->leases_expire_at +
			 EXPIRY_DELAY_HEARTBEATS * cold_start->limits.heartbeat_s;
}

static void update_phase(struct ws_cold_start *cold_start, double now, struct ws_request_queue *out)
{
	double recovering_s = now - cold_start->recovery_began_at;

	if (cold_start->phase == WS_COLD_START_OBSERVING) {
		if (!ws_cold_start_update_observation(cold_start, now))
			return;
		cold_start->recovery_began_at = now;
		set_phase(cold_start, WS_COLD_START_RECOVERING);
		return;
	}
	if (ws_cold_start_has_quarantined(cold_start) ||
	    (earlier_leases_may_be_valid(cold_start, now) &&
	     ws_cold_start_unanswered_machines(cold_start)) ||
	    (cold_start->lost_jobs &&
	     recovering_s < RECOVERY_TIMEOUT_LEASES * cold_start->limits.lease_s))
		return;
	ws_cold_start_recovery_end(cold_start, out);
	set_phase(cold_start, WS_COLD_START_ENDED);
	log_end(cold_start, now);
}

static void write_records(struct ws_cold_start *cold_start, double now,
			  struct ws_request_queue *out)
{
	if (cold_start->phase_record_due)
		ws_request_write(out, "phase", ws_cold_start_phase_record(cold_start), true);
	cold_start->phase_record_due = false;
	if (!cold_start->counts_changed || now < cold_start->account_due_at)
		return;
	cold_start->counts_changed = false;
	cold_start->account_due_at = now + ACCOUNT_INTERVAL_LEASES * cold_start->limits.lease_s;
	ws_request_write(out, "account", ws_cold_start_account_record(cold_start, now), false);
}

static void tick(void *self, const struct ws_tick_info *info, struct ws_request_queue *out)
{
	struct ws_cold_start *cold_start = self;

	if (cold_start->later_format)
		return;
	/* Also in a store outage, because a quarantined job may have been cancelled. */
	if (ws_cold_start_active(cold_start))
		ws_cold_start_quarantine_tick(cold_start, info->now, out);
	if (!info->serving)
		return;
	if (ws_cold_start_active(cold_start)) {
		ws_cold_start_recovery_tick(cold_start, info->now, out);
		update_phase(cold_start, info->now, out);
	} else {
		ws_cold_start_quarantine_clear(cold_start, out);
	}
	write_records(cold_start, info->now, out);
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
    .attempt_reconciled = attempt_reconciled,
    .job_looked_up = ws_cold_start_job_looked_up,
    .attempts_adopted = ws_cold_start_attempts_adopted,
    .zone_closed = zone_closed,
    .action_deferred = action_deferred,
    .attempt_surveyed = ws_cold_start_attempt_surveyed,
    .job_surveyed = ws_cold_start_job_surveyed,
    .survey_done = ws_cold_start_survey_done,
    .tick = tick,
};
