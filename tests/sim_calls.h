/* Calls from the cores to the store, the cloud, workers and peers, with network faults. */
#ifndef WS_SIM_CALLS_H
#define WS_SIM_CALLS_H
#include "sim_parts.h"

/* Sends a call that a node's core has made and takes ownership of it. */
void sim_call_start(struct sim *sim, int node, struct ws_call *call);
/* Executes or answers a due call, which the caller has removed from sim->calls_in_flight. */
void sim_call_advance(struct sim *sim, struct sim_call_in_flight *flight);
/*
 * Delivers a node's answer to an outage vote request. Takes ownership of the effect's list of
 * cancellations if both nodes run this version.
 */
void sim_call_deliver_vote(struct sim *sim, const struct sim_node *node, struct ws_effect *effect);
/* Delivers delayed direct commands that are due to their workers. */
void sim_calls_deliver_delayed_commands(struct sim *sim);
/* Frees all calls and direct commands in flight. */
void sim_calls_free(struct sim *sim);
#endif
