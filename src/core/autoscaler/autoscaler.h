/*
 * The autoscaler: scales out for demand that found no free capacity, up to the limit that the queue
 * model gave, and scales in rented machines that are empty, silent or failed.
 *
 * Its state is the leader's and forgotten at step-down, but for the limit and the boot times.
 * Times are in seconds by the core's clock.
 */
#ifndef WS_AUTOSCALER_H
#define WS_AUTOSCALER_H
#include "../core.h"

struct ws_job;
struct ws_machine;

enum ws_scale_out_state {
	WS_SCALE_OUT_NEW,      /* not on record yet */
	WS_SCALE_OUT_RECORDED, /* on record, to be sent */
	WS_SCALE_OUT_SENT,     /* the cloud's answer is outstanding */
	WS_SCALE_OUT_GRANTED,  /* the cloud named its instances */
	WS_SCALE_OUT_DISCARDED /* its record is to be deleted */
};

/* A scale-out request and what became of it. Its idempotency key is on record before the cloud is
 * asked. */
struct ws_scale_out {
	char idempotency_key[WS_NAME_MAX];
	char type[WS_NAME_MAX], zone[WS_NAME_MAX];
	bool preemptible;
	uint32_t count; /* machines asked for */
	enum ws_scale_out_state state;
	char (*instances)[WS_NAME_MAX]; /* owned by the request */
	uint32_t instance_count;
	double created_at, next_attempt_at;
	uint64_t revision; /* of its record; 0: none */
	bool dirty, write_in_flight;
	struct ws_scale_out *dirty_prev, *dirty_next;
	UT_hash_handle hh;
};

/* Capacity errors for a kind of machine: the cloud had none, or fewer than asked for. */
struct ws_capacity_error {
	double until;	     /* end of the back-off */
	int count;	     /* errors in a row */
	int scaled_in_since; /* machines of this kind returned since */
};

struct ws_autoscaler {
	struct ws_scale_out *requests;
	struct ws_scale_out *dirty_requests;
	uint64_t request_sequence; /* of the newest idempotency key of this leader */
	bool scale_out_in_flight;  /* a request is being written or sent */
	bool scaled_out_last; /* rather than in: the two take turns while both have calls to make */
	bool instances_stale; /* a machine went: records of requests may be out of date */
	double next_record_update_at;
	double next_check_at;
	double next_cloud_call_at;
	int scale_ins_due;	    /* machines to be returned at the last check */
	double scale_ins_due_since; /* when none were due, or some were last returned */
	/* the cloud's list of instances */
	bool list_in_flight;
	double next_list_at;
	char list_continues_after[WS_KEY_MAX]; /* last name of the page before; empty: no page */
	uint64_t list_mark;		       /* number of the list being read */
	struct ws_capacity_error capacity_errors[WS_MAX_TYPES][WS_MAX_ZONES]
						[2]; /* ordinary, preemptible */
	int units_waiting;			     /* demand units that wait, at the last pass */
	/* the queue model: its result, in demand units, and when it is measured for */
	int unit_limit; /* the paper's k; below 0: not known yet */
	double measured_at, next_measurement_at;
};

/* ---- autoscaler.c ---- */

/* Sends the calls to the cloud that are due; called at each tick of the core. */
void ws_autoscaler_tick(struct ws_core *core);
/* Forgets requests, demand and capacity errors, at step-down. */
void ws_autoscaler_reset(struct ws_core *core);

/* ---- scale_out_plan.c ---- */

/* Packs the unmet demand of the scheduler's pass into machines, and creates a scale-out request for
 * them if one may be made now. */
void ws_autoscaler_plan(struct ws_core *core);

/* ---- scale_out.c ---- */

/* The request's record is to be written. */
void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request);
/* The request's record was written, or deleted: then the request is freed. */
void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted);
/* Takes a request off all lists and frees it. */
void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request);

/* ---- scale_in.c ---- */

/* Whether a machine that never sent a heartbeat should have done so by now. */
bool ws_boot_is_late(const struct ws_core *core, const struct ws_machine *machine);

/* ---- capacity_errors.c ---- */

/* Whether machines that fit a job can be requested in a zone, as far as capacity errors tell. */
bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index);

/* ---- scale_out_records.c ---- */

/* A request's record. */
json_t *ws_record_scale_out(const struct ws_scale_out *request);
/* False: the record can't be decoded; the request may own instances all the same. */
bool ws_record_read_scale_out(json_t *value, struct ws_scale_out *request);

#endif
