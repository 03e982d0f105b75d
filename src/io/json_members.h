/*
 * Reads typed members of JSON objects, for the decoders. Unless stated otherwise, the functions
 * return false if the member is missing, malformed or of another type.
 */
#ifndef WS_JSON_MEMBERS_H
#define WS_JSON_MEMBERS_H
#include "json_reader.h"

/* Reads a string of at least 1 and fewer than `size` bytes. With `may_be_null`, a member that is
 * missing or null reads as "". */
bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
		      bool may_be_null);
/* Reads a number that is not negative and below 1e12. */
bool ws_member_amount(struct ws_json object, const char *key, double *target);
bool ws_member_bool(struct ws_json object, const char *key, bool *target);
/* Reads an integer that is not negative. */
bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target);
/* Returns whether the member exists and is not null. */
bool ws_member_is_set(struct ws_json object, const char *key);
/* Reads an array and its length. */
bool ws_member_array(struct ws_json object, const char *key, struct ws_json_elements *elements,
		     size_t *count);
/* Reads "ADDRESS:PORT"; the member may be missing or null. A missing, malformed or too long address
 * reads as "" and an invalid port as 0, so that it is not used. */
bool ws_member_address(struct ws_json object, const char *key, char *address, size_t size,
		       int *port);
/* Reads an array element that is a name of fewer than WS_NAME_MAX bytes. */
bool ws_element_name(struct ws_json value, char *target);
/* Returns the index of a text in a list of `count` texts, or `count` if it is not in the list. */
int ws_string_index(const char *const *texts, int count, const char *text);
#endif
