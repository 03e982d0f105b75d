/*
 * Formatting of log lines for subsystems.
 *
 * A subsystem doesn't open a log of its own; it is given a function that writes complete lines.
 * This module keeps no state, so calls are as thread-safe as the log function.
 */
#ifndef WS_SUBSYSTEM_LOG_H
#define WS_SUBSYSTEM_LOG_H

/* Writes one line, given without a line end. The text is valid for the duration of the call. */
typedef void (*ws_subsystem_log_fn)(const char *text);

/* Formats a line, truncated to 511 bytes, and passes it to `log`, which may be NULL. */
void ws_subsystem_logf(ws_subsystem_log_fn log, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
