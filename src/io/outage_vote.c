#include "outage_vote.h"
#include "codec.h"
#include "http_status.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ws_vote_set_question(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call)
{
	frame->kind = WS__PEER_FRAME__KIND__OUTAGE_VOTE;
	frame->vote = vote;
	vote->leader_revision = call->outage_vote.leader_revision;
	vote->since_revision = call->outage_vote.since_revision;
	vote->after_job = call->outage_vote.after_job;
}

bool ws_vote_read(const Ws__PeerFrame *frame, struct ws_result *result)
{
	const Ws__OutageVote *vote = frame->vote;

	memset(result, 0, sizeof(*result));
	result->http_status = (int)frame->status;
	result->outcome = ws_outcome_of_http_status(result->http_status);
	if (result->outcome != WS_OUTCOME_UNAVAILABLE || !vote)
		return true; /* no list: no vote, whatever the status */
	result->cancellations = calloc(vote->n_cancelled + 1, sizeof(*result->cancellations));
	if (!result->cancellations)
		abort();
	for (size_t i = 0; i < vote->n_cancelled; i++) {
		if (!ws_job_id_ok(vote->cancelled[i]->job)) {
			free(result->cancellations);
			*result = (struct ws_result){.outcome = WS_OUTCOME_OK};
			return false;
		}
		snprintf(result->cancellations[i].job, WS_ID_MAX, "%s", vote->cancelled[i]->job);
		result->cancellations[i].revision = vote->cancelled[i]->revision;
	}
	result->cancellation_count = vote->n_cancelled;
	result->has_more = vote->has_more;
	result->vote_granted = true;
	return true;
}

void ws_vote_set_answer(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *answer)
{
	Ws__Cancellation *list;

	frame->kind = WS__PEER_FRAME__KIND__REPLY;
	frame->status = (uint32_t)ws_http_status_of_answer(answer->answer);
	if (!answer->vote_granted)
		return;
	frame->vote = vote;
	vote->has_more = answer->has_more;
	vote->n_cancelled = answer->cancellation_count;
	vote->cancelled = calloc(answer->cancellation_count + 1, sizeof(*vote->cancelled));
	list = calloc(answer->cancellation_count + 1, sizeof(*list));
	if (!vote->cancelled || !list)
		abort();
	for (size_t i = 0; i <= answer->cancellation_count; i++) /* the first one owns them all */
		vote->cancelled[i] = &list[i];
	for (size_t i = 0; i < answer->cancellation_count; i++) {
		ws__cancellation__init(&list[i]);
		list[i].job = answer->cancellations[i].job;
		list[i].revision = answer->cancellations[i].revision;
	}
}

void ws_vote_free(Ws__OutageVote *vote)
{
	if (vote->cancelled)
		free(vote->cancelled[0]);
	free(vote->cancelled);
}
