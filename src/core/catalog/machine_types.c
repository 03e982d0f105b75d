/* Reads the machine types from the cloud, or from the record that an earlier leader wrote. */
#include "../core_state.h"

/* The leader requests the types again after this many lease durations, since prices change. */
#define WS_TYPES_REFRESH_LEASES 8

/* Handles the store's reply to the read of the record that an earlier leader wrote. */
static void ws_types_record_received(struct ws_core *core, struct ws_call *call,
				     const struct ws_result *result)
{
	(void)call;
	core->catalog.request_in_flight = false;
	if (result->outcome == WS_OUTCOME_OK && result->records.entry_count == 1 &&
	    !core->catalog.type_count)
		core->catalog.type_count =
		    ws_machine_types_decode(result->records.entries[0].value, core->catalog.types);
	core->catalog.types_version++;
	if (!core->catalog.type_count)
		core->catalog.next_request_at = core->now + core->settings->heartbeat_s / 2;
}

/* Adds a machine type that the cloud listed, or updates it in place so that pointers stay valid. */
static void ws_machine_type_update(struct ws_core *core, const struct ws_machine_type *type)
{
	struct ws_catalog *catalog = &core->catalog;
	const struct ws_machine_type *known = ws_machine_type_find(core, type->name);

	if (known)
		catalog->types[known - catalog->types] = *type;
	else if (catalog->type_count < WS_MAX_TYPES)
		catalog->types[catalog->type_count++] = *type;
	else
		ws_log(core, WS_LOG_ERROR, "machine type ignored, too many types type=%s limit=%d",
		       type->name, WS_MAX_TYPES);
}

/* Handles the cloud's reply. If it has no types and none is known, reads the stored record. */
static void ws_types_received(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_catalog *catalog = &core->catalog;

	(void)call;
	if (result->outcome == WS_OUTCOME_OK && result->types.count) {
		for (size_t i = 0; i < result->types.count; i++)
			ws_machine_type_update(core, &result->types.list[i]);
		catalog->types_version++;
		catalog->request_in_flight = false;
		catalog->next_request_at =
		    core->now + core->settings->lease_s * WS_TYPES_REFRESH_LEASES;
		ws_core_request_pass(core);
		return;
	}
	if (!catalog->type_count) {
		struct ws_call *record_call =
		    ws_call_new(core, WS_CALL_GET, ws_types_record_received);

		snprintf(record_call->read.key, sizeof(record_call->read.key), "%s",
			 WS_KEY_MACHINE_TYPES);
		return;
	}
	catalog->request_in_flight = false;
	catalog->next_request_at = core->now + core->settings->lease_s;
}

void ws_machine_types_tick(struct ws_core *core)
{
	if (core->catalog.request_in_flight || core->now < core->catalog.next_request_at ||
	    (core->catalog.type_count && core->leadership.role != WS_LEADER))
		return;
	core->catalog.request_in_flight = true;
	ws_call_new(core, WS_CALL_MACHINE_TYPES, ws_types_received);
}
