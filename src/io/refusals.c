#include "refusals.h"
#include "../log.h"
#include <ctype.h>
#include <math.h>

#define LINES_PER_S 5

static const char *const kind_names[WS_REFUSED_KINDS] = {"submission", "heartbeat", "peer frame",
							 "reply"};

static bool may_log(struct ws_refusals *refusals, double now)
{
	refusals->lines =
	    fmin(LINES_PER_S, refusals->lines + (now - refusals->refilled_at) * LINES_PER_S);
	refusals->refilled_at = now;
	if (refusals->lines < 1)
		return false;
	refusals->lines -= 1;
	return true;
}

/* Returns a text of the message if it is safe in a line of the log, else "-". */
static const char *printable(const char *text)
{
	const char *c = text;

	while (isgraph((unsigned char)*c) && *c != '"')
		c++;
	return *text && !*c ? text : "-";
}

void ws_refusals_add(struct ws_refusals *refusals, double now,
		     const struct ws_refused_message *message)
{
	bool from_outside =
	    message->kind == WS_REFUSED_SUBMISSION || message->kind == WS_REFUSED_HEARTBEAT;

	refusals->counts[message->kind]++;
	if (!may_log(refusals, now)) {
		refusals->omitted++;
		return;
	}
	ws_logf(from_outside ? WS_LOG_INFO : WS_LOG_ERROR,
		"malformed %s refused from=%s subject=%s bytes=%zu field=%s reason=\"%s\" "
		"omitted=%u",
		kind_names[message->kind], printable(message->sender), printable(message->subject),
		message->length, printable(message->refusal.member), message->refusal.reason,
		refusals->omitted);
	refusals->omitted = 0;
}
