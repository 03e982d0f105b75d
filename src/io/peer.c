#include "peer.h"
#include "../log.h"
#include "codec.h"
#include "http.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WS_FRAME_MAX ((size_t)160 * 1024)
#define WS_OUT_MAX ((size_t)1024 * 1024)

struct ws_peer_request {
	uint64_t id;
	double deadline;
	ws_peer_done_fn callback;
	void *context;
	struct ws_peer_request *next;
};

struct ws_peer_connection {
	struct ws_peers *peers;
	int fd; /* -1: closed */
	bool connected;
	ev_io read_watcher, write_watcher;
	uint8_t *input, *output;
	size_t input_length, input_capacity, output_length, output_capacity;
	uint64_t id; /* of an accepted pipe */
	struct ws_peer_connection *next;
	/* of a pipe to a peer */
	const struct ws_endpoint *endpoint;
	struct ws_peer_request *requests;
	double heard, failed, opened;
};

struct ws_peers {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	int fd;
	ev_io accept_watcher;
	ev_timer timer;
	ws_peer_ask_fn callback;
	void *context;
	uint64_t next_id;
	struct ws_peer_connection *accepted, *dead;
	int naccepted;
	struct ws_peer_connection connections[WS_MAX_PEERS];
	size_t turn;
};

static void ws_pipe_close(struct ws_peer_connection *pipe)
{
	struct ws_peer_request *wait;

	if (pipe->fd < 0)
		return;
	ev_io_stop(pipe->peers->loop, &pipe->read_watcher);
	ev_io_stop(pipe->peers->loop, &pipe->write_watcher);
	close(pipe->fd);
	pipe->fd = -1;
	pipe->connected = false;
	pipe->input_length = pipe->output_length = 0;
	pipe->failed = ws_now();
	wait = pipe->requests;
	pipe->requests = NULL;
	while (wait) {
		struct ws_peer_request *next_wait = wait->next;

		wait->callback(wait->context, NULL);
		free(wait);
		wait = next_wait;
	}
	if (!pipe->endpoint) { /* freed by the timer: it may be on the stack now */
		struct ws_peer_connection **pipe_link = &pipe->peers->accepted;

		while (*pipe_link && *pipe_link != pipe)
			pipe_link = &(*pipe_link)->next;
		if (*pipe_link)
			*pipe_link = pipe->next;
		pipe->peers->naccepted--;
		pipe->next = pipe->peers->dead;
		pipe->peers->dead = pipe;
	}
}

static void ws_pipe_flush(struct ws_peer_connection *pipe)
{
	size_t sent = 0;

	while (pipe->connected && sent < pipe->output_length) {
		ssize_t n =
		    send(pipe->fd, pipe->output + sent, pipe->output_length - sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			ws_pipe_close(pipe);
			return;
		}
		sent += (size_t)n;
	}
	if (sent) {
		memmove(pipe->output, pipe->output + sent, pipe->output_length - sent);
		pipe->output_length -= sent;
	}
	if (pipe->output_length || !pipe->connected)
		ev_io_start(pipe->peers->loop, &pipe->write_watcher);
	else
		ev_io_stop(pipe->peers->loop, &pipe->write_watcher);
}

static bool ws_pipe_frame(struct ws_peer_connection *pipe, Ws__PeerFrame *frame)
{
	size_t n = ws__peer_frame__get_packed_size(frame);
	uint32_t be = htonl((uint32_t)n);

	if (pipe->fd < 0 || n > WS_FRAME_MAX || pipe->output_length + n + 4 > WS_OUT_MAX)
		return false;
	if (pipe->output_length + n + 4 > pipe->output_capacity) {
		uint8_t *q = realloc(pipe->output, pipe->output_length + n + 4);

		if (!q)
			return false;
		pipe->output = q;
		pipe->output_capacity = pipe->output_length + n + 4;
	}
	memcpy(pipe->output + pipe->output_length, &be, 4);
	ws__peer_frame__pack(frame, pipe->output + pipe->output_length + 4);
	pipe->output_length += n + 4;
	ws_pipe_flush(pipe);
	return true;
}

