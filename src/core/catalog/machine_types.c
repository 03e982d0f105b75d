/* Machine types: read from the cloud, or as an earlier leader wrote them down. */
#include "../core_state.h"

static void ws_types_record(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result)
{
	(void)call;
	core->catalog.request_in_flight = false;
	if (result->outcome == WS_OUTCOME_OK && result->records.entry_count == 1 &&
	    !core->catalog.type_count)
		core->catalog.type_count =
		    ws_record_read_types(result->records.entries[0].value, core->catalog.types);
	core->catalog.types_edition++;
	if (!core->catalog.type_count)
		core->catalog.next_request_at = core->now + core->settings->report_s / 2;
}

static void ws_types_cloud(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result)
{
	(void)call;
	if (result->outcome == WS_OUTCOME_OK && result->types.count) {
		for (size_t i = 0; i < result->types.count; i++) {
			const struct ws_machine_type *have =
			    ws_machine_type_find(core, result->types.list[i].name);

			if (have) /* prices move; pointers to types stay good */
				core->catalog.types[have - core->catalog.types] =
				    result->types.list[i];
			else if (core->catalog.type_count < WS_MAX_TYPES)
				core->catalog.types[core->catalog.type_count++] =
				    result->types.list[i];
			else
				ws_log(core, WS_LOG_ERROR,
				       "machine type %s is left out: %d are kept",
				       result->types.list[i].name, WS_MAX_TYPES);
		}
		core->catalog.types_edition++;
		core->catalog.request_in_flight = false;
		core->catalog.next_request_at = core->now + core->settings->lease_s * 8;
		core->scheduler.pass_wanted = true;
		return;
	}
	if (!core->catalog.type_count) { /* the cloud is down: an earlier leader wrote them down */
		struct ws_call *other_call = ws_call_new(core, WS_CALL_GET, ws_types_record);

		snprintf(other_call->read.key, sizeof(other_call->read.key), "types");
		return;
	}
	core->catalog.request_in_flight = false;
	core->catalog.next_request_at = core->now + core->settings->lease_s;
}

/* They are needed before anything can be decided. */
void ws_machine_types_tick(struct ws_core *core)
{
	if (core->catalog.request_in_flight || core->now < core->catalog.next_request_at ||
	    (core->catalog.type_count && core->leadership.role != WS_LEADER))
		return;
	core->catalog.request_in_flight = true;
	ws_call_new(core, WS_CALL_MACHINE_TYPES, ws_types_cloud);
}
