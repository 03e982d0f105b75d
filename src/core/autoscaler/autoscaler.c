/*
 * Rented machines: what is waiting is packed into demand units, one machine is rented for each load
 * that owned, active and booting machines don't cover, up to k; empty rented machines go back after
 * a wait. A scale-out request's name is on record before the cloud is asked, so that a lost answer
 * is asked for again under the same name, and no name serves twice.
 */
#include "../core_state.h"

struct ws_bin { /* machines alike that are booting, or that ought to be rented, equally full */
	const struct ws_machine_type *type;
	int zone_index;
	bool preemptible;
	uint32_t machine_count;
	double cpus, gpus, mem_gb; /* what each has left */
};

struct ws_bins {
	struct ws_bin *bins;
	int count, capacity;
	uint32_t machines_of_kind[WS_MAX_TYPES]
				 [WS_MAX_ZONES]; /* machines in them, by type and zone */
	double smallest_task_cpus;		 /* CPUs of the smallest task that waits */
};

static struct ws_bin *ws_bin_add(struct ws_bins *all, struct ws_bin bin)
{
	if (all->count == all->capacity) {
		all->capacity = all->capacity ? 2 * all->capacity : 64;
		all->bins = realloc(all->bins, (size_t)all->capacity * sizeof(*all->bins));
		if (!all->bins)
			abort();
	}
	all->bins[all->count] = bin;
	return &all->bins[all->count++];
}

/* Machines that are whole: added to those of the same kind. */
static void ws_bin_add_whole(struct ws_core *core, struct ws_bins *all,
			     const struct ws_machine_type *type, const char *zone, bool spot,
			     uint32_t count)
{
	int zi = ws_zone_index(core, zone);

	if (zi >= 0)
		all->machines_of_kind[type - core->catalog.types][zi] += count;
	for (int i = 0; i < all->count; i++)
		if (all->bins[i].type == type && all->bins[i].zone_index == zi &&
		    all->bins[i].preemptible == spot) {
			all->bins[i].machine_count += count;
			return;
		}
	ws_bin_add(all,
		   (struct ws_bin){type, zi, spot, count, type->cpus, type->gpus, type->mem_gb});
}

bool ws_boot_is_late(const struct ws_core *core, const struct ws_machine *machine)
{
	double boot = machine->type ? machine->type->boot_s : core->settings->lease_s;

	return !machine->reported &&
	       core->now - machine->first_seen > boot * core->policy.boot_patience;
}

/* A machine in demand units: its size over that of a middling one. */
static double ws_demand_units_of_machine(const struct ws_core *core,
					 const struct ws_machine_type *type)
{
	double size = ws_mean_machine_cpus(core);

	return type && size > 0 ? type->cpus / size : 1;
}

/* Rented machines that count against k, in demand units; how many they are and boot is told as
 * well. */
static double ws_rented_units(struct ws_core *core, int *held, int *booting)
{
	struct ws_machine *machine, *next_machine;
	struct ws_scale_out *request, *next_request;
	double loads = 0;

	*held = *booting = 0;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		if (machine->owned || machine->gone || machine->failed ||
		    machine->scale_in_requested || ws_boot_is_late(core, machine))
			continue;
		loads += ws_demand_units_of_machine(core, machine->type);
		*held += 1;
		*booting += !machine->reported;
	}
	HASH_ITER (hh, core->autoscaler.requests, request, next_request)
		if (request->state == WS_SCALE_OUT_NEW || request->state == WS_SCALE_OUT_RECORDED ||
		    request->state == WS_SCALE_OUT_SENT) {
			loads +=
			    request->count * ws_demand_units_of_machine(
						 core, ws_machine_type_find(core, request->type));
			*held += (int)request->count;
			*booting += (int)request->count;
		}
	return loads;
}

/* The cloud's answers about a kind of machine; NULL for a type or zone that is not known. */
static struct ws_capacity_error *ws_capacity_error_find(struct ws_core *core, const char *type,
							const char *zone, bool spot)
{
	const struct ws_machine_type *other_type = ws_machine_type_find(core, type);
	int zi = ws_zone_index(core, zone);

	return other_type && zi >= 0
		   ? &core->autoscaler.capacity_errors[other_type - core->catalog.types][zi][spot]
		   : NULL;
}

static void ws_capacity_error_record(struct ws_core *core, const struct ws_scale_out *request,
				     bool refused)
{
	struct ws_capacity_error *capacity_error =
	    ws_capacity_error_find(core, request->type, request->zone, request->preemptible);

	if (!capacity_error)
		return;
	capacity_error->count = refused ? capacity_error->count + 1 : 0;
	capacity_error->returned_since = 0;
	/* what the cloud lacks may come back: ask again, at growing intervals, since every request
	 * spent on it is a second that a kind it does have comes later */
	capacity_error->until =
	    refused ? core->now + core->settings->list_lag_s *
				      (1 << (capacity_error->count < 4 ? capacity_error->count : 4))
		    : 0;
}

/*
 * One of this kind that was of use went back, so there is one to be had again; but in a large fleet
 * a request is not worth one machine. What the cloud took, or what died, it need not have again.
 */
