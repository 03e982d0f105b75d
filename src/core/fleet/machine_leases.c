/*
 * Whether a machine is usable for tasks, and when all attempts on it are released.
 *
 * A machine is usable while it echoes its fencing token, its heartbeats arrive and its lease is
 * valid. Its attempts are released when the cloud confirms that it is gone or failed, or when its
 * lease has expired with clock drift allowed for.
 */
#include "../core_state.h"

/* A heartbeat is overdue after this many intervals: one interval, a quarter by which workers may
 * vary it, and the network delay. */
#define OVERDUE_INTERVALS 1.3
/* A machine without contact for this many heartbeat intervals is assigned no new tasks. */
#define CONTACT_TIMEOUT_INTERVALS 3
/* The names of returned machines are kept for one lease plus this many times the lag of the cloud's
 * instance list. */
#define RETURNED_NAME_LIST_LAGS 4

/*
 * A heartbeat that arrives does not prove that its sender receives our answers: the network may be
 * partitioned in one direction only, and the heartbeat may be a delayed copy. An echoed fencing
 * token is proof. The token is raised whenever a lease expired or a command got no reply.
 */
bool ws_machine_echoes_token(const struct ws_machine *machine)
{
	return machine->reported && machine->echoed_token >= machine->expected_echo;
}

/* Sets the fencing token to the one after `known` unless it is higher. Returns false if the term
 * has no such token. */
static bool ws_machine_set_token_above(struct ws_core *core, struct ws_machine *machine,
				       uint64_t known)
{
	if (machine->fencing_token > known)
		return true;
	if (known >= ws_term_number_max(core, WS_FENCING_TOKEN_SHIFT)) {
		ws_term_numbers_exhausted(core);
		return false;
	}
	machine->fencing_token = known + 1;
	return true;
}

void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known)
{
	if (machine->expected_echo > known)
		return;
	machine->expected_echo =
	    ws_machine_set_token_above(core, machine, known) ? known + 1 : UINT64_MAX;
	machine->expected_echo_since = core->now;
	machine->commands.next_probe_at = 0;
}

struct ws_capacity ws_machine_free_capacity(const struct ws_machine *machine)
{
	struct ws_capacity free_capacity = ws_type_capacity(machine->type);

	ws_capacity_add(&free_capacity, &machine->used, -1);
	free_capacity.report_bytes -= machine->other_report_bytes;
	return free_capacity;
}

void ws_machine_advance_token(struct ws_core *core, struct ws_machine *machine)
{
	ws_machine_set_token_above(core, machine, machine->fencing_token);
}

bool ws_machine_fence_direct_runs(struct ws_core *core, struct ws_machine *machine)
{
	return ws_machine_set_token_above(core, machine, machine->commands.direct_run_token);
}

void ws_machine_extend_lease(const struct ws_core *core, struct ws_machine *machine)
{
	machine->lease.expires_at =
	    fmax(machine->lease.expires_at, ws_lease_expiry(core, core->now));
}

void ws_machine_extend_lease_of(const struct ws_core *core, struct ws_machine *machine,
				uint64_t incarnation)
{
	if (incarnation == machine->incarnation)
		ws_machine_extend_lease(core, machine);
	else if (incarnation < machine->incarnation)
		machine->lease.earlier_expires_at =
		    fmax(machine->lease.earlier_expires_at, ws_lease_expiry(core, core->now));
}

bool ws_machine_heard_leader(const struct ws_core *core, const struct ws_machine *machine)
{
	return machine->echoed_token >= core->leadership.fencing_token;
}

bool ws_heartbeat_overdue(const struct ws_core *core, double since)
{
	return core->now - since > OVERDUE_INTERVALS * core->settings->heartbeat_s;
}

/*
 * Whether a machine's heartbeats reach this leader. Only answers to heartbeats renew a lease: a
 * machine that cannot reach the leader loses its tasks even if commands reach it. After the
 * election, or after its own start, it has some intervals to find the leader.
 */
static bool ws_machine_heartbeats_arrive(const struct ws_core *core,
					 const struct ws_machine *machine)
{
	return core->now - fmax(machine->heartbeat.received_at,
				fmax(machine->first_report_at, core->leadership.elected_at)) <
	       CONTACT_TIMEOUT_INTERVALS * core->settings->heartbeat_s;
}

/* Whether a quarantined attempt on a machine has not exited. */
static bool ws_machine_runs_quarantined(const struct ws_machine *machine)
{
	const struct ws_attempt *attempt;

	if (!machine->quarantine.count)
		return false;
	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->quarantined && attempt->task_state != WS_TASK_EXITED)
			return true;
	return false;
}

/* Whether the worker of a machine is in contact with this leader, both ways. */
static enum ws_machine_use ws_machine_contact_use(const struct ws_core *core,
						  const struct ws_machine *machine)
{
	if (!ws_machine_echoes_token(machine))
		return WS_USE_TOKEN_NOT_ECHOED;
	if (machine->restart.suspected)
		return WS_USE_RESTART_SUSPECTED;
	if (machine->unreachable || core->now - machine->last_contact_at >=
					CONTACT_TIMEOUT_INTERVALS * core->settings->heartbeat_s)
		return WS_USE_UNREACHABLE;
	if (!ws_machine_heartbeats_arrive(core, machine))
		return WS_USE_NO_HEARTBEATS;
	if (!machine->incarnation || core->now >= machine->lease.expires_at)
		return WS_USE_LEASE_EXPIRED;
	return WS_USABLE;
}

