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
/* The maximum number of unsent bytes of a connection. */
#define OUTPUT_MAX ((size_t)1024 * 1024)
/* Bytes of the length prefix of a frame, which is in network byte order. */
#define LENGTH_PREFIX_SIZE 4
#define READ_SIZE_MIN 16384
#define READ_BUFFER_STEP 32768
#define LISTEN_BACKLOG 64
/* A peer uses one connection; more may be left over from before its restarts. */
#define ACCEPTED_PER_PEER 8
#define TIMER_INTERVAL_S 0.1
/* A connection is closed if a request times out on it and no reply arrived for this time. */
#define NO_REPLY_TIMEOUT_S 1

/* A request that awaits its reply. */
struct pending_reply {
	uint64_t id;
	double deadline;
	ws_peer_reply_fn on_reply;
	void *context;
	struct pending_reply *next;
};

struct connection {
	struct ws_peers *peers;
	int fd; /* -1: closed */
	bool connected;
	ev_io readable, writable;
	uint8_t *in, *out;
	size_t in_length, in_capacity, out_length, out_capacity;
	struct connection *next;
	/* accepted connections only: */
	uint64_t id;
	/* outgoing connections only: */
	const struct ws_endpoint *peer; /* NULL: an accepted connection */
	struct pending_reply *pending;
	double last_reply, last_failure, last_opened; /* times; a close counts as failure */
};

struct ws_peers {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	int fd;
	ev_io acceptable;
	ev_timer timer;
	ws_peer_request_fn on_request;
	void *context;
	uint64_t last_id;
	struct connection *accepted;
	struct connection *closed; /* accepted connections, to be freed by the timer */
	int accepted_count;
	struct connection to_peers[WS_MAX_PEERS];
	size_t first_choice; /* where choose_connection() starts; rotates to spread requests */
};

/* ---- pending replies ---- */

/* Completes requests without a reply. */
static void end_without_reply(struct pending_reply *list)
{
	while (list) {
		struct pending_reply *next = list->next;

		list->on_reply(list->context, NULL);
		free(list);
		list = next;
	}
}

/* Removes a pending reply by its id. Returns NULL if there is none, or if it has timed out. */
static struct pending_reply *remove_pending(struct connection *connection, uint64_t id)
{
	struct pending_reply **link = &connection->pending;
	struct pending_reply *found;

	while (*link && (*link)->id != id)
		link = &(*link)->next;
	found = *link;
	if (found)
		*link = found->next;
	return found;
}

/* Removes the timed-out pending replies and returns them as a list in reverse order. */
static struct pending_reply *remove_timed_out(struct connection *connection, double now)
{
	struct pending_reply **link = &connection->pending;
	struct pending_reply *timed_out = NULL, *pending;

	while ((pending = *link)) {
		if (pending->deadline > now) {
			link = &pending->next;
			continue;
		}
		*link = pending->next;
		pending->next = timed_out;
		timed_out = pending;
	}
	return timed_out;
}

/* ---- closing connections ---- */

/* An accepted connection is freed by the timer, because its callback may be on the call stack. */
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
	struct pending_reply *pending = connection->pending;

	if (connection->fd < 0)
		return;
	ev_io_stop(connection->peers->loop, &connection->readable);
	ev_io_stop(connection->peers->loop, &connection->writable);
	close(connection->fd);
	connection->fd = -1;
	connection->connected = false;
	connection->in_length = connection->out_length = 0;
	connection->last_failure = ws_now();
	connection->pending = NULL;
	end_without_reply(pending);
	if (!connection->peer)
		move_to_closed(connection);
}

/* ---- sending ---- */

static void flush_output(struct connection *connection)
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

/* Grows the output buffer to a capacity. Returns false if memory is exhausted. */
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

/* Sends a frame. Returns false if the frame is too long, the output buffer is full, memory is
 * exhausted or the connection is closed. */
static bool send_frame(struct connection *connection, Ws__PeerFrame *frame)
{
	size_t length = ws__peer_frame__get_packed_size(frame);
	uint32_t network_length = htonl((uint32_t)length);
	size_t out_length = connection->out_length + length + LENGTH_PREFIX_SIZE;
	uint8_t *target;

	if (connection->fd < 0 || length > FRAME_MAX || out_length > OUTPUT_MAX ||
	    !reserve_out(connection, out_length))
		return false;
	target = connection->out + connection->out_length;
	memcpy(target, &network_length, LENGTH_PREFIX_SIZE);
	ws__peer_frame__pack(frame, target + LENGTH_PREFIX_SIZE);
	connection->out_length = out_length;
	flush_output(connection);
	return true;
}

/* ---- receiving ---- */

static void handle_frame(struct connection *connection, const Ws__PeerFrame *frame)
{
	struct ws_peers *peers = connection->peers;
	struct pending_reply *pending;

	if (!connection->peer) {
		if (frame->kind != WS__PEER_FRAME__KIND__REPLY)
			peers->on_request(peers->context, connection->id, frame);
		return;
	}
	connection->last_reply = ws_now();
	pending = remove_pending(connection, frame->id);
	if (!pending)
		return;
	pending->on_reply(pending->context, frame);
	free(pending);
}

