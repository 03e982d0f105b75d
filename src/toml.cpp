#include "toml.h"
#include <cstdio>
#include <string>
#include <toml++/toml.h>

struct ws_toml {
	toml::table root;
};

static void set_error(struct ws_startup_error *error, enum ws_startup_error_code code,
		      const char *path, unsigned line, const char *text)
{
	error->code = code;
	snprintf(error->file, sizeof(error->file), "%s", path);
	error->key[0] = 0;
	error->line = line;
	snprintf(error->text, sizeof(error->text), "%s", text);
}

extern "C" struct ws_toml *ws_toml_open(const char *path, struct ws_startup_error *error)
{
	try {
		return new ws_toml{toml::parse_file(path)};
	} catch (const toml::parse_error &exception) {
		set_error(error, WS_STARTUP_FILE_MALFORMED, path,
			  (unsigned)exception.source().begin.line,
			  std::string(exception.description()).c_str());
	} catch (const std::exception &exception) {
		set_error(error, WS_STARTUP_FILE_UNREADABLE, path, 0, exception.what());
	}
	return nullptr;
}

extern "C" void ws_toml_close(struct ws_toml *toml)
{
	delete toml;
}

extern "C" enum ws_toml_result ws_toml_string(struct ws_toml *toml, const char *path, char *target,
					      size_t size)
{
	auto value = toml->root.at_path(path);
	if (!value)
		return WS_TOML_MISSING;
	auto text = value.value<std::string>();
	if (!value.is_string() || !text || text->size() >= size)
		return WS_TOML_WRONG_TYPE;
	target[text->copy(target, text->size())] = 0;
	return WS_TOML_OK;
}

extern "C" enum ws_toml_result ws_toml_number(struct ws_toml *toml, const char *path,
					      double *target)
{
	auto value = toml->root.at_path(path);
	if (!value)
		return WS_TOML_MISSING;
	auto number = value.value<double>();
	if (!value.is_number() || !number)
		return WS_TOML_WRONG_TYPE;
	*target = *number;
	return WS_TOML_OK;
}

extern "C" bool ws_toml_is_table(struct ws_toml *toml, const char *path)
{
	return toml->root.at_path(path).is_table();
}

extern "C" bool ws_toml_has(struct ws_toml *toml, const char *path)
{
	return bool(toml->root.at_path(path));
}

extern "C" long ws_toml_array_length(struct ws_toml *toml, const char *path)
{
	auto value = toml->root.at_path(path);
	const toml::array *array = value.as_array();
	return array ? (long)array->size() : -1;
}

extern "C" bool ws_toml_key(struct ws_toml *toml, const char *path, size_t index, char *target,
			    size_t size)
{
	const toml::table *table = path[0] ? toml->root.at_path(path).as_table() : &toml->root;
	if (!table)
		return false;
	for (auto &&entry : *table)
		if (!index--) {
			snprintf(target, size, "%s", std::string(entry.first.str()).c_str());
			return true;
		}
	return false;
}

extern "C" enum ws_toml_result ws_toml_bool(struct ws_toml *toml, const char *path, bool *target)
{
	auto value = toml->root.at_path(path);
	if (!value)
		return WS_TOML_MISSING;
	auto boolean = value.value<bool>();
	if (!value.is_boolean() || !boolean)
		return WS_TOML_WRONG_TYPE;
	*target = *boolean;
	return WS_TOML_OK;
}
