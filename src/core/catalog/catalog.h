/*
 * The catalog lists the machine types, zones and images known to this node. Other modules refer to
 * them by their index in the list.
 *
 * The catalog owns the three lists. Every node has a catalog, whether it leads or not. Machine
 * types come from the cloud or, while the cloud is unavailable, from a record in the store. The
 * zones of the settings come first in the list of zones. Images are added when a job or a machine
 * names them, and removed at step-down.
 *
 * Machine types and zones are never removed, so their indexes and addresses stay valid. An image's
 * index is valid until step-down. Resources are given in CPUs, GPUs, gigabytes of memory and bytes
 * of a report, times in seconds on the core's clock. A failed memory allocation aborts the process.
 * The core is single-threaded: the I/O layer holds its lock during each call into it.
 */
#ifndef WS_CATALOG_H
#define WS_CATALOG_H
#include "../core.h"

/* Resources that a machine has left, or that tasks take of it. */
struct ws_capacity {
	double cpus, gpus, mem_gb;
	double report_bytes; /* of the machine's reports, which have a maximum size */
};

/* An image that jobs run and machines cache. Images are compared by index. */
struct ws_image {
	char name[WS_NAME_MAX];
	int index;
	UT_hash_handle hh;
};

struct ws_catalog {
	/* machine types */
	struct ws_machine_type types[WS_MAX_TYPES];
	size_t type_count;
	int types_version;   /* incremented when the types may have changed */
	bool types_recorded; /* the types are stored, or too large to be stored */
	bool request_in_flight;
	double next_request_at;

	char zones[WS_MAX_ZONES][WS_NAME_MAX];
	int zone_count;

	struct ws_image *images;
	const char **image_names; /* by index */
	int image_count;
};

/* ---- catalog.c ---- */

/* Returns the index of an image. Adds the image if it is new. */
int ws_image_index(struct ws_core *core, const char *name);
/* Returns the index of a zone, which is added if it is new. Returns -1 if the name is empty or the
 * list is full. */
int ws_zone_index(struct ws_core *core, const char *name);
/* Removes all images; called at step-down. */
void ws_images_clear(struct ws_core *core);

/* Returns the machine type with a name, or NULL if no such type is known. */
const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name);
/* Returns true if a job allows a machine type and one of its tasks fits an empty machine of it. */
bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec);
/* Returns the capacity of an empty machine of a type. */
struct ws_capacity ws_type_capacity(const struct ws_machine_type *type);
/* Returns what a task of a job takes of its machine. */
struct ws_capacity ws_task_capacity(const struct ws_job_spec *spec);
/* Adds a number of times one capacity to another; the number may be negative. */
void ws_capacity_add(struct ws_capacity *capacity, const struct ws_capacity *added, double times);
/* Returns how many tasks that each take `task` fit into the given capacity, at most the limit. */
uint32_t ws_tasks_fit(const struct ws_capacity *task, const struct ws_capacity *capacity,
		      uint32_t limit);
/* Returns the mean number of CPUs of the known machine types, or 0 if none is known. */
double ws_mean_machine_cpus(const struct ws_core *core);
/* Returns the demand of one task: its CPUs as a fraction of the mean CPUs of a machine type, or its
 * part of a machine's report if that is more. */
double ws_task_demand_units(const struct ws_core *core, const struct ws_job_spec *spec);

/* ---- machine_types.c ---- */

/* Requests the machine types from the cloud when that is due. A node without types requests them
 * whether it leads or not, since no job can be accepted or placed without them. */
void ws_machine_types_tick(struct ws_core *core);
#endif
