/*
 * The bytes that a job's records have for attempts, and those that attempts take in them. All who
 * plan by size ask here: the placement of arrays, and the layout of attempts over records.
 */
#include "../core_state.h"

#define WS_VALUE_RESERVE_BYTES 64 /* bytes of the store's value limit that are never used */
/* Bytes of a job's own record for the job's description, excluding the names in it. */
#define WS_RECORD_DESCRIPTION_BYTES 640
/* Bytes of a gang's own record for its completed tasks. All tasks of a gang complete together, so a
 * single range lists them. */
#define WS_RECORD_GANG_TASKS_BYTES 64
/* Share of the rest that attempts of an array may use; the rest of it is for the list of completed
 * tasks. */
#define WS_RECORD_ARRAY_ATTEMPT_SHARE 0.75
/* Bytes of a continuation record apart from its attempts. */
#define WS_CONTINUATION_BYTES 16

size_t ws_job_record_size_limit(const struct ws_core *core)
{
	return core->writer.value_bytes_max > 2 * WS_VALUE_RESERVE_BYTES
		   ? (size_t)core->writer.value_bytes_max - WS_VALUE_RESERVE_BYTES
		   : WS_VALUE_RESERVE_BYTES;
}

bool ws_job_may_continue(const struct ws_job *job)
{
	return job->spec.service || job->spec.gang;
}

static double ws_own_record_room(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_job_spec *spec = &job->spec;
	size_t names = strlen(spec->image) + strlen(spec->team) + strlen(spec->job_class);
	double room = core->writer.value_bytes_max - WS_RECORD_DESCRIPTION_BYTES - (double)names -
		      WS_NAME_MAX / 4.0 * (double)spec->type_count;

	if (spec->gang)
		return room - WS_RECORD_GANG_TASKS_BYTES;
	return spec->service ? room : room * WS_RECORD_ARRAY_ATTEMPT_SHARE;
}

size_t ws_record_part_room(const struct ws_core *core, const struct ws_job *job, uint32_t part)
{
	double room = part ? (double)ws_job_record_size_limit(core) - WS_CONTINUATION_BYTES
			   : ws_own_record_room(core, job);

	return room > 0 ? (size_t)room : 0;
}

size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt)
{
	return ws_attempt_list_growth(before, attempt, core->fleet.shared_name_length);
}

size_t ws_record_bytes_left(const struct ws_core *core, const struct ws_job *job)
{
	size_t room = ws_record_part_room(core, job, 0), used = 0;
	const struct ws_attempt *attempt, *previous = NULL;

	if (ws_job_may_continue(job))
		return SIZE_MAX;
	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (ws_attempt_is_listed(attempt)) {
			used += ws_record_attempt_size(core, previous, attempt);
			previous = attempt;
		}
	return room > used ? room - used : 0;
}
