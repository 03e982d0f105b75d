/*
 * Frames between controllers: protobuf-c with a length in front, over TCP. Each node has one
 * connection to each peer for its own requests, and answers on those that it accepted. Belongs to
 * the thread of its event loop.
 */
#ifndef WS_PEER_H
#define WS_PEER_H
#include "../core/core.h"
#include "peer.pb-c.h"
#include <ev.h>

struct ws_peers;
/* A frame that asks for something; answered by ws_peers_reply() with its connection and id. */
typedef void (*ws_peer_ask_fn)(void *context, uint64_t connection, const Ws__PeerFrame *frame);
/* reply is NULL when none came. */
typedef void (*ws_peer_done_fn)(void *context, const Ws__PeerFrame *reply);

/* Listens; NULL with one line in `error` if it can't. The settings must outlive it. */
struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_ask_fn on_request, void *context, char *error,
			      size_t error_size);
/* Sends a request to a node by name, or with "" to the one that answered best. False: nobody to
 * send to, and on_reply is not called. */
bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_done_fn on_reply, void *context);
/* Sends a reply by the connection that the request came by; nothing if that is gone. */
void ws_peers_reply(struct ws_peers *peers, uint64_t connection, Ws__PeerFrame *frame);
/* Closes all connections; requests under way end without a reply. NULL is none. */
void ws_peers_free(struct ws_peers *peers);
#endif
