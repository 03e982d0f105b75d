/*
 * The border between the core and its subsystems.
 *
 * The core reports typed events to each attached subsystem and asks it for opinions; a subsystem
 * answers with typed requests, which the core carries out when its own rules allow. Neither side
 * sees the other's structures. There is no input or output here: events and the time go in, and
 * requests come out.
 *
 * All hooks are called on the leader alone, between elected() and stepped_down(), and never
 * concurrently. With no subsystem attached the core makes the same decisions, records and frames as
 * it does without this border.
 */
#ifndef WS_HOOKS_H
#define WS_HOOKS_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WS_SUBSYSTEMS_MAX 4

struct ws_core;
struct ws_request_queue;

/* What is known of a machine. Strings live for the duration of the call. */
struct ws_machine_facts {
	const char *name;
	const char *address; /* IP address in text; empty if unknown */
	const char *zone;    /* empty if unknown */
	bool expected;	     /* on record as having been up, not yet heard by this leader */
	bool unknown;	     /* reports, but neither the records nor the cloud's list name it */
};

/* What an elected process knows of the leaders before it. */
struct ws_election_facts {
	double now;
	uint64_t term; /* revision of its leader key: each leader's is above those before it */
	/*
	 * For how long this process has had no proof that some leader lived, itself included;
	 * INFINITY: it never had one. By a steady clock that goes on while the process stands
	 * still.
	 */
	double unproven_s;
	uint64_t proven_term; /* of the leader that the proof is of; 0: none */
	/* When every lease that an earlier leader may have renewed has expired on any clock. */
	double leases_out;
};

/*
 * What became of an attempt that was on record at the election, or of a task that a heartbeat names
 * without one. Each has one reconciliation result: the first that is known.
 */
enum ws_reconciliation_result {
	WS_RECONCILED_AGREED,	    /* runs, as recorded */
	WS_RECONCILED_NOT_REPORTED, /* its machine hears us and does not name it */
	WS_RECONCILED_UNRECORDED, /* runs; its job is on record, no newer attempt of the task is */
	WS_RECONCILED_SUPERSEDED, /* runs; a newer attempt of the task is on record */
	WS_RECONCILED_TWO_MACHINES,  /* runs; the same attempt is on record for another machine */
	WS_RECONCILED_OVER,	     /* runs; the job or the task is over on record */
	WS_RECONCILED_ENDED_DONE,    /* recorded, and completed while nobody listened */
	WS_RECONCILED_ENDED_FAILED,  /* recorded, and failed or refused */
	WS_RECONCILED_ENDED_STOPPED, /* recorded, and stopped */
	WS_RECONCILED_LEASE_LOST,    /* recorded for an incarnation that its machine says is over */
	WS_RECONCILED_LEASE_EXPIRED, /* recorded; its machine stayed silent until its lease was out
				      */
	WS_RECONCILED_MACHINE_GONE,  /* recorded; the cloud says that its machine is gone or failed
				      */
	WS_RECONCILED_UNKNOWN_JOB,   /* runs, or completed; no record names its job */
	WS_RECONCILED_UNKNOWN_MACHINE, /* not an attempt: see struct ws_machine_facts */
	WS_RECONCILIATION_RESULTS,
};

/* Whether recorded work was lost, as against completed, stopped or still running. */
static inline bool ws_reconciliation_loses_work(enum ws_reconciliation_result result)
{
	return result == WS_RECONCILED_LEASE_LOST || result == WS_RECONCILED_LEASE_EXPIRED ||
	       result == WS_RECONCILED_MACHINE_GONE || result == WS_RECONCILED_ENDED_FAILED;
}

/* A reconciliation result, and the attempt that it is of. */
struct ws_reconciliation {
	enum ws_reconciliation_result result;
	const char *machine;
	const char *job; /* empty for an unknown machine */
	uint32_t task;
	uint64_t attempt, incarnation;
};

/* What the records say of a job that the leader's replica of the live jobs does not name. */
enum ws_job_standing {
	WS_STANDING_NEVER_HEARD, /* neither live nor over */
	WS_STANDING_LIVE,
	WS_STANDING_OVER,
	WS_STANDING_UNREADABLE, /* the store did not tell */
};

/* Actions of the core that a subsystem may defer for a while. */
enum ws_deferrable_action {
	WS_DEFER_PREEMPTION,	  /* stop of a task for the capacity of its machine, in the zone */
	WS_DEFER_GANG_STOP,	  /* stop of a gang because a machine of the zone is silent */
	WS_DEFER_SCALE_IN_SILENT, /* of a silent machine of the zone */
	WS_DEFER_SCALE_IN_EMPTY,  /* of an empty machine of the zone */
	WS_DEFER_FIRST_START,	  /* of a job of which nothing was ever started; in any zone */
	/*
	 * Of a second replica of a service that lost recorded attempts, before other services of
	 * its rank have a first one; until a move of the service is asked for. In any zone.
	 */
	WS_DEFER_SECOND_REPLICA,
	WS_DEFERRABLE_ACTIONS,
};

/* What is known of a job that is not over. */
struct ws_job_facts {
	const char *id;
	const char *job_class;
	const char *pinned_zone; /* the only zone allowed; empty: any */
	int priority;		 /* larger goes first */
	bool guaranteed;	 /* fits its team's guarantee with the team's earlier jobs */
	bool service;
	uint32_t affected;  /* attempts that may be alive on the machines surveyed */
	uint32_t elsewhere; /* attempts that may be alive on other machines */
	uint32_t waiting;   /* tasks neither complete nor in an attempt that may be alive */
	/* Deadline less the estimated run time, on a clock that all jobs share; INFINITY: none. */
	double latest_start;
};

