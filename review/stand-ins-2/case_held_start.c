/*
 * A job is started on a machine. With the disruption the direct call with the start is held up and
 * the machine is back at once; the call reaches it then. For longer than a lease the network
 * between it and the leader's host is interrupted; its reports reach the other controllers.
 */
#include "world.h"

/* Before the next report, which leaves 1.5 s after the last one at the earliest. */
#define BACK_AFTER_S 1.4
#define START_AFTER_S 0.2

const char *const case_name = "a held-up start reaches a machine that is back";

static struct job *warm_up, *job;
static struct worker *first;
static double renewed_at;

void case_setup(void)
{
}

static bool lease_renewed(void)
{
	return first->renewed_at > renewed_at;
}

static bool start_held(void)
{
	return first->held_call != NULL;
}

void case_run(void)
{
	run_for(5);
	/* all machines fetch the image */
	warm_up = job_new("sweep", deployment.workers, 16, 17, 2);
	job_submit(warm_up);
	if (!run_until(all_done, 30))
		cannot_run("the first job is not done");
	run_for(5);
	first = &workers[0];
	renewed_at = first->renewed_at;
	if (!run_until(lease_renewed, 10))
		cannot_run("no report was answered");
	renewed_at = ws_now();
	record("%s: its report is answered, its lease is renewed", first->name);
	first->holds_calls = trouble;
	job = job_new("sweep", 1, 4, 17, 40);
	job_submit(job);
	if (trouble) {
		if (!run_until(start_held, 1))
			cannot_run("the task was not started by a direct call to this machine");
		run_for(renewed_at + BACK_AFTER_S - ws_now());
		worker_restart(first);
		run_for(START_AFTER_S);
		worker_receive_copy(first, first->held_call);
	}
	run_until(all_done, 80);
	record("%s: %u starts, last answer %s", job->id, job->starts, job->phase);
	if (!job->done)
		broken("an accepted job must run: %s is not done", job->id);
}
