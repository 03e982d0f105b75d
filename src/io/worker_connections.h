/*
 * A pool of HTTP clients to workers, one a worker address. It exists for speed alone: answers to
 * heartbeats carry the same commands, so a command that finds no free client is not lost. The pool
 * is limited to an eighth of the sockets; the least recently used idle client gives way. Belongs to
 * the thread of the event loop.
 */
#ifndef WS_WORKER_CONNECTIONS_H
#define WS_WORKER_CONNECTIONS_H
#include "../core/settings.h"
#include "http_client.h"

struct ws_worker_connections;

/* NULL without memory. The settings must outlive the pool. */
struct ws_worker_connections *ws_worker_connections_new(struct ev_loop *loop,
							const struct ws_settings *settings);
/* The client to a worker, made if there is none; NULL: all are busy. Owned by the pool. */
struct ws_http_client *ws_worker_connections_get(struct ws_worker_connections *pool,
						 const char *address, int port);
/* Takes clients out of the pool that were not used for `idle_s` seconds. */
void ws_worker_connections_retire_idle(struct ws_worker_connections *pool, double now,
				       double idle_s);
/* Frees the clients taken out. Only from the timer: never with a client's callback on the stack. */
void ws_worker_connections_free_retired(struct ws_worker_connections *pool);
unsigned ws_worker_connections_count(const struct ws_worker_connections *pool);
/* Frees the pool; calls under way end without an answer. */
void ws_worker_connections_free(struct ws_worker_connections *pool);
#endif
