/* The tick hooks of the subsystems, their requests, and how the core carries these out. */
#include "../core_state.h"
#include "../record_sources.h"

enum ws_subsystem_request_kind {
	WS_REQUEST_WRITE,
	WS_REQUEST_DELETE,
	WS_REQUEST_READ,
	WS_REQUEST_SURVEY,
	WS_REQUEST_MOVE,
	WS_REQUEST_LOOK_UP,
	WS_REQUEST_STOP_QUARANTINED,
};

struct ws_request {
	enum ws_subsystem_request_kind kind;
	char name[WS_KEY_MAX]; /* name of a record or a job, or a prefix of record names */
	json_t *value;
	bool urgent;
	struct ws_move move; /* its job is in `name` */
	double grace_s;
	struct ws_request *next;
};

struct ws_request_queue {
	struct ws_request *head, **tail;
};

/* ---- making requests ---- */

static struct ws_request *ws_request_add(struct ws_request_queue *queue,
					 enum ws_subsystem_request_kind kind, const char *name)
{
	struct ws_request *request = ws_alloc(1, sizeof(*request));

	request->kind = kind;
	snprintf(request->name, sizeof(request->name), "%s", name);
	*queue->tail = request;
	queue->tail = &request->next;
	return request;
}

void ws_request_write(struct ws_request_queue *queue, const char *name, json_t *value, bool urgent)
{
	struct ws_request *request = ws_request_add(queue, WS_REQUEST_WRITE, name);

	request->value = value;
	request->urgent = urgent;
}

void ws_request_delete(struct ws_request_queue *queue, const char *name)
{
	ws_request_add(queue, WS_REQUEST_DELETE, name);
}

void ws_request_read(struct ws_request_queue *queue, const char *name_prefix)
{
	ws_request_add(queue, WS_REQUEST_READ, name_prefix);
}

void ws_request_survey(struct ws_request_queue *queue)
{
	ws_request_add(queue, WS_REQUEST_SURVEY, "");
}

void ws_request_move(struct ws_request_queue *queue, const struct ws_move *move)
{
	ws_request_add(queue, WS_REQUEST_MOVE, move->job)->move = *move;
}

void ws_request_look_up(struct ws_request_queue *queue, const char *job)
{
	ws_request_add(queue, WS_REQUEST_LOOK_UP, job);
}

void ws_request_stop_quarantined(struct ws_request_queue *queue, const char *job, double grace_s)
{
	ws_request_add(queue, WS_REQUEST_STOP_QUARANTINED, job)->grace_s = grace_s;
}

/* ---- carrying out requests ---- */

/* Reports a job to a subsystem: its properties, and how many of its attempts are affected. */
static void ws_survey_job(const struct ws_subsystem *subsystem, size_t index,
			  const struct ws_job *job)
{
	const struct ws_job_spec *spec = &job->spec;
	struct ws_job_info info = {
	    .id = spec->id,
	    .job_class = spec->job_class,
	    .pinned_zone = spec->zone,
	    .priority = (int)spec->priority,
	    .guaranteed = job->guaranteed,
	    .service = spec->service,
	    .waiting = job->waiting,
	    .latest_start = INFINITY,
	};
	const struct ws_attempt *attempt;

	if (spec->deadline_s >= 0)
		info.latest_start = job->submitted_at_wall + spec->deadline_s - spec->estimate_s;
	DL_FOREACH2 (job->attempts, attempt, job_next) {
		void *machine = attempt->machine->subsystem_handles[index];

		if (attempt->state == WS_ATTEMPT_RELEASED || attempt->unrecorded)
			continue;
		if (machine && subsystem->ops->attempt_surveyed(subsystem->self, machine))
			info.affected++;
		else
			info.elsewhere++;
	}
	subsystem->ops->job_surveyed(subsystem->self, &info);
}

