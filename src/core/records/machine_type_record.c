/*
 * The record of the machine types that the cloud offered when they were last listed:
 *
 *   [[name, cpus, gpus, memory, local disk, image fetch rate, price, preemptible price, boot time,
 *     [zone, ...]], ...]
 *
 * Memory and disk are in GB, the fetch rate in GB per second, prices per hour, the boot time in
 * seconds.
 */
#include "records.h"
#include "text_builder.h"
#include <string.h>

json_t *ws_machine_types_encode(const struct ws_machine_type *types, size_t count)
{
	json_t *record = json_array();

	for (const struct ws_machine_type *type = types; type < types + count; type++) {
		json_t *zones = json_array();

		for (size_t i = 0; i < type->zone_count; i++)
			json_array_append_new(zones, json_string(type->zones[i]));
		json_array_append_new(
		    record, json_pack("[s,f,f,f,f,f,f,f,f,o]", type->name, type->cpus, type->gpus,
				      type->mem_gb, type->local_gb, type->fetch_gb_s, type->price,
				      type->preemptible_price, type->boot_s, zones));
	}
	return record;
}

/* Decodes a machine type, ignoring zones beyond the first WS_MAX_ALLOWED. */
static enum ws_record_outcome ws_machine_type_decode(json_t *value, struct ws_machine_type *type)
{
	const char *name;
	json_t *zones;

	memset(type, 0, sizeof(*type));
	if (json_unpack(value, "[s,F,F,F,F,F,F,F,F,o]", &name, &type->cpus, &type->gpus,
			&type->mem_gb, &type->local_gb, &type->fetch_gb_s, &type->price,
			&type->preemptible_price, &type->boot_s, &zones))
		return WS_RECORD_MALFORMED;
	ws_text_copy(type->name, sizeof(type->name), name);
	for (size_t i = 0; i < json_array_size(zones) && type->zone_count < WS_MAX_ALLOWED; i++)
		ws_text_copy(type->zones[type->zone_count++], WS_NAME_MAX,
			     json_string_value(json_array_get(zones, i)));
	return WS_RECORD_DECODED;
}

size_t ws_machine_types_decode(json_t *record, struct ws_machine_type *types)
{
	size_t count = 0, i;
	json_t *value;

	json_array_foreach (record, i, value) {
		if (count == WS_MAX_TYPES)
			break;
		if (ws_machine_type_decode(value, &types[count]) == WS_RECORD_DECODED)
			count++;
	}
	return count;
}