static void ws_capacity_error_lift(struct ws_core *core, const struct ws_machine *machine)
{
	struct ws_capacity_error *capacity_error =
	    ws_capacity_error_find(core, machine->type_name, machine->zone, machine->preemptible);

	if (!capacity_error || machine->preemption_noticed || machine->failed ||
	    !ws_machine_echoes_token(machine) ||
	    core->now - machine->last_heard_at > 3 * core->settings->report_s)
		return;
	if (++capacity_error->returned_since >
	    (int)HASH_COUNT(core->fleet.machines) / (2 * WS_SCALE_OUT_MAX))
		memset(capacity_error, 0, sizeof(*capacity_error));
}

/* How many such tasks one of these machines still takes. */
static uint32_t ws_bin_fit(const struct ws_core *core, const struct ws_bin *bin,
			   const struct ws_unmet_demand *demand)
{
	if (!bin->machine_count || bin->cpus + 1e-9 < demand->job->spec.cpus ||
	    (bin->preemptible && !demand->job->spec.allows_preemptible) || bin->zone_index < 0 ||
	    !(demand->zones >> bin->zone_index & 1) ||
	    !(demand->job->eligible_types >> (bin->type - core->catalog.types) & 1))
		return 0;
	return ws_tasks_fit(&demand->job->spec, bin->cpus, bin->gpus, bin->mem_gb, demand->tasks);
}

/* Puts tasks on machines of a bin; those touched go to bins of their own. Tasks taken. */
static uint32_t ws_bin_take(const struct ws_core *core, struct ws_bins *all, int index,
			    const struct ws_unmet_demand *demand, uint32_t left)
{
	const struct ws_job_spec *spec = &demand->job->spec;
	uint32_t fit = ws_bin_fit(core, &all->bins[index], demand), whole, taken = 0;

	if (!fit)
		return 0;
	whole = left / fit < all->bins[index].machine_count ? left / fit
							    : all->bins[index].machine_count;
	for (int last = 0; last < 2; last++) {
		uint32_t n =
		    last ? (all->bins[index].machine_count && left > taken ? 1 : 0) : whole;
		uint32_t each = last ? (left - taken < fit ? left - taken : fit) : fit;
		struct ws_bin *x;

		if (!n || !each)
			continue;
		if (all->bins[index].machine_count == n) {
			x = &all->bins[index];
		} else {
			struct ws_bin b = all->bins[index];

			b.machine_count = n;
			all->bins[index].machine_count -= n;
			x = ws_bin_add(all, b);
		}
		x->cpus -= each * spec->cpus;
		x->gpus -= each * spec->gpus;
		x->mem_gb -= each * spec->mem_gb;
		taken += n * each;
		if (x == &all->bins[index])
			break; /* all of them are used */
	}
	return taken;
}

/* The kind of machine that costs least for what waits. */
static bool ws_cheapest_kind(struct ws_core *core, const struct ws_unmet_demand *demand,
			     uint32_t tasks, const struct ws_bins *bins, struct ws_bin *kind)
{
	const struct ws_job_spec *spec = &demand->job->spec;
	double best = 0;
	bool found = false;
	/* work that may use preemptible machines waits for one as long as it may wait for any */
	bool patient = spec->allows_preemptible &&
		       core->now - demand->job->unmet_since < ws_latency_bound(core);

	for (size_t i = 0; i < core->catalog.type_count; i++) {
		const struct ws_machine_type *type = &core->catalog.types[i];
		double fit;

		if (!(demand->job->eligible_types >> i & 1))
			continue;
		fit = fmax(1, ws_tasks_fit(spec, type->cpus, type->gpus, type->mem_gb, tasks));
		for (size_t z = 0; z < type->zone_count; z++)
			for (int spot = patient; spot < (spec->allows_preemptible ? 2 : 1);
			     spot++) {
				double cost = (spot ? type->preemptible_price : type->price) / fit;
				int zi = ws_zone_index(core, type->zones[z]);

				if (zi < 0 || !(demand->zones >> zi & 1) ||
				    core->autoscaler.capacity_errors[i][zi][spot].until > core->now)
					continue;
				cost *= 1 + bins->machines_of_kind[i][zi] *
						1e-4; /* even zones, among equals */
				if (found && cost >= best)
					continue;
				found = true;
				best = cost;
				*kind = (struct ws_bin){type,	    zi,		spot,	     1,
							type->cpus, type->gpus, type->mem_gb};
			}
	}
	return found;
}

/* Whether machines for it can be asked for in a zone, as far as the cloud's answers tell. */
bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index)
{
	if (core->subsystems.zones_closed >> zone_index & 1)
		return false;
	for (size_t i = 0; i < core->catalog.type_count; i++) {
		const struct ws_machine_type *type = &core->catalog.types[i];

		for (size_t z = 0; job->eligible_types >> i & 1 && z < type->zone_count; z++)
			for (int spot = 0; spot < (job->spec.allows_preemptible ? 2 : 1); spot++)
				if (ws_zone_index(core, type->zones[z]) == zone_index &&
				    core->autoscaler.capacity_errors[i][zone_index][spot].until <=
					core->now)
					return true;
	}
	return false;
}

/*
 * Its room will be there in a moment: it boots, or is up and has yet to show that it hears us.
 * Without the latter each machine that came up would be rented once more.
 */
