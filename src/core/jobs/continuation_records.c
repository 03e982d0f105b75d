/*
 * The record source of the continuation records, more/<job>/<number>, which hold the attempts that
 * do not fit into a job's own record. They are written together with that record (job_records.c),
 * but for transactions that only make room in it, whose outcome is handled here. This source also
 * deletes the records of jobs that are over or unknown.
 */
#include "../core_state.h"
#include "../record_sources.h"
#include "record_parts.h"

/* Copies the id of the job that a key names to a buffer of WS_ID_MAX bytes. */
static void ws_continuation_job_id(const char *key, char *job_id)
{
	const char *name = key + strlen(WS_KEY_PREFIX_JOB_CONTINUATION);

	snprintf(job_id, WS_ID_MAX, "%.*s", (int)strcspn(name, "/"), name);
}

static struct ws_job *ws_job_of_continuation(struct ws_core *core, const char *key)
{
	char job_id[WS_ID_MAX];

	ws_continuation_job_id(key, job_id);
	return ws_job_find(core, job_id);
}

/* Returns the number of the part that a key stands for, or WS_PART_NONE if the key is malformed. */
static uint32_t ws_part_of_continuation(const char *key)
{
	const char *number = strrchr(key, '/') + 1;
	char *end;
	unsigned long value = strtoul(number, &end, 10);

	return end != number && !*end && value < WS_CONTINUATIONS_MAX ? (uint32_t)value + 1
								      : WS_PART_NONE;
}

void ws_continuation_orphaned(struct ws_core *core, const char *key)
{
	if (strlen(key) < WS_NAME_MAX)
		ws_tombstone_set(&core->jobs.orphaned_continuations, key, INFINITY);
}

static void ws_continuation_load(struct ws_core *core, const struct ws_kv *record)
{
	uint32_t part = ws_part_of_continuation(record->key);
	char job_id[WS_ID_MAX];
	struct ws_job *job;

	ws_continuation_job_id(record->key, job_id);
	job = ws_job_find(core, job_id);
	if (part == WS_PART_NONE ||
	    (!job && !ws_tombstone_is_set(core, &core->jobs.unreadable, job_id))) {
		ws_continuation_orphaned(core, record->key);
		return;
	}
	if (job)
		ws_job_part_add(job, part)->stored = true;
	ws_core_attempts_read(core, job_id, record->value, part);
}

/* Deletes the orphaned records. Their tombstones expire now and are freed by the periodic cleanup.
 */
static void ws_continuation_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	struct ws_tombstone *tombstone = core->jobs.orphaned_continuations;

	for (; tombstone && ws_write_batch_operations_left(batch); tombstone = tombstone->hh.next) {
		if (tombstone->expires_at <= core->now)
			continue;
		ws_write_batch_set(batch, tombstone->name, NULL);
		tombstone->expires_at = core->now;
	}
}

/* Returns the job of an operation whose transaction does not write the job's own record, or NULL:
 * the source of that record handles the outcome then. */
static struct ws_job *ws_job_of_separate_write(struct ws_core *core,
					       const struct ws_operation *operation)
{
	struct ws_job *job = ws_job_of_continuation(core, operation->key);

	return job && job->record.write_in_flight && !job->record.own.write_in_flight ? job : NULL;
}

static void ws_continuation_written(struct ws_core *core, const struct ws_operation *operation,
				    uint64_t revision)
{
	struct ws_job *job = ws_job_of_separate_write(core, operation);

	if (!job)
		return;
	job->record.write_in_flight = false;
	ws_job_parts_written(job);
	ws_log(core, WS_LOG_DEBUG, "continuation records written job=%s revision=%llu",
	       job->spec.id, (unsigned long long)revision);
}

static bool ws_continuation_not_written(struct ws_core *core, const struct ws_operation *operation,
					const struct ws_compare *failed_compare)
{
	struct ws_job *job = ws_job_of_separate_write(core, operation);

	(void)failed_compare; /* of the key of the operation, which has no compare */
	if (job)
		ws_job_records_not_written(core, job);
	else if (!ws_job_of_continuation(core, operation->key))
		ws_continuation_orphaned(core, operation->key);
	return false;
}

const struct ws_record_source ws_continuation_records = {
    .key_prefix = WS_KEY_PREFIX_JOB_CONTINUATION,
    .load = ws_continuation_load,
    .collect = ws_continuation_collect,
    .written = ws_continuation_written,
    .not_written = ws_continuation_not_written,
};