static void ws_pipe_got(struct ws_peer_connection *pipe, const Ws__PeerFrame *frame)
{
	if (!pipe->endpoint) {
		if (frame->kind != WS__PEER_FRAME__KIND__REPLY)
			pipe->peers->callback(pipe->peers->context, pipe->id, frame);
		return;
	}
	pipe->heard = ws_now();
	for (struct ws_peer_request **wait_link = &pipe->requests, *wait; (wait = *wait_link);
	     wait_link = &wait->next)
		if (wait->id == frame->id) {
			*wait_link = wait->next;
			wait->callback(wait->context, frame);
			free(wait);
			return;
		}
}

static void ws_pipe_readable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_peer_connection *pipe = watcher->data;
	ssize_t n;

	(void)loop;
	(void)revents;
	if (pipe->input_capacity - pipe->input_length < 16384) {
		uint8_t *q = realloc(pipe->input, pipe->input_capacity + 32768);

		if (!q) {
			ws_pipe_close(pipe);
			return;
		}
		pipe->input = q;
		pipe->input_capacity += 32768;
	}
	n = recv(pipe->fd, pipe->input + pipe->input_length,
		 pipe->input_capacity - pipe->input_length, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ws_pipe_close(pipe);
		return;
	}
	pipe->input_length += (size_t)n;
	while (pipe->fd >= 0 && pipe->input_length >= 4) {
		uint32_t be, len;
		Ws__PeerFrame *frame;

		memcpy(&be, pipe->input, 4);
		len = ntohl(be);
		if (len > WS_FRAME_MAX) {
			ws_logf(WS_LOG_ERROR, "a peer's frame of %u bytes is refused", len);
			ws_pipe_close(pipe);
			return;
		}
		if (pipe->input_length < len + 4)
			return;
		frame = ws__peer_frame__unpack(NULL, len, pipe->input + 4);
		memmove(pipe->input, pipe->input + 4 + len, pipe->input_length - 4 - len);
		pipe->input_length -= 4 + len;
		if (!frame) { /* not ours, or garbled */
			ws_logf(WS_LOG_ERROR, "a peer's frame of %u bytes can't be read", len);
			ws_pipe_close(pipe);
			return;
		}
		ws_pipe_got(pipe, frame);
		ws__peer_frame__free_unpacked(frame, NULL);
	}
}

static void ws_pipe_writable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_peer_connection *pipe = watcher->data;
	int e = 0;
	socklen_t n = sizeof(e);

	(void)loop;
	(void)revents;
	if (!pipe->connected) {
		getsockopt(pipe->fd, SOL_SOCKET, SO_ERROR, &e, &n);
		if (e) {
			ws_pipe_close(pipe);
			return;
		}
		pipe->connected = true;
		ev_io_start(pipe->peers->loop, &pipe->read_watcher);
	}
	ws_pipe_flush(pipe);
}

static void ws_pipe_start(struct ws_peer_connection *pipe, struct ws_peers *peers, int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pipe->peers = peers;
	pipe->fd = fd;
	pipe->opened = ws_now();
	ev_io_init(&pipe->read_watcher, ws_pipe_readable, fd, EV_READ);
	ev_io_init(&pipe->write_watcher, ws_pipe_writable, fd, EV_WRITE);
	pipe->read_watcher.data = pipe->write_watcher.data = pipe;
}

static bool ws_pipe_open(struct ws_peer_connection *pipe)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)pipe->endpoint->port)};
	int fd;

	if (pipe->fd >= 0)
		return true;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	inet_pton(AF_INET, pipe->endpoint->host, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) && errno != EINPROGRESS) {
		close(fd);
		pipe->failed = ws_now();
		return false;
	}
	ws_pipe_start(pipe, pipe->peers, fd);
	ev_io_start(pipe->peers->loop, &pipe->write_watcher);
	return true;
}

