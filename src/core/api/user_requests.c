/*
 * What users ask of any node. Every answer that binds the service (accepted, done, cancelled) is
 * read from or written to the store first; a node that can't tell says 503 at once.
 */
#include "../core_state.h"

void ws_user_answer(struct ws_core *core, uint64_t request_id, int status, const char *id,
		    enum ws_job_phase phase)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_USER);

	effect->request_id = request_id;
	effect->status = status;
	effect->phase = phase;
	snprintf(effect->name, sizeof(effect->name), "%s", id);
	if (status == 503 || status == 429)
		effect->retry_after = 1;
}

/* The store does not serve us: a peer may do better, unless the request came from one. */
void ws_user_answer_unavailable(struct ws_core *core, uint64_t request_id, const char *id,
				bool forwarded, int status)
{
	if (!forwarded && !ws_node_is_isolated(core) && (status == 503 || status == 0) &&
	    core->settings->peer_count) {
		struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_FORWARD);

		effect->request_id = request_id;
		return;
	}
	ws_user_answer(core, request_id, 503, id, WS_JOB_QUEUED);
}

struct ws_call *ws_job_record_get(struct ws_core *core, const char *prefix, const char *id,
				  uint64_t request_id, struct ws_user_request *request,
				  ws_result_fn done)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, done);

	snprintf(call->key, sizeof(call->key), "%s/%s", prefix, id);
	snprintf(call->context_name, sizeof(call->context_name), "%s", id);
	call->context = request;
	call->context_number = request_id;
	return call;
}

/* At most half of its tasks in a zone, and all of them at once: that takes two zones. */
static bool ws_gang_spreads(struct ws_core *core, const struct ws_job_spec *spec)
{
	uint32_t zones = 0;

	if (!spec->gang || !spec->spread || spec->tasks == 1)
		return true;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		for (size_t z = 0; ws_machine_type_fits(&core->catalog.types[i], spec) &&
				   z < core->catalog.types[i].zone_count;
		     z++) {
			int zi = ws_zone_index(core, core->catalog.types[i].zones[z]);

			if (zi >= 0 &&
			    (!spec->zone[0] || !strcmp(spec->zone, core->catalog.zones[zi])))
				zones |= 1u << zi;
		}
	return !spec->one_zone && (zones & (zones - 1));
}

static bool ws_can_ever_run(struct ws_core *core, const struct ws_job_spec *spec)
{
	struct ws_team *team = ws_team_find(core, spec->team);
	double n = spec->service || spec->gang ? spec->tasks : 1;
	bool fits = false;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		fits |= ws_machine_type_fits(&core->catalog.types[i], spec) &&
			ws_gang_recordable(core, spec, &core->catalog.types[i]);
	return team && fits && ws_gang_spreads(core, spec) &&
	       n * spec->cpus <= team->settings->cpus_max + 1e-9 &&
	       n * spec->gpus <= team->settings->gpus_max + 1e-9;
}

/*
 * A user is about to be told that this job is cancelled: the job status cache must hold that,
 * for it is what we vote with. A record under old/ has nothing left on any machine.
 */
static void ws_status_cache_note_cancelled(struct ws_core *core, const char *key, uint64_t revision)
{
	struct ws_job_status *job_status =
	    strncmp(key, "job/", 4) ? NULL : ws_status_cache_note(core, key + 4, revision);

	if (job_status)
		job_status->phase = WS_JOB_CANCELLED;
}

void ws_user_answer_status(struct ws_core *core, uint64_t request_id, const char *id,
			   enum ws_job_phase phase, uint32_t done, uint32_t running, bool poll)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_USER);

	effect->request_id = request_id;
	effect->status = 200;
	effect->phase = phase;
	effect->carries_counts = poll;
	effect->done = done;
	effect->running = running;
	snprintf(effect->name, sizeof(effect->name), "%s", id);
	if (poll && core->leadership.role == WS_LEADER && phase == WS_JOB_RUNNING) {
		struct ws_job *job = ws_job_find(core, id);

		if (job) {
			effect->done = job->done_count;
			effect->running = job->attempt_count;
		}
	}
}

