/*
 * Quarantine of attempts whose job is missing from the leader's replica of the live jobs. Owns the
 * quarantined jobs and their records "coldstart/kept/JOB".
 */
#ifndef WS_COLD_START_QUARANTINE_H
#define WS_COLD_START_QUARANTINE_H
#include "state.h"

/* A job that is missing from the leader's replica and whose attempts are quarantined. */
struct ws_cold_start_quarantined_job {
	char job[WS_COLD_START_NAME_MAX];
	char machine[WS_COLD_START_NAME_MAX]; /* the first machine that reported it */
	enum ws_job_lookup_result lookup_result;
	bool lookup_done; /* the store has answered the lookup */
	bool released;	  /* adopted or stopped; kept so that the job is not quarantined again */
	bool reported;	  /* by a worker in this term */
	bool record_due, has_record;
	double quarantined_at;			/* start of the quarantine in this term */
	double earlier_terms_s;			/* time in quarantine during earlier terms */
	double written_at;			/* time of the last write of its record */
	double first_lookup_at, last_lookup_at; /* negative: no lookup was requested */
	UT_hash_handle hh;
};

/*
 * Adds the job of an attempt whose job is missing from the leader's replica. Returns whether the
 * attempt is to be quarantined; false if the job was already released from quarantine.
 */
bool ws_cold_start_quarantine_attempt(struct ws_cold_start *cold_start, double now,
				      const struct ws_reconciliation *reconciliation);
/* Hook that receives the result of a lookup; see core/extension/hooks.h. */
void ws_cold_start_job_looked_up(void *self, double now, const char *job,
				 enum ws_job_lookup_result lookup_result);
/* Hook that counts adopted attempts and releases their job; see core/extension/hooks.h. */
void ws_cold_start_attempts_adopted(void *self, double now, const char *job, uint32_t count);
/* Restores, from its record, a job that an earlier leader quarantined. */
void ws_cold_start_quarantine_restore(struct ws_cold_start *cold_start, const char *job,
				      const json_t *value);
/* Requests lookups, stops jobs that must not run on, and writes the records that are due. */
void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out);
/* Requests the deletion of all records of quarantined jobs, and frees the jobs. */
void ws_cold_start_quarantine_clear(struct ws_cold_start *cold_start, struct ws_request_queue *out);
/* Returns whether a job that was reported in this term is still in quarantine. */
bool ws_cold_start_has_quarantined(const struct ws_cold_start *cold_start);
/* Frees the jobs but does not delete their records. */
void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start);
#endif
