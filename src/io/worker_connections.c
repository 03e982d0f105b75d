#include "worker_connections.h"
#include "clock.h"
#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

/* Large enough for "ADDRESS:PORT". */
#define WORKER_NAME_MAX 80
/* One connection to a worker is allowed per this many client sockets. */
#define SOCKETS_PER_WORKER_CONNECTION 8
#define WORKER_QUEUE_MAX 4
#define WORKER_REPLY_MAX ((size_t)256 * 1024)

struct worker_connection {
	char name[WORKER_NAME_MAX];
	struct ws_http_client *client;
	struct worker_connection *next_retired;
	UT_hash_handle hh;
};

struct ws_worker_connections {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	/* least recently used first: a client that is used is removed and added again */
	struct worker_connection *by_name;
	struct worker_connection *retired, **retired_end;
};

struct ws_worker_connections *ws_worker_connections_new(struct ev_loop *loop,
							const struct ws_settings *settings)
{
	struct ws_worker_connections *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->loop = loop;
	pool->settings = settings;
	pool->retired_end = &pool->retired;
	return pool;
}

/* The timer frees the client, because this may run in a callback of that client. */
static void retire(struct ws_worker_connections *pool, struct worker_connection *worker)
{
	HASH_DEL(pool->by_name, worker);
	worker->next_retired = NULL;
	*pool->retired_end = worker;
	pool->retired_end = &worker->next_retired;
}

/* Retires the least recently used idle client. Returns false if no client is idle. */
static bool retire_least_recently_used(struct ws_worker_connections *pool)
{
	struct worker_connection *worker, *next;

	HASH_ITER (hh, pool->by_name, worker, next)
		if (ws_client_is_idle(worker->client, ws_now(), 0)) {
			retire(pool, worker);
			return true;
		}
	return false;
}

static struct worker_connection *add_worker(struct ws_worker_connections *pool, const char *name,
					    const char *address, int port)
{
	struct ws_http_client_options options = {.max_connections = 1,
						 .max_queue = WORKER_QUEUE_MAX,
						 .max_reply_bytes = WORKER_REPLY_MAX,
						 .idle_timeout_s = pool->settings->lease_s};
	struct worker_connection *worker = calloc(1, sizeof(*worker));

	if (!worker)
		return NULL;
	snprintf(worker->name, sizeof(worker->name), "%s", name);
	worker->client = ws_client_new(pool->loop, address, port, &options);
	if (!worker->client) {
		free(worker);
		return NULL;
	}
	HASH_ADD_STR(pool->by_name, name, worker);
	return worker;
}

struct ws_http_client *ws_worker_connections_get(struct ws_worker_connections *pool,
						 const char *address, int port)
{
	unsigned limit =
	    (unsigned)(pool->settings->client_sockets / SOCKETS_PER_WORKER_CONNECTION + 1);
	struct worker_connection *worker;
	char name[WORKER_NAME_MAX];

	snprintf(name, sizeof(name), "%s:%d", address, port);
	HASH_FIND_STR(pool->by_name, name, worker);
	if (worker) {
		HASH_DEL(pool->by_name, worker);
		HASH_ADD_STR(pool->by_name, name, worker);
		return worker->client;
	}
	if (HASH_COUNT(pool->by_name) >= limit && !retire_least_recently_used(pool))
		return NULL;
	worker = add_worker(pool, name, address, port);
	return worker ? worker->client : NULL;
}

void ws_worker_connections_retire_idle(struct ws_worker_connections *pool, double now,
				       double idle_s)
{
	struct worker_connection *worker, *next;

	HASH_ITER (hh, pool->by_name, worker, next)
		if (ws_client_is_idle(worker->client, now, idle_s))
			retire(pool, worker);
}

void ws_worker_connections_free_retired(struct ws_worker_connections *pool)
{
	struct worker_connection *worker = pool->retired;

	pool->retired = NULL;
	pool->retired_end = &pool->retired;
	while (worker) {
		struct worker_connection *next = worker->next_retired;

		ws_client_free(worker->client);
		free(worker);
		worker = next;
	}
}

unsigned ws_worker_connections_count(const struct ws_worker_connections *pool)
{
	return HASH_COUNT(pool->by_name);
}

void ws_worker_connections_free(struct ws_worker_connections *pool)
{
	struct worker_connection *worker, *next;

	if (!pool)
		return;
	HASH_ITER (hh, pool->by_name, worker, next)
		retire(pool, worker);
	ws_worker_connections_free_retired(pool);
	free(pool);
}
