/*
 * Selects the decoder for the reply to each kind of call. A body that violates the protocol counts
 * as a failed call, and none of its values are used.
 */
#include "codec.h"
#include "decode_internal.h"
#include "http_status.h"
#include "json_members.h"
#include <stdlib.h>
#include <string.h>

static bool decode_command_reply(struct ws_json object, struct ws_result *result)
{
	result->heartbeat = calloc(1, sizeof(*result->heartbeat));
	if (result->heartbeat && ws_decode_heartbeat_object(object, result->heartbeat))
		return true;
	free(result->heartbeat);
	result->heartbeat = NULL;
	return false;
}

static bool decode_success(const struct ws_call *call, struct ws_json object,
			   struct ws_result *result)
{
	switch (call->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
	case WS_CALL_WATCH: return ws_decode_store_reply(call, object, result);
	case WS_CALL_TRANSACTION:
		return ws_member_uint(object, "ledgerRev", &result->transaction.revision);
	case WS_CALL_SESSION_OPEN: return ws_member_uint(object, "permit", &result->session);
	case WS_CALL_MACHINE_TYPES: return ws_decode_machine_types(object, result);
	case WS_CALL_INSTANCES:
		if (!ws_member_bool(object, "hasNext", &result->instances.has_more))
			result->instances.has_more = false;
		return ws_decode_instances(object, result, false);
	case WS_CALL_SCALE_OUT: return ws_decode_instances(object, result, true);
	case WS_CALL_COMMANDS: return decode_command_reply(object, result);
	default: return true;
	}
}

/* Returns whether the status of a successful reply is sufficient, so that its body is ignored. */
static bool needs_no_body(const struct ws_call *call)
{
	return call->kind == WS_CALL_SESSION_RENEW || call->kind == WS_CALL_SESSION_CLOSE ||
	       call->kind == WS_CALL_SCALE_IN;
}

/* Decodes the body of an error that carries more than its status. */
static void decode_error(const struct ws_call *call, struct ws_json object,
			 struct ws_result *result)
{
	if (result->http_status == 409 && call->kind == WS_CALL_TRANSACTION)
		ws_decode_failed_keys(object, result);
	else if (result->http_status == 503 && call->kind == WS_CALL_SCALE_OUT)
		result->instances.no_capacity = ws_decode_no_capacity(object);
}

void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
		     struct ws_result *result)
{
	bool succeeded = status == 200 || (status == 409 && call->kind == WS_CALL_COMMANDS);
	struct ws_json object;
	bool parsed;

	*result = (struct ws_result){.kind = call->kind,
				     .outcome = ws_outcome_of_http_status(status),
				     .http_status = status};
	if (status <= 0 || (succeeded && needs_no_body(call)))
		return;
	parsed = ws_message_parse(body, length, &object) && ws_json_is_object(object);
	if (!succeeded && parsed)
		decode_error(call, object, result);
	if (succeeded && (!parsed || !decode_success(call, object, result)))
		ws_result_free(result); /* the outcome of the call is unknown */
}
