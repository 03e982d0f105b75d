/*
 * What users ask of any node. Every answer that binds the service (accepted, done, cancelled) is
 * read from or written to the state service first; a node that can't tell says 503 at once.
 */
#include "internal.h"

/* The protocol: a user waits 2 s for the answer to a poll; a peer may have to be asked as well. */
#define WS_POLL_HOLD_S 0.8

struct ws_redirect { /* a worker sent to the leader a short while ago */
	char machine[WS_NAME_MAX];
	double at;
	uint64_t stamp; /* of the leader it was sent to */
	uint32_t seen;
	UT_hash_handle hh;
};

struct ws_seen { /* what a live job's record says */
	char id[WS_ID_MAX];
	enum ws_phase phase;
	uint32_t done, running;
	uint64_t stamp;
	UT_hash_handle hh;
};

struct ws_final { /* the answer about a job that is over: it never changes */
	char id[WS_ID_MAX];
	enum ws_phase phase;
	uint32_t done;
	UT_hash_handle hh;
};

struct ws_poll {
	char id[WS_ID_MAX];
	uint64_t token;
	bool relayed, asked; /* asked: the check under way began after it came */
	double at;
	struct ws_poll *prev, *next;
};

struct ws_ask { /* a user's request under way */
	bool relayed;
	bool split;   /* the record is too large to be written whole */
	bool refused; /* a submission that can never run, unless it was accepted before */
	int tries;
};

static void ws_answer(struct ws_core *c, uint64_t token, int status, const char *id,
		      enum ws_phase phase)
{
	struct ws_action *a = ws_act(c, WS_ACT_ANSWER_USER);

	a->token = token;
	a->status = status;
	a->phase = phase;
	snprintf(a->name, sizeof(a->name), "%s", id);
	if (status == 503 || status == 429)
		a->retry_after = 1;
}

/*
 * Neither the state service nor any peer answers: this node can do nothing for anybody. It says so
 * at once, to its health check as well, and goes on asking.
 */
bool ws_cut_off(const struct ws_core *c)
{
	double patience = c->set->lease_s / 8;

	return c->set->npeers && c->state_ok_at > 0 && c->state_bad_at > c->state_ok_at &&
	       c->now - c->state_bad_since > patience && c->now - c->peers_ok_at > patience;
}

static void ws_peer_answered(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	if (r->status > 0)
		c->peers_ok_at = c->now;
}

static void ws_peers_tick(struct ws_core *c)
{
	if (c->state_bad_at <= c->state_ok_at || c->now < c->peers_next)
		return;
	c->peers_next = c->now + c->set->lease_s / 32;
	for (size_t i = 0; i < c->set->npeers; i++) {
		struct ws_call *call = ws_call(c, WS_CALL_TESTIFY, ws_peer_answered);

		snprintf(call->key, sizeof(call->key), "%s", c->set->peers[i].node);
		call->since = UINT64_MAX; /* only whether it answers */
	}
}

/* The state service does not serve us: a peer may do better, unless the request came from one. */
static void ws_cannot(struct ws_core *c, uint64_t token, const char *id, bool relayed, int status)
{
	if (!relayed && !ws_cut_off(c) && (status == 503 || status == 0) && c->set->npeers) {
		struct ws_action *a = ws_act(c, WS_ACT_RELAY);

		a->token = token;
		return;
	}
	ws_answer(c, token, 503, id, WS_QUEUED);
}

static struct ws_call *ws_get(struct ws_core *c, const char *prefix, const char *id, uint64_t token,
			      struct ws_ask *ask, ws_done_fn done)
{
	struct ws_call *call = ws_call(c, WS_CALL_GET, done);

	snprintf(call->key, sizeof(call->key), "%s/%s", prefix, id);
	snprintf(call->ctx_name, sizeof(call->ctx_name), "%s", id);
	call->ctx = ask;
	call->ctx_n = token;
	return call;
}

/*
 * Recently refused by the state service, or without an answer: ask a peer straight away, since a
 * user waits 2 s and a time-out of our own would use that up. Reading who leads goes on meanwhile
 * and tells when the service is back.
 */
static bool ws_state_refuses(const struct ws_core *c)
{
	return c->state_bad_at > c->state_ok_at && c->now - c->state_bad_at < c->set->lease_s / 4;
}

