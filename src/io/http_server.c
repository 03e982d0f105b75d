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

#define REQUEST_ID_BUCKETS 1024
/* Connections accepted by one callback, so that other events are not delayed. */
#define ACCEPT_BATCH_MAX 64
#define RESPONSE_HEAD_MAX 256
#define RETRY_HEADER_MAX 48

struct connection {
	struct ws_http_server *server;
	int fd;
	ev_io readable, writable;
	http_parser parser;
	struct ws_buffer path, body, out;
	size_t sent;		   /* bytes of `out` already sent */
	uint64_t request_id;	   /* of the request that awaits its response; 0: none */
	bool awaiting_response;	   /* a request awaits its response */
	bool close_after_response; /* close the connection once the response is sent */
	bool too_large;		   /* the request being received exceeds a size limit */
	bool closed;		   /* resources released; the struct is still to be freed */
	bool in_read_callback;	   /* on_readable() is running and frees the struct if closed */
	enum ws_conn_kind kind;
	double last_active;	/* time of the last data received or response */
	double receive_started; /* time of the first bytes of an incomplete request; 0: none */
	struct connection *next, *previous;
	struct connection *next_in_bucket;
};

struct ws_http_server {
	struct ev_loop *loop;
	int fd, port;
	struct ws_http_server_options options;
	int count, count_by_kind[WS_CONN_KINDS];
	ev_io acceptable;
	ev_timer sweep_timer;
	ws_http_request_fn on_request;
	void *context;
	uint64_t last_request_id;
	unsigned long rejected_count;
	struct connection *connections;
	struct connection *by_request_id[REQUEST_ID_BUCKETS];
};

/* ---- request ids ---- */

static struct connection *find_connection(const struct ws_http_server *server, uint64_t request_id)
{
	struct connection *connection = server->by_request_id[request_id % REQUEST_ID_BUCKETS];

	while (connection && connection->request_id != request_id)
		connection = connection->next_in_bucket;
	return connection;
}

static void assign_request_id(struct connection *connection)
{
	struct ws_http_server *server = connection->server;
	struct connection **bucket;

	connection->request_id = ++server->last_request_id;
	bucket = &server->by_request_id[connection->request_id % REQUEST_ID_BUCKETS];
	connection->next_in_bucket = *bucket;
	*bucket = connection;
}

static void clear_request_id(struct connection *connection)
{
	struct connection **link;

	if (!connection->request_id)
		return;
	link = &connection->server->by_request_id[connection->request_id % REQUEST_ID_BUCKETS];
	while (*link && *link != connection)
		link = &(*link)->next_in_bucket;
	if (*link)
		*link = connection->next_in_bucket;
	connection->request_id = 0;
}

/* ---- closing connections ---- */

/* Frees everything that a connection holds, but not the struct itself. */
static void release_resources(struct connection *connection)
{
	struct ev_loop *loop = connection->server->loop;

	ev_io_stop(loop, &connection->readable);
	ev_io_stop(loop, &connection->writable);
	close(connection->fd);
	ws_buffer_free(&connection->path);
	ws_buffer_free(&connection->body);
	ws_buffer_free(&connection->out);
}

/* Closes a connection. The outermost caller checks `closed` and frees the struct. */
static void close_connection(struct connection *connection)
{
	struct ws_http_server *server = connection->server;

	if (connection->closed)
		return;
	connection->closed = true;
	clear_request_id(connection);
	if (connection->previous)
		connection->previous->next = connection->next;
	else
		server->connections = connection->next;
	if (connection->next)
		connection->next->previous = connection->previous;
	server->count--;
	server->count_by_kind[connection->kind]--;
	release_resources(connection);
}

static void close_and_free(struct connection *connection)
{
	close_connection(connection);
	free(connection);
}

/* ---- responses ---- */

static const char *reason_phrase(int status)
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

static void flush_output(struct connection *connection)
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
	if (connection->close_after_response)
		close_connection(connection);
	else
		ev_io_start(loop, &connection->readable);
}

