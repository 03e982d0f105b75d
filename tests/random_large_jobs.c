/*
 * Random scenarios of services and gangs whose attempts no single record can list, under every
 * limit of a value and of a transaction. The limits fall at a drawn time; leaders end, also between
 * two transactions of a start, and in some scenarios the version in production leads again;
 * machines restart, so that the task numbers scatter over them; jobs are cancelled. Every accepted
 * job runs whole in the end, no task starts that is not on record, and no record of a finished job
 * stays.
 */
#include "random_parts.h"

#define ZONE_CPUS 1200
#define ALL_NEW_S 60 /* gangs are submitted once all nodes have this version */
#define LAST_FAULT_S 250
#define END_S 415

static const unsigned value_limits_kb[] = {2, 4, 16};
static const unsigned operation_limits[] = {4, 8, 12, 24};

static unsigned draw_value_limit(unsigned highest)
{
	return random_chance(50) ? value_limits_kb[0] : value_limits_kb[random_draw(highest + 1)];
}

/* Returns a number of tasks, fewer for a job whose tasks must be in one zone. */
static unsigned draw_tasks(unsigned jobs, bool one_zone)
{
	unsigned room = ZONE_CPUS * (one_zone ? 1 : 2) * 2 / 3 / jobs;

	return 100 + random_draw(room - 100);
}

/* Draws the limits in force, and lower ones that the settings announce. */
static void draw_limits(void)
{
	unsigned value = random_draw(3), operations = random_draw(4);

	random_line("limits %u %u", value_limits_kb[value], operation_limits[operations]);
	random_line("upcoming-limits %u %u", draw_value_limit(value),
		    operation_limits[random_draw(operations + 1)]);
	if (random_chance(80))
		random_event(ALL_NEW_S + random_draw(100), "lower-limits");
}

static void draw_versions(void)
{
	if (random_chance(60))
		return;
	random_line("production-nodes 3");
	random_event(10, "upgrade 0 for=1");
	random_event(14, "upgrade 1 for=1");
	if (random_chance(60)) { /* the last one leads once more */
		random_event(33, "crash 0 for=%u", 3 + random_draw(12));
		random_event(33, "crash 1 for=%u", 3 + random_draw(12));
	}
	random_event(54, "upgrade 2 for=1");
}

/* Draws a fault of the store or of the leader while the records of a large job are written. */
static void draw_fault_of_start(double time)
{
	switch (random_draw(4)) {
	case 0:
		random_event(time, "crash-on-call transaction %sskip=%u for=%u",
			     random_chance(50) ? "after " : "", random_draw(5), 1 + random_draw(5));
		break;
	case 1: random_event(time, "time-out-writes 0.%u for=3 max=6", 3 + random_draw(6)); break;
	case 2: random_event(time, "slow-store 0.%u for=5", 2 + random_draw(8)); break;
	default: break;
	}
}

static void draw_service(unsigned number, unsigned jobs, bool small)
{
	static const char *const where[] = {"", " spread", " one-zone"};
	unsigned kind = random_draw(3);
	unsigned tasks = small ? 1 + random_draw(4) : draw_tasks(jobs, kind == 2);
	double at = 18 + random_draw(small ? 150 : 60);

	if (!small)
		draw_fault_of_start(at);
	random_event(at, "submit job-%06u service priority=production tasks=%u cpus=1 image-gb=0%s",
		     number, tasks, where[kind]);
	if (random_chance(25)) {
		random_event(at + 1 + random_draw(150), "abort job-%06u", number);
		return;
	}
	random_event(END_S, "expect running job-%06u = %u", number, tasks);
	random_event(END_S, "expect on-record job-%06u", number);
}

static void draw_gang(unsigned number, unsigned jobs)
{
	bool one_zone = random_chance(20);
	unsigned tasks = draw_tasks(jobs, one_zone);
	double at = ALL_NEW_S + random_draw(120);

	draw_fault_of_start(at);
	random_event(at, "submit job-%06u gang tasks=%u cpus=1 run=%u image-gb=0%s", number, tasks,
		     10 + random_draw(20), one_zone ? " one-zone" : "");
	if (random_chance(20))
		random_event(at + random_draw(40), "abort job-%06u", number);
	else
		random_event(END_S, "expect done job-%06u", number);
}

static void draw_machine_fault(void)
{
	static const char *const faults[] = {"hang", "partition-machine", "reboot"};
	double at = 20 + random_draw(LAST_FAULT_S - 20);
	unsigned kind = random_draw(3);

	if (kind == 2)
		random_event(at, "%s any", faults[kind]);
	else
		random_event(at, "%s any for=%u", faults[kind], 5 + random_draw(45));
}

static void draw_controller_fault(void)
{
	double at = ALL_NEW_S + random_draw(LAST_FAULT_S - ALL_NEW_S);

	switch (random_draw(5)) {
	case 0: random_event(at, "crash leader for=%u", 1 + random_draw(10)); break;
	case 1:
		random_event(at, "crash-on-call transaction %sskip=%u for=%u",
			     random_chance(50) ? "after " : "", random_draw(6),
			     1 + random_draw(10));
		break;
	case 2:
		random_event(at, "time-out-writes 0.%u for=%u max=12", 1 + random_draw(5),
			     2 + random_draw(10));
		break;
	case 3: random_event(at, "store-outage for=%u", 1 + random_draw(15)); break;
	default: random_event(at, "store-errors %u for=%u", random_draw(3), 3 + random_draw(20));
	}
}

void random_generate(void)
{
	bool long_lease = random_chance(50);
	unsigned jobs = 1 + random_draw(3), machine_cpus = random_chance(50) ? 64 : 8;

	random_line("seed %u", random_draw(1000000));
	random_line("lease %d", long_lease ? 45 : 16);
	random_line("heartbeat %d", long_lease ? 3 : 2);
	random_line("cancel %d", long_lease ? 75 : 46);
	random_line("starts-on-record");
	random_line("zone a");
	random_line("zone b");
	random_line("type std %u 512 1.0 20 a b", machine_cpus);
	random_line("owned std a %u", ZONE_CPUS / machine_cpus);
	random_line("owned std b %u", ZONE_CPUS / machine_cpus);
	random_line("team t 5000 5000");
	random_line("capacity 30"); /* one zone may be full */
	draw_limits();
	draw_versions();
	for (unsigned number = 1; number <= jobs; number++)
		if (random_chance(50))
			draw_service(number, jobs, false);
		else
			draw_gang(number, jobs);
	for (unsigned number = 10; number < 20; number++)
		draw_service(number, jobs, true);
	for (unsigned i = 3 + random_draw(30); i; i--)
		draw_machine_fault();
	for (unsigned i = 1 + random_draw(4); i; i--)
		draw_controller_fault();
	random_event(END_S, "expect no-stray-records");
}
