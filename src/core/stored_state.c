/* Adapters between the core's state and the records of jobs and scale-out requests. */
#include "internal.h"

#define WS_VALUE_RESERVE 64	 /* bytes of a value that records leave free */
#define WS_GANG_MACHINE_BYTES 8	 /* of a job's record, for each machine of a gang */
#define WS_GANG_RECORD_BYTES 704 /* of a gang's record, besides its machines */

size_t ws_record_size_limit(const struct ws_core *core)
{
	return core->value_most > 2 * WS_VALUE_RESERVE ? (size_t)core->value_most - WS_VALUE_RESERVE
						       : WS_VALUE_RESERVE;
}

size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt)
{
	return ws_attempt_list_growth(before, attempt, core->name_shared);
}

json_t *ws_record_job(const struct ws_core *core, const struct ws_job *job, size_t limit)
{
	return ws_job_record_encode(job, core->nzones, limit);
}

bool ws_gang_recordable(const struct ws_core *core, const struct ws_job_spec *spec,
			const struct ws_machine_type *type)
{
	uint32_t per_machine;
	double machines;

	if (!spec->gang)
		return true;
	per_machine = ws_tasks_fit(spec, type->cpus, type->gpus, type->mem_gb, spec->tasks);
	if (!per_machine)
		return false;
	machines = ceil((double)spec->tasks / per_machine);
	return WS_GANG_MACHINE_BYTES * machines <=
	       core->settings->value_kb * 1024 - WS_GANG_RECORD_BYTES;
}

json_t *ws_record_scale_out(const struct ws_scale_out *rental)
{
	struct ws_scale_out_record record = {
	    .type = rental->type,
	    .zone = rental->zone,
	    .preemptible = rental->preemptible,
	    .count = rental->count,
	    .acquired = rental->state == WS_SCALE_OUT_GRANTED,
	    .instance_count = rental->instance_count,
	};

	for (uint32_t i = 0; i < rental->instance_count; i++)
		record.instances[i] = rental->instances[i];
	return ws_scale_out_record_encode(&record);
}

bool ws_record_read_scale_out(json_t *value, struct ws_scale_out *rental)
{
	struct ws_scale_out_record record;

	if (ws_scale_out_record_decode(value, &record) != WS_RECORD_DECODED)
		return false;
	snprintf(rental->type, sizeof(rental->type), "%s", record.type);
	snprintf(rental->zone, sizeof(rental->zone), "%s", record.zone);
	rental->preemptible = record.preemptible;
	rental->count = record.count;
	rental->state = record.acquired ? WS_SCALE_OUT_GRANTED : WS_SCALE_OUT_RECORDED;
	rental->instances = calloc(record.instance_count + 1, sizeof(*rental->instances));
	if (!rental->instances)
		return false;
	for (uint32_t i = 0; i < record.instance_count; i++)
		snprintf(rental->instances[rental->instance_count++], WS_NAME_MAX, "%s",
			 record.instances[i]);
	return true;
}