const struct ws_type *ws_type_find(const struct ws_core *c, const char *name)
{
	for (size_t i = 0; i < c->ntypes; i++)
		if (!strcmp(c->types[i].name, name))
			return &c->types[i];
	return NULL;
}

bool ws_type_fits(const struct ws_type *t, const struct ws_spec *s)
{
	bool ok = s->ntypes == 0, zone = !s->zone[0];

	for (size_t i = 0; i < s->ntypes && !ok; i++)
		ok = !strcmp(s->types[i], t->name);
	for (size_t i = 0; i < t->nzones && !zone; i++)
		zone = !strcmp(t->zones[i], s->zone);
	return ok && zone && s->cpus <= t->cpus + 1e-9 && s->gpus <= t->gpus + 1e-9 &&
	       s->mem <= t->mem + 1e-9;
}

/* At most half of its tasks in a zone, and all of them at once: that takes two zones. */
static bool ws_gang_spreads(struct ws_core *c, const struct ws_spec *s)
{
	uint32_t zones = 0;

	if (!s->gang || !s->spread || s->tasks == 1)
		return true;
	for (size_t i = 0; i < c->ntypes; i++)
		for (size_t z = 0; ws_type_fits(&c->types[i], s) && z < c->types[i].nzones; z++) {
			int zi = ws_zone_id(c, c->types[i].zones[z]);

			if (zi >= 0 && (!s->zone[0] || !strcmp(s->zone, c->zones[zi])))
				zones |= 1u << zi;
		}
	return !s->one_zone && (zones & (zones - 1));
}

static bool ws_can_ever_run(struct ws_core *c, const struct ws_spec *s)
{
	struct ws_team *team = ws_team_of(c, s->team);
	double n = s->service || s->gang ? s->tasks : 1;
	bool fits = false;

	for (size_t i = 0; i < c->ntypes; i++)
		fits |= ws_type_fits(&c->types[i], s) && ws_gang_recordable(c, s, &c->types[i]);
	return team && fits && ws_gang_spreads(c, s) && n * s->cpus <= team->set->cpus_max + 1e-9 &&
	       n * s->gpus <= team->set->gpus_max + 1e-9;
}

static struct ws_seen *ws_seen_note(struct ws_core *c, const char *id, uint64_t stamp);

/*
 * A user is about to be told that this job is cancelled: the copy of the live jobs must hold that,
 * for it is what we testify with. A record under old/ has nothing left on any machine.
 */
static void ws_withdrawal_note(struct ws_core *c, const char *key, uint64_t stamp)
{
	struct ws_seen *s = strncmp(key, "job/", 4) ? NULL : ws_seen_note(c, key + 4, stamp);

	if (s)
		s->phase = WS_CANCELLED;
}

static void ws_known_answer(struct ws_core *c, uint64_t token, const char *id, enum ws_phase phase,
			    uint32_t done, uint32_t running, bool poll)
{
	struct ws_action *a = ws_act(c, WS_ACT_ANSWER_USER);

	a->token = token;
	a->status = 200;
	a->phase = phase;
	a->counts = poll;
	a->done = done;
	a->running = running;
	snprintf(a->name, sizeof(a->name), "%s", id);
	if (poll && c->role == WS_LEADER && phase == WS_RUNNING) {
		struct ws_job *j = ws_job_find(c, id);

		if (j) {
			a->done = j->ndone;
			a->running = j->attempt_count;
		}
	}
}

static void ws_state_answer(struct ws_core *c, struct ws_call *call, const struct ws_result *r,
			    bool poll)
{
	enum ws_phase phase;
	uint32_t done, running;

	if (r->nkvs != 1 || !ws_record_read_phase(r->kvs[0].value, &phase, &done, &running)) {
		ws_log(c, WS_LOG_ERROR, "record %s can't be read", call->key);
		ws_answer(c, call->ctx_n, 503, call->ctx_name, WS_QUEUED);
		return;
	}
	if (phase == WS_CANCELLED)
		ws_withdrawal_note(c, call->key, r->kvs[0].stamp);
	ws_known_answer(c, call->ctx_n, call->ctx_name, phase, done, running, poll);
}