static bool ws_machine_is_coming_up(const struct ws_core *core, const struct ws_machine *machine)
{
	if (!machine->reported)
		return !ws_boot_is_late(core, machine);
	return !machine->attempt_count && !machine->unreachable && !machine->preemption_noticed &&
	       !ws_machine_echoes_token(machine) &&
	       !ws_heartbeat_overdue(core, fmax(machine->up_at, machine->fencing_token_since));
}

/* Machines that are full, for any task that waits, need not be looked at again. */
static void ws_bins_compact(struct ws_bins *all)
{
	int kept = 0;

	for (int i = 0; i < all->count; i++)
		if (all->bins[i].machine_count &&
		    all->bins[i].cpus + 1e-9 >= all->smallest_task_cpus)
			all->bins[kept++] = all->bins[i];
	all->count = kept;
}

/*
 * Whether returns go before the next rented machine. In a rush there is something to rent every
 * second, and preemptible machines are taken one by one all the time: those wait for company, at
 * most a heartbeat interval.
 */
static bool ws_scale_in_goes_first(const struct ws_core *core)
{
	return core->autoscaler.scale_ins_waiting >= WS_SCALE_OUT_MAX ||
	       (core->autoscaler.scale_ins_waiting &&
		core->now - core->autoscaler.scale_ins_waiting_since > core->settings->report_s);
}

/* Machines of one scale-out request: no more than its record can name. */
static uint32_t ws_scale_out_count_limit(const struct ws_core *core)
{
	size_t name =
	    core->fleet.first_fit_count ? strlen(core->fleet.first_fit_order[0]->name) + 4 : 16;
	double n = (core->writer.value_bytes_max - 256) / (double)(name + 3);

	return n > WS_SCALE_OUT_MAX ? WS_SCALE_OUT_MAX : n < 1 ? 1 : (uint32_t)n;
}

/* What the plan of one pass goes by. */
struct ws_scale_out_plan {
	struct ws_bins bins;
	uint32_t wanted[WS_MAX_TYPES][WS_MAX_ZONES][2]; /* machines: ordinary, preemptible */
	int unit_limit;					/* rented machines, in demand units */
	double units_allowed;				/* beyond those held */
	int rented_count, booting_count;
	int largest_gang_units; /* loads that the largest waiting gang lacks */
};

/* Machines whose room will be there in a moment: those that come up, and those booked. */
static void ws_plan_booting(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	struct ws_machine *machine, *next_machine;
	struct ws_scale_out *request, *next_rental;

	if (!core->scheduler.unmet_count)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		if (!machine->owned && !machine->gone && !machine->failed &&
		    !machine->scale_in_requested && machine->type &&
		    ws_machine_is_coming_up(core, machine))
			ws_bin_add_whole(core, &plan->bins, machine->type, machine->zone,
					 machine->preemptible, 1);
	HASH_ITER (hh, core->autoscaler.requests, request, next_rental) {
		const struct ws_machine_type *type = ws_machine_type_find(core, request->type);

		if (request->state < WS_SCALE_OUT_GRANTED && type)
			ws_bin_add_whole(core, &plan->bins, type, request->zone,
					 request->preemptible, request->count);
	}
}

/* How many rented machines are allowed: k, or the ceiling while the wait as it is exceeds the
 * bound. */
static void ws_plan_limit(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	double waited = 0, tasks = 0;

	for (size_t i = 0; i < core->scheduler.unmet_count; i++) {
		const struct ws_unmet_demand *demand = &core->scheduler.unmet_demand[i];
		double loads = ws_demand_units_of(core, &demand->job->spec) * demand->tasks;

		waited += (core->now - demand->job->unmet_since) *
			  ws_demand_units_of(core, &demand->job->spec) * demand->tasks;
		tasks += loads;
		if (!i || demand->job->spec.cpus < plan->bins.smallest_task_cpus)
			plan->bins.smallest_task_cpus = demand->job->spec.cpus;
	}
	plan->unit_limit = core->autoscaler.unit_limit < 0 ? core->policy.rental_ceiling
							   : core->autoscaler.unit_limit;
	if (tasks > 0 && waited / tasks > ws_latency_bound(core))
		plan->unit_limit = core->policy.rental_ceiling;
	plan->units_allowed =
	    plan->unit_limit - ws_rented_units(core, &plan->rented_count, &plan->booting_count);
}

/* Machines to be rented for what a job's tasks find no room in. */
static void ws_plan_new_machines(struct ws_core *core, struct ws_scale_out_plan *plan,
				 const struct ws_unmet_demand *demand, uint32_t left)
{
	struct ws_bins *bins = &plan->bins;

	while (left) {
		struct ws_bin kind = {0};
		uint32_t fit;

		if (!ws_cheapest_kind(core, demand, left, bins, &kind) ||
		    !(fit = ws_bin_fit(core, &kind, demand)))
			break;
		/* as many as hold the rest, but few enough for zones to stay even */
		kind.machine_count = (left + fit - 1) / fit / (uint32_t)kind.type->zone_count;
		if (kind.machine_count > 8)
			kind.machine_count = 8;
		if (!kind.machine_count)
			kind.machine_count = 1;
		plan->wanted[kind.type - core->catalog.types][kind.zone_index][kind.preemptible] +=
		    kind.machine_count;
		bins->machines_of_kind[kind.type - core->catalog.types][kind.zone_index] +=
		    kind.machine_count;
		core->autoscaler.units_waiting += (int)kind.machine_count;
		ws_bin_add(bins, kind);
		left -= ws_bin_take(core, bins, bins->count - 1, demand, left);
	}
}

