#include "http_common.h"
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 512
/* Larger buffers are freed on reset, so that one large message does not hold memory forever. */
#define RETAINED_CAPACITY_MAX 16384

bool ws_buffer_append(struct ws_buffer *buffer, const char *bytes, size_t length)
{
	size_t needed = buffer->length + length + 1;

	if (needed > buffer->capacity) {
		size_t capacity = buffer->capacity ? buffer->capacity : INITIAL_CAPACITY;
		char *grown;

		while (capacity < needed)
			capacity *= 2;
		grown = realloc(buffer->bytes, capacity);
		if (!grown)
			return false;
		buffer->bytes = grown;
		buffer->capacity = capacity;
	}
	if (length)
		memcpy(buffer->bytes + buffer->length, bytes, length);
	buffer->length += length;
	buffer->bytes[buffer->length] = 0;
	return true;
}

void ws_buffer_reset(struct ws_buffer *buffer)
{
	if (buffer->capacity > RETAINED_CAPACITY_MAX)
		ws_buffer_free(buffer);
	buffer->length = 0;
	if (buffer->bytes)
		buffer->bytes[0] = 0;
}

void ws_buffer_free(struct ws_buffer *buffer)
{
	free(buffer->bytes);
	*buffer = (struct ws_buffer){0};
}

const char *ws_buffer_text(const struct ws_buffer *buffer)
{
	return buffer->bytes ? buffer->bytes : "";
}
