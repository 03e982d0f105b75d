#include "service.h"
#include "../core/autoscaler/queue_model.h"
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

enum ws_pending_kind { WS_PENDING_USER, WS_PENDING_HEARTBEAT, WS_PENDING_VOTE };

struct ws_pending { /* a request that has not been answered */
	uint64_t request_id;
	enum ws_pending_kind kind;
	uint64_t from, id; /* the peer's pipe and frame; from 0: straight from a client */
	struct ws_service *service;
	UT_hash_handle hh;
};

struct ws_worker {
	char name[80];
	struct ws_http_client *client;
	struct ws_worker *prev, *next; /* least lately used first */
	UT_hash_handle hh;
};

struct ws_flight { /* a call on its way, or a request forwarded */
	struct ws_service *service;
	struct ws_call *call;	/* NULL: a request forwarded, */
	uint64_t request_id;	/* which this one names */
	char node[WS_NAME_MAX]; /* of a heartbeat forwarded: to whom, and since when */
	double began;
	bool pinned;
};

struct ws_service {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	struct ws_core *core;
	pthread_mutex_t lock; /* the core's; never held across input or output */
	struct ws_http_server *server;
	struct ws_http_client *state, *watch, *cloud;
	struct ws_worker *workers, *lately, *retired;
	double peers_bad; /* until then reports are not forwarded: the leader is named instead */
	int forwards;	  /* reports forwarded and not answered yet */
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
	struct ws_queue_measurement measure;
	bool size_due, size_stop, sizer_runs;
};

#define WS_POLL_WAIT_S 2 /* the protocol: a user waits so long for the answer to a poll */
#define WS_PEER_REQUEST_ID (1ULL << 63)

static void ws_drain(struct ws_service *service);