/*
 * Packs what waits into what comes, and into machines to be rented. In a backlog of thousands of
 * loads those that come first decide: no more are packed than the next requests could ask for.
 */
static void ws_plan_pack(struct ws_core *core, struct ws_scale_out_plan *plan)
{
	int enough =
	    2 * WS_SCALE_OUT_MAX + (plan->units_allowed > 0 ? (int)plan->units_allowed : 0);

	for (size_t i = 0; i < core->scheduler.unmet_count; i++) {
		const struct ws_unmet_demand *demand = &core->scheduler.unmet_demand[i];
		uint32_t left = demand->tasks;
		int before = core->autoscaler.units_waiting;

		if (core->autoscaler.units_waiting >= enough && !demand->job->spec.gang)
			continue;
		ws_bins_compact(&plan->bins);
		core->scheduler.steps += (uint64_t)plan->bins.count;
		for (int b = 0; b < plan->bins.count && left; b++)
			left -= ws_bin_take(core, &plan->bins, b, demand, left);
		ws_plan_new_machines(core, plan, demand, left);
		if (demand->job->spec.gang &&
		    core->autoscaler.units_waiting - before > plan->largest_gang_units)
			plan->largest_gang_units = core->autoscaler.units_waiting - before;
	}
	if (plan->largest_gang_units >
	    plan->unit_limit) { /* k is at least what the largest waiting gang lacks */
		int most = core->policy.rental_ceiling;

		plan->units_allowed +=
		    (plan->largest_gang_units < most ? plan->largest_gang_units : most) -
		    plan->unit_limit;
	}
}

/* The kind of machine that most are wanted of; false: none is. */
static bool ws_plan_kind(const struct ws_core *core, const struct ws_scale_out_plan *plan,
			 struct ws_bin *kind)
{
	kind->machine_count = 0;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		for (int z = 0; z < core->catalog.zone_count; z++)
			for (int spot = 0; spot < 2; spot++)
				if (plan->wanted[i][z][spot] > kind->machine_count)
					*kind = (struct ws_bin){.type = &core->catalog.types[i],
								.zone_index = z,
								.preemptible = spot,
								.machine_count =
								    plan->wanted[i][z][spot]};
	return kind->machine_count > 0;
}

/* Books as many of one kind as the loads ask for, in one request. */
static void ws_plan_request(struct ws_core *core, const struct ws_scale_out_plan *plan,
			    const struct ws_bin *kind)
{
	double room = ceil(plan->units_allowed / ws_demand_units_of_machine(core, kind->type));
	uint32_t count = kind->machine_count;
	struct ws_scale_out *request;

	if (count > room)
		count = (uint32_t)room;
	if (count > ws_scale_out_count_limit(core))
		count = ws_scale_out_count_limit(core);
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	snprintf(request->idempotency_key, sizeof(request->idempotency_key), "r-%llu-%llu",
		 (unsigned long long)(core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT),
		 (unsigned long long)++core->autoscaler.request_sequence);
	snprintf(request->type, sizeof(request->type), "%s", kind->type->name);
	snprintf(request->zone, sizeof(request->zone), "%s", core->catalog.zones[kind->zone_index]);
	request->preemptible = kind->preemptible;
	request->count = count;
	request->created_at = core->now;
	HASH_ADD_STR(core->autoscaler.requests, idempotency_key, request);
	ws_scale_out_mark_dirty(core, request);
	core->autoscaler.scale_out_in_flight = core->autoscaler.scaled_out_last = true;
	core->autoscaler.next_cloud_call_at = core->now + 1;
	ws_log(core, WS_LOG_INFO,
	       "rent %u x %s in %s%s (%s): %d loads wait, %d rentals held, %d booting, k %d", count,
	       request->type, request->zone, request->preemptible ? ", spot" : "",
	       request->idempotency_key, core->autoscaler.units_waiting, plan->rented_count,
	       plan->booting_count, core->autoscaler.unit_limit);
}

/* Called between a placement pass and its end, with the demand that the pass could not meet. */
void ws_autoscaler_plan(struct ws_core *core)
{
	struct ws_scale_out_plan plan = {0};
	struct ws_bin kind = {0};

	core->autoscaler.units_waiting = 0;
	ws_plan_booting(core, &plan);
	ws_plan_limit(core, &plan);
	ws_plan_pack(core, &plan);
	/* one request a second; machines that are well get a heartbeat interval to make themselves
	 * known to a new leader */
	if (ws_plan_kind(core, &plan, &kind) && plan.units_allowed > 0 &&
	    !core->autoscaler.scale_out_in_flight &&
	    core->now >= core->autoscaler.next_cloud_call_at &&
	    !(core->autoscaler.scaled_out_last && ws_scale_in_goes_first(core)) &&
	    core->now - core->leadership.elected_at > core->settings->report_s)
		ws_plan_request(core, &plan, &kind);
	free(plan.bins.bins);
}

void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request)
{
	if (request->dirty)
		return;
	request->dirty = true;
	ws_writer_wake(core);
	DL_APPEND2(core->autoscaler.dirty_requests, request, dirty_prev, dirty_next);
}

