/*
 * The autoscaler rents machines from the cloud for tasks that found no free capacity, up to the
 * limit that the queue model computed. It returns rented machines that are empty, that have failed
 * or that no longer send heartbeats.
 *
 * Only the leader has this state. It is cleared at step-down, except for the limit and the measured
 * boot times. Times are in seconds on the core's clock.
 */
#ifndef WS_AUTOSCALER_H
#define WS_AUTOSCALER_H
#include "../core.h"

struct ws_job;
struct ws_machine;

enum ws_scale_out_state {
	WS_SCALE_OUT_NEW,      /* its record has not been written yet */
	WS_SCALE_OUT_RECORDED, /* its record is stored; the cloud is to be called */
	WS_SCALE_OUT_SENT,     /* the cloud's reply is outstanding */
	WS_SCALE_OUT_GRANTED,  /* the cloud returned the names of the instances */
	WS_SCALE_OUT_DISCARDED /* its record is to be deleted */
};

/*
 * A scale-out request and its state. Its idempotency key is stored before the request is sent to
 * the cloud.
 */
struct ws_scale_out {
	char idempotency_key[WS_NAME_MAX];
	char type[WS_NAME_MAX], zone[WS_NAME_MAX];
	bool preemptible;
	uint32_t count; /* number of machines requested */
	enum ws_scale_out_state state;
	char (*instances)[WS_NAME_MAX]; /* owned by the request */
	uint32_t instance_count;
	double created_at, next_attempt_at;
	uint64_t revision; /* store revision of its record; 0: no record exists */
	bool dirty, write_in_flight;
	struct ws_scale_out *dirty_prev, *dirty_next;
	UT_hash_handle hh;
};

/* Capacity errors for one kind of machine: the cloud had none of it, or fewer than requested. */
struct ws_capacity_error {
	double backoff_until;	  /* no request for this kind before then */
	int consecutive_errors;	  /* errors since the backoff was last reset */
	int returned_since_error; /* machines of this kind returned since the last error */
};

struct ws_autoscaler {
	struct ws_scale_out *requests;
	struct ws_scale_out *dirty_requests;
	uint64_t request_sequence; /* number in this leader's newest idempotency key */
	bool scale_out_in_flight;  /* a request is being recorded or sent */
	/* Whether the last call was a scale-out. Scale-out and scale-in calls alternate while both
	 * are due. */
	bool last_call_was_scale_out;
	/* Whether a machine is gone, so that the records of requests may still list it. */
	bool records_stale;
	double next_record_update_at;
	double next_check_at;
	double next_cloud_call_at;
	int scale_in_due_count; /* machines whose return was due at the last check */
	/* When no return was due, or when the last scale-in call was made; the later of the two. */
	double scale_in_wait_start;
	/* State of reading the cloud's list of instances. */
	bool list_in_flight;
	double next_list_at;
	char list_cursor[WS_KEY_MAX]; /* last name on the previous page, or empty */
	uint64_t list_generation;     /* number of the current pass over the list */
	struct ws_capacity_error capacity_errors[WS_MAX_TYPES][WS_MAX_ZONES]
						[2]; /* on-demand, preemptible */
	int new_machines_needed; /* machines to add for the unmet demand of the last pass */
	/* Limit on rented machines in demand units (k of the queue model); negative if unknown. */
	int unit_limit;
	double measured_at, next_measurement_at; /* start and end of the measurement period */
};

/* ---- autoscaler.c ---- */

/* Sends the cloud calls that are due. It is called at each tick of the core. */
void ws_autoscaler_tick(struct ws_core *core);
/* Clears requests, demand and capacity errors at step-down. */
void ws_autoscaler_reset(struct ws_core *core);

/* ---- scale_out_plan.c ---- */

/* Packs the unmet demand of the scheduling pass into machines, and creates a scale-out request if
 * one is allowed at this time. */
void ws_autoscaler_plan(struct ws_core *core);

/* ---- scale_out.c ---- */

/* Schedules the write of a request's record. */
void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request);
/* Handles the committed write of a request's record. After a deletion the request is freed. */
void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted);
/* Removes a request from all lists and frees it. */
void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request);

/* ---- scale_in.c ---- */

/* Returns whether a machine has not sent its first heartbeat within the boot timeout. */
bool ws_boot_timed_out(const struct ws_core *core, const struct ws_machine *machine);

/* ---- capacity_errors.c ---- */

/* Returns whether some kind of machine that fits a job can be requested in a zone, that is, whether
 * the zone is open for scale-out and no capacity error is active for that kind. */
bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index);

/* ---- scale_out_records.c ---- */

/* Encodes a request as its stored record. */
json_t *ws_scale_out_encode(const struct ws_scale_out *request);
/* Decodes a stored record. Returns false if that fails; the request may own instances even then. */
bool ws_scale_out_decode(json_t *value, struct ws_scale_out *request);

#endif
