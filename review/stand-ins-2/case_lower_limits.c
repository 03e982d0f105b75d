/*
 * A gang and a service of 320 tasks of 0.125 CPUs each. With the disruption, the settings announce
 * lower limits of the state service and both are submitted after these came into force.
 */
#include "world.h"

#define TASKS 320
#define CPUS 0.125
#define GANG_RUN_S 10
#define WAIT_S 80

const char *const case_name = "a gang and a service under lower limits";

static struct job *gang, *service;

void case_setup(void)
{
	if (!trouble)
		return;
	deployment.next_value_kb = 2;
	deployment.next_txn_ops = 8;
	deployment.next_write_rps = 35;
}

static unsigned tasks_up(const struct job *job)
{
	unsigned count = 0;

	for (int i = 0; i < deployment.workers; i++)
		count += tasks_on(&workers[i], job, false);
	return count;
}

static bool both_ran(void)
{
	return service->starts >= TASKS && gang->done;
}

void case_run(void)
{
	run_for(5);
	if (trouble)
		store_lower_limits();
	run_for(3);
	gang = job_new("gang", TASKS, CPUS, 0.2, GANG_RUN_S);
	snprintf(gang->class_name, sizeof(gang->class_name), "small-gang");
	service = job_new("daemon", TASKS, CPUS, 0.2, 0);
	snprintf(service->class_name, sizeof(service->class_name), "small-service");
	snprintf(service->tier, sizeof(service->tier), "production");
	job_submit(gang);
	job_submit(service);
	if (!run_until(all_accepted, 30))
		cannot_run("a job was not accepted");
	run_until(both_ran, WAIT_S);
	record("gang %s: %u of %d tasks started, last answer %s", gang->id, gang->starts, TASKS,
	       gang->phase);
	record("service %s: %u of %d replicas are up, %u were started", service->id,
	       tasks_up(service), TASKS, service->starts);
	if (!gang->done)
		broken("an accepted job must run: the gang %s is not done %.0f s after it was "
		       "accepted, %u of its %d tasks started, %.0f of 96 CPUs are in use",
		       gang->id, ws_now() - gang->accepted_at, gang->starts, TASKS,
		       tasks_up(service) * CPUS);
	if (service->starts < TASKS)
		broken("an accepted job must run: %d replicas of the service %s were never started "
		       "in %.0f s",
		       TASKS - (int)service->starts, service->id, ws_now() - service->accepted_at);
}
