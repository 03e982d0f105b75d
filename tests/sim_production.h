/* What the modules of the nodes of the version in production share. */
#ifndef WS_SIM_PRODUCTION_H
#define WS_SIM_PRODUCTION_H
#include "production_abi.h"
#include "sim_parts.h"

/*
 * An effect of a core of the version in production as one of this version. What it allocates is
 * freed with the effect and its call; the context of the call is the core's own call object.
 */
void sim_production_convert_effect(struct ws_effect *effect, const struct production_effect *from);
#endif
