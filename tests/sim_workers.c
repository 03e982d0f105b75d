/* Simulated workers: heartbeats, direct commands and leases. */
#include "sim_workers.h"
#include "sim_message_sizes.h"
#include "sim_nodes.h"
#include "sim_subsystems.h"

#define WORKER_PORT 9000
#define ADDRESSES_PER_NETWORK 250
#define HEARTBEAT_AFTER_CHANGE_S 0.5
#define HEARTBEAT_AFTER_REDIRECT_S 0.2
#define HEARTBEAT_RETRY_S 1
#define HEARTBEAT_TIMEOUT_S 4

void sim_worker_expedite_heartbeat(struct sim_worker *worker, double now)
{
	worker->next_heartbeat_at = fmin(worker->next_heartbeat_at, now + HEARTBEAT_AFTER_CHANGE_S);
}

bool sim_worker_is_live(const struct sim *sim, const struct sim_worker *worker)
{
	return worker->is_up && !worker->failed && !worker->deleted &&
	       sim->now >= worker->hang_until;
}

bool sim_is_partitioned(const struct sim *sim, const struct sim_worker *worker,
			const struct sim_node *node)
{
	return sim->now < worker->partitioned_until || sim->now < node->workers_partitioned_until ||
	       sim->now < node->frozen_until ||
	       (sim->now < sim->zones_partitioned_until &&
		strcmp(node->settings.zone, worker->zone) != 0) ||
	       (sim->now < worker->pinned_until && node != &sim->nodes[worker->pinned_node - 1]);
}

/* ---- heartbeats ---- */

int sim_worker_by_address(const char *address)
{
	int network = 0, number = 0;

	sscanf(address, "10.1.%d.%d", &network, &number);
	return network * ADDRESSES_PER_NETWORK + number - 1;
}

static void add_task_statuses(const struct sim *sim, const struct sim_worker *worker,
			      struct ws_heartbeat *heartbeat)
{
	int times = sim->heartbeats_list_tasks_twice ? 2 : 1;

	heartbeat->tasks = calloc(2 * (size_t)worker->task_count + 1, sizeof(*heartbeat->tasks));
	for (int i = 0; i < worker->task_count * times; i++) {
		const struct sim_task *task = &worker->tasks[i % worker->task_count];
		struct ws_task_status *status = &heartbeat->tasks[heartbeat->task_count++];

		snprintf(status->job, sizeof(status->job), "%s", task->job);
		status->task = task->task;
		status->attempt = task->attempt;
		status->state = task->state;
		status->exit_reason = task->exit_reason;
	}
}

void sim_worker_build_heartbeat(const struct sim *sim, struct sim_worker *worker,
				struct ws_heartbeat *heartbeat)
{
	int index = (int)(worker - sim->workers);
	bool has_notice =
	    worker->preemption_notice_at > 0 && sim->now >= worker->preemption_notice_at;

	memset(heartbeat, 0, sizeof(*heartbeat));
	snprintf(heartbeat->machine, sizeof(heartbeat->machine), "%s", worker->name);
	snprintf(heartbeat->address, sizeof(heartbeat->address), "10.1.%d.%d",
		 index / ADDRESSES_PER_NETWORK, index % ADDRESSES_PER_NETWORK + 1);
	heartbeat->port = WORKER_PORT;
	snprintf(heartbeat->type, sizeof(heartbeat->type), "%s", sim->types[worker->type].name);
	snprintf(heartbeat->zone, sizeof(heartbeat->zone), "%s", worker->zone);
	heartbeat->preemptible = worker->preemptible;
	heartbeat->incarnation = worker->incarnation;
	heartbeat->sequence = ++worker->sequence;
	heartbeat->fencing_token = worker->fencing_token;
	heartbeat->preemption_notice_s = has_notice ? worker->preempted_at - sim->now : -1;
	add_task_statuses(sim, worker, heartbeat);
}

