/* Applies the status of one task, from a machine's newest report, to its attempt. */
#include "../core_state.h"

/* A machine is suspended after this many consecutive failures of different jobs. The suspension is
 * a lease times two to the power of the failures less one, with at most this many doublings. */
#define FAILURES_TO_SUSPEND 2
#define SUSPENSION_DOUBLINGS_MAX 5
/* The first failures of a job are retried at once. After that the backoff starts at one heartbeat
 * interval and doubles with every second failure, at most this many times. */
#define FAILURES_BEFORE_BACKOFF 4
#define BACKOFF_DOUBLINGS_MAX 4

static void ws_machine_count_failure(struct ws_core *core, struct ws_machine *machine,
				     const struct ws_attempt *attempt)
{
	const struct ws_job *job = attempt->job;
	int doublings;
	double suspension_s;

	/* a job that has completed tasks elsewhere is not faulty itself, so its repeated failures
	 * count against the machine */
	if (strcmp(machine->failures.last_job, attempt->job_id) || (job && job->done_count > 0)) {
		machine->consecutive_failures++;
		snprintf(machine->failures.last_job, sizeof(machine->failures.last_job), "%s",
			 attempt->job_id);
	}
	if (machine->consecutive_failures < FAILURES_TO_SUSPEND ||
	    core->now < machine->failures.suspended_until)
		return;
	doublings = machine->consecutive_failures - 1;
	if (doublings > SUSPENSION_DOUBLINGS_MAX)
		doublings = SUSPENSION_DOUBLINGS_MAX;
	suspension_s = core->settings->lease_s * (1 << doublings);
	machine->failures.suspended_until = core->now + suspension_s;
	ws_log(core, WS_LOG_INFO,
	       "machine suspended after task failures machine=%s count=%d backoff_s=%.0f",
	       machine->name, machine->consecutive_failures, suspension_s);
}

/* The first failures may be caused by the machine, so the tasks are retried at once, elsewhere. */
static void ws_job_count_failure(const struct ws_core *core, struct ws_job *job)
{
	uint32_t doublings;

	job->failures++;
	if (job->failures <= FAILURES_BEFORE_BACKOFF)
		return;
	doublings = (job->failures - FAILURES_BEFORE_BACKOFF) / 2;
	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	job->retry_not_before = core->now + core->settings->heartbeat_s * (1 << doublings);
}

/*
 * Handles a failed task. A machine is suspended only after consecutive failures of different jobs,
 * and a job that fails on several machines has a backoff of its own: a faulty job must not suspend
 * the fleet, and a faulty machine must not delay the job.
 */
static void ws_task_handle_failure(struct ws_core *core, struct ws_machine *machine,
				   struct ws_attempt *attempt)
{
	ws_machine_count_failure(core, machine, attempt);
	if (!attempt->job)
		return;
	ws_job_count_failure(core, attempt->job);
	machine->failures.backoff_until = core->now + core->settings->heartbeat_s;
}

/* Handles a completed task. */
static void ws_task_handle_completion(struct ws_core *core, struct ws_machine *machine,
				      struct ws_attempt *attempt)
{
	struct ws_job *job = attempt->job;

	machine->consecutive_failures = 0;
	machine->failures.last_job[0] = 0;
	if (!job)
		return;
	if (attempt->running_at > 0)
		ws_stats_completed(core, ws_task_demand_units(core, &job->spec));
	ws_job_task_done(core, job, attempt->task);
}

/* Handles a task that a machine refused to run. */
static void ws_task_handle_refusal(struct ws_core *core, struct ws_machine *machine,
				   struct ws_attempt *attempt)
{
	ws_log(core, WS_LOG_INFO, "task refused machine=%s job=%s task=%u reason=%d", machine->name,
	       attempt->job_id, attempt->task, attempt->exit_reason);
	machine->failures.backoff_until = core->now + core->settings->heartbeat_s;
	if (attempt->job && attempt->exit_reason == WS_EXIT_UNKNOWN_JOB)
		attempt->job->retry_not_before = core->now + core->settings->heartbeat_s;
}

