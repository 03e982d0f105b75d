/* How long the lease of a machine lasts, by the longest reckoning. */
#ifndef WS_LEASE_H
#define WS_LEASE_H
#include "core.h"

/* Clocks of two machines drift apart by this share at most (the protocol's figure, doubled). */
#define WS_DRIFT 0.001

/* Seconds after which a lease has run out on any clock. */
double ws_lease_length(const struct ws_settings *settings);
/* The time by which a lease renewed at `from` has run out on any clock. */
double ws_lease_expiry(const struct ws_core *core, double from);
#endif
