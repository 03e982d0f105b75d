/*
 * Commands that are due for a worker. They are sent in the answers to its heartbeats, and in direct
 * calls (direct_calls.c).
 *
 * A direct call without a reply may still arrive later. Until the worker echoes a higher fencing
 * token, which makes it reject the call, no attempt on it is reaped or placed again. A copy of an
 * answered call may arrive later as well: it has no effect while the worker knows the attempt, so
 * the answer with the reap command carries a higher fencing token than the call. The answer to a
 * heartbeat may also arrive late, but not after the worker's next heartbeat: a worker sends none
 * while it waits for an answer.
 */
#include "../core_state.h"
#include "../message_size.h"

/* Initial capacity of the list of commands. */
#define COMMANDS_CAPACITY_MIN 64

/* Whether the attempt to which a status belongs is in the list of a machine, in any state. */
static bool ws_machine_has_attempt(const struct ws_machine *machine,
				   const struct ws_task_status *status)
{
	const struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (ws_attempt_matches(attempt, status->job, status->task, status->attempt))
			return true;
	return false;
}

/* Whether a status reports a completed task whose result is not recorded yet. */
static bool ws_result_is_unrecorded(struct ws_core *core, const struct ws_task_status *status)
{
	const struct ws_job *job = ws_job_find(core, status->job);

	return job && status->exit_reason == WS_EXIT_DONE && !job->spec.service &&
	       job->phase != WS_JOB_CANCELLED && status->task < job->spec.tasks &&
	       !job->tasks[status->task].recorded;
}

bool ws_machine_has_outstanding_run(const struct ws_machine *machine)
{
	return machine->commands.outstanding_token || machine->commands.in_flight ||
	       machine->commands.answer_token;
}

/* Whether a worker may delete its state of an attempt that has exited. */
static bool ws_may_reap(struct ws_core *core, const struct ws_machine *machine,
			const struct ws_task_status *status)
{
	/* a run command that may still arrive would start the attempt again */
	if (ws_machine_has_outstanding_run(machine))
		return false;
	/* the record of its job may still name it */
	if (ws_machine_has_attempt(machine, status))
		return false;
	return !ws_result_is_unrecorded(core, status);
}

/* Appends a command to the scratch list. Returns false if the message has no room for it. */
static bool ws_command_add(struct ws_core *core, const struct ws_command *command)
{
	struct ws_fleet *fleet = &core->fleet;
	size_t bytes = ws_command_bytes(command);

	if (fleet->command_bytes + bytes > WS_COMMANDS_BYTES_MAX)
		return false;
	if (fleet->command_count == fleet->command_capacity) {
		fleet->command_capacity =
		    fleet->command_capacity ? 2 * fleet->command_capacity : COMMANDS_CAPACITY_MIN;
		fleet->commands =
		    ws_resize(fleet->commands, fleet->command_capacity, sizeof(*fleet->commands));
	}
	fleet->commands[fleet->command_count++] = *command;
	fleet->command_bytes += bytes;
	return true;
}

/* Whether an attempt is to be stopped and its worker may have received a run command for it. */
static bool ws_attempt_needs_stop(const struct ws_attempt *attempt)
{
	return attempt->stopping && attempt->state != WS_ATTEMPT_RELEASED &&
	       attempt->incarnation == attempt->machine->incarnation &&
	       (attempt->maybe_sent || attempt->reported);
}

/* Appends the command due for an attempt, if any. A direct call does not repeat run commands.
 * Returns false if the message has no room for it. */
static bool ws_attempt_collect_command(struct ws_core *core, struct ws_attempt *attempt,
				       bool direct, bool repeated)
{
	bool stop = ws_attempt_needs_stop(attempt);
	bool was_sent = stop ? attempt->stop_command_sent : attempt->maybe_sent;
	struct ws_command command = {.kind = stop ? WS_COMMAND_STOP : WS_COMMAND_RUN,
				     .task = attempt->task,
				     .attempt = attempt->number,
				     .grace_s = attempt->grace_s};

	if (was_sent != repeated || attempt->command_list == core->fleet.command_list)
		return true;
	if (!stop && ((direct && repeated) || !ws_attempt_is_runnable(core, attempt)))
		return true;
	snprintf(command.job, sizeof(command.job), "%s", attempt->job_id);
	if (!ws_command_add(core, &command))
		return false;
	attempt->command_list = core->fleet.command_list;
	if (stop)
		attempt->stop_command_sent = true;
	else
		attempt->maybe_sent = true;
	return true;
}

