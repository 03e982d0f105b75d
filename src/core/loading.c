/* What a new leader reads back, and how its replica of the jobs is kept current. */
#include "internal.h"

static void ws_load_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_load_from(struct ws_core *c, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_LIST, ws_load_page);

	snprintf(call->key, sizeof(call->key), "%s", prefix);
	snprintf(call->after, sizeof(call->after), "%s", after);
	call->urgent = true;
}

/* The core's own records are read in this order, those of subsystems beside them. */
static const char *const ws_load_order[] = {"owned", "rental/", "fleet/", "job/", "more/"};
#define WS_LOAD_OWN (sizeof(ws_load_order) / sizeof(ws_load_order[0]))

void ws_load(struct ws_core *c)
{
	c->loading = 0;
	ws_subsystems_elected(c);
	c->load_rev = 0;
	c->view_at = c->now;
	c->loads_open = 1;
	ws_load_from(c, ws_load_order[0], "");
	for (size_t i = 0; ws_subsystems_prefix(c, i); i++) {
		c->loads_open++;
		ws_load_from(c, ws_subsystems_prefix(c, i), "");
	}
}

static void ws_loaded(struct ws_core *c)
{
	struct ws_machine *m, *mt;
	struct ws_job *j, *jt;

	c->role = WS_LEADER;
	c->watch_rev = c->load_rev;
	c->place_wanted = true;
	c->watch_next = c->now;
	HASH_ITER (hh, c->machines, m, mt)
		for (struct ws_attempt *s = m->attempts; s; s = s->next)
			/* of a cancelled job, or an older attempt of a task placed anew */
			if (s->job &&
			    (s->job->phase == WS_CANCELLED ||
			     (s->task < s->job->spec.tasks && s->job->tasks[s->task].newest != s)))
				ws_attempt_ends(s);
	HASH_ITER (hh, c->machines, m, mt)
		if (m->chunk < 0 && m->port)
			ws_machine_dirty(c, m);
	HASH_ITER (hh, c->jobs, j, jt)
		ws_job_check_end(c, j);
	ws_subsystems_loaded(c);
	ws_log(c, WS_LOG_INFO, "leading: %u jobs, %u machines, %u rentals on record",
	       HASH_COUNT(c->jobs), HASH_COUNT(c->machines), HASH_COUNT(c->rentals));
}

/* The attempts that a job's record, or a piece of it, names. */
static void ws_load_attempts(struct ws_core *c, const char *id, json_t *value)
{
	struct ws_assigned *list;
	size_t n = ws_record_read_assigned(value, &list);

	for (size_t i = 0; i < n; i++) {
		struct ws_machine *m = ws_machine_get(c, list[i].machine);
		struct ws_attempt *x;

		m->on_record = true;
		if (!m->zone[0])
			ws_machine_place(c, m, "", list[i].zone, false);
		if (list[i].tenure > m->tenure)
			m->tenure = list[i].tenure;
		for (x = m->attempts; x; x = x->next)
			if (x->attempt == list[i].attempt && x->task == list[i].task &&
			    !strcmp(x->job_id, id))
				break;
		if (x) /* named by both: withdrawn while we read */
			continue;
		x = ws_attempt_add(c, m, id, list[i].task, list[i].attempt);
		x->tenure = list[i].tenure;
		x->state = WS_ATTEMPT_RECORDED;
		x->sent = true; /* for all we know */
		x->loaded = true;
		if (!x->job || (x->task < x->job->spec.tasks && x->job->tasks[x->task].done))
			ws_attempt_ends(x);
	}
	free(list);
}

/* The last owned machine's name; the first version listed them all, and the last one counts. */
static void ws_load_owned(struct ws_core *c, json_t *value)
{
	const char *last = json_string_value(json_object_get(value, "upto"));

	for (size_t i = 0; i < json_array_size(value); i++) {
		const char *name = json_string_value(json_array_get(value, i));

		if (name && (!last || strcmp(name, last) > 0))
			last = name;
	}
	c->owned_seen = true;
	snprintf(c->owned_upto, sizeof(c->owned_upto), "%s", last ? last : "");
	c->owned_known = true;
}

static void ws_load_rental(struct ws_core *c, const struct ws_kv *kv)
{
	struct ws_rental *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	snprintf(r->booking, sizeof(r->booking), "%s", kv->key + 7);
	r->stamp = kv->stamp;
	r->made = r->next_try = c->now;
	if (!ws_record_read_rental(kv->value, r)) {
		ws_log(c, WS_LOG_ERROR, "%s can't be read, left alone", kv->key);
		free(r->hosts);
		free(r);
		return;
	}
	HASH_ADD_STR(c->rentals, booking, r);
	for (uint32_t i = 0; i < r->nhosts; i++) {
		struct ws_machine *m = ws_machine_get(c, r->hosts[i]);

		m->on_record = true;
		ws_machine_place(c, m, r->type, r->zone, r->spot);
	}
}

