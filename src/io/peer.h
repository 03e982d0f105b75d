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

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *s, ws_peer_ask_fn fn,
			      void *ctx, char *err, size_t n);
/* Node: a name, or "" for whichever answered last. False: nobody to send to. */
bool ws_peers_send(struct ws_peers *p, const char *node, Ws__PeerFrame *f, double timeout_s,
		   ws_peer_done_fn fn, void *ctx);
void ws_peers_reply(struct ws_peers *p, uint64_t from, Ws__PeerFrame *f);
void ws_peers_free(struct ws_peers *p);

/* The frame of a question for testimony; what it points to is the call's and t's. */
void ws_testimony_ask(Ws__PeerFrame *f, Ws__Testimony *t, struct ws_call *call);
/* A peer's answer to the core's terms; one that does not vouch, or makes no sense, is a plain 200.
 * False: it makes no sense. r's list is freed by ws_result_free. */
bool ws_testimony_read(const Ws__PeerFrame *f, struct ws_result *r);
/* Our answer, with the list in t, which is good until ws_testimony_free. */
void ws_testimony_fill(Ws__PeerFrame *f, Ws__Testimony *t, struct ws_action *a);
void ws_testimony_free(Ws__Testimony *t);
#endif
