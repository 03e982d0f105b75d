/*
 * Times derived from the settings: the length of a machine's lease with clock drift allowed for,
 * and the interval at which the leader checks all machines. Seconds, on the core's clock.
 */
#ifndef WS_LEASE_H
#define WS_LEASE_H
#include "core.h"

/* Maximum drift between the clocks of two machines, as a share of the elapsed time: twice the
 * protocol's limit. */
#define WS_CLOCK_DRIFT_MAX 0.001

/* Time in seconds after which a lease has expired on every machine's clock. */
double ws_lease_length(const struct ws_settings *settings);
/* The time at which a lease renewed at `from` has expired on every machine's clock. */
double ws_lease_expiry(const struct ws_core *core, double from);
/* The time at which all leases that leaders before this one renewed have expired. */
double ws_earlier_leases_expiry(const struct ws_core *core);
/* Time in seconds between two sweeps over all machines. */
double ws_sweep_interval(const struct ws_core *core);
#endif
