/*
 * Leadership, what a new leader reads back, and the writing of records.
 *
 * The leader is whoever attached the key `leader` to a hold of its own. Its epoch is the key's
 * stamp, shifted, so every leader's epoch is above those before it. It acts only until the end of
 * its hold as reckoned from when the last granted renewal was sent, and every write of a leader is
 * conditioned on the stamp of the leader key, so one that comes late has no effect.
 */
#include "internal.h"

bool ws_entitled(const struct ws_core *c)
{
	return ws_core_entitled(c, c->now);
}

static void ws_follow(struct ws_core *c, double after)
{
	c->role = WS_FOLLOWER;
	c->leader_next = c->now + after;
}

static void ws_nothing(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)c;
	(void)call;
	(void)r;
}

void ws_step_down(struct ws_core *c, const char *why)
{
	struct ws_job *j, *jt;
	struct ws_machine *m, *mt;
	struct ws_rental *r, *rt;

	if (why && c->role != WS_FOLLOWER)
		ws_log(c, WS_LOG_INFO, "no longer leading: %s", why);
	c->generation++;
	ws_subsystems_step_down(c);
	HASH_ITER (hh, c->machines, m, mt) {
		m->attempt_count = 0;
		for (struct ws_attempt *s; (s = m->attempts);) {
			m->attempts = s->next;
			free(s);
		}
		HASH_DEL(c->machines, m);
		free(m);
	}
	HASH_ITER (hh, c->jobs, j, jt) {
		HASH_DEL(c->jobs, j);
		free(j->tasks);
		free(j);
	}
	HASH_ITER (hh, c->rentals, r, rt) {
		HASH_DEL(c->rentals, r);
		free(r->hosts);
		free(r);
	}
	ws_tombstones_clear(c, true);
	c->value_most = c->set->value_kb * 1024;
	c->ops_most = c->set->txn_ops;
	c->dirty_jobs = NULL;
	c->dirty_rentals = NULL;
	free(c->order);
	c->order = NULL;
	free(c->pass_memory);
	c->pass_memory = NULL;
	c->pass_cap = 0;
	c->norder = 0;
	c->order_stale = true;
	free(c->chunks);
	c->chunks = NULL;
	c->nchunks = 0;
	struct ws_image *im, *it;

	HASH_ITER (hh, c->images, im, it) {
		HASH_DEL(c->images, im);
		free(im);
	}
	free(c->image_names);
	c->image_names = NULL;
	c->nimages = 0;
	for (size_t i = 0; i < c->set->nteams; i++)
		c->teams[i].used_cpus = c->teams[i].used_gpus = 0;
	c->owned_upto[0] = 0;
	c->owned_seen = c->owned_known = c->owned_writing = c->types_saved = false;
	free(c->unmet);
	c->unmet = NULL;
	c->unmet_count = c->unmet_cap = 0;
	c->flushing = c->job_watch = c->hosts_inflight = c->rent_inflight = false;
	c->extends = 0;
	c->in_outage = c->paused = false;
	c->ask_out = 0;
	c->hosts_after[0] = 0;
	c->flush_wanted = false;
	c->flush_look = 0;
	c->hosts_next = c->cloud_next = c->flush_next = c->sweep_next = c->rent_next = 0;
	memset(c->refusals, 0, sizeof(c->refusals));
	c->returns_wait = 0;
	c->place_next = c->pass_at = 0;
	c->measured_at = 0;
	c->work_arrived = c->work_done = c->busy_time = c->busy = 0;
	if (c->hold && why) {
		struct ws_call *call;

		call = ws_call(c, WS_CALL_HOLD_DROP, ws_nothing);
		call->hold = c->hold;
		call->urgent = true;
	}
	c->hold = 0;
	c->epoch = 0;
	c->entitled_until = 0;
	ws_follow(c, 0);
}

/* The node is about to stop: whoever comes next need not wait for the hold to end. */
void ws_core_resign(struct ws_core *c, double now)
{
	if (now > c->now)
		c->now = now;
	c->campaign_after = 1e18;
	if (c->role != WS_FOLLOWER)
		ws_step_down(c, "stopping");
}

/* ---- who leads ---- */

static void ws_leader_is(struct ws_core *c, json_t *value, uint64_t stamp)
{
	const char *node = value ? ws_record_leader_node(value) : NULL;

	if (strcmp(c->leader, node ? node : ""))
		ws_log(c, WS_LOG_INFO, "leader: %s", node ? node : "none");
	snprintf(c->leader, sizeof(c->leader), "%s", node ? node : "");
	c->leader_stamp = node ? stamp : 0;
	if ((c->role == WS_LEADER || c->role == WS_LOADING) && node &&
	    stamp > c->epoch >> WS_EPOCH_SHIFT)
		ws_step_down(c, "another node leads");
}

static void ws_elect_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r);
static void ws_load(struct ws_core *c);

