#include "outage_vote.h"
#include "codec.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ws_testimony_ask(Ws__PeerFrame *frame, Ws__Testimony *vote, struct ws_call *call)
{
	frame->kind = WS__PEER_FRAME__KIND__TESTIFY;
	frame->testimony = vote;
	vote->leader = call->epoch;
	vote->since = call->since;
	vote->after = call->after;
}

bool ws_testimony_read(const Ws__PeerFrame *frame, struct ws_result *result)
{
	const Ws__Testimony *vote = frame->testimony;

	memset(result, 0, sizeof(*result));
	result->status = (int)frame->status;
	if (result->status != 503 || !vote)
		return true; /* no list: no vote, whatever the status */
	result->withdrawn = calloc(vote->n_withdrawn + 1, sizeof(*result->withdrawn));
	if (!result->withdrawn)
		abort();
	for (size_t i = 0; i < vote->n_withdrawn; i++) {
		if (!ws_job_id_ok(vote->withdrawn[i]->job)) {
			free(result->withdrawn);
			*result = (struct ws_result){.status = 200};
			return false;
		}
		snprintf(result->withdrawn[i].job, WS_ID_MAX, "%s", vote->withdrawn[i]->job);
		result->withdrawn[i].stamp = vote->withdrawn[i]->stamp;
	}
	result->nwithdrawn = vote->n_withdrawn;
	result->more = vote->more;
	result->vouched = true;
	return true;
}

void ws_testimony_fill(Ws__PeerFrame *frame, Ws__Testimony *vote, struct ws_action *answer)
{
	Ws__Withdrawal *list;

	frame->kind = WS__PEER_FRAME__KIND__REPLY;
	frame->status = (uint32_t)answer->status;
	if (!answer->vouched)
		return;
	frame->testimony = vote;
	vote->more = answer->more;
	vote->n_withdrawn = answer->nwithdrawn;
	vote->withdrawn = calloc(answer->nwithdrawn + 1, sizeof(*vote->withdrawn));
	list = calloc(answer->nwithdrawn + 1, sizeof(*list));
	if (!vote->withdrawn || !list)
		abort();
	for (size_t i = 0; i <= answer->nwithdrawn; i++) /* the first one owns them all */
		vote->withdrawn[i] = &list[i];
	for (size_t i = 0; i < answer->nwithdrawn; i++) {
		ws__withdrawal__init(&list[i]);
		list[i].job = answer->withdrawn[i].job;
		list[i].stamp = answer->withdrawn[i].stamp;
	}
}

void ws_testimony_free(Ws__Testimony *vote)
{
	if (vote->withdrawn)
		free(vote->withdrawn[0]);
	free(vote->withdrawn);
}
