/*
 * The fleet: machines, their leases, and what is on record of them.
 *
 * A machine is usable while its newest heartbeat shows that it hears this leader and its lease
 * runs. All that is on it is surely gone when the cloud confirms its return, or its lease ran out
 * by the longest reckoning.
 */
#include "../core_state.h"

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
	machine = calloc(1, sizeof(*machine));
	if (!machine)
		abort();
	snprintf(machine->name, sizeof(machine->name), "%s", name);
	machine->first_seen = core->now;
	machine->empty_since = core->now;
	machine->last_heard_at = -1e9;
	/* an earlier leader may have answered it, and sent it commands, until we were elected */
	machine->lease_expires_at = ws_lease_expiry(core, core->leadership.elected_at);
	machine->late_command_token =
	    core->leadership.fencing_token ? core->leadership.fencing_token - 1 : 0;
	machine->fencing_token = core->leadership.fencing_token;
	machine->fencing_token_since = core->now;
	machine->owned =
	    core->fleet.owned_determined && strcmp(name, core->fleet.last_owned_name) <= 0;
	machine->zone_index = machine->shard = -1;
	machine->invalid_name = strpbrk(name, "/#=;,") != NULL;
	HASH_ADD_STR(core->fleet.machines, name, machine);
	core->fleet.first_fit_stale = true;
	return machine;
}

/* What a machine is and where. Its attempts are counted for their jobs where it is. */
void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool spot)
{
	int zi = ws_zone_index(core, zone);

	if (strcmp(machine->type_name, type) || !machine->type) {
		snprintf(machine->type_name, sizeof(machine->type_name), "%s", type);
		machine->type = ws_machine_type_find(core, type);
		machine->type_index =
		    machine->type ? (int)(machine->type - core->catalog.types) : 0;
	}
	if (zi != machine->zone_index || strcmp(machine->zone, zone)) {
		for (struct ws_attempt *attempt = machine->attempts; attempt;
		     attempt = attempt->machine_next) {
			if (!attempt->job || attempt->state == WS_ATTEMPT_GONE)
				continue;
			if (machine->zone_index >= 0)
				attempt->job->attempts_by_zone[machine->zone_index]--;
			if (zi >= 0)
				attempt->job->attempts_by_zone[zi]++;
		}
		machine->zone_index = zi;
		snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	}
	if (machine->preemptible != spot)
		core->fleet.first_fit_stale = true;
	machine->preemptible = spot;
}

/*
 * Machines a record holds: an entry takes less than this many bytes, its images what is left. Not
 * more than the version before gangs had at 16 KiB, which would cut a longer one short.
 */
int ws_shard_capacity(const struct ws_core *core)
{
	int n = (int)(core->settings->value_kb * 1024 / 112);

	return n < 1 ? 1 : n > 85 ? 85 : n;
}

struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index)
{
	if (index >= core->fleet.shard_count) {
		core->fleet.shards =
		    realloc(core->fleet.shards, (size_t)(index + 1) * sizeof(*core->fleet.shards));
		if (!core->fleet.shards)
			abort();
		memset(core->fleet.shards + core->fleet.shard_count, 0,
		       (size_t)(index + 1 - core->fleet.shard_count) * sizeof(*core->fleet.shards));
		core->fleet.shard_count = index + 1;
	}
	return &core->fleet.shards[index];
}

void ws_shard_mark_dirty(struct ws_core *core, int index)
{
	struct ws_machine_shard *shard = ws_shard_at(core, index);

	if (!shard->dirty)
		shard->dirty_since = core->now;
	shard->dirty = true;
}

/* The record of where machines are is to be written: it serves the next leader for greeting. */
void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine)
{
	int i;

	if (machine->shard < 0) {
		for (i = 0; i < core->fleet.shard_count &&
			    core->fleet.shards[i].machine_count >= ws_shard_capacity(core);
		     i++)
			;
		machine->shard = i;
		ws_shard_at(core, i)->machine_count++;
	}
	ws_shard_mark_dirty(core, machine->shard);
}

