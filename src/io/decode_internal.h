/*
 * Declarations that the decode_*.c files share. All decoders return false if the body violates the
 * protocol; the caller then frees the memory of the result with ws_result_free().
 */
#ifndef WS_DECODE_INTERNAL_H
#define WS_DECODE_INTERNAL_H
#include "../core/core.h"
#include "json_reader.h"

/* ---- decode_worker.c ---- */

/* Decodes a heartbeat, whose memory the caller frees with ws_heartbeat_free(). On failure the
 * memory is already freed. */
bool ws_decode_heartbeat_object(struct ws_json object, struct ws_heartbeat *heartbeat);

/* ---- decode_store.c ---- */

/* Decodes the reply to a read of one record, a list of records or a watch. */
bool ws_decode_store_reply(const struct ws_call *call, struct ws_json object,
			   struct ws_result *result);
/* Decodes the keys whose revision compare failed, from the reply to a rejected transaction. */
void ws_decode_failed_keys(struct ws_json object, struct ws_result *result);

/* ---- decode_cloud.c ---- */

/* Decodes the list of machine types. */
bool ws_decode_machine_types(struct ws_json object, struct ws_result *result);
/* Decodes instances: full entries, or only names in the reply to a scale-out request. */
bool ws_decode_instances(struct ws_json object, struct ws_result *result, bool names_only);
/* Returns whether a reply of status 503 says that the cloud has no capacity, and not that it
 * failed. */
bool ws_decode_no_capacity(struct ws_json object);
#endif
