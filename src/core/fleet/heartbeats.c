/* Heartbeats of machines: checks for stale ones, applies the others, and answers them. */
#include "../core_state.h"
#include "../message_size.h"

/* Handles the first heartbeat, or reply to a command, of a machine. */
static void ws_machine_first_contact(struct ws_core *core, struct ws_machine *machine)
{
	machine->reported = true;
	machine->first_report_at = core->now;
	if (!machine->owned && core->now - machine->first_seen_at > core->settings->heartbeat_s)
		ws_stats_booted(core, core->now - machine->first_seen_at);
	ws_log(core, WS_LOG_INFO, "machine up machine=%s type=%s zone=%s preemptible=%s owned=%s",
	       machine->name, machine->type_name, machine->zone,
	       machine->preemptible ? "yes" : "no", machine->owned ? "yes" : "no");
	ws_core_request_pass(core);
}

/* Updates the type, zone and address of a machine. */
static void ws_machine_update_identity(struct ws_core *core, struct ws_machine *machine,
				       const struct ws_heartbeat *heartbeat)
{
	bool address_changed =
	    machine->port != heartbeat->port || strcmp(machine->address, heartbeat->address) != 0;
	/* true for the first report too: the instance list may have given the address before */
	bool identity_changed =
	    !machine->reported || address_changed || strcmp(machine->zone, heartbeat->zone) != 0;

	if (!machine->reported)
		machine->unrecorded = !machine->recorded && !machine->in_instance_list &&
				      !machine->owned && !machine->type_name[0];
	ws_machine_set_kind(core, machine, heartbeat->type, heartbeat->zone,
			    heartbeat->preemptible);
	if (!machine->reported)
		ws_machine_first_contact(core, machine);
	machine->failed = false;
	if (address_changed) {
		snprintf(machine->address, sizeof(machine->address), "%s", heartbeat->address);
		machine->port = heartbeat->port;
		ws_machine_mark_dirty(core, machine);
	}
	if (identity_changed)
		ws_subsystems_machine_updated(core, machine);
}

/* Handles a later incarnation of a machine: its lease expired, and its earlier tasks have ended. */
static void ws_machine_begin_incarnation(struct ws_core *core, struct ws_machine *machine,
					 const struct ws_heartbeat *heartbeat)
{
	if (machine->incarnation && machine->attempt_count)
		ws_log(core, WS_LOG_INFO,
		       "machine restarted machine=%s incarnation=%llu tasks_lost=%u", machine->name,
		       (unsigned long long)heartbeat->incarnation, machine->attempt_count);
	if (machine->incarnation) /* answers to its heartbeats may have been lost */
		ws_machine_raise_fencing_token(core, machine,
					       heartbeat->fencing_token > machine->fencing_token
						   ? heartbeat->fencing_token
						   : machine->fencing_token);
	machine->incarnation = heartbeat->incarnation;
	machine->lease.earlier_expires_at = machine->lease.expires_at;
	/* a worker's lease starts with its incarnation, even if no answer to a heartbeat has
	 * renewed it: the reply to a direct command may be the first report of the incarnation */
	ws_machine_extend_lease(core, machine);
	/* workers reject commands for earlier incarnations */
	machine->commands.outstanding_token = 0;
	ws_machine_mark_dirty(core, machine);
}

static void ws_machine_handle_preemption_notice(struct ws_core *core, struct ws_machine *machine,
						double notice_s)
{
	machine->preemption_noticed = true;
	machine->preemption_at = core->now + notice_s;
	ws_log(core, WS_LOG_INFO, "preemption notice machine=%s notice_s=%.0f", machine->name,
	       notice_s);
	ws_core_request_pass(core);
}

/*
 * Whether an attempt that a report does not name may still start. One that was never reported can
 * do so while a run command is on its way, because the reply to a direct command may overtake the
 * answer to a heartbeat. One that was reported before was lost when the worker restarted: it starts
 * again if the worker accepts a copy of the direct call that started it.
 */
static bool ws_attempt_may_start(struct ws_core *core, struct ws_machine *machine,
				 const struct ws_attempt *attempt)
{
	if (!attempt->reported)
		return ws_machine_has_outstanding_run(machine);
	if (machine->echoed_token > machine->commands.direct_run_token)
		return false;
	ws_machine_fence_direct_runs(core, machine);
	return true;
}

