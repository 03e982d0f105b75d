/* The I/O layer round the core: sockets, timers, and the thread of the queueing model. */
#ifndef WS_SERVER_H
#define WS_SERVER_H
#include "../core/core.h"
#include "../startup_error.h"
#include "../subsystem_settings.h"
#include <ev.h>

struct ws_service;
/*
 * Binds the sockets and starts on the loop. The settings and the policy must outlive it. NULL with
 * the error if it can't be started.
 */
struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *settings,
				  const struct ws_policy *policy,
				  const struct ws_subsystem_settings *subsystems,
				  struct ws_startup_error *error);
/* Gives up leadership, if this node has it; what is to be sent for that goes out with the loop. */
void ws_service_resign(struct ws_service *service);
/* Closes all sockets and ends the thread; NULL is none. */
void ws_service_free(struct ws_service *service);
#endif
