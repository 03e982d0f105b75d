/*
 * Three controllers, as processes, for as long as is asked: two teams are kept at their limits,
 * jobs are cancelled, controllers are killed and frozen, the store refuses or answers late, and
 * heartbeats, their answers and direct commands come late or again. At every start and every tick
 * the rules are checked: limits, no task twice, nothing cancelled goes on for too long; in the end
 * every job is answered for. The first break ends the run, and is told with the seed, the last
 * events and the last lines of the controllers' logs.
 * soak_test WAYSTEP SUBSYSTEMS SECONDS SEED.
 */
#include "check.h"
#include "loopback.h"
#include <stdio.h>
#include <stdlib.h>

#define UNFINISHED_JOBS 8 /* of each team, kept so many */
#define TASKS_MAX 5
#define RUN_MAX_S 4.0
#define CANCELLED_SHARE 0.3
#define STEP_MAX_S 2.0
/* All controllers are down for so long at most: longer than leaders are proven to have lived, and
 * than leases. */
#define DOWN_MAX_S (1.2 * LOOPBACK_LEASE_S)
#define SETTLE_S 90.0
/* A limit that no number of tasks of 4 CPUs meets. */
#define LIMIT_CPUS 22

static unsigned draw(unsigned below)
{
	return (unsigned)(loopback_random() * below);
}

/* Keeps a team's queue filled, so that what comes free is taken at once. */
static void submit_some(const struct loopback_team *team)
{
	while (loopback_unfinished(team) < UNFINISHED_JOBS) {
		double cpus = draw(3) ? 4 : 1 + draw(3);

		loopback_submit_for(team, 1 + draw(TASKS_MAX), cpus,
				    0.5 + RUN_MAX_S * loopback_random());
	}
}

static void cancel_some(void)
{
	unsigned count;
	struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++)
		if (jobs[i].accepted && !jobs[i].done && !jobs[i].to_cancel &&
		    loopback_random() < CANCELLED_SHARE / UNFINISHED_JOBS) {
			loopback_event("%s is to be cancelled", jobs[i].id);
			loopback_cancel(&jobs[i]);
		}
}

static bool is_broken(void)
{
	return loopback_break() != NULL;
}

/* ---- faults of controllers ---- */

static bool down[LOOPBACK_NODES], frozen[LOOPBACK_NODES];

static void kill_node(int node)
{
	loopback_event("node-%d is killed", node);
	loopback_kill_node(node);
	down[node] = true;
	frozen[node] = false;
}

static void freeze_node(int node)
{
	if (down[node])
		return;
	loopback_event("node-%d is frozen", node);
	loopback_freeze_node(node, true);
	frozen[node] = true;
}

static void bring_back(int node)
{
	if (frozen[node])
		loopback_freeze_node(node, false);
	if (down[node])
		loopback_start_node(node);
	if (frozen[node] || down[node])
		loopback_event("node-%d is back", node);
	frozen[node] = down[node] = false;
}

static void bring_back_all(void)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		bring_back(i);
}

static void controller_fault(void)
{
	int node = (int)draw(LOOPBACK_NODES);

	switch (draw(12)) {
	case 0:
	case 1:
		for (int i = 0; i < LOOPBACK_NODES; i++)
			kill_node(i);
		loopback_until(is_broken, DOWN_MAX_S * loopback_random());
		bring_back_all();
		break;
	case 2: kill_node(node); break;
	case 3: freeze_node(node); break;
	default: bring_back_all(); break;
	}
}

/* ---- faults of messages and store ---- */

static double draw_share(unsigned percent_on, double most)
{
	return draw(100) < percent_on ? most * loopback_random() : 0;
}

static void message_faults(void)
{
	loopback_faults.slow_answers = draw_share(60, 0.8);
	loopback_faults.heartbeat_copies = draw_share(50, 0.5);
	loopback_faults.copies_for_next = draw_share(70, 0.5);
	loopback_faults.late_commands = draw_share(40, 0.5);
	loopback_faults.lost_answers = draw_share(20, 0.3);
	loopback_faults.late_store_requests = draw_share(30, 0.1);
	loopback_event("faults: slow answers %.2f, copies %.2f and %.2f, late commands %.2f, lost "
		       "answers %.2f, late store requests %.2f",
		       loopback_faults.slow_answers, loopback_faults.heartbeat_copies,
		       loopback_faults.copies_for_next, loopback_faults.late_commands,
		       loopback_faults.lost_answers, loopback_faults.late_store_requests);
	if (draw(6))
		return;
	loopback_event("the store refuses");
	loopback_faults.store_refuses_until = loopback_now() + 4 * loopback_random();
}

static bool settled(void)
{
	return is_broken() ||
	       loopback_unfinished(&loopback_teams[0]) + loopback_unfinished(&loopback_teams[1]) ==
		   0;
}

static void soak(double seconds)
{
	double end = loopback_now() + seconds;

	while (loopback_now() < end && !is_broken()) {
		for (int i = 0; i < LOOPBACK_TEAMS; i++)
			submit_some(&loopback_teams[i]);
		cancel_some();
		controller_fault();
		if (!draw(4))
			message_faults();
		loopback_until(is_broken, STEP_MAX_S * loopback_random());
	}
	loopback_event("faults end");
	loopback_faults = (struct loopback_faults){0};
	bring_back_all();
	loopback_until(settled, SETTLE_S);
}

static void check_answers(void)
{
	unsigned count, forgotten = 0, back = 0, open = 0;
	const struct loopback_job *jobs = loopback_jobs(&count);

	for (unsigned i = 0; i < count; i++) {
		forgotten += jobs[i].forgotten;
		back += jobs[i].went_back;
		open += !jobs[i].done && !jobs[i].cancelled_at;
	}
	check("no job is forgotten", forgotten == 0);
	check("no answer is older than one before", back == 0);
	check("every job is done or cancelled", open == 0);
	printf("%u jobs, %u starts, %u tasks lost\n", count, loopback_counts()->starts,
	       loopback_counts()->lost);
}

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	setenv("LOG_LEVEL", "debug", 0);
	srand48(atol(argv[4]));
	for (int i = 0; i < LOOPBACK_TEAMS; i++)
		loopback_teams[i].cpus_max = LIMIT_CPUS;
	loopback_keep_logs();
	loopback_start(argv[1], argv[2]);
	loopback_leave_on_signals();
	loopback_run(1);
	soak(atof(argv[3]));
	check("no rule is broken", !is_broken());
	check_answers();
	if (bad) {
		printf("seed %s: %s\n", argv[4], is_broken() ? loopback_break() : "not settled");
		loopback_print_account();
	}
	loopback_stop();
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
