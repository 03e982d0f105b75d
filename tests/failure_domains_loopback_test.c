/*
 * Outage of a zone with three controller processes and simulated workers in three zones: jobs run,
 * one zone becomes unreachable, its tasks move to the others, and the zone recovers. No
 * answer to a user may contradict an earlier one, and no task may run twice at the same time.
 * Usage: failure_domains_loopback_test WAYSTEP SUBSYSTEMS.
 */
#include "check.h"
#include "loopback.h"
#include <string.h>

#define JOBS 6
#define TASKS 2
#define RUN_S 14.0

static bool all_run(void)
{
	return loopback_running_in_zone(0) + loopback_running_in_zone(1) +
		   loopback_running_in_zone(2) ==
	       JOBS * TASKS + 3;
}

static bool zone_a_unreachable(void)
{
	return !strcmp(loopback_domain_state("a"), "dark");
}

static bool zone_a_recovering(void)
{
	return !strcmp(loopback_domain_state("a"), "recovering");
}

static bool zone_a_healthy(void)
{
	return !strcmp(loopback_domain_state("a"), "healthy");
}

static bool all_run_in_other_zones(void)
{
	return loopback_running_in_zone(0) == 0 && all_run();
}

static void check_answers(void)
{
	unsigned count, contradictions = 0, not_accepted = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++) {
		contradictions += jobs[i].contradicted;
		not_accepted += !jobs[i].accepted;
	}
	check("every job was accepted", not_accepted == 0);
	check("no answer contradicts an earlier one", contradictions == 0);
}

static void check_commands(void)
{
	char line[2000];

	check("--domains prints the domains",
	      loopback_command("--domains", NULL, line, sizeof(line)) == 0 &&
		  strstr(line, "domain a: dark"));
	check("--domains prints the jobs of the plan", strstr(line, "job-00000"));
	check("--hold-domain refuses an unknown domain",
	      loopback_command("--hold-domain", "x", line, sizeof(line)) == 2);
	check("--hold-domain records the hold",
	      loopback_command("--hold-domain", "b", line, sizeof(line)) == 0 &&
		  loopback_key_count("zones/hold/b") == 1);
	check("a repeated --hold-domain succeeds",
	      loopback_command("--hold-domain", "b", line, sizeof(line)) == 0);
	loopback_run(LOOPBACK_LEASE_S / 2);
	loopback_command("--domains", NULL, line, sizeof(line));
	check("the leader applies the hold", strstr(line, ", held"));
	check("--release-domain removes the hold",
	      loopback_command("--release-domain", "b", line, sizeof(line)) == 0 &&
		  loopback_key_count("zones/hold/b") == 0);
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
	check("all tasks run", loopback_run_until(all_run, 20));
	loopback_run(1);
	before = loopback_running_in_zone(0);
	check("some tasks run in zone a", before > 0);
	loopback_partition_zone(0, true);
	check("zone a is recorded as dark",
	      loopback_run_until(zone_a_unreachable, LOOPBACK_LEASE_S));
	check("zone a is recorded as dark before its leases expire",
	      loopback_running_in_zone(0) == before);
	check("all tasks run in the other zones",
	      loopback_run_until(all_run_in_other_zones, 2 * LOOPBACK_LEASE_S));
	check("the plan is recorded", loopback_key_count("zones/plan/") > 0);
	check_commands();
	loopback_partition_zone(0, false);
	check("zone a recovers", loopback_run_until(zone_a_recovering, 5));
	loopback_submit("late", 2, false, 1);
	loopback_run(2);
	check("a recovering zone gets no tasks", loopback_running_in_zone(0) == 0);
	check("all jobs are done", loopback_run_until(loopback_all_done, 4 * RUN_S));
	check("zone a is healthy again", loopback_run_until(zone_a_healthy, 4 * LOOPBACK_LEASE_S));
	check_answers();
	check("no task ran twice at the same time", loopback_counts()->duplicate_starts == 0);
	check("each task finished once", loopback_counts()->finishes == JOBS * TASKS + 2);
	check("only the tasks in zone a were lost", loopback_counts()->lost_tasks == before);
	check("the record of the plan is removed", loopback_key_count("zones/plan/") == 0);
	loopback_stop();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
