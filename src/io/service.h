/* The shell: sockets, timers and the sizing thread round the core. */
#ifndef WS_SERVICE_H
#define WS_SERVICE_H
#include "../core/core.h"
#include "../subsystem_settings.h"
#include <ev.h>

struct ws_service;
struct ws_service *ws_service_new(struct ev_loop *loop, const struct ws_settings *s,
				  const struct ws_policy *p,
				  const struct ws_subsystem_settings *subsystems, char *err,
				  size_t n);
/* Gives up the lead, if it is held; what is to be sent for it goes out with the loop. */
void ws_service_resign(struct ws_service *v);
void ws_service_free(struct ws_service *v);
#endif
