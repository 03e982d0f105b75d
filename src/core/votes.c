/*
 * Outage votes: does the state service refuse us right now, and what did we tell users?
 *
 * The copy of the live jobs is complete up to a revision that was read in this life of the process,
 * and holds what we confirmed after it: so it names every withdrawal that we, in this life or an
 * earlier one, told a user of. Without such a copy we can't vouch for anything.
 */
#include "requests.h"

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