/* ---- submit ---- */

static void ws_submit_known_old(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 200)
		ws_state_answer(c, call, r, false);
	else if (r->status == 404) /* else moved between two reads; it is known in any case */
		ws_answer(c, call->ctx_n, ask->refused ? 422 : 503, call->ctx_name, WS_QUEUED);
	else
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
}

static void ws_submit_known(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 404) {
		call->ctx = NULL;
		ws_get(c, "old", call->ctx_name, call->ctx_n, ask, ws_submit_known_old);
		return;
	}
	if (r->status == 200)
		ws_state_answer(c, call, r, false);
	else
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
}

static void ws_submit_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 409) {
		call->ctx = NULL;
		ws_get(c, "job", call->ctx_name, call->ctx_n, ask, ws_submit_known);
		return;
	}
	if (r->status == 200) {
		ws_log(c, WS_LOG_DEBUG, "job %s accepted", call->ctx_name);
		ws_answer(c, call->ctx_n, 201, call->ctx_name, WS_QUEUED);
	} else if (r->status == 400) { /* a record over the limits: it can't be kept */
		ws_answer(c, call->ctx_n, 503, call->ctx_name, WS_QUEUED);
	} else {
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
	}
}

void ws_core_submit(struct ws_core *c, double now, double wall, uint64_t token,
		    const struct ws_spec *spec, bool relayed)
{
	struct ws_ask *ask;
	struct ws_call *call;

	if (now > c->now)
		c->now = now;
	if (!c->ntypes) {
		ws_cannot(c, token, spec->id, relayed, 503);
		return;
	}
	if (!relayed && ws_state_refuses(c)) {
		ws_cannot(c, token, spec->id, relayed, 503);
		return;
	}
	ask = calloc(1, sizeof(*ask));
	if (!ask) {
		ws_answer(c, token, 503, spec->id, WS_QUEUED);
		return;
	}
	ask->relayed = relayed;
	if (!ws_can_ever_run(c, spec)) {
		/* limits and teams change: what was accepted under others stays known */
		ask->refused = true;
		ws_get(c, "job", spec->id, token, ask, ws_submit_known);
		ws_core_tick(c, now);
		return;
	}
	call = ws_call(c, WS_CALL_TXN, ws_submit_written);
	call->ctx = ask;
	call->ctx_n = token;
	snprintf(call->ctx_name, sizeof(call->ctx_name), "%s", spec->id);
	call->conds = calloc(2, sizeof(*call->conds));
	call->ops = calloc(1, sizeof(*call->ops));
	if (!call->conds || !call->ops)
		abort();
	call->nconds = 2;
	call->nops = 1;
	snprintf(call->conds[0].key, WS_KEY_MAX, "job/%s", spec->id);
	snprintf(call->conds[1].key, WS_KEY_MAX, "old/%s", spec->id);
	snprintf(call->ops[0].key, WS_KEY_MAX, "job/%s", spec->id);
	call->ops[0].value = ws_record_spec(spec, WS_QUEUED, wall);
	ws_core_tick(c, now);
}

/* ---- poll ---- */

/* Some thousands are kept, the newest, so that asking again costs the state service nothing. */
#define WS_FINALS 4096

static void ws_final_keep(struct ws_core *c, const char *id, json_t *value)
{
	struct ws_final *f;
	enum ws_phase phase;
	uint32_t done, running;

	HASH_FIND_STR(c->finals, id, f);
	if (f || !ws_record_read_phase(value, &phase, &done, &running) ||
	    (phase != WS_DONE && phase != WS_CANCELLED))
		return;
	if (HASH_COUNT(c->finals) >= WS_FINALS) {
		f = c->finals; /* the oldest: the table keeps the order of adding */
		HASH_DEL(c->finals, f);
	} else {
		f = malloc(sizeof(*f));
	}
	if (!f)
		return;
	memset(f, 0, sizeof(*f));
	snprintf(f->id, sizeof(f->id), "%s", id);
	f->phase = phase;
	f->done = done;
	HASH_ADD_STR(c->finals, id, f);
}

