/*
 * Random scenarios of a leader round outages of the store. The store refuses the leader alone,
 * mostly until its session has expired, and is unavailable to all nodes before or after that. Some
 * machines reach that leader alone, voters crash, freeze or are partitioned, and copies of old
 * heartbeats reach the next leader. Whoever leads, nothing may run twice or outlive its
 * cancellation.
 */
#include "random_parts.h"

#define FAULTS_AT_S 20

static void draw_outage(unsigned outage_s)
{
	static const double delays[] = {0, 0, 0.05, 0.1, 0.3};
	bool outage_first = random_chance(25);

	if (outage_first)
		random_event(FAULTS_AT_S, "store-outage for=%u", outage_s);
	random_event(FAULTS_AT_S, "store-errors leader for=%u",
		     random_chance(80) ? 60 + outage_s : 1 + random_draw(6));
	random_event(FAULTS_AT_S, "after-leader-key-expired %g store-outage for=%u",
		     delays[random_draw(5)], outage_s);
	if (random_chance(30))
		random_event(FAULTS_AT_S, "after-leader-key-expired 0 slow-store 0.%u",
			     1 + random_draw(9));
}

/* Voters fail at any time, or restart about the end of the outage. */
static void draw_voter_faults(unsigned outage_s)
{
	static const char *const faults[] = {"crash %u for=%u", "freeze %u for=%u",
					     "partition %u peers for=%u", "store-errors %u for=%u"};

	for (unsigned node = 0; node < 3; node++) {
		if (random_chance(20))
			random_event(FAULTS_AT_S + random_draw(40), faults[random_draw(4)], node,
				     1 + random_draw(8));
		if (random_chance(20))
			random_event(FAULTS_AT_S, "after-leader-key-expired %g crash %u for=0.1",
				     outage_s - 0.2 * random_draw(4), node);
	}
}

void random_generate(void)
{
	unsigned outage_s = 2 + random_draw(30);

	if (random_chance(30))
		random_line("subsystem coldstart");
	random_cluster(2);
	random_event(4, "submit job-000900 tasks=%u cpus=4 run=150", 2 + random_draw(6));
	random_jobs(2);
	random_event(FAULTS_AT_S - 1, "pin-to-leader any times=%u for=%u", 1 + random_draw(4),
		     30 + random_draw(60));
	if (random_chance(30))
		random_event(FAULTS_AT_S, "duplicate-heartbeats 1 for=%u for-next-leader",
			     outage_s);
	draw_outage(outage_s);
	draw_voter_faults(outage_s);
}