static void ws_hold_got(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_call *t;

	if (call->generation != c->generation || c->role != WS_ASKING)
		return;
	if (r->status != 200) {
		ws_follow(c, c->ttl / 4);
		return;
	}
	c->hold = r->hold;
	if (c->leader[0] && strcmp(c->leader, c->set->node)) {
		/* another was elected meanwhile: our write must not be conditioned on its key */
		ws_step_down(c, "another node was elected");
		return;
	}
	c->entitled_until = call->made + c->ttl * (1 - WS_DRIFT);
	c->extend_next = call->made + c->ttl / 4;
	t = ws_call(c, WS_CALL_TXN, ws_elect_written);
	t->urgent = true;
	t->conds = calloc(1, sizeof(*t->conds));
	t->ops = calloc(1, sizeof(*t->ops));
	if (!t->conds || !t->ops)
		abort();
	t->nconds = t->nops = 1;
	snprintf(t->conds[0].key, WS_KEY_MAX, "leader");
	t->conds[0].stamp = c->leader_stamp; /* 0, or the key of our own earlier life */
	snprintf(t->ops[0].key, WS_KEY_MAX, "leader");
	t->ops[0].value = ws_record_leader(c->set, c->nonce);
	t->ops[0].hold = c->hold;
}

static void ws_elect_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation || c->role != WS_ASKING)
		return;
	if (r->status != 200) {
		/* lost, or unknown: the hold is given up, so that a late write of ours ends with it
		 */
		ws_step_down(c, "the election was lost");
		ws_follow(c, r->status == 409 ? 0 : c->ttl / 4);
		return;
	}
	c->role = WS_LOADING;
	/* a key left over from our own last life tells nothing of when another's hold ended, and a
	 * paused leader may have answered for as long as a hold lasts */
	c->elected_at = c->now + (call->conds[0].stamp ? c->ttl : 0);
	c->epoch = r->rev << WS_EPOCH_SHIFT;
	c->attempt_seq = 0;
	c->rental_seq = 0;
	c->leader_stamp = r->rev;
	snprintf(c->leader, sizeof(c->leader), "%s", c->set->node);
	c->relay_since = 0;
	ws_log(c, WS_LOG_INFO, "elected, epoch %llu", (unsigned long long)c->epoch);
	ws_load(c);
}

static void ws_campaign(struct ws_core *c)
{
	struct ws_call *call;

	c->role = WS_ASKING;
	c->generation++;
	call = ws_call(c, WS_CALL_HOLD_NEW, ws_hold_got);
	call->ms = (uint32_t)(c->ttl * 1000);
	call->urgent = true;
}

static void ws_leader_news(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	c->leader_watch = false;
	if (r->status != 200) {
		c->leader_read = false;
		c->leader_next = c->now + c->ttl / 4;
		if (r->status == 410)
			c->leader_next = c->now;
		return;
	}
	c->leader_rev = r->rev;
	for (size_t i = 0; i < r->nkvs; i++)
		if (!strcmp(r->kvs[i].key, "leader"))
			ws_leader_is(c, r->kvs[i].value, r->kvs[i].stamp);
}

static void ws_leader_read(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	c->leader_watch = false;
	if (r->status != 200) {
		c->leader_next = c->now + c->ttl / 4;
		return;
	}
	bool any = false;
	c->leader_read = true; /* the revision of a new state service may be 0 */
	c->leader_rev = r->rev;
	for (size_t i = 0; i < r->nkvs; i++)
		if (!strcmp(r->kvs[i].key, "leader")) {
			any = true;
			ws_leader_is(c, r->kvs[i].value, r->kvs[i].stamp);
		}
	if (!any)
		ws_leader_is(c, NULL, 0);
}

static void ws_watch_leader(struct ws_core *c)
{
	struct ws_call *call;

	if (c->leader_watch || c->now < c->leader_next)
		return;
	c->leader_watch = true;
	if (!c->leader_read) {
		call = ws_call(c, WS_CALL_LIST, ws_leader_read);
		snprintf(call->key, sizeof(call->key), "leader");
		return;
	}
	call = ws_call(c, WS_CALL_WATCH, ws_leader_news);
	snprintf(call->key, sizeof(call->key), "leader");
	call->since = c->leader_rev;
	call->ms = (uint32_t)(c->ttl * 1000);
}

/* ---- keeping the lead ---- */

static void ws_extended(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation)
		return;
	c->extends--;
	if (r->status == 200) {
		double until = call->made + c->ttl * (1 - WS_DRIFT);

		if (until > c->entitled_until)
			c->entitled_until = until;
		if (c->in_outage) {
			ws_log(c, WS_LOG_INFO, "the state service is back");
			c->served_at = c->now;
		}
		c->in_outage = c->paused = false;
		c->place_wanted = true;
		c->extend_next = fmax(c->extend_next, call->made + c->ttl / 4);
	} else if (r->status == 404) {
		ws_step_down(c, "the hold ended");
	} else {
		if (!c->extends)
			c->extend_next = c->now + c->ttl / 16;
		/* an old word, if a later renewal was granted */
		if (r->status == 503 && !c->in_outage && c->role == WS_LEADER &&
		    call->made + c->ttl * (1 - WS_DRIFT) >= c->entitled_until) {
			c->in_outage = true;
			c->ask_next = c->now;
			ws_log(c, WS_LOG_INFO, "the state service refuses us");
		}
	}
}

