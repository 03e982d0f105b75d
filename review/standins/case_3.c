/*
 * Case 3. A guest team submits one huge array of small tasks. The controllers give a machine more of
 * them than its worker can name in a report, so the lease of the machine ends with all that is on it.
 * An accepted job must run.
 *
 * TROUBLE=0: the same amount of work in an ordinary array, of 12 tasks of 1 CPU.
 */
#include "cluster.h"
#include <stdlib.h>
#include <string.h>

#define TASKS 1200
#define TASK_CPUS 0.01
#define ORDINARY_TASKS 12
#define TASK_RUN_S 60.0
/* After this time, an array that could run as a whole at once must have begun to complete. */
#define TIME_GIVEN_S 95.0

static bool leader_is_there(void)
{
	return leader_node() >= 0;
}

static struct job *service, *array;

static bool service_runs(void)
{
	return running_tasks(service) == service->shards;
}

static bool array_done(void)
{
	return array->told_done;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "1";
	size_t largest = 0;
	bool ordinary;

	if (argc < 3)
		return 2;
	srand48(2);
	/* as on the page of the Inzira deployment, with its guest team */
	settings = (struct cluster_settings){.nodes = 3,
					     .workers = 6,
					     .teams = 2,
					     .zones = 2,
					     .zone_names = {"nyarugenge", "huye"},
					     .node_zone = {0, 1, 0},
					     .worker_zone = {0, 1, 0, 1, 0, 1},
					     .team_names = {"ledger-ops-00", "bursary-audit"},
					     .team_cpus = {40, 0},
					     .team_cpus_max = {112, 112},
					     .worker_cpus = 16,
					     .worker_mem_gb = 128,
					     .report_s = 2,
					     .lease_s = 16,
					     .cancel_s = 46,
					     .store_rps = 250,
					     .store_write_rps = 50,
					     .value_kb = 16,
					     .txn_ops = 24,
					     .cloud_rps = 2,
					     .list_lag_s = 5,
					     .core_share = 0.16,
					     .ram_mb = 72,
					     .max_sockets = 900,
					     .poll_s = 5};
	cluster_start(argc - 2, argv + 2, argv[1]);
	for (int i = 0; i < settings.nodes; i++)
		node_start(i);
	if (!run_until(leader_is_there, 10))
		cannot_run("there is no leader");
	run_for(4); /* all machines have reported */
	service = job_add(&(struct job){.kind = "daemon",
					.tier = "production",
					.shards = 2,
					.cpus = 2,
					.mem_gb = 8.3,
					.image_gb = 0.1,
					.spread = true});
	if (!run_until(service_runs, 10))
		cannot_run("the service does not run");
	record("the service runs");
	ordinary = !strcmp(trouble, "0");
	array = job_add(&(struct job){.team = 1,
				      .tier = "best_effort",
				      .shards = ordinary ? ORDINARY_TASKS : TASKS,
				      .cpus = ordinary ? TASKS * TASK_CPUS / ORDINARY_TASKS : TASK_CPUS,
				      .mem_gb = ordinary ? 1 : 0.01,
				      .image_gb = 0.1,
				      .run_s = TASK_RUN_S});
	run_until(array_done, TIME_GIVEN_S);
	if (!array->accepted)
		cannot_run("the array was not accepted");
	record("service: %u of %u replicas run, %u starts, %u killed by the end of a lease",
	       running_tasks(service), service->shards, service->starts, service->killed_count);
	record("array: accepted at %.1f s, %u of %u tasks done, %u starts, %u killed by the end of "
	       "a lease",
	       array->accepted_at, array->done_count, array->shards, array->starts,
	       array->killed_count);
	for (int i = 0; i < settings.workers; i++)
		if (workers[i].largest_report > largest)
			largest = workers[i].largest_report;
	if (!array->told_done && (!array->done_count || ordinary))
		violation("accepted_job_must_run",
			  "%s, accepted %.0f s ago, has %u of %u tasks done, which take %.0f s each; "
			  "%u were started and %u killed, the largest report would take %zu bytes; "
			  "%u replicas of another team's service were killed too",
			  array->id, now_s() - array->accepted_at, array->done_count, array->shards,
			  TASK_RUN_S, array->starts, array->killed_count, largest,
			  service->killed_count);
	cluster_stop();
	printf("%u broken rules, TROUBLE=%s\n", violation_count, trouble);
	return violation_count ? 1 : 0;
}
