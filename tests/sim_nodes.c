/* Controller nodes: starts, crashes and upgrades, and the execution of their cores' effects. */
#include "sim_calls.h"
#include "sim_digest.h"
#include "sim_nodes.h"
#include "sim_subsystems.h"
#include "sim_users.h"
#include "sim_workers.h"

#define STORE_REQUESTS_PER_S 250
#define STORE_WRITES_PER_S 50
#define CLOUD_REQUESTS_PER_S 2
#define CLOCK_SKEW_RATIO 0.0005 /* node-1's clock runs fast by this ratio */

double sim_node_time(const struct sim *sim, const struct sim_node *node)
{
	return sim->now * (1 + node->clock_skew);
}

/* ---- starts and crashes ---- */

static void node_start(struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];

	node->is_up = true;
	node->core =
	    node->version->create(&node->settings, &sim->policy, sim_log, sim_node_time(sim, node),
				  node->restarts * 977 + (uint64_t)index + 1);
	if (node->version == &sim_this_version && !sim_verbose)
		ws_core_set_log_level(node->core, WS_LOG_INFO); /* the level used in operation */
	sim_domains_attach(sim, node);
	sim_cold_start_attach(sim, node);
}

void sim_node_crash(struct sim *sim, int index, double down_s)
{
	struct sim_node *node = &sim->nodes[index];

	if (!node->is_up)
		return;
	sim_log(WS_LOG_INFO, "---- controller node crashes");
	node->is_up = false;
	node->restarts++;
	node->up_at = sim->now + down_s;
	node->version->destroy(node->core);
	node->core = NULL;
}

void sim_node_upgrade(struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];

	node->version = &sim_this_version;
	node->settings.value_kb = fmin(sim->value_kb, sim->upcoming_value_kb);
	node->settings.transaction_ops =
	    sim->txn_ops < sim->upcoming_txn_ops ? sim->txn_ops : sim->upcoming_txn_ops;
}

/* Sets the node's name and zone, its peers and the zones of the cluster. */
static void set_topology(const struct sim *sim, int index, struct ws_settings *settings)
{
	snprintf(settings->node, sizeof(settings->node), "node-%d", index);
	snprintf(settings->zone, sizeof(settings->zone), "%s", sim->zones[index % sim->zone_count]);
	for (int i = 0; i < sim->node_count; i++)
		if (i != index)
			snprintf(settings->peers[settings->peer_count++].node, WS_NAME_MAX,
				 "node-%d", i);
	for (int i = 0; i < sim->zone_count; i++)
		snprintf(settings->zones[settings->zone_count++], WS_NAME_MAX, "%s", sim->zones[i]);
}

static void set_limits(const struct sim *sim, struct ws_settings *settings)
{
	for (int i = 0; i < sim->team_count; i++)
		settings->teams[settings->team_count++] = sim->teams[i];
	for (int i = 0; i < sim->objective_count; i++)
		settings->objectives[settings->objective_count++] = sim->objectives[i];
	settings->heartbeat_s = sim->heartbeat_s;
	settings->lease_s = sim->lease_s;
	settings->cancel_s = sim->cancel_s;
	settings->store_rps = STORE_REQUESTS_PER_S;
	settings->store_write_rps = STORE_WRITES_PER_S;
	settings->value_kb = sim->value_kb;
	settings->transaction_ops = sim->txn_ops;
	settings->gang_wait_s = sim->gang_wait_s;
	settings->gang_peer_s = sim->gang_peer_s;
	settings->cloud_rps = CLOUD_REQUESTS_PER_S;
	settings->list_lag_s = sim->list_lag_s;
}

void sim_nodes_start(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];

		set_topology(sim, i, &node->settings);
		set_limits(sim, &node->settings);
		node->version = &sim_this_version;
		if (i < sim->production_nodes)
			node->version = sim_production_version();
		else if (sim->upcoming_value_kb > 0)
			sim_node_upgrade(sim, i);
		node->clock_skew = i == 1 ? CLOCK_SKEW_RATIO : 0;
		node_start(sim, i);
	}
}

