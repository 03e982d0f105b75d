/*
 * Declarations that the modules of the I/O layer share: the state of the service, and which module
 * owns each part of it.
 *
 *   server.c              starts and stops the service, and runs the tick timer
 *   request_router.c      handles HTTP requests and sends the answers
 *   forwarding.c          forwards requests to the leader and handles frames from peers
 *   effect_executor.c     executes the effects that the core has queued, in their order
 *   outgoing_calls.c      calls to the store, the cloud, workers and voters
 *   pending_requests.c    the table of requests that are not answered yet
 *   worker_connections.c  the pool of HTTP clients for workers
 *   queue_model_thread.c  the thread of the queue model
 *
 * Only the thread of the event loop uses this state, except for the core, which a mutex protects.
 */
#ifndef WS_SERVER_INTERNAL_H
#define WS_SERVER_INTERNAL_H
#include "../core/core.h"
#include "http_client.h"
#include "http_server.h"
#include "peer.h"
#include "pending_requests.h"
#include "refusals.h"
#include "queue_model_thread.h"
#include "worker_connections.h"
#include <pthread.h>

/* The protocol gives a poll of a job two seconds for its answer. A request to the store, and after
 * it one to a peer, each gets this part of that time. */
#define WS_POLL_STEP_TIMEOUT_S (2 * 0.4)

/* The prefix of the paths of users' requests. */
#define WS_USER_PATH "/v2/runs"

/* Size in bytes of a buffer for any path that the HTTP server accepts (WS_PATH_MAX). */
#define WS_URL_PATH_SIZE 1100

/* Owned by forwarding.c. */
struct ws_forwarding {
	double forwarding_paused_until; /* heartbeats are forwarded again after this time */
	int heartbeats_in_flight;	/* forwarded heartbeats that are not answered yet */
	uint64_t last_peer_request;	/* number of the last request from a peer */
};

/*
 * Limits the record changes per second that users' requests to this node may cause. It is a token
 * bucket: its rate falls when the store rejects a transaction as over its rate limit, and otherwise
 * rises slowly. Owned by outgoing_calls.c.
 */
struct ws_write_budget {
	double available, updated_at;
	double rate; /* changes per second */
};

/* Owned by outgoing_calls.c. */
struct ws_outgoing_calls {
	struct ws_http_client *store, *watch, *cloud;
	struct ws_worker_connections *workers;
	struct ws_write_budget write_budget;
	bool leading; /* `store` has the leader's share of the store's request rate */
};

struct ws_service {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	struct ws_core *core;
	/* Protects the core, which the queue model's thread calls as well. Held during each call of
	 * the core and never during input or output. */
	pthread_mutex_t core_lock;
	struct ws_http_server *server;
	struct ws_peers *peers;
	struct ws_pending_requests requests;
	struct ws_refusals refusals;
	struct ws_forwarding forwarding;
	struct ws_outgoing_calls outgoing;
	struct ws_queue_model_thread *queue_model;
	ev_timer tick_timer;
	double next_maintenance_at;
	double leader_ttl_s;	/* time to live of the leader's store session */
	bool executing_effects; /* or no further effect may be executed */
};

/* ---- effect_executor.c ---- */

/*
 * Executes all effects that the core has queued, in their order, and those queued meanwhile. Must
 * be called after each call of the core. A nested call returns at once, as the outer call executes
 * the effects that were added.
 */
void ws_effects_execute(struct ws_service *service);

/* ---- outgoing_calls.c ---- */

/* Creates the HTTP clients for the store, the cloud and workers. Returns false if memory is
 * exhausted. */
bool ws_outgoing_calls_init(struct ws_service *service);
void ws_outgoing_calls_free(struct ws_service *service);
/* Sets this node's share of the store's request rate. The leader gets half of the rate,
 * and each other node an equal part of the other half. A node without peers gets all of it. */
void ws_outgoing_calls_set_share(struct ws_service *service, bool leading);
/*
 * Starts a call of the core. The result is passed to the core, which frees the call: later, or
 * before this function returns if the call cannot be sent. Only ws_effects_execute() may call it,
 * as it then executes the effects of the result.
 */
void ws_outgoing_call_start(struct ws_service *service, struct ws_call *call);
/* Completes a call as not sent. Only ws_effects_execute() may call it, as above. */
void ws_outgoing_call_drop(struct ws_service *service, struct ws_call *call);

/* ---- request_router.c ---- */

/* Handles an HTTP request; see ws_http_request_fn. */
void ws_router_on_request(void *context, uint64_t request_id, const char *method, const char *url,
			  const char *body, size_t length);
/* Handles a user's request, from the client or `forwarded` by a peer; `path` begins with
 * WS_USER_PATH. */
void ws_router_handle_user(struct ws_service *service, uint64_t request_id, const char *method,
			   const char *path, const char *body, size_t length, bool forwarded);
/* Handles a worker's heartbeat, from the worker or `forwarded` by a peer. */
void ws_router_handle_heartbeat(struct ws_service *service, uint64_t request_id, const char *body,
				size_t length, bool forwarded);
/* Answers a request by HTTP or in a frame, whichever it was received by. Does nothing if it was
 * answered already. */
void ws_router_answer(struct ws_service *service, uint64_t request_id, int status, const char *body,
		      size_t length, int retry_after_s);
/* Answers with a status and an empty object. 429 and 503 ask for a retry after one second. */
void ws_router_answer_status(struct ws_service *service, uint64_t request_id, int status);
void ws_router_answer_user(struct ws_service *service, const struct ws_effect *answer);
void ws_router_answer_heartbeat(struct ws_service *service, const struct ws_effect *answer);
/* Copies the path of a URL, without query and fragment, to `path`, which has WS_URL_PATH_SIZE
 * bytes. */
void ws_router_url_path(const char *url, char *path);

/* ---- forwarding.c ---- */

/* Handles a peer's frame that carries a request; see ws_peer_request_fn. */
void ws_forwarding_on_frame(void *context, uint64_t connection, const Ws__PeerFrame *frame);
/* Forwards a request to the leader, or to any peer if the effect names none, and answers it with
 * the reply. */
void ws_forwarding_send(struct ws_service *service, const struct ws_effect *effect);
/* Answers a leader's request for an outage vote. */
void ws_forwarding_answer_vote(struct ws_service *service, struct ws_effect *answer);
#endif