static double ws_wall(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

/* ---- answers ---- */

static void ws_pending_free(struct ws_pending *pending)
{
	HASH_DEL(pending->service->pending, pending);
	if (pending->kind == WS_PENDING_USER)
		pending->service->users--;
	free(pending);
}

static void ws_reply(struct ws_service *service, uint64_t request_id, int status, const char *body,
		     size_t len, int retry_after)
{
	struct ws_pending *pending;

	HASH_FIND(hh, service->pending, &request_id, sizeof(request_id), pending);
	if (!pending)
		return;
	if (pending->from) {
		Ws__PeerFrame frame = WS__PEER_FRAME__INIT;

		frame.kind = WS__PEER_FRAME__KIND__REPLY;
		frame.id = pending->id;
		frame.node = (char *)service->settings->node;
		frame.body.data = (uint8_t *)body;
		frame.body.len = len;
		frame.status = (uint32_t)status;
		frame.retry_after = (uint32_t)retry_after;
		ws_peers_reply(service->peers, pending->from, &frame);
	} else {
		ws_server_answer(service->server, request_id, status, body, len, retry_after);
	}
	ws_pending_free(pending);
}

static void ws_reply_vote(struct ws_service *service, struct ws_effect *effect)
{
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;
	struct ws_pending *pending;

	HASH_FIND(hh, service->pending, &effect->request_id, sizeof(effect->request_id), pending);
	if (!pending)
		return;
	frame.id = pending->id;
	frame.node = (char *)service->settings->node;
	ws_vote_set_answer(&frame, &vote, effect);
	ws_peers_reply(service->peers, pending->from, &frame);
	ws_vote_free(&vote);
	ws_pending_free(pending);
}

static void ws_reply_plain(struct ws_service *service, uint64_t request_id, int status)
{
	ws_reply(service, request_id, status, "{}", 2, status == 503 || status == 429 ? 1 : 0);
}

/* A report that can't be forwarded: the worker may reach the leader itself. */
static void ws_name_leader(struct ws_service *service, uint64_t request_id, const char *node)
{
	struct ws_effect effect = {.status = 421};
	char *body;

	snprintf(effect.name, sizeof(effect.name), "%s", node);
	body = ws_encode_heartbeat_answer(&effect);
	ws_reply(service, request_id, body ? 421 : 503, body ? body : "{}", body ? strlen(body) : 2,
		 0);
	free(body);
}

static void ws_forward_answered(void *ctx, const Ws__PeerFrame *frame)
{
	struct ws_flight *flight = ctx;
	struct ws_service *service = flight->service;
	uint64_t request_id = flight->request_id;
	char node[WS_NAME_MAX];

	bool pinned = flight->pinned;
	double began = flight->began;

	snprintf(node, sizeof(node), "%s", flight->node);
	free(flight);
	if (node[0])
		service->forwards--;
	if (!frame && node[0] && !pinned && ws_now() - began < service->settings->lease_s / 32) {
		/* peers refuse each other, the worker may well reach it. Where packets are lost, or
		 * the worker was there in vain, it must go on to another node instead */
		service->peers_bad = ws_now() + service->settings->lease_s / 32;
		ws_name_leader(service, request_id, node);
	} else if (!frame || frame->status < 200 || frame->status > 599)
		ws_reply_plain(service, request_id, 503);
	else
		ws_reply(service, request_id, (int)frame->status, (const char *)frame->body.data,
			 frame->body.len, (int)frame->retry_after);
}

/* A server takes no longer paths than this. */
#define WS_URL_LOCAL 1100

/* The path of a URL, without query and fragment. */
static void ws_local_path(const char *url, char *path)
{
	snprintf(path, WS_URL_LOCAL, "%.*s", (int)strcspn(url, "?#"), url);
}

static void ws_forward(struct ws_service *service, uint64_t request_id, const char *node,
		       bool pinned)
{
	struct ws_pending *pending;
	struct ws_http_request request;
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	struct ws_flight *flight;
	char path[WS_URL_LOCAL];
	bool get;

	HASH_FIND(hh, service->pending, &request_id, sizeof(request_id), pending);
	if (!pending)
		return;
	if (!ws_server_request(service->server, request_id,
			       &request)) { /* who asked is gone, or it was a peer */
		ws_reply_plain(service, request_id, 503);
		return;
	}
	flight = calloc(1, sizeof(*flight));
	if (!flight) {
		ws_reply_plain(service, request_id, 503);
		return;
	}
	if (pending->kind == WS_PENDING_HEARTBEAT) {
		/* few at a time: when hundreds come at once, naming the leader is quicker, but not
		 * for those who can't reach it */
		if (!pinned && (ws_now() < service->peers_bad ||
				service->forwards >= service->settings->sockets / 32 + 1)) {
			free(flight);
			ws_name_leader(service, request_id, node);
			return;
		}
		snprintf(flight->node, sizeof(flight->node), "%s", node);
		flight->began = ws_now();
		flight->pinned = pinned;
		service->forwards++;
	}
	flight->service = service;
	flight->request_id = request_id;
	ws_local_path(request.url, path);
	get = !strcmp(request.method, "GET");
	frame.kind = pending->kind == WS_PENDING_HEARTBEAT ? WS__PEER_FRAME__KIND__HEARTBEAT
							   : WS__PEER_FRAME__KIND__USER;
	frame.node = (char *)service->settings->node;
	frame.method = (char *)request.method;
	frame.path = path;
	frame.body.data = (uint8_t *)request.body;
	frame.body.len = request.len;
	/* within what the asker waits: 4 s for workers, 5 s for submissions */
	if (!ws_peers_send(service->peers, node, &frame,
			   pending->kind == WS_PENDING_HEARTBEAT ? 3
			   : get				 ? WS_POLL_WAIT_S * 0.4
								 : 2.5,
			   ws_forward_answered, flight))
		ws_forward_answered(flight, NULL);
}

/* ---- calls ---- */

/* The result goes to the core, which frees the call; the result's own parts are freed here. */
static void ws_completed(struct ws_service *service, struct ws_call *call, struct ws_result *result)
{
	pthread_mutex_lock(&service->lock);
	ws_core_complete(service->core, ws_now(), call, result);
	pthread_mutex_unlock(&service->lock);
	ws_result_free(result);
	ws_drain(service);
}

static void ws_complete(struct ws_service *service, struct ws_call *call, int status,
			const char *body, size_t len)
{
	struct ws_result result;

	ws_decode_reply(call, status, body, len, &result);
	if (status > 0 && result.status == 0)
		ws_logf(WS_LOG_ERROR,
			"an answer (%d, %zu bytes) to a call of kind %d for %s can't be read: "
			"taken for none",
			status, len, call->kind, call->key[0] ? call->key : call->address);
	if (result.status < 0 && call->kind != WS_CALL_COMMANDS)
		result.status = 0;
	ws_completed(service, call, &result);
}

/*
 * Changes a second that users' requests to this node may cost: a fair part of three tenths for
 * sure, and up to half of all while nobody is refused any.
 */
static bool ws_write_allowed(struct ws_service *service, size_t ops)
{
	double now = ws_now(), most = service->settings->state_write_rps / 2;

	service->write_rate =
	    fmin(most, service->write_rate + (now - service->writes_at) * most / 16);
	service->writes = fmin(service->write_rate,
			       service->writes + (now - service->writes_at) * service->write_rate);
	service->writes_at = now;
	if (service->writes < 1)
		return false;
	service->writes -= (double)ops;
	return true;
}

static void ws_write_refused(struct ws_service *service)
{
	double least =
	    service->settings->state_write_rps * 0.3 / (double)(service->settings->peer_count + 1);

	service->write_rate = fmax(least, service->write_rate * 0.7);
	service->writes = 0;
}

static void ws_call_done(void *ctx, int status, const char *body, size_t len)
{
	struct ws_flight *flight = ctx;
	struct ws_service *service = flight->service;
	struct ws_call *call = flight->call;

	free(flight);
	if (status == 429 && call->kind == WS_CALL_TRANSACTION && !call->self_paced)
		ws_write_refused(service);
	ws_complete(service, call, status, body, len);
}

static void ws_vote_answered(void *ctx, const Ws__PeerFrame *frame)
{
	struct ws_flight *flight = ctx;
	struct ws_result result = {0};

	if (frame && !ws_vote_read(frame, &result))
		ws_logf(WS_LOG_ERROR, "testimony of %s can't be read: taken for none",
			flight->call->key);
	ws_completed(flight->service, flight->call, &result);
	free(flight);
}

/* Its client may be on the stack, in whose callback this is: it is freed by the timer. */
static void ws_worker_retire(struct ws_service *service, struct ws_worker *worker)
{
	HASH_DEL(service->workers, worker);
	DL_DELETE(service->lately, worker);
	DL_APPEND(service->retired, worker);
}

static void ws_workers_free(struct ws_service *service)
{
	struct ws_worker *worker, *next_worker;

	DL_FOREACH_SAFE (service->retired, worker, next_worker) {
		DL_DELETE(service->retired, worker);
		ws_client_free(worker->client);
		free(worker);
	}
}

/*
 * Connections to workers are for speed: replies carry the same commands. They get an eighth of the
 * sockets, the least lately used giving way; if all are busy, the reply must do.
 */
static struct ws_http_client *ws_worker_client(struct ws_service *service, const char *host,
					       int port)
{
	struct ws_worker *worker, *next_worker;
	char name[80];

	snprintf(name, sizeof(name), "%s:%d", host, port);
	HASH_FIND_STR(service->workers, name, worker);
	if (worker) {
		DL_DELETE(service->lately, worker);
		DL_APPEND(service->lately, worker);
		return worker->client;
	}
	if ((int)HASH_COUNT(service->workers) >= service->settings->sockets / 8 + 1) {
		DL_FOREACH_SAFE (service->lately, worker, next_worker)
			if (ws_client_idle(worker->client, ws_now(), 0)) {
				ws_worker_retire(service, worker);
				break;
			}
		if (!worker)
			return NULL;
	}
	struct ws_http_client_options options = {.max_conns = 1,
						 .max_queue = 4,
						 .max_reply = (size_t)256 * 1024,
						 .idle_s = service->settings->lease_s};
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		return NULL;
	strcpy(worker->name, name);
	worker->client = ws_client_new(service->loop, host, port, &options);
	if (!worker->client) {
		free(worker);
		return NULL;
	}
	HASH_ADD_STR(service->workers, name, worker);
	DL_APPEND(service->lately, worker);
	return worker->client;
}

static void ws_call_start(struct ws_service *service, struct ws_call *call)
{
	struct ws_flight *flight = calloc(1, sizeof(*flight));
	struct ws_http_client *client = service->state;
	const char *method;
	char path[WS_URL_MAX], *body;
	double ttl = service->ttl, timeout = fmin(service->settings->lease_s / 12, 1.5);
	bool ok;

	if (!flight)
		abort();
	flight->service = service;
	flight->call = call;
	if (call->kind == WS_CALL_OUTAGE_VOTE) {
		Ws__PeerFrame frame = WS__PEER_FRAME__INIT;

		Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;

		frame.node = (char *)service->settings->node;
		ws_vote_set_question(&frame, &vote, call);
		if (!ws_peers_send(service->peers, call->key, &frame, ttl / 2, ws_vote_answered,
				   flight))
			ws_vote_answered(flight, NULL);
		return;
	}
	switch (call->kind) {
	case WS_CALL_WATCH:
		if (!call->timeout_ms) { /* answered at once; a peer is asked after it */
			timeout = fmin(timeout, WS_POLL_WAIT_S * 0.4);
			break;
		}
		client = service->watch;
		timeout = call->timeout_ms / 1000.0 + 1;
		break;
	case WS_CALL_GET:
		timeout = fmin(timeout, WS_POLL_WAIT_S * 0.4); /* a peer is asked after it */
		break;
	case WS_CALL_SESSION_RENEW: timeout = ttl * 3 / 4; break; /* others follow meanwhile */
	case WS_CALL_MACHINE_TYPES:
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
	case WS_CALL_SCALE_IN:
		client = service->cloud;
		timeout = 5;
		break;
	case WS_CALL_COMMANDS:
		client = ws_worker_client(service, call->address, call->port);
		/* one without orders only asks whether the machine is there */
		timeout = call->command_count
			      ? service->settings->report_s
			      : fmin(service->settings->report_s, service->settings->lease_s / 16);
		break;
	case WS_CALL_TRANSACTION:
		if (!call->self_paced && !ws_write_allowed(service, call->operation_count)) {
			free(flight);
			ws_complete(service, call, 429, "", 0);
			return;
		}
		break;
	default: break;
	}
	body = ws_encode_call(call, &method, path);
	ok = client &&
	     ws_client_send(client, method, path, body ? body : "", body ? strlen(body) : 0,
			    timeout, call->urgent, ws_call_done, flight);
	free(body);
	if (!ok)
		ws_call_done(flight, call->kind == WS_CALL_COMMANDS ? -1 : 429, "", 0);
}

/* ---- what the core wants done ---- */

static void ws_shares(struct ws_service *service, bool leading)
{
	double share = leading || !service->settings->peer_count
			   ? 0.5
			   : 0.5 / (double)service->settings->peer_count;

	if (!service->settings->peer_count)
		share = 1;
	service->leading = leading;
	ws_client_rate(service->state, service->settings->state_rps * share * 0.95,
		       service->settings->state_rps * share / 2);
}

/* Commands, renewed leases and what is asked of the cloud: only the leader may. */
static bool ws_leaders_word(const struct ws_effect *effect)
{
	if (effect->kind == WS_EFFECT_ANSWER_HEARTBEAT)
		return effect->status == 200;
	return effect->kind == WS_EFFECT_CALL &&
	       (effect->call->kind == WS_CALL_COMMANDS || effect->call->kind == WS_CALL_SCALE_OUT ||
		effect->call->kind == WS_CALL_SCALE_IN);
}

/*
 * 'late': it was decided while we were entitled, but the process stood still since, and another
 * may lead by now.
 */
static void ws_effect_execute(struct ws_service *service, struct ws_effect *effect, bool late)
{
	char *body;

	if (late && effect->kind == WS_EFFECT_CALL) {
		ws_complete(service, effect->call, -1, "", 0);
		return;
	}
	if (late)
		effect->status = 503;
	switch (effect->kind) {
	case WS_EFFECT_CALL: ws_call_start(service, effect->call); break;
	case WS_EFFECT_ANSWER_USER:
		body = ws_encode_user(effect);
		ws_reply(service, effect->request_id, body ? effect->status : 503,
			 body ? body : "{}", body ? strlen(body) : 2,
			 body ? effect->retry_after : 1);
		free(body);
		break;
	case WS_EFFECT_ANSWER_HEARTBEAT:
		body = ws_encode_heartbeat_answer(effect);
		ws_reply(service, effect->request_id, body ? effect->status : 503,
			 body ? body : "{}", body ? strlen(body) : 2, 0);
		free(body);
		break;
	case WS_EFFECT_FORWARD:
		ws_forward(service, effect->request_id, effect->name, effect->worker_pinned);
		break;
	case WS_EFFECT_ANSWER_VOTE: ws_reply_vote(service, effect); break;
	}
}

static void ws_drain(struct ws_service *service)
{
	if (service->draining)
		return; /* the outer call goes on with what was added */
	service->draining = true;
	for (;;) {
		struct ws_effect *effect;

		pthread_mutex_lock(&service->lock);
		ws_core_pass_ended(service->core, ws_now);
		effect = ws_core_next_effect(service->core);
		bool leading = ws_core_is_leader(service->core);
		/* with the clock as it is now, directly before it leaves */
		bool late = effect && ws_leaders_word(effect) &&
			    !ws_core_is_entitled(service->core, ws_now());
		pthread_mutex_unlock(&service->lock);
		if (leading != service->leading)
			ws_shares(service, leading);
		if (!effect)
			break;
		ws_effect_execute(service, effect, late);
		ws_effect_free(effect);
	}
	service->draining = false;
}

/* ---- requests ---- */

static struct ws_pending *ws_pend(struct ws_service *service, uint64_t request_id,
				  enum ws_pending_kind kind)
{
	struct ws_pending *pending = calloc(1, sizeof(*pending));

	if (!pending)
		return NULL;
	pending->request_id = request_id;
	pending->kind = kind;
	pending->service = service;
	HASH_ADD(hh, service->pending, request_id, sizeof(pending->request_id), pending);
	if (kind == WS_PENDING_USER)
		service->users++;
	return pending;
}

static void ws_user(struct ws_service *service, uint64_t request_id, const char *method,
		    const char *path, const char *body, size_t len, bool forwarded)
{
	static const char base[] = "/v2/runs";
	const char *rest = path + sizeof(base) - 1;
	bool post = !strcmp(method, "POST"), get = !strcmp(method, "GET");
	char id[WS_ID_MAX];
	size_t n;

	/* a small buffer: half a second of what the store can take */
	if (service->users > (int)(service->settings->state_rps / 2)) {
		ws_reply_plain(service, request_id, 503);
		return;
	}
	if (!rest[0]) {
		struct ws_job_spec spec;
		int bad;

		if (!post) {
			ws_reply_plain(service, request_id, 405);
			return;
		}
		bad = ws_decode_job(body, len, &spec);
		if (bad) {
			ws_reply_plain(service, request_id, bad);
			return;
		}
		pthread_mutex_lock(&service->lock);
		ws_core_submit(service->core, ws_now(), ws_wall(), request_id, &spec, forwarded);
		pthread_mutex_unlock(&service->lock);
		ws_drain(service);
		return;
	}
	rest++;
	n = strcspn(rest, "/");
	if (n >= sizeof(id) || !n) {
		ws_reply_plain(service, request_id, 404);
		return;
	}
	memcpy(id, rest, n);
	id[n] = 0;
	bool abort_job = !strcmp(rest + n, "/abort");

	if (rest[n] && !abort_job) {
		ws_reply_plain(service, request_id, 404);
	} else if (abort_job ? !post : !get) {
		ws_reply_plain(service, request_id, 405);
	} else if (!ws_job_id_ok(id)) {
		ws_reply_plain(service, request_id, 404); /* no job has such an id */
	} else {
		pthread_mutex_lock(&service->lock);
		if (abort_job)
			ws_core_cancel(service->core, ws_now(), request_id, id, forwarded);
		else
			ws_core_query_status(service->core, ws_now(), request_id, id, forwarded);
		pthread_mutex_unlock(&service->lock);
		ws_drain(service);
	}
}

static void ws_heartbeat_received(struct ws_service *service, uint64_t request_id, const char *body,
				  size_t len, bool forwarded)
{
	struct ws_heartbeat heartbeat;

	if (!ws_decode_heartbeat(body, len, &heartbeat)) {
		ws_logf(WS_LOG_ERROR, "a report of %zu bytes can't be read", len);
		ws_reply_plain(service, request_id, 400);
		return;
	}
	pthread_mutex_lock(&service->lock);
	ws_core_heartbeat(service->core, ws_now(), request_id, &heartbeat, forwarded);
	pthread_mutex_unlock(&service->lock);
	ws_heartbeat_free(&heartbeat);
	ws_drain(service);
}

static void ws_request(void *ctx, uint64_t request_id, const char *method, const char *url,
		       const char *body, size_t len)
{
	struct ws_service *service = ctx;
	char path[WS_URL_LOCAL];
	bool report;

	ws_local_path(url, path);
	report = !strcmp(path, "/checkin");
	if (!ws_pend(service, request_id, report ? WS_PENDING_HEARTBEAT : WS_PENDING_USER)) {
		ws_server_answer(service->server, request_id, 503, "{}", 2, 1);
		return;
	}
	if (report) {
		ws_server_kind(service->server, request_id, WS_CONN_WORKER);
		if (strcmp(method, "POST"))
			ws_reply_plain(service, request_id, 405);
		else
			ws_heartbeat_received(service, request_id, body, len, false);
	} else if (!strncmp(path, "/v2/runs", 8) && (!path[8] || path[8] == '/')) {
		ws_server_kind(service->server, request_id, WS_CONN_USER);
		ws_user(service, request_id, method, path, body, len, false);
	} else if (!strcmp(path, "/healthz")) {
		bool ready;

		pthread_mutex_lock(&service->lock);
		ready = ws_core_is_ready(service->core);
		pthread_mutex_unlock(&service->lock);
		ws_reply_plain(service, request_id,
			       strcmp(method, "GET") ? 405
			       : ready		     ? 200
						     : 503);
	} else {
		ws_reply_plain(service, request_id, 404);
	}
}

static void ws_peer_ask(void *ctx, uint64_t from, const Ws__PeerFrame *frame)
{
	struct ws_service *service = ctx;
	uint64_t request_id = WS_PEER_REQUEST_ID | ++service->next_token;
	enum ws_pending_kind kind = frame->kind == WS__PEER_FRAME__KIND__HEARTBEAT
					? WS_PENDING_HEARTBEAT
				    : frame->kind == WS__PEER_FRAME__KIND__USER ? WS_PENDING_USER
										: WS_PENDING_VOTE;
	/* a frame without a body has none to point to */
	const char *body = frame->body.len ? (const char *)frame->body.data : "";
	struct ws_pending *pending;

	if (frame->body.len > WS_BODY_MAX || strlen(frame->path) > 1000) {
		ws_logf(WS_LOG_ERROR, "a frame of %s is too long: refused", frame->node);
		return;
	}
	pending = ws_pend(service, request_id, kind);
	if (!pending)
		return;
	pending->from = from;
	pending->id = frame->id;
	if (kind == WS_PENDING_HEARTBEAT) {
		ws_heartbeat_received(service, request_id, body, frame->body.len, true);
	} else if (kind == WS_PENDING_USER) {
		if (!strncmp(frame->path, "/v2/runs", 8))
			ws_user(service, request_id, frame->method, frame->path, body,
				frame->body.len, true);
		else
			ws_reply_plain(service, request_id, 404);
	} else if (frame->kind == WS__PEER_FRAME__KIND__OUTAGE_VOTE) {
		const Ws__OutageVote *vote = frame->vote;

		pthread_mutex_lock(&service->lock);
		if (vote)
			ws_core_outage_vote(service->core, ws_now(), request_id,
					    vote->leader_revision, vote->since_revision,
					    vote->after_job);
		else
			ws_core_outage_vote_unlisted(service->core, ws_now(), request_id);
		pthread_mutex_unlock(&service->lock);
		ws_drain(service);
	} else {
		ws_logf(WS_LOG_ERROR, "a frame of kind %d of %s is refused", (int)frame->kind,
			frame->node);
		ws_reply_plain(service, request_id, 400);
	}
}

/* ---- the sizing thread ---- */

static void *ws_sizer(void *ctx)
{
	struct ws_service *service = ctx;

	pthread_mutex_lock(&service->size_lock);
	for (;;) {
		struct ws_queue_measurement measurement;
		struct ws_queue_solution solution = {0};
		int k;

		while (!service->size_due && !service->size_stop)
			pthread_cond_wait(&service->size_cond, &service->size_lock);
		if (service->size_stop)
			break;
		service->size_due = false;
		measurement = service->measure;
		pthread_mutex_unlock(&service->size_lock);
		k = ws_sizing_run(&measurement, &solution);
		pthread_mutex_lock(&service->lock);
		ws_core_set_scale_out_limit(service->core, ws_now(), k, solution.mean_scaled_out,
					    solution.mean_wait_s);
		pthread_mutex_unlock(&service->lock);
		ev_async_send(service->loop, &service->sized);
		pthread_mutex_lock(&service->size_lock);
	}
	pthread_mutex_unlock(&service->size_lock);
	return NULL;
}

static void ws_sized(struct ev_loop *loop, ev_async *watcher, int revents)
{
	(void)loop;
	(void)revents;
	ws_drain(watcher->data);
}

static void ws_tick(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	struct ws_service *service = watcher->data;
	struct ws_queue_measurement measurement;
	double now = ws_now();
	bool due;

	(void)loop;
	(void)revents;
	ws_workers_free(service);
	pthread_mutex_lock(&service->lock);
	ws_core_tick(service->core, now);
	due = ws_core_take_measurement(service->core, now, &measurement);
	pthread_mutex_unlock(&service->lock);
	if (due) {
		pthread_mutex_lock(&service->size_lock);
		service->measure = measurement;
		service->size_due = true;
		pthread_cond_signal(&service->size_cond);
		pthread_mutex_unlock(&service->size_lock);
	}
	ws_drain(service);
	if (now > service->sweep_at) {
		struct ws_worker *worker, *next_worker;

		service->sweep_at = now + service->settings->lease_s;
		ws_logf(WS_LOG_INFO,
			"connections: %d of workers, %d of users, %d others, %u to workers; "
			"%d requests of users, %d reports passed on under way",
			ws_server_conns(service->server, WS_CONN_WORKER),
			ws_server_conns(service->server, WS_CONN_USER),
			ws_server_conns(service->server, WS_CONN_NEW), HASH_COUNT(service->workers),
			service->users, service->forwards);
		HASH_ITER (hh, service->workers, worker, next_worker)
			if (ws_client_idle(worker->client, now, 4 * service->settings->lease_s))
				ws_worker_retire(service, worker);
	}
}

struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *settings,
				  const struct ws_policy *policy,
				  const struct ws_subsystem_settings *subsystems, char *err,
				  size_t size)
{
	struct ws_service *service = calloc(1, sizeof(*service));
	uint64_t nonce = 0;
	double tick = settings->report_s / 40;
	struct ws_http_client_options state = {.max_conns = 8,
					       .max_queue = (int)(settings->state_rps / 2),
					       .max_reply = (size_t)4 * 1024 * 1024};
	struct ws_http_client_options watch = {
	    .max_conns = 4, .max_queue = 8, .max_reply = (size_t)16 * 1024 * 1024};
	struct ws_http_client_options cloud = {.max_conns = 2,
					       .max_queue = 8,
					       .max_reply = (size_t)4 * 1024 * 1024,
					       .rate = settings->cloud_rps,
					       .burst = fmax(1, settings->cloud_rps)};

	/*
	 * How the sockets are shared out: workers half, users three sixteenths, those that are
	 * about to be closed and those that wait to be taken one each, and two for commands to
	 * workers. Workers report so seldom that those above their part may come by a new
	 * connection each time: so a fleet larger than max_sockets is served.
	 */
	struct ws_http_server_options server = {
	    .max = settings->sockets * 3 / 4,
	    .backlog = settings->sockets / 16 + 1,
	    .keep = {settings->sockets, settings->sockets * 3 / 16, settings->sockets / 2},
	    .idle = {settings->lease_s / 4, 4 * settings->lease_s, 2.5 * settings->report_s},
	    .slow = settings->lease_s / 4};

	if (!service)
		return NULL;
	arc4random_buf(&nonce, sizeof(nonce));
	service->loop = loop;
	service->settings = settings;
	service->ttl = settings->lease_s * policy->leader_ttl_ratio;
	pthread_mutex_init(&service->lock, NULL);
	pthread_mutex_init(&service->size_lock, NULL);
	pthread_cond_init(&service->size_cond, NULL);
	service->core = ws_core_new(settings, policy, ws_log_write, ws_now(), nonce);
	service->state = ws_client_new(loop, settings->state.host, settings->state.port, &state);
	service->watch = ws_client_new(loop, settings->state.host, settings->state.port, &watch);
	service->cloud = ws_client_new(loop, settings->cloud.host, settings->cloud.port, &cloud);
	service->server = ws_server_new(loop, settings->bind.host, settings->bind.port, &server,
					ws_request, service, err, size);
	if (service->server)
		service->peers = ws_peers_new(loop, settings, ws_peer_ask, service, err, size);
	if (service->core && !ws_subsystem_attach(service->core, subsystems, settings, err, size)) {
		ws_service_free(service);
		return NULL;
	}
	if (!service->core || !service->state || !service->watch || !service->cloud ||
	    !service->server || !service->peers) {
		ws_service_free(service);
		return NULL;
	}
	ws_shares(service, false);
	service->write_rate = settings->state_write_rps / 2;
	service->writes = service->write_rate;
	service->writes_at = ws_now();
	ev_async_init(&service->sized, ws_sized);
	service->sized.data = service;
	ev_async_start(loop, &service->sized);
	ev_timer_init(&service->tick, ws_tick, 0.001, tick);
	service->tick.data = service;
	ev_timer_start(loop, &service->tick);
	if (pthread_create(&service->sizer, NULL, ws_sizer, service)) {
		snprintf(err, size, "can't start the sizing thread");
		ws_service_free(service);
		return NULL;
	}
	service->sizer_runs = true;
	return service;
}