void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request)
{
	if (request->dirty)
		DL_DELETE2(core->autoscaler.dirty_requests, request, dirty_prev, dirty_next);
	HASH_DEL(core->autoscaler.requests, request);
	free(request->instances);
	free(request);
}

static void ws_scale_out_answered(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *res)
{
	struct ws_scale_out *request;

	if (call->generation != core->generation)
		return;
	core->autoscaler.scale_out_in_flight = false;
	HASH_FIND_STR(core->autoscaler.requests, call->key, request);
	if (!request)
		return;
	if (res->status == 200) {
		free(request->instances);
		request->instance_count = 0;
		request->instances = calloc(res->instance_count + 1, sizeof(*request->instances));
		if (!request->instances)
			abort();
		for (size_t i = 0; i < res->instance_count && i < WS_SCALE_OUT_MAX; i++) {
			struct ws_machine *machine =
			    ws_machine_find_or_add(core, res->instances[i].name);

			snprintf(request->instances[request->instance_count++], WS_NAME_MAX, "%s",
				 res->instances[i].name);
			if (machine->reported)
				continue;
			ws_machine_set_kind(core, machine, request->type, request->zone,
					    request->preemptible);
		}
		ws_log(core, WS_LOG_INFO, "booking %s: %u of %u machines", request->idempotency_key,
		       request->instance_count, request->count);
		ws_capacity_error_record(core, request, request->instance_count < request->count);
		request->state =
		    request->instance_count ? WS_SCALE_OUT_GRANTED : WS_SCALE_OUT_DISCARDED;
		ws_scale_out_mark_dirty(core, request);
	} else if (res->status == 503 && res->no_capacity) {
		/* "no capacity": a plain no; the scale-out request is done with */
		ws_log(core, WS_LOG_INFO, "booking %s: no capacity for %s in %s%s",
		       request->idempotency_key, request->type, request->zone,
		       request->preemptible ? ", spot" : "");
		ws_capacity_error_record(core, request, true);
		request->state = WS_SCALE_OUT_DISCARDED;
		ws_scale_out_mark_dirty(core, request);
	} else if (res->status == 400) {
		ws_log(core, WS_LOG_ERROR, "booking %s: the cloud calls it malformed",
		       request->idempotency_key);
		ws_capacity_error_record(core, request, true);
		request->state = WS_SCALE_OUT_DISCARDED;
		ws_scale_out_mark_dirty(core, request);
	} else { /* outage, too fast, or no answer: ask again under the same name */
		request->state = WS_SCALE_OUT_RECORDED;
		request->next_attempt_at = core->now + 1 + core->settings->list_lag_s / 4;
	}
	core->scheduler.pass_wanted = true;
}

void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted)
{
	if (deleted) {
		ws_scale_out_free(core, request);
		return;
	}
	if (request->state == WS_SCALE_OUT_NEW) {
		request->state = WS_SCALE_OUT_RECORDED;
		request->next_attempt_at = core->now;
	}
}

static void ws_scale_in_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	for (size_t i = 0; i < call->machine_count; i++) {
		struct ws_machine *machine = ws_machine_find(core, call->machine_names[i]);

		if (!machine)
			continue;
		machine->scale_in_in_flight = false;
		machine->next_scale_in_at = core->now + 1 + core->settings->list_lag_s / 4;
		if (result->status == 200) {
			ws_capacity_error_lift(core, machine);
			ws_machine_mark_gone(core, machine, "returned");
		}
	}
}

/* On record before this leader's election, so that lists as old as twice the lag should name it. */
static bool ws_should_be_listed(const struct ws_core *core, const struct ws_machine *machine)
{
	return machine->recorded &&
	       core->now - core->leadership.elected_at > 2 * core->settings->list_lag_s;
}

static void ws_instances_answered(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	struct ws_machine *machine, *next_machine;

	if (call->generation != core->generation)
		return;
	core->autoscaler.list_in_flight = false;
	core->autoscaler.next_list_at = core->now + core->settings->list_lag_s;
	if (result->status != 200) {
		core->autoscaler.list_continues_after[0] = 0;
		return;
	}
	/*
	 * The first list ever read, to its last page, names the machines that were here before any
	 * rented machine. A list that names none is believed only when the cloud's lag can't be
	 * why.
	 */
	if (!core->fleet.owned_recorded && !core->fleet.owned_determined) {
		if (result->instance_count)
			snprintf(core->fleet.last_owned_name, sizeof(core->fleet.last_owned_name),
				 "%s", result->instances[result->instance_count - 1].name);
		if (!result->has_more &&
		    (core->fleet.last_owned_name[0] ||
		     core->now - core->leadership.elected_at > 2 * core->settings->list_lag_s)) {
			core->fleet.owned_determined = true;
			core->fleet.first_fit_stale = true;
			HASH_ITER (hh, core->fleet.machines, machine, next_machine)
				machine->owned =
				    strcmp(machine->name, core->fleet.last_owned_name) <= 0;
		}
	}
	for (size_t i = 0; i < result->instance_count; i++) {
		ws_machine_apply_instance(core, &result->instances[i]);
		if ((machine = ws_machine_find(core, result->instances[i].name)))
			machine->instance_list_mark = core->autoscaler.list_mark;
	}
	if (result->has_more && result->instance_count) {
		snprintf(core->autoscaler.list_continues_after,
			 sizeof(core->autoscaler.list_continues_after), "%s",
			 result->instances[result->instance_count - 1].name);
		core->autoscaler.next_list_at = core->now;
		return;
	}
	core->autoscaler.list_continues_after[0] = 0;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		if (!machine->owned &&
		    (machine->in_instance_list || ws_should_be_listed(core, machine)) &&
		    machine->instance_list_mark != core->autoscaler.list_mark &&
		    !machine->scale_in_requested &&
		    core->now - machine->last_heard_at > 2 * core->settings->report_s &&
		    core->now - core->leadership.elected_at > 2 * core->settings->report_s &&
		    core->fleet.owned_recorded) {
			/* listed once, listed no more, and silent: have the cloud confirm that it
			 * is gone */
			ws_log(core, WS_LOG_INFO, "machine %s is no longer listed", machine->name);
			machine->scale_in_requested = true;
		}
}

