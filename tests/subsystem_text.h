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
	char file[] = "/tmp/waystep-switches-XXXXXX";
	FILE *f = fdopen(mkstemp(file), "w");
	bool ok;

	fputs(text, f);
	fclose(f);
	error[0] = 0;
	ws_subsystem_defaults(settings);
	ok = ws_subsystem_read(file, settings, error, size);
	unlink(file);
	return ok;
}
#endif