static void ws_poll_old(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 200 && r->nkvs == 1)
		ws_final_keep(c, call->ctx_name, r->kvs[0].value);
	if (r->status == 200)
		ws_state_answer(c, call, r, true);
	else if (r->status == 404)
		ws_answer(c, call->ctx_n, 404, call->ctx_name, WS_QUEUED);
	else
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
}

static void ws_poll_got(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 404) { /* a job moves from job/ to old/ once and never back */
		call->ctx = NULL;
		ws_get(c, "old", call->ctx_name, call->ctx_n, ask, ws_poll_old);
		return;
	}
	if (r->status == 200)
		ws_state_answer(c, call, r, true);
	else
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
}

static void ws_poll_ask(struct ws_core *c, uint64_t token, const char *id, bool relayed,
			const char *prefix)
{
	struct ws_ask *ask = calloc(1, sizeof(*ask));

	if (!ask) {
		ws_answer(c, token, 503, id, WS_QUEUED);
		return;
	}
	ask->relayed = relayed;
	ws_get(c, prefix, id, token, ask, prefix[0] == 'j' ? ws_poll_got : ws_poll_old);
}

/*
 * Every node keeps a copy of what the live jobs' records say. Polls wait until a request that was
 * sent after they came has brought the copy up to date, and are then answered in one go: so an
 * answer is never older than one that another node gave, and the state service is asked a few times
 * a second however many poll.
 */
static struct ws_seen *ws_seen_put(struct ws_core *c, const char *id, uint64_t stamp)
{
	struct ws_seen *s;

	HASH_FIND_STR(c->seen, id, s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			abort();
		snprintf(s->id, sizeof(s->id), "%s", id);
		HASH_ADD_STR(c->seen, id, s);
	}
	s->stamp = stamp;
	return s;
}

/* The entry of a job of which we know more than the copy tells; NULL: the copy is as new. */
static struct ws_seen *ws_seen_note(struct ws_core *c, const char *id, uint64_t stamp)
{
	struct ws_seen *s;

	HASH_FIND_STR(c->seen, id, s);
	return stamp <= c->seen_rev || (s && stamp <= s->stamp) ? NULL : ws_seen_put(c, id, stamp);
}

static void ws_seen_drop(struct ws_core *c, struct ws_seen *s)
{
	HASH_DEL(c->seen, s);
	free(s);
}

static void ws_seen_event(struct ws_core *c, const struct ws_kv *kv)
{
	struct ws_seen *s;
	enum ws_phase phase;
	uint32_t done, running;
	const char *id = kv->key + 4;

	if (strncmp(kv->key, "job/", 4) || strlen(id) >= WS_ID_MAX)
		return;
	HASH_FIND_STR(c->seen, id, s);
	if (s && kv->stamp <= s->stamp)
		return;
	if (!kv->value) {
		if (s)
			ws_seen_drop(c, s);
		return;
	}
	s = ws_seen_put(c, id, kv->stamp);
	if (!ws_record_read_phase(kv->value, &phase, &done, &running)) {
		s->phase = WS_QUEUED; /* known at any rate */
		return;
	}
	s->phase = phase;
	s->done = done;
	s->running = running;
}

static void ws_seen_clear(struct ws_core *c)
{
	struct ws_seen *s, *t;

	HASH_ITER (hh, c->seen, s, t)
		ws_seen_drop(c, s);
	c->seen_ready = false;
	c->seen_rev = 0;
}

static void ws_polls_answer(struct ws_core *c, int status)
{
	struct ws_poll *p, *n;

	DL_FOREACH_SAFE (c->polls, p, n) {
		struct ws_seen *s;

		if (!p->asked)
			continue;
		DL_DELETE(c->polls, p);
		HASH_FIND_STR(c->seen, p->id, s);
		if (status != 200)
			ws_cannot(c, p->token, p->id, p->relayed, status);
		else if (s)
			ws_known_answer(c, p->token, p->id, s->phase, s->done, s->running, true);
		else /* not live by now: over, or never submitted */
			ws_poll_ask(c, p->token, p->id, p->relayed, "old");
		free(p);
	}
}

/* What a watch of the jobs brought, to the cache of their phases: only what is newer than it. */
void ws_cache_apply(struct ws_core *c, const struct ws_call *call, const struct ws_result *r)
{
	uint64_t held = c->seen_rev;

	if (!c->seen_ready || call->since > held)
		return;
	for (size_t i = 0; i < r->nkvs; i++)
		if (r->kvs[i].stamp > held)
			ws_seen_event(c, &r->kvs[i]);
	c->seen_rev = r->rev > held ? r->rev : held;
	c->seen_at = c->now;
}

