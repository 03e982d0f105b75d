#include "json_copy.h"
#include <stdlib.h>

/* A list or object that is being copied. */
struct level {
	json_t *copy; /* belongs to the level above */
	bool is_object;
	struct ws_json_elements elements;
	struct ws_json_members members;
};

struct copier {
	struct level *levels;
	size_t depth, capacity;
};

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

static bool is_container(struct ws_json value)
{
	enum ws_json_type type = ws_json_type_of(value);

	return type == WS_JSON_ARRAY || type == WS_JSON_OBJECT;
}

/* Returns the copy of a scalar, or an empty list or object. */
static json_t *new_copy(const struct copier *copier, struct ws_json value)
{
	if (!is_container(value))
		return copy_scalar(value);
	if (copier->depth == WS_JSON_COPY_MAX_DEPTH)
		return json_null();
	return ws_json_is_object(value) ? json_object() : json_array();
}

/* Adds a level for a list or object that was copied without its content. Returns false if memory is
 * exhausted. */
static bool enter(struct copier *copier, struct ws_json value, json_t *copy)
{
	struct level *level;
	size_t count;

	if (copier->depth == copier->capacity) {
		size_t capacity = copier->capacity ? 2 * copier->capacity : 8;
		struct level *levels = realloc(copier->levels, capacity * sizeof(*levels));

		if (!levels)
			return false;
		copier->levels = levels;
		copier->capacity = capacity;
	}
	level = &copier->levels[copier->depth++];
	level->copy = copy;
	level->is_object = ws_json_members(value, &level->members);
	return level->is_object || ws_json_elements(value, &level->elements, &count);
}

/* Copies the next value of the innermost level, or leaves that level after its last value. Returns
 * false if memory is exhausted. */
static bool copy_next(struct copier *copier)
{
	struct level *level = &copier->levels[copier->depth - 1];
	struct ws_json value;
	const char *name = NULL;
	size_t length = 0;
	json_t *copy;

	if (level->is_object ? !ws_json_next_member(&level->members, &name, &length, &value)
			     : !ws_json_next(&level->elements, &value)) {
		copier->depth--;
		return true;
	}
	copy = new_copy(copier, value);
	if (level->is_object ? json_object_setn_new_nocheck(level->copy, name, length, copy)
			     : json_array_append_new(level->copy, copy))
		return false;
	return json_is_object(copy) || json_is_array(copy) ? enter(copier, value, copy) : true;
}

json_t *ws_json_copy(struct ws_json value)
{
	struct copier copier = {0};
	json_t *copy = new_copy(&copier, value);
	bool complete = copy != NULL;

	if (complete && is_container(value))
		complete = enter(&copier, value, copy);
	while (complete && copier.depth)
		complete = copy_next(&copier);
	free(copier.levels);
	if (complete)
		return copy;
	json_decref(copy);
	return NULL;
}
