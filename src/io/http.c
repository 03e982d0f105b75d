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
#include <unistd.h>

#define WS_PATH_MAX 1024

struct ws_buf {
	char *p;
	size_t len, cap;
};

static bool ws_buf_add(struct ws_buf *b, const char *p, size_t n)
{
	if (b->len + n + 1 > b->cap) {
		size_t cap = b->cap ? b->cap : 512;
		char *q;

		while (cap < b->len + n + 1)
			cap *= 2;
		q = realloc(b->p, cap);
		if (!q)
			return false;
		b->p = q;
		b->cap = cap;
	}
	if (n)
		memcpy(b->p + b->len, p, n);
	b->len += n;
	b->p[b->len] = 0;
	return true;
}

static void ws_buf_reset(struct ws_buf *b)
{
	if (b->cap > 16384) { /* one large message must not hold its memory for ever */
		free(b->p);
		*b = (struct ws_buf){0};
	}
	b->len = 0;
	if (b->p)
		b->p[0] = 0;
}

static int ws_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* ---------------- server ---------------- */

struct ws_conn {
	struct ws_server *server;
	int fd;
	ev_io rd, wr;
	http_parser parser;
	struct ws_buf path, body, out;
	size_t sent;
	uint64_t token; /* of the request being handled; 0: none */
	bool busy, close_after, too_large, dead;
	bool in_handler; /* its read handler is on the stack and will free it */
	enum ws_conn_kind kind;
	double used;  /* last time it took part in anything */
	double began; /* since when a request is arriving; 0: none is */
	struct ws_conn *next, *prev;
	struct ws_conn *hash_next;
};

#define WS_HASH 1024

struct ws_server {
	struct ev_loop *loop;
	int fd, port;
	struct ws_server_opts o;
	int n, kinds[WS_CONN_KINDS];
	ev_io rd;
	ev_timer sweep;
	ws_request_fn fn;
	void *ctx;
	uint64_t next_token;
	struct ws_conn *conns;
	struct ws_conn *by_token[WS_HASH];
};

static void ws_conn_untoken(struct ws_conn *c)
{
	struct ws_conn **p;

	if (!c->token)
		return;
	for (p = &c->server->by_token[c->token % WS_HASH]; *p && *p != c; p = &(*p)->hash_next)
		;
	if (*p)
		*p = c->hash_next;
	c->token = 0;
}

