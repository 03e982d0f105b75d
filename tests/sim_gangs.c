/*
 * Gangs, as the operators specify them: the tasks of an attempt wait for each other, run together,
 * write a checkpoint together if all receive the stop command in time, and exit when one is lost.
 */
#include "sim_workers.h"

/* Workers detect the loss of a member after this ratio of the permitted time gang_peer_s. */
#define LOSS_DETECTION_RATIO 0.8

struct member {
	struct sim_worker *worker;
	struct sim_task *task;
};

/* The tasks of an attempt that have not exited, and counts of their states. */
struct gang_members {
	struct member members[SIM_GANG_MEMBERS];
	uint32_t count;
	uint32_t waiting, running, checkpointing; /* `running` includes `checkpointing` */
	double first_stopped_at, last_stopped_at;
	bool is_hung; /* the machine of at least one task hangs */
};

static void add_member(const struct sim *sim, struct gang_members *gang_members,
		       struct sim_worker *worker, struct sim_task *task)
{
	gang_members->members[gang_members->count++] = (struct member){worker, task};
	gang_members->is_hung |= sim->now < worker->hang_until;
	gang_members->waiting += task->state == WS_TASK_WAITING;
	gang_members->running +=
	    task->state == WS_TASK_RUNNING || task->state == WS_TASK_CHECKPOINTING;
	if (task->state != WS_TASK_CHECKPOINTING)
		return;
	gang_members->checkpointing++;
	gang_members->first_stopped_at = fmin(gang_members->first_stopped_at, task->stopped_at);
	gang_members->last_stopped_at = fmax(gang_members->last_stopped_at, task->stopped_at);
}

static void find_members(struct sim *sim, const struct sim_job *job,
			 const struct sim_gang_attempt *gang, struct gang_members *found)
{
	found->count = 0;
	found->waiting = found->running = found->checkpointing = 0;
	found->first_stopped_at = INFINITY;
	found->last_stopped_at = 0;
	found->is_hung = false;
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (worker->failed || worker->deleted || !worker->is_up)
			continue;
		for (int k = 0; k < worker->task_count; k++) {
			struct sim_task *task = &worker->tasks[k];

			if (task->attempt == gang->attempt && task->state != WS_TASK_EXITED &&
			    !strcmp(task->job, job->spec.id) && found->count < SIM_GANG_MEMBERS)
				add_member(sim, found, worker, task);
		}
	}
}

static void member_exit(struct sim *sim, const struct member *member, enum ws_exit_reason reason)
{
	member->task->state = WS_TASK_EXITED;
	member->task->exit_reason = reason;
	sim->incomplete_exits += reason == WS_EXIT_GANG_INCOMPLETE;
	sim->member_lost_exits += reason == WS_EXIT_MEMBER_LOST;
	sim_worker_expedite_heartbeat(member->worker, sim->now);
}

static void gang_run(struct sim *sim, const struct sim_job *job, struct sim_gang_attempt *gang,
		     const struct gang_members *found)
{
	gang->running = true;
	gang->progress = job->progress_saved;
	sim->gang_runs++;
	for (uint32_t i = 0; i < found->count; i++) {
		found->members[i].task->state = WS_TASK_RUNNING;
		sim_worker_expedite_heartbeat(found->members[i].worker, sim->now);
	}
}

/* Tasks exit if the other members have not arrived within gang_wait_s. */
static void exit_incomplete(struct sim *sim, const struct gang_members *found)
{
	for (uint32_t i = 0; i < found->count; i++) {
		const struct member *member = &found->members[i];

		if (member->task->state == WS_TASK_WAITING &&
		    sim->now >= member->worker->hang_until &&
		    sim->now - member->task->waiting_since > sim->gang_wait_s)
			member_exit(sim, member, WS_EXIT_GANG_INCOMPLETE);
	}
}

