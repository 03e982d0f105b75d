/*
 * Answers to the core's calls: which decoder reads which. A body that is not what the protocol says
 * is a failure, never a fact.
 */
#include "codec.h"
#include "decode_internal.h"
#include "json_members.h"
#include <stdlib.h>
#include <string.h>

static bool decode_command_answer(struct ws_json object, struct ws_result *result)
{
	result->report = calloc(1, sizeof(*result->report));
	if (result->report && ws_decode_report_object(object, result->report))
		return true;
	free(result->report);
	result->report = NULL;
	return false;
}

static bool decode_success(const struct ws_call *call, struct ws_json object,
			   struct ws_result *result)
{
	switch (call->kind) {
	case WS_CALL_TXN: return ws_member_uint(object, "ledgerRev", &result->rev);
	case WS_CALL_HOLD_NEW: return ws_member_uint(object, "permit", &result->hold);
	case WS_CALL_TYPES: return ws_decode_types(object, result);
	case WS_CALL_HOSTS:
		if (!ws_member_bool(object, "hasNext", &result->more))
			result->more = false;
		return ws_decode_hosts(object, result, false);
	case WS_CALL_RENT: return ws_decode_hosts(object, result, true);
	case WS_CALL_ORDERS: return decode_command_answer(object, result);
	default: return true;
	}
}

static bool carries_records(const struct ws_call *call)
{
	return call->kind == WS_CALL_GET || call->kind == WS_CALL_LIST ||
	       call->kind == WS_CALL_WATCH;
}

/* Answers whose status says it all. */
static bool status_says_all(const struct ws_call *call)
{
	return call->kind == WS_CALL_HOLD_EXTEND || call->kind == WS_CALL_HOLD_DROP ||
	       call->kind == WS_CALL_RETURN;
}

void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
		     struct ws_result *result)
{
	bool done = status == 200 || (status == 409 && call->kind == WS_CALL_ORDERS);
	struct ws_json object;

	memset(result, 0, sizeof(*result));
	result->status = status;
	if (status <= 0 || (done && status_says_all(call)))
		return;
	if (carries_records(call)) {
		if (done && !ws_decode_records_reply(call, body, length, result))
			ws_result_free(result); /* answered, but who knows what was done */
		return;
	}
	bool read = ws_json_read(body, length, &object) && ws_json_is_object(object);

	if (done) {
		if (!read || !decode_success(call, object, result))
			ws_result_free(result); /* answered, but who knows what was done */
	} else if (read && status == 409 && call->kind == WS_CALL_TXN) {
		ws_decode_failed_keys(object, result);
	} else if (read && status == 503 && call->kind == WS_CALL_RENT) {
		result->no_capacity = ws_decode_no_capacity(object);
	}
}

void ws_result_free(struct ws_result *result)
{
	for (size_t i = 0; i < result->nkvs; i++)
		json_decref(result->kvs[i].value);
	if (result->report) {
		ws_report_free(result->report);
		free(result->report);
	}
	free(result->kvs);
	free(result->failed);
	free(result->types);
	free(result->hosts);
	free(result->withdrawn);
	memset(result, 0, sizeof(*result));
}
