/*
 * Status queries of users. They are answered from the job status cache after it has been refreshed
 * since their arrival. Jobs that are not live are read from the archived records, and their final
 * statuses are cached.
 */
#include "../core_state.h"

/* Seconds. By the protocol a user waits 2 s for the answer, and the query may have to be forwarded
 * to a peer within that time. */
#define WS_QUERY_WAIT_S 0.8

struct ws_final_status { /* the status of a completed or cancelled job, which never changes */
	char id[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done;
	UT_hash_handle hh;
};

struct ws_status_query {
	char id[WS_ID_MAX];
	uint64_t request_id;
	bool forwarded;
	bool refresh_sent; /* the refresh in flight was sent after its arrival */
	double received_at;
	struct ws_status_query *prev, *next;
};

/* Number of cached final statuses, the most recently read ones. Repeated queries for these jobs
 * cause no store requests. */
#define WS_FINAL_STATUSES_MAX 4096

static void ws_final_status_cache(struct ws_core *core, const char *id, json_t *value)
{
	struct ws_final_status *final_status;
	enum ws_job_phase phase;
	uint32_t done, running;

	HASH_FIND_STR(core->status_queries.final_statuses, id, final_status);
	if (final_status || !ws_job_status_decode(value, &phase, &done, &running) ||
	    (phase != WS_JOB_DONE && phase != WS_JOB_CANCELLED))
		return;
	if (HASH_COUNT(core->status_queries.final_statuses) >= WS_FINAL_STATUSES_MAX) {
		/* the oldest one, since the table keeps insertion order */
		final_status = core->status_queries.final_statuses;
		HASH_DEL(core->status_queries.final_statuses, final_status);
	} else {
		final_status = calloc(1, sizeof(*final_status));
		if (!final_status)
			return; /* it is read again if needed */
	}
	memset(final_status, 0, sizeof(*final_status));
	snprintf(final_status->id, sizeof(final_status->id), "%s", id);
	final_status->phase = phase;
	final_status->done = done;
	HASH_ADD_STR(core->status_queries.final_statuses, id, final_status);
}

void ws_query_archived_record_read(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_OK && result->records.entry_count == 1)
		ws_final_status_cache(core, request->job, result->records.entries[0].value);
	if (result->outcome == WS_OUTCOME_OK)
		ws_user_answer_record(core, call, result, true);
	else if (result->outcome == WS_OUTCOME_NOT_FOUND)
		ws_user_answer(core, request->request_id, WS_ANSWER_NOT_FOUND, request->job,
			       WS_JOB_QUEUED);
	else
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
}

static void ws_query_live_read(struct ws_core *core, struct ws_call *call,
			       const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_NOT_FOUND) {
		/* a job's record moves from job/ to old/ once and never back */
		ws_job_record_get(core, WS_KEY_PREFIX_ARCHIVED_JOB, ws_user_request_detach(call),
				  ws_query_archived_record_read);
		return;
	}
	if (result->outcome == WS_OUTCOME_OK)
		ws_user_answer_record(core, call, result, true);
	else
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
}

/* Answers a query from the store: reads the live record first if `may_be_live` is set, and
 * otherwise only the archived one. */
static void ws_query_read_record(struct ws_core *core, uint64_t request_id, const char *id,
				 bool forwarded, bool may_be_live)
{
	struct ws_user_request *request = ws_user_request_new(request_id, id, forwarded);

	if (!request) {
		ws_user_answer(core, request_id, WS_ANSWER_UNAVAILABLE, id, WS_JOB_QUEUED);
		return;
	}
	if (may_be_live)
		ws_job_record_get(core, WS_KEY_PREFIX_JOB, request, ws_query_live_read);
	else
		ws_job_record_get(core, WS_KEY_PREFIX_ARCHIVED_JOB, request,
				  ws_query_archived_record_read);
}

void ws_queries_answer(struct ws_core *core, enum ws_outcome outcome)
{
	struct ws_status_query *query, *next_query;

	DL_FOREACH_SAFE (core->status_queries.waiting, query, next_query) {
		struct ws_job_status *job_status;

		if (!query->refresh_sent)
			continue;
		DL_DELETE(core->status_queries.waiting, query);
		HASH_FIND_STR(core->status_cache.jobs, query->id, job_status);
		if (outcome != WS_OUTCOME_OK)
			ws_user_answer_unavailable(core, query->request_id, query->id,
						   query->forwarded, outcome);
		else if (job_status)
			ws_user_answer_status(core, query->request_id, query->id, job_status->phase,
					      job_status->done, job_status->running, true);
		else /* no longer live, or never submitted */
			ws_query_read_record(core, query->request_id, query->id, query->forwarded,
					     false);
		free(query);
	}
}

void ws_queries_expire(struct ws_core *core)
{
	struct ws_status_query *query, *next_query;

	/* forward or answer the query well before the user's timeout; oldest queries come first */
	DL_FOREACH_SAFE (core->status_queries.waiting, query, next_query)
		if (core->now - query->received_at > WS_QUERY_WAIT_S) {
			DL_DELETE(core->status_queries.waiting, query);
			ws_user_answer_unavailable(core, query->request_id, query->id,
						   query->forwarded, WS_OUTCOME_NO_REPLY);
			free(query);
		} else {
			break;
		}
}

void ws_queries_mark_refresh_sent(struct ws_core *core)
{
	struct ws_status_query *query;

	DL_FOREACH (core->status_queries.waiting, query)
		query->refresh_sent = true;
}

void ws_queries_clear_refresh_sent(struct ws_core *core)
{
	struct ws_status_query *query;

	DL_FOREACH (core->status_queries.waiting, query)
		query->refresh_sent = false;
}

void ws_core_query_status(struct ws_core *core, double now, uint64_t request_id, const char *id,
			  bool forwarded)
{
	struct ws_status_query *query;
	struct ws_final_status *final_status;

	if (now > core->now)
		core->now = now;
	HASH_FIND_STR(core->status_queries.final_statuses, id, final_status);
	if (final_status) {
		ws_user_answer_status(core, request_id, id, final_status->phase, final_status->done,
				      0, true);
		return;
	}
	if (!forwarded && ws_store_is_unavailable(core)) {
		ws_user_answer_unavailable(core, request_id, id, forwarded, WS_OUTCOME_UNAVAILABLE);
		return;
	}
	if (!core->status_cache.complete) {
		ws_query_read_record(core, request_id, id, forwarded, true);
		ws_core_tick(core, now);
		return;
	}
	query = calloc(1, sizeof(*query));
	if (!query) {
		ws_user_answer(core, request_id, WS_ANSWER_UNAVAILABLE, id, WS_JOB_QUEUED);
		return;
	}
	snprintf(query->id, sizeof(query->id), "%s", id);
	query->request_id = request_id;
	query->forwarded = forwarded;
	query->received_at = core->now;
	DL_APPEND(core->status_queries.waiting, query);
	ws_core_tick(core, now);
}

void ws_queries_free(struct ws_core *core)
{
	struct ws_status_query *query, *next_query;
	struct ws_final_status *final_status = core->status_queries.final_statuses, *next_final;

	DL_FOREACH_SAFE (core->status_queries.waiting, query, next_query) {
		DL_DELETE(core->status_queries.waiting, query);
		free(query);
	}
	HASH_CLEAR(hh, core->status_queries.final_statuses);
	for (; final_status; final_status = next_final) {
		next_final = final_status->hh.next;
		free(final_status);
	}
}
