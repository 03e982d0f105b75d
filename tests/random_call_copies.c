/*
 * Random scenarios of copied calls: executed calls to workers, store and cloud arrive again, tenths
 * of a second to minutes later. No copy may start a task.
 */
#include "random_call_faults.h"
#include "random_parts.h"

#define SCENARIO_END_S 420

static void draw_copies(void)
{
	static const char *const kinds[] = {"commands", "commands", "store", "cloud", "all"};

	for (unsigned at = 1; at < RANDOM_LAST_FAULT_S; at += 30 + random_draw(60)) {
		const char *kind = kinds[random_draw(5)];
		unsigned max_s = 1 + random_draw(random_chance(50) ? 10 : 200);
		unsigned min = 1 + random_draw(9), duration_s = 20 + random_draw(80);
		unsigned share = 2 + random_draw(8), copies = 1 + random_draw(5);

		random_event(
		    at,
		    "repeat-calls %s %u min=0.%u for=%u share=0.%u copies=%u wait-until-stoppable",
		    kind, max_s, min, duration_s, share, copies);
	}
}

void random_generate(void)
{
	/* a machine that has rebooted has forgotten its attempts and its fencing token */
	if (!random_call_scenario(draw_copies))
		random_event(SCENARIO_END_S, "expect starts-by-copies = 0");
}
