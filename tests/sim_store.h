/* Simulated key-value store: records, transactions, sessions and watches. */
#ifndef WS_SIM_STORE_H
#define WS_SIM_STORE_H
#include "sim_parts.h"

/* Writes a key at the current revision, or deletes it if the value is NULL. */
void sim_store_write(struct sim *sim, const char *key, json_t *value, uint64_t session);
/* Executes a call of any kind except a watch. */
void sim_store_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result);
/* Collects the changes that a watch delivers now. Returns false if there are none yet. */
bool sim_store_watch(const struct sim *sim, const struct ws_call *call, struct ws_result *result);
/* Restarts the TTL of every live session when an outage of the store has ended. */
void sim_sessions_extend_after_outage(struct sim *sim);
/* Ends sessions whose TTL has expired, and deletes their keys. */
void sim_sessions_expire(struct sim *sim);
void sim_store_free(struct sim *sim);
#endif
