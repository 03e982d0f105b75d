#include "peer.h"
#include "../log.h"
#include "clock.h"
#include "sockets.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FRAME_MAX ((size_t)160 * 1024)
/* Bytes that wait to be sent by a connection. */
#define OUT_MAX ((size_t)1024 * 1024)
/* Of the length in front of a frame, in network order. */
#define LENGTH_SIZE 4
#define READ_SIZE_LEAST 16384
#define READ_BUFFER_STEP 32768
#define BACKLOG 64
/* A peer keeps one connection; a few more may be left over from its earlier lives. */
#define ACCEPTED_PER_PEER 8
#define TIMER_S 0.1
/* A connection on which nothing came for so long, while replies are due, is closed. */
#define SILENT_S 1

/* A request whose reply is waited for. */
struct awaited_reply {
	uint64_t id;
	double deadline;
	ws_peer_done_fn on_reply;
	void *context;
	struct awaited_reply *next;
};

struct connection {
	struct ws_peers *peers;
	int fd; /* -1: closed */
	bool connected;
	ev_io readable, writable;
	uint8_t *in, *out;
	size_t in_length, in_capacity, out_length, out_capacity;
	struct connection *next;
	/* of an accepted one: */
	uint64_t id;
	/* of one to a peer: */
	const struct ws_endpoint *peer; /* NULL: accepted */
	struct awaited_reply *awaited;
	double heard, failed, opened; /* when that was last */
};

struct ws_peers {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	int fd;
	ev_io acceptable;
	ev_timer timer;
	ws_peer_ask_fn on_request;
	void *context;
	uint64_t last_id;
	struct connection *accepted;
	struct connection *closed; /* accepted ones, to be freed by the timer */
	int accepted_count;
	struct connection to_peers[WS_MAX_PEERS];
	size_t turn; /* the peer that "any" is looked for from */
};

/* ---- awaited replies ---- */

/* Ends requests without a reply. */
static void end_unanswered(struct awaited_reply *list)
{
	while (list) {
		struct awaited_reply *next = list->next;

		list->on_reply(list->context, NULL);
		free(list);
		list = next;
	}
}

/* Takes one out; NULL: it is not waited for (any more). */
static struct awaited_reply *take_awaited(struct connection *connection, uint64_t id)
{
	struct awaited_reply **link = &connection->awaited;
	struct awaited_reply *found;

	while (*link && (*link)->id != id)
		link = &(*link)->next;
	found = *link;
	if (found)
		*link = found->next;
	return found;
}

/* Takes those out that are past their time; the last one is the list's first. */
static struct awaited_reply *take_late(struct connection *connection, double now)
{
	struct awaited_reply **link = &connection->awaited;
	struct awaited_reply *late = NULL, *awaited;

	while ((awaited = *link)) {
		if (awaited->deadline > now) {
			link = &awaited->next;
			continue;
		}
		*link = awaited->next;
		awaited->next = late;
		late = awaited;
	}
	return late;
}

/* ---- the end of a connection ---- */

/* An accepted one is freed by the timer: it may be on the stack now. */
static void move_to_closed(struct connection *connection)
{
	struct ws_peers *peers = connection->peers;
	struct connection **link = &peers->accepted;

	while (*link && *link != connection)
		link = &(*link)->next;
	if (*link)
		*link = connection->next;
	peers->accepted_count--;
	connection->next = peers->closed;
	peers->closed = connection;
}

static void close_connection(struct connection *connection)
{
	struct awaited_reply *awaited = connection->awaited;

	if (connection->fd < 0)
		return;
	ev_io_stop(connection->peers->loop, &connection->readable);
	ev_io_stop(connection->peers->loop, &connection->writable);
	close(connection->fd);
	connection->fd = -1;
	connection->connected = false;
	connection->in_length = connection->out_length = 0;
	connection->failed = ws_now();
	connection->awaited = NULL;
	end_unanswered(awaited);
	if (!connection->peer)
		move_to_closed(connection);
}

/* ---- sending ---- */

static void write_out(struct connection *connection)
{
	struct ev_loop *loop = connection->peers->loop;
	size_t sent = 0;

	while (connection->connected && sent < connection->out_length) {
		ssize_t count = send(connection->fd, connection->out + sent,
				     connection->out_length - sent, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && ws_socket_would_block())
			break;
		if (count <= 0) {
			close_connection(connection);
			return;
		}
		sent += (size_t)count;
	}
	if (sent) {
		memmove(connection->out, connection->out + sent, connection->out_length - sent);
		connection->out_length -= sent;
	}
	if (connection->out_length || !connection->connected)
		ev_io_start(loop, &connection->writable);
	else
		ev_io_stop(loop, &connection->writable);
}

/* Room for so many bytes to send; false without memory. */
static bool reserve_out(struct connection *connection, size_t capacity)
{
	uint8_t *grown;

	if (capacity <= connection->out_capacity)
		return true;
	grown = realloc(connection->out, capacity);
	if (!grown)
		return false;
	connection->out = grown;
	connection->out_capacity = capacity;
	return true;
}

