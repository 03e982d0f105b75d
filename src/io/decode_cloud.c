/* Decodes replies of the cloud. codec.h explains the names of the protocol. */
#include "codec.h"
#include "decode_internal.h"
#include "json_members.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool decode_type(struct ws_json object, struct ws_machine_type *type)
{
	struct ws_json_elements zones;
	struct ws_json zone;
	size_t count;
	char name[WS_NAME_MAX];

	if (!ws_member_string(object, "name", type->name, sizeof(type->name), false) ||
	    !ws_member_amount(object, "vcpus", &type->cpus) ||
	    (type->cpus <= 0 && !ws_message_refuse("vcpus", "is 0")) ||
	    !ws_member_amount(object, "memGb", &type->mem_gb) ||
	    !ws_member_amount(object, "rate", &type->price) ||
	    !ws_member_amount(object, "startupS", &type->boot_s))
		return false;
	if (!ws_member_amount(object, "accelerators", &type->gpus))
		type->gpus = 0;
	if (!ws_member_amount(object, "spotPrice", &type->preemptible_price))
		type->preemptible_price = type->price;
	if (!ws_member_amount(object, "localGb", &type->local_gb))
		type->local_gb = 0;
	if (!ws_member_amount(object, "fetchGbPerS", &type->fetch_gb_s))
		type->fetch_gb_s = 0;
	if (!ws_member_array(object, "halls", &zones, &count))
		return false;
	while (ws_json_next(&zones, &zone)) {
		if (!ws_element_name(zone, "halls", name))
			return false;
		if (type->zone_count < WS_MAX_ALLOWED)
			snprintf(type->zones[type->zone_count++], WS_NAME_MAX, "%s", name);
	}
	return true;
}

bool ws_decode_machine_types(struct ws_json object, struct ws_result *result)
{
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_array(object, "flavours", &elements, &count) || !count)
		return false;
	result->types.list = calloc(count, sizeof(*result->types.list));
	if (!result->types.list)
		return false;
	while (ws_json_next(&elements, &type)) {
		if (!decode_type(type, &result->types.list[result->types.count]))
			return false;
		result->types.count++;
	}
	return true;
}

static bool decode_instance(struct ws_json object, struct ws_instance *instance)
{
	char phase[WS_NAME_MAX];

	if (!ws_member_string(object, "nameId", instance->name, sizeof(instance->name), false) ||
	    !ws_member_address(object, "address", instance->address, sizeof(instance->address),
			       &instance->port) ||
	    !ws_member_string(object, "flavour", instance->type, sizeof(instance->type), false) ||
	    !ws_member_string(object, "hall", instance->zone, sizeof(instance->zone), false) ||
	    !ws_member_bool(object, "reclaimable", &instance->preemptible) ||
	    !ws_member_string(object, "phase", phase, sizeof(phase), false))
		return false;
	if (!ws_member_amount(object, "ageS", &instance->age_s))
		instance->age_s = 0;
	instance->phase = !strcmp(phase, "failed")    ? WS_INSTANCE_FAILED
			  : !strcmp(phase, "running") ? WS_INSTANCE_RUNNING
						      : WS_INSTANCE_STARTING;
	return true;
}

bool ws_decode_instances(struct ws_json object, struct ws_result *result, bool names_only)
{
	struct ws_json_elements elements;
	struct ws_json element;
	size_t count;

	if (!ws_member_array(object, "hosts", &elements, &count))
		return false;
	result->instances.list = calloc(count + 1, sizeof(*result->instances.list));
	if (!result->instances.list)
		return false;
	while (ws_json_next(&elements, &element)) {
		struct ws_instance *instance = &result->instances.list[result->instances.count];

		if (names_only
			? !ws_element_name(element, "hosts", instance->name) || !instance->name[0]
			: !decode_instance(element, instance))
			return false;
		result->instances.count++;
	}
	return true;
}

bool ws_decode_no_capacity(struct ws_json object)
{
	char error[WS_NAME_MAX];

	return ws_member_string(object, "error", error, sizeof(error), false) &&
	       !strcmp(error, "no capacity");
}
