/*
 * The catalog: machine types, zones and images that this node knows, each numbered by its place.
 *
 * Owns these three lists. Every node has one, leader or not. Types come from the cloud or, while it
 * is out, from the store; zones are those of the settings first; images are numbered as jobs and
 * machines name them, and forgotten at step-down.
 *
 * Promises: types and zones are never removed, so their numbers and addresses stay valid; an
 * image's number is valid until step-down. Resources are CPUs, GPUs and gigabytes of memory, times
 * seconds on the core's clock. Functions abort the process when memory runs out. The core is
 * single-threaded: the I/O layer's lock is held round each call into it.
 */
#ifndef WS_CATALOG_H
#define WS_CATALOG_H
#include "../core.h"

/* An image; images are compared by number. */
struct ws_image {
	char name[WS_NAME_MAX];
	int id;
	UT_hash_handle hh;
};

struct ws_catalog {
	/* machine types */
	struct ws_machine_type types[WS_MAX_TYPES];
	size_t type_count;
	int types_edition;   /* rises whenever the types change */
	bool types_recorded; /* the record of the types is current */
	bool request_in_flight;
	double next_request_at;

	char zones[WS_MAX_ZONES][WS_NAME_MAX];
	int zone_count;

	struct ws_image *images;
	const char **image_names; /* by number */
	int image_count;
};

/* ---- catalog.c ---- */

/* The number of an image, which is added if it is new. */
int ws_image_index(struct ws_core *core, const char *name);
/* The number of a zone, which is added if it is new; -1: no name, or too many zones. */
int ws_zone_index(struct ws_core *core, const char *name);
/* Forgets all images, at step-down. */
void ws_images_clear(struct ws_core *core);

/* The type of a name; NULL: it is not known. */
const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name);
/* Whether a task of a job fits an empty machine of a type that the job allows. */
bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec);
/* How many such tasks fit into free capacity, up to a number. */
uint32_t ws_tasks_fit(const struct ws_job_spec *spec, double cpus, double gpus, double mem_gb,
		      uint32_t limit);
/* Mean of the CPUs of the machine types; 0 while no type is known. */
double ws_mean_machine_cpus(const struct ws_core *core);
/* A task in demand units: a share of the mean CPUs of a machine. */
double ws_demand_units_of(const struct ws_core *core, const struct ws_job_spec *spec);

/* ---- machine_types.c ---- */

/* Asks the cloud, or the store, for the types when that is due: nothing is decided without them. */
void ws_machine_types_tick(struct ws_core *core);
#endif
