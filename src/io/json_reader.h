/*
 * Parses JSON messages whose values are copied before the document is discarded: heartbeats, job
 * submissions, replies of workers and the cloud. This is a C interface to simdjson, which parses a
 * heartbeat of a dozen tasks in a twentieth of the time that jansson takes to build a document.
 * jansson parses the records of the store, which outlive the message, and writes all messages.
 *
 * Only one thread may use the reader, and it holds one document at a time: a value is valid until
 * the next document is parsed. Documents with duplicate keys, NUL characters or integers beyond 63
 * bits are rejected as malformed, as jansson rejects them.
 */
#ifndef WS_JSON_READER_H
#define WS_JSON_READER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longer documents are rejected. The parser takes about 15 bytes of memory for each byte of the
 * document. */
#define WS_JSON_MAX_BYTES ((size_t)1024 * 1024)
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

/* Parses a document. Returns false if it is malformed or too long. */
bool ws_json_parse(const char *text, size_t len, struct ws_json *root);

bool ws_json_is_object(struct ws_json value);
bool ws_json_is_null(struct ws_json value);
/* Finds a member of an object. Returns false if the value is no object or has no such member. */
bool ws_json_member(struct ws_json object, const char *name, struct ws_json *value);

/* Return false if the value is of another type. ws_json_number() accepts integers too;
 * ws_json_integer() does not accept reals. */
bool ws_json_string(struct ws_json value, const char **text, size_t *len);
bool ws_json_number(struct ws_json value, double *target);
bool ws_json_integer(struct ws_json value, int64_t *target);
bool ws_json_bool(struct ws_json value, bool *target);

/* Starts an iteration and counts the elements. Returns false if the value is not an array. */
bool ws_json_elements(struct ws_json array, struct ws_json_elements *elements, size_t *count);
/* Reads the next element. Returns false after the last one. */
bool ws_json_next(struct ws_json_elements *elements, struct ws_json *value);

/* Returns the length in bytes of the longest document that fits in the memory now held. */
size_t ws_json_capacity(void);

#ifdef __cplusplus
}
#endif
#endif
