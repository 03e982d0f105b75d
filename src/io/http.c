#include "http.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WS_PATH_MAX 1024

double ws_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

struct ws_buffer {
	char *data;
	size_t length, capacity;
};

static bool ws_buf_add(struct ws_buffer *buffer, const char *text, size_t length)
{
	if (buffer->length + length + 1 > buffer->capacity) {
		size_t cap = buffer->capacity ? buffer->capacity : 512;
		char *q;

		while (cap < buffer->length + length + 1)
			cap *= 2;
		q = realloc(buffer->data, cap);
		if (!q)
			return false;
		buffer->data = q;
		buffer->capacity = cap;
	}
	if (length)
		memcpy(buffer->data + buffer->length, text, length);
	buffer->length += length;
	buffer->data[buffer->length] = 0;
	return true;
}

static void ws_buf_reset(struct ws_buffer *buffer)
{
	if (buffer->capacity > 16384) { /* one large message must not hold its memory for ever */
		free(buffer->data);
		*buffer = (struct ws_buffer){0};
	}
	buffer->length = 0;
	if (buffer->data)
		buffer->data[0] = 0;
}

static int ws_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* ---------------- server ---------------- */

struct ws_http_connection {
	struct ws_http_server *server;
	int fd;
	ev_io read_watcher, write_watcher;
	http_parser parser;
	struct ws_buffer path, body, out;
	size_t sent;
	uint64_t token; /* of the request being handled; 0: none */
	bool busy, close_after, too_large, dead;
	bool in_handler; /* its read handler is on the stack and will free it */
	enum ws_conn_kind kind;
	double used;  /* last time it took part in anything */
	double began; /* since when a request is arriving; 0: none is */
	struct ws_http_connection *next, *prev;
	struct ws_http_connection *hash_next;
};

#define WS_HASH 1024

struct ws_http_server {
	struct ev_loop *loop;
	int fd, port;
	struct ws_http_server_options options;
	int connection_count, kinds[WS_CONN_KINDS];
	ev_io accept_watcher;
	ev_timer sweep;
	ws_request_fn callback;
	void *context;
	uint64_t next_token;
	struct ws_http_connection *conns;
	struct ws_http_connection *by_token[WS_HASH];
};

static void ws_conn_untoken(struct ws_http_connection *connection)
{
	struct ws_http_connection **connection_link;

	if (!connection->token)
		return;
	for (connection_link = &connection->server->by_token[connection->token % WS_HASH];
	     *connection_link && *connection_link != connection;
	     connection_link = &(*connection_link)->hash_next)
		;
	if (*connection_link)
		*connection_link = connection->hash_next;
	connection->token = 0;
}

static void ws_conn_close(struct ws_http_connection *connection)
{
	struct ws_http_server *server = connection->server;

	if (connection->dead)
		return;
	connection->dead = true;
	ws_conn_untoken(connection);
	ev_io_stop(server->loop, &connection->read_watcher);
	ev_io_stop(server->loop, &connection->write_watcher);
	close(connection->fd);
	if (connection->prev)
		connection->prev->next = connection->next;
	else
		server->conns = connection->next;
	if (connection->next)
		connection->next->prev = connection->prev;
	server->connection_count--;
	server->kinds[connection->kind]--;
	free(connection->path.data);
	free(connection->body.data);
	free(connection->out.data);
	connection->path = connection->body = connection->out = (struct ws_buffer){0};
}

static const char *ws_reason(int status)
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

static void ws_conn_write(struct ws_http_connection *connection)
{
	while (connection->sent < connection->out.length) {
		ssize_t n = send(connection->fd, connection->out.data + connection->sent,
				 connection->out.length - connection->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(connection->server->loop, &connection->write_watcher);
			return;
		}
		if (n <= 0) {
			ws_conn_close(connection);
			return;
		}
		connection->sent += (size_t)n;
	}
	ev_io_stop(connection->server->loop, &connection->write_watcher);
	connection->sent = 0;
	ws_buf_reset(&connection->out);
	if (connection->close_after)
		ws_conn_close(connection);
	else
		ev_io_start(connection->server->loop, &connection->read_watcher);
}

