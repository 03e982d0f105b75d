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
	bool serving; /* entitled, and the state service answers */
};

enum ws_machine_loss {
	WS_LOSS_LEASE,	  /* its lease has surely run out */
	WS_LOSS_FAILED,	  /* the cloud says that it failed */
	WS_LOSS_RETURNED, /* the cloud confirmed that it is gone */
};

/* Figures of the settings that subsystems derive theirs from. */
struct ws_cluster_limits {
	double report_s, lease_s;
	double state_write_rps;
	size_t value_bytes; /* of one record */
	const char *node_zone;
	const char *const *zones;
	size_t zone_count;
};

/* The hooks of one subsystem. Those that are NULL are skipped. */
struct ws_subsystem_ops {
	const char *prefix; /* of its records, with the slash: "zones/" */
	void (*destroy)(void *self);

	/* Leadership. Records come between elected() and records_loaded(). */
	void (*elected)(void *self, double now);
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
	/* A report that shows that its sender hears this leader. */
	void (*heartbeat_seen)(void *self, double now, void *machine);
	void (*command_answered)(void *self, void *machine, bool answered);
	void (*machine_lost)(void *self, double now, void *machine, enum ws_machine_loss loss);

	/* Placement filter: machines to be used only by work that has found no other room. */
	bool (*machine_avoided)(void *self, double now, const void *machine);
	/* The same for whole zones: work that may be elsewhere goes elsewhere. */
	bool (*zone_avoided)(void *self, double now, const char *zone);
	/* No machine is rented in this zone. */
	bool (*zone_closed)(void *self, double now, const char *zone);

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

/* Writes a record of the subsystem, conditioned as all of the leader's; takes over the value. */
void ws_request_write(struct ws_request_queue *queue, const char *name, json_t *value, bool urgent);
void ws_request_delete(struct ws_request_queue *queue, const char *name);
/* Reads the records whose names begin so. */
void ws_request_read(struct ws_request_queue *queue, const char *name_prefix);
void ws_request_survey(struct ws_request_queue *queue);

/* How a job that loses attempts is to be served until the next request for it. */
struct ws_move {
	const char *job;
	uint32_t position;   /* from 1, before other jobs of the same rank; 0: its ordinary turn */
	uint32_t room_ahead; /* tasks to find room for before they may be placed */
	bool replicas_apart; /* of a service: a first replica goes now, others after the rank */
};
void ws_request_move(struct ws_request_queue *queue, const struct ws_move *move);
#endif
