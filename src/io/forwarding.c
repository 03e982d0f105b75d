/*
 * Forwards requests that this node cannot answer to the leader in a frame, and handles frames from
 * peers.
 *
 * A heartbeat that cannot be forwarded is answered with 421 and the leader's name, so that the
 * worker connects to the leader itself, unless the worker has already failed to reach it.
 */
#include "../log.h"
#include "clock.h"
#include "codec.h"
#include "outage_vote.h"
#include "server_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits the forwarded heartbeats in flight: one more is allowed for each so many sockets. */
#define SOCKETS_PER_FORWARDED_HEARTBEAT 32
/* If a forwarded heartbeat fails within this fraction of lease_s, forwarding pauses for as long. */
#define FORWARDING_PAUSES_PER_LEASE 32
/* Shorter than the timeouts of the clients: 4 s for heartbeats, 5 s for submissions. */
#define HEARTBEAT_TIMEOUT_S 3
#define SUBMIT_TIMEOUT_S 2.5
#define PEER_PATH_MAX 1000
/* Set in the ids of requests from peers, so that they differ from those of the HTTP server. */
#define PEER_REQUEST_ID_BIT (1ULL << 63)

/* A forwarded request that waits for its reply. */
struct forwarded_request {
	struct ws_service *service;
	uint64_t request_id;
	bool heartbeat;
	/* set for heartbeats only: */
	char leader[WS_NAME_MAX];
	double sent_at;
	bool redirect_failed; /* the worker was redirected to the leader and returned */
};

/* ---- requests to the leader ---- */

static double forwarding_pause_s(const struct ws_service *service)
{
	return service->settings->lease_s / FORWARDING_PAUSES_PER_LEASE;
}

static void answer_with_leader(struct ws_service *service, uint64_t request_id, const char *leader)
{
	struct ws_effect answer = {.kind = WS_EFFECT_ANSWER_HEARTBEAT,
				   .request_id = request_id,
				   .answer = WS_ANSWER_OTHER_LEADER};

	snprintf(answer.heartbeat.leader, sizeof(answer.heartbeat.leader), "%s", leader);
	ws_router_answer_heartbeat(service, &answer);
}

/* Answers the client with the reply to a forwarded request; `reply` is NULL if none came. */
static void on_reply(void *context, const Ws__PeerFrame *reply)
{
	struct forwarded_request request = *(struct forwarded_request *)context;
	struct ws_service *service = request.service;

	free(context);
	if (request.heartbeat)
		service->forwarding.heartbeats_in_flight--;
	if (!reply && request.heartbeat && !request.redirect_failed &&
	    ws_now() - request.sent_at < forwarding_pause_s(service)) {
		/* The failure came quickly, so this node cannot connect to the leader, but the
		 * worker may be able to. After a timeout, which lost packets cause, or if the
		 * worker has already failed to reach the leader, 503 makes it try another node. */
		service->forwarding.forwarding_paused_until =
		    ws_now() + forwarding_pause_s(service);
		answer_with_leader(service, request.request_id, request.leader);
	} else if (!reply || reply->status < 200 || reply->status > 599) {
		ws_router_answer_status(service, request.request_id, 503);
	} else {
		ws_router_answer(service, request.request_id, (int)reply->status,
				 (const char *)reply->body.data, reply->body.len,
				 (int)reply->retry_after);
	}
}

/*
 * Limits the heartbeats that are forwarded at a time. When hundreds arrive at once, it is faster to
 * redirect the workers to the leader, except for a worker that cannot reach it.
 */
static bool heartbeat_may_be_forwarded(const struct ws_service *service, bool redirect_failed)
{
	int limit = service->settings->client_sockets / SOCKETS_PER_FORWARDED_HEARTBEAT + 1;

	return redirect_failed || (ws_now() >= service->forwarding.forwarding_paused_until &&
				   service->forwarding.heartbeats_in_flight < limit);
}

static double forward_timeout_s(bool heartbeat, const char *method)
{
	if (heartbeat)
		return HEARTBEAT_TIMEOUT_S;
	return strcmp(method, "GET") ? SUBMIT_TIMEOUT_S : WS_POLL_STEP_TIMEOUT_S;
}

static struct forwarded_request *
forwarded_request_new(struct ws_service *service, const struct ws_effect *effect, bool heartbeat)
{
	struct forwarded_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->service = service;
	request->request_id = effect->request_id;
	request->heartbeat = heartbeat;
	if (heartbeat) {
		snprintf(request->leader, sizeof(request->leader), "%s", effect->forward.leader);
		request->sent_at = ws_now();
		request->redirect_failed = effect->forward.redirect_failed;
		service->forwarding.heartbeats_in_flight++;
	}
	return request;
}

static void send_to_leader(struct forwarded_request *request, const char *leader,
			   const struct ws_http_request *http)
{
	struct ws_service *service = request->service;
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	char path[WS_URL_PATH_SIZE];

	ws_router_url_path(http->url, path);
	frame.kind =
	    request->heartbeat ? WS__PEER_FRAME__KIND__HEARTBEAT : WS__PEER_FRAME__KIND__USER;
	frame.node = (char *)service->settings->node;
	frame.method = (char *)http->method;
	frame.path = path;
	frame.body.data = (uint8_t *)http->body;
	frame.body.len = http->body_length;
	if (!ws_peers_send(service->peers, leader, &frame,
			   forward_timeout_s(request->heartbeat, http->method), on_reply, request))
		on_reply(request, NULL);
}

