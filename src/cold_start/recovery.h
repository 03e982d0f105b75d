/* Paced recovery of jobs that lost attempts. Owns the list of these jobs. */
#ifndef WS_COLD_START_RECOVERY_H
#define WS_COLD_START_RECOVERY_H
#include "state.h"

/* A job that lost attempts in the cold start. */
struct ws_cold_start_lost {
	char job[WS_COLD_START_NAME_MAX];
	size_t attempts;	/* that it lost */
	bool lost_since_survey; /* it lost some since the last survey */
	bool move_requested;	/* since it last lost some */
	/* as of the last survey */
	bool surveyed;
	bool guaranteed, first_replica;
	int priority;
	double latest_start;
	size_t waiting;
	uint32_t position; /* as last requested; 0: its ordinary position */
	bool replicas_apart;
	struct ws_cold_start_lost *next_recovered;
	UT_hash_handle hh;
};

/* Counts one lost attempt of a job. */
void ws_cold_start_lost_add(struct ws_cold_start *cold_start, const char *job);
/* Hooks of the same names: see core/extension/hooks.h. */
bool ws_cold_start_attempt_surveyed(void *self, void *machine);
void ws_cold_start_job_surveyed(void *self, const struct ws_job_info *facts);
void ws_cold_start_survey_done(void *self, double now);
/* Requests the moves that are due, and a survey each heartbeat interval while jobs are lost. */
void ws_cold_start_recovery_tick(struct ws_cold_start *cold_start, double now,
				 struct ws_request_queue *out);
/* Returns all jobs to their ordinary queue position. */
void ws_cold_start_recovery_end(struct ws_cold_start *cold_start, struct ws_request_queue *out);
/* Releases the list. */
void ws_cold_start_lost_free(struct ws_cold_start *cold_start);
#endif
