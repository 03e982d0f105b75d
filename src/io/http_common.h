/* What the HTTP server and client share: limits, and a growing buffer. */
#ifndef WS_HTTP_COMMON_H
#define WS_HTTP_COMMON_H
#include <stdbool.h>
#include <stddef.h>

/* The longest body of a request, and the longest path. */
#define WS_BODY_MAX ((size_t)64 * 1024)
#define WS_PATH_MAX 1024

/* Bytes read from a socket at once. */
#define WS_READ_SIZE 16384

/* Bytes that grow at their end, followed by a NUL that is not counted; `bytes` is NULL at first. */
struct ws_buffer {
	char *bytes;
	size_t length, capacity;
};

/* Adds bytes; false, and nothing changed, without memory. */
bool ws_buffer_add(struct ws_buffer *buffer, const char *bytes, size_t length);
/* Empties a buffer; the memory of a large one is given back. */
void ws_buffer_reset(struct ws_buffer *buffer);
void ws_buffer_free(struct ws_buffer *buffer);
/* The content as a string, "" if there never was any. */
const char *ws_buffer_text(const struct ws_buffer *buffer);

#endif
