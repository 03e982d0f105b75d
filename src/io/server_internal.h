/*
 * What the modules of the I/O layer share: the server's parts, and which module owns each.
 *
 *   server.c              starts and stops all, and runs the tick timer
 *   request_router.c      requests in by HTTP, answers out
 *   forwarding.c          requests that go to the leader, and frames that come from peers
 *   effect_executor.c     carries out what the core wants done, in its order
 *   outgoing_calls.c      calls to the store, the cloud, workers and voters
 *   pending_requests.c    the table of requests that are not answered yet
 *   worker_connections.c  the pool of clients to workers
 *   queue_model_thread.c  the thread of the queueing model
 *
 * All of it belongs to the thread of the event loop, except the core: see `lock`.
 */
#ifndef WS_SERVER_INTERNAL_H
#define WS_SERVER_INTERNAL_H
#include "../core/core.h"
#include "http_client.h"
#include "http_server.h"
#include "peer.h"
#include "pending_requests.h"
#include "queue_model_thread.h"
#include "worker_connections.h"
#include <pthread.h>

/* The protocol: a user waits two seconds for the answer to a poll. The store and after it
 * a peer have this part of them each. */
#define WS_POLL_STEP_S (2 * 0.4)

/* The base of users' paths. */
#define WS_USER_PATH "/v2/runs"

/* Room for any path that the HTTP server takes (WS_PATH_MAX). */
#define WS_LOCAL_PATH_SIZE 1100

/* Owned by forwarding.c. */
struct ws_forwarding {
	double peers_bad_until; /* until then heartbeats are answered with the leader's name */
	int heartbeats;		/* forwarded and not answered yet */
	uint64_t last_token;	/* of a peer's request */
};

/*
 * Changes of records a second that users' requests to this node may cost: a token bucket whose rate
 * falls when the store refuses one and rises slowly else. Owned by outgoing_calls.c.
 */
struct ws_write_budget {
	double available, updated_at;
	double rate; /* a second */
};

/* Owned by outgoing_calls.c. */
struct ws_outgoing_calls {
	struct ws_http_client *state, *watch, *cloud;
	struct ws_worker_connections *workers;
	struct ws_write_budget write_budget;
	bool leading; /* the share of the store that `state` has is the leader's */
};

struct ws_service {
	struct ev_loop *loop;
	const struct ws_settings *settings;
	struct ws_core *core;
	/* The core's: taken round each call of it, as the queue model's thread calls it as well;
	 * never held across input or output. */
	pthread_mutex_t lock;
	struct ws_http_server *server;
	struct ws_peers *peers;
	struct ws_pending_requests requests;
	struct ws_forwarding forwarding;
	struct ws_outgoing_calls outgoing;
	struct ws_queue_model_thread *queue_model;
	ev_timer tick;
	double sweep_at;
	double leader_ttl_s;	/* how long a store session of the leader lasts */
	bool executing_effects; /* or nothing more is to be started */
};

/* ---- effect_executor.c ---- */

/*
 * Carries out all effects that the core has queued, in their order, and those queued meanwhile. To
 * be called after each call of the core. Within itself it does nothing: the outer one goes on.
 */
void ws_effects_execute(struct ws_service *service);

/* ---- outgoing_calls.c ---- */

/* False without memory. */
bool ws_outgoing_calls_init(struct ws_service *service);
void ws_outgoing_calls_free(struct ws_service *service);
/* Sets this node's share of the store's requests: the leader has half of them. */
void ws_outgoing_calls_set_share(struct ws_service *service, bool leading);
/*
 * Starts a call of the core. Its result goes back to the core, which frees it: later, or before
 * this returns if it can't be sent. Only for ws_effects_execute(), which goes on with what follows.
 */
void ws_outgoing_call_start(struct ws_service *service, struct ws_call *call);
/* Ends a call that is not to be sent. Only for ws_effects_execute(), as above. */
void ws_outgoing_call_drop(struct ws_service *service, struct ws_call *call);

/* ---- request_router.c ---- */

/* A request by HTTP; see ws_http_request_fn. */
void ws_router_on_request(void *context, uint64_t request_id, const char *method, const char *url,
			  const char *body, size_t length);
/* A user's request, from a client or `forwarded` by a peer; `path` begins with WS_USER_PATH. */
void ws_router_handle_user(struct ws_service *service, uint64_t request_id, const char *method,
			   const char *path, const char *body, size_t length, bool forwarded);
/* A worker's heartbeat, from the worker or `forwarded` by a peer. */
void ws_router_handle_heartbeat(struct ws_service *service, uint64_t request_id, const char *body,
				size_t length, bool forwarded);
/* Answers a request, by HTTP or by a frame, as it came; nothing if it was answered. */
void ws_router_answer(struct ws_service *service, uint64_t request_id, int status, const char *body,
		      size_t length, int retry_after_s);
/* Answers with a status alone; 429 and 503 ask for a retry after a second. */
void ws_router_answer_status(struct ws_service *service, uint64_t request_id, int status);
void ws_router_answer_user(struct ws_service *service, const struct ws_effect *answer);
void ws_router_answer_heartbeat(struct ws_service *service, const struct ws_effect *answer);
/* The path of a URL, without query and fragment; `path` has WS_LOCAL_PATH_SIZE bytes. */
void ws_router_local_path(const char *url, char *path);

/* ---- forwarding.c ---- */

/* A frame of a peer that asks for something; see ws_peer_request_fn. */
void ws_forwarding_on_frame(void *context, uint64_t connection, const Ws__PeerFrame *frame);
/* Forwards a request to the leader and answers it with the reply. */
void ws_forwarding_send(struct ws_service *service, const struct ws_effect *effect);
/* Answers a leader that asked for an outage vote. */
void ws_forwarding_answer_vote(struct ws_service *service, struct ws_effect *answer);
#endif
