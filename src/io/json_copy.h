/* Copies a value of a parsed message to a jansson document, which outlives the message. */
#ifndef WS_JSON_COPY_H
#define WS_JSON_COPY_H
#include "json_reader.h"
#include <jansson.h>

/* Lists and objects that are nested deeper in a copy are copied as null. */
#define WS_JSON_COPY_MAX_DEPTH 2048

/*
 * Returns the copy, which the caller releases, or NULL if memory is exhausted. jansson's integers
 * have 63 bits: a larger one is copied as a real. Of members of the same name the last one counts.
 */
json_t *ws_json_copy(struct ws_json value);
#endif
