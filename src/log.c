#include "log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define NANOSECONDS_PER_MS 1000000
#define LINE_MAX_BYTES 512

static enum ws_log_level most_detailed = WS_LOG_INFO;
static char node_name[WS_NAME_MAX];

void ws_log_open(const char *node, const char *level)
{
	snprintf(node_name, sizeof(node_name), "%s", node);
	if (level && !strcmp(level, "error"))
		most_detailed = WS_LOG_ERROR;
	else if (level && !strcmp(level, "debug"))
		most_detailed = WS_LOG_DEBUG;
	else
		most_detailed = WS_LOG_INFO;
}

enum ws_log_level ws_log_level(void)
{
	return most_detailed;
}

void ws_log_write(enum ws_log_level level, const char *text)
{
	static const char *const names[] = {"error", "info", "debug"};
	struct timespec now;
	struct tm date;
	char second[32];

	if (level > most_detailed)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &date);
	strftime(second, sizeof(second), "%Y-%m-%dT%H:%M:%S", &date);
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", second, now.tv_nsec / NANOSECONDS_PER_MS,
		names[level], node_name, text);
}

void ws_logf(enum ws_log_level level, const char *format, ...)
{
	char text[LINE_MAX_BYTES];
	va_list arguments;

	if (level > most_detailed)
		return;
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	ws_log_write(level, text);
}
