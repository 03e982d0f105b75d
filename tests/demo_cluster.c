/*
 * Demo of waystep: three controller processes with simulated store, cloud, workers and users. Jobs
 * run, all controllers are killed and started again, and the events are printed. tools/try runs
 * this program. The exit status is 0 only if no task that was alive was restarted.
 * Usage: demo_cluster WAYSTEP SUBSYSTEMS.
 */
#include "loopback.h"
#include <stdio.h>
#include <string.h>

#define ARRAYS 3
#define TASKS 2
#define REPLICAS 3
#define ALL_TASKS (ARRAYS * TASKS + REPLICAS)
#define RUN_S 20.0
#define DOWN_S 2.0

static unsigned running(void)
{
	return loopback_running_in_zone(0) + loopback_running_in_zone(1) +
	       loopback_running_in_zone(2);
}

static bool all_run(void)
{
	return running() == ALL_TASKS;
}

static long long previous_cold_start_term; /* term of the cold start recorded before the kill */

/* Prints the phase of the cold start whenever it changes. Returns whether the cold start ended. */
static bool cold_start_ended(void)
{
	static char last_phase[32];
	const char *phase = loopback_record_text("coldstart/phase", "phase");

	if (loopback_record_integer("coldstart/phase", "began") == previous_cold_start_term)
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

	for (int worker = 0; worker < LOOPBACK_WORKERS; worker++) {
		printf("  %s (zone %c):", loopback_worker_name(worker),
		       'a' + worker % LOOPBACK_NODES);
		for (unsigned i = 0; i < count; i++) {
			unsigned tasks = loopback_running_on_worker(worker, jobs[i].id);

			if (tasks)
				printf(" %u of %s (%s)", tasks, jobs[i].id, jobs[i].job_class);
		}
		printf("\n");
	}
}

static void print_account(void)
{
	char text[2000], *line, *rest = text;

	loopback_command("--cold-start", NULL, text, sizeof(text));
	while ((line = strsep(&rest, "\n")))
		if (line[0])
			printf("  | %s\n", line);
}

static void print_job_states(void)
{
	unsigned count;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		printf("  %s (%s): %s\n", jobs[i].id, jobs[i].job_class,
		       jobs[i].service ? "service, keeps running"
		       : jobs[i].done  ? "done"
				       : "NOT DONE");
}

/* Starts the cluster and its jobs. Returns false if not all tasks start. */
static bool start_cluster(const char *waystep, const char *subsystems)
{
	printf("Three controllers and six workers in three zones, on the loopback interface.\n");
	loopback_start(waystep, subsystems);
	loopback_exit_on_signals();
	loopback_submit("portal", REPLICAS, true, 0);
	for (int i = 0; i < ARRAYS; i++)
		loopback_submit("accrual", TASKS, false, RUN_S);
	if (!loopback_run_until(all_run, 20)) {
		printf("The jobs did not start.\n");
		return false;
	}
	printf("All jobs run:\n");
	print_running();
	loopback_run(2 * LOOPBACK_HEARTBEAT_S);
	return true;
}

/* Kills all controllers and starts them again. Returns true if no live task was stopped, lost or
 * started again. */
static bool cold_start(void)
{
	const struct loopback_counts before = *loopback_counts(), *now = loopback_counts();
	unsigned run_commands, stop_commands;

	printf("All controllers are killed and started again after %.0f s (the lease is %.0f s):\n",
	       DOWN_S, LOOPBACK_LEASE_S);
	previous_cold_start_term = loopback_record_integer("coldstart/phase", "began");
	loopback_kill_all();
	loopback_run(DOWN_S);
	loopback_start_all();
	loopback_run_until(cold_start_ended, 2 * LOOPBACK_LEASE_S);
	loopback_run(LOOPBACK_HEARTBEAT_S);
	printf("Output of waystep --cold-start:\n");
	print_account();
	run_commands = now->run_commands - before.run_commands;
	stop_commands = now->stop_commands - before.stop_commands;
	printf("Commands since the kill: %u run, %u stop, %u reap; tasks lost: %u\n", run_commands,
	       stop_commands, now->reap_commands - before.reap_commands,
	       now->lost_tasks - before.lost_tasks);
	print_running();
	return !run_commands && !stop_commands && now->lost_tasks == before.lost_tasks && all_run();
}

int main(int argc, char **argv)
{
	bool succeeded;

	if (argc != 3)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	succeeded = start_cluster(argv[1], argv[2]) && cold_start();
	if (succeeded)
		succeeded = loopback_run_until(loopback_all_done, 2 * RUN_S);
	printf("State of the jobs:\n");
	print_job_states();
	succeeded = succeeded && !loopback_counts()->duplicate_starts;
	printf("%s\n", succeeded ? "No task that was alive was restarted."
				 : "FAILED: see the output above.");
	loopback_stop();
	return !succeeded;
}
