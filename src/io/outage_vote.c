#include "outage_vote.h"
#include "codec.h"
#include "http_status.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ws_vote_encode_request(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call)
{
	frame->kind = WS__PEER_FRAME__KIND__OUTAGE_VOTE;
	frame->vote = vote;
	vote->leader_revision = call->outage_vote.leader_revision;
	vote->since_revision = call->outage_vote.since_revision;
	vote->after_job = call->outage_vote.after_job;
}

bool ws_vote_decode_reply(const Ws__PeerFrame *frame, struct ws_result *result)
{
	const Ws__OutageVote *vote = frame->vote;

	*result = (struct ws_result){.kind = WS_CALL_OUTAGE_VOTE,
				     .outcome = ws_outcome_of_http_status((int)frame->status),
				     .http_status = (int)frame->status};
	if (result->outcome != WS_OUTCOME_UNAVAILABLE || !vote)
		return true; /* without a list the vote is not granted, whatever the status */
	result->vote.cancellations =
	    calloc(vote->n_cancelled + 1, sizeof(*result->vote.cancellations));
	if (!result->vote.cancellations)
		abort();
	for (size_t i = 0; i < vote->n_cancelled; i++) {
		if (!ws_job_id_is_valid(vote->cancelled[i]->job)) {
			free(result->vote.cancellations);
			*result = (struct ws_result){.kind = WS_CALL_OUTAGE_VOTE,
						     .outcome = WS_OUTCOME_OK};
			return false;
		}
		snprintf(result->vote.cancellations[i].job, WS_ID_MAX, "%s",
			 vote->cancelled[i]->job);
		result->vote.cancellations[i].revision = vote->cancelled[i]->revision;
	}
	result->vote.cancellation_count = vote->n_cancelled;
	result->vote.has_more = vote->has_more;
	result->vote.counts_leases = vote->counts_leases;
	result->vote.granted = true;
	return true;
}

void ws_vote_encode_reply(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *answer)
{
	Ws__Cancellation *list;

	frame->kind = WS__PEER_FRAME__KIND__REPLY;
	frame->status = (uint32_t)ws_http_status_of_answer(answer->answer);
	if (!answer->vote.granted)
		return;
	frame->vote = vote;
	vote->has_more = answer->vote.has_more;
	vote->counts_leases = answer->vote.counts_leases;
	vote->n_cancelled = answer->vote.cancellation_count;
	vote->cancelled = calloc(answer->vote.cancellation_count + 1, sizeof(*vote->cancelled));
	list = calloc(answer->vote.cancellation_count + 1, sizeof(*list));
	if (!vote->cancelled || !list)
		abort();
	/* the first pointer owns the list, so it is set even if the list is empty */
	for (size_t i = 0; i <= answer->vote.cancellation_count; i++)
		vote->cancelled[i] = &list[i];
	for (size_t i = 0; i < answer->vote.cancellation_count; i++) {
		ws__cancellation__init(&list[i]);
		list[i].job = answer->vote.cancellations[i].job;
		list[i].revision = answer->vote.cancellations[i].revision;
	}
}

void ws_vote_free(Ws__OutageVote *vote)
{
	if (vote->cancelled)
		free(vote->cancelled[0]);
	free(vote->cancelled);
}