static void ws_seen_news(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	c->seen_inflight = false;
	if (r->status != 429)
		ws_state_seen(c, r->status);
	if (r->status == 200) {
		ws_jobs_news(c, call, r);
		ws_polls_answer(c, 200);
	} else if (r->status == 410) { /* the copy is too old to be brought up to date */
		ws_seen_clear(c);
	} else if (r->status == 429) {
		struct ws_poll *p;

		DL_FOREACH (c->polls, p)
			p->asked = false; /* asked for again in a moment */
	} else {
		ws_polls_answer(c, r->status);
	}
}

static void ws_seen_from(struct ws_core *c, const char *after);

static void ws_seen_page(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (r->status != 200) {
		c->seen_inflight = false;
		c->seen_next = c->now + c->ttl / 4;
		return;
	}
	if (!call->after[0]) {
		struct ws_seen *s, *t;

		c->seen_rev = r->rev;
		HASH_ITER (hh, c->seen, s, t) /* noted meanwhile: the pages tell */
			if (s->stamp <= r->rev)
				ws_seen_drop(c, s);
	}
	for (size_t i = 0; i < r->nkvs; i++)
		ws_seen_event(c, &r->kvs[i]);
	if (r->more && r->nkvs) {
		ws_seen_from(c, r->kvs[r->nkvs - 1].key);
		return;
	}
	c->seen_inflight = false;
	c->seen_ready = true;
	c->seen_at = c->now;
}

static void ws_seen_from(struct ws_core *c, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_LIST, ws_seen_page);

	snprintf(call->key, sizeof(call->key), "job/");
	snprintf(call->after, sizeof(call->after), "%s", after);
	c->seen_inflight = true;
}

static void ws_seen_tick(struct ws_core *c)
{
	struct ws_poll *p, *n;
	struct ws_call *call;

	/* a peer is asked, or the user told, well before the user gives up */
	DL_FOREACH_SAFE (c->polls, p, n)
		if (c->now - p->at > WS_POLL_HOLD_S) {
			DL_DELETE(c->polls, p);
			ws_cannot(c, p->token, p->id, p->relayed, 0);
			free(p);
		} else {
			break;
		}
	if (c->seen_inflight || c->now < c->seen_next)
		return;
	if (!c->seen_ready) {
		ws_seen_clear(c);
		ws_seen_from(c, "");
		return;
	}
	if (!c->polls && c->now - c->seen_at < c->set->lease_s / 4)
		return;
	/* all nodes together spend a quarter of the requests allowed on this */
	c->seen_next = c->now + 4.0 * (double)(c->set->npeers + 1) / c->set->state_rps;
	c->seen_inflight = true;
	DL_FOREACH (c->polls, p)
		p->asked = true;
	call = ws_call(c, WS_CALL_WATCH, ws_seen_news);
	snprintf(call->key, sizeof(call->key), "job/");
	call->since = c->seen_rev;
}

void ws_core_poll(struct ws_core *c, double now, uint64_t token, const char *id, bool relayed)
{
	struct ws_poll *p;
	struct ws_final *f;

	if (now > c->now)
		c->now = now;
	HASH_FIND_STR(c->finals, id, f);
	if (f) {
		ws_known_answer(c, token, id, f->phase, f->done, 0, true);
		return;
	}
	if (!relayed && ws_state_refuses(c)) {
		ws_cannot(c, token, id, relayed, 503);
		return;
	}
	if (!c->seen_ready) {
		ws_poll_ask(c, token, id, relayed, "job");
		ws_core_tick(c, now);
		return;
	}
	p = calloc(1, sizeof(*p));
	if (!p) {
		ws_answer(c, token, 503, id, WS_QUEUED);
		return;
	}
	snprintf(p->id, sizeof(p->id), "%s", id);
	p->token = token;
	p->relayed = relayed;
	p->at = c->now;
	DL_APPEND(c->polls, p);
	ws_core_tick(c, now);
}

/* ---- abort ---- */

