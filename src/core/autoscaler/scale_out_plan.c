/*
 * What to scale out by, at the end of a scheduler's pass: unmet demand is packed into machines that
 * are booting, and into new ones of the cheapest kinds. One request is made for the kind that most
 * machines are needed of, as far as the limit on rented machines allows.
 */
#include "autoscaler_internal.h"

/* New machines that are planned in one step at most: few enough to spread over the zones. */
#define MACHINES_PER_STEP_MAX 8
/* Surcharge for each planned machine of a type in a zone: evens out zones of equal cost. */
#define ZONE_SPREAD_SURCHARGE 1e-4

struct ws_scale_out_plan {
	struct ws_packing packing;
	/* machines that are lacking: ordinary, preemptible */
	uint32_t machines_needed[WS_MAX_TYPES][WS_MAX_ZONES][2];
	int unit_limit;	      /* rented machines at most, in demand units */
	double units_allowed; /* of these, what is not rented yet */
	struct ws_rented_totals rented;
	int largest_gang_units; /* what the largest waiting gang lacks */
};

/*
 * Whether a machine will be usable soon: it boots, or it is up and has yet to echo the fencing
 * token. Without the latter a second one would be requested for each machine that came up.
 */
static bool ws_machine_is_coming_up(const struct ws_core *core, const struct ws_machine *machine)
{
	if (!machine->reported)
		return !ws_boot_is_late(core, machine);
	return !machine->attempt_count && !machine->unreachable && !machine->preemption_noticed &&
	       !ws_machine_echoes_token(machine) &&
	       !ws_heartbeat_overdue(core, fmax(machine->up_at, machine->fencing_token_since));
}

/* Adds the machines that are booting, and those of pending requests. */
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

/* Sets the limit: the queue model's, or the ceiling while the mean wait exceeds the bound. */
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

/* The cheapest kind of machine so far, by its cost per task. */
struct ws_cheapest_kind {
	bool is_found;
	struct ws_machine_kind kind;
	double cost;
};

/* What a kind costs for each task that one machine of it takes. */
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

/* Takes a kind for the cheapest if it is, and may be requested. */
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

/* The kind of machine that costs least for tasks of the demand, if there is any to be had. */
static struct ws_cheapest_kind ws_plan_cheapest_kind(struct ws_core *core,
						     const struct ws_scale_out_plan *plan,
						     const struct ws_unmet_demand *demand,
						     uint32_t tasks)
{
	const struct ws_job_spec *spec = &demand->job->spec;
	struct ws_cheapest_kind cheapest = {0};
	/* preemptible machines alone are considered until the bound on the wait is reached */
	const bool only_preemptible = spec->allows_preemptible &&
				      core->now - demand->job->unmet_since < ws_latency_bound(core);

	for (size_t i = 0; i < core->catalog.type_count; i++) {
		const struct ws_machine_type *type = &core->catalog.types[i];
		double fit;

		if (!(demand->job->eligible_types >> i & 1))
			continue;
		fit = fmax(1, ws_tasks_fit(spec, type->cpus, type->gpus, type->mem_gb, tasks));
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

/* As many machines as hold the tasks, but few enough for zones to stay even. */
static uint32_t ws_plan_step_size(const struct ws_machine_kind *kind, uint32_t tasks, uint32_t fit)
{
	uint32_t count = (tasks + fit - 1) / fit / (uint32_t)kind->type->zone_count;

	if (count > MACHINES_PER_STEP_MAX)
		return MACHINES_PER_STEP_MAX;
	return count ? count : 1;
}

/* Adds new machines for tasks that don't fit into those that are booting. */
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
		core->autoscaler.units_waiting += (int)bin.machine_count;
		ws_packing_add_bin(packing, &bin);
		tasks -= ws_packing_place(core, packing, packing->bin_count - 1, demand, tasks);
	}
}

/* Packs one job's demand. */
static void ws_plan_pack_demand(struct ws_core *core, struct ws_scale_out_plan *plan,
				const struct ws_unmet_demand *demand)
{
	const int units_before = core->autoscaler.units_waiting;
	uint32_t tasks = demand->tasks;
	int added_units;

	ws_packing_drop_full(&plan->packing);
	core->scheduler.steps += (uint64_t)plan->packing.bin_count;
	for (int i = 0; i < plan->packing.bin_count && tasks; i++)
		tasks -= ws_packing_place(core, &plan->packing, i, demand, tasks);
	ws_plan_add_new_machines(core, plan, demand, tasks);
	added_units = core->autoscaler.units_waiting - units_before;
	if (demand->job->spec.gang && added_units > plan->largest_gang_units)
		plan->largest_gang_units = added_units;
}

/*
 * Packs the unmet demand. Of a long backlog the first jobs decide: no more are packed than the next
 * requests could ask for, except gangs.
 */
static void ws_plan_pack(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	const int enough_units =
	    2 * WS_SCALE_OUT_MAX + (plan->units_allowed > 0 ? (int)plan->units_allowed : 0);

	for (size_t i = 0; i < core->scheduler.unmet_count; i++) {
		const struct ws_unmet_demand *demand = &core->scheduler.unmet_demand[i];

		if (autoscaler->units_waiting < enough_units || demand->job->spec.gang)
			ws_plan_pack_demand(core, plan, demand);
	}
}

/* Raises the limit to what the largest waiting gang lacks, up to the ceiling. */
static void ws_plan_raise_limit_for_gang(const struct ws_core *core, struct ws_scale_out_plan *plan)
{
	const int ceiling = core->policy.rental_ceiling;
	const int gang_units = plan->largest_gang_units;

	if (gang_units > plan->unit_limit)
		plan->units_allowed +=
		    (gang_units < ceiling ? gang_units : ceiling) - plan->unit_limit;
}

/* The kind that most machines are needed of, and how many; 0: none are. */
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

/* One request a second; after an election machines get a heartbeat interval to show themselves. */
static bool ws_scale_out_may_start(const struct ws_core *core)
{
	const struct ws_autoscaler *autoscaler = &core->autoscaler;

	return !autoscaler->scale_out_in_flight && core->now >= autoscaler->next_cloud_call_at &&
	       !(autoscaler->scaled_out_last && ws_scale_in_goes_first(core)) &&
	       core->now - core->leadership.elected_at > core->settings->report_s;
}

/* Creates a request for machines of a kind, as many as the limit allows. */
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
	       request->preemptible ? "yes" : "no", core->autoscaler.units_waiting,
	       plan->rented.machine_count, plan->rented.booting_count, core->autoscaler.unit_limit);
}

void ws_autoscaler_plan(struct ws_core *core)
{
	struct ws_scale_out_plan plan = {0};
	struct ws_machine_kind kind;
	uint32_t needed;

	core->autoscaler.units_waiting = 0;
	ws_plan_add_booting(core, &plan);
	ws_plan_set_limit(core, &plan);
	ws_plan_pack(core, &plan);
	ws_plan_raise_limit_for_gang(core, &plan);
	needed = ws_plan_most_needed(core, &plan, &kind);
	if (needed && plan.units_allowed > 0 && ws_scale_out_may_start(core))
		ws_plan_request(core, &plan, &kind, needed);
	ws_packing_clear(&plan.packing);
}
