/*
 * Soak test of three controller processes: the demand keeps two teams at their limits, jobs are
 * cancelled, controllers are killed and paused, the store is unavailable or slow, and heartbeats,
 * their answers and direct commands are delayed or duplicated, answered direct commands too. Each
 * start of a task and each tick checks the invariants: no team exceeds its limit, no task runs
 * twice, no cancelled task runs for too long. In the end every job must be done or cancelled. The
 * first violation ends the run; it is printed with the seed, the last events and the last lines of
 * the controllers' logs. Usage: soak_test WAYSTEP SUBSYSTEMS SECONDS SEED.
 */
#include "check.h"
#include "loopback.h"
#include <stdio.h>
#include <stdlib.h>

#define UNFINISHED_JOBS 8 /* kept for each team */
#define TASKS_MAX 5
#define RUN_MAX_S 4.0
#define CANCELLED_SHARE 0.3
#define STEP_MAX_S 2.0
/* Longest time that all controllers are down: longer than a lease, and longer than the proof of an
 * earlier leader stays valid. */
#define DOWN_MAX_S (1.2 * LOOPBACK_LEASE_S)
#define SETTLE_S 90.0
/* No number of tasks with 4 CPUs adds up to this limit. */
#define LIMIT_CPUS 22

static unsigned random_below(unsigned below)
{
	return (unsigned)(loopback_random() * below);
}

/* Keeps jobs of a team waiting, so that released capacity is reused at once. */
static void submit_jobs(const struct loopback_team *team)
{
	while (loopback_unfinished_count(team) < UNFINISHED_JOBS) {
		double cpus = random_below(3) ? 4 : 1 + random_below(3);

		loopback_submit_for(team, 1 + random_below(TASKS_MAX), cpus,
				    0.5 + RUN_MAX_S * loopback_random());
	}
}

static void cancel_jobs(void)
{
	unsigned count;
	struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		if (jobs[i].accepted && !jobs[i].done && !jobs[i].cancel_requested &&
		    loopback_random() < CANCELLED_SHARE / UNFINISHED_JOBS) {
			loopback_event("%s: cancellation requested", jobs[i].id);
			loopback_cancel(&jobs[i]);
		}
}

static bool is_violated(void)
{
	return loopback_first_violation() != NULL;
}

/* ---- faults of controllers ---- */

static bool down[LOOPBACK_NODES], paused[LOOPBACK_NODES];

static void kill_node(int node)
{
	loopback_event("node-%d killed", node);
	loopback_kill_node(node);
	down[node] = true;
	paused[node] = false;
}

static void pause_node(int node)
{
	if (down[node])
		return;
	loopback_event("node-%d paused", node);
	loopback_pause_node(node, true);
	paused[node] = true;
}

static void restore_node(int node)
{
	if (paused[node])
		loopback_pause_node(node, false);
	if (down[node])
		loopback_start_node(node);
	if (paused[node] || down[node])
		loopback_event("node-%d resumed or restarted", node);
	paused[node] = down[node] = false;
}

static void restore_all_nodes(void)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		restore_node(i);
}

static void inject_controller_fault(void)
{
	int node = (int)random_below(LOOPBACK_NODES);

	switch (random_below(12)) {
	case 0:
	case 1:
		for (int i = 0; i < LOOPBACK_NODES; i++)
			kill_node(i);
		loopback_run_until(is_violated, DOWN_MAX_S * loopback_random());
		restore_all_nodes();
		break;
	case 2: kill_node(node); break;
	case 3: pause_node(node); break;
	default: restore_all_nodes(); break;
	}
}

/* ---- faults of messages and the store ---- */

static double draw_share(unsigned percent, double share_max)
{
	return random_below(100) < percent ? share_max * loopback_random() : 0;
}

static void inject_message_faults(void)
{
	loopback_faults.delayed_answers = draw_share(60, 0.8);
	loopback_faults.duplicated_heartbeats = draw_share(50, 0.5);
	loopback_faults.duplicated_after_election = draw_share(70, 0.5);
	loopback_faults.delayed_commands = draw_share(40, 0.5);
	loopback_faults.copied_commands = draw_share(80, 1);
	loopback_faults.lost_answers = draw_share(20, 0.3);
	loopback_faults.delayed_store_requests = draw_share(30, 0.1);
	loopback_event("faults: delayed answers %.2f, duplicates %.2f, after elections %.2f, "
		       "delayed commands %.2f, copied commands %.2f, lost answers %.2f, "
		       "delayed store requests %.2f",
		       loopback_faults.delayed_answers, loopback_faults.duplicated_heartbeats,
		       loopback_faults.duplicated_after_election, loopback_faults.delayed_commands,
		       loopback_faults.copied_commands, loopback_faults.lost_answers,
		       loopback_faults.delayed_store_requests);
	if (random_below(6))
		return;
	loopback_event("store unavailable");
	loopback_faults.store_unavailable_until = loopback_now() + 4 * loopback_random();
}

static bool is_settled(void)
{
	return is_violated() || loopback_unfinished_count(&loopback_teams[0]) +
					loopback_unfinished_count(&loopback_teams[1]) ==
				    0;
}

static void soak(double seconds)
{
	double end = loopback_now() + seconds;

	while (loopback_now() < end && !is_violated()) {
		for (int i = 0; i < LOOPBACK_TEAMS; i++)
			submit_jobs(&loopback_teams[i]);
		cancel_jobs();
		inject_controller_fault();
		if (!random_below(4))
			inject_message_faults();
		loopback_run_until(is_violated, STEP_MAX_S * loopback_random());
	}
	loopback_event("faults ended");
	loopback_faults = (struct loopback_faults){0};
	restore_all_nodes();
	loopback_run_until(is_settled, SETTLE_S);
}

static void check_answers(void)
{
	unsigned count, unknown = 0, contradictions = 0, unfinished = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++) {
		unknown += jobs[i].reported_unknown;
		contradictions += jobs[i].contradicted;
		unfinished += !jobs[i].done && !jobs[i].cancelled_at;
	}
	check("no accepted job is reported as unknown", unknown == 0);
	check("no answer contradicts an earlier one", contradictions == 0);
	check("every job is done or cancelled", unfinished == 0);
	printf("%u jobs, %u starts, %u tasks lost, %u copies of direct calls\n", count,
	       loopback_counts()->starts, loopback_counts()->lost_tasks,
	       loopback_counts()->command_copies);
}

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	setenv("LOG_LEVEL", "debug", 0);
	srand48(atol(argv[4]));
	for (int i = 0; i < LOOPBACK_TEAMS; i++)
		loopback_teams[i].cpus_max = LIMIT_CPUS;
	loopback_write_logs();
	loopback_start(argv[1], argv[2]);
	loopback_exit_on_signals();
	loopback_run(1);
	soak(atof(argv[3]));
	check("no invariant is violated", !is_violated());
	check_answers();
	if (failed_checks) {
		printf("seed %s: %s\n", argv[4],
		       is_violated() ? loopback_first_violation()
				     : "jobs are not finished or answers are wrong");
		loopback_print_diagnostics();
	}
	loopback_stop();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
