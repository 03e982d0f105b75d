/* Status queries of users, and the job status cache' records that every node answers them from. */
#include "../core_state.h"

/* The protocol: a user waits 2 s for the answer to a poll; a peer may have to be asked as well. */
#define WS_QUERY_WAIT_S 0.8

struct ws_final_status { /* the answer about a job that is over: it never changes */
	char id[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done;
	UT_hash_handle hh;
};

struct ws_status_query {
	char id[WS_ID_MAX];
	uint64_t request_id;
	bool forwarded, check_sent; /* asked: the check under way began after it came */
	double received_at;
	struct ws_status_query *prev, *next;
};

/* Some thousands are kept, the newest, so that asking again costs the store nothing. */
#define WS_FINAL_STATUSES_MAX 4096

static void ws_final_status_keep(struct ws_core *core, const char *id, json_t *value)
{
	struct ws_final_status *final_status;
	enum ws_job_phase phase;
	uint32_t done, running;

	HASH_FIND_STR(core->status_cache.final_statuses, id, final_status);
	if (final_status || !ws_record_read_phase(value, &phase, &done, &running) ||
	    (phase != WS_JOB_DONE && phase != WS_JOB_CANCELLED))
		return;
	if (HASH_COUNT(core->status_cache.final_statuses) >= WS_FINAL_STATUSES_MAX) {
		final_status =
		    core->status_cache
			.final_statuses; /* the oldest: the table keeps the order of adding */
		HASH_DEL(core->status_cache.final_statuses, final_status);
	} else {
		final_status = malloc(sizeof(*final_status));
	}
	if (!final_status)
		return;
	memset(final_status, 0, sizeof(*final_status));
	snprintf(final_status->id, sizeof(final_status->id), "%s", id);
	final_status->phase = phase;
	final_status->done = done;
	HASH_ADD_STR(core->status_cache.final_statuses, id, final_status);
}

void ws_query_archived_read(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 200 && result->entry_count == 1)
		ws_final_status_keep(core, call->context_name, result->entries[0].value);
	if (result->status == 200)
		ws_user_answer_record(core, call, result, true);
	else if (result->status == 404)
		ws_user_answer(core, call->context_number, 404, call->context_name, WS_JOB_QUEUED);
	else
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
}

static void ws_query_live_read(struct ws_core *core, struct ws_call *call,
			       const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 404) { /* a job moves from job/ to old/ once and never back */
		call->context = NULL;
		ws_job_record_get(core, "old", call->context_name, call->context_number, request,
				  ws_query_archived_read);
		return;
	}
	if (result->status == 200)
		ws_user_answer_record(core, call, result, true);
	else
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
}

static void ws_query_store(struct ws_core *core, uint64_t request_id, const char *id,
			   bool forwarded, const char *prefix)
{
	struct ws_user_request *request = calloc(1, sizeof(*request));

	if (!request) {
		ws_user_answer(core, request_id, 503, id, WS_JOB_QUEUED);
		return;
	}
	request->forwarded = forwarded;
	ws_job_record_get(core, prefix, id, request_id, request,
			  prefix[0] == 'j' ? ws_query_live_read : ws_query_archived_read);
}

/*
 * Every node keeps a copy of what the live jobs' records say. Polls wait until a request that was
 * sent after they came has brought the copy up to date, and are then answered in one go: so an
 * answer is never older than one that another node gave, and the store is asked a few times
 * a second however many poll.
 */
static struct ws_job_status *ws_status_cache_put(struct ws_core *core, const char *id,
						 uint64_t revision)
{
	struct ws_job_status *job_status;

	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	if (!job_status) {
		job_status = calloc(1, sizeof(*job_status));
		if (!job_status)
			abort();
		snprintf(job_status->id, sizeof(job_status->id), "%s", id);
		HASH_ADD_STR(core->status_cache.jobs, id, job_status);
	}
	job_status->revision = revision;
	return job_status;
}

