/* Simulated users: their requests to the nodes, and the checks of the answers. */
#include "sim_users.h"
#include "../src/io/http_status.h"
#include "sim_nodes.h"

#define ANSWER_TIMEOUT_S 5
#define RETRY_S 1
#define POLL_S 2
#define WALL_CLOCK_OFFSET_S 1e9 /* added to the simulation time */

/* The job state that answers had reported to the user before a request was sent. */
struct reported_state {
	int kind; /* of the request */
	bool accepted, done, cancelled;
};

/* ---- requests ---- */

void sim_user_send_request(struct sim *sim, int node, const struct sim_job *job, int kind,
			   uint64_t request_id, bool forwarded)
{
	struct sim_node *target = &sim->nodes[node];
	double now = sim_node_time(sim, target);

	if (kind == SIM_REQUEST_SUBMIT)
		target->version->submit(target->core, now, sim->now + WALL_CLOCK_OFFSET_S,
					request_id, &job->spec, forwarded);
	else if (kind == SIM_REQUEST_POLL)
		target->version->query_status(target->core, now, request_id, job->spec.id,
					      forwarded);
	else
		target->version->cancel(target->core, now, request_id, job->spec.id, forwarded);
}

int sim_user_pending_kind(const struct sim *sim, uint64_t request_id)
{
	const struct sim_job *job = &sim->jobs[request_id & (SIM_JOBS - 1)];

	if (request_id == job->pending_request)
		return job->pending_kind;
	for (size_t i = 0; i < SIM_CONSISTENCY_CHECKS; i++)
		if (sim->consistency_checks[i].request_id == request_id)
			return sim->consistency_checks[i].kind;
	return 0;
}

static uint64_t new_request_id(struct sim *sim, const struct sim_job *job)
{
	return (++sim->last_request_id << SIM_REQUEST_ID_SHIFT) | (uint64_t)(job - sim->jobs);
}

/*
 * Sends a consistency check to one node. The answer must not contradict what earlier answers had
 * reported when the check was sent.
 */
static void send_consistency_check(struct sim *sim, int node, struct sim_job *job, int kind)
{
	struct sim_consistency_check *check =
	    &sim->consistency_checks[sim->consistency_check_count++ % SIM_CONSISTENCY_CHECKS];

	check->request_id = new_request_id(sim, job) | SIM_ID_CONSISTENCY_CHECK;
	check->kind = kind;
	check->accepted = job->accepted;
	check->done = job->done;
	check->cancelled = job->cancelled;
	sim->status_queries += kind == SIM_REQUEST_POLL;
	sim_user_send_request(sim, node, job, kind, check->request_id, false);
}

static bool is_reachable(const struct sim *sim, const struct sim_node *node)
{
	return node->is_up && sim->now >= node->frozen_until;
}

void sim_user_check_all_nodes(struct sim *sim, struct sim_job *job)
{
	for (int i = 0; i < sim->node_count; i++)
		if (is_reachable(sim, &sim->nodes[i])) {
			send_consistency_check(sim, i, job, SIM_REQUEST_POLL);
			send_consistency_check(sim, i, job, SIM_REQUEST_SUBMIT);
			if (job->cancel_sent)
				send_consistency_check(sim, i, job, SIM_REQUEST_CANCEL);
		}
}

/* Sends a request to the next reachable node in round-robin order. */
static void send_request(struct sim *sim, struct sim_job *job, int kind)
{
	int tries = 0;

	do
		job->node = (job->node + 1) % sim->node_count;
	while (!is_reachable(sim, &sim->nodes[job->node]) && ++tries < sim->node_count);
	if (!is_reachable(sim, &sim->nodes[job->node]))
		return;
	job->pending_request = new_request_id(sim, job);
	job->pending_kind = kind;
	job->pending_at = sim->now;
	if (kind == SIM_REQUEST_SUBMIT)
		job->submitted = true;
	sim->status_queries += kind == SIM_REQUEST_POLL;
	sim_user_send_request(sim, job->node, job, kind, job->pending_request, false);
}

