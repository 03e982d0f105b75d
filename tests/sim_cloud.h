/* The cloud: instances that come and go. */
#ifndef WS_SIM_CLOUD_H
#define WS_SIM_CLOUD_H
#include "sim_parts.h"

/* Adds a machine of a type, by its index; its number. */
int sim_add_worker(struct sim *sim, int type, const char *zone, bool preemptible, bool owned);
/* The index of a machine type; sim->type_count: there is none. */
int sim_type_index(const struct sim *sim, const char *name);
void sim_cloud_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result);
#endif
