/*
 * Consolidates service replicas. While no task is waiting, a rented machine that runs only service
 * replicas is drained to owned machines with capacity, one replica at a time. Otherwise the rented
 * machine would be paid for as long as the services run.
 */
#include "pass.h"

/* Heartbeat intervals that the image fetch on the new machine may take, since the replica is down
 * during the fetch. */
#define WS_MOVE_FETCH_HEARTBEATS 2

/* Returns true if a machine has the job's image or can fetch it within the limit. */
static bool ws_replica_moves_quickly(const struct ws_core *core, const struct ws_machine *machine,
				     const struct ws_job *job)
{
	return ws_image_is_cached(machine, job->image_index) ||
	       job->spec.image_gb <= machine->type->fetch_gb_s * WS_MOVE_FETCH_HEARTBEATS *
					 core->settings->heartbeat_s;
}

/* Returns true if an attempt is a running service replica that has run long enough for its start to
 * count. */
static bool ws_replica_is_settled(const struct ws_core *core, const struct ws_attempt *attempt)
{
	return attempt->job && attempt->job->spec.service && !attempt->stopping &&
	       !attempt->unrecorded && attempt->task_state == WS_TASK_RUNNING &&
	       attempt->running_at > 0 && core->now - attempt->running_at > WS_MIN_COUNTED_RUN_S;
}

/* Returns the first owned machine that a replica of a job can move to, or NULL. */
static struct ws_machine *ws_find_owned_machine(const struct ws_core *core,
						const struct ws_job *job,
						struct ws_machine **machines, size_t machine_count)
{
	for (size_t i = 0; i < machine_count && machines[i]->owned; i++)
		if (ws_machine_is_eligible(job, machines[i]) &&
		    ws_has_free_capacity(job, machines[i]) &&
		    ws_has_planned_capacity(job, machines[i]) &&
		    ws_zone_is_eligible(core, job, machines[i]->zone_index) &&
		    ws_replica_moves_quickly(core, machines[i], job))
			return machines[i];
	return NULL;
}

/* Returns the first owned machine that a replica can move to, or NULL. The replica itself does not
 * count against the limits on attempts in its zone. */
static struct ws_machine *ws_find_move_target(const struct ws_core *core,
					      const struct ws_attempt *replica,
					      struct ws_machine **machines, size_t machine_count)
{
	struct ws_job *job = replica->job;
	int zone = replica->machine->zone_index;
	struct ws_machine *target;

	if (zone >= 0)
		job->attempts_by_zone[zone]--;
	target = ws_find_owned_machine(core, job, machines, machine_count);
	if (zone >= 0)
		job->attempts_by_zone[zone]++;
	return target;
}

/* Returns a replica to move off a rented machine, or NULL unless every attempt on it can move. */
static struct ws_attempt *ws_find_replica_to_move(const struct ws_core *core,
						  const struct ws_machine *rented,
						  struct ws_machine **machines,
						  size_t machine_count)
{
	struct ws_attempt *replica = NULL;

	if (!rented->attempt_count)
		return NULL;
	for (struct ws_attempt *attempt = rented->attempts; attempt;
	     attempt = attempt->machine_next) {
		struct ws_machine *target;

		if (attempt->state == WS_ATTEMPT_RELEASED)
			continue;
		if (!ws_replica_is_settled(core, attempt))
			return NULL;
		target = ws_find_move_target(core, attempt, machines, machine_count);
		if (!target)
			return NULL;
		ws_planned_capacity_reserve(attempt->job, target);
		replica = attempt;
	}
	return replica;
}

void ws_consolidate(struct ws_core *core, struct ws_machine **machines, size_t machine_count)
{
	if (core->now < core->scheduler.next_consolidation_at ||
	    core->now - core->leadership.elected_at < core->settings->lease_s)
		return;
	core->scheduler.next_consolidation_at = core->now + core->settings->heartbeat_s;
	for (size_t i = machine_count; i-- > 0;) {
		struct ws_attempt *replica;

		if (machines[i]->owned)
			break; /* owned machines come first in the list */
		replica = ws_find_replica_to_move(core, machines[i], machines, machine_count);
		if (!replica)
			continue;
		ws_task_stop(core, replica, WS_STOP_CONSOLIDATION);
		ws_machine_send_commands(core, machines[i]);
		return;
	}
}