static void ws_conn_answer(struct ws_http_connection *connection, int status, const char *body,
			   size_t len, int retry_after)
{
	char head[256], retry[48] = "";
	int n;

	if (connection->server->kinds[connection->kind] >
	    connection->server->options.keep[connection->kind])
		connection->close_after = true;
	if (retry_after > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %d\r\n", retry_after);
	n = snprintf(
	    head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s%s\r\n",
	    status, ws_reason(status), len, retry,
	    connection->close_after ? "Connection: close\r\n" : "");
	connection->busy = false;
	ws_conn_untoken(connection);
	if (!ws_buf_add(&connection->out, head, (size_t)n) ||
	    !ws_buf_add(&connection->out, body, len)) {
		ws_conn_close(connection);
		return;
	}
	connection->used = ws_now();
	ws_conn_write(connection);
}

static void ws_conn_refuse(struct ws_http_connection *connection, int status)
{
	connection->close_after = true;
	connection->began = 0;
	ws_conn_answer(connection, status, "{}", 2, status == 503 ? 1 : 0);
}

static int ws_on_url(http_parser *parser, const char *data, size_t length)
{
	struct ws_http_connection *connection = parser->data;

	if (connection->path.length + length > WS_PATH_MAX)
		connection->too_large = true;
	else if (!ws_buf_add(&connection->path, data, length))
		return 1;
	return 0;
}

static int ws_on_body(http_parser *parser, const char *data, size_t length)
{
	struct ws_http_connection *connection = parser->data;

	if (connection->body.length + length > WS_BODY_MAX)
		connection->too_large = true;
	else if (!ws_buf_add(&connection->body, data, length))
		return 1;
	return connection->too_large;
}

static int ws_on_begin(http_parser *parser)
{
	struct ws_http_connection *connection = parser->data;

	ws_buf_reset(&connection->path);
	ws_buf_reset(&connection->body);
	connection->too_large = false;
	return 0;
}

static int ws_on_headers(http_parser *parser)
{
	struct ws_http_connection *connection = parser->data;

	if (parser->content_length != UINT64_MAX && parser->content_length > WS_BODY_MAX) {
		connection->too_large = true;
		return -1;
	}
	return 0;
}

static int ws_on_complete(http_parser *parser)
{
	struct ws_http_connection *connection = parser->data;

	connection->busy = true;
	connection->close_after = !http_should_keep_alive(parser);
	http_parser_pause(parser, 1); /* one request at a time */
	return 0;
}

static const http_parser_settings ws_server_parser = {
    .on_message_begin = ws_on_begin,
    .on_url = ws_on_url,
    .on_headers_complete = ws_on_headers,
    .on_body = ws_on_body,
    .on_message_complete = ws_on_complete,
};

static void ws_conn_readable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_http_connection *connection = watcher->data;
	struct ws_http_server *server = connection->server;
	char buf[16384];
	ssize_t n = recv(connection->fd, buf, sizeof(buf), 0);
	size_t used;

	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ws_conn_close(connection);
		free(connection);
		return;
	}
	connection->used = ws_now();
	if (!connection->began)
		connection->began = connection->used;
	if (connection->busy) { /* pipelined: not allowed */
		ws_conn_close(connection);
		free(connection);
		return;
	}
	used = http_parser_execute(&connection->parser, &ws_server_parser, buf, (size_t)n);
	if (connection->too_large) {
		ws_conn_refuse(connection, connection->path.length + 1 > WS_PATH_MAX ? 414 : 413);
	} else if (HTTP_PARSER_ERRNO(&connection->parser) == HPE_PAUSED) {
		http_parser_pause(&connection->parser, 0);
		connection->began = 0;
		if (used + 1 < (size_t)n) /* more than one request's worth: answer, then close */
			connection->close_after = true;
		ev_io_stop(loop, &connection->read_watcher);
		connection->token = ++server->next_token;
		connection->hash_next = server->by_token[connection->token % WS_HASH];
		server->by_token[connection->token % WS_HASH] = connection;
		connection->in_handler = true;
		server->callback(
		    server->context, connection->token, http_method_str(connection->parser.method),
		    connection->path.data ? connection->path.data : "",
		    connection->body.data ? connection->body.data : "", connection->body.length);
		connection->in_handler = false;
	} else if (connection->parser.upgrade || HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
		ws_conn_refuse(connection, 400);
	}
	if (connection->dead)
		free(connection);
}

static void ws_conn_writable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_http_connection *connection = watcher->data;

	(void)loop;
	(void)revents;
	ws_conn_write(connection);
	if (connection->dead)
		free(connection);
}

