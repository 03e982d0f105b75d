/*
 * Plans the next scale-out at the end of a scheduling pass. Unmet demand is packed into machines
 * that are booting and into new ones of the cheapest kinds. One request is made, for the kind of
 * which most machines are needed, within the limit on rented machines.
 */
#include "autoscaler_internal.h"

/* Maximum number of new machines planned in one step; small, so that they spread over the zones. */
#define MACHINES_PER_STEP_MAX 8
/* Relative surcharge for each planned machine of a type in a zone; balances zones of equal cost. */
#define ZONE_SPREAD_SURCHARGE 1e-4

struct ws_scale_out_plan {
	struct ws_packing packing;
	/* new machines needed; last index: on-demand, preemptible */
	uint32_t machines_needed[WS_MAX_TYPES][WS_MAX_ZONES][2];
	int unit_limit;	      /* limit on rented machines, in demand units */
	double units_allowed; /* the part of the limit that is not rented yet */
	struct ws_rented_totals rented;
	int largest_gang_units; /* new machines that the largest waiting gang needs */
};

/*
 * Returns whether a machine will be usable soon: it is booting, or it is up and has yet to echo the
 * fencing token. Without the second case, each machine that has just come up would cause a request
 * for another one.
 */
static bool ws_machine_is_coming_up(const struct ws_core *core, const struct ws_machine *machine)
{
	if (!machine->reported)
		return !ws_boot_timed_out(core, machine);
	return !machine->attempt_count && !machine->unreachable && !machine->preemption_noticed &&
	       !ws_machine_echoes_token(machine) &&
	       !ws_heartbeat_overdue(core,
				     fmax(machine->first_report_at, machine->expected_echo_since));
}

/* Adds the machines that are booting and those of pending requests to the packing. */
static void ws_plan_add_booting(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	struct ws_machine *machine, *next_machine;
	struct ws_scale_out *request, *next_request;

	if (!core->scheduler.unmet_count)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		struct ws_machine_kind kind = {.type = machine->type,
					       .preemptible = machine->preemptible};

		if (machine->owned || machine->gone || machine->failed ||
		    machine->scale_in.requested || !machine->type ||
		    !ws_machine_is_coming_up(core, machine))
			continue;
		kind.zone_index = ws_zone_index(core, machine->zone);
		ws_packing_add_machines(core, &plan->packing, &kind, 1);
	}
	HASH_ITER (hh, core->autoscaler.requests, request, next_request) {
		struct ws_machine_kind kind = {.type = ws_machine_type_find(core, request->type),
					       .preemptible = request->preemptible};

		if (!ws_scale_out_is_pending(request) || !kind.type)
			continue;
		kind.zone_index = ws_zone_index(core, request->zone);
		ws_packing_add_machines(core, &plan->packing, &kind, request->count);
	}
}

/* Sets the limit to that of the queue model, or to the ceiling if no limit is known or the mean
 * wait exceeds the bound. */
static void ws_plan_set_limit(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	const struct ws_autoscaler *autoscaler = &core->autoscaler;
	double unit_seconds_waited = 0;
	double units = 0;

	for (size_t i = 0; i < core->scheduler.unmet_count; i++) {
		const struct ws_unmet_demand *demand = &core->scheduler.unmet_demand[i];
		const struct ws_job_spec *spec = &demand->job->spec;
		double task_units = ws_task_demand_units(core, spec);

		unit_seconds_waited +=
		    (core->now - demand->job->unmet_since) * task_units * demand->tasks;
		units += task_units * demand->tasks;
		if (!i || spec->cpus < plan->packing.smallest_task_cpus)
			plan->packing.smallest_task_cpus = spec->cpus;
	}
	plan->unit_limit =
	    autoscaler->unit_limit < 0 ? core->policy.rental_ceiling : autoscaler->unit_limit;
	if (units > 0 && unit_seconds_waited / units > ws_latency_bound(core))
		plan->unit_limit = core->policy.rental_ceiling;
	plan->rented = ws_count_rented(core);
	plan->units_allowed = plan->unit_limit - plan->rented.units;
}

/* The cheapest kind of machine found so far, by cost per task. */
struct ws_cheapest_kind {
	bool is_found;
	struct ws_machine_kind kind;
	double cost;
};

/* Returns the cost of a kind per task that fits on one machine, with the surcharge of its zone. */
static double ws_cost_per_task(const struct ws_core *core, const struct ws_scale_out_plan *plan,
			       const struct ws_machine_kind *kind, double tasks_per_machine)
{
	const struct ws_machine_type *type = kind->type;
	const uint32_t machine_count =
	    plan->packing.machine_counts[type - core->catalog.types][kind->zone_index];
	double cost =
	    (kind->preemptible ? type->preemptible_price : type->price) / tasks_per_machine;

	return cost * (1 + machine_count * ZONE_SPREAD_SURCHARGE);
}

