/* What the modules of the autoscaler share; not for other parts of the core. */
#ifndef WS_AUTOSCALER_INTERNAL_H
#define WS_AUTOSCALER_INTERNAL_H
#include "../core_state.h"

/* Seconds between calls that change something in the cloud. */
#define WS_CLOUD_CALL_INTERVAL_S 1

/* Machines that the cloud tells apart by no more than their names. */
struct ws_machine_kind {
	const struct ws_machine_type *type;
	int zone_index; /* -1: unknown */
	bool preemptible;
};

/* ---- autoscaler.c ---- */

/* When a call to the cloud that failed now is to be made again. */
double ws_cloud_call_retry_at(const struct ws_core *core);

/* ---- demand_packing.c ---- */

/* Machines of one kind that are booting, or to be requested, and equally full. */
struct ws_bin {
	struct ws_machine_kind kind;
	uint32_t machine_count;
	double free_cpus, free_gpus, free_mem_gb; /* of each machine */
};

/* Bins that unmet demand is packed into by first fit. */
struct ws_packing {
	struct ws_bin *bins; /* freed by ws_packing_clear */
	int bin_count, bin_capacity;
	uint32_t machine_counts[WS_MAX_TYPES][WS_MAX_ZONES]; /* in the bins */
	double smallest_task_cpus; /* CPUs of the smallest task of the unmet demand */
};

/* A bin of empty machines. */
struct ws_bin ws_bin_of_empty(const struct ws_machine_kind *kind, uint32_t machine_count);
/* How many tasks of the demand one machine of the bin still takes. */
uint32_t ws_bin_tasks_fit(const struct ws_core *core, const struct ws_bin *bin,
			  const struct ws_unmet_demand *demand);
void ws_packing_add_bin(struct ws_packing *packing, const struct ws_bin *bin);
/* Adds empty machines to the bin of their kind. Only before tasks are placed. */
void ws_packing_add_machines(struct ws_core *core, struct ws_packing *packing,
			     const struct ws_machine_kind *kind, uint32_t machine_count);
/* Places up to a number of tasks on machines of a bin, which is split as needed. Returns how many.
 */
uint32_t ws_packing_place(const struct ws_core *core, struct ws_packing *packing, int index,
			  const struct ws_unmet_demand *demand, uint32_t tasks);
/* Drops bins that are too full for every task of the unmet demand. */
void ws_packing_drop_full(struct ws_packing *packing);
void ws_packing_clear(struct ws_packing *packing);

/* ---- scale_out.c ---- */

/* Creates a request, whose record is written first. At most as many machines as its record can name
 * are asked for. */
struct ws_scale_out *ws_scale_out_create(struct ws_core *core, const struct ws_machine_kind *kind,
					 uint32_t machine_count);
/* Whether the cloud has not answered the request yet. */
bool ws_scale_out_is_pending(const struct ws_scale_out *request);
/* Sends a request that is on record and due, and brings records of older ones up to date. */
void ws_scale_out_tick(struct ws_core *core, bool update_records);
/*
 * Whether records of granted requests are to be brought up to date now; the next time is put off.
 * They come no more often than instance lists while write operations are short.
 */
bool ws_scale_out_update_due(struct ws_core *core);

/* ---- scale_in.c ---- */

/* Decides which rented machines are returned, and asks the cloud to take those back that are due.
 */
void ws_scale_in_tick(struct ws_core *core);
/* Whether machines to be returned go before the next scale-out request. */
bool ws_scale_in_goes_first(const struct ws_core *core);

/* ---- instance_list.c ---- */

/* Asks the cloud for the next page of its instances, if that is due. */
void ws_instance_list_tick(struct ws_core *core);

/* ---- capacity_errors.c ---- */

/* Whether machines of a kind may not be requested now. */
bool ws_capacity_error_is_active(const struct ws_core *core, const struct ws_machine_kind *kind);
/* The cloud had none of this kind, or too few: back off, for longer each time. */
void ws_capacity_error_back_off(struct ws_core *core, const struct ws_scale_out *request);
/* The cloud gave all that was asked for. */
void ws_capacity_error_clear(struct ws_core *core, const struct ws_scale_out *request);
/* A machine was returned, and the cloud may have it to give again. */
void ws_capacity_error_scaled_in(struct ws_core *core, const struct ws_machine *machine);

/* ---- queue_measurements.c ---- */

/* Rented machines that count against the limit. */
struct ws_rented_totals {
	double units; /* in demand units */
	int machine_count;
	int booting_count; /* of these */
};

/* A machine in demand units: its size over that of one of middling size. NULL counts as that. */
double ws_demand_units_of_machine(const struct ws_core *core, const struct ws_machine_type *type);
struct ws_rented_totals ws_count_rented(struct ws_core *core);

#endif
