/*
 * A string that grows as text is appended to it. It owns its memory, starts as zeroes, and is
 * always terminated once something was appended. Memory that can't be had ends the program.
 */
#ifndef WS_TEXT_BUILDER_H
#define WS_TEXT_BUILDER_H
#include <stddef.h>
#include <stdint.h>

struct ws_text_builder {
	char *text; /* NULL until something is appended */
	size_t length, capacity;
};

void ws_text_builder_add(struct ws_text_builder *builder, const char *text);
void ws_text_builder_add_char(struct ws_text_builder *builder, char character);
void ws_text_builder_add_number(struct ws_text_builder *builder, uint64_t number);

/* Appends "first-last", or "first" alone where the two are equal. */
void ws_text_builder_add_range(struct ws_text_builder *builder, uint32_t first, uint32_t last);

/* Takes back what was appended behind this length. */
void ws_text_builder_truncate(struct ws_text_builder *builder, size_t length);

/* The text so far; it lives until something else is appended. */
const char *ws_text_builder_text(const struct ws_text_builder *builder);

void ws_text_builder_free(struct ws_text_builder *builder);

/* Digits of a number in decimal. */
size_t ws_decimal_digits(uint64_t number);

/* Copies text, NULL as an empty one, and cuts it to fit `size` bytes. */
void ws_text_copy(char *target, size_t size, const char *from);
#endif
