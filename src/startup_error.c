#include "startup_error.h"
#include <stdio.h>

void ws_startup_error_format(const struct ws_startup_error *error, char *target, size_t size)
{
	switch (error->code) {
	case WS_STARTUP_NO_ERROR: target[0] = 0; break;
	case WS_STARTUP_FILE_UNREADABLE:
		snprintf(target, size, "%s: %s", error->file, error->text);
		break;
	case WS_STARTUP_FILE_MALFORMED:
		snprintf(target, size, "%s: line %u: %s", error->file, error->line, error->text);
		break;
	case WS_STARTUP_KEY_MISSING:
	case WS_STARTUP_KEY_INVALID:
	case WS_STARTUP_KEY_UNKNOWN:
		snprintf(target, size, "%s: %s %s", error->file, error->key, error->text);
		break;
	case WS_STARTUP_SETTINGS_CONFLICT:
		snprintf(target, size, "%s: %s", error->key, error->text);
		break;
	case WS_STARTUP_LISTEN_FAILED:
	case WS_STARTUP_THREAD_FAILED: snprintf(target, size, "%s", error->text); break;
	}
}
