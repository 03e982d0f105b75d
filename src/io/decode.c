/* Reading: requests of users and workers, answers of workers, the cloud and the store. */
#include "codec.h"
#include "../log.h"
#include "json_reader.h"
#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A body that is not what the protocol says is a failure, never a fact. */

/* ---- members of an object that is read ---- */

/* False: malformed, or of another type. One that is missing or null gives "" where it may be. */
static bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
			     bool may_be_null)
{
	struct ws_json value;
	const char *text;
	size_t len;

	target[0] = 0;
	if (!ws_json_member(object, key, &value) || ws_json_is_null(value))
		return may_be_null;
	if (!ws_json_string(value, &text, &len) || !len || len >= size)
		return false;
	memcpy(target, text, len);
	target[len] = 0;
	return true;
}

static bool ws_member_amount(struct ws_json object, const char *key, double *target)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_number(value, target) &&
	       isfinite(*target) && *target >= 0 && *target < 1e12;
}

static bool ws_member_bool(struct ws_json object, const char *key, bool *target)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_bool(value, target);
}

static bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target)
{
	struct ws_json value;
	int64_t n;

	if (!ws_json_member(object, key, &value) || !ws_json_integer(value, &n) || n < 0)
		return false;
	*target = (uint64_t)n;
	return true;
}

/* Whether there is a member that is not null. */
static bool ws_member_set(struct ws_json object, const char *key)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && !ws_json_is_null(value);
}

/* An array that is a member, and its length. */
static bool ws_member_array(struct ws_json object, const char *key,
			    struct ws_json_elements *elements, size_t *count)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_elements(value, elements, count);
}

/* A name of an array, no longer than names are. */
static bool ws_element_name(struct ws_json value, char *target)
{
	const char *text;
	size_t len;

	if (!ws_json_string(value, &text, &len) || len >= WS_NAME_MAX)
		return false;
	memcpy(target, text, len);
	target[len] = 0;
	return true;
}

/* ---- requests ---- */

bool ws_job_id_ok(const char *id)
{
	size_t n = strlen(id);

	if (n <= 4 || n >= WS_ID_MAX / 2 || strncmp(id, "job-", 4))
		return false;
	for (size_t i = 4; i < n; i++)
		if (!isdigit((unsigned char)id[i]))
			return false;
	return true;
}

static const char *const ws_tiers[] = {"best_effort", "normal", "urgent", "production"};

/* The machine types that a job may run on; no list: any. */
static bool ws_decode_allowed_types(struct ws_json json, struct ws_job_spec *spec)
{
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_set(json, "flavours"))
		return true;
	if (!ws_member_array(json, "flavours", &elements, &count) || !count ||
	    count > WS_MAX_ALLOWED)
		return false;
	while (ws_json_next(&elements, &type))
		if (!ws_element_name(type, spec->types[spec->type_count++]))
			return false;
	return true;
}

static bool ws_decode_spec(struct ws_json json, struct ws_job_spec *spec)
{
	char text[WS_NAME_MAX];
	uint64_t n;
	int i;

	if (!ws_json_is_object(json) ||
	    !ws_member_string(json, "nameId", spec->id, sizeof(spec->id), false) ||
	    !ws_job_id_ok(spec->id) ||
	    !ws_member_string(json, "jobclass", spec->job_class, sizeof(spec->job_class), false) ||
	    !ws_member_string(json, "owner", spec->team, sizeof(spec->team), false) ||
	    !ws_member_string(json, "shape", text, sizeof(text), false))
		return false;
	spec->service = !strcmp(text, "daemon");
	spec->gang = !strcmp(text, "gang");
	if (!spec->service && !spec->gang && strcmp(text, "sweep"))
		return false;
	if (!ws_member_string(json, "tier", text, sizeof(text), false))
		return false;
	for (i = 0; i < 4 && strcmp(text, ws_tiers[i]); i++)
		;
	if (i == 4)
		return false;
	spec->priority = (enum ws_priority_class)i;
	if (!ws_member_uint(json, "shards", &n) || n < 1 || n > WS_MAX_TASKS)
		return false;
	spec->tasks = (uint32_t)n;
	if (!ws_member_amount(json, "vcpus", &spec->cpus) ||
	    !ws_member_amount(json, "accelerators", &spec->gpus) ||
	    !ws_member_amount(json, "memGb", &spec->mem_gb) ||
	    !ws_member_string(json, "bundle", spec->image, sizeof(spec->image), false) ||
	    !ws_member_amount(json, "sizeGb", &spec->image_gb))
		return false;
	if (!ws_decode_allowed_types(json, spec) ||
	    !ws_member_string(json, "hall", spec->zone, sizeof(spec->zone), true) ||
	    !ws_member_bool(json, "samePlace", &spec->one_zone) ||
	    !ws_member_bool(json, "spread", &spec->spread) ||
	    !ws_member_bool(json, "reclaimable", &spec->allows_preemptible) ||
	    !ws_member_amount(json, "expectedS", &spec->estimate_s) ||
	    !ws_member_amount(json, "snapshotEveryS", &spec->checkpoint_s) ||
	    !ws_member_amount(json, "snapshotS", &spec->save_s))
		return false;
	spec->deadline_s = -1;
	return !ws_member_set(json, "dueS") || ws_member_amount(json, "dueS", &spec->deadline_s);
}

