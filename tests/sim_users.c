/* Users: what they ask, and the rules for the answers. */
#include "sim_parts.h"

void sim_ask(struct sim *sim, int node, struct sim_job *job, int kind, uint64_t request_id,
	     bool forwarded)
{
	struct sim_node *other_node = &sim->nodes[node];
	double t = sim->now * (1 + other_node->skew);

	if (kind == ASK_SUBMIT)
		other_node->version->submit(other_node->core, t, sim->now + 1e9, request_id,
					    &job->spec, forwarded);
	else if (kind == ASK_POLL)
		other_node->version->poll(other_node->core, t, request_id, job->spec.id, forwarded);
	else
		other_node->version->abort(other_node->core, t, request_id, job->spec.id,
					   forwarded);
}

/* What a user still waits for under this token, if anything. */
int sim_user_asked(struct sim *sim, uint64_t request_id)
{
	struct sim_job *job = &sim->jobs[request_id & (SIM_JOBS - 1)];

	if (request_id == job->pending_request)
		return job->pending_kind;
	for (size_t i = 0; i < SIM_LOOKS; i++)
		if (sim->checks[i].token == request_id)
			return sim->checks[i].kind;
	return 0;
}

/* A look at a job, of one node: the answer must not be older than what was told before it began. */
static void look(struct sim *sim, int node, struct sim_job *job, int kind)
{
	struct sim_consistency_check *l = &sim->checks[sim->check_count++ % SIM_LOOKS];

	l->token =
	    (++sim->next_token << SIM_TOKEN_SHIFT) | (uint64_t)(job - sim->jobs) | 1ULL << 59;
	l->kind = kind;
	l->accepted = job->accepted;
	l->done = job->done;
	l->cancelled = job->cancelled;
	sim->polls += kind == ASK_POLL;
	sim_ask(sim, node, job, kind, l->token, false);
}

/* Users who were just told something ask all nodes, and send the job again. */
void sim_look(struct sim *sim, struct sim_job *job)
{
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].is_up && sim->now >= sim->nodes[i].frozen) {
			look(sim, i, job, ASK_POLL);
			look(sim, i, job, ASK_SUBMIT);
		}
}

static void user_send(struct sim *sim, struct sim_job *job, int kind)
{
	struct sim_node *node;
	int tries = 0;

	do
		job->node = (job->node + 1) % sim->node_count;
	while ((!sim->nodes[job->node].is_up || sim->now < sim->nodes[job->node].frozen) &&
	       ++tries < sim->node_count);
	node = &sim->nodes[job->node];
	if (!node->is_up || sim->now < node->frozen)
		return;
	job->pending_request = (++sim->next_token << SIM_TOKEN_SHIFT) | (uint64_t)(job - sim->jobs);
	job->pending_kind = kind;
	job->pending_at = sim->now;
	if (kind == ASK_SUBMIT)
		job->submitted = true;
	sim->polls += kind == ASK_POLL;
	sim_ask(sim, job->node, job, kind, job->pending_request, false);
}