/*
 * While the state service is down for everybody no hold runs out, so a leader may go on answering
 * reports. Every peer must say so afresh; one that is silent, served or leading ends it, for the
 * service may be refusing us alone while another node takes over.
 *
 * Until it refused them too, peers may have told users that jobs are cancelled. So each one's word
 * brings the withdrawals that are newer than what we have seen, and these end here before we go
 * on; one that can't tell of all of them gives no testimony. Our own copy of the jobs is asked in
 * the same way: it may hold what our watch for the leader's view has not brought yet.
 *
 * A leader whose peers did not all say so in time pauses: it answers nobody, but keeps what it
 * knows. If all say so again before a lease has passed since its hold's end, it goes on. Had
 * another been elected in between, that one could not yet have moved anything for want of an
 * answer, and workers that heard from it drop what we say; had it ended since, it would say so or
 * be silent.
 */
static void ws_testified(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_ask_peer(struct ws_core *c, const char *node, uint64_t since, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_TESTIFY, ws_testified);

	snprintf(call->key, sizeof(call->key), "%s", node);
	snprintf(call->after, sizeof(call->after), "%s", after);
	call->since = since;
	call->epoch = c->epoch >> WS_EPOCH_SHIFT;
	call->ctx_n = c->ask_round;
	c->ask_out++;
}

static void ws_withdrawals(struct ws_core *c, const struct ws_withdrawal *list, size_t n,
			   const char *node)
{
	for (size_t i = 0; i < n; i++) {
		ws_log(c, WS_LOG_DEBUG, "%s tells that job %s was withdrawn", node, list[i].job);
		ws_job_withdrawn(c, &list[i]);
	}
}

/* All peers are refused as well, and what they told users is known here: the lead goes on. */
static void ws_extend_entitlement(struct ws_core *c)
{
	double until = c->ask_sent + fmin(c->ttl * (1 - WS_DRIFT), c->view_s);
	struct ws_withdrawal *own;
	size_t n;
	bool more, whole = ws_withdrawn_since(c, c->watch_rev, "", &own, &n, SIZE_MAX, &more);

	ws_withdrawals(c, own, n, c->set->node);
	free(own);
	if (!whole)
		return;
	c->view_at = fmax(c->view_at, c->ask_sent);
	if (until <= c->entitled_until || until <= c->now)
		return;
	c->entitled_until = until;
	if (!c->paused)
		return;
	c->paused = false;
	ws_log(c, WS_LOG_INFO, "all peers are refused too: answering reports again");
	struct ws_machine *m, *t;

	HASH_ITER (hh, c->machines, m, t)
		ws_fleet_push(c, m); /* what we learned while we could not say so */
}

static void ws_testified(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation || call->ctx_n != c->ask_round)
		return;
	c->ask_out--;
	c->ask_heard = c->now;
	if (r->status != 503 || !r->vouched)
		return;
	ws_withdrawals(c, r->withdrawn, r->nwithdrawn, call->key);
	if (r->more && r->nwithdrawn) {
		const struct ws_withdrawal *last = &r->withdrawn[r->nwithdrawn - 1];

		ws_ask_peer(c, call->key, last->stamp, last->job);
		return;
	}
	c->ask_yes++;
	if (c->ask_yes == (int)c->set->npeers && c->now < c->pause_until)
		ws_extend_entitlement(c);
}

static void ws_outage_tick(struct ws_core *c)
{
	/* a round whose answers are slow is waited for, or none would ever be complete */
	if (!c->in_outage || c->now < c->ask_next ||
	    (c->ask_out > 0 && c->now < c->ask_heard + c->ttl / 2))
		return;
	c->ask_next = c->now + c->ttl / 8;
	c->ask_round++;
	c->ask_yes = c->ask_out = 0;
	c->ask_sent = c->ask_heard = c->now;
	for (size_t i = 0; i < c->set->npeers; i++)
		ws_ask_peer(c, c->set->peers[i].node, c->watch_rev, "");
}

/* ---- reading everything back ---- */

static void ws_load_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_load_from(struct ws_core *c, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_LIST, ws_load_page);

	snprintf(call->key, sizeof(call->key), "%s", prefix);
	snprintf(call->after, sizeof(call->after), "%s", after);
	call->urgent = true;
}

static const char *const ws_load_order[] = {"owned", "rental/", "fleet/", "job/", "more/"};

