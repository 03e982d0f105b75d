#include "peer.h"
#include "../log.h"
#include "clock.h"
#include "codec.h"
#include "http_common.h"
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

struct ws_wait {
	uint64_t id;
	double deadline;
	ws_peer_done_fn fn;
	void *ctx;
	struct ws_wait *next;
};

struct ws_pipe {
	struct ws_peers *peers;
	int fd; /* -1: closed */
	bool connected;
	ev_io rd, wr;
	uint8_t *in, *out;
	size_t in_len, in_cap, out_len, out_cap;
	uint64_t id; /* of an accepted pipe */
	struct ws_pipe *next;
	/* of a pipe to a peer */
	const struct ws_endpoint *to;
	struct ws_wait *waits;
	double heard, failed, opened;
};

struct ws_peers {
	struct ev_loop *loop;
	const struct ws_settings *set;
	int fd;
	ev_io rd;
	ev_timer timer;
	ws_peer_ask_fn fn;
	void *ctx;
	uint64_t next_id;
	struct ws_pipe *accepted, *dead;
	int naccepted;
	struct ws_pipe to[WS_MAX_PEERS];
	size_t turn;
};

static void ws_pipe_close(struct ws_pipe *p)
{
	struct ws_wait *w;

	if (p->fd < 0)
		return;
	ev_io_stop(p->peers->loop, &p->rd);
	ev_io_stop(p->peers->loop, &p->wr);
	close(p->fd);
	p->fd = -1;
	p->connected = false;
	p->in_len = p->out_len = 0;
	p->failed = ws_now();
	w = p->waits;
	p->waits = NULL;
	while (w) {
		struct ws_wait *n = w->next;

		w->fn(w->ctx, NULL);
		free(w);
		w = n;
	}
	if (!p->to) { /* freed by the timer: it may be on the stack now */
		struct ws_pipe **q = &p->peers->accepted;

		while (*q && *q != p)
			q = &(*q)->next;
		if (*q)
			*q = p->next;
		p->peers->naccepted--;
		p->next = p->peers->dead;
		p->peers->dead = p;
	}
}

static void ws_pipe_flush(struct ws_pipe *p)
{
	size_t sent = 0;

	while (p->connected && sent < p->out_len) {
		ssize_t n = send(p->fd, p->out + sent, p->out_len - sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			ws_pipe_close(p);
			return;
		}
		sent += (size_t)n;
	}
	if (sent) {
		memmove(p->out, p->out + sent, p->out_len - sent);
		p->out_len -= sent;
	}
	if (p->out_len || !p->connected)
		ev_io_start(p->peers->loop, &p->wr);
	else
		ev_io_stop(p->peers->loop, &p->wr);
}

static bool ws_pipe_frame(struct ws_pipe *p, Ws__PeerFrame *f)
{
	size_t n = ws__peer_frame__get_packed_size(f);
	uint32_t be = htonl((uint32_t)n);

	if (p->fd < 0 || n > WS_FRAME_MAX || p->out_len + n + 4 > WS_OUT_MAX)
		return false;
	if (p->out_len + n + 4 > p->out_cap) {
		uint8_t *q = realloc(p->out, p->out_len + n + 4);

		if (!q)
			return false;
		p->out = q;
		p->out_cap = p->out_len + n + 4;
	}
	memcpy(p->out + p->out_len, &be, 4);
	ws__peer_frame__pack(f, p->out + p->out_len + 4);
	p->out_len += n + 4;
	ws_pipe_flush(p);
	return true;
}

static void ws_pipe_got(struct ws_pipe *p, const Ws__PeerFrame *f)
{
	if (!p->to) {
		if (f->kind != WS__PEER_FRAME__KIND__REPLY)
			p->peers->fn(p->peers->ctx, p->id, f);
		return;
	}
	p->heard = ws_now();
	for (struct ws_wait **w = &p->waits, *x; (x = *w); w = &x->next)
		if (x->id == f->id) {
			*w = x->next;
			x->fn(x->ctx, f);
			free(x);
			return;
		}
}

static void ws_pipe_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_pipe *p = w->data;
	ssize_t n;

	(void)loop;
	(void)revents;
	if (p->in_cap - p->in_len < 16384) {
		uint8_t *q = realloc(p->in, p->in_cap + 32768);

		if (!q) {
			ws_pipe_close(p);
			return;
		}
		p->in = q;
		p->in_cap += 32768;
	}
	n = recv(p->fd, p->in + p->in_len, p->in_cap - p->in_len, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ws_pipe_close(p);
		return;
	}
	p->in_len += (size_t)n;
	while (p->fd >= 0 && p->in_len >= 4) {
		uint32_t be, len;
		Ws__PeerFrame *f;

		memcpy(&be, p->in, 4);
		len = ntohl(be);
		if (len > WS_FRAME_MAX) {
			ws_logf(WS_LOG_ERROR, "a peer's frame of %u bytes is refused", len);
			ws_pipe_close(p);
			return;
		}
		if (p->in_len < len + 4)
			return;
		f = ws__peer_frame__unpack(NULL, len, p->in + 4);
		memmove(p->in, p->in + 4 + len, p->in_len - 4 - len);
		p->in_len -= 4 + len;
		if (!f) { /* not ours, or garbled */
			ws_logf(WS_LOG_ERROR, "a peer's frame of %u bytes can't be read", len);
			ws_pipe_close(p);
			return;
		}
		ws_pipe_got(p, f);
		ws__peer_frame__free_unpacked(f, NULL);
	}
}

