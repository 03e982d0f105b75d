/*
 * Capacity errors of the cloud for each kind of machine. The backoff doubles with each consecutive
 * error, and returned machines of the kind end it early.
 */
#include "autoscaler_internal.h"

/* Maximum number of times that the backoff doubles. */
#define BACKOFF_DOUBLINGS_MAX 4

/* Returns NULL if the type or the zone is unknown. */
static struct ws_capacity_error *ws_capacity_error_find(struct ws_core *core, const char *type_name,
							const char *zone, bool preemptible)
{
	const struct ws_machine_type *type = ws_machine_type_find(core, type_name);
	int zone_index = ws_zone_index(core, zone);

	if (!type || zone_index < 0)
		return NULL;
	return &core->autoscaler
		    .capacity_errors[type - core->catalog.types][zone_index][preemptible];
}

static struct ws_capacity_error *ws_capacity_error_of_request(struct ws_core *core,
							      const struct ws_scale_out *request)
{
	return ws_capacity_error_find(core, request->type, request->zone, request->preemptible);
}

bool ws_capacity_error_is_active(const struct ws_core *core, const struct ws_machine_kind *kind)
{
	size_t type_index = (size_t)(kind->type - core->catalog.types);

	return core->autoscaler.capacity_errors[type_index][kind->zone_index][kind->preemptible]
		   .backoff_until > core->now;
}

/*
 * The cloud may regain capacity, so the kind is requested again. The intervals grow because each
 * failed request delays one for a kind that the cloud can provide.
 */
void ws_capacity_error_back_off(struct ws_core *core, const struct ws_scale_out *request)
{
	struct ws_capacity_error *error = ws_capacity_error_of_request(core, request);
	int doublings;

	if (!error)
		return;
	error->consecutive_errors += 1;
	error->returned_since_error = 0;
	doublings = error->consecutive_errors < BACKOFF_DOUBLINGS_MAX ? error->consecutive_errors
								      : BACKOFF_DOUBLINGS_MAX;
	error->backoff_until = core->now + core->settings->list_lag_s * (1 << doublings);
}

void ws_capacity_error_clear(struct ws_core *core, const struct ws_scale_out *request)
{
	struct ws_capacity_error *error = ws_capacity_error_of_request(core, request);

	if (error)
		memset(error, 0, sizeof(*error));
}

/* Returns whether a returned machine worked to the end. If the cloud preempted it or it failed, the
 * cloud may be unable to grant it again. */
static bool ws_machine_was_healthy(const struct ws_core *core, const struct ws_machine *machine)
{
	return !machine->preemption_noticed && !machine->failed &&
	       ws_machine_echoes_token(machine) &&
	       core->now - machine->last_contact_at <= 3 * core->settings->heartbeat_s;
}

/* In a large fleet the backoff ends only after several machines of the kind were returned, because
 * a request for a single machine is not worth its call. */
void ws_capacity_error_scaled_in(struct ws_core *core, const struct ws_machine *machine)
{
	const int fleet_size = (int)HASH_COUNT(core->fleet.machines);
	struct ws_capacity_error *error =
	    ws_capacity_error_find(core, machine->type_name, machine->zone, machine->preemptible);

	if (!error || !ws_machine_was_healthy(core, machine))
		return;
	error->returned_since_error += 1;
	if (error->returned_since_error > fleet_size / (2 * WS_SCALE_OUT_INSTANCES_MAX))
		memset(error, 0, sizeof(*error));
}

/* Returns whether a machine type can be requested in a zone for a job. */
static bool ws_type_can_scale_out(const struct ws_core *core, const struct ws_machine_type *type,
				  const struct ws_job *job, int zone_index)
{
	const int kind_count = job->spec.allows_preemptible ? 2 : 1;

	for (int preemptible = 0; preemptible < kind_count; preemptible++) {
		const struct ws_machine_kind kind = {type, zone_index, preemptible};

		if (!ws_capacity_error_is_active(core, &kind))
			return true;
	}
	return false;
}

bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index)
{
	if (core->subsystems.zones_closed >> zone_index & 1)
		return false;
	for (size_t i = 0; i < core->catalog.type_count; i++) {
		const struct ws_machine_type *type = &core->catalog.types[i];

		if (!(job->eligible_types >> i & 1))
			continue;
		for (size_t j = 0; j < type->zone_count; j++)
			if (ws_zone_index(core, type->zones[j]) == zone_index &&
			    ws_type_can_scale_out(core, type, job, zone_index))
				return true;
	}
	return false;
}