static void ws_machine_request_scale_in(struct ws_core *core, struct ws_machine *machine,
					const char *reason)
{
	ws_log(core, WS_LOG_INFO, "return machine %s: %s", machine->name, reason);
	machine->scale_in_requested = true;
	core->scheduler.pass_wanted = true;
}

static bool ws_scale_in_is_due(const struct ws_core *core, const struct ws_machine *machine)
{
	return machine->scale_in_requested && !machine->gone && !machine->scale_in_in_flight &&
	       !machine->owned && core->now >= machine->next_scale_in_at;
}

/*
 * It was up once: heard by us, by the leader that wrote down its incarnation, or by the cloud's
 * word. A rented machine known from its scale-out request alone may well be booting still.
 */
static bool ws_was_up(const struct ws_machine *machine)
{
	return machine->reported || machine->incarnation || machine->listed_running_at > 0;
}

/* Whether most machines that are up are heard and hear us: else a cut of our own looks like theirs.
 */
static bool ws_most_heard(struct ws_core *core, size_t *up_count)
{
	struct ws_machine *machine, *next;
	size_t heard = 0;

	*up_count = 0;
	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!machine->reported || machine->gone || machine->failed)
			continue;
		(*up_count)++;
		/* within a heartbeat interval, or a cut of our own would look like theirs for as
		 * long as it takes to return them all */
		heard += !ws_heartbeat_overdue(core, machine->last_heard_at) &&
			 ws_machine_echoes_token(machine);
	}
	return heard * 2 >= *up_count;
}

static bool ws_empty_for_long(const struct ws_core *core, const struct ws_machine *machine)
{
	const double wait = core->policy.empty_wait_s;

	return machine->reported && !machine->attempt_count && !machine->preemption_noticed &&
	       core->now >= machine->reserved_until && core->now - machine->empty_since > wait &&
	       core->now - machine->up_at > wait &&
	       /* what waits had its time to be placed on it */
	       (!core->autoscaler.units_waiting || core->now - machine->empty_since > 2 * wait);
}

/* Why a rented machine is silent for good; NULL: it is not, or most others are as well. */
static const char *ws_silent_reason(const struct ws_core *core, const struct ws_machine *machine,
				    size_t up_count)
{
	const double base =
	    fmax(machine->last_heard_at, fmax(core->leadership.elected_at, core->resumed_at));
	const double silent_s = core->settings->lease_s * core->policy.silent_ratio;

	if (machine->preemption_noticed && core->now > machine->preempted_at &&
	    core->now - machine->last_heard_at > 1.5 * core->settings->report_s)
		return "taken after its notice"; /* to have it confirmed */
	if (machine->unreachable && machine->reported && ws_heartbeat_overdue(core, base))
		return "silent, and no answer to a call";
	if (ws_was_up(machine) && silent_s < core->now - fmax(base, machine->listed_running_at) &&
	    up_count)
		return "silent";
	if (machine->reported && !ws_machine_echoes_token(machine) && up_count &&
	    core->now - fmax(fmax(machine->fencing_token_since, machine->up_at),
			     core->leadership.elected_at) >
		silent_s + core->settings->report_s)
		return "no answer reaches it";
	return NULL;
}

/* Why a rented machine should go back now; NULL: it should not. */
static const char *ws_scale_in_reason(const struct ws_core *core, const struct ws_machine *machine,
				      bool most_heard, size_t up_count)
{
	const char *silent = most_heard ? ws_silent_reason(core, machine, up_count) : NULL;

	if (silent && ws_subsystems_defer(core, WS_DEFER_SCALE_IN_SILENT, machine->zone_index))
		silent = NULL;
	if (machine->failed)
		return "failed";
	if (ws_boot_is_late(core, machine) &&
	    core->now - core->leadership.elected_at > core->settings->lease_s)
		return "did not come up";
	if (silent)
		return silent;
	if (ws_empty_for_long(core, machine) &&
	    !ws_subsystems_defer(core, WS_DEFER_SCALE_IN_EMPTY, machine->zone_index))
		return "empty";
	if (machine->consecutive_failures >= 3 && !machine->attempt_count)
		return "fails its tasks";
	return NULL;
}