int ws_decode_job(const char *body, size_t len, struct ws_job_spec *spec)
{
	struct ws_json json;

	memset(spec, 0, sizeof(*spec));
	return ws_json_read(body, len, &json) && ws_decode_spec(json, spec) ? 0 : 400;
}

static bool ws_address(struct ws_json json, char *host, size_t size, int *port)
{
	char text[80], *colon;

	*port = 0;
	host[0] = 0;
	if (!ws_member_string(json, "address", text, sizeof(text), true))
		return false;
	colon = strrchr(text, ':');
	if (!colon)
		return true;
	*colon = 0;
	if (strlen(text) < size)
		strcpy(host, text);
	*port = atoi(colon + 1);
	if (*port < 1 || *port > 65535)
		*port = 0;
	return true;
}

/* A word of a later protocol is named once; the machine is served all the same. */
static void ws_unknown_word(const char *field, const char *word)
{
	static char seen[16][32];
	char text[32];
	size_t i;

	snprintf(text, sizeof(text), "%s %s", field, word);
	for (i = 0; i < 16 && seen[i][0]; i++)
		if (!strcmp(seen[i], text))
			return;
	if (i == 16)
		return;
	strcpy(seen[i], text);
	ws_logf(WS_LOG_ERROR, "a report has the unknown word \"%s\" as its %s", word, field);
}

static bool ws_decode_task(struct ws_json json, struct ws_task_status *status)
{
	static const char *const states[] = {"pulling", "running", "flushing", "exited", "waiting"};
	static const char *const whys[] = {"",	   "done",    "stopped",    "error",	 "full",
					   "busy", "no_such", "mates_gone", "incomplete"};
	const int nstates = sizeof(states) / sizeof(states[0]);
	const int nwhys = sizeof(whys) / sizeof(whys[0]);
	char text[WS_NAME_MAX], *slash, *end;
	unsigned long n;
	int i;

	if (!ws_json_is_object(json) ||
	    !ws_member_string(json, "shard", text, sizeof(text), false) ||
	    !ws_member_uint(json, "tryNo", &status->attempt))
		return false;
	slash = strrchr(text, '/');
	if (!slash || slash == text || (size_t)(slash - text) >= sizeof(status->job))
		return false;
	*slash = 0;
	n = strtoul(slash + 1, &end, 10);
	if (!isdigit((unsigned char)slash[1]) || *end || n >= WS_MAX_TASKS)
		return false;
	status->task = (uint32_t)n;
	strcpy(status->job, text);
	if (!ws_member_string(json, "phase", text, sizeof(text), false))
		return false;
	for (i = 0; i < nstates && strcmp(text, states[i]); i++)
		;
	if (i == nstates) {
		ws_unknown_word("phase", text);
		i = WS_TASK_FETCHING; /* a state we do not know is at any rate alive */
	}
	status->state = (enum ws_task_state)i;
	status->exit_reason = WS_EXIT_NONE;
	if (status->state == WS_TASK_EXITED) {
		if (!ws_member_string(json, "cause", text, sizeof(text), true))
			return false;
		for (i = 1; i < nwhys && strcmp(text, whys[i]); i++)
			;
		if (i == nwhys && text[0])
			ws_unknown_word("cause", text);
		/* a cause we do not know blames nobody */
		status->exit_reason = i < nwhys ? (enum ws_exit_reason)i : WS_EXIT_STOPPED;
	}
	return true;
}

