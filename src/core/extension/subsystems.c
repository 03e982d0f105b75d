/* Dispatch of hooks to the attached subsystems, and their requests. */
#include "../core_state.h"
#include "../record_sources.h"

enum ws_request_kind {
	WS_REQUEST_WRITE,
	WS_REQUEST_DELETE,
	WS_REQUEST_READ,
	WS_REQUEST_SURVEY,
	WS_REQUEST_MOVE,
	WS_REQUEST_LOOK_UP,
	WS_REQUEST_END_QUARANTINED,
};

struct ws_request {
	enum ws_request_kind kind;
	char name[WS_KEY_MAX]; /* of a record or a job, or a prefix of names */
	json_t *value;
	bool urgent;
	struct ws_move move; /* its job is `name` */
	double grace_s;
	struct ws_request *next;
};

struct ws_request_queue {
	struct ws_request *head, **tail;
};

/* ---- requests ---- */

static struct ws_request *ws_request_add(struct ws_request_queue *queue, enum ws_request_kind kind,
					 const char *name)
{
	struct ws_request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
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

void ws_request_end_quarantined(struct ws_request_queue *queue, const char *job, double grace_s)
{
	ws_request_add(queue, WS_REQUEST_END_QUARANTINED, job)->grace_s = grace_s;
}

/* ---- attaching ---- */

bool ws_core_attach(struct ws_core *core, const struct ws_subsystem_ops *ops, void *self)
{
	struct ws_subsystems *all = &core->subsystems;

	if (all->count == WS_SUBSYSTEMS_MAX)
		return false;
	all->list[all->count].ops = ops;
	all->list[all->count].self = self;
	all->count++;
	return true;
}

bool ws_subsystems_active(const struct ws_core *core)
{
	return core->subsystems.count > 0;
}

const char *ws_subsystems_prefix(const struct ws_core *core, size_t index)
{
	return index < core->subsystems.count ? core->subsystems.list[index].ops->prefix : NULL;
}

/* ---- leadership ---- */

/* Calls one hook of every subsystem that has it. */
#define WS_EACH_HOOK(c, hook, ...)                                                                 \
	for (size_t i_ = 0; i_ < (c)->subsystems.count; i_++)                                      \
		if ((c)->subsystems.list[i_].ops->hook)                                            \
	(c)->subsystems.list[i_].ops->hook((c)->subsystems.list[i_].self, ##__VA_ARGS__)

void ws_subsystems_elected(struct ws_core *core)
{
	const struct ws_election_facts facts = {
	    .now = core->now,
	    .term = core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT,
	    .unproven_s = core->leadership.proof.exists
			      ? core->now - core->leadership.proof.alive_at
			      : INFINITY,
	    .proven_term = core->leadership.proof.term,
	    .leases_out = ws_lease_expiry(core, core->leadership.elected_at),
	};

	WS_EACH_HOOK(core, elected, &facts);
}

/* The filters of orders, asked once a tick. */
static void ws_subsystems_ask_deferred(struct ws_core *core)
{
	struct ws_subsystems *all = &core->subsystems;

	memset(all->deferred, 0, sizeof(all->deferred));
	for (size_t i = 0; i < all->count; i++) {
		const struct ws_subsystem *subsystem = &all->list[i];

		if (!subsystem->ops->action_deferred)
			continue;
		for (int kind = 0; kind < WS_DEFERRABLE_ACTIONS; kind++)
			for (int z = -1; z < core->catalog.zone_count; z++)
				if (subsystem->ops->action_deferred(
					subsystem->self, core->now, (enum ws_deferrable_action)kind,
					z < 0 ? "" : core->catalog.zones[z]))
					all->deferred[kind] |= 1ULL << (z + 1);
	}
}

bool ws_subsystems_defer(const struct ws_core *core, enum ws_deferrable_action kind, int zone)
{
	return core->subsystems.deferred[kind] >> (zone + 1) & 1;
}

void ws_subsystems_loaded(struct ws_core *core)
{
	struct ws_machine *machine, *next;

	if (!ws_subsystems_active(core))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->incarnation)
			ws_subsystems_machine(core, machine);
	WS_EACH_HOOK(core, records_loaded, core->now);
	ws_subsystems_ask_deferred(core);
}

void ws_subsystems_step_down(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;

	if (!ws_subsystems_active(core))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		ws_subsystems_machine_removed(core, machine);
	WS_EACH_HOOK(core, stepped_down);
	ws_subsystem_records_clear(core);
	core->subsystems.tick_next = 0;
	core->subsystems.zones_avoided = core->subsystems.zones_closed = 0;
	memset(core->subsystems.deferred, 0, sizeof(core->subsystems.deferred));
	core->subsystems.moves = false;
}

void ws_subsystems_free(struct ws_core *core)
{
	WS_EACH_HOOK(core, destroy);
	core->subsystems.count = 0;
}

/* ---- machines ---- */

void ws_subsystems_machine(struct ws_core *core, struct ws_machine *machine)
{
	const struct ws_machine_facts facts = {
	    .name = machine->name,
	    .address = machine->address,
	    .zone = machine->zone,
	    .expected = !machine->reported,
	    .unknown = machine->unrecorded,
	};

	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (machine->subsystem_handles[i] && subsystem->ops->machine_changed)
			subsystem->ops->machine_changed(subsystem->self,
							machine->subsystem_handles[i], &facts);
		else if (!machine->subsystem_handles[i] && subsystem->ops->machine_added)
			machine->subsystem_handles[i] =
			    subsystem->ops->machine_added(subsystem->self, core->now, &facts);
	}
}

