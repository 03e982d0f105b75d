/*
 * Cold starts of three controller processes with simulated workers. All controllers are killed
 * while jobs run and started again: within the lease, with a store that has lost a job record, and
 * after all leases have expired. Commands are counted by kind: none may start or stop a task that
 * is alive.
 * Usage: cold_start_loopback_test WAYSTEP SUBSYSTEMS.
 */
#include "check.h"
#include "loopback.h"
#include <stdio.h>
#include <string.h>

#define JOBS 6
#define TASKS 2
#define REPLICAS 3
#define ALL_TASKS (JOBS * TASKS + REPLICAS)
#define RUN_S 26.0

static struct loopback_counts before; /* at the last stop */

static unsigned running(void)
{
	return loopback_running_in_zone(0) + loopback_running_in_zone(1) +
	       loopback_running_in_zone(2);
}

static bool all_run(void)
{
	return running() == ALL_TASKS;
}

/* The term of the cold start recorded before the last stop. */
static long long previous_cold_start_term;

static bool cold_start_detected(void)
{
	return loopback_record_integer("coldstart/phase", "began") != previous_cold_start_term;
}

static bool cold_start_ended(void)
{
	return cold_start_detected() &&
	       !strcmp(loopback_record_text("coldstart/phase", "phase"), "ended");
}

static bool one_job_quarantined(void)
{
	return loopback_key_count("coldstart/kept/") == 1;
}

static bool no_job_quarantined(void)
{
	return loopback_key_count("coldstart/kept/") == 0;
}

static void stop_all(double seconds)
{
	before = *loopback_counts();
	previous_cold_start_term = loopback_record_integer("coldstart/phase", "began");
	loopback_kill_all();
	loopback_run(seconds);
}

static void start_all(void)
{
	loopback_start_all();
	check("a leader detects a cold start",
	      loopback_run_until(cold_start_detected, LOOPBACK_LEASE_S / 2));
	check("the cold start ends", loopback_run_until(cold_start_ended, 2 * LOOPBACK_LEASE_S));
}

static void check_tasks_undisturbed(const char *when)
{
	const struct loopback_counts *now = loopback_counts();
	char what[100];

	snprintf(what, sizeof(what), "%s: no command to run", when);
	check(what, now->run_commands == before.run_commands);
	snprintf(what, sizeof(what), "%s: no command to stop", when);
	check(what, now->stop_commands == before.stop_commands);
	snprintf(what, sizeof(what), "%s: no task is lost", when);
	check(what, now->lost_tasks == before.lost_tasks);
	snprintf(what, sizeof(what), "%s: all tasks run", when);
	check(what, running() == ALL_TASKS);
}

static void check_command(void)
{
	char line[2000];

	check("--cold-start prints the account",
	      loopback_command("--cold-start", NULL, line, sizeof(line)) == 0 &&
		  strstr(line, "cold start: ended"));
	check("the account has the findings", strstr(line, "agreed: 15"));
	check("the account has the zones", strstr(line, "zone a: 2 of 2 machines answered"));
}

/* The controllers restart within the lease. */
static void test_restart_within_lease(void)
{
	stop_all(LOOPBACK_LEASE_S / 3);
	start_all();
	loopback_run(1);
	check_tasks_undisturbed("restart within the lease");
	check_command();
}

/* The store loses the record of a running job, and its user submits it again. */
static void test_lost_record(struct loopback_job *job)
{
	char key[64];

	snprintf(key, sizeof(key), "job/%s", job->id);
	stop_all(LOOPBACK_LEASE_S / 3);
	loopback_delete_record(key);
	loopback_start_all();
	check("the job without a record is quarantined",
	      loopback_run_until(one_job_quarantined, LOOPBACK_LEASE_S));
	loopback_run(LOOPBACK_LEASE_S / 3);
	check_tasks_undisturbed("job in quarantine");
	loopback_resubmit(job);
	check("the job submitted again is adopted",
	      loopback_run_until(no_job_quarantined, LOOPBACK_LEASE_S));
	check("the cold start ends after the adoption",
	      loopback_run_until(cold_start_ended, LOOPBACK_LEASE_S));
	check_tasks_undisturbed("job adopted");
}

/* The controllers restart after all leases have expired. */
static void test_restart_after_leases(void)
{
	stop_all(LOOPBACK_LEASE_S * 1.5);
	check("all tasks are lost after their leases", running() == 0);
	loopback_start_all();
	check("all tasks run again", loopback_run_until(all_run, 2 * LOOPBACK_LEASE_S));
	check("one command to run is sent for each task",
	      loopback_counts()->run_commands == before.run_commands + ALL_TASKS);
	check("no command to stop is sent after all leases expired",
	      loopback_counts()->stop_commands == before.stop_commands);
	check("the cold start after all leases expired ends",
	      loopback_run_until(cold_start_ended, 2 * LOOPBACK_LEASE_S));
}

static void check_answers(void)
{
	unsigned count, contradictions = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		contradictions += jobs[i].contradicted;
	check("no answer contradicts an earlier one", contradictions == 0);
	check("no task ran twice at the same time", loopback_counts()->duplicate_starts == 0);
	check("each task finished once", loopback_counts()->finishes == JOBS * TASKS);
}

int main(int argc, char **argv)
{
	struct loopback_job *job = NULL;

	if (argc != 3)
		return 2;
	loopback_start(argv[1], argv[2]);
	loopback_submit("portal", REPLICAS, true, 0);
	for (int i = 0; i < JOBS; i++)
		job = loopback_submit(i % 2 ? "accrual" : "matching", TASKS, false, RUN_S);
	check("all tasks run", loopback_run_until(all_run, 20));
	loopback_run(1);
	test_restart_within_lease();
	test_lost_record(job);
	test_restart_after_leases();
	check("all jobs are done", loopback_run_until(loopback_all_done, 2 * RUN_S));
	check_answers();
	loopback_stop();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
