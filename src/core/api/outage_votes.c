/*
 * Outage votes: does the store refuse us right now, and what did we tell users?
 *
 * The job status cache is complete up to a revision that was read in this life of the process,
 * and holds what we confirmed after it: so it names every cancellation that we, in this life or an
 * earlier one, told a user of. Without such a cache we grant no vote.
 */
#include "../core_state.h"

/* What the asker wants to know: the context of our own question to the store. */
struct ws_outage_question {
	uint64_t request_id;
	uint64_t leader_revision, since_revision;
	bool accepts_list; /* it takes in a list */
	char after[WS_ID_MAX];
};

static int ws_cancellation_cmp(const void *left, const void *right)
{
	const struct ws_cancellation *x = left, *y = right;

	return x->revision != y->revision ? (x->revision < y->revision ? -1 : 1)
					  : strcmp(x->job, y->job);
}

/*
 * Jobs cancelled after a revision, the first ones by revision and name, from behind `after` on
 * where that is one of the revision itself. False: the copy can't tell.
 */
bool ws_cancellations_since(struct ws_core *core, uint64_t since, const char *after,
			    struct ws_cancellation **list, size_t *count, size_t limit,
			    bool *has_more)
{
	struct ws_cancellation from = {.revision = since};
	struct ws_job_status *job_status, *next_job_status;
	size_t cap = 0;

	*list = NULL;
	*count = 0;
	*has_more = false;
	if (!core->status_cache.complete)
		return false;
	snprintf(from.job, sizeof(from.job), "%s", after);
	HASH_ITER (hh, core->status_cache.jobs, job_status, next_job_status) {
		struct ws_cancellation cancellation = {.revision = job_status->revision};

		if (job_status->phase != WS_JOB_CANCELLED || job_status->revision < since ||
		    (!after[0] && job_status->revision == since))
			continue;
		snprintf(cancellation.job, sizeof(cancellation.job), "%s", job_status->id);
		if (after[0] && ws_cancellation_cmp(&cancellation, &from) <= 0)
			continue;
		if (*count == cap) {
			cap = cap ? 2 * cap : 16;
			*list = ws_resize(*list, cap, sizeof(**list));
		}
		(*list)[(*count)++] = cancellation;
	}
	if (*count)
		qsort(*list, *count, sizeof(**list), ws_cancellation_cmp);
	*has_more = *count > limit;
	*count = *has_more ? limit : *count;
	return true;
}

static void ws_outage_vote_checked(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_VOTE);
	const struct ws_outage_question *question = call->context;

	effect->request_id = question->request_id;
	effect->answer = WS_ANSWER_OK;
	/* silence is no vote, and neither is the word of one that leads itself or knows of a
	 * later leader */
	if (result->outcome != WS_OUTCOME_UNAVAILABLE || core->leadership.role == WS_LEADER ||
	    core->leadership.role == WS_LOADING ||
	    (question->accepts_list &&
	     core->leadership.leader_revision > question->leader_revision))
		return;
	effect->vote.granted = ws_cancellations_since(
	    core, question->since_revision, question->after, &effect->vote.cancellations,
	    &effect->vote.cancellation_count, WS_VOTE_CANCELLATIONS_MAX, &effect->vote.has_more);
	/* who can't take in the list is not told that all is as it was unless there is none */
	if (question->accepts_list || (effect->vote.granted && !effect->vote.cancellation_count))
		effect->answer = WS_ANSWER_UNAVAILABLE;
}

static void ws_outage_vote_check(struct ws_core *core, double now, uint64_t request_id,
				 const struct ws_outage_question *question)
{
	struct ws_outage_question *pending = malloc(sizeof(*pending));
	struct ws_call *call;

	if (!pending)
		abort();
	*pending = *question;
	pending->request_id = request_id;
	if (now > core->now)
		core->now = now;
	call = ws_call_new(core, WS_CALL_GET, ws_outage_vote_checked);
	snprintf(call->read.key, sizeof(call->read.key), "leader");
	call->context = pending;
	call->urgent = true;
}

void ws_core_outage_vote(struct ws_core *core, double now, uint64_t request_id, uint64_t leader,
			 uint64_t since, const char *after)
{
	struct ws_outage_question question = {
	    .leader_revision = leader, .since_revision = since, .accepts_list = true};

	if (now > core->now)
		core->now = now;
	/* while the store refuses us no watch tells that we were followed */
	if ((core->leadership.role == WS_LEADER || core->leadership.role == WS_LOADING) &&
	    leader > core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT)
		ws_step_down(core, "outage vote requested by a later leader");
	snprintf(question.after, sizeof(question.after), "%s", after);
	ws_outage_vote_check(core, now, request_id, &question);
}

void ws_core_outage_vote_legacy(struct ws_core *core, double now, uint64_t request_id)
{
	ws_outage_vote_check(core, now, request_id, &(struct ws_outage_question){0});
}
