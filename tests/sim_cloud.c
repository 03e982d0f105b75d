/* Simulated cloud: machine types and instances, scale-out and scale-in. */
#include "sim_cloud.h"

/* The cloud's protocol lists a failed machine as running for this long after its failure. */
#define FAILED_LISTED_S 30

int sim_cloud_add_worker(struct sim *sim, int type, const char *zone, bool preemptible, bool owned)
{
	struct sim_worker *worker;

	if (sim->worker_count == SIM_WORKERS) {
		sim_fail(sim, "the scenario needs more than %d machines", SIM_WORKERS);
		return 0;
	}
	worker = &sim->workers[sim->worker_count];
	memset(worker, 0, sizeof(*worker));
	snprintf(worker->name, sizeof(worker->name), "n-%06d", sim->worker_count);
	worker->type = type;
	snprintf(worker->zone, sizeof(worker->zone), "%s", zone);
	worker->preemptible = preemptible;
	worker->owned = owned;
	worker->scaled_out_at = sim->now;
	worker->boots_at = owned || sim->instant_boot
			       ? sim->now
			       : sim->now + sim->types[type].boot_s * (0.8 + 0.4 * sim_random(sim));
	if (!owned && sim->boot_failures > 0) {
		sim->boot_failures--;
		worker->never_boots = true;
	}
	return sim->worker_count++;
}

int sim_type_index(const struct sim *sim, const char *name)
{
	int index = 0;

	while (index < sim->type_count && strcmp(sim->types[index].name, name) != 0)
		index++;
	return index;
}

static void list_types(const struct sim *sim, struct ws_result *result)
{
	result->types.list = calloc((size_t)sim->type_count, sizeof(*result->types.list));
	for (int i = 0; i < sim->type_count; i++)
		result->types.list[result->types.count++] = sim->types[i];
}

/* New machines appear in the list, and deleted ones disappear from it, only after its lag. */
static bool is_listed(const struct sim *sim, const struct sim_worker *worker)
{
	if (worker->deleted && sim->now > worker->deleted_at + sim->list_lag_s)
		return false;
	return worker->owned || sim->now >= worker->scaled_out_at + sim->list_lag_s;
}

static enum ws_instance_phase instance_phase(const struct sim *sim, const struct sim_worker *worker)
{
	if (worker->failed && sim->now > worker->failed_at + FAILED_LISTED_S)
		return WS_INSTANCE_FAILED;
	return worker->is_up ? WS_INSTANCE_RUNNING : WS_INSTANCE_STARTING;
}

static void list_instances(const struct sim *sim, const struct ws_call *call,
			   struct ws_result *result)
{
	result->instances.list =
	    calloc((size_t)sim->worker_count + 1, sizeof(*result->instances.list));
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];
		struct ws_instance *instance = &result->instances.list[result->instances.count];

		if (!is_listed(sim, worker) || strcmp(worker->name, call->instances.after) <= 0)
			continue;
		snprintf(instance->name, sizeof(instance->name), "%s", worker->name);
		snprintf(instance->type, sizeof(instance->type), "%s",
			 sim->types[worker->type].name);
		snprintf(instance->zone, sizeof(instance->zone), "%s", worker->zone);
		instance->preemptible = worker->preemptible;
		instance->age_s = sim->now - worker->scaled_out_at;
		instance->phase = instance_phase(sim, worker);
		result->instances.count++;
	}
}

static struct sim_scale_out *find_scale_out(struct sim *sim, const char *key)
{
	for (int i = 0; i < sim->scale_out_count; i++)
		if (!strcmp(sim->scale_outs[i].key, key))
			return &sim->scale_outs[i];
	return NULL;
}

/* Adds as many instances as there is capacity for. Returns NULL if there is no capacity at all. */
static struct sim_scale_out *grant_scale_out(struct sim *sim, const struct ws_call *call)
{
	struct sim_scale_out *scale_out;
	int type = sim_type_index(sim, call->scale_out.type), instances = 0;

	for (int i = 0; i < sim->worker_count; i++)
		instances += !sim->workers[i].deleted && !sim->workers[i].owned;
	if (type == sim->type_count || instances >= sim->instance_limit)
		return NULL;
	scale_out = &sim->scale_outs[sim->scale_out_count++];
	snprintf(scale_out->key, sizeof(scale_out->key), "%.*s", WS_NAME_MAX - 1,
		 call->scale_out.idempotency_key);
	scale_out->first_worker = sim->worker_count;
	for (uint32_t i = 0; i < call->scale_out.count && instances < sim->instance_limit; i++) {
		sim_cloud_add_worker(sim, type, call->scale_out.zone, call->scale_out.preemptible,
				     false);
		scale_out->count++;
		sim->scaled_out++;
		instances++;
	}
	return scale_out;
}

static void scale_out(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	const struct sim_scale_out *granted = find_scale_out(sim, call->scale_out.idempotency_key);

	if (!granted)
		granted = grant_scale_out(sim, call);
	if (!granted) {
		result->outcome = WS_OUTCOME_UNAVAILABLE;
		result->instances.no_capacity = true;
		return;
	}
	result->instances.list =
	    calloc((size_t)granted->count + 1, sizeof(*result->instances.list));
	for (int i = 0; i < granted->count; i++)
		snprintf(result->instances.list[result->instances.count++].name, WS_NAME_MAX, "%s",
			 sim->workers[granted->first_worker + i].name);
}

static void delete_instance(struct sim *sim, struct sim_worker *worker)
{
	if (worker->owned)
		sim_fail(sim, "owned machine %s was scaled in", worker->name);
	if (!sim->scaled_in_at)
		sim->scaled_in_at = sim->now;
	if (worker->deleted)
		return;
	sim->scaled_in++;
	worker->deleted_at = sim->now;
	worker->deleted = true;
}

static void scale_in(struct sim *sim, const struct ws_call *call)
{
	for (size_t i = 0; i < call->scale_in.count; i++)
		for (int k = 0; k < sim->worker_count; k++)
			if (!strcmp(sim->workers[k].name, call->scale_in.machine_names[i]))
				delete_instance(sim, &sim->workers[k]);
}

void sim_cloud_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	if (sim->now < sim->cloud_down_until) {
		result->outcome = WS_OUTCOME_UNAVAILABLE;
		return;
	}
	result->outcome = WS_OUTCOME_OK;
	switch (call->kind) {
	case WS_CALL_MACHINE_TYPES: list_types(sim, result); break;
	case WS_CALL_INSTANCES: list_instances(sim, call, result); break;
	case WS_CALL_SCALE_OUT: scale_out(sim, call, result); break;
	case WS_CALL_SCALE_IN: scale_in(sim, call); break;
	default: break;
	}
}
