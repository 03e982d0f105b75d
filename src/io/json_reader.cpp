#define SIMDJSON_EXCEPTIONS 0
#include "json_reader.h"
#include "json_substitution.h"
#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <simdjson.h>
#include <type_traits>

namespace dom = simdjson::dom;

static_assert(sizeof(dom::element) == sizeof(ws_json), "ws_json must have the size of an element");
static_assert(sizeof(dom::array::iterator) == sizeof(ws_json),
	      "ws_json_elements must hold two iterators");
static_assert(std::is_trivially_copyable<dom::element>::value, "elements are copied by memcpy");
static_assert(std::is_trivially_copyable<dom::array::iterator>::value,
	      "iterators are copied by memcpy");

static_assert(sizeof(dom::object::iterator) == sizeof(ws_json),
	      "ws_json_members must hold two iterators");
static_assert(std::is_trivially_copyable<dom::object::iterator>::value,
	      "iterators are copied by memcpy");

/* Memory for documents up to this length is reserved with the first one. */
#define WS_JSON_INITIAL_BYTES ((size_t)4096)

static dom::parser &ws_parser()
{
	static dom::parser parser(WS_JSON_MAX_BYTES);

	return parser;
}

static dom::element ws_element(ws_json value)
{
	dom::element e;

	memcpy(static_cast<void *>(&e), value.opaque, sizeof(e));
	return e;
}

static ws_json ws_json_of(dom::element element)
{
	ws_json value;

	memcpy(value.opaque, static_cast<const void *>(&element), sizeof(element));
	return value;
}

static simdjson::error_code &ws_last_error()
{
	static simdjson::error_code error;

	return error;
}

/* Replaces a parser that holds memory for a long document, once none is parsed. */
static simdjson::error_code ws_prepare_parser(dom::parser &parser, size_t length)
{
	if (parser.capacity() > WS_JSON_KEPT_BYTES && length <= WS_JSON_KEPT_BYTES)
		parser = dom::parser(WS_JSON_MAX_BYTES);
	if (length > WS_JSON_MAX_BYTES)
		return simdjson::CAPACITY;
	if (parser.capacity() && parser.capacity() >= length)
		return simdjson::SUCCESS;
	/* simdjson counts one level more */
	return parser.allocate(std::max(length, WS_JSON_INITIAL_BYTES), WS_JSON_MAX_DEPTH + 1);
}

static simdjson::error_code ws_parse(const char *text, size_t length, dom::element &root)
{
	dom::parser &parser = ws_parser();
	simdjson::error_code error = ws_prepare_parser(parser, length);

	if (error)
		return error;
	return parser.parse(text, length, true).get(root);
}

/* Parses a document that has values which the parser cannot represent. */
static simdjson::error_code ws_parse_substituted(const char *text, size_t length,
						 dom::element &root)
{
	std::unique_ptr<char, decltype(&free)> copy(ws_json_substitute(text, length), free);

	return copy ? ws_parse(copy.get(), length, root) : simdjson::MEMALLOC;
}

extern "C" bool ws_json_parse(const char *text, size_t len, struct ws_json *root)
{
	dom::element e;
	simdjson::error_code error = ws_parse(text, len, e);

	if (error == simdjson::NUMBER_ERROR || error == simdjson::STRING_ERROR)
		error = ws_parse_substituted(text, len, e);
	ws_last_error() = error;
	if (error)
		return false;
	*root = ws_json_of(e);
	return true;
}

extern "C" const char *ws_json_parse_error(void)
{
	return simdjson::error_message(ws_last_error());
}

extern "C" bool ws_json_is_object(struct ws_json value)
{
	return ws_element(value).is_object();
}

extern "C" bool ws_json_is_null(struct ws_json value)
{
	return ws_element(value).is_null();
}

