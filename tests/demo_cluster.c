/*
 * waystep for a newcomer: three real controllers, and stand-ins for all round them. Jobs run, all
 * controllers are killed and started again, and what happens is told as it goes. Called by
 * tools/try. Exit status 0 only if nothing healthy was started again: demo_cluster WAYSTEP
 * SUBSYSTEMS.
 */
#include "loopback.h"
#include <stdio.h>
#include <string.h>

#define ARRAYS 3
#define TASKS 2
#define REPLICAS 3
#define ALL (ARRAYS * TASKS + REPLICAS)
#define RUN_S 20.0
#define DOWN_S 2.0

static unsigned running(void)
{
	return loopback_running(0) + loopback_running(1) + loopback_running(2);
}

static bool all_run(void)
{
	return running() == ALL;
}

static long long began; /* the term that began the cold start before */

/* Prints the phase of the cold start each time it changes; returns whether it has ended. */
static bool cold_start_ended(void)
{
	static char last_phase[32];
	const char *phase = loopback_record_text("coldstart/phase", "phase");

	if (loopback_record_count("coldstart/phase", "began") == began)
		return false;
	if (strcmp(last_phase, phase) != 0) {
		snprintf(last_phase, sizeof(last_phase), "%s", phase);
		printf("  phase of the cold start: %s\n", phase);
	}
	return !strcmp(phase, "ended");
}

static void print_running(void)
{
	unsigned count;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (int w = 0; w < LOOPBACK_WORKERS; w++) {
		printf("  %s (zone %c):", loopback_worker_name(w), 'a' + w % LOOPBACK_NODES);
		for (unsigned i = 0; i < count; i++) {
			unsigned tasks = loopback_running_on(w, jobs[i].id);

			if (tasks)
				printf(" %u of %s (%s)", tasks, jobs[i].id, jobs[i].job_class);
		}
		printf("\n");
	}
}

static void tell_account(void)
{
	char text[2000], *line, *rest = text;

	loopback_command("--cold-start", NULL, text, sizeof(text));
	while ((line = strsep(&rest, "\n")))
		if (line[0])
			printf("  | %s\n", line);
}

static void tell_ends(void)
{
	unsigned count;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		printf("  %s (%s): %s\n", jobs[i].id, jobs[i].job_class,
		       jobs[i].service ? "a service, runs on"
		       : jobs[i].done  ? "done"
				       : "NOT DONE");
}

/* Starts the cluster and its jobs; whether all of them run. */
static bool begin(const char *waystep, const char *subsystems)
{
	printf("Three controllers, six workers in three zones, all on this machine's loopback.\n");
	loopback_start(waystep, subsystems);
	loopback_leave_on_signals();
	loopback_submit("portal", REPLICAS, true, 0);
	for (int i = 0; i < ARRAYS; i++)
		loopback_submit("accrual", TASKS, false, RUN_S);
	if (!loopback_until(all_run, 20)) {
		printf("The jobs did not start.\n");
		return false;
	}
	printf("All jobs run:\n");
	print_running();
	loopback_run(2 * LOOPBACK_HEARTBEAT_S);
	return true;
}

/* Kills all controllers and starts them again; whether nothing healthy was touched. */
static bool cold_start(void)
{
	const struct loopback_counts before = *loopback_counts(), *now = loopback_counts();
	unsigned run_commands, stop_commands;

	printf(
	    "All controllers are killed, and started again %.0f s later (the lease is %.0f s):\n",
	    DOWN_S, LOOPBACK_LEASE_S);
	began = loopback_record_count("coldstart/phase", "began");
	loopback_kill_all();
	loopback_run(DOWN_S);
	loopback_start_all();
	loopback_until(cold_start_ended, 2 * LOOPBACK_LEASE_S);
	loopback_run(LOOPBACK_HEARTBEAT_S);
	printf("What waystep --cold-start shows:\n");
	tell_account();
	run_commands = now->run_commands - before.run_commands;
	stop_commands = now->stop_commands - before.stop_commands;
	printf("Orders since the kill: %u to run, %u to stop, %u to reap; tasks lost: %u\n",
	       run_commands, stop_commands, now->reap_commands - before.reap_commands,
	       now->lost - before.lost);
	print_running();
	return !run_commands && !stop_commands && now->lost == before.lost && all_run();
}

int main(int argc, char **argv)
{
	bool good;

	if (argc != 3)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	good = begin(argv[1], argv[2]) && cold_start();
	if (good)
		good = loopback_until(loopback_all_done, 2 * RUN_S);
	printf("How the jobs ended:\n");
	tell_ends();
	good = good && !loopback_counts()->twice;
	printf("%s\n", good ? "Nothing that was healthy was started again."
			    : "THAT WENT WRONG: see above.");
	loopback_stop();
	return !good;
}
