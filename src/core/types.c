/* Machine types: read from the cloud, or as an earlier leader wrote them down. */
#include "requests.h"

const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name)
{
	for (size_t i = 0; i < core->ntypes; i++)
		if (!strcmp(core->types[i].name, name))
			return &core->types[i];
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

static void ws_types_record(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result)
{
	(void)call;
	core->types_asked = false;
	if (result->status == 200 && result->entry_count == 1 && !core->ntypes)
		core->ntypes = ws_record_read_types(result->entries[0].value, core->types);
	core->types_edition++;
	if (!core->ntypes)
		core->types_next = core->now + core->settings->report_s / 2;
}

static void ws_types_cloud(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result)
{
	(void)call;
	if (result->status == 200 && result->type_count) {
		for (size_t i = 0; i < result->type_count; i++) {
			const struct ws_machine_type *have =
			    ws_machine_type_find(core, result->types[i].name);

			if (have) /* prices move; pointers to types stay good */
				core->types[have - core->types] = result->types[i];
			else if (core->ntypes < WS_MAX_TYPES)
				core->types[core->ntypes++] = result->types[i];
			else
				ws_log(core, WS_LOG_ERROR,
				       "machine type %s is left out: %d are kept",
				       result->types[i].name, WS_MAX_TYPES);
		}
		core->types_edition++;
		core->types_asked = false;
		core->types_next = core->now + core->settings->lease_s * 8;
		core->place_wanted = true;
		return;
	}
	if (!core->ntypes) { /* the cloud is down: an earlier leader wrote them down */
		struct ws_call *other_call = ws_call_new(core, WS_CALL_GET, ws_types_record);

		snprintf(other_call->key, sizeof(other_call->key), "types");
		return;
	}
	core->types_asked = false;
	core->types_next = core->now + core->settings->lease_s;
}

/* They are needed before anything can be decided. */
void ws_machine_types_tick(struct ws_core *core)
{
	if (core->types_asked || core->now < core->types_next ||
	    (core->ntypes && core->role != WS_LEADER))
		return;
	core->types_asked = true;
	ws_call_new(core, WS_CALL_MACHINE_TYPES, ws_types_cloud);
}