static void ws_accept(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_http_server *server = watcher->data;

	(void)revents;
	for (int i = 0; i < 64; i++) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC), one = 1;
		struct ws_http_connection *connection;

		if (fd < 0) {
			/* no descriptor to be had: asked again with the next sweep */
			if (errno == EMFILE || errno == ENFILE)
				ev_io_stop(loop, &server->accept_watcher);
			return;
		}
		if (server->connection_count >= server->options.max ||
		    !(connection = calloc(1, sizeof(*connection)))) {
			static const char full[] =
			    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
			    "Content-Length: 0\r\nConnection: close\r\n\r\n";

			(void)!send(fd, full, sizeof(full) - 1, MSG_NOSIGNAL);
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection->server = server;
		connection->fd = fd;
		connection->used = ws_now();
		http_parser_init(&connection->parser, HTTP_REQUEST);
		connection->parser.data = connection;
		ev_io_init(&connection->read_watcher, ws_conn_readable, fd, EV_READ);
		ev_io_init(&connection->write_watcher, ws_conn_writable, fd, EV_WRITE);
		connection->read_watcher.data = connection->write_watcher.data = connection;
		connection->next = server->conns;
		if (server->conns)
			server->conns->prev = connection;
		server->conns = connection;
		server->connection_count++;
		server->kinds[WS_CONN_NEW]++;
		ev_io_start(loop, &connection->read_watcher);
	}
}

/* Connections that have been idle for long go, and requests that arrive too slowly. */
static void ws_sweep(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	struct ws_http_server *server = watcher->data;
	double now = ws_now();

	(void)revents;
	ev_io_start(loop, &server->accept_watcher);
	for (struct ws_http_connection *connection = server->conns, *next_connection; connection;
	     connection = next_connection) {
		next_connection = connection->next;
		if (connection->busy)
			continue;
		if (connection->began > 0 && now - connection->began > server->options.slow)
			ws_conn_refuse(connection, 408);
		else if (now - connection->used > server->options.idle[connection->kind])
			ws_conn_close(connection);
		if (connection->dead)
			free(connection);
	}
}

