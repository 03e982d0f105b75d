/* Reads and checks settings files key by key; the first error is kept, with the name of its key. */
#ifndef WS_CONFIG_READER_H
#define WS_CONFIG_READER_H
#include "core/settings.h"
#include "startup_error.h"
#include "toml.h"

/* A file being read. After the first invalid key `valid` is false, and later errors are ignored. */
struct ws_config_reader {
	struct ws_toml *toml;
	const char *file;
	struct ws_startup_error *error;
	bool valid;
};

/* Opens a file. Returns false with the error on failure. `path` must outlive the reader. */
bool ws_config_open(struct ws_config_reader *reader, const char *path,
		    struct ws_startup_error *error);
/* Closes the file. Returns whether it was read without an error. */
bool ws_config_close(struct ws_config_reader *reader);
/* Records an error of a key; only the first error is kept. */
void ws_config_fail(struct ws_config_reader *reader, enum ws_startup_error_code code,
		    const char *key, const char *text);
/* Records WS_STARTUP_KEY_INVALID for a key. */
void ws_config_invalid(struct ws_config_reader *reader, const char *key, const char *text);

/* Reads a required, non-empty string. */
void ws_config_string(struct ws_config_reader *reader, const char *path, char *target, size_t size);
/* Reads an optional string. If it is missing or invalid, `target` is unchanged. */
void ws_config_optional_string(struct ws_config_reader *reader, const char *path, char *target,
			       size_t size);
/* Reads a number of at least `minimum`. If an optional number is missing, `target` is unchanged. */
void ws_config_number(struct ws_config_reader *reader, const char *path, double *target,
		      double minimum, bool required);
/* Reads a number above 0. If an optional number is missing, `target` is unchanged. */
void ws_config_positive_number(struct ws_config_reader *reader, const char *path, double *target,
			       bool required);
/* Reads an optional limit that takes effect at some later time. If it is lower than `target`, it
 * replaces it, so that the lower limit is respected from the start. */
void ws_config_lower_limit(struct ws_config_reader *reader, const char *path, double minimum,
			   double *target);
/* Reads an address in the form "IPv4:port". */
void ws_config_endpoint(struct ws_config_reader *reader, const char *path,
			struct ws_endpoint *endpoint);
/* Returns the length of an array, or 0 if it is missing or has more than `limit` entries. */
size_t ws_config_array_length(struct ws_config_reader *reader, const char *path, size_t limit,
			      bool required);
/* Records an error if a table has a key that is not in `known`. An empty `table` is the root. */
void ws_config_reject_unknown_keys(struct ws_config_reader *reader, const char *table,
				   const char *const *known, size_t count);
#endif
