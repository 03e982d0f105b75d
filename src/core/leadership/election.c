/*
 * Leader election, and how a leader keeps its role.
 *
 * The leader is the node whose store session holds the key `leader`. Its fencing token is the
 * shifted revision of that key, so each leader's token is higher than those of earlier leaders. The
 * leader acts only until its session ends, counted from when its last successful renewal was sent.
 * Each write of a leader has the revision of the leader key as a precondition, so a write that
 * arrives after another node's election has no effect.
 */
#include "leadership_internal.h"

bool ws_core_is_leader(const struct ws_core *core)
{
	return core->leadership.role == WS_LEADER;
}

void ws_leadership_init(struct ws_core *core)
{
	struct ws_leadership *leadership = &core->leadership;

	leadership->session_ttl_s = core->settings->lease_s * core->policy.leader_ttl_ratio;
	if (leadership->session_ttl_s < 0.2)
		leadership->session_ttl_s = 0.2;
	/* an earlier process of this node may have granted an outage vote until now */
	leadership->votes_entitle_until = core->now + leadership->session_ttl_s;
	leadership->replica_age_limit_s = ws_core_replica_age_limit(core->settings);
	if (ws_core_replica_age_limit_is_short(core->settings, &core->policy))
		ws_log(core, WS_LOG_ERROR,
		       "cancel_s is too short for lease_s cancel_s=%.3g lease_s=%.3g "
		       "outage_heartbeats_s=%.3g",
		       core->settings->cancel_s, core->settings->lease_s,
		       fmax(0, leadership->replica_age_limit_s));
}

static void ws_become_follower(struct ws_core *core, double retry_after_s)
{
	core->leadership.role = WS_FOLLOWER;
	core->leadership.next_attempt_at = core->now + retry_after_s;
}

static void ws_ignore_result(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result)
{
	(void)core;
	(void)call;
	(void)result;
}

void ws_step_down(struct ws_core *core, const char *reason)
{
	struct ws_leadership *leadership = &core->leadership;

	if (reason && leadership->role != WS_FOLLOWER)
		ws_log(core, WS_LOG_INFO, "stepped down: %s", reason);
	core->generation++;
	if (leadership->role == WS_LEADER &&
	    core->now - leadership->elected_at > WS_PROOF_TTLS * leadership->session_ttl_s)
		ws_leader_record_active(core, fmin(core->now, leadership->entitled_until),
					leadership->fencing_token >> WS_FENCING_TOKEN_SHIFT);
	ws_core_clear_leader_state(core);
	leadership->renewals_in_flight = 0;
	leadership->in_outage = leadership->paused = false;
	leadership->session_may_have_ended = false;
	leadership->votes.outstanding = 0;
	if (leadership->session && reason) {
		struct ws_call *call = ws_call_new(core, WS_CALL_SESSION_CLOSE, ws_ignore_result);

		call->session.id = leadership->session;
		call->urgent = true;
	}
	leadership->session = 0;
	leadership->fencing_token = 0;
	leadership->committed_revision = 0;
	leadership->numbers_exhausted = false;
	leadership->entitled_until = 0;
	ws_become_follower(core, 0);
}

/* Closes the session, so the next leader need not wait for it to expire. */
void ws_core_resign(struct ws_core *core, double now)
{
	if (now > core->now)
		core->now = now;
	core->leadership.campaign_after = 1e18;
	if (core->leadership.role != WS_FOLLOWER)
		ws_step_down(core, "process is stopping");
}

/* ---- election ---- */

static void ws_leader_changed(struct ws_core *core, json_t *value, uint64_t revision)
{
	const char *node = value ? ws_leader_record_node(value) : NULL;

	if (strcmp(core->leadership.leader_node, node ? node : ""))
		ws_log(core, WS_LOG_INFO, "leader changed leader=%s", node ? node : "none");
	snprintf(core->leadership.leader_node, sizeof(core->leadership.leader_node), "%s",
		 node ? node : "");
	core->leadership.leader_revision = node ? revision : 0;
	if ((core->leadership.role == WS_LEADER || core->leadership.role == WS_LOADING) && node &&
	    revision > core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT)
		ws_step_down(core, "another node leads");
}

bool ws_leader_key_is_gone(const struct ws_core *core, uint64_t revision)
{
	const struct ws_leadership *leadership = &core->leadership;

	if (!revision)
		return leadership->watch_revision > 0 && !leadership->leader_node[0];
	return leadership->leader_revision > revision ||
	       (leadership->watch_revision >= revision && leadership->leader_revision != revision);
}

static void ws_election_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result);

