/* The digest of all that leaves the cores, see sim_digest.c. */
#ifndef WS_SIM_DIGEST_H
#define WS_SIM_DIGEST_H
#include "sim_parts.h"

void sim_digest_begin(struct sim *sim);
/* An effect that leaves the core of a node. */
void sim_digest_add(struct sim *sim, int node, const struct ws_effect *effect);
#endif
