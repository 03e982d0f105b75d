/*
 * A pooled HTTP/1.1 client for one server, over TCP on libev and http-parser, without pipelining:
 * requests wait in a queue for a connection and for the rate limit. Only the thread of its
 * event loop may use it.
 */
#ifndef WS_HTTP_CLIENT_H
#define WS_HTTP_CLIENT_H
#include "http_common.h"
#include <ev.h>

struct ws_http_client;
/* `status` is that of the reply, 0 if there is no reply and the outcome is unknown, or -1 if the
 * request was certainly not sent. */
typedef void (*ws_http_reply_fn)(void *context, int status, const char *body, size_t length);

struct ws_http_client_options {
	int max_connections;
	int max_queue;
	size_t max_reply_bytes; /* maximum reply body in bytes; a longer one counts as no reply */
	double requests_per_s;	/* requests per second; 0: no limit */
	double burst;
	double idle_timeout_s; /* idle timeout of connections; 0: they stay open */
};
/* Returns NULL if memory is exhausted. The first request opens the first connection. */
struct ws_http_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_client_options *options);
/* Sets the limit of requests per second and the burst size. */
void ws_client_set_rate(struct ws_http_client *client, double rate, double burst);
/* Queues a request. An urgent request goes to the head of the queue, even of a full one. Returns
 * false if the queue is full, the path is too long or memory is exhausted; then nothing is sent and
 * on_reply is not called. */
bool ws_client_send(struct ws_http_client *client, const char *method, const char *path,
		    const char *body, size_t length, double timeout_s, bool urgent,
		    ws_http_reply_fn on_reply, void *context);
/* Whether no request is pending and the last one was made at least `idle_s` seconds ago. */
bool ws_client_is_idle(const struct ws_http_client *client, double now, double idle_s);
/* Returns the number of open connections. */
int ws_client_connection_count(const struct ws_http_client *client);
/* Frees a client, which may be NULL. Started requests end with status 0, queued ones with -1. */
void ws_client_free(struct ws_http_client *client);
#endif
