#include "config_reader.h"
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The maximum of every number in a settings file. */
#define NUMBER_MAX 1e12

bool ws_config_open(struct ws_config_reader *reader, const char *path,
		    struct ws_startup_error *error)
{
	*reader = (struct ws_config_reader){.file = path, .error = error, .valid = true};
	reader->toml = ws_toml_open(path, error);
	return reader->toml != NULL;
}

bool ws_config_close(struct ws_config_reader *reader)
{
	ws_toml_close(reader->toml);
	return reader->valid;
}

void ws_config_fail(struct ws_config_reader *reader, enum ws_startup_error_code code,
		    const char *key, const char *text)
{
	struct ws_startup_error *error = reader->error;

	if (!reader->valid)
		return;
	reader->valid = false;
	error->code = code;
	error->line = 0;
	snprintf(error->file, sizeof(error->file), "%s", reader->file);
	snprintf(error->key, sizeof(error->key), "%s", key);
	snprintf(error->text, sizeof(error->text), "%s", text);
}

void ws_config_invalid(struct ws_config_reader *reader, const char *key, const char *text)
{
	ws_config_fail(reader, WS_STARTUP_KEY_INVALID, key, text);
}

void ws_config_string(struct ws_config_reader *reader, const char *path, char *target, size_t size)
{
	enum ws_toml_result result = ws_toml_string(reader->toml, path, target, size);

	if (result == WS_TOML_MISSING)
		ws_config_fail(reader, WS_STARTUP_KEY_MISSING, path, "is missing");
	else if (result == WS_TOML_WRONG_TYPE || !target[0])
		ws_config_invalid(reader, path,
				  "must be a non-empty string within the length limit");
}

void ws_config_optional_string(struct ws_config_reader *reader, const char *path, char *target,
			       size_t size)
{
	ws_toml_string(reader->toml, path, target, size);
}

void ws_config_number(struct ws_config_reader *reader, const char *path, double *target,
		      double minimum, bool required)
{
	double value;
	enum ws_toml_result result = ws_toml_number(reader->toml, path, &value);

	if (result == WS_TOML_MISSING) {
		if (required)
			ws_config_fail(reader, WS_STARTUP_KEY_MISSING, path, "is missing");
		return;
	}
	if (result == WS_TOML_WRONG_TYPE || !isfinite(value) || value < minimum ||
	    value > NUMBER_MAX) {
		char message[64];

		snprintf(message, sizeof(message), "must be a number of at least %g", minimum);
		ws_config_invalid(reader, path, message);
		return;
	}
	*target = value;
}

void ws_config_positive_number(struct ws_config_reader *reader, const char *path, double *target,
			       bool required)
{
	double value = 1;

	ws_config_number(reader, path, &value, 0, required);
	if (value <= 0)
		ws_config_invalid(reader, path, "must be above 0");
	else if (ws_toml_number(reader->toml, path, &value) != WS_TOML_MISSING)
		*target = value;
}

void ws_config_lower_limit(struct ws_config_reader *reader, const char *path, double minimum,
			   double *target)
{
	double limit = *target;

	ws_config_number(reader, path, &limit, minimum, false);
	*target = limit < *target ? limit : *target;
}

void ws_config_endpoint(struct ws_config_reader *reader, const char *path,
			struct ws_endpoint *endpoint)
{
	char text[64] = "", *colon, *end;
	struct in_addr address;
	long port;

	ws_config_string(reader, path, text, sizeof(text));
	if (!reader->valid)
		return;
	colon = strrchr(text, ':');
	if (!colon) {
		ws_config_invalid(reader, path, "must be IPv4:port");
		return;
	}
	*colon = 0;
	port = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, text, &address) != 1 || *end || end == colon + 1 || port < 0 ||
	    port > 65535) {
		ws_config_invalid(reader, path, "must be IPv4:port");
		return;
	}
	snprintf(endpoint->host, sizeof(endpoint->host), "%s", text);
	endpoint->port = (int)port;
}

size_t ws_config_array_length(struct ws_config_reader *reader, const char *path, size_t limit,
			      bool required)
{
	long length = ws_toml_array_length(reader->toml, path);

	if (length < 0) {
		if (required)
			ws_config_fail(reader, WS_STARTUP_KEY_MISSING, path,
				       "is missing or not an array");
		return 0;
	}
	if ((size_t)length > limit) {
		ws_config_invalid(reader, path, "has too many entries");
		return 0;
	}
	return (size_t)length;
}

static bool is_known(const char *key, const char *const *known, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(known[i], key))
			return true;
	return false;
}

void ws_config_reject_unknown_keys(struct ws_config_reader *reader, const char *table,
				   const char *const *known, size_t count)
{
	char key[128];

	for (size_t i = 0; ws_toml_key(reader->toml, table, i, key, sizeof(key)); i++) {
		char path[256];

		if (is_known(key, known, count))
			continue;
		snprintf(path, sizeof(path), "%s%s%s", table, table[0] ? "." : "", key);
		ws_config_fail(reader, WS_STARTUP_KEY_UNKNOWN, path, "is not a known setting");
	}
}