/* Calls one hook about a machine, of every subsystem that keeps a handle of it. */
#define WS_EACH_MACHINE_HOOK(c, m, hook, ...)                                                      \
	for (size_t i_ = 0; i_ < (c)->subsystems.count; i_++)                                      \
		if ((m)->subsystem_handles[i_] && (c)->subsystems.list[i_].ops->hook)              \
	(c)->subsystems.list[i_].ops->hook((c)->subsystems.list[i_].self, __VA_ARGS__)

void ws_subsystems_machine_removed(struct ws_core *core, struct ws_machine *machine)
{
	WS_EACH_MACHINE_HOOK(core, machine, machine_removed, machine->subsystem_handles[i_]);
	memset(machine->subsystem_handles, 0, sizeof(machine->subsystem_handles));
}

void ws_subsystems_heartbeat(struct ws_core *core, struct ws_machine *machine)
{
	WS_EACH_MACHINE_HOOK(core, machine, heartbeat_seen, core->now,
			     machine->subsystem_handles[i_]);
}

void ws_subsystems_answered(struct ws_core *core, struct ws_machine *machine, bool answered)
{
	WS_EACH_MACHINE_HOOK(core, machine, command_answered, machine->subsystem_handles[i_],
			     answered);
}

void ws_subsystems_lost(struct ws_core *core, struct ws_machine *machine, enum ws_machine_loss loss)
{
	WS_EACH_MACHINE_HOOK(core, machine, machine_lost, core->now, machine->subsystem_handles[i_],
			     loss);
}

/* ---- reconciliation ---- */

bool ws_subsystems_reconciled(struct ws_core *core, const struct ws_attempt *attempt,
			      enum ws_reconciliation_result kind)
{
	const struct ws_reconciliation finding = {
	    .result = kind,
	    .machine = attempt->machine->name,
	    .job = attempt->job_id,
	    .task = attempt->task,
	    .attempt = attempt->number,
	    .incarnation = attempt->incarnation,
	};
	bool keep = false;

	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (subsystem->ops->attempt_found)
			keep |= subsystem->ops->attempt_found(subsystem->self, core->now, &finding);
	}
	return keep;
}

void ws_subsystems_adopted(struct ws_core *core, const char *job, uint32_t count)
{
	WS_EACH_HOOK(core, attempts_adopted, core->now, job, count);
}

/* ---- placement ---- */

bool ws_subsystems_avoided(struct ws_core *core, const struct ws_machine *machine)
{
	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (machine->subsystem_handles[i] && subsystem->ops->machine_avoided &&
		    subsystem->ops->machine_avoided(subsystem->self, core->now,
						    machine->subsystem_handles[i]))
			return true;
	}
	return false;
}

void ws_subsystems_begin_pass(struct ws_core *core)
{
	struct ws_subsystems *all = &core->subsystems;

	all->zones_avoided = all->zones_closed = 0;
	for (int z = 0; z < core->catalog.zone_count; z++) {
		const char *zone = core->catalog.zones[z];

		for (size_t i = 0; i < all->count; i++) {
			const struct ws_subsystem_ops *ops = all->list[i].ops;
			void *self = all->list[i].self;

			if (ops->zone_avoided && ops->zone_avoided(self, core->now, zone))
				all->zones_avoided |= 1u << z;
			if (ops->zone_closed && ops->zone_closed(self, core->now, zone))
				all->zones_closed |= 1u << z;
		}
	}
}

/* ---- carrying out requests ---- */

