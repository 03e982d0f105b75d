/* Reads and checks subsystem settings (deploy/subsystems.toml) from a text, for tests. */
#ifndef WS_TEST_SUBSYSTEM_TEXT_H
#define WS_TEST_SUBSYSTEM_TEXT_H
#include "../src/subsystem_settings.h"
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Reads a settings file. Writes the error as one line to `error`. */
static inline bool read_subsystem_file(const char *path, struct ws_subsystem_settings *settings,
				       char *error, size_t size)
{
	struct ws_startup_error startup_error = {0};
	bool ok = ws_subsystem_settings_read(path, settings, &startup_error);

	ws_startup_error_format(&startup_error, error, size);
	return ok;
}

/* Checks the settings against the platform's settings. Writes the error as one line to `error`. */
static inline bool check_subsystem_settings(const struct ws_subsystem_settings *settings,
					    const struct ws_settings *platform, char *error,
					    size_t size)
{
	struct ws_startup_error startup_error = {0};
	bool ok = ws_subsystem_attach(NULL, settings, platform, &startup_error);

	ws_startup_error_format(&startup_error, error, size);
	return ok;
}

/* Reads settings from a text, by way of a temporary file. */
static bool read_subsystem_text(const char *text, struct ws_subsystem_settings *settings,
				char *error, size_t size)
{
	char path[] = "/tmp/waystep-settings-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w");
	bool ok;

	fputs(text, file);
	fclose(file);
	ws_subsystem_settings_defaults(settings);
	ok = read_subsystem_file(path, settings, error, size);
	unlink(path);
	return ok;
}
#endif