void ws_forwarding_send(struct ws_service *service, const struct ws_effect *effect)
{
	const struct ws_pending_request *pending =
	    ws_pending_requests_find(&service->requests, effect->request_id);
	struct forwarded_request *request;
	struct ws_http_request http;
	bool heartbeat;

	if (!pending)
		return;
	if (!ws_server_get_request(service->server, effect->request_id, &http)) {
		/* the client has disconnected, or the request came from a peer */
		ws_router_answer_status(service, effect->request_id, 503);
		return;
	}
	heartbeat = pending->kind == WS_REQUEST_HEARTBEAT;
	if (heartbeat && !heartbeat_may_be_forwarded(service, effect->forward.redirect_failed)) {
		answer_with_leader(service, effect->request_id, effect->forward.leader);
		return;
	}
	request = forwarded_request_new(service, effect, heartbeat);
	if (request)
		send_to_leader(request, effect->forward.leader, &http);
	else
		ws_router_answer_status(service, effect->request_id, 503);
}

/* ---- frames of peers ---- */

void ws_forwarding_answer_vote(struct ws_service *service, struct ws_effect *answer)
{
	struct ws_pending_request *request =
	    ws_pending_requests_find(&service->requests, answer->request_id);
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;

	if (!request)
		return;
	frame.id = request->frame_id;
	frame.node = (char *)service->settings->node;
	ws_vote_encode_reply(&frame, &vote, answer);
	ws_peers_reply(service->peers, request->peer_connection, &frame);
	ws_vote_free(&vote);
	ws_pending_requests_remove(&service->requests, request);
}

/* Handles a leader's request for an outage vote. A peer of the previous version sends no `vote` and
 * accepts no list of cancellations. */
static void handle_vote_request(struct ws_service *service, uint64_t request_id,
				const Ws__OutageVote *vote)
{
	pthread_mutex_lock(&service->core_lock);
	if (vote)
		ws_core_outage_vote(service->core, ws_now(), request_id, vote->leader_revision,
				    vote->since_revision, vote->after_job);
	else
		ws_core_outage_vote_legacy(service->core, ws_now(), request_id);
	pthread_mutex_unlock(&service->core_lock);
	ws_effects_execute(service);
}

static enum ws_request_kind request_kind_of_frame(const Ws__PeerFrame *frame)
{
	switch (frame->kind) {
	case WS__PEER_FRAME__KIND__HEARTBEAT: return WS_REQUEST_HEARTBEAT;
	case WS__PEER_FRAME__KIND__USER: return WS_REQUEST_USER;
	default: return WS_REQUEST_OUTAGE_VOTE;
	}
}

static void handle_user_frame(struct ws_service *service, uint64_t request_id,
			      const Ws__PeerFrame *frame, const char *body)
{
	if (strncmp(frame->path, WS_USER_PATH, strlen(WS_USER_PATH)) != 0)
		ws_router_answer_status(service, request_id, 404);
	else
		ws_router_handle_user(service, request_id, frame->method, frame->path, body,
				      frame->body.len, true);
}

static void note_oversized_frame(struct ws_service *service, const Ws__PeerFrame *frame)
{
	const struct ws_refused_message message = {.kind = WS_REFUSED_PEER_FRAME,
						   .sender = frame->node,
						   .subject = frame->path,
						   .length = frame->body.len,
						   .refusal = {"frame", "is too long"}};

	ws_refusals_add(&service->refusals, ws_now(), &message);
}

void ws_forwarding_on_frame(void *context, uint64_t connection, const Ws__PeerFrame *frame)
{
	struct ws_service *service = context;
	uint64_t request_id = PEER_REQUEST_ID_BIT | ++service->forwarding.last_peer_request;
	/* the data pointer of an empty body is NULL */
	const char *body = frame->body.len ? (const char *)frame->body.data : "";
	struct ws_pending_request *request;

	if (frame->body.len > WS_BODY_MAX || strlen(frame->path) > PEER_PATH_MAX) {
		note_oversized_frame(service, frame);
		return;
	}
	request =
	    ws_pending_requests_add(&service->requests, request_id, request_kind_of_frame(frame));
	if (!request)
		return;
	request->peer_connection = connection;
	request->frame_id = frame->id;
	switch (frame->kind) {
	case WS__PEER_FRAME__KIND__HEARTBEAT:
		ws_router_handle_heartbeat(service, request_id, body, frame->body.len, true);
		break;
	case WS__PEER_FRAME__KIND__USER: handle_user_frame(service, request_id, frame, body); break;
	case WS__PEER_FRAME__KIND__OUTAGE_VOTE:
		handle_vote_request(service, request_id, frame->vote);
		break;
	default:
		service->refusals.counts[WS_REFUSED_PEER_FRAME]++;
		ws_logf(WS_LOG_ERROR, "peer frame of unknown kind rejected peer=%s kind=%d",
			frame->node, (int)frame->kind);
		ws_router_answer_status(service, request_id, 400);
	}
}
