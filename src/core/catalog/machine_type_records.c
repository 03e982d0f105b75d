/* Stores the machine types for nodes that start while the cloud is unavailable. */
#include "../core_state.h"
#include "../record_sources.h"

static void ws_machine_types_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	json_t *value;

	if (core->catalog.types_recorded || !core->catalog.type_count)
		return;
	value = ws_machine_types_encode(core->catalog.types, core->catalog.type_count);
	if ((double)ws_record_size(value) < core->writer.value_bytes_max) {
		ws_write_batch_set(batch, WS_KEY_MACHINE_TYPES, value);
		return;
	}
	/* a record that was written under a higher limit stays in the store and can be read */
	ws_log(core, WS_LOG_ERROR,
	       "machine types record exceeds the value limit, not written value_limit_bytes=%.0f",
	       core->writer.value_bytes_max);
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
