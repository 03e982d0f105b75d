/* Controllers among themselves: frames of protobuf-c with a length in front, over TCP. */
#ifndef WS_PEER_H
#define WS_PEER_H
#include "../core/settings.h"
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
#endif