/*
 * A report that arrives is no proof that its sender hears us: answers may be cut while reports are
 * not, and a heartbeat may be a late copy. The token that we gave it, in its own word, is proof; it
 * is raised whenever a lease ran out or a command got no answer.
 */
bool ws_machine_echoes_token(const struct ws_machine *machine)
{
	return machine->reported && machine->echoed_token >= machine->fencing_token;
}

/* Longer ago than a heartbeat interval with its quarter, and some more. */
bool ws_heartbeat_overdue(const struct ws_core *core, double since)
{
	return core->now - since > 1.3 * core->settings->report_s;
}

void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known)
{
	if (machine->fencing_token <= known) {
		machine->fencing_token = known + 1;
		machine->fencing_token_since = core->now;
		machine->next_probe_at = 0;
	}
}

/*
 * Only answers to heartbeats renew a lease. A machine that can't reach us loses all that is placed
 * on it, however well commands reach it; it is given a while to find a new leader, or us when it is
 * up.
 */
static bool ws_machine_heartbeats_arrive(const struct ws_core *core,
					 const struct ws_machine *machine)
{
	return core->now - fmax(machine->last_heartbeat_at,
				fmax(machine->up_at, core->leadership.elected_at)) <
	       3 * core->settings->report_s;
}

bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine)
{
	return ws_machine_echoes_token(machine) && !machine->unreachable &&
	       !machine->invalid_name && !machine->quarantined_running && machine->reported &&
	       machine->type && !machine->gone && !machine->scale_in_requested &&
	       !machine->failed && machine->incarnation &&
	       core->now - machine->last_heard_at < 3 * core->settings->report_s &&
	       ws_machine_heartbeats_arrive(core, machine) &&
	       core->now < machine->lease_expires_at && core->now >= machine->quarantine_until &&
	       core->now >= machine->refused_until && !machine->preemption_noticed;
}

/* The machine and all on it are surely gone, or its lease is. */
static void ws_machine_release_attempts(struct ws_core *core, struct ws_machine *machine,
					enum ws_reconciliation_result kind)
{
	for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
	     attempt = next_attempt) {
		next_attempt = attempt->machine_next;
		ws_attempt_reconcile(core, attempt, kind);
		ws_attempt_release(core, attempt);
	}
}

void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason)
{
	if (machine->gone)
		return;
	ws_log(core, WS_LOG_INFO, "machine %s is gone: %s", machine->name, reason);
	machine->gone = true;
	ws_subsystems_lost(core, machine, WS_LOSS_RETURNED);
	ws_tombstone_set(&core->fleet.returned_machines, machine->name,
			 core->now + core->settings->lease_s + 4 * core->settings->list_lag_s);
	ws_machine_release_attempts(core, machine, WS_RECONCILED_MACHINE_GONE);
	core->autoscaler.instances_stale = true;
	if (machine->shard >= 0)
		ws_shard_mark_dirty(core, machine->shard);
}

bool ws_machine_is_returned(const struct ws_core *core, const char *name)
{
	return ws_tombstone_is_set(core, &core->fleet.returned_machines, name);
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

/* One line of the cloud's list. */
void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance)
{
	struct ws_machine *machine = ws_machine_find(core, instance->name);

	/* a list as old as its lag still names what was returned: not a machine that boots */
	if (ws_tombstone_is_set(core, &core->fleet.returned_machines, instance->name))
		return;
	if (!machine) {
		machine = ws_machine_find_or_add(core, instance->name);
		machine->first_seen = core->now - instance->age_s;
		if (!machine->owned)
			ws_log(core, WS_LOG_INFO, "machine %s found in the cloud's list",
			       machine->name);
	}
	machine->in_instance_list = true;
	if (!machine->listed_running_at && instance->phase == WS_INSTANCE_RUNNING)
		machine->listed_running_at = core->now;
	if (!machine->reported) {
		/* on record by its scale-out request alone: only the list tells since when it boots
		 */
		machine->first_seen = fmin(machine->first_seen, core->now - instance->age_s);
		ws_machine_set_kind(core, machine, instance->type, instance->zone,
				    instance->preemptible);
		if (!machine->port && instance->port) {
			snprintf(machine->address, sizeof(machine->address), "%s",
				 instance->address);
			machine->port = instance->port;
		}
	}
	if (instance->phase == WS_INSTANCE_FAILED && !machine->failed && !machine->gone &&
	    core->now > machine->last_heard_at + core->settings->report_s) {
		machine->failed = true;
		ws_subsystems_lost(core, machine, WS_LOSS_FAILED);
		ws_log(core, WS_LOG_INFO, "machine %s failed, says the cloud", machine->name);
		ws_machine_release_attempts(core, machine, WS_RECONCILED_MACHINE_GONE);
	}
}

