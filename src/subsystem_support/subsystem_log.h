/*
 * Formatted log lines of a subsystem.
 *
 * A subsystem owns no log: it is given a function that takes complete lines. No state is kept here;
 * calls may come from any thread that the log function itself allows.
 */
#ifndef WS_SUBSYSTEM_LOG_H
#define WS_SUBSYSTEM_LOG_H

/* Takes one line without its line end; the text lives for the duration of the call. */
typedef void (*ws_subsystem_log_fn)(const char *text);

/* Formats a line, cut off at 511 bytes, and passes it to `log`; does nothing if `log` is NULL. */
void ws_subsystem_logf(ws_subsystem_log_fn log, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
