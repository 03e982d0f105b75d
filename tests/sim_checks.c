/* The rules about what runs. */
#include "sim_checks.h"
#include "sim_subsystems.h"

#define CPU_TOLERANCE 1e-9

/* Tasks of a job that run in a zone, and in the others. */
struct spread {
	uint32_t in_zone, elsewhere;
};

bool sim_on_machine(const struct sim_task *task)
{
	return task->state == WS_TASK_RUNNING || task->state == WS_TASK_CHECKPOINTING ||
	       task->state == WS_TASK_WAITING;
}

static bool is_there(const struct sim_worker *worker)
{
	return !worker->dead && !worker->deleted;
}

int sim_running(const struct sim *sim, const char *id)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			count += is_there(&sim->workers[i]) &&
				 sim_on_machine(&sim->workers[i].tasks[k]) &&
				 !strcmp(sim->workers[i].tasks[k].job, id);
	return count;
}

/* No task runs twice, and no attempt of a gang beside another one. */
static void check_beside(struct sim *sim, const struct sim_job *job,
			 const struct sim_worker *worker, const struct sim_task *task,
			 const struct sim_worker *other_worker, const struct sim_task *other_task)
{
	if (other_task->task == task->task)
		sim_fail(sim, "ran_twice: %s/%u starts on %s while on %s", task->job, task->task,
			 worker->name, other_worker->name);
	if (job && job->spec.gang && other_task->attempt != task->attempt)
		sim_fail(sim, "%s/%u: a start beside another attempt of its gang", task->job,
			 task->task);
}

/* The other tasks of the job that run now: each is checked against the one that starts. */
static struct spread check_others(struct sim *sim, const struct sim_job *job,
				  const struct sim_worker *worker, const struct sim_task *task)
{
	struct spread spread = {0, 0};

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *other_worker = &sim->workers[i];

		for (int k = 0; is_there(other_worker) && k < other_worker->task_count; k++) {
			const struct sim_task *other_task = &other_worker->tasks[k];

			if (other_task == task || !sim_on_machine(other_task) ||
			    strcmp(other_task->job, task->job) != 0)
				continue;
			check_beside(sim, job, worker, task, other_worker, other_task);
			if (strcmp(other_worker->zone, worker->zone) != 0)
				spread.elsewhere++;
			else
				spread.in_zone++;
		}
	}
	return spread;
}

/* It is where its job may run. */
static void check_place(struct sim *sim, const struct ws_job_spec *spec,
			const struct sim_worker *worker, const struct sim_task *task,
			const struct spread *spread)
{
	const struct ws_machine_type *type = &sim->types[worker->type];

	if (spec->one_zone && spread->elsewhere)
		sim_fail(sim, "wrong_place: %s/%u in zone %s", task->job, task->task, worker->zone);
	if (spec->spread && spread->in_zone + 1 > (spec->tasks + 1) / 2)
		sim_fail(sim, "wrong_place: %s/%u makes %u in zone %s", task->job, task->task,
			 spread->in_zone + 1, worker->zone);
	if (spec->zone[0] && strcmp(spec->zone, worker->zone) != 0)
		sim_fail(sim, "wrong_place: %s/%u in zone %s", task->job, task->task, worker->zone);
	if (worker->preemptible && !spec->allows_preemptible)
		sim_fail(sim, "wrong_place: %s/%u on a preemptible machine", task->job, task->task);
	if (!ws_machine_type_fits(type, spec))
		sim_fail(sim, "wrong_place: %s/%u on type %s", task->job, task->task, type->name);
}

/* Counts a running task to its team, and checks that it was not cancelled long ago. */
static void check_running(struct sim *sim, const struct sim_worker *worker,
			  const struct sim_job *job, double *used)
{
	if (job->told_cancelled_at > 0 && sim->now > job->told_cancelled_at + sim->cancel_s)
		sim_fail(sim, "ran_cancelled: %s is on %s", job->spec.id, worker->name);
	for (int i = 0; i < sim->team_count; i++)
		if (!strcmp(sim->teams[i].name, job->spec.team))
			used[i] += job->spec.cpus;
}

/* What a team runs, for the log of a play that failed. */
static void log_running(const struct sim *sim, const char *team)
{
	char text[256];

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++) {
			const struct sim_task *task = &sim->workers[i].tasks[k];
			const struct sim_job *job = sim_job_of((struct sim *)sim, task->job);

			if (!job || !is_there(&sim->workers[i]) || !sim_on_machine(task) ||
			    strcmp(job->spec.team, team) != 0)
				continue;
			snprintf(text, sizeof(text),
				 "running machine=%s job=%s task=%u attempt=%llu",
				 sim->workers[i].name, task->job, task->task,
				 (unsigned long long)task->attempt);
			sim_log(WS_LOG_ERROR, text);
		}
}

void sim_check_quota(struct sim *sim)
{
	double used[sizeof(sim->teams) / sizeof(sim->teams[0])] = {0};

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (int k = 0; is_there(worker) && k < worker->task_count; k++) {
			const struct sim_job *job = sim_job_of(sim, worker->tasks[k].job);

			if (job && sim_on_machine(&worker->tasks[k]))
				check_running(sim, worker, job, used);
		}
	}
	for (int i = 0; i < sim->team_count; i++) {
		sim->team_use_bound[i] = used[i];
		if (used[i] > sim->teams[i].cpus_max + CPU_TOLERANCE) {
			log_running(sim, sim->teams[i].name);
			sim_fail(sim, "quota: %s uses %.1f", sim->teams[i].name, used[i]);
		}
	}
}

/*
 * At each start, since what is over a limit for a moment would be missed later. All tasks are
 * counted only if the team may be over: its use when they were last counted, and all starts since.
 */
static void check_quota_at_start(struct sim *sim, const struct sim_job *job)
{
	for (int i = 0; i < sim->team_count; i++) {
		if (strcmp(sim->teams[i].name, job->spec.team) != 0)
			continue;
		sim->team_use_bound[i] += job->spec.cpus;
		if (sim->team_use_bound[i] > sim->teams[i].cpus_max + CPU_TOLERANCE)
			sim_check_quota(sim);
	}
}

void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task)
{
	struct sim_job *job = sim_job_of(sim, task->job);
	struct spread spread = check_others(sim, job, worker, task);

	if (!job)
		return;
	check_place(sim, &job->spec, worker, task, &spread);
	if (job->told_cancelled_at > 0 && sim->now > job->told_cancelled_at + sim->cancel_s)
		sim_fail(sim, "ran_cancelled: %s/%u starts on %s", task->job, task->task,
			 worker->name);
	check_quota_at_start(sim, job);
	sim->starts++;
	sim_domains_task_started(sim, job, task->task);
	sim_cold_start_task_started(sim, job, task->task);
	if (!job->started_at)
		job->started_at = sim->now;
}
