/*
 * An HTTP/1.1 server over TCP on libev and http-parser, without pipelining. Belongs to the thread
 * of its event loop.
 */
#ifndef WS_HTTP_SERVER_H
#define WS_HTTP_SERVER_H
#include "http_common.h"
#include <ev.h>
#include <stdint.h>

struct ws_http_server;

/*
 * Whose connections a server has. Each kind keeps so many open between requests; those above that
 * are answered all the same and then closed, so that no kind uses up what others need.
 */
enum ws_conn_kind { WS_CONN_NEW, WS_CONN_USER, WS_CONN_WORKER };
#define WS_CONN_KINDS 3
struct ws_http_server_options {
	int max;		    /* connections at once, 503 above it */
	int backlog;		    /* those that wait to be accepted */
	int keep[WS_CONN_KINDS];    /* kept open between requests */
	double idle[WS_CONN_KINDS]; /* unused ones are closed after so many seconds */
	double slow;		    /* a request has so many seconds to arrive whole */
};

/* A complete request. It is answered by ws_server_answer with its token, at once or later. */
typedef void (*ws_request_fn)(void *context, uint64_t token, const char *method, const char *path,
			      const char *body, size_t length);

/* Listens; port 0: any. NULL with one line in `error` if it can't. */
struct ws_http_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_server_options *options,
				     ws_request_fn on_request, void *context, char *error,
				     size_t error_size);
/* A request that waits for its answer, as it came; good until then. False: its sender is gone. */
struct ws_http_request {
	const char *method, *url, *body;
	size_t len;
};
bool ws_server_request(const struct ws_http_server *server, uint64_t request_id,
		       struct ws_http_request *request);
/* Says whose connection a request came by. */
void ws_server_kind(struct ws_http_server *server, uint64_t request_id, enum ws_conn_kind kind);
/* Answers a request; nothing if its sender is gone. Retry-After is left out with 0 seconds. */
void ws_server_answer(struct ws_http_server *server, uint64_t request_id, int status,
		      const char *body, size_t length, int retry_after_s);
/* The port it listens on. */
int ws_server_port(const struct ws_http_server *server);
/* Open connections of a kind. */
int ws_server_conns(const struct ws_http_server *server, enum ws_conn_kind kind);
/* Closes all connections without an answer; NULL is none. */
void ws_server_free(struct ws_http_server *server);
#endif
