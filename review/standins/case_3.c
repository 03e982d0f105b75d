/*
 * Case 3. A team is near its limit. One machine of a waiting gang loses the network for some seconds,
 * so the leader stops the gang and gives its share of the limit to another job; as that starts, the
 * leader ends. The team must not use more than its limit.
 *
 * TROUBLE=0: no disruption. TROUBLE=network: only the machine loses the network. TROUBLE=leader: only
 * the leader ends.
 */
#include "cluster.h"
#include <stdlib.h>
#include <string.h>

#define CUT_S 10.0
/* "back about 8 s after an end" */
#define BACK_S 8.0
#define LONG_TASKS 10

static struct job *long_array, *gang, *urgent;
static bool machine_may_be_cut;
static struct worker *cut_machine;
static double cut_at;
static int killed = -1;

static bool leader_is_there(void)
{
	return leader_node() >= 0;
}

static bool array_runs(void)
{
	return running_tasks(long_array) == long_array->shards;
}

static bool gang_is_sent(void)
{
	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; k < workers[i].task_count; k++)
			if (workers[i].tasks[k].job == gang)
				return true;
	return false;
}

static bool urgent_started(void)
{
	return urgent->starts > 0;
}

/* The machine loses the network just before the first command for the gang arrives there. */
static void direct_command(struct worker *worker, const char *body)
{
	if (!machine_may_be_cut || cut_machine || !strstr(body, gang->id) || !strstr(body, "run"))
		return;
	cut_machine = worker;
	cut_at = now_s();
	worker_cut(worker->index, true);
}

static void step(void)
{
	if (cut_machine && cut_at && now_s() > cut_at + CUT_S) {
		cut_at = 0;
		worker_cut(cut_machine->index, false);
	}
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "1";
	bool network = !strcmp(trouble, "1") || !strcmp(trouble, "network");
	bool leader_ends = !strcmp(trouble, "1") || !strcmp(trouble, "leader");

	if (argc < 3)
		return 2;
	srand48(3);
	/* as on the page of the Apteekkiapu deployment */
	settings = (struct cluster_settings){.nodes = 3,
					     .workers = 14,
					     .teams = 1,
					     .zones = 2,
					     .zone_names = {"turku", "helsinki"},
					     .node_zone = {0, 1, 0},
					     .team_names = {"jakelu-00"},
					     .team_cpus = {64},
					     .team_cpus_max = {184},
					     .worker_cpus = 16,
					     .worker_mem_gb = 64,
					     .report_s = 3,
					     .lease_s = 45,
					     .cancel_s = 75,
					     .gang_wait_s = 45,
					     .gang_peer_s = 4,
					     .store_rps = 150,
					     .store_write_rps = 50,
					     .value_kb = 4,
					     .txn_ops = 12,
					     .cloud_rps = 6,
					     .list_lag_s = 8,
					     .core_share = 0.32,
					     .ram_mb = 200,
					     .max_sockets = 3500,
					     .poll_s = 5};
	for (int i = 0; i < settings.workers; i++)
		settings.worker_zone[i] = i % 2;
	on_direct_command = direct_command;
	on_step = step;
	cluster_start(argc - 2, argv + 2, argv[1]);
	for (int i = 0; i < settings.nodes; i++)
		node_start(i);
	if (!run_until(leader_is_there, 10))
		cannot_run("there is no leader");
	run_for(5); /* all machines have reported */
	/* 160 of the 184 CPUs that the team may use */
	long_array = job_add(&(struct job){.shards = LONG_TASKS,
					   .cpus = 16,
					   .mem_gb = 5.4,
					   .image_gb = 0.1,
					   .run_s = 300});
	if (!run_until(array_runs, 15))
		cannot_run("the long array does not run");
	run_for(4); /* its starts are reported and recorded */
	/* the other 24 */
	machine_may_be_cut = network;
	gang = job_add(&(struct job){.kind = "gang",
				     .shards = 2,
				     .cpus = 12,
				     .mem_gb = 5.4,
				     .image_gb = 0.1,
				     .run_s = 20});
	if (!run_until(gang_is_sent, 10))
		cannot_run("the gang is not started");
	/* a job that goes before the gang, and fits within the limit when the gang has ended */
	urgent = job_add(&(struct job){.tier = "production",
				       .shards = 1,
				       .cpus = 16,
				       .mem_gb = 5.4,
				       .image_gb = 0.1,
				       .run_s = 60});
	if (!run_until(urgent_started, 50))
		cannot_run("the urgent job does not start");
	if (leader_ends) {
		killed = leader_node();
		node_kill(killed);
		run_for(BACK_S);
		node_start(killed);
	}
	run_for(25);
	cluster_stop();
	printf("%u broken rules, TROUBLE=%s\n", violation_count, trouble);
	return violation_count ? 1 : 0;
}