/* The prefix read as the i-th; NULL behind the last. Those of subsystems come at the end. */
static const char *ws_load_prefix(const struct ws_core *c, size_t i)
{
	const size_t own = sizeof(ws_load_order) / sizeof(ws_load_order[0]);

	return i < own ? ws_load_order[i] : ws_subsystems_prefix(c, i - own);
}

static void ws_load(struct ws_core *c)
{
	c->loading = 0;
	ws_subsystems_elected(c);
	c->load_rev = 0;
	c->view_at = c->now;
	ws_load_from(c, ws_load_prefix(c, 0), "");
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
		if (!x->job || (x->task < x->job->spec.tasks && x->job->tasks[x->task].done))
			ws_attempt_ends(x);
	}
	free(list);
}

static void ws_load_kv(struct ws_core *c, const struct ws_kv *kv)
{
	if (!strcmp(kv->key, "owned")) {
		const char *n = json_string_value(json_object_get(kv->value, "upto"));

		/* the first version listed them all: the last one counts */
		for (size_t i = 0; i < json_array_size(kv->value); i++) {
			const char *x = json_string_value(json_array_get(kv->value, i));

			if (x && (!n || strcmp(x, n) > 0))
				n = x;
		}
		c->owned_seen = true;
		snprintf(c->owned_upto, sizeof(c->owned_upto), "%s", n ? n : "");
		c->owned_known = true;
	} else if (!strncmp(kv->key, "rental/", 7)) {
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
	} else if (!strncmp(kv->key, "fleet/", 6)) {
		int i = atoi(kv->key + 6);

		if (i >= 0 && i < WS_MAX_CHUNKS) {
			ws_chunk_at(c, i)->stamp = kv->stamp;
			if (json_is_array(json_object_get(kv->value, "m"))) {
				ws_record_read_chunk(c, kv->value, i);
			} else { /* counted as full, so that it is not written over */
				ws_log(c, WS_LOG_ERROR, "%s can't be read, left alone", kv->key);
				ws_chunk_at(c, i)->n = ws_chunk_size(c);
			}
		}
	} else if (!strncmp(kv->key, "job/", 4)) {
		ws_job_event(c, kv->key + 4, kv->value, kv->stamp);
		ws_load_attempts(c, kv->key + 4, kv->value);
	} else if (!strncmp(kv->key, "more/", 5)) {
		char id[WS_ID_MAX];

		snprintf(id, sizeof(id), "%.*s", (int)strcspn(kv->key + 5, "/"), kv->key + 5);
		if (ws_job_find(c, id))
			ws_load_attempts(c, id, kv->value);
		else if (strlen(kv->key) < WS_NAME_MAX) /* its job is over */
			ws_tombstone_set(&c->orphaned_parts, kv->key, 1e18);
	} else {
		ws_subsystems_record(c, kv);
	}
}

static void ws_load_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	const char *prefix;

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
	prefix = ws_load_prefix(c, ++c->loading);
	if (prefix)
		ws_load_from(c, prefix, "");
	else
		ws_loaded(c);
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

void ws_leader_tick(struct ws_core *c)
{
	ws_watch_leader(c);
	if (c->role == WS_FOLLOWER) {
		/* stand when nobody leads, or when the key is left over from our own last life */
		bool own = c->leader[0] && !strcmp(c->leader, c->set->node);

		if (c->leader_read && (!c->leader[0] || own) && c->now >= c->campaign_after &&
		    c->now >= c->leader_next && c->ntypes)
			ws_campaign(c);
		return;
	}
	/* one that is slow is not waited for: each counts from when it was sent, and at a state
	 * service that takes half of ttl for an answer one after the other came too late */
	if (c->hold && c->extends < 4 && c->now >= c->extend_next) {
		struct ws_call *call = ws_call(c, WS_CALL_HOLD_EXTEND, ws_extended);

		call->hold = c->hold;
		call->urgent = true;
		c->extends++;
		c->extend_next = c->now + c->ttl / 4;
	}
	if (c->role != WS_LEADER && c->role != WS_LOADING)
		return;
	ws_outage_tick(c);
	if (c->now >= c->entitled_until && !c->in_outage) {
		ws_step_down(c, "the hold could not be renewed in time");
		return;
	}
	if (c->role == WS_LEADER && !c->in_outage &&
	    c->now >= fmax(c->view_at, c->served_at) + ws_replica_age_max(c)) {
		ws_step_down(c, "the watch of the jobs brings nothing");
		return;
	}
	if (c->in_outage && c->now >= c->entitled_until) {
		if (c->role == WS_LEADER && !c->paused) {
			c->paused = true;
			c->pause_until =
			    c->entitled_until + c->set->lease_s * (1 - WS_DRIFT) - c->ttl;
			ws_log(c, WS_LOG_INFO,
			       "paused: the state service refuses us and not surely all");
		}
		if (c->role != WS_LEADER || c->now >= c->pause_until)
			ws_step_down(c, "the state service refuses us and not surely all");
		return;
	}
	if (!c->paused)
		c->pause_until = c->entitled_until;
	if (c->role == WS_LEADER && c->relay_since > 0 &&
	    c->now - c->relay_since > 2.5 * c->set->report_s && !c->in_outage) {
		/* workers reach the others but not us: let one of them lead. Counted from the first
		 * report passed on, since before it there may have been no worker at all */
		c->campaign_after = c->now + c->set->lease_s;
		ws_step_down(c, "no worker reaches this node, but others do");
		return;
	}
	if (c->role == WS_LEADER && !c->job_watch && c->now >= c->watch_next) {
		struct ws_call *call = ws_call(c, WS_CALL_WATCH, ws_job_news);

		snprintf(call->key, sizeof(call->key), "job/");
		call->since = c->watch_rev;
		call->ms = (uint32_t)(c->ttl * 2000);
		c->job_watch = true;
	}
}