static void ws_abort_got(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_abort_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;

	if (r->status == 200) {
		ws_withdrawal_note(c, call->conds[0].key, r->rev);
		ws_answer(c, call->ctx_n, 200, call->ctx_name, WS_CANCELLED);
	} else if ((r->status == 409 || r->status == 400) && ++ask->tries < 8) {
		/* changed meanwhile, or larger than the limit of now: read it again */
		ask->split |= r->status == 400;
		call->ctx = NULL;
		ws_get(c, "job", call->ctx_name, call->ctx_n, ask, ws_abort_got);
		return;
	} else {
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed, r->status);
	}
}

/* The record as it is was refused: what does not fit goes to records of its own. */
static void ws_abort_split(struct ws_core *c, struct ws_call *w)
{
	size_t most = (size_t)c->set->txn_ops - 1, n, before = ws_record_size(w->ops[0].value);
	json_t **pieces = calloc(most + 1, sizeof(*pieces));

	if (!pieces)
		abort();
	ws_record_split(w->ops[0].value, ws_record_limit(c), pieces, most, &n);
	for (size_t i = 0; i < n; i++) {
		snprintf(w->ops[w->nops].key, WS_KEY_MAX, "more/%s/%zu", w->ctx_name, i);
		w->ops[w->nops++].value = pieces[i];
	}
	free(pieces);
	ws_log(c, WS_LOG_INFO,
	       "job %s: its record of %zu bytes was refused, withdrawn in %zu parts", w->ctx_name,
	       before, n + 1);
}

static void ws_abort_got(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_ask *ask = call->ctx;
	enum ws_phase phase;
	uint32_t done, running;
	struct ws_call *w;

	if (r->status == 404) {
		call->ctx = NULL;
		ws_get(c, "old", call->ctx_name, call->ctx_n, ask, ws_poll_old);
		return;
	}
	if (r->status != 200 || r->nkvs != 1 ||
	    !ws_record_read_phase(r->kvs[0].value, &phase, &done, &running)) {
		ws_cannot(c, call->ctx_n, call->ctx_name, ask->relayed,
			  r->status == 200 ? 500 : r->status);
		return;
	}
	if (phase == WS_DONE || phase == WS_CANCELLED) {
		if (phase == WS_CANCELLED)
			ws_withdrawal_note(c, call->key, r->kvs[0].stamp);
		ws_answer(c, call->ctx_n, 200, call->ctx_name, phase);
		return;
	}
	w = ws_call(c, WS_CALL_TXN, ws_abort_written);
	w->ctx = ask;
	call->ctx = NULL;
	w->ctx_n = call->ctx_n;
	snprintf(w->ctx_name, sizeof(w->ctx_name), "%s", call->ctx_name);
	w->conds = calloc(1, sizeof(*w->conds));
	w->ops = calloc((size_t)c->set->txn_ops, sizeof(*w->ops));
	if (!w->conds || !w->ops)
		abort();
	w->nconds = w->nops = 1;
	snprintf(w->conds[0].key, WS_KEY_MAX, "%s", call->key);
	w->conds[0].stamp = r->kvs[0].stamp;
	snprintf(w->ops[0].key, WS_KEY_MAX, "%s", call->key);
	w->ops[0].value = json_deep_copy(r->kvs[0].value);
	ws_record_withdraw(w->ops[0].value);
	if (ask->split)
		ws_abort_split(c, w);
}

void ws_core_abort(struct ws_core *c, double now, uint64_t token, const char *id, bool relayed)
{
	struct ws_ask *ask;

	if (now > c->now)
		c->now = now;
	ask = calloc(1, sizeof(*ask));
	if (!ask) {
		ws_answer(c, token, 503, id, WS_QUEUED);
		return;
	}
	ask->relayed = relayed;
	ws_get(c, "job", id, token, ask, ws_abort_got);
	ws_core_tick(c, now);
}

/* ---- machine types: needed before anything can be decided ---- */

static void ws_types_record(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	c->types_asked = false;
	if (r->status == 200 && r->nkvs == 1 && !c->ntypes)
		c->ntypes = ws_record_read_types(r->kvs[0].value, c->types);
	c->types_edition++;
	if (!c->ntypes)
		c->types_next = c->now + c->set->report_s / 2;
}