void sim_user_answer(struct sim *sim, const struct ws_effect *effect)
{
	struct sim_job *job = &sim->jobs[effect->request_id & (SIM_JOBS - 1)];
	struct sim_consistency_check known = {.token = effect->request_id,
					      job->pending_kind,
					      job->accepted,
					      job->done,
					      job->cancelled},
				     *l = NULL;
	bool news = false;

	if (effect->request_id == job->pending_request) {
		l = &known;
		job->pending_request = 0;
	}
	for (size_t i = 0; i < SIM_LOOKS && !l; i++)
		if (sim->checks[i].token == effect->request_id) {
			known = sim->checks[i];
			l = &known;
			sim->checks[i].token = 0;
		}
	if (!l)
		return;
	if (effect->status == 503 && effect->retry_after < 1)
		sim_fail(sim, "%s: a 503 without Retry-After", job->spec.id);
	if (l->kind == ASK_SUBMIT) {
		if (job->refused && (effect->status == 200 || effect->status == 201))
			sim_fail(sim, "%s was refused, and is accepted", job->spec.id);
		job->refused |= effect->status == 400 || effect->status == 422;
		job->status = effect->status;
	}
	if (l->kind == ASK_SUBMIT && (effect->status == 200 || effect->status == 201)) {
		news = !job->accepted;
		job->accepted = true;
	}
	if (effect->status == 404 && l->accepted)
		sim_fail(sim, "forgotten: %s", job->spec.id);
	if ((effect->status == 422 || effect->status == 400) && job->accepted)
		sim_fail(sim, "forgotten: %s submitted again gets %d", job->spec.id,
			 effect->status);
	if (effect->status == 200 && !job->submitted)
		sim_fail(sim, "invented: %s", job->spec.id);
	if (effect->status != 200 && effect->status != 201)
		return;
	job->answered_at = sim->now;
	if (strcmp(effect->name, job->spec.id))
		sim_fail(sim, "%s is answered for %s", effect->name, job->spec.id);
	if (effect->phase == WS_JOB_DONE && job->completed < job->spec.tasks)
		sim_fail(sim, "not_done: %s is called done with %u of %u", job->spec.id,
			 job->completed, job->spec.tasks);
	if (l->done && effect->phase != WS_JOB_DONE)
		sim_fail(sim, "went_back: %s was done", job->spec.id);
	if (l->cancelled && effect->phase != WS_JOB_CANCELLED)
		sim_fail(sim, "went_back: %s was cancelled, now %d", job->spec.id, effect->phase);
	if ((effect->phase == WS_JOB_DONE && job->cancelled) ||
	    (effect->phase == WS_JOB_CANCELLED && job->done))
		sim_fail(sim, "went_back: %s is called done and cancelled", job->spec.id);
	if (effect->phase == WS_JOB_CANCELLED && !job->abort_sent)
		sim_fail(sim, "went_back: nobody cancelled %s", job->spec.id);
	if (effect->phase == WS_JOB_DONE && !job->done) {
		job->done = true;
		job->told_done = sim->now;
		news = true;
	}
	if (effect->phase == WS_JOB_CANCELLED && !job->cancelled) {
		job->cancelled = true;
		job->told_cancelled = sim->now;
		news = true;
	}
	if (news && sim->now < sim->looks_until) {
		sim_look(sim, job);
		/* some call it off at once */
		if (!job->done && !job->cancelled && !job->abort_at &&
		    sim_rnd(sim) < sim->abort_share)
			job->abort_at = sim->now;
	}
}

/* The last task of a job has just ended: a share of the users call it off in that moment. */
void sim_user_end(struct sim *sim, struct sim_job *job)
{
	if (sim->now < sim->end_until && !job->abort_at && sim_rnd(sim) < sim->end_share) {
		job->abort_at = sim->now;
		job->next_try = 0;
	}
}

void sim_users_step(struct sim *sim)
{
	for (int i = 0; i < sim->job_count; i++) {
		struct sim_job *job = &sim->jobs[i];

		if (job->pending_request && sim->now - job->pending_at > 5)
			job->pending_request = 0;
		if (job->pending_request || sim->now < job->next_try)
			continue;
		if (job->submit_at >= 0 && sim->now >= job->submit_at && !job->accepted &&
		    job->status != 422) {
			user_send(sim, job, ASK_SUBMIT);
			job->next_try = sim->now + 1;
		} else if (job->abort_at > 0 && sim->now >= job->abort_at && !job->cancelled &&
			   !job->done) {
			job->abort_sent = true;
			user_send(sim, job, ASK_ABORT);
			job->next_try = sim->now + 1;
		} else if ((job->accepted || job->submit_at < 0) && sim->now >= job->next_poll) {
			user_send(sim, job, ASK_POLL);
			job->next_poll = sim->now + 2;
		}
	}
}