/* ---- answers ---- */

/*
 * Removes a pending request and stores in `known` what had been reported when it was sent. Returns
 * false if no such request is pending.
 */
static bool remove_pending(struct sim *sim, struct sim_job *job, uint64_t request_id,
			   struct reported_state *known)
{
	if (request_id == job->pending_request) {
		*known = (struct reported_state){job->pending_kind, job->accepted, job->done,
						 job->cancelled};
		job->pending_request = 0;
		return true;
	}
	for (size_t i = 0; i < SIM_CONSISTENCY_CHECKS; i++) {
		struct sim_consistency_check *check = &sim->consistency_checks[i];

		if (check->request_id != request_id)
			continue;
		*known = (struct reported_state){check->kind, check->accepted, check->done,
						 check->cancelled};
		check->request_id = 0;
		return true;
	}
	return false;
}

static bool is_success(const struct ws_effect *answer)
{
	return answer->answer == WS_ANSWER_OK || answer->answer == WS_ANSWER_ACCEPTED;
}

static bool is_refusal(const struct ws_effect *answer)
{
	return answer->answer == WS_ANSWER_NEVER_RUNNABLE;
}

/* Records the answer to a submission. Returns whether it is the first to accept the job. */
static bool record_submit_answer(struct sim *sim, struct sim_job *job,
				 const struct ws_effect *answer)
{
	bool is_state_change;

	if (job->refused && is_success(answer))
		sim_fail(sim, "contradiction: job %s was refused earlier, and is accepted now",
			 job->spec.id);
	job->refused |= is_refusal(answer);
	job->status = ws_http_status_of_answer(answer->answer);
	if (!is_success(answer))
		return false;
	is_state_change = !job->accepted;
	job->accepted = true;
	return is_state_change;
}

/* Checks the rules that hold for all answers. */
static void check_answer(struct sim *sim, const struct sim_job *job, const struct ws_effect *answer,
			 const struct reported_state *known)
{
	if (answer->answer == WS_ANSWER_NOT_FOUND && known->accepted)
		sim_fail(sim, "lost job: %s was accepted, and is not found now", job->spec.id);
	if (is_refusal(answer) && job->accepted)
		sim_fail(sim, "lost job: %s was accepted, and its resubmission gets status %d",
			 job->spec.id, ws_http_status_of_answer(answer->answer));
	if (answer->answer == WS_ANSWER_OK && !job->submitted)
		sim_fail(sim, "unknown job: %s was never submitted, but is reported", job->spec.id);
}

/* Checks the rules for the phase that an answer reports. */
static void check_phase(struct sim *sim, const struct sim_job *job, const struct ws_effect *answer,
			const struct reported_state *known)
{
	bool is_done = answer->user.phase == WS_JOB_DONE;
	bool is_cancelled = answer->user.phase == WS_JOB_CANCELLED;

	if (strcmp(answer->user.job, job->spec.id) != 0)
		sim_fail(sim, "the answer names job %s instead of %s", answer->user.job,
			 job->spec.id);
	if (is_done && job->completed < job->spec.tasks)
		sim_fail(sim, "too early: job %s is reported done with %u of %u tasks",
			 job->spec.id, job->completed, job->spec.tasks);
	if (known->done && !is_done)
		sim_fail(sim, "contradiction: job %s was done earlier", job->spec.id);
	if (known->cancelled && !is_cancelled)
		sim_fail(sim, "contradiction: job %s was cancelled earlier, its phase is %d now",
			 job->spec.id, answer->user.phase);
	if ((is_done && job->cancelled) || (is_cancelled && job->done))
		sim_fail(sim, "contradiction: job %s is reported both done and cancelled",
			 job->spec.id);
	if (is_cancelled && !job->cancel_sent)
		sim_fail(sim, "contradiction: job %s is cancelled without a request", job->spec.id);
}

