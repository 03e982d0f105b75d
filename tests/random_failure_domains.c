/*
 * Random scenarios of zone outages: zones become unreachable while leaders crash or are
 * partitioned, the store and the cloud are unavailable, answers are lost, commands and writes are
 * delayed and heartbeats are duplicated. Every job must be answered in the end.
 */
#include "random_parts.h"

static void draw_outage(unsigned zones)
{
	static const int durations[] = {3, 6, 10, 16, 20, 40, 70};
	static const char *const directions[] = {"", "", "", " only=outbound", " only=inbound"};
	static const char *const targets[] = {"all", "workers", "store", "peers"};
	double at = 15 + random_draw(110);
	int zone = 'a' + (int)random_draw(zones);

	random_event(at, "partition-zone %c for=%d%s", zone, durations[random_draw(7)],
		     directions[random_draw(5)]);
	if (random_chance(40))
		random_event(at + random_draw(20), "crash leader for=%d",
			     random_chance(50) ? 3 : 20);
	if (random_chance(15))
		random_event(at + random_draw(10), "crash all for=4");
	if (random_chance(20))
		random_event(at + random_draw(10), "store-outage for=%d",
			     random_chance(50) ? 3 : 30);
	if (random_chance(20))
		random_event(at + random_draw(10), "cloud-outage for=20");
	if (random_chance(20))
		random_event(at + random_draw(5), "partition %u %s for=%d", random_draw(3),
			     targets[random_draw(4)], random_chance(50) ? 5 : 30);
	if (random_chance(10))
		random_event(at + 1, "time-out-writes 0.2 for=20");
	if (random_chance(20))
		random_event(at - 8, "duplicate-heartbeats %d for=30", random_chance(50) ? 5 : 30);
	if (random_chance(10))
		random_event(at + random_draw(20), "hold-domain %c", zone);
	if (random_chance(10))
		random_event(at + random_draw(40), "release-domain %c", zone);
	if (random_chance(10))
		random_event(at + random_draw(8), "delay-calls commands times=3 delay=20");
	if (random_chance(10))
		random_event(at + random_draw(8), "lose-answer transaction times=2");
	if (random_chance(10))
		random_event(at + random_draw(3), "crash-on-call transaction %sskip=%u for=3",
			     random_chance(50) ? "after " : "", random_draw(5));
}

void random_generate(void)
{
	unsigned zones = 2 + random_draw(3), outages;

	random_line("subsystem zones %s", random_chance(50)   ? ""
					  : random_chance(50) ? "stable=5 ramp=5"
							      : "stable=60");
	random_cluster(zones);
	random_jobs(zones);
	outages = 1 + random_draw(5);
	for (unsigned i = 0; i < outages; i++)
		draw_outage(zones);
}
