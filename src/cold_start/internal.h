/* What the parts of the coldstart package share. */
#ifndef WS_COLD_START_INTERNAL_H
#define WS_COLD_START_INTERNAL_H
#include "cold_start.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Format of the records; later ones are left alone. */
#define WS_COLD_START_FORMAT 1
#define WS_COLD_START_NAME_MAX 128

enum ws_cold_start_phase {
	WS_COLD_START_NONE,	  /* an ordinary election */
	WS_COLD_START_OBSERVING,  /* some zone has not answered yet */
	WS_COLD_START_RECOVERING, /* what lost its place has not started again yet */
	WS_COLD_START_ENDED,
};

struct ws_cold_start_zone {
	char name[WS_COLD_START_NAME_MAX];
	size_t expected; /* machines on record as having been up, gone ones left out */
	size_t heard;	 /* of these, heard by this leader */
	bool observed;	 /* its observation has ended */
	UT_hash_handle hh;
};

struct ws_cold_start_machine {
	struct ws_cold_start_zone *zone;
	bool expected; /* counts among those of its zone */
	bool heard;
};

/* A job that no record names, of which attempts are quarantined. */
struct ws_cold_start_quarantined {
	char job[WS_COLD_START_NAME_MAX];
	char machine[WS_COLD_START_NAME_MAX]; /* that reported it first */
	enum ws_job_standing standing;
	bool looked_up; /* the standing is known */
	bool ended;	/* no longer kept; known so that it is not kept again */
	bool reported;	/* in this term */
	bool record_due, on_record;
	double since;		      /* in this term */
	double before_s;	      /* in terms before it */
	double written_at;	      /* its record, last */
	double asked_first, asked_at; /* below 0: not yet */
	UT_hash_handle hh;
};

/* A job that lost attempts in the stop. */
struct ws_cold_start_lost {
	char job[WS_COLD_START_NAME_MAX];
	size_t attempts; /* that it lost */
	bool fresh;	 /* lost some since the last survey */
	bool ordered;	 /* the core was told of its place since it last lost some */
	/* as of the last survey */
	bool surveyed;
	bool guaranteed, first_replica;
	int priority;
	double latest_start;
	size_t waiting;
	uint32_t position; /* as last asked of the core; 0: its ordinary turn */
	bool replicas_apart;
	struct ws_cold_start_lost *next_recovered;
	UT_hash_handle hh;
};

/* What the account of a cold start counts, besides machines. */
struct ws_cold_start_counts {
	size_t results[WS_RECONCILIATION_RESULTS];
	size_t quarantined; /* jobs that the store never heard of */
	size_t adopted;	    /* attempts */
	size_t unclaimed;   /* of the jobs kept, stopped when their time was over */
	size_t over;	    /* of them, stopped since they were on record as over, or unreadable */
	size_t lost_jobs, recovered_jobs;
};

struct ws_cold_start {
	struct ws_cold_start_settings settings;
	struct ws_cluster_limits limits; /* its pointers are the caller's and not kept */
	ws_cold_start_log_fn log;
	uint64_t steps;

	/* of this term */
	enum ws_cold_start_phase phase;
	bool cold;	   /* no leader is proven to have lived of late */
	bool later_format; /* a record is of a later format: nothing is judged or written */
	bool doubted;	   /* the store has lost what it had confirmed */
	uint64_t term, proven_term;
	uint64_t began_term; /* the one that found the cold start */
	double unproven_s;
	double elected_at;
	double leases_out; /* every lease that an earlier leader may have renewed */
	double recovering_at;
	bool phase_due; /* to be written */
	bool counts_changed;
	double account_next;
	double surveyed_at;
	bool lost_new;	  /* since the last survey was asked for */
	bool survey_done; /* and its moves are not given yet */
	/* as read from the record */
	enum ws_cold_start_phase recorded_phase;
	uint64_t recorded_term, recorded_began;
	bool recorded_doubt;

	struct ws_cold_start_zone *zones;
	struct ws_cold_start_quarantined *quarantined;
	struct ws_cold_start_lost *lost;
	struct ws_cold_start_counts counts;
};

void ws_cold_start_logf(const struct ws_cold_start *cold_start, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Attempts are reconciled, and may be quarantined. */
bool ws_cold_start_active(const struct ws_cold_start *cold_start);

/* observation.c */
void *ws_cold_start_machine_added(void *self, double now, const struct ws_machine_facts *facts);
void ws_cold_start_machine_changed(void *self, void *handle, const struct ws_machine_facts *facts);
void ws_cold_start_machine_removed(void *self, void *handle);
void ws_cold_start_machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss);
void ws_cold_start_heartbeat_seen(void *self, double now, void *handle);
/* Machines of a zone ought to answer, and too few have. */
bool ws_cold_start_zone_waits(const struct ws_cold_start *cold_start, const char *name);
/* Expected machines that have not been heard. */
size_t ws_cold_start_unheard(const struct ws_cold_start *cold_start);
/* Ends the observation of zones that have answered; whether all have. */
bool ws_cold_start_observe(struct ws_cold_start *cold_start, double now);
void ws_cold_start_zones_free(struct ws_cold_start *cold_start);

/* kept.c */
/* Whether an attempt of a job that no record names is quarantined. */
bool ws_cold_start_keep(struct ws_cold_start *cold_start, double now,
			const struct ws_reconciliation *finding);
void ws_cold_start_looked_up(void *self, double now, const char *job,
			     enum ws_job_standing standing);
void ws_cold_start_adopted(void *self, double now, const char *job, uint32_t count);
void ws_cold_start_quarantine_loaded(struct ws_cold_start *cold_start, const char *job,
				     json_t *value);
void ws_cold_start_quarantine_tick(struct ws_cold_start *cold_start, double now,
				   struct ws_request_queue *out);
/* Nothing is kept any more: its records go. */
void ws_cold_start_quarantine_forget(struct ws_cold_start *cold_start,
				     struct ws_request_queue *out);
bool ws_cold_start_keeps(const struct ws_cold_start *cold_start);
void ws_cold_start_quarantine_free(struct ws_cold_start *cold_start);

/* recovery.c */
void ws_cold_start_lost_add(struct ws_cold_start *cold_start, const char *job);
bool ws_cold_start_attempt_surveyed(void *self, void *machine);
void ws_cold_start_job_surveyed(void *self, const struct ws_job_facts *facts);
void ws_cold_start_survey_done(void *self, double now);
/* Moves that are due; asks for a survey each heartbeat interval while something has to start again.
 */
void ws_cold_start_recovery_tick(struct ws_cold_start *cold_start, double now,
				 struct ws_request_queue *out);
/* The jobs take their ordinary turn again. */
void ws_cold_start_recovery_end(struct ws_cold_start *cold_start, struct ws_request_queue *out);
void ws_cold_start_lost_free(struct ws_cold_start *cold_start);

/* records.c */
const char *ws_cold_start_phase_name(enum ws_cold_start_phase phase);
json_t *ws_cold_start_phase_record(const struct ws_cold_start *cold_start);
json_t *ws_cold_start_account_record(const struct ws_cold_start *cold_start, double now);
json_t *ws_cold_start_quarantine_record(const struct ws_cold_start_quarantined *quarantined,
					double now);
void ws_cold_start_record_loaded(void *self, const char *name, json_t *value);
#endif
