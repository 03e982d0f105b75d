/*
 * Scale-in: selects the rented machines that are returned to the cloud, sends the calls that return
 * them and handles the cloud's replies. A marked machine is never used again; it counts as gone
 * once the cloud confirms the return.
 */
#include "../memory.h"
#include "autoscaler_internal.h"

/* Maximum number of machines in one call. */
#define SCALE_IN_CALL_MAX 100
/* A machine is returned after it failed tasks of this many different jobs in a row. */
#define CONSECUTIVE_FAILURES_MAX 3
/* Heartbeat intervals without a heartbeat after which a preempted machine is assumed to be gone. */
#define PREEMPTED_TIMEOUT_INTERVALS 1.5

enum ws_scale_in_reason {
	WS_SCALE_IN_NONE,
	WS_SCALE_IN_FAILED,
	WS_SCALE_IN_BOOT_TIMEOUT,
	WS_SCALE_IN_PREEMPTED,
	WS_SCALE_IN_UNREACHABLE,
	WS_SCALE_IN_NO_HEARTBEATS,
	WS_SCALE_IN_TOKEN_NOT_ECHOED,
	WS_SCALE_IN_EMPTY,
	WS_SCALE_IN_TASK_FAILURES,
};

/* Names of the reasons in log lines. */
static const char *const scale_in_reason_names[] = {
    [WS_SCALE_IN_NONE] = "none",
    [WS_SCALE_IN_FAILED] = "failed",
    [WS_SCALE_IN_BOOT_TIMEOUT] = "boot timeout",
    [WS_SCALE_IN_PREEMPTED] = "preempted",
    [WS_SCALE_IN_UNREACHABLE] = "no heartbeats, commands unanswered",
    [WS_SCALE_IN_NO_HEARTBEATS] = "no heartbeats",
    [WS_SCALE_IN_TOKEN_NOT_ECHOED] = "heartbeat answers do not arrive",
    [WS_SCALE_IN_EMPTY] = "empty",
    [WS_SCALE_IN_TASK_FAILURES] = "repeated task failures",
};

/* How many machines are up, and whether the leader is connected to most of them. */
struct ws_fleet_reachability {
	size_t up_count;
	bool most_reachable; /* if not, the leader itself may be partitioned */
};

bool ws_boot_timed_out(const struct ws_core *core, const struct ws_machine *machine)
{
	double boot_s = machine->type ? machine->type->boot_s : core->settings->lease_s;

	return !machine->reported &&
	       core->now - machine->first_seen_at > boot_s * core->policy.boot_timeout_ratio;
}

/*
 * While demand is unmet, a scale-out request may be due every second, and the cloud preempts
 * machines one at a time. Machines to be returned are therefore batched, for at most one heartbeat
 * interval.
 */
bool ws_scale_in_has_priority(const struct ws_core *core)
{
	const struct ws_autoscaler *autoscaler = &core->autoscaler;

	return autoscaler->scale_in_due_count >= WS_SCALE_OUT_INSTANCES_MAX ||
	       (autoscaler->scale_in_due_count &&
		core->now - autoscaler->scale_in_wait_start > core->settings->heartbeat_s);
}

static void ws_scale_in_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	for (size_t i = 0; i < call->scale_in.count; i++) {
		struct ws_machine *machine = ws_machine_find(core, call->scale_in.machine_names[i]);

		if (!machine)
			continue;
		machine->scale_in.in_flight = false;
		machine->scale_in.next_attempt_at = ws_cloud_call_retry_at(core);
		if (result->outcome == WS_OUTCOME_OK) {
			ws_capacity_error_scaled_in(core, machine);
			ws_machine_mark_gone(core, machine, "scaled in");
		}
	}
}

static void ws_machine_request_scale_in(struct ws_core *core, struct ws_machine *machine,
					enum ws_scale_in_reason reason)
{
	ws_log(core, WS_LOG_INFO, "scale-in machine=%s reason=\"%s\"", machine->name,
	       scale_in_reason_names[reason]);
	machine->scale_in.requested = true;
	ws_core_request_pass(core);
}

static bool ws_scale_in_is_due(const struct ws_core *core, const struct ws_machine *machine)
{
	return machine->scale_in.requested && !machine->gone && !machine->scale_in.in_flight &&
	       !machine->owned && core->now >= machine->scale_in.next_attempt_at;
}

/*
 * Returns whether a machine is known to have been up: this leader or the one that recorded its
 * incarnation received a heartbeat, or the cloud listed it as running. A machine known only from
 * its scale-out request may still be booting.
 */
static bool ws_machine_was_up(const struct ws_machine *machine)
{
	return machine->reported || machine->incarnation || machine->listed_running_at > 0;
}

static struct ws_fleet_reachability ws_check_fleet_reachability(struct ws_core *core)
{
	struct ws_fleet_reachability reachability = {0};
	struct ws_machine *machine, *next;
	size_t reachable_count = 0;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!machine->reported || machine->gone || machine->failed)
			continue;
		reachability.up_count++;
		/* A short limit: if the leader itself is partitioned, most machines must count as
		 * unreachable before any of them is returned for that reason. */
		reachable_count += !ws_heartbeat_overdue(core, machine->last_contact_at) &&
				   ws_machine_echoes_token(machine);
	}
	reachability.most_reachable = reachable_count * 2 >= reachability.up_count;
	return reachability;
}

static bool ws_machine_is_long_empty(const struct ws_core *core, const struct ws_machine *machine)
{
	const double wait_s = core->policy.idle_timeout_s;
	const double empty_s = core->now - machine->empty_since;

	return machine->reported && !machine->attempt_count && !machine->preemption_noticed &&
	       core->now >= machine->reserved_until && empty_s > wait_s &&
	       core->now - machine->first_report_at > wait_s &&
	       /* leave unmet demand time to be placed on it */
	       (!core->autoscaler.new_machines_needed || empty_s > 2 * wait_s);
}

