#include "json_copy.h"

static json_t *copy_value(struct ws_json value, unsigned depth);

static json_t *copy_array(struct ws_json array, unsigned depth)
{
	struct ws_json_elements elements;
	struct ws_json element;
	json_t *copy = json_array();
	size_t count;

	if (!ws_json_elements(array, &elements, &count))
		return copy;
	while (copy && ws_json_next(&elements, &element))
		if (json_array_append_new(copy, copy_value(element, depth))) {
			json_decref(copy);
			copy = NULL;
		}
	return copy;
}

static json_t *copy_object(struct ws_json object, unsigned depth)
{
	struct ws_json_members members;
	struct ws_json member;
	json_t *copy = json_object();
	const char *name;
	size_t length;

	if (!ws_json_members(object, &members))
		return copy;
	while (copy && ws_json_next_member(&members, &name, &length, &member))
		if (json_object_setn_new_nocheck(copy, name, length, copy_value(member, depth))) {
			json_decref(copy);
			copy = NULL;
		}
	return copy;
}

static json_t *copy_number(struct ws_json value)
{
	int64_t integer;
	double real = 0;

	if (ws_json_integer(value, &integer))
		return json_integer(integer);
	ws_json_number(value, &real);
	return json_real(real);
}

static json_t *copy_scalar(struct ws_json value)
{
	const char *text;
	size_t length;
	bool truth;

	if (ws_json_bool(value, &truth))
		return json_boolean(truth);
	if (ws_json_string(value, &text, &length))
		return json_stringn_nocheck(text, length);
	return ws_json_is_null(value) ? json_null() : copy_number(value);
}

/* `depth` is the number of lists and objects around the value. */
static json_t *copy_value(struct ws_json value, unsigned depth)
{
	enum ws_json_type type = ws_json_type_of(value);

	if (type != WS_JSON_ARRAY && type != WS_JSON_OBJECT)
		return copy_scalar(value);
	if (depth == WS_JSON_COPY_MAX_DEPTH)
		return json_null();
	return type == WS_JSON_ARRAY ? copy_array(value, depth + 1) : copy_object(value, depth + 1);
}

json_t *ws_json_copy(struct ws_json value)
{
	return copy_value(value, 0);
}
