/* Looks up service level objectives in the policy and the settings. */
#include "core_state.h"

/* Names of the objective kinds in the settings file. */
static const char kind_guarantee[] = "guarantee";
static const char kind_wait[] = "wait";

double ws_latency_bound(const struct ws_core *core)
{
	const struct ws_settings *settings = core->settings;

	if (core->policy.latency_bound_s > 0)
		return core->policy.latency_bound_s;
	for (size_t i = 0; i < settings->objective_count; i++)
		if (!strcmp(settings->objectives[i].kind, kind_guarantee) &&
		    settings->objectives[i].within_s > 0)
			return settings->objectives[i].within_s;
	return settings->lease_s / 4;
}

double ws_start_objective(const struct ws_core *core, const char *job_class)
{
	const struct ws_settings *settings = core->settings;

	for (size_t i = 0; i < settings->objective_count; i++)
		if (!strcmp(settings->objectives[i].kind, kind_wait) &&
		    !strcmp(settings->objectives[i].job_class, job_class))
			return settings->objectives[i].within_s;
	return 0;
}
