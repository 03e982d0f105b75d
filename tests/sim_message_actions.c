/* Timed actions: faults of the network and of messages, and copies of messages. */
#include "sim_scenario.h"

#define DEFAULT_DELAY_S 5
#define REPETITION_MIN_S 0.1

/* partition-zones [for=S]: workers can reach only nodes of their own zone */
static void run_partition_zones(struct sim *sim, const struct sim_action *action)
{
	sim->zones_partitioned_until = sim->now + action->duration_s;
}

/* lose-answer scale-out|transaction|commands [times=N]: executes calls but loses their answers */
static void run_lose_answer(struct sim *sim, const struct sim_action *action)
{
	int times = (int)sim_option(action->text, "times", 1);

	if (!strcmp(action->operand, "scale-out"))
		sim->lost_scale_outs = times;
	else if (!strcmp(action->operand, "transaction"))
		sim->lost_txns = times;
	else
		sim->lost_commands = times;
}

/*
 * delay-calls transaction|commands [times=N] [delay=S]: executes calls after their senders have
 * timed out
 */
static void run_delay_calls(struct sim *sim, const struct sim_action *action)
{
	int times = (int)sim_option(action->text, "times", 1);
	double delay_s = sim_option(action->text, "delay", DEFAULT_DELAY_S);

	if (!strcmp(action->operand, "transaction")) {
		sim->delayed_txns = times;
		sim->txn_delay_s = delay_s;
	} else {
		sim->delayed_command_calls = times;
		sim->command_delay_s = delay_s;
	}
}

/*
 * repeat-calls commands|store|cloud|peers|all MAX_S [min=S] [for=S] [share=X] [copies=N]
 * [wait-until-stoppable]: this fraction of executed calls arrives again N times, each time between
 * min and MAX_S seconds later. wait-until-stoppable: a worker that has accepted no fencing token
 * since it started gets a copy only if the leader can stop its tasks before they have their image
 */
static void repeat_calls(struct sim *sim, const struct sim_action *action, bool holds_up)
{
	struct sim_call_repetition *repetition = &sim->call_repetition;
	bool all = !strcmp(action->operand, "all");

	repetition->commands = all || !strcmp(action->operand, "commands");
	repetition->store = all || !strcmp(action->operand, "store");
	repetition->cloud = all || !strcmp(action->operand, "cloud");
	repetition->peers = all || !strcmp(action->operand, "peers");
	repetition->max_s = atof(action->rest);
	repetition->min_s = sim_option(action->text, "min", REPETITION_MIN_S);
	repetition->until = sim->now + action->duration_s;
	repetition->share = sim_option(action->text, "share", 1);
	repetition->copies = (int)sim_option(action->text, "copies", 1);
	repetition->waits_until_stoppable = sim_flag(action->text, "wait-until-stoppable");
	repetition->holds_up = holds_up;
}

static void run_repeat_calls(struct sim *sim, const struct sim_action *action)
{
	repeat_calls(sim, action, false);
}

/*
 * hold-up-calls commands|cloud MAX_S, with the options of repeat-calls: this fraction of calls is
 * carried out only when its copies arrive, and not answered. It replaces repeat-calls.
 */
static void run_hold_up_calls(struct sim *sim, const struct sim_action *action)
{
	repeat_calls(sim, action, true);
}

/* slow-command-answers SECONDS: delays answers to commands, which are executed at once */
static void run_slow_command_answers(struct sim *sim, const struct sim_action *action)
{
	sim->command_answer_delay_s = atof(action->operand);
}

/*
 * slow-heartbeat-answers SECONDS [for=S] [share=X]: delays answers to heartbeats, but no direct
 * commands
 */
static void run_slow_heartbeat_answers(struct sim *sim, const struct sim_action *action)
{
	sim->slow_answer_delay_s = atof(action->operand);
	sim->slow_answers_until = sim->now + action->duration_s;
	sim->slow_answers_share = sim_option(action->text, "share", 1);
}

/*
 * duplicate-heartbeats MAX_S [for=S] [share=X] [for-next-leader]: duplicates this fraction of
 * heartbeats; the duplicates arrive up to MAX_S later, or after the next election
 */
static void run_duplicate_heartbeats(struct sim *sim, const struct sim_action *action)
{
	sim->duplicates_max_s = atof(action->operand);
	sim->duplicates_until = sim->now + action->duration_s;
	sim->duplicates_share = sim_option(action->text, "share", 1);
	sim->duplicates_for_next_leader = sim_flag(action->text, "for-next-leader");
}

/* list-tasks-twice: heartbeats list each task twice */
static void run_list_tasks_twice(struct sim *sim, const struct sim_action *action)
{
	(void)action;
	sim->heartbeats_list_tasks_twice = true;
}

const struct sim_action_word sim_message_actions[] = {
    {"delay-calls", run_delay_calls},
    {"duplicate-heartbeats", run_duplicate_heartbeats},
    {"hold-up-calls", run_hold_up_calls},
    {"list-tasks-twice", run_list_tasks_twice},
    {"lose-answer", run_lose_answer},
    {"partition-zones", run_partition_zones},
    {"repeat-calls", run_repeat_calls},
    {"slow-command-answers", run_slow_command_answers},
    {"slow-heartbeat-answers", run_slow_heartbeat_answers},
    {NULL, NULL},
};
