/* The core's side of the border to subsystems (hooks.h): dispatch, requests, records. The records
 * are a source of the writer and the loader, see record_sources.h. */
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
	bool dirty, write_in_flight, urgent;
	UT_hash_handle hh;
};

struct ws_subsystem {
	const struct ws_subsystem_ops *ops;
	void *self;
};

struct ws_subsystems {
	struct ws_subsystem list[WS_SUBSYSTEMS_MAX];
	size_t count;
	struct ws_subsystem_record *records;
	size_t dirty_records;
	double tick_next;
	/* of the pass under way, a bit for each zone: what the filters say */
	uint32_t zones_avoided, zones_closed;
	/* of the last tick: the zones in which orders of a kind wait; bit 0: no known zone */
	uint64_t deferred[WS_DEFERRABLE_ACTIONS];
	bool moves; /* some job has a move */
};

bool ws_subsystems_active(const struct ws_core *core);
void ws_subsystems_free(struct ws_core *core);
void ws_subsystems_elected(struct ws_core *core);
void ws_subsystems_loaded(struct ws_core *core);
void ws_subsystems_step_down(struct ws_core *core);
void ws_subsystems_tick(struct ws_core *core);

/* Prefix of the i-th subsystem's records; NULL behind the last. */
const char *ws_subsystems_prefix(const struct ws_core *core, size_t index);
/* The subsystem whose record a key names; NULL: none. */
const struct ws_subsystem *ws_subsystem_of(const struct ws_core *core, const char *key);

/* A record that was read, at the election or by request: goes to its subsystem, if there is one. */
void ws_subsystem_record_load(struct ws_core *core, const struct ws_kv *record);
/* What is to be on record under a key from now on; takes over the value; NULL: nothing. */
void ws_subsystem_record_set(struct ws_core *core, const char *key, json_t *value, bool urgent);
/* Forgets all records, at step-down. */
void ws_subsystem_records_clear(struct ws_core *core);

void ws_subsystems_machine(struct ws_core *core, struct ws_machine *machine);
void ws_subsystems_machine_removed(struct ws_core *core, struct ws_machine *machine);
void ws_subsystems_heartbeat(struct ws_core *core, struct ws_machine *machine);
void ws_subsystems_answered(struct ws_core *core, struct ws_machine *machine, bool answered);
void ws_subsystems_lost(struct ws_core *core, struct ws_machine *machine,
			enum ws_machine_loss loss);

/* Whether a subsystem wants the attempt quarantined. */
bool ws_subsystems_reconciled(struct ws_core *core, const struct ws_attempt *attempt,
			      enum ws_reconciliation_result kind);
void ws_subsystems_adopted(struct ws_core *core, const char *job, uint32_t count);
/* Whether orders of a kind wait in a zone, by its number; -1: no known zone. */
bool ws_subsystems_defer(const struct ws_core *core, enum ws_deferrable_action kind, int zone);

/* Asks the filters what this placement pass must avoid. */
void ws_subsystems_begin_pass(struct ws_core *core);
bool ws_subsystems_avoided(struct ws_core *core, const struct ws_machine *machine);
#endif
