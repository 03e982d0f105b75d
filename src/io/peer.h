/* Controllers among themselves: frames of protobuf-c with a length in front, over TCP. */
#ifndef WS_PEER_H
#define WS_PEER_H
#include "../core/core.h"
#include "peer.pb-c.h"
#include <ev.h>

struct ws_peers;
/* A frame that asks for something; answered by ws_peers_reply with from and its id. */
typedef void (*ws_peer_ask_fn)(void *ctx, uint64_t from, const Ws__PeerFrame *f);
/* reply is NULL when none came. */
typedef void (*ws_peer_done_fn)(void *ctx, const Ws__PeerFrame *reply);

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_ask_fn callback, void *ctx, char *err, size_t size);
/* Node: a name, or "" for whichever answered last. False: nobody to send to. */
bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_done_fn callback, void *ctx);
void ws_peers_reply(struct ws_peers *peers, uint64_t from, Ws__PeerFrame *frame);
void ws_peers_free(struct ws_peers *peers);

/* The frame of a question for outage vote; what it points to is the call's and t's. */
void ws_vote_set_question(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call);
/* A peer's answer to the core's terms; one that does not vouch, or makes no sense, is a plain 200.
 * False: it makes no sense. r's list is freed by ws_result_free. */
bool ws_vote_read(const Ws__PeerFrame *frame, struct ws_result *result);
/* Our answer, with the list in t, which is good until ws_vote_free. */
void ws_vote_set_answer(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *effect);
void ws_vote_free(Ws__OutageVote *vote);
#endif