/* Records that a job is done or cancelled. Returns whether this is reported for the first time. */
static bool record_phase(struct sim *sim, struct sim_job *job, const struct ws_effect *answer)
{
	if (answer->user.phase == WS_JOB_DONE && !job->done) {
		job->done = true;
		job->reported_done_at = sim->now;
		return true;
	}
	if (answer->user.phase == WS_JOB_CANCELLED && !job->cancelled) {
		job->cancelled = true;
		job->reported_cancelled_at = sim->now;
		return true;
	}
	return false;
}

/* After a state change a user queries all nodes, and a share of the users cancel at once. */
static void react_to_state_change(struct sim *sim, struct sim_job *job)
{
	if (sim->now >= sim->consistency_checks_until)
		return;
	sim_user_check_all_nodes(sim, job);
	if (!job->done && !job->cancelled && !job->cancel_at && sim_random(sim) < sim->cancel_share)
		job->cancel_at = sim->now;
}

void sim_user_receive_answer(struct sim *sim, const struct ws_effect *effect)
{
	struct sim_job *job = &sim->jobs[effect->request_id & (SIM_JOBS - 1)];
	struct reported_state known;
	bool is_state_change = false;

	if (!remove_pending(sim, job, effect->request_id, &known))
		return;
	if (effect->answer == WS_ANSWER_UNAVAILABLE && effect->user.retry_after_s < 1)
		sim_fail(sim, "job %s: an answer of status 503 has no Retry-After", job->spec.id);
	if (known.kind == SIM_REQUEST_SUBMIT)
		is_state_change = record_submit_answer(sim, job, effect);
	check_answer(sim, job, effect, &known);
	if (!is_success(effect))
		return;
	job->answered_at = sim->now;
	check_phase(sim, job, effect, &known);
	is_state_change |= record_phase(sim, job, effect);
	if (is_state_change)
		react_to_state_change(sim, job);
}

void sim_user_job_ended(struct sim *sim, struct sim_job *job)
{
	if (sim->now < sim->cancel_on_completion_until && !job->cancel_at &&
	    sim_random(sim) < sim->cancel_on_completion_share) {
		job->cancel_at = sim->now;
		job->next_try_at = 0;
	}
}

/* ---- simulation steps ---- */

static void user_step(struct sim *sim, struct sim_job *job)
{
	if (job->pending_request && sim->now - job->pending_at > ANSWER_TIMEOUT_S)
		job->pending_request = 0;
	if (job->pending_request || sim->now < job->next_try_at)
		return;
	if (job->submit_at >= 0 && sim->now >= job->submit_at && !job->accepted &&
	    job->status != 422) {
		send_request(sim, job, SIM_REQUEST_SUBMIT);
		job->next_try_at = sim->now + RETRY_S;
	} else if (job->cancel_at > 0 && sim->now >= job->cancel_at && !job->cancelled &&
		   !job->done) {
		job->cancel_sent = true;
		send_request(sim, job, SIM_REQUEST_CANCEL);
		job->next_try_at = sim->now + RETRY_S;
	} else if ((job->accepted || job->submit_at < 0) && sim->now >= job->next_poll_at) {
		send_request(sim, job, SIM_REQUEST_POLL);
		job->next_poll_at = sim->now + POLL_S;
	}
}

void sim_users_step(struct sim *sim)
{
	for (int i = 0; i < sim->job_count; i++)
		user_step(sim, &sim->jobs[i]);
}

void sim_jobs_free(struct sim *sim)
{
	HASH_CLEAR(hh, sim->jobs_by_id);
	for (int i = 0; i < sim->job_count; i++) {
		free(sim->jobs[i].task_done);
		free(sim->jobs[i].displaced_at);
		free(sim->jobs[i].killed_at);
	}
	free(sim->jobs);
}