struct ws_http_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_server_options *options,
				     ws_request_fn callback, void *ctx, char *err, size_t size)
{
	struct ws_http_server *server = calloc(1, sizeof(*server));
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(a);
	int one = 1;

	if (!server)
		return NULL;
	inet_pton(AF_INET, host, &a.sin_addr);
	server->fd = ws_socket();
	setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (server->fd < 0 || bind(server->fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(server->fd, options->backlog)) {
		snprintf(err, size, "can't listen on %s:%d: %s", host, port, strerror(errno));
		if (server->fd >= 0)
			close(server->fd);
		free(server);
		return NULL;
	}
	getsockname(server->fd, (struct sockaddr *)&a, &len);
	server->port = ntohs(a.sin_port);
	server->loop = loop;
	server->options = *options;
	server->callback = callback;
	server->context = ctx;
	ev_io_init(&server->accept_watcher, ws_accept, server->fd, EV_READ);
	server->accept_watcher.data = server;
	ev_io_start(loop, &server->accept_watcher);
	ev_timer_init(&server->sweep, ws_sweep, options->slow, options->slow);
	server->sweep.data = server;
	ev_timer_start(loop, &server->sweep);
	return server;
}

static struct ws_http_connection *ws_conn_find(const struct ws_http_server *server,
					       uint64_t request_id)
{
	struct ws_http_connection *connection = server->by_token[request_id % WS_HASH];

	while (connection && connection->token != request_id)
		connection = connection->hash_next;
	return connection;
}

/* What a connection holds of its request stays until it is answered: only then it is read again. */
bool ws_server_request(const struct ws_http_server *server, uint64_t request_id,
		       struct ws_http_request *request)
{
	const struct ws_http_connection *connection = ws_conn_find(server, request_id);

	if (!connection)
		return false;
	request->method = http_method_str(connection->parser.method);
	request->url = connection->path.data ? connection->path.data : "";
	request->body = connection->body.data ? connection->body.data : "";
	request->len = connection->body.length;
	return true;
}

void ws_server_kind(struct ws_http_server *server, uint64_t request_id, enum ws_conn_kind kind)
{
	struct ws_http_connection *connection = ws_conn_find(server, request_id);

	if (!connection)
		return;
	server->kinds[connection->kind]--;
	server->kinds[kind]++;
	connection->kind = kind;
}

void ws_server_answer(struct ws_http_server *server, uint64_t request_id, int status,
		      const char *body, size_t len, int retry_after)
{
	struct ws_http_connection *connection = ws_conn_find(server, request_id);

	if (!connection)
		return;
	ws_conn_answer(connection, status, body, len, retry_after);
	if (connection->dead && !connection->in_handler)
		free(connection);
}

int ws_server_port(const struct ws_http_server *server)
{
	return server->port;
}

int ws_server_conns(const struct ws_http_server *server, enum ws_conn_kind kind)
{
	return server->kinds[kind];
}

void ws_server_free(struct ws_http_server *server)
{
	if (!server)
		return;
	while (server->conns) {
		struct ws_http_connection *connection = server->conns;

		ws_conn_close(connection);
		free(connection);
	}
	ev_io_stop(server->loop, &server->accept_watcher);
	ev_timer_stop(server->loop, &server->sweep);
	close(server->fd);
	free(server);
}

/* ---------------- client ---------------- */

struct ws_client_request {
	char *text;
	size_t length;
	double deadline;
	bool started; /* bytes may have left */
	ws_reply_fn callback;
	void *context;
	struct ws_client_request *next;
};

struct ws_client_connection {
	struct ws_http_client *client;
	int fd;
	bool connected, close_after, complete, failed, reused;
	ev_io read_watcher, write_watcher;
	http_parser parser;
	struct ws_buffer body;
	size_t sent;
	struct ws_client_request *request;
	double used;
	struct ws_client_connection *next;
};

struct ws_http_client {
	struct ev_loop *loop;
	struct sockaddr_in address;
	struct ws_http_client_options options;
	struct ws_client_connection *links;
	struct ws_client_request *head, *tail;
	int connection_count, queued;
	double tokens, tokens_at, used;
	ev_timer timer;
	bool freed, pumping;
};

static void ws_client_pump(struct ws_http_client *client);

static void ws_req_end(struct ws_client_request *request, int status, const char *body, size_t len)
{
	request->callback(request->context, status, body, len);
	free(request->text);
	free(request);
}

static void ws_link_free(struct ws_client_connection *link)
{
	struct ws_http_client *client = link->client;
	struct ws_client_connection **link_link = &client->links;

	while (*link_link && *link_link != link)
		link_link = &(*link_link)->next;
	if (*link_link)
		*link_link = link->next;
	client->connection_count--;
	ev_io_stop(client->loop, &link->read_watcher);
	ev_io_stop(client->loop, &link->write_watcher);
	close(link->fd);
	free(link->body.data);
	free(link);
}

static void ws_link_fail(struct ws_client_connection *link)
{
	struct ws_client_request *request = link->request;
	bool sent = link->connected && link->sent > 0;

	ws_link_free(link);
	if (request)
		ws_req_end(request, sent ? 0 : -1, "", 0);
}

static int ws_reply_body(http_parser *parser, const char *data, size_t length)
{
	struct ws_client_connection *link = parser->data;

	if (link->body.length + length > link->client->options.max_reply)
		return 1;
	return !ws_buf_add(&link->body, data, length);
}

static int ws_reply_complete(http_parser *parser)
{
	struct ws_client_connection *link = parser->data;

	link->complete = true;
	link->close_after = !http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings ws_client_parser = {
    .on_body = ws_reply_body,
    .on_message_complete = ws_reply_complete,
};

static void ws_link_send(struct ws_client_connection *link)
{
	struct ws_client_request *request = link->request;

	while (request && link->sent < request->length) {
		ssize_t n = send(link->fd, request->text + link->sent, request->length - link->sent,
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			ev_io_start(link->client->loop, &link->write_watcher);
			return;
		}
		if (n <= 0) {
			link->failed = true;
			return;
		}
		link->sent += (size_t)n;
	}
	ev_io_stop(link->client->loop, &link->write_watcher);
}

static void ws_link_writable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_client_connection *link = watcher->data;
	struct ws_http_client *client = link->client;
	int e = 0;
	socklen_t n = sizeof(e);

	(void)loop;
	(void)revents;
	if (!link->connected) {
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &e, &n);
		if (e) {
			ws_link_fail(link);
			ws_client_pump(client);
			return;
		}
		link->connected = true;
		ev_io_start(client->loop, &link->read_watcher);
	}
	ws_link_send(link);
	if (link->failed) {
		ws_link_fail(link);
		ws_client_pump(client);
	}
}