/* ---- writing records ---- */

static void ws_put(struct ws_call *t, const char *prefix, const char *name, uint64_t stamp,
		   json_t *value)
{
	snprintf(t->conds[t->nconds].key, WS_KEY_MAX, "%s%s", prefix, name);
	t->conds[t->nconds++].stamp = stamp;
	snprintf(t->ops[t->nops].key, WS_KEY_MAX, "%s%s", prefix, name);
	t->ops[t->nops++].value = value;
}

static void ws_reread(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_rental *x;
	uint64_t stamp = r->status == 200 && r->nkvs == 1 ? r->kvs[0].stamp : 0;

	if (call->generation != c->generation)
		return;
	if (r->status != 200 && r->status != 404) {
		struct ws_call *g = ws_call(c, WS_CALL_GET, ws_reread);

		snprintf(g->key, sizeof(g->key), "%s", call->key);
		return;
	}
	if (!strncmp(call->key, "fleet/", 6)) {
		struct ws_chunk *k = ws_chunk_at(c, atoi(call->key + 6));

		k->stamp = stamp;
		k->writing = false;
		ws_chunk_dirty(c, atoi(call->key + 6));
	} else if (!strncmp(call->key, "rental/", 7)) {
		HASH_FIND_STR(c->rentals, call->key + 7, x);
		if (!x)
			return;
		x->stamp = stamp;
		x->writing = false;
		ws_rental_dirty(c, x);
	} else if (!strcmp(call->key, "owned")) {
		c->owned_known = r->status == 200;
		c->owned_writing = false;
	} else {
		ws_subsystems_reread(c, call->key, stamp);
	}
}

/* What a job's record held is on record now: its starts may go out. */
static void ws_job_written(struct ws_job *j)
{
	struct ws_attempt *s, *n;

	DL_FOREACH_SAFE2 (j->attempts, s, n, jnext) {
		if (s->state == WS_ATTEMPT_GONE && !s->writing) {
			ws_attempt_free(s); /* what was just written no longer names it */
			continue;
		}
		if (s->writing && s->state == WS_ATTEMPT_PLANNED) {
			s->state = WS_ATTEMPT_RECORDED;
			s->machine->push = true;
		}
		s->writing = false;
	}
	for (uint32_t t = 0; t < j->spec.tasks; t++)
		if (j->tasks[t].writing) {
			j->tasks[t].saved = true;
			j->tasks[t].writing = false;
		}
}

static void ws_flush_op(struct ws_core *c, const struct ws_op *op, uint64_t rev)
{
	struct ws_rental *r;
	struct ws_job *j;

	if (!strncmp(op->key, "fleet/", 6)) {
		struct ws_chunk *k = ws_chunk_at(c, atoi(op->key + 6));

		k->writing = false;
		k->stamp = rev;
		k->written_at = c->now;
	} else if (!strncmp(op->key, "rental/", 7)) {
		HASH_FIND_STR(c->rentals, op->key + 7, r);
		if (!r)
			return;
		r->writing = false;
		r->stamp = op->value ? rev : 0;
		ws_rental_written(c, r, !op->value);
	} else if (!strncmp(op->key, "job/", 4) && (j = ws_job_find(c, op->key + 4))) {
		j->writing = false;
		if (!op->value) {
			ws_tombstone_set(&c->ended, j->spec.id, c->now + c->set->lease_s);
			ws_job_free(c, j);
			return;
		}
		if (rev > j->stamp)
			j->stamp = rev;
		ws_job_written(j);
	} else if (!strcmp(op->key, "owned")) {
		c->owned_known = true;
		c->owned_writing = false;
		ws_log(c, WS_LOG_INFO, "owned machines recorded: up to %s",
		       c->owned_upto[0] ? c->owned_upto : "none");
	} else if (!strcmp(op->key, "types")) {
		c->types_saved = true;
	} else {
		ws_subsystems_written(c, op, rev);
	}
}

