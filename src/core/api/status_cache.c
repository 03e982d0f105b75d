/*
 * The job status cache: a copy of the statuses in the live jobs' records, kept by every node.
 *
 * Status queries wait until a refresh that was sent after their arrival has brought the cache up to
 * date, and are then answered together. So an answer is never older than one that another node has
 * already given, and the store gets a few requests per second regardless of the number of queries.
 * Outage votes are based on the cache too.
 */
#include "../core_state.h"
#include "../record_sources.h"

static struct ws_job_status *ws_status_cache_put(struct ws_core *core, const char *id,
						 uint64_t revision)
{
	struct ws_job_status *job_status;

	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	if (!job_status) {
		job_status = ws_alloc(1, sizeof(*job_status));
		snprintf(job_status->id, sizeof(job_status->id), "%s", id);
		HASH_ADD_STR(core->status_cache.jobs, id, job_status);
	}
	job_status->revision = revision;
	return job_status;
}

struct ws_job_status *ws_status_cache_put_newer(struct ws_core *core, const char *id,
						uint64_t revision)
{
	struct ws_job_status *job_status;

	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	return revision <= core->status_cache.revision ||
		       (job_status && revision <= job_status->revision)
		   ? NULL
		   : ws_status_cache_put(core, id, revision);
}

static void ws_status_cache_remove(struct ws_core *core, struct ws_job_status *job_status)
{
	HASH_DEL(core->status_cache.jobs, job_status);
	free(job_status);
}

static void ws_status_cache_apply_change(struct ws_core *core, const struct ws_kv *entry)
{
	struct ws_job_status *job_status;
	enum ws_job_phase phase;
	uint32_t done, running;
	const char *id = entry->key + strlen(WS_KEY_PREFIX_JOB);

	if (!ws_key_has_prefix(entry->key, WS_KEY_PREFIX_JOB) || strlen(id) >= WS_ID_MAX)
		return;
	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	if (job_status && entry->revision <= job_status->revision)
		return;
	if (!entry->value) {
		if (job_status)
			ws_status_cache_remove(core, job_status);
		return;
	}
	job_status = ws_status_cache_put(core, id, entry->revision);
	if (!ws_job_status_decode(entry->value, &phase, &done, &running)) {
		/* the job exists, although its record is malformed */
		job_status->phase = WS_JOB_QUEUED;
		return;
	}
	job_status->phase = phase;
	job_status->done = done;
	job_status->running = running;
}

void ws_status_cache_clear(struct ws_core *core)
{
	struct ws_job_status *job_status = core->status_cache.jobs, *next;

	HASH_CLEAR(hh, core->status_cache.jobs);
	for (; job_status; job_status = next) {
		next = job_status->hh.next;
		free(job_status);
	}
	core->status_cache.complete = false;
	core->status_cache.revision = 0;
}

void ws_status_cache_apply(struct ws_core *core, const struct ws_call *call,
			   const struct ws_result *result)
{
	uint64_t cached_revision = core->status_cache.revision;

	if (!core->status_cache.complete || call->watch.since_revision > cached_revision)
		return;
	for (size_t i = 0; i < result->records.entry_count; i++)
		if (result->records.entries[i].revision > cached_revision)
			ws_status_cache_apply_change(core, &result->records.entries[i]);
	core->status_cache.revision =
	    result->records.revision > cached_revision ? result->records.revision : cached_revision;
	core->status_cache.refreshed_at = core->now;
}

static void ws_status_cache_refreshed(struct ws_core *core, struct ws_call *call,
				      const struct ws_result *result)
{
	core->status_cache.request_in_flight = false;
	if (result->outcome != WS_OUTCOME_RATE_LIMITED)
		ws_store_health_update(core, result->outcome);
	if (result->outcome == WS_OUTCOME_OK) {
		ws_job_watch_apply(core, call, result);
		ws_queries_answer(core, WS_OUTCOME_OK);
	} else if (result->outcome == WS_OUTCOME_COMPACTED) {
		/* the store no longer has all changes since the cache's revision: load it again */
		ws_status_cache_clear(core);
	} else if (result->outcome == WS_OUTCOME_RATE_LIMITED) {
		ws_queries_clear_refresh_sent(core);
	} else {
		ws_queries_answer(core, result->outcome);
	}
}

static void ws_status_cache_load(struct ws_core *core, const char *after);

/* Prepares for the pages of a listing as of `revision`: frees the entries up to that revision,
 * since the listing contains them, and keeps later ones. */
static void ws_status_cache_begin_load(struct ws_core *core, uint64_t revision)
{
	struct ws_status_cache *cache = &core->status_cache;
	struct ws_job_status *job_status = cache->jobs, *next;

	cache->revision = revision;
	HASH_CLEAR(hh, cache->jobs);
	for (; job_status; job_status = next) {
		next = job_status->hh.next;
		if (job_status->revision <= revision)
			free(job_status);
		else
			HASH_ADD_STR(cache->jobs, id, job_status);
	}
}

static void ws_status_cache_page_loaded(struct ws_core *core, struct ws_call *call,
					const struct ws_result *result)
{
	if (result->outcome != WS_OUTCOME_OK) {
		core->status_cache.request_in_flight = false;
		core->status_cache.next_request_at = core->now + core->leadership.session_ttl_s / 4;
		return;
	}
	if (!call->read.after[0])
		ws_status_cache_begin_load(core, result->records.revision);
	for (size_t i = 0; i < result->records.entry_count; i++)
		ws_status_cache_apply_change(core, &result->records.entries[i]);
	if (result->records.has_more && result->records.entry_count) {
		ws_status_cache_load(core,
				     result->records.entries[result->records.entry_count - 1].key);
		return;
	}
	core->status_cache.request_in_flight = false;
	core->status_cache.complete = true;
	core->status_cache.refreshed_at = core->now;
}

static void ws_status_cache_load(struct ws_core *core, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_status_cache_page_loaded);

	snprintf(call->read.key, sizeof(call->read.key), WS_KEY_PREFIX_JOB);
	snprintf(call->read.after, sizeof(call->read.after), "%s", after);
	core->status_cache.request_in_flight = true;
}

void ws_status_cache_tick(struct ws_core *core)
{
	struct ws_call *call;

	if (core->status_cache.request_in_flight || core->now < core->status_cache.next_request_at)
		return;
	if (!core->status_cache.complete) {
		ws_status_cache_clear(core);
		ws_status_cache_load(core, "");
		return;
	}
	if (!core->status_queries.waiting &&
	    core->now - core->status_cache.refreshed_at < core->settings->lease_s / 4)
		return;
	/* the refreshes of all nodes together use a quarter of the store's request rate limit */
	core->status_cache.next_request_at =
	    core->now + 4.0 * (double)(core->settings->peer_count + 1) / core->settings->store_rps;
	core->status_cache.request_in_flight = true;
	ws_queries_mark_refresh_sent(core);
	call = ws_call_new(core, WS_CALL_WATCH, ws_status_cache_refreshed);
	snprintf(call->watch.prefix, sizeof(call->watch.prefix), WS_KEY_PREFIX_JOB);
	call->watch.since_revision = core->status_cache.revision;
}
