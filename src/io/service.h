/* The shell: sockets, timers and the sizing thread round the core. */
#ifndef WS_SERVICE_H
#define WS_SERVICE_H
#include "../core/core.h"
#include "../subsystem_settings.h"
#include <ev.h>

struct ws_service;
struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *settings,
				  const struct ws_policy *policy,
				  const struct ws_subsystem_settings *subsystems, char *err,
				  size_t size);
/* Gives up leadership, if it is held; what is to be sent for it goes out with the loop. */
void ws_service_resign(struct ws_service *service);
void ws_service_free(struct ws_service *service);
#endif
