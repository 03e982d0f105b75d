#include "state_tool.h"
#include "io/codec.h"
#include "io/http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_S 5
#define REPLY_BYTES_MAX ((size_t)4 * 1024 * 1024)

struct ws_state_tool {
	struct ev_loop *loop;
	struct ws_client *client;
	const struct ws_call *call; /* under way; NULL: none */
	struct ws_result *result;
};

struct ws_state_tool *ws_state_tool_open(const struct ws_settings *settings)
{
	const struct ws_client_opts options = {
	    .max_conns = 1, .max_queue = 1, .max_reply = REPLY_BYTES_MAX};
	struct ws_state_tool *tool = calloc(1, sizeof(*tool));

	if (!tool)
		abort();
	tool->loop = ev_loop_new(EVFLAG_AUTO);
	if (!tool->loop)
		abort();
	tool->client =
	    ws_client_new(tool->loop, settings->state.host, settings->state.port, &options);
	return tool;
}

void ws_state_tool_close(struct ws_state_tool *tool)
{
	ws_client_free(tool->client);
	ev_loop_destroy(tool->loop);
	free(tool);
}

static void on_reply(void *context, int status, const char *body, size_t length)
{
	struct ws_state_tool *tool = context;

	ws_decode_reply(tool->call, status, body, length, tool->result);
	tool->call = NULL;
	ev_break(tool->loop, EVBREAK_ALL);
}

void ws_state_tool_call(struct ws_state_tool *tool, const struct ws_call *call,
			struct ws_result *result)
{
	char path[WS_URL_MAX];
	const char *method;
	char *body = ws_encode_call(call, &method, path);

	memset(result, 0, sizeof(*result));
	tool->call = call;
	tool->result = result;
	if (ws_client_send(tool->client, method, path, body ? body : "", body ? strlen(body) : 0,
			   CALL_TIMEOUT_S, false, on_reply, tool))
		while (tool->call)
			ev_run(tool->loop, EVRUN_ONCE);
	free(body);
}

bool ws_state_tool_list(struct ws_state_tool *tool, const char *prefix, ws_state_tool_fn each,
			void *context)
{
	struct ws_call call = {.kind = WS_CALL_LIST};
	bool more = true;

	snprintf(call.key, sizeof(call.key), "%s", prefix);
	while (more) {
		struct ws_result result;
		bool ok;

		ws_state_tool_call(tool, &call, &result);
		ok = result.status == 200;
		more = ok && result.more && result.nkvs > 0;
		for (size_t i = 0; ok && i < result.nkvs; i++)
			ok = each(context, &result.kvs[i]);
		if (more)
			snprintf(call.after, sizeof(call.after), "%s",
				 result.kvs[result.nkvs - 1].key);
		ws_result_free(&result);
		if (!ok)
			return false;
	}
	return true;
}

const char *ws_state_tool_text(json_t *record, const char *name)
{
	const char *text = json_string_value(json_object_get(record, name));

	return text ? text : "?";
}

long long ws_state_tool_count(json_t *record, const char *name)
{
	return json_integer_value(json_object_get(record, name));
}
