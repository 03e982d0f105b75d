/*
 * Encodes answers to users and workers, and calls to workers, the cloud and the store. codec.h
 * explains the names of the protocols.
 */
#include "codec.h"
#include "pool.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a task's number with the slash before it and the terminating NUL. */
#define TASK_NUMBER_MAX 16

/* Returns the text of a document, which the caller frees, or NULL if memory is exhausted. Frees the
 * document and ends the use of the pool. */
static char *to_text(json_t *document)
{
	char *pooled_text = document ? json_dumps(document, JSON_COMPACT) : NULL;
	char *text = pooled_text ? strdup(pooled_text) : NULL;

	/* The text may lie in the pool, which ends here, so a copy is returned. jansson's free
	 * function accepts memory of the pool as well as of malloc(). */
	if (pooled_text) {
		json_free_t free_pooled;

		json_get_alloc_funcs(NULL, &free_pooled);
		free_pooled(pooled_text);
	}
	json_decref(document);
	ws_pool_end();
	return text;
}

char *ws_encode_refusal(struct ws_refusal refusal)
{
	ws_pool_begin();
	if (!refusal.member[0])
		return to_text(json_pack("{s:s}", "error", refusal.reason));
	return to_text(json_pack("{s:s++}", "error", refusal.member, " ", refusal.reason));
}

char *ws_encode_user_answer(const struct ws_effect *answer)
{
	static const char *const phases[] = {"queued", "running", "done", "withdrawn"};
	json_t *document;

	if (answer->answer != WS_ANSWER_OK && answer->answer != WS_ANSWER_ACCEPTED)
		return strdup("{}");
	ws_pool_begin();
	document =
	    json_pack("{s:s,s:s}", "nameId", answer->user.job, "phase", phases[answer->user.phase]);
	if (answer->user.carries_counts) {
		json_object_set_new(document, "done", json_integer(answer->user.done));
		json_object_set_new(document, "running", json_integer(answer->user.running));
	}
	return to_text(document);
}

static json_t *commands_json(const struct ws_command *commands, size_t count)
{
	static const char *const verbs[] = {"run", "stop", "reap"};
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++) {
		const struct ws_command *command = &commands[i];
		char task[WS_ID_MAX + TASK_NUMBER_MAX];
		json_t *entry;

		snprintf(task, sizeof(task), "%s/%u", command->job, command->task);
		entry = json_pack("{s:s,s:s,s:I}", "verb", verbs[command->kind], "shard", task,
				  "tryNo", (json_int_t)command->attempt);
		if (command->kind == WS_COMMAND_STOP)
			json_object_set_new(entry, "windDownS", json_real(command->grace_s));
		json_array_append_new(array, entry);
	}
	return array;
}

char *ws_encode_heartbeat_answer(const struct ws_effect *answer)
{
	bool names_leader = answer->answer == WS_ANSWER_OTHER_LEADER && answer->heartbeat.leader[0];

	if (answer->answer != WS_ANSWER_OK && !names_leader)
		return strdup("{}");
	ws_pool_begin();
	if (names_leader)
		return to_text(json_pack("{s:s}", "supervisor", answer->heartbeat.leader));
	return to_text(
	    json_pack("{s:I,s:o}", "epoch", (json_int_t)answer->heartbeat.fencing_token, "orders",
		      commands_json(answer->heartbeat.commands, answer->heartbeat.command_count)));
}

char *ws_encode_commands(uint64_t fencing_token, uint64_t incarnation,
			 const struct ws_command *commands, size_t count)
{
	ws_pool_begin();
	return to_text(json_pack("{s:I,s:I,s:o}", "epoch", (json_int_t)fencing_token, "tenure",
				 (json_int_t)incarnation, "orders",
				 commands_json(commands, count)));
}

static json_t *compares_json(const struct ws_call *call)
{
	json_t *list = json_array();

	for (size_t i = 0; i < call->transaction.compare_count; i++)
		json_array_append_new(
		    list, json_pack("{s:s,s:I}", "k", call->transaction.compares[i].key, "stamp",
				    (json_int_t)call->transaction.compares[i].revision));
	return list;
}

