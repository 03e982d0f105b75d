/*
 * A pool of HTTP clients to workers, one per worker address. It only lowers latency: answers
 * to heartbeats carry the same commands, so a command for which no client is available is not lost.
 * The pool is limited to an eighth of the client sockets; when it is full, the least recently used
 * idle client is replaced. Only the thread of the event loop may use it.
 */
#ifndef WS_WORKER_CONNECTIONS_H
#define WS_WORKER_CONNECTIONS_H
#include "../core/settings.h"
#include "http_client.h"

struct ws_worker_connections;

/* Returns NULL if memory is exhausted. The settings must outlive the pool. */
struct ws_worker_connections *ws_worker_connections_new(struct ev_loop *loop,
							const struct ws_settings *settings);
/* Returns the client to a worker and creates it if there is none. Returns NULL if the pool is full
 * and no client is idle, or if memory is exhausted. The pool owns the client. */
struct ws_http_client *ws_worker_connections_get(struct ws_worker_connections *pool,
						 const char *address, int port);
/* Removes the clients from the pool that have been idle for at least `idle_s` seconds. */
void ws_worker_connections_retire_idle(struct ws_worker_connections *pool, double now,
				       double idle_s);
/* Frees the clients that were removed. Called by the timer only, never from a client's callback. */
void ws_worker_connections_free_retired(struct ws_worker_connections *pool);
unsigned ws_worker_connections_count(const struct ws_worker_connections *pool);
/* Frees the pool, which may be NULL. Pending requests end without a reply. */
void ws_worker_connections_free(struct ws_worker_connections *pool);
#endif
