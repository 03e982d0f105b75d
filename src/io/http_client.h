/*
 * A pooled HTTP/1.1 client for one server, over TCP on libev and http-parser, without pipelining:
 * requests wait in a queue for a connection and for the rate limit. Belongs to the thread of its
 * event loop.
 */
#ifndef WS_HTTP_CLIENT_H
#define WS_HTTP_CLIENT_H
#include "http_common.h"
#include <ev.h>

struct ws_http_client;
/* status: 0 no answer (the outcome is unknown), -1 surely not sent. */
typedef void (*ws_reply_fn)(void *context, int status, const char *body, size_t length);

struct ws_http_client_options {
	int max_conns;
	int max_queue;
	size_t max_reply; /* bytes; a longer body is no answer */
	double rate;	  /* requests a second, 0: no limit */
	double burst;
	double idle_s; /* unused connections are closed after this, 0: kept */
};
/* NULL without memory. Connects with the first request. */
struct ws_http_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_client_options *options);
/* Sets the limit of requests a second. */
void ws_client_rate(struct ws_http_client *client, double rate, double burst);
/* An urgent one goes before all others, also to a full queue. False: the queue is full; nothing was
 * sent and on_reply is not called. */
bool ws_client_send(struct ws_http_client *client, const char *method, const char *path,
		    const char *body, size_t length, double timeout_s, bool urgent,
		    ws_reply_fn on_reply, void *context);
/* Whether nothing is under way and the last request was made so many seconds ago. */
bool ws_client_idle(const struct ws_http_client *client, double now, double idle_s);
/* Open connections. */
int ws_client_conns(const struct ws_http_client *client);
/* Ends what is under way without an answer, and what is queued as not sent; NULL is none. */
void ws_client_free(struct ws_http_client *client);
#endif
