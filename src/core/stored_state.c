/* Adapters between the core's state and the records of jobs and scale-out requests. */
#include "internal.h"

#define WS_VALUE_RESERVE 64	 /* bytes of a value that records leave free */
#define WS_GANG_MACHINE_BYTES 8	 /* of a job's record, for each machine of a gang */
#define WS_GANG_RECORD_BYTES 704 /* of a gang's record, besides its machines */

size_t ws_record_limit(const struct ws_core *c)
{
	return c->value_most > 2 * WS_VALUE_RESERVE ? (size_t)c->value_most - WS_VALUE_RESERVE
						    : WS_VALUE_RESERVE;
}

size_t ws_record_assign_size(const struct ws_core *c, const struct ws_attempt *before,
			     const struct ws_attempt *attempt)
{
	return ws_attempt_list_growth(before, attempt, c->name_shared);
}

json_t *ws_record_job(const struct ws_core *c, const struct ws_job *job, size_t limit)
{
	return ws_job_record_encode(job, c->nzones, limit);
}

bool ws_gang_recordable(const struct ws_core *c, const struct ws_spec *spec,
			const struct ws_type *type)
{
	uint32_t per_machine;
	double machines;

	if (!spec->gang)
		return true;
	per_machine = ws_tasks_fit(spec, type->cpus, type->gpus, type->mem, spec->tasks);
	if (!per_machine)
		return false;
	machines = ceil((double)spec->tasks / per_machine);
	return WS_GANG_MACHINE_BYTES * machines <= c->set->value_kb * 1024 - WS_GANG_RECORD_BYTES;
}

json_t *ws_record_rental(const struct ws_rental *rental)
{
	struct ws_scale_out_record record = {
	    .type = rental->type,
	    .zone = rental->zone,
	    .preemptible = rental->spot,
	    .count = rental->count,
	    .acquired = rental->state == WS_RENTAL_GOT,
	    .instance_count = rental->nhosts,
	};

	for (uint32_t i = 0; i < rental->nhosts; i++)
		record.instances[i] = rental->hosts[i];
	return ws_scale_out_record_encode(&record);
}

bool ws_record_read_rental(json_t *v, struct ws_rental *rental)
{
	struct ws_scale_out_record record;

	if (ws_scale_out_record_decode(v, &record) != WS_RECORD_DECODED)
		return false;
	snprintf(rental->type, sizeof(rental->type), "%s", record.type);
	snprintf(rental->zone, sizeof(rental->zone), "%s", record.zone);
	rental->spot = record.preemptible;
	rental->count = record.count;
	rental->state = record.acquired ? WS_RENTAL_GOT : WS_RENTAL_RECORDED;
	rental->hosts = calloc(record.instance_count + 1, sizeof(*rental->hosts));
	if (!rental->hosts)
		return false;
	for (uint32_t i = 0; i < record.instance_count; i++)
		snprintf(rental->hosts[rental->nhosts++], WS_NAME_MAX, "%s", record.instances[i]);
	return true;
}
