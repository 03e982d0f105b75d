/* Frees the messages between the core and the I/O layer: calls, effects, results, heartbeats. */
#include "core_state.h"

static void ws_transaction_free(struct ws_transaction_call *transaction)
{
	for (size_t i = 0; i < transaction->operation_count; i++)
		json_decref(transaction->operations[i].value);
	free(transaction->operations);
	free(transaction->compares);
}

void ws_call_free(struct ws_call *call)
{
	if (!call)
		return;
	switch (call->kind) {
	case WS_CALL_TRANSACTION: ws_transaction_free(&call->transaction); break;
	case WS_CALL_SCALE_IN: free(call->scale_in.machine_names); break;
	case WS_CALL_COMMANDS: free(call->commands.list); break;
	default: break; /* the other kinds own nothing */
	}
	free(call->context);
	free(call);
}

void ws_effect_free(struct ws_effect *effect)
{
	if (!effect)
		return;
	switch (effect->kind) {
	case WS_EFFECT_ANSWER_HEARTBEAT: free(effect->heartbeat.commands); break;
	case WS_EFFECT_ANSWER_VOTE: free(effect->vote.cancellations); break;
	default: break; /* the other kinds own nothing; the I/O layer owns the call */
	}
	free(effect);
}

void ws_heartbeat_free(struct ws_heartbeat *heartbeat)
{
	free(heartbeat->tasks);
	heartbeat->tasks = NULL;
	heartbeat->task_count = 0;
}

static void ws_records_free(struct ws_records_result *records)
{
	for (size_t i = 0; i < records->entry_count; i++)
		json_decref(records->entries[i].value);
	free(records->entries);
}

void ws_result_free(struct ws_result *result)
{
	switch (result->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
	case WS_CALL_WATCH: ws_records_free(&result->records); break;
	case WS_CALL_TRANSACTION: free(result->transaction.failed_keys); break;
	case WS_CALL_MACHINE_TYPES: free(result->types.list); break;
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT: free(result->instances.list); break;
	case WS_CALL_COMMANDS:
		if (result->heartbeat)
			ws_heartbeat_free(result->heartbeat);
		free(result->heartbeat);
		break;
	case WS_CALL_OUTAGE_VOTE: free(result->vote.cancellations); break;
	case WS_CALL_SESSION_OPEN:
	case WS_CALL_SESSION_RENEW:
	case WS_CALL_SESSION_CLOSE:
	case WS_CALL_SCALE_IN: break;
	}
	*result = (struct ws_result){.kind = result->kind};
}
