/*
 * Reconciliation of worker reports with the records: the outcome of each attempt that was on record
 * at the election, and how an attempt that no record names relates to the recorded ones.
 */
#include "../core_state.h"

void ws_attempt_reconcile(struct ws_core *core, struct ws_attempt *attempt,
			  enum ws_reconciliation_result result)
{
	if (!attempt->awaiting_reconciliation)
		return;
	attempt->awaiting_reconciliation = false;
	if (attempt->job && ws_reconciliation_loses_work(result))
		attempt->job->lost_recorded_attempts = true;
	ws_subsystems_attempt_reconciled(core, attempt, result);
}

static enum ws_reconciliation_result ws_reconciliation_of_exit(enum ws_exit_reason exit_reason)
{
	switch (exit_reason) {
	case WS_EXIT_DONE: return WS_RECONCILED_ENDED_DONE;
	case WS_EXIT_ERROR:
	case WS_EXIT_NO_CAPACITY:
	case WS_EXIT_ATTEMPT_EXISTS:
	case WS_EXIT_UNKNOWN_JOB: return WS_RECONCILED_ENDED_FAILED;
	case WS_EXIT_NONE:
	case WS_EXIT_STOPPED:
	case WS_EXIT_MEMBER_LOST:
	case WS_EXIT_GANG_INCOMPLETE: break;
	}
	return WS_RECONCILED_ENDED_STOPPED;
}

/* Whether a job or one of its tasks needs no further attempt. True for a task number that the job
 * does not have. */
static bool ws_task_is_over(const struct ws_job *job, uint32_t task)
{
	return ws_job_is_finished(job) || task >= job->spec.tasks || job->tasks[task].done;
}

void ws_attempt_reconcile_status(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status)
{
	enum ws_reconciliation_result result = WS_RECONCILED_AGREED;

	if (!attempt->awaiting_reconciliation)
		return;
	if (status->state == WS_TASK_EXITED)
		result = ws_reconciliation_of_exit(status->exit_reason);
	else if (!attempt->job || ws_task_is_over(attempt->job, attempt->task))
		result = WS_RECONCILED_OVER;
	else if (attempt->job->tasks[attempt->task].newest_attempt != attempt)
		result = WS_RECONCILED_SUPERSEDED;
	ws_attempt_reconcile(core, attempt, result);
}

enum ws_reconciliation_result ws_reconcile_unrecorded(const struct ws_attempt *attempt)
{
	const struct ws_attempt *other;

	if (!attempt->job)
		return WS_RECONCILED_UNKNOWN_JOB;
	if (ws_task_is_over(attempt->job, attempt->task))
		return WS_RECONCILED_OVER;
	DL_FOREACH2 (attempt->job->attempts, other, job_next) {
		if (other == attempt || other->task != attempt->task ||
		    other->state == WS_ATTEMPT_RELEASED)
			continue;
		if (other->number == attempt->number)
			return WS_RECONCILED_TWO_MACHINES;
		if (other->number > attempt->number)
			return WS_RECONCILED_SUPERSEDED;
	}
	return WS_RECONCILED_UNRECORDED;
}
