#include "json_members.h"
#include "../core/core.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Larger numbers are rejected as malformed. */
#define AMOUNT_MAX 1e12
#define PORT_MAX 65535
#define ADDRESS_MAX 80

bool ws_member_string(struct ws_json object, const char *key, char *target, size_t size,
		      bool may_be_null)
{
	struct ws_json value;
	const char *text;
	size_t length;

	target[0] = 0;
	if (!ws_json_member(object, key, &value) || ws_json_is_null(value))
		return may_be_null;
	if (!ws_json_string(value, &text, &length) || !length || length >= size)
		return false;
	memcpy(target, text, length);
	target[length] = 0;
	return true;
}

bool ws_member_amount(struct ws_json object, const char *key, double *target)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_number(value, target) &&
	       isfinite(*target) && *target >= 0 && *target < AMOUNT_MAX;
}

bool ws_member_bool(struct ws_json object, const char *key, bool *target)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_bool(value, target);
}

bool ws_member_uint(struct ws_json object, const char *key, uint64_t *target)
{
	struct ws_json value;
	int64_t number;

	if (!ws_json_member(object, key, &value) || !ws_json_integer(value, &number) || number < 0)
		return false;
	*target = (uint64_t)number;
	return true;
}

bool ws_member_is_set(struct ws_json object, const char *key)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && !ws_json_is_null(value);
}

bool ws_member_array(struct ws_json object, const char *key, struct ws_json_elements *elements,
		     size_t *count)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_elements(value, elements, count);
}

bool ws_element_name(struct ws_json value, char *target)
{
	const char *text;
	size_t length;

	if (!ws_json_string(value, &text, &length) || length >= WS_NAME_MAX)
		return false;
	memcpy(target, text, length);
	target[length] = 0;
	return true;
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
