/* Demand that found no free capacity in the scheduler's pass, and how long it may wait. */
#include "../core_state.h"

#define INITIAL_CAPACITY 64

void ws_autoscaler_add_demand(struct ws_core *core, struct ws_job *job, uint32_t tasks,
			      uint32_t zones)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;

	if (!job->unmet_since)
		job->unmet_since = core->now;
	if (zones && !(zones &= ~core->subsystems.zones_closed))
		return; /* it waits for zones that are closed to scale-out now */
	if (autoscaler->unmet_count == autoscaler->unmet_capacity) {
		autoscaler->unmet_capacity =
		    autoscaler->unmet_capacity ? autoscaler->unmet_capacity * 2 : INITIAL_CAPACITY;
		autoscaler->unmet_demand =
		    realloc(autoscaler->unmet_demand,
			    autoscaler->unmet_capacity * sizeof(*autoscaler->unmet_demand));
		if (!autoscaler->unmet_demand)
			abort();
	}
	autoscaler->unmet_demand[autoscaler->unmet_count++] =
	    (struct ws_unmet_demand){job, tasks, zones};
}

double ws_latency_bound(const struct ws_core *core)
{
	const struct ws_settings *settings = core->settings;

	if (core->policy.latency_bound_s > 0)
		return core->policy.latency_bound_s;
	for (size_t i = 0; i < settings->objective_count; i++) {
		const struct ws_objective *objective = &settings->objectives[i];

		if (!strcmp(objective->kind, "guarantee") && objective->within_s > 0)
			return objective->within_s;
	}
	return settings->lease_s / 4;
}