/* Returns why a rented machine that the leader lost contact with should be returned. It is to be
 * called only if most machines are reachable. */
static enum ws_scale_in_reason ws_contact_loss_reason(const struct ws_core *core,
						      const struct ws_machine *machine,
						      size_t up_count)
{
	const double elected_at = core->leadership.elected_at;
	const double no_heartbeat_since =
	    fmax(machine->last_contact_at, fmax(elected_at, core->resumed_at));
	const double heartbeat_timeout_s = core->settings->lease_s * core->policy.unreachable_ratio;

	if (machine->preemption_noticed && core->now > machine->preemption_at &&
	    core->now - machine->last_contact_at >
		PREEMPTED_TIMEOUT_INTERVALS * core->settings->heartbeat_s)
		return WS_SCALE_IN_PREEMPTED; /* so that the cloud confirms it */
	if (machine->unreachable && machine->reported &&
	    ws_heartbeat_overdue(core, no_heartbeat_since))
		return WS_SCALE_IN_UNREACHABLE;
	if (ws_machine_was_up(machine) && up_count &&
	    heartbeat_timeout_s < core->now - fmax(no_heartbeat_since, machine->listed_running_at))
		return WS_SCALE_IN_NO_HEARTBEATS;
	if (machine->reported && !ws_machine_echoes_token(machine) && up_count &&
	    core->now -
		    fmax(fmax(machine->expected_echo_since, machine->first_report_at), elected_at) >
		heartbeat_timeout_s + core->settings->heartbeat_s)
		return WS_SCALE_IN_TOKEN_NOT_ECHOED;
	return WS_SCALE_IN_NONE;
}

/* Returns why a rented machine should be returned now. */
static enum ws_scale_in_reason
ws_scale_in_reason_of(const struct ws_core *core, const struct ws_machine *machine,
		      const struct ws_fleet_reachability *reachability)
{
	enum ws_scale_in_reason contact_loss = WS_SCALE_IN_NONE;

	if (reachability->most_reachable)
		contact_loss = ws_contact_loss_reason(core, machine, reachability->up_count);
	if (contact_loss != WS_SCALE_IN_NONE &&
	    ws_subsystems_action_deferred(core, WS_DEFER_SCALE_IN_NO_HEARTBEATS,
					  machine->zone_index))
		contact_loss = WS_SCALE_IN_NONE;
	if (machine->failed)
		return WS_SCALE_IN_FAILED;
	if (ws_boot_timed_out(core, machine) &&
	    core->now - core->leadership.elected_at > core->settings->lease_s)
		return WS_SCALE_IN_BOOT_TIMEOUT;
	if (contact_loss != WS_SCALE_IN_NONE)
		return contact_loss;
	if (ws_machine_is_long_empty(core, machine) &&
	    !ws_subsystems_action_deferred(core, WS_DEFER_SCALE_IN_EMPTY, machine->zone_index))
		return WS_SCALE_IN_EMPTY;
	if (machine->consecutive_failures >= CONSECUTIVE_FAILURES_MAX && !machine->attempt_count)
		return WS_SCALE_IN_TASK_FAILURES;
	return WS_SCALE_IN_NONE;
}

/* Creates a scale-in call that contains no machines yet. */
static struct ws_call *ws_scale_in_call_new(struct ws_core *core)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_SCALE_IN, ws_scale_in_answered);

	call->scale_in.machine_names =
	    ws_alloc(SCALE_IN_CALL_MAX, sizeof(*call->scale_in.machine_names));
	core->autoscaler.next_cloud_call_at = core->now + WS_CLOUD_CALL_INTERVAL_S;
	core->autoscaler.last_call_was_scale_out = false;
	core->autoscaler.scale_in_wait_start = core->now;
	return call;
}

/* Sends one call that returns the machines that are due, up to the maximum of a call. */
static void ws_scale_in_send(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	struct ws_call *call = NULL;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!ws_scale_in_is_due(core, machine))
			continue;
		if (!call)
			call = ws_scale_in_call_new(core);
		snprintf(call->scale_in.machine_names[call->scale_in.count++], WS_NAME_MAX, "%s",
			 machine->name);
		machine->scale_in.in_flight = true;
		core->autoscaler.scale_in_due_count--;
		if (call->scale_in.count == SCALE_IN_CALL_MAX)
			break;
	}
}

/* Marks the machines that should be returned. */
static void ws_scale_in_mark(struct ws_core *core)
{
	const struct ws_fleet_reachability reachability = ws_check_fleet_reachability(core);
	struct ws_machine *machine, *next;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		enum ws_scale_in_reason reason;

		if (machine->owned || machine->gone || machine->scale_in.requested)
			continue;
		reason = ws_scale_in_reason_of(core, machine, &reachability);
		if (reason != WS_SCALE_IN_NONE)
			ws_machine_request_scale_in(core, machine, reason);
	}
}

static int ws_scale_in_count_due(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	int count = 0;

	HASH_ITER (hh, core->fleet.machines, machine, next)
		count += ws_scale_in_is_due(core, machine);
	return count;
}

void ws_scale_in_tick(struct ws_core *core)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;

	ws_scale_in_mark(core);
	autoscaler->scale_in_due_count = ws_scale_in_count_due(core);
	if (!autoscaler->scale_in_due_count)
		autoscaler->scale_in_wait_start = core->now;
	if (core->now >= autoscaler->next_cloud_call_at)
		ws_scale_in_send(core);
}
