#include "http_client.h"
#include "clock.h"
#include "sockets.h"
#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX (WS_PATH_MAX + 256)
/* No deadline: later than all that are. */
#define NEVER 1e18
/* Timers end this much after the moment they are for. */
#define TIMER_SLACK_S 0.001

/* Outcomes without an answer; see ws_reply_fn. */
enum { STATUS_UNKNOWN = 0, STATUS_NOT_SENT = -1 };

struct request {
	char *text;
	size_t length;
	double deadline;
	ws_reply_fn on_reply;
	void *context;
	struct request *next;
};

struct connection {
	struct ws_http_client *client;
	int fd;
	bool connected;
	bool close_after; /* the reply */
	bool complete;	  /* the reply */
	bool failed;
	ev_io readable, writable;
	http_parser parser;
	struct ws_buffer body;
	size_t sent;		 /* of the request */
	struct request *request; /* NULL: idle */
	double used;
	struct connection *next;
};

struct ws_http_client {
	struct ev_loop *loop;
	struct sockaddr_in address;
	struct ws_http_client_options options;
	struct connection *connections;
	int count;
	struct request *first, *last; /* the queue */
	int queued;
	double tokens, tokens_at; /* the rate limit's bucket */
	double used;
	ev_timer timer;
	bool pumping;
};

static void pump(struct ws_http_client *client);

static void finish(struct request *request, int status, const char *body, size_t length)
{
	request->on_reply(request->context, status, body, length);
	free(request->text);
	free(request);
}

/* ---- the end of a connection ---- */

/* Frees a connection that is not in the client's list; its request stays. */
static void release(struct connection *connection)
{
	struct ws_http_client *client = connection->client;

	client->count--;
	ev_io_stop(client->loop, &connection->readable);
	ev_io_stop(client->loop, &connection->writable);
	close(connection->fd);
	ws_buffer_free(&connection->body);
	free(connection);
}

static void remove_connection(struct connection *connection)
{
	struct connection **link = &connection->client->connections;

	while (*link != connection)
		link = &(*link)->next;
	*link = connection->next;
	release(connection);
}

static void fail(struct connection *connection)
{
	struct request *request = connection->request;
	bool sent = connection->connected && connection->sent > 0;

	remove_connection(connection);
	if (request)
		finish(request, sent ? STATUS_UNKNOWN : STATUS_NOT_SENT, "", 0);
}

static void fail_and_pump(struct connection *connection)
{
	struct ws_http_client *client = connection->client;

	fail(connection);
	pump(client);
}

/* ---- the parser's callbacks ---- */

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->body.length + length > connection->client->options.max_reply)
		return 1;
	return !ws_buffer_add(&connection->body, bytes, length);
}

static int on_message_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->complete = true;
	connection->close_after = !http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- sending ---- */

static void write_request(struct connection *connection)
{
	const struct request *request = connection->request;
	struct ev_loop *loop = connection->client->loop;

	while (request && connection->sent < request->length) {
		ssize_t count = send(connection->fd, request->text + connection->sent,
				     request->length - connection->sent, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && ws_socket_would_block()) {
			ev_io_start(loop, &connection->writable);
			return;
		}
		if (count <= 0) {
			connection->failed = true;
			return;
		}
		connection->sent += (size_t)count;
	}
	ev_io_stop(loop, &connection->writable);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;

	(void)events;
	if (!connection->connected) {
		if (!ws_socket_connected(connection->fd)) {
			fail_and_pump(connection);
			return;
		}
		connection->connected = true;
		ev_io_start(loop, &connection->readable);
	}
	write_request(connection);
	if (connection->failed)
		fail_and_pump(connection);
}

/* ---- receiving ---- */

/* Takes in what recv() gave; false: it is no reply, or ended within one. */
static bool parse(struct connection *connection, const char *bytes, ssize_t count)
{
	if (count < 0)
		return false;
	/* with no bytes: a reply may end with the connection */
	http_parser_execute(&connection->parser, &parser_settings, bytes, (size_t)count);
	if (connection->complete)
		return true;
	return count > 0 && HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK;
}

