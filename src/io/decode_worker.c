/* Workers' heartbeats. The names of the wire are mapped in codec.h. */
#include "../log.h"
#include "codec.h"
#include "decode_internal.h"
#include "json_members.h"
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Unknown words that are logged, and their length. */
#define UNKNOWN_WORDS 16
#define UNKNOWN_WORD_MAX 32

/* A word of a later protocol is named once; the machine is served all the same. */
static void log_unknown_word(const char *field, const char *word)
{
	static char logged[UNKNOWN_WORDS][UNKNOWN_WORD_MAX];
	char text[UNKNOWN_WORD_MAX];
	size_t i;

	snprintf(text, sizeof(text), "%s %s", field, word);
	for (i = 0; i < UNKNOWN_WORDS && logged[i][0]; i++)
		if (!strcmp(logged[i], text))
			return;
	if (i == UNKNOWN_WORDS)
		return;
	snprintf(logged[i], sizeof(logged[i]), "%s", text);
	ws_logf(WS_LOG_ERROR, "unknown value in heartbeat field=\"%s\" value=\"%s\"", field, word);
}

/* "JOB/TASK". */
static bool decode_task_name(struct ws_json object, struct ws_task_status *task)
{
	char text[WS_NAME_MAX], *slash, *end;
	unsigned long number;

	if (!ws_member_string(object, "shard", text, sizeof(text), false))
		return false;
	slash = strrchr(text, '/');
	if (!slash || slash == text || (size_t)(slash - text) >= sizeof(task->job))
		return false;
	*slash = 0;
	number = strtoul(slash + 1, &end, 10);
	if (!isdigit((unsigned char)slash[1]) || *end || number >= WS_MAX_TASKS)
		return false;
	task->task = (uint32_t)number;
	memcpy(task->job, text, (size_t)(slash - text) + 1);
	return true;
}

static bool decode_task_state(struct ws_json object, struct ws_task_status *task)
{
	static const char *const states[] = {"pulling", "running", "flushing", "exited", "waiting"};
	const int count = sizeof(states) / sizeof(states[0]);
	char text[WS_NAME_MAX];
	int state;

	if (!ws_member_string(object, "phase", text, sizeof(text), false))
		return false;
	state = ws_text_index(states, count, text);
	if (state == count) {
		log_unknown_word("phase", text);
		state = WS_TASK_FETCHING; /* a state we do not know is at any rate alive */
	}
	task->state = (enum ws_task_state)state;
	return true;
}

static bool decode_exit_reason(struct ws_json object, struct ws_task_status *task)
{
	/* the first stands for a missing one */
	static const char *const reasons[] = {"",     "done",	 "stopped",    "error",	    "full",
					      "busy", "no_such", "mates_gone", "incomplete"};
	const int count = sizeof(reasons) / sizeof(reasons[0]);
	char text[WS_NAME_MAX];
	int reason;

	if (!ws_member_string(object, "cause", text, sizeof(text), true))
		return false;
	reason = ws_text_index(reasons, count, text);
	if (reason == count)
		log_unknown_word("cause", text);
	/* a reason that is missing or that we do not know blames nobody */
	task->exit_reason =
	    reason > 0 && reason < count ? (enum ws_exit_reason)reason : WS_EXIT_STOPPED;
	return true;
}

static bool decode_task(struct ws_json object, struct ws_task_status *task)
{
	if (!ws_json_is_object(object) || !decode_task_name(object, task) ||
	    !ws_member_uint(object, "tryNo", &task->attempt) || !decode_task_state(object, task))
		return false;
	task->exit_reason = WS_EXIT_NONE;
	return task->state != WS_TASK_EXITED || decode_exit_reason(object, task);
}

bool ws_decode_report_object(struct ws_json object, struct ws_heartbeat *report)
{
	struct ws_json_elements elements;
	struct ws_json task;
	size_t count;

	memset(report, 0, sizeof(*report));
	if (!ws_json_is_object(object) ||
	    !ws_member_string(object, "host", report->machine, sizeof(report->machine), false) ||
	    !ws_member_address(object, "address", report->address, sizeof(report->address),
			       &report->port) ||
	    !ws_member_string(object, "flavour", report->type, sizeof(report->type), false) ||
	    !ws_member_string(object, "hall", report->zone, sizeof(report->zone), false) ||
	    !ws_member_bool(object, "reclaimable", &report->preemptible) ||
	    !ws_member_uint(object, "tenure", &report->incarnation) || report->incarnation < 1 ||
	    !ws_member_uint(object, "counter", &report->sequence) ||
	    !ws_member_uint(object, "epoch", &report->fencing_token))
		return false;
	report->preemption_notice_s = -1;
	if (ws_member_set(object, "warningS") &&
	    !ws_member_amount(object, "warningS", &report->preemption_notice_s))
		return false;
	if (!ws_member_array(object, "shards", &elements, &count))
		return false;
	report->tasks = calloc(count + 1, sizeof(*report->tasks));
	if (!report->tasks)
		return false;
	while (ws_json_next(&elements, &task)) {
		if (!decode_task(task, &report->tasks[report->task_count])) {
			ws_heartbeat_free(report);
			return false;
		}
		report->task_count++;
	}
	return true;
}

bool ws_decode_heartbeat(const char *body, size_t length, struct ws_heartbeat *report)
{
	struct ws_json object;

	return ws_json_read(body, length, &object) && ws_decode_report_object(object, report);
}
