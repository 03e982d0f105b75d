/*
 * The core's side of the subsystem interface (hooks.h): the attached subsystems, the events sent to
 * them, their filters, their requests and their records.
 *
 * This module owns the attached subsystems for the lifetime of the core, and their records while
 * this node leads. A subsystem owns its handle of a machine until machine_removed(). The records
 * are a record source of the writer and the loader (store/record_source.h).
 *
 * Guarantees: hooks are called on the leader only, in the order in which the subsystems were
 * attached. Without a subsystem this module has no effect. Times are seconds on the core's clock.
 * A request with a key that is too long is logged and ignored. The core is single-threaded: the I/O
 * layer holds its lock during each call into the core.
 */
#ifndef WS_SUBSYSTEMS_H
#define WS_SUBSYSTEMS_H
#include "../core.h"
#include "hooks.h"

struct ws_machine;
struct ws_job;
struct ws_attempt;

/* A record of a subsystem, with the revision at which this leader last wrote or read it. */
struct ws_subsystem_record {
	char key[WS_KEY_MAX];
	json_t *value; /* value to write; NULL: the record is to be deleted */
	uint64_t revision;
	bool dirty, write_in_flight;
	bool urgent; /* written before the records of jobs */
	UT_hash_handle hh;
};

struct ws_subsystem {
	const struct ws_subsystem_ops *ops;
	void *self;
};

struct ws_subsystems {
	struct ws_subsystem list[WS_SUBSYSTEMS_MAX];
	size_t count;
	struct ws_subsystem_record *records; /* by key */
	size_t dirty_records;
	double next_tick_at;
	/* Results of the zone filters in the current placement pass, one bit per zone. */
	uint32_t zones_avoided, zones_closed;
	/* The zones in which actions of a kind were deferred at the last tick. Bit 0 stands for an
	 * unknown zone, bit z + 1 for zone z. */
	uint64_t deferred_zones[WS_DEFERRABLE_ACTIONS];
	bool any_move_requested; /* whether any move was requested since the election */
};

/* ---- subsystems.c: attached subsystems and the events sent to them ---- */

/* Returns whether any subsystem is attached. */
bool ws_subsystems_active(const struct ws_core *core);
/* Destroys all subsystems; called when the core is freed. */
void ws_subsystems_free(struct ws_core *core);
/* Returns the key prefix of the records of the subsystem with this index, or NULL past the last. */
const char *ws_subsystems_prefix(const struct ws_core *core, size_t index);

/* Reports that this node was elected. The records have not been read yet. */
void ws_subsystems_elected(struct ws_core *core);
/* Reports the machines that are recorded as having been up, and that all records were read. */
void ws_subsystems_loaded(struct ws_core *core);
/* Reports the end of leadership: removes all machines and clears all records. */
void ws_subsystems_step_down(struct ws_core *core);

/* Reports that a machine is new, or that its properties have changed. */
void ws_subsystems_machine_updated(struct ws_core *core, struct ws_machine *machine);
/* Reports that a machine is about to be freed. Its handles must not be used afterwards. */
void ws_subsystems_machine_removed(struct ws_core *core, struct ws_machine *machine);
/* Reports a heartbeat that echoes this leader's fencing token. */
void ws_subsystems_heartbeat_seen(struct ws_core *core, struct ws_machine *machine);
/* Reports whether a command sent directly to a machine, or a probe, was answered. */
void ws_subsystems_command_answered(struct ws_core *core, struct ws_machine *machine,
				    bool answered);
/* Reports that everything that ran on a machine is lost. */
void ws_subsystems_machine_lost(struct ws_core *core, struct ws_machine *machine,
				enum ws_machine_loss loss);

/* Reports the reconciliation result of an attempt. Returns whether a subsystem requests that it be
 * quarantined. */
bool ws_subsystems_attempt_reconciled(struct ws_core *core, const struct ws_attempt *attempt,
				      enum ws_reconciliation_result result);
/* Reports how many quarantined attempts of a job were adopted; 0 if the job has become known. */
void ws_subsystems_attempts_adopted(struct ws_core *core, const char *job, uint32_t count);

/* ---- subsystem_filters.c ---- */

/* Queries which actions are deferred; called once per tick. */
void ws_subsystems_update_deferrals(struct ws_core *core);
/* Returns whether actions of a kind are deferred in a zone; index -1 is an unknown zone. */
bool ws_subsystems_action_deferred(const struct ws_core *core, enum ws_deferrable_action kind,
				   int zone);
/* Queries which zones the new placement pass is to avoid, and in which scale-out is blocked. */
void ws_subsystems_begin_pass(struct ws_core *core);
/* Returns whether a subsystem asks to use a machine only as a last resort. */
bool ws_subsystems_avoid_machine(struct ws_core *core, const struct ws_machine *machine);

/* ---- subsystem_requests.c ---- */

/* Calls the tick hooks of the subsystems if they are due, and carries out their requests. */
void ws_subsystems_tick(struct ws_core *core);

/* ---- subsystem_records.c ---- */

/* Returns the subsystem whose prefix a key has, or NULL if there is none. */
const struct ws_subsystem *ws_subsystem_of(const struct ws_core *core, const char *key);
/* Passes a record that was read, at the election or on request, to its subsystem, if any. */
void ws_subsystem_record_load(struct ws_core *core, const struct ws_kv *record);
/* Schedules the write of a record and takes ownership of the value; NULL deletes the record. */
void ws_subsystem_record_set(struct ws_core *core, const char *key, json_t *value, bool urgent);
/* Clears all records at step-down. */
void ws_subsystem_records_clear(struct ws_core *core);
#endif
