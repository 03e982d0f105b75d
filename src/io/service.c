#include "service.h"
#include "../core/sizing.h"
#include "../log.h"
#include "codec.h"
#include "http.h"
#include "peer.h"
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

enum ws_ask_kind { WS_ASK_USER, WS_ASK_REPORT, WS_ASK_TESTIFY };

struct ws_pending { /* a request that has not been answered */
	uint64_t token;
	enum ws_ask_kind kind;
	uint64_t from, id; /* the peer's pipe and frame; from 0: straight from a client */
	struct ws_service *service;
	UT_hash_handle hh;
};

struct ws_worker {
	char name[80];
	struct ws_client *client;
	struct ws_worker *prev, *next; /* least lately used first */
	UT_hash_handle hh;
};

struct ws_flight { /* a call on its way, or a request passed on */
	struct ws_service *service;
	struct ws_call *call;	/* NULL: a request passed on, */
	uint64_t token;		/* which this one names */
	char node[WS_NAME_MAX]; /* of a report passed on: to whom, and since when */
	double began;
	bool pinned;
};

struct ws_service {
	struct ev_loop *loop;
	const struct ws_settings *set;
	struct ws_core *core;
	pthread_mutex_t lock; /* the core's; never held across input or output */
	struct ws_server *server;
	struct ws_client *state, *watch, *cloud;
	struct ws_worker *workers, *lately, *retired;
	double peers_bad; /* until then reports are not passed on: the leader is named instead */
	int relays;	  /* reports passed on and not answered yet */
	struct ws_peers *peers;
	struct ws_pending *pending;
	int users; /* users' requests among them */
	uint64_t next_token;
	ev_timer tick;
	ev_async sized;
	double writes, writes_at, write_rate;
	bool leading, draining;
	double sweep_at, ttl;
	pthread_t sizer;
	pthread_mutex_t size_lock;
	pthread_cond_t size_cond;
	struct ws_measure measure;
	bool size_due, size_stop, sizer_runs;
};

#define WS_POLL_WAIT_S 2 /* the protocol: a user waits so long for the answer to a poll */
#define WS_PEER_TOKEN (1ULL << 63)

static void ws_drain(struct ws_service *v);

