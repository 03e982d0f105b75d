/* Declarations shared by the modules of the autoscaler. Other parts of the core don't use them. */
#ifndef WS_AUTOSCALER_INTERNAL_H
#define WS_AUTOSCALER_INTERNAL_H
#include "../core_state.h"

/* Minimum interval between calls to the cloud. */
#define WS_CLOUD_CALL_INTERVAL_S 1

/* Machines with the same properties in the cloud; only their names differ. */
struct ws_machine_kind {
	const struct ws_machine_type *type;
	int zone_index; /* -1: unknown */
	bool preemptible;
};

/* ---- autoscaler.c ---- */

/* Returns when a cloud call that has just failed is to be retried. */
double ws_cloud_call_retry_at(const struct ws_core *core);

/* ---- demand_packing.c ---- */

/* Machines of one kind, booting or still to be requested, with the same free resources. */
struct ws_bin {
	struct ws_machine_kind kind;
	uint32_t machine_count;
	struct ws_capacity free; /* on each machine */
};

/* The bins into which unmet demand is packed by first fit. */
struct ws_packing {
	struct ws_bin *bins; /* freed by ws_packing_clear */
	int bin_count, bin_capacity;
	uint32_t machine_counts[WS_MAX_TYPES][WS_MAX_ZONES]; /* machines in the bins */
	double smallest_task_cpus; /* the least that a task of the unmet demand needs */
};

/* Returns a bin of empty machines. */
struct ws_bin ws_bin_of_empty(const struct ws_machine_kind *kind, uint32_t machine_count);
/* Returns how many more tasks of the demand fit on one machine of the bin. */
uint32_t ws_bin_tasks_fit(const struct ws_core *core, const struct ws_bin *bin,
			  const struct ws_unmet_demand *demand);
void ws_packing_add_bin(struct ws_packing *packing, const struct ws_bin *bin);
/* Adds empty machines to the bin of their kind. It must be called before tasks are placed. */
void ws_packing_add_machines(struct ws_core *core, struct ws_packing *packing,
			     const struct ws_machine_kind *kind, uint32_t machine_count);
/* Places up to `tasks` tasks on the machines of a bin, which is split as needed. Returns the number
 * of tasks placed. */
uint32_t ws_packing_place(const struct ws_core *core, struct ws_packing *packing, int index,
			  const struct ws_unmet_demand *demand, uint32_t tasks);
/* Removes bins that have too few free CPUs for any task of the unmet demand. */
void ws_packing_drop_full(struct ws_packing *packing);
void ws_packing_clear(struct ws_packing *packing);

/* ---- scale_out.c ---- */

/* Creates a request and schedules the write of its record; the cloud is called after that. The
 * number of machines is limited to the names that fit into the record. */
struct ws_scale_out *ws_scale_out_create(struct ws_core *core, const struct ws_machine_kind *kind,
					 uint32_t machine_count);
/* Returns whether the cloud has not replied to the request yet. */
bool ws_scale_out_is_pending(const struct ws_scale_out *request);
/* Sends a recorded request that is due. If update_records is set, removes machines that are gone
 * from the records of granted requests. */
void ws_scale_out_tick(struct ws_core *core, bool update_records);
/*
 * Returns whether the records of granted requests are to be updated now, and if so schedules the
 * next update. Without spare write budget, updates are no more frequent than instance lists.
 */
bool ws_scale_out_update_due(struct ws_core *core);

/* ---- scale_in.c ---- */

/* Marks the rented machines that are to be returned, and sends the scale-in call that is due. */
void ws_scale_in_tick(struct ws_core *core);
/* Returns whether a scale-in call is to be sent before the next scale-out request. */
bool ws_scale_in_has_priority(const struct ws_core *core);

/* ---- instance_list.c ---- */

/* Requests the next page of the cloud's instance list if it is due. */
void ws_instance_list_tick(struct ws_core *core);

/* ---- capacity_errors.c ---- */

/* Returns whether a kind of machine is in backoff and must not be requested. */
bool ws_capacity_error_is_active(const struct ws_core *core, const struct ws_machine_kind *kind);
/* Starts or extends the backoff after the cloud had none of a kind, or fewer than requested. */
void ws_capacity_error_back_off(struct ws_core *core, const struct ws_scale_out *request);
/* Ends the backoff after the cloud granted all requested machines. */
void ws_capacity_error_clear(struct ws_core *core, const struct ws_scale_out *request);
/* Counts a returned machine, which the cloud may be able to grant again. */
void ws_capacity_error_scaled_in(struct ws_core *core, const struct ws_machine *machine);

/* ---- queue_measurements.c ---- */

/* Rented machines that count against the limit. */
struct ws_rented_totals {
	double units; /* their size in demand units */
	int machine_count;
	int booting_count; /* those that are still booting */
};

/* Returns the size of a machine in demand units: its CPUs divided by the catalog's mean. A NULL
 * type counts as one unit. */
double ws_demand_units_of_machine(const struct ws_core *core, const struct ws_machine_type *type);
/* Adds up the rented machines and those of pending requests. */
struct ws_rented_totals ws_count_rented(struct ws_core *core);

#endif