/* Sends a frame; false: it is too long, too much waits, or the connection is closed. */
static bool send_frame(struct connection *connection, Ws__PeerFrame *frame)
{
	size_t length = ws__peer_frame__get_packed_size(frame);
	uint32_t network_length = htonl((uint32_t)length);
	size_t after = connection->out_length + length + LENGTH_SIZE;
	uint8_t *to;

	if (connection->fd < 0 || length > FRAME_MAX || after > OUT_MAX ||
	    !reserve_out(connection, after))
		return false;
	to = connection->out + connection->out_length;
	memcpy(to, &network_length, LENGTH_SIZE);
	ws__peer_frame__pack(frame, to + LENGTH_SIZE);
	connection->out_length = after;
	write_out(connection);
	return true;
}

/* ---- receiving ---- */

static void handle_frame(struct connection *connection, const Ws__PeerFrame *frame)
{
	struct ws_peers *peers = connection->peers;
	struct awaited_reply *awaited;

	if (!connection->peer) {
		if (frame->kind != WS__PEER_FRAME__KIND__REPLY)
			peers->on_request(peers->context, connection->id, frame);
		return;
	}
	connection->heard = ws_now();
	awaited = take_awaited(connection, frame->id);
	if (!awaited)
		return;
	awaited->on_reply(awaited->context, frame);
	free(awaited);
}

/* Takes the next whole frame in; false: there is none yet, or the connection was closed. */
static bool take_frame(struct connection *connection)
{
	Ws__PeerFrame *frame;
	uint32_t length;

	if (connection->fd < 0 || connection->in_length < LENGTH_SIZE)
		return false;
	memcpy(&length, connection->in, LENGTH_SIZE);
	length = ntohl(length);
	if (length > FRAME_MAX) {
		ws_logf(WS_LOG_ERROR, "oversized peer frame refused bytes=%u", length);
		close_connection(connection);
		return false;
	}
	if (connection->in_length < length + LENGTH_SIZE)
		return false;
	frame = ws__peer_frame__unpack(NULL, length, connection->in + LENGTH_SIZE);
	connection->in_length -= LENGTH_SIZE + length;
	memmove(connection->in, connection->in + LENGTH_SIZE + length, connection->in_length);
	if (!frame) { /* not ours, or garbled */
		ws_logf(WS_LOG_ERROR, "unreadable peer frame refused bytes=%u", length);
		close_connection(connection);
		return false;
	}
	handle_frame(connection, frame);
	ws__peer_frame__free_unpacked(frame, NULL);
	return true;
}

/* Room for the next bytes; false without memory. */
static bool reserve_in(struct connection *connection)
{
	uint8_t *grown;

	if (connection->in_capacity - connection->in_length >= READ_SIZE_LEAST)
		return true;
	grown = realloc(connection->in, connection->in_capacity + READ_BUFFER_STEP);
	if (!grown)
		return false;
	connection->in = grown;
	connection->in_capacity += READ_BUFFER_STEP;
	return true;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;
	ssize_t count;

	(void)loop;
	(void)events;
	if (!reserve_in(connection)) {
		close_connection(connection);
		return;
	}
	if (!ws_socket_receive(connection->fd, connection->in + connection->in_length,
			       connection->in_capacity - connection->in_length, &count))
		return;
	if (count <= 0) {
		close_connection(connection);
		return;
	}
	connection->in_length += (size_t)count;
	while (take_frame(connection))
		;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;

	(void)events;
	if (!connection->connected) {
		if (!ws_socket_connected(connection->fd)) {
			close_connection(connection);
			return;
		}
		connection->connected = true;
		ev_io_start(loop, &connection->readable);
	}
	write_out(connection);
}

/* ---- connecting and accepting ---- */

static void start(struct connection *connection, struct ws_peers *peers, int socket_fd)
{
	ws_socket_no_delay(socket_fd);
	connection->peers = peers;
	connection->fd = socket_fd;
	connection->opened = ws_now();
	ev_io_init(&connection->readable, on_readable, socket_fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, socket_fd, EV_WRITE);
	connection->readable.data = connection->writable.data = connection;
}

/* Has a connection to a peer, which may still be under way; false: it can't be opened. */
static bool open_connection(struct connection *connection)
{
	struct sockaddr_in address;
	int socket_fd;

	if (connection->fd >= 0)
		return true;
	socket_fd = ws_socket_open();
	if (socket_fd < 0)
		return false;
	address = ws_socket_address(connection->peer->host, connection->peer->port);
	if (!ws_socket_connect(socket_fd, &address)) {
		connection->failed = ws_now();
		return false;
	}
	start(connection, connection->peers, socket_fd);
	ev_io_start(connection->peers->loop, &connection->writable);
	return true;
}

