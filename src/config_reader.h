/* Reads settings files field by field: the first wrong one is kept, with its name. */
#ifndef WS_CONFIG_READER_H
#define WS_CONFIG_READER_H
#include "core/settings.h"
#include "startup_error.h"
#include "toml.h"

/* A file being read. Once a field was wrong, `valid` stays false and later errors are dropped. */
struct ws_config_reader {
	struct ws_toml *toml;
	const char *file;
	struct ws_startup_error *error;
	bool valid;
};

/* Opens a file; false with the error if that fails. `path` must outlive the reader. */
bool ws_config_open(struct ws_config_reader *reader, const char *path,
		    struct ws_startup_error *error);
/* Closes it; whether all was read without an error. */
bool ws_config_close(struct ws_config_reader *reader);
/* Records that a key is wrong, and how; only the first error is kept. */
void ws_config_fail(struct ws_config_reader *reader, enum ws_startup_error_code code,
		    const char *key, const char *text);
/* The same for a value that is not allowed. */
void ws_config_invalid(struct ws_config_reader *reader, const char *key, const char *text);

/* A string that must be there and not be empty. */
void ws_config_text(struct ws_config_reader *reader, const char *path, char *target, size_t size);
/* A string that may be missing; then `target` stays as it is. */
void ws_config_optional_text(struct ws_config_reader *reader, const char *path, char *target,
			     size_t size);
/* A number of at least `least`; if it is missing and not needed, `target` stays as it is. */
void ws_config_number(struct ws_config_reader *reader, const char *path, double *target,
		      double least, bool needed);
/* A time or a share of which there must be some. */
void ws_config_above_zero(struct ws_config_reader *reader, const char *path, double *target,
			  bool needed);
/* A limit that will hold from some later moment on: planned by from the start if it is lower. */
void ws_config_lower(struct ws_config_reader *reader, const char *path, double least,
		     double *target);
/* "IPv4:port". */
void ws_config_endpoint(struct ws_config_reader *reader, const char *path,
			struct ws_endpoint *endpoint);
/* Entries of an array; 0 if it is missing. */
size_t ws_config_count(struct ws_config_reader *reader, const char *path, size_t limit,
		       bool needed);
/* Refuses keys of a table that are not among those known; an empty path is the file itself. */
void ws_config_known_keys(struct ws_config_reader *reader, const char *table,
			  const char *const *known, size_t count);
#endif