static void send_response(struct connection *connection, int status, const char *body,
			  size_t length, int retry_after_s)
{
	const struct ws_http_server *server = connection->server;
	char head[RESPONSE_HEAD_MAX], retry_header[RETRY_HEADER_MAX] = "";
	int head_length;

	if (server->count_by_kind[connection->kind] >
	    server->options.keep_alive_max[connection->kind])
		connection->close_after_response = true;
	if (retry_after_s > 0)
		snprintf(retry_header, sizeof(retry_header), "Retry-After: %d\r\n", retry_after_s);
	head_length = snprintf(head, sizeof(head),
			       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
			       "Content-Length: %zu\r\n%s%s\r\n",
			       status, reason_phrase(status), length, retry_header,
			       connection->close_after_response ? "Connection: close\r\n" : "");
	connection->awaiting_response = false;
	clear_request_id(connection);
	if (!ws_buffer_append(&connection->out, head, (size_t)head_length) ||
	    !ws_buffer_append(&connection->out, body, length)) {
		close_connection(connection);
		return;
	}
	connection->last_active = ws_now();
	flush_output(connection);
}

/* Responds with an error to an invalid or incomplete request, then closes the connection. */
static void reject_request(struct connection *connection, int status)
{
	connection->server->rejected_count++;
	connection->close_after_response = true;
	connection->receive_started = 0;
	send_response(connection, status, "{}", 2, status == 503 ? 1 : 0);
}

/* ---- parser callbacks ---- */

static int on_url(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->path.length + length > WS_PATH_MAX)
		connection->too_large = true;
	else if (!ws_buffer_append(&connection->path, bytes, length))
		return 1;
	return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->body.length + length > WS_BODY_MAX)
		connection->too_large = true;
	else if (!ws_buffer_append(&connection->body, bytes, length))
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

	connection->awaiting_response = true;
	connection->close_after_response = !http_should_keep_alive(parser);
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

/* Passes a complete request to the callback. Reading stops until the response has been sent. */
static void dispatch_request(struct connection *connection)
{
	struct ws_http_server *server = connection->server;

	connection->receive_started = 0;
	ev_io_stop(server->loop, &connection->readable);
	assign_request_id(connection);
	connection->in_read_callback = true;
	server->on_request(server->context, connection->request_id,
			   http_method_str(connection->parser.method),
			   ws_buffer_text(&connection->path), ws_buffer_text(&connection->body),
			   connection->body.length);
	connection->in_read_callback = false;
}

static void parse(struct connection *connection, const char *bytes, size_t length)
{
	http_parser *parser = &connection->parser;
	size_t parsed = http_parser_execute(parser, &parser_settings, bytes, length);

	if (connection->too_large) {
		reject_request(connection, connection->path.length + 1 > WS_PATH_MAX ? 414 : 413);
	} else if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED) {
		http_parser_pause(parser, 0);
		if (parsed + 1 < length) /* pipelined data follows: respond, then close */
			connection->close_after_response = true;
		dispatch_request(connection);
	} else if (parser->upgrade || HTTP_PARSER_ERRNO(parser) != HPE_OK) {
		reject_request(connection, 400);
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
	if (count <= 0 || connection->awaiting_response) { /* pipelining is not supported */
		close_and_free(connection);
		return;
	}
	connection->last_active = ws_now();
	if (!connection->receive_started)
		connection->receive_started = connection->last_active;
	parse(connection, bytes, (size_t)count);
	if (connection->closed)
		free(connection);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;

	(void)loop;
	(void)events;
	flush_output(connection);
	if (connection->closed)
		free(connection);
}

/* ---- accepting ---- */

/* Whether a connection may be closed in favour of a new one: it has sent no whole request yet, or
 * the next one only in part. */
static bool is_replaceable(const struct connection *connection)
{
	return !connection->awaiting_response && !connection->out.length &&
	       (connection->kind == WS_CONN_UNCLASSIFIED || connection->receive_started > 0);
}

/* Returns since when a replaceable connection has kept its socket waiting. */
static double waiting_since(const struct connection *connection)
{
	return connection->receive_started > 0 ? connection->receive_started
					       : connection->last_active;
}

/* Returns the connection that has waited longest for a whole request, NULL if none waits. */
static struct connection *slowest_connection(const struct ws_http_server *server)
{
	struct connection *slowest = NULL;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (is_replaceable(connection) &&
		    (!slowest || waiting_since(connection) <= waiting_since(slowest)))
			slowest = connection;
	return slowest;
}

/* Makes room for a new connection. A sound client sends its request at once, so that slow ones
 * cannot keep it out. Returns false if no connection can be replaced. */
static bool make_room(struct ws_http_server *server)
{
	struct connection *slowest;

	if (server->count < server->options.max_connections)
		return true;
	slowest = slowest_connection(server);
	if (!slowest)
		return false;
	reject_request(slowest, 408);
	close_and_free(slowest);
	return true;
}

