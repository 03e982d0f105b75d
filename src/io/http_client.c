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

#define REQUEST_HEAD_MAX (WS_PATH_MAX + 256)
/* Later than every deadline. */
#define NO_DEADLINE 1e18
/* Added to timers, so that the deadline has passed when they fire. */
#define TIMER_SLACK_S 0.001

/* Statuses of requests without a reply; see ws_http_reply_fn. */
enum { STATUS_UNKNOWN = 0, STATUS_NOT_SENT = -1 };

struct request {
	char *bytes;
	size_t length;
	double deadline;
	ws_http_reply_fn on_reply;
	void *context;
	struct request *next;
};

struct connection {
	struct ws_http_client *client;
	int fd;
	bool connected;
	bool close_after_reply; /* close the connection after the reply */
	bool reply_complete;	/* the whole reply was received */
	bool send_failed;	/* sending the request failed */
	ev_io readable, writable;
	http_parser parser;
	struct ws_buffer body;
	size_t sent;		 /* bytes of the request already sent */
	struct request *request; /* NULL: idle */
	double last_used;	 /* time of the last reply */
	struct connection *next;
};

struct ws_http_client {
	struct ev_loop *loop;
	struct sockaddr_in address;
	struct ws_http_client_options options;
	struct connection *connections;
	int count;
	struct request *first, *last; /* the queue of requests not yet started */
	int queued;
	double tokens, tokens_refilled; /* token bucket of the rate limit, and its last refill */
	double last_used;		/* time of the last ws_client_send() */
	ev_timer timer;
	bool starting_queued;
};

static void start_queued(struct ws_http_client *client);

static void complete_request(struct request *request, int status, const char *body, size_t length)
{
	request->on_reply(request->context, status, body, length);
	free(request->bytes);
	free(request);
}

/* ---- closing connections ---- */

/* Closes and frees a connection that is no longer in the client's list. Its request is kept. */
static void free_connection(struct connection *connection)
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
	free_connection(connection);
}

static void fail_connection(struct connection *connection)
{
	struct request *request = connection->request;
	bool sent = connection->connected && connection->sent > 0;

	remove_connection(connection);
	if (request)
		complete_request(request, sent ? STATUS_UNKNOWN : STATUS_NOT_SENT, "", 0);
}

static void fail_and_start_queued(struct connection *connection)
{
	struct ws_http_client *client = connection->client;

	fail_connection(connection);
	start_queued(client);
}

/* ---- parser callbacks ---- */

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	struct connection *connection = parser->data;

	if (connection->body.length + length > connection->client->options.max_reply_bytes)
		return 1;
	return !ws_buffer_append(&connection->body, bytes, length);
}

/* Whether the reply is an interim one such as 100 Continue, which the final reply follows. */
static bool is_interim(const http_parser *parser)
{
	return parser->status_code / 100 == 1;
}

static int on_message_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	if (is_interim(parser))
		return 0;
	connection->reply_complete = true;
	connection->close_after_reply = !http_should_keep_alive(parser);
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
		ssize_t count = send(connection->fd, request->bytes + connection->sent,
				     request->length - connection->sent, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && ws_socket_would_block()) {
			ev_io_start(loop, &connection->writable);
			return;
		}
		if (count <= 0) {
			connection->send_failed = true;
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
		if (!ws_socket_connect_succeeded(connection->fd)) {
			fail_and_start_queued(connection);
			return;
		}
		connection->connected = true;
		ev_io_start(loop, &connection->readable);
	}
	write_request(connection);
	if (connection->send_failed)
		fail_and_start_queued(connection);
}

/* ---- receiving ---- */

/* Parses the result of recv(). Returns false if the data is no valid reply, or if the connection
 * ended before the reply was complete. */
