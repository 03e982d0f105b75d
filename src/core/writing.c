/* The leader's records: what is due, in one transaction at a time, within its share of changes. */
#include "internal.h"

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
		/* pieces for which there is no room now are found as orphaned parts by the next
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

/* A transaction of the leader, with room for so many changes, conditioned on its key. */
static struct ws_call *ws_flush_begin(struct ws_core *c, size_t most)
{
	struct ws_call *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	t->conds = calloc(2 * most + 2, sizeof(*t->conds));
	t->ops = calloc(most + 1, sizeof(*t->ops));
	if (!t->conds || !t->ops)
		abort();
	snprintf(t->conds[0].key, WS_KEY_MAX, "leader");
	t->conds[0].stamp = c->epoch >> WS_EPOCH_SHIFT;
	t->nconds = 1;
	return t;
}

/* What is written once: the owned machines, and the machine types. */
static void ws_flush_once(struct ws_core *c, struct ws_call *t)
{
	json_t *v;

	if (c->owned_seen && !c->owned_known && !c->owned_writing) {
		ws_put(t, "", "owned", 0, json_pack("{s:s}", "upto", c->owned_upto));
		c->owned_writing = true;
	}
	if (c->types_saved || !c->ntypes)
		return;
	v = ws_record_types(c->types, c->ntypes);
	if ((double)ws_record_size(v) < c->value_most) {
		snprintf(t->ops[t->nops].key, WS_KEY_MAX, "types");
		t->ops[t->nops++].value = v;
	} else { /* one written under a higher limit stays readable */
		ws_log(c, WS_LOG_ERROR, "the record of machine types does not fit a value");
		json_decref(v);
		c->types_saved = true;
	}
}

/* Parts of records whose jobs are over are deleted; the next sweep forgets them here. */
static void ws_flush_orphaned_parts(struct ws_core *c, struct ws_call *t, size_t most)
{
	for (struct ws_tombstone *s = c->orphaned_parts; s && t->nops < most; s = s->hh.next) {
		if (s->until <= c->now)
			continue;
		snprintf(t->ops[t->nops++].key, WS_KEY_MAX, "%s", s->name);
		s->until = c->now;
	}
}

static void ws_flush_rentals(struct ws_core *c, struct ws_call *t, size_t most, size_t *bytes)
{
	struct ws_rental *r, *rn;

	DL_FOREACH_SAFE2 (c->dirty_rentals, r, rn, dnext) {
		if (t->nops == most || *bytes > WS_TRANSACTION_BYTES)
			break;
		if (r->writing)
			continue;
		json_t *v = r->state == WS_RENTAL_DROP ? NULL : ws_record_rental(r);

		DL_DELETE2(c->dirty_rentals, r, dprev, dnext);
		r->dirty = false;
		if (v && (double)ws_record_size(v) >= c->value_most) {
			json_decref(v); /* of a higher limit: when it is shorter */
			continue;
		}
		r->writing = true;
		c->wrote[WS_WROTE_RENTALS]++;
		*bytes += 512 + r->nhosts * 64;
		ws_put(t, "rental/", r->booking, r->stamp, v);
	}
}

static void ws_flush_jobs(struct ws_core *c, struct ws_call *t, size_t most, size_t *bytes)
{
	struct ws_job *j, *jn;

	for (int rank = 2; rank >= 0; rank--)
		DL_FOREACH_SAFE2 (c->dirty_jobs, j, jn, dnext) {
			if (t->nops + 2 > most || *bytes > WS_TRANSACTION_BYTES)
				break;
			if (ws_job_rank(c, j) == rank && ws_job_due(c, j))
				ws_flush_job(c, t, j, bytes);
		}
}

/* One record of the fleet at a time: what users wait for goes before. */
static void ws_flush_fleet(struct ws_core *c, struct ws_call *t, size_t most, size_t *bytes)
{
	if (t->nops >= most || *bytes >= WS_TRANSACTION_BYTES || c->now < c->chunk_next)
		return;
	for (int i = 0; i < c->nchunks; i++) {
		struct ws_chunk *k = &c->chunks[i];
		char name[16];

		if (!ws_chunk_due(c, k))
			continue;
		k->dirty = k->images = false;
		k->writing = true;
		c->wrote[WS_WROTE_FLEET]++;
		c->chunk_next = c->now + 8 / c->set->state_write_rps;
		*bytes += (size_t)c->value_most;
		snprintf(name, sizeof(name), "%d", i);
		ws_put(t, "fleet/", name, k->stamp, ws_record_chunk(c, i));
		return;
	}
}

/* One transaction at a time, with what is due: bookings, starts and ends, then the rest. */
void ws_flush(struct ws_core *c)
{
	size_t most = (size_t)c->ops_most, bytes = 0;
	struct ws_call *t;

	ws_flush_budget(c);
	if (c->flushing || c->now < c->flush_next || !ws_entitled(c) || c->in_outage ||
	    c->flush_tokens < 1 || (!c->flush_wanted && c->now < c->flush_look))
		return;
	c->flush_wanted = false;
	c->flush_look = c->now + c->ttl / 64;
	ws_flush_log(c);
	t = ws_flush_begin(c, most);
	ws_flush_once(c, t);
	ws_flush_orphaned_parts(c, t, most);
	ws_flush_rentals(c, t, most, &bytes);
	ws_subsystems_flush(c, t, most, &bytes, true);
	ws_flush_jobs(c, t, most, &bytes);
	ws_flush_fleet(c, t, most, &bytes);
	ws_subsystems_flush(c, t, most, &bytes, false);
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
