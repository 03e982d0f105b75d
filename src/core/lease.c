#include "core_state.h"

double ws_lease_length(const struct ws_settings *settings)
{
	return settings->lease_s * (1 + WS_DRIFT) + settings->lease_s / 32;
}

/* The time by which a lease renewed at 'from' has run out on any clock. */
double ws_lease_expiry(const struct ws_core *core, double from)
{
	return from + ws_lease_length(core->settings);
}