static void reject_connection(int socket_fd)
{
	static const char response[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
				       "Content-Length: 0\r\nConnection: close\r\n\r\n";

	(void)!send(socket_fd, response, sizeof(response) - 1, MSG_NOSIGNAL);
	close(socket_fd);
}

/* Returns false if memory is exhausted. */
static bool add_connection(struct ws_http_server *server, int socket_fd)
{
	struct connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return false;
	ws_socket_set_no_delay(socket_fd);
	connection->server = server;
	connection->fd = socket_fd;
	connection->last_active = ws_now();
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
	server->count_by_kind[WS_CONN_UNCLASSIFIED]++;
	ev_io_start(server->loop, &connection->readable);
	return true;
}

static void on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct ws_http_server *server = watcher->data;

	(void)events;
	for (int i = 0; i < ACCEPT_BATCH_MAX; i++) {
		int socket_fd = ws_socket_accept(server->fd);

		if (socket_fd < 0) {
			/* no descriptor is available: the next sweep resumes accepting */
			if (errno == EMFILE || errno == ENFILE)
				ev_io_stop(loop, &server->acceptable);
			return;
		}
		if (!make_room(server) || !add_connection(server, socket_fd))
			reject_connection(socket_fd);
	}
}

/* Closes connections that exceeded their idle timeout, and rejects requests that take too long to
 * arrive with 408. */
static void on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_http_server *server = watcher->data;
	struct connection *connection, *next;
	double now = ws_now();

	(void)events;
	ev_io_start(loop, &server->acceptable);
	for (connection = server->connections; connection; connection = next) {
		next = connection->next;
		if (connection->awaiting_response)
			continue;
		if (connection->receive_started > 0 &&
		    now - connection->receive_started > server->options.receive_timeout_s)
			reject_request(connection, 408);
		else if (now - connection->last_active >
			 server->options.idle_timeout_s[connection->kind])
			close_connection(connection);
		if (connection->closed)
			free(connection);
	}
}

/* ---- the server ---- */

struct ws_http_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_server_options *options,
				     ws_http_request_fn on_request, void *context, char *error,
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
	ev_timer_init(&server->sweep_timer, on_sweep, options->receive_timeout_s,
		      options->receive_timeout_s);
	server->sweep_timer.data = server;
	ev_timer_start(loop, &server->sweep_timer);
	return server;
}

/* The request data stays valid until the response, because the connection is not read before it. */
bool ws_server_get_request(const struct ws_http_server *server, uint64_t request_id,
			   struct ws_http_request *request)
{
	const struct connection *connection = find_connection(server, request_id);

	if (!connection)
		return false;
	request->method = http_method_str(connection->parser.method);
	request->url = ws_buffer_text(&connection->path);
	request->body = ws_buffer_text(&connection->body);
	request->body_length = connection->body.length;
	return true;
}

bool ws_server_client_address(const struct ws_http_server *server, uint64_t request_id,
			      char *address, size_t size)
{
	const struct connection *connection = find_connection(server, request_id);

	return connection && ws_socket_peer(connection->fd, address, size);
}

void ws_server_set_kind(struct ws_http_server *server, uint64_t request_id, enum ws_conn_kind kind)
{
	struct connection *connection = find_connection(server, request_id);

	if (!connection)
		return;
	server->count_by_kind[connection->kind]--;
	server->count_by_kind[kind]++;
	connection->kind = kind;
}

void ws_server_respond(struct ws_http_server *server, uint64_t request_id, int status,
		       const char *body, size_t length, int retry_after_s)
{
	struct connection *connection = find_connection(server, request_id);

	if (!connection)
		return;
	send_response(connection, status, body, length, retry_after_s);
	if (connection->closed && !connection->in_read_callback)
		free(connection);
}

int ws_server_port(const struct ws_http_server *server)
{
	return server->port;
}

int ws_server_connection_count(const struct ws_http_server *server, enum ws_conn_kind kind)
{
	return server->count_by_kind[kind];
}

unsigned long ws_server_rejected_count(const struct ws_http_server *server)
{
	return server->rejected_count;
}

void ws_server_free(struct ws_http_server *server)
{
	struct connection *connection, *next;

	if (!server)
		return;
	for (connection = server->connections; connection; connection = next) {
		next = connection->next;
		release_resources(connection);
		free(connection);
	}
	ev_io_stop(server->loop, &server->acceptable);
	ev_timer_stop(server->loop, &server->sweep_timer);
	close(server->fd);
	free(server);
}