static void ws_pipe_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_pipe *p = w->data;
	int e = 0;
	socklen_t n = sizeof(e);

	(void)loop;
	(void)revents;
	if (!p->connected) {
		getsockopt(p->fd, SOL_SOCKET, SO_ERROR, &e, &n);
		if (e) {
			ws_pipe_close(p);
			return;
		}
		p->connected = true;
		ev_io_start(p->peers->loop, &p->rd);
	}
	ws_pipe_flush(p);
}

static void ws_pipe_start(struct ws_pipe *p, struct ws_peers *peers, int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	p->peers = peers;
	p->fd = fd;
	p->opened = ws_now();
	ev_io_init(&p->rd, ws_pipe_readable, fd, EV_READ);
	ev_io_init(&p->wr, ws_pipe_writable, fd, EV_WRITE);
	p->rd.data = p->wr.data = p;
}

static bool ws_pipe_open(struct ws_pipe *p)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)p->to->port)};
	int fd;

	if (p->fd >= 0)
		return true;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	inet_pton(AF_INET, p->to->host, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) && errno != EINPROGRESS) {
		close(fd);
		p->failed = ws_now();
		return false;
	}
	ws_pipe_start(p, p->peers, fd);
	ev_io_start(p->peers->loop, &p->wr);
	return true;
}

static void ws_peers_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_peers *peers = w->data;
	int fd;

	(void)revents;
	while ((fd = accept4(peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct ws_pipe *p;

		/* a peer keeps one pipe; a few more may be left over from its earlier lives */
		if (peers->naccepted >= (int)peers->set->npeers * 8 ||
		    !(p = calloc(1, sizeof(*p)))) {
			close(fd);
			continue;
		}
		ws_pipe_start(p, peers, fd);
		p->connected = true;
		p->id = ++peers->next_id;
		p->next = peers->accepted;
		peers->accepted = p;
		peers->naccepted++;
		ev_io_start(loop, &p->rd);
	}
}

static void ws_peers_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct ws_peers *peers = t->data;
	double now = ws_now();

	(void)loop;
	(void)revents;
	while (peers->dead) {
		struct ws_pipe *p = peers->dead;

		peers->dead = p->next;
		free(p->in);
		free(p->out);
		free(p);
	}
	for (size_t i = 0; i < peers->set->npeers; i++) {
		struct ws_pipe *p = &peers->to[i];
		struct ws_wait *late = NULL, *x;

		for (struct ws_wait **w = &p->waits; (x = *w);) {
			if (x->deadline > now) {
				w = &x->next;
				continue;
			}
			*w = x->next;
			x->next = late;
			late = x;
		}
		if (late && p->fd >= 0 && now - p->heard > 1 && now - p->opened > 1)
			ws_pipe_close(p); /* silent: a new connection may fare better */
		while ((x = late)) {
			late = x->next;
			x->fn(x->ctx, NULL);
			free(x);
		}
	}
}

struct ws_peers *ws_peers_new(struct ev_loop *loop, const struct ws_settings *s, ws_peer_ask_fn fn,
			      void *ctx, char *err, size_t n)
{
	struct ws_peers *p = calloc(1, sizeof(*p));
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)s->peer_bind.port)};
	int one = 1;

	if (!p)
		return NULL;
	p->loop = loop;
	p->set = s;
	p->fn = fn;
	p->ctx = ctx;
	for (size_t i = 0; i < s->npeers; i++) {
		p->to[i].fd = -1;
		p->to[i].peers = p;
		p->to[i].to = &s->peers[i];
	}
	inet_pton(AF_INET, s->peer_bind.host, &a.sin_addr);
	p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(p->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (p->fd < 0 || bind(p->fd, (struct sockaddr *)&a, sizeof(a)) || listen(p->fd, 64)) {
		snprintf(err, n, "can't listen on %s:%d: %s", s->peer_bind.host, s->peer_bind.port,
			 strerror(errno));
		if (p->fd >= 0)
			close(p->fd);
		free(p);
		return NULL;
	}
	ev_io_init(&p->rd, ws_peers_accept, p->fd, EV_READ);
	p->rd.data = p;
	ev_io_start(loop, &p->rd);
	ev_timer_init(&p->timer, ws_peers_timer, 0.1, 0.1);
	p->timer.data = p;
	ev_timer_start(loop, &p->timer);
	return p;
}