static json_t *operation_json(const struct ws_operation *operation)
{
	json_t *document;

	if (!operation->value)
		return json_pack("{s:s}", "delete", operation->key);
	document = json_pack("{s:s,s:O}", "write", operation->key, "value", operation->value);
	if (operation->session)
		json_object_set_new(document, "permit",
				    json_integer((json_int_t)operation->session));
	return document;
}

static char *encode_transaction(const struct ws_call *call)
{
	json_t *when, *then;

	ws_pool_begin();
	when = compares_json(call);
	then = json_array();
	for (size_t i = 0; i < call->transaction.operation_count; i++)
		json_array_append_new(then, operation_json(&call->transaction.operations[i]));
	return to_text(json_pack("{s:o,s:o}", "when", when, "then", then));
}

static char *encode_scale_in(const struct ws_call *call)
{
	json_t *names = json_array();

	for (size_t i = 0; i < call->scale_in.count; i++)
		json_array_append_new(names, json_string(call->scale_in.machine_names[i]));
	return to_text(json_pack("{s:o}", "hosts", names));
}

static char *encode_scale_out(const struct ws_call *call)
{
	return to_text(
	    json_pack("{s:s,s:s,s:s,s:b,s:i}", "booking", call->scale_out.idempotency_key,
		      "flavour", call->scale_out.type, "hall", call->scale_out.zone, "reclaimable",
		      call->scale_out.preemptible, "howMany", (int)call->scale_out.count));
}

/* Writes the path of a read, which has no body; it is empty for any other call. */
static void encode_read(const struct ws_call *call, char *path)
{
	switch (call->kind) {
	case WS_CALL_GET: snprintf(path, WS_CALL_PATH_SIZE, "/kv/%s", call->read.key); break;
	case WS_CALL_LIST:
		snprintf(path, WS_CALL_PATH_SIZE, "/kv?starts=%s%s%s&most=1000", call->read.key,
			 call->read.after[0] ? "&since=" : "", call->read.after);
		break;
	case WS_CALL_WATCH:
		snprintf(path, WS_CALL_PATH_SIZE, "/watch?starts=%s&since=%llu&holdMs=%u",
			 call->watch.prefix, (unsigned long long)call->watch.since_revision,
			 call->watch.timeout_ms);
		break;
	case WS_CALL_MACHINE_TYPES: snprintf(path, WS_CALL_PATH_SIZE, "/machine_types"); break;
	case WS_CALL_INSTANCES:
		if (call->instances.after[0])
			snprintf(path, WS_CALL_PATH_SIZE, "/hosts?since=%s&most=500",
				 call->instances.after);
		else
			snprintf(path, WS_CALL_PATH_SIZE, "/hosts?most=500");
		break;
	default: path[0] = 0; break;
	}
}

char *ws_encode_call(const struct ws_call *call, const char **method, char *path)
{
	*method = "POST";
	switch (call->kind) {
	case WS_CALL_TRANSACTION:
		snprintf(path, WS_CALL_PATH_SIZE, "/multi");
		return encode_transaction(call);
	case WS_CALL_SESSION_OPEN:
		snprintf(path, WS_CALL_PATH_SIZE, "/holds");
		return to_text(json_pack("{s:i}", "ttlMs", (int)call->session.ttl_ms));
	case WS_CALL_SESSION_RENEW:
		snprintf(path, WS_CALL_PATH_SIZE, "/holds/%llu/extend",
			 (unsigned long long)call->session.id);
		return NULL;
	case WS_CALL_SESSION_CLOSE:
		*method = "DELETE";
		snprintf(path, WS_CALL_PATH_SIZE, "/holds/%llu",
			 (unsigned long long)call->session.id);
		return NULL;
	case WS_CALL_SCALE_OUT:
		snprintf(path, WS_CALL_PATH_SIZE, "/hosts");
		return encode_scale_out(call);
	case WS_CALL_SCALE_IN:
		snprintf(path, WS_CALL_PATH_SIZE, "/hosts/return");
		return encode_scale_in(call);
	case WS_CALL_COMMANDS:
		snprintf(path, WS_CALL_PATH_SIZE, "/commands");
		return ws_encode_commands(call->commands.fencing_token, call->commands.incarnation,
					  call->commands.list, call->commands.count);
	default:
		*method = "GET";
		encode_read(call, path);
		return NULL;
	}
}
