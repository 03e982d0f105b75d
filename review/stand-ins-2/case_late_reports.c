/*
 * All controllers end and are started again. Right before, a job was cancelled whose tasks filled
 * every machine. With the disruption, a late copy of a report that each machine sent while the
 * tasks ran follows the restart.
 */
#include "world.h"

#define DIRECT_DELAY_S 0.12 /* of answers to direct calls, with and without the disruption */
#define WAIT_S 75	    /* more than four leases */

const char *const case_name = "late reports after a restart";

static struct job *first, *second;
static char *old_reports[WORKERS_MAX];

void case_setup(void)
{
}

static bool first_runs(void)
{
	for (int i = 0; i < deployment.workers; i++)
		if (!tasks_on(&workers[i], first, false) || workers[i].tasks[0].phase != RUNNING)
			return false;
	return true;
}

static bool first_archived(void)
{
	char key[32];

	snprintf(key, sizeof(key), "old/%s", first->id);
	return store_value(key) != NULL;
}

static void on_copy_answered(void *context, int status, const char *body, size_t length)
{
	(void)body;
	(void)length;
	if (status == 200)
		record("%s: a late copy of its old report was answered 200",
		       ((struct worker *)context)->name);
}

/* While the answer to the new leader's first call is on its way, the copy arrives. */
static void copy_send(struct worker *worker)
{
	char *report = old_reports[worker->index];

	old_reports[worker->index] = NULL;
	if (report && store_leader() >= 0)
		ws_client_send(nodes[store_leader()].copies, "POST", "/checkin", report,
			       strlen(report), 4, false, on_copy_answered, worker);
	free(report);
}

static bool second_runs(void)
{
	return second->starts >= (unsigned)second->shards;
}

void case_run(void)
{
	for (int i = 0; i < deployment.workers; i++)
		workers[i].direct_delay_s = DIRECT_DELAY_S;
	run_for(5);
	first = job_new("sweep", deployment.workers, 16, 16, 300);
	job_submit(first);
	if (!run_until(first_runs, 20))
		cannot_run("the first job does not run");
	run_for(2 * deployment.report_s); /* every machine has reported that its task runs */
	for (int i = 0; i < deployment.workers; i++)
		old_reports[i] = strdup(workers[i].last_report);
	run_for(3);
	job_abort(first);
	if (!run_until(first_archived, 20))
		cannot_run("the first job is not over");
	for (int i = 0; i < NODES; i++)
		node_kill(i);
	for (int i = 0; i < deployment.workers; i++)
		record("%s: exited tasks not reaped: %u", workers[i].name,
		       tasks_on(&workers[i], first, true));
	run_for(5);
	if (trouble)
		command_hook = copy_send;
	for (int i = 0; i < NODES; i++)
		node_start(i);
	if (!run_until(leader_known, 20))
		cannot_run("no leader after the restart");
	record("worker-%d leads", store_leader());
	run_for(5);
	second = job_new("daemon", deployment.workers, 16, 16, 0);
	job_submit(second);
	if (!run_until(all_accepted, 30))
		cannot_run("the second job was not accepted");
	run_until(second_runs, WAIT_S);
	for (int i = 0; i < deployment.workers; i++)
		record("%s: %u replicas, lease ran out %u times", workers[i].name,
		       tasks_on(&workers[i], second, false), workers[i].lease_losses);
	if (!second_runs())
		broken("an accepted job must run: %u of %d replicas of %s were started within "
		       "%.0f s, though all machines are up, report and are empty otherwise",
		       second->starts, second->shards, second->id, ws_now() - second->accepted_at);
}
