/*
 * Scenarios in which calls arrive late or again, while tasks end, fail, move and are cancelled,
 * leaders change, and controllers and machines are back within a second.
 */
#include "random_call_faults.h"
#include "random_parts.h"

#define TASK_CPUS 4
#define FIRST_FAULT_S 15

/* Draws of one line are assigned to variables first: the order in which the arguments of a function
 * are evaluated depends on the compiler. */

static void draw_array(unsigned number, double submitted_at)
{
	unsigned tasks = 1 + random_draw(6), cpus = 1 + random_draw(TASK_CPUS);
	unsigned run_s = 1 + random_draw(25), image = random_draw(6);
	const char *failing = random_chance(10) ? " failing" : "";
	const char *priority = random_chance(20) ? " priority=production" : "";

	random_event(submitted_at, "submit job-%06u tasks=%u cpus=%u run=%u image-gb=0.%u%s%s",
		     number, tasks, cpus, run_s, image, failing, priority);
}

static void draw_service(unsigned number, double submitted_at)
{
	unsigned tasks = 1 + random_draw(4);
	const char *spread = random_chance(50) ? " spread" : "";

	random_event(submitted_at, "submit job-%06u service tasks=%u cpus=2 priority=production%s",
		     number, tasks, spread);
}

static void draw_gang(unsigned number, double submitted_at)
{
	unsigned tasks = 2 + random_draw(3), run_s = 5 + random_draw(20);

	random_event(submitted_at,
		     "submit job-%06u gang tasks=%u cpus=4 run=%u checkpoint-interval=5 "
		     "checkpoint-duration=1",
		     number, tasks, run_s);
}

static void draw_jobs(bool gangs)
{
	unsigned jobs = 8 + random_draw(20);

	for (unsigned number = 1; number <= jobs; number++) {
		double at = 5 + random_draw(1500) / 10.0;
		unsigned kind = random_draw(100);

		if (kind < 15)
			draw_service(number, at);
		else if (kind < 25 && gangs)
			draw_gang(number, at);
		else
			draw_array(number, at);
		if (random_chance(35))
			random_event(at + random_draw(400) / 10.0, "abort job-%06u", number);
	}
}

static void draw_machine_fault(double time, bool reboots, bool gangs)
{
	static const char *const faults[] = {"hang", "partition-machine", "block-inbound",
					     "block-outbound"};
	unsigned kind = random_draw(5), fault = random_draw(4), duration_s = 1 + random_draw(40);

	if (kind == 0 && !gangs) /* a gang would fail there again and again */
		random_event(time, "fail-tasks any");
	else if (kind == 1 && reboots)
		random_event(time, "reboot any");
	else
		random_event(time, "%s any for=%u", faults[fault], duration_s);
}

static void draw_crash_on_call(double time, const char *fraction)
{
	const char *call = random_chance(50) ? "transaction" : "commands";
	const char *after = random_chance(50) ? "after " : "";
	unsigned skip = random_draw(6), duration = 1 + random_draw(9);

	random_event(time, "crash-on-call %s %sskip=%u for=%s%u", call, after, skip, fraction,
		     duration);
}

static void draw_controller_fault(double time)
{
	unsigned kind = random_draw(6), node = random_draw(3), duration = 1 + random_draw(9);

	switch (kind) {
	case 0: random_event(time, "crash all for=0.%u", duration); break;
	case 1: random_event(time, "crash all for=%u", 2 * duration); break;
	case 2: random_event(time, "freeze %u for=%u", node, duration); break;
	case 3: draw_crash_on_call(time, "1"); break; /* 11 to 19 seconds */
	default: draw_crash_on_call(time, "0."); break;
	}
}

static void draw_message_fault(double time)
{
	unsigned kind = random_draw(5), small = random_draw(10), large = random_draw(40);

	switch (kind) {
	case 0: random_event(time, "lose-answer commands times=%u", 1 + small / 3); break;
	case 1:
		random_event(time, "delay-calls commands times=%u delay=%u", 1 + small / 2,
			     2 + large / 3);
		break;
	case 2:
		random_event(time, "slow-heartbeat-answers %u.%u for=%u share=0.%u", large % 4,
			     small, 5 + large, 2 + small / 2);
		break;
	case 3: random_event(time, "store-outage for=%u", 1 + small); break;
	default:
		random_event(time, "duplicate-heartbeats %u for=20 share=0.%u%s", 5 + large,
			     1 + small / 2, small % 2 ? " for-next-leader" : "");
		break;
	}
}

bool random_call_scenario(void (*draw_calls)(void))
{
	bool reboots = random_chance(50), gangs = random_chance(50);

	random_cluster(2);
	if (random_chance(50))
		random_line("subsystem coldstart");
	if (random_chance(40))
		random_line("subsystem zones");
	draw_jobs(gangs);
	draw_calls();
	if (random_chance(30))
		random_event(FIRST_FAULT_S + random_draw(100), "kill-machine any");
	for (unsigned at = FIRST_FAULT_S; at < RANDOM_LAST_FAULT_S; at += 5 + random_draw(30)) {
		draw_machine_fault(at + random_draw(10), reboots, gangs);
		if (random_chance(50))
			draw_controller_fault(at + random_draw(10));
		if (random_chance(40))
			draw_message_fault(at + random_draw(10));
	}
	return reboots;
}