/* Hands a complete reply on, after the connection was given its next request. */
static void deliver_reply(struct connection *connection, bool ended)
{
	struct ws_http_client *client = connection->client;
	struct request *request = connection->request;
	struct ws_buffer body = connection->body;
	int status = connection->parser.status_code;

	connection->request = NULL;
	connection->complete = false; /* an idle one that ends must not pass for an answered one */
	connection->used = ws_now();
	connection->body = (struct ws_buffer){0};
	if (connection->close_after || ended)
		remove_connection(connection);
	pump(client);
	finish(request, status, ws_buffer_text(&body), body.length);
	ws_buffer_free(&body);
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
	if (!connection->request || !parse(connection, bytes, count))
		fail_and_pump(connection);
	else if (connection->complete)
		deliver_reply(connection, count <= 0);
}

/* ---- connections ---- */

static void start_request(struct connection *connection, struct request *request)
{
	connection->request = request;
	connection->sent = 0;
	connection->complete = connection->close_after = false;
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
	if (connection->connected)
		write_request(connection);
}

/* A socket that is being connected; -1 if there is none. */
static int connect_to(const struct sockaddr_in *address)
{
	int socket_fd = ws_socket_open();

	if (socket_fd < 0 || !ws_socket_connect(socket_fd, address))
		return -1;
	return socket_fd;
}

static struct connection *add_connection(struct ws_http_client *client)
{
	struct connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->fd = connect_to(&client->address);
	if (connection->fd < 0) {
		free(connection);
		return NULL;
	}
	connection->client = client;
	ev_io_init(&connection->readable, on_readable, connection->fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, connection->fd, EV_WRITE);
	connection->readable.data = connection->writable.data = connection;
	ev_io_start(client->loop, &connection->writable);
	connection->next = client->connections;
	client->connections = connection;
	client->count++;
	return connection;
}

/* ---- the queue ---- */

static bool take_token(struct ws_http_client *client)
{
	const struct ws_http_client_options *options = &client->options;
	double now = ws_now();

	if (options->rate <= 0)
		return true;
	client->tokens += (now - client->tokens_at) * options->rate;
	client->tokens_at = now;
	if (client->tokens > options->burst)
		client->tokens = options->burst;
	if (client->tokens < 1)
		return false;
	client->tokens -= 1;
	return true;
}

static double earlier(double moment, double other)
{
	return other < moment ? other : moment;
}

/* When the client has to act by itself next. */
static double next_moment(const struct ws_http_client *client, double now)
{
	const struct ws_http_client_options *options = &client->options;
	double next = NEVER;

	for (const struct connection *connection = client->connections; connection;
	     connection = connection->next) {
		if (connection->request)
			next = earlier(next, connection->request->deadline);
		else if (options->idle_s > 0)
			next = earlier(next, connection->used + options->idle_s);
	}
	for (const struct request *request = client->first; request; request = request->next)
		next = earlier(next, request->deadline);
	if (client->first && options->rate > 0 && client->tokens < 1)
		next = earlier(next, now + (1 - client->tokens) / options->rate);
	return next;
}

static void arm_timer(struct ws_http_client *client)
{
	double now = ws_now();
	double next = next_moment(client, now);

	ev_timer_stop(client->loop, &client->timer);
	if (next < NEVER) {
		ev_now_update(client->loop);
		ev_timer_set(&client->timer, (next > now ? next - now : 0) + TIMER_SLACK_S, 0);
		ev_timer_start(client->loop, &client->timer);
	}
}

static struct connection *idle_connection(const struct ws_http_client *client)
{
	struct connection *connection = client->connections;

	while (connection && connection->request)
		connection = connection->next;
	return connection;
}

static struct request *dequeue(struct ws_http_client *client)
{
	struct request *request = client->first;

	client->first = request->next;
	if (!client->first)
		client->last = NULL;
	client->queued--;
	return request;
}

/* Starts as many queued requests as there are connections for; not within itself. */
static void pump(struct ws_http_client *client)
{
	if (client->pumping)
		return;
	client->pumping = true;
	while (client->first) {
		struct connection *connection = idle_connection(client);
		struct request *request;

		if (!connection && client->count >= client->options.max_conns)
			break;
		if (!take_token(client))
			break;
		request = dequeue(client);
		if (!connection)
			connection = add_connection(client);
		if (!connection) {
			finish(request, STATUS_NOT_SENT, "", 0);
			continue;
		}
		start_request(connection, request);
		if (connection->failed)
			fail(connection);
	}
	client->pumping = false;
	arm_timer(client);
}

/* ---- timeouts ---- */

