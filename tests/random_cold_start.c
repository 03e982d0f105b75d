/*
 * Random scenarios of cold starts: all controllers stop, once or several times, and restart
 * together or one by one, while machines lose power, zones are unreachable, the store is
 * unavailable or slow, and messages and writes are delayed or duplicated. No command may restart
 * a task that is alive, and every job must be answered in the end.
 */
#include "random_parts.h"

static double draw_down_time(void)
{
	static const int durations[] = {1, 4, 8, 12, 15, 17, 25, 40, 50, 70};

	return durations[random_draw(10)] + random_draw(10) / 10.0;
}

static void draw_restart(double time, double down_s)
{
	if (random_chance(30))
		random_event(time, "staggered-restart first=%.1f every=%u", down_s,
			     1 + random_draw(30));
	else if (random_chance(10))
		for (unsigned n = 0; n < 3; n++)
			random_event(time, "freeze %u for=%.1f", n, down_s + random_draw(4));
	else
		random_event(time, "crash all for=%.1f", down_s);
}

/* Draws other faults around the time of a stop. */
static void draw_other_faults(double time, double down_s, unsigned zones)
{
	if (random_chance(30))
		random_event(time, "power-loss share=0.%u for=%u", 2 + random_draw(8),
			     3 + random_draw(60));
	if (random_chance(25))
		random_event(time, "partition-zone %c for=%u", 'a' + (int)random_draw(zones),
			     5 + random_draw(50));
	if (random_chance(20))
		random_event(time, "store-outage for=%.1f", down_s + random_draw(10));
	if (random_chance(15))
		random_event(time + down_s, "slow-store 0.%u for=10", 1 + random_draw(8));
	if (random_chance(15))
		random_event(time + down_s, "store-errors %u for=%u", random_draw(3),
			     3 + random_draw(20));
	if (random_chance(15))
		random_event(time + down_s, "cloud-outage for=20");
	if (random_chance(20))
		random_event(time - 6, "duplicate-heartbeats %u for=8 for-next-leader",
			     10 + random_draw(30));
	if (random_chance(15))
		random_event(time - 1, "delay-calls commands times=3 delay=%u",
			     5 + random_draw(25));
	if (random_chance(15))
		random_event(time - 3, "time-out-writes 0.5 for=4 max=15");
	if (random_chance(15))
		random_event(time + down_s, "crash-on-call transaction %sskip=%u for=3",
			     random_chance(50) ? "after " : "", random_draw(6));
	if (random_chance(25))
		random_event(time + down_s + random_draw(8), "crash leader for=%u",
			     2 + random_draw(20));
}

static void draw_stop(unsigned jobs, unsigned zones)
{
	double at = 25 + random_draw(100), down_s = draw_down_time();

	draw_restart(at, down_s);
	draw_other_faults(at, down_s, zones);
	if (random_chance(40))
		random_event(at - random_draw(2), "abort job-%06u", 1 + random_draw(jobs));
}

void random_generate(void)
{
	unsigned zones = 2 + random_draw(3), jobs, stops;

	random_line("subsystem coldstart %s", random_chance(30) ? "share=1" : "");
	if (random_chance(50))
		random_line("subsystem zones");
	if (random_chance(30))
		random_line("nodes 5");
	random_cluster(zones);
	jobs = random_jobs(zones);
	stops = 1 + random_draw(3);
	for (unsigned i = 0; i < stops; i++)
		draw_stop(jobs, zones);
}
