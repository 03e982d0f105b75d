/* Log lines on standard error: time of day, level, node, text. */
#include "log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static enum ws_log_level ws_level = WS_LOG_INFO;
static char ws_node[WS_NAME_MAX];

void ws_log_open(const char *node, const char *level)
{
	snprintf(ws_node, sizeof(ws_node), "%s", node);
	if (level && !strcmp(level, "error"))
		ws_level = WS_LOG_ERROR;
	else if (level && !strcmp(level, "debug"))
		ws_level = WS_LOG_DEBUG;
	else
		ws_level = WS_LOG_INFO;
}

void ws_log_write(enum ws_log_level level, const char *text)
{
	static const char *const names[] = {"error", "info", "debug"};
	struct timespec ts;
	struct tm tm;
	char at[32];

	if (level > ws_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(at, sizeof(at), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", at, ts.tv_nsec / 1000000, names[level], ws_node,
		text);
}

void ws_logf(enum ws_log_level level, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	if (level > ws_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	ws_log_write(level, text);
}