/* Asks the cloud to take back what is due, as many as one call takes. */
static void ws_scale_in_send(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	struct ws_call *call = NULL;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!ws_scale_in_is_due(core, machine))
			continue;
		if (!call) {
			call = ws_call_new(core, WS_CALL_SCALE_IN, ws_scale_in_answered);
			call->machine_names = calloc(WS_SCALE_IN_MAX, sizeof(*call->machine_names));
			if (!call->machine_names)
				abort();
			core->autoscaler.next_cloud_call_at = core->now + 1;
			core->autoscaler.scaled_out_last = false;
			core->autoscaler.scale_ins_waiting_since = core->now;
		}
		snprintf(call->machine_names[call->machine_count++], WS_NAME_MAX, "%s",
			 machine->name);
		machine->scale_in_in_flight = true;
		core->autoscaler.scale_ins_waiting--;
		if (call->machine_count == WS_SCALE_IN_MAX)
			break;
	}
}

static void ws_scale_in_check(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	size_t up;
	bool most_heard = ws_most_heard(core, &up);

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		const char *reason;

		if (machine->owned || machine->gone || machine->scale_in_requested)
			continue;
		reason = ws_scale_in_reason(core, machine, most_heard, up);
		if (reason)
			ws_machine_request_scale_in(core, machine, reason);
	}
	core->autoscaler.scale_ins_waiting = 0;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		core->autoscaler.scale_ins_waiting += ws_scale_in_is_due(core, machine);
	if (!core->autoscaler.scale_ins_waiting)
		core->autoscaler.scale_ins_waiting_since = core->now;
	if (core->now >= core->autoscaler.next_cloud_call_at)
		ws_scale_in_send(core);
}

/*
 * Enough machines of the middling type to honour every guarantee at once, and a quarter more for
 * what is borrowed in rushes.
 */
static int ws_derived_ceiling(const struct ws_core *core)
{
	double cpus = 0, size = ws_mean_machine_cpus(core);

	for (size_t i = 0; i < core->settings->team_count; i++)
		cpus += core->settings->teams[i].cpus;
	return size > 0 ? (int)ceil(1.25 * cpus / size) : 1;
}

/* Asks the cloud for a scale-out request that is on record. */
static void ws_scale_out_send(struct ws_core *core, struct ws_scale_out *request)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_SCALE_OUT, ws_scale_out_answered);

	snprintf(call->key, sizeof(call->key), "%s", request->idempotency_key);
	snprintf(call->type, sizeof(call->type), "%s", request->type);
	snprintf(call->zone, sizeof(call->zone), "%s", request->zone);
	call->preemptible = request->preemptible;
	call->count = request->count;
	request->state = WS_SCALE_OUT_SENT;
	core->autoscaler.scale_out_in_flight = true;
	core->autoscaler.next_cloud_call_at = core->now + 1;
}

/* Takes machines that are gone off a scale-out request's record. */
static void ws_scale_out_drop_gone(struct ws_core *core, struct ws_scale_out *request)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < request->instance_count; i++) {
		const struct ws_machine *machine = ws_machine_find(core, request->instances[i]);

		if (machine && !machine->gone)
			memmove(request->instances[left++], request->instances[i], WS_NAME_MAX);
	}
	if (left == request->instance_count)
		return;
	request->instance_count = left;
	if (!left)
		request->state = WS_SCALE_OUT_DISCARDED;
	ws_scale_out_mark_dirty(core, request);
}

/* Whether records of rented machines are to be brought up to date: no newer than lists of machines
 * are, if changes are short. */
static bool ws_scale_out_update_due(struct ws_core *core)
{
	bool spare = ws_writer_has_spare_budget(core);

	if (!core->autoscaler.instances_stale || core->now < core->autoscaler.next_record_update_at)
		return false;
	core->autoscaler.instances_stale = false;
	core->autoscaler.next_record_update_at =
	    core->now + (spare ? fmin(core->settings->lease_s / 32, core->settings->list_lag_s)
			       : core->settings->list_lag_s);
	return true;
}

static void ws_scale_out_requests_check(struct ws_core *core, bool tidy)
{
	struct ws_scale_out *request, *next;

	HASH_ITER (hh, core->autoscaler.requests, request, next) {
		if (request->state == WS_SCALE_OUT_RECORDED && !request->dirty &&
		    !request->write_in_flight && core->now >= request->next_attempt_at &&
		    core->now >= core->autoscaler.next_cloud_call_at - 1) {
			ws_scale_out_send(core, request);
			break;
		}
		if (request->state == WS_SCALE_OUT_GRANTED && tidy && !request->dirty &&
		    !request->write_in_flight)
			ws_scale_out_drop_gone(core, request);
	}
}

/* Rented machines and returns go before lists, as long as these don't get too old. */
static void ws_instances_request(struct ws_core *core)
{
	struct ws_call *call;

	if (core->autoscaler.list_in_flight || core->now < core->autoscaler.next_list_at ||
	    core->now < core->autoscaler.next_cloud_call_at ||
	    (core->autoscaler.units_waiting &&
	     core->now < core->autoscaler.next_list_at + core->settings->list_lag_s &&
	     core->fleet.owned_recorded))
		return;
	call = ws_call_new(core, WS_CALL_INSTANCES, ws_instances_answered);
	snprintf(call->after, sizeof(call->after), "%s", core->autoscaler.list_continues_after);
	if (!core->autoscaler.list_continues_after[0])
		core->autoscaler.list_mark++;
	core->autoscaler.list_in_flight = true;
	core->autoscaler.next_cloud_call_at = core->now + 1;
}

