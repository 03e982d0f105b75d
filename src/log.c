#include "log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define NANOSECONDS_PER_MS 1000000
#define LINE_MAX_BYTES 512

static enum ws_log_level enabled_level = WS_LOG_INFO;
static char node_name[WS_NAME_MAX];

void ws_log_init(const char *node, const char *level)
{
	snprintf(node_name, sizeof(node_name), "%s", node);
	if (level && !strcmp(level, "error"))
		enabled_level = WS_LOG_ERROR;
	else if (level && !strcmp(level, "debug"))
		enabled_level = WS_LOG_DEBUG;
	else
		enabled_level = WS_LOG_INFO;
}

enum ws_log_level ws_log_level(void)
{
	return enabled_level;
}

void ws_log_write(enum ws_log_level level, const char *text)
{
	static const char *const level_names[] = {"error", "info", "debug"};
	struct timespec now;
	struct tm date;
	char timestamp[32];

	if (level > enabled_level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &date);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &date);
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", timestamp, now.tv_nsec / NANOSECONDS_PER_MS,
		level_names[level], node_name, text);
}

void ws_logf(enum ws_log_level level, const char *format, ...)
{
	char text[LINE_MAX_BYTES];
	va_list arguments;

	if (level > enabled_level)
		return;
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	ws_log_write(level, text);
}
