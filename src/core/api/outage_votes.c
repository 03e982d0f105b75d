/*
 * Outage votes: a leader that the store does not serve asks its peers to confirm the outage. A node
 * votes whether the store is unavailable to it too, and lists the cancellations it has confirmed to
 * users.
 *
 * The job status cache is complete up to a revision that this process has read, and contains the
 * cancellations that this process has confirmed since. It therefore contains every cancellation
 * of a live job that this node has confirmed, including those confirmed by its earlier processes. A
 * node without a complete cache grants no vote.
 */
#include "../core_state.h"

/* A peer's request for a vote. It is the context of the store call that checks for the outage. */
struct ws_outage_vote_context {
	uint64_t request_id;
	uint64_t leader_revision, since_revision;
	bool accepts_list; /* whether the peer accepts a list of cancellations */
	char after_job[WS_ID_MAX];
};

static int ws_cancellation_cmp(const void *left, const void *right)
{
	const struct ws_cancellation *first = left, *second = right;

	return first->revision != second->revision ? (first->revision < second->revision ? -1 : 1)
						   : strcmp(first->job, second->job);
}

bool ws_cancellations_since(struct ws_core *core, uint64_t since, const char *after,
			    struct ws_cancellation **list, size_t *count, size_t limit,
			    bool *has_more)
{
	struct ws_cancellation listed_up_to = {.revision = since};
	struct ws_job_status *job_status, *next_job_status;
	size_t capacity = 0;

	*list = NULL;
	*count = 0;
	*has_more = false;
	if (!core->status_cache.complete)
		return false;
	snprintf(listed_up_to.job, sizeof(listed_up_to.job), "%s", after);
	HASH_ITER (hh, core->status_cache.jobs, job_status, next_job_status) {
		struct ws_cancellation cancellation = {.revision = job_status->revision};

		if (job_status->phase != WS_JOB_CANCELLED || job_status->revision < since ||
		    (!after[0] && job_status->revision == since))
			continue;
		snprintf(cancellation.job, sizeof(cancellation.job), "%s", job_status->id);
		if (after[0] && ws_cancellation_cmp(&cancellation, &listed_up_to) <= 0)
			continue;
		if (*count == capacity) {
			capacity = capacity ? 2 * capacity : 16;
			*list = ws_resize(*list, capacity, sizeof(**list));
		}
		(*list)[(*count)++] = cancellation;
	}
	if (*count)
		qsort(*list, *count, sizeof(**list), ws_cancellation_cmp);
	*has_more = *count > limit;
	*count = *has_more ? limit : *count;
	return true;
}

/* A peer that does not lead asks only whether this node is reachable; see store_health.c. */
static bool ws_vote_is_probe(const struct ws_outage_vote_context *vote_request)
{
	return vote_request->accepts_list && !vote_request->leader_revision;
}

/*
 * A node grants no vote if it leads, if it is a candidate, whose election may have succeeded, or if
 * it has read that the requester's leader key is gone.
 */
static bool ws_may_vote_for(const struct ws_core *core,
			    const struct ws_outage_vote_context *vote_request)
{
	return core->leadership.role == WS_FOLLOWER &&
	       !ws_leader_key_is_gone(core, vote_request->leader_revision);
}

static void ws_outage_vote_checked(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_VOTE);
	const struct ws_outage_vote_context *vote_request = call->context;

	effect->request_id = vote_request->request_id;
	effect->answer = WS_ANSWER_OK;
	ws_log(core, WS_LOG_DEBUG,
	       "outage vote requested revision=%llu store_unavailable=%s leader=%s "
	       "leader_revision=%llu",
	       (unsigned long long)vote_request->leader_revision,
	       result->outcome == WS_OUTCOME_UNAVAILABLE ? "yes" : "no",
	       core->leadership.leader_node[0] ? core->leadership.leader_node : "none",
	       (unsigned long long)core->leadership.leader_revision);
	/* a timeout does not confirm an outage */
	if (result->outcome != WS_OUTCOME_UNAVAILABLE || !ws_may_vote_for(core, vote_request))
		return;
	effect->vote.granted =
	    ws_cancellations_since(core, vote_request->since_revision, vote_request->after_job,
				   &effect->vote.cancellations, &effect->vote.cancellation_count,
				   WS_VOTE_CANCELLATIONS_MAX, &effect->vote.has_more);
	/* a peer that does not accept a list gets a vote only if there are no cancellations */
	if (vote_request->accepts_list ||
	    (effect->vote.granted && !effect->vote.cancellation_count))
		effect->answer = WS_ANSWER_UNAVAILABLE;
	if (effect->vote.granted && effect->answer == WS_ANSWER_UNAVAILABLE &&
	    !ws_vote_is_probe(vote_request)) {
		ws_outage_vote_granted(core);
		effect->vote.counts_leases = true;
	}
}

static void ws_outage_vote_check(struct ws_core *core, double now, uint64_t request_id,
				 const struct ws_outage_vote_context *vote_request)
{
	struct ws_outage_vote_context *context = malloc(sizeof(*context));
	struct ws_call *call;

	if (!context)
		abort();
	*context = *vote_request;
	context->request_id = request_id;
	if (now > core->now)
		core->now = now;
	call = ws_call_new(core, WS_CALL_GET, ws_outage_vote_checked);
	snprintf(call->read.key, sizeof(call->read.key), "leader");
	call->context = context;
	call->urgent = true;
}

void ws_core_outage_vote(struct ws_core *core, double now, uint64_t request_id,
			 uint64_t leader_revision, uint64_t since_revision, const char *after_job)
{
	struct ws_outage_vote_context vote_request = {.leader_revision = leader_revision,
						      .since_revision = since_revision,
						      .accepts_list = true};

	if (now > core->now)
		core->now = now;
	/* during an outage of the store, no watch reports that a later leader was elected */
	if ((core->leadership.role == WS_LEADER || core->leadership.role == WS_LOADING) &&
	    leader_revision > core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT)
		ws_step_down(core, "outage vote requested by a later leader");
	snprintf(vote_request.after_job, sizeof(vote_request.after_job), "%s", after_job);
	ws_outage_vote_check(core, now, request_id, &vote_request);
}

void ws_core_outage_vote_legacy(struct ws_core *core, double now, uint64_t request_id)
{
	ws_outage_vote_check(core, now, request_id, &(struct ws_outage_vote_context){0});
}