/* Ends one connection that is past its time; false: none is. */
static bool end_late_connection(struct ws_http_client *client, double now)
{
	double idle_s = client->options.idle_s;

	for (struct connection *connection = client->connections; connection;
	     connection = connection->next) {
		if (connection->request && connection->request->deadline <= now) {
			fail(connection);
			return true;
		}
		if (!connection->request && idle_s > 0 && connection->connected &&
		    connection->used + idle_s <= now) {
			remove_connection(connection);
			return true;
		}
	}
	return false;
}

/* Takes requests that are past their time out of the queue; the last one is the list's first. */
static struct request *dequeue_late(struct ws_http_client *client, double now)
{
	struct request **link = &client->first;
	struct request *late = NULL, *request;

	client->last = NULL;
	while ((request = *link)) {
		if (request->deadline > now) {
			client->last = request;
			link = &request->next;
			continue;
		}
		*link = request->next;
		client->queued--;
		request->next = late;
		late = request;
	}
	return late;
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_http_client *client = watcher->data;
	struct request *late;
	double now = ws_now();

	(void)loop;
	(void)events;
	while (end_late_connection(client, now))
		;
	late = dequeue_late(client, now);
	while (late) {
		struct request *next = late->next;

		finish(late, STATUS_NOT_SENT, "", 0);
		late = next;
	}
	pump(client);
}

/* ---- the client ---- */

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
	client->address = ws_socket_address(host, port);
	ev_timer_init(&client->timer, on_timer, 0, 0);
	client->timer.data = client;
	return client;
}

void ws_client_rate(struct ws_http_client *client, double rate, double burst)
{
	client->options.rate = rate;
	client->options.burst = burst;
}

/* The bytes of a request; false: no memory, or too long a path. */
static bool write_text(const struct ws_http_client *client, struct request *request,
		       const char *method, const char *path, const char *body, size_t length)
{
	char head[HEAD_MAX], host[INET_ADDRSTRLEN];
	int head_length;

	inet_ntop(AF_INET, &client->address.sin_addr, host, sizeof(host));
	head_length = snprintf(head, sizeof(head),
			       "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu\r\n\r\n",
			       method, path, host, ntohs(client->address.sin_port),
			       length ? "Content-Type: application/json\r\n" : "", length);
	if (head_length < 0 || (size_t)head_length >= sizeof(head))
		return false;
	request->length = (size_t)head_length + length;
	request->text = malloc(request->length);
	if (!request->text)
		return false;
	memcpy(request->text, head, (size_t)head_length);
	if (length)
		memcpy(request->text + head_length, body, length);
	return true;
}

static void enqueue(struct ws_http_client *client, struct request *request, bool urgent)
{
	if (urgent) {
		request->next = client->first;
		client->first = request;
		if (!client->last)
			client->last = request;
	} else {
		if (client->last)
			client->last->next = request;
		else
			client->first = request;
		client->last = request;
	}
	client->queued++;
}

bool ws_client_send(struct ws_http_client *client, const char *method, const char *path,
		    const char *body, size_t length, double timeout_s, bool urgent,
		    ws_reply_fn on_reply, void *context)
{
	struct request *request;

	if (client->queued >= client->options.max_queue && !urgent)
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		return false;
	if (!write_text(client, request, method, path, body, length)) {
		free(request);
		return false;
	}
	client->used = ws_now();
	request->deadline = client->used + timeout_s;
	request->on_reply = on_reply;
	request->context = context;
	enqueue(client, request, urgent);
	pump(client);
	return true;
}

bool ws_client_idle(const struct ws_http_client *client, double now, double idle_s)
{
	if (client->first || now - client->used < idle_s)
		return false;
	for (const struct connection *connection = client->connections; connection;
	     connection = connection->next)
		if (connection->request)
			return false;
	return true;
}

int ws_client_conns(const struct ws_http_client *client)
{
	return client->count;
}

void ws_client_free(struct ws_http_client *client)
{
	if (!client)
		return;
	ev_timer_stop(client->loop, &client->timer);
	while (client->connections) {
		struct connection *connection = client->connections;
		struct request *request = connection->request;

		client->connections = connection->next;
		release(connection);
		if (request)
			finish(request, STATUS_UNKNOWN, "", 0);
	}
	while (client->first)
		finish(dequeue(client), STATUS_NOT_SENT, "", 0);
	free(client);
}
