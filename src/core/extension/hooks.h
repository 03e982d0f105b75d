/*
 * The interface between the core and its subsystems.
 *
 * The core reports typed events to each attached subsystem and queries its filters. A subsystem
 * returns typed requests, which the core carries out if its own rules allow. Neither side accesses
 * the other's structures, and no I/O takes place: events and the time are the input, requests the
 * output.
 *
 * All hooks are called on the leader only, between elected() and stepped_down(), and never
 * concurrently. With no subsystem attached, this interface has no effect on the core's decisions,
 * records and frames.
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

/* Properties of a machine. The strings are valid for the duration of the call. */
struct ws_machine_info {
	const char *name;
	const char *address; /* IP address as text; empty if unknown */
	const char *zone;    /* empty if unknown */
	bool expected;	     /* recorded as up; no heartbeat or reply has reached this leader yet */
	bool unknown; /* sends heartbeats, but is in neither the records nor the cloud's list */
};

/* Information about earlier leaders for a newly elected leader. */
struct ws_election_info {
	double now;
	uint64_t term; /* revision of its leader key; it rises with each leader */
	/*
	 * Seconds since the last proof known to this process that any leader, itself included, was
	 * active; INFINITY if there was none. The clock is monotonic and also runs while the
	 * process is suspended.
	 */
	double leader_proof_age_s;
	uint64_t leader_proof_term; /* term of the leader that the proof refers to; 0: none */
	/* The time by which every lease that an earlier leader may have renewed has expired, even
	 * with the maximum clock drift. */
	double leases_expire_at;
};

/*
 * The state of an attempt that was on record at the election, or of a task in a heartbeat for which
 * no attempt is on record. Each has one reconciliation result, the first that is determined.
 */
enum ws_reconciliation_result {
	WS_RECONCILED_AGREED,	       /* runs as recorded */
	WS_RECONCILED_NOT_REPORTED,    /* its machine is in contact but does not report it */
	WS_RECONCILED_UNRECORDED,      /* runs; its job is on record, and no newer attempt is */
	WS_RECONCILED_SUPERSEDED,      /* runs; a newer attempt of the task is on record */
	WS_RECONCILED_TWO_MACHINES,    /* runs; the same attempt is on record for another machine */
	WS_RECONCILED_OVER,	       /* runs; its job or task is finished on record */
	WS_RECONCILED_ENDED_DONE,      /* recorded; completed while there was no leader */
	WS_RECONCILED_ENDED_FAILED,    /* recorded; failed or was refused */
	WS_RECONCILED_ENDED_STOPPED,   /* recorded; was stopped */
	WS_RECONCILED_LEASE_LOST,      /* recorded for an earlier incarnation of its machine */
	WS_RECONCILED_LEASE_EXPIRED,   /* recorded; its machine's lease expired without contact */
	WS_RECONCILED_MACHINE_GONE,    /* recorded; the cloud reported its machine gone or failed */
	WS_RECONCILED_UNKNOWN_JOB,     /* runs or completed; its job is not on record */
	WS_RECONCILED_UNKNOWN_MACHINE, /* not an attempt: see struct ws_machine_info */
	WS_RECONCILIATION_RESULTS,
};

/* Returns whether recorded work was lost, in contrast to completed, stopped or still running. */
static inline bool ws_reconciliation_loses_work(enum ws_reconciliation_result result)
{
	return result == WS_RECONCILED_LEASE_LOST || result == WS_RECONCILED_LEASE_EXPIRED ||
	       result == WS_RECONCILED_MACHINE_GONE || result == WS_RECONCILED_ENDED_FAILED;
}

/* A reconciliation result and the attempt that it applies to. */
struct ws_reconciliation {
	enum ws_reconciliation_result result;
	const char *machine;
	const char *job; /* empty for an unknown machine */
	uint32_t task;
	uint64_t attempt, incarnation;
};

