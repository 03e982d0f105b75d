/* Limits and a growable byte buffer, shared by the HTTP server and client. */
#ifndef WS_HTTP_COMMON_H
#define WS_HTTP_COMMON_H
#include <stdbool.h>
#include <stddef.h>

/* The maximum sizes of a request body and of a request path, in bytes. */
#define WS_BODY_MAX ((size_t)64 * 1024)
#define WS_PATH_MAX 1024

/* The maximum number of bytes read from a socket by one call. */
#define WS_READ_SIZE 16384

/* A growable byte buffer. The content is followed by a NUL that `length` does not count; `bytes` is
 * NULL until something is appended. */
struct ws_buffer {
	char *bytes;
	size_t length, capacity;
};

/* Appends bytes. Returns false and leaves the buffer unchanged if memory is exhausted. */
bool ws_buffer_append(struct ws_buffer *buffer, const char *bytes, size_t length);
/* Empties a buffer. The memory of a large buffer is freed, that of a small one is kept. */
void ws_buffer_reset(struct ws_buffer *buffer);
void ws_buffer_free(struct ws_buffer *buffer);
/* Returns the content as a string, or "" if no memory was ever allocated. */
const char *ws_buffer_text(const struct ws_buffer *buffer);

#endif
