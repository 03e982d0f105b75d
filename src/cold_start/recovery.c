/*
 * Paced recovery: jobs that lost attempts in the stop get places before others of their rank, in
 * order, a window of them at a time.
 */
#include "internal.h"

/* The share of the store's changes in a heartbeat interval that they may take first. */
#define WINDOW_SHARE 0.25
#define WINDOW_MIN 8
/* In heartbeat intervals: how soon a survey follows another where more work was lost meanwhile. */
#define SURVEY_NEW_REPORTS 0.25

void ws_cold_start_lost_add(struct ws_cold_start *cold_start, const char *job)
{
	struct ws_cold_start_lost *lost;

	cold_start->steps++;
	HASH_FIND_STR(cold_start->lost, job, lost);
	if (!lost) {
		lost = calloc(1, sizeof(*lost));
		if (!lost)
			abort();
		snprintf(lost->job, sizeof(lost->job), "%s", job);
		HASH_ADD_STR(cold_start->lost, job, lost);
		cold_start->counts.lost_jobs++;
	}
	lost->attempts++;
	lost->fresh = true;
	lost->ordered = false;
	cold_start->lost_new = true;
	cold_start->counts_changed = true;
}

void ws_cold_start_lost_free(struct ws_cold_start *cold_start)
{
	struct ws_cold_start_lost *lost = cold_start->lost, *next;

	HASH_CLEAR(hh, cold_start->lost);
	for (; lost; lost = next) {
		next = lost->hh.next;
		free(lost);
	}
}

/* ---- survey ---- */

bool ws_cold_start_attempt_surveyed(void *self, void *machine)
{
	(void)self;
	(void)machine;
	return false; /* all attempts count as elsewhere: whether any replica may be alive */
}

void ws_cold_start_job_surveyed(void *self, const struct ws_job_facts *facts)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_lost *lost;

	cold_start->steps++;
	HASH_FIND_STR(cold_start->lost, facts->id, lost);
	if (!lost)
		return;
	lost->surveyed = true;
	lost->guaranteed = facts->guaranteed;
	lost->first_replica = facts->service && !facts->elsewhere;
	lost->priority = facts->priority;
	lost->latest_start = facts->latest_start;
	lost->waiting = facts->waiting;
}

static int compare_lost(struct ws_cold_start_lost *left, struct ws_cold_start_lost *right)
{
	if (left->first_replica != right->first_replica)
		return left->first_replica ? -1 : 1;
	if (left->guaranteed != right->guaranteed)
		return left->guaranteed ? -1 : 1;
	if (left->priority != right->priority)
		return left->priority > right->priority ? -1 : 1;
	if (left->latest_start != right->latest_start)
		return left->latest_start < right->latest_start ? -1 : 1;
	return strcmp(left->job, right->job);
}

void ws_cold_start_survey_done(void *self, double now)
{
	struct ws_cold_start *cold_start = self;

	(void)now;
	HASH_SORT(cold_start->lost, compare_lost);
	for (struct ws_cold_start_lost *lost = cold_start->lost; lost; lost = lost->hh.next)
		lost->fresh = false;
	cold_start->survey_done = true;
}

/* ---- moves ---- */

static void move_ask(struct ws_cold_start_lost *lost, uint32_t position, bool apart,
		     struct ws_request_queue *out)
{
	const struct ws_move move = {
	    .job = lost->job, .position = position, .replicas_apart = apart};

	if (lost->ordered && lost->position == position && lost->replicas_apart == apart)
		return;
	lost->ordered = true;
	lost->position = position;
	lost->replicas_apart = apart;
	ws_request_move(out, &move);
}

static uint32_t window(const struct ws_cold_start *cold_start)
{
	double share =
	    WINDOW_SHARE * cold_start->limits.state_write_rps * cold_start->limits.report_s;

	return share < WINDOW_MIN ? WINDOW_MIN : (uint32_t)share;
}

/* Runs again or is over, as far as the last survey tells. */
static bool lost_recovered(const struct ws_cold_start_lost *lost)
{
	return !lost->fresh && !(lost->surveyed && lost->waiting);
}

/* Takes jobs that are recovered off the list, as one linked by `next_recovered`. */
static struct ws_cold_start_lost *lost_take_recovered(struct ws_cold_start *cold_start)
{
	struct ws_cold_start_lost *lost, *next, *recovered = NULL;

	HASH_ITER (hh, cold_start->lost, lost, next) {
		cold_start->steps++;
		if (!lost_recovered(lost))
			continue;
		HASH_DEL(cold_start->lost, lost);
		lost->next_recovered = recovered;
		recovered = lost;
	}
	return recovered;
}

/* What runs again, or is over, is done with. */
static void recovered_finish(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	struct ws_cold_start_lost *lost = lost_take_recovered(cold_start), *next;

	for (; lost; lost = next) {
		next = lost->next_recovered;
		cold_start->counts.recovered_jobs++;
		cold_start->counts_changed = true;
		move_ask(lost, 0, false, out);
		free(lost);
	}
}

/* What waits gets its place, by the last survey. */
static void places_give(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	uint32_t position = 0;

	for (struct ws_cold_start_lost *lost = cold_start->lost; lost; lost = lost->hh.next) {
		bool within = position < window(cold_start);

		if (lost->fresh || lost_recovered(lost))
			continue;
		position += within;
		move_ask(lost, within ? position : 0, within && lost->first_replica, out);
	}
}

void ws_cold_start_recovery_tick(struct ws_cold_start *cold_start, double now,
				 struct ws_request_queue *out)
{
	if (cold_start->survey_done) {
		cold_start->survey_done = false;
		places_give(cold_start, out);
		recovered_finish(cold_start, out);
		return;
	}
	if (!cold_start->lost ||
	    now < cold_start->surveyed_at +
		      (cold_start->lost_new ? SURVEY_NEW_REPORTS : 1) * cold_start->limits.report_s)
		return;
	cold_start->surveyed_at = now;
	cold_start->lost_new = false;
	for (struct ws_cold_start_lost *lost = cold_start->lost; lost; lost = lost->hh.next)
		lost->surveyed = false;
	ws_request_survey(out);
}

void ws_cold_start_recovery_end(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	for (struct ws_cold_start_lost *lost = cold_start->lost; lost; lost = lost->hh.next)
		move_ask(lost, 0, false, out);
	ws_cold_start_lost_free(cold_start);
}