/* Releases attempts that the newest report of a machine does not name. */
static void ws_machine_release_unreported(struct ws_core *core, struct ws_machine *machine)
{
	for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
	     attempt = next_attempt) {
		next_attempt = attempt->machine_next;
		if (attempt->state == WS_ATTEMPT_RELEASED || attempt->mark == core->fleet.mark ||
		    attempt->incarnation != machine->incarnation)
			continue;
		if (ws_machine_echoes_token(machine))
			ws_attempt_reconcile(core, attempt, WS_RECONCILED_NOT_REPORTED);
		/* releases an attempt that was reported and no longer is, and a stopping one that
		 * was sent but never reported, unless it may still start */
		if (!attempt->reported && (!attempt->maybe_sent || !attempt->stopping))
			continue;
		if (ws_attempt_may_start(core, machine, attempt))
			ws_event_count(core, WS_EVENT_RELEASE_HELD_BACK);
		else
			ws_attempt_release(core, attempt, WS_RELEASE_NOT_REPORTED);
	}
}

/* Returns what a report holds besides live attempts of known jobs, in bytes. */
static double ws_other_report_bytes(const struct ws_machine *machine,
				    const struct ws_heartbeat *heartbeat)
{
	const struct ws_attempt *attempt;
	size_t bytes = 0;

	for (size_t i = 0; i < heartbeat->task_count; i++)
		if (heartbeat->tasks[i].state == WS_TASK_EXITED)
			bytes += ws_report_entry_bytes(heartbeat->tasks[i].job,
						       heartbeat->tasks[i].task);
	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (!attempt->job && attempt->state != WS_ATTEMPT_RELEASED)
			bytes += ws_report_entry_bytes(attempt->job_id, attempt->task);
	return (double)bytes;
}

void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat)
{
	ws_machine_update_identity(core, machine, heartbeat);
	if (heartbeat->incarnation > machine->incarnation)
		ws_machine_begin_incarnation(core, machine, heartbeat);
	machine->sequence = heartbeat->sequence;
	machine->echoed_token = heartbeat->fencing_token;
	if (ws_machine_heard_leader(core, machine))
		ws_machine_release_earlier_incarnations(core, machine, WS_RECONCILED_LEASE_LOST,
							WS_RELEASE_LATER_INCARNATION);
	/* the worker rejects commands and drops answers with a lower token */
	if (heartbeat->fencing_token > machine->commands.outstanding_token)
		machine->commands.outstanding_token = 0;
	if (heartbeat->fencing_token > machine->commands.answer_token)
		machine->commands.answer_token = 0;
	if (heartbeat->preemption_notice_s >= 0 && !machine->preemption_noticed)
		ws_machine_handle_preemption_notice(core, machine, heartbeat->preemption_notice_s);
	core->fleet.mark++;
	for (size_t i = 0; i < heartbeat->task_count; i++)
		ws_machine_apply_task_status(core, machine, &heartbeat->tasks[i]);
	ws_machine_release_unreported(core, machine);
	machine->other_report_bytes = ws_other_report_bytes(machine, heartbeat);
}

/*
 * Whether a heartbeat is a copy of an earlier one, arrived after a later one or was sent before a
 * restart. An answer would renew the lease here, but no worker would receive it. Only heartbeats
 * are compared: the reply to a command may have overtaken a heartbeat that is not stale.
 */
static bool ws_heartbeat_is_stale(const struct ws_machine *machine,
				  const struct ws_heartbeat *heartbeat)
{
	return heartbeat->fencing_token < machine->restart.min_token ||
	       heartbeat->incarnation < machine->lease.min_incarnation ||
	       heartbeat->incarnation < machine->incarnation ||
	       ws_heartbeat_counts_as_old(heartbeat, machine->heartbeat.incarnation,
					  machine->heartbeat.sequence);
}

/* Applies a heartbeat that is not stale. Returns false if the reply to a command was newer, or the
 * worker may have restarted since, in which case only the time and sequence of the heartbeat are
 * stored. */
static bool ws_machine_accept_heartbeat(struct ws_core *core, struct ws_machine *machine,
					const struct ws_heartbeat *heartbeat)
{
	bool newest;

	ws_worker_check_suspicion(machine, heartbeat);
	newest = !machine->restart.suspected &&
		 (heartbeat->incarnation > machine->incarnation ||
		  heartbeat->sequence > machine->sequence || !machine->reported);
	ws_worker_remember_heartbeat(core, machine, heartbeat);
	machine->heartbeat.received_at = core->now;
	machine->heartbeat.incarnation = heartbeat->incarnation;
	machine->heartbeat.sequence = heartbeat->sequence;
	machine->commands.answer_token = 0; /* received, or the worker no longer waits for it */
	if (heartbeat->fencing_token > machine->fencing_token)
		machine->fencing_token = heartbeat->fencing_token;
	machine->unreachable = false;
	if (newest) {
		machine->last_contact_at = core->now;
		ws_machine_apply_heartbeat(core, machine, heartbeat);
	}
	return newest;
}

