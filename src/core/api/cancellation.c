/*
 * Cancellations: a job is cancelled once the phase in its record is cancelled. The leader detects
 * that through its watch of the job records and stops the tasks.
 */
#include "../core_state.h"

/* The record may change between the read and the write. After this many attempts the user has to
 * retry. */
#define CANCEL_ATTEMPTS_MAX 8

static void ws_cancel_record_read(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result);

static void ws_cancel_written(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_OK) {
		ws_status_cache_mark_cancelled(core, call->transaction.compares[0].key,
					       result->transaction.revision);
		ws_user_answer(core, request->request_id, WS_ANSWER_OK, request->job,
			       WS_JOB_CANCELLED);
	} else if ((result->outcome == WS_OUTCOME_CONFLICT ||
		    result->outcome == WS_OUTCOME_REJECTED) &&
		   ++request->attempts < CANCEL_ATTEMPTS_MAX) {
		/* the record has changed, or exceeds the current size limit: read it again */
		request->must_split_record |= result->outcome == WS_OUTCOME_REJECTED;
		ws_job_record_get(core, WS_KEY_PREFIX_JOB, ws_user_request_detach(call),
				  ws_cancel_record_read);
		return;
	} else {
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
	}
}

/* Splits a record that the store rejected as too large: attempts that do not fit are moved to
 * continuation records in the same transaction. */
static void ws_cancel_split_record(struct ws_core *core, struct ws_call *call)
{
	const struct ws_user_request *request = call->context;
	json_t *record = call->transaction.operations[0].value;
	size_t continuations_max = (size_t)core->settings->transaction_ops - 1, continuation_count,
	       original_size = ws_record_size(record);
	uint32_t first_number = ws_job_record_continuation_count(record);
	json_t **continuations = ws_alloc(continuations_max + 1, sizeof(*continuations));

	ws_job_record_split(record, ws_job_record_size_limit(core), continuations,
			    continuations_max, &continuation_count);
	for (size_t i = 0; i < continuation_count; i++) {
		snprintf(call->transaction.operations[call->transaction.operation_count].key,
			 WS_KEY_MAX, WS_KEY_PREFIX_JOB_CONTINUATION "%s/%zu", request->job,
			 first_number + i);
		call->transaction.operations[call->transaction.operation_count++].value =
		    continuations[i];
	}
	free(continuations);
	ws_log(core, WS_LOG_INFO,
	       "oversized record split by cancellation job=%s bytes=%zu records=%zu", request->job,
	       original_size, continuation_count + 1);
}

static void ws_cancel_record_read(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	struct ws_user_request *request = call->context;
	enum ws_job_phase phase;
	uint32_t done, running;
	struct ws_call *transaction;

	if (result->outcome == WS_OUTCOME_NOT_FOUND) {
		ws_job_record_get(core, WS_KEY_PREFIX_ARCHIVED_JOB, ws_user_request_detach(call),
				  ws_query_archived_record_read);
		return;
	}
	if (result->outcome != WS_OUTCOME_OK || result->records.entry_count != 1 ||
	    !ws_job_status_decode(result->records.entries[0].value, &phase, &done, &running)) {
		ws_user_answer_unavailable(
		    core, request->request_id, request->job, request->forwarded,
		    result->outcome == WS_OUTCOME_OK ? WS_OUTCOME_OTHER : result->outcome);
		return;
	}
	if (phase == WS_JOB_DONE || phase == WS_JOB_CANCELLED) {
		if (phase == WS_JOB_CANCELLED)
			ws_status_cache_mark_cancelled(core, call->read.key,
						       result->records.entries[0].revision);
		ws_user_answer(core, request->request_id, WS_ANSWER_OK, request->job, phase);
		return;
	}
	transaction = ws_call_new(core, WS_CALL_TRANSACTION, ws_cancel_written);
	transaction->context = ws_user_request_detach(call);
	ws_transaction_reserve(transaction, 1, (size_t)core->settings->transaction_ops);
	ws_transaction_compare(transaction, call->read.key, result->records.entries[0].revision);
	ws_transaction_set(transaction, call->read.key,
			   json_deep_copy(result->records.entries[0].value));
	ws_job_record_cancel(transaction->transaction.operations[0].value);
	if (request->must_split_record)
		ws_cancel_split_record(core, transaction);
}

void ws_core_cancel(struct ws_core *core, double now, uint64_t request_id, const char *id,
		    bool forwarded)
{
	struct ws_user_request *request;

	if (now > core->now)
		core->now = now;
	request = ws_user_request_new(request_id, id, forwarded);
	if (!request) {
		ws_user_answer(core, request_id, WS_ANSWER_UNAVAILABLE, id, WS_JOB_QUEUED);
		return;
	}
	ws_job_record_get(core, WS_KEY_PREFIX_JOB, request, ws_cancel_record_read);
	ws_core_tick(core, now);
}
