#include "toml.h"
#include <cstdio>
#include <string>
#include <toml++/toml.h>

struct ws_toml {
	toml::table root;
};

extern "C" struct ws_toml *ws_toml_open(const char *path, char *err, size_t n)
{
	try {
		return new ws_toml{toml::parse_file(path)};
	} catch (const toml::parse_error &e) {
		snprintf(err, n, "%s: line %u: %s", path, (unsigned)e.source().begin.line,
			 std::string(e.description()).c_str());
	} catch (const std::exception &e) {
		snprintf(err, n, "%s: %s", path, e.what());
	}
	return nullptr;
}

extern "C" void ws_toml_close(struct ws_toml *t)
{
	delete t;
}

extern "C" enum ws_toml_got ws_toml_string(struct ws_toml *t, const char *path, char *to, size_t n)
{
	auto v = t->root.at_path(path);
	if (!v)
		return WS_TOML_MISSING;
	auto s = v.value<std::string>();
	if (!v.is_string() || !s || s->size() >= n)
		return WS_TOML_WRONG_TYPE;
	to[s->copy(to, s->size())] = 0;
	return WS_TOML_OK;
}

extern "C" enum ws_toml_got ws_toml_number(struct ws_toml *t, const char *path, double *to)
{
	auto v = t->root.at_path(path);
	if (!v)
		return WS_TOML_MISSING;
	auto d = v.value<double>();
	if (!v.is_number() || !d)
		return WS_TOML_WRONG_TYPE;
	*to = *d;
	return WS_TOML_OK;
}

extern "C" bool ws_toml_table(struct ws_toml *t, const char *path)
{
	return t->root.at_path(path).is_table();
}

extern "C" bool ws_toml_has(struct ws_toml *t, const char *path)
{
	return bool(t->root.at_path(path));
}

extern "C" long ws_toml_length(struct ws_toml *t, const char *path)
{
	auto v = t->root.at_path(path);
	const toml::array *a = v.as_array();
	return a ? (long)a->size() : -1;
}

extern "C" bool ws_toml_key(struct ws_toml *t, const char *path, size_t i, char *to, size_t n)
{
	const toml::table *table = path[0] ? t->root.at_path(path).as_table() : &t->root;
	if (!table)
		return false;
	for (auto &&kv : *table)
		if (!i--) {
			snprintf(to, n, "%s", std::string(kv.first.str()).c_str());
			return true;
		}
	return false;
}

extern "C" enum ws_toml_got ws_toml_bool(struct ws_toml *t, const char *path, bool *to)
{
	auto v = t->root.at_path(path);
	if (!v)
		return WS_TOML_MISSING;
	auto b = v.value<bool>();
	if (!v.is_boolean() || !b)
		return WS_TOML_WRONG_TYPE;
	*to = *b;
	return WS_TOML_OK;
}
