/* Guards against: a malformed or slow reply is taken for another request's, or blocks its client.
 */
#include "../src/io/clock.h"
#include "../src/io/http_client.h"
#include "../src/io/sockets.h"
#include "check.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REPLY_TIMEOUT_S 0.6
#define REPLY_MAX 1000
#define BYTE_INTERVAL_S 0.005
#define UNANSWERED (-2)
#define NOT_SENT (-1)

/* How the server answers the first request of a connection; it answers the others soundly. */
struct behaviour {
	const char *name, *reply;
	bool byte_by_byte;  /* sends a byte at a time */
	bool closes;	    /* closes the connection behind the reply */
	bool repeats;	    /* sends the reply without end */
	const char *second; /* is sent a moment later */
	int status;	    /* expected: of the reply, or 0 if it counts as none */
};

#define SOUND "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static const struct behaviour behaviours[] = {
    {.name = "a sound reply", .reply = SOUND, .status = 200},
    {.name = "a byte at a time", .reply = SOUND, .byte_by_byte = true, .status = 200},
    {.name = "chunks",
     .reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
     .status = 200},
    {.name = "a chunk without end",
     .reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\no"},
    {.name = "an invalid chunk",
     .reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
    {.name = "100 Continue before the reply",
     .reply = "HTTP/1.1 100 Continue\r\n\r\n" SOUND,
     .status = 200},
    {.name = "100 Continue a moment before the reply",
     .reply = "HTTP/1.1 100 Continue\r\n\r\n",
     .second = SOUND,
     .status = 200},
    {.name = "100 Continue without end", .reply = "HTTP/1.1 100 Continue\r\n\r\n", .repeats = true},
    {.name = "half a reply", .reply = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
    {.name = "half a reply, then the end",
     .reply = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
     .closes = true},
    {.name = "no reply", .reply = ""},
    {.name = "the end at once", .reply = "", .closes = true},
    {.name = "a reply and more",
     .reply = SOUND "HTTP/1.1 500 Surplus\r\nContent-Length: 0\r\n\r\n",
     .status = 200},
    {.name = "a reply, and more a moment later",
     .reply = SOUND,
     .second = "HTTP/1.1 500 Surplus\r\nContent-Length: 0\r\n\r\n",
     .status = 200},
    {.name = "a length that is too small",
     .reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 Surplus\r\n\r\n",
     .status = 200},
    {.name = "two lengths",
     .reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\nok"},
    {.name = "a negative length", .reply = "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok"},
    {.name = "a reply beyond the limit",
     .reply = "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nxxxxxxxxxxxxxxxx",
     .repeats = true},
    {.name = "a header without end",
     .reply = "X-Header: xxxxxxxxxxxxxxxxxxxxxxxxxxx",
     .repeats = true},
    {.name = "a head without end", .reply = "HTTP/1.1 200 OK\r\nA: b\r\n", .repeats = true},
    {.name = "no HTTP", .reply = "garbage\r\n\r\n"},
};
#define BEHAVIOURS (sizeof(behaviours) / sizeof(behaviours[0]))
#define SERVER_CONNECTIONS 64

static struct ev_loop *loop;
static int listener, port;
static const struct behaviour *current;
struct server_connection {
	int fd; /* -1: closed */
	ev_io readable;
	ev_timer timer;
	const char *rest; /* of the reply, still to be sent */
	unsigned requests;
};
static struct server_connection connections[SERVER_CONNECTIONS];
static unsigned connection_count;
static int statuses[2];

static void close_server_connection(struct server_connection *connection)
{
	if (connection->fd < 0)
		return;
	ev_io_stop(loop, &connection->readable);
	ev_timer_stop(loop, &connection->timer);
	close(connection->fd);
	connection->fd = -1;
}

static void send_text(struct server_connection *connection, const char *text, size_t length)
{
	if (send(connection->fd, text, length, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 &&
	    !ws_socket_would_block())
		close_server_connection(connection);
}

/* Sends the next byte, the second part, or the reply once more. */
static void on_server_timer(struct ev_loop *timer_loop, ev_timer *timer, int events)
{
	struct server_connection *connection = timer->data;

	(void)timer_loop;
	(void)events;
	if (current->byte_by_byte && *connection->rest) {
		send_text(connection, connection->rest++, 1);
	} else if (current->repeats) {
		send_text(connection, current->reply, strlen(current->reply));
	} else if (current->second && connection->rest) {
		connection->rest = NULL;
		send_text(connection, current->second, strlen(current->second));
	}
}

static void on_server_readable(struct ev_loop *io_loop, ev_io *watcher, int events)
{
	struct server_connection *connection = watcher->data;
	char bytes[1000];

	(void)io_loop;
	(void)events;
	if (recv(connection->fd, bytes, sizeof(bytes), 0) <= 0) {
		close_server_connection(connection);
		return;
	}
	if (connection->requests++ || connection != connections) { /* not the first request */
		send_text(connection, SOUND, strlen(SOUND));
		return;
	}
	connection->rest = current->reply;
	if (!current->byte_by_byte)
		send_text(connection, current->reply, strlen(current->reply));
	if (current->closes)
		close_server_connection(connection);
	else
		ev_timer_start(loop, &connection->timer);
}

static void on_server_acceptable(struct ev_loop *io_loop, ev_io *watcher, int events)
{
	struct server_connection *connection = &connections[connection_count++];

	(void)watcher;
	(void)events;
	connection->fd = accept(listener, NULL, NULL);
	connection->requests = 0;
	ev_io_init(&connection->readable, on_server_readable, connection->fd, EV_READ);
	connection->readable.data = connection;
	ev_timer_init(&connection->timer, on_server_timer, BYTE_INTERVAL_S, BYTE_INTERVAL_S);
	connection->timer.data = connection;
	ev_io_start(io_loop, &connection->readable);
}

static void on_reply(void *context, int status, const char *body, size_t length)
{
	bool sound = status != 200 || (length == 2 && !memcmp(body, "ok", 2));

	*(int *)context = sound ? status : UNANSWERED;
}

static bool run_until_answered(const int *status)
{
	double end = ws_now() + 2 * REPLY_TIMEOUT_S;

	while (*status == UNANSWERED && ws_now() < end)
		ev_run(loop, EVRUN_ONCE);
	return *status != UNANSWERED;
}

/* Sends two requests, one after the other, and checks that each gets its own reply. */
static void check_behaviour(const struct behaviour *behaviour)
{
	const struct ws_http_client_options options = {
	    .max_connections = 1, .max_queue = 4, .max_reply_bytes = REPLY_MAX};
	struct ws_http_client *client = ws_client_new(loop, "127.0.0.1", port, &options);
	char name[100];

	current = behaviour;
	connection_count = 0;
	for (int i = 0; i < 2; i++) {
		statuses[i] = UNANSWERED;
		ws_client_send(client, "GET", "/", "", 0, REPLY_TIMEOUT_S, false, on_reply,
			       &statuses[i]);
	}
	snprintf(name, sizeof(name), "%s: the first request ends in time", behaviour->name);
	check(name, run_until_answered(&statuses[0]));
	snprintf(name, sizeof(name), "%s: status %d", behaviour->name, statuses[0]);
	check(name, statuses[0] == behaviour->status);
	run_until_answered(&statuses[1]);
	snprintf(name, sizeof(name), "%s: the second request gets its own reply, or none",
		 behaviour->name);
	check(name, statuses[1] == 200 || statuses[1] == 0 || statuses[1] == NOT_SENT);
	statuses[1] = UNANSWERED;
	ws_client_send(client, "GET", "/", "", 0, REPLY_TIMEOUT_S, false, on_reply, &statuses[1]);
	run_until_answered(&statuses[1]);
	snprintf(name, sizeof(name), "%s: the third request is answered", behaviour->name);
	check(name, statuses[1] == 200);
	ws_client_free(client);
	for (unsigned i = 0; i < connection_count; i++)
		close_server_connection(&connections[i]);
}

int main(void)
{
	ev_io acceptable;

	char error[200];

	loop = ev_default_loop(0);
	listener = ws_socket_listen("127.0.0.1", &port, 16, error, sizeof(error));
	ev_io_init(&acceptable, on_server_acceptable, listener, EV_READ);
	ev_io_start(loop, &acceptable);
	for (size_t i = 0; i < BEHAVIOURS; i++)
		check_behaviour(&behaviours[i]);
	ev_io_stop(loop, &acceptable);
	close(listener);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