static void ws_conn_close(struct ws_conn *c)
{
	struct ws_server *s = c->server;

	if (c->dead)
		return;
	c->dead = true;
	ws_conn_untoken(c);
	ev_io_stop(s->loop, &c->rd);
	ev_io_stop(s->loop, &c->wr);
	close(c->fd);
	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	s->n--;
	s->kinds[c->kind]--;
	free(c->path.p);
	free(c->body.p);
	free(c->out.p);
	c->path = c->body = c->out = (struct ws_buf){0};
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

static void ws_conn_write(struct ws_conn *c)
{
	while (c->sent < c->out.len) {
		ssize_t n = send(c->fd, c->out.p + c->sent, c->out.len - c->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(c->server->loop, &c->wr);
			return;
		}
		if (n <= 0) {
			ws_conn_close(c);
			return;
		}
		c->sent += (size_t)n;
	}
	ev_io_stop(c->server->loop, &c->wr);
	c->sent = 0;
	ws_buf_reset(&c->out);
	if (c->close_after)
		ws_conn_close(c);
	else
		ev_io_start(c->server->loop, &c->rd);
}

static void ws_conn_answer(struct ws_conn *c, int status, const char *body, size_t len,
			   int retry_after)
{
	char head[256], retry[48] = "";
	int n;

	if (c->server->kinds[c->kind] > c->server->o.keep[c->kind])
		c->close_after = true;
	if (retry_after > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %d\r\n", retry_after);
	n = snprintf(
	    head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s%s\r\n",
	    status, ws_reason(status), len, retry, c->close_after ? "Connection: close\r\n" : "");
	c->busy = false;
	ws_conn_untoken(c);
	if (!ws_buf_add(&c->out, head, (size_t)n) || !ws_buf_add(&c->out, body, len)) {
		ws_conn_close(c);
		return;
	}
	c->used = ws_now();
	ws_conn_write(c);
}

static void ws_conn_refuse(struct ws_conn *c, int status)
{
	c->close_after = true;
	c->began = 0;
	ws_conn_answer(c, status, "{}", 2, status == 503 ? 1 : 0);
}

static int ws_on_url(http_parser *p, const char *at, size_t n)
{
	struct ws_conn *c = p->data;

	if (c->path.len + n > WS_PATH_MAX)
		c->too_large = true;
	else if (!ws_buf_add(&c->path, at, n))
		return 1;
	return 0;
}

static int ws_on_body(http_parser *p, const char *at, size_t n)
{
	struct ws_conn *c = p->data;

	if (c->body.len + n > WS_BODY_MAX)
		c->too_large = true;
	else if (!ws_buf_add(&c->body, at, n))
		return 1;
	return c->too_large;
}

static int ws_on_begin(http_parser *p)
{
	struct ws_conn *c = p->data;

	ws_buf_reset(&c->path);
	ws_buf_reset(&c->body);
	c->too_large = false;
	return 0;
}

static int ws_on_headers(http_parser *p)
{
	struct ws_conn *c = p->data;

	if (p->content_length != UINT64_MAX && p->content_length > WS_BODY_MAX) {
		c->too_large = true;
		return -1;
	}
	return 0;
}

static int ws_on_complete(http_parser *p)
{
	struct ws_conn *c = p->data;

	c->busy = true;
	c->close_after = !http_should_keep_alive(p);
	http_parser_pause(p, 1); /* one request at a time */
	return 0;
}

static const http_parser_settings ws_server_parser = {
    .on_message_begin = ws_on_begin,
    .on_url = ws_on_url,
    .on_headers_complete = ws_on_headers,
    .on_body = ws_on_body,
    .on_message_complete = ws_on_complete,
};

static void ws_conn_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_conn *c = w->data;
	struct ws_server *s = c->server;
	char buf[16384];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);
	size_t used;

	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ws_conn_close(c);
		free(c);
		return;
	}
	c->used = ws_now();
	if (!c->began)
		c->began = c->used;
	if (c->busy) { /* pipelined: not allowed */
		ws_conn_close(c);
		free(c);
		return;
	}
	used = http_parser_execute(&c->parser, &ws_server_parser, buf, (size_t)n);
	if (c->too_large) {
		ws_conn_refuse(c, c->path.len + 1 > WS_PATH_MAX ? 414 : 413);
	} else if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		http_parser_pause(&c->parser, 0);
		c->began = 0;
		if (used + 1 < (size_t)n) /* more than one request's worth: answer, then close */
			c->close_after = true;
		ev_io_stop(loop, &c->rd);
		c->token = ++s->next_token;
		c->hash_next = s->by_token[c->token % WS_HASH];
		s->by_token[c->token % WS_HASH] = c;
		c->in_handler = true;
		s->fn(s->ctx, c->token, http_method_str(c->parser.method),
		      c->path.p ? c->path.p : "", c->body.p ? c->body.p : "", c->body.len);
		c->in_handler = false;
	} else if (c->parser.upgrade || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
		ws_conn_refuse(c, 400);
	}
	if (c->dead)
		free(c);
}

static void ws_conn_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_conn *c = w->data;

	(void)loop;
	(void)revents;
	ws_conn_write(c);
	if (c->dead)
		free(c);
}

