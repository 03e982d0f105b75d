#include "random_json.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

/* Values nest up to this depth, and a list or object has fewer elements than this. */
#define DEPTH_MAX 6
#define ELEMENTS_MAX 5
/* The bytes that a scalar and the brackets around it need at most. */
#define SCALAR_MAX 64

static uint64_t state;

void random_json_seed(unsigned long seed)
{
	state = seed * 2862933555777941757ULL + 3037000493ULL;
}

static unsigned draw(unsigned below)
{
	state = state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)(state >> 33) % below;
}

/* A text under construction. */
struct text {
	char *bytes;
	size_t length, size;
};

static void add(struct text *text, const char *part)
{
	size_t length = strlen(part);

	memcpy(text->bytes + text->length, part, length + 1);
	text->length += length;
}

static const char *draw_from(const char *const *parts, unsigned count)
{
	return parts[draw(count)];
}

static void add_blanks(struct text *text)
{
	static const char *const blanks[] = {"", "", "", " ", "\n", "\t", "\r\n "};

	add(text, draw_from(blanks, 7));
}

static void add_digits(struct text *text, unsigned max)
{
	char digits[SCALAR_MAX] = "";
	unsigned count = 1 + draw(max);

	for (unsigned i = 0; i < count; i++)
		digits[i] = (char)('0' + draw(10));
	add(text, digits);
}

static void add_number(struct text *text)
{
	static const char *const heads[] = {
	    "0", "1", "-7", "-0", "18446744073709551615", "922337203685477580"};
	static const char *const exponents[] = {"e", "E", "e+", "E-", "e-"};

	add(text, draw_from(heads, 6));
	if (text->bytes[text->length - 1] != '0' && draw(2))
		add_digits(text, 8);
	if (draw(3) == 0) {
		add(text, ".");
		add_digits(text, 20);
	}
	if (draw(3) == 0) {
		add(text, draw_from(exponents, 5));
		add_digits(text, 4);
	}
}

static void add_string(struct text *text)
{
	static const char *const parts[] = {
	    "a",       "x_field",	 "nameId", "\xc3\xb6", "\xf0\x9f\x98\x80", "\\n",
	    "\\\"",    "\\\\",		 "\\/",	   "\\u0000",  "\\u00e9",	   "\\ud800",
	    "\\udC00", "\\uD83d\\uDE00", "{",	   "]"};

	add(text, "\"");
	for (unsigned count = draw(4); count; count--)
		add(text, draw_from(parts, 16));
	add(text, "\"");
}

static void add_scalar(struct text *text)
{
	static const char *const words[] = {"true", "false", "null"};

	switch (draw(4)) {
	case 0: add(text, draw_from(words, 3)); break;
	case 1: add_string(text); break;
	default: add_number(text); break;
	}
}

/* A list or object that is not closed yet. */
struct level {
	bool is_object;
	unsigned left, count; /* elements to come, and those written */
};

static void begin_element(struct text *text, struct level *level)
{
	level->left--;
	if (level->count++)
		add(text, ",");
	add_blanks(text);
	if (level->is_object) {
		add_string(text);
		add_blanks(text);
		add(text, ":");
		add_blanks(text);
	}
}

/* Adds a scalar, or opens a list or object. Returns the new depth. */
static unsigned add_value(struct text *text, struct level *levels, unsigned depth)
{
	bool room = text->length + (size_t)(depth + 2) * SCALAR_MAX * 2 < text->size;

	if (depth == DEPTH_MAX || !room || draw(2)) {
		add_scalar(text);
		return depth;
	}
	levels[depth] = (struct level){.is_object = draw(2), .left = room ? draw(ELEMENTS_MAX) : 0};
	add(text, levels[depth].is_object ? "{" : "[");
	return depth + 1;
}

const char *random_json(char *bytes, size_t size)
{
	struct text text = {.bytes = bytes, .size = size};
	struct level levels[DEPTH_MAX];
	unsigned depth;

	bytes[0] = 0;
	depth = add_value(&text, levels, 0);
	while (depth) {
		struct level *level = &levels[depth - 1];

		if (!level->left || text.length + (size_t)(depth + 2) * SCALAR_MAX * 2 >= size) {
			add_blanks(&text);
			add(&text, level->is_object ? "}" : "]");
			depth--;
			continue;
		}
		begin_element(&text, level);
		depth = add_value(&text, levels, depth);
	}
	return bytes;
}

void random_json_damage(char *text, size_t size)
{
	static const char characters[] = "\"{}[]:,-+0e9.\\utf\x80\xff ";

	for (unsigned i = 0; i <= draw(3); i++) {
		size_t length = strlen(text), at = length ? draw((unsigned)length) : 0;
		unsigned kind = draw(3);

		if (!length)
			return;
		if (kind == 0)
			text[at] = characters[draw(sizeof(characters) - 1)];
		else if (kind == 1)
			memmove(text + at, text + at + 1, length - at);
		else if (length + 1 < size)
			memmove(text + at + 1, text + at, length - at + 1);
	}
}
