/*
 * A task fails on one machine and runs on another. With the disruption the first machine is back
 * within a fraction of a second, and a repeat of a request that it had carried out follows: the
 * direct call that started the task there.
 */
#include "world.h"

const char *const case_name = "a repeat of a start after a machine is back";

#define REPEAT_AFTER_S 0.3

static struct job *job;
static struct worker *first;

void case_setup(void)
{
}

static struct worker *worker_running(void)
{
	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++)
			if (workers[i].tasks[k].job == job && workers[i].tasks[k].phase == RUNNING)
				return &workers[i];
	return NULL;
}

static bool runs_first(void)
{
	return worker_running() != NULL;
}

static bool runs_elsewhere(void)
{
	return worker_running() && worker_running() != first;
}

void case_run(void)
{
	run_for(5);
	job = job_new("sweep", 1, 4, 17, 45);
	job->errors_left = 1;
	job_submit(job);
	if (!run_until(runs_first, 20))
		cannot_run("the task does not run");
	first = worker_running();
	record("%s: %s/0 runs", first->name, job->id);
	if (!run_until(runs_elsewhere, 20))
		cannot_run("the task did not start elsewhere");
	record("%s: %s/0 runs", worker_running()->name, job->id);
	if (!first->run_call)
		cannot_run("the task was not started by a direct call");
	run_for(3);
	if (trouble) {
		worker_restart(first);
		run_for(REPEAT_AFTER_S);
		worker_receive_copy(first, first->run_call);
	}
	run_until(all_done, 70);
	record("%s: %u starts, last answer %s", job->id, job->starts, job->phase);
	if (!job->done)
		broken("an accepted job must run: %s is not done", job->id);
}
