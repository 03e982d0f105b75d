/*
 * The attached subsystems and the events that the core reports to them. Each event is sent to the
 * subsystems in the order in which they were attached.
 */
#include "../core_state.h"

/* The macros define the index i_ of the subsystem, which their arguments may use. */

/* Calls a hook of every subsystem that implements it. */
#define WS_EACH_HOOK(core, hook, ...)                                                              \
	for (size_t i_ = 0; i_ < (core)->subsystems.count; i_++)                                   \
		if ((core)->subsystems.list[i_].ops->hook)                                         \
	(core)->subsystems.list[i_].ops->hook((core)->subsystems.list[i_].self, ##__VA_ARGS__)

/* Calls a hook for a machine, of every subsystem that has a handle of the machine. */
#define WS_EACH_MACHINE_HOOK(core, machine, hook, ...)                                             \
	for (size_t i_ = 0; i_ < (core)->subsystems.count; i_++)                                   \
		if ((machine)->subsystem_handles[i_] && (core)->subsystems.list[i_].ops->hook)     \
	(core)->subsystems.list[i_].ops->hook((core)->subsystems.list[i_].self, __VA_ARGS__)

bool ws_core_attach(struct ws_core *core, const struct ws_subsystem_ops *ops, void *self)
{
	struct ws_subsystems *subsystems = &core->subsystems;

	if (subsystems->count == WS_SUBSYSTEMS_MAX)
		return false;
	subsystems->list[subsystems->count].ops = ops;
	subsystems->list[subsystems->count].self = self;
	subsystems->count++;
	return true;
}

bool ws_subsystems_active(const struct ws_core *core)
{
	return core->subsystems.count > 0;
}

const char *ws_subsystems_prefix(const struct ws_core *core, size_t index)
{
	return index < core->subsystems.count ? core->subsystems.list[index].ops->prefix : NULL;
}

void ws_subsystems_free(struct ws_core *core)
{
	WS_EACH_HOOK(core, destroy);
	core->subsystems.count = 0;
}

/* ---- leadership ---- */

void ws_subsystems_elected(struct ws_core *core)
{
	const struct ws_election_info info = {
	    .now = core->now,
	    .term = core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT,
	    .leader_proof_age_s = core->leadership.proof.exists
				      ? core->now - core->leadership.proof.active_at
				      : INFINITY,
	    .leader_proof_term = core->leadership.proof.term,
	    .leases_expire_at = ws_earlier_leases_expiry(core),
	};

	WS_EACH_HOOK(core, elected, &info);
}

void ws_subsystems_loaded(struct ws_core *core)
{
	struct ws_machine *machine, *next;

	if (!ws_subsystems_active(core))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->incarnation)
			ws_subsystems_machine_updated(core, machine);
	WS_EACH_HOOK(core, records_loaded, core->now);
	ws_subsystems_update_deferrals(core);
}

void ws_subsystems_step_down(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;

	if (!ws_subsystems_active(core))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		ws_subsystems_machine_removed(core, machine);
	WS_EACH_HOOK(core, stepped_down);
	ws_subsystem_records_clear(core);
	core->subsystems.next_tick_at = 0;
	core->subsystems.zones_avoided = core->subsystems.zones_closed = 0;
	memset(core->subsystems.deferred_zones, 0, sizeof(core->subsystems.deferred_zones));
	core->subsystems.any_move_requested = false;
}

/* ---- machines ---- */

void ws_subsystems_machine_updated(struct ws_core *core, struct ws_machine *machine)
{
	const struct ws_machine_info info = {
	    .name = machine->name,
	    .address = machine->address,
	    .zone = machine->zone,
	    .expected = !machine->reported,
	    .unknown = machine->unrecorded,
	};

	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (machine->subsystem_handles[i] && subsystem->ops->machine_changed)
			subsystem->ops->machine_changed(subsystem->self,
							machine->subsystem_handles[i], &info);
		else if (!machine->subsystem_handles[i] && subsystem->ops->machine_added)
			machine->subsystem_handles[i] =
			    subsystem->ops->machine_added(subsystem->self, core->now, &info);
	}
}

void ws_subsystems_machine_removed(struct ws_core *core, struct ws_machine *machine)
{
	WS_EACH_MACHINE_HOOK(core, machine, machine_removed, machine->subsystem_handles[i_]);
	memset(machine->subsystem_handles, 0, sizeof(machine->subsystem_handles));
}

void ws_subsystems_heartbeat_seen(struct ws_core *core, struct ws_machine *machine)
{
	WS_EACH_MACHINE_HOOK(core, machine, heartbeat_seen, core->now,
			     machine->subsystem_handles[i_]);
}

void ws_subsystems_command_answered(struct ws_core *core, struct ws_machine *machine, bool answered)
{
	WS_EACH_MACHINE_HOOK(core, machine, command_answered, machine->subsystem_handles[i_],
			     answered);
}

void ws_subsystems_machine_lost(struct ws_core *core, struct ws_machine *machine,
				enum ws_machine_loss loss)
{
	WS_EACH_MACHINE_HOOK(core, machine, machine_lost, core->now, machine->subsystem_handles[i_],
			     loss);
}

/* ---- reconciliation ---- */

bool ws_subsystems_attempt_reconciled(struct ws_core *core, const struct ws_attempt *attempt,
				      enum ws_reconciliation_result result)
{
	const struct ws_reconciliation reconciliation = {
	    .result = result,
	    .machine = attempt->machine->name,
	    .job = attempt->job_id,
	    .task = attempt->task,
	    .attempt = attempt->number,
	    .incarnation = attempt->incarnation,
	};
	bool quarantine_requested = false;

	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (subsystem->ops->attempt_reconciled)
			quarantine_requested |= subsystem->ops->attempt_reconciled(
			    subsystem->self, core->now, &reconciliation);
	}
	return quarantine_requested;
}

void ws_subsystems_attempts_adopted(struct ws_core *core, const char *job, uint32_t count)
{
	WS_EACH_HOOK(core, attempts_adopted, core->now, job, count);
}
