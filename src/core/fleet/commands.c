/* Commands to workers: in the answers to their heartbeats, and straight to their addresses. */
#include "../core_state.h"

static bool ws_may_reap(struct ws_core *core, struct ws_machine *machine,
			const struct ws_task_status *status)
{
	struct ws_job *job;

	/* a direct run that is still on its way would start the attempt again */
	if (machine->late_command_token || machine->commands_in_flight)
		return false;
	for (struct ws_attempt *attempt = machine->attempts; attempt;
	     attempt = attempt->machine_next)
		if (attempt->number == status->attempt && attempt->task == status->task &&
		    !strcmp(attempt->job_id, status->job))
			return false; /* its job's record still names it */
	job = ws_job_find(core, status->job);
	if (job && status->exit_reason == WS_EXIT_DONE && !job->spec.service &&
	    job->phase != WS_JOB_CANCELLED && status->task < job->spec.tasks &&
	    !job->tasks[status->task].recorded)
		return false; /* the result is not yet on record */
	return true;
}

/* One more command for a machine, in the core's scratch. */
static struct ws_command *ws_command_add(struct ws_core *core, enum ws_command_kind verb,
					 const char *job, uint32_t task, uint64_t attempt)
{
	struct ws_command *command;

	if (core->fleet.command_count == core->fleet.command_capacity) {
		core->fleet.command_capacity =
		    core->fleet.command_capacity ? 2 * core->fleet.command_capacity : 64;
		core->fleet.commands =
		    realloc(core->fleet.commands,
			    core->fleet.command_capacity * sizeof(*core->fleet.commands));
		if (!core->fleet.commands)
			abort();
	}
	command = &core->fleet.commands[core->fleet.command_count++];
	command->kind = verb;
	snprintf(command->job, sizeof(command->job), "%s", job);
	command->task = task;
	command->attempt = attempt;
	command->grace_s = 0;
	return command;
}

/* What is to start or end on a machine, and what of a heartbeat may be forgotten there. */
static void ws_commands_collect(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat, size_t max, bool direct)
{
	core->fleet.command_count = 0;
	for (struct ws_attempt *attempt = machine->attempts;
	     attempt && core->fleet.command_count < max; attempt = attempt->machine_next) {
		bool stop = attempt->stopping && attempt->state != WS_ATTEMPT_GONE &&
			    attempt->incarnation == machine->incarnation &&
			    (attempt->maybe_sent || attempt->reported);

		if (!stop &&
		    !(ws_attempt_is_runnable(core, attempt) && (!direct || !attempt->maybe_sent)))
			continue;
		ws_command_add(core, stop ? WS_COMMAND_STOP : WS_COMMAND_RUN, attempt->job_id,
			       attempt->task, attempt->number)
		    ->grace_s = attempt->grace_s;
		if (stop)
			attempt->stop_command_sent = true;
		else
			attempt->maybe_sent = true;
	}
	for (size_t i = 0;
	     heartbeat && i < heartbeat->task_count && core->fleet.command_count < max; i++) {
		const struct ws_task_status *status = &heartbeat->tasks[i];

		if (status->state == WS_TASK_EXITED && ws_may_reap(core, machine, status))
			ws_command_add(core, WS_COMMAND_REAP, status->job, status->task,
				       status->attempt);
	}
}

/* The same, as a list of its own; NULL if there is nothing to say. */
struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, size_t max,
					   bool direct, size_t *count)
{
	struct ws_command *list;

	ws_commands_collect(core, machine, heartbeat, max, direct);
	*count = core->fleet.command_count;
	if (!core->fleet.command_count)
		return NULL;
	list = malloc(core->fleet.command_count * sizeof(*list));
	if (!list)
		abort();
	memcpy(list, core->fleet.commands, core->fleet.command_count * sizeof(*list));
	return list;
}

static void ws_commands_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result);

/* A direct command to a machine, without orders as yet. */
static struct ws_call *ws_commands_call_new(struct ws_core *core, struct ws_machine *machine)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_COMMANDS, ws_commands_answered);

	snprintf(call->commands.address, sizeof(call->commands.address), "%s", machine->address);
	call->commands.port = machine->port;
	call->commands.fencing_token = machine->fencing_token;
	call->commands.incarnation = machine->incarnation;
	snprintf(call->commands.machine, sizeof(call->commands.machine), "%s", machine->name);
	machine->commands_in_flight++;
	return call;
}

