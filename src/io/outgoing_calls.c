/* Sends the core's calls to the store, the cloud, workers and voters, and returns their results. */
#include "clock.h"
#include "codec.h"
#include "outage_vote.h"
#include "server_internal.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MEBIBYTE ((size_t)1024 * 1024)

#define STORE_CONNECTIONS 8
#define STORE_REPLY_MAX (4 * MEBIBYTE)
#define WATCH_CONNECTIONS 4
#define WATCH_QUEUE 8
#define WATCH_REPLY_MAX (16 * MEBIBYTE)
#define CLOUD_CONNECTIONS 2
#define CLOUD_QUEUE 8
#define CLOUD_REPLY_MAX (4 * MEBIBYTE)

#define CLOUD_TIMEOUT_S 5
/* The reply to a watch may arrive this much later than the watch's own timeout. */
#define WATCH_GRACE_S 1
#define STORE_TIMEOUT_MAX_S 1.5

/* Fraction that is used of this node's share of the store's request limit. */
#define STORE_SHARE_UTILIZATION 0.95
/* Users' requests may cause at most half of the record changes that the store allows. The rate
 * never falls below this fraction of the store's limit, divided by the number of nodes. */
#define USER_WRITES_MIN_SHARE 0.3
#define WRITE_RATE_DECREASE 0.7
/* Seconds in which the rate of the write budget grows from zero to its maximum. */
#define WRITE_RATE_RECOVERY_S 16

/* A call that was sent and has no result yet. */
struct call_in_flight {
	struct ws_service *service;
	struct ws_call *call;
};

/* ---- the store's limits ---- */

void ws_outgoing_calls_set_share(struct ws_service *service, bool leading)
{
	const struct ws_settings *settings = service->settings;
	double share = leading || !settings->peer_count ? 0.5 : 0.5 / (double)settings->peer_count;

	if (!settings->peer_count)
		share = 1;
	service->outgoing.leading = leading;
	ws_client_set_rate(service->outgoing.store,
			   settings->store_rps * share * STORE_SHARE_UTILIZATION,
			   settings->store_rps * share / 2);
}

/* Takes `count` changes from the write budget. Returns false and takes none if it is exhausted. */
static bool take_from_write_budget(struct ws_service *service, size_t count)
{
	struct ws_write_budget *budget = &service->outgoing.write_budget;
	double max_rate = service->settings->store_write_rps / 2;
	double now = ws_now();
	double elapsed_s = now - budget->updated_at;

	budget->rate = fmin(max_rate, budget->rate + elapsed_s * max_rate / WRITE_RATE_RECOVERY_S);
	budget->available = fmin(budget->rate, budget->available + elapsed_s * budget->rate);
	budget->updated_at = now;
	if (budget->available < 1)
		return false;
	budget->available -= (double)count;
	return true;
}

static void lower_write_rate(struct ws_service *service)
{
	struct ws_write_budget *budget = &service->outgoing.write_budget;
	double min_rate = service->settings->store_write_rps * USER_WRITES_MIN_SHARE /
			  (double)(service->settings->peer_count + 1);

	budget->rate = fmax(min_rate, budget->rate * WRITE_RATE_DECREASE);
	budget->available = 0;
}

/* ---- results ---- */

/* Passes a result to the core, which frees the call, and frees the memory of the result. */
static void complete(struct ws_service *service, struct ws_call *call, struct ws_result *result)
{
	pthread_mutex_lock(&service->core_lock);
	ws_core_complete(service->core, ws_now(), call, result);
	pthread_mutex_unlock(&service->core_lock);
	ws_result_free(result);
}

/* Returns the key, peer or address of a call for the log, or "" if it has none. */
static const char *call_target(const struct ws_call *call)
{
	switch (call->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST: return call->read.key;
	case WS_CALL_WATCH: return call->watch.prefix;
	case WS_CALL_SCALE_OUT: return call->scale_out.idempotency_key;
	case WS_CALL_COMMANDS: return call->commands.address;
	case WS_CALL_OUTAGE_VOTE: return call->outage_vote.peer;
	default: return "";
	}
}

