/*
 * Stands in for src/io/http_common.h when the project's HTTP server and client are compiled for the
 * stand-ins: the same declarations, but a server that takes longer bodies. The stand-ins check the
 * limit of the protocol (64 KiB) themselves and record who exceeds it.
 */
#ifndef WS_HTTP_COMMON_H
#define WS_HTTP_COMMON_H
#include <stdbool.h>
#include <stddef.h>

#define WS_BODY_MAX ((size_t)1024 * 1024)
#define WS_PATH_MAX 1024
#define WS_READ_SIZE 16384

struct ws_buffer {
	char *bytes;
	size_t length, capacity;
};

bool ws_buffer_append(struct ws_buffer *buffer, const char *bytes, size_t length);
void ws_buffer_reset(struct ws_buffer *buffer);
void ws_buffer_free(struct ws_buffer *buffer);
const char *ws_buffer_text(const struct ws_buffer *buffer);

#endif
