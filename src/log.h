/* The log on standard error: a line has the time of day, the level, the node and a text. */
#ifndef WS_LOG_H
#define WS_LOG_H
#include "core/core.h"

/* Sets the node's name and the level: "error", "info" or "debug"; info if it is none of them. */
void ws_log_open(const char *node, const char *level);
/* The most detailed level that is on. */
enum ws_log_level ws_log_level(void);
/* Writes a line, if its level is on; from any thread. */
void ws_log_write(enum ws_log_level level, const char *text);
/* The same with a format; lines are cut after 511 bytes. */
void ws_logf(enum ws_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