static void ws_attempt_handle_exit(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_job *job = attempt->job;

	ws_log(core, WS_LOG_DEBUG, "task exited machine=%s job=%s task=%u attempt=%llu reason=%d",
	       machine->name, attempt->job_id, attempt->task, (unsigned long long)attempt->number,
	       attempt->exit_reason);
	switch (attempt->exit_reason) {
	case WS_EXIT_DONE: ws_task_handle_completion(core, machine, attempt); break;
	case WS_EXIT_ERROR:
		ws_log(core, WS_LOG_INFO, "task failed machine=%s job=%s task=%u", machine->name,
		       attempt->job_id, attempt->task);
		ws_task_handle_failure(core, machine, attempt);
		break;
	case WS_EXIT_NO_CAPACITY:
	case WS_EXIT_ATTEMPT_EXISTS:
	case WS_EXIT_UNKNOWN_JOB: ws_task_handle_refusal(core, machine, attempt); break;
	case WS_EXIT_NONE:
	case WS_EXIT_STOPPED:
	case WS_EXIT_MEMBER_LOST:
	case WS_EXIT_GANG_INCOMPLETE:
		/* the attempt of a gang has ended; this is no failure of the machine or the job */
		if (job && job->spec.gang && !attempt->unrecorded)
			job->gang.last_run_attempt = attempt->number;
		break;
	}
	ws_attempt_release(core, attempt, WS_RELEASE_EXIT_REPORTED);
}

/* Returns the live attempt on a machine to which a status belongs, or NULL. */
static struct ws_attempt *ws_attempt_find(const struct ws_machine *machine,
					  const struct ws_task_status *status)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->state != WS_ATTEMPT_RELEASED &&
		    ws_attempt_matches(attempt, status->job, status->task, status->attempt))
			return attempt;
	return NULL;
}

/* Handles the first status that shows an attempt as running. */
static void ws_attempt_mark_running(struct ws_core *core, struct ws_machine *machine,
				    struct ws_attempt *attempt)
{
	struct ws_job *job = attempt->job;

	attempt->running_at = core->now;
	ws_log(core, WS_LOG_DEBUG, "task running machine=%s job=%s task=%u attempt=%llu",
	       machine->name, attempt->job_id, attempt->task, (unsigned long long)attempt->number);
	if (!job)
		return;
	ws_image_cache_touch(core, machine, job->image_index);
	if (!job->started && !ws_job_is_finished(job)) {
		job->started = true;
		job->phase = WS_JOB_RUNNING;
		ws_job_mark_dirty(core, job, false);
	}
}

/*
 * Handles an exit in a report that the worker wrote before it heard this leader. The worker may
 * have restarted since and may have been told to run the attempt again, so the attempt is not
 * released. A completion counts all the same.
 */
static void ws_attempt_hold_exit(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status)
{
	ws_event_count(core, WS_EVENT_RELEASE_HELD_BACK);
	if (attempt->job && status->exit_reason == WS_EXIT_DONE)
		ws_job_task_done(core, attempt->job, attempt->task);
}

void ws_machine_apply_task_status(struct ws_core *core, struct ws_machine *machine,
				  const struct ws_task_status *status)
{
	struct ws_attempt *attempt = ws_attempt_find(machine, status);

	if (!attempt)
		attempt = ws_attempt_add_unrecorded(core, machine, status);
	if (!attempt)
		return;
	attempt->mark = core->fleet.mark;
	attempt->reported = attempt->maybe_sent = true;
	if (status->state == WS_TASK_EXITED && !attempt->unrecorded &&
	    !ws_machine_heard_leader(core, machine)) {
		ws_attempt_hold_exit(core, attempt, status);
		return;
	}
	ws_attempt_reconcile_status(core, attempt, status);
	if (attempt->quarantined && !attempt->job && status->state == WS_TASK_EXITED &&
	    status->exit_reason == WS_EXIT_DONE) {
		ws_quarantine_completed(core, attempt);
		return;
	}
	if (attempt->quarantined && attempt->job && status->state != WS_TASK_EXITED)
		ws_quarantine_reported(core, attempt);
	if (status->state == WS_TASK_WAITING && attempt->task_state != WS_TASK_WAITING) {
		attempt->waiting_since = core->now;
		if (attempt->job) /* the image has been fetched */
			ws_image_cache_touch(core, machine, attempt->job->image_index);
	}
	if (attempt->job && attempt->job->spec.gang && !attempt->unrecorded &&
	    (status->state == WS_TASK_RUNNING || status->state == WS_TASK_CHECKPOINTING))
		attempt->job->gang.last_run_attempt = attempt->number;
	if (status->state == WS_TASK_RUNNING && attempt->task_state != WS_TASK_RUNNING)
		ws_attempt_mark_running(core, machine, attempt);
	attempt->task_state = status->state;
	attempt->exit_reason = status->exit_reason;
	if (status->state == WS_TASK_EXITED)
		ws_attempt_handle_exit(core, attempt);
}
