/*
 * Random scenarios of team limits: the demand keeps teams at their limits while leaders crash, also
 * just after their election, answers to heartbeats are slow, commands, writes and duplicated
 * heartbeats are delayed, and jobs are cancelled. No team may exceed its limit at any time.
 */
#include "random_parts.h"

#define TEAMS 2
#define TASK_CPUS 4
#define FIRST_STOP_S 30

static void draw_teams(void)
{
	for (unsigned i = 0; i < TEAMS; i++)
		random_line("team t%u %u %u", i, 2 * TASK_CPUS,
			    TASK_CPUS * (3 + random_draw(6)) + random_draw(TASK_CPUS));
}

/* Draws more demand than the team's limit allows, so that released capacity is reused at once. */
static void draw_jobs(unsigned jobs)
{
	for (unsigned number = 1; number <= jobs; number++) {
		double at = 5 + random_draw(1200) / 10.0;
		const char *where =
		    random_chance(30) ? random_chance(50) ? " zone=a" : " zone=b" : "";

		random_event(
		    at,
		    "submit job-%06u team=t%u tasks=%u cpus=%u run=%u image-gb=0.%u priority=%s%s",
		    number, random_draw(TEAMS), 1 + random_draw(5),
		    random_chance(70) ? TASK_CPUS : 1 + random_draw(3), 5 + random_draw(40),
		    1 + random_draw(9), random_chance(20) ? "production" : "normal", where);
		if (random_chance(40))
			random_event(at + random_draw(400) / 10.0, "abort job-%06u", number);
	}
}

static void draw_slow_messages(double time)
{
	if (random_chance(70))
		random_event(time, "slow-heartbeat-answers %u.%u for=%u share=0.%u", random_draw(4),
			     random_draw(10), 5 + random_draw(30), 2 + random_draw(8));
	if (random_chance(30))
		random_event(time, "delay-calls commands times=%u delay=%u", 1 + random_draw(6),
			     2 + random_draw(14));
	if (random_chance(30))
		random_event(time, "duplicate-heartbeats %u for=20 share=0.%u%s",
			     5 + random_draw(40), 1 + random_draw(9),
			     random_chance(50) ? " for-next-leader" : "");
	if (random_chance(30))
		random_event(time, "time-out-writes 0.%u for=%u max=12", 1 + random_draw(5),
			     2 + random_draw(10));
	if (random_chance(20))
		random_event(time, "slow-store 0.%u for=10", 1 + random_draw(9));
	if (random_chance(20))
		random_event(time, "lose-answer commands times=%u", 1 + random_draw(3));
	if (random_chance(10))
		random_event(time, "slow-command-answers 0.%u", random_draw(10));
}

static void draw_machine_faults(double time)
{
	static const char *const faults[] = {"hang", "partition-machine", "block-inbound",
					     "block-outbound"};

	for (unsigned i = random_draw(3); i; i--)
		random_event(time + random_draw(10), "%s any for=%u", faults[random_draw(4)],
			     3 + random_draw(40));
	if (random_chance(15))
		random_event(time + random_draw(10), "kill-machine any");
}

static void draw_controller_faults(double time)
{
	if (random_chance(30))
		random_event(time, "crash all for=%u", 1 + random_draw(10));
	else if (random_chance(30))
		random_event(time, "crash-on-call %s %sskip=%u for=%u",
			     random_chance(50) ? "transaction" : "commands",
			     random_chance(50) ? "after " : "", random_draw(6),
			     1 + random_draw(10));
	else
		random_event(time, "crash leader for=%u", 1 + random_draw(20));
	if (random_chance(40)) /* the next leader crashes shortly after its election */
		random_event(time + 3 + random_draw(100) / 10.0, "crash leader for=%u",
			     1 + random_draw(10));
	if (random_chance(25))
		random_event(time + random_draw(10), "store-errors %u for=%u", random_draw(3),
			     3 + random_draw(20));
	if (random_chance(20))
		random_event(time - 2, "freeze %u for=%u", random_draw(3), 1 + random_draw(8));
	if (random_chance(15))
		random_event(time + random_draw(10), "store-outage for=%u", 1 + random_draw(20));
}

void random_generate(void)
{
	bool long_lease = random_chance(50);
	unsigned stops = 2 + random_draw(4);
	double at = FIRST_STOP_S;

	random_line("seed %u", random_draw(1000000));
	random_line("lease %d", long_lease ? 45 : 16);
	random_line("heartbeat %d", long_lease ? random_chance(50) ? 10 : 3 : 2);
	random_line("cancel %d", long_lease ? 75 : 46);
	random_line("zone a");
	random_line("zone b");
	random_line("type std 16 128 1.0 %d a b", random_chance(50) ? 10 : 30);
	random_line("owned std a %u", 2 + random_draw(3));
	random_line("owned std b %u", 2 + random_draw(3));
	random_line("capacity 12");
	draw_teams();
	if (random_chance(60))
		random_line("subsystem coldstart");
	if (random_chance(40))
		random_line("subsystem zones");
	draw_jobs(20 + random_draw(20));
	for (unsigned i = 0; i < stops; i++) {
		draw_slow_messages(at - 4);
		draw_machine_faults(at - 3);
		draw_controller_faults(at);
		at += 10 + random_draw(30);
	}
}