/* Makes a kind the cheapest one if it is cheaper and no capacity error is active for it. */
static void ws_cheapest_kind_consider(const struct ws_core *core,
				      const struct ws_scale_out_plan *plan,
				      const struct ws_machine_kind *kind, double tasks_per_machine,
				      struct ws_cheapest_kind *cheapest)
{
	double cost;

	if (ws_capacity_error_is_active(core, kind))
		return;
	cost = ws_cost_per_task(core, plan, kind, tasks_per_machine);
	if (cheapest->is_found && cost >= cheapest->cost)
		return;
	*cheapest = (struct ws_cheapest_kind){true, *kind, cost};
}

/* Finds the kind of machine with the lowest cost per task of the demand, if any is available. */
static struct ws_cheapest_kind ws_plan_cheapest_kind(struct ws_core *core,
						     const struct ws_scale_out_plan *plan,
						     const struct ws_unmet_demand *demand,
						     uint32_t tasks)
{
	const struct ws_job_spec *spec = &demand->job->spec;
	struct ws_cheapest_kind cheapest = {0};
	/* Only preemptible machines are considered until the job has waited for the bound. */
	const bool only_preemptible = spec->allows_preemptible &&
				      core->now - demand->job->unmet_since < ws_latency_bound(core);

	for (size_t i = 0; i < core->catalog.type_count; i++) {
		const struct ws_machine_type *type = &core->catalog.types[i];
		const struct ws_capacity empty = ws_type_capacity(type);
		double fit;

		if (!(demand->job->eligible_types >> i & 1))
			continue;
		fit = fmax(1, ws_tasks_fit(&demand->job->task_capacity, &empty, tasks));
		for (size_t j = 0; j < type->zone_count; j++) {
			struct ws_machine_kind kind = {
			    .type = type, .zone_index = ws_zone_index(core, type->zones[j])};

			if (kind.zone_index < 0 || !(demand->zones >> kind.zone_index & 1))
				continue;
			if (!only_preemptible)
				ws_cheapest_kind_consider(core, plan, &kind, fit, &cheapest);
			kind.preemptible = true;
			if (spec->allows_preemptible)
				ws_cheapest_kind_consider(core, plan, &kind, fit, &cheapest);
		}
	}
	return cheapest;
}

/* Returns the number of machines to plan in one step: what the tasks need, divided by the number of
 * zones and limited to the maximum of a step, so that zones stay balanced. */
static uint32_t ws_plan_step_size(const struct ws_machine_kind *kind, uint32_t tasks, uint32_t fit)
{
	uint32_t count = (tasks + fit - 1) / fit / (uint32_t)kind->type->zone_count;

	if (count > MACHINES_PER_STEP_MAX)
		return MACHINES_PER_STEP_MAX;
	return count ? count : 1;
}

/* Plans new machines for tasks that don't fit on machines that are booting. */
static void ws_plan_add_new_machines(struct ws_core *core, struct ws_scale_out_plan *plan,
				     const struct ws_unmet_demand *demand, uint32_t tasks)
{
	struct ws_packing *packing = &plan->packing;

	while (tasks) {
		const struct ws_cheapest_kind cheapest =
		    ws_plan_cheapest_kind(core, plan, demand, tasks);
		const struct ws_machine_kind *kind = &cheapest.kind;
		struct ws_bin bin;
		uint32_t fit;
		ptrdiff_t type_index;

		if (!cheapest.is_found)
			break;
		bin = ws_bin_of_empty(kind, 1);
		fit = ws_bin_tasks_fit(core, &bin, demand);
		if (!fit)
			break;
		bin.machine_count = ws_plan_step_size(kind, tasks, fit);
		type_index = kind->type - core->catalog.types;
		plan->machines_needed[type_index][kind->zone_index][kind->preemptible] +=
		    bin.machine_count;
		packing->machine_counts[type_index][kind->zone_index] += bin.machine_count;
		core->autoscaler.new_machines_needed += (int)bin.machine_count;
		ws_packing_add_bin(packing, &bin);
		tasks -= ws_packing_place(core, packing, packing->bin_count - 1, demand, tasks);
	}
}