bool ws_peers_send(struct ws_peers *p, const char *node, Ws__PeerFrame *f, double timeout_s,
		   ws_peer_done_fn fn, void *ctx)
{
	struct ws_pipe *to = NULL;
	struct ws_wait *w;

	for (size_t i = 0; i < p->set->npeers; i++) {
		struct ws_pipe *x = &p->to[(i + p->turn) % p->set->npeers];

		if (node[0] ? strcmp(x->to->node, node)
			    : to && to->heard - to->failed >= x->heard - x->failed)
			continue;
		to = x;
	}
	p->turn++;
	if (!to || !ws_pipe_open(to))
		return false;
	w = calloc(1, sizeof(*w));
	if (!w)
		return false;
	f->id = w->id = ++p->next_id;
	w->deadline = ws_now() + timeout_s;
	w->fn = fn;
	w->ctx = ctx;
	w->next = to->waits;
	to->waits = w;
	if (!ws_pipe_frame(to, f)) {
		for (struct ws_wait **q = &to->waits; *q; q = &(*q)->next)
			if (*q == w) {
				*q = w->next;
				free(w);
				break;
			}
		return false;
	}
	return true;
}

void ws_peers_reply(struct ws_peers *p, uint64_t from, Ws__PeerFrame *f)
{
	for (struct ws_pipe *x = p->accepted; x; x = x->next)
		if (x->id == from) {
			ws_pipe_frame(x, f);
			return;
		}
}

void ws_peers_free(struct ws_peers *p)
{
	if (!p)
		return;
	for (size_t i = 0; i < p->set->npeers; i++) {
		ws_pipe_close(&p->to[i]);
		free(p->to[i].in);
		free(p->to[i].out);
	}
	while (p->accepted)
		ws_pipe_close(p->accepted);
	ws_peers_timer(p->loop, &p->timer, 0);
	ev_io_stop(p->loop, &p->rd);
	ev_timer_stop(p->loop, &p->timer);
	close(p->fd);
	free(p);
}

/* ---- testimony ---- */

void ws_testimony_ask(Ws__PeerFrame *f, Ws__Testimony *t, struct ws_call *call)
{
	f->kind = WS__PEER_FRAME__KIND__TESTIFY;
	f->testimony = t;
	t->leader = call->epoch;
	t->since = call->since;
	t->after = call->after;
}

bool ws_testimony_read(const Ws__PeerFrame *f, struct ws_result *r)
{
	const Ws__Testimony *t = f->testimony;

	memset(r, 0, sizeof(*r));
	r->status = (int)f->status;
	if (r->status != 503 || !t)
		return true; /* no list: nothing is vouched for, whatever the status */
	r->withdrawn = calloc(t->n_withdrawn + 1, sizeof(*r->withdrawn));
	if (!r->withdrawn)
		abort();
	for (size_t i = 0; i < t->n_withdrawn; i++) {
		if (!ws_job_id_ok(t->withdrawn[i]->job)) {
			free(r->withdrawn);
			*r = (struct ws_result){.status = 200};
			return false;
		}
		snprintf(r->withdrawn[i].job, WS_ID_MAX, "%s", t->withdrawn[i]->job);
		r->withdrawn[i].stamp = t->withdrawn[i]->stamp;
	}
	r->nwithdrawn = t->n_withdrawn;
	r->more = t->more;
	r->vouched = true;
	return true;
}

void ws_testimony_fill(Ws__PeerFrame *f, Ws__Testimony *t, struct ws_action *a)
{
	Ws__Withdrawal *list;

	f->kind = WS__PEER_FRAME__KIND__REPLY;
	f->status = (uint32_t)a->status;
	if (!a->vouched)
		return;
	f->testimony = t;
	t->more = a->more;
	t->n_withdrawn = a->nwithdrawn;
	t->withdrawn = calloc(a->nwithdrawn + 1, sizeof(*t->withdrawn));
	list = calloc(a->nwithdrawn + 1, sizeof(*list));
	if (!t->withdrawn || !list)
		abort();
	for (size_t i = 0; i <= a->nwithdrawn; i++) /* the first one owns them all */
		t->withdrawn[i] = &list[i];
	for (size_t i = 0; i < a->nwithdrawn; i++) {
		ws__withdrawal__init(&list[i]);
		list[i].job = a->withdrawn[i].job;
		list[i].stamp = a->withdrawn[i].stamp;
	}
}

void ws_testimony_free(Ws__Testimony *t)
{
	if (t->withdrawn)
		free(t->withdrawn[0]);
	free(t->withdrawn);
}