static void ws_types_cloud(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	if (r->status == 200 && r->ntypes) {
		for (size_t i = 0; i < r->ntypes; i++) {
			const struct ws_type *have = ws_type_find(c, r->types[i].name);

			if (have) /* prices move; pointers to types stay good */
				c->types[have - c->types] = r->types[i];
			else if (c->ntypes < WS_MAX_TYPES)
				c->types[c->ntypes++] = r->types[i];
			else
				ws_log(c, WS_LOG_ERROR, "machine type %s is left out: %d are kept",
				       r->types[i].name, WS_MAX_TYPES);
		}
		c->types_edition++;
		c->types_asked = false;
		c->types_next = c->now + c->set->lease_s * 8;
		c->place_wanted = true;
		return;
	}
	if (!c->ntypes) { /* the cloud is down: an earlier leader wrote them down */
		struct ws_call *g = ws_call(c, WS_CALL_GET, ws_types_record);

		snprintf(g->key, sizeof(g->key), "types");
		return;
	}
	c->types_asked = false;
	c->types_next = c->now + c->set->lease_s;
}

void ws_requests_tick(struct ws_core *c)
{
	struct ws_redirect *d, *t;

	ws_seen_tick(c);
	ws_peers_tick(c);
	if (!c->types_asked && c->now >= c->types_next && (!c->ntypes || c->role == WS_LEADER)) {
		c->types_asked = true;
		ws_call(c, WS_CALL_TYPES, ws_types_cloud);
	}
	if (c->now < c->redirects_next)
		return;
	c->redirects_next = c->now + c->set->lease_s / 4;
	HASH_ITER (hh, c->redirects, d, t)
		if (c->now - d->at > c->set->lease_s) {
			HASH_DEL(c->redirects, d);
			free(d);
		}
}

void ws_requests_free(struct ws_core *c)
{
	struct ws_redirect *d, *t;
	struct ws_poll *p, *n;

	struct ws_final *f, *fn;

	ws_seen_clear(c);
	DL_FOREACH_SAFE (c->polls, p, n) {
		DL_DELETE(c->polls, p);
		free(p);
	}
	HASH_ITER (hh, c->finals, f, fn) {
		HASH_DEL(c->finals, f);
		free(f);
	}

	HASH_ITER (hh, c->redirects, d, t) {
		HASH_DEL(c->redirects, d);
		free(d);
	}
}

void ws_report_answer(struct ws_core *c, uint64_t token, int status, const char *leader)
{
	struct ws_action *a = ws_act(c, WS_ACT_ANSWER_REPORT);

	a->token = token;
	a->status = status;
	snprintf(a->name, sizeof(a->name), "%s", leader ? leader : "");
}

/*
 * A worker reports to a node that does not lead. Its first report is passed on, so that its lease
 * is renewed and the leader hears of it at once; with the second it is sent to the leader; one that
 * is back after that could not get through, and its reports are passed on from then on.
 */
void ws_follower_report(struct ws_core *c, uint64_t token, const struct ws_report *r, bool relayed)
{
	struct ws_redirect *d;
	struct ws_action *a;

	if (relayed || !c->leader[0] || !strcmp(c->leader, c->set->node) || ws_cut_off(c)) {
		ws_report_answer(c, token, 503, NULL);
		return;
	}
	HASH_FIND_STR(c->redirects, r->machine, d);
	if (!d) {
		d = calloc(1, sizeof(*d));
		if (!d)
			abort();
		snprintf(d->machine, sizeof(d->machine), "%s", r->machine);
		HASH_ADD_STR(c->redirects, machine, d);
	}
	if (d->stamp != c->leader_stamp) {
		d->stamp = c->leader_stamp;
		d->seen = 0;
	}
	d->at = c->now;
	if (d->seen++ == 1) {
		ws_report_answer(c, token, 421, c->leader);
		return;
	}
	a = ws_act(c, WS_ACT_RELAY);
	a->token = token;
	a->pinned = d->seen > 2;
	snprintf(a->name, sizeof(a->name), "%s", c->leader);
}

