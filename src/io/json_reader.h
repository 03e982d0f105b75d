/*
 * Reading of JSON messages that are copied from and dropped again: reports, submissions, answers of
 * workers and the cloud. It is simdjson behind a C interface: a heartbeat of a dozen tasks takes it
 * a twentieth of the time that building a jansson document does. Records of the store, which live
 * on, and all that is written stay with jansson.
 *
 * One document at a time, one thread: a value is good until the next ws_json_read. Documents with
 * duplicate keys, NUL characters or integers beyond 63 bits are malformed, as they are to jansson.
 */
#ifndef WS_JSON_READER_H
#define WS_JSON_READER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longer documents are refused; the reader takes some fifteen bytes of memory for each of theirs.
 */
#define WS_JSON_MAX ((size_t)1024 * 1024)
/* Memory for documents up to this length is kept from one to the next. */
#define WS_JSON_KEPT ((size_t)64 * 1024)

/* A value of the document, by reference. */
struct ws_json {
	uint64_t opaque[2];
};

/* The elements of an array, one after the other. */
struct ws_json_elements {
	uint64_t next[2], end[2];
};

/* Reads a document. False: it is malformed or too long. */
bool ws_json_read(const char *text, size_t len, struct ws_json *root);

bool ws_json_is_object(struct ws_json value);
bool ws_json_is_null(struct ws_json value);
/* A member of an object. False: not an object, or it has none of that name. */
bool ws_json_member(struct ws_json object, const char *name, struct ws_json *value);

/* False: the value is of another type. Numbers may be integers; integers may not be reals. */
bool ws_json_string(struct ws_json value, const char **text, size_t *len);
bool ws_json_number(struct ws_json value, double *target);
bool ws_json_integer(struct ws_json value, int64_t *target);
bool ws_json_bool(struct ws_json value, bool *target);

/* False: not an array. */
bool ws_json_elements(struct ws_json array, struct ws_json_elements *elements, size_t *count);
/* False: behind the last one. */
bool ws_json_next(struct ws_json_elements *elements, struct ws_json *value);

/* Length of the longest document that the memory held by now is enough for. */
size_t ws_json_capacity(void);

#ifdef __cplusplus
}
#endif
#endif
