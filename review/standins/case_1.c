/*
 * Case 1. The state service refuses the leader alone until the leader's lease there has run out, then
 * everybody for a while. Just before it is up again, the leader's zone is cut off from everything
 * for longer than lease_s. A task must not start elsewhere while it is on a machine of that zone.
 *
 * TROUBLE=0: no disruption. TROUBLE=cut: the same cut of the zone, with a state service that
 * always answers.
 */
#include "cluster.h"
#include <stdlib.h>
#include <string.h>

#define ZONE_OF_LEADER 0
#define OUTAGE_S 12.0
#define JOBS 12

static bool leader_refused, votes_seen[NODES_MAX];
static double outage_at, cut_at;
static int end_outage_steps;
static struct job *case_jobs[JOBS];

static bool first_node_leads(void)
{
	return leader_node() == 0;
}

static bool all_run(void)
{
	for (int i = 0; i < JOBS; i++)
		if (running_tasks(case_jobs[i]) < case_jobs[i]->shards)
			return false;
	return true;
}

/* The leader's lease has run out: now the state service is down for every node. */
static void leader_gone(void)
{
	if (!leader_refused || outage_at > 0)
		return;
	outage_at = now_s();
	outage_set(true);
}

/* The zone is cut off right after both other controllers were refused anew. */
static void store_request(int node, const char *method, const char *path)
{
	(void)method;
	if (!outage_at || cut_at > 0 || now_s() < outage_at + OUTAGE_S || strcmp(path, "/kv/leader"))
		return;
	votes_seen[node] = true;
}

static void step(void)
{
	if (outage_at && !cut_at && votes_seen[1] && votes_seen[2]) {
		cut_at = now_s();
		zone_cut(ZONE_OF_LEADER, true);
		end_outage_steps = 3;
	} else if (end_outage_steps && !--end_outage_steps) {
		outage_set(false);
	}
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "1";

	if (argc < 3)
		return 2;
	srand48(1);
	/* as on the page of the Apteekkiapu deployment, on two of its zones */
	settings = (struct cluster_settings){.nodes = 3,
					     .workers = 24,
					     .teams = 2,
					     .zones = 2,
					     .zone_names = {"turku", "helsinki"},
					     .node_zone = {0, 1, 1},
					     .team_names = {"jakelu-00", "jakelu-01"},
					     .team_cpus = {64, 64},
					     .team_cpus_max = {184, 184},
					     .worker_cpus = 16,
					     .worker_mem_gb = 64,
					     .report_s = 3,
					     .lease_s = 45,
					     .cancel_s = 75,
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
		settings.worker_zone[i] = i < settings.workers / 2 ? ZONE_OF_LEADER : 1;
	on_leader_gone = leader_gone;
	on_store_request = store_request;
	on_step = step;
	cluster_start(argc - 2, argv + 2, argv[1]);

	/* the first controller leads; the others join it */
	node_start(0);
	if (!run_until(first_node_leads, 10))
		cannot_run("node-0 does not lead");
	node_start(1);
	node_start(2);
	run_for(6); /* all machines have reported */
	/* long arrays, on the machines of the leader's zone and with room for them in the other */
	for (int i = 0; i < JOBS; i++)
		case_jobs[i] = job_add(&(struct job){.team = i % 2,
						     .shards = 4,
						     .cpus = 4,
						     .mem_gb = 5.4,
						     .image_gb = 0.1,
						     .run_s = 300});
	if (!run_until(all_run, 20) || !first_node_leads())
		cannot_run("the tasks do not run");
	run_for(4);
	record("tasks on machines: %u in %s, %u in %s", running_tasks_in_zone(0),
	       settings.zone_names[0], running_tasks_in_zone(1), settings.zone_names[1]);
	if (!strcmp(trouble, "cut")) {
		zone_cut(ZONE_OF_LEADER, true);
	} else if (strcmp(trouble, "0") != 0) {
		record("state service refuses node-0 alone");
		leader_refused = faults.refused[0] = true;
	}
	run_for(75);
	if (strcmp(trouble, "0") != 0 && strcmp(trouble, "cut") != 0 && !cut_at)
		cannot_run("the disruption did not come about");
	cluster_stop();
	printf("%u broken rules, TROUBLE=%s\n", violation_count, trouble);
	return violation_count ? 1 : 0;
}
