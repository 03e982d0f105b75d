/* Records that are written once: which machines are owned, and the machine types. */
#include "internal.h"
#include "record_sources.h"

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
	core->owned_seen = true;
	snprintf(core->owned_upto, sizeof(core->owned_upto), "%s", last ? last : "");
	core->owned_known = true;
}

static void ws_owned_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	if (!core->owned_seen || core->owned_known || core->owned_writing)
		return;
	ws_write_batch_set_if(batch, WS_OWNED_KEY, 0, json_pack("{s:s}", "upto", core->owned_upto));
	core->owned_writing = true;
}

static void ws_owned_written(struct ws_core *core, const struct ws_operation *operation,
			     uint64_t revision)
{
	(void)operation;
	(void)revision;
	core->owned_known = true;
	core->owned_writing = false;
	ws_log(core, WS_LOG_INFO, "owned machines recorded: up to %s",
	       core->owned_upto[0] ? core->owned_upto : "none");
}

static bool ws_owned_not_written(struct ws_core *core, const struct ws_operation *operation,
				 const struct ws_compare *failed_compare)
{
	(void)operation;
	if (failed_compare)
		return true;
	core->owned_writing = false;
	return false;
}

static void ws_owned_read_again(struct ws_core *core, const char *key, bool found,
				uint64_t revision)
{
	(void)key;
	(void)revision;
	core->owned_known = found;
	core->owned_writing = false;
}

const struct ws_record_source ws_owned_records = {
    .key_prefix = WS_OWNED_KEY,
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

	if (core->types_saved || !core->ntypes)
		return;
	value = ws_record_types(core->types, core->ntypes);
	if ((double)ws_record_size(value) < core->value_most) {
		ws_write_batch_set(batch, WS_MACHINE_TYPES_KEY, value);
		return;
	}
	/* one written under a higher limit stays readable */
	ws_log(core, WS_LOG_ERROR, "the record of machine types does not fit a value");
	json_decref(value);
	core->types_saved = true;
}

static void ws_machine_types_written(struct ws_core *core, const struct ws_operation *operation,
				     uint64_t revision)
{
	(void)operation;
	(void)revision;
	core->types_saved = true;
}

const struct ws_record_source ws_machine_type_records = {
    .key_prefix = WS_MACHINE_TYPES_KEY,
    .exact_key = true,
    .collect = ws_machine_types_collect,
    .written = ws_machine_types_written,
};
