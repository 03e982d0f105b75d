/*
 * Why waystep can't start: an error of the settings files or of what they ask for, with the key or
 * the line at fault. The functions that fail fill it in; main() alone prints it.
 */
#ifndef WS_STARTUP_ERROR_H
#define WS_STARTUP_ERROR_H
#include <stddef.h>

#define WS_STARTUP_FILE_MAX 512
#define WS_STARTUP_KEY_MAX 256
#define WS_STARTUP_TEXT_MAX 512

enum ws_startup_error_code {
	WS_STARTUP_NO_ERROR,
	WS_STARTUP_FILE_UNREADABLE, /* without a line */
	WS_STARTUP_FILE_MALFORMED,  /* no TOML, at `line` */
	WS_STARTUP_KEY_MISSING,
	WS_STARTUP_KEY_INVALID, /* of another type, or out of bounds */
	WS_STARTUP_KEY_UNKNOWN,
	WS_STARTUP_SETTINGS_CONFLICT, /* keys that don't go together; `file` is empty */
	WS_STARTUP_LISTEN_FAILED,
	WS_STARTUP_THREAD_FAILED,
};

struct ws_startup_error {
	enum ws_startup_error_code code;
	char file[WS_STARTUP_FILE_MAX];
	char key[WS_STARTUP_KEY_MAX]; /* its path, "settings.workers.lease_s"; "" if none is */
	unsigned line;
	char text[WS_STARTUP_TEXT_MAX]; /* what is wrong */
};

#ifdef __cplusplus
extern "C" {
#endif
/* One line for the operator; "" without an error. */
void ws_startup_error_line(const struct ws_startup_error *error, char *target, size_t size);
#ifdef __cplusplus
}
#endif
#endif