static bool ws_decode_heartbeat_json(struct ws_json json, struct ws_heartbeat *heartbeat)
{
	struct ws_json_elements elements;
	struct ws_json task;
	size_t count;

	memset(heartbeat, 0, sizeof(*heartbeat));
	if (!ws_json_is_object(json) ||
	    !ws_member_string(json, "host", heartbeat->machine, sizeof(heartbeat->machine),
			      false) ||
	    !ws_address(json, heartbeat->address, sizeof(heartbeat->address), &heartbeat->port) ||
	    !ws_member_string(json, "flavour", heartbeat->type, sizeof(heartbeat->type), false) ||
	    !ws_member_string(json, "hall", heartbeat->zone, sizeof(heartbeat->zone), false) ||
	    !ws_member_bool(json, "reclaimable", &heartbeat->preemptible) ||
	    !ws_member_uint(json, "tenure", &heartbeat->incarnation) ||
	    heartbeat->incarnation < 1 || !ws_member_uint(json, "counter", &heartbeat->sequence) ||
	    !ws_member_uint(json, "epoch", &heartbeat->fencing_token))
		return false;
	heartbeat->preemption_notice_s = -1;
	if (ws_member_set(json, "warningS") &&
	    !ws_member_amount(json, "warningS", &heartbeat->preemption_notice_s))
		return false;
	if (!ws_member_array(json, "shards", &elements, &count))
		return false;
	heartbeat->tasks = calloc(count + 1, sizeof(*heartbeat->tasks));
	if (!heartbeat->tasks)
		return false;
	while (ws_json_next(&elements, &task)) {
		if (!ws_decode_task(task, &heartbeat->tasks[heartbeat->task_count])) {
			ws_heartbeat_free(heartbeat);
			return false;
		}
		heartbeat->task_count++;
	}
	return true;
}

bool ws_decode_heartbeat(const char *body, size_t len, struct ws_heartbeat *heartbeat)
{
	struct ws_json json;

	return ws_json_read(body, len, &json) && ws_decode_heartbeat_json(json, heartbeat);
}

void ws_heartbeat_free(struct ws_heartbeat *heartbeat)
{
	free(heartbeat->tasks);
	heartbeat->tasks = NULL;
	heartbeat->task_count = 0;
}

/* ---- answers of the store that carry records: these live on ---- */

static bool ws_record_revision(json_t *object, const char *key, uint64_t *target)
{
	json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*target = (uint64_t)json_integer_value(value);
	return true;
}

static bool ws_record_key(json_t *object, const char *name, char *target, size_t size)
{
	json_t *value = json_object_get(object, name);
	const char *s = json_string_value(value);
	size_t len = json_string_length(value);

	if (!s || !len || len >= size || strlen(s) != len)
		return false;
	memcpy(target, s, len + 1);
	return true;
}

static bool ws_decode_kv(json_t *object, const char *name, struct ws_kv *entry, bool need_value)
{
	json_t *value;

	memset(entry, 0, sizeof(*entry));
	if (!json_is_object(object) ||
	    !ws_record_key(object, name, entry->key, sizeof(entry->key)) ||
	    !ws_record_revision(object, "stamp", &entry->revision))
		return false;
	value = json_object_get(object, "value");
	if (need_value && !value)
		return false;
	entry->value = json_incref(value);
	return true;
}

static bool ws_decode_kvs(json_t *array, struct ws_result *result, bool events)
{
	size_t i;
	json_t *element;

	if (!json_is_array(array))
		return false;
	result->entries = calloc(json_array_size(array) + 1, sizeof(*result->entries));
	if (!result->entries)
		return false;
	json_array_foreach (array, i, element) {
		bool del = events && json_object_get(element, "delete");

		if (!ws_decode_kv(element,
				  del	   ? "delete"
				  : events ? "write"
					   : "k",
				  &result->entries[result->entry_count], !del))
			return false;
		if (del) {
			json_decref(result->entries[result->entry_count].value);
			result->entries[result->entry_count].value = NULL;
		}
		result->entry_count++;
	}
	return true;
}