static bool parse_reply(struct connection *connection, const char *bytes, ssize_t count)
{
	size_t parsed;

	if (count < 0)
		return false;
	/* 0 bytes mark the end of the connection, which may also end the reply */
	parsed = http_parser_execute(&connection->parser, &parser_settings, bytes, (size_t)count);
	if (connection->reply_complete) {
		/* what follows the reply must not be taken for the next one; the parser pauses
		 * before the last byte of a reply or behind it */
		if (parsed + 1 < (size_t)count)
			connection->close_after_reply = true;
		return true;
	}
	return count > 0 && HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK;
}

/* Passes a complete reply to its callback. The next queued request is started on the connection
 * first. */
static void deliver_reply(struct connection *connection, bool ended)
{
	struct ws_http_client *client = connection->client;
	struct request *request = connection->request;
	struct ws_buffer body = connection->body;
	int status = connection->parser.status_code;

	connection->request = NULL;
	/* else the end of an idle connection would look like a complete reply */
	connection->reply_complete = false;
	connection->last_used = ws_now();
	connection->body = (struct ws_buffer){0};
	if (connection->close_after_reply || ended)
		remove_connection(connection);
	start_queued(client);
	complete_request(request, status, ws_buffer_text(&body), body.length);
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
	if (!connection->request || !parse_reply(connection, bytes, count))
		fail_and_start_queued(connection);
	else if (connection->reply_complete)
		deliver_reply(connection, count <= 0);
}

/* ---- connections ---- */

static void start_request(struct connection *connection, struct request *request)
{
	connection->request = request;
	connection->sent = 0;
	connection->reply_complete = connection->close_after_reply = false;
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
	if (connection->connected)
		write_request(connection);
}

/* Starts to connect a new socket. Returns -1 if that fails. */
static int open_connecting_socket(const struct sockaddr_in *address)
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
	connection->fd = open_connecting_socket(&client->address);
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

	if (options->requests_per_s <= 0)
		return true;
	client->tokens += (now - client->tokens_refilled) * options->requests_per_s;
	client->tokens_refilled = now;
	if (client->tokens > options->burst)
		client->tokens = options->burst;
	if (client->tokens < 1)
		return false;
	client->tokens -= 1;
	return true;
}

static double earlier_of(double first, double second)
{
	return second < first ? second : first;
}

/* Returns the time of the next timeout or of the next token of the rate limit. */
static double next_timeout(const struct ws_http_client *client, double now)
{
	const struct ws_http_client_options *options = &client->options;
	double next = NO_DEADLINE;

	for (const struct connection *connection = client->connections; connection;
	     connection = connection->next) {
		if (connection->request)
			next = earlier_of(next, connection->request->deadline);
		else if (options->idle_timeout_s > 0)
			next = earlier_of(next, connection->last_used + options->idle_timeout_s);
	}
	for (const struct request *request = client->first; request; request = request->next)
		next = earlier_of(next, request->deadline);
	if (client->first && options->requests_per_s > 0 && client->tokens < 1)
		next = earlier_of(next, now + (1 - client->tokens) / options->requests_per_s);
	return next;
}

