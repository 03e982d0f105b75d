/* The record of a scale-out request. It is written before the request is sent to the cloud, and
 * later names the instances that the cloud started for it. */
#include "record_fields.h"
#include "records.h"

json_t *ws_scale_out_record_encode(const struct ws_scale_out_record *record)
{
	json_t *instances = json_array();

	for (uint32_t i = 0; i < record->instance_count; i++)
		json_array_append_new(instances, json_string(record->instances[i]));
	return json_pack("{s:s,s:s,s:b,s:I,s:b,s:o}", WS_FIELD_MACHINE_TYPE, record->type,
			 WS_FIELD_ZONE, record->zone, WS_FIELD_PREEMPTIBLE, record->preemptible,
			 WS_FIELD_INSTANCE_COUNT, (json_int_t)record->count, WS_FIELD_GRANTED,
			 record->granted, WS_FIELD_INSTANCES, instances);
}

enum ws_record_outcome ws_scale_out_record_decode(json_t *value, struct ws_scale_out_record *record)
{
	int preemptible, acquired;
	json_int_t count;
	json_t *instances;

	*record = (struct ws_scale_out_record){0};
	if (json_unpack(value, "{s:s,s:s,s:b,s:I,s:b,s:o}", WS_FIELD_MACHINE_TYPE, &record->type,
			WS_FIELD_ZONE, &record->zone, WS_FIELD_PREEMPTIBLE, &preemptible,
			WS_FIELD_INSTANCE_COUNT, &count, WS_FIELD_GRANTED, &acquired,
			WS_FIELD_INSTANCES, &instances))
		return WS_RECORD_MALFORMED;
	if (count < 1 || count > WS_SCALE_OUT_INSTANCES_MAX ||
	    json_array_size(instances) > WS_SCALE_OUT_INSTANCES_MAX)
		return WS_RECORD_OUT_OF_RANGE;
	record->preemptible = preemptible;
	record->count = (uint32_t)count;
	record->granted = acquired;
	for (size_t i = 0; i < json_array_size(instances); i++) {
		const char *instance = json_string_value(json_array_get(instances, i));

		record->instances[record->instance_count++] = instance ? instance : "";
	}
	return WS_RECORD_DECODED;
}