static bool ws_decode_records(const struct ws_call *call, json_t *object, struct ws_result *result)
{
	if (call->kind == WS_CALL_GET) {
		result->entries = calloc(1, sizeof(*result->entries));
		if (!result->entries || !ws_decode_kv(object, "k", result->entries, true))
			return false;
		result->entry_count = 1;
		return !strcmp(result->entries->key, call->key);
	}
	result->has_more = json_is_true(json_object_get(object, "hasNext"));
	if (!ws_record_revision(object, "ledgerRev", &result->revision))
		return false;
	return call->kind == WS_CALL_LIST
		   ? ws_decode_kvs(json_object_get(object, "entries"), result, false)
		   : ws_decode_kvs(json_object_get(object, "news"), result, true);
}

/* ---- all other answers ---- */

static bool ws_decode_type(struct ws_json json, struct ws_machine_type *type)
{
	struct ws_json_elements zones;
	struct ws_json zone;
	size_t count;
	char name[WS_NAME_MAX];

	if (!ws_member_string(json, "name", type->name, sizeof(type->name), false) ||
	    !ws_member_amount(json, "vcpus", &type->cpus) || type->cpus <= 0 ||
	    !ws_member_amount(json, "memGb", &type->mem_gb) ||
	    !ws_member_amount(json, "rate", &type->price) ||
	    !ws_member_amount(json, "startupS", &type->boot_s))
		return false;
	if (!ws_member_amount(json, "accelerators", &type->gpus))
		type->gpus = 0;
	if (!ws_member_amount(json, "spotPrice", &type->preemptible_price))
		type->preemptible_price = type->price;
	if (!ws_member_amount(json, "localGb", &type->local_gb))
		type->local_gb = 0;
	if (!ws_member_amount(json, "fetchGbPerS", &type->fetch_gb_s))
		type->fetch_gb_s = 0;
	if (!ws_member_array(json, "halls", &zones, &count))
		return false;
	while (ws_json_next(&zones, &zone)) {
		if (!ws_element_name(zone, name))
			return false;
		if (type->zone_count < WS_MAX_ALLOWED)
			strcpy(type->zones[type->zone_count++], name);
	}
	return true;
}

static bool ws_decode_types(struct ws_json json, struct ws_result *result)
{
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_array(json, "flavours", &elements, &count) || !count)
		return false;
	result->types = calloc(count, sizeof(*result->types));
	if (!result->types)
		return false;
	while (ws_json_next(&elements, &type)) {
		if (!ws_decode_type(type, &result->types[result->type_count]))
			return false;
		result->type_count++;
	}
	return true;
}

static bool ws_decode_instance(struct ws_json json, struct ws_instance *instance)
{
	char phase[WS_NAME_MAX];

	if (!ws_member_string(json, "nameId", instance->name, sizeof(instance->name), false) ||
	    !ws_address(json, instance->address, sizeof(instance->address), &instance->port) ||
	    !ws_member_string(json, "flavour", instance->type, sizeof(instance->type), false) ||
	    !ws_member_string(json, "hall", instance->zone, sizeof(instance->zone), false) ||
	    !ws_member_bool(json, "reclaimable", &instance->preemptible) ||
	    !ws_member_string(json, "phase", phase, sizeof(phase), false))
		return false;
	if (!ws_member_amount(json, "ageS", &instance->age_s))
		instance->age_s = 0;
	instance->phase = !strcmp(phase, "failed")    ? WS_INSTANCE_FAILED
			  : !strcmp(phase, "running") ? WS_INSTANCE_RUNNING
						      : WS_INSTANCE_STARTING;
	return true;
}

/* The cloud's machines: whole entries, or of a rented machine their names alone. */
static bool ws_decode_instances(struct ws_json json, struct ws_result *result, bool names)
{
	struct ws_json_elements elements;
	struct ws_json host;
	size_t count;

	if (!ws_member_array(json, "hosts", &elements, &count))
		return false;
	result->instances = calloc(count + 1, sizeof(*result->instances));
	if (!result->instances)
		return false;
	while (ws_json_next(&elements, &host)) {
		struct ws_instance *instance = &result->instances[result->instance_count];

		if (names ? !ws_element_name(host, instance->name) || !instance->name[0]
			  : !ws_decode_instance(host, instance))
			return false;
		result->instance_count++;
	}
	return true;
}

