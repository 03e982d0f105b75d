/* The cloud: machines for rent. */
#include "sim_parts.h"

int sim_add_worker(struct sim *sim, int type, const char *zone, bool spot, bool owned)
{
	struct sim_worker *worker;

	if (sim->worker_count == SIM_WORKERS) {
		sim_fail(sim, "too many machines");
		return 0;
	}
	worker = &sim->workers[sim->worker_count];
	memset(worker, 0, sizeof(*worker));
	snprintf(worker->name, sizeof(worker->name), "n-%06d", sim->worker_count);
	worker->type = type;
	snprintf(worker->zone, sizeof(worker->zone), "%s", zone);
	worker->preemptible = spot;
	worker->owned = owned;
	worker->rented = sim->now;
	worker->boots = owned || sim->instant_boot
			    ? sim->now
			    : sim->now + sim->types[type].type.boot_s * (0.8 + 0.4 * sim_rnd(sim));
	if (!owned && sim->no_boot > 0) {
		sim->no_boot--;
		worker->never = true;
	}
	return sim->worker_count++;
}

void sim_cloud_do(struct sim *sim, struct ws_call *call, struct ws_result *result)
{
	int n = 0, b;

	result->status = 200;
	if (sim->now < sim->cloud_down) {
		result->status = 503;
		return;
	}
	switch (call->kind) {
	case WS_CALL_MACHINE_TYPES:
		result->types = calloc((size_t)sim->type_count, sizeof(*result->types));
		for (int i = 0; i < sim->type_count; i++)
			result->types[result->type_count++] = sim->types[i].type;
		break;
	case WS_CALL_INSTANCES:
		result->instances =
		    calloc((size_t)sim->worker_count + 1, sizeof(*result->instances));
		for (int i = 0; i < sim->worker_count; i++) {
			struct sim_worker *worker = &sim->workers[i];
			struct ws_instance *instance = &result->instances[result->instance_count];

			/* what is gone is listed for another lag */
			if ((worker->deleted && sim->now > worker->deleted_at + sim->lag) ||
			    (!worker->owned && sim->now < worker->rented + sim->lag) ||
			    strcmp(worker->name, call->after) <= 0)
				continue;
			strcpy(instance->name, worker->name);
			strcpy(instance->type, sim->types[worker->type].type.name);
			strcpy(instance->zone, worker->zone);
			instance->preemptible = worker->preemptible;
			instance->age_s = sim->now - worker->rented;
			/* the protocol: listed as running for about 30 s longer */
			instance->phase = worker->dead && sim->now > worker->died_at + 30
					      ? WS_INSTANCE_FAILED
					  : worker->is_up ? WS_INSTANCE_RUNNING
							  : WS_INSTANCE_STARTING;
			result->instance_count++;
		}
		break;
	case WS_CALL_SCALE_OUT:
		for (b = 0; b < sim->request_count && strcmp(sim->booked[b].name, call->key); b++)
			;
		if (b == sim->request_count) {
			int t;

			for (t = 0;
			     t < sim->type_count && strcmp(sim->types[t].type.name, call->type);
			     t++)
				;
			for (int i = 0; i < sim->worker_count; i++)
				n += !sim->workers[i].deleted && !sim->workers[i].owned;
			if (t == sim->type_count || n >= sim->cap_limit) {
				result->status = 503;
				result->no_capacity = true;
				return;
			}
			snprintf(sim->booked[b].name, WS_NAME_MAX, "%.*s", WS_NAME_MAX - 1,
				 call->key);
			sim->booked[b].first = sim->worker_count;
			for (uint32_t i = 0; i < call->count && n < sim->cap_limit; i++, n++) {
				sim_add_worker(sim, t, call->zone, call->preemptible, false);
				sim->booked[b].n++;
				sim->rented++;
			}
			sim->request_count++;
		}
		result->instances =
		    calloc((size_t)sim->booked[b].n + 1, sizeof(*result->instances));
		for (int i = 0; i < sim->booked[b].n; i++)
			strcpy(result->instances[result->instance_count++].name,
			       sim->workers[sim->booked[b].first + i].name);
		break;
	case WS_CALL_SCALE_IN:
		for (size_t i = 0; i < call->machine_count; i++)
			for (int k = 0; k < sim->worker_count; k++)
				if (!strcmp(sim->workers[k].name, call->machine_names[i])) {
					if (sim->workers[k].owned)
						sim_fail(sim, "owned machine %s returned",
							 call->machine_names[i]);
					sim->returned += !sim->workers[k].deleted;
					if (!sim->returned_at)
						sim->returned_at = sim->now;
					if (!sim->workers[k].deleted)
						sim->workers[k].deleted_at = sim->now;
					sim->workers[k].deleted = true;
				}
		break;
	default: break;
	}
}
