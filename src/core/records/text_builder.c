/* A growable string. */
#include "text_builder.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WS_TEXT_INITIAL_CAPACITY 1024 /* bytes */
#define WS_NUMBER_DIGITS_MAX 20	      /* decimal digits of the largest uint64_t */

/* Grows the buffer to hold `extra` more bytes and the terminator; aborts if memory is exhausted. */
static void ws_text_builder_reserve(struct ws_text_builder *builder, size_t extra)
{
	size_t capacity = builder->capacity ? builder->capacity : WS_TEXT_INITIAL_CAPACITY;

	while (capacity < builder->length + extra + 1)
		capacity *= 2;
	if (capacity == builder->capacity)
		return;
	builder->text = realloc(builder->text, capacity);
	if (!builder->text)
		abort();
	builder->capacity = capacity;
}

static void ws_text_builder_add_bytes(struct ws_text_builder *builder, const char *bytes,
				      size_t count)
{
	ws_text_builder_reserve(builder, count);
	memcpy(builder->text + builder->length, bytes, count);
	builder->length += count;
	builder->text[builder->length] = 0;
}

void ws_text_builder_add(struct ws_text_builder *builder, const char *text)
{
	ws_text_builder_add_bytes(builder, text, strlen(text));
}

void ws_text_builder_add_char(struct ws_text_builder *builder, char character)
{
	ws_text_builder_add_bytes(builder, &character, 1);
}

void ws_text_builder_add_number(struct ws_text_builder *builder, uint64_t number)
{
	char digits[WS_NUMBER_DIGITS_MAX];
	size_t first = sizeof(digits);

	do {
		digits[--first] = (char)('0' + number % 10);
		number /= 10;
	} while (number);
	ws_text_builder_add_bytes(builder, digits + first, sizeof(digits) - first);
}

void ws_text_builder_add_range(struct ws_text_builder *builder, uint32_t first, uint32_t last)
{
	ws_text_builder_add_number(builder, first);
	if (last == first)
		return;
	ws_text_builder_add_char(builder, '-');
	ws_text_builder_add_number(builder, last);
}

void ws_text_builder_truncate(struct ws_text_builder *builder, size_t length)
{
	if (length >= builder->length)
		return;
	builder->length = length;
	builder->text[length] = 0;
}

const char *ws_text_builder_text(const struct ws_text_builder *builder)
{
	return builder->text ? builder->text : "";
}

void ws_text_builder_free(struct ws_text_builder *builder)
{
	free(builder->text);
	*builder = (struct ws_text_builder){0};
}

size_t ws_decimal_digits(uint64_t number)
{
	size_t digits = 1;

	while (number >= 10) {
		number /= 10;
		digits++;
	}
	return digits;
}

void ws_text_copy(char *target, size_t size, const char *source)
{
	snprintf(target, size, "%s", source ? source : "");
}
