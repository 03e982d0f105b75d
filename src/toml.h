/* The little of TOML that waystep reads, from toml++ (Debian has no C parser). */
#ifndef WS_TOML_H
#define WS_TOML_H
#include "startup_error.h"
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif
struct ws_toml;
enum ws_toml_got { WS_TOML_OK, WS_TOML_MISSING, WS_TOML_WRONG_TYPE };

/* Reads a file; NULL with the error, of the file or of a line, if that fails. */
struct ws_toml *ws_toml_open(const char *path, struct ws_startup_error *error);
void ws_toml_close(struct ws_toml *toml);
/* Values by path, as toml++ has them: "settings.workers.lease_s", "seeds[0].node". They leave
 * `target` as it is where they don't give WS_TOML_OK. A string fits into `size` bytes. */
enum ws_toml_got ws_toml_string(struct ws_toml *toml, const char *path, char *target, size_t size);
enum ws_toml_got ws_toml_number(struct ws_toml *toml, const char *path, double *target);
enum ws_toml_got ws_toml_bool(struct ws_toml *toml, const char *path, bool *target);
/* Whether there is a table, or anything. */
bool ws_toml_table(struct ws_toml *toml, const char *path);
bool ws_toml_has(struct ws_toml *toml, const char *path);
/* Length of an array; -1 if there is none. */
long ws_toml_length(struct ws_toml *toml, const char *path);
/* Name of the index-th key of a table, of the root with an empty path; false behind the last. */
bool ws_toml_key(struct ws_toml *toml, const char *path, size_t index, char *target, size_t size);
#ifdef __cplusplus
}
#endif
#endif
