/* HTTP/1.1 over TCP on libev and http-parser: a server and a pooled client. No pipelining. */
#ifndef WS_HTTP_H
#define WS_HTTP_H
#include "clock.h"
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WS_BODY_MAX ((size_t)64 * 1024)

struct ws_server;

/*
 * Whose connections a server holds. Each kind keeps so many open between requests; those above that
 * are answered all the same and then closed, so that no kind uses up what others need.
 */
enum ws_conn_kind { WS_CONN_NEW, WS_CONN_USER, WS_CONN_WORKER };
#define WS_CONN_KINDS 3
struct ws_server_opts {
	int max;		    /* connections at once, 503 above it */
	int backlog;		    /* those that wait to be taken */
	int keep[WS_CONN_KINDS];    /* kept open between requests */
	double idle[WS_CONN_KINDS]; /* unused ones are closed after so many seconds */
	double slow;		    /* a request has so many to arrive whole */
};

/* A complete request. It is answered by ws_server_answer with its token, at once or later. */
typedef void (*ws_request_fn)(void *ctx, uint64_t token, const char *method, const char *path,
			      const char *body, size_t len);

struct ws_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				const struct ws_server_opts *o, ws_request_fn fn, void *ctx,
				char *err, size_t n);
/* A request that waits for its answer, as it came; good until then. False: its sender is gone. */
struct ws_server_request {
	const char *method, *url, *body;
	size_t len;
};
bool ws_server_request(const struct ws_server *s, uint64_t token, struct ws_server_request *to);
/* Says whose connection a request came by. */
void ws_server_kind(struct ws_server *s, uint64_t token, enum ws_conn_kind kind);
void ws_server_answer(struct ws_server *s, uint64_t token, int status, const char *body, size_t len,
		      int retry_after);
int ws_server_port(const struct ws_server *s);
int ws_server_conns(const struct ws_server *s, enum ws_conn_kind kind);
void ws_server_free(struct ws_server *s);

struct ws_client;
/* status: 0 no answer (the outcome is unknown), -1 surely not sent. */
typedef void (*ws_reply_fn)(void *ctx, int status, const char *body, size_t len);

struct ws_client_opts {
	int max_conns;
	int max_queue;
	size_t max_reply;
	double rate; /* requests a second, 0: no limit */
	double burst;
	double idle_s; /* unused connections are closed after this, 0: kept */
};
struct ws_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				const struct ws_client_opts *o);
void ws_client_rate(struct ws_client *c, double rate, double burst);
/* False: the queue is full; nothing was sent and fn is not called. */
bool ws_client_send(struct ws_client *c, const char *method, const char *path, const char *body,
		    size_t len, double timeout_s, bool urgent, ws_reply_fn fn, void *ctx);
bool ws_client_idle(const struct ws_client *c, double now, double idle_s);
int ws_client_conns(const struct ws_client *c);
void ws_client_free(struct ws_client *c);
#endif
