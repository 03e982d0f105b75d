/* A file of switches, given as its text. */
#ifndef WS_TEST_SUBSYSTEM_TEXT_H
#define WS_TEST_SUBSYSTEM_TEXT_H
#include "../src/subsystem_settings.h"
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static bool read_text(const char *text, struct ws_subsystem_settings *settings, char *error,
		      size_t size)
{
	char path[] = "/tmp/waystep-switches-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w");
	bool ok;

	fputs(text, file);
	fclose(file);
	error[0] = 0;
	ws_subsystem_defaults(settings);
	ok = ws_subsystem_read(path, settings, error, size);
	unlink(path);
	return ok;
}
#endif
