#define SIMDJSON_EXCEPTIONS 0
#include "json_reader.h"
#include <algorithm>
#include <cstring>
#include <simdjson.h>
#include <type_traits>
#include <vector>

namespace dom = simdjson::dom;

static_assert(sizeof(dom::element) == sizeof(ws_json), "ws_json must have the size of an element");
static_assert(sizeof(dom::array::iterator) == sizeof(ws_json),
	      "ws_json_elements must hold two iterators");
static_assert(std::is_trivially_copyable<dom::element>::value, "elements are copied by memcpy");
static_assert(std::is_trivially_copyable<dom::array::iterator>::value,
	      "iterators are copied by memcpy");

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

static bool ws_has_no_nul(std::string_view text)
{
	return text.find('\0') == std::string_view::npos;
}

static bool ws_unique_keys(const dom::object &object)
{
	std::vector<std::string_view> keys;

	for (auto field : object)
		keys.push_back(field.key);
	std::sort(keys.begin(), keys.end());
	return std::adjacent_find(keys.begin(), keys.end()) == keys.end();
}

/* Compares all pairs of keys, which for a small object takes no allocation. */
static bool ws_unique_keys_pairwise(const dom::object &object)
{
	for (auto a = object.begin(); a != object.end(); ++a) {
		auto b = a;

		for (++b; b != object.end(); ++b)
			if (a.key() == b.key())
				return false;
	}
	return true;
}

/* Objects with more keys are checked by sorting the keys. */
#define WS_PAIRWISE_KEYS_MAX 16

/* Initial capacity of the list of unchecked values; sufficient for usual messages. */
#define WS_UNCHECKED_RESERVE 64

/* Checks keys and scalars, and adds the members of a container to `unchecked`. */
static bool ws_check_value(dom::element value, std::vector<dom::element> &unchecked)
{
	dom::object object;
	dom::array array;

	switch (value.type()) {
	case dom::element_type::STRING: return ws_has_no_nul(value.get_string().value_unsafe());
	case dom::element_type::UINT64: return false;
	case dom::element_type::ARRAY:
		if (value.get(array))
			return false;
		for (auto member : array)
			unchecked.push_back(member);
		return true;
	case dom::element_type::OBJECT:
		if (value.get(object))
			return false;
		for (auto field : object) {
			if (!ws_has_no_nul(field.key))
				return false;
			unchecked.push_back(field.value);
		}
		return object.size() <= WS_PAIRWISE_KEYS_MAX ? ws_unique_keys_pairwise(object)
							     : ws_unique_keys(object);
	default: return true;
	}
}

/* Returns false if the document has what simdjson accepts and jansson rejects. */
static bool ws_well_formed(dom::element root)
{
	std::vector<dom::element> unchecked;

	unchecked.reserve(WS_UNCHECKED_RESERVE);
	unchecked.push_back(root);
	while (!unchecked.empty()) {
		dom::element value = unchecked.back();

		unchecked.pop_back();
		if (!ws_check_value(value, unchecked))
			return false;
	}
	return true;
}

extern "C" bool ws_json_parse(const char *text, size_t len, struct ws_json *root)
{
	dom::parser &parser = ws_parser();
	dom::element e;

	if (parser.capacity() > WS_JSON_KEPT_BYTES && len <= WS_JSON_KEPT_BYTES)
		parser = dom::parser(WS_JSON_MAX_BYTES);
	if (parser.parse(text, len, true).get(e) || !ws_well_formed(e))
		return false;
	*root = ws_json_of(e);
	return true;
}

extern "C" bool ws_json_is_object(struct ws_json value)
{
	return ws_element(value).is_object();
}

extern "C" bool ws_json_is_null(struct ws_json value)
{
	return ws_element(value).is_null();
}

extern "C" bool ws_json_member(struct ws_json object, const char *name, struct ws_json *value)
{
	dom::object o;
	dom::element e;

	if (ws_element(object).get(o) || o.at_key(name).get(e))
		return false;
	*value = ws_json_of(e);
	return true;
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

extern "C" size_t ws_json_capacity(void)
{
	return ws_parser().capacity();
}