/* All machines are looked at so often: a fraction of what they are given time for. */
double ws_sweep_interval(const struct ws_core *core)
{
	return fmin(core->settings->report_s / 20, core->settings->lease_s / 160);
}

/*
 * Replicas and what can save move when their machine is about to be taken. A gang saves only if
 * all of it is told at once and has the time; else it goes on and falls back to its checkpoint.
 */
static bool ws_attempt_drains_on_notice(const struct ws_core *core,
					const struct ws_attempt *attempt)
{
	const struct ws_job_spec *spec = &attempt->job->spec;

	if (spec->gang)
		return spec->checkpoint_s > 0 &&
		       core->now + spec->save_s < attempt->machine->preempted_at &&
		       ws_gang_is_reachable(core, attempt->job);
	return spec->service || spec->checkpoint_s > 0;
}

void ws_fleet_tick(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;

	if (core->now < core->fleet.next_sweep_at)
		return;
	core->fleet.next_sweep_at = core->now + ws_sweep_interval(core);
	if (ws_is_entitled(core) && !core->leadership.in_outage)
		ws_fleet_send_probes(core);
	ws_tombstones_clear(core, &core->fleet.returned_machines, false);
	ws_tombstones_clear(core, &core->jobs.archived, false);
	ws_tombstones_clear(core, &core->jobs.orphaned_continuations, false);
	HASH_ITER (hh, core->fleet.machines, machine, next_machine) {
		core->fleet.sweep_steps++;
		if (machine->gone) {
			if (!machine->attempts)
				ws_machine_remove(core, machine);
			continue;
		}
		if (machine->attempt_count && core->now > machine->lease_expires_at &&
		    machine->incarnation) {
			ws_log(core, WS_LOG_INFO, "machine %s: its lease has surely run out",
			       machine->name);
			machine->least_incarnation = machine->incarnation + 1;
			ws_subsystems_lost(core, machine, WS_LOSS_LEASE);
			ws_machine_release_attempts(core, machine, WS_RECONCILED_LEASE_EXPIRED);
		}
		if (machine->preemption_noticed &&
		    core->now < machine->preempted_at + core->settings->lease_s) {
			/* replicas move on notice; arrays that can't save run on while they can */
			bool any = false;

			for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
			     attempt = next_attempt) {
				next_attempt = attempt->machine_next;
				if (attempt->state != WS_ATTEMPT_GONE && !attempt->stopping &&
				    !attempt->unrecorded && attempt->job &&
				    ws_attempt_drains_on_notice(core, attempt)) {
					ws_task_stop(core, attempt, "spot notice");
					any = true;
				}
			}
			if (any)
				ws_machine_send_commands(core, machine);
		}
	}
}

void ws_fleet_clear(struct ws_core *core)
{
	struct ws_fleet *fleet = &core->fleet;
	struct ws_machine *machine = fleet->machines, *next;

	HASH_CLEAR(hh, fleet->machines);
	for (; machine; machine = next) {
		next = machine->hh.next;
		for (struct ws_attempt *attempt = machine->attempts, *following; attempt;
		     attempt = following) {
			following = attempt->machine_next;
			free(attempt);
		}
		free(machine);
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
	ws_quarantine_clear(core);
}
