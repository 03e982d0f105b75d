/* Heartbeat requests: the leader processes them; other nodes forward them to the leader or redirect
 * the worker to it. */
#include "../core_state.h"

/* A worker that recently sent heartbeats to this node, which does not lead. */
struct ws_redirect {
	char machine[WS_NAME_MAX];
	double last_heartbeat_at;
	uint64_t leader_revision; /* identifies the leader at that time */
	uint32_t heartbeat_count; /* heartbeats received during that leader's term */
	struct ws_redirect *next_expired;
	UT_hash_handle hh;
};

void ws_heartbeat_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
			 const char *leader)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_HEARTBEAT);

	effect->request_id = request_id;
	effect->answer = answer;
	snprintf(effect->heartbeat.leader, sizeof(effect->heartbeat.leader), "%s",
		 leader ? leader : "");
}

/*
 * Handles a heartbeat on a node that does not lead. A worker's first heartbeat is forwarded, so
 * that its lease is renewed at once; the second one is answered with a redirect to the leader. If
 * the worker still returns, it could not reach the leader, and its heartbeats are forwarded from
 * then on.
 */
void ws_follower_heartbeat(struct ws_core *core, uint64_t request_id,
			   const struct ws_heartbeat *heartbeat, bool forwarded)
{
	struct ws_redirect *redirect;
	struct ws_effect *effect;

	if (forwarded || !core->leadership.leader_node[0] ||
	    !strcmp(core->leadership.leader_node, core->settings->node) ||
	    ws_node_is_isolated(core)) {
		ws_heartbeat_answer(core, request_id, WS_ANSWER_UNAVAILABLE, NULL);
		return;
	}
	HASH_FIND_STR(core->follower.redirects, heartbeat->machine, redirect);
	if (!redirect) {
		redirect = ws_alloc(1, sizeof(*redirect));
		snprintf(redirect->machine, sizeof(redirect->machine), "%s", heartbeat->machine);
		HASH_ADD_STR(core->follower.redirects, machine, redirect);
	}
	if (redirect->leader_revision != core->leadership.leader_revision) {
		redirect->leader_revision = core->leadership.leader_revision;
		redirect->heartbeat_count = 0;
	}
	redirect->last_heartbeat_at = core->now;
	if (redirect->heartbeat_count++ == 1) {
		ws_heartbeat_answer(core, request_id, WS_ANSWER_OTHER_LEADER,
				    core->leadership.leader_node);
		return;
	}
	effect = ws_effect_new(core, WS_EFFECT_FORWARD);
	effect->request_id = request_id;
	effect->forward.redirect_failed = redirect->heartbeat_count > 2;
	snprintf(effect->forward.leader, sizeof(effect->forward.leader), "%s",
		 core->leadership.leader_node);
}

/* Removes from the table the redirects whose last heartbeat is more than a lease ago. Returns them
 * as a list linked by `next_expired`. */
static struct ws_redirect *ws_redirects_expired(struct ws_core *core)
{
	struct ws_redirect *redirect, *next, *expired = NULL;

	HASH_ITER (hh, core->follower.redirects, redirect, next) {
		if (core->now - redirect->last_heartbeat_at <= core->settings->lease_s)
			continue;
		HASH_DEL(core->follower.redirects, redirect);
		redirect->next_expired = expired;
		expired = redirect;
	}
	return expired;
}

void ws_redirects_tick(struct ws_core *core)
{
	struct ws_redirect *redirect, *next;

	if (core->now < core->follower.next_sweep_at)
		return;
	core->follower.next_sweep_at = core->now + core->settings->lease_s / 4;
	for (redirect = ws_redirects_expired(core); redirect; redirect = next) {
		next = redirect->next_expired;
		free(redirect);
	}
}

void ws_redirects_free(struct ws_core *core)
{
	struct ws_redirect *redirect = core->follower.redirects, *next;

	HASH_CLEAR(hh, core->follower.redirects);
	for (; redirect; redirect = next) {
		next = redirect->hh.next;
		free(redirect);
	}
}

/* Returns true if this node is the entitled leader and the heartbeat carries no fencing token of a
 * later leader. */
static bool ws_may_process_heartbeat(const struct ws_core *core,
				     const struct ws_heartbeat *heartbeat)
{
	return core->leadership.role == WS_LEADER && ws_is_entitled(core) &&
	       heartbeat->fencing_token <= ws_term_number_max(core, WS_FENCING_TOKEN_SHIFT);
}

void ws_core_heartbeat(struct ws_core *core, double now, uint64_t request_id,
		       const struct ws_heartbeat *heartbeat, bool forwarded)
{
	if (now > core->now)
		core->now = now;
	if (core->leadership.role == WS_FOLLOWER || core->leadership.role == WS_CANDIDATE) {
		ws_follower_heartbeat(core, request_id, heartbeat, forwarded);
		return;
	}
	if (!ws_may_process_heartbeat(core, heartbeat) ||
	    ws_machine_is_returned(core, heartbeat->machine)) {
		ws_event_count(core, ws_may_process_heartbeat(core, heartbeat)
					 ? WS_EVENT_STALE_MACHINE
					 : WS_EVENT_UNENTITLED_HEARTBEAT);
		ws_heartbeat_answer(core, request_id, WS_ANSWER_UNAVAILABLE, NULL);
		return;
	}
	ws_leadership_worker_contact(core, forwarded);
	if (!ws_fleet_heartbeat(core, heartbeat, request_id)) {
		ws_heartbeat_answer(core, request_id, WS_ANSWER_UNAVAILABLE, NULL);
		return;
	}
	ws_core_tick(core, now);
}