/* The state in the store of a job that is not in the leader's replica of the live jobs. */
enum ws_job_lookup_result {
	WS_JOB_LOOKUP_NOT_FOUND, /* no record of it exists, neither live nor archived */
	WS_JOB_LOOKUP_LIVE,
	WS_JOB_LOOKUP_ARCHIVED,
	WS_JOB_LOOKUP_UNAVAILABLE, /* the store could not be read */
};

/* Actions of the core that a subsystem may defer temporarily. */
enum ws_deferrable_action {
	WS_DEFER_PREEMPTION, /* stop of a task in the zone to free its machine's capacity */
	WS_DEFER_GANG_STOP,  /* stop of a gang after a machine of the zone lost contact */
	WS_DEFER_SCALE_IN_NO_HEARTBEATS, /* return of a machine without heartbeats, in the zone */
	WS_DEFER_SCALE_IN_EMPTY,	 /* return of an empty machine of the zone */
	WS_DEFER_FIRST_START, /* start of a job that never had a task started, in any zone */
	/*
	 * Placement, in any zone, of a second replica of a service that lost recorded attempts,
	 * before other services of its rank have a first replica. It ends for a service when a move
	 * of that service is requested.
	 */
	WS_DEFER_SECOND_REPLICA,
	WS_DEFERRABLE_ACTIONS,
};

/* Properties of a job that is neither done nor cancelled. An attempt is live until it is released,
 * since it may be running until then. */
struct ws_job_info {
	const char *id;
	const char *job_class;
	const char *pinned_zone; /* the only allowed zone; empty: any */
	int priority;		 /* a higher value is scheduled first */
	bool guaranteed; /* fits its team's guarantee together with the team's earlier jobs */
	bool service;
	uint32_t affected;  /* live attempts on machines reported as affected */
	uint32_t elsewhere; /* live attempts on other machines */
	uint32_t waiting;   /* tasks that are neither completed nor in a live attempt */
	/* Deadline less the estimated run time, in wall-clock seconds; INFINITY: no deadline. */
	double latest_start;
};

/* The time, and whether missing heartbeats are meaningful. */
struct ws_tick_info {
	double now;
	bool serving; /* the leader is entitled to act, and the store is reachable */
};

/* Why everything that ran on a machine is lost. */
enum ws_machine_loss {
	WS_LOSS_LEASE_EXPIRED, /* its lease has expired, even with the maximum clock drift */
	WS_LOSS_FAILED,	       /* the cloud reported it as failed */
	WS_LOSS_RETURNED,      /* the cloud confirmed that it is gone */
};

/* Settings of the cluster from which subsystems derive their own limits. */
struct ws_cluster_limits {
	double heartbeat_s, lease_s;
	double store_write_rps;
	size_t value_bytes; /* maximum size of one record */
	double cancel_s;    /* a cancelled job must have stopped within this time */
	const char *node_zone;
	const char *const *zones;
	size_t zone_count;
};

/* The hooks of one subsystem. A hook that is NULL is not called. */
struct ws_subsystem_ops {
	const char *prefix; /* key prefix of its records, including the slash: "zones/" */
	void (*destroy)(void *self);

	/* Leadership. Records are loaded between elected() and records_loaded(). */
	void (*elected)(void *self, const struct ws_election_info *info);
	void (*record_loaded)(void *self, const char *name, json_t *value);
	void (*records_loaded)(void *self, double now);
	/* Called after machine_removed() was called for each machine. */
	void (*stepped_down)(void *self);
	/* Completes a read, after record_loaded() was called for each record. */
	void (*records_read)(void *self, const char *name_prefix);

	/* Machines. The handle that machine_added() returns is passed to the other hooks. */
	void *(*machine_added)(void *self, double now, const struct ws_machine_info *info);
	void (*machine_changed)(void *self, void *machine, const struct ws_machine_info *info);
	void (*machine_removed)(void *self, void *machine);
	/* A heartbeat arrived that echoes this leader's fencing token: the machine receives the
	 * leader's messages. */
	void (*heartbeat_seen)(void *self, double now, void *machine);
	void (*command_answered)(void *self, void *machine, bool answered);
	void (*machine_lost)(void *self, double now, void *machine, enum ws_machine_loss loss);