/* Packs the unmet demand of one job. */
static void ws_plan_pack_demand(struct ws_core *core, struct ws_scale_out_plan *plan,
				const struct ws_unmet_demand *demand)
{
	const int units_before = core->autoscaler.new_machines_needed;
	uint32_t tasks = demand->tasks;
	int added_units;

	ws_packing_drop_full(&plan->packing);
	core->scheduler.steps += (uint64_t)plan->packing.bin_count;
	for (int i = 0; i < plan->packing.bin_count && tasks; i++)
		tasks -= ws_packing_place(core, &plan->packing, i, demand, tasks);
	ws_plan_add_new_machines(core, plan, demand, tasks);
	added_units = core->autoscaler.new_machines_needed - units_before;
	if (demand->job->spec.gang && added_units > plan->largest_gang_units)
		plan->largest_gang_units = added_units;
}

/*
 * Packs the unmet demand. In a long backlog only the first jobs matter: packing stops once it needs
 * more than the next requests can obtain, except for gangs.
 */
static void ws_plan_pack(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	const int enough_units = 2 * WS_SCALE_OUT_INSTANCES_MAX +
				 (plan->units_allowed > 0 ? (int)plan->units_allowed : 0);

	for (size_t i = 0; i < core->scheduler.unmet_count; i++) {
		const struct ws_unmet_demand *demand = &core->scheduler.unmet_demand[i];

		if (autoscaler->new_machines_needed < enough_units || demand->job->spec.gang)
			ws_plan_pack_demand(core, plan, demand);
	}
}

/* Raises the limit to what the largest waiting gang needs, up to the ceiling. */
static void ws_plan_raise_limit_for_gang(const struct ws_core *core, struct ws_scale_out_plan *plan)
{
	const int ceiling = core->policy.rental_ceiling;
	const int gang_units = plan->largest_gang_units;

	if (gang_units > plan->unit_limit)
		plan->units_allowed +=
		    (gang_units < ceiling ? gang_units : ceiling) - plan->unit_limit;
}

/* Finds the kind of which most machines are needed. Returns their number, 0 if none is needed. */
static uint32_t ws_plan_most_needed(const struct ws_core *core,
				    const struct ws_scale_out_plan *plan,
				    struct ws_machine_kind *kind)
{
	uint32_t most = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		for (int zone = 0; zone < core->catalog.zone_count; zone++)
			for (int preemptible = 0; preemptible < 2; preemptible++) {
				uint32_t needed = plan->machines_needed[i][zone][preemptible];

				if (needed <= most)
					continue;
				most = needed;
				*kind = (struct ws_machine_kind){&core->catalog.types[i], zone,
								 preemptible};
			}
	return most;
}

/* Returns whether a request may be created now. At most one is made per cloud call interval, and
 * none in the first heartbeat interval after an election, in which the machines report. */
static bool ws_scale_out_may_start(const struct ws_core *core)
{
	const struct ws_autoscaler *autoscaler = &core->autoscaler;

	return !autoscaler->scale_out_in_flight && core->now >= autoscaler->next_cloud_call_at &&
	       !(autoscaler->last_call_was_scale_out && ws_scale_in_has_priority(core)) &&
	       core->now - core->leadership.elected_at > core->settings->heartbeat_s;
}

/* Creates a request for the needed machines of a kind, within the limit. */
static void ws_plan_request(struct ws_core *core, const struct ws_scale_out_plan *plan,
			    const struct ws_machine_kind *kind, uint32_t needed)
{
	double allowed = ceil(plan->units_allowed / ws_demand_units_of_machine(core, kind->type));
	const struct ws_scale_out *request;

	if (needed > allowed)
		needed = (uint32_t)allowed;
	request = ws_scale_out_create(core, kind, needed);
	ws_log(core, WS_LOG_INFO,
	       "scale-out requested key=%s count=%u type=%s zone=%s preemptible=%s "
	       "units_waiting=%d rented=%d booting=%d limit=%d",
	       request->idempotency_key, request->count, request->type, request->zone,
	       request->preemptible ? "yes" : "no", core->autoscaler.new_machines_needed,
	       plan->rented.machine_count, plan->rented.booting_count, core->autoscaler.unit_limit);
}

void ws_autoscaler_plan(struct ws_core *core)
{
	struct ws_scale_out_plan plan = {0};
	struct ws_machine_kind kind;
	uint32_t needed;

	core->autoscaler.new_machines_needed = 0;
	ws_plan_add_booting(core, &plan);
	ws_plan_set_limit(core, &plan);
	ws_plan_pack(core, &plan);
	ws_plan_raise_limit_for_gang(core, &plan);
	needed = ws_plan_most_needed(core, &plan, &kind);
	if (needed && plan.units_allowed > 0 && ws_scale_out_may_start(core))
		ws_plan_request(core, &plan, &kind, needed);
	ws_packing_clear(&plan.packing);
}