/* Progress pauses from the first stop command on, after a loss, and during a hang. */
static void update_gang_progress(const struct sim *sim, const struct sim_job *job,
				 struct sim_gang_attempt *gang, const struct gang_members *found)
{
	if (found->running >= job->spec.tasks && !found->is_hung)
		gang->lost_at = 0;
	else if (!gang->lost_at)
		gang->lost_at = sim->now;
	if (!found->checkpointing && !gang->lost_at)
		gang->progress += SIM_STEP_S;
}

/* Returns the reason why the attempt ends in this step, or WS_EXIT_NONE if it continues. */
static enum ws_exit_reason gang_end_reason(const struct sim *sim, const struct sim_job *job,
					   const struct sim_gang_attempt *gang,
					   const struct gang_members *found)
{
	if (!found->checkpointing && !gang->lost_at && gang->progress >= job->run_s)
		return WS_EXIT_DONE;
	if (found->checkpointing == job->spec.tasks && !found->is_hung &&
	    sim->now >= found->last_stopped_at + job->spec.checkpoint_duration_s)
		return WS_EXIT_STOPPED;
	if (gang->lost_at && sim->now > gang->lost_at + sim->gang_peer_s * LOSS_DETECTION_RATIO)
		return WS_EXIT_MEMBER_LOST;
	if (found->checkpointing && found->checkpointing < found->running &&
	    sim->now > found->first_stopped_at + sim->gang_peer_s)
		return WS_EXIT_MEMBER_LOST;
	return WS_EXIT_NONE;
}

/* Saves the progress that the next attempt starts from. */
static void save_progress(struct sim *sim, struct sim_job *job, const struct sim_gang_attempt *gang,
			  enum ws_exit_reason reason)
{
	double interval = job->spec.checkpoint_interval_s;

	if (reason == WS_EXIT_STOPPED) { /* the checkpoint is complete when the first task exits */
		job->progress_saved = gang->progress;
		sim->checkpointed_attempts++;
	} else if (interval > 0) {
		job->progress_saved =
		    fmax(job->progress_saved, floor(gang->progress / interval) * interval);
	}
}

static void gang_exit(struct sim *sim, struct sim_job *job, const struct gang_members *found,
		      enum ws_exit_reason reason)
{
	for (uint32_t i = 0; i < found->count; i++) {
		const struct member *member = &found->members[i];

		if (sim->now < member->worker->hang_until ||
		    member->task->state == WS_TASK_WAITING ||
		    member->task->state == WS_TASK_FETCHING)
			continue;
		if (reason == WS_EXIT_DONE)
			sim_task_finished(sim, job, member->task);
		member_exit(sim, member, reason);
	}
}

static void gang_step(struct sim *sim, struct sim_job *job, struct sim_gang_attempt *gang)
{
	struct gang_members found;
	enum ws_exit_reason reason;

	find_members(sim, job, gang, &found);
	if (!gang->running && found.waiting == job->spec.tasks && !found.is_hung) {
		gang_run(sim, job, gang, &found);
		return;
	}
	exit_incomplete(sim, &found);
	if (!gang->running || !found.running)
		return;
	update_gang_progress(sim, job, gang, &found);
	reason = gang_end_reason(sim, job, gang, &found);
	if (reason == WS_EXIT_NONE)
		return;
	save_progress(sim, job, gang, reason);
	gang_exit(sim, job, &found, reason);
}

void sim_gangs_step(struct sim *sim)
{
	for (int i = 0; i < sim->job_count; i++)
		for (int k = 0; k < sim->jobs[i].gang_attempt_count; k++)
			gang_step(sim, &sim->jobs[i], &sim->jobs[i].gang_attempts[k]);
}

void sim_gang_track_attempt(struct sim *sim, struct sim_job *job, uint64_t attempt)
{
	for (int i = 0; i < job->gang_attempt_count; i++)
		if (job->gang_attempts[i].attempt == attempt)
			return;
	if (job->gang_attempt_count == SIM_GANG_ATTEMPTS)
		sim_fail(sim, "job %s has more than %d gang attempts", job->spec.id,
			 SIM_GANG_ATTEMPTS);
	else
		job->gang_attempts[job->gang_attempt_count++].attempt = attempt;
}
