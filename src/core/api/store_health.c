/* Tracks whether the store and the peers respond to this node. */
#include "../core_state.h"

void ws_store_health_update(struct ws_core *core, enum ws_outcome outcome)
{
	if (outcome == WS_OUTCOME_UNAVAILABLE || outcome == WS_OUTCOME_NO_REPLY) {
		if (core->store_health.last_failure_at <= core->store_health.last_success_at)
			core->store_health.failing_since = core->now;
		core->store_health.last_failure_at = core->now;
	} else {
		core->store_health.last_success_at = core->now;
	}
}

/*
 * Returns true if neither the store nor any peer has responded for an eighth of a lease. Such a
 * node cannot serve requests: it rejects them at once, also fails its health check, and keeps
 * probing.
 */
bool ws_node_is_isolated(const struct ws_core *core)
{
	double isolation_delay_s = core->settings->lease_s / 8;

	return core->settings->peer_count && core->store_health.last_success_at > 0 &&
	       core->store_health.last_failure_at > core->store_health.last_success_at &&
	       core->now - core->store_health.failing_since > isolation_delay_s &&
	       core->now - core->store_health.last_peer_reply_at > isolation_delay_s;
}

static void ws_peer_answered(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result)
{
	(void)call;
	if (result->outcome != WS_OUTCOME_NO_REPLY && result->outcome != WS_OUTCOME_NOT_SENT)
		core->store_health.last_peer_reply_at = core->now;
}

void ws_peer_probe_tick(struct ws_core *core)
{
	if (core->store_health.last_failure_at <= core->store_health.last_success_at ||
	    core->now < core->store_health.next_peer_probe_at)
		return;
	core->store_health.next_peer_probe_at = core->now + core->settings->lease_s / 32;
	for (size_t i = 0; i < core->settings->peer_count; i++) {
		struct ws_call *call = ws_call_new(core, WS_CALL_OUTAGE_VOTE, ws_peer_answered);

		snprintf(call->outage_vote.peer, sizeof(call->outage_vote.peer), "%s",
			 core->settings->peers[i].node);
		/* only a probe: no cancellations are listed */
		call->outage_vote.since_revision = UINT64_MAX;
	}
}

/*
 * Returns true if the last store call failed, less than a quarter of a lease ago. Requests are then
 * forwarded to a peer at once: a user waits 2 s, and a timeout of this node's own store call would
 * use up that time. This node keeps reading the leader key meanwhile, and so detects when the store
 * serves it again.
 */
bool ws_store_is_unavailable(const struct ws_core *core)
{
	return core->store_health.last_failure_at > core->store_health.last_success_at &&
	       core->now - core->store_health.last_failure_at < core->settings->lease_s / 4;
}
