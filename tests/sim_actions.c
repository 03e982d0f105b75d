/* Timed actions: faults of nodes, store and cloud; and the execution of all actions. */
#include "sim_nodes.h"
#include "sim_store.h"
#include "sim_subsystems.h"
#include "sim_users.h"
#include "sim_workers.h"

#define DEFAULT_DURATION_S 5

/* ---- nodes ---- */

/* Returns the node that an action names. Fails and returns NULL for "leader" if no node leads. */
static struct sim_node *named_node(struct sim *sim, const struct sim_action *action)
{
	int index = sim_node_index(sim, action->operand);

	if (index < 0) {
		sim_fail(sim, "no node leads");
		return NULL;
	}
	return &sim->nodes[index];
}

/* crash NODE|leader|all [for=S] */
static void run_crash(struct sim *sim, const struct sim_action *action)
{
	bool all = !strcmp(action->operand, "all");

	if (all)
		sim_cold_start_controllers_stopped(sim);
	/* "leader" is resolved each time: after the first crash, a second node may claim to lead */
	for (int i = 0; i < sim->node_count; i++)
		if (all || i == sim_node_index(sim, action->operand))
			sim_node_crash(sim, i, action->duration_s);
}

/* upgrade NODE|leader [for=S]: stops the node and restarts it with the present version */
static void run_upgrade(struct sim *sim, const struct sim_action *action)
{
	const struct sim_node *node = named_node(sim, action);

	if (!node)
		return;
	sim_node_crash(sim, (int)(node - sim->nodes), action->duration_s);
	sim_node_upgrade(sim, (int)(node - sim->nodes));
}

/* resign NODE|leader */
static void run_resign(struct sim *sim, const struct sim_action *action)
{
	int index = sim_node_index(sim, action->operand);
	struct sim_node *node = &sim->nodes[index < 0 ? 0 : index];

	if (index >= 0)
		node->version->resign(node->core, sim_node_time(sim, node));
}

/* partition NODE|leader [all] [store] [workers] [peers] [for=S]: partitions the node from these */
static void run_partition(struct sim *sim, const struct sim_action *action)
{
	struct sim_node *node = named_node(sim, action);
	bool all = sim_flag(action->text, "all");

	if (!node)
		return;
	if (all || sim_flag(action->text, "store"))
		node->store_partitioned_until = sim->now + action->duration_s;
	if (all || sim_flag(action->text, "workers"))
		node->workers_partitioned_until = sim->now + action->duration_s;
	if (all || sim_flag(action->text, "peers"))
		node->peers_partitioned_until = sim->now + action->duration_s;
}

/* store-errors NODE|leader [for=S]: the store rejects calls of the node with errors */
static void run_store_errors(struct sim *sim, const struct sim_action *action)
{
	struct sim_node *node = named_node(sim, action);

	if (node)
		node->store_errors_until = sim->now + action->duration_s;
}

/*
 * votes-without-lease-count NODE: the node's outage votes lack the field counts_leases, as those of
 * the version before it
 */
static void run_votes_without_lease_count(struct sim *sim, const struct sim_action *action)
{
	struct sim_node *node = named_node(sim, action);

	if (node)
		node->votes_without_lease_count = true;
}

/*
 * stall-watches NODE|leader [for=S]: watches of the node receive nothing; other store calls are
 * served
 */
static void run_stall_watches(struct sim *sim, const struct sim_action *action)
{
	struct sim_node *node = named_node(sim, action);

	if (node)
		node->watches_stalled_until = sim->now + action->duration_s;
}

/* freeze NODE|leader [for=S]: suspends the node; messages to it are delayed */
static void run_freeze(struct sim *sim, const struct sim_action *action)
{
	struct sim_node *node = named_node(sim, action);

	if (node)
		node->frozen_until = sim->now + action->duration_s;
}

/*
 * crash-on-call transaction|commands|scale-out|scale-in [after] [skip=N] [for=S]: crashes the
 * leader before or after a call of this kind is executed
 */
static void run_crash_on_call(struct sim *sim, const struct sim_action *action)
{
	if (!strcmp(action->operand, "transaction"))
		sim->crash_kind = WS_CALL_TRANSACTION;
	else if (!strcmp(action->operand, "commands"))
		sim->crash_kind = WS_CALL_COMMANDS;
	else if (!strcmp(action->operand, "scale-out"))
		sim->crash_kind = WS_CALL_SCALE_OUT;
	else
		sim->crash_kind = WS_CALL_SCALE_IN;
	sim->crash = sim_flag(action->text, "after") ? SIM_CRASH_AFTER : SIM_CRASH_BEFORE;
	sim->crash_skip = (int)sim_option(action->text, "skip", 0);
	sim->crash_down_s = action->duration_s;
}

/* ---- store and cloud ---- */

/* store-outage [for=S] */
static void run_store_outage(struct sim *sim, const struct sim_action *action)
{
	sim->store_down_until = sim->now + action->duration_s;
}

/* slow-store MAX_S [for=S]: delays calls to the store */
static void run_slow_store(struct sim *sim, const struct sim_action *action)
{
	sim->store_slow_until = sim->now + action->duration_s;
	sim->store_slow_max_s = atof(action->operand);
}

