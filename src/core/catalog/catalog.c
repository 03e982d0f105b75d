/* Lookup of machine types, zones and images by name, and which tasks fit a machine type. */
#include "../core_state.h"
#include "../message_size.h"

/* Sums of resource amounts may have rounding errors of this size. */
#define WS_RESOURCE_TOLERANCE 1e-9

/* Adds an image with the next free index. */
static struct ws_image *ws_image_add(struct ws_catalog *catalog, const char *name)
{
	struct ws_image *image = calloc(1, sizeof(*image));
	size_t new_count = (size_t)catalog->image_count + 1;

	catalog->image_names =
	    realloc(catalog->image_names, new_count * sizeof(*catalog->image_names));
	if (!image || !catalog->image_names)
		abort();
	snprintf(image->name, sizeof(image->name), "%s", name);
	image->index = catalog->image_count;
	catalog->image_names[image->index] = image->name;
	catalog->image_count++;
	HASH_ADD_STR(catalog->images, name, image);
	return image;
}

int ws_image_index(struct ws_core *core, const char *name)
{
	struct ws_image *image;

	HASH_FIND_STR(core->catalog.images, name, image);
	if (!image)
		image = ws_image_add(&core->catalog, name);
	return image->index;
}

int ws_zone_index(struct ws_core *core, const char *name)
{
	if (!name[0])
		return -1;
	for (int i = 0; i < core->catalog.zone_count; i++)
		if (!strcmp(core->catalog.zones[i], name))
			return i;
	if (core->catalog.zone_count == WS_MAX_ZONES)
		return -1;
	snprintf(core->catalog.zones[core->catalog.zone_count], WS_NAME_MAX, "%s", name);
	return core->catalog.zone_count++;
}

double ws_mean_machine_cpus(const struct ws_core *core)
{
	double mean_cpus = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		mean_cpus += core->catalog.types[i].cpus / (double)core->catalog.type_count;
	return mean_cpus;
}

double ws_task_demand_units(const struct ws_core *core, const struct ws_job_spec *spec)
{
	double mean_cpus = ws_mean_machine_cpus(core);

	return mean_cpus > 0
		   ? fmax(spec->cpus / mean_cpus,
			  (double)ws_job_report_entry_bytes(spec) / WS_REPORT_TASKS_BYTES_MAX)
		   : 0;
}

const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name)
{
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (!strcmp(core->catalog.types[i].name, name))
			return &core->catalog.types[i];
	return NULL;
}

/* Returns true if a job lists a machine type, or lists none and so allows all. */
static bool ws_job_allows_type(const struct ws_job_spec *spec, const struct ws_machine_type *type)
{
	if (spec->type_count == 0)
		return true;
	for (size_t i = 0; i < spec->type_count; i++)
		if (!strcmp(spec->types[i], type->name))
			return true;
	return false;
}

/* Returns true if a machine type is offered in a zone, or if the zone's name is empty. */
static bool ws_machine_type_is_in_zone(const struct ws_machine_type *type, const char *zone)
{
	if (!zone[0])
		return true;
	for (size_t i = 0; i < type->zone_count; i++)
		if (!strcmp(type->zones[i], zone))
			return true;
	return false;
}

bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec)
{
	return ws_job_allows_type(spec, type) && ws_machine_type_is_in_zone(type, spec->zone) &&
	       spec->cpus <= type->cpus + WS_RESOURCE_TOLERANCE &&
	       spec->gpus <= type->gpus + WS_RESOURCE_TOLERANCE &&
	       spec->mem_gb <= type->mem_gb + WS_RESOURCE_TOLERANCE;
}

void ws_images_clear(struct ws_core *core)
{
	struct ws_image *image = core->catalog.images, *next;

	HASH_CLEAR(hh, core->catalog.images);
	for (; image; image = next) {
		next = image->hh.next;
		free(image);
	}
	free(core->catalog.image_names);
	core->catalog.image_names = NULL;
	core->catalog.image_count = 0;
}

struct ws_capacity ws_type_capacity(const struct ws_machine_type *type)
{
	return (struct ws_capacity){.cpus = type->cpus,
				    .gpus = type->gpus,
				    .mem_gb = type->mem_gb,
				    .report_bytes = (double)WS_REPORT_TASKS_BYTES_MAX};
}

struct ws_capacity ws_task_capacity(const struct ws_job_spec *spec)
{
	return (struct ws_capacity){.cpus = spec->cpus,
				    .gpus = spec->gpus,
				    .mem_gb = spec->mem_gb,
				    .report_bytes = (double)ws_job_report_entry_bytes(spec)};
}

void ws_capacity_add(struct ws_capacity *capacity, const struct ws_capacity *added, double times)
{
	capacity->cpus += times * added->cpus;
	capacity->gpus += times * added->gpus;
	capacity->mem_gb += times * added->mem_gb;
	capacity->report_bytes += times * added->report_bytes;
}

/* Returns how many times an amount fits into what is free, at most the limit. */
static double ws_amount_fit(double amount, double free, double limit)
{
	return amount > 0 ? fmin(limit, floor((free + WS_RESOURCE_TOLERANCE) / amount)) : limit;
}

uint32_t ws_tasks_fit(const struct ws_capacity *task, const struct ws_capacity *capacity,
		      uint32_t limit)
{
	double fit = limit;

	fit = ws_amount_fit(task->cpus, capacity->cpus, fit);
	fit = ws_amount_fit(task->gpus, capacity->gpus, fit);
	fit = ws_amount_fit(task->mem_gb, capacity->mem_gb, fit);
	fit = ws_amount_fit(task->report_bytes, capacity->report_bytes, fit);
	return fit > 0 ? (uint32_t)fit : 0;
}
