/* The store: keys, sessions and watches. */
#ifndef WS_SIM_STORE_H
#define WS_SIM_STORE_H
#include "sim_parts.h"

/* Writes a key at the current revision, or deletes it when the value is NULL. */
void sim_store_put(struct sim *sim, const char *key, json_t *value, uint64_t session);
/* Executes any call but a watch. */
void sim_store_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result);
/* What a watch brings now; false: nothing yet. */
bool sim_store_watch(const struct sim *sim, const struct ws_call *call, struct ws_result *result);
/* Sessions get their whole time anew when an outage has ended. */
void sim_sessions_extend_after_outage(struct sim *sim);
/* Ends sessions that were not renewed, and deletes their keys. */
void sim_sessions_expire(struct sim *sim);
void sim_store_free(struct sim *sim);
#endif