/* Reports all live jobs to a subsystem. */
static void ws_survey(struct ws_core *core, size_t index)
{
	const struct ws_subsystem *subsystem = &core->subsystems.list[index];
	struct ws_job *job, *next;

	HASH_ITER (hh, core->jobs.by_id, job, next)
		if (!ws_job_is_finished(job))
			ws_survey_job(subsystem, index, job);
	subsystem->ops->survey_done(subsystem->self, core->now);
}

static void ws_subsystem_list_records(struct ws_core *core, const char *prefix, const char *after);

/* Handles one page of the records that a subsystem requested. */
static void ws_subsystem_page_read(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	const struct ws_subsystem *subsystem = ws_subsystem_of(core, call->read.key);

	if (call->generation != core->generation || core->leadership.role != WS_LEADER ||
	    !subsystem || result->outcome != WS_OUTCOME_OK)
		return;
	for (size_t i = 0; i < result->records.entry_count; i++)
		ws_subsystem_record_load(core, &result->records.entries[i]);
	if (result->records.has_more && result->records.entry_count)
		ws_subsystem_list_records(
		    core, call->read.key,
		    result->records.entries[result->records.entry_count - 1].key);
	else if (subsystem->ops->records_read)
		subsystem->ops->records_read(subsystem->self,
					     call->read.key + strlen(subsystem->ops->prefix));
}

static void ws_subsystem_list_records(struct ws_core *core, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_subsystem_page_read);

	snprintf(call->read.key, sizeof(call->read.key), "%s", prefix);
	snprintf(call->read.after, sizeof(call->read.after), "%s", after);
}

/* Combines the moves of a job that all subsystems requested: the smallest position, the largest
 * reservation, and separate replicas if any subsystem requested that. */
static void ws_job_moves_merge(struct ws_job *job)
{
	job->move_position = job->reserve_ahead = 0;
	job->replicas_apart = false;
	for (size_t i = 0; i < WS_SUBSYSTEMS_MAX; i++) {
		const struct ws_job_move *move = &job->moves[i];

		if (move->position && (!job->move_position || move->position < job->move_position))
			job->move_position = move->position;
		if (move->reserve_ahead > job->reserve_ahead)
			job->reserve_ahead = move->reserve_ahead;
		job->replicas_apart |= move->replicas_apart;
	}
}

static void ws_subsystem_move(struct ws_core *core, size_t index, const struct ws_request *request)
{
	struct ws_job *job = ws_job_find(core, request->name);

	if (!job)
		return;
	job->moves[index] = (struct ws_job_move){
	    .position = request->move.position,
	    .reserve_ahead = request->move.reserve_ahead,
	    .replicas_apart = request->move.replicas_apart,
	};
	ws_job_moves_merge(job);
	job->lost_recorded_attempts = false;
	core->subsystems.any_move_requested = true;
	ws_core_request_pass(core);
}

/* The context of the store calls of a job lookup. */
struct ws_job_lookup {
	size_t subsystem; /* index of the subsystem that requested it */
	char job[WS_ID_MAX + 1];
};

static void ws_subsystem_looked_up(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result);

/* Reads the record of a job under the prefix of live or archived jobs, for the subsystem with this
 * index. */
static void ws_subsystem_look_up(struct ws_core *core, size_t index, const char *prefix,
				 const char *job)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, ws_subsystem_looked_up);
	struct ws_job_lookup *lookup = ws_alloc(1, sizeof(*lookup));

	snprintf(call->read.key, sizeof(call->read.key), "%s%.*s", prefix, WS_ID_MAX, job);
	snprintf(lookup->job, sizeof(lookup->job), "%.*s", WS_ID_MAX, job);
	lookup->subsystem = index;
	call->context = lookup;
}