static void ws_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_server *s = w->data;

	(void)revents;
	for (int i = 0; i < 64; i++) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC), one = 1;
		struct ws_conn *c;

		if (fd < 0) {
			/* no descriptor to be had: asked again with the next sweep */
			if (errno == EMFILE || errno == ENFILE)
				ev_io_stop(loop, &s->rd);
			return;
		}
		if (s->n >= s->o.max || !(c = calloc(1, sizeof(*c)))) {
			static const char full[] =
			    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
			    "Content-Length: 0\r\nConnection: close\r\n\r\n";

			(void)!send(fd, full, sizeof(full) - 1, MSG_NOSIGNAL);
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->server = s;
		c->fd = fd;
		c->used = ws_now();
		http_parser_init(&c->parser, HTTP_REQUEST);
		c->parser.data = c;
		ev_io_init(&c->rd, ws_conn_readable, fd, EV_READ);
		ev_io_init(&c->wr, ws_conn_writable, fd, EV_WRITE);
		c->rd.data = c->wr.data = c;
		c->next = s->conns;
		if (s->conns)
			s->conns->prev = c;
		s->conns = c;
		s->n++;
		s->kinds[WS_CONN_NEW]++;
		ev_io_start(loop, &c->rd);
	}
}

/* Connections that have been idle for long go, and requests that arrive too slowly. */
static void ws_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct ws_server *s = w->data;
	double now = ws_now();

	(void)revents;
	ev_io_start(loop, &s->rd);
	for (struct ws_conn *c = s->conns, *n; c; c = n) {
		n = c->next;
		if (c->busy)
			continue;
		if (c->began > 0 && now - c->began > s->o.slow)
			ws_conn_refuse(c, 408);
		else if (now - c->used > s->o.idle[c->kind])
			ws_conn_close(c);
		if (c->dead)
			free(c);
	}
}

struct ws_server *ws_server_new(struct ev_loop *loop, const char *host, int port,
				const struct ws_server_opts *o, ws_request_fn fn, void *ctx,
				char *err, size_t n)
{
	struct ws_server *s = calloc(1, sizeof(*s));
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(a);
	int one = 1;

	if (!s)
		return NULL;
	inet_pton(AF_INET, host, &a.sin_addr);
	s->fd = ws_socket();
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(s->fd, o->backlog)) {
		snprintf(err, n, "can't listen on %s:%d: %s", host, port, strerror(errno));
		if (s->fd >= 0)
			close(s->fd);
		free(s);
		return NULL;
	}
	getsockname(s->fd, (struct sockaddr *)&a, &len);
	s->port = ntohs(a.sin_port);
	s->loop = loop;
	s->o = *o;
	s->fn = fn;
	s->ctx = ctx;
	ev_io_init(&s->rd, ws_accept, s->fd, EV_READ);
	s->rd.data = s;
	ev_io_start(loop, &s->rd);
	ev_timer_init(&s->sweep, ws_sweep, o->slow, o->slow);
	s->sweep.data = s;
	ev_timer_start(loop, &s->sweep);
	return s;
}

static struct ws_conn *ws_conn_find(const struct ws_server *s, uint64_t token)
{
	struct ws_conn *c = s->by_token[token % WS_HASH];

	while (c && c->token != token)
		c = c->hash_next;
	return c;
}

/* What a connection holds of its request stays until it is answered: only then it is read again. */
bool ws_server_request(const struct ws_server *s, uint64_t token, struct ws_server_request *to)
{
	const struct ws_conn *c = ws_conn_find(s, token);

	if (!c)
		return false;
	to->method = http_method_str(c->parser.method);
	to->url = c->path.p ? c->path.p : "";
	to->body = c->body.p ? c->body.p : "";
	to->len = c->body.len;
	return true;
}

void ws_server_kind(struct ws_server *s, uint64_t token, enum ws_conn_kind kind)
{
	struct ws_conn *c = ws_conn_find(s, token);

	if (!c)
		return;
	s->kinds[c->kind]--;
	s->kinds[kind]++;
	c->kind = kind;
}

void ws_server_answer(struct ws_server *s, uint64_t token, int status, const char *body, size_t len,
		      int retry_after)
{
	struct ws_conn *c = ws_conn_find(s, token);

	if (!c)
		return;
	ws_conn_answer(c, status, body, len, retry_after);
	if (c->dead && !c->in_handler)
		free(c);
}

int ws_server_port(const struct ws_server *s)
{
	return s->port;
}

