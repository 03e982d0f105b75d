/*
 * The periodic sweep over all machines: expires leases, drains machines with a preemption notice,
 * frees machines that are gone, and sends probes.
 */
#include "../core_state.h"

/*
 * Whether an attempt is drained from a machine that will be preempted. Service replicas and tasks
 * with checkpoints are drained; other tasks run until the preemption. A gang with checkpoints is
 * drained only if stops can be sent to all its machines at once and enough time to save is left;
 * otherwise it runs on and later restarts from its last checkpoint.
 */
static bool ws_attempt_drains_on_notice(const struct ws_core *core,
					const struct ws_attempt *attempt)
{
	const struct ws_job_spec *spec = &attempt->job->spec;

	if (spec->gang)
		return spec->checkpoint_interval_s > 0 &&
		       core->now + spec->checkpoint_duration_s < attempt->machine->preemption_at &&
		       ws_gang_is_reachable(core, attempt->job);
	return spec->service || spec->checkpoint_interval_s > 0;
}

/* Stops the attempts that are drained from a machine before its preemption. */
static void ws_machine_drain(struct ws_core *core, struct ws_machine *machine)
{
	struct ws_attempt *attempt, *next;
	bool stopped_any = false;

	for (attempt = machine->attempts; attempt; attempt = next) {
		next = attempt->machine_next;
		if (attempt->state == WS_ATTEMPT_RELEASED || attempt->stopping ||
		    attempt->unrecorded || !attempt->job ||
		    !ws_attempt_drains_on_notice(core, attempt))
			continue;
		ws_task_stop(core, attempt, WS_STOP_PREEMPTION_NOTICE);
		stopped_any = true;
	}
	if (stopped_any)
		ws_machine_send_commands(core, machine);
}

/* One sweep over the machines. */
struct ws_sweep {
	struct ws_core *core;
	bool demand_determined, jobs_lack_capacity; /* determined when a machine asks for it */
};

/* Whether tasks of some job lack capacity. The jobs are searched once in a sweep. */
static bool ws_jobs_lack_capacity(struct ws_sweep *sweep)
{
	const struct ws_job *job = sweep->core->jobs.by_id;

	if (sweep->demand_determined)
		return sweep->jobs_lack_capacity;
	while (job && !(job->unmet_since > 0))
		job = job->hh.next;
	sweep->demand_determined = true;
	sweep->jobs_lack_capacity = job != NULL;
	return sweep->jobs_lack_capacity;
}

/* Whether a machine is in contact and empty, and yet gets no tasks. */
static bool ws_machine_is_unused(const struct ws_core *core, const struct ws_machine *machine,
				 enum ws_machine_use use)
{
	return !machine->attempt_count && use != WS_USABLE && use != WS_USE_GONE &&
	       !ws_heartbeat_overdue(core, machine->last_contact_at);
}

/*
 * Logs and counts a machine that is in contact and empty, and yet not usable for a lease while jobs
 * lack capacity. Logged once per lease.
 */
static void ws_machine_check_unused(struct ws_sweep *sweep, struct ws_machine *machine)
{
	struct ws_core *core = sweep->core;
	enum ws_machine_use use;

	if (machine->attempt_count) {
		machine->unused_since = 0;
		return;
	}
	use = ws_machine_use(core, machine);
	if (!ws_machine_is_unused(core, machine, use)) {
		machine->unused_since = 0;
		return;
	}
	if (!machine->unused_since)
		machine->unused_since = core->now;
	if (core->now - machine->unused_since <= core->settings->lease_s ||
	    !ws_jobs_lack_capacity(sweep))
		return;
	ws_event_count(core, WS_EVENT_MACHINE_UNUSED);
	ws_log(core, WS_LOG_INFO,
	       "empty machine gets no tasks machine=%s reason=\"%s\" unused_s=%.0f", machine->name,
	       ws_machine_use_text(use), core->now - machine->empty_since);
	machine->unused_since = core->now;
}

static void ws_machine_sweep(struct ws_sweep *sweep, struct ws_machine *machine)
{
	struct ws_core *core = sweep->core;

	if (machine->gone) {
		if (!machine->attempts)
			ws_machine_remove(core, machine);
		return;
	}
	if (machine->attempt_count && core->now > machine->lease.expires_at && machine->incarnation)
		ws_machine_expire_lease(core, machine);
	if (machine->attempt_count && core->now > machine->lease.earlier_expires_at)
		ws_machine_release_earlier_incarnations(core, machine, WS_RECONCILED_LEASE_EXPIRED,
							WS_RELEASE_LEASE_EXPIRED);
	ws_machine_check_unused(sweep, machine);
	if (machine->preemption_noticed &&
	    core->now < machine->preemption_at + core->settings->lease_s)
		ws_machine_drain(core, machine);
}

void ws_fleet_tick(struct ws_core *core)
{
	struct ws_sweep sweep = {.core = core};
	struct ws_machine *machine, *next;

	if (core->now < core->fleet.next_sweep_at)
		return;
	core->fleet.next_sweep_at = core->now + ws_sweep_interval(core);
	if (ws_is_entitled(core) && !core->leadership.in_outage)
		ws_fleet_send_probes(core);
	ws_tombstones_clear(core, &core->fleet.returned_machines, false);
	ws_tombstones_clear(core, &core->jobs.archived, false);
	ws_tombstones_clear(core, &core->jobs.orphaned_continuations, false);
	HASH_ITER (hh, core->fleet.machines, machine, next) {
		core->fleet.sweep_steps++;
		ws_machine_sweep(&sweep, machine);
	}
}
