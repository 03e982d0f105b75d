/*
 * Reads typed members of JSON objects, for the decoders. Unless stated otherwise, the functions
 * return false if the member is missing, repeated, malformed or of another type.
 */
#ifndef WS_JSON_MEMBERS_H
#define WS_JSON_MEMBERS_H
#include "json_reader.h"

/* Why a message was refused. */
struct ws_refusal {
	const char *member; /* the member that was refused; "" if the text is not JSON */
	const char *reason;
};

/* Parses a message, as ws_json_parse() does, and forgets the last refusal. */
bool ws_message_parse(const char *text, size_t length, struct ws_json *root);
/* Notes why a message is refused, for checks that the functions below do not make. Returns false.
 * Both texts must outlive the message. */
bool ws_message_refuse(const char *member, const char *reason);
/* Returns the last check that failed since ws_message_parse(). */
struct ws_refusal ws_message_refusal(void);

/* Reads a string of at least 1 and fewer than `size` bytes without NUL characters. With
 * `may_be_null`, a member that is missing or null reads as "". */
bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
		      bool may_be_null);
/* Reads a number that is not negative. Numbers above 1e12 read as 1e12. */
bool ws_member_amount(struct ws_json object, const char *key, double *target);
bool ws_member_bool(struct ws_json object, const char *key, bool *target);
/* Reads an integer that is not negative, also if it is written as a real, such as 2.0 or 2e0. */
bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target);
/* Returns whether the member exists and is not null; a repeated member does. */
bool ws_member_is_set(struct ws_json object, const char *key);
/* Reads an array and its length. */
bool ws_member_array(struct ws_json object, const char *key, struct ws_json_elements *elements,
		     size_t *count);
/* Reads "ADDRESS:PORT"; the member may be missing or null. A missing, malformed or too long address
 * reads as "" and an invalid port as 0, so that it is not used. */
bool ws_member_address(struct ws_json object, const char *key, char *address, size_t size,
		       int *port);
/* Reads an array element that is a name of fewer than WS_NAME_MAX bytes without NUL characters;
 * `key` is the member with the array. */
bool ws_element_name(struct ws_json value, const char *key, char *target);
/* Returns the index of a text in a list of `count` texts, or `count` if it is not in the list. */
int ws_string_index(const char *const *texts, int count, const char *text);
#endif
