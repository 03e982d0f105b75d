/* The invariants on running tasks. */
#include "sim_checks.h"
#include "sim_records.h"
#include "sim_subsystems.h"

#define CPU_TOLERANCE 1e-9

/* Number of running tasks of a job in one zone and in all others. */
struct zone_counts {
	uint32_t in_zone, in_other_zones;
};

bool sim_task_started(const struct sim_task *task)
{
	return task->state == WS_TASK_RUNNING || task->state == WS_TASK_CHECKPOINTING ||
	       task->state == WS_TASK_WAITING;
}

static bool exists(const struct sim_worker *worker)
{
	return !worker->failed && !worker->deleted;
}

int sim_count_running(const struct sim *sim, const char *id)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			count += exists(&sim->workers[i]) &&
				 sim_task_started(&sim->workers[i].tasks[k]) &&
				 !strcmp(sim->workers[i].tasks[k].job, id);
	return count;
}

/* Checks that no task runs twice at a time, and that no two attempts of a gang run at a time. */
static void check_concurrent_attempts(struct sim *sim, const struct sim_job *job,
				      const struct sim_worker *worker, const struct sim_task *task,
				      const struct sim_worker *other_worker,
				      const struct sim_task *other_task)
{
	if (other_task->task == task->task)
		sim_fail(sim, "duplicate run: %s/%u starts on %s while it runs on %s", task->job,
			 task->task, worker->name, other_worker->name);
	if (job && job->spec.gang && other_task->attempt != task->attempt)
		sim_fail(sim, "duplicate run: %s/%u starts while another attempt of its gang runs",
			 task->job, task->task);
}

/* Checks a starting task against each running task of its job, and counts these by zone. */
static struct zone_counts check_other_tasks(struct sim *sim, const struct sim_job *job,
					    const struct sim_worker *worker,
					    const struct sim_task *task)
{
	struct zone_counts counts = {0, 0};

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *other_worker = &sim->workers[i];

		for (int k = 0; exists(other_worker) && k < other_worker->task_count; k++) {
			const struct sim_task *other_task = &other_worker->tasks[k];

			if (other_task == task || !sim_task_started(other_task) ||
			    strcmp(other_task->job, task->job) != 0)
				continue;
			check_concurrent_attempts(sim, job, worker, task, other_worker, other_task);
			if (strcmp(other_worker->zone, worker->zone) != 0)
				counts.in_other_zones++;
			else
				counts.in_zone++;
		}
	}
	return counts;
}

/* Checks the zone, the type and the preemptibility of the machine against the job's constraints. */
static void check_placement(struct sim *sim, const struct ws_job_spec *spec,
			    const struct sim_worker *worker, const struct sim_task *task,
			    const struct zone_counts *counts)
{
	const struct ws_machine_type *type = &sim->types[worker->type];

	if (spec->one_zone && counts->in_other_zones)
		sim_fail(sim, "placement: %s/%u starts in zone %s, its job runs in another",
			 task->job, task->task, worker->zone);
	if (spec->spread && counts->in_zone + 1 > (spec->tasks + 1) / 2)
		sim_fail(sim, "placement: %s/%u is task number %u of its spread job in zone %s",
			 task->job, task->task, counts->in_zone + 1, worker->zone);
	if (spec->zone[0] && strcmp(spec->zone, worker->zone) != 0)
		sim_fail(sim, "placement: %s/%u starts in zone %s, not %s", task->job, task->task,
			 worker->zone, spec->zone);
	if (worker->preemptible && !spec->allows_preemptible)
		sim_fail(sim, "placement: %s/%u starts on a preemptible machine", task->job,
			 task->task);
	if (!ws_machine_type_fits(type, spec))
		sim_fail(sim, "placement: %s/%u starts on a machine of type %s", task->job,
			 task->task, type->name);
}

/* Adds a running task to the CPU use of its team, and checks that it was not cancelled long ago. */
static void check_running_task(struct sim *sim, const struct sim_worker *worker,
			       const struct sim_job *job, double *used)
{
	if (job->reported_cancelled_at > 0 && sim->now > job->reported_cancelled_at + sim->cancel_s)
		sim_fail(sim, "cancelled job: %s still runs on %s", job->spec.id, worker->name);
	for (int i = 0; i < sim->team_count; i++)
		if (!strcmp(sim->teams[i].name, job->spec.team))
			used[i] += job->spec.cpus;
}

/* Logs the running tasks of a team, to explain an exceeded limit. */
static void log_running_tasks(const struct sim *sim, const char *team)
{
	char text[256];

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++) {
			const struct sim_task *task = &sim->workers[i].tasks[k];
			const struct sim_job *job = sim_find_job((struct sim *)sim, task->job);

			if (!job || !exists(&sim->workers[i]) || !sim_task_started(task) ||
			    strcmp(job->spec.team, team) != 0)
				continue;
			snprintf(text, sizeof(text),
				 "running machine=%s job=%s task=%u attempt=%llu",
				 sim->workers[i].name, task->job, task->task,
				 (unsigned long long)task->attempt);
			sim_log(WS_LOG_ERROR, text);
		}
}

void sim_check_running_tasks(struct sim *sim)
{
	double used[sizeof(sim->teams) / sizeof(sim->teams[0])] = {0};

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (int k = 0; exists(worker) && k < worker->task_count; k++) {
			const struct sim_job *job = sim_find_job(sim, worker->tasks[k].job);

			if (job && sim_task_started(&worker->tasks[k]))
				check_running_task(sim, worker, job, used);
		}
	}
	for (int i = 0; i < sim->team_count; i++) {
		sim->team_use_bound[i] = used[i];
		if (used[i] > sim->teams[i].cpus_max + CPU_TOLERANCE) {
			log_running_tasks(sim, sim->teams[i].name);
			sim_fail(sim, "team limit: team %s uses %.1f CPUs, the limit is %.1f",
				 sim->teams[i].name, used[i], sim->teams[i].cpus_max);
		}
	}
}

/*
 * Checks the limit at each start, because the check at the end of a step would miss a limit that is
 * exceeded only for a moment. The upper bound of a team's use is its last counted use plus all
 * starts since; all tasks are counted again only if this bound exceeds the limit.
 */
static void check_team_limit_at_start(struct sim *sim, const struct sim_job *job)
{
	for (int i = 0; i < sim->team_count; i++) {
		if (strcmp(sim->teams[i].name, job->spec.team) != 0)
			continue;
		sim->team_use_bound[i] += job->spec.cpus;
		if (sim->team_use_bound[i] > sim->teams[i].cpus_max + CPU_TOLERANCE)
			sim_check_running_tasks(sim);
	}
}

void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task)
{
	struct sim_job *job = sim_find_job(sim, task->job);
	struct zone_counts counts = check_other_tasks(sim, job, worker, task);

	if (!job)
		return;
	check_placement(sim, &job->spec, worker, task, &counts);
	if (sim->starts_on_record)
		sim_records_check_start(sim, worker, task);
	if (job->reported_cancelled_at > 0 && sim->now > job->reported_cancelled_at + sim->cancel_s)
		sim_fail(sim, "cancelled job: %s/%u starts on %s", task->job, task->task,
			 worker->name);
	check_team_limit_at_start(sim, job);
	sim->starts++;
	sim_domains_task_started(sim, job, task->task);
	sim_cold_start_task_started(sim, job, task->task);
	if (!job->started_at)
		job->started_at = sim->now;
}
