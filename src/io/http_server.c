#include "http_server.h"
#include "clock.h"
#include "sockets.h"
#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TOKEN_BUCKETS 1024
/* Connections accepted before other events have their turn. */
#define ACCEPTED_AT_ONCE 64
#define HEAD_MAX 256
#define RETRY_HEADER_MAX 48

struct connection {
	struct ws_http_server *server;
	int fd;
	ev_io readable, writable;
	http_parser parser;
	struct ws_buffer path, body, out;
	size_t sent;	  /* of `out` */
	uint64_t token;	  /* of the request being handled; 0: none */
	bool busy;	  /* a request waits for its answer */
	bool close_after; /* its answer */
	bool too_large;	  /* the request that is arriving */
	bool closed;	  /* to be freed by whoever had it closed */
	bool in_handler;  /* its read handler is on the stack and will free it */
	enum ws_conn_kind kind;
	double used;  /* last time it took part in anything */
	double began; /* since when a request is arriving; 0: none is */
	struct connection *next, *previous;
	struct connection *next_in_bucket;
};

struct ws_http_server {
	struct ev_loop *loop;
	int fd, port;
	struct ws_http_server_options options;
	int count, count_by_kind[WS_CONN_KINDS];
	ev_io acceptable;
	ev_timer sweep;
	ws_request_fn on_request;
	void *context;
	uint64_t last_token;
	struct connection *connections;
	struct connection *by_token[TOKEN_BUCKETS];
};

/* ---- tokens ---- */

static struct connection *find(const struct ws_http_server *server, uint64_t request_id)
{
	struct connection *connection = server->by_token[request_id % TOKEN_BUCKETS];

	while (connection && connection->token != request_id)
		connection = connection->next_in_bucket;
	return connection;
}

static void give_token(struct connection *connection)
{
	struct ws_http_server *server = connection->server;
	struct connection **bucket;

	connection->token = ++server->last_token;
	bucket = &server->by_token[connection->token % TOKEN_BUCKETS];
	connection->next_in_bucket = *bucket;
	*bucket = connection;
}

static void take_token(struct connection *connection)
{
	struct connection **link;

	if (!connection->token)
		return;
	link = &connection->server->by_token[connection->token % TOKEN_BUCKETS];
	while (*link && *link != connection)
		link = &(*link)->next_in_bucket;
	if (*link)
		*link = connection->next_in_bucket;
	connection->token = 0;
}

/* ---- the end of a connection ---- */

/* Gives back all but the connection itself. */
static void release(struct connection *connection)
{
	struct ev_loop *loop = connection->server->loop;

	ev_io_stop(loop, &connection->readable);
	ev_io_stop(loop, &connection->writable);
	close(connection->fd);
	ws_buffer_free(&connection->path);
	ws_buffer_free(&connection->body);
	ws_buffer_free(&connection->out);
}

/* Closes a connection; it is freed by whoever looks at `closed` last. */
static void close_connection(struct connection *connection)
{
	struct ws_http_server *server = connection->server;

	if (connection->closed)
		return;
	connection->closed = true;
	take_token(connection);
	if (connection->previous)
		connection->previous->next = connection->next;
	else
		server->connections = connection->next;
	if (connection->next)
		connection->next->previous = connection->previous;
	server->count--;
	server->count_by_kind[connection->kind]--;
	release(connection);
}

static void close_and_free(struct connection *connection)
{
	close_connection(connection);
	free(connection);
}

/* ---- answers ---- */

static const char *status_text(int status)
{
	switch (status) {
	case 200: return "OK";
	case 201: return "Created";
	case 400: return "Bad Request";
	case 404: return "Not Found";
	case 405: return "Method Not Allowed";
	case 408: return "Request Timeout";
	case 413: return "Payload Too Large";
	case 414: return "URI Too Long";
	case 421: return "Misdirected Request";
	case 422: return "Unprocessable Entity";
	case 429: return "Too Many Requests";
	case 500: return "Internal Server Error";
	case 503: return "Service Unavailable";
	default: return "Status";
	}
}

static void write_out(struct connection *connection)
{
	struct ev_loop *loop = connection->server->loop;

	while (connection->sent < connection->out.length) {
		ssize_t count = send(connection->fd, connection->out.bytes + connection->sent,
				     connection->out.length - connection->sent, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && ws_socket_would_block()) {
			ev_io_start(loop, &connection->writable);
			return;
		}
		if (count <= 0) {
			close_connection(connection);
			return;
		}
		connection->sent += (size_t)count;
	}
	ev_io_stop(loop, &connection->writable);
	connection->sent = 0;
	ws_buffer_reset(&connection->out);
	if (connection->close_after)
		close_connection(connection);
	else
		ev_io_start(loop, &connection->readable);
}