static bool ws_decode_commands_answer(struct ws_json json, struct ws_result *result)
{
	result->heartbeat = calloc(1, sizeof(*result->heartbeat));
	if (result->heartbeat && ws_decode_heartbeat_json(json, result->heartbeat))
		return true;
	free(result->heartbeat);
	result->heartbeat = NULL;
	return false;
}

static bool ws_decode_ok(const struct ws_call *call, struct ws_json json, struct ws_result *result)
{
	switch (call->kind) {
	case WS_CALL_TRANSACTION: return ws_member_uint(json, "ledgerRev", &result->revision);
	case WS_CALL_SESSION_OPEN: return ws_member_uint(json, "permit", &result->session);
	case WS_CALL_MACHINE_TYPES: return ws_decode_types(json, result);
	case WS_CALL_INSTANCES:
		if (!ws_member_bool(json, "hasNext", &result->has_more))
			result->has_more = false;
		return ws_decode_instances(json, result, false);
	case WS_CALL_SCALE_OUT: return ws_decode_instances(json, result, true);
	case WS_CALL_COMMANDS: return ws_decode_commands_answer(json, result);
	default: return true;
	}
}

/* The keys whose revisions had moved, of a transaction that was not carried out. */
static void ws_decode_failed_keys(struct ws_json json, struct ws_result *result)
{
	struct ws_json_elements elements;
	struct ws_json key;
	const char *text;
	size_t count, len;

	if (!ws_member_array(json, "failed", &elements, &count))
		return;
	result->failed_keys = calloc(count + 1, sizeof(*result->failed_keys));
	while (result->failed_keys && ws_json_next(&elements, &key))
		if (ws_json_string(key, &text, &len))
			snprintf(result->failed_keys[result->failed_count++], WS_KEY_MAX, "%s",
				 text);
}

static bool ws_no_capacity(struct ws_json json)
{
	char error[WS_NAME_MAX];

	return ws_member_string(json, "error", error, sizeof(error), false) &&
	       !strcmp(error, "no capacity");
}

static bool ws_carries_records(const struct ws_call *call)
{
	return call->kind == WS_CALL_GET || call->kind == WS_CALL_LIST ||
	       call->kind == WS_CALL_WATCH;
}

/* Answers whose status says it all. */
static bool ws_plain_answer(const struct ws_call *call)
{
	return call->kind == WS_CALL_SESSION_RENEW || call->kind == WS_CALL_SESSION_CLOSE ||
	       call->kind == WS_CALL_SCALE_IN;
}

static void ws_decode_store_reply(const struct ws_call *call, const char *body, size_t len,
				  struct ws_result *result)
{
	/* amounts too large for a double, duplicate keys and deep nesting are malformed too */
	json_t *object = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);

	if (!json_is_object(object) || !ws_decode_records(call, object, result))
		ws_result_free(result); /* answered, but who knows what was done */
	json_decref(object);
}

void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t len,
		     struct ws_result *result)
{
	bool done = status == 200 || (status == 409 && call->kind == WS_CALL_COMMANDS);
	struct ws_json json;

	memset(result, 0, sizeof(*result));
	result->status = status;
	if (status <= 0 || (done && ws_plain_answer(call)))
		return;
	if (ws_carries_records(call)) {
		if (done)
			ws_decode_store_reply(call, body, len, result);
		return;
	}
	bool read = ws_json_read(body, len, &json) && ws_json_is_object(json);

	if (done) {
		if (!read || !ws_decode_ok(call, json, result))
			ws_result_free(result); /* answered, but who knows what was done */
	} else if (read && status == 409 && call->kind == WS_CALL_TRANSACTION) {
		ws_decode_failed_keys(json, result);
	} else if (read && status == 503 && call->kind == WS_CALL_SCALE_OUT) {
		result->no_capacity = ws_no_capacity(json);
	}
}

void ws_result_free(struct ws_result *result)
{
	for (size_t i = 0; i < result->entry_count; i++)
		json_decref(result->entries[i].value);
	if (result->heartbeat) {
		ws_heartbeat_free(result->heartbeat);
		free(result->heartbeat);
	}
	free(result->entries);
	free(result->failed_keys);
	free(result->types);
	free(result->instances);
	free(result->cancellations);
	memset(result, 0, sizeof(*result));
}