static void ws_link_readable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_client_connection *link = watcher->data;
	struct ws_http_client *client = link->client;
	struct ws_client_request *request;
	char buf[16384];
	ssize_t n = recv(link->fd, buf, sizeof(buf), 0);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || !link->request) {
		if (n == 0 && link->request) /* an answer may end with the connection */
			http_parser_execute(&link->parser, &ws_client_parser, buf, 0);
		if (!link->complete) {
			ws_link_fail(link);
			ws_client_pump(client);
			return;
		}
	} else {
		http_parser_execute(&link->parser, &ws_client_parser, buf, (size_t)n);
		if (!link->complete && HTTP_PARSER_ERRNO(&link->parser) != HPE_OK) {
			ws_link_fail(link);
			ws_client_pump(client);
			return;
		}
	}
	if (!link->complete)
		return;
	request = link->request;
	link->request = NULL;
	link->complete = false; /* an idle link that ends must not pass for an answered one */
	link->used = ws_now();
	int status = link->parser.status_code;
	struct ws_buffer body = link->body;

	link->body = (struct ws_buffer){0};
	if (link->close_after || n <= 0)
		ws_link_free(link);
	ws_client_pump(client);
	ws_req_end(request, status, body.data ? body.data : "", body.length);
	free(body.data);
}

static void ws_link_use(struct ws_client_connection *link, struct ws_client_request *request)
{
	link->request = request;
	link->sent = 0;
	link->complete = link->close_after = false;
	http_parser_init(&link->parser, HTTP_RESPONSE);
	link->parser.data = link;
	if (link->connected)
		ws_link_send(link);
}

static struct ws_client_connection *ws_link_new(struct ws_http_client *client)
{
	struct ws_client_connection *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->fd = ws_socket();
	if (link->fd < 0 ||
	    (connect(link->fd, (struct sockaddr *)&client->address, sizeof(client->address)) &&
	     errno != EINPROGRESS)) {
		if (link->fd >= 0)
			close(link->fd);
		free(link);
		return NULL;
	}
	link->client = client;
	ev_io_init(&link->read_watcher, ws_link_readable, link->fd, EV_READ);
	ev_io_init(&link->write_watcher, ws_link_writable, link->fd, EV_WRITE);
	link->read_watcher.data = link->write_watcher.data = link;
	ev_io_start(client->loop, &link->write_watcher);
	link->next = client->links;
	client->links = link;
	client->connection_count++;
	return link;
}

static bool ws_client_token(struct ws_http_client *client)
{
	double now = ws_now();

	if (client->options.rate <= 0)
		return true;
	client->tokens += (now - client->tokens_at) * client->options.rate;
	client->tokens_at = now;
	if (client->tokens > client->options.burst)
		client->tokens = client->options.burst;
	if (client->tokens < 1)
		return false;
	client->tokens -= 1;
	return true;
}

static void ws_client_arm(struct ws_http_client *client)
{
	double next = 1e18, now = ws_now();

	for (struct ws_client_connection *link = client->links; link; link = link->next)
		if (link->request && link->request->deadline < next)
			next = link->request->deadline;
	for (struct ws_client_request *request = client->head; request; request = request->next)
		if (request->deadline < next)
			next = request->deadline;
	if (client->head && client->options.rate > 0 && client->tokens < 1 &&
	    now + (1 - client->tokens) / client->options.rate < next)
		next = now + (1 - client->tokens) / client->options.rate;
	if (client->options.idle_s > 0)
		for (struct ws_client_connection *other_link = client->links; other_link;
		     other_link = other_link->next)
			if (!other_link->request &&
			    other_link->used + client->options.idle_s < next)
				next = other_link->used + client->options.idle_s;
	ev_timer_stop(client->loop, &client->timer);
	if (next < 1e17) {
		ev_now_update(client->loop);
		ev_timer_set(&client->timer, next > now ? next - now + 0.001 : 0.001, 0);
		ev_timer_start(client->loop, &client->timer);
	}
}