extern "C" enum ws_json_type ws_json_type_of(struct ws_json value)
{
	switch (ws_element(value).type()) {
	case dom::element_type::BOOL: return WS_JSON_BOOL;
	case dom::element_type::INT64: return WS_JSON_INTEGER;
	case dom::element_type::UINT64: return WS_JSON_UNSIGNED;
	case dom::element_type::DOUBLE: return WS_JSON_REAL;
	case dom::element_type::STRING: return WS_JSON_STRING;
	case dom::element_type::ARRAY: return WS_JSON_ARRAY;
	case dom::element_type::OBJECT: return WS_JSON_OBJECT;
	default: return WS_JSON_NULL;
	}
}

extern "C" enum ws_json_lookup ws_json_find(struct ws_json object, const char *name,
					    struct ws_json *value)
{
	enum ws_json_lookup found = WS_JSON_ABSENT;
	std::string_view wanted(name);
	dom::object o;

	if (ws_element(object).get(o))
		return WS_JSON_ABSENT;
	for (auto at = o.begin(); at != o.end(); ++at) {
		if (!at.key_equals(wanted))
			continue;
		if (found == WS_JSON_FOUND)
			return WS_JSON_REPEATED;
		*value = ws_json_of(at.value());
		found = WS_JSON_FOUND;
	}
	return found;
}

extern "C" bool ws_json_string(struct ws_json value, const char **text, size_t *len)
{
	std::string_view s;

	if (ws_element(value).get(s))
		return false;
	*text = s.data(); /* simdjson terminates its strings with a NUL */
	*len = s.size();
	return true;
}

extern "C" bool ws_json_number(struct ws_json value, double *target)
{
	return !ws_element(value).get(*target);
}

extern "C" bool ws_json_integer(struct ws_json value, int64_t *target)
{
	return !ws_element(value).get(*target);
}

extern "C" bool ws_json_unsigned(struct ws_json value, uint64_t *target)
{
	return !ws_element(value).get(*target);
}

extern "C" bool ws_json_bool(struct ws_json value, bool *target)
{
	return !ws_element(value).get(*target);
}

extern "C" bool ws_json_elements(struct ws_json array, struct ws_json_elements *elements,
				 size_t *count)
{
	dom::array a;

	if (ws_element(array).get(a))
		return false;
	auto from = a.begin(), to = a.end();

	memcpy(elements->next, static_cast<const void *>(&from), sizeof(from));
	memcpy(elements->end, static_cast<const void *>(&to), sizeof(to));
	*count = 0;
	for (; from != to; ++from) /* the array's own count saturates at 24 bits */
		++*count;
	return true;
}

extern "C" bool ws_json_next(struct ws_json_elements *elements, struct ws_json *value)
{
	dom::array::iterator at, end;

	memcpy(static_cast<void *>(&at), elements->next, sizeof(at));
	memcpy(static_cast<void *>(&end), elements->end, sizeof(end));
	if (!(at != end))
		return false;
	*value = ws_json_of(*at);
	++at;
	memcpy(elements->next, static_cast<const void *>(&at), sizeof(at));
	return true;
}

extern "C" bool ws_json_members(struct ws_json object, struct ws_json_members *members)
{
	dom::object o;

	if (ws_element(object).get(o))
		return false;
	auto from = o.begin(), to = o.end();

	memcpy(members->next, static_cast<const void *>(&from), sizeof(from));
	memcpy(members->end, static_cast<const void *>(&to), sizeof(to));
	return true;
}

extern "C" bool ws_json_next_member(struct ws_json_members *members, const char **name,
				    size_t *length, struct ws_json *value)
{
	dom::object::iterator at, end;

	memcpy(static_cast<void *>(&at), members->next, sizeof(at));
	memcpy(static_cast<void *>(&end), members->end, sizeof(end));
	if (!(at != end))
		return false;
	*name = at.key().data();
	*length = at.key().size();
	*value = ws_json_of(at.value());
	++at;
	memcpy(members->next, static_cast<const void *>(&at), sizeof(at));
	return true;
}

extern "C" size_t ws_json_capacity(void)
{
	return ws_parser().capacity();
}
