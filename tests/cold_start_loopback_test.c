/*
 * Three controllers, as processes, and stand-in workers. All controllers are killed while jobs run,
 * and started again: within the lease, with a store that has lost a record, and after all leases
 * are out. Every order is counted by kind: none starts or stops work that is healthy.
 * cold_start_loopback_test WAYSTEP SUBSYSTEMS.
 */
#include "check.h"
#include "loopback.h"
#include <stdio.h>
#include <string.h>

#define JOBS 6
#define TASKS 2
#define REPLICAS 3
#define ALL (JOBS * TASKS + REPLICAS)
#define RUN_S 26.0

static struct loopback_counts before; /* the last stop */

static unsigned running(void)
{
	return loopback_running(0) + loopback_running(1) + loopback_running(2);
}

static bool all_run(void)
{
	return running() == ALL;
}

static long long began; /* the term that began the cold start before the last stop */

static bool found_cold(void)
{
	return loopback_record_count("coldstart/phase", "began") != began;
}

static bool ended(void)
{
	return found_cold() && !strcmp(loopback_record_text("coldstart/phase", "phase"), "ended");
}

static bool one_is_kept(void)
{
	return loopback_keys("coldstart/kept/") == 1;
}

static bool none_is_kept(void)
{
	return loopback_keys("coldstart/kept/") == 0;
}

static void stop_all(double seconds)
{
	before = *loopback_counts();
	began = loopback_record_count("coldstart/phase", "began");
	loopback_kill_all();
	loopback_run(seconds);
}

static void start_all(void)
{
	loopback_start_all();
	check("a leader finds the start cold", loopback_until(found_cold, LOOPBACK_LEASE_S / 2));
	check("its phase ends", loopback_until(ended, 2 * LOOPBACK_LEASE_S));
}

static void check_untouched(const char *when)
{
	const struct loopback_counts *now = loopback_counts();
	char what[100];

	snprintf(what, sizeof(what), "%s: no order to run", when);
	check(what, now->run_commands == before.run_commands);
	snprintf(what, sizeof(what), "%s: no order to stop", when);
	check(what, now->stop_commands == before.stop_commands);
	snprintf(what, sizeof(what), "%s: nothing is lost", when);
	check(what, now->lost == before.lost);
	snprintf(what, sizeof(what), "%s: all work runs", when);
	check(what, running() == ALL);
}

static void check_command(void)
{
	char line[2000];

	check("the account is shown",
	      loopback_command("--cold-start", NULL, line, sizeof(line)) == 0 &&
		  strstr(line, "cold start: ended"));
	check("with its findings", strstr(line, "agreed: 15"));
	check("and its zones", strstr(line, "zone a: 2 of 2 machines answered"));
}

/* The controllers are back within the lease. */
static void within_lease(void)
{
	stop_all(LOOPBACK_LEASE_S / 3);
	start_all();
	loopback_run(1);
	check_untouched("within the lease");
	check_command();
}

/* The store has lost the record of a job that runs; its user submits it again. */
static void record_lost(struct loopback_job *job)
{
	char key[64];

	snprintf(key, sizeof(key), "job/%s", job->id);
	stop_all(LOOPBACK_LEASE_S / 3);
	loopback_lose_record(key);
	loopback_start_all();
	check("the job that the store lost is kept apart",
	      loopback_until(one_is_kept, LOOPBACK_LEASE_S));
	loopback_run(LOOPBACK_LEASE_S / 3);
	check_untouched("kept apart");
	loopback_resubmit(job);
	check("it is adopted", loopback_until(none_is_kept, LOOPBACK_LEASE_S));
	check("the phase ends", loopback_until(ended, LOOPBACK_LEASE_S));
	check_untouched("adopted");
}

/* The controllers are back when all leases are out. */
static void beyond_lease(void)
{
	stop_all(LOOPBACK_LEASE_S * 1.5);
	check("all is lost", running() == 0);
	loopback_start_all();
	check("all runs again", loopback_until(all_run, 2 * LOOPBACK_LEASE_S));
	check("with one order a task",
	      loopback_counts()->run_commands == before.run_commands + ALL);
	check("and none to stop", loopback_counts()->stop_commands == before.stop_commands);
	check("its phase ends", loopback_until(ended, 2 * LOOPBACK_LEASE_S));
}

static void check_answers(void)
{
	unsigned count, back = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		back += jobs[i].went_back;
	check("no answer after done said otherwise", back == 0);
	check("nothing ran twice", loopback_counts()->twice == 0);
	check("each task ended once", loopback_counts()->finishes == JOBS * TASKS);
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
	check("all work runs", loopback_until(all_run, 20));
	loopback_run(1);
	within_lease();
	record_lost(job);
	beyond_lease();
	check("all is done", loopback_until(loopback_all_done, 2 * RUN_S));
	check_answers();
	loopback_stop();
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