static void ws_survey_job(const struct ws_subsystem *subsystem, size_t index,
			  const struct ws_job *job)
{
	const struct ws_job_spec *spec = &job->spec;
	struct ws_job_facts facts = {
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
		facts.latest_start = job->submitted_at_wall + spec->deadline_s - spec->estimate_s;
	DL_FOREACH2 (job->attempts, attempt, job_next) {
		void *machine = attempt->machine->subsystem_handles[index];

		if (attempt->state == WS_ATTEMPT_GONE || attempt->unrecorded)
			continue;
		if (machine && subsystem->ops->attempt_surveyed(subsystem->self, machine))
			facts.affected++;
		else
			facts.elsewhere++;
	}
	subsystem->ops->job_surveyed(subsystem->self, &facts);
}

static void ws_survey(struct ws_core *core, size_t index)
{
	const struct ws_subsystem *subsystem = &core->subsystems.list[index];
	struct ws_job *job, *next;

	HASH_ITER (hh, core->jobs.by_id, job, next)
		if (!ws_job_is_over(job))
			ws_survey_job(subsystem, index, job);
	subsystem->ops->survey_done(subsystem->self, core->now);
}

static void ws_subsystem_read(struct ws_core *core, const char *prefix, const char *after);

/* One page of the records that a subsystem asked for. */
static void ws_subsystem_page(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	const struct ws_subsystem *subsystem = ws_subsystem_of(core, call->read.key);

	if (call->generation != core->generation || core->leadership.role != WS_LEADER ||
	    !subsystem || result->outcome != WS_OUTCOME_OK)
		return;
	for (size_t i = 0; i < result->records.entry_count; i++)
		ws_subsystem_record_load(core, &result->records.entries[i]);
	if (result->records.has_more && result->records.entry_count)
		ws_subsystem_read(core, call->read.key,
				  result->records.entries[result->records.entry_count - 1].key);
	else if (subsystem->ops->records_read)
		subsystem->ops->records_read(subsystem->self,
					     call->read.key + strlen(subsystem->ops->prefix));
}

static void ws_subsystem_read(struct ws_core *core, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_subsystem_page);

	snprintf(call->read.key, sizeof(call->read.key), "%s", prefix);
	snprintf(call->read.after, sizeof(call->read.after), "%s", after);
}

/* What the subsystems together ask for of a job. */
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
	core->subsystems.moves = true;
	core->scheduler.pass_wanted = true;
}

/* A job that a subsystem asks about: the context of the reads that this takes. */
struct ws_job_look_up {
	size_t subsystem; /* index */
	char job[WS_ID_MAX + 1];
};

static void ws_subsystem_looked_up(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result);

/* Asks for the record of a job under one of the two prefixes, for the i-th subsystem. */
static void ws_subsystem_look_up(struct ws_core *core, size_t index, const char *prefix,
				 const char *job)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, ws_subsystem_looked_up);
	struct ws_job_look_up *look_up = ws_alloc(1, sizeof(*look_up));

	snprintf(call->read.key, sizeof(call->read.key), "%s%.*s", prefix, WS_ID_MAX, job);
	snprintf(look_up->job, sizeof(look_up->job), "%.*s", WS_ID_MAX, job);
	look_up->subsystem = index;
	call->context = look_up;
}

static void ws_subsystem_looked_up(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	bool live = ws_key_has_prefix(call->read.key, WS_KEY_PREFIX_JOB);
	enum ws_job_standing standing = WS_STANDING_UNREADABLE;
	const struct ws_job_look_up *look_up = call->context;
	const struct ws_subsystem *subsystem = &core->subsystems.list[look_up->subsystem];

	if (call->generation != core->generation || core->leadership.role != WS_LEADER)
		return;
	if (result->outcome == WS_OUTCOME_NOT_FOUND && live) {
		/* a job moves to old/ in one transaction, never back */
		ws_subsystem_look_up(core, look_up->subsystem, WS_KEY_PREFIX_ARCHIVED_JOB,
				     look_up->job);
		return;
	}
	if (result->outcome == WS_OUTCOME_NOT_FOUND)
		standing = WS_STANDING_NEVER_HEARD;
	else if (result->outcome == WS_OUTCOME_OK)
		standing = live ? WS_STANDING_LIVE : WS_STANDING_OVER;
	if (subsystem->ops->job_looked_up)
		subsystem->ops->job_looked_up(subsystem->self, core->now, look_up->job, standing);
}

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
		ws_log(core, WS_LOG_ERROR, "the key %s is too long: left out", key);
		json_decref(request->value);
		return;
	}
	switch (request->kind) {
	case WS_REQUEST_WRITE:
		ws_subsystem_record_set(core, key, request->value, request->urgent);
		break;
	case WS_REQUEST_DELETE: ws_subsystem_record_set(core, key, NULL, false); break;
	case WS_REQUEST_READ: ws_subsystem_read(core, key, ""); break;
	case WS_REQUEST_SURVEY: ws_survey(core, index); break;
	case WS_REQUEST_MOVE: ws_subsystem_move(core, index, request); break;
	case WS_REQUEST_LOOK_UP:
		ws_subsystem_look_up(core, index, WS_KEY_PREFIX_JOB, request->name);
		break;
	case WS_REQUEST_END_QUARANTINED:
		ws_quarantine_end_job(core, request->name, request->grace_s);
		break;
	}
}

void ws_subsystems_tick(struct ws_core *core)
{
	const struct ws_tick_facts facts = {
	    .now = core->now,
	    .serving = ws_is_entitled(core) && !core->leadership.in_outage,
	};

	if (!ws_subsystems_active(core) || core->now < core->subsystems.tick_next)
		return;
	core->subsystems.tick_next = core->now + ws_sweep_interval(core);
	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];
		struct ws_request_queue queue = {.tail = &queue.head};

		if (!subsystem->ops->tick)
			continue;
		subsystem->ops->tick(subsystem->self, &facts, &queue);
		while (queue.head) {
			struct ws_request *request = queue.head;

			queue.head = request->next;
			ws_request_carry_out(core, i, request);
			free(request);
		}
	}
	ws_subsystems_ask_deferred(core);
}
