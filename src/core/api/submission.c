/*
 * Submissions: a job is accepted once its record is in the store. The record is written only if no
 * live or archived record has the same id; a repeated submission is answered with the job's current
 * status.
 */
#include "../core_state.h"

/* Returns true unless the job is a gang to be spread that cannot run. Such a gang runs all tasks at
 * once with at most half of them in a zone, so it needs two zones with a suitable machine type. */
static bool ws_gang_can_spread(struct ws_core *core, const struct ws_job_spec *spec)
{
	uint32_t zones = 0;

	if (!spec->gang || !spec->spread || spec->tasks == 1)
		return true;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		for (size_t index = 0; ws_machine_type_fits(&core->catalog.types[i], spec) &&
				       index < core->catalog.types[i].zone_count;
		     index++) {
			int zone_index = ws_zone_index(core, core->catalog.types[i].zones[index]);

			if (zone_index >= 0 &&
			    (!spec->zone[0] ||
			     !strcmp(spec->zone, core->catalog.zones[zone_index])))
				zones |= 1u << zone_index;
		}
	return !spec->one_zone && (zones & (zones - 1));
}

static bool ws_can_ever_run(struct ws_core *core, const struct ws_job_spec *spec)
{
	struct ws_team *team = ws_team_find(core, spec->team);
	double tasks_at_once = spec->service || spec->gang ? spec->tasks : 1;
	bool fits = false;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		fits |= ws_machine_type_fits(&core->catalog.types[i], spec);
	return team && fits && ws_gang_can_spread(core, spec) &&
	       tasks_at_once * spec->cpus <= team->settings->cpus_max + 1e-9 &&
	       tasks_at_once * spec->gpus <= team->settings->gpus_max + 1e-9;
}

static void ws_submit_archived_record_read(struct ws_core *core, struct ws_call *call,
					   const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_OK)
		ws_user_answer_record(core, call, result, false);
	else if (result->outcome == WS_OUTCOME_NOT_FOUND)
		/* a job that can run exists, since its write conflicted, but its record was moved
		 * between the two reads: the user has to retry */
		ws_user_answer(core, request->request_id,
			       request->never_runnable ? WS_ANSWER_NEVER_RUNNABLE
						       : WS_ANSWER_UNAVAILABLE,
			       request->job, WS_JOB_QUEUED);
	else
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
}

static void ws_submit_live_record_read(struct ws_core *core, struct ws_call *call,
				       const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_NOT_FOUND) {
		ws_job_record_get(core, WS_KEY_PREFIX_ARCHIVED_JOB, ws_user_request_detach(call),
				  ws_submit_archived_record_read);
		return;
	}
	if (result->outcome == WS_OUTCOME_OK)
		ws_user_answer_record(core, call, result, false);
	else
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
}

static void ws_submit_written(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->outcome == WS_OUTCOME_CONFLICT) {
		ws_job_record_get(core, WS_KEY_PREFIX_JOB, ws_user_request_detach(call),
				  ws_submit_live_record_read);
		return;
	}
	if (result->outcome == WS_OUTCOME_OK) {
		ws_log(core, WS_LOG_DEBUG, "job accepted job=%s", request->job);
		ws_user_answer(core, request->request_id, WS_ANSWER_ACCEPTED, request->job,
			       WS_JOB_QUEUED);
	} else if (result->outcome == WS_OUTCOME_REJECTED) {
		/* the record exceeds the store's limits and cannot be stored */
		ws_user_answer(core, request->request_id, WS_ANSWER_UNAVAILABLE, request->job,
			       WS_JOB_QUEUED);
	} else {
		ws_user_answer_unavailable(core, request->request_id, request->job,
					   request->forwarded, result->outcome);
	}
}

void ws_core_submit(struct ws_core *core, double now, double wall, uint64_t request_id,
		    const struct ws_job_spec *spec, bool forwarded)
{
	char live_key[WS_KEY_MAX], archived_key[WS_KEY_MAX];
	struct ws_user_request *request;
	struct ws_call *call;

	if (now > core->now)
		core->now = now;
	if (!core->catalog.type_count) {
		ws_user_answer_unavailable(core, request_id, spec->id, forwarded,
					   WS_OUTCOME_UNAVAILABLE);
		return;
	}
	if (!forwarded && ws_store_is_unavailable(core)) {
		ws_user_answer_unavailable(core, request_id, spec->id, forwarded,
					   WS_OUTCOME_UNAVAILABLE);
		return;
	}
	request = ws_user_request_new(request_id, spec->id, forwarded);
	if (!request) {
		ws_user_answer(core, request_id, WS_ANSWER_UNAVAILABLE, spec->id, WS_JOB_QUEUED);
		return;
	}
	if (!ws_can_ever_run(core, spec)) {
		/* the job may have been accepted earlier, under other limits or teams */
		request->never_runnable = true;
		ws_job_record_get(core, WS_KEY_PREFIX_JOB, request, ws_submit_live_record_read);
		ws_core_tick(core, now);
		return;
	}
	call = ws_call_new(core, WS_CALL_TRANSACTION, ws_submit_written);
	call->context = request;
	snprintf(live_key, sizeof(live_key), "%s%s", WS_KEY_PREFIX_JOB, spec->id);
	snprintf(archived_key, sizeof(archived_key), "%s%s", WS_KEY_PREFIX_ARCHIVED_JOB, spec->id);
	ws_transaction_reserve(call, 2, 1);
	ws_transaction_compare(call, live_key, 0);
	ws_transaction_compare(call, archived_key, 0);
	ws_transaction_set(call, live_key, ws_new_job_record_encode(spec, WS_JOB_QUEUED, wall));
	ws_core_tick(core, now);
}