/* The entry of a job of which we know more than the copy tells; NULL: the copy is as new. */
struct ws_job_status *ws_status_cache_note(struct ws_core *core, const char *id, uint64_t revision)
{
	struct ws_job_status *job_status;

	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	return revision <= core->status_cache.revision ||
		       (job_status && revision <= job_status->revision)
		   ? NULL
		   : ws_status_cache_put(core, id, revision);
}

static void ws_status_cache_drop(struct ws_core *core, struct ws_job_status *job_status)
{
	HASH_DEL(core->status_cache.jobs, job_status);
	free(job_status);
}

static void ws_status_cache_apply_change(struct ws_core *core, const struct ws_kv *entry)
{
	struct ws_job_status *job_status;
	enum ws_job_phase phase;
	uint32_t done, running;
	const char *id = entry->key + 4;

	if (strncmp(entry->key, "job/", 4) || strlen(id) >= WS_ID_MAX)
		return;
	HASH_FIND_STR(core->status_cache.jobs, id, job_status);
	if (job_status && entry->revision <= job_status->revision)
		return;
	if (!entry->value) {
		if (job_status)
			ws_status_cache_drop(core, job_status);
		return;
	}
	job_status = ws_status_cache_put(core, id, entry->revision);
	if (!ws_record_read_phase(entry->value, &phase, &done, &running)) {
		job_status->phase = WS_JOB_QUEUED; /* known at any rate */
		return;
	}
	job_status->phase = phase;
	job_status->done = done;
	job_status->running = running;
}

static void ws_status_cache_clear(struct ws_core *core)
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

static void ws_queries_answer(struct ws_core *core, int status)
{
	struct ws_status_query *query, *next_query;

	DL_FOREACH_SAFE (core->status_cache.queries, query, next_query) {
		struct ws_job_status *job_status;

		if (!query->check_sent)
			continue;
		DL_DELETE(core->status_cache.queries, query);
		HASH_FIND_STR(core->status_cache.jobs, query->id, job_status);
		if (status != 200)
			ws_user_answer_unavailable(core, query->request_id, query->id,
						   query->forwarded, status);
		else if (job_status)
			ws_user_answer_status(core, query->request_id, query->id, job_status->phase,
					      job_status->done, job_status->running, true);
		else /* not live by now: over, or never submitted */
			ws_query_store(core, query->request_id, query->id, query->forwarded, "old");
		free(query);
	}
}

/* What a watch of the jobs brought, to the cache of their phases: only what is newer than it. */
void ws_status_cache_apply(struct ws_core *core, const struct ws_call *call,
			   const struct ws_result *result)
{
	uint64_t held = core->status_cache.revision;

	if (!core->status_cache.complete || call->since_revision > held)
		return;
	for (size_t i = 0; i < result->entry_count; i++)
		if (result->entries[i].revision > held)
			ws_status_cache_apply_change(core, &result->entries[i]);
	core->status_cache.revision = result->revision > held ? result->revision : held;
	core->status_cache.fresh_at = core->now;
}

static void ws_status_cache_watch_answered(struct ws_core *core, struct ws_call *call,
					   const struct ws_result *result)
{
	core->status_cache.request_in_flight = false;
	if (result->status != 429)
		ws_store_answered(core, result->status);
	if (result->status == 200) {
		ws_job_watch_apply(core, call, result);
		ws_queries_answer(core, 200);
	} else if (result->status == 410) { /* the copy is too old to be brought up to date */
		ws_status_cache_clear(core);
	} else if (result->status == 429) {
		struct ws_status_query *query;

		DL_FOREACH (core->status_cache.queries, query)
			query->check_sent = false; /* asked for again in a moment */
	} else {
		ws_queries_answer(core, result->status);
	}
}

static void ws_status_cache_load(struct ws_core *core, const char *after);

