/* Whether the store and the peers answer this node, as their last answers tell. */
#include "../core_state.h"

/* Whether the store serves us, as the last answers tell. */
void ws_store_answered(struct ws_core *core, enum ws_outcome outcome)
{
	if (outcome == WS_OUTCOME_UNAVAILABLE || outcome == WS_OUTCOME_NO_ANSWER) {
		if (core->store_health.refused_at <= core->store_health.served_at)
			core->store_health.refused_since = core->now;
		core->store_health.refused_at = core->now;
	} else {
		core->store_health.served_at = core->now;
	}
}

/*
 * Neither the store nor any peer answers: this node can do nothing for anybody. It says so
 * at once, to its health check as well, and goes on asking.
 */
bool ws_node_is_isolated(const struct ws_core *core)
{
	double patience = core->settings->lease_s / 8;

	return core->settings->peer_count && core->store_health.served_at > 0 &&
	       core->store_health.refused_at > core->store_health.served_at &&
	       core->now - core->store_health.refused_since > patience &&
	       core->now - core->store_health.peer_answered_at > patience;
}

static void ws_peer_answered(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result)
{
	(void)call;
	if (result->outcome != WS_OUTCOME_NO_ANSWER && result->outcome != WS_OUTCOME_NOT_SENT)
		core->store_health.peer_answered_at = core->now;
}

void ws_peer_probe_tick(struct ws_core *core)
{
	if (core->store_health.refused_at <= core->store_health.served_at ||
	    core->now < core->store_health.next_peer_probe_at)
		return;
	core->store_health.next_peer_probe_at = core->now + core->settings->lease_s / 32;
	for (size_t i = 0; i < core->settings->peer_count; i++) {
		struct ws_call *call = ws_call_new(core, WS_CALL_OUTAGE_VOTE, ws_peer_answered);

		snprintf(call->outage_vote.peer, sizeof(call->outage_vote.peer), "%s",
			 core->settings->peers[i].node);
		call->outage_vote.since_revision = UINT64_MAX; /* only whether it answers */
	}
}

/*
 * Recently refused by the store, or without an answer: ask a peer straight away, since a
 * user waits 2 s and a time-out of our own would use that up. Reading who is the leader goes on
 * meanwhile and tells when the service is back.
 */
bool ws_store_refuses(const struct ws_core *core)
{
	return core->store_health.refused_at > core->store_health.served_at &&
	       core->now - core->store_health.refused_at < core->settings->lease_s / 4;
}
