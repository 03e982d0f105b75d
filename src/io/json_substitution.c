#include "json_substitution.h"
#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

#define REPLACEMENT "1e308"
#define REPLACEMENT_LENGTH (sizeof(REPLACEMENT) - 1)
/* Digits of an escape, and the bytes of a whole one: \uXXXX. */
#define ESCAPE_DIGITS 4
#define ESCAPE_SIZE ((size_t)6)

/* The digits of U+FFFD. */
static const char replacement_character[ESCAPE_DIGITS] = {'f', 'f', 'f', 'd'};

/* ---- numbers ---- */

static bool is_integer(const char *number, size_t length)
{
	return !memchr(number, '.', length) && !memchr(number, 'e', length) &&
	       !memchr(number, 'E', length);
}

/* The number is followed by a NUL. */
static bool number_in_range(const char *number, size_t length)
{
	if (!is_integer(number, length))
		return isfinite(strtod(number, NULL));
	errno = 0;
	if (*number == '-')
		(void)strtoll(number, NULL, 10);
	else
		(void)strtoull(number, NULL, 10);
	return errno != ERANGE;
}

static void replace_number(char *number, size_t length)
{
	size_t sign = *number == '-';

	memcpy(number + sign, REPLACEMENT, REPLACEMENT_LENGTH);
	memset(number + sign + REPLACEMENT_LENGTH, ' ', length - sign - REPLACEMENT_LENGTH);
}

/* Is called with each number, which lies in the text that is parsed. In malformed text more digits
 * may follow, which belong to the next token. */
static int on_number(void *context, const char *number, size_t length)
{
	char *text = context, *target = text + (number - text);
	char next = target[length];
	bool in_range;

	target[length] = 0;
	in_range = number_in_range(target, length);
	target[length] = next;
	/* the shortest numbers out of range are 1e309 and -1e309 */
	if (!in_range)
		replace_number(target, length);
	return 1;
}

static void substitute_numbers(char *text, size_t length)
{
	static const yajl_callbacks callbacks = {.yajl_number = on_number};
	yajl_handle parser = yajl_alloc(&callbacks, NULL, text);

	if (!parser)
		return;
	/* after an error the rest stays as it is, and the document is refused */
	(void)yajl_parse(parser, (const unsigned char *)text, length);
	yajl_free(parser);
}

/* ---- surrogates ---- */

/* Returns the code unit of the escape \uXXXX at `text`, or 0 if there is none. */
static unsigned escaped_unit(const char *text, const char *end)
{
	char digits[ESCAPE_DIGITS + 1] = "";

	if ((size_t)(end - text) < ESCAPE_SIZE || text[0] != '\\' || text[1] != 'u')
		return 0;
	memcpy(digits, text + 2, ESCAPE_DIGITS);
	for (int i = 0; i < ESCAPE_DIGITS; i++)
		if (!isxdigit((unsigned char)digits[i]))
			return 0;
	return (unsigned)strtoul(digits, NULL, 16);
}

static bool is_high_surrogate(unsigned unit)
{
	return unit >= 0xd800 && unit <= 0xdbff;
}

static bool is_low_surrogate(unsigned unit)
{
	return unit >= 0xdc00 && unit <= 0xdfff;
}

static void substitute_surrogates(char *text, size_t length)
{
	char *end = text + length, *at = text;

	while ((at = memchr(at, '\\', (size_t)(end - at)))) {
		unsigned unit = escaped_unit(at, end);

		if (is_high_surrogate(unit) &&
		    is_low_surrogate(escaped_unit(at + ESCAPE_SIZE, end))) {
			at += 2 * ESCAPE_SIZE;
			continue;
		}
		if (is_high_surrogate(unit) || is_low_surrogate(unit))
			memcpy(at + 2, replacement_character, sizeof(replacement_character));
		/* skips the escaped character, which may be another backslash */
		at += end - at > 2 ? 2 : end - at;
	}
}

char *ws_json_substitute(const char *text, size_t length)
{
	char *copy = malloc(length + 1);

	if (!copy)
		return NULL;
	memcpy(copy, text, length);
	copy[length] = 0;
	substitute_surrogates(copy, length);
	substitute_numbers(copy, length);
	return copy;
}
