/* Controller nodes: starts, crashes and upgrades, and the execution of their cores' effects. */
#ifndef WS_SIM_NODES_H
#define WS_SIM_NODES_H
#include "sim_parts.h"

/* Gives all nodes their settings and starts them. */
void sim_nodes_start(struct sim *sim);
/* Restarts nodes whose downtime is over, and ticks and drains all that are up and not frozen. */
void sim_nodes_step(struct sim *sim);
/* Executes all pending effects of the cores. */
void sim_nodes_drain(struct sim *sim);
/* Stops a node, which restarts after `down_s` seconds. */
void sim_node_crash(struct sim *sim, int index, double down_s);
/*
 * From its next start the node runs this version, configured with the lower of the store's present
 * and announced limits.
 */
void sim_node_upgrade(struct sim *sim, int index);
/* The time on a node's own clock, clock skew included. */
double sim_node_time(const struct sim *sim, const struct sim_node *node);
void sim_nodes_free(struct sim *sim);
#endif