/* The write did not happen, or not surely: what it held is due again. */
static void ws_flush_undo(struct ws_core *c, const struct ws_op *op, bool reread)
{
	struct ws_rental *r;
	struct ws_job *j;
	struct ws_call *g;

	if (!strncmp(op->key, "fleet/", 6)) {
		if (!reread) {
			ws_chunk_at(c, atoi(op->key + 6))->writing = false;
			ws_chunk_dirty(c, atoi(op->key + 6));
		}
	} else if (!strncmp(op->key, "rental/", 7)) {
		HASH_FIND_STR(c->rentals, op->key + 7, r);
		if (!r)
			return;
		if (!reread) {
			r->writing = false;
			ws_rental_dirty(c, r);
		}
	} else if (!strncmp(op->key, "job/", 4) && (j = ws_job_find(c, op->key + 4))) {
		struct ws_attempt *s;

		j->writing = false;
		for (uint32_t t = 0; t < j->spec.tasks; t++)
			j->tasks[t].writing = false;
		DL_FOREACH2 (j->attempts, s, jnext)
			s->writing = false;
		ws_job_dirty(c, j, true);
		return;
	} else if (!strcmp(op->key, "owned")) {
		if (!reread)
			c->owned_writing = false;
	} else if (!ws_subsystems_undone(c, op, reread)) {
		return;
	}
	if (reread) {
		g = ws_call(c, WS_CALL_GET, ws_reread);
		snprintf(g->key, sizeof(g->key), "%s", op->key);
	}
}

/* Starts that are on record now go out. */
static void ws_flush_push(struct ws_core *c, const struct ws_call *call)
{
	struct ws_job *j;

	for (size_t i = 0; i < call->nops; i++)
		if (!strncmp(call->ops[i].key, "job/", 4) &&
		    (j = ws_job_find(c, call->ops[i].key + 4)))
			ws_job_push(c, j);
}

/*
 * Too much for the state service, by limits lower than those we plan by. It was not carried out;
 * what it held is written anew in smaller transactions, then in smaller records, never unchanged.
 */
static void ws_flush_refused(struct ws_core *c, const struct ws_call *call)
{
	size_t most = 0, all = 0, which = 0;

	for (size_t i = 0; i < call->nops; i++) {
		size_t n = call->ops[i].value ? ws_record_size(call->ops[i].value) : 0;

		all += n;
		if (n > most) {
			most = n;
			which = i;
		}
	}
	if (call->nops > 2)
		c->ops_most = (int)(call->nops / 2 > 2 ? call->nops / 2 : 2);
	else if (most > 512)
		c->value_most = fmax(512, (double)most * 3 / 4);
	ws_log(c, WS_LOG_ERROR,
	       "a write of %zu records, %zu bytes, was refused; the largest is %s with %zu: from "
	       "now on "
	       "%d changes a transaction, values of %.0f bytes",
	       call->nops, all, call->ops[which].key, most, c->ops_most, c->value_most);
}

static void ws_flushed(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation)
		return;
	c->flushing = false;
	c->flush_wanted = true;
	if (r->status == 200) {
		c->flush_fails = 0;
		for (size_t i = 0; i < call->nops; i++)
			ws_flush_op(c, &call->ops[i], r->rev);
		ws_flush_push(c, call);
		return;
	}
	if (r->status == 409) {
		for (size_t i = 0; i < r->nfailed; i++)
			if (!strcmp(r->failed[i], "leader")) {
				ws_step_down(c, "a write found another leader");
				return;
			}
		for (size_t i = 0; i < call->nops; i++) {
			bool failed = false;
			struct ws_job *j;

			for (size_t k = 0; k < r->nfailed; k++)
				failed |= !strcmp(r->failed[k], call->ops[i].key);
			/* a job's key moves when its user cancels: the watch brings it */
			if (failed && !strncmp(call->ops[i].key, "job/", 4) &&
			    (j = ws_job_find(c, call->ops[i].key + 4)))
				for (size_t k = 0; k < call->nconds; k++)
					if (!strcmp(call->conds[k].key, call->ops[i].key) &&
					    call->conds[k].stamp == j->stamp)
						j->stale = true;
			ws_flush_undo(c, &call->ops[i], failed);
		}
		return;
	}
	if (r->status == 400)
		ws_flush_refused(c, call);
	for (size_t i = 0; i < call->nops; i++)
		ws_flush_undo(c, &call->ops[i], false);
	if (r->status == 429) { /* others write as well: less for a while */
		c->flush_rate = fmax(c->flush_rate * 0.8, c->set->state_write_rps / 2);
		c->flush_tokens = 0;
		c->flush_next = c->now + 1 / c->flush_rate;
		return;
	}
	if (c->flush_fails < 5)
		c->flush_fails++;
	c->flush_next = c->now + c->ttl / 64 * (1 << c->flush_fails);
}