static void ws_session_opened(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	const struct ws_leader_record record = {core->settings->node, core->nonce >> 2};
	struct ws_call *transaction;

	if (call->generation != core->generation || core->leadership.role != WS_CANDIDATE)
		return;
	if (result->outcome != WS_OUTCOME_OK) {
		ws_become_follower(core, core->leadership.session_ttl_s / 4);
		return;
	}
	core->leadership.session = result->session;
	if (core->leadership.leader_node[0] &&
	    strcmp(core->leadership.leader_node, core->settings->node)) {
		/* another node was elected: its key must not be the precondition of our write */
		ws_step_down(core, "another node was elected");
		return;
	}
	core->leadership.entitled_until =
	    call->created_at + core->leadership.session_ttl_s * (1 - WS_CLOCK_DRIFT_MAX);
	core->leadership.next_renewal_at = call->created_at + core->leadership.session_ttl_s / 4;
	transaction = ws_call_new(core, WS_CALL_TRANSACTION, ws_election_answered);
	transaction->urgent = true;
	ws_transaction_reserve(transaction, 1, 1);
	/* the key does not exist, or was written by an earlier process of this node */
	ws_transaction_compare(transaction, WS_KEY_LEADER, core->leadership.leader_revision);
	ws_transaction_set(transaction, WS_KEY_LEADER, ws_leader_record_encode(&record))->session =
	    core->leadership.session;
}

static void ws_election_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	if (call->generation != core->generation || core->leadership.role != WS_CANDIDATE)
		return;
	if (result->outcome != WS_OUTCOME_OK) {
		/* the election is lost or its result unknown: closing the session deletes the key
		 * if our write still arrives */
		ws_step_down(core, "election lost");
		ws_become_follower(core, result->outcome == WS_OUTCOME_CONFLICT
					     ? 0
					     : core->leadership.session_ttl_s / 4);
		return;
	}
	core->leadership.role = WS_LOADING;
	/* a key left by an earlier process of this node does not show when another leader's session
	 * ended, and a paused leader may have answered for up to the session TTL */
	core->leadership.elected_at =
	    core->now +
	    (call->transaction.compares[0].revision ? core->leadership.session_ttl_s : 0);
	core->leadership.predecessors_entitled_until =
	    fmax(core->leadership.elected_at, core->leadership.votes_entitle_until);
	core->leadership.fencing_token = result->transaction.revision << WS_FENCING_TOKEN_SHIFT;
	core->leadership.committed_revision = result->transaction.revision;
	core->leadership.leader_revision = result->transaction.revision;
	snprintf(core->leadership.leader_node, sizeof(core->leadership.leader_node), "%s",
		 core->settings->node);
	core->leadership.forwarded_only_since = 0;
	ws_event_count(core, WS_EVENT_ELECTED);
	ws_log(core, WS_LOG_INFO,
	       "elected token=%llu revision=%llu entitled_s=%.3f predecessors_entitled_s=%.3f",
	       (unsigned long long)core->leadership.fencing_token,
	       (unsigned long long)core->leadership.leader_revision,
	       core->leadership.entitled_until - core->now,
	       core->leadership.predecessors_entitled_until - core->now);
	ws_core_elected(core);
}

static void ws_campaign(struct ws_core *core)
{
	struct ws_call *call;

	core->leadership.role = WS_CANDIDATE;
	core->generation++;
	call = ws_call_new(core, WS_CALL_SESSION_OPEN, ws_session_opened);
	call->session.ttl_ms = (uint32_t)(core->leadership.session_ttl_s * 1000);
	call->urgent = true;
}

static void ws_leader_watch_answered(struct ws_core *core, struct ws_call *call,
				     const struct ws_result *result)
{
	core->leadership.watch_in_flight = false;
	if (result->outcome != WS_OUTCOME_OK) {
		core->leadership.leader_known = false;
		core->leadership.proof.leader_revision = 0;
		core->leadership.next_attempt_at = core->now + core->leadership.session_ttl_s / 4;
		if (result->outcome == WS_OUTCOME_COMPACTED)
			core->leadership.next_attempt_at = core->now;
		return;
	}
	core->leadership.watch_revision = result->records.revision;
	for (size_t i = 0; i < result->records.entry_count; i++)
		if (!strcmp(result->records.entries[i].key, WS_KEY_LEADER))
			ws_leader_changed(core, result->records.entries[i].value,
					  result->records.entries[i].revision);
	ws_leader_key_read(core, call->created_at);
}