/* The time, and whether silence can be judged at all. */
struct ws_tick_facts {
	double now;
	bool serving; /* entitled, and the store answers */
};

/* How all that was on a machine was lost. */
enum ws_machine_loss {
	WS_LOSS_LEASE,	  /* its lease has expired on any clock */
	WS_LOSS_FAILED,	  /* the cloud says that it failed */
	WS_LOSS_RETURNED, /* the cloud confirmed that it is gone */
};

/* Figures of the settings that subsystems derive theirs from. */
struct ws_cluster_limits {
	double report_s, lease_s;
	double state_write_rps;
	size_t value_bytes; /* of one record */
	double cancel_s;    /* a cancelled job must be gone within it */
	const char *node_zone;
	const char *const *zones;
	size_t zone_count;
};

/* The hooks of one subsystem. Those that are NULL are skipped. */
struct ws_subsystem_ops {
	const char *prefix; /* of its records, with the slash: "zones/" */
	void (*destroy)(void *self);

	/* Leadership. Records come between elected() and records_loaded(). */
	void (*elected)(void *self, const struct ws_election_facts *facts);
	void (*record_loaded)(void *self, const char *name, json_t *value);
	void (*records_loaded)(void *self, double now);
	/* After machine_removed() for each machine. */
	void (*stepped_down)(void *self);
	/* Answer to a read: record_loaded() for each record, then this. */
	void (*records_read)(void *self, const char *name_prefix);

	/* Machines. The handle that machine_added() returns is passed back in the other hooks. */
	void *(*machine_added)(void *self, double now, const struct ws_machine_facts *facts);
	void (*machine_changed)(void *self, void *machine, const struct ws_machine_facts *facts);
	void (*machine_removed)(void *self, void *machine);
	/* A heartbeat that shows that its machine hears this leader. */
	void (*heartbeat_seen)(void *self, double now, void *machine);
	void (*command_answered)(void *self, void *machine, bool answered);
	void (*machine_lost)(void *self, double now, void *machine, enum ws_machine_loss loss);

	/*
	 * Reconciliation of heartbeats with the records. Returns whether the attempt is to be
	 * quarantined: neither stopped nor reaped. That counts for WS_RECONCILED_UNRECORDED and
	 * WS_RECONCILED_UNKNOWN_JOB, and is ignored for the others.
	 */
	bool (*attempt_found)(void *self, double now,
			      const struct ws_reconciliation *reconciliation);
	/* Answer to a look-up. */
	void (*job_looked_up)(void *self, double now, const char *job,
			      enum ws_job_standing standing);
	/* Attempts that were quarantined are on their job's record from now on. */
	void (*attempts_adopted)(void *self, double now, const char *job, uint32_t count);

	/* Placement filter: machines to be used only by work that has found no other room. */
	bool (*machine_avoided)(void *self, double now, const void *machine);
	/* The same for whole zones: work that may be elsewhere goes elsewhere. */
	bool (*zone_avoided)(void *self, double now, const char *zone);
	/* No machine is scaled out in this zone. */
	bool (*zone_closed)(void *self, double now, const char *zone);
	/* Whether actions of a kind are deferred for now; the zone is empty if it is unknown. */
	bool (*action_deferred)(void *self, double now, enum ws_deferrable_action kind,
				const char *zone);

	/*
	 * Answer to a survey: whether an attempt on this machine is affected, for each attempt that
	 * may be alive; then each live job.
	 */
	bool (*attempt_surveyed)(void *self, void *machine);
	void (*job_surveyed)(void *self, const struct ws_job_facts *facts);
	void (*survey_done)(void *self, double now);

	void (*tick)(void *self, const struct ws_tick_facts *facts, struct ws_request_queue *out);
};

/*
 * Attaches a subsystem for the life of the core, which destroys it. False if there are too many;
 * then the caller keeps it.
 */
bool ws_core_attach(struct ws_core *core, const struct ws_subsystem_ops *ops, void *self);

/* ---- requests, for use within tick() ---- */

/* Writes a record of the subsystem in the leader's transactions; takes over the value. */
void ws_request_write(struct ws_request_queue *queue, const char *name, json_t *value, bool urgent);
/* Deletes a record of the subsystem. */
void ws_request_delete(struct ws_request_queue *queue, const char *name);
/* Reads the records whose names begin so. */
void ws_request_read(struct ws_request_queue *queue, const char *name_prefix);
/* Asks for the attempts on each machine and for the live jobs: see attempt_surveyed(). */
void ws_request_survey(struct ws_request_queue *queue);
/* Reads what the records say of a job: first among the live ones, then among those that are over.
 */
void ws_request_look_up(struct ws_request_queue *queue, const char *job);
/* Ends all quarantined attempts of a job; they have this many seconds to save, 0: at once. */
void ws_request_end_quarantined(struct ws_request_queue *queue, const char *job, double grace_s);

/* How a job that loses attempts is to be served until the next request for it. */
struct ws_move {
	const char *job;
	uint32_t position; /* from 1, before other jobs of the same rank; 0: its ordinary turn */
	uint32_t reserve_ahead; /* tasks to find room for before they may be placed */
	bool replicas_apart;	/* of a service: a first replica goes now, others after the rank */
};
/* Asks for a job to be served so, in place of an earlier request of this subsystem. */
void ws_request_move(struct ws_request_queue *queue, const struct ws_move *move);
#endif
