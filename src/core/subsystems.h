/* The core's side of the border to subsystems (hooks.h): dispatch, requests, records. */
#ifndef WS_SUBSYSTEMS_H
#define WS_SUBSYSTEMS_H
#include "core.h"
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
/* A record read at the election; false if no subsystem owns the key. */
bool ws_subsystems_record(struct ws_core *core, const struct ws_kv *entry);

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

/* Adds records that are due to a transaction of the leader with room for so many changes. */
void ws_subsystems_collect_writes(struct ws_core *core, struct ws_call *transaction, size_t most,
				  size_t *bytes, bool urgent);
bool ws_subsystems_written(struct ws_core *core, const struct ws_operation *operation,
			   uint64_t revision);
/* A write that did not happen; true if the key is a subsystem's. */
bool ws_subsystems_undone(struct ws_core *core, const struct ws_operation *operation, bool reread);
bool ws_subsystems_reread(struct ws_core *core, const char *key, uint64_t revision);
#endif
