/* Synchronous calls to the store for the operators' commands, one at a time. */
#ifndef WS_STORE_CLIENT_H
#define WS_STORE_CLIENT_H
#include "core/core.h"

struct ws_store_client;
/*
 * Creates a client, which connects with the first call. Never returns NULL. The caller closes it
 * with ws_store_client_close().
 */
struct ws_store_client *ws_store_client_open(const struct ws_settings *settings);
void ws_store_client_close(struct ws_store_client *store);

/* Makes a call and waits for its result, which the caller frees with ws_result_free(). */
void ws_store_client_call(struct ws_store_client *store, const struct ws_call *call,
			  struct ws_result *result);

/* Called for each record of a listing. Returns false to stop the listing. */
typedef bool (*ws_store_record_fn)(void *context, const struct ws_kv *record);
/*
 * Calls `on_record` for all records whose keys begin with `prefix`, page by page. Returns false if
 * a page could not be read or `on_record` stopped the listing.
 */
bool ws_store_client_list(struct ws_store_client *store, const char *prefix,
			  ws_store_record_fn on_record, void *context);

#endif
