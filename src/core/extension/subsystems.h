/*
 * The core's side of the border to subsystems (hooks.h): which are attached, events to them, their
 * filters, their requests and their records.
 *
 * Owns the attached subsystems for the life of the core, and their records while this node leads; a
 * subsystem owns what it returns as the handle of a machine, until machine_removed(). The records
 * are a record source of the writer and the loader (store/record_source.h).
 *
 * Promises: hooks are called on the leader alone, in the order in which the subsystems were
 * attached; without a subsystem, all of this has no effect. Times are seconds on the core's clock.
 * Requests that can't be carried out are logged and left out. The core is single-threaded: the I/O
 * layer's lock is held round each call into it.
 */
#ifndef WS_SUBSYSTEMS_H
#define WS_SUBSYSTEMS_H
#include "../core.h"
#include "hooks.h"

struct ws_machine;
struct ws_job;
struct ws_attempt;

/* A record of a subsystem, as this leader last wrote or read it. */
struct ws_subsystem_record {
	char key[WS_KEY_MAX];
	json_t *value; /* to be written; NULL: to be deleted */
	uint64_t revision;
	bool dirty, write_in_flight;
	bool urgent; /* goes before the records of jobs */
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
	double tick_next;
	/* the filters' answers in the pass under way, a bit for each zone */
	uint32_t zones_avoided, zones_closed;
	/* at the last tick: the zones in which actions of a kind wait; bit 0: no known zone */
	uint64_t deferred[WS_DEFERRABLE_ACTIONS];
	bool moves; /* some job has a move */
};

/* ---- subsystems.c: attached subsystems, and events to them ---- */

/* Whether any is attached. */
bool ws_subsystems_active(const struct ws_core *core);
/* Destroys all, with the core. */
void ws_subsystems_free(struct ws_core *core);
/* Prefix of the i-th subsystem's records; NULL behind the last. */
const char *ws_subsystems_prefix(const struct ws_core *core, size_t index);

/* This node was elected; its records are not read yet. */
void ws_subsystems_elected(struct ws_core *core);
/* All records are read; tells the machines that are on record as having been up. */
void ws_subsystems_loaded(struct ws_core *core);
/* Leadership ends: takes back all machines and forgets all records. */
void ws_subsystems_step_down(struct ws_core *core);

/* A machine is new, or what is known of it has changed. */
void ws_subsystems_machine(struct ws_core *core, struct ws_machine *machine);
/* A machine is about to be forgotten; ends the use of its handles. */
void ws_subsystems_machine_removed(struct ws_core *core, struct ws_machine *machine);
/* A heartbeat showed that its machine hears this leader. */
void ws_subsystems_heartbeat(struct ws_core *core, struct ws_machine *machine);
/* A direct command, or a probe, was answered or not. */
void ws_subsystems_answered(struct ws_core *core, struct ws_machine *machine, bool answered);
/* All that was on a machine is surely gone. */
void ws_subsystems_lost(struct ws_core *core, struct ws_machine *machine,
			enum ws_machine_loss loss);

/* The reconciliation result of an attempt; whether a subsystem wants it quarantined. */
bool ws_subsystems_reconciled(struct ws_core *core, const struct ws_attempt *attempt,
			      enum ws_reconciliation_result result);
/* So many quarantined attempts of a job were adopted; 0: the job is known. */
void ws_subsystems_adopted(struct ws_core *core, const char *job, uint32_t count);

/* ---- subsystem_filters.c ---- */

/* Asks which actions wait, once a tick. */
void ws_subsystems_ask_deferred(struct ws_core *core);
/* Whether actions of a kind wait in a zone, by its number; -1: no known zone. */
bool ws_subsystems_defer(const struct ws_core *core, enum ws_deferrable_action kind, int zone);
/* Asks which zones the placement pass that begins is to avoid, and which are closed. */
void ws_subsystems_begin_pass(struct ws_core *core);
/* Whether a machine is to be used only by work that finds no other room. */
bool ws_subsystems_avoided(struct ws_core *core, const struct ws_machine *machine);

/* ---- subsystem_requests.c ---- */

/* Calls the subsystems' ticks if they are due, and carries out what they ask for. */
void ws_subsystems_tick(struct ws_core *core);

/* ---- subsystem_records.c ---- */

/* The subsystem whose record a key names; NULL: none. */
const struct ws_subsystem *ws_subsystem_of(const struct ws_core *core, const char *key);
/* A record that was read, at the election or by request: passes it to its subsystem, if any. */
void ws_subsystem_record_load(struct ws_core *core, const struct ws_kv *record);
/* What is to be on record under a key from now on; takes over the value; NULL: nothing. */
void ws_subsystem_record_set(struct ws_core *core, const char *key, json_t *value, bool urgent);
/* Forgets all records, at step-down. */
void ws_subsystem_records_clear(struct ws_core *core);
#endif
