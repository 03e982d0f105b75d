/* Writing: answers to users and workers, and calls to workers, the cloud and the store. */
#include "codec.h"
#include "pool.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *ws_dump(json_t *object)
{
	char *s = object ? json_dumps(object, JSON_COMPACT) : NULL, *own = s ? strdup(s) : NULL;

	if (s) { /* it may be the pool's, which ends here; what is part of others is given back */
		json_free_t give;

		json_get_alloc_funcs(NULL, &give);
		give(s);
	}
	json_decref(object);
	ws_pool_end();
	return own;
}

char *ws_encode_user(const struct ws_effect *effect)
{
	static const char *const phases[] = {"queued", "running", "done", "withdrawn"};
	json_t *object;

	if (effect->status != 200 && effect->status != 201)
		return strdup("{}");
	ws_pool_begin();
	object = json_pack("{s:s,s:s}", "nameId", effect->name, "phase", phases[effect->phase]);
	if (effect->carries_counts) {
		json_object_set_new(object, "done", json_integer(effect->done));
		json_object_set_new(object, "running", json_integer(effect->running));
	}
	return ws_dump(object);
}

static json_t *ws_commands_json(const struct ws_command *command, size_t count)
{
	static const char *const verbs[] = {"run", "stop", "reap"};
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++) {
		char task[WS_ID_MAX + 16];
		json_t *x;

		snprintf(task, sizeof(task), "%s/%u", command[i].job, command[i].task);
		x = json_pack("{s:s,s:s,s:I}", "verb", verbs[command[i].kind], "shard", task,
			      "tryNo", (json_int_t)command[i].attempt);
		if (command[i].kind == WS_COMMAND_STOP)
			json_object_set_new(x, "windDownS", json_real(command[i].grace_s));
		json_array_append_new(array, x);
	}
	return array;
}

char *ws_encode_heartbeat_answer(const struct ws_effect *effect)
{
	bool names_leader = effect->status == 421 && effect->name[0];

	if (effect->status != 200 && !names_leader)
		return strdup("{}");
	ws_pool_begin();
	if (names_leader)
		return ws_dump(json_pack("{s:s}", "supervisor", effect->name));
	return ws_dump(json_pack("{s:I,s:o}", "epoch", (json_int_t)effect->fencing_token, "orders",
				 ws_commands_json(effect->commands, effect->command_count)));
}

char *ws_encode_commands(uint64_t epoch, uint64_t tenure, const struct ws_command *command,
			 size_t count)
{
	ws_pool_begin();
	return ws_dump(json_pack("{s:I,s:I,s:o}", "epoch", (json_int_t)epoch, "tenure",
				 (json_int_t)tenure, "orders", ws_commands_json(command, count)));
}

static json_t *ws_compares_json(const struct ws_call *call)
{
	json_t *list = json_array();

	for (size_t i = 0; i < call->compare_count; i++)
		json_array_append_new(list,
				      json_pack("{s:s,s:I}", "k", call->compares[i].key, "stamp",
						(json_int_t)call->compares[i].revision));
	return list;
}

static json_t *ws_operation_json(const struct ws_operation *operation)
{
	json_t *change;

	if (!operation->value)
		return json_pack("{s:s}", "delete", operation->key);
	change = json_pack("{s:s,s:O}", "write", operation->key, "value", operation->value);
	if (operation->session)
		json_object_set_new(change, "permit", json_integer((json_int_t)operation->session));
	return change;
}

static char *ws_encode_transaction(const struct ws_call *call)
{
	json_t *when, *then;

	ws_pool_begin();
	when = ws_compares_json(call);
	then = json_array();
	for (size_t i = 0; i < call->operation_count; i++)
		json_array_append_new(then, ws_operation_json(&call->operations[i]));
	return ws_dump(json_pack("{s:o,s:o}", "when", when, "then", then));
}

static char *ws_encode_scale_in(const struct ws_call *call)
{
	json_t *names = json_array();

	for (size_t i = 0; i < call->machine_count; i++)
		json_array_append_new(names, json_string(call->machine_names[i]));
	return ws_dump(json_pack("{s:o}", "hosts", names));
}

static char *ws_encode_scale_out(const struct ws_call *call)
{
	return ws_dump(json_pack("{s:s,s:s,s:s,s:b,s:i}", "booking", call->key, "flavour",
				 call->type, "hall", call->zone, "reclaimable", call->preemptible,
				 "howMany", (int)call->count));
}

/* Reads, which have no body: their path. */
static void ws_encode_read(const struct ws_call *call, char *path)
{
	const char *since = call->after[0] ? "&since=" : "";

	switch (call->kind) {
	case WS_CALL_GET: snprintf(path, WS_URL_MAX, "/kv/%s", call->key); break;
	case WS_CALL_LIST:
		snprintf(path, WS_URL_MAX, "/kv?starts=%s%s%s&most=1000", call->key, since,
			 call->after);
		break;
	case WS_CALL_WATCH:
		snprintf(path, WS_URL_MAX, "/watch?starts=%s&since=%llu&holdMs=%u", call->key,
			 (unsigned long long)call->since_revision, call->timeout_ms);
		break;
	case WS_CALL_MACHINE_TYPES: snprintf(path, WS_URL_MAX, "/machine_types"); break;
	case WS_CALL_INSTANCES:
		if (call->after[0])
			snprintf(path, WS_URL_MAX, "/hosts?since=%s&most=500", call->after);
		else
			snprintf(path, WS_URL_MAX, "/hosts?most=500");
		break;
	default: path[0] = 0; break;
	}
}

char *ws_encode_call(const struct ws_call *call, const char **method, char *path)
{
	*method = "POST";
	switch (call->kind) {
	case WS_CALL_TRANSACTION:
		snprintf(path, WS_URL_MAX, "/multi");
		return ws_encode_transaction(call);
	case WS_CALL_SESSION_OPEN:
		snprintf(path, WS_URL_MAX, "/holds");
		return ws_dump(json_pack("{s:i}", "ttlMs", (int)call->timeout_ms));
	case WS_CALL_SESSION_RENEW:
		snprintf(path, WS_URL_MAX, "/holds/%llu/extend", (unsigned long long)call->session);
		return NULL;
	case WS_CALL_SESSION_CLOSE:
		*method = "DELETE";
		snprintf(path, WS_URL_MAX, "/holds/%llu", (unsigned long long)call->session);
		return NULL;
	case WS_CALL_SCALE_OUT:
		snprintf(path, WS_URL_MAX, "/hosts");
		return ws_encode_scale_out(call);
	case WS_CALL_SCALE_IN:
		snprintf(path, WS_URL_MAX, "/hosts/return");
		return ws_encode_scale_in(call);
	case WS_CALL_COMMANDS:
		snprintf(path, WS_URL_MAX, "/commands");
		return ws_encode_commands(call->fencing_token, call->incarnation, call->commands,
					  call->command_count);
	default:
		*method = "GET";
		ws_encode_read(call, path);
		return NULL;
	}
}