/*
 * A machine that did not show yet that it hears this leader is probed: the answer is the machine's
 * report, with the token in it, and ends what the last leader may still have on its way. Waiting
 * for its heartbeats instead costs a heartbeat interval and a worker's search for the leader. So is
 * one that has not reported for longer than it may take to.
 */
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine)
{
	if ((ws_machine_echoes_token(machine) &&
	     !ws_heartbeat_overdue(core, machine->last_heard_at)) ||
	    !machine->port || !machine->address[0] || machine->gone ||
	    machine->scale_in_requested || machine->commands_in_flight ||
	    core->now < machine->next_probe_at)
		return false;
	machine->next_probe_at = core->now + core->settings->report_s;
	ws_commands_call_new(core, machine);
	return true;
}

/* To be stopped, and no command has said so yet: one was on its way when that was decided. */
static bool ws_attempt_stop_unsent(const struct ws_attempt *attempt)
{
	return attempt->stopping && !attempt->stop_command_sent &&
	       attempt->state != WS_ATTEMPT_GONE &&
	       attempt->incarnation == attempt->machine->incarnation;
}

static void ws_commands_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	struct ws_machine *machine;

	if (call->generation != core->generation)
		return;
	machine = ws_machine_find(core, call->commands.machine);
	if (!machine)
		return;
	machine->commands_in_flight--;
	if (result->outcome == WS_OUTCOME_NOT_SENT)
		return; /* never left us: the next reply carries it */
	ws_subsystems_answered(core, machine, result->heartbeat != NULL);
	if (result->heartbeat && !strcmp(result->heartbeat->machine, machine->name)) {
		core->leadership.forwarded_only_since = 0; /* it can be reached from here */
		machine->unreachable = false;
		if (result->heartbeat->incarnation > machine->incarnation ||
		    (result->heartbeat->incarnation == machine->incarnation &&
		     result->heartbeat->sequence > machine->sequence) ||
		    !machine->reported) {
			machine->last_heard_at = core->now;
			ws_machine_apply_heartbeat(core, machine, result->heartbeat);
		}
	} else if (!call->commands.count) {
		if (ws_heartbeat_overdue(core, fmax(machine->last_heard_at, core->resumed_at)))
			machine->unreachable = true;
		return; /* a greeting: nothing of it can do harm; its token may be met again */
	} else {
		/* it may arrive later: until the worker knows a higher fencing token, nothing of it
		 * can be forgotten or moved */
		if (call->commands.fencing_token > machine->late_command_token)
			machine->late_command_token = call->commands.fencing_token;
		ws_machine_raise_fencing_token(core, machine, call->commands.fencing_token);
		ws_log(core, WS_LOG_INFO, "machine %s: a direct command got no answer (%d)",
		       machine->name, result->http_status);
		return;
	}
	for (struct ws_attempt *attempt = machine->attempts; attempt;
	     attempt = attempt->machine_next)
		if ((ws_attempt_is_runnable(core, attempt) && !attempt->maybe_sent) ||
		    ws_attempt_stop_unsent(attempt)) {
			ws_machine_send_commands(core, machine);
			break;
		}
}

/* Commands straight to a worker that is known to listen, for speed; replies carry them again. */
void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine)
{
	struct ws_call *call;
	struct ws_attempt *attempt;

	if (!machine->reported || !machine->port || machine->commands_in_flight ||
	    machine->late_command_token || machine->gone || machine->scale_in_requested ||
	    !ws_is_entitled(core) ||
	    core->now - machine->last_heard_at > 1.5 * core->settings->report_s)
		return;
	/* while the store is out nothing is started, but what is cancelled ends */
	for (attempt = machine->attempts;
	     core->leadership.in_outage && attempt && !ws_attempt_stop_unsent(attempt);
	     attempt = attempt->machine_next)
		;
	if (core->leadership.in_outage && !attempt)
		return;
	call = ws_commands_call_new(core, machine);
	call->commands.list =
	    ws_commands_for_machine(core, machine, NULL, SIZE_MAX, true, &call->commands.count);
}

/* So many at a time. */
void ws_fleet_send_probes(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;
	int most = 32 + (int)HASH_COUNT(core->fleet.machines) / 8;

	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		core->fleet.sweep_steps++;
		if (ws_machine_send_probe(core, machine) && --most <= 0)
			break;
	}
}