static void count_exited(struct sim *sim, const struct ws_heartbeat *heartbeat)
{
	size_t exited = 0;

	for (size_t i = 0; i < heartbeat->task_count; i++)
		exited += heartbeat->tasks[i].state == WS_TASK_EXITED;
	if (exited > sim->most_exited_in_report)
		sim->most_exited_in_report = exited;
}

/* Gives up on the pending heartbeat; the next one is sent to the next node. */
static void try_next_node(const struct sim *sim, struct sim_worker *worker)
{
	worker->heartbeat_pending = false;
	worker->node = (worker->node + 1) % sim->node_count;
	worker->next_heartbeat_at = sim->now + HEARTBEAT_RETRY_S;
}

/*
 * Holds a heartbeat back until the last partition between machine and node has ended. Takes
 * ownership of the heartbeat's tasks.
 */
static void delay_heartbeat(struct sim *sim, const struct sim_worker *worker,
			    const struct sim_node *node, const struct ws_heartbeat *heartbeat)
{
	double machine_until = fmax(worker->partitioned_until, worker->pinned_until);
	double node_until = fmax(node->workers_partitioned_until, node->frozen_until);
	struct sim_delayed_heartbeat *delayed = calloc(1, sizeof(*delayed));
	struct sim_delayed_heartbeat **link = &sim->delayed_heartbeats;

	delayed->due_at =
	    fmax(fmax(machine_until, node_until), sim->zones_partitioned_until) + SIM_STEP_S;
	delayed->node = worker->node;
	delayed->heartbeat = *heartbeat;
	while (*link) /* delivered in the order of sending */
		link = &(*link)->next;
	*link = delayed;
}

/*
 * Schedules a second delivery of a heartbeat: later at a random node, or at all nodes when a new
 * leader takes over.
 */
static void duplicate_heartbeat(struct sim *sim, const struct ws_heartbeat *heartbeat)
{
	struct sim_delayed_heartbeat *delayed = calloc(1, sizeof(*delayed));
	struct sim_delayed_heartbeat **link = &sim->delayed_heartbeats;

	delayed->due_at = sim->now + sim->duplicates_max_s * (0.2 + 0.8 * sim_random(sim));
	delayed->node = (int)(sim_random(sim) * sim->node_count);
	if (sim->duplicates_for_next_leader) {
		delayed->due_at = INFINITY;
		delayed->node = -1;
	}
	delayed->heartbeat = *heartbeat;
	delayed->heartbeat.tasks = calloc(heartbeat->task_count + 1, sizeof(*heartbeat->tasks));
	memcpy(delayed->heartbeat.tasks, heartbeat->tasks,
	       heartbeat->task_count * sizeof(*heartbeat->tasks));
	while (*link && (*link)->due_at <= delayed->due_at)
		link = &(*link)->next;
	delayed->next = *link;
	*link = delayed;
}

static void send_heartbeat(struct sim *sim, struct sim_worker *worker)
{
	struct sim_node *node = &sim->nodes[worker->node];
	struct ws_heartbeat heartbeat;

	worker->heartbeat_sent_at = sim->now;
	sim->heartbeats++;
	worker->heartbeat_pending = true;
	sim_worker_build_heartbeat(sim, worker, &heartbeat);
	count_exited(sim, &heartbeat);
	worker->next_heartbeat_at = sim->now + sim->heartbeat_s * (0.75 + 0.5 * sim_random(sim));
	worker->heartbeat_id = (++sim->last_request_id << SIM_REQUEST_ID_SHIFT) |
			       (uint64_t)(worker - sim->workers) | SIM_ID_HEARTBEAT;
	if (sim_report_is_too_large(&heartbeat)) {
		if (!sim->drops_oversize_messages)
			sim_fail(sim, "message size: the report of %s with %zu tasks", worker->name,
				 heartbeat.task_count);
		free(heartbeat.tasks);
		try_next_node(sim, worker);
		return;
	}
	if (sim_is_partitioned(sim, worker, node)) {
		delay_heartbeat(sim, worker, node, &heartbeat);
		return;
	}
	if (!node->is_up || sim->now < worker->outbound_blocked_until) {
		try_next_node(sim, worker);
	} else {
		if (sim->duplicates_max_s > 0 && sim->now < sim->duplicates_until &&
		    sim_random(sim) < sim->duplicates_share)
			duplicate_heartbeat(sim, &heartbeat);
		node->version->heartbeat(node->core, sim_node_time(sim, node), worker->heartbeat_id,
					 &heartbeat, false);
	}
	free(heartbeat.tasks);
}