static const char *service_of_call(const struct ws_call *call)
{
	switch (call->kind) {
	case WS_CALL_MACHINE_TYPES:
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
	case WS_CALL_SCALE_IN: return "cloud";
	case WS_CALL_COMMANDS: return "worker";
	case WS_CALL_OUTAGE_VOTE: return "peer";
	default: return "store";
	}
}

static void note_refused_reply(struct ws_service *service, const struct ws_call *call,
			       size_t length, struct ws_refusal refusal)
{
	const struct ws_refused_message message = {.kind = WS_REFUSED_REPLY,
						   .sender = service_of_call(call),
						   .subject = call_target(call),
						   .length = length,
						   .refusal = refusal};

	ws_refusals_add(&service->refusals, ws_now(), &message);
}

static void complete_with_reply(struct ws_service *service, struct ws_call *call, int status,
				const char *body, size_t length)
{
	struct ws_result result;

	ws_decode_reply(call, status, body, length, &result);
	if (status > 0 && result.outcome == WS_OUTCOME_NO_REPLY)
		note_refused_reply(service, call, length, ws_message_refusal());
	if (result.outcome == WS_OUTCOME_NOT_SENT && call->kind != WS_CALL_COMMANDS) {
		result.outcome = WS_OUTCOME_NO_REPLY;
		result.http_status = 0;
	}
	complete(service, call, &result);
}

static void finish_http_call(struct call_in_flight *pending, int status, const char *body,
			     size_t length)
{
	struct ws_service *service = pending->service;
	struct ws_call *call = pending->call;

	free(pending);
	if (status == 429 && call->kind == WS_CALL_TRANSACTION && !call->transaction.self_paced)
		lower_write_rate(service);
	complete_with_reply(service, call, status, body, length);
}

static void on_http_reply(void *context, int status, const char *body, size_t length)
{
	struct call_in_flight *pending = context;
	struct ws_service *service = pending->service;

	finish_http_call(pending, status, body, length);
	ws_effects_execute(service);
}

static void finish_vote_call(struct call_in_flight *pending, const Ws__PeerFrame *reply)
{
	struct ws_result result = {.kind = WS_CALL_OUTAGE_VOTE};

	if (reply && !ws_vote_decode_reply(reply, &result))
		note_refused_reply(pending->service, pending->call, 0,
				   (struct ws_refusal){"job", "is not a job id"});
	complete(pending->service, pending->call, &result);
	free(pending);
}

static void on_vote(void *context, const Ws__PeerFrame *reply)
{
	struct call_in_flight *pending = context;
	struct ws_service *service = pending->service;

	finish_vote_call(pending, reply);
	ws_effects_execute(service);
}

/* ---- starting ---- */

static void request_vote(struct call_in_flight *pending)
{
	struct ws_service *service = pending->service;
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;

	frame.node = (char *)service->settings->node;
	ws_vote_encode_request(&frame, &vote, pending->call);
	if (!ws_peers_send(service->peers, pending->call->outage_vote.peer, &frame,
			   service->leader_ttl_s / 2, on_vote, pending))
		finish_vote_call(pending, NULL);
}

/* Returns the client that sends a call, or NULL if all clients for workers are busy. */
static struct ws_http_client *client_for(struct ws_service *service, const struct ws_call *call)
{
	struct ws_outgoing_calls *outgoing = &service->outgoing;

	switch (call->kind) {
	case WS_CALL_WATCH: return call->watch.timeout_ms ? outgoing->watch : outgoing->store;
	case WS_CALL_MACHINE_TYPES:
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
	case WS_CALL_SCALE_IN: return outgoing->cloud;
	case WS_CALL_COMMANDS:
		return ws_worker_connections_get(outgoing->workers, call->commands.address,
						 call->commands.port);
	default: return outgoing->store;
	}
}

