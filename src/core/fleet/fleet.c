/*
 * The table of machines, which is filled from records, heartbeats, scale-out requests and the
 * cloud's instance list.
 */
#include "../core_state.h"

/* Time of the last contact with a machine that has never reported. */
#define NEVER_CONTACTED (-1e9)
/* Characters that separate the fields in the record of a job. */
#define RECORD_SEPARATORS "/#=;,"

struct ws_machine *ws_machine_find(struct ws_core *core, const char *name)
{
	struct ws_machine *machine;

	HASH_FIND_STR(core->fleet.machines, name, machine);
	return machine;
}

struct ws_machine *ws_machine_find_or_add(struct ws_core *core, const char *name)
{
	struct ws_machine *machine = ws_machine_find(core, name);

	if (machine)
		return machine;
	machine = ws_alloc(1, sizeof(*machine));
	snprintf(machine->name, sizeof(machine->name), "%s", name);
	machine->first_seen_at = core->now;
	machine->empty_since = core->now;
	machine->last_contact_at = NEVER_CONTACTED;
	/* an earlier leader may have answered it and sent commands */
	machine->lease.expires_at = machine->lease.earlier_expires_at =
	    ws_earlier_leases_expiry(core);
	machine->commands.outstanding_token = machine->commands.direct_run_token =
	    core->leadership.fencing_token ? core->leadership.fencing_token - 1 : 0;
	machine->fencing_token = machine->expected_echo = core->leadership.fencing_token;
	machine->expected_echo_since = core->now;
	machine->owned =
	    core->fleet.owned_determined && strcmp(name, core->fleet.last_owned_name) <= 0;
	machine->zone_index = machine->shard = -1;
	machine->invalid_name = strpbrk(name, RECORD_SEPARATORS) != NULL;
	HASH_ADD_STR(core->fleet.machines, name, machine);
	core->fleet.first_fit_stale = true;
	return machine;
}

/* Moves the attempts on a machine to another zone in the counts of their jobs. */
static void ws_machine_recount_zone(struct ws_machine *machine, int new_zone_index)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next) {
		if (!attempt->job || attempt->state == WS_ATTEMPT_RELEASED)
			continue;
		if (machine->zone_index >= 0)
			attempt->job->attempts_by_zone[machine->zone_index]--;
		if (new_zone_index >= 0)
			attempt->job->attempts_by_zone[new_zone_index]++;
	}
}

void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool preemptible)
{
	int zone_index = ws_zone_index(core, zone);

	if (strcmp(machine->type_name, type) || !machine->type) {
		snprintf(machine->type_name, sizeof(machine->type_name), "%s", type);
		machine->type = ws_machine_type_find(core, type);
		machine->type_index =
		    machine->type ? (int)(machine->type - core->catalog.types) : 0;
	}
	if (zone_index != machine->zone_index || strcmp(machine->zone, zone)) {
		ws_machine_recount_zone(machine, zone_index);
		machine->zone_index = zone_index;
		snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	}
	if (machine->preemptible != preemptible)
		core->fleet.first_fit_stale = true;
	machine->preemptible = preemptible;
}

/*
 * Applies the type, zone and address of a machine that has not reported yet and, if so far only its
 * scale-out request named it, the time at which its boot began.
 */
static void ws_machine_apply_instance_identity(struct ws_core *core, struct ws_machine *machine,
					       const struct ws_instance *instance)
{
	machine->first_seen_at = fmin(machine->first_seen_at, core->now - instance->age_s);
	ws_machine_set_kind(core, machine, instance->type, instance->zone, instance->preemptible);
	if (!machine->port && instance->port) {
		snprintf(machine->address, sizeof(machine->address), "%s", instance->address);
		machine->port = instance->port;
	}
}

void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance)
{
	struct ws_machine *machine = ws_machine_find(core, instance->name);

	/* the list lags and may still name a machine that is confirmed as gone */
	if (ws_machine_is_returned(core, instance->name))
		return;
	if (!machine) {
		machine = ws_machine_find_or_add(core, instance->name);
		machine->first_seen_at = core->now - instance->age_s;
		if (!machine->owned)
			ws_log(core, WS_LOG_INFO, "machine found in instance list machine=%s",
			       machine->name);
	}
	machine->in_instance_list = true;
	if (!machine->listed_running_at && instance->phase == WS_INSTANCE_RUNNING)
		machine->listed_running_at = core->now;
	if (!machine->reported)
		ws_machine_apply_instance_identity(core, machine, instance);
	/* a machine that still reports has not failed, even if the list shows it as failed */
	if (instance->phase == WS_INSTANCE_FAILED && !machine->failed && !machine->gone &&
	    core->now > machine->last_contact_at + core->settings->heartbeat_s)
		ws_machine_mark_failed(core, machine);
}

void ws_machine_remove(struct ws_core *core, struct ws_machine *machine)
{
	if (machine->shard >= 0)
		core->fleet.shards[machine->shard].machine_count--;
	ws_subsystems_machine_removed(core, machine);
	HASH_DEL(core->fleet.machines, machine);
	core->fleet.first_fit_stale = true;
	free(machine);
}

/* Frees a machine and the attempts on it. */
static void ws_machine_free(struct ws_machine *machine)
{
	struct ws_attempt *attempt, *next;

	for (attempt = machine->attempts; attempt; attempt = next) {
		next = attempt->machine_next;
		free(attempt);
	}
	free(machine);
}

void ws_fleet_clear(struct ws_core *core)
{
	struct ws_fleet *fleet = &core->fleet;
	struct ws_machine *machine = fleet->machines, *next;

	HASH_CLEAR(hh, fleet->machines);
	for (; machine; machine = next) {
		next = machine->hh.next;
		ws_machine_free(machine);
	}
	free(fleet->first_fit_order);
	fleet->first_fit_order = NULL;
	fleet->first_fit_count = 0;
	fleet->first_fit_stale = true;
	free(fleet->shards);
	fleet->shards = NULL;
	fleet->shard_count = 0;
	fleet->last_owned_name[0] = 0;
	fleet->owned_determined = false;
	fleet->owned_recorded = false;
	fleet->owned_write_in_flight = false;
	fleet->next_sweep_at = 0;
	ws_tombstones_clear(core, &fleet->returned_machines, true);
}
