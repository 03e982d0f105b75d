/*
 * Upper bounds on the size of messages between the leader and workers, in bytes. A request body may
 * have 64 KiB, and so may a line of an answer to a worker.
 */
#ifndef WS_MESSAGE_SIZE_H
#define WS_MESSAGE_SIZE_H
#include "core.h"

/* What the list in a message between the leader and a worker may take: the limit less the other
 * fields. */
#define WS_WORKER_LIST_BYTES_MAX ((size_t)62 * 1024)
/* What the tasks in a worker's report may take. */
#define WS_REPORT_TASKS_BYTES_MAX WS_WORKER_LIST_BYTES_MAX
/* What the commands in a message to a worker may take. */
#define WS_COMMANDS_BYTES_MAX WS_WORKER_LIST_BYTES_MAX

/* The bytes of a task's entry in a worker's report, in any state, with spaces between its fields.
 */
size_t ws_report_entry_bytes(const char *job_id, uint32_t task);
/* The bytes of an entry of any task of a job. */
size_t ws_job_report_entry_bytes(const struct ws_job_spec *spec);
/* The bytes of a command in a message. */
size_t ws_command_bytes(const struct ws_command *command);
#endif
