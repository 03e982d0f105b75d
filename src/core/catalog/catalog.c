/* The catalog: machine types, zones and images by name and number. */
#include "../core_state.h"

int ws_image_index(struct ws_core *core, const char *name)
{
	struct ws_image *image;

	HASH_FIND_STR(core->catalog.images, name, image);
	if (image)
		return image->id;
	image = calloc(1, sizeof(*image));
	core->catalog.image_names =
	    realloc(core->catalog.image_names,
		    (size_t)(core->catalog.image_count + 1) * sizeof(*core->catalog.image_names));
	if (!image || !core->catalog.image_names)
		abort();
	snprintf(image->name, sizeof(image->name), "%s", name);
	core->catalog.image_names[core->catalog.image_count] = image->name;
	image->id = core->catalog.image_count++;
	HASH_ADD_STR(core->catalog.images, name, image);
	return image->id;
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

/* CPUs of a machine of middling size; 0 while no type is known. */
double ws_mean_machine_cpus(const struct ws_core *core)
{
	double size = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		size += core->catalog.types[i].cpus / (double)core->catalog.type_count;
	return size;
}

/* A task as a share of one machine of middling size. */
double ws_demand_units_of(const struct ws_core *core, const struct ws_job_spec *spec)
{
	double size = ws_mean_machine_cpus(core);

	return size > 0 ? spec->cpus / size : 0;
}

const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name)
{
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (!strcmp(core->catalog.types[i].name, name))
			return &core->catalog.types[i];
	return NULL;
}

bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec)
{
	bool ok = spec->type_count == 0, zone = !spec->zone[0];

	for (size_t i = 0; i < spec->type_count && !ok; i++)
		ok = !strcmp(spec->types[i], type->name);
	for (size_t i = 0; i < type->zone_count && !zone; i++)
		zone = !strcmp(type->zones[i], spec->zone);
	return ok && zone && spec->cpus <= type->cpus + 1e-9 && spec->gpus <= type->gpus + 1e-9 &&
	       spec->mem_gb <= type->mem_gb + 1e-9;
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

/* How many such tasks a room takes, up to so many. */
uint32_t ws_tasks_fit(const struct ws_job_spec *spec, double cpus, double gpus, double mem,
		      uint32_t most)
{
	double fit = most;

	if (spec->cpus > 0)
		fit = fmin(fit, floor((cpus + 1e-9) / spec->cpus));
	if (spec->gpus > 0)
		fit = fmin(fit, floor((gpus + 1e-9) / spec->gpus));
	if (spec->mem_gb > 0)
		fit = fmin(fit, floor((mem + 1e-9) / spec->mem_gb));
	return fit > 0 ? (uint32_t)fit : 0;
}
