/* Controller nodes: how they start and end, and what becomes of the effects of their cores. */
#ifndef WS_SIM_NODES_H
#define WS_SIM_NODES_H
#include "sim_parts.h"

/* Gives all nodes their settings and starts them. */
void sim_nodes_start(struct sim *sim);
/* Nodes that were down come back, and all tick. */
void sim_nodes_step(struct sim *sim);
/* Carries out all effects that the cores have to offer. */
void sim_nodes_drain(struct sim *sim);
/* Ends a node, which comes back so many seconds later. */
void sim_node_crash(struct sim *sim, int index, double down_s);
/* It is of this version from its next start, and plans by the lower limits to come. */
void sim_node_upgrade(struct sim *sim, int index);
/* The time by a node's own clock. */
double sim_node_time(const struct sim *sim, const struct sim_node *node);
void sim_nodes_free(struct sim *sim);
#endif
