/* A file of switches, given as its text. */
#ifndef WS_TEST_SUBSYSTEM_TEXT_H
#define WS_TEST_SUBSYSTEM_TEXT_H
#include "../src/subsystem_settings.h"
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Reads a file; the error's line goes to `error`. */
static inline bool read_file(const char *path, struct ws_subsystem_settings *settings, char *error,
			     size_t size)
{
	struct ws_startup_error wrong = {0};
	bool ok = ws_subsystem_read(path, settings, &wrong);

	ws_startup_error_format(&wrong, error, size);
	return ok;
}

/* Checks settings against the platform's; the error's line goes to `error`. */
static inline bool check_against(const struct ws_subsystem_settings *settings,
				 const struct ws_settings *platform, char *error, size_t size)
{
	struct ws_startup_error wrong = {0};
	bool ok = ws_subsystem_attach(NULL, settings, platform, &wrong);

	ws_startup_error_format(&wrong, error, size);
	return ok;
}

static bool read_text(const char *text, struct ws_subsystem_settings *settings, char *error,
		      size_t size)
{
	char path[] = "/tmp/waystep-switches-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w");
	bool ok;

	fputs(text, file);
	fclose(file);
	ws_subsystem_defaults(settings);
	ok = read_file(path, settings, error, size);
	unlink(path);
	return ok;
}
#endif
