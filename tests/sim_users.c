/* Users: what they ask, and the rules for the answers. */
#include "sim_parts.h"

static void user_send(struct sim *s, struct sim_job *j, int kind)
{
	struct sim_node *nd;
	int tries = 0;

	do
		j->node = (j->node + 1) % s->nnodes;
	while (!s->nodes[j->node].up && ++tries < s->nnodes);
	nd = &s->nodes[j->node];
	if (!nd->up)
		return;
	j->pending = (++s->next_token << 12) | (uint64_t)(j - s->jobs);
	j->pending_kind = kind;
	j->pending_at = s->now;
	if (kind == ASK_SUBMIT) {
		j->submitted = true;
		nd->v->submit(nd->core, s->now * (1 + nd->skew), s->now + 1e9, j->pending, &j->spec,
			      false);
	} else if (kind == ASK_POLL) {
		s->polls++;
		nd->v->poll(nd->core, s->now * (1 + nd->skew), j->pending, j->spec.id, false);
	} else {
		nd->v->abort(nd->core, s->now * (1 + nd->skew), j->pending, j->spec.id, false);
	}
}

void sim_user_answer(struct sim *s, const struct ws_action *a)
{
	struct sim_job *j = &s->jobs[a->token & (SIM_JOBS - 1)];
	int kind = j->pending_kind;

	if (a->token != j->pending)
		return;
	j->pending = 0;
	if (a->status == 503 && a->retry_after < 1)
		sim_fail(s, "%s: a 503 without Retry-After", j->spec.id);
	if (kind == ASK_SUBMIT)
		j->status = a->status;
	if (kind == ASK_SUBMIT && (a->status == 200 || a->status == 201))
		j->accepted = true;
	if (a->status == 404 && j->accepted)
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
	if (j->done && a->phase != WS_DONE)
		sim_fail(s, "went_back: %s was done", j->spec.id);
	if (j->cancelled && a->phase != WS_CANCELLED)
		sim_fail(s, "went_back: %s was cancelled, now %d", j->spec.id, a->phase);
	if (a->phase == WS_CANCELLED && !j->abort_sent)
		sim_fail(s, "went_back: nobody cancelled %s", j->spec.id);
	if (a->phase == WS_DONE && !j->done) {
		j->done = true;
		j->told_done = s->now;
	}
	if (a->phase == WS_CANCELLED && !j->cancelled) {
		j->cancelled = true;
		j->told_cancelled = s->now;
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
