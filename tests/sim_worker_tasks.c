/* Tasks of simulated workers: RUN, STOP and REAP commands, image fetches and runs. */
#include "sim_records.h"
#include "sim_checks.h"
#include "sim_message_sizes.h"
#include "sim_subsystems.h"
#include "sim_users.h"
#include "sim_workers.h"

#define FETCH_GB_PER_S 0.5
#define CAPACITY_TOLERANCE 1e-9

struct sim_task *sim_worker_add_task(struct sim_worker *worker)
{
	struct sim_task *task;

	if (worker->task_count == worker->task_capacity) {
		worker->task_capacity = worker->task_capacity ? 2 * worker->task_capacity : 8;
		worker->tasks =
		    realloc(worker->tasks, (size_t)worker->task_capacity * sizeof(*worker->tasks));
	}
	task = &worker->tasks[worker->task_count++];
	memset(task, 0, sizeof(*task));
	return task;
}

/* The attempts that a worker has of the task that a command names. */
struct task_attempts {
	struct sim_task *task;	/* the named attempt; NULL if the worker does not have it */
	bool has_other_attempt; /* another attempt has not exited yet */
};

static struct task_attempts find_attempts(struct sim_worker *worker,
					  const struct ws_command *command)
{
	struct task_attempts found = {NULL, false};

	for (int i = 0; i < worker->task_count; i++) {
		struct sim_task *task = &worker->tasks[i];

		if (strcmp(task->job, command->job) != 0 || task->task != command->task)
			continue;
		if (task->attempt == command->attempt)
			found.task = task;
		else if (task->state != WS_TASK_EXITED)
			found.has_other_attempt = true;
	}
	return found;
}

static bool has_capacity(struct sim *sim, const struct sim_worker *worker,
			 const struct ws_job_spec *spec)
{
	const struct ws_machine_type *type = &sim->types[worker->type];
	double cpus = spec->cpus, mem_gb = spec->mem_gb, used_cpus = 0, used_mem_gb = 0;

	for (int i = 0; i < worker->task_count; i++) {
		const struct sim_job *job = sim_find_job(sim, worker->tasks[i].job);

		if (worker->tasks[i].state == WS_TASK_EXITED || !job)
			continue;
		used_cpus += job->spec.cpus;
		used_mem_gb += job->spec.mem_gb;
	}
	return used_cpus + cpus <= type->cpus + CAPACITY_TOLERANCE &&
	       used_mem_gb + mem_gb <= type->mem_gb + CAPACITY_TOLERANCE;
}

static bool has_image(const struct sim_worker *worker, const char *image)
{
	for (int i = 0; i < worker->image_count; i++)
		if (!strcmp(worker->images[i], image))
			return true;
	return false;
}

double sim_worker_fetch_s(const struct sim_worker *worker, const struct sim_job *job)
{
	return has_image(worker, job->spec.image) ? 0 : job->spec.image_gb / FETCH_GB_PER_S;
}

/* Returns the reason why a task can't be started, or WS_EXIT_NONE if it can. */
static enum ws_exit_reason start_failure_reason(struct sim *sim, const struct sim_worker *worker,
						const struct sim_job *job, bool has_other_attempt)
{
	if (!job || !job->submitted)
		return WS_EXIT_UNKNOWN_JOB;
	if (has_other_attempt)
		return WS_EXIT_ATTEMPT_EXISTS;
	if (!has_capacity(sim, worker, &job->spec))
		return WS_EXIT_NO_CAPACITY;
	return WS_EXIT_NONE;
}

/* Adds a task in state fetching, or exited if it can't be started. */
static void start_task(struct sim *sim, struct sim_worker *worker, const struct ws_command *command,
		       bool has_other_attempt)
{
	const struct sim_job *job = sim_find_job(sim, command->job);
	enum ws_exit_reason failure_reason =
	    start_failure_reason(sim, worker, job, has_other_attempt);
	struct sim_task *task;

	task = sim_worker_add_task(worker);
	snprintf(task->job, sizeof(task->job), "%s", command->job);
	task->task = command->task;
	task->attempt = command->attempt;
	task->exit_reason = failure_reason;
	task->state = failure_reason == WS_EXIT_NONE ? WS_TASK_FETCHING : WS_TASK_EXITED;
	if (job && failure_reason == WS_EXIT_NONE)
		task->seconds_left = sim_worker_fetch_s(worker, job);
	sim_worker_expedite_heartbeat(worker, sim->now);
}

