/* The lead in an outage of the store: peers are asked whether they are refused as well. */
#include "../core_state.h"

/*
 * While the store is down for everybody no hold runs out, so a leader may go on answering
 * reports. Every peer must say so afresh; one that is silent, served or leading ends it, for the
 * service may be refusing us alone while another node takes over.
 *
 * Until it refused them too, peers may have told users that jobs are cancelled. So each one's word
 * brings the cancellations that are newer than what we have seen, and these end here before we go
 * on; one that can't tell of all of them gives no vote. Our own job status cache is asked in
 * the same way: it may hold what our watch for the leader's view has not brought yet.
 *
 * A leader whose peers did not all say so in time pauses: it answers nobody, but keeps what it
 * knows. If all say so again before a lease has passed since its session's end, it goes on. Had
 * another been elected in between, that one could not yet have moved anything for want of an
 * answer, and workers that heard from it drop what we say; had it ended since, it would say so or
 * be silent.
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

/* All peers are refused as well, and what they told users is known here: leadership goes on. */
static void ws_extend_entitlement(struct ws_core *core)
{
	struct ws_leadership *leadership = &core->leadership;
	double session_s = leadership->session_ttl_s * (1 - WS_DRIFT);
	double until =
	    leadership->votes.asked_at + fmin(session_s, leadership->replica_age_limit_s);

	if (!ws_core_outage_confirm_replica(core, leadership->votes.asked_at))
		return;
	if (until <= leadership->entitled_until || until <= core->now)
		return;
	leadership->entitled_until = until;
	if (!leadership->paused)
		return;
	leadership->paused = false;
	ws_log(core, WS_LOG_INFO, "resumed: outage confirmed by all peers");
	ws_core_outage_resumed(core);
}

static void ws_outage_vote_answered(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result)
{
	if (call->generation != core->generation ||
	    call->outage_vote.round != core->leadership.votes.round)
		return;
	core->leadership.votes.outstanding--;
	core->leadership.votes.last_answer_at = core->now;
	if (result->outcome != WS_OUTCOME_UNAVAILABLE || !result->vote.granted)
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
	if (core->leadership.votes.granted == (int)core->settings->peer_count &&
	    core->now < core->leadership.pause_until)
		ws_extend_entitlement(core);
}

void ws_outage_tick(struct ws_core *core)
{
	/* a round whose answers are slow is waited for, or none would ever be complete */
	if (!core->leadership.in_outage || core->now < core->leadership.votes.next_round_at ||
	    (core->leadership.votes.outstanding > 0 &&
	     core->now <
		 core->leadership.votes.last_answer_at + core->leadership.session_ttl_s / 2))
		return;
	core->leadership.votes.next_round_at = core->now + core->leadership.session_ttl_s / 8;
	core->leadership.votes.round++;
	core->leadership.votes.granted = core->leadership.votes.outstanding = 0;
	core->leadership.votes.asked_at = core->leadership.votes.last_answer_at = core->now;
	for (size_t i = 0; i < core->settings->peer_count; i++)
		ws_outage_vote_request(core, core->settings->peers[i].node,
				       core->job_watch.revision, "");
}
