/* The table of record sources, and the orders in which they are read and written. */
#include "core_state.h"
#include "record_sources.h"

/*
 * The order in which sources add due records to a transaction. It sets the priority when the write
 * rate is limited: records written once, scale-out requests, starts and ends of jobs, then the
 * rest.
 */
/* clang-format off */
static const struct ws_record_source *const collect_order[] = {
	&ws_owned_records,
	&ws_machine_type_records,
	&ws_continuation_records,
	&ws_scale_out_records,
	&ws_urgent_subsystem_records,
	&ws_job_records,
	&ws_machine_shard_records,
	&ws_subsystem_records,
};

/* The order in which a new leader reads records; those of subsystems are read in parallel. */
static const struct ws_record_source *const load_order[] = {
	&ws_owned_records,
	&ws_scale_out_records,
	&ws_machine_shard_records,
	&ws_job_records,
	&ws_continuation_records,
};
/* clang-format on */

#define COLLECT_COUNT (sizeof(collect_order) / sizeof(collect_order[0]))
#define LOAD_COUNT (sizeof(load_order) / sizeof(load_order[0]))

bool ws_key_has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static bool ws_record_source_owns(const struct ws_core *core, const struct ws_record_source *source,
				  const char *key)
{
	if (source->owns)
		return source->owns(core, key);
	if (!source->key_prefix)
		return false;
	if (source->exact_key)
		return !strcmp(key, source->key_prefix);
	return ws_key_has_prefix(key, source->key_prefix);
}

const struct ws_record_source *ws_record_source_of(const struct ws_core *core, const char *key)
{
	for (size_t i = 0; i < COLLECT_COUNT; i++)
		if (ws_record_source_owns(core, collect_order[i], key))
			return collect_order[i];
	return NULL;
}

void ws_record_sources_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	for (size_t i = 0; i < COLLECT_COUNT; i++)
		if (collect_order[i]->collect)
			collect_order[i]->collect(core, batch);
}

void ws_record_sources_loaded(struct ws_core *core)
{
	for (size_t i = 0; i < LOAD_COUNT; i++)
		if (load_order[i]->loaded)
			load_order[i]->loaded(core);
	ws_subsystems_loaded(core);
	ws_log(
	    core, WS_LOG_INFO,
	    "leading jobs=%u machines=%u scale_outs=%u token=%llu jobs_revision=%llu load_s=%.3f",
	    HASH_COUNT(core->jobs.by_id), HASH_COUNT(core->fleet.machines),
	    HASH_COUNT(core->autoscaler.requests),
	    (unsigned long long)core->leadership.fencing_token,
	    (unsigned long long)core->job_watch.revision, core->now - core->loader.started_at);
}

const char *ws_load_sequence_prefix(size_t position)
{
	return position < LOAD_COUNT ? load_order[position]->key_prefix : NULL;
}

const char *ws_load_parallel_prefix(const struct ws_core *core, size_t index)
{
	return ws_subsystems_prefix(core, index);
}