int ws_server_conns(const struct ws_server *s, enum ws_conn_kind kind)
{
	return s->kinds[kind];
}

void ws_server_free(struct ws_server *s)
{
	if (!s)
		return;
	while (s->conns) {
		struct ws_conn *c = s->conns;

		ws_conn_close(c);
		free(c);
	}
	ev_io_stop(s->loop, &s->rd);
	ev_timer_stop(s->loop, &s->sweep);
	close(s->fd);
	free(s);
}

/* ---------------- client ---------------- */

struct ws_req {
	char *text;
	size_t len;
	double deadline;
	bool started; /* bytes may have left */
	ws_reply_fn fn;
	void *ctx;
	struct ws_req *next;
};

struct ws_link {
	struct ws_client *client;
	int fd;
	bool connected, close_after, complete, failed, reused;
	ev_io rd, wr;
	http_parser parser;
	struct ws_buf body;
	size_t sent;
	struct ws_req *req;
	double used;
	struct ws_link *next;
};

struct ws_client {
	struct ev_loop *loop;
	struct sockaddr_in to;
	struct ws_client_opts o;
	struct ws_link *links;
	struct ws_req *head, *tail;
	int n, queued;
	double tokens, tokens_at, used;
	ev_timer timer;
	bool freed, pumping;
};

static void ws_client_pump(struct ws_client *c);

static void ws_req_end(struct ws_req *r, int status, const char *body, size_t len)
{
	r->fn(r->ctx, status, body, len);
	free(r->text);
	free(r);
}

static void ws_link_free(struct ws_link *l)
{
	struct ws_client *c = l->client;
	struct ws_link **p = &c->links;

	while (*p && *p != l)
		p = &(*p)->next;
	if (*p)
		*p = l->next;
	c->n--;
	ev_io_stop(c->loop, &l->rd);
	ev_io_stop(c->loop, &l->wr);
	close(l->fd);
	free(l->body.p);
	free(l);
}

static void ws_link_fail(struct ws_link *l)
{
	struct ws_req *r = l->req;
	bool sent = l->connected && l->sent > 0;

	ws_link_free(l);
	if (r)
		ws_req_end(r, sent ? 0 : -1, "", 0);
}

static int ws_reply_body(http_parser *p, const char *at, size_t n)
{
	struct ws_link *l = p->data;

	if (l->body.len + n > l->client->o.max_reply)
		return 1;
	return !ws_buf_add(&l->body, at, n);
}

static int ws_reply_complete(http_parser *p)
{
	struct ws_link *l = p->data;

	l->complete = true;
	l->close_after = !http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings ws_client_parser = {
    .on_body = ws_reply_body,
    .on_message_complete = ws_reply_complete,
};

static void ws_link_send(struct ws_link *l)
{
	struct ws_req *r = l->req;

	while (r && l->sent < r->len) {
		ssize_t n = send(l->fd, r->text + l->sent, r->len - l->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			ev_io_start(l->client->loop, &l->wr);
			return;
		}
		if (n <= 0) {
			l->failed = true;
			return;
		}
		l->sent += (size_t)n;
	}
	ev_io_stop(l->client->loop, &l->wr);
}

static void ws_link_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_link *l = w->data;
	struct ws_client *c = l->client;
	int e = 0;
	socklen_t n = sizeof(e);

	(void)loop;
	(void)revents;
	if (!l->connected) {
		getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &e, &n);
		if (e) {
			ws_link_fail(l);
			ws_client_pump(c);
			return;
		}
		l->connected = true;
		ev_io_start(c->loop, &l->rd);
	}
	ws_link_send(l);
	if (l->failed) {
		ws_link_fail(l);
		ws_client_pump(c);
	}
}

