/*
 * The reason why the process can't start: an error in a settings file, with its key or line, or a
 * socket or thread that can't be created. The failing function fills it in; only main() prints it.
 */
#ifndef WS_STARTUP_ERROR_H
#define WS_STARTUP_ERROR_H
#include <stddef.h>

#define WS_STARTUP_FILE_MAX 512
#define WS_STARTUP_KEY_MAX 256
#define WS_STARTUP_TEXT_MAX 512

enum ws_startup_error_code {
	WS_STARTUP_NO_ERROR,
	WS_STARTUP_FILE_UNREADABLE, /* `line` is not set */
	WS_STARTUP_FILE_MALFORMED,  /* a TOML syntax error at `line` */
	WS_STARTUP_KEY_MISSING,
	WS_STARTUP_KEY_INVALID, /* of the wrong type, or out of range */
	WS_STARTUP_KEY_UNKNOWN,
	WS_STARTUP_SETTINGS_CONFLICT, /* settings that contradict each other; `file` is empty */
	WS_STARTUP_LISTEN_FAILED,
	WS_STARTUP_THREAD_FAILED,
};

struct ws_startup_error {
	enum ws_startup_error_code code;
	char file[WS_STARTUP_FILE_MAX];
	char key[WS_STARTUP_KEY_MAX]; /* path such as "settings.workers.lease_s", or "" */
	unsigned line;
	char text[WS_STARTUP_TEXT_MAX]; /* the message */
};

#ifdef __cplusplus
extern "C" {
#endif
/* Writes the error as one line for the operator, or "" if there is none. */
void ws_startup_error_format(const struct ws_startup_error *error, char *target, size_t size);
#ifdef __cplusplus
}
#endif
#endif