static void arm_timer(struct ws_http_client *client)
{
	double now = ws_now();
	double next = next_timeout(client, now);

	ev_timer_stop(client->loop, &client->timer);
	if (next < NO_DEADLINE) {
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

/* Starts queued requests while connections and the rate limit allow. Recursive calls do nothing. */
static void start_queued(struct ws_http_client *client)
{
	if (client->starting_queued)
		return;
	client->starting_queued = true;
	while (client->first) {
		struct connection *connection = idle_connection(client);
		struct request *request;

		if (!connection && client->count >= client->options.max_connections)
			break;
		if (!take_token(client))
			break;
		request = dequeue(client);
		if (!connection)
			connection = add_connection(client);
		if (!connection) {
			complete_request(request, STATUS_NOT_SENT, "", 0);
			continue;
		}
		start_request(connection, request);
		if (connection->send_failed)
			fail_connection(connection);
	}
	client->starting_queued = false;
	arm_timer(client);
}

/* ---- timeouts ---- */

/* Closes one connection whose request or idle time has timed out; false if there is none. */
static bool close_timed_out_connection(struct ws_http_client *client, double now)
{
	double idle_s = client->options.idle_timeout_s;

	for (struct connection *connection = client->connections; connection;
	     connection = connection->next) {
		if (connection->request && connection->request->deadline <= now) {
			fail_connection(connection);
			return true;
		}
		if (!connection->request && idle_s > 0 && connection->connected &&
		    connection->last_used + idle_s <= now) {
			remove_connection(connection);
			return true;
		}
	}
	return false;
}

/* Removes timed-out requests from the queue and returns them as a list in reverse order. */
static struct request *dequeue_timed_out(struct ws_http_client *client, double now)
{
	struct request **link = &client->first;
	struct request *timed_out = NULL, *request;

	client->last = NULL;
	while ((request = *link)) {
		if (request->deadline > now) {
			client->last = request;
			link = &request->next;
			continue;
		}
		*link = request->next;
		client->queued--;
		request->next = timed_out;
		timed_out = request;
	}
	return timed_out;
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_http_client *client = watcher->data;
	struct request *timed_out;
	double now = ws_now();

	(void)loop;
	(void)events;
	while (close_timed_out_connection(client, now))
		;
	timed_out = dequeue_timed_out(client, now);
	while (timed_out) {
		struct request *next = timed_out->next;

		complete_request(timed_out, STATUS_NOT_SENT, "", 0);
		timed_out = next;
	}
	start_queued(client);
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
	client->tokens_refilled = client->last_used = ws_now();
	client->address = ws_socket_address(host, port);
	ev_timer_init(&client->timer, on_timer, 0, 0);
	client->timer.data = client;
	return client;
}

void ws_client_set_rate(struct ws_http_client *client, double rate, double burst)
{
	client->options.requests_per_s = rate;
	client->options.burst = burst;
}

/* Formats a request. Returns false if memory is exhausted or the path is too long. */
static bool format_request(const struct ws_http_client *client, struct request *request,
			   const char *method, const char *path, const char *body, size_t length)
{
	char head[REQUEST_HEAD_MAX], host[INET_ADDRSTRLEN];
	int head_length;

	inet_ntop(AF_INET, &client->address.sin_addr, host, sizeof(host));
	head_length = snprintf(head, sizeof(head),
			       "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu\r\n\r\n",
			       method, path, host, ntohs(client->address.sin_port),
			       length ? "Content-Type: application/json\r\n" : "", length);
	if (head_length < 0 || (size_t)head_length >= sizeof(head))
		return false;
	request->length = (size_t)head_length + length;
	request->bytes = malloc(request->length);
	if (!request->bytes)
		return false;
	memcpy(request->bytes, head, (size_t)head_length);
	if (length)
		memcpy(request->bytes + head_length, body, length);
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
		    ws_http_reply_fn on_reply, void *context)
{
	struct request *request;

	if (client->queued >= client->options.max_queue && !urgent)
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		return false;
	if (!format_request(client, request, method, path, body, length)) {
		free(request);
		return false;
	}
	client->last_used = ws_now();
	request->deadline = client->last_used + timeout_s;
	request->on_reply = on_reply;
	request->context = context;
	enqueue(client, request, urgent);
	start_queued(client);
	return true;
}

bool ws_client_is_idle(const struct ws_http_client *client, double now, double idle_s)
{
	if (client->first || now - client->last_used < idle_s)
		return false;
	for (const struct connection *connection = client->connections; connection;
	     connection = connection->next)
		if (connection->request)
			return false;
	return true;
}

int ws_client_connection_count(const struct ws_http_client *client)
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
		free_connection(connection);
		if (request)
			complete_request(request, STATUS_UNKNOWN, "", 0);
	}
	while (client->first)
		complete_request(dequeue(client), STATUS_NOT_SENT, "", 0);
	free(client);
}