/*
 * Changes a second are the scarcest thing in a large deployment. The leader has half of them for
 * sure, and takes up to four fifths while nobody is refused any.
 */
static void ws_flush_budget(struct ws_core *c)
{
	double most = 0.8 * c->set->state_write_rps;

	if (!c->flush_rate)
		c->flush_rate = most;
	c->flush_rate = fmin(most, c->flush_rate + (c->now - c->flush_at) * most / 32);
	c->flush_tokens =
	    fmin(c->flush_rate / 2, c->flush_tokens + (c->now - c->flush_at) * c->flush_rate);
	c->flush_at = c->now;
}

/*
 * Whether a job's record is to be written now: starts and ends at once; which tasks are over
 * meanwhile, within the 2 s that users may wait for it while there are changes to spare, else with
 * the next start or end, or when half a lease has passed.
 */
static bool ws_job_due(const struct ws_core *c, const struct ws_job *j)
{
	double age = c->now - j->dirty_at;

	return !j->writing && !j->stale &&
	       (j->urgent || age > c->set->lease_s / 2 ||
		(age > 2 && c->flush_tokens > c->flush_rate / 4));
}

/*
 * Which records go first when changes are short: of jobs that users see begin or end whole, and
 * what has waited for long; then further portions of arrays, which gather meanwhile.
 */
static int ws_job_rank(const struct ws_core *c, const struct ws_job *j)
{
	if (!j->urgent)
		return 0;
	return j->spec.service || j->spec.gang || !j->started || ws_job_over(j) ||
		       c->now - j->dirty_at > c->set->lease_s / 4
		   ? 2
		   : 1;
}

/* Whether a record of the fleet is to be written: late, and later still if changes are short. */
static bool ws_chunk_due(const struct ws_core *c, const struct ws_chunk *k)
{
	bool spare = c->flush_tokens > c->flush_rate / 4;

	return !k->writing &&
	       ((k->dirty && c->now - k->dirty_at > c->set->lease_s / (spare ? 32 : 4)) ||
		(k->images && c->now - k->written_at > c->set->lease_s / 2 && spare));
}

/* Now and then, so that operators see what the changes are spent on. */
static void ws_flush_log(struct ws_core *c)
{
	const uint32_t *w = c->wrote;

	if (c->now < c->wrote_log)
		return;
	if (w[0] + w[1] + w[2] + w[3] + w[4])
		ws_log(c, WS_LOG_INFO,
		       "written since: %u starts, %u ends, %u jobs later, %u fleet, %u rentals; "
		       "%.0f changes a second are ours",
		       w[WS_WROTE_STARTS], w[WS_WROTE_ENDS], w[WS_WROTE_LATER], w[WS_WROTE_FLEET],
		       w[WS_WROTE_RENTALS], c->flush_rate);
	memset(c->wrote, 0, sizeof(c->wrote));
	c->wrote_log = c->now + c->set->lease_s;
}

static void ws_flush_job(struct ws_core *c, struct ws_call *t, struct ws_job *j, size_t *bytes)
{
	/* archived once nothing of it can be alive, so that what is counts for its team */
	bool over = ws_job_over(j) && !j->attempt_count;
	json_t *v;

	DL_DELETE2(c->dirty_jobs, j, dprev, dnext);
	c->wrote[over ? WS_WROTE_ENDS : j->urgent ? WS_WROTE_STARTS : WS_WROTE_LATER]++;
	j->dirty = j->urgent = false;
	if (j->phase == WS_CANCELLED && !over)
		return; /* the record says so already; due again when the last task is gone */
	j->writing = true;
	if (over) {
		snprintf(t->conds[t->nconds].key, WS_KEY_MAX, "old/%s", j->spec.id);
		t->conds[t->nconds++].stamp = 0;
		snprintf(t->ops[t->nops].key, WS_KEY_MAX, "old/%s", j->spec.id);
		t->ops[t->nops++].value = ws_record_final(j);
		ws_put(t, "job/", j->spec.id, j->stamp, NULL);
		/* pieces for which there is no room now are found as orphaned_parts by the next
		 * leader */
		for (uint32_t i = 0; i < j->pieces && t->nops < (size_t)c->ops_most; i++)
			snprintf(t->ops[t->nops++].key, WS_KEY_MAX, "more/%s/%u", j->spec.id, i);
		*bytes += 256;
	} else {
		v = ws_record_job(c, j, ws_record_limit(c));
		if (!v) { /* more planned than the record holds: what was not sent is taken back */
			struct ws_attempt *s, *n;

			DL_FOREACH_SAFE2 (j->attempts, s, n, jnext)
				if (s->state == WS_ATTEMPT_PLANNED)
					ws_attempt_release(c, s);
			ws_log(c, WS_LOG_INFO, "job %s: its record is full", j->spec.id);
			v = ws_record_job(c, j, ws_record_limit(c));
		}
		if (!v) {
			j->writing = false;
			return;
		}
		ws_put(t, "job/", j->spec.id, j->stamp, v);
		/* a record is mostly its attempts */
		*bytes += 1024 + 24 * (size_t)j->attempt_count;
	}
}

