/*
 * The record of the owned machines, which existed before any scale-out. It is written once.
 */
#include "../core_state.h"
#include "../record_sources.h"

/* Reads the name of the last owned machine. The first version listed all names; of these, the name
 * that sorts last is used. */
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
	ws_log(core, WS_LOG_INFO, "owned machines recorded last=%s",
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
