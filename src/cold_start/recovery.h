/* Recovery of jobs that lost attempts, a limited number at a time. Owns the list of these jobs. */
#ifndef WS_COLD_START_RECOVERY_H
#define WS_COLD_START_RECOVERY_H
#include "state.h"

/* A job that lost attempts in the current cold start. */
struct ws_cold_start_lost_job {
	char job[WS_COLD_START_NAME_MAX];
	size_t lost_attempts;	/* since the job was added to the list */
	bool lost_since_survey; /* an attempt was lost since the last survey */
	bool move_requested;	/* since the last loss of an attempt */
	/* Facts as of the last survey. */
	bool surveyed;
	bool guaranteed;
	bool first_replica; /* a service without a live attempt */
	int priority;
	double latest_start;
	size_t waiting_tasks;	 /* tasks neither completed nor in a live attempt */
	uint32_t queue_position; /* last requested; 0: the ordinary position */
	bool replicas_apart;	 /* last requested: place only a first replica ahead of the queue */
	struct ws_cold_start_lost_job *next_recovered;
	UT_hash_handle hh;
};

/* Records the loss of one attempt of a job. */
void ws_cold_start_add_lost_attempt(struct ws_cold_start *cold_start, const char *job);
/* Hooks that receive the results of a survey; see core/extension/hooks.h. */
bool ws_cold_start_attempt_surveyed(void *self, void *machine);
void ws_cold_start_job_surveyed(void *self, const struct ws_job_info *info);
void ws_cold_start_survey_done(void *self, double now);
/*
 * Requests queue positions after each survey. Requests a survey once per heartbeat interval while
 * lost jobs have not recovered, and sooner after new losses.
 */
void ws_cold_start_recovery_tick(struct ws_cold_start *cold_start, double now,
				 struct ws_request_queue *out);
/* Requests the ordinary queue position for all lost jobs, and frees the list. */
void ws_cold_start_recovery_end(struct ws_cold_start *cold_start, struct ws_request_queue *out);
/* Frees the list of lost jobs. */
void ws_cold_start_lost_jobs_free(struct ws_cold_start *cold_start);
#endif