static void ws_status_cache_page_read(struct ws_core *core, struct ws_call *call,
				      const struct ws_result *result)
{
	if (result->status != 200) {
		core->status_cache.request_in_flight = false;
		core->status_cache.next_request_at = core->now + core->leadership.session_ttl_s / 4;
		return;
	}
	if (!call->after[0]) {
		struct ws_job_status *job_status, *next_job_status;

		core->status_cache.revision = result->revision;
		HASH_ITER (hh, core->status_cache.jobs, job_status,
			   next_job_status) /* noted meanwhile: the pages tell */
			if (job_status->revision <= result->revision)
				ws_status_cache_drop(core, job_status);
	}
	for (size_t i = 0; i < result->entry_count; i++)
		ws_status_cache_apply_change(core, &result->entries[i]);
	if (result->has_more && result->entry_count) {
		ws_status_cache_load(core, result->entries[result->entry_count - 1].key);
		return;
	}
	core->status_cache.request_in_flight = false;
	core->status_cache.complete = true;
	core->status_cache.fresh_at = core->now;
}

static void ws_status_cache_load(struct ws_core *core, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_status_cache_page_read);

	snprintf(call->key, sizeof(call->key), "job/");
	snprintf(call->after, sizeof(call->after), "%s", after);
	core->status_cache.request_in_flight = true;
}

void ws_status_cache_tick(struct ws_core *core)
{
	struct ws_status_query *query, *next_query;
	struct ws_call *call;

	/* a peer is asked, or the user told, well before the user gives up */
	DL_FOREACH_SAFE (core->status_cache.queries, query, next_query)
		if (core->now - query->received_at > WS_QUERY_WAIT_S) {
			DL_DELETE(core->status_cache.queries, query);
			ws_user_answer_unavailable(core, query->request_id, query->id,
						   query->forwarded, 0);
			free(query);
		} else {
			break;
		}
	if (core->status_cache.request_in_flight || core->now < core->status_cache.next_request_at)
		return;
	if (!core->status_cache.complete) {
		ws_status_cache_clear(core);
		ws_status_cache_load(core, "");
		return;
	}
	if (!core->status_cache.queries &&
	    core->now - core->status_cache.fresh_at < core->settings->lease_s / 4)
		return;
	/* all nodes together spend a quarter of the requests allowed on this */
	core->status_cache.next_request_at =
	    core->now + 4.0 * (double)(core->settings->peer_count + 1) / core->settings->state_rps;
	core->status_cache.request_in_flight = true;
	DL_FOREACH (core->status_cache.queries, query)
		query->check_sent = true;
	call = ws_call_new(core, WS_CALL_WATCH, ws_status_cache_watch_answered);
	snprintf(call->key, sizeof(call->key), "job/");
	call->since_revision = core->status_cache.revision;
}

void ws_core_query_status(struct ws_core *core, double now, uint64_t request_id, const char *id,
			  bool forwarded)
{
	struct ws_status_query *query;
	struct ws_final_status *final_status;

	if (now > core->now)
		core->now = now;
	HASH_FIND_STR(core->status_cache.final_statuses, id, final_status);
	if (final_status) {
		ws_user_answer_status(core, request_id, id, final_status->phase, final_status->done,
				      0, true);
		return;
	}
	if (!forwarded && ws_store_refuses(core)) {
		ws_user_answer_unavailable(core, request_id, id, forwarded, 503);
		return;
	}
	if (!core->status_cache.complete) {
		ws_query_store(core, request_id, id, forwarded, "job");
		ws_core_tick(core, now);
		return;
	}
	query = calloc(1, sizeof(*query));
	if (!query) {
		ws_user_answer(core, request_id, 503, id, WS_JOB_QUEUED);
		return;
	}
	snprintf(query->id, sizeof(query->id), "%s", id);
	query->request_id = request_id;
	query->forwarded = forwarded;
	query->received_at = core->now;
	DL_APPEND(core->status_cache.queries, query);
	ws_core_tick(core, now);
}

void ws_queries_free(struct ws_core *core)
{
	struct ws_status_query *query, *next_poll;
	struct ws_final_status *final_status = core->status_cache.final_statuses, *next_final;

	ws_status_cache_clear(core);
	DL_FOREACH_SAFE (core->status_cache.queries, query, next_poll) {
		DL_DELETE(core->status_cache.queries, query);
		free(query);
	}
	HASH_CLEAR(hh, core->status_cache.final_statuses);
	for (; final_status; final_status = next_final) {
		next_final = final_status->hh.next;
		free(final_status);
	}
}