	/*
	 * Reports a reconciliation result. Returns whether the attempt is to be quarantined, that
	 * is, neither stopped nor reaped. The return value is used for WS_RECONCILED_UNRECORDED and
	 * WS_RECONCILED_UNKNOWN_JOB, and ignored for other results.
	 */
	bool (*attempt_reconciled)(void *self, double now,
				   const struct ws_reconciliation *reconciliation);
	/* Reports the result of a job lookup. */
	void (*job_looked_up)(void *self, double now, const char *job,
			      enum ws_job_lookup_result lookup_result);
	/* Attempts that were quarantined have been adopted into the record of their job. */
	void (*attempts_adopted)(void *self, double now, const char *job, uint32_t count);

	/* Placement filter: returns whether a machine is to be used only as a last resort. */
	bool (*machine_avoided)(void *self, double now, const void *machine);
	/* Placement filter: returns whether a zone is to be used only by work that has no other
	 * zone. */
	bool (*zone_avoided)(void *self, double now, const char *zone);
	/* Returns whether scale-out in a zone is blocked. */
	bool (*zone_closed)(void *self, double now, const char *zone);
	/* Returns whether actions of a kind are deferred in a zone; it is empty if unknown. */
	bool (*action_deferred)(void *self, double now, enum ws_deferrable_action kind,
				const char *zone);

	/*
	 * Results of a survey. For each live job, attempt_surveyed() is called with the machine of
	 * each live attempt and returns whether the attempt counts as affected; then
	 * job_surveyed() is called. survey_done() ends the survey.
	 */
	bool (*attempt_surveyed)(void *self, void *machine);
	void (*job_surveyed)(void *self, const struct ws_job_info *info);
	void (*survey_done)(void *self, double now);

	void (*tick)(void *self, const struct ws_tick_info *info, struct ws_request_queue *out);
};

/*
 * Attaches a subsystem for the lifetime of the core, which then owns and destroys it. Returns false
 * if WS_SUBSYSTEMS_MAX subsystems are attached already; the caller then still owns it.
 */
bool ws_core_attach(struct ws_core *core, const struct ws_subsystem_ops *ops, void *self);

/* ---- requests, to be made within tick() ---- */

/* Writes a record of the subsystem in the leader's transactions and takes ownership of the value.
 * An urgent record is written before the records of jobs. */
void ws_request_write(struct ws_request_queue *queue, const char *name, json_t *value, bool urgent);
/* Deletes a record of the subsystem. */
void ws_request_delete(struct ws_request_queue *queue, const char *name);
/* Reads the records whose names begin with a prefix. */
void ws_request_read(struct ws_request_queue *queue, const char *name_prefix);
/* Requests a survey of the live jobs and their attempts: see attempt_surveyed(). */
void ws_request_survey(struct ws_request_queue *queue);
/* Looks up a job in the store, first among the live jobs, then among the archived ones. */
void ws_request_look_up(struct ws_request_queue *queue, const char *job);
/* Stops all quarantined attempts of a job. They get grace_s seconds to save their state; 0 stops
 * them at once. */
void ws_request_stop_quarantined(struct ws_request_queue *queue, const char *job, double grace_s);

/* How a job that loses attempts is to be scheduled until the next such request for it. */
struct ws_move {
	const char *job;
	uint32_t position;	/* 1 is the first of its rank; 0: the default order */
	uint32_t reserve_ahead; /* tasks to reserve capacity for before they may be placed */
	bool replicas_apart; /* of a service: place the first replica now, others after the rank */
};
/* Requests this scheduling of a job. It replaces the subsystem's earlier request for the job. */
void ws_request_move(struct ws_request_queue *queue, const struct ws_move *move);
#endif
