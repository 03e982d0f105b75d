#include "store_client.h"
#include "io/codec.h"
#include "io/http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_S 5
#define REPLY_BYTES_MAX ((size_t)4 * 1024 * 1024)

struct ws_store_client {
	struct ev_loop *loop;
	struct ws_http_client *client;
	const struct ws_call *call; /* the call in progress, or NULL */
	struct ws_result *result;
};

struct ws_store_client *ws_store_client_open(const struct ws_settings *settings)
{
	const struct ws_http_client_options options = {
	    .max_connections = 1, .max_queue = 1, .max_reply_bytes = REPLY_BYTES_MAX};
	struct ws_store_client *store = calloc(1, sizeof(*store));

	if (!store)
		abort();
	store->loop = ev_loop_new(EVFLAG_AUTO);
	if (!store->loop)
		abort();
	store->client =
	    ws_client_new(store->loop, settings->store.host, settings->store.port, &options);
	if (!store->client)
		abort();
	return store;
}

void ws_store_client_close(struct ws_store_client *store)
{
	ws_client_free(store->client);
	ev_loop_destroy(store->loop);
	free(store);
}

static void on_reply(void *context, int status, const char *body, size_t length)
{
	struct ws_store_client *store = context;

	ws_decode_reply(store->call, status, body, length, store->result);
	store->call = NULL;
	ev_break(store->loop, EVBREAK_ALL);
}

void ws_store_client_call(struct ws_store_client *store, const struct ws_call *call,
			  struct ws_result *result)
{
	char path[WS_CALL_PATH_SIZE];
	const char *method;
	char *body = ws_encode_call(call, &method, path);

	*result = (struct ws_result){.kind = call->kind};
	store->call = call;
	store->result = result;
	if (ws_client_send(store->client, method, path, body ? body : "", body ? strlen(body) : 0,
			   CALL_TIMEOUT_S, false, on_reply, store))
		while (store->call)
			ev_run(store->loop, EVRUN_ONCE);
	free(body);
}

bool ws_store_client_list(struct ws_store_client *store, const char *prefix,
			  ws_store_record_fn on_record, void *context)
{
	struct ws_call call = {.kind = WS_CALL_LIST};
	bool more = true;

	snprintf(call.read.key, sizeof(call.read.key), "%s", prefix);
	while (more) {
		struct ws_result result;
		bool ok;

		ws_store_client_call(store, &call, &result);
		ok = result.outcome == WS_OUTCOME_OK;
		more = ok && result.records.has_more && result.records.entry_count > 0;
		for (size_t i = 0; ok && i < result.records.entry_count; i++)
			ok = on_record(context, &result.records.entries[i]);
		if (more)
			snprintf(call.read.after, sizeof(call.read.after), "%s",
				 result.records.entries[result.records.entry_count - 1].key);
		ws_result_free(&result);
		if (!ok)
			return false;
	}
	return true;
}
