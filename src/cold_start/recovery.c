/*
 * Recovery of jobs that lost attempts in the cold start. They are placed before other jobs of the
 * same priority class, in a fixed order and a limited number at a time.
 */
#include "recovery.h"
#include "../subsystem_support/subsystem_memory.h"
#include "../subsystem_support/subsystem_moves.h"
#include <stdio.h>
#include <string.h>

/* Minimum interval between surveys after new losses, in heartbeat intervals. */
#define LOSS_SURVEY_HEARTBEATS 0.25

void ws_cold_start_add_lost_attempt(struct ws_cold_start *cold_start, const char *job)
{
	struct ws_cold_start_lost_job *lost;

	cold_start->operations++;
	HASH_FIND_STR(cold_start->lost_jobs, job, lost);
	if (!lost) {
		lost = ws_subsystem_allocate(sizeof(*lost));
		snprintf(lost->job, sizeof(lost->job), "%s", job);
		HASH_ADD_STR(cold_start->lost_jobs, job, lost);
		cold_start->counts.lost_jobs++;
	}
	lost->lost_attempts++;
	lost->lost_since_survey = true;
	lost->move_requested = false;
	cold_start->losses_unsurveyed = true;
	cold_start->counts_changed = true;
}

void ws_cold_start_lost_jobs_free(struct ws_cold_start *cold_start)
{
	WS_SUBSYSTEM_FREE_TABLE(cold_start->lost_jobs);
}

/* ---- survey ---- */

bool ws_cold_start_attempt_surveyed(void *self, void *machine)
{
	(void)self;
	(void)machine;
	/* Counts all attempts as elsewhere, to show whether the job has any live one. */
	return false;
}

void ws_cold_start_job_surveyed(void *self, const struct ws_job_info *info)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_lost_job *lost;

	cold_start->operations++;
	HASH_FIND_STR(cold_start->lost_jobs, info->id, lost);
	if (!lost)
		return;
	lost->surveyed = true;
	lost->guaranteed = info->guaranteed;
	lost->first_replica = info->service && !info->elsewhere;
	lost->priority = info->priority;
	lost->latest_start = info->latest_start;
	lost->waiting_tasks = info->waiting;
}

/*
 * Compares lost jobs by the order in which they start again. It differs from the order of the
 * evacuation plan (failure_domains/plan.c): here first replicas of services come before all other
 * work; there they come after recorded positions, job classes, guarantee and priority.
 */
static int compare_lost(struct ws_cold_start_lost_job *left, struct ws_cold_start_lost_job *right)
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
	HASH_SORT(cold_start->lost_jobs, compare_lost);
	for (struct ws_cold_start_lost_job *lost = cold_start->lost_jobs; lost;
	     lost = lost->hh.next)
		lost->lost_since_survey = false;
	cold_start->survey_done = true;
}

/* ---- moves ---- */

static void request_move(struct ws_cold_start_lost_job *lost, uint32_t position,
			 bool replicas_apart, struct ws_request_queue *out)
{
	const struct ws_move move = {
	    .job = lost->job, .position = position, .replicas_apart = replicas_apart};

	if (lost->move_requested && lost->queue_position == position &&
	    lost->replicas_apart == replicas_apart)
		return;
	lost->move_requested = true;
	lost->queue_position = position;
	lost->replicas_apart = replicas_apart;
	ws_request_move(out, &move);
}

/* Returns whether, as of the last survey, the job runs again or has ended. */
static bool lost_recovered(const struct ws_cold_start_lost_job *lost)
{
	return !lost->lost_since_survey && !(lost->surveyed && lost->waiting_tasks);
}

/* Removes recovered jobs from the table, and returns them in a list linked by `next_recovered`. */
static struct ws_cold_start_lost_job *take_recovered(struct ws_cold_start *cold_start)
{
	struct ws_cold_start_lost_job *lost, *next, *recovered = NULL;

	HASH_ITER (hh, cold_start->lost_jobs, lost, next) {
		cold_start->operations++;
		if (!lost_recovered(lost))
			continue;
		HASH_DEL(cold_start->lost_jobs, lost);
		lost->next_recovered = recovered;
		recovered = lost;
	}
	return recovered;
}

/* Returns recovered jobs to their ordinary queue position, and frees them. */
static void finish_recovered(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	struct ws_cold_start_lost_job *lost = take_recovered(cold_start), *next;

	for (; lost; lost = next) {
		next = lost->next_recovered;
		cold_start->counts.recovered_jobs++;
		cold_start->counts_changed = true;
		request_move(lost, 0, false, out);
		free(lost);
	}
}

/* Requests queue positions for the jobs that had waiting tasks in the last survey. */
static void request_positions(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	const size_t moves_max = ws_subsystem_moves_max(&cold_start->limits);
	uint32_t position = 0;

	for (struct ws_cold_start_lost_job *lost = cold_start->lost_jobs; lost;
	     lost = lost->hh.next) {
		bool within_limit = position < moves_max;

		if (lost->lost_since_survey || lost_recovered(lost))
			continue;
		position += within_limit;
		request_move(lost, within_limit ? position : 0, within_limit && lost->first_replica,
			     out);
	}
}

void ws_cold_start_recovery_tick(struct ws_cold_start *cold_start, double now,
				 struct ws_request_queue *out)
{
	if (cold_start->survey_done) {
		cold_start->survey_done = false;
		request_positions(cold_start, out);
		finish_recovered(cold_start, out);
		return;
	}
	if (!cold_start->lost_jobs ||
	    now < cold_start->survey_requested_at +
		      (cold_start->losses_unsurveyed ? LOSS_SURVEY_HEARTBEATS : 1) *
			  cold_start->limits.heartbeat_s)
		return;
	cold_start->survey_requested_at = now;
	cold_start->losses_unsurveyed = false;
	for (struct ws_cold_start_lost_job *lost = cold_start->lost_jobs; lost;
	     lost = lost->hh.next)
		lost->surveyed = false;
	ws_request_survey(out);
}

void ws_cold_start_recovery_end(struct ws_cold_start *cold_start, struct ws_request_queue *out)
{
	for (struct ws_cold_start_lost_job *lost = cold_start->lost_jobs; lost;
	     lost = lost->hh.next)
		request_move(lost, 0, false, out);
	ws_cold_start_lost_jobs_free(cold_start);
}
