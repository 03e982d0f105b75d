/* The I/O layer around the core: sockets, timers, and the thread of the queue model. */
#ifndef WS_SERVER_H
#define WS_SERVER_H
#include "../core/core.h"
#include "../startup_error.h"
#include "../subsystem_settings.h"
#include <ev.h>

struct ws_service;
/*
 * Binds the sockets and starts the service on the loop. The settings and the policy must outlive
 * it. Returns NULL and sets `error` if the service cannot be started.
 */
struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *settings,
				  const struct ws_policy *policy,
				  const struct ws_subsystem_settings *subsystems,
				  struct ws_startup_error *error);
/* Resigns leadership if this node holds it. The loop must run on for the requests to be sent. */
void ws_service_resign(struct ws_service *service);
/* Closes all sockets, ends the thread and frees the service, which may be NULL. */
void ws_service_free(struct ws_service *service);
#endif