static void ws_leader_read_answered(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result)
{
	core->leadership.watch_in_flight = false;
	if (result->outcome != WS_OUTCOME_OK) {
		core->leadership.proof.leader_revision = 0;
		core->leadership.next_attempt_at = core->now + core->leadership.session_ttl_s / 4;
		return;
	}
	bool leader_exists = false;
	core->leadership.leader_known =
	    true; /* not derived from the revision, which may be 0 in a new store */
	core->leadership.watch_revision = result->records.revision;
	for (size_t i = 0; i < result->records.entry_count; i++)
		if (!strcmp(result->records.entries[i].key, WS_KEY_LEADER)) {
			leader_exists = true;
			ws_leader_changed(core, result->records.entries[i].value,
					  result->records.entries[i].revision);
		}
	if (!leader_exists)
		ws_leader_changed(core, NULL, 0);
	ws_leader_key_read(core, call->created_at);
}

static void ws_watch_leader(struct ws_core *core)
{
	struct ws_call *call;

	if (core->leadership.watch_in_flight || core->now < core->leadership.next_attempt_at)
		return;
	core->leadership.watch_in_flight = true;
	if (!core->leadership.leader_known) {
		call = ws_call_new(core, WS_CALL_LIST, ws_leader_read_answered);
		snprintf(call->read.key, sizeof(call->read.key), WS_KEY_LEADER);
		return;
	}
	call = ws_call_new(core, WS_CALL_WATCH, ws_leader_watch_answered);
	snprintf(call->watch.prefix, sizeof(call->watch.prefix), WS_KEY_LEADER);
	call->watch.since_revision = core->leadership.watch_revision;
	call->watch.timeout_ms = (uint32_t)(core->leadership.session_ttl_s * 1000);
}

/* A follower campaigns if there is no leader, or an earlier process of this node left its key. */
static void ws_follower_tick(struct ws_core *core)
{
	bool key_is_own = core->leadership.leader_node[0] &&
			  !strcmp(core->leadership.leader_node, core->settings->node);

	if (core->leadership.leader_known && (!core->leadership.leader_node[0] || key_is_own) &&
	    core->now >= core->leadership.campaign_after &&
	    core->now >= core->leadership.next_attempt_at && core->catalog.type_count)
		ws_campaign(core);
}

/*
 * Whether workers reach only other nodes, one of which should then lead. The time counts from the
 * first forwarded heartbeat, because before it there may have been no workers.
 */
static bool ws_workers_reach_only_peers(const struct ws_core *core)
{
	return core->leadership.role == WS_LEADER && core->leadership.forwarded_only_since > 0 &&
	       core->now - core->leadership.forwarded_only_since >
		   2.5 * core->settings->heartbeat_s &&
	       !core->leadership.in_outage;
}

void ws_leadership_committed(struct ws_core *core, uint64_t revision)
{
	if (revision > core->leadership.committed_revision)
		core->leadership.committed_revision = revision;
}

uint64_t ws_term_number_max(const struct ws_core *core, unsigned shift)
{
	return ((core->leadership.committed_revision + 1) << shift) - 1;
}

void ws_term_numbers_exhausted(struct ws_core *core)
{
	core->leadership.numbers_exhausted = true;
}

void ws_leadership_assume(struct ws_core *core)
{
	core->leadership.role = WS_LEADER;
}

void ws_leadership_worker_contact(struct ws_core *core, bool forwarded)
{
	struct ws_leadership *leadership = &core->leadership;

	if (!forwarded)
		leadership->forwarded_only_since = 0;
	else if (!leadership->forwarded_only_since)
		leadership->forwarded_only_since = core->now;
}

bool ws_leadership_tick(struct ws_core *core)
{
	const char *lost_reason;

	ws_watch_leader(core);
	if (core->leadership.role == WS_FOLLOWER) {
		ws_follower_tick(core);
		return false;
	}
	ws_session_renew(core);
	if (core->leadership.role != WS_LEADER && core->leadership.role != WS_LOADING)
		return false;
	ws_outage_tick(core);
	lost_reason = ws_leadership_lost_reason(core);
	if (lost_reason) {
		ws_step_down(core, lost_reason);
		return false;
	}
	if (core->leadership.in_outage && core->now >= core->leadership.entitled_until) {
		ws_pause_or_step_down(core);
		return false;
	}
	if (!core->leadership.paused)
		core->leadership.pause_until = core->leadership.entitled_until;
	if (ws_workers_reach_only_peers(core)) {
		core->leadership.campaign_after = core->now + core->settings->lease_s;
		ws_step_down(core, "workers reach only other nodes");
		return false;
	}
	return core->leadership.role == WS_LEADER;
}