/* Returns whether a task writes a checkpoint before it stops; the grace period must suffice. */
static bool checkpoints_before_stop(const struct sim_job *job, const struct sim_task *task,
				    const struct ws_command *command)
{
	return job && job->spec.gang &&
	       (task->state == WS_TASK_RUNNING || task->state == WS_TASK_CHECKPOINTING) &&
	       command->grace_s >= job->spec.checkpoint_duration_s &&
	       job->spec.checkpoint_interval_s > 0;
}

static void stop_task(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
		      const struct ws_command *command)
{
	if (checkpoints_before_stop(sim_find_job(sim, task->job), task, command)) {
		if (task->state == WS_TASK_RUNNING)
			task->stopped_at = sim->now;
		task->state = WS_TASK_CHECKPOINTING;
	} else if (task->state != WS_TASK_EXITED) {
		task->state = WS_TASK_EXITED;
		task->exit_reason = WS_EXIT_STOPPED;
	} else {
		return;
	}
	sim_worker_expedite_heartbeat(worker, sim->now);
}

static void reap_task(struct sim *sim, struct sim_worker *worker, struct sim_task *task)
{
	if (task->state != WS_TASK_EXITED)
		return;
	*task = worker->tasks[--worker->task_count];
	sim_worker_expedite_heartbeat(worker, sim->now);
}

static void execute_command(struct sim *sim, struct sim_worker *worker,
			    const struct ws_command *command)
{
	struct task_attempts found = find_attempts(worker, command);

	sim_cold_start_command_received(sim, worker, command, found.task);
	switch (command->kind) {
	case WS_COMMAND_RUN:
		if (!found.task)
			start_task(sim, worker, command, found.has_other_attempt);
		break;
	case WS_COMMAND_STOP:
		if (found.task)
			stop_task(sim, worker, found.task, command);
		break;
	case WS_COMMAND_REAP:
		if (found.task && sim->starts_on_record)
			sim_records_check_reap(sim, worker, found.task);
		if (found.task)
			reap_task(sim, worker, found.task);
		break;
	}
}

void sim_worker_execute_commands(struct sim *sim, struct sim_worker *worker,
				 const struct ws_command *commands, size_t count)
{
	if (sim_commands_are_too_large(commands, count)) {
		if (!sim->drops_oversize_messages)
			sim_fail(sim, "message size: %zu commands to %s", count, worker->name);
		return;
	}
	for (size_t i = 0; i < count; i++)
		execute_command(sim, worker, &commands[i]);
}

void sim_task_finished(struct sim *sim, struct sim_job *job, const struct sim_task *task)
{
	job->finished_runs++;
	if (job->task_done[task->task])
		return;
	job->task_done[task->task] = true;
	if (++job->completed == job->spec.tasks)
		sim_user_job_ended(sim, job);
}

static void fetch_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
		       struct sim_job *job)
{
	task->seconds_left -= SIM_STEP_S;
	if (task->seconds_left > 0)
		return;
	task->state = job->spec.gang ? WS_TASK_WAITING : WS_TASK_RUNNING;
	task->waiting_since = sim->now;
	if (job->spec.gang)
		sim_gang_track_attempt(sim, job, task->attempt);
	task->seconds_left = job->run_s;
	if (worker->image_count < SIM_IMAGES)
		snprintf(worker->images[worker->image_count++], sizeof(worker->images[0]), "%s",
			 job->spec.image);
	sim_check_start(sim, worker, task);
	sim_worker_expedite_heartbeat(worker, sim->now);
}

static void run_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
		     struct sim_job *job)
{
	bool fails = worker->tasks_fail || job->tasks_fail;

	if (job->spec.gang && !fails) /* see sim_gangs.c */
		return;
	task->seconds_left -= SIM_STEP_S;
	if (fails) {
		task->state = WS_TASK_EXITED;
		task->exit_reason = WS_EXIT_ERROR;
		sim->task_failures++;
		sim_worker_expedite_heartbeat(worker, sim->now);
	} else if (!job->spec.service && task->seconds_left <= 0) {
		task->state = WS_TASK_EXITED;
		task->exit_reason = WS_EXIT_DONE;
		sim_task_finished(sim, job, task);
		sim_worker_expedite_heartbeat(worker, sim->now);
	}
}

void sim_worker_tasks_step(struct sim *sim, struct sim_worker *worker)
{
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_task *task = &worker->tasks[i];
		struct sim_job *job = sim_find_job(sim, task->job);

		if (task->state == WS_TASK_FETCHING)
			fetch_step(sim, worker, task, job);
		else if (task->state == WS_TASK_RUNNING)
			run_step(sim, worker, task, job);
	}
}
