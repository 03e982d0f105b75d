/* Decodes replies of the store. codec.h explains the names of the protocol. */
#include "codec.h"
#include "decode_internal.h"
#include "json_copy.h"
#include "json_members.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- records ---- */

/* Decodes a record whose key is in the member `name`. */
static bool decode_record(struct ws_json object, const char *name, struct ws_kv *entry)
{
	struct ws_json value;

	if (!ws_member_string(object, name, entry->key, sizeof(entry->key), false) ||
	    !ws_member_uint(object, "stamp", &entry->revision))
		return false;
	if (ws_json_find(object, "value", &value) != WS_JSON_FOUND)
		return ws_message_refuse("value", "is missing or repeated");
	entry->value = ws_json_copy(value);
	return entry->value != NULL;
}

static bool decode_event(struct ws_json object, struct ws_kv *entry)
{
	if (!ws_member_is_set(object, "delete"))
		return decode_record(object, "write", entry);
	return ws_member_string(object, "delete", entry->key, sizeof(entry->key), false) &&
	       ws_member_uint(object, "stamp", &entry->revision);
}

static bool decode_list(struct ws_json object, struct ws_result *result)
{
	bool events = result->kind == WS_CALL_WATCH;
	struct ws_json_elements elements;
	struct ws_json element;
	size_t count;

	if (!ws_member_array(object, events ? "news" : "entries", &elements, &count))
		return false;
	result->records.entries = calloc(count + 1, sizeof(*result->records.entries));
	if (!result->records.entries)
		return false;
	while (ws_json_next(&elements, &element)) {
		struct ws_kv *entry = &result->records.entries[result->records.entry_count];

		if (!(events ? decode_event(element, entry) : decode_record(element, "k", entry)))
			return false;
		result->records.entry_count++;
	}
	return true;
}

static bool decode_requested_record(struct ws_json object, const char *key,
				    struct ws_result *result)
{
	result->records.entries = calloc(1, sizeof(*result->records.entries));
	if (!result->records.entries || !decode_record(object, "k", result->records.entries))
		return false;
	result->records.entry_count = 1;
	return !strcmp(result->records.entries->key, key) ||
	       ws_message_refuse("k", "is not the key that was read");
}

bool ws_decode_store_reply(const struct ws_call *call, struct ws_json object,
			   struct ws_result *result)
{
	if (call->kind == WS_CALL_GET)
		return decode_requested_record(object, call->read.key, result);
	if (!ws_member_bool(object, "hasNext", &result->records.has_more))
		result->records.has_more = false;
	return ws_member_uint(object, "ledgerRev", &result->records.revision) &&
	       decode_list(object, result);
}

/* ---- transactions ---- */

void ws_decode_failed_keys(struct ws_json object, struct ws_result *result)
{
	struct ws_json_elements elements;
	struct ws_json key;
	const char *text;
	size_t count, length;

	if (!ws_member_array(object, "failed", &elements, &count))
		return;
	result->transaction.failed_keys =
	    calloc(count + 1, sizeof(*result->transaction.failed_keys));
	while (result->transaction.failed_keys && ws_json_next(&elements, &key))
		if (ws_json_string(key, &text, &length))
			snprintf(
			    result->transaction.failed_keys[result->transaction.failed_count++],
			    WS_KEY_MAX, "%s", text);
}