static void answer(struct connection *connection, int status, const char *body, size_t length,
		   int retry_after_s)
{
	const struct ws_http_server *server = connection->server;
	char head[HEAD_MAX], retry[RETRY_HEADER_MAX] = "";
	int head_length;

	if (server->count_by_kind[connection->kind] > server->options.keep[connection->kind])
		connection->close_after = true;
	if (retry_after_s > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %d\r\n", retry_after_s);
	head_length = snprintf(head, sizeof(head),
			       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
			       "Content-Length: %zu\r\n%s%s\r\n",
			       status, status_text(status), length, retry,
			       connection->close_after ? "Connection: close\r\n" : "");
	connection->busy = false;
	take_token(connection);
	if (!ws_buffer_add(&connection->out, head, (size_t)head_length) ||
	    !ws_buffer_add(&connection->out, body, length)) {
		close_connection(connection);
		return;
	}
	connection->used = ws_now();
	write_out(connection);
}

/* Answers what is no request, and closes. */
static void refuse(struct connection *connection, int status)
{
	connection->close_after = true;
	connection->began = 0;
	answer(connection, status, "{}", 2, status == 503 ? 1 : 0);
}

/* ---- the parser's callbacks ---- */

static int on_url(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->path.length + length > WS_PATH_MAX)
		connection->too_large = true;
	else if (!ws_buffer_add(&connection->path, bytes, length))
		return 1;
	return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->body.length + length > WS_BODY_MAX)
		connection->too_large = true;
	else if (!ws_buffer_add(&connection->body, bytes, length))
		return 1;
	return connection->too_large;
}

static int on_message_begin(http_parser *parser)
{
	struct connection *connection = parser->data;

	ws_buffer_reset(&connection->path);
	ws_buffer_reset(&connection->body);
	connection->too_large = false;
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	if (parser->content_length != UINT64_MAX && parser->content_length > WS_BODY_MAX) {
		connection->too_large = true;
		return -1;
	}
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->busy = true;
	connection->close_after = !http_should_keep_alive(parser);
	http_parser_pause(parser, 1); /* one request at a time */
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- reading ---- */

/* Hands a complete request on; it is not read again before the answer. */
static void handle_request(struct connection *connection)
{
	struct ws_http_server *server = connection->server;

	connection->began = 0;
	ev_io_stop(server->loop, &connection->readable);
	give_token(connection);
	connection->in_handler = true;
	server->on_request(server->context, connection->token,
			   http_method_str(connection->parser.method),
			   ws_buffer_text(&connection->path), ws_buffer_text(&connection->body),
			   connection->body.length);
	connection->in_handler = false;
}

static void parse(struct connection *connection, const char *bytes, size_t length)
{
	http_parser *parser = &connection->parser;
	size_t used = http_parser_execute(parser, &parser_settings, bytes, length);

	if (connection->too_large) {
		refuse(connection, connection->path.length + 1 > WS_PATH_MAX ? 414 : 413);
	} else if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED) {
		http_parser_pause(parser, 0);
		if (used + 1 < length) /* more than one request's worth: answer, then close */
			connection->close_after = true;
		handle_request(connection);
	} else if (parser->upgrade || HTTP_PARSER_ERRNO(parser) != HPE_OK) {
		refuse(connection, 400);
	}
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;
	char bytes[WS_READ_SIZE];
	ssize_t count;

	(void)loop;
	(void)events;
	if (!ws_socket_receive(connection->fd, bytes, sizeof(bytes), &count))
		return;
	if (count <= 0 || connection->busy) { /* pipelining is not allowed */
		close_and_free(connection);
		return;
	}
	connection->used = ws_now();
	if (!connection->began)
		connection->began = connection->used;
	parse(connection, bytes, (size_t)count);
	if (connection->closed)
		free(connection);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;

	(void)loop;
	(void)events;
	write_out(connection);
	if (connection->closed)
		free(connection);
}

/* ---- accepting ---- */