/* Returns whether a new leader has taken over since the last call that returned true. */
static bool has_new_leader(struct sim *sim)
{
	struct sim_entry *entry;
	const char *leader;

	HASH_FIND_STR(sim->entries, "leader", entry);
	if (!entry || entry->revision == sim->last_leader_revision)
		return false;
	leader = ws_leader_record_node(entry->value);
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];

		if (strcmp(node->settings.node, leader) != 0 || !node->is_up ||
		    !node->version->is_leader(node->core))
			continue;
		sim->last_leader_revision = entry->revision;
		return true;
	}
	return false;
}

/* Delivers a delayed heartbeat. Its sender has timed out, so that the answer is dropped. */
static void deliver_heartbeat(struct sim *sim, const struct sim_delayed_heartbeat *delayed)
{
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];

		if (node->is_up && (delayed->node == i || delayed->node < 0))
			node->version->heartbeat(node->core, sim_node_time(sim, node),
						 SIM_ID_DELAYED_HEARTBEAT, &delayed->heartbeat,
						 false);
	}
}

static void free_delayed_heartbeat(struct sim_delayed_heartbeat *delayed)
{
	free(delayed->heartbeat.tasks);
	free(delayed);
}

void sim_workers_deliver_delayed_heartbeats(struct sim *sim)
{
	bool new_leader = has_new_leader(sim);
	struct sim_delayed_heartbeat **link = &sim->delayed_heartbeats, *delayed;

	while ((delayed = *link)) {
		if (delayed->node < 0 ? !new_leader : delayed->due_at > sim->now) {
			link = &delayed->next;
			continue;
		}
		*link = delayed->next;
		deliver_heartbeat(sim, delayed);
		free_delayed_heartbeat(delayed);
	}
}

/* ---- answers and commands ---- */

enum ws_outcome sim_worker_deliver_commands(struct sim *sim, struct sim_worker *worker,
					    uint64_t fencing_token, uint64_t incarnation,
					    const struct ws_command *commands, size_t count,
					    struct ws_heartbeat *heartbeat)
{
	enum ws_outcome outcome = WS_OUTCOME_OK;

	if (fencing_token < worker->fencing_token || incarnation != worker->incarnation) {
		outcome = WS_OUTCOME_CONFLICT;
	} else {
		if (fencing_token > worker->fencing_token) {
			worker->fencing_token = fencing_token;
			sim_worker_expedite_heartbeat(worker, sim->now);
		}
		sim_worker_execute_commands(sim, worker, commands, count);
	}
	if (heartbeat)
		sim_worker_build_heartbeat(sim, worker, heartbeat);
	return outcome;
}

/* Handles the leader's answer to a heartbeat, which renews the lease. */
static void handle_leader_answer(struct sim *sim, struct sim_worker *worker,
				 const struct ws_effect *answer)
{
	if (answer->heartbeat.fencing_token < worker->fencing_token)
		return;
	if (answer->heartbeat.fencing_token > worker->fencing_token) {
		worker->fencing_token = answer->heartbeat.fencing_token;
		sim_worker_expedite_heartbeat(worker, sim->now);
	}
	worker->lease_renewed_at = worker->heartbeat_sent_at;
	if (worker->reconnected_at <= sim->stop.stopped_at)
		worker->reconnected_at = sim->now;
	sim_worker_execute_commands(sim, worker, answer->heartbeat.commands,
				    answer->heartbeat.command_count);
}

/*
 * Switches the worker to the node that was named as the leader. Returns false if no other node has
 * that name.
 */
