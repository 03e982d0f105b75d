/* The size limit of a job's record, and the bytes that attempts and gangs take in it. */
#include "../core_state.h"

#define WS_VALUE_RESERVE_BYTES 64	  /* bytes of the store's value limit that are never used */
#define WS_GANG_MACHINE_BYTES 8		  /* in a job's record, for each machine of a gang */
#define WS_GANG_RECORD_OVERHEAD_BYTES 704 /* in a gang's record, apart from its machines */

size_t ws_job_record_size_limit(const struct ws_core *core)
{
	return core->writer.value_bytes_max > 2 * WS_VALUE_RESERVE_BYTES
		   ? (size_t)core->writer.value_bytes_max - WS_VALUE_RESERVE_BYTES
		   : WS_VALUE_RESERVE_BYTES;
}

size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt)
{
	return ws_attempt_list_growth(before, attempt, core->fleet.shared_name_length);
}

json_t *ws_core_encode_job_record(const struct ws_core *core, const struct ws_job *job,
				  size_t limit)
{
	return ws_job_record_encode(job, core->catalog.zone_count, limit);
}

bool ws_gang_fits_record(const struct ws_core *core, const struct ws_job_spec *spec,
			 const struct ws_machine_type *type)
{
	const struct ws_capacity empty = ws_type_capacity(type);
	uint32_t per_machine;
	double machines;

	if (!spec->gang)
		return true;
	per_machine = ws_tasks_fit(spec, &empty, spec->tasks);
	if (!per_machine)
		return false;
	machines = ceil((double)spec->tasks / per_machine);
	return WS_GANG_MACHINE_BYTES * machines <=
	       core->settings->value_kb * 1024 - WS_GANG_RECORD_OVERHEAD_BYTES;
}
