/* Decodes replies of the store. codec.h explains the names of the protocol. */
#include "codec.h"
#include "decode_internal.h"
#include "json_members.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- records: their values outlive the reply, so they are parsed with jansson ---- */

static bool record_revision(json_t *object, const char *key, uint64_t *target)
{
	json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*target = (uint64_t)json_integer_value(value);
	return true;
}

static bool record_key(json_t *object, const char *name, char *target, size_t size)
{
	json_t *value = json_object_get(object, name);
	const char *text = json_string_value(value);
	size_t length = json_string_length(value);

	if (!text || !length || length >= size || strlen(text) != length)
		return false;
	memcpy(target, text, length + 1);
	return true;
}

static bool decode_record(json_t *object, const char *name, struct ws_kv *entry,
			  bool value_required)
{
	json_t *value;

	memset(entry, 0, sizeof(*entry));
	if (!json_is_object(object) || !record_key(object, name, entry->key, sizeof(entry->key)) ||
	    !record_revision(object, "stamp", &entry->revision))
		return false;
	value = json_object_get(object, "value");
	if (value_required && !value)
		return false;
	entry->value = json_incref(value);
	return true;
}

static bool decode_records_array(json_t *array, struct ws_result *result, bool events)
{
	size_t i;
	json_t *entry;

	if (!json_is_array(array))
		return false;
	result->records.entries =
	    calloc(json_array_size(array) + 1, sizeof(*result->records.entries));
	if (!result->records.entries)
		return false;
	json_array_foreach (array, i, entry) {
		bool deleted = events && json_object_get(entry, "delete");
		const char *key_name = events ? "write" : "k";

		if (deleted)
			key_name = "delete";
		if (!decode_record(entry, key_name,
				   &result->records.entries[result->records.entry_count], !deleted))
			return false;
		if (deleted) {
			json_decref(result->records.entries[result->records.entry_count].value);
			result->records.entries[result->records.entry_count].value = NULL;
		}
		result->records.entry_count++;
	}
	return true;
}

static bool decode_records(const struct ws_call *call, json_t *object, struct ws_result *result)
{
	if (call->kind == WS_CALL_GET) {
		result->records.entries = calloc(1, sizeof(*result->records.entries));
		if (!result->records.entries ||
		    !decode_record(object, "k", result->records.entries, true))
			return false;
		result->records.entry_count = 1;
		return !strcmp(result->records.entries->key, call->read.key);
	}
	result->records.has_more = json_is_true(json_object_get(object, "hasNext"));
	if (!record_revision(object, "ledgerRev", &result->records.revision))
		return false;
	return call->kind == WS_CALL_LIST
		   ? decode_records_array(json_object_get(object, "entries"), result, false)
		   : decode_records_array(json_object_get(object, "news"), result, true);
}

bool ws_decode_store_reply(const struct ws_call *call, const char *body, size_t length,
			   struct ws_result *result)
{
	/* jansson also rejects numbers too large for a double, duplicate keys and deep nesting */
	json_t *object = json_loadb(body, length, JSON_REJECT_DUPLICATES, NULL);
	bool ok = json_is_object(object) && decode_records(call, object, result);

	json_decref(object);
	return ok;
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