/* False: there are too many, or no memory. */
static bool add_accepted(struct ws_peers *peers, int socket_fd)
{
	struct connection *connection;

	if (peers->accepted_count >= (int)peers->settings->peer_count * ACCEPTED_PER_PEER)
		return false;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		return false;
	start(connection, peers, socket_fd);
	connection->connected = true;
	connection->id = ++peers->last_id;
	connection->next = peers->accepted;
	peers->accepted = connection;
	peers->accepted_count++;
	ev_io_start(peers->loop, &connection->readable);
	return true;
}

static void on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct ws_peers *peers = watcher->data;
	int socket_fd;

	(void)loop;
	(void)events;
	while ((socket_fd = ws_socket_accept(peers->fd)) >= 0)
		if (!add_accepted(peers, socket_fd))
			close(socket_fd);
}

/* ---- timeouts ---- */

static void free_closed(struct ws_peers *peers)
{
	while (peers->closed) {
		struct connection *connection = peers->closed;

		peers->closed = connection->next;
		free(connection->in);
		free(connection->out);
		free(connection);
	}
}

static void end_late(struct connection *connection, double now)
{
	struct awaited_reply *late = take_late(connection, now);

	if (late && connection->fd >= 0 && now - connection->heard > SILENT_S &&
	    now - connection->opened > SILENT_S)
		close_connection(connection); /* a new connection may fare better */
	end_unanswered(late);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_peers *peers = watcher->data;
	double now = ws_now();

	(void)loop;
	(void)events;
	free_closed(peers);
	for (size_t i = 0; i < peers->settings->peer_count; i++)
		end_late(&peers->to_peers[i], now);
}

/* ---- all peers ---- */

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_ask_fn on_request, void *context, char *error,
			      size_t error_size)
{
	struct ws_peers *peers = calloc(1, sizeof(*peers));
	int port = settings->peer_bind.port;

	if (!peers)
		return NULL;
	peers->fd = ws_socket_listen(settings->peer_bind.host, &port, BACKLOG, error, error_size);
	if (peers->fd < 0) {
		free(peers);
		return NULL;
	}
	peers->loop = loop;
	peers->settings = settings;
	peers->on_request = on_request;
	peers->context = context;
	for (size_t i = 0; i < settings->peer_count; i++) {
		peers->to_peers[i].fd = -1;
		peers->to_peers[i].peers = peers;
		peers->to_peers[i].peer = &settings->peers[i];
	}
	ev_io_init(&peers->acceptable, on_acceptable, peers->fd, EV_READ);
	peers->acceptable.data = peers;
	ev_io_start(loop, &peers->acceptable);
	ev_timer_init(&peers->timer, on_timer, TIMER_S, TIMER_S);
	peers->timer.data = peers;
	ev_timer_start(loop, &peers->timer);
	return peers;
}

/* Whether the last answer came later after the last failure than with the other peer. */
static bool fared_better(const struct connection *connection, const struct connection *other)
{
	return connection->heard - connection->failed > other->heard - other->failed;
}

/* The connection to a node, or with "" to the peer that fared best; NULL: there is none. */
static struct connection *choose(struct ws_peers *peers, const char *node)
{
	size_t count = peers->settings->peer_count;
	struct connection *chosen = NULL;

	for (size_t i = 0; i < count; i++) {
		struct connection *connection = &peers->to_peers[(i + peers->turn) % count];
		bool fits = node[0] ? !strcmp(connection->peer->node, node)
				    : !chosen || fared_better(connection, chosen);

		if (fits)
			chosen = connection;
	}
	peers->turn++;
	return chosen;
}

bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_done_fn on_reply, void *context)
{
	struct connection *connection = choose(peers, node);
	struct awaited_reply *awaited;

	if (!connection || !open_connection(connection))
		return false;
	awaited = calloc(1, sizeof(*awaited));
	if (!awaited)
		return false;
	frame->id = awaited->id = ++peers->last_id;
	awaited->deadline = ws_now() + timeout_s;
	awaited->on_reply = on_reply;
	awaited->context = context;
	awaited->next = connection->awaited;
	connection->awaited = awaited;
	if (send_frame(connection, frame))
		return true;
	free(take_awaited(connection, awaited->id));
	return false;
}

void ws_peers_reply(struct ws_peers *peers, uint64_t connection, Ws__PeerFrame *frame)
{
	for (struct connection *to = peers->accepted; to; to = to->next)
		if (to->id == connection) {
			send_frame(to, frame);
			return;
		}
}

void ws_peers_free(struct ws_peers *peers)
{
	if (!peers)
		return;
	for (size_t i = 0; i < peers->settings->peer_count; i++) {
		close_connection(&peers->to_peers[i]);
		free(peers->to_peers[i].in);
		free(peers->to_peers[i].out);
	}
	while (peers->accepted)
		close_connection(peers->accepted);
	on_timer(peers->loop, &peers->timer, 0);
	ev_io_stop(peers->loop, &peers->acceptable);
	ev_timer_stop(peers->loop, &peers->timer);
	close(peers->fd);
	free(peers);
}