void ws_user_answer_record(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result, bool poll)
{
	enum ws_job_phase phase;
	uint32_t done, running;

	if (result->entry_count != 1 ||
	    !ws_record_read_phase(result->entries[0].value, &phase, &done, &running)) {
		ws_log(core, WS_LOG_ERROR, "record %s can't be read", call->key);
		ws_user_answer(core, call->context_number, 503, call->context_name, WS_JOB_QUEUED);
		return;
	}
	if (phase == WS_JOB_CANCELLED)
		ws_status_cache_note_cancelled(core, call->key, result->entries[0].revision);
	ws_user_answer_status(core, call->context_number, call->context_name, phase, done, running,
			      poll);
}

/* ---- submit ---- */

static void ws_submit_known_old(struct ws_core *core, struct ws_call *call,
				const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 200)
		ws_user_answer_record(core, call, result, false);
	else if (result->status == 404) /* else moved between two reads; it is known in any case */
		ws_user_answer(core, call->context_number, request->never_runnable ? 422 : 503,
			       call->context_name, WS_JOB_QUEUED);
	else
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
}

static void ws_submit_known(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 404) {
		call->context = NULL;
		ws_job_record_get(core, "old", call->context_name, call->context_number, request,
				  ws_submit_known_old);
		return;
	}
	if (result->status == 200)
		ws_user_answer_record(core, call, result, false);
	else
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
}

static void ws_submit_written(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 409) {
		call->context = NULL;
		ws_job_record_get(core, "job", call->context_name, call->context_number, request,
				  ws_submit_known);
		return;
	}
	if (result->status == 200) {
		ws_log(core, WS_LOG_DEBUG, "job %s accepted", call->context_name);
		ws_user_answer(core, call->context_number, 201, call->context_name, WS_JOB_QUEUED);
	} else if (result->status == 400) { /* a record over the limits: it can't be kept */
		ws_user_answer(core, call->context_number, 503, call->context_name, WS_JOB_QUEUED);
	} else {
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
	}
}

void ws_core_submit(struct ws_core *core, double now, double wall, uint64_t request_id,
		    const struct ws_job_spec *spec, bool forwarded)
{
	struct ws_user_request *request;
	struct ws_call *call;

	if (now > core->now)
		core->now = now;
	if (!core->catalog.type_count) {
		ws_user_answer_unavailable(core, request_id, spec->id, forwarded, 503);
		return;
	}
	if (!forwarded && ws_store_refuses(core)) {
		ws_user_answer_unavailable(core, request_id, spec->id, forwarded, 503);
		return;
	}
	request = calloc(1, sizeof(*request));
	if (!request) {
		ws_user_answer(core, request_id, 503, spec->id, WS_JOB_QUEUED);
		return;
	}
	request->forwarded = forwarded;
	if (!ws_can_ever_run(core, spec)) {
		/* limits and teams change: what was accepted under others stays known */
		request->never_runnable = true;
		ws_job_record_get(core, "job", spec->id, request_id, request, ws_submit_known);
		ws_core_tick(core, now);
		return;
	}
	call = ws_call_new(core, WS_CALL_TRANSACTION, ws_submit_written);
	call->context = request;
	call->context_number = request_id;
	snprintf(call->context_name, sizeof(call->context_name), "%s", spec->id);
	call->compares = calloc(2, sizeof(*call->compares));
	call->operations = calloc(1, sizeof(*call->operations));
	if (!call->compares || !call->operations)
		abort();
	call->compare_count = 2;
	call->operation_count = 1;
	snprintf(call->compares[0].key, WS_KEY_MAX, "job/%s", spec->id);
	snprintf(call->compares[1].key, WS_KEY_MAX, "old/%s", spec->id);
	snprintf(call->operations[0].key, WS_KEY_MAX, "job/%s", spec->id);
	call->operations[0].value = ws_record_spec(spec, WS_JOB_QUEUED, wall);
	ws_core_tick(core, now);
}

/* ---- abort ---- */

static void ws_cancel_record_read(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result);

