/* What the parts of the coldstart package share. */
#ifndef WS_COLDSTART_INTERNAL_H
#define WS_COLDSTART_INTERNAL_H
#include "coldstart.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Format of the records; later ones are left alone. */
#define WS_COLDSTART_FORMAT 1
#define WS_COLDSTART_NAME_MAX 128

enum ws_coldstart_phase {
	WS_COLDSTART_NONE,	 /* an ordinary election */
	WS_COLDSTART_OBSERVING,	 /* some zone has not answered yet */
	WS_COLDSTART_RECOVERING, /* what lost its place has not started again yet */
	WS_COLDSTART_ENDED,
};

struct ws_coldstart_zone {
	char name[WS_COLDSTART_NAME_MAX];
	size_t expected; /* machines on record as having been up, gone ones left out */
	size_t heard;	 /* of these, heard by this leader */
	bool observed;	 /* its observation has ended */
	UT_hash_handle hh;
};

struct ws_coldstart_machine {
	struct ws_coldstart_zone *zone;
	bool expected; /* counts among those of its zone */
	bool heard;
};

/* A job that no record names, of which attempts are kept apart. */
struct ws_coldstart_kept {
	char job[WS_COLDSTART_NAME_MAX];
	char machine[WS_COLDSTART_NAME_MAX]; /* that reported it first */
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
struct ws_coldstart_lost {
	char job[WS_COLDSTART_NAME_MAX];
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
	struct ws_coldstart_lost *next_recovered;
	UT_hash_handle hh;
};

/* What the account of a cold start counts, besides machines. */
struct ws_coldstart_counts {
	size_t findings[WS_FINDING_KINDS];
	size_t kept;	  /* jobs that the store never heard of */
	size_t adopted;	  /* attempts */
	size_t unclaimed; /* of the jobs kept, stopped when their time was over */
	size_t over;	  /* of them, stopped since they were on record as over, or unreadable */
	size_t lost_jobs, recovered_jobs;
};

struct ws_coldstart {
	struct ws_coldstart_settings settings;
	struct ws_cluster_limits limits; /* its pointers are the caller's and not kept */
	ws_coldstart_log_fn log;
	uint64_t steps;

	/* of this term */
	enum ws_coldstart_phase phase;
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
	enum ws_coldstart_phase recorded_phase;
	uint64_t recorded_term, recorded_began;
	bool recorded_doubt;

	struct ws_coldstart_zone *zones;
	struct ws_coldstart_kept *kept;
	struct ws_coldstart_lost *lost;
	struct ws_coldstart_counts counts;
};

void ws_coldstart_logf(const struct ws_coldstart *coldstart, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Attempts are reconciled, and may be kept apart. */
bool ws_coldstart_active(const struct ws_coldstart *coldstart);

/* observation.c */
void *ws_coldstart_machine_added(void *self, double now, const struct ws_machine_facts *facts);
void ws_coldstart_machine_changed(void *self, void *handle, const struct ws_machine_facts *facts);
void ws_coldstart_machine_removed(void *self, void *handle);
void ws_coldstart_machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss);
void ws_coldstart_heartbeat_seen(void *self, double now, void *handle);
/* Machines of a zone ought to answer, and too few have. */
bool ws_coldstart_zone_waits(const struct ws_coldstart *coldstart, const char *name);
/* Expected machines that have not been heard. */
size_t ws_coldstart_unheard(const struct ws_coldstart *coldstart);
/* Ends the observation of zones that have answered; whether all have. */
bool ws_coldstart_observe(struct ws_coldstart *coldstart, double now);
void ws_coldstart_zones_free(struct ws_coldstart *coldstart);

/* kept.c */
/* Whether an attempt of a job that no record names is kept apart. */
bool ws_coldstart_keep(struct ws_coldstart *coldstart, double now,
		       const struct ws_finding *finding);
void ws_coldstart_looked_up(void *self, double now, const char *job, enum ws_job_standing standing);
void ws_coldstart_adopted(void *self, double now, const char *job, uint32_t count);
void ws_coldstart_kept_loaded(struct ws_coldstart *coldstart, const char *job, json_t *value);
void ws_coldstart_kept_tick(struct ws_coldstart *coldstart, double now,
			    struct ws_request_queue *out);
/* Nothing is kept any more: its records go. */
void ws_coldstart_kept_forget(struct ws_coldstart *coldstart, struct ws_request_queue *out);
bool ws_coldstart_keeps(const struct ws_coldstart *coldstart);
void ws_coldstart_kept_free(struct ws_coldstart *coldstart);

/* recovery.c */
void ws_coldstart_lost_add(struct ws_coldstart *coldstart, const char *job);
bool ws_coldstart_attempt_surveyed(void *self, void *machine);
void ws_coldstart_job_surveyed(void *self, const struct ws_job_facts *facts);
void ws_coldstart_survey_done(void *self, double now);
/* Moves that are due; asks for a survey each report period while something has to start again. */
void ws_coldstart_recovery_tick(struct ws_coldstart *coldstart, double now,
				struct ws_request_queue *out);
/* The jobs take their ordinary turn again. */
void ws_coldstart_recovery_end(struct ws_coldstart *coldstart, struct ws_request_queue *out);
void ws_coldstart_lost_free(struct ws_coldstart *coldstart);

/* records.c */
const char *ws_coldstart_phase_name(enum ws_coldstart_phase phase);
json_t *ws_coldstart_phase_record(const struct ws_coldstart *coldstart);
json_t *ws_coldstart_account_record(const struct ws_coldstart *coldstart, double now);
json_t *ws_coldstart_kept_record(const struct ws_coldstart_kept *kept, double now);
void ws_coldstart_record_loaded(void *self, const char *name, json_t *value);
#endif
