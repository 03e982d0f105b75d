#include "json_members.h"
#include "../core/core.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Larger amounts are read as this one. */
#define AMOUNT_MAX 1e12
/* Integers written as reals are exact below it: 2^53. */
#define EXACT_REAL_MAX 9007199254740992.0
#define PORT_MAX 65535
#define ADDRESS_MAX 80

static const char not_a_string[] = "is not a string or has a wrong length";

static struct ws_refusal refusal = {"", ""};

bool ws_message_refuse(const char *member, const char *reason)
{
	refusal = (struct ws_refusal){member, reason};
	return false;
}

bool ws_message_parse(const char *text, size_t length, struct ws_json *root)
{
	refusal = (struct ws_refusal){"", ""};
	return ws_json_parse(text, length, root) || ws_message_refuse("", ws_json_parse_error());
}

struct ws_refusal ws_message_refusal(void)
{
	return refusal;
}

/* Finds a member that must exist once. */
static bool find(struct ws_json object, const char *key, struct ws_json *value)
{
	switch (ws_json_find(object, key, value)) {
	case WS_JSON_FOUND: return true;
	case WS_JSON_REPEATED: return ws_message_refuse(key, "is repeated");
	default: return ws_message_refuse(key, "is missing");
	}
}

static bool copy_string(struct ws_json value, char *target, size_t size)
{
	const char *text;
	size_t length;

	if (!ws_json_string(value, &text, &length) || length >= size || memchr(text, 0, length))
		return false;
	memcpy(target, text, length);
	target[length] = 0;
	return true;
}

bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
		      bool may_be_null)
{
	struct ws_json value;

	target[0] = 0;
	if (may_be_null && !ws_member_is_set(object, key))
		return true;
	return find(object, key, &value) && ((copy_string(value, target, size) && target[0]) ||
					     ws_message_refuse(key, not_a_string));
}

bool ws_member_amount(struct ws_json object, const char *key, double *target)
{
	struct ws_json value;

	if (!find(object, key, &value))
		return false;
	if (!ws_json_number(value, target) || !(*target >= 0))
		return ws_message_refuse(key, "is not an amount");
	*target = fmin(*target, AMOUNT_MAX);
	return true;
}

bool ws_member_bool(struct ws_json object, const char *key, bool *target)
{
	struct ws_json value;

	return find(object, key, &value) &&
	       (ws_json_bool(value, target) || ws_message_refuse(key, "is not true or false"));
}

/* Reads a real that is a whole number which a double represents exactly. */
static bool whole_real(struct ws_json value, uint64_t *target)
{
	double number;

	if (!ws_json_number(value, &number) || !(number >= 0) || number >= EXACT_REAL_MAX ||
	    floor(number) < number)
		return false;
	*target = (uint64_t)number;
	return true;
}

bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target)
{
	struct ws_json value;

	return find(object, key, &value) &&
	       (ws_json_unsigned(value, target) || whole_real(value, target) ||
		ws_message_refuse(key, "is not an integer below 2^64"));
}

bool ws_member_is_set(struct ws_json object, const char *key)
{
	struct ws_json value;

	switch (ws_json_find(object, key, &value)) {
	case WS_JSON_FOUND: return !ws_json_is_null(value);
	case WS_JSON_REPEATED: return true;
	default: return false;
	}
}

bool ws_member_array(struct ws_json object, const char *key, struct ws_json_elements *elements,
		     size_t *count)
{
	struct ws_json value;

	return find(object, key, &value) && (ws_json_elements(value, elements, count) ||
					     ws_message_refuse(key, "is not a list"));
}

bool ws_element_name(struct ws_json value, const char *key, char *target)
{
	return copy_string(value, target, WS_NAME_MAX) ||
	       ws_message_refuse(key, "has an element that is not a name or too long");
}

bool ws_member_address(struct ws_json object, const char *key, char *address, size_t size,
		       int *port)
{
	char text[ADDRESS_MAX], *colon;

	*port = 0;
	address[0] = 0;
	if (!ws_member_string(object, key, text, sizeof(text), true))
		return false;
	colon = strrchr(text, ':');
	if (!colon)
		return true;
	*colon = 0;
	if (strlen(text) < size)
		snprintf(address, size, "%s", text);
	*port = atoi(colon + 1);
	if (*port < 1 || *port > PORT_MAX)
		*port = 0;
	return true;
}

int ws_string_index(const char *const *texts, int count, const char *text)
{
	int index = 0;

	while (index < count && strcmp(text, texts[index]) != 0)
		index++;
	return index;
}