void ws_service_resign(struct ws_service *service)
{
	pthread_mutex_lock(&service->lock);
	ws_core_resign(service->core, ws_now());
	pthread_mutex_unlock(&service->lock);
	ws_drain(service);
}

void ws_service_free(struct ws_service *service)
{
	struct ws_worker *worker, *next_worker;
	struct ws_pending *pending, *other_pending;

	if (!service)
		return;
	if (service->sizer_runs) {
		pthread_mutex_lock(&service->size_lock);
		service->size_stop = true;
		pthread_cond_signal(&service->size_cond);
		pthread_mutex_unlock(&service->size_lock);
		pthread_join(service->sizer, NULL);
	}
	service->draining = true; /* nothing more is started */
	ev_timer_stop(service->loop, &service->tick);
	ev_async_stop(service->loop, &service->sized);
	ws_client_free(service->state);
	ws_client_free(service->watch);
	ws_client_free(service->cloud);
	HASH_ITER (hh, service->workers, worker, next_worker)
		ws_worker_retire(service, worker);
	ws_workers_free(service);
	ws_peers_free(service->peers);
	HASH_ITER (hh, service->pending, pending, other_pending)
		ws_pending_free(pending);
	ws_server_free(service->server);
	ws_core_free(service->core);
	free(service);
}
