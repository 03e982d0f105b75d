/*
 * The catalog: machine types, zones and images that this node knows, each numbered by its place.
 *
 * Every node has one, leader or not. Types come from the cloud or, while it is out, from the store;
 * zones are those of the settings first; images are numbered as jobs and machines name them and
 * forgotten at step-down. Numbers are valid for the life of the entry.
 */
#ifndef WS_CATALOG_H
#define WS_CATALOG_H
#include "../core.h"

struct ws_image { /* images are compared by number */
	char name[WS_NAME_MAX];
	int id;
	UT_hash_handle hh;
};

struct ws_catalog {
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

/* The number of an image, which is added if it is new. */
int ws_image_index(struct ws_core *core, const char *name);
/* The number of a zone, which is added if it is new; -1: no name, or too many zones. */
int ws_zone_index(struct ws_core *core, const char *name);
/* Forgets all images, at step-down. */
void ws_images_clear(struct ws_core *core);

/* NULL: no such type is known. */
const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name);
/* Whether a task of a job fits an empty machine of a type that the job allows. */
bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec);
/* How many such tasks fit into free capacity, up to a number. */
uint32_t ws_tasks_fit(const struct ws_job_spec *spec, double cpus, double gpus, double mem,
		      uint32_t most);
/* CPUs of a machine of middling size; 0 while no type is known. */
double ws_mean_machine_cpus(const struct ws_core *core);
/* A task in demand units: a share of one machine of middling size. */
double ws_demand_units_of(const struct ws_core *core, const struct ws_job_spec *spec);

/* machine_types.c: asks the cloud, or the store, for the types when that is due. */
void ws_machine_types_tick(struct ws_core *core);
#endif
