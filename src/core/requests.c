/*
 * What users ask of any node. Every answer that binds the service (accepted, done, cancelled) is
 * read from or written to the state service first; a node that can't tell says 503 at once.
 */
#include "requests.h"

void ws_answer(struct ws_core *c, uint64_t token, int status, const char *id, enum ws_phase phase)
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

void ws_peers_tick(struct ws_core *c)
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
void ws_cannot(struct ws_core *c, uint64_t token, const char *id, bool relayed, int status)
{
	if (!relayed && !ws_cut_off(c) && (status == 503 || status == 0) && c->set->npeers) {
		struct ws_action *a = ws_act(c, WS_ACT_RELAY);

		a->token = token;
		return;
	}
	ws_answer(c, token, 503, id, WS_QUEUED);
}

struct ws_call *ws_get(struct ws_core *c, const char *prefix, const char *id, uint64_t token,
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
bool ws_state_refuses(const struct ws_core *c)
{
	return c->state_bad_at > c->state_ok_at && c->now - c->state_bad_at < c->set->lease_s / 4;
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

void ws_known_answer(struct ws_core *c, uint64_t token, const char *id, enum ws_phase phase,
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

void ws_state_answer(struct ws_core *c, struct ws_call *call, const struct ws_result *r, bool poll)
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

/* ---- all of them ---- */

void ws_requests_tick(struct ws_core *c)
{
	ws_seen_tick(c);
	ws_peers_tick(c);
	ws_types_tick(c);
	ws_redirects_tick(c);
}

void ws_requests_free(struct ws_core *c)
{
	ws_polls_free(c);
	ws_redirects_free(c);
}
