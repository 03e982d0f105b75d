/*
 * Quarantine of attempts of jobs that no record names. Owns the quarantined jobs and their records
 * "coldstart/kept/JOB".
 */
#ifndef WS_COLD_START_QUARANTINE_H
#define WS_COLD_START_QUARANTINE_H
#include "state.h"

/* A job that no record names, of which attempts are quarantined. */
struct ws_cold_start_quarantined {
	char job[WS_COLD_START_NAME_MAX];
	char machine[WS_COLD_START_NAME_MAX]; /* that reported it first */
	enum ws_job_lookup_result standing;
	bool looked_up; /* the standing is known */
	bool released;	/* adopted or stopped; remembered so that it is not quarantined again */
	bool reported;	/* in this term */
	bool record_due, on_record;
	double since;				  /* when this term's quarantine began */
	double earlier_terms_s;			  /* time in quarantine in terms before */
	double written_at;			  /* when its record was last written */
	double first_look_up_at, last_look_up_at; /* below 0: not yet */
	UT_hash_handle hh;
};

/* Whether an attempt of a job that no record names is to be quarantined. */
bool ws_cold_start_quarantine_attempt(struct ws_cold_start *cold_start, double now,
				      const struct ws_reconciliation *reconciliation);
/* Hook job_looked_up: see core/extension/hooks.h. */
void ws_cold_start_looked_up(void *self, double now, const char *job,
			     enum ws_job_lookup_result standing);
/* Hook attempts_adopted: see core/extension/hooks.h. */
void ws_cold_start_adopted(void *self, double now, const char *job, uint32_t count);
/* Restores a job that an earlier leader quarantined from its record. */
void ws_cold_start_quarantine_loaded(struct ws_cold_start *cold_start, const char *job,
				     const json_t *value);
/* Looks jobs up, stops those that must not go on, and writes the records that are due. */
void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out);
/* Deletes all records of quarantined jobs, and releases the jobs. */
void ws_cold_start_quarantine_forget(struct ws_cold_start *cold_start,
				     struct ws_request_queue *out);
/* Whether some reported job is still in quarantine. */
bool ws_cold_start_has_quarantined(const struct ws_cold_start *cold_start);
/* Releases the jobs; their records stay. */
void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start);
#endif
