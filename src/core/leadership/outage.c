/* Leadership during a store outage: the leader asks the peers whether they are affected as well. */
#include "../core_state.h"

/*
 * While the store is unavailable to all nodes no session expires, so the leader may continue to
 * answer heartbeats. Every peer must confirm the outage anew in each round. A peer that does not
 * answer, that the store still serves, or that leads itself prevents this, because the store may be
 * rejecting only this node's calls while another node takes over.
 *
 * Before the outage reached them, peers may have confirmed cancellations to users. So each vote
 * includes the cancellations that are newer than the leader's job replica, and the leader applies
 * them before it continues. A peer with an incomplete list does not grant its vote. The leader's
 * own job status cache is checked in the same way: it may be ahead of the watch that updates the
 * replica.
 *
 * A leader that not all peers confirmed in time pauses: it answers no requests but keeps its state.
 * If all peers confirm within a lease of the end of its session, it resumes, although its session
 * may have ended before the outage began. If another leader was elected in between, the lease has
 * not yet allowed it to move the tasks of machines that do not answer, and workers that it has
 * contacted reject this leader's lower fencing token. If it has stepped down since, its node denies
 * the vote or does not answer.
 *
 * Without that session, another leader may be elected as the outage ends, while this one is still
 * entitled. Its node has voted, like every peer, and so counts the leases of machines from the end
 * of the entitlement that its vote may have given; see ws_outage_vote_granted(). A vote states
 * this. The previous version does neither: by its votes, a leader goes on only while its session
 * surely lasts.
 */
static void ws_outage_vote_answered(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result);

static void ws_outage_vote_request(struct ws_core *core, const char *node, uint64_t since,
				   const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_OUTAGE_VOTE, ws_outage_vote_answered);

	snprintf(call->outage_vote.peer, sizeof(call->outage_vote.peer), "%s", node);
	snprintf(call->outage_vote.after_job, sizeof(call->outage_vote.after_job), "%s", after);
	call->outage_vote.since_revision = since;
	call->outage_vote.leader_revision =
	    core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT;
	call->outage_vote.round = core->leadership.votes.round;
	core->leadership.votes.outstanding++;
}

/*
 * Whether this leader's session in the store surely lasts until the entitlement by this round ends:
 * the outage was confirmed while it lasted, and a session lasts through an outage.
 */
static bool ws_session_surely_lasts(const struct ws_core *core)
{
	return !core->leadership.session_may_have_ended &&
	       core->now < core->leadership.entitled_until;
}

/* Extends entitlement after all peers confirmed the outage and listed their cancellations. */
static void ws_extend_entitlement(struct ws_core *core)
{
	struct ws_leadership *leadership = &core->leadership;
	double session_s = leadership->session_ttl_s * (1 - WS_CLOCK_DRIFT_MAX);
	double until =
	    leadership->votes.requested_at + fmin(session_s, leadership->replica_age_limit_s);

	if (!ws_session_surely_lasts(core)) {
		leadership->session_may_have_ended = true;
		if (leadership->votes.lease_counting < (int)core->settings->peer_count)
			return;
	}
	if (!ws_core_outage_confirm_replica(core, leadership->votes.requested_at))
		return;
	if (until <= leadership->entitled_until || until <= core->now)
		return;
	leadership->entitled_until = until;
	ws_log(core, WS_LOG_DEBUG,
	       "entitlement extended by outage votes token=%llu round=%llu entitled_s=%.3f",
	       (unsigned long long)leadership->fencing_token,
	       (unsigned long long)leadership->votes.round, until - core->now);
	if (!leadership->paused)
		return;
	leadership->paused = false;
	ws_log(core, WS_LOG_INFO,
	       "resumed: outage confirmed by all peers token=%llu entitled_s=%.3f",
	       (unsigned long long)leadership->fencing_token, until - core->now);
	ws_core_outage_resumed(core);
}

static bool ws_vote_is_granted(const struct ws_result *result)
{
	return result->outcome == WS_OUTCOME_UNAVAILABLE && result->vote.granted;
}

static void ws_outage_vote_answered(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result)
{
	if (call->generation != core->generation ||
	    call->outage_vote.round != core->leadership.votes.round)
		return;
	core->leadership.votes.outstanding--;
	core->leadership.votes.last_reply_at = core->now;
	ws_log(core, WS_LOG_DEBUG,
	       "outage vote answered peer=%s round=%llu granted=%s requested_s=%.3f",
	       call->outage_vote.peer, (unsigned long long)call->outage_vote.round,
	       ws_vote_is_granted(result) ? "yes" : "no",
	       core->now - core->leadership.votes.requested_at);
	if (!ws_vote_is_granted(result))
		return;
	ws_core_outage_cancellations(core, result->vote.cancellations,
				     result->vote.cancellation_count, call->outage_vote.peer);
	if (result->vote.has_more && result->vote.cancellation_count) {
		const struct ws_cancellation *last =
		    &result->vote.cancellations[result->vote.cancellation_count - 1];

		ws_outage_vote_request(core, call->outage_vote.peer, last->revision, last->job);
		return;
	}
	core->leadership.votes.granted++;
	core->leadership.votes.lease_counting += result->vote.counts_leases;
	if (core->leadership.votes.granted == (int)core->settings->peer_count &&
	    core->now < core->leadership.pause_until)
		ws_extend_entitlement(core);
}

/*
 * The requester counts its entitlement from before this time and for at most one session TTL. Its
 * session may have ended, so this node may be elected within that time. It then counts the leases
 * of machines from the end of it.
 */
void ws_outage_vote_granted(struct ws_core *core)
{
	core->leadership.votes_entitle_until = core->now + core->leadership.session_ttl_s;
}

void ws_outage_tick(struct ws_core *core)
{
	/* a new round discards the open one, so with slow peers no round would ever complete */
	if (!core->leadership.in_outage || core->now < core->leadership.votes.next_round_at ||
	    (core->leadership.votes.outstanding > 0 &&
	     core->now < core->leadership.votes.last_reply_at + core->leadership.session_ttl_s / 2))
		return;
	core->leadership.votes.next_round_at = core->now + core->leadership.session_ttl_s / 8;
	core->leadership.votes.round++;
	core->leadership.votes.granted = core->leadership.votes.outstanding = 0;
	core->leadership.votes.lease_counting = 0;
	core->leadership.votes.requested_at = core->leadership.votes.last_reply_at = core->now;
	for (size_t i = 0; i < core->settings->peer_count; i++)
		ws_outage_vote_request(core, core->settings->peers[i].node,
				       core->job_watch.revision, "");
}
