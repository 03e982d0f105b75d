/* Records that are written once: which machines are owned, and the machine types. */
#include "../core_state.h"
#include "../record_sources.h"

/* ---- owned machines ---- */

/* The last owned machine's name; the first version listed them all, and the last one counts. */
static void ws_owned_load(struct ws_core *core, const struct ws_kv *record)
{
	const char *last = json_string_value(json_object_get(record->value, "upto"));

	for (size_t i = 0; i < json_array_size(record->value); i++) {
		const char *name = json_string_value(json_array_get(record->value, i));

		if (name && (!last || strcmp(name, last) > 0))
			last = name;
	}
	core->fleet.owned_determined = true;
	snprintf(core->fleet.last_owned_name, sizeof(core->fleet.last_owned_name), "%s",
		 last ? last : "");
	core->fleet.owned_recorded = true;
}

static void ws_owned_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	if (!core->fleet.owned_determined || core->fleet.owned_recorded ||
	    core->fleet.owned_write_in_flight)
		return;
	ws_write_batch_set_if(batch, WS_KEY_OWNED_MACHINES, 0,
			      json_pack("{s:s}", "upto", core->fleet.last_owned_name));
	core->fleet.owned_write_in_flight = true;
}

static void ws_owned_written(struct ws_core *core, const struct ws_operation *operation,
			     uint64_t revision)
{
	(void)operation;
	(void)revision;
	core->fleet.owned_recorded = true;
	core->fleet.owned_write_in_flight = false;
	ws_log(core, WS_LOG_INFO, "owned machines recorded: up to %s",
	       core->fleet.last_owned_name[0] ? core->fleet.last_owned_name : "none");
}

static bool ws_owned_not_written(struct ws_core *core, const struct ws_operation *operation,
				 const struct ws_compare *failed_compare)
{
	(void)operation;
	if (failed_compare)
		return true;
	core->fleet.owned_write_in_flight = false;
	return false;
}

static void ws_owned_read_again(struct ws_core *core, const char *key, bool found,
				uint64_t revision)
{
	(void)key;
	(void)revision;
	core->fleet.owned_recorded = found;
	core->fleet.owned_write_in_flight = false;
}

const struct ws_record_source ws_owned_records = {
    .key_prefix = WS_KEY_OWNED_MACHINES,
    .exact_key = true,
    .load = ws_owned_load,
    .collect = ws_owned_collect,
    .written = ws_owned_written,
    .not_written = ws_owned_not_written,
    .read_again = ws_owned_read_again,
};

/* ---- machine types ---- */

static void ws_machine_types_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	json_t *value;

	if (core->catalog.types_recorded || !core->catalog.type_count)
		return;
	value = ws_record_types(core->catalog.types, core->catalog.type_count);
	if ((double)ws_record_size(value) < core->writer.value_bytes_max) {
		ws_write_batch_set(batch, WS_KEY_MACHINE_TYPES, value);
		return;
	}
	/* one written under a higher limit stays readable */
	ws_log(core, WS_LOG_ERROR, "the record of machine types does not fit a value");
	json_decref(value);
	core->catalog.types_recorded = true;
}

static void ws_machine_types_written(struct ws_core *core, const struct ws_operation *operation,
				     uint64_t revision)
{
	(void)operation;
	(void)revision;
	core->catalog.types_recorded = true;
}

const struct ws_record_source ws_machine_type_records = {
    .key_prefix = WS_KEY_MACHINE_TYPES,
    .exact_key = true,
    .collect = ws_machine_types_collect,
    .written = ws_machine_types_written,
};
