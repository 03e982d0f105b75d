/*
 * Parses the JSON of all messages. This is a C interface to simdjson, which parses a heartbeat of a
 * dozen tasks in a twentieth of the time that jansson takes to build a document.
 *
 * Every document that RFC 8259 allows is accepted, up to WS_JSON_MAX_BYTES and WS_JSON_MAX_DEPTH.
 * Whether a value is valid is for the reader of a member to check, so that a member which nobody
 * reads may hold any value. Numbers beyond the range of a double or of 64 bits and halves of
 * surrogate pairs are substituted, see json_substitution.h.
 *
 * Only one thread may use the reader, and it holds one document at a time: a value is valid until
 * the next document is parsed.
 */
#ifndef WS_JSON_READER_H
#define WS_JSON_READER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longer documents are rejected; the longest reply of the store is shorter. The parser reserves
 * about 15 bytes of memory for each byte of the document, and touches those that it needs. */
#define WS_JSON_MAX_BYTES ((size_t)16 * 1024 * 1024 + 1024)
/* Documents nested deeper are rejected. A request body of 64 KiB cannot be. */
#define WS_JSON_MAX_DEPTH ((size_t)33 * 1024)
/* The parser keeps the memory for documents of up to this many bytes. Memory for a longer one is
 * freed when the next document of at most this length is parsed. */
#define WS_JSON_KEPT_BYTES ((size_t)64 * 1024)

/* A reference to a value of the document. */
struct ws_json {
	uint64_t opaque[2];
};

/* An iterator over the elements of an array. */
struct ws_json_elements {
	uint64_t next[2], end[2];
};

/* An iterator over the members of an object. */
struct ws_json_members {
	uint64_t next[2], end[2];
};

enum ws_json_type {
	WS_JSON_NULL,
	WS_JSON_BOOL,
	WS_JSON_INTEGER,  /* fits into int64_t */
	WS_JSON_UNSIGNED, /* fits into uint64_t alone */
	WS_JSON_REAL,
	WS_JSON_STRING,
	WS_JSON_ARRAY,
	WS_JSON_OBJECT,
};

enum ws_json_lookup {
	WS_JSON_ABSENT,
	WS_JSON_FOUND,
	WS_JSON_REPEATED, /* the object has the member more than once */
};

/* Parses a document. Returns false if it is malformed, too long or nested too deep. */
bool ws_json_parse(const char *text, size_t len, struct ws_json *root);
/* Returns why the last document was rejected. */
const char *ws_json_parse_error(void);

bool ws_json_is_object(struct ws_json value);
bool ws_json_is_null(struct ws_json value);
enum ws_json_type ws_json_type_of(struct ws_json value);
/* Finds a member of an object; a value that is no object has none. */
enum ws_json_lookup ws_json_find(struct ws_json object, const char *name, struct ws_json *value);

/* Return false if the value is of another type. A string may contain NUL characters and is followed
 * by one. ws_json_number() accepts integers too; ws_json_integer() and ws_json_unsigned() do not
 * accept reals. */
bool ws_json_string(struct ws_json value, const char **text, size_t *len);
bool ws_json_number(struct ws_json value, double *target);
bool ws_json_integer(struct ws_json value, int64_t *target);
bool ws_json_unsigned(struct ws_json value, uint64_t *target);
bool ws_json_bool(struct ws_json value, bool *target);

/* Starts an iteration and counts the elements. Returns false if the value is not an array. */
bool ws_json_elements(struct ws_json array, struct ws_json_elements *elements, size_t *count);
/* Reads the next element. Returns false after the last one. */
bool ws_json_next(struct ws_json_elements *elements, struct ws_json *value);

/* Starts an iteration. Returns false if the value is not an object. */
bool ws_json_members(struct ws_json object, struct ws_json_members *members);
/* Reads the next member. Returns false after the last one. */
bool ws_json_next_member(struct ws_json_members *members, const char **name, size_t *length,
			 struct ws_json *value);

/* Returns the length in bytes of the longest document that fits in the memory now held. */
size_t ws_json_capacity(void);

#ifdef __cplusplus
}
#endif
#endif
