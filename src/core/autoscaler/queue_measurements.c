/* Sizes of machines in demand units, and the measurements that are the input of the queue model. */
#include "autoscaler_internal.h"

double ws_demand_units_of_machine(const struct ws_core *core, const struct ws_machine_type *type)
{
	double mean_cpus = ws_mean_machine_cpus(core);

	return type && mean_cpus > 0 ? type->cpus / mean_cpus : 1;
}

struct ws_rented_totals ws_count_rented(struct ws_core *core)
{
	struct ws_rented_totals totals = {0};
	struct ws_machine *machine, *next_machine;
	struct ws_scale_out *request, *next_request;

	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		if (machine->owned || machine->gone || machine->failed ||
		    machine->scale_in.requested || ws_boot_timed_out(core, machine))
			continue;
		totals.units += ws_demand_units_of_machine(core, machine->type);
		totals.machine_count += 1;
		totals.booting_count += !machine->reported;
	}
	HASH_ITER (hh, core->autoscaler.requests, request, next_request) {
		const struct ws_machine_type *type = ws_machine_type_find(core, request->type);

		if (!ws_scale_out_is_pending(request))
			continue;
		totals.units += request->count * ws_demand_units_of_machine(core, type);
		totals.machine_count += (int)request->count;
		totals.booting_count += (int)request->count;
	}
	return totals;
}

/* Returns the size of the reachable owned machines less what services use, in demand units. */
static int ws_owned_units(struct ws_core *core)
{
	const double mean_cpus = ws_mean_machine_cpus(core);
	struct ws_machine *machine, *next;
	double owned = 0;
	double services = 0;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (machine->owned && ws_machine_echoes_token(machine) &&
		    core->now - machine->last_contact_at < 3 * core->settings->heartbeat_s)
			owned += ws_demand_units_of_machine(core, machine->type);
		for (const struct ws_attempt *attempt = machine->attempts; attempt;
		     attempt = attempt->machine_next)
			if (attempt->job && attempt->job->spec.service)
				services += attempt->job->spec.cpus / mean_cpus;
	}
	return owned > services ? (int)(owned - services) : 0;
}

/* Returns the boot rate of one machine per second: as measured, or from the catalog's boot times if
 * no boot was measured. */
static double ws_boot_rate(const struct ws_core *core, const struct ws_workload_stats *stats)
{
	const struct ws_catalog *catalog = &core->catalog;
	double mean_boot_s = 0;

	if (stats->boots > 0)
		return stats->boots / stats->boot_seconds;
	for (size_t i = 0; i < catalog->type_count; i++)
		mean_boot_s += catalog->types[i].boot_s / (double)catalog->type_count;
	return mean_boot_s > 0 ? 1 / mean_boot_s : 0;
}

/* Fills in the operators' settings, and derived values for those that are not set. */
static void ws_measurement_set_policy(const struct ws_core *core,
				      struct ws_queue_measurement *measurement)
{
	const struct ws_policy *policy = &core->policy;
	const int ceiling = policy->rental_ceiling;

	measurement->ceiling = ceiling;
	measurement->waiting_units =
	    policy->waiting_units_max >= 0 ? policy->waiting_units_max : ceiling / 2 + 1;
	measurement->delta = policy->delta;
	measurement->rentals_max = policy->rentals_max > 0 ? policy->rentals_max : ceiling;
	measurement->bound_s = ws_latency_bound(core);
	measurement->wait_max_s =
	    policy->wait_max_s > 0 ? policy->wait_max_s : 2 * measurement->bound_s;
}

/* Starts a new measurement period. */
static void ws_measurement_restart(struct ws_core *core, double now)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;

	autoscaler->measured_at = now;
	autoscaler->next_measurement_at = now + core->policy.sizing_period_s;
}

bool ws_core_take_measurement(struct ws_core *core, double now,
			      struct ws_queue_measurement *measurement)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	struct ws_workload_stats stats;
	double period_s;

	if (core->leadership.role != WS_LEADER || core->policy.rental_ceiling < 0 ||
	    now < autoscaler->next_measurement_at || !core->catalog.type_count)
		return false;
	if (!autoscaler->measured_at) {
		ws_measurement_restart(core, now);
		return false;
	}
	period_s = now - autoscaler->measured_at;
	stats = ws_stats_take(core);
	memset(measurement, 0, sizeof(*measurement));
	measurement->arrival_rate = stats.units_arrived / period_s;
	measurement->service_rate =
	    stats.busy_unit_seconds > 0 ? stats.units_completed / stats.busy_unit_seconds : 0;
	measurement->boot_rate = ws_boot_rate(core, &stats);
	measurement->owned = ws_owned_units(core);
	ws_measurement_set_policy(core, measurement);
	ws_measurement_restart(core, now);
	return measurement->arrival_rate > 0 && measurement->service_rate > 0 &&
	       measurement->boot_rate > 0;
}

void ws_core_set_scale_out_limit(struct ws_core *core, double now, int limit,
				 double mean_scaled_out, double mean_wait_s)
{
	(void)now;
	if (limit < 0 || mean_wait_s <= 0)
		return; /* keep the limit if the model is unsolved or gives no wait */
	if (limit != core->autoscaler.unit_limit)
		ws_log(core, WS_LOG_INFO,
		       "scale-out limit changed limit=%d previous=%d mean_rented=%.2f "
		       "mean_wait_s=%.2f",
		       limit, core->autoscaler.unit_limit, mean_scaled_out, mean_wait_s);
	core->autoscaler.unit_limit = limit;
	ws_core_request_pass(core);
}
