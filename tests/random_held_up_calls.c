/*
 * Random scenarios of calls that are held up: starts and stops of tasks, rentals and deletions of
 * machines are carried out once or more, tenths of a second to several cancellation times after
 * their senders gave them up, while leaders change and machines are back within a second. Nothing
 * may run twice, outlive its cancellation or run without the leader's knowledge.
 */
#include "random_call_faults.h"
#include "random_parts.h"

static void draw_held_up_calls(void)
{
	static const char *const kinds[] = {"commands", "commands", "cloud", "all"};

	for (unsigned at = 1; at < RANDOM_LAST_FAULT_S; at += 20 + random_draw(60)) {
		const char *kind = kinds[random_draw(4)];
		unsigned max_s = 1 + random_draw(random_chance(50) ? 16 : 240);
		unsigned min = 1 + random_draw(9), duration_s = 10 + random_draw(50);
		unsigned share = 1 + random_draw(8), copies = random_chance(70) ? 1 : 2;

		random_event(
		    at,
		    "hold-up-calls %s %u min=0.%u for=%u share=0.%u copies=%u wait-until-stoppable",
		    kind, max_s, min, duration_s, share, copies);
	}
	if (random_chance(40))
		random_event(2, "instant-boot");
}

void random_generate(void)
{
	random_call_scenario(draw_held_up_calls);
}