static void ws_cancel_written(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_user_request *request = call->context;

	if (result->status == 200) {
		ws_status_cache_note_cancelled(core, call->compares[0].key, result->revision);
		ws_user_answer(core, call->context_number, 200, call->context_name,
			       WS_JOB_CANCELLED);
	} else if ((result->status == 409 || result->status == 400) && ++request->attempts < 8) {
		/* changed meanwhile, or larger than the limit of now: read it again */
		request->record_split |= result->status == 400;
		call->context = NULL;
		ws_job_record_get(core, "job", call->context_name, call->context_number, request,
				  ws_cancel_record_read);
		return;
	} else {
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded, result->status);
	}
}

/* The record as it is was refused: what does not fit goes to records of its own. */
static void ws_cancel_split_written(struct ws_core *core, struct ws_call *call)
{
	size_t most = (size_t)core->settings->txn_ops - 1, n,
	       before = ws_record_size(call->operations[0].value);
	json_t **pieces = calloc(most + 1, sizeof(*pieces));

	if (!pieces)
		abort();
	ws_record_split_attempts(call->operations[0].value, ws_record_size_limit(core), pieces,
				 most, &n);
	for (size_t i = 0; i < n; i++) {
		snprintf(call->operations[call->operation_count].key, WS_KEY_MAX, "more/%s/%zu",
			 call->context_name, i);
		call->operations[call->operation_count++].value = pieces[i];
	}
	free(pieces);
	ws_log(core, WS_LOG_INFO,
	       "job %s: its record of %zu bytes was refused, withdrawn in %zu parts",
	       call->context_name, before, n + 1);
}

static void ws_cancel_record_read(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	struct ws_user_request *request = call->context;
	enum ws_job_phase phase;
	uint32_t done, running;
	struct ws_call *other_call;

	if (result->status == 404) {
		call->context = NULL;
		ws_job_record_get(core, "old", call->context_name, call->context_number, request,
				  ws_query_archived_read);
		return;
	}
	if (result->status != 200 || result->entry_count != 1 ||
	    !ws_record_read_phase(result->entries[0].value, &phase, &done, &running)) {
		ws_user_answer_unavailable(core, call->context_number, call->context_name,
					   request->forwarded,
					   result->status == 200 ? 500 : result->status);
		return;
	}
	if (phase == WS_JOB_DONE || phase == WS_JOB_CANCELLED) {
		if (phase == WS_JOB_CANCELLED)
			ws_status_cache_note_cancelled(core, call->key,
						       result->entries[0].revision);
		ws_user_answer(core, call->context_number, 200, call->context_name, phase);
		return;
	}
	other_call = ws_call_new(core, WS_CALL_TRANSACTION, ws_cancel_written);
	other_call->context = request;
	call->context = NULL;
	other_call->context_number = call->context_number;
	snprintf(other_call->context_name, sizeof(other_call->context_name), "%s",
		 call->context_name);
	other_call->compares = calloc(1, sizeof(*other_call->compares));
	other_call->operations =
	    calloc((size_t)core->settings->txn_ops, sizeof(*other_call->operations));
	if (!other_call->compares || !other_call->operations)
		abort();
	other_call->compare_count = other_call->operation_count = 1;
	snprintf(other_call->compares[0].key, WS_KEY_MAX, "%s", call->key);
	other_call->compares[0].revision = result->entries[0].revision;
	snprintf(other_call->operations[0].key, WS_KEY_MAX, "%s", call->key);
	other_call->operations[0].value = json_deep_copy(result->entries[0].value);
	ws_record_cancel(other_call->operations[0].value);
	if (request->record_split)
		ws_cancel_split_written(core, other_call);
}

void ws_core_cancel(struct ws_core *core, double now, uint64_t request_id, const char *id,
		    bool forwarded)
{
	struct ws_user_request *request;

	if (now > core->now)
		core->now = now;
	request = calloc(1, sizeof(*request));
	if (!request) {
		ws_user_answer(core, request_id, 503, id, WS_JOB_QUEUED);
		return;
	}
	request->forwarded = forwarded;
	ws_job_record_get(core, "job", id, request_id, request, ws_cancel_record_read);
	ws_core_tick(core, now);
}

/* ---- all of them ---- */

void ws_requests_tick(struct ws_core *core)
{
	ws_status_cache_tick(core);
	ws_peer_probe_tick(core);
	ws_machine_types_tick(core);
	ws_redirects_tick(core);
}

void ws_requests_free(struct ws_core *core)
{
	ws_queries_free(core);
	ws_redirects_free(core);
}