static void refuse_socket(int socket_fd)
{
	static const char full[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
				   "Content-Length: 0\r\nConnection: close\r\n\r\n";

	(void)!send(socket_fd, full, sizeof(full) - 1, MSG_NOSIGNAL);
	close(socket_fd);
}

/* False without memory. */
static bool add_connection(struct ws_http_server *server, int socket_fd)
{
	struct connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return false;
	ws_socket_no_delay(socket_fd);
	connection->server = server;
	connection->fd = socket_fd;
	connection->used = ws_now();
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	ev_io_init(&connection->readable, on_readable, socket_fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, socket_fd, EV_WRITE);
	connection->readable.data = connection->writable.data = connection;
	connection->next = server->connections;
	if (server->connections)
		server->connections->previous = connection;
	server->connections = connection;
	server->count++;
	server->count_by_kind[WS_CONN_NEW]++;
	ev_io_start(server->loop, &connection->readable);
	return true;
}

static void on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct ws_http_server *server = watcher->data;

	(void)events;
	for (int i = 0; i < ACCEPTED_AT_ONCE; i++) {
		int socket_fd = ws_socket_accept(server->fd);

		if (socket_fd < 0) {
			/* no descriptor to be had: asked again with the next sweep */
			if (errno == EMFILE || errno == ENFILE)
				ev_io_stop(loop, &server->acceptable);
			return;
		}
		if (server->count >= server->options.max || !add_connection(server, socket_fd))
			refuse_socket(socket_fd);
	}
}

/* Connections that have been idle for long go, and requests that arrive too slowly. */
static void on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_http_server *server = watcher->data;
	struct connection *connection, *next;
	double now = ws_now();

	(void)events;
	ev_io_start(loop, &server->acceptable);
	for (connection = server->connections; connection; connection = next) {
		next = connection->next;
		if (connection->busy)
			continue;
		if (connection->began > 0 && now - connection->began > server->options.slow)
			refuse(connection, 408);
		else if (now - connection->used > server->options.idle[connection->kind])
			close_connection(connection);
		if (connection->closed)
			free(connection);
	}
}

/* ---- the server ---- */

struct ws_http_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_server_options *options,
				     ws_request_fn on_request, void *context, char *error,
				     size_t error_size)
{
	struct ws_http_server *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->port = port;
	server->fd = ws_socket_listen(host, &server->port, options->backlog, error, error_size);
	if (server->fd < 0) {
		free(server);
		return NULL;
	}
	server->loop = loop;
	server->options = *options;
	server->on_request = on_request;
	server->context = context;
	ev_io_init(&server->acceptable, on_acceptable, server->fd, EV_READ);
	server->acceptable.data = server;
	ev_io_start(loop, &server->acceptable);
	ev_timer_init(&server->sweep, on_sweep, options->slow, options->slow);
	server->sweep.data = server;
	ev_timer_start(loop, &server->sweep);
	return server;
}

/* What a connection has of its request stays until it is answered: only then it is read again. */
bool ws_server_request(const struct ws_http_server *server, uint64_t request_id,
		       struct ws_http_request *request)
{
	const struct connection *connection = find(server, request_id);

	if (!connection)
		return false;
	request->method = http_method_str(connection->parser.method);
	request->url = ws_buffer_text(&connection->path);
	request->body = ws_buffer_text(&connection->body);
	request->len = connection->body.length;
	return true;
}

void ws_server_kind(struct ws_http_server *server, uint64_t request_id, enum ws_conn_kind kind)
{
	struct connection *connection = find(server, request_id);

	if (!connection)
		return;
	server->count_by_kind[connection->kind]--;
	server->count_by_kind[kind]++;
	connection->kind = kind;
}

void ws_server_answer(struct ws_http_server *server, uint64_t request_id, int status,
		      const char *body, size_t length, int retry_after_s)
{
	struct connection *connection = find(server, request_id);

	if (!connection)
		return;
	answer(connection, status, body, length, retry_after_s);
	if (connection->closed && !connection->in_handler)
		free(connection);
}

int ws_server_port(const struct ws_http_server *server)
{
	return server->port;
}

int ws_server_conns(const struct ws_http_server *server, enum ws_conn_kind kind)
{
	return server->count_by_kind[kind];
}

void ws_server_free(struct ws_http_server *server)
{
	struct connection *connection, *next;

	if (!server)
		return;
	for (connection = server->connections; connection; connection = next) {
		next = connection->next;
		release(connection);
		free(connection);
	}
	ev_io_stop(server->loop, &server->acceptable);
	ev_timer_stop(server->loop, &server->sweep);
	close(server->fd);
	free(server);
}