void ws_autoscaler_tick(struct ws_core *core)
{
	bool tidy;

	if (core->policy.rental_ceiling < 0 && core->catalog.type_count)
		core->policy.rental_ceiling = ws_derived_ceiling(core);
	if (!ws_is_entitled(core) || core->leadership.in_outage ||
	    core->now < core->autoscaler.next_check_at)
		return;
	core->autoscaler.next_check_at = core->now + ws_sweep_interval(core);
	tidy = ws_scale_out_update_due(core);
	if (core->fleet.owned_recorded) { /* else rented machines could not be told from what was
					   * here before
					   */
		ws_scale_out_requests_check(core, tidy);
		ws_scale_in_check(core);
	}
	ws_instances_request(core);
}

/* ---- measurements for Algorithm 1 ---- */

bool ws_core_take_measurement(struct ws_core *core, double now,
			      struct ws_queue_measurement *measurement)
{
	struct ws_machine *machine, *next_machine;
	double span, services = 0, size = ws_mean_machine_cpus(core), boot = 0;
	double owned = 0;

	if (core->leadership.role != WS_LEADER || core->policy.rental_ceiling < 0 ||
	    now < core->autoscaler.next_measurement_at || !core->catalog.type_count)
		return false;
	if (!core->autoscaler.measured_at) {
		core->autoscaler.measured_at = now;
		core->autoscaler.next_measurement_at = now + core->policy.sizing_period_s;
		return false;
	}
	span = now - core->autoscaler.measured_at;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		boot += core->catalog.types[i].boot_s / (double)core->catalog.type_count;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		if (machine->owned && ws_machine_echoes_token(machine) &&
		    core->now - machine->last_heard_at < 3 * core->settings->report_s)
			owned += ws_demand_units_of_machine(core, machine->type);
		for (struct ws_attempt *attempt = machine->attempts; attempt;
		     attempt = attempt->machine_next)
			if (attempt->job && attempt->job->spec.service)
				services += attempt->job->spec.cpus / size;
	}
	memset(measurement, 0, sizeof(*measurement));
	core->autoscaler.busy_unit_seconds +=
	    core->autoscaler.busy_units * (core->now - core->autoscaler.busy_counted_at);
	core->autoscaler.busy_counted_at = core->now;
	measurement->arrival_rate = core->autoscaler.units_arrived / span;
	measurement->service_rate =
	    core->autoscaler.busy_unit_seconds > 0
		? core->autoscaler.units_completed / core->autoscaler.busy_unit_seconds
		: 0;
	measurement->boot_rate = core->autoscaler.boots > 0
				     ? core->autoscaler.boots / core->autoscaler.boot_seconds
				 : boot > 0 ? 1 / boot
					    : 0;
	measurement->owned = owned > services ? (int)(owned - services) : 0;
	measurement->ceiling = core->policy.rental_ceiling;
	measurement->waiting_units = core->policy.waiting_loads >= 0 ? core->policy.waiting_loads
								     : measurement->ceiling / 2 + 1;
	measurement->delta = core->policy.delta;
	measurement->rentals_max =
	    core->policy.rentals_max > 0 ? core->policy.rentals_max : measurement->ceiling;
	measurement->bound_s = ws_latency_bound(core);
	measurement->wait_max_s =
	    core->policy.wait_max_s > 0 ? core->policy.wait_max_s : 2 * measurement->bound_s;
	core->autoscaler.units_arrived = core->autoscaler.units_completed =
	    core->autoscaler.busy_unit_seconds = 0;
	core->autoscaler.measured_at = now;
	core->autoscaler.next_measurement_at = now + core->policy.sizing_period_s;
	return measurement->arrival_rate > 0 && measurement->service_rate > 0 &&
	       measurement->boot_rate > 0;
}

void ws_core_set_scale_out_limit(struct ws_core *core, double now, int limit,
				 double mean_scaled_out, double mean_wait_s)
{
	(void)now;
	if (limit < 0 || mean_wait_s <= 0)
		return; /* lacking a wait, k stays */
	if (limit != core->autoscaler.unit_limit)
		ws_log(core, WS_LOG_INFO, "k %d -> %d (S %.2f, Wq %.2f s)",
		       core->autoscaler.unit_limit, limit, mean_scaled_out, mean_wait_s);
	core->autoscaler.unit_limit = limit;
	core->scheduler.pass_wanted = true;
}

void ws_autoscaler_reset(struct ws_core *core)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	struct ws_scale_out *request = autoscaler->requests, *next;

	HASH_CLEAR(hh, autoscaler->requests);
	for (; request; request = next) {
		next = request->hh.next;
		free(request->instances);
		free(request);
	}
	autoscaler->dirty_requests = NULL;
	autoscaler->list_in_flight = autoscaler->scale_out_in_flight = false;
	autoscaler->list_continues_after[0] = 0;
	autoscaler->next_list_at = autoscaler->next_cloud_call_at = autoscaler->next_check_at = 0;
	memset(autoscaler->capacity_errors, 0, sizeof(autoscaler->capacity_errors));
	autoscaler->scale_ins_waiting = 0;
	autoscaler->measured_at = 0;
	autoscaler->units_arrived = autoscaler->units_completed = 0;
	autoscaler->busy_unit_seconds = autoscaler->busy_units = 0;
}
