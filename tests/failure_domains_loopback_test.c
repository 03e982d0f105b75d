/*
 * Three controllers, as processes, and stand-in workers in three zones: accrual and stock matching
 * run, one zone goes dark, both land on the others, the zone comes back. The history is checked:
 * one final answer a job, nothing runs twice. failure_domains_loopback_test WAYSTEP SUBSYSTEMS.
 */
#include "check.h"
#include "loopback.h"
#include <string.h>

#define JOBS 6
#define TASKS 2
#define RUN_S 14.0

static bool all_run(void)
{
	return loopback_running(0) + loopback_running(1) + loopback_running(2) == JOBS * TASKS + 3;
}

static bool a_is_dark(void)
{
	return !strcmp(loopback_domain("a"), "dark");
}

static bool a_is_recovering(void)
{
	return !strcmp(loopback_domain("a"), "recovering");
}

static bool a_is_healthy(void)
{
	return !strcmp(loopback_domain("a"), "healthy");
}

static bool all_run_elsewhere(void)
{
	return loopback_running(0) == 0 && all_run();
}

static void check_answers(void)
{
	unsigned count, back = 0, unknown = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++) {
		back += jobs[i].went_back;
		unknown += !jobs[i].accepted;
	}
	check("every job was accepted", unknown == 0);
	check("no answer after done said otherwise", back == 0);
}

static void check_commands(void)
{
	char line[2000];

	check("the domains are shown",
	      loopback_command("--domains", NULL, line, sizeof(line)) == 0 &&
		  strstr(line, "domain a: dark"));
	check("and the plan's order", strstr(line, "job-00000"));
	check("a domain that is none is refused",
	      loopback_command("--hold-domain", "x", line, sizeof(line)) == 2);
	check("one is held", loopback_command("--hold-domain", "b", line, sizeof(line)) == 0 &&
				 loopback_keys("zones/hold/b") == 1);
	check("held twice is held",
	      loopback_command("--hold-domain", "b", line, sizeof(line)) == 0);
	loopback_run(LOOPBACK_LEASE_S / 2);
	loopback_command("--domains", NULL, line, sizeof(line));
	check("the leader knows", strstr(line, ", held"));
	check("and released", loopback_command("--release-domain", "b", line, sizeof(line)) == 0 &&
				  loopback_keys("zones/hold/b") == 0);
}

int main(int argc, char **argv)
{
	unsigned before;

	if (argc != 3)
		return 2;
	loopback_start(argv[1], argv[2]);
	loopback_submit("portal", 3, true, 0);
	for (int i = 0; i < JOBS; i++)
		loopback_submit(i % 2 ? "accrual" : "matching", TASKS, false, RUN_S);
	check("all work runs", loopback_until(all_run, 20));
	loopback_run(1);
	before = loopback_running(0);
	check("some of it in zone a", before > 0);
	loopback_dark(0, true);
	check("zone a is dark on record", loopback_until(a_is_dark, LOOPBACK_LEASE_S));
	check("before its leases are out", loopback_running(0) == before);
	check("all of it lands on the other zones",
	      loopback_until(all_run_elsewhere, 2 * LOOPBACK_LEASE_S));
	check("the plan is on record", loopback_keys("zones/plan/") > 0);
	check_commands();
	loopback_dark(0, false);
	check("zone a recovers", loopback_until(a_is_recovering, 5));
	loopback_submit("late", 2, false, 1);
	loopback_run(2);
	check("and is not used yet", loopback_running(0) == 0);
	check("all is done", loopback_until(loopback_all_done, 4 * RUN_S));
	check("zone a is healthy again", loopback_until(a_is_healthy, 4 * LOOPBACK_LEASE_S));
	check_answers();
	check("nothing ran twice", loopback_counts()->twice == 0);
	check("each task ended once", loopback_counts()->finishes == JOBS * TASKS + 2);
	check("nothing but what was in the zone was lost", loopback_counts()->lost == before);
	check("the plan is off the record", loopback_keys("zones/plan/") == 0);
	loopback_stop();
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
