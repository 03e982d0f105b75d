/* Timed actions on the state of the leader, for states that a scenario would take weeks to reach.
 */
#include "../src/core/core_state.h"
#include "sim_scenario.h"

/* Returns the core of the leader, or NULL after a failure if no node of this version leads. */
static struct ws_core *leader_core(struct sim *sim)
{
	int leader = sim_leader(sim);

	if (leader < 0 || sim->nodes[leader].version != &sim_this_version) {
		sim_fail(sim, "no node of this version leads");
		return NULL;
	}
	return sim->nodes[leader].core;
}

/* Returns a number raised by `count`, or the term's highest number for "all". */
static uint64_t raised(const struct ws_core *core, uint64_t number, unsigned shift,
		       const char *count)
{
	uint64_t max = ws_term_number_max(core, shift);

	return !strcmp(count, "all") ? max : number + strtoull(count, NULL, 10);
}

/* As if that many reap commands had raised the token of each machine. */
static void use_up_tokens(struct ws_core *core, const char *count)
{
	struct ws_machine *machine, *next;

	HASH_ITER (hh, core->fleet.machines, machine, next)
		machine->fencing_token =
		    raised(core, machine->fencing_token, WS_FENCING_TOKEN_SHIFT, count);
}

/* As if that many placement passes had taken place. */
static void use_up_attempts(struct ws_core *core, const char *count)
{
	uint64_t base = core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT
							      << WS_ATTEMPT_SHIFT;
	uint64_t number = raised(core, base + core->jobs.attempt_sequence, WS_ATTEMPT_SHIFT, count);

	core->jobs.attempt_sequence = number - base;
}

/* use-up tokens|attempts COUNT|all: fencing tokens of each machine, or attempt numbers, of the term
 */
static void run_use_up(struct sim *sim, const struct sim_action *action)
{
	struct ws_core *core = leader_core(sim);
	char *rest = action->rest;

	if (!core)
		return;
	if (!strcmp(action->operand, "tokens"))
		use_up_tokens(core, sim_next_word(&rest));
	else
		use_up_attempts(core, sim_next_word(&rest));
}

const struct sim_action_word sim_leader_actions[] = {
    {"use-up", run_use_up},
    {NULL, NULL},
};
