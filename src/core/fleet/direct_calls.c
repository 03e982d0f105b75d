/*
 * Direct calls to workers: commands that do not wait for the next heartbeat, and probes, which are
 * calls without commands.
 *
 * The reply holds the worker's state. A call without a reply may still arrive, and a call of either
 * kind may arrive once more; commands.c tells how that is kept without effect.
 */
#include "../core_state.h"

/* A machine without contact for this many heartbeat intervals is sent no direct commands. */
#define DIRECT_CALL_CONTACT_INTERVALS 1.5
/* Maximum number of probes in a sweep: the minimum, plus one for each group of machines. */
#define PROBES_MIN 32
#define MACHINES_PER_PROBE 8

static void ws_commands_handle_result(struct ws_core *core, struct ws_call *call,
				      const struct ws_result *result);

/* Creates a direct call to a machine, without commands. */
static struct ws_call *ws_commands_call_new(struct ws_core *core, struct ws_machine *machine)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_COMMANDS, ws_commands_handle_result);

	snprintf(call->commands.address, sizeof(call->commands.address), "%s", machine->address);
	call->commands.port = machine->port;
	call->commands.fencing_token = machine->fencing_token;
	call->commands.incarnation = machine->incarnation;
	call->commands.known_sequence = machine->sequence;
	snprintf(call->commands.machine, sizeof(call->commands.machine), "%s", machine->name);
	machine->commands.in_flight++;
	return call;
}

/* Whether a machine is to be probed now. Called for every machine in each sweep. */
static inline bool ws_probe_is_due(const struct ws_core *core, const struct ws_machine *machine)
{
	if (ws_machine_echoes_token(machine) && !machine->restart.probe_wanted &&
	    !machine->restart.suspected && !ws_heartbeat_overdue(core, machine->last_contact_at))
		return false;
	return machine->port && machine->address[0] && !machine->gone &&
	       !machine->scale_in.requested && !machine->commands.in_flight &&
	       core->now >= machine->commands.next_probe_at;
}

/*
 * Probes go to machines that have not echoed this leader's fencing token yet, to those whose
 * heartbeat is overdue, and to those that may have restarted. The reply holds the machine's state
 * and the echoed token, and a worker that replies rejects commands that the previous leader may
 * still have in flight. Waiting for a heartbeat instead would cost an interval, and the time in
 * which the worker finds the leader.
 */
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine)
{
	if (!ws_probe_is_due(core, machine))
		return false;
	machine->commands.next_probe_at = core->now + core->settings->heartbeat_s;
	machine->restart.probe_wanted = false;
	ws_machine_fence_direct_runs(core, machine); /* the worker may have forgotten its token */
	ws_commands_call_new(core, machine);
	return true;
}

/* Whether an attempt is to be stopped and no stop command was sent, since another call was in
 * flight when the stop was decided. */
static bool ws_attempt_stop_unsent(const struct ws_attempt *attempt)
{
	return attempt->stopping && !attempt->stop_command_sent &&
	       attempt->state != WS_ATTEMPT_RELEASED &&
	       attempt->incarnation == attempt->machine->incarnation;
}

/* Applies the state in a worker's reply, unless a newer heartbeat has arrived before it. */
static void ws_commands_apply_reply(struct ws_core *core, struct ws_machine *machine,
				    const struct ws_heartbeat *heartbeat)
{
	bool newer = heartbeat->incarnation > machine->incarnation ||
		     (heartbeat->incarnation == machine->incarnation &&
		      heartbeat->sequence > machine->sequence) ||
		     !machine->reported;

	if (!newer)
		return;
	machine->last_contact_at = core->now;
	ws_machine_apply_heartbeat(core, machine, heartbeat);
	if (ws_message_may_follow_restart(core, heartbeat))
		ws_machine_extend_lease(core, machine);
}

/* Handles a call with commands that got no reply: the commands may still arrive. */
static void ws_commands_handle_no_reply(struct ws_core *core, struct ws_machine *machine,
					const struct ws_call *call, int status)
{
	if (call->commands.fencing_token > machine->commands.outstanding_token)
		machine->commands.outstanding_token = call->commands.fencing_token;
	ws_machine_raise_fencing_token(core, machine, call->commands.fencing_token);
	ws_log(core, WS_LOG_INFO, "command call not answered machine=%s status=%d", machine->name,
	       status);
}

/* Handles a probe that got no reply. It holds no commands, so a late arrival is harmless and the
 * fencing token is not raised. */
