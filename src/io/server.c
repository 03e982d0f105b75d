/* Starts and stops the I/O layer, and runs its tick timer. */
#include "server.h"
#include "../log.h"
#include "clock.h"
#include "server_internal.h"
#include <stdio.h>
#include <stdlib.h>

/* Ticks of the core per interval between two heartbeats of a worker. */
#define TICKS_PER_HEARTBEAT 40
#define FIRST_TICK_S 0.001
/* An HTTP client for a worker is closed after it was unused for this multiple of lease_s. */
#define WORKER_IDLE_LEASES 4

static void on_queue_model_result(void *context)
{
	ws_effects_execute(context);
}

/* Logs the numbers of connections and closes unused HTTP clients for workers, once per
 * lease_s. */
static void run_maintenance(struct ws_service *service, double now)
{
	ws_logf(WS_LOG_INFO,
		"connections from_workers=%d from_users=%d other=%d to_workers=%u "
		"user_requests=%d forwarded_heartbeats=%d refused_requests=%lu "
		"refused_submissions=%lu refused_heartbeats=%lu refused_frames=%lu "
		"refused_replies=%lu",
		ws_server_connection_count(service->server, WS_CONN_WORKER),
		ws_server_connection_count(service->server, WS_CONN_USER),
		ws_server_connection_count(service->server, WS_CONN_UNCLASSIFIED),
		ws_worker_connections_count(service->outgoing.workers),
		service->requests.user_requests, service->forwarding.heartbeats_in_flight,
		ws_server_rejected_count(service->server),
		service->refusals.counts[WS_REFUSED_SUBMISSION],
		service->refusals.counts[WS_REFUSED_HEARTBEAT],
		service->refusals.counts[WS_REFUSED_PEER_FRAME],
		service->refusals.counts[WS_REFUSED_REPLY]);
	ws_worker_connections_retire_idle(service->outgoing.workers, now,
					  WORKER_IDLE_LEASES * service->settings->lease_s);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct ws_service *service = watcher->data;
	struct ws_queue_measurement measurement;
	double now = ws_now();
	bool measured;

	(void)loop;
	(void)events;
	ws_worker_connections_free_retired(service->outgoing.workers);
	pthread_mutex_lock(&service->core_lock);
	ws_core_tick(service->core, now);
	measured = ws_core_take_measurement(service->core, now, &measurement);
	pthread_mutex_unlock(&service->core_lock);
	if (measured)
		ws_queue_model_thread_submit(service->queue_model, &measurement);
	ws_effects_execute(service);
	if (now > service->next_maintenance_at) {
		service->next_maintenance_at = now + service->settings->lease_s;
		run_maintenance(service, now);
	}
}

/*
 * Divides the socket limit. Connections of workers get one half, those of users 3/16, those that
 * are about to be closed and those that wait to be accepted 1/16 each, and those to workers 2/16.
 * Workers beyond their share open a new connection for each heartbeat, which is affordable because
 * heartbeats are rare. The server can therefore serve a fleet larger than max_sockets.
 */
static struct ws_http_server_options http_server_options(const struct ws_settings *settings)
{
	int sockets = settings->client_sockets;

	return (struct ws_http_server_options){
	    .max_connections = sockets * 3 / 4,
	    .backlog = sockets / 16 + 1,
	    .keep_alive_max = {sockets, sockets * 3 / 16, sockets / 2},
	    .idle_timeout_s = {settings->lease_s / 4, 4 * settings->lease_s,
			       2.5 * settings->heartbeat_s},
	    .receive_timeout_s = settings->lease_s / 4,
	};
}

/* Opens the listening sockets. Returns false and sets `error` if that fails. */
static bool listen_on_sockets(struct ws_service *service, struct ws_startup_error *error)
{
	const struct ws_settings *settings = service->settings;
	const struct ws_http_server_options options = http_server_options(settings);
	char text[WS_STARTUP_TEXT_MAX] = "";

	service->server =
	    ws_server_new(service->loop, settings->bind.host, settings->bind.port, &options,
			  ws_router_on_request, service, text, sizeof(text));
	if (service->server)
		service->peers = ws_peers_new(service->loop, settings, ws_forwarding_on_frame,
					      service, text, sizeof(text));
	if (service->peers)
		return true;
	*error = (struct ws_startup_error){.code = WS_STARTUP_LISTEN_FAILED};
	snprintf(error->text, sizeof(error->text), "%s", text);
	return false;
}

static bool start_queue_model(struct ws_service *service, struct ws_startup_error *error)
{
	const struct ws_queue_model_thread_config config = {
	    .loop = service->loop,
	    .core = service->core,
	    .core_lock = &service->core_lock,
	    .on_result = on_queue_model_result,
	    .context = service,
	};

	service->queue_model = ws_queue_model_thread_start(&config);
	if (service->queue_model)
		return true;
	*error = (struct ws_startup_error){.code = WS_STARTUP_THREAD_FAILED,
					   .text = "can't start the thread of the queue model"};
	return false;
}

static void start_tick_timer(struct ws_service *service)
{
	ev_timer_init(&service->tick_timer, on_tick, FIRST_TICK_S,
		      service->settings->heartbeat_s / TICKS_PER_HEARTBEAT);
	service->tick_timer.data = service;
	ev_timer_start(service->loop, &service->tick_timer);
}

static bool start_service(struct ws_service *service, const struct ws_policy *policy,
			  const struct ws_subsystem_settings *subsystems,
			  struct ws_startup_error *error)
{
	uint64_t nonce = 0;

	arc4random_buf(&nonce, sizeof(nonce));
	service->core = ws_core_new(service->settings, policy, ws_log_write, ws_now(), nonce);
	if (!service->core)
		return false;
	ws_core_set_log_level(service->core, ws_log_level());
	if (!ws_outgoing_calls_init(service) || !listen_on_sockets(service, error) ||
	    !ws_subsystem_attach(service->core, subsystems, service->settings, error))
		return false;
	start_tick_timer(service);
	return start_queue_model(service, error);
}

struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *settings,
				  const struct ws_policy *policy,
				  const struct ws_subsystem_settings *subsystems,
				  struct ws_startup_error *error)
{
	struct ws_service *service = calloc(1, sizeof(*service));

	if (!service)
		return NULL;
	service->loop = loop;
	service->settings = settings;
	service->leader_ttl_s = settings->lease_s * policy->leader_ttl_ratio;
	pthread_mutex_init(&service->core_lock, NULL);
	if (start_service(service, policy, subsystems, error))
		return service;
	ws_service_free(service);
	return NULL;
}

void ws_service_resign(struct ws_service *service)
{
	pthread_mutex_lock(&service->core_lock);
	ws_core_resign(service->core, ws_now());
	pthread_mutex_unlock(&service->core_lock);
	ws_effects_execute(service);
}

void ws_service_free(struct ws_service *service)
{
	if (!service)
		return;
	ws_queue_model_thread_stop(service->queue_model);
	service->executing_effects = true; /* no further effect is executed */
	ev_timer_stop(service->loop, &service->tick_timer);
	ws_outgoing_calls_free(service);
	ws_peers_free(service->peers);
	ws_pending_requests_clear(&service->requests);
	ws_server_free(service->server);
	ws_core_free(service->core);
	free(service);
}