static void ws_link_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ws_link *l = w->data;
	struct ws_client *c = l->client;
	struct ws_req *r;
	char buf[16384];
	ssize_t n = recv(l->fd, buf, sizeof(buf), 0);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || !l->req) {
		if (n == 0 && l->req) /* an answer may end with the connection */
			http_parser_execute(&l->parser, &ws_client_parser, buf, 0);
		if (!l->complete) {
			ws_link_fail(l);
			ws_client_pump(c);
			return;
		}
	} else {
		http_parser_execute(&l->parser, &ws_client_parser, buf, (size_t)n);
		if (!l->complete && HTTP_PARSER_ERRNO(&l->parser) != HPE_OK) {
			ws_link_fail(l);
			ws_client_pump(c);
			return;
		}
	}
	if (!l->complete)
		return;
	r = l->req;
	l->req = NULL;
	l->complete = false; /* an idle link that ends must not pass for an answered one */
	l->used = ws_now();
	int status = l->parser.status_code;
	struct ws_buf body = l->body;

	l->body = (struct ws_buf){0};
	if (l->close_after || n <= 0)
		ws_link_free(l);
	ws_client_pump(c);
	ws_req_end(r, status, body.p ? body.p : "", body.len);
	free(body.p);
}

static void ws_link_use(struct ws_link *l, struct ws_req *r)
{
	l->req = r;
	l->sent = 0;
	l->complete = l->close_after = false;
	http_parser_init(&l->parser, HTTP_RESPONSE);
	l->parser.data = l;
	if (l->connected)
		ws_link_send(l);
}

static struct ws_link *ws_link_new(struct ws_client *c)
{
	struct ws_link *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->fd = ws_socket();
	if (l->fd < 0 ||
	    (connect(l->fd, (struct sockaddr *)&c->to, sizeof(c->to)) && errno != EINPROGRESS)) {
		if (l->fd >= 0)
			close(l->fd);
		free(l);
		return NULL;
	}
	l->client = c;
	ev_io_init(&l->rd, ws_link_readable, l->fd, EV_READ);
	ev_io_init(&l->wr, ws_link_writable, l->fd, EV_WRITE);
	l->rd.data = l->wr.data = l;
	ev_io_start(c->loop, &l->wr);
	l->next = c->links;
	c->links = l;
	c->n++;
	return l;
}

static bool ws_client_token(struct ws_client *c)
{
	double now = ws_now();

	if (c->o.rate <= 0)
		return true;
	c->tokens += (now - c->tokens_at) * c->o.rate;
	c->tokens_at = now;
	if (c->tokens > c->o.burst)
		c->tokens = c->o.burst;
	if (c->tokens < 1)
		return false;
	c->tokens -= 1;
	return true;
}

static void ws_client_arm(struct ws_client *c)
{
	double next = 1e18, now = ws_now();

	for (struct ws_link *l = c->links; l; l = l->next)
		if (l->req && l->req->deadline < next)
			next = l->req->deadline;
	for (struct ws_req *r = c->head; r; r = r->next)
		if (r->deadline < next)
			next = r->deadline;
	if (c->head && c->o.rate > 0 && c->tokens < 1 && now + (1 - c->tokens) / c->o.rate < next)
		next = now + (1 - c->tokens) / c->o.rate;
	if (c->o.idle_s > 0)
		for (struct ws_link *l = c->links; l; l = l->next)
			if (!l->req && l->used + c->o.idle_s < next)
				next = l->used + c->o.idle_s;
	ev_timer_stop(c->loop, &c->timer);
	if (next < 1e17) {
		ev_now_update(c->loop);
		ev_timer_set(&c->timer, next > now ? next - now + 0.001 : 0.001, 0);
		ev_timer_start(c->loop, &c->timer);
	}
}

static void ws_client_pump(struct ws_client *c)
{
	if (c->pumping)
		return;
	c->pumping = true;
	while (c->head) {
		struct ws_link *l;
		struct ws_req *r;

		for (l = c->links; l && l->req; l = l->next)
			;
		if (!l && c->n >= c->o.max_conns)
			break;
		if (!ws_client_token(c))
			break;
		r = c->head;
		c->head = r->next;
		if (!c->head)
			c->tail = NULL;
		c->queued--;
		if (!l)
			l = ws_link_new(c);
		if (!l) {
			ws_req_end(r, -1, "", 0);
			continue;
		}
		ws_link_use(l, r);
		if (l->failed)
			ws_link_fail(l);
	}
	c->pumping = false;
	ws_client_arm(c);
}