static void ws_client_pump(struct ws_http_client *client)
{
	if (client->pumping)
		return;
	client->pumping = true;
	while (client->head) {
		struct ws_client_connection *link;
		struct ws_client_request *request;

		for (link = client->links; link && link->request; link = link->next)
			;
		if (!link && client->connection_count >= client->options.max_conns)
			break;
		if (!ws_client_token(client))
			break;
		request = client->head;
		client->head = request->next;
		if (!client->head)
			client->tail = NULL;
		client->queued--;
		if (!link)
			link = ws_link_new(client);
		if (!link) {
			ws_req_end(request, -1, "", 0);
			continue;
		}
		ws_link_use(link, request);
		if (link->failed)
			ws_link_fail(link);
	}
	client->pumping = false;
	ws_client_arm(client);
}

static void ws_client_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	struct ws_http_client *client = watcher->data;
	double now = ws_now();
	bool again = true;

	(void)loop;
	(void)revents;
	while (again) {
		again = false;
		for (struct ws_client_connection *link = client->links; link; link = link->next) {
			if (link->request && link->request->deadline <= now) {
				ws_link_fail(link);
				again = true;
				break;
			}
			if (!link->request && client->options.idle_s > 0 && link->connected &&
			    link->used + client->options.idle_s <= now) {
				ws_link_free(link);
				again = true;
				break;
			}
		}
	}
	struct ws_client_request *late = NULL, *request;

	client->tail = NULL;
	for (struct ws_client_request **request_link = &client->head; (request = *request_link);) {
		if (request->deadline > now) {
			client->tail = request;
			request_link = &request->next;
			continue;
		}
		*request_link = request->next;
		client->queued--;
		request->next = late;
		late = request;
	}
	while ((request = late)) {
		late = request->next;
		ws_req_end(request, -1, "", 0);
	}
	ws_client_pump(client);
}

struct ws_http_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				     const struct ws_http_client_options *options)
{
	struct ws_http_client *client = calloc(1, sizeof(*client));

	if (!client)
		return NULL;
	client->loop = loop;
	client->options = *options;
	client->tokens = options->burst;
	client->tokens_at = client->used = ws_now();
	client->address.sin_family = AF_INET;
	client->address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &client->address.sin_addr);
	ev_timer_init(&client->timer, ws_client_timer, 0, 0);
	client->timer.data = client;
	return client;
}

void ws_client_rate(struct ws_http_client *client, double rate, double burst)
{
	client->options.rate = rate;
	client->options.burst = burst;
}

bool ws_client_send(struct ws_http_client *client, const char *method, const char *path,
		    const char *body, size_t len, double timeout_s, bool urgent,
		    ws_reply_fn callback, void *ctx)
{
	struct ws_client_request *request;
	char head[WS_PATH_MAX + 256], ip[INET_ADDRSTRLEN];
	int n;

	if (client->queued >= client->options.max_queue && !urgent)
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		return false;
	inet_ntop(AF_INET, &client->address.sin_addr, ip, sizeof(ip));
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu\r\n\r\n", method, path,
		     ip, ntohs(client->address.sin_port),
		     len ? "Content-Type: application/json\r\n" : "", len);
	if (n < 0 || (size_t)n >= sizeof(head) || !(request->text = malloc((size_t)n + len))) {
		free(request);
		return false;
	}
	memcpy(request->text, head, (size_t)n);
	if (len)
		memcpy(request->text + n, body, len);
	request->length = (size_t)n + len;
	client->used = ws_now();
	request->deadline = client->used + timeout_s;
	request->callback = callback;
	request->context = ctx;
	if (urgent) {
		request->next = client->head;
		client->head = request;
		if (!client->tail)
			client->tail = request;
	} else {
		if (client->tail)
			client->tail->next = request;
		else
			client->head = request;
		client->tail = request;
	}
	client->queued++;
	ws_client_pump(client);
	return true;
}

bool ws_client_idle(const struct ws_http_client *client, double now, double idle_s)
{
	if (client->head || now - client->used < idle_s)
		return false;
	for (struct ws_client_connection *link = client->links; link; link = link->next)
		if (link->request)
			return false;
	return true;
}

int ws_client_conns(const struct ws_http_client *client)
{
	return client->connection_count;
}

void ws_client_free(struct ws_http_client *client)
{
	if (!client)
		return;
	ev_timer_stop(client->loop, &client->timer);
	while (client->links) {
		struct ws_client_request *request = client->links->request;

		ws_link_free(client->links);
		if (request)
			ws_req_end(request, 0, "", 0);
	}
	while (client->head) {
		struct ws_client_request *other_request = client->head;

		client->head = other_request->next;
		ws_req_end(other_request, -1, "", 0);
	}
	free(client);
}
