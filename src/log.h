#ifndef WS_LOG_H
#define WS_LOG_H
#include "core/core.h"

void ws_log_open(const char *node, const char *level);
void ws_log_write(enum ws_log_level level, const char *text);
void ws_logf(enum ws_log_level level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
#endif