static bool follow_redirect(const struct sim *sim, struct sim_worker *worker, const char *leader)
{
	for (int i = 0; i < sim->node_count; i++) {
		if (strcmp(sim->nodes[i].settings.node, leader) != 0 || i == worker->node)
			continue;
		worker->node = i;
		worker->next_heartbeat_at = sim->now + HEARTBEAT_AFTER_REDIRECT_S;
		return true;
	}
	return false;
}

void sim_worker_send_answer(struct sim *sim, const struct ws_effect *effect)
{
	if (!sim_slow_answer_add(sim, effect))
		sim_worker_receive_answer(sim, effect);
}

void sim_worker_receive_answer(struct sim *sim, const struct ws_effect *effect)
{
	struct sim_worker *worker = &sim->workers[effect->request_id & (SIM_WORKERS - 1)];

	if (effect->request_id & SIM_ID_DELAYED_HEARTBEAT ||
	    effect->request_id != worker->heartbeat_id || !worker->heartbeat_pending ||
	    !sim_worker_is_live(sim, worker) || sim->now < worker->inbound_blocked_until ||
	    sim_is_partitioned(sim, worker, &sim->nodes[worker->node]))
		return;
	worker->heartbeat_pending = false;
	if (effect->answer == WS_ANSWER_OK)
		handle_leader_answer(sim, worker, effect);
	else if (effect->answer != WS_ANSWER_OTHER_LEADER || !effect->heartbeat.leader[0] ||
		 !follow_redirect(sim, worker, effect->heartbeat.leader))
		try_next_node(sim, worker);
}

/* ---- simulation steps ---- */

static void boot_step(struct sim *sim, struct sim_worker *worker)
{
	if (worker->never_boots || sim->now < worker->boots_at)
		return;
	worker->is_up = true;
	worker->incarnation = 1;
	worker->lease_renewed_at = sim->now;
	worker->next_heartbeat_at = sim->now;
	worker->node = (int)(sim_random(sim) * sim->node_count);
}

/*
 * When its lease has expired, a worker kills its tasks and continues with a new incarnation. While
 * its machine hangs the tasks are removed as well, but the incarnation changes only afterwards.
 */
static void lease_step(struct sim *sim, struct sim_worker *worker)
{
	if (sim->now - worker->lease_renewed_at <= sim->lease_s)
		return;
	sim_cold_start_tasks_killed(sim, worker);
	worker->task_count = 0;
	if (sim->now < worker->hang_until)
		return;
	worker->incarnation++;
	worker->lease_renewed_at = sim->now;
	worker->next_heartbeat_at = sim->now;
	worker->heartbeat_pending = false;
}

static void heartbeat_step(struct sim *sim, struct sim_worker *worker)
{
	if (worker->heartbeat_pending && sim->now - worker->heartbeat_sent_at > HEARTBEAT_TIMEOUT_S)
		try_next_node(sim, worker);
	if (!worker->heartbeat_pending && sim->now >= worker->next_heartbeat_at)
		send_heartbeat(sim, worker);
}

void sim_worker_step(struct sim *sim, struct sim_worker *worker)
{
	if (worker->deleted || worker->failed)
		return;
	if (!worker->is_up) {
		boot_step(sim, worker);
		return;
	}
	if (worker->preempted_at > 0 && sim->now >= worker->preempted_at) {
		worker->deleted = true;
		worker->deleted_at = sim->now;
		return;
	}
	lease_step(sim, worker);
	if (sim->now < worker->hang_until)
		return;
	sim_worker_tasks_step(sim, worker);
	heartbeat_step(sim, worker);
}

void sim_workers_free(struct sim *sim)
{
	sim_slow_answers_free(sim);
	while (sim->delayed_heartbeats) {
		struct sim_delayed_heartbeat *delayed = sim->delayed_heartbeats;

		sim->delayed_heartbeats = delayed->next;
		free_delayed_heartbeat(delayed);
	}
	for (int i = 0; i < sim->worker_count; i++)
		free(sim->workers[i].tasks);
	free(sim->workers);
}