/* Handles the store's reply to a lookup. If no live record exists, reads the archived one. */
static void ws_subsystem_looked_up(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	bool live = ws_key_has_prefix(call->read.key, WS_KEY_PREFIX_JOB);
	enum ws_job_lookup_result lookup_result = WS_JOB_LOOKUP_UNAVAILABLE;
	const struct ws_job_lookup *lookup = call->context;
	const struct ws_subsystem *subsystem = &core->subsystems.list[lookup->subsystem];

	if (call->generation != core->generation || core->leadership.role != WS_LEADER)
		return;
	if (result->outcome == WS_OUTCOME_NOT_FOUND && live) {
		/* a finished job moves to old/ in one transaction and never back */
		ws_subsystem_look_up(core, lookup->subsystem, WS_KEY_PREFIX_ARCHIVED_JOB,
				     lookup->job);
		return;
	}
	if (result->outcome == WS_OUTCOME_NOT_FOUND)
		lookup_result = WS_JOB_LOOKUP_NOT_FOUND;
	else if (result->outcome == WS_OUTCOME_OK)
		lookup_result = live ? WS_JOB_LOOKUP_LIVE : WS_JOB_LOOKUP_ARCHIVED;
	if (subsystem->ops->job_looked_up)
		subsystem->ops->job_looked_up(subsystem->self, core->now, lookup->job,
					      lookup_result);
}

/* Returns whether the name in a request is a record's name or a prefix of such names. */
static bool ws_request_names_record(const struct ws_request *request)
{
	return request->kind == WS_REQUEST_WRITE || request->kind == WS_REQUEST_DELETE ||
	       request->kind == WS_REQUEST_READ;
}

static void ws_request_carry_out(struct ws_core *core, size_t index, struct ws_request *request)
{
	char key[2 * WS_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", core->subsystems.list[index].ops->prefix, request->name);
	if (ws_request_names_record(request) && strlen(key) >= WS_KEY_MAX) {
		ws_log(core, WS_LOG_ERROR, "subsystem request ignored, key too long key=%s", key);
		json_decref(request->value);
		return;
	}
	switch (request->kind) {
	case WS_REQUEST_WRITE:
		ws_subsystem_record_set(core, key, request->value, request->urgent);
		break;
	case WS_REQUEST_DELETE: ws_subsystem_record_set(core, key, NULL, false); break;
	case WS_REQUEST_READ: ws_subsystem_list_records(core, key, ""); break;
	case WS_REQUEST_SURVEY: ws_survey(core, index); break;
	case WS_REQUEST_MOVE: ws_subsystem_move(core, index, request); break;
	case WS_REQUEST_LOOK_UP:
		ws_subsystem_look_up(core, index, WS_KEY_PREFIX_JOB, request->name);
		break;
	case WS_REQUEST_STOP_QUARANTINED:
		ws_core_stop_quarantined(core, request->name, request->grace_s);
		break;
	}
}

/* ---- ticks ---- */

/* Calls a subsystem's tick hook and carries out its requests in order. */
static void ws_subsystem_tick(struct ws_core *core, size_t index, const struct ws_tick_info *info)
{
	const struct ws_subsystem *subsystem = &core->subsystems.list[index];
	struct ws_request_queue queue = {.tail = &queue.head};

	if (!subsystem->ops->tick)
		return;
	subsystem->ops->tick(subsystem->self, info, &queue);
	while (queue.head) {
		struct ws_request *request = queue.head;

		queue.head = request->next;
		ws_request_carry_out(core, index, request);
		free(request);
	}
}

void ws_subsystems_tick(struct ws_core *core)
{
	const struct ws_tick_info info = {
	    .now = core->now,
	    .serving = ws_is_entitled(core) && !core->leadership.in_outage,
	};

	if (!ws_subsystems_active(core) || core->now < core->subsystems.next_tick_at)
		return;
	core->subsystems.next_tick_at = core->now + ws_sweep_interval(core);
	for (size_t i = 0; i < core->subsystems.count; i++)
		ws_subsystem_tick(core, i, &info);
	ws_subsystems_update_deferrals(core);
}