/* delay-watches MAX_S [for=S]: delays answers to watches that stay open */
static void run_delay_watches(struct sim *sim, const struct sim_action *action)
{
	sim->slow_watches_until = sim->now + action->duration_s;
	sim->slow_watches_max_s = atof(action->operand);
}

/*
 * time-out-writes SHARE [for=S] [max=S] [at-once]: this fraction of writes times out, and is
 * executed later, or at once
 */
static void run_time_out_writes(struct sim *sim, const struct sim_action *action)
{
	sim->timed_out_writes_until = sim->now + action->duration_s;
	sim->timed_out_writes_share = atof(action->operand);
	sim->timed_out_writes_max_s = sim_option(action->text, "max", 12);
	sim->timed_out_writes_at_once = sim_flag(action->text, "at-once");
}

/* lower-limits [KIB] [ops=N]: applies the upcoming limits of the settings, or these instead */
static void run_lower_limits(struct sim *sim, const struct sim_action *action)
{
	sim->limits_lowered = true;
	if (action->operand[0]) {
		sim->upcoming_value_kb = atof(action->operand);
		sim->upcoming_txn_ops = (int)sim_option(action->text, "ops", 12);
	}
	sim->value_kb = sim->upcoming_value_kb;
	sim->txn_ops = sim->upcoming_txn_ops;
}

/* corrupt-record KEY: overwrites a record with an unreadable value */
static void run_corrupt_record(struct sim *sim, const struct sim_action *action)
{
	json_t *value = json_pack("{s:i}", "x", 1);

	sim->revision++;
	sim_store_write(sim, action->operand, value, 0);
	json_decref(value);
}

/* cloud-outage [for=S] */
static void run_cloud_outage(struct sim *sim, const struct sim_action *action)
{
	sim->cloud_down_until = sim->now + action->duration_s;
}

/* ---- execution of actions ---- */

static void defer_action(struct sim *sim, const struct sim_action *action, enum sim_event event)
{
	struct sim_deferred_action *deferred = &sim->deferred_actions[sim->deferred_action_count];

	if (sim->deferred_action_count == SIM_DEFERRED_ACTIONS) {
		sim_fail(sim, "more than %d deferred actions", SIM_DEFERRED_ACTIONS);
		return;
	}
	sim->deferred_action_count++;
	deferred->event = event;
	deferred->delay_s = atof(action->operand);
	snprintf(deferred->text, sizeof(deferred->text), "%s", action->rest);
}

/* after-scale-in SECONDS ACTION ...: runs the action this long after the first scale-in */
static void run_after_scale_in(struct sim *sim, const struct sim_action *action)
{
	defer_action(sim, action, SIM_EVENT_SCALE_IN);
}

/*
 * after-leader-key-expired SECONDS ACTION ...: runs the action this long after the leader key is
 * first removed from the store because its session was not renewed
 */
static void run_after_leader_key_expired(struct sim *sim, const struct sim_action *action)
{
	defer_action(sim, action, SIM_EVENT_LEADER_KEY_EXPIRED);
}

static const struct sim_action_word cluster_actions[] = {
    {"after-leader-key-expired", run_after_leader_key_expired},
    {"after-scale-in", run_after_scale_in},
    {"cloud-outage", run_cloud_outage},
    {"corrupt-record", run_corrupt_record},
    {"crash", run_crash},
    {"crash-on-call", run_crash_on_call},
    {"delay-watches", run_delay_watches},
    {"freeze", run_freeze},
    {"lower-limits", run_lower_limits},
    {"partition", run_partition},
    {"resign", run_resign},
    {"slow-store", run_slow_store},
    {"stall-watches", run_stall_watches},
    {"store-errors", run_store_errors},
    {"store-outage", run_store_outage},
    {"time-out-writes", run_time_out_writes},
    {"upgrade", run_upgrade},
    {"votes-without-lease-count", run_votes_without_lease_count},
    {NULL, NULL},
};

static const struct sim_action_word *find_action_word(const char *word)
{
	static const struct sim_action_word *const tables[] = {
	    cluster_actions,	sim_user_actions,	sim_message_actions, sim_machine_actions,
	    sim_leader_actions, sim_cold_start_actions, sim_domains_actions};

	for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++)
		for (const struct sim_action_word *entry = tables[i]; entry->word; entry++)
			if (!strcmp(entry->word, word))
				return entry;
	return NULL;
}

void sim_run_action(struct sim *sim, const struct sim_timed_line *timed_line)
{
	char text[SIM_LINE_MAX];
	struct sim_action action = {.rest = text, .text = timed_line->text};
	const struct sim_action_word *entry;

	snprintf(text, sizeof(text), "%s", timed_line->text);
	action.word = sim_next_word(&action.rest);
	if (!action.word[0])
		return;
	if (!strcmp(action.word, "expect")) {
		sim_expect(sim, action.rest);
		return;
	}
	sim_log(WS_LOG_INFO, timed_line->text);
	action.operand = sim_next_word(&action.rest);
	action.duration_s = sim_option(action.text, "for", DEFAULT_DURATION_S);
	entry = find_action_word(action.word);
	if (entry)
		entry->run(sim, &action);
	else
		sim_fail(sim, "line %d: unknown action %s", timed_line->line_number, action.word);
}