static void ws_peers_accept(struct ev_loop *loop, ev_io *watcher, int revents)
{
	struct ws_peers *peers = watcher->data;
	int fd;

	(void)revents;
	while ((fd = accept4(peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct ws_peer_connection *pipe;

		/* a peer keeps one pipe; a few more may be left over from its earlier lives */
		if (peers->naccepted >= (int)peers->settings->peer_count * 8 ||
		    !(pipe = calloc(1, sizeof(*pipe)))) {
			close(fd);
			continue;
		}
		ws_pipe_start(pipe, peers, fd);
		pipe->connected = true;
		pipe->id = ++peers->next_id;
		pipe->next = peers->accepted;
		peers->accepted = pipe;
		peers->naccepted++;
		ev_io_start(loop, &pipe->read_watcher);
	}
}

static void ws_peers_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	struct ws_peers *peers = watcher->data;
	double now = ws_now();

	(void)loop;
	(void)revents;
	while (peers->dead) {
		struct ws_peer_connection *pipe = peers->dead;

		peers->dead = pipe->next;
		free(pipe->input);
		free(pipe->output);
		free(pipe);
	}
	for (size_t i = 0; i < peers->settings->peer_count; i++) {
		struct ws_peer_connection *other_pipe = &peers->connections[i];
		struct ws_peer_request *late = NULL, *wait;

		for (struct ws_peer_request **wait_link = &other_pipe->requests;
		     (wait = *wait_link);) {
			if (wait->deadline > now) {
				wait_link = &wait->next;
				continue;
			}
			*wait_link = wait->next;
			wait->next = late;
			late = wait;
		}
		if (late && other_pipe->fd >= 0 && now - other_pipe->heard > 1 &&
		    now - other_pipe->opened > 1)
			ws_pipe_close(other_pipe); /* silent: a new connection may fare better */
		while ((wait = late)) {
			late = wait->next;
			wait->callback(wait->context, NULL);
			free(wait);
		}
	}
}

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *settings,
			      ws_peer_ask_fn callback, void *ctx, char *err, size_t size)
{
	struct ws_peers *peers = calloc(1, sizeof(*peers));
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)settings->peer_bind.port)};
	int one = 1;

	if (!peers)
		return NULL;
	peers->loop = loop;
	peers->settings = settings;
	peers->callback = callback;
	peers->context = ctx;
	for (size_t i = 0; i < settings->peer_count; i++) {
		peers->connections[i].fd = -1;
		peers->connections[i].peers = peers;
		peers->connections[i].endpoint = &settings->peers[i];
	}
	inet_pton(AF_INET, settings->peer_bind.host, &a.sin_addr);
	peers->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(peers->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (peers->fd < 0 || bind(peers->fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(peers->fd, 64)) {
		snprintf(err, size, "can't listen on %s:%d: %s", settings->peer_bind.host,
			 settings->peer_bind.port, strerror(errno));
		if (peers->fd >= 0)
			close(peers->fd);
		free(peers);
		return NULL;
	}
	ev_io_init(&peers->accept_watcher, ws_peers_accept, peers->fd, EV_READ);
	peers->accept_watcher.data = peers;
	ev_io_start(loop, &peers->accept_watcher);
	ev_timer_init(&peers->timer, ws_peers_timer, 0.1, 0.1);
	peers->timer.data = peers;
	ev_timer_start(loop, &peers->timer);
	return peers;
}

bool ws_peers_send(struct ws_peers *peers, const char *node, Ws__PeerFrame *frame, double timeout_s,
		   ws_peer_done_fn callback, void *ctx)
{
	struct ws_peer_connection *pipe = NULL;
	struct ws_peer_request *wait;

	for (size_t i = 0; i < peers->settings->peer_count; i++) {
		struct ws_peer_connection *other_pipe =
		    &peers->connections[(i + peers->turn) % peers->settings->peer_count];

		if (node[0] ? strcmp(other_pipe->endpoint->node, node)
			    : pipe && pipe->heard - pipe->failed >=
					  other_pipe->heard - other_pipe->failed)
			continue;
		pipe = other_pipe;
	}
	peers->turn++;
	if (!pipe || !ws_pipe_open(pipe))
		return false;
	wait = calloc(1, sizeof(*wait));
	if (!wait)
		return false;
	frame->id = wait->id = ++peers->next_id;
	wait->deadline = ws_now() + timeout_s;
	wait->callback = callback;
	wait->context = ctx;
	wait->next = pipe->requests;
	pipe->requests = wait;
	if (!ws_pipe_frame(pipe, frame)) {
		for (struct ws_peer_request **wait_link = &pipe->requests; *wait_link;
		     wait_link = &(*wait_link)->next)
			if (*wait_link == wait) {
				*wait_link = wait->next;
				free(wait);
				break;
			}
		return false;
	}
	return true;
}

void ws_peers_reply(struct ws_peers *peers, uint64_t from, Ws__PeerFrame *frame)
{
	for (struct ws_peer_connection *pipe = peers->accepted; pipe; pipe = pipe->next)
		if (pipe->id == from) {
			ws_pipe_frame(pipe, frame);
			return;
		}
}

void ws_peers_free(struct ws_peers *peers)
{
	if (!peers)
		return;
	for (size_t i = 0; i < peers->settings->peer_count; i++) {
		ws_pipe_close(&peers->connections[i]);
		free(peers->connections[i].input);
		free(peers->connections[i].output);
	}
	while (peers->accepted)
		ws_pipe_close(peers->accepted);
	ws_peers_timer(peers->loop, &peers->timer, 0);
	ev_io_stop(peers->loop, &peers->accept_watcher);
	ev_timer_stop(peers->loop, &peers->timer);
	close(peers->fd);
	free(peers);
}

/* ---- outage vote ---- */

void ws_vote_set_question(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_call *call)
{
	frame->kind = WS__PEER_FRAME__KIND__OUTAGE_VOTE;
	frame->vote = vote;
	vote->leader_revision = call->fencing_token;
	vote->since_revision = call->since_revision;
	vote->after_job = call->after;
}

bool ws_vote_read(const Ws__PeerFrame *frame, struct ws_result *result)
{
	const Ws__OutageVote *vote = frame->vote;

	memset(result, 0, sizeof(*result));
	result->status = (int)frame->status;
	if (result->status != 503 || !vote)
		return true; /* no list: nothing is vouched for, whatever the status */
	result->cancellations = calloc(vote->n_cancelled + 1, sizeof(*result->cancellations));
	if (!result->cancellations)
		abort();
	for (size_t i = 0; i < vote->n_cancelled; i++) {
		if (!ws_job_id_ok(vote->cancelled[i]->job)) {
			free(result->cancellations);
			*result = (struct ws_result){.status = 200};
			return false;
		}
		snprintf(result->cancellations[i].job, WS_ID_MAX, "%s", vote->cancelled[i]->job);
		result->cancellations[i].revision = vote->cancelled[i]->revision;
	}
	result->cancellation_count = vote->n_cancelled;
	result->has_more = vote->has_more;
	result->vote_granted = true;
	return true;
}

void ws_vote_set_answer(Ws__PeerFrame *frame, Ws__OutageVote *vote, struct ws_effect *effect)
{
	Ws__Cancellation *list;

	frame->kind = WS__PEER_FRAME__KIND__REPLY;
	frame->status = (uint32_t)effect->status;
	if (!effect->vote_granted)
		return;
	frame->vote = vote;
	vote->has_more = effect->has_more;
	vote->n_cancelled = effect->cancellation_count;
	vote->cancelled = calloc(effect->cancellation_count + 1, sizeof(*vote->cancelled));
	list = calloc(effect->cancellation_count + 1, sizeof(*list));
	if (!vote->cancelled || !list)
		abort();
	for (size_t i = 0; i <= effect->cancellation_count; i++) /* the first one owns them all */
		vote->cancelled[i] = &list[i];
	for (size_t i = 0; i < effect->cancellation_count; i++) {
		ws__cancellation__init(&list[i]);
		list[i].job = effect->cancellations[i].job;
		list[i].revision = effect->cancellations[i].revision;
	}
}

void ws_vote_free(Ws__OutageVote *vote)
{
	if (vote->cancelled)
		free(vote->cancelled[0]);
	free(vote->cancelled);
}
