/*
 * The autoscaler: rents machines for demand that found no room, up to the limit that the queue
 * model gave, and returns machines that are empty, silent or failed.
 *
 * All of it is the leader's and forgotten at step-down, but for the limit and the boot times.
 */
#ifndef WS_AUTOSCALER_H
#define WS_AUTOSCALER_H
#include "../core.h"

struct ws_job;
struct ws_machine;

enum ws_scale_out_state {
	WS_SCALE_OUT_NEW,
	WS_SCALE_OUT_RECORDED,
	WS_SCALE_OUT_SENT,
	WS_SCALE_OUT_GRANTED,
	WS_SCALE_OUT_DISCARDED
};
/* Machines of one call to return them. */
#define WS_SCALE_IN_MAX 100

/* A scale-out request and what became of it. Its key is on record before the cloud is asked. */
struct ws_scale_out {
	char idempotency_key[WS_NAME_MAX];
	char type[WS_NAME_MAX], zone[WS_NAME_MAX];
	bool preemptible;
	uint32_t count;
	enum ws_scale_out_state state;
	char (*instances)[WS_NAME_MAX];
	uint32_t instance_count;
	double created_at, next_attempt_at;
	uint64_t revision;
	bool dirty, write_in_flight;
	struct ws_scale_out *dirty_prev, *dirty_next;
	UT_hash_handle hh;
};

struct ws_capacity_error { /* of a kind of machine that the cloud would not give */
	double until;
	int count;
	int returned_since; /* machines of this kind given back since */
};

struct ws_autoscaler {
	struct ws_scale_out *requests;
	struct ws_scale_out *dirty_requests;
	uint64_t request_sequence; /* of the newest idempotency key of this leader */
	bool scale_out_in_flight;
	bool scaled_out_last; /* and not in: the two take turns while both wait */
	bool instances_stale; /* a machine went: records of requests may be out of date */
	double next_record_update_at;
	double next_check_at;
	double next_cloud_call_at;
	int scale_ins_waiting;		/* machines to be returned at the last sweep */
	double scale_ins_waiting_since; /* none waited then, or some were returned */
	/* the cloud's list of instances */
	bool list_in_flight;
	double next_list_at;
	char list_continues_after[WS_KEY_MAX];
	uint64_t list_mark;
	struct ws_capacity_error capacity_errors[WS_MAX_TYPES][WS_MAX_ZONES]
						[2]; /* ordinary, preemptible */

	int units_waiting; /* demand units that wait, at the last pass */
	/* the queue model: its result, and what is measured for it, in demand units */
	int unit_limit; /* the paper's k; below 0: not known yet */
	double measured_at, next_measurement_at;
	double units_arrived, units_completed, busy_unit_seconds; /* since the last measurement */
	double busy_units, busy_counted_at; /* held by arrays, and counted up to then */
	double boot_seconds, boots;
};

bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index);
void ws_autoscaler_tick(struct ws_core *core);
void ws_autoscaler_plan(struct ws_core *core);
void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request);
void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted);
void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request);
bool ws_boot_is_late(const struct ws_core *core, const struct ws_machine *machine);

/* Forgets requests, demand and errors, at step-down. */
void ws_autoscaler_reset(struct ws_core *core);

/* ---- scale_out_records.c ---- */

json_t *ws_record_scale_out(const struct ws_scale_out *rental);
/* False: the record can't be decoded; the request may own instances all the same. */
bool ws_record_read_scale_out(json_t *value, struct ws_scale_out *rental);

#endif
