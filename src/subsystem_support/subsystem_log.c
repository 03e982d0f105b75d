/* Formatting of log lines for subsystems. */
#include "subsystem_log.h"
#include <stdarg.h>
#include <stdio.h>

#define LINE_SIZE 512

void ws_subsystem_logf(ws_subsystem_log_fn log, const char *format, ...)
{
	char text[LINE_SIZE];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (log)
		log(text);
}
