/* Dispatch of hooks to the attached subsystems, and their requests. */
#include "internal.h"
#include "record_sources.h"

enum ws_request_kind {
	WS_REQUEST_WRITE,
	WS_REQUEST_DELETE,
	WS_REQUEST_READ,
	WS_REQUEST_SURVEY,
	WS_REQUEST_MOVE,
	WS_REQUEST_LOOK_UP,
	WS_REQUEST_END_KEPT,
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

void ws_request_end_kept(struct ws_request_queue *queue, const char *job, double grace_s)
{
	ws_request_add(queue, WS_REQUEST_END_KEPT, job)->grace_s = grace_s;
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

bool ws_subsystems_active(const struct ws_core *c)
{
	return c->subsystems.count > 0;
}

const char *ws_subsystems_prefix(const struct ws_core *c, size_t i)
{
	return i < c->subsystems.count ? c->subsystems.list[i].ops->prefix : NULL;
}

/* ---- leadership ---- */

/* Calls one hook of every subsystem that has it. */
#define WS_EACH_HOOK(c, hook, ...)                                                                 \
	for (size_t i_ = 0; i_ < (c)->subsystems.count; i_++)                                      \
		if ((c)->subsystems.list[i_].ops->hook)                                            \
	(c)->subsystems.list[i_].ops->hook((c)->subsystems.list[i_].self, ##__VA_ARGS__)

void ws_subsystems_elected(struct ws_core *c)
{
	const struct ws_election_facts facts = {
	    .now = c->now,
	    .term = c->epoch >> WS_EPOCH_SHIFT,
	    .unproven_s = c->proof.any ? c->now - c->proof.at : INFINITY,
	    .proven_term = c->proof.term,
	    .leases_out = ws_lease_out(c, c->elected_at),
	};

	WS_EACH_HOOK(c, elected, &facts);
}

/* The filters of orders, asked once a tick. */
static void ws_subsystems_ask_held(struct ws_core *c)
{
	struct ws_subsystems *all = &c->subsystems;

	memset(all->held, 0, sizeof(all->held));
	for (size_t i = 0; i < all->count; i++) {
		const struct ws_subsystem *subsystem = &all->list[i];

		if (!subsystem->ops->order_held)
			continue;
		for (int kind = 0; kind < WS_ORDER_KINDS; kind++)
			for (int z = -1; z < c->nzones; z++)
				if (subsystem->ops->order_held(subsystem->self, c->now,
							       (enum ws_order_kind)kind,
							       z < 0 ? "" : c->zones[z]))
					all->held[kind] |= 1ULL << (z + 1);
	}
}

bool ws_subsystems_hold(const struct ws_core *c, enum ws_order_kind kind, int zone)
{
	return c->subsystems.held[kind] >> (zone + 1) & 1;
}

void ws_subsystems_loaded(struct ws_core *c)
{
	struct ws_machine *m, *next;

	if (!ws_subsystems_active(c))
		return;
	HASH_ITER (hh, c->machines, m, next)
		if (m->tenure)
			ws_subsystems_machine(c, m);
	WS_EACH_HOOK(c, records_loaded, c->now);
	ws_subsystems_ask_held(c);
}

void ws_subsystems_step_down(struct ws_core *c)
{
	struct ws_machine *m, *next_machine;

	if (!ws_subsystems_active(c))
		return;
	HASH_ITER (hh, c->machines, m, next_machine)
		ws_subsystems_machine_removed(c, m);
	WS_EACH_HOOK(c, stepped_down);
	ws_subsystem_records_clear(c);
	c->subsystems.tick_next = 0;
	c->subsystems.zones_avoided = c->subsystems.zones_closed = 0;
	memset(c->subsystems.held, 0, sizeof(c->subsystems.held));
	c->subsystems.moves = false;
}

void ws_subsystems_free(struct ws_core *c)
{
	WS_EACH_HOOK(c, destroy);
	c->subsystems.count = 0;
}

/* ---- machines ---- */

void ws_subsystems_machine(struct ws_core *c, struct ws_machine *m)
{
	const struct ws_machine_facts facts = {
	    .name = m->name,
	    .address = m->host,
	    .zone = m->zone,
	    .expected = !m->reported,
	    .unknown = m->unknown,
	};

	for (size_t i = 0; i < c->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &c->subsystems.list[i];

		if (m->handles[i] && subsystem->ops->machine_changed)
			subsystem->ops->machine_changed(subsystem->self, m->handles[i], &facts);
		else if (!m->handles[i] && subsystem->ops->machine_added)
			m->handles[i] =
			    subsystem->ops->machine_added(subsystem->self, c->now, &facts);
	}
}

/* Calls one hook about a machine, of every subsystem that keeps a handle of it. */
#define WS_EACH_MACHINE_HOOK(c, m, hook, ...)                                                      \
	for (size_t i_ = 0; i_ < (c)->subsystems.count; i_++)                                      \
		if ((m)->handles[i_] && (c)->subsystems.list[i_].ops->hook)                        \
	(c)->subsystems.list[i_].ops->hook((c)->subsystems.list[i_].self, __VA_ARGS__)

void ws_subsystems_machine_removed(struct ws_core *c, struct ws_machine *m)
{
	WS_EACH_MACHINE_HOOK(c, m, machine_removed, m->handles[i_]);
	memset(m->handles, 0, sizeof(m->handles));
}

void ws_subsystems_heartbeat(struct ws_core *c, struct ws_machine *m)
{
	WS_EACH_MACHINE_HOOK(c, m, heartbeat_seen, c->now, m->handles[i_]);
}

void ws_subsystems_answered(struct ws_core *c, struct ws_machine *m, bool answered)
{
	WS_EACH_MACHINE_HOOK(c, m, command_answered, m->handles[i_], answered);
}

void ws_subsystems_lost(struct ws_core *c, struct ws_machine *m, enum ws_machine_loss loss)
{
	WS_EACH_MACHINE_HOOK(c, m, machine_lost, c->now, m->handles[i_], loss);
}

/* ---- reconciliation ---- */

bool ws_subsystems_found(struct ws_core *c, const struct ws_attempt *s, enum ws_finding_kind kind)
{
	const struct ws_finding finding = {
	    .kind = kind,
	    .machine = s->machine->name,
	    .job = s->job_id,
	    .task = s->task,
	    .attempt = s->attempt,
	    .tenure = s->tenure,
	};
	bool keep = false;

	for (size_t i = 0; i < c->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &c->subsystems.list[i];

		if (subsystem->ops->attempt_found)
			keep |= subsystem->ops->attempt_found(subsystem->self, c->now, &finding);
	}
	return keep;
}

void ws_subsystems_adopted(struct ws_core *c, const char *job, uint32_t count)
{
	WS_EACH_HOOK(c, attempts_adopted, c->now, job, count);
}

/* ---- placement ---- */

bool ws_subsystems_avoided(struct ws_core *c, const struct ws_machine *m)
{
	for (size_t i = 0; i < c->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &c->subsystems.list[i];

		if (m->handles[i] && subsystem->ops->machine_avoided &&
		    subsystem->ops->machine_avoided(subsystem->self, c->now, m->handles[i]))
			return true;
	}
	return false;
}

void ws_subsystems_pass(struct ws_core *c)
{
	struct ws_subsystems *all = &c->subsystems;

	all->zones_avoided = all->zones_closed = 0;
	for (int z = 0; z < c->nzones; z++) {
		const char *zone = c->zones[z];

		for (size_t i = 0; i < all->count; i++) {
			const struct ws_subsystem_ops *ops = all->list[i].ops;
			void *self = all->list[i].self;

			if (ops->zone_avoided && ops->zone_avoided(self, c->now, zone))
				all->zones_avoided |= 1u << z;
			if (ops->zone_closed && ops->zone_closed(self, c->now, zone))
				all->zones_closed |= 1u << z;
		}
	}
}

/* ---- carrying out requests ---- */

static void ws_survey_job(const struct ws_subsystem *subsystem, size_t i, const struct ws_job *j)
{
	const struct ws_spec *spec = &j->spec;
	struct ws_job_facts facts = {
	    .id = spec->id,
	    .job_class = spec->job_class,
	    .pinned_zone = spec->zone,
	    .priority = (int)spec->tier,
	    .guaranteed = j->guaranteed,
	    .service = spec->service,
	    .waiting = j->waiting,
	    .latest_start = INFINITY,
	};
	const struct ws_attempt *s;

	if (spec->deadline_s >= 0)
		facts.latest_start = j->submitted_wall + spec->deadline_s - spec->estimate_s;
	DL_FOREACH2 (j->attempts, s, jnext) {
		void *machine = s->machine->handles[i];

		if (s->state == WS_ATTEMPT_GONE || s->orphan)
			continue;
		if (machine && subsystem->ops->attempt_surveyed(subsystem->self, machine))
			facts.affected++;
		else
			facts.elsewhere++;
	}
	subsystem->ops->job_surveyed(subsystem->self, &facts);
}

static void ws_survey(struct ws_core *c, size_t i)
{
	const struct ws_subsystem *subsystem = &c->subsystems.list[i];
	struct ws_job *j, *next;

	HASH_ITER (hh, c->jobs, j, next)
		if (!ws_job_over(j))
			ws_survey_job(subsystem, i, j);
	subsystem->ops->survey_done(subsystem->self, c->now);
}

static void ws_subsystem_read(struct ws_core *c, const char *prefix, const char *after);

/* One page of the records that a subsystem asked for. */
static void ws_subsystem_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	const struct ws_subsystem *subsystem = ws_subsystem_of(c, call->key);

	if (call->generation != c->generation || c->role != WS_LEADER || !subsystem ||
	    r->status != 200)
		return;
	for (size_t i = 0; i < r->nkvs; i++)
		ws_subsystem_record_load(c, &r->kvs[i]);
	if (r->more && r->nkvs)
		ws_subsystem_read(c, call->key, r->kvs[r->nkvs - 1].key);
	else if (subsystem->ops->records_read)
		subsystem->ops->records_read(subsystem->self,
					     call->key + strlen(subsystem->ops->prefix));
}

static void ws_subsystem_read(struct ws_core *c, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_LIST, ws_subsystem_page);

	snprintf(call->key, sizeof(call->key), "%s", prefix);
	snprintf(call->after, sizeof(call->after), "%s", after);
}

/* What the subsystems together ask for of a job. */
static void ws_job_moves_merge(struct ws_job *j)
{
	j->move_position = j->room_ahead = 0;
	j->replicas_apart = false;
	for (size_t i = 0; i < WS_SUBSYSTEMS_MAX; i++) {
		const struct ws_job_move *move = &j->moves[i];

		if (move->position && (!j->move_position || move->position < j->move_position))
			j->move_position = move->position;
		if (move->room_ahead > j->room_ahead)
			j->room_ahead = move->room_ahead;
		j->replicas_apart |= move->replicas_apart;
	}
}

static void ws_subsystem_move(struct ws_core *c, size_t i, const struct ws_request *request)
{
	struct ws_job *j = ws_job_find(c, request->name);

	if (!j)
		return;
	j->moves[i] = (struct ws_job_move){
	    .position = request->move.position,
	    .room_ahead = request->move.room_ahead,
	    .replicas_apart = request->move.replicas_apart,
	};
	ws_job_moves_merge(j);
	j->lost_attempts = false;
	c->subsystems.moves = true;
	c->place_wanted = true;
}

static void ws_subsystem_looked_up(struct ws_core *c, struct ws_call *call,
				   const struct ws_result *r);

/* Asks for the record of a job under one of the two prefixes, for the i-th subsystem. */
static void ws_subsystem_look_up(struct ws_core *c, size_t i, const char *prefix, const char *job)
{
	struct ws_call *call = ws_call(c, WS_CALL_GET, ws_subsystem_looked_up);

	snprintf(call->key, sizeof(call->key), "%s%.*s", prefix, WS_ID_MAX, job);
	snprintf(call->ctx_name, sizeof(call->ctx_name), "%.*s", WS_ID_MAX, job);
	call->ctx_n = i;
}

static void ws_subsystem_looked_up(struct ws_core *c, struct ws_call *call,
				   const struct ws_result *r)
{
	bool live = ws_key_has_prefix(call->key, WS_JOB_PREFIX);
	enum ws_job_standing standing = WS_JOB_UNREADABLE;
	const struct ws_subsystem *subsystem = &c->subsystems.list[call->ctx_n];

	if (call->generation != c->generation || c->role != WS_LEADER)
		return;
	if (r->status == 404 && live) { /* a job moves to old/ in one transaction, never back */
		ws_subsystem_look_up(c, call->ctx_n, WS_FINISHED_JOB_PREFIX, call->ctx_name);
		return;
	}
	if (r->status == 404)
		standing = WS_JOB_NEVER_HEARD;
	else if (r->status == 200)
		standing = live ? WS_JOB_LIVE : WS_JOB_OVER;
	if (subsystem->ops->job_looked_up)
		subsystem->ops->job_looked_up(subsystem->self, c->now, call->ctx_name, standing);
}

static bool ws_request_names_record(const struct ws_request *request)
{
	return request->kind == WS_REQUEST_WRITE || request->kind == WS_REQUEST_DELETE ||
	       request->kind == WS_REQUEST_READ;
}

static void ws_request_carry_out(struct ws_core *c, size_t i, struct ws_request *request)
{
	char key[2 * WS_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", c->subsystems.list[i].ops->prefix, request->name);
	if (ws_request_names_record(request) && strlen(key) >= WS_KEY_MAX) {
		ws_log(c, WS_LOG_ERROR, "the key %s is too long: left out", key);
		json_decref(request->value);
		return;
	}
	switch (request->kind) {
	case WS_REQUEST_WRITE:
		ws_subsystem_record_set(c, key, request->value, request->urgent);
		break;
	case WS_REQUEST_DELETE: ws_subsystem_record_set(c, key, NULL, false); break;
	case WS_REQUEST_READ: ws_subsystem_read(c, key, ""); break;
	case WS_REQUEST_SURVEY: ws_survey(c, i); break;
	case WS_REQUEST_MOVE: ws_subsystem_move(c, i, request); break;
	case WS_REQUEST_LOOK_UP: ws_subsystem_look_up(c, i, WS_JOB_PREFIX, request->name); break;
	case WS_REQUEST_END_KEPT: ws_kept_end(c, request->name, request->grace_s); break;
	}
}

void ws_subsystems_tick(struct ws_core *c)
{
	const struct ws_tick_facts facts = {
	    .now = c->now,
	    .serving = ws_entitled(c) && !c->in_outage,
	};

	if (!ws_subsystems_active(c) || c->now < c->subsystems.tick_next)
		return;
	c->subsystems.tick_next = c->now + ws_sweep_every(c);
	for (size_t i = 0; i < c->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &c->subsystems.list[i];
		struct ws_request_queue queue = {.tail = &queue.head};

		if (!subsystem->ops->tick)
			continue;
		subsystem->ops->tick(subsystem->self, &facts, &queue);
		while (queue.head) {
			struct ws_request *request = queue.head;

			queue.head = request->next;
			ws_request_carry_out(c, i, request);
			free(request);
		}
	}
	ws_subsystems_ask_held(c);
}
