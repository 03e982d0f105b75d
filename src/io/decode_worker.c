/* Decodes heartbeats of workers. codec.h explains the names of the protocol. */
#include "../log.h"
#include "codec.h"
#include "decode_internal.h"
#include "json_members.h"
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits the unknown values that are logged, and the bytes of each with its field name. */
#define UNKNOWN_VALUES_MAX 16
#define UNKNOWN_VALUE_SIZE 32

/* Logs an unknown value once. A later version of the protocol may have added it, so the heartbeat
 * is processed nevertheless. */
static void log_unknown_value(const char *field, const char *value)
{
	static char logged[UNKNOWN_VALUES_MAX][UNKNOWN_VALUE_SIZE];
	char text[UNKNOWN_VALUE_SIZE];
	size_t i;

	snprintf(text, sizeof(text), "%s %s", field, value);
	for (i = 0; i < UNKNOWN_VALUES_MAX && logged[i][0]; i++)
		if (!strcmp(logged[i], text))
			return;
	if (i == UNKNOWN_VALUES_MAX)
		return;
	snprintf(logged[i], sizeof(logged[i]), "%s", text);
	ws_logf(WS_LOG_ERROR, "unknown value in heartbeat field=\"%s\" value=\"%s\"", field, value);
}

/* Decodes the name of a task, which has the form "JOB/TASK". */
static bool decode_task_name(struct ws_json object, struct ws_task_status *task)
{
	char text[WS_NAME_MAX], *slash, *end;
	unsigned long number;

	if (!ws_member_string(object, "shard", text, sizeof(text), false))
		return false;
	slash = strrchr(text, '/');
	if (!slash || slash == text || (size_t)(slash - text) >= sizeof(task->job))
		return ws_message_refuse("shard", "is not JOB/TASK");
	*slash = 0;
	number = strtoul(slash + 1, &end, 10);
	if (!isdigit((unsigned char)slash[1]) || *end || number >= WS_MAX_TASKS)
		return ws_message_refuse("shard", "has no valid task number");
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
	state = ws_string_index(states, count, text);
	if (state == count) {
		log_unknown_value("phase", text);
		state = WS_TASK_FETCHING; /* any state but "exited" is that of a live task */
	}
	task->state = (enum ws_task_state)state;
	return true;
}

static bool decode_exit_reason(struct ws_json object, struct ws_task_status *task)
{
	/* in the order of enum ws_exit_reason; the empty string stands for a missing reason */
	static const char *const reasons[] = {"",     "done",	 "stopped",    "error",	    "full",
					      "busy", "no_such", "mates_gone", "incomplete"};
	const int count = sizeof(reasons) / sizeof(reasons[0]);
	char text[WS_NAME_MAX];
	int reason;

	if (!ws_member_string(object, "cause", text, sizeof(text), true))
		return false;
	reason = ws_string_index(reasons, count, text);
	if (reason == count)
		log_unknown_value("cause", text);
	/* a missing or unknown reason counts as a stop, not as a failure of the job or machine */
	task->exit_reason =
	    reason > 0 && reason < count ? (enum ws_exit_reason)reason : WS_EXIT_STOPPED;
	return true;
}

static bool decode_task(struct ws_json object, struct ws_task_status *task)
{
	if (!decode_task_name(object, task) || !ws_member_uint(object, "tryNo", &task->attempt) ||
	    !decode_task_state(object, task))
		return false;
	task->exit_reason = WS_EXIT_NONE;
	return task->state != WS_TASK_EXITED || decode_exit_reason(object, task);
}

bool ws_decode_heartbeat_object(struct ws_json object, struct ws_heartbeat *heartbeat)
{
	struct ws_json_elements elements;
	struct ws_json task;
	size_t count;

	memset(heartbeat, 0, sizeof(*heartbeat));
	if (!ws_json_is_object(object))
		return ws_message_refuse("", "not an object");
	if (!ws_member_string(object, "host", heartbeat->machine, sizeof(heartbeat->machine),
			      false) ||
	    !ws_member_address(object, "address", heartbeat->address, sizeof(heartbeat->address),
			       &heartbeat->port) ||
	    !ws_member_string(object, "flavour", heartbeat->type, sizeof(heartbeat->type), false) ||
	    !ws_member_string(object, "hall", heartbeat->zone, sizeof(heartbeat->zone), false) ||
	    !ws_member_bool(object, "reclaimable", &heartbeat->preemptible) ||
	    !ws_member_uint(object, "tenure", &heartbeat->incarnation) ||
	    !ws_member_uint(object, "counter", &heartbeat->sequence) ||
	    !ws_member_uint(object, "epoch", &heartbeat->fencing_token))
		return false;
	if (heartbeat->incarnation < 1)
		return ws_message_refuse("tenure", "is 0");
	heartbeat->preemption_notice_s = -1;
	if (ws_member_is_set(object, "warningS") &&
	    !ws_member_amount(object, "warningS", &heartbeat->preemption_notice_s))
		return false;
	if (!ws_member_array(object, "shards", &elements, &count))
		return false;
	heartbeat->tasks = calloc(count + 1, sizeof(*heartbeat->tasks));
	if (!heartbeat->tasks)
		return false;
	while (ws_json_next(&elements, &task)) {
		if (!decode_task(task, &heartbeat->tasks[heartbeat->task_count])) {
			ws_heartbeat_free(heartbeat);
			return false;
		}
		heartbeat->task_count++;
	}
	return true;
}

bool ws_decode_heartbeat(const char *body, size_t length, struct ws_heartbeat *heartbeat)
{
	struct ws_json object;

	memset(heartbeat, 0, sizeof(*heartbeat));
	return ws_message_parse(body, length, &object) &&
	       ws_decode_heartbeat_object(object, heartbeat);
}
