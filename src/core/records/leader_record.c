/* The leader's record. The store deletes it when the leader's store session ends. */
#include "record_fields.h"
#include "records.h"

json_t *ws_leader_record_encode(const struct ws_leader_record *record)
{
	return json_pack("{s:s,s:I}", WS_FIELD_NODE, record->node, WS_FIELD_PROCESS_INCARNATION,
			 (json_int_t)record->process_incarnation);
}

enum ws_record_outcome ws_leader_record_decode(json_t *value, struct ws_leader_record *record)
{
	json_t *incarnation = json_object_get(value, WS_FIELD_PROCESS_INCARNATION);

	record->node = json_string_value(json_object_get(value, WS_FIELD_NODE));
	record->process_incarnation = (uint64_t)json_integer_value(incarnation);
	return record->node ? WS_RECORD_DECODED : WS_RECORD_MALFORMED;
}

const char *ws_leader_record_node(json_t *value)
{
	struct ws_leader_record record;

	ws_leader_record_decode(value, &record);
	return record.node;
}
