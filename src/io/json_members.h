/*
 * Typed members of JSON objects, for the decoders. All return false where a member is missing,
 * malformed, or of another type, unless it says otherwise.
 */
#ifndef WS_JSON_MEMBERS_H
#define WS_JSON_MEMBERS_H
#include "json_reader.h"

/* A string that is neither empty nor as long as `size`. One that is missing or null gives "" where
 * it may be. */
bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
		      bool may_be_null);
/* A number of at least 0. */
bool ws_member_amount(struct ws_json object, const char *key, double *target);
bool ws_member_bool(struct ws_json object, const char *key, bool *target);
/* An integer of at least 0. */
bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target);
/* Whether there is a member that is not null. */
bool ws_member_set(struct ws_json object, const char *key);
/* An array, and its length. */
bool ws_member_array(struct ws_json object, const char *key, struct ws_json_elements *elements,
		     size_t *count);
/* "ADDRESS:PORT", or null. One that makes no sense gives "" and port 0: it is only not used. */
bool ws_member_address(struct ws_json object, const char *key, char *address, size_t size,
		       int *port);
/* An array's element that is a name, no longer than names are (WS_NAME_MAX). */
bool ws_element_name(struct ws_json value, char *target);
/* The place of a text among others; `count` if it is none of them. */
int ws_text_index(const char *const *texts, int count, const char *text);
#endif
