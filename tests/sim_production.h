/* Conversion of effects for nodes that run the version in production. */
#ifndef WS_SIM_PRODUCTION_H
#define WS_SIM_PRODUCTION_H
#include "production_abi.h"
#include "sim_parts.h"

/*
 * Converts an effect of the version in production into one of this version. Freeing the effect and
 * its call frees all that this allocates. The context of the call is the core's own call object.
 */
void sim_production_convert_effect(struct ws_effect *effect, const struct production_effect *from);
#endif
