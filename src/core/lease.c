#include "core_state.h"

/* The safety margin on top of the clock drift is the lease divided by this. */
#define EXPIRY_MARGINS_PER_LEASE 32
/* Upper bounds of the sweep interval: fractions of a heartbeat interval and of a lease. */
#define SWEEPS_PER_HEARTBEAT 20
#define SWEEPS_PER_LEASE 160

double ws_lease_length(const struct ws_settings *settings)
{
	return settings->lease_s * (1 + WS_CLOCK_DRIFT_MAX) +
	       settings->lease_s / EXPIRY_MARGINS_PER_LEASE;
}

double ws_lease_expiry(const struct ws_core *core, double from)
{
	return from + ws_lease_length(core->settings);
}

double ws_earlier_leases_expiry(const struct ws_core *core)
{
	return ws_lease_expiry(core, core->leadership.predecessors_entitled_until);
}

double ws_sweep_interval(const struct ws_core *core)
{
	return fmin(core->settings->heartbeat_s / SWEEPS_PER_HEARTBEAT,
		    core->settings->lease_s / SWEEPS_PER_LEASE);
}