static double timeout_s(const struct ws_service *service, const struct ws_call *call)
{
	const struct ws_settings *settings = service->settings;
	double timeout = fmin(settings->lease_s / 12, STORE_TIMEOUT_MAX_S);
	double poll_timeout = fmin(timeout, WS_POLL_STEP_TIMEOUT_S); /* leaves time to ask a peer */

	switch (call->kind) {
	case WS_CALL_WATCH: /* a watch without a timeout is answered at once */
		return call->watch.timeout_ms ? call->watch.timeout_ms / 1000.0 + WATCH_GRACE_S
					      : poll_timeout;
	case WS_CALL_GET: return poll_timeout;
	case WS_CALL_SESSION_RENEW: /* further renewals are sent meanwhile */
		return service->leader_ttl_s * 3 / 4;
	case WS_CALL_MACHINE_TYPES:
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
	case WS_CALL_SCALE_IN: return CLOUD_TIMEOUT_S;
	case WS_CALL_COMMANDS:
		/* without commands it is a probe whether the machine is reachable */
		return call->commands.count ? settings->heartbeat_s
					    : fmin(settings->heartbeat_s, settings->lease_s / 16);
	default: return timeout;
	}
}

static bool send_http_call(struct call_in_flight *pending, struct ws_http_client *client)
{
	const struct ws_call *call = pending->call;
	char path[WS_CALL_PATH_SIZE];
	const char *method;
	char *body = ws_encode_call(call, &method, path);
	bool sent =
	    ws_client_send(client, method, path, body ? body : "", body ? strlen(body) : 0,
			   timeout_s(pending->service, call), call->urgent, on_http_reply, pending);

	free(body);
	return sent;
}

void ws_outgoing_call_drop(struct ws_service *service, struct ws_call *call)
{
	complete_with_reply(service, call, -1, "", 0);
}

void ws_outgoing_call_start(struct ws_service *service, struct ws_call *call)
{
	struct call_in_flight *pending;
	struct ws_http_client *client;

	if (call->kind == WS_CALL_TRANSACTION && !call->transaction.self_paced &&
	    !take_from_write_budget(service, call->transaction.operation_count)) {
		complete_with_reply(service, call, 429, "", 0);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		abort();
	pending->service = service;
	pending->call = call;
	if (call->kind == WS_CALL_OUTAGE_VOTE) {
		request_vote(pending);
		return;
	}
	client = client_for(service, call);
	if (!client || !send_http_call(pending, client))
		finish_http_call(pending, call->kind == WS_CALL_COMMANDS ? -1 : 429, "", 0);
}

/* ---- start and end ---- */

bool ws_outgoing_calls_init(struct ws_service *service)
{
	const struct ws_settings *settings = service->settings;
	struct ws_outgoing_calls *outgoing = &service->outgoing;
	const struct ws_http_client_options store = {.max_connections = STORE_CONNECTIONS,
						     .max_queue = (int)(settings->store_rps / 2),
						     .max_reply_bytes = STORE_REPLY_MAX};
	const struct ws_http_client_options watch = {.max_connections = WATCH_CONNECTIONS,
						     .max_queue = WATCH_QUEUE,
						     .max_reply_bytes = WATCH_REPLY_MAX};
	const struct ws_http_client_options cloud = {.max_connections = CLOUD_CONNECTIONS,
						     .max_queue = CLOUD_QUEUE,
						     .max_reply_bytes = CLOUD_REPLY_MAX,
						     .requests_per_s = settings->cloud_rps,
						     .burst = fmax(1, settings->cloud_rps)};

	outgoing->store =
	    ws_client_new(service->loop, settings->store.host, settings->store.port, &store);
	outgoing->watch =
	    ws_client_new(service->loop, settings->store.host, settings->store.port, &watch);
	outgoing->cloud =
	    ws_client_new(service->loop, settings->cloud.host, settings->cloud.port, &cloud);
	outgoing->workers = ws_worker_connections_new(service->loop, settings);
	outgoing->write_budget.rate = settings->store_write_rps / 2;
	outgoing->write_budget.available = outgoing->write_budget.rate;
	outgoing->write_budget.updated_at = ws_now();
	if (!outgoing->store || !outgoing->watch || !outgoing->cloud || !outgoing->workers)
		return false;
	ws_outgoing_calls_set_share(service, false);
	return true;
}

void ws_outgoing_calls_free(struct ws_service *service)
{
	ws_client_free(service->outgoing.store);
	ws_client_free(service->outgoing.watch);
	ws_client_free(service->outgoing.cloud);
	ws_worker_connections_free(service->outgoing.workers);
}
