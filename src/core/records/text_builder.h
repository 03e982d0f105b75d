/*
 * A growable string that owns its memory. A builder is initialized with zeroes, and its text is
 * terminated after every append. The process aborts if an allocation fails.
 */
#ifndef WS_TEXT_BUILDER_H
#define WS_TEXT_BUILDER_H
#include <stddef.h>
#include <stdint.h>

struct ws_text_builder {
	char *text; /* NULL until something is appended; read it with ws_text_builder_text() */
	size_t length, capacity;
};

void ws_text_builder_add(struct ws_text_builder *builder, const char *text);
void ws_text_builder_add_char(struct ws_text_builder *builder, char character);
void ws_text_builder_add_number(struct ws_text_builder *builder, uint64_t number);

/* Appends "first-last", or only "first" if the two are equal. */
void ws_text_builder_add_range(struct ws_text_builder *builder, uint32_t first, uint32_t last);

/* Shortens the text to `length` bytes; does nothing if it is not longer. */
void ws_text_builder_truncate(struct ws_text_builder *builder, size_t length);

/* Returns the current text, which is never NULL. The pointer is valid until the next append. */
const char *ws_text_builder_text(const struct ws_text_builder *builder);

void ws_text_builder_free(struct ws_text_builder *builder);

/* Returns the number of decimal digits of a number. */
size_t ws_decimal_digits(uint64_t number);

/* Copies `source`, truncated to fit a buffer of `size` bytes. NULL is copied as an empty string. */
void ws_text_copy(char *target, size_t size, const char *source);
#endif
