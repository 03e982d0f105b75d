/*
 * Jobs of many small tasks. A job has 400 tasks of 0.01 CPUs; a machine has 16 CPUs. Without the
 * disruption the jobs come one after the other, with it three come at a time.
 */
#include "world.h"

#define RUSH 3
#define SHARDS 400
#define RUN_S 20

const char *const case_name = "small tasks";

void case_setup(void)
{
}

void case_run(void)
{
	run_for(5);
	for (int i = 0; i < RUSH; i++) {
		struct job *job = job_new("sweep", SHARDS, 0.01, 0.05, RUN_S);

		snprintf(job->class_name, sizeof(job->class_name), "small-sweep");
		job_submit(job);
		if (!trouble && !run_until(all_done, 35))
			broken("job %s: not done", jobs[job_count - 1].id);
	}
	if (!run_until(all_accepted, 30))
		cannot_run("a job was not accepted");
	run_until(all_done, 80);
	for (int i = 0; i < job_count; i++) {
		record("%s: %d tasks, %u starts, %u completed, last answer %s", jobs[i].id,
		       jobs[i].shards, jobs[i].starts, jobs[i].finished, jobs[i].phase);
		if (!jobs[i].done)
			broken("an accepted job must run: %s is not done", jobs[i].id);
	}
	for (int i = 0; i < deployment.workers; i++) {
		record("%s: lease ran out %u times, %u tasks killed", workers[i].name,
		       workers[i].lease_losses, workers[i].tasks_lost);
		if (workers[i].oversize_commands)
			broken("%u request bodies of a controller to %s had more than 64 KiB",
			       workers[i].oversize_commands, workers[i].name);
	}
}