/* ---- effects ---- */

/*
 * Returns the peer that a request is forwarded to: the one named, or the first reachable one if the
 * name is empty. Returns NULL if no such peer is reachable.
 */
static struct sim_node *forward_target(struct sim *sim, int from, const char *name)
{
	struct sim_node *target = NULL;

	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *peer = &sim->nodes[i];

		if (i == from || !peer->is_up || sim->now < peer->frozen_until ||
		    sim->now < sim->nodes[from].peers_partitioned_until ||
		    sim->now < peer->peers_partitioned_until)
			continue;
		if (name[0] ? !strcmp(name, peer->settings.node) : !target)
			target = peer;
	}
	return target;
}

static void forward_heartbeat(struct sim *sim, struct sim_node *target, uint64_t request_id)
{
	struct sim_worker *worker = &sim->workers[request_id & (SIM_WORKERS - 1)];
	struct ws_heartbeat heartbeat;

	if (request_id != worker->heartbeat_id)
		return;
	sim_worker_build_heartbeat(sim, worker, &heartbeat);
	target->version->heartbeat(target->core, sim_node_time(sim, target), request_id, &heartbeat,
				   true);
	free(heartbeat.tasks);
}

static void forward(struct sim *sim, int from, const struct ws_effect *effect)
{
	struct sim_node *target = forward_target(sim, from, effect->forward.leader);
	bool is_heartbeat = effect->request_id & SIM_ID_HEARTBEAT;
	int kind;

	if (!target) {
		struct ws_effect unavailable = {.kind = WS_EFFECT_ANSWER_HEARTBEAT,
						.request_id = effect->request_id,
						.answer = WS_ANSWER_UNAVAILABLE};

		if (is_heartbeat) {
			sim_worker_send_answer(sim, &unavailable);
			return;
		}
		unavailable.kind = WS_EFFECT_ANSWER_USER;
		unavailable.user.retry_after_s = 1;
		sim_user_receive_answer(sim, &unavailable);
		return;
	}
	if (is_heartbeat) {
		forward_heartbeat(sim, target, effect->request_id);
		return;
	}
	kind = sim_user_pending_kind(sim, effect->request_id);
	if (kind)
		sim_user_send_request(sim, (int)(target - sim->nodes),
				      &sim->jobs[effect->request_id & (SIM_JOBS - 1)], kind,
				      effect->request_id, true);
}

static void execute_effect(struct sim *sim, int index, struct ws_effect *effect)
{
	switch (effect->kind) {
	case WS_EFFECT_CALL: sim_call_start(sim, index, effect->call); break;
	case WS_EFFECT_ANSWER_USER: sim_user_receive_answer(sim, effect); break;
	case WS_EFFECT_ANSWER_HEARTBEAT: sim_worker_send_answer(sim, effect); break;
	case WS_EFFECT_FORWARD: forward(sim, index, effect); break;
	case WS_EFFECT_ANSWER_VOTE: sim_call_deliver_vote(sim, &sim->nodes[index], effect); break;
	}
}

static void node_drain(struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];
	struct ws_effect *effect;

	while (node->is_up && sim->now >= node->frozen_until &&
	       (effect = node->version->next_effect(node->core))) {
		sim_digest_add(sim, index, effect);
		execute_effect(sim, index, effect);
		node->version->free_effect(effect);
	}
}

void sim_nodes_drain(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		node_drain(sim, i);
}

void sim_nodes_step(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];

		if (!node->is_up && sim->now >= node->up_at)
			node_start(sim, i);
		if (sim->now < node->frozen_until)
			continue;
		if (node->is_up)
			node->version->tick(node->core, sim_node_time(sim, node));
		node_drain(sim, i);
	}
}

void sim_nodes_free(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].core)
			sim->nodes[i].version->destroy(sim->nodes[i].core);
}
