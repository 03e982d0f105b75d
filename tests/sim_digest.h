/* The digest of all effects that the cores emit, see sim_digest.c. */
#ifndef WS_SIM_DIGEST_H
#define WS_SIM_DIGEST_H
#include "sim_parts.h"

void sim_digest_init(struct sim *sim);
/* Adds an effect that the core of a node emitted. */
void sim_digest_add(struct sim *sim, int node, const struct ws_effect *effect);
#endif