/* Answers a heartbeat: renews the machine's lease and adds the commands that are due. */
static void ws_machine_answer_heartbeat(struct ws_core *core, struct ws_machine *machine,
					const struct ws_heartbeat *heartbeat, bool newest,
					uint64_t request_id)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_HEARTBEAT);

	effect->request_id = request_id;
	effect->answer = WS_ANSWER_OK;
	if (ws_machine_echoes_token(machine))
		ws_subsystems_heartbeat_seen(core, machine);
	ws_machine_extend_lease(core, machine);
	if (heartbeat->incarnation == machine->incarnation)
		effect->heartbeat.commands =
		    ws_commands_for_machine(core, machine, newest ? heartbeat : NULL, false,
					    &effect->heartbeat.command_count);
	effect->heartbeat.fencing_token = machine->fencing_token; /* raised by reap commands */
	ws_log(core, WS_LOG_DEBUG,
	       "heartbeat answered machine=%s sequence=%llu token=%llu commands=%zu", machine->name,
	       (unsigned long long)heartbeat->sequence, (unsigned long long)machine->fencing_token,
	       effect->heartbeat.command_count);
	if (ws_commands_include_run(effect->heartbeat.commands, effect->heartbeat.command_count))
		machine->commands.answer_token = machine->fencing_token;
}

/* Returns the event under which a stale heartbeat is counted. */
static enum ws_event ws_heartbeat_stale_event(const struct ws_machine *machine,
					      const struct ws_heartbeat *heartbeat)
{
	if (heartbeat->fencing_token < machine->restart.min_token)
		return WS_EVENT_STALE_RESTART;
	if (heartbeat->incarnation == machine->heartbeat.incarnation)
		return WS_EVENT_STALE_SEQUENCE;
	return WS_EVENT_STALE_INCARNATION;
}

/* Counts a stale heartbeat by its cause and logs it. */
static void ws_heartbeat_count_stale(struct ws_core *core, const struct ws_machine *machine,
				     const struct ws_heartbeat *heartbeat)
{
	ws_event_count(core, ws_heartbeat_stale_event(machine, heartbeat));
	ws_log(core, WS_LOG_DEBUG,
	       "stale heartbeat rejected machine=%s incarnation=%llu sequence=%llu token=%llu "
	       "newest_incarnation=%llu newest_sequence=%llu min_token=%llu tasks=%zu",
	       machine->name, (unsigned long long)heartbeat->incarnation,
	       (unsigned long long)heartbeat->sequence,
	       (unsigned long long)heartbeat->fencing_token,
	       (unsigned long long)machine->heartbeat.incarnation,
	       (unsigned long long)machine->heartbeat.sequence,
	       (unsigned long long)machine->restart.min_token, heartbeat->task_count);
}

/* Answers a heartbeat that may come from a worker that has restarted: the token makes it reject
 * late direct calls. */
static void ws_machine_answer_suspect(struct ws_core *core, struct ws_machine *machine,
				      uint64_t request_id)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_HEARTBEAT);

	ws_machine_fence_direct_runs(core, machine);
	effect->request_id = request_id;
	effect->answer = WS_ANSWER_OK;
	effect->heartbeat.fencing_token = machine->fencing_token;
}

/* Handles a stale heartbeat. Returns whether it was answered. */
static bool ws_machine_handle_stale(struct ws_core *core, struct ws_machine *machine,
				    const struct ws_heartbeat *heartbeat, uint64_t request_id)
{
	ws_heartbeat_count_stale(core, machine, heartbeat);
	if (!ws_worker_suspect_restart(core, machine, heartbeat))
		return false;
	ws_machine_answer_suspect(core, machine, request_id);
	return true;
}

bool ws_fleet_heartbeat(struct ws_core *core, const struct ws_heartbeat *heartbeat,
			uint64_t request_id)
{
	struct ws_machine *machine = ws_machine_find_or_add(core, heartbeat->machine);
	bool newest;

	if (ws_heartbeat_shows_restart(machine, heartbeat))
		ws_worker_handle_restart(core, machine, heartbeat);
	else if (ws_heartbeat_is_stale(machine, heartbeat))
		return ws_machine_handle_stale(core, machine, heartbeat, request_id);
	newest = ws_machine_accept_heartbeat(core, machine, heartbeat);
	ws_machine_answer_heartbeat(core, machine, heartbeat, newest, request_id);
	if (!ws_machine_echoes_token(machine) && ws_is_entitled(core) &&
	    !core->leadership.in_outage)
		ws_machine_send_probe(core, machine); /* now, rather than in the next sweep */
	return true;
}