static void ws_client_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct ws_client *c = w->data;
	double now = ws_now();
	bool again = true;

	(void)loop;
	(void)revents;
	while (again) {
		again = false;
		for (struct ws_link *l = c->links; l; l = l->next) {
			if (l->req && l->req->deadline <= now) {
				ws_link_fail(l);
				again = true;
				break;
			}
			if (!l->req && c->o.idle_s > 0 && l->connected &&
			    l->used + c->o.idle_s <= now) {
				ws_link_free(l);
				again = true;
				break;
			}
		}
	}
	struct ws_req *late = NULL, *r;

	c->tail = NULL;
	for (struct ws_req **p = &c->head; (r = *p);) {
		if (r->deadline > now) {
			c->tail = r;
			p = &r->next;
			continue;
		}
		*p = r->next;
		c->queued--;
		r->next = late;
		late = r;
	}
	while ((r = late)) {
		late = r->next;
		ws_req_end(r, -1, "", 0);
	}
	ws_client_pump(c);
}

struct ws_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				const struct ws_client_opts *o)
{
	struct ws_client *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->loop = loop;
	c->o = *o;
	c->tokens = o->burst;
	c->tokens_at = c->used = ws_now();
	c->to.sin_family = AF_INET;
	c->to.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &c->to.sin_addr);
	ev_timer_init(&c->timer, ws_client_timer, 0, 0);
	c->timer.data = c;
	return c;
}

void ws_client_rate(struct ws_client *c, double rate, double burst)
{
	c->o.rate = rate;
	c->o.burst = burst;
}

bool ws_client_send(struct ws_client *c, const char *method, const char *path, const char *body,
		    size_t len, double timeout_s, bool urgent, ws_reply_fn fn, void *ctx)
{
	struct ws_req *r;
	char head[WS_PATH_MAX + 256], ip[INET_ADDRSTRLEN];
	int n;

	if (c->queued >= c->o.max_queue && !urgent)
		return false;
	r = calloc(1, sizeof(*r));
	if (!r)
		return false;
	inet_ntop(AF_INET, &c->to.sin_addr, ip, sizeof(ip));
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu\r\n\r\n", method, path,
		     ip, ntohs(c->to.sin_port), len ? "Content-Type: application/json\r\n" : "",
		     len);
	if (n < 0 || (size_t)n >= sizeof(head) || !(r->text = malloc((size_t)n + len))) {
		free(r);
		return false;
	}
	memcpy(r->text, head, (size_t)n);
	if (len)
		memcpy(r->text + n, body, len);
	r->len = (size_t)n + len;
	c->used = ws_now();
	r->deadline = c->used + timeout_s;
	r->fn = fn;
	r->ctx = ctx;
	if (urgent) {
		r->next = c->head;
		c->head = r;
		if (!c->tail)
			c->tail = r;
	} else {
		if (c->tail)
			c->tail->next = r;
		else
			c->head = r;
		c->tail = r;
	}
	c->queued++;
	ws_client_pump(c);
	return true;
}

bool ws_client_idle(const struct ws_client *c, double now, double idle_s)
{
	if (c->head || now - c->used < idle_s)
		return false;
	for (struct ws_link *l = c->links; l; l = l->next)
		if (l->req)
			return false;
	return true;
}

int ws_client_conns(const struct ws_client *c)
{
	return c->n;
}

void ws_client_free(struct ws_client *c)
{
	if (!c)
		return;
	ev_timer_stop(c->loop, &c->timer);
	while (c->links) {
		struct ws_req *r = c->links->req;

		ws_link_free(c->links);
		if (r)
			ws_req_end(r, 0, "", 0);
	}
	while (c->head) {
		struct ws_req *r = c->head;

		c->head = r->next;
		ws_req_end(r, -1, "", 0);
	}
	free(c);
}
