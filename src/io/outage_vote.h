/*
 * Outage votes in frames: a leader that the store refuses asks a peer whether it is refused
 * too, and which jobs were cancelled that the leader may not know of.
 */
#ifndef WS_OUTAGE_VOTE_H
#define WS_OUTAGE_VOTE_H
#include "../core/core.h"
#include "peer.pb-c.h"

/* The frame that asks for a vote; what it points to is the call's and the vote's. */
void ws_vote_set_question(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call);
/* A voter's answer to the core's terms; one that is no vote, or makes no sense, is a plain 200.
 * False: it makes no sense. The result's list is freed by ws_result_free(). */
bool ws_vote_read(const Ws__PeerFrame *frame, struct ws_result *result);
/* Our answer, with the list in `vote`, which is good until ws_vote_free(). */
void ws_vote_set_answer(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *answer);
void ws_vote_free(Ws__OutageVote *vote);
#endif
