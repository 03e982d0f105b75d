/*
 * The periodic sweep over all machines: expired leases, machines about to be preempted, machines
 * that are gone, and probes.
 */
#include "../core_state.h"

/*
 * Whether an attempt is to leave a machine that will be preempted. Service replicas and tasks that
 * can save do; other tasks run on while they can. A gang saves only if all of it can be told at
 * once and has the time; else it goes on and falls back to its checkpoint.
 */
static bool ws_attempt_drains_on_notice(const struct ws_core *core,
					const struct ws_attempt *attempt)
{
	const struct ws_job_spec *spec = &attempt->job->spec;

	if (spec->gang)
		return spec->checkpoint_interval_s > 0 &&
		       core->now + spec->checkpoint_duration_s < attempt->machine->preempted_at &&
		       ws_gang_is_reachable(core, attempt->job);
	return spec->service || spec->checkpoint_interval_s > 0;
}

/* Stops what is to leave a machine before it is preempted. */
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

static void ws_machine_sweep(struct ws_core *core, struct ws_machine *machine)
{
	if (machine->gone) {
		if (!machine->attempts)
			ws_machine_remove(core, machine);
		return;
	}
	if (machine->attempt_count && core->now > machine->lease.expires_at && machine->incarnation)
		ws_machine_expire_lease(core, machine);
	if (machine->preemption_noticed &&
	    core->now < machine->preempted_at + core->settings->lease_s)
		ws_machine_drain(core, machine);
}

void ws_fleet_tick(struct ws_core *core)
{
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
		ws_machine_sweep(core, machine);
	}
}
