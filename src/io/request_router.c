/*
 * Handles HTTP requests of users, workers and health checks, and sends the answers by HTTP or, for
 * a request from a peer, in a frame.
 */
#include "clock.h"
#include "codec.h"
#include "http_status.h"
#include "server_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_PATH "/checkin"
#define HEALTH_PATH "/healthz"
#define USER_PATH_LENGTH (sizeof(WS_USER_PATH) - 1)
#define EMPTY_BODY "{}"
#define RETRY_AFTER_S 1
/* Large enough for "ADDRESS:PORT". */
#define CLIENT_ADDRESS_SIZE 32

/* ---- answers ---- */

static void answer_by_frame(struct ws_service *service, const struct ws_pending_request *request,
			    int status, const char *body, size_t length, int retry_after_s)
{
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;

	frame.kind = WS__PEER_FRAME__KIND__REPLY;
	frame.id = request->frame_id;
	frame.node = (char *)service->settings->node;
	frame.body.data = (uint8_t *)body;
	frame.body.len = length;
	frame.status = (uint32_t)status;
	frame.retry_after = (uint32_t)retry_after_s;
	ws_peers_reply(service->peers, request->peer_connection, &frame);
}

void ws_router_answer(struct ws_service *service, uint64_t request_id, int status, const char *body,
		      size_t length, int retry_after_s)
{
	struct ws_pending_request *request =
	    ws_pending_requests_find(&service->requests, request_id);

	if (!request)
		return;
	if (request->peer_connection)
		answer_by_frame(service, request, status, body, length, retry_after_s);
	else
		ws_server_respond(service->server, request_id, status, body, length, retry_after_s);
	ws_pending_requests_remove(&service->requests, request);
}

void ws_router_answer_status(struct ws_service *service, uint64_t request_id, int status)
{
	bool retry = status == 503 || status == 429;

	ws_router_answer(service, request_id, status, EMPTY_BODY, strlen(EMPTY_BODY),
			 retry ? RETRY_AFTER_S : 0);
}

/* Answers with a body and frees it. A NULL body means that memory was exhausted, and gives 503. */
static void answer_encoded(struct ws_service *service, const struct ws_effect *answer, char *body,
			   int retry_after_s)
{
	if (body)
		ws_router_answer(service, answer->request_id,
				 ws_http_status_of_answer(answer->answer), body, strlen(body),
				 retry_after_s);
	else
		ws_router_answer(service, answer->request_id, 503, EMPTY_BODY, strlen(EMPTY_BODY),
				 answer->kind == WS_EFFECT_ANSWER_USER ? RETRY_AFTER_S : 0);
	free(body);
}

void ws_router_answer_user(struct ws_service *service, const struct ws_effect *answer)
{
	answer_encoded(service, answer, ws_encode_user_answer(answer), answer->user.retry_after_s);
}

void ws_router_answer_heartbeat(struct ws_service *service, const struct ws_effect *answer)
{
	answer_encoded(service, answer, ws_encode_heartbeat_answer(answer), 0);
}

/* ---- malformed messages ---- */

/* Writes who sent a request: the address of its connection, or "peer" if it was forwarded. */
static void sender_of_request(const struct ws_service *service, uint64_t request_id, char *sender,
			      size_t size)
{
	if (!ws_server_client_address(service->server, request_id, sender, size))
		snprintf(sender, size, "peer");
}

/* Answers a malformed message with 400 and the reason. */
static void refuse_message(struct ws_service *service, uint64_t request_id,
			   enum ws_refused_kind kind, const char *subject, size_t length)
{
	char sender[CLIENT_ADDRESS_SIZE];
	const struct ws_refused_message message = {.kind = kind,
						   .sender = sender,
						   .subject = subject,
						   .length = length,
						   .refusal = ws_message_refusal()};
	char *body = ws_encode_refusal(message.refusal);

	sender_of_request(service, request_id, sender, sizeof(sender));
	ws_refusals_add(&service->refusals, ws_now(), &message);
	if (body)
		ws_router_answer(service, request_id, 400, body, strlen(body), 0);
	else
		ws_router_answer_status(service, request_id, 400);
	free(body);
}

/* ---- users ---- */

static void submit_job(struct ws_service *service, uint64_t request_id, const char *body,
		       size_t length, bool forwarded)
{
	struct ws_job_spec spec;

	if (ws_decode_job(body, length, &spec)) {
		refuse_message(service, request_id, WS_REFUSED_SUBMISSION, spec.id, length);
		return;
	}
	pthread_mutex_lock(&service->core_lock);
	ws_core_submit(service->core, ws_now(), ws_wall_time(), request_id, &spec, forwarded);
	pthread_mutex_unlock(&service->core_lock);
	ws_effects_execute(service);
}

/* Parses "ID" or "ID/abort". Returns false if the path has neither form. */
static bool parse_job_path(const char *path, char id[WS_ID_MAX], bool *cancel)
{
	size_t length = strcspn(path, "/");

	if (!length || length >= WS_ID_MAX)
		return false;
	memcpy(id, path, length);
	id[length] = 0;
	*cancel = !strcmp(path + length, "/abort");
	return *cancel || !path[length];
}