static void ws_probe_handle_no_reply(const struct ws_core *core, struct ws_machine *machine)
{
	if (ws_heartbeat_overdue(core, fmax(machine->last_contact_at, core->resumed_at)))
		machine->unreachable = true;
}

/* Sends commands that became due while a call was in flight. */
static void ws_machine_send_unsent_commands(struct ws_core *core, struct ws_machine *machine)
{
	const struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if ((ws_attempt_is_runnable(core, attempt) && !attempt->maybe_sent) ||
		    ws_attempt_stop_unsent(attempt)) {
			ws_machine_send_commands(core, machine);
			return;
		}
}

/* Handles the reply to a direct call. */
static void ws_commands_handle_reply(struct ws_core *core, struct ws_machine *machine,
				     const struct ws_call *call, const struct ws_heartbeat *reply)
{
	ws_leadership_worker_contact(core, false); /* the machine is reachable from this node */
	machine->unreachable = false;
	if (call->created_at >= machine->restart.suspected_at)
		machine->restart.suspected = false;
	if (ws_reply_shows_restart(call, reply))
		ws_worker_handle_restart(core, machine, reply);
	if (!machine->restart.suspected)
		ws_commands_apply_reply(core, machine, reply);
	ws_machine_send_unsent_commands(core, machine);
	if (ws_is_entitled(core)) /* after a restart, or if one is still suspected */
		ws_machine_send_probe(core, machine);
}

/* Handles the result of a direct call. */
static void ws_commands_handle_result(struct ws_core *core, struct ws_call *call,
				      const struct ws_result *result)
{
	struct ws_machine *machine;

	if (call->generation != core->generation)
		return;
	machine = ws_machine_find(core, call->commands.machine);
	if (!machine)
		return;
	machine->commands.in_flight--;
	if (result->outcome == WS_OUTCOME_NOT_SENT)
		return; /* the next answer to a heartbeat will hold the commands */
	ws_subsystems_command_answered(core, machine, result->heartbeat != NULL);
	if (result->heartbeat && !strcmp(result->heartbeat->machine, machine->name)) {
		ws_commands_handle_reply(core, machine, call, result->heartbeat);
	} else if (call->commands.count) {
		ws_commands_handle_no_reply(core, machine, call, result->http_status);
	} else {
		ws_probe_handle_no_reply(core, machine);
	}
}

/* Whether a direct call to a machine may be made now. */
static bool ws_machine_accepts_direct_call(const struct ws_core *core,
					   const struct ws_machine *machine)
{
	return machine->reported && machine->port && !machine->commands.in_flight &&
	       !machine->commands.outstanding_token && !machine->gone &&
	       !machine->scale_in.requested && ws_is_entitled(core) &&
	       core->now - machine->last_contact_at <=
		   DIRECT_CALL_CONTACT_INTERVALS * core->settings->heartbeat_s;
}

static bool ws_machine_has_unsent_stop(const struct ws_machine *machine)
{
	const struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (ws_attempt_stop_unsent(attempt))
			return true;
	return false;
}

void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine)
{
	struct ws_call *call;

	if (!ws_machine_accepts_direct_call(core, machine))
		return;
	/* during an outage of the store nothing is started, but cancelled tasks are stopped */
	if (core->leadership.in_outage && !ws_machine_has_unsent_stop(machine))
		return;
	call = ws_commands_call_new(core, machine);
	call->commands.list =
	    ws_commands_for_machine(core, machine, NULL, true, &call->commands.count);
	if (ws_commands_include_run(call->commands.list, call->commands.count))
		machine->commands.direct_run_token = call->commands.fencing_token;
	ws_log(core, WS_LOG_DEBUG, "commands sent machine=%s token=%llu commands=%zu",
	       machine->name, (unsigned long long)call->commands.fencing_token,
	       call->commands.count);
}

void ws_fleet_send_probes(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	int remaining = PROBES_MIN + (int)HASH_COUNT(core->fleet.machines) / MACHINES_PER_PROBE;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		core->fleet.sweep_steps++;
		if (!ws_probe_is_due(core, machine))
			continue;
		ws_machine_send_probe(core, machine);
		remaining--;
		if (remaining <= 0)
			break;
	}
}

void ws_job_send_commands(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		struct ws_machine *machine = attempt->machine;

		if (!machine->commands.pending)
			continue;
		machine->commands.pending = false;
		ws_machine_send_commands(core, machine);
	}
}