/*
 * ---- testimony: does the state service refuse us right now, and what did we tell users? ----
 *
 * The copy of the live jobs is complete up to a revision that was read in this life of the process,
 * and holds what we confirmed after it: so it names every withdrawal that we, in this life or an
 * earlier one, told a user of. Without such a copy we can't vouch for anything.
 */

struct ws_testimony { /* what the asker wants to know, while our own question is under way */
	uint64_t leader, since;
	bool lists; /* it takes in a list */
	char after[WS_ID_MAX];
};

static int ws_withdrawal_cmp(const void *a, const void *b)
{
	const struct ws_withdrawal *x = a, *y = b;

	return x->stamp != y->stamp ? (x->stamp < y->stamp ? -1 : 1) : strcmp(x->job, y->job);
}

/*
 * Jobs withdrawn after a revision, the first ones by stamp and name, from behind `after` on where
 * that is one of the revision itself. False: the copy can't tell.
 */
bool ws_withdrawn_since(struct ws_core *c, uint64_t since, const char *after,
			struct ws_withdrawal **list, size_t *n, size_t most, bool *more)
{
	struct ws_withdrawal from = {.stamp = since};
	struct ws_seen *s, *t;
	size_t cap = 0;

	*list = NULL;
	*n = 0;
	*more = false;
	if (!c->seen_ready)
		return false;
	snprintf(from.job, sizeof(from.job), "%s", after);
	HASH_ITER (hh, c->seen, s, t) {
		struct ws_withdrawal w = {.stamp = s->stamp};

		if (s->phase != WS_CANCELLED || s->stamp < since ||
		    (!after[0] && s->stamp == since))
			continue;
		snprintf(w.job, sizeof(w.job), "%s", s->id);
		if (after[0] && ws_withdrawal_cmp(&w, &from) <= 0)
			continue;
		if (*n == cap) {
			cap = cap ? 2 * cap : 16;
			*list = realloc(*list, cap * sizeof(**list));
			if (!*list)
				abort();
		}
		(*list)[(*n)++] = w;
	}
	if (*n)
		qsort(*list, *n, sizeof(**list), ws_withdrawal_cmp);
	*more = *n > most;
	*n = *more ? most : *n;
	return true;
}

static void ws_testify_done(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_action *a = ws_act(c, WS_ACT_ANSWER_TESTIFY);
	const struct ws_testimony *q = call->ctx;

	a->token = call->ctx_n;
	a->status = 200;
	/* silence is no testimony, and neither is the word of one that leads itself or knows of a
	 * later leader */
	if (r->status != 503 || c->role == WS_LEADER || c->role == WS_LOADING ||
	    (q->lists && c->leader_stamp > q->leader))
		return;
	a->vouched = ws_withdrawn_since(c, q->since, q->after, &a->withdrawn, &a->nwithdrawn,
					WS_TESTIMONY_MAX, &a->more);
	/* who can't take in the list is not told that all is as it was unless there is none */
	if (q->lists || (a->vouched && !a->nwithdrawn))
		a->status = 503;
}

static void ws_testify(struct ws_core *c, double now, uint64_t token, const struct ws_testimony *q)
{
	struct ws_testimony *ask = malloc(sizeof(*ask));
	struct ws_call *call;

	if (!ask)
		abort();
	*ask = *q;
	if (now > c->now)
		c->now = now;
	call = ws_call(c, WS_CALL_GET, ws_testify_done);
	snprintf(call->key, sizeof(call->key), "leader");
	call->ctx = ask;
	call->ctx_n = token;
	call->urgent = true;
}

void ws_core_vouch(struct ws_core *c, double now, uint64_t token, uint64_t leader, uint64_t since,
		   const char *after)
{
	struct ws_testimony q = {.leader = leader, .since = since, .lists = true};

	if (now > c->now)
		c->now = now;
	/* while the state service refuses us no watch tells that we were followed */
	if ((c->role == WS_LEADER || c->role == WS_LOADING) && leader > c->epoch >> WS_EPOCH_SHIFT)
		ws_step_down(c, "one that leads since asks us");
	snprintf(q.after, sizeof(q.after), "%s", after);
	ws_testify(c, now, token, &q);
}

void ws_core_testify(struct ws_core *c, double now, uint64_t token)
{
	ws_testify(c, now, token, &(struct ws_testimony){0});
}
