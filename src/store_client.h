/* Calls to the store for operators' commands: one at a time, waited for. */
#ifndef WS_STORE_CLIENT_H
#define WS_STORE_CLIENT_H
#include "core/core.h"

struct ws_store_client;
/* Never fails: the store is connected to with the first call. */
struct ws_store_client *ws_store_client_open(const struct ws_settings *settings);
void ws_store_client_close(struct ws_store_client *store);

/* Makes a call and waits for its outcome; the caller frees what it has with ws_result_free(). */
void ws_store_client_call(struct ws_store_client *store, const struct ws_call *call,
			  struct ws_result *result);

/* Called for each record of a listing; false ends it. */
typedef bool (*ws_store_record_fn)(void *context, const struct ws_kv *record);
/* Lists all records whose keys begin so, page by page; false if it could not. */
bool ws_store_client_list(struct ws_store_client *store, const char *prefix,
			  ws_store_record_fn each, void *context);

#endif
