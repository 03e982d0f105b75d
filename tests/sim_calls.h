/* Calls of the cores to store, cloud, workers and peers, and the network between them. */
#ifndef WS_SIM_CALLS_H
#define WS_SIM_CALLS_H
#include "sim_parts.h"

/* Sends off a call that a node's core has made; it takes the call over. */
void sim_call_start(struct sim *sim, int node, struct ws_call *call);
/* Executes or answers a call that was taken out of sim->calls_in_flight when it was due. */
void sim_call_advance(struct sim *sim, struct sim_call_in_flight *flight);
/* A node's answer to a question for an outage vote; it may take parts of the effect over. */
void sim_call_vote_answered(struct sim *sim, const struct sim_node *node, struct ws_effect *effect);
/* Direct commands that were held back and are due reach their workers. */
void sim_calls_deliver_late_commands(struct sim *sim);
/* Frees all that is under way. */
void sim_calls_free(struct sim *sim);
#endif
