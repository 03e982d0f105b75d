/* Users: what they ask, and the rules for the answers. */
#include "sim_parts.h"

void sim_ask(struct sim *s, int node, struct sim_job *j, int kind, uint64_t token, bool relayed)
{
	struct sim_node *nd = &s->nodes[node];
	double t = s->now * (1 + nd->skew);

	if (kind == ASK_SUBMIT)
		nd->v->submit(nd->core, t, s->now + 1e9, token, &j->spec, relayed);
	else if (kind == ASK_POLL)
		nd->v->poll(nd->core, t, token, j->spec.id, relayed);
	else
		nd->v->abort(nd->core, t, token, j->spec.id, relayed);
}

/* What a user still waits for under this token, if anything. */
int sim_user_asked(struct sim *s, uint64_t token)
{
	struct sim_job *j = &s->jobs[token & (SIM_JOBS - 1)];

	if (token == j->pending)
		return j->pending_kind;
	for (size_t i = 0; i < SIM_LOOKS; i++)
		if (s->looks[i].token == token)
			return s->looks[i].kind;
	return 0;
}

/* A look at a job, of one node: the answer must not be older than what was told before it began. */
static void look(struct sim *s, int node, struct sim_job *j, int kind)
{
	struct sim_look *l = &s->looks[s->nlooks++ % SIM_LOOKS];

	l->token = (++s->next_token << SIM_TOKEN_SHIFT) | (uint64_t)(j - s->jobs) | 1ULL << 59;
	l->kind = kind;
	l->accepted = j->accepted;
	l->done = j->done;
	l->cancelled = j->cancelled;
	s->polls += kind == ASK_POLL;
	sim_ask(s, node, j, kind, l->token, false);
}

/* Users who were just told something ask all nodes, and send the job again. */
void sim_look(struct sim *s, struct sim_job *j)
{
	for (int i = 0; i < s->nnodes; i++)
		if (s->nodes[i].up && s->now >= s->nodes[i].frozen) {
			look(s, i, j, ASK_POLL);
			look(s, i, j, ASK_SUBMIT);
		}
}

static void user_send(struct sim *s, struct sim_job *j, int kind)
{
	struct sim_node *nd;
	int tries = 0;

	do
		j->node = (j->node + 1) % s->nnodes;
	while ((!s->nodes[j->node].up || s->now < s->nodes[j->node].frozen) && ++tries < s->nnodes);
	nd = &s->nodes[j->node];
	if (!nd->up || s->now < nd->frozen)
		return;
	j->pending = (++s->next_token << SIM_TOKEN_SHIFT) | (uint64_t)(j - s->jobs);
	j->pending_kind = kind;
	j->pending_at = s->now;
	if (kind == ASK_SUBMIT)
		j->submitted = true;
	s->polls += kind == ASK_POLL;
	sim_ask(s, j->node, j, kind, j->pending, false);
}

void sim_user_answer(struct sim *s, const struct ws_action *a)
{
	struct sim_job *j = &s->jobs[a->token & (SIM_JOBS - 1)];
	struct sim_look known = {.token = a->token,
				 j->pending_kind,
				 j->accepted,
				 j->done,
				 j->cancelled},
			*l = NULL;
	bool news = false;

	if (a->token == j->pending) {
		l = &known;
		j->pending = 0;
	}
	for (size_t i = 0; i < SIM_LOOKS && !l; i++)
		if (s->looks[i].token == a->token) {
			known = s->looks[i];
			l = &known;
			s->looks[i].token = 0;
		}
	if (!l)
		return;
	if (a->status == 503 && a->retry_after < 1)
		sim_fail(s, "%s: a 503 without Retry-After", j->spec.id);
	if (l->kind == ASK_SUBMIT) {
		if (j->refused && (a->status == 200 || a->status == 201))
			sim_fail(s, "%s was refused, and is accepted", j->spec.id);
		j->refused |= a->status == 400 || a->status == 422;
		j->status = a->status;
	}
	if (l->kind == ASK_SUBMIT && (a->status == 200 || a->status == 201)) {
		news = !j->accepted;
		j->accepted = true;
	}
	if (a->status == 404 && l->accepted)
		sim_fail(s, "forgotten: %s", j->spec.id);
	if ((a->status == 422 || a->status == 400) && j->accepted)
		sim_fail(s, "forgotten: %s submitted again gets %d", j->spec.id, a->status);
	if (a->status == 200 && !j->submitted)
		sim_fail(s, "invented: %s", j->spec.id);
	if (a->status != 200 && a->status != 201)
		return;
	j->answered_at = s->now;
	if (strcmp(a->name, j->spec.id))
		sim_fail(s, "%s is answered for %s", a->name, j->spec.id);
	if (a->phase == WS_DONE && j->completed < j->spec.tasks)
		sim_fail(s, "not_done: %s is called done with %u of %u", j->spec.id, j->completed,
			 j->spec.tasks);
	if (l->done && a->phase != WS_DONE)
		sim_fail(s, "went_back: %s was done", j->spec.id);
	if (l->cancelled && a->phase != WS_CANCELLED)
		sim_fail(s, "went_back: %s was cancelled, now %d", j->spec.id, a->phase);
	if ((a->phase == WS_DONE && j->cancelled) || (a->phase == WS_CANCELLED && j->done))
		sim_fail(s, "went_back: %s is called done and cancelled", j->spec.id);
	if (a->phase == WS_CANCELLED && !j->abort_sent)
		sim_fail(s, "went_back: nobody cancelled %s", j->spec.id);
	if (a->phase == WS_DONE && !j->done) {
		j->done = true;
		j->told_done = s->now;
		news = true;
	}
	if (a->phase == WS_CANCELLED && !j->cancelled) {
		j->cancelled = true;
		j->told_cancelled = s->now;
		news = true;
	}
	if (news && s->now < s->looks_until) {
		sim_look(s, j);
		/* some call it off at once */
		if (!j->done && !j->cancelled && !j->abort_at && sim_rnd(s) < s->abort_share)
			j->abort_at = s->now;
	}
}

/* The last task of a job has just ended: a share of the users call it off in that moment. */
void sim_user_end(struct sim *s, struct sim_job *j)
{
	if (s->now < s->end_until && !j->abort_at && sim_rnd(s) < s->end_share) {
		j->abort_at = s->now;
		j->next_try = 0;
	}
}

void sim_users_step(struct sim *s)
{
	for (int i = 0; i < s->njobs; i++) {
		struct sim_job *j = &s->jobs[i];

		if (j->pending && s->now - j->pending_at > 5)
			j->pending = 0;
		if (j->pending || s->now < j->next_try)
			continue;
		if (j->submit_at >= 0 && s->now >= j->submit_at && !j->accepted &&
		    j->status != 422) {
			user_send(s, j, ASK_SUBMIT);
			j->next_try = s->now + 1;
		} else if (j->abort_at > 0 && s->now >= j->abort_at && !j->cancelled && !j->done) {
			j->abort_sent = true;
			user_send(s, j, ASK_ABORT);
			j->next_try = s->now + 1;
		} else if ((j->accepted || j->submit_at < 0) && s->now >= j->next_poll) {
			user_send(s, j, ASK_POLL);
			j->next_poll = s->now + 2;
		}
	}
}
