/*
 * The invariant on message sizes: no request body exceeds 64 KiB, and no line of an answer to a
 * worker. Sizes are those of JSON without spaces.
 */
#include "sim_message_sizes.h"

#define MESSAGE_BYTES_MAX ((size_t)64 * 1024)
/* The fields of the machine in a report, and those beside the commands in a message. */
#define REPORT_FIELDS_BYTES 300
#define MESSAGE_FIELDS_BYTES 80

static size_t status_bytes(const struct ws_task_status *status)
{
	static const char *const states[] = {"pulling", "running", "flushing", "exited", "waiting"};
	bool exited = status->state == WS_TASK_EXITED;

	return (size_t)snprintf(NULL, 0, "{\"shard\":\"%s/%u\",\"tryNo\":%llu,\"phase\":\"%s\"%s},",
				status->job, status->task, (unsigned long long)status->attempt,
				states[status->state], exited ? ",\"cause\":\"stopped\"" : "");
}

bool sim_report_is_too_large(const struct ws_heartbeat *heartbeat)
{
	size_t bytes = REPORT_FIELDS_BYTES;

	for (size_t i = 0; i < heartbeat->task_count; i++)
		bytes += status_bytes(&heartbeat->tasks[i]);
	return bytes > MESSAGE_BYTES_MAX;
}

static size_t command_bytes(const struct ws_command *command)
{
	bool stop = command->kind == WS_COMMAND_STOP;

	return (size_t)snprintf(
	    NULL, 0, "{\"verb\":\"stop\",\"shard\":\"%s/%u\",\"tryNo\":%llu%s},", command->job,
	    command->task, (unsigned long long)command->attempt, stop ? ",\"windDownS\":10.0" : "");
}

bool sim_commands_are_too_large(const struct ws_command *commands, size_t count)
{
	size_t bytes = MESSAGE_FIELDS_BYTES;

	for (size_t i = 0; i < count; i++)
		bytes += command_bytes(&commands[i]);
	return bytes > MESSAGE_BYTES_MAX;
}
