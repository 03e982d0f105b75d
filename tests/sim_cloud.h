/* Simulated cloud: machine types and instances, scale-out and scale-in. */
#ifndef WS_SIM_CLOUD_H
#define WS_SIM_CLOUD_H
#include "sim_parts.h"

/* Adds a machine of the type with index `type`. Returns the machine's index in sim->workers. */
int sim_cloud_add_worker(struct sim *sim, int type, const char *zone, bool preemptible, bool owned);
/* Returns the index of the machine type, or sim->type_count if no such type exists. */
int sim_type_index(const struct sim *sim, const char *name);
void sim_cloud_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result);
#endif
