/*
 * Frames between controllers: length-prefixed protobuf messages over TCP. Each node has one
 * outgoing connection to each peer for its own requests, and sends replies on the connections that
 * it accepted. Only the thread of the event loop may use it.
 */
#ifndef WS_PEER_H
#define WS_PEER_H
#include "../core/core.h"
#include "peer.pb-c.h"
#include <ev.h>

struct ws_peers;
/* Called for each request frame. The reply is sent by ws_peers_reply() on the same connection, with
 * the id of the frame. */
typedef void (*ws_peer_request_fn)(void *context, uint64_t connection, const Ws__PeerFrame *frame);
/* Called when a request ends. `reply` is NULL if it timed out or the connection failed. */
typedef void (*ws_peer_reply_fn)(void *context, const Ws__PeerFrame *reply);

/* Starts to listen. Returns NULL with one line in `error` if listening fails, and NULL without a
 * message if memory is exhausted. The settings must outlive the peers. */
struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_request_fn on_request, void *context, char *error,
			      size_t error_size);
/* Sends a request to a node by name, or with "" to the most responsive peer. Returns false if it
 * can't be sent; then on_reply is not called. */
bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_reply_fn on_reply, void *context);
/* Sends a reply on the connection of the request; does nothing if that connection is closed. */
void ws_peers_reply(struct ws_peers *peers, uint64_t connection, Ws__PeerFrame *frame);
/* Closes all connections and frees `peers`, which may be NULL. Pending requests end without a
 * reply. */
void ws_peers_free(struct ws_peers *peers);
#endif
