/*
 * Entitlement: the time until which this node may act as the leader.
 *
 * It ends one session TTL, less the clock drift, after the last successful renewal was sent, and
 * earlier if the job replica is too old. During a store outage, outage.c may extend it.
 */
#include "leadership_internal.h"

/* Maximum number of renewals in flight. */
#define RENEWALS_MAX 4
/* A session is renewed four times per TTL; after a failure, the retry comes sooner. */
#define RENEWALS_PER_TTL 4
#define RETRIES_PER_TTL 16

/*
 * The maximum age of the leader's job replica when it answers a heartbeat. With a replica of that
 * age the answer may renew the lease of a task that has been cancelled since, and that lease must
 * expire within cancel_s of the cancellation.
 */
double ws_core_replica_age_limit(const struct ws_settings *settings)
{
	return settings->cancel_s - ws_lease_length(settings);
}

/* Whether that maximum is below the longest update interval of a working job watch. */
bool ws_core_replica_age_limit_is_short(const struct ws_settings *settings,
					const struct ws_policy *policy)
{
	return ws_core_replica_age_limit(settings) <
	       WS_REPLICA_AGE_TTLS * settings->lease_s * policy->leader_ttl_ratio;
}

/* The maximum age of the leader's job replica while the store is available. */
double ws_replica_age_max(const struct ws_core *core)
{
	return fmax(core->leadership.replica_age_limit_s,
		    WS_REPLICA_AGE_TTLS * core->leadership.session_ttl_s);
}

bool ws_core_is_entitled(const struct ws_core *core, double now)
{
	return core->leadership.role == WS_LEADER && now < core->leadership.entitled_until &&
	       now < core->job_watch.replica_current_at + ws_replica_age_max(core);
}

bool ws_is_entitled(const struct ws_core *core)
{
	return ws_core_is_entitled(core, core->now);
}

static void ws_session_renewed(struct ws_core *core, struct ws_call *call,
			       const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	core->leadership.renewals_in_flight--;
	if (result->outcome == WS_OUTCOME_OK) {
		double until =
		    call->created_at + core->leadership.session_ttl_s * (1 - WS_CLOCK_DRIFT_MAX);

		if (until > core->leadership.entitled_until)
			core->leadership.entitled_until = until;
		ws_log(core, WS_LOG_DEBUG,
		       "session renewed token=%llu answered_s=%.3f entitled_s=%.3f",
		       (unsigned long long)core->leadership.fencing_token,
		       core->now - call->created_at, core->leadership.entitled_until - core->now);
		if (core->leadership.in_outage) {
			ws_log(core, WS_LOG_INFO, "store is available again");
			core->leadership.store_served_at = core->now;
		}
		core->leadership.in_outage = core->leadership.paused = false;
		core->leadership.session_may_have_ended = false;
		ws_core_request_pass(core);
		core->leadership.next_renewal_at =
		    fmax(core->leadership.next_renewal_at,
			 call->created_at + core->leadership.session_ttl_s / RENEWALS_PER_TTL);
	} else if (result->outcome == WS_OUTCOME_NOT_FOUND) {
		ws_step_down(core, "store session expired");
	} else {
		if (!core->leadership.renewals_in_flight)
			core->leadership.next_renewal_at =
			    core->now + core->leadership.session_ttl_s / RETRIES_PER_TTL;
		/* outdated if a later renewal has succeeded */
		if (result->outcome == WS_OUTCOME_UNAVAILABLE && !core->leadership.in_outage &&
		    core->leadership.role == WS_LEADER &&
		    call->created_at + core->leadership.session_ttl_s * (1 - WS_CLOCK_DRIFT_MAX) >=
			core->leadership.entitled_until) {
			core->leadership.in_outage = true;
			core->leadership.votes.next_round_at = core->now;
			ws_log(core, WS_LOG_INFO, "store is unavailable to this node");
		}
	}
}

/*
 * Renews the session. Renewals overlap, because each counts from when it was sent: with a store
 * that takes half of the TTL to reply, sequential renewals came too late.
 */
void ws_session_renew(struct ws_core *core)
{
	struct ws_call *call;

	if (!core->leadership.session || core->leadership.renewals_in_flight >= RENEWALS_MAX ||
	    core->now < core->leadership.next_renewal_at)
		return;
	call = ws_call_new(core, WS_CALL_SESSION_RENEW, ws_session_renewed);
	call->session.id = core->leadership.session;
	call->urgent = true;
	core->leadership.renewals_in_flight++;
	core->leadership.next_renewal_at =
	    core->now + core->leadership.session_ttl_s / RENEWALS_PER_TTL;
}

/* In an outage that not all peers confirmed: pauses, and steps down when the pause ends. */
void ws_pause_or_step_down(struct ws_core *core)
{
	if (core->leadership.role == WS_LEADER && !core->leadership.paused) {
		core->leadership.paused = true;
		core->leadership.session_may_have_ended = true;
		core->leadership.pause_until = core->leadership.entitled_until +
					       core->settings->lease_s * (1 - WS_CLOCK_DRIFT_MAX) -
					       core->leadership.session_ttl_s;
		ws_log(core, WS_LOG_INFO,
		       "paused: store unavailable, outage not confirmed by all peers");
	}
	if (core->leadership.role != WS_LEADER || core->now >= core->leadership.pause_until)
		ws_step_down(core, "store unavailable, outage not confirmed by all peers");
}

/* Returns the reason why leadership is lost, or NULL if it is not. */
const char *ws_leadership_lost_reason(const struct ws_core *core)
{
	if (core->now >= core->leadership.entitled_until && !core->leadership.in_outage)
		return "store session not renewed in time";
	if (core->leadership.role == WS_LEADER && !core->leadership.in_outage &&
	    core->now >=
		fmax(core->job_watch.replica_current_at, core->leadership.store_served_at) +
		    ws_replica_age_max(core))
		return "job watch is stalled";
	if (core->leadership.numbers_exhausted && !core->leadership.in_outage)
		return "fencing tokens or attempt numbers of this term are used up";
	return NULL;
}
