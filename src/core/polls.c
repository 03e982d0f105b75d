/* Polls of users, and the copy of the live jobs' records that every node answers them from. */
#include "requests.h"

/* The protocol: a user waits 2 s for the answer to a poll; a peer may have to be asked as well. */
#define WS_POLL_HOLD_S 0.8

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

void ws_poll_old(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
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
struct ws_seen *ws_seen_note(struct ws_core *c, const char *id, uint64_t stamp)
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
	struct ws_seen *s = c->seen, *next;

	HASH_CLEAR(hh, c->seen);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
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
		ws_job_watch_apply(c, call, r);
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

void ws_seen_tick(struct ws_core *c)
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

void ws_polls_free(struct ws_core *c)
{
	struct ws_poll *p, *next_poll;
	struct ws_final *f = c->finals, *next_final;

	ws_seen_clear(c);
	DL_FOREACH_SAFE (c->polls, p, next_poll) {
		DL_DELETE(c->polls, p);
		free(p);
	}
	HASH_CLEAR(hh, c->finals);
	for (; f; f = next_final) {
		next_final = f->hh.next;
		free(f);
	}
}
