/*
 * The invariant on tasks that no controller knows of: a task that runs on a machine which can be
 * reached is known to the leader within a lease and a heartbeat, or ends by then. The time counts
 * anew while nobody leads, or the machine cannot be reached.
 */
#include "sim_checks.h"
#include "sim_nodes.h"
#include "sim_workers.h"

/* Heartbeats come at intervals of up to this multiple of the nominal one. */
#define HEARTBEAT_SPREAD 1.25

/* `machine` is what the leader knows of the machine, NULL if nothing. */
static bool is_known(const struct ws_machine *machine, const struct sim_task *task)
{
	const struct ws_attempt *attempt = machine ? machine->attempts : NULL;

	while (attempt && (attempt->number != task->attempt || attempt->task != task->task ||
			   strcmp(attempt->job_id, task->job) != 0))
		attempt = attempt->machine_next;
	return attempt != NULL;
}

bool sim_worker_is_reachable(const struct sim *sim, const struct sim_worker *worker,
			     const struct sim_node *leader)
{
	return sim_worker_is_live(sim, worker) && !sim_is_partitioned(sim, worker, leader) &&
	       sim->now >= worker->inbound_blocked_until &&
	       sim->now >= worker->outbound_blocked_until;
}

static void check_machine(struct sim *sim, struct sim_worker *worker, const struct sim_node *leader)
{
	bool reachable = leader && sim_worker_is_reachable(sim, worker, leader);
	const struct ws_machine *machine =
	    reachable && worker->task_count ? ws_machine_find(leader->core, worker->name) : NULL;

	for (int i = 0; i < worker->task_count; i++) {
		struct sim_task *task = &worker->tasks[i];

		if (!reachable || !sim_task_started(task) || !task->known_at ||
		    is_known(machine, task))
			task->known_at = sim->now;
		else if (sim->now >
			 task->known_at + sim->lease_s + HEARTBEAT_SPREAD * sim->heartbeat_s)
			sim_fail(sim, "unknown task: %s/%u attempt %llu on %s for %.1f s",
				 task->job, task->task, (unsigned long long)task->attempt,
				 worker->name, sim->now - task->known_at);
	}
}

const struct sim_node *sim_acting_leader(struct sim *sim)
{
	int leader = sim_leader(sim);
	const struct sim_node *node = leader < 0 ? NULL : &sim->nodes[leader];

	return node && node->version == &sim_this_version && sim->now >= node->frozen_until ? node
											    : NULL;
}

void sim_check_unknown_tasks(struct sim *sim)
{
	const struct sim_node *leader = sim_acting_leader(sim);

	for (int i = 0; i < sim->worker_count; i++)
		check_machine(sim, &sim->workers[i], leader);
}