static double ws_wall(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

/* ---- answers ---- */

static void ws_pending_free(struct ws_pending *p)
{
	HASH_DEL(p->service->pending, p);
	if (p->kind == WS_ASK_USER)
		p->service->users--;
	free(p);
}

static void ws_reply(struct ws_service *v, uint64_t token, int status, const char *body, size_t len,
		     int retry_after)
{
	struct ws_pending *p;

	HASH_FIND(hh, v->pending, &token, sizeof(token), p);
	if (!p)
		return;
	if (p->from) {
		Ws__PeerFrame f = WS__PEER_FRAME__INIT;

		f.kind = WS__PEER_FRAME__KIND__REPLY;
		f.id = p->id;
		f.node = (char *)v->set->node;
		f.body.data = (uint8_t *)body;
		f.body.len = len;
		f.status = (uint32_t)status;
		f.retry_after = (uint32_t)retry_after;
		ws_peers_reply(v->peers, p->from, &f);
	} else {
		ws_server_answer(v->server, token, status, body, len, retry_after);
	}
	ws_pending_free(p);
}

static void ws_reply_testimony(struct ws_service *v, struct ws_action *a)
{
	Ws__PeerFrame f = WS__PEER_FRAME__INIT;
	Ws__Testimony t = WS__TESTIMONY__INIT;
	struct ws_pending *p;

	HASH_FIND(hh, v->pending, &a->token, sizeof(a->token), p);
	if (!p)
		return;
	f.id = p->id;
	f.node = (char *)v->set->node;
	ws_testimony_fill(&f, &t, a);
	ws_peers_reply(v->peers, p->from, &f);
	ws_testimony_free(&t);
	ws_pending_free(p);
}

static void ws_reply_plain(struct ws_service *v, uint64_t token, int status)
{
	ws_reply(v, token, status, "{}", 2, status == 503 || status == 429 ? 1 : 0);
}

/* A report that can't be passed on: the worker may reach the leader itself. */
static void ws_name_leader(struct ws_service *v, uint64_t token, const char *node)
{
	struct ws_action a = {.status = 421};
	char *body;

	snprintf(a.name, sizeof(a.name), "%s", node);
	body = ws_encode_report_answer(&a);
	ws_reply(v, token, body ? 421 : 503, body ? body : "{}", body ? strlen(body) : 2, 0);
	free(body);
}

static void ws_relayed(void *ctx, const Ws__PeerFrame *f)
{
	struct ws_flight *x = ctx;
	struct ws_service *v = x->service;
	uint64_t token = x->token;
	char node[WS_NAME_MAX];

	bool pinned = x->pinned;
	double began = x->began;

	snprintf(node, sizeof(node), "%s", x->node);
	free(x);
	if (node[0])
		v->relays--;
	if (!f && node[0] && !pinned && ws_now() - began < v->set->lease_s / 32) {
		/* peers refuse each other, the worker may well reach it. Where packets are lost, or
		 * the worker was there in vain, it must go on to another node instead */
		v->peers_bad = ws_now() + v->set->lease_s / 32;
		ws_name_leader(v, token, node);
	} else if (!f || f->status < 200 || f->status > 599)
		ws_reply_plain(v, token, 503);
	else
		ws_reply(v, token, (int)f->status, (const char *)f->body.data, f->body.len,
			 (int)f->retry_after);
}

/* A server takes no longer paths than this. */
#define WS_URL_LOCAL 1100

/* The path of a URL, without query and fragment. */
static void ws_local_path(const char *url, char *path)
{
	snprintf(path, WS_URL_LOCAL, "%.*s", (int)strcspn(url, "?#"), url);
}

static void ws_relay(struct ws_service *v, uint64_t token, const char *node, bool pinned)
{
	struct ws_pending *p;
	struct ws_server_request q;
	Ws__PeerFrame f = WS__PEER_FRAME__INIT;
	struct ws_flight *x;
	char path[WS_URL_LOCAL];
	bool get;

	HASH_FIND(hh, v->pending, &token, sizeof(token), p);
	if (!p)
		return;
	if (!ws_server_request(v->server, token, &q)) { /* who asked is gone, or it was a peer */
		ws_reply_plain(v, token, 503);
		return;
	}
	x = calloc(1, sizeof(*x));
	if (!x) {
		ws_reply_plain(v, token, 503);
		return;
	}
	if (p->kind == WS_ASK_REPORT) {
		/* few at a time: when hundreds come at once, naming the leader is quicker, but not
		 * for those who can't reach it */
		if (!pinned && (ws_now() < v->peers_bad || v->relays >= v->set->sockets / 32 + 1)) {
			free(x);
			ws_name_leader(v, token, node);
			return;
		}
		snprintf(x->node, sizeof(x->node), "%s", node);
		x->began = ws_now();
		x->pinned = pinned;
		v->relays++;
	}
	x->service = v;
	x->token = token;
	ws_local_path(q.url, path);
	get = !strcmp(q.method, "GET");
	f.kind =
	    p->kind == WS_ASK_REPORT ? WS__PEER_FRAME__KIND__REPORT : WS__PEER_FRAME__KIND__USER;
	f.node = (char *)v->set->node;
	f.method = (char *)q.method;
	f.path = path;
	f.body.data = (uint8_t *)q.body;
	f.body.len = q.len;
	/* within what the asker waits: 4 s for workers, 5 s for submissions */
	if (!ws_peers_send(v->peers, node, &f,
			   p->kind == WS_ASK_REPORT ? 3
			   : get		    ? WS_POLL_WAIT_S * 0.4
						    : 2.5,
			   ws_relayed, x))
		ws_relayed(x, NULL);
}

/* ---- calls ---- */

/* The result goes to the core, which frees the call; the result's own parts are freed here. */
static void ws_completed(struct ws_service *v, struct ws_call *call, struct ws_result *r)
{
	pthread_mutex_lock(&v->lock);
	ws_core_complete(v->core, ws_now(), call, r);
	pthread_mutex_unlock(&v->lock);
	ws_result_free(r);
	ws_drain(v);
}

static void ws_complete(struct ws_service *v, struct ws_call *call, int status, const char *body,
			size_t len)
{
	struct ws_result r;

	ws_decode_reply(call, status, body, len, &r);
	if (status > 0 && r.status == 0)
		ws_logf(WS_LOG_ERROR,
			"an answer (%d, %zu bytes) to a call of kind %d for %s can't be read: "
			"taken for none",
			status, len, call->kind, call->key[0] ? call->key : call->host);
	if (r.status < 0 && call->kind != WS_CALL_ORDERS)
		r.status = 0;
	ws_completed(v, call, &r);
}

/*
 * Changes a second that users' requests to this node may cost: a fair part of three tenths for
 * sure, and up to half of all while nobody is refused any.
 */
static bool ws_write_allowed(struct ws_service *v, size_t ops)
{
	double now = ws_now(), most = v->set->state_write_rps / 2;

	v->write_rate = fmin(most, v->write_rate + (now - v->writes_at) * most / 16);
	v->writes = fmin(v->write_rate, v->writes + (now - v->writes_at) * v->write_rate);
	v->writes_at = now;
	if (v->writes < 1)
		return false;
	v->writes -= (double)ops;
	return true;
}

static void ws_write_refused(struct ws_service *v)
{
	double least = v->set->state_write_rps * 0.3 / (double)(v->set->npeers + 1);

	v->write_rate = fmax(least, v->write_rate * 0.7);
	v->writes = 0;
}

static void ws_call_done(void *ctx, int status, const char *body, size_t len)
{
	struct ws_flight *x = ctx;
	struct ws_service *v = x->service;
	struct ws_call *call = x->call;

	free(x);
	if (status == 429 && call->kind == WS_CALL_TXN && !call->paced)
		ws_write_refused(v);
	ws_complete(v, call, status, body, len);
}

static void ws_testimony(void *ctx, const Ws__PeerFrame *f)
{
	struct ws_flight *x = ctx;
	struct ws_result r = {0};

	if (f && !ws_testimony_read(f, &r))
		ws_logf(WS_LOG_ERROR, "testimony of %s can't be read: taken for none",
			x->call->key);
	ws_completed(x->service, x->call, &r);
	free(x);
}

/* Its client may be on the stack, in whose callback this is: it is freed by the timer. */
static void ws_worker_retire(struct ws_service *v, struct ws_worker *w)
{
	HASH_DEL(v->workers, w);
	DL_DELETE(v->lately, w);
	DL_APPEND(v->retired, w);
}

static void ws_workers_free(struct ws_service *v)
{
	struct ws_worker *w, *t;

	DL_FOREACH_SAFE (v->retired, w, t) {
		DL_DELETE(v->retired, w);
		ws_client_free(w->client);
		free(w);
	}
}

/*
 * Connections to workers are for speed: replies carry the same commands. They get an eighth of the
 * sockets, the least lately used giving way; if all are busy, the reply must do.
 */
static struct ws_client *ws_worker_client(struct ws_service *v, const char *host, int port)
{
	struct ws_worker *w, *t;
	char name[80];

	snprintf(name, sizeof(name), "%s:%d", host, port);
	HASH_FIND_STR(v->workers, name, w);
	if (w) {
		DL_DELETE(v->lately, w);
		DL_APPEND(v->lately, w);
		return w->client;
	}
	if ((int)HASH_COUNT(v->workers) >= v->set->sockets / 8 + 1) {
		DL_FOREACH_SAFE (v->lately, w, t)
			if (ws_client_idle(w->client, ws_now(), 0)) {
				ws_worker_retire(v, w);
				break;
			}
		if (!w)
			return NULL;
	}
	struct ws_client_opts o = {.max_conns = 1,
				   .max_queue = 4,
				   .max_reply = (size_t)256 * 1024,
				   .idle_s = v->set->lease_s};
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	strcpy(w->name, name);
	w->client = ws_client_new(v->loop, host, port, &o);
	if (!w->client) {
		free(w);
		return NULL;
	}
	HASH_ADD_STR(v->workers, name, w);
	DL_APPEND(v->lately, w);
	return w->client;
}

static void ws_call_start(struct ws_service *v, struct ws_call *call)
{
	struct ws_flight *x = calloc(1, sizeof(*x));
	struct ws_client *to = v->state;
	const char *method;
	char path[WS_URL_MAX], *body;
	double ttl = v->ttl, timeout = fmin(v->set->lease_s / 12, 1.5);
	bool ok;

	if (!x)
		abort();
	x->service = v;
	x->call = call;
	if (call->kind == WS_CALL_TESTIFY) {
		Ws__PeerFrame f = WS__PEER_FRAME__INIT;

		Ws__Testimony t = WS__TESTIMONY__INIT;

		f.node = (char *)v->set->node;
		ws_testimony_ask(&f, &t, call);
		if (!ws_peers_send(v->peers, call->key, &f, ttl / 2, ws_testimony, x))
			ws_testimony(x, NULL);
		return;
	}
	switch (call->kind) {
	case WS_CALL_WATCH:
		if (!call->ms) { /* answered at once; a peer is asked after it */
			timeout = fmin(timeout, WS_POLL_WAIT_S * 0.4);
			break;
		}
		to = v->watch;
		timeout = call->ms / 1000.0 + 1;
		break;
	case WS_CALL_GET:
		timeout = fmin(timeout, WS_POLL_WAIT_S * 0.4); /* a peer is asked after it */
		break;
	case WS_CALL_HOLD_EXTEND: timeout = ttl * 3 / 4; break; /* others follow meanwhile */
	case WS_CALL_TYPES:
	case WS_CALL_HOSTS:
	case WS_CALL_RENT:
	case WS_CALL_RETURN:
		to = v->cloud;
		timeout = 5;
		break;
	case WS_CALL_ORDERS:
		to = ws_worker_client(v, call->host, call->port);
		/* one without orders only asks whether the machine is there */
		timeout =
		    call->norders ? v->set->report_s : fmin(v->set->report_s, v->set->lease_s / 16);
		break;
	case WS_CALL_TXN:
		if (!call->paced && !ws_write_allowed(v, call->nops)) {
			free(x);
			ws_complete(v, call, 429, "", 0);
			return;
		}
		break;
	default: break;
	}
	body = ws_encode_call(call, &method, path);
	ok = to && ws_client_send(to, method, path, body ? body : "", body ? strlen(body) : 0,
				  timeout, call->urgent, ws_call_done, x);
	free(body);
	if (!ok)
		ws_call_done(x, call->kind == WS_CALL_ORDERS ? -1 : 429, "", 0);
}

/* ---- what the core wants done ---- */

static void ws_shares(struct ws_service *v, bool leading)
{
	double share = leading || !v->set->npeers ? 0.5 : 0.5 / (double)v->set->npeers;

	if (!v->set->npeers)
		share = 1;
	v->leading = leading;
	ws_client_rate(v->state, v->set->state_rps * share * 0.95, v->set->state_rps * share / 2);
}

/* Commands, renewed leases and what is asked of the cloud: only the leader may. */
static bool ws_leaders_word(const struct ws_action *a)
{
	if (a->kind == WS_ACT_ANSWER_REPORT)
		return a->status == 200;
	return a->kind == WS_ACT_CALL &&
	       (a->call->kind == WS_CALL_ORDERS || a->call->kind == WS_CALL_RENT ||
		a->call->kind == WS_CALL_RETURN);
}

/*
 * 'late': it was decided while we were entitled, but the process stood still since, and another
 * may lead by now.
 */
static void ws_act_do(struct ws_service *v, struct ws_action *a, bool late)
{
	char *body;

	if (late && a->kind == WS_ACT_CALL) {
		ws_complete(v, a->call, -1, "", 0);
		return;
	}
	if (late)
		a->status = 503;
	switch (a->kind) {
	case WS_ACT_CALL: ws_call_start(v, a->call); break;
	case WS_ACT_ANSWER_USER:
		body = ws_encode_user(a);
		ws_reply(v, a->token, body ? a->status : 503, body ? body : "{}",
			 body ? strlen(body) : 2, body ? a->retry_after : 1);
		free(body);
		break;
	case WS_ACT_ANSWER_REPORT:
		body = ws_encode_report_answer(a);
		ws_reply(v, a->token, body ? a->status : 503, body ? body : "{}",
			 body ? strlen(body) : 2, 0);
		free(body);
		break;
	case WS_ACT_RELAY: ws_relay(v, a->token, a->name, a->pinned); break;
	case WS_ACT_ANSWER_TESTIFY: ws_reply_testimony(v, a); break;
	}
}

static void ws_drain(struct ws_service *v)
{
	if (v->draining)
		return; /* the outer call goes on with what was added */
	v->draining = true;
	for (;;) {
		struct ws_action *a;

		pthread_mutex_lock(&v->lock);
		ws_core_spent(v->core, ws_now);
		a = ws_core_pop(v->core);
		bool leading = ws_core_leading(v->core);
		/* with the clock as it is now, directly before it leaves */
		bool late = a && ws_leaders_word(a) && !ws_core_entitled(v->core, ws_now());
		pthread_mutex_unlock(&v->lock);
		if (leading != v->leading)
			ws_shares(v, leading);
		if (!a)
			break;
		ws_act_do(v, a, late);
		ws_action_free(a);
	}
	v->draining = false;
}

/* ---- requests ---- */

static struct ws_pending *ws_pend(struct ws_service *v, uint64_t token, enum ws_ask_kind kind)
{
	struct ws_pending *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->token = token;
	p->kind = kind;
	p->service = v;
	HASH_ADD(hh, v->pending, token, sizeof(p->token), p);
	if (kind == WS_ASK_USER)
		v->users++;
	return p;
}

static void ws_user(struct ws_service *v, uint64_t token, const char *method, const char *path,
		    const char *body, size_t len, bool relayed)
{
	static const char base[] = "/v2/runs";
	const char *rest = path + sizeof(base) - 1;
	bool post = !strcmp(method, "POST"), get = !strcmp(method, "GET");
	char id[WS_ID_MAX];
	size_t n;

	/* a small buffer: half a second of what the state service can take */
	if (v->users > (int)(v->set->state_rps / 2)) {
		ws_reply_plain(v, token, 503);
		return;
	}
	if (!rest[0]) {
		struct ws_spec spec;
		int bad;

		if (!post) {
			ws_reply_plain(v, token, 405);
			return;
		}
		bad = ws_decode_job(body, len, &spec);
		if (bad) {
			ws_reply_plain(v, token, bad);
			return;
		}
		pthread_mutex_lock(&v->lock);
		ws_core_submit(v->core, ws_now(), ws_wall(), token, &spec, relayed);
		pthread_mutex_unlock(&v->lock);
		ws_drain(v);
		return;
	}
	rest++;
	n = strcspn(rest, "/");
	if (n >= sizeof(id) || !n) {
		ws_reply_plain(v, token, 404);
		return;
	}
	memcpy(id, rest, n);
	id[n] = 0;
	bool abort_job = !strcmp(rest + n, "/abort");

	if (rest[n] && !abort_job) {
		ws_reply_plain(v, token, 404);
	} else if (abort_job ? !post : !get) {
		ws_reply_plain(v, token, 405);
	} else if (!ws_job_id_ok(id)) {
		ws_reply_plain(v, token, 404); /* no job has such an id */
	} else {
		pthread_mutex_lock(&v->lock);
		if (abort_job)
			ws_core_abort(v->core, ws_now(), token, id, relayed);
		else
			ws_core_poll(v->core, ws_now(), token, id, relayed);
		pthread_mutex_unlock(&v->lock);
		ws_drain(v);
	}
}

static void ws_report_in(struct ws_service *v, uint64_t token, const char *body, size_t len,
			 bool relayed)
{
	struct ws_report r;

	if (!ws_decode_report(body, len, &r)) {
		ws_logf(WS_LOG_ERROR, "a report of %zu bytes can't be read", len);
		ws_reply_plain(v, token, 400);
		return;
	}
	pthread_mutex_lock(&v->lock);
	ws_core_report(v->core, ws_now(), token, &r, relayed);
	pthread_mutex_unlock(&v->lock);
	ws_report_free(&r);
	ws_drain(v);
}

static void ws_request(void *ctx, uint64_t token, const char *method, const char *url,
		       const char *body, size_t len)
{
	struct ws_service *v = ctx;
	char path[WS_URL_LOCAL];
	bool report;

	ws_local_path(url, path);
	report = !strcmp(path, "/checkin");
	if (!ws_pend(v, token, report ? WS_ASK_REPORT : WS_ASK_USER)) {
		ws_server_answer(v->server, token, 503, "{}", 2, 1);
		return;
	}
	if (report) {
		ws_server_kind(v->server, token, WS_CONN_WORKER);
		if (strcmp(method, "POST"))
			ws_reply_plain(v, token, 405);
		else
			ws_report_in(v, token, body, len, false);
	} else if (!strncmp(path, "/v2/runs", 8) && (!path[8] || path[8] == '/')) {
		ws_server_kind(v->server, token, WS_CONN_USER);
		ws_user(v, token, method, path, body, len, false);
	} else if (!strcmp(path, "/healthz")) {
		bool ready;

		pthread_mutex_lock(&v->lock);
		ready = ws_core_ready(v->core);
		pthread_mutex_unlock(&v->lock);
		ws_reply_plain(v, token, strcmp(method, "GET") ? 405 : ready ? 200 : 503);
	} else {
		ws_reply_plain(v, token, 404);
	}
}

static void ws_peer_ask(void *ctx, uint64_t from, const Ws__PeerFrame *f)
{
	struct ws_service *v = ctx;
	uint64_t token = WS_PEER_TOKEN | ++v->next_token;
	enum ws_ask_kind kind = f->kind == WS__PEER_FRAME__KIND__REPORT ? WS_ASK_REPORT
				: f->kind == WS__PEER_FRAME__KIND__USER ? WS_ASK_USER
									: WS_ASK_TESTIFY;
	/* a frame without a body has none to point to */
	const char *body = f->body.len ? (const char *)f->body.data : "";
	struct ws_pending *p;

	if (f->body.len > WS_BODY_MAX || strlen(f->path) > 1000) {
		ws_logf(WS_LOG_ERROR, "a frame of %s is too long: refused", f->node);
		return;
	}
	p = ws_pend(v, token, kind);
	if (!p)
		return;
	p->from = from;
	p->id = f->id;
	if (kind == WS_ASK_REPORT) {
		ws_report_in(v, token, body, f->body.len, true);
	} else if (kind == WS_ASK_USER) {
		if (!strncmp(f->path, "/v2/runs", 8))
			ws_user(v, token, f->method, f->path, body, f->body.len, true);
		else
			ws_reply_plain(v, token, 404);
	} else if (f->kind == WS__PEER_FRAME__KIND__TESTIFY) {
		const Ws__Testimony *t = f->testimony;

		pthread_mutex_lock(&v->lock);
		if (t)
			ws_core_vouch(v->core, ws_now(), token, t->leader, t->since, t->after);
		else
			ws_core_testify(v->core, ws_now(), token);
		pthread_mutex_unlock(&v->lock);
		ws_drain(v);
	} else {
		ws_logf(WS_LOG_ERROR, "a frame of kind %d of %s is refused", (int)f->kind, f->node);
		ws_reply_plain(v, token, 400);
	}
}

/* ---- the sizing thread ---- */

static void *ws_sizer(void *ctx)
{
	struct ws_service *v = ctx;

	pthread_mutex_lock(&v->size_lock);
	for (;;) {
		struct ws_measure m;
		struct ws_queue q = {0};
		int k;

		while (!v->size_due && !v->size_stop)
			pthread_cond_wait(&v->size_cond, &v->size_lock);
		if (v->size_stop)
			break;
		v->size_due = false;
		m = v->measure;
		pthread_mutex_unlock(&v->size_lock);
		k = ws_sizing_run(&m, &q);
		pthread_mutex_lock(&v->lock);
		ws_core_set_k(v->core, ws_now(), k, q.s, q.wq);
		pthread_mutex_unlock(&v->lock);
		ev_async_send(v->loop, &v->sized);
		pthread_mutex_lock(&v->size_lock);
	}
	pthread_mutex_unlock(&v->size_lock);
	return NULL;
}

static void ws_sized(struct ev_loop *loop, ev_async *w, int revents)
{
	(void)loop;
	(void)revents;
	ws_drain(w->data);
}

static void ws_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct ws_service *v = w->data;
	struct ws_measure m;
	double now = ws_now();
	bool due;

	(void)loop;
	(void)revents;
	ws_workers_free(v);
	pthread_mutex_lock(&v->lock);
	ws_core_tick(v->core, now);
	due = ws_core_measure(v->core, now, &m);
	pthread_mutex_unlock(&v->lock);
	if (due) {
		pthread_mutex_lock(&v->size_lock);
		v->measure = m;
		v->size_due = true;
		pthread_cond_signal(&v->size_cond);
		pthread_mutex_unlock(&v->size_lock);
	}
	ws_drain(v);
	if (now > v->sweep_at) {
		struct ws_worker *x, *t;

		v->sweep_at = now + v->set->lease_s;
		ws_logf(WS_LOG_INFO,
			"connections: %d of workers, %d of users, %d others, %u to workers; "
			"%d requests of users, %d reports passed on under way",
			ws_server_conns(v->server, WS_CONN_WORKER),
			ws_server_conns(v->server, WS_CONN_USER),
			ws_server_conns(v->server, WS_CONN_NEW), HASH_COUNT(v->workers), v->users,
			v->relays);
		HASH_ITER (hh, v->workers, x, t)
			if (ws_client_idle(x->client, now, 4 * v->set->lease_s))
				ws_worker_retire(v, x);
	}
}

struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *s,
				  const struct ws_policy *p,
				  const struct ws_subsystem_settings *subsystems, char *err,
				  size_t n)
{
	struct ws_service *v = calloc(1, sizeof(*v));
	uint64_t nonce = 0;
	double tick = s->report_s / 40;
	struct ws_client_opts state = {.max_conns = 8,
				       .max_queue = (int)(s->state_rps / 2),
				       .max_reply = (size_t)4 * 1024 * 1024};
	struct ws_client_opts watch = {
	    .max_conns = 4, .max_queue = 8, .max_reply = (size_t)16 * 1024 * 1024};
	struct ws_client_opts cloud = {.max_conns = 2,
				       .max_queue = 8,
				       .max_reply = (size_t)4 * 1024 * 1024,
				       .rate = s->cloud_rps,
				       .burst = fmax(1, s->cloud_rps)};

	/*
	 * How the sockets are shared out: workers half, users three sixteenths, those that are
	 * about to be closed and those that wait to be taken one each, and two for commands to
	 * workers. Workers report so seldom that those above their part may come by a new
	 * connection each time: so a fleet larger than max_sockets is served.
	 */
	struct ws_server_opts server = {.max = s->sockets * 3 / 4,
					.backlog = s->sockets / 16 + 1,
					.keep = {s->sockets, s->sockets * 3 / 16, s->sockets / 2},
					.idle = {s->lease_s / 4, 4 * s->lease_s, 2.5 * s->report_s},
					.slow = s->lease_s / 4};

	if (!v)
		return NULL;
	arc4random_buf(&nonce, sizeof(nonce));
	v->loop = loop;
	v->set = s;
	v->ttl = s->lease_s * p->leader_ttl_ratio;
	pthread_mutex_init(&v->lock, NULL);
	pthread_mutex_init(&v->size_lock, NULL);
	pthread_cond_init(&v->size_cond, NULL);
	v->core = ws_core_new(s, p, ws_log_write, ws_now(), nonce);
	v->state = ws_client_new(loop, s->state.host, s->state.port, &state);
	v->watch = ws_client_new(loop, s->state.host, s->state.port, &watch);
	v->cloud = ws_client_new(loop, s->cloud.host, s->cloud.port, &cloud);
	v->server = ws_server_new(loop, s->bind.host, s->bind.port, &server, ws_request, v, err, n);
	if (v->server)
		v->peers = ws_peers_new(loop, s, ws_peer_ask, v, err, n);
	if (v->core && !ws_subsystem_attach(v->core, subsystems, s, err, n)) {
		ws_service_free(v);
		return NULL;
	}
	if (!v->core || !v->state || !v->watch || !v->cloud || !v->server || !v->peers) {
		ws_service_free(v);
		return NULL;
	}
	ws_shares(v, false);
	v->write_rate = s->state_write_rps / 2;
	v->writes = v->write_rate;
	v->writes_at = ws_now();
	ev_async_init(&v->sized, ws_sized);
	v->sized.data = v;
	ev_async_start(loop, &v->sized);
	ev_timer_init(&v->tick, ws_tick, 0.001, tick);
	v->tick.data = v;
	ev_timer_start(loop, &v->tick);
	if (pthread_create(&v->sizer, NULL, ws_sizer, v)) {
		snprintf(err, n, "can't start the sizing thread");
		ws_service_free(v);
		return NULL;
	}
	v->sizer_runs = true;
	return v;
}

void ws_service_resign(struct ws_service *v)
{
	pthread_mutex_lock(&v->lock);
	ws_core_resign(v->core, ws_now());
	pthread_mutex_unlock(&v->lock);
	ws_drain(v);
}

void ws_service_free(struct ws_service *v)
{
	struct ws_worker *w, *t;
	struct ws_pending *p, *q;

	if (!v)
		return;
	if (v->sizer_runs) {
		pthread_mutex_lock(&v->size_lock);
		v->size_stop = true;
		pthread_cond_signal(&v->size_cond);
		pthread_mutex_unlock(&v->size_lock);
		pthread_join(v->sizer, NULL);
	}
	v->draining = true; /* nothing more is started */
	ev_timer_stop(v->loop, &v->tick);
	ev_async_stop(v->loop, &v->sized);
	ws_client_free(v->state);
	ws_client_free(v->watch);
	ws_client_free(v->cloud);
	HASH_ITER (hh, v->workers, w, t)
		ws_worker_retire(v, w);
	ws_workers_free(v);
	ws_peers_free(v->peers);
	HASH_ITER (hh, v->pending, p, q)
		ws_pending_free(p);
	ws_server_free(v->server);
	ws_core_free(v->core);
	free(v);
}