/* Handles the next complete frame. Returns false if there is none or the connection is closed. */
static bool process_next_frame(struct connection *connection)
{
	Ws__PeerFrame *frame;
	uint32_t length;

	if (connection->fd < 0 || connection->in_length < LENGTH_PREFIX_SIZE)
		return false;
	memcpy(&length, connection->in, LENGTH_PREFIX_SIZE);
	length = ntohl(length);
	if (length > FRAME_MAX) {
		ws_logf(WS_LOG_ERROR, "oversized peer frame rejected bytes=%u", length);
		close_connection(connection);
		return false;
	}
	if (connection->in_length < length + LENGTH_PREFIX_SIZE)
		return false;
	frame = ws__peer_frame__unpack(NULL, length, connection->in + LENGTH_PREFIX_SIZE);
	connection->in_length -= LENGTH_PREFIX_SIZE + length;
	memmove(connection->in, connection->in + LENGTH_PREFIX_SIZE + length,
		connection->in_length);
	if (!frame) { /* no valid PeerFrame */
		ws_logf(WS_LOG_ERROR, "malformed peer frame rejected bytes=%u", length);
		close_connection(connection);
		return false;
	}
	handle_frame(connection, frame);
	ws__peer_frame__free_unpacked(frame, NULL);
	return true;
}

/* Makes room to receive. Returns false if memory is exhausted. */
static bool reserve_in(struct connection *connection)
{
	uint8_t *grown;

	if (connection->in_capacity - connection->in_length >= READ_SIZE_MIN)
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
	while (process_next_frame(connection))
		;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;

	(void)events;
	if (!connection->connected) {
		if (!ws_socket_connect_succeeded(connection->fd)) {
			close_connection(connection);
			return;
		}
		connection->connected = true;
		ev_io_start(loop, &connection->readable);
	}
	flush_output(connection);
}

/* ---- connecting and accepting ---- */

static void init_connection(struct connection *connection, struct ws_peers *peers, int socket_fd)
{
	ws_socket_set_no_delay(socket_fd);
	connection->peers = peers;
	connection->fd = socket_fd;
	connection->last_opened = ws_now();
	ev_io_init(&connection->readable, on_readable, socket_fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, socket_fd, EV_WRITE);
	connection->readable.data = connection->writable.data = connection;
}

/* Opens a connection to a peer unless it is open or being opened. Returns false on failure. */
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
		connection->last_failure = ws_now();
		return false;
	}
	init_connection(connection, connection->peers, socket_fd);
	ev_io_start(connection->peers->loop, &connection->writable);
	return true;
}

/* Returns false if there are too many connections or memory is exhausted. */
static bool add_accepted(struct ws_peers *peers, int socket_fd)
{
	struct connection *connection;

	if (peers->accepted_count >= (int)peers->settings->peer_count * ACCEPTED_PER_PEER)
		return false;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		return false;
	init_connection(connection, peers, socket_fd);
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

static void handle_timeouts(struct connection *connection, double now)
{
	struct pending_reply *timed_out = remove_timed_out(connection, now);

	if (timed_out && connection->fd >= 0 && now - connection->last_reply > NO_REPLY_TIMEOUT_S &&
	    now - connection->last_opened > NO_REPLY_TIMEOUT_S)
		close_connection(connection); /* the next request opens a new one */
	end_without_reply(timed_out);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_peers *peers = watcher->data;
	double now = ws_now();

	(void)loop;
	(void)events;
	free_closed(peers);
	for (size_t i = 0; i < peers->settings->peer_count; i++)
		handle_timeouts(&peers->to_peers[i], now);
}

/* ---- all peers ---- */

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_request_fn on_request, void *context, char *error,
			      size_t error_size)
{
	struct ws_peers *peers = calloc(1, sizeof(*peers));
	int port = settings->peer_bind.port;

	if (!peers)
		return NULL;
	peers->fd =
	    ws_socket_listen(settings->peer_bind.host, &port, LISTEN_BACKLOG, error, error_size);
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
	ev_timer_init(&peers->timer, on_timer, TIMER_INTERVAL_S, TIMER_INTERVAL_S);
	peers->timer.data = peers;
	ev_timer_start(loop, &peers->timer);
	return peers;
}

/* Compares the time of the last reply relative to the last failure; the higher value is better. */
static bool is_more_responsive(const struct connection *connection, const struct connection *other)
{
	return connection->last_reply - connection->last_failure >
	       other->last_reply - other->last_failure;
}

/* Returns the connection to a node, or with "" that to the most responsive peer. Returns NULL if
 * there is no such node. */
static struct connection *choose_connection(struct ws_peers *peers, const char *node)
{
	size_t count = peers->settings->peer_count;
	struct connection *chosen = NULL;

	for (size_t i = 0; i < count; i++) {
		struct connection *connection = &peers->to_peers[(i + peers->first_choice) % count];
		bool fits = node[0] ? !strcmp(connection->peer->node, node)
				    : !chosen || is_more_responsive(connection, chosen);

		if (fits)
			chosen = connection;
	}
	peers->first_choice++;
	return chosen;
}

bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_reply_fn on_reply, void *context)
{
	struct connection *connection = choose_connection(peers, node);
	struct pending_reply *pending;

	if (!connection || !open_connection(connection))
		return false;
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		return false;
	frame->id = pending->id = ++peers->last_id;
	pending->deadline = ws_now() + timeout_s;
	pending->on_reply = on_reply;
	pending->context = context;
	pending->next = connection->pending;
	connection->pending = pending;
	if (send_frame(connection, frame))
		return true;
	free(remove_pending(connection, pending->id));
	return false;
}

void ws_peers_reply(struct ws_peers *peers, uint64_t connection, Ws__PeerFrame *frame)
{
	for (struct connection *target = peers->accepted; target; target = target->next)
		if (target->id == connection) {
			send_frame(target, frame);
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
