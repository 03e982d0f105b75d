/* The state that the modules of the cold start subsystem share. All times are in seconds. */
#ifndef WS_COLD_START_STATE_H
#define WS_COLD_START_STATE_H
#include "cold_start.h"
#include <uthash.h>

/* The format of the records. Records of a later format are neither read nor overwritten. */
#define WS_COLD_START_FORMAT 1
#define WS_COLD_START_NAME_MAX 128

enum ws_cold_start_phase {
	WS_COLD_START_NONE,	  /* no cold start: an ordinary election */
	WS_COLD_START_OBSERVING,  /* waiting for expected machines to answer */
	WS_COLD_START_RECOVERING, /* observation has ended, recovery of lost work has not */
	WS_COLD_START_ENDED,
};

/* Counters in the account record of a cold start, besides those of machines. */
struct ws_cold_start_counts {
	size_t results[WS_RECONCILIATION_RESULTS];
	size_t quarantined;   /* jobs that are not in the store */
	size_t adopted;	      /* quarantined attempts that were adopted */
	size_t unclaimed;     /* quarantined jobs stopped because their quarantine timed out */
	size_t stopped_ended; /* quarantined jobs stopped: recorded as ended, or not read in time */
	size_t lost_jobs, recovered_jobs;
};

struct ws_cold_start {
	struct ws_cold_start_settings settings;
	struct ws_cluster_limits limits; /* its pointers are NULL: the caller owns their targets */
	ws_subsystem_log_fn log;
	uint64_t operations; /* operations on single machines and jobs */

	/* State of this term. */
	enum ws_cold_start_phase phase;
	bool no_recent_leader;	 /* there is no recent proof that a leader was active */
	bool later_format;	 /* a record has a later format: the subsystem is suspended */
	bool store_lost_records; /* the store lost records that it had confirmed */
	uint64_t term, last_leader_term;
	uint64_t began_term;	 /* the term in which the cold start was detected */
	double without_leader_s; /* time without proof of an active leader; INFINITY: no proof */
	double elected_at;
	double leases_expire_at; /* when all leases that earlier leaders may have renewed have
				    expired */
	double recovery_began_at;
	bool phase_record_due;
	bool counts_changed;
	double account_due_at;
	double survey_requested_at;
	bool losses_unsurveyed; /* attempts were lost since the last survey request */
	bool survey_done;	/* a survey is done but its moves are not requested yet */

	/* Values from the record that an earlier leader wrote. */
	enum ws_cold_start_phase recorded_phase;
	uint64_t recorded_term, recorded_began_term;
	bool recorded_store_lost_records;

	struct ws_cold_start_zone *zones; /* hashed by name; see observation.h */
	struct ws_cold_start_quarantined_job
	    *quarantined_jobs;			  /* hashed by job; see quarantine.h */
	struct ws_cold_start_lost_job *lost_jobs; /* hashed by job; see recovery.h */
	struct ws_cold_start_counts counts;
};

/* Returns whether a cold start is in progress, so that attempts are reconciled. */
bool ws_cold_start_active(const struct ws_cold_start *cold_start);
#endif