enum ws_machine_use ws_machine_use(const struct ws_core *core, const struct ws_machine *machine)
{
	if (machine->gone || machine->failed || machine->scale_in.requested)
		return WS_USE_GONE;
	if (machine->preemption_noticed)
		return WS_USE_PREEMPTION_NOTICE;
	if (machine->invalid_name || !machine->type)
		return WS_USE_UNKNOWN_TYPE;
	if (ws_machine_runs_quarantined(machine))
		return WS_USE_QUARANTINE;
	if (core->now < machine->failures.suspended_until ||
	    core->now < machine->failures.backoff_until)
		return WS_USE_TASK_FAILURES;
	return ws_machine_contact_use(core, machine);
}

const char *ws_machine_use_text(enum ws_machine_use use)
{
	static const char *const texts[WS_USE_COUNT] = {
	    [WS_USABLE] = "usable",
	    [WS_USE_GONE] = "failed or being returned",
	    [WS_USE_PREEMPTION_NOTICE] = "preemption notice",
	    [WS_USE_UNKNOWN_TYPE] = "unknown type or invalid name",
	    [WS_USE_QUARANTINE] = "quarantined task",
	    [WS_USE_TASK_FAILURES] = "task failures",
	    [WS_USE_TOKEN_NOT_ECHOED] = "fencing token not echoed",
	    [WS_USE_RESTART_SUSPECTED] = "restart suspected",
	    [WS_USE_UNREACHABLE] = "unreachable",
	    [WS_USE_NO_HEARTBEATS] = "no heartbeats",
	    [WS_USE_LEASE_EXPIRED] = "lease expired",
	};

	return texts[use];
}

bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine)
{
	return ws_machine_use(core, machine) == WS_USABLE;
}

/* Releases the attempts on a machine that are of an incarnation up to the last one. */
static void ws_machine_release_incarnations(struct ws_core *core, struct ws_machine *machine,
					    uint64_t last_incarnation,
					    enum ws_reconciliation_result result,
					    enum ws_release_evidence evidence)
{
	for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
	     attempt = next_attempt) {
		next_attempt = attempt->machine_next;
		if (attempt->incarnation > last_incarnation)
			continue;
		ws_attempt_reconcile(core, attempt, result);
		ws_attempt_release(core, attempt, evidence);
	}
}

/* Releases all attempts on a machine that is gone or failed, or whose lease has expired. */
static void ws_machine_release_attempts(struct ws_core *core, struct ws_machine *machine,
					enum ws_reconciliation_result result,
					enum ws_release_evidence evidence)
{
	ws_machine_release_incarnations(core, machine, UINT64_MAX, result, evidence);
}

void ws_machine_release_earlier_incarnations(struct ws_core *core, struct ws_machine *machine,
					     enum ws_reconciliation_result result,
					     enum ws_release_evidence evidence)
{
	if (machine->incarnation)
		ws_machine_release_incarnations(core, machine, machine->incarnation - 1, result,
						evidence);
}

void ws_machine_expire_lease(struct ws_core *core, struct ws_machine *machine)
{
	ws_log(
	    core, WS_LOG_INFO,
	    "lease expired machine=%s incarnation=%llu attempts=%u expired_s=%.3f elected_s=%.3f",
	    machine->name, (unsigned long long)machine->incarnation, machine->attempt_count,
	    core->now - machine->lease.expires_at, core->now - core->leadership.elected_at);
	machine->lease.min_incarnation = machine->incarnation + 1;
	ws_subsystems_machine_lost(core, machine, WS_LOSS_LEASE_EXPIRED);
	ws_machine_release_attempts(core, machine, WS_RECONCILED_LEASE_EXPIRED,
				    WS_RELEASE_LEASE_EXPIRED);
}

void ws_machine_mark_failed(struct ws_core *core, struct ws_machine *machine)
{
	machine->failed = true;
	ws_subsystems_machine_lost(core, machine, WS_LOSS_FAILED);
	ws_log(core, WS_LOG_INFO, "instance failed machine=%s", machine->name);
	ws_machine_release_attempts(core, machine, WS_RECONCILED_MACHINE_GONE,
				    WS_RELEASE_MACHINE_GONE);
}

void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason)
{
	if (machine->gone)
		return;
	ws_log(core, WS_LOG_INFO, "machine gone machine=%s reason=\"%s\"", machine->name, reason);
	machine->gone = true;
	ws_subsystems_machine_lost(core, machine, WS_LOSS_RETURNED);
	ws_tombstone_set(&core->fleet.returned_machines, machine->name,
			 core->now + core->settings->lease_s +
			     RETURNED_NAME_LIST_LAGS * core->settings->list_lag_s);
	ws_machine_release_attempts(core, machine, WS_RECONCILED_MACHINE_GONE,
				    WS_RELEASE_MACHINE_GONE);
	ws_core_instance_gone(core);
	if (machine->shard >= 0)
		ws_shard_mark_dirty(core, machine->shard);
}

bool ws_machine_is_returned(const struct ws_core *core, const char *name)
{
	return ws_tombstone_is_set(core, &core->fleet.returned_machines, name);
}
