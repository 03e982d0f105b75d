/*
 * The record source of the continuation records, more/<job>/<number>, which hold the attempts that
 * do not fit into a job's own record. The node that accepts a user's cancel request writes them
 * (api/cancellation.c), and they are deleted together with their job's record. This source deletes
 * those that a new leader finds without a live job.
 */
#include "../core_state.h"
#include "../record_sources.h"

/* Expiry time of an orphaned record's tombstone, which must last until the record is deleted. */
#define NEVER_EXPIRES 1e18

static void ws_continuation_load(struct ws_core *core, const struct ws_kv *record)
{
	const char *name = record->key + strlen(WS_KEY_PREFIX_JOB_CONTINUATION);
	char job_id[WS_ID_MAX];

	snprintf(job_id, sizeof(job_id), "%.*s", (int)strcspn(name, "/"), name);
	if (ws_job_find(core, job_id))
		ws_core_attempts_read(core, job_id, record->value);
	else if (strlen(record->key) < WS_NAME_MAX) /* its job no longer exists */
		ws_tombstone_set(&core->jobs.orphaned_continuations, record->key, NEVER_EXPIRES);
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

const struct ws_record_source ws_continuation_records = {
    .key_prefix = WS_KEY_PREFIX_JOB_CONTINUATION,
    .load = ws_continuation_load,
    .collect = ws_continuation_collect,
};
