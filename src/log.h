/* The log on standard error. Each line has the time in UTC, the level, the node and a text. */
#ifndef WS_LOG_H
#define WS_LOG_H
#include "core/core.h"

/* Sets the node's name and the level: "error", "info" or "debug". Any other level, also NULL, sets
 * "info". */
void ws_log_init(const char *node, const char *level);
/* Returns the most detailed level that is enabled. */
enum ws_log_level ws_log_level(void);
/* Writes a line if its level is enabled. May be called from any thread. */
void ws_log_write(enum ws_log_level level, const char *text);
/* Formats and writes a line; the text is truncated to 511 bytes. */
void ws_logf(enum ws_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
