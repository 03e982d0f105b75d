/*
 * The decoders by peer, for one another. All return false where a body is not what the protocol
 * says; what they had allocated by then is in the result, for ws_result_free().
 */
#ifndef WS_DECODE_INTERNAL_H
#define WS_DECODE_INTERNAL_H
#include "../core/core.h"
#include "json_reader.h"

/* ---- decode_worker.c ---- */

/* A heartbeat; what it has allocated is freed by ws_heartbeat_free(), on failure already. */
bool ws_decode_report_object(struct ws_json object, struct ws_heartbeat *report);

/* ---- decode_state.c ---- */

/* The answer to a read of one record, a list of records or a watch. */
bool ws_decode_store_reply(const struct ws_call *call, const char *body, size_t length,
			   struct ws_result *result);
/* The keys whose revisions had moved, of a transaction that was not carried out. */
void ws_decode_failed_keys(struct ws_json object, struct ws_result *result);

/* ---- decode_cloud.c ---- */

/* Machine types. */
bool ws_decode_types(struct ws_json object, struct ws_result *result);
/* Instances: whole entries, or of a scale-out request their names alone. */
bool ws_decode_instances(struct ws_json object, struct ws_result *result, bool names_only);
/* Whether a 503 says that the cloud has no capacity, rather than that it failed. */
bool ws_decode_no_capacity(struct ws_json object);
#endif
