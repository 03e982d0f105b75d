/* A C interface to the toml++ parser, since Debian packages no TOML parser in C. */
#ifndef WS_TOML_H
#define WS_TOML_H
#include "startup_error.h"
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif
struct ws_toml;
enum ws_toml_result { WS_TOML_OK, WS_TOML_MISSING, WS_TOML_WRONG_TYPE };

/* Parses a file. Returns NULL with the error if it is unreadable or malformed. */
struct ws_toml *ws_toml_open(const char *path, struct ws_startup_error *error);
void ws_toml_close(struct ws_toml *toml);
/* Read a value by its toml++ path, such as "settings.workers.lease_s" or "seeds[0].node". `target`
 * is unchanged unless WS_TOML_OK is returned. A string that does not fit into `size` bytes is
 * WS_TOML_WRONG_TYPE. */
enum ws_toml_result ws_toml_string(struct ws_toml *toml, const char *path, char *target,
				   size_t size);
enum ws_toml_result ws_toml_number(struct ws_toml *toml, const char *path, double *target);
enum ws_toml_result ws_toml_bool(struct ws_toml *toml, const char *path, bool *target);
/* Whether the path is a table. */
bool ws_toml_is_table(struct ws_toml *toml, const char *path);
/* Whether the path has a value of any type. */
bool ws_toml_has(struct ws_toml *toml, const char *path);
/* Returns the length of an array, or -1 if the path is not an array. */
long ws_toml_array_length(struct ws_toml *toml, const char *path);
/* Gets the name of a key of a table by its index; an empty path is the root. Returns false after
 * the last key. */
bool ws_toml_key(struct ws_toml *toml, const char *path, size_t index, char *target, size_t size);
#ifdef __cplusplus
}
#endif
#endif
