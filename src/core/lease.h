/*
 * Times that follow from the settings: how long a machine's lease lasts on any clock, and how often
 * the leader looks at all machines. Seconds, on the core's clock.
 */
#ifndef WS_LEASE_H
#define WS_LEASE_H
#include "core.h"

/* The share by which the clocks of two machines drift apart at most: the protocol's figure,
 * doubled. */
#define WS_DRIFT 0.001

/* Seconds after which a lease has expired on any clock. */
double ws_lease_length(const struct ws_settings *settings);
/* The time by which a lease renewed at `from` has expired on any clock. */
double ws_lease_expiry(const struct ws_core *core, double from);
/* Seconds between two sweeps over all machines. */
double ws_sweep_interval(const struct ws_core *core);
#endif
