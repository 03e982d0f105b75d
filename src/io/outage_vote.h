/*
 * Encodes and decodes outage votes in frames between controllers. A leader to which the store
 * is unavailable asks a peer whether it is unavailable to the peer as well, and for cancelled jobs
 * that are missing from the leader's replica.
 */
#ifndef WS_OUTAGE_VOTE_H
#define WS_OUTAGE_VOTE_H
#include "../core/core.h"
#include "peer.pb-c.h"

/* Sets the frame that requests a vote. It points to memory of the call and to `vote`. */
void ws_vote_encode_request(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call);
/* Decodes a peer's reply; only a reply of status 503 with a list of cancellations grants the vote.
 * Returns false if the list is malformed; the result then has status 200 and grants no vote. The
 * caller frees the memory of the result with ws_result_free(). */
bool ws_vote_decode_reply(const Ws__PeerFrame *frame, struct ws_result *result);
/* Sets the frame with this node's vote. Its list of cancellations is in `vote`, and is valid until
 * ws_vote_free(). */
void ws_vote_encode_reply(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *answer);
void ws_vote_free(Ws__OutageVote *vote);
#endif