/* Appends the commands due for the attempts on a machine: those that were not sent before, or those
 * that are repeated. Returns false if the message is full. */
static bool ws_commands_collect_attempts(struct ws_core *core, struct ws_machine *machine,
					 bool direct, bool repeated)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (!ws_attempt_collect_command(core, attempt, direct, repeated))
			return false;
	return true;
}

/* Appends reap commands for the exited tasks in a heartbeat that the worker may delete. Returns
 * false if the message is full. */
static bool ws_commands_collect_reaps(struct ws_core *core, struct ws_machine *machine,
				      const struct ws_heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->task_count; i++) {
		const struct ws_task_status *status = &heartbeat->tasks[i];
		struct ws_command command = {
		    .kind = WS_COMMAND_REAP, .task = status->task, .attempt = status->attempt};

		if (status->state != WS_TASK_EXITED || !ws_may_reap(core, machine, status) ||
		    !ws_machine_fence_direct_runs(core, machine))
			continue;
		snprintf(command.job, sizeof(command.job), "%s", status->job);
		if (!ws_command_add(core, &command))
			return false;
	}
	return true;
}

bool ws_commands_include_run(const struct ws_command *commands, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (commands[i].kind == WS_COMMAND_RUN)
			return true;
	return false;
}

/* Collects the run, stop and reap commands for a machine in the scratch list: those that were not
 * sent before come first, so that all are sent even if one message has no room for them. */
static void ws_commands_collect(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat, bool direct)
{
	struct ws_fleet *fleet = &core->fleet;

	fleet->command_count = 0;
	fleet->command_bytes = 0;
	fleet->command_list++;
	if (ws_commands_collect_attempts(core, machine, direct, false) &&
	    ws_commands_collect_attempts(core, machine, direct, true) &&
	    (!heartbeat || ws_commands_collect_reaps(core, machine, heartbeat)))
		return;
	ws_event_count(core, WS_EVENT_COMMANDS_SLICED);
	ws_log(core, WS_LOG_INFO,
	       "commands sliced machine=%s commands=%zu bytes=%zu limit=%zu attempts=%u",
	       machine->name, fleet->command_count, fleet->command_bytes, WS_COMMANDS_BYTES_MAX,
	       machine->attempt_count);
}

static const char *ws_command_text(enum ws_command_kind kind)
{
	switch (kind) {
	case WS_COMMAND_RUN: return "run";
	case WS_COMMAND_STOP: return "stop";
	case WS_COMMAND_REAP: return "reap";
	}
	return "";
}

/* Logs a command that is about to be sent. A reap is due once the attempt has exited, no record of
 * its job names it and its result is recorded. */
static void ws_command_log(struct ws_core *core, const struct ws_machine *machine,
			   const struct ws_command *command, bool direct)
{
	ws_log(core, WS_LOG_DEBUG,
	       "command sent machine=%s command=%s job=%s task=%u attempt=%llu token=%llu "
	       "incarnation=%llu by=%s%s",
	       machine->name, ws_command_text(command->kind), command->job, command->task,
	       (unsigned long long)command->attempt, (unsigned long long)machine->fencing_token,
	       (unsigned long long)machine->incarnation, direct ? "direct_call" : "answer",
	       command->kind == WS_COMMAND_REAP ? " reason=\"exited, released and recorded\"" : "");
}

struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, bool direct,
					   size_t *count)
{
	struct ws_command *list;

	ws_commands_collect(core, machine, heartbeat, direct);
	*count = core->fleet.command_count;
	if (!core->fleet.command_count)
		return NULL;
	for (size_t i = 0; i < *count; i++)
		ws_command_log(core, machine, &core->fleet.commands[i], direct);
	list = malloc(core->fleet.command_count * sizeof(*list));
	if (!list)
		abort();
	memcpy(list, core->fleet.commands, core->fleet.command_count * sizeof(*list));
	return list;
}
