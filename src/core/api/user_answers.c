/*
 * Answers to users. An answer that binds the service (accepted, done, cancelled) is given only if
 * it was read from or written to the store.
 */
#include "../core_state.h"
#include "../record_sources.h"

void ws_user_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
		    const char *id, enum ws_job_phase phase)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_USER);

	effect->request_id = request_id;
	effect->answer = answer;
	effect->user.phase = phase;
	snprintf(effect->user.job, sizeof(effect->user.job), "%s", id);
	if (answer == WS_ANSWER_UNAVAILABLE)
		effect->user.retry_after_s = 1;
}

void ws_user_answer_unavailable(struct ws_core *core, uint64_t request_id, const char *id,
				bool forwarded, enum ws_outcome outcome)
{
	if (!forwarded && !ws_node_is_isolated(core) &&
	    (outcome == WS_OUTCOME_UNAVAILABLE || outcome == WS_OUTCOME_NO_REPLY) &&
	    core->settings->peer_count) {
		struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_FORWARD);

		effect->request_id = request_id;
		return;
	}
	ws_user_answer(core, request_id, WS_ANSWER_UNAVAILABLE, id, WS_JOB_QUEUED);
}

struct ws_user_request *ws_user_request_new(uint64_t request_id, const char *id, bool forwarded)
{
	struct ws_user_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	snprintf(request->job, sizeof(request->job), "%s", id);
	request->request_id = request_id;
	request->forwarded = forwarded;
	return request;
}

struct ws_user_request *ws_user_request_detach(struct ws_call *call)
{
	struct ws_user_request *request = call->context;

	call->context = NULL;
	return request;
}

void ws_job_record_get(struct ws_core *core, const char *prefix, struct ws_user_request *request,
		       ws_result_fn on_result)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, on_result);

	snprintf(call->read.key, sizeof(call->read.key), "%s%s", prefix, request->job);
	call->context = request;
}

/*
 * Outage votes list cancellations from the job status cache, so it must contain a cancellation
 * before that is confirmed to a user. A job with a record under old/ has no tasks left on any
 * machine, so it need not be listed.
 */
void ws_status_cache_mark_cancelled(struct ws_core *core, const char *key, uint64_t revision)
{
	struct ws_job_status *job_status =
	    ws_key_has_prefix(key, WS_KEY_PREFIX_JOB)
		? ws_status_cache_put_newer(core, key + strlen(WS_KEY_PREFIX_JOB), revision)
		: NULL;

	if (job_status)
		job_status->phase = WS_JOB_CANCELLED;
}

void ws_user_answer_status(struct ws_core *core, uint64_t request_id, const char *id,
			   enum ws_job_phase phase, uint32_t done, uint32_t running,
			   bool with_counts)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_USER);

	effect->request_id = request_id;
	effect->answer = WS_ANSWER_OK;
	effect->user.phase = phase;
	effect->user.carries_counts = with_counts;
	effect->user.done = done;
	effect->user.running = running;
	snprintf(effect->user.job, sizeof(effect->user.job), "%s", id);
	if (with_counts && core->leadership.role == WS_LEADER && phase == WS_JOB_RUNNING) {
		struct ws_job *job = ws_job_find(core, id);

		if (job) {
			effect->user.done = job->done_count;
			effect->user.running = job->attempt_count;
		}
	}
}

void ws_user_answer_record(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result, bool with_counts)
{
	const struct ws_user_request *request = call->context;
	enum ws_job_phase phase;
	uint32_t done, running;

	if (result->records.entry_count != 1 ||
	    !ws_job_status_decode(result->records.entries[0].value, &phase, &done, &running)) {
		ws_log(core, WS_LOG_ERROR, "malformed job record ignored key=%s", call->read.key);
		ws_user_answer(core, request->request_id, WS_ANSWER_UNAVAILABLE, request->job,
			       WS_JOB_QUEUED);
		return;
	}
	if (phase == WS_JOB_CANCELLED)
		ws_status_cache_mark_cancelled(core, call->read.key,
					       result->records.entries[0].revision);
	ws_user_answer_status(core, request->request_id, request->job, phase, done, running,
			      with_counts);
}