/* One transaction at a time, with what is due: bookings, starts and ends, then the rest. */
void ws_flush(struct ws_core *c)
{
	struct ws_call *t;
	size_t max = (size_t)c->ops_most, bytes = 0;
	struct ws_job *j, *jn;
	struct ws_rental *r, *rn;

	ws_flush_budget(c);
	if (c->flushing || c->now < c->flush_next || !ws_entitled(c) || c->in_outage ||
	    c->flush_tokens < 1 || (!c->flush_wanted && c->now < c->flush_look))
		return;
	c->flush_wanted = false;
	c->flush_look = c->now + c->ttl / 64;
	ws_flush_log(c);
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	t->conds = calloc(2 * max + 2, sizeof(*t->conds));
	t->ops = calloc(max + 1, sizeof(*t->ops));
	if (!t->conds || !t->ops)
		abort();
	snprintf(t->conds[0].key, WS_KEY_MAX, "leader");
	t->conds[0].stamp = c->epoch >> WS_EPOCH_SHIFT;
	t->nconds = 1;
	if (c->owned_seen && !c->owned_known && !c->owned_writing) {
		ws_put(t, "", "owned", 0, json_pack("{s:s}", "upto", c->owned_upto));
		c->owned_writing = true;
	}
	if (!c->types_saved && c->ntypes) {
		json_t *v = ws_record_types(c->types, c->ntypes);

		if ((double)ws_record_size(v) < c->value_most) {
			snprintf(t->ops[t->nops].key, WS_KEY_MAX, "types");
			t->ops[t->nops++].value = v;
		} else { /* one written under a higher limit stays readable */
			ws_log(c, WS_LOG_ERROR, "the record of machine types does not fit a value");
			json_decref(v);
			c->types_saved = true;
		}
	}
	for (struct ws_tombstone *s = c->orphaned_parts, *n; s && t->nops < max; s = n) {
		n = s->hh.next;
		snprintf(t->ops[t->nops++].key, WS_KEY_MAX, "%s", s->name);
		HASH_DEL(c->orphaned_parts, s);
		free(s);
	}
	/* room is left below the transaction's 64 KiB */
	DL_FOREACH_SAFE2 (c->dirty_rentals, r, rn, dnext) {
		if (t->nops == max || bytes > WS_TRANSACTION_BYTES)
			break;
		if (r->writing)
			continue;
		json_t *v = r->state == WS_RENTAL_DROP ? NULL : ws_record_rental(r);

		if (v && (double)ws_record_size(v) >=
			     c->value_most) { /* of a higher limit: when it is shorter */
			json_decref(v);
			DL_DELETE2(c->dirty_rentals, r, dprev, dnext);
			r->dirty = false;
			continue;
		}
		DL_DELETE2(c->dirty_rentals, r, dprev, dnext);
		r->dirty = false;
		r->writing = true;
		c->wrote[WS_WROTE_RENTALS]++;
		bytes += 512 + r->nhosts * 64;
		ws_put(t, "rental/", r->booking, r->stamp, v);
	}
	ws_subsystems_flush(c, t, max, &bytes, true);
	for (int rank = 2; rank >= 0; rank--)
		DL_FOREACH_SAFE2 (c->dirty_jobs, j, jn, dnext) {
			if (t->nops + 2 > max || bytes > WS_TRANSACTION_BYTES)
				break;
			if (ws_job_rank(c, j) == rank && ws_job_due(c, j))
				ws_flush_job(c, t, j, &bytes);
		}
	for (int i = 0; i < c->nchunks && t->nops < max && bytes < WS_TRANSACTION_BYTES &&
			c->now >= c->chunk_next;
	     i++) {
		struct ws_chunk *k = &c->chunks[i];
		char name[16];

		if (!ws_chunk_due(c, k))
			continue;
		k->dirty = k->images = false;
		k->writing = true;
		c->wrote[WS_WROTE_FLEET]++;
		c->chunk_next = c->now + 8 / c->set->state_write_rps;
		bytes += (size_t)c->value_most;
		snprintf(name, sizeof(name), "%d", i);
		ws_put(t, "fleet/", name, k->stamp, ws_record_chunk(c, i));
		break; /* one at a time: what users wait for goes before */
	}
	ws_subsystems_flush(c, t, max, &bytes, false);
	if (!t->nops) {
		c->flush_idle++;
		ws_call_free(t);
		return;
	}
	c->flush_tokens -= (double)t->nops;
	t->kind = WS_CALL_TXN;
	t->paced = true;
	t->done = ws_flushed;
	t->generation = c->generation;
	t->made = c->now;
	ws_act(c, WS_ACT_CALL)->call = t;
	c->flushing = true;
}