static void ws_load_fleet(struct ws_core *c, const struct ws_kv *kv)
{
	int i = atoi(kv->key + 6);

	if (i < 0 || i >= WS_MAX_CHUNKS)
		return;
	ws_chunk_at(c, i)->stamp = kv->stamp;
	if (json_is_array(json_object_get(kv->value, "m"))) {
		ws_record_read_chunk(c, kv->value, i);
	} else { /* counted as full, so that it is not written over */
		ws_log(c, WS_LOG_ERROR, "%s can't be read, left alone", kv->key);
		ws_chunk_at(c, i)->n = ws_chunk_size(c);
	}
}

/* Attempts that a job's own record had no room for. */
static void ws_load_more(struct ws_core *c, const struct ws_kv *kv)
{
	char id[WS_ID_MAX];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(kv->key + 5, "/"), kv->key + 5);
	if (ws_job_find(c, id))
		ws_load_attempts(c, id, kv->value);
	else if (strlen(kv->key) < WS_NAME_MAX) /* its job is over */
		ws_tombstone_set(&c->orphaned_parts, kv->key, 1e18);
}

static void ws_load_kv(struct ws_core *c, const struct ws_kv *kv)
{
	if (!strcmp(kv->key, "owned")) {
		ws_load_owned(c, kv->value);
	} else if (!strncmp(kv->key, "rental/", 7)) {
		ws_load_rental(c, kv);
	} else if (!strncmp(kv->key, "fleet/", 6)) {
		ws_load_fleet(c, kv);
	} else if (!strncmp(kv->key, "job/", 4)) {
		ws_job_event(c, kv->key + 4, kv->value, kv->stamp);
		ws_load_attempts(c, kv->key + 4, kv->value);
	} else if (!strncmp(kv->key, "more/", 5)) {
		ws_load_more(c, kv);
	} else {
		ws_subsystems_record(c, kv);
	}
}

/* All records under a prefix are read: the next of the core's own, or one listing less is open. */
static void ws_load_next(struct ws_core *c, const char *prefix)
{
	bool own = c->loading < WS_LOAD_OWN && !strcmp(prefix, ws_load_order[c->loading]);

	if (own && ++c->loading < WS_LOAD_OWN)
		ws_load_from(c, ws_load_order[c->loading], "");
	else if (!--c->loads_open)
		ws_loaded(c);
}

static void ws_load_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation || c->role != WS_LOADING)
		return;
	if (r->status != 200) {
		if (c->now > c->entitled_until) {
			ws_step_down(c, "the records could not be read in time");
			return;
		}
		ws_load_from(c, call->key, call->after);
		return;
	}
	if (!strcmp(call->key, "job/") && !c->load_rev) {
		c->load_rev = r->rev;
		c->view_at = call->made;
	}
	for (size_t i = 0; i < r->nkvs; i++)
		ws_load_kv(c, &r->kvs[i]);
	if (r->more && r->nkvs) {
		ws_load_from(c, call->key, r->kvs[r->nkvs - 1].key);
		return;
	}
	ws_load_next(c, call->key);
}

/*
 * What a watch of the jobs brought, to the leader's replica of them. Of two watches one may be
 * answered after the other, with less: a change that it brings and that the replica held already
 * may since have been undone, so only what is newer than the replica counts.
 */
static void ws_replica_apply(struct ws_core *c, const struct ws_call *call,
			     const struct ws_result *r)
{
	uint64_t held = c->watch_rev;

	if (c->role != WS_LEADER || call->since > held)
		return;
	for (size_t i = 0; i < r->nkvs; i++)
		if (r->kvs[i].stamp > held && !strncmp(r->kvs[i].key, "job/", 4))
			ws_job_event(c, r->kvs[i].key + 4, r->kvs[i].value, r->kvs[i].stamp);
	c->watch_rev = r->rev > held ? r->rev : held;
	c->view_at = fmax(c->view_at, call->made);
}

/* A leader watches the jobs for its replica and for its job cache: each brings both up to date. */
void ws_jobs_news(struct ws_core *c, const struct ws_call *call, const struct ws_result *r)
{
	ws_replica_apply(c, call, r);
	ws_cache_apply(c, call, r);
}

static void ws_job_news(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation)
		return;
	c->job_watch = false;
	if (r->status == 410) {
		ws_step_down(c, "the watch fell too far behind");
		return;
	}
	if (r->status != 200) {
		c->watch_next = c->now + c->ttl / 16;
		return;
	}
	/* what comes within a moment comes together: an eighth of the requests allowed at most */
	c->watch_next = c->now + 8 / c->set->state_rps;
	ws_jobs_news(c, call, r);
}

/* Keeps a watch of the jobs open. */
void ws_watch_jobs(struct ws_core *c)
{
	struct ws_call *call;

	if (c->role != WS_LEADER || c->job_watch || c->now < c->watch_next)
		return;
	call = ws_call(c, WS_CALL_WATCH, ws_job_news);
	snprintf(call->key, sizeof(call->key), "job/");
	call->since = c->watch_rev;
	call->ms = (uint32_t)(c->ttl * 2000);
	c->job_watch = true;
}
