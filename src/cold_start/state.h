/* The state of the cold start subsystem, which its modules share. All times are in seconds. */
#ifndef WS_COLD_START_STATE_H
#define WS_COLD_START_STATE_H
#include "cold_start.h"
#include <uthash.h>

/* Format of the records; later ones are left alone. */
#define WS_COLD_START_FORMAT 1
#define WS_COLD_START_NAME_MAX 128

enum ws_cold_start_phase {
	WS_COLD_START_NONE,	  /* an ordinary election */
	WS_COLD_START_OBSERVING,  /* some zone has not answered yet */
	WS_COLD_START_RECOVERING, /* lost work has not all started again yet */
	WS_COLD_START_ENDED,
};

/* What the account record of a cold start counts, besides machines. */
struct ws_cold_start_counts {
	size_t results[WS_RECONCILIATION_RESULTS];
	size_t quarantined;  /* jobs that are not in the store */
	size_t adopted;	     /* attempts */
	size_t unclaimed;    /* quarantined jobs stopped when their quarantine time ran out */
	size_t stopped_over; /* quarantined jobs stopped: over on record, or unreadable */
	size_t lost_jobs, recovered_jobs;
};

struct ws_cold_start {
	struct ws_cold_start_settings settings;
	struct ws_cluster_limits limits; /* without its pointers, which are the caller's */
	ws_subsystem_log_fn log;
	uint64_t steps;

	/* of this term */
	enum ws_cold_start_phase phase;
	bool leader_unproven;	 /* there is no recent proof of a live leader */
	bool later_format;	 /* a record is of a later format: the subsystem is suspended */
	bool store_lost_records; /* that it had confirmed */
	uint64_t term, proven_term;
	uint64_t began_term; /* the term that detected the cold start */
	double unproven_s;
	double elected_at;
	double leases_out; /* when every lease that an earlier leader may have renewed is out */
	double recovering_at;
	bool phase_record_due;
	bool counts_changed;
	double account_due_at;
	double surveyed_at;
	bool losses_unsurveyed; /* work was lost since the last survey was requested */
	bool survey_done;	/* and its moves are not requested yet */

	/* as read from the record of an earlier leader */
	enum ws_cold_start_phase recorded_phase;
	uint64_t recorded_term, recorded_began;
	bool recorded_store_lost_records;

	struct ws_cold_start_zone *zones;	       /* by name; see observation.h */
	struct ws_cold_start_quarantined *quarantined; /* by job; see quarantine.h */
	struct ws_cold_start_lost *lost;	       /* by job; see recovery.h */
	struct ws_cold_start_counts counts;
};

/* Whether a cold start is under way: attempts are reconciled, and may be quarantined. */
bool ws_cold_start_active(const struct ws_cold_start *cold_start);
#endif