/* Handles a poll of a job or its cancellation. */
static void handle_job_request(struct ws_service *service, uint64_t request_id, const char *method,
			       const char *path, bool forwarded)
{
	char id[WS_ID_MAX];
	bool cancel;

	if (!parse_job_path(path, id, &cancel)) {
		ws_router_answer_status(service, request_id, 404);
		return;
	}
	if (strcmp(method, cancel ? "POST" : "GET")) {
		ws_router_answer_status(service, request_id, 405);
		return;
	}
	if (!ws_job_id_is_valid(id)) { /* a job with a malformed id cannot exist */
		ws_router_answer_status(service, request_id, 404);
		return;
	}
	pthread_mutex_lock(&service->core_lock);
	if (cancel)
		ws_core_cancel(service->core, ws_now(), request_id, id, forwarded);
	else
		ws_core_query_status(service->core, ws_now(), request_id, id, forwarded);
	pthread_mutex_unlock(&service->core_lock);
	ws_effects_execute(service);
}

void ws_router_handle_user(struct ws_service *service, uint64_t request_id, const char *method,
			   const char *path, const char *body, size_t length, bool forwarded)
{
	const char *rest = path + USER_PATH_LENGTH;

	/* the requests that wait for the store are limited to half a second of its request rate */
	if (service->requests.user_requests > (int)(service->settings->store_rps / 2))
		ws_router_answer_status(service, request_id, 503);
	else if (rest[0])
		handle_job_request(service, request_id, method, rest + 1, forwarded);
	else if (strcmp(method, "POST"))
		ws_router_answer_status(service, request_id, 405);
	else
		submit_job(service, request_id, body, length, forwarded);
}

/* ---- workers ---- */

void ws_router_handle_heartbeat(struct ws_service *service, uint64_t request_id, const char *body,
				size_t length, bool forwarded)
{
	struct ws_heartbeat heartbeat;

	if (!ws_decode_heartbeat(body, length, &heartbeat)) {
		refuse_message(service, request_id, WS_REFUSED_HEARTBEAT, heartbeat.machine,
			       length);
		return;
	}
	pthread_mutex_lock(&service->core_lock);
	ws_core_heartbeat(service->core, ws_now(), request_id, &heartbeat, forwarded);
	pthread_mutex_unlock(&service->core_lock);
	ws_heartbeat_free(&heartbeat);
	ws_effects_execute(service);
}

/* ---- routing ---- */

static void answer_health_check(struct ws_service *service, uint64_t request_id, const char *method)
{
	bool ready;

	pthread_mutex_lock(&service->core_lock);
	ready = ws_core_is_ready(service->core);
	pthread_mutex_unlock(&service->core_lock);
	if (strcmp(method, "GET"))
		ws_router_answer_status(service, request_id, 405);
	else
		ws_router_answer_status(service, request_id, ready ? 200 : 503);
}

static bool is_user_path(const char *path)
{
	return !strncmp(path, WS_USER_PATH, USER_PATH_LENGTH) &&
	       (!path[USER_PATH_LENGTH] || path[USER_PATH_LENGTH] == '/');
}

void ws_router_url_path(const char *url, char *path)
{
	snprintf(path, WS_URL_PATH_SIZE, "%.*s", (int)strcspn(url, "?#"), url);
}

static void route_heartbeat(struct ws_service *service, uint64_t request_id, const char *method,
			    const char *body, size_t length)
{
	ws_server_set_kind(service->server, request_id, WS_CONN_WORKER);
	if (strcmp(method, "POST"))
		ws_router_answer_status(service, request_id, 405);
	else
		ws_router_handle_heartbeat(service, request_id, body, length, false);
}

void ws_router_on_request(void *context, uint64_t request_id, const char *method, const char *url,
			  const char *body, size_t length)
{
	struct ws_service *service = context;
	char path[WS_URL_PATH_SIZE];
	bool heartbeat;

	ws_router_url_path(url, path);
	heartbeat = !strcmp(path, HEARTBEAT_PATH);
	if (!ws_pending_requests_add(&service->requests, request_id,
				     heartbeat ? WS_REQUEST_HEARTBEAT : WS_REQUEST_USER)) {
		ws_server_respond(service->server, request_id, 503, EMPTY_BODY, strlen(EMPTY_BODY),
				  RETRY_AFTER_S);
		return;
	}
	if (heartbeat) {
		route_heartbeat(service, request_id, method, body, length);
	} else if (is_user_path(path)) {
		ws_server_set_kind(service->server, request_id, WS_CONN_USER);
		ws_router_handle_user(service, request_id, method, path, body, length, false);
	} else if (!strcmp(path, HEALTH_PATH)) {
		answer_health_check(service, request_id, method);
	} else {
		ws_router_answer_status(service, request_id, 404);
	}
}
