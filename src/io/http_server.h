/*
 * An HTTP/1.1 server over TCP on libev and http-parser, without pipelining. Only the thread of
 * its event loop may use it.
 */
#ifndef WS_HTTP_SERVER_H
#define WS_HTTP_SERVER_H
#include "http_common.h"
#include <ev.h>
#include <stdint.h>

struct ws_http_server;

/*
 * The kind of peer at the other end of a connection. Each kind has a limit on the connections kept
 * open between requests. Requests above the limit are still answered, and their connections are
 * closed afterwards, so that no kind exhausts the connections that the others need.
 */
enum ws_conn_kind { WS_CONN_UNCLASSIFIED, WS_CONN_USER, WS_CONN_WORKER };
#define WS_CONN_KINDS 3
struct ws_http_server_options {
	/* maximum number of connections; a further one replaces one without a whole request, or
	 * gets a 503 */
	int max_connections;
	int backlog;			   /* of listen() */
	int keep_alive_max[WS_CONN_KINDS]; /* maximum number kept open between requests, by kind */
	double idle_timeout_s[WS_CONN_KINDS]; /* idle timeout in seconds, by kind */
	double receive_timeout_s; /* timeout for receiving a whole request, in seconds */
};

/* Called for each complete request. The response is sent with the request id, from within the
 * callback or later. */
typedef void (*ws_http_request_fn)(void *context, uint64_t request_id, const char *method,
				   const char *path, const char *body, size_t length);

/* Starts to listen; port 0 lets the system choose a port. Returns NULL with one line in `error` if
 * listening fails, and NULL without a message if memory is exhausted. */
struct ws_http_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_server_options *options,
				     ws_http_request_fn on_request, void *context, char *error,
				     size_t error_size);
/* A request that awaits its response. The pointers are valid until the response is sent. */
struct ws_http_request {
	const char *method, *url, *body;
	size_t body_length;
};
/* Gets a request by its id. Returns false if its connection is closed. */
bool ws_server_get_request(const struct ws_http_server *server, uint64_t request_id,
			   struct ws_http_request *request);
/* Writes "ADDRESS:PORT" of the client of a request. Returns false if its connection is closed. */
bool ws_server_client_address(const struct ws_http_server *server, uint64_t request_id,
			      char *address, size_t size);
/* Sets the kind of the connection that a request arrived on. */
void ws_server_set_kind(struct ws_http_server *server, uint64_t request_id, enum ws_conn_kind kind);
/* Sends the response to a request, or nothing if its connection is closed. With 0 seconds the
 * Retry-After header is omitted. */
void ws_server_respond(struct ws_http_server *server, uint64_t request_id, int status,
		       const char *body, size_t length, int retry_after_s);
/* Returns the port that the server listens on. */
int ws_server_port(const struct ws_http_server *server);
/* Returns the number of open connections of a kind. */
int ws_server_connection_count(const struct ws_http_server *server, enum ws_conn_kind kind);
/* Returns the number of requests that were rejected since the start: malformed, too large, too slow
 * to arrive, or not complete when a new connection needed the socket. */
unsigned long ws_server_rejected_count(const struct ws_http_server *server);
/* Closes all connections without a response and frees the server, which may be NULL. */
void ws_server_free(struct ws_http_server *server);
#endif
