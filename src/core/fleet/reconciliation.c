/*
 * Heartbeats reconciled with the records: what became of each attempt that was on record at the
 * election, and of each that a worker reports without one.
 *
 * An attempt on no record is stopped at once, unless a subsystem wants it quarantined. Then it is
 * neither stopped nor reaped; its machine takes nothing new, and while its job is unknown it counts
 * as the rest of its machine against the limit of every team. Once its job is known it is adopted:
 * the job's record names it.
 */
#include "../core_state.h"

/* ---- reconciliation results ---- */

static bool ws_reconciliation_loses_work(enum ws_reconciliation_result kind)
{
	return kind == WS_RECONCILED_LEASE_LOST || kind == WS_RECONCILED_LEASE_EXPIRED ||
	       kind == WS_RECONCILED_MACHINE_GONE || kind == WS_RECONCILED_ENDED_FAILED;
}

void ws_attempt_reconcile(struct ws_core *core, struct ws_attempt *attempt,
			  enum ws_reconciliation_result kind)
{
	if (!attempt->awaiting_reconciliation)
		return;
	attempt->awaiting_reconciliation = false;
	if (attempt->job && ws_reconciliation_loses_work(kind))
		attempt->job->lost_recorded_attempts = true;
	ws_subsystems_reconciled(core, attempt, kind);
}

static enum ws_reconciliation_result ws_reconciliation_of_exit(enum ws_exit_reason why)
{
	switch (why) {
	case WS_EXIT_DONE: return WS_RECONCILED_ENDED_DONE;
	case WS_EXIT_ERROR:
	case WS_EXIT_FULL:
	case WS_EXIT_BUSY:
	case WS_EXIT_UNKNOWN: return WS_RECONCILED_ENDED_FAILED;
	case WS_EXIT_NONE:
	case WS_EXIT_STOPPED:
	case WS_EXIT_MEMBER_LOST:
	case WS_EXIT_GANG_INCOMPLETE: break;
	}
	return WS_RECONCILED_ENDED_STOPPED;
}

/* The job, or the task, needs no attempt any more; also of a task that it does not have. */
static bool ws_task_over(const struct ws_job *job, uint32_t task)
{
	return ws_job_is_over(job) || task >= job->spec.tasks || job->tasks[task].done;
}

void ws_attempt_reconcile_status(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status)
{
	enum ws_reconciliation_result kind = WS_RECONCILED_AGREED;

	if (!attempt->awaiting_reconciliation)
		return;
	if (status->state == WS_TASK_EXITED)
		kind = ws_reconciliation_of_exit(status->exit_reason);
	else if (!attempt->job || ws_task_over(attempt->job, attempt->task))
		kind = WS_RECONCILED_OVER;
	else if (attempt->job->tasks[attempt->task].newest_attempt != attempt)
		kind = WS_RECONCILED_SUPERSEDED;
	ws_attempt_reconcile(core, attempt, kind);
}

/* How an attempt that no record names stands to what the records say of its job and task. */
static enum ws_reconciliation_result ws_reconcile_unrecorded(const struct ws_attempt *attempt)
{
	const struct ws_attempt *other;

	if (!attempt->job)
		return WS_RECONCILED_UNKNOWN_JOB;
	if (ws_task_over(attempt->job, attempt->task))
		return WS_RECONCILED_OVER;
	DL_FOREACH2 (attempt->job->attempts, other, job_next) {
		if (other == attempt || other->task != attempt->task ||
		    other->state == WS_ATTEMPT_GONE)
			continue;
		if (other->number == attempt->number)
			return WS_RECONCILED_TWO_MACHINES;
		if (other->number > attempt->number)
			return WS_RECONCILED_SUPERSEDED;
	}
	return WS_RECONCILED_UNRECORDED;
}

/* ---- quarantined ---- */

static void ws_quarantine_add(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_quarantined_job *kept;

	HASH_FIND_STR(core->fleet.quarantined_jobs, attempt->job_id, kept);
	if (!kept) {
		kept = calloc(1, sizeof(*kept));
		if (!kept)
			abort();
		snprintf(kept->id, sizeof(kept->id), "%s", attempt->job_id);
		HASH_ADD_STR(core->fleet.quarantined_jobs, id, kept);
	}
	kept->count++;
	attempt->quarantined = true;
	attempt->machine->quarantined_count++;
	attempt->machine->quarantined_running += attempt->task_state != WS_TASK_EXITED;
}

/* It is no longer quarantined: adopted, told to stop, or gone. */
void ws_quarantine_drop(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_quarantined_job *kept;

	if (!attempt->quarantined)
		return;
	attempt->quarantined = false;
	attempt->machine->quarantined_count--;
	attempt->machine->quarantined_running -= attempt->task_state != WS_TASK_EXITED;
	HASH_FIND_STR(core->fleet.quarantined_jobs, attempt->job_id, kept);
	if (!kept || --kept->count)
		return;
	HASH_DEL(core->fleet.quarantined_jobs, kept);
	free(kept);
}

void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt)
{
	if (attempt->task_state == WS_TASK_EXITED)
		return;
	attempt->machine->quarantined_running--;
	attempt->task_state = WS_TASK_EXITED;
	attempt->exit_reason = WS_EXIT_DONE;
	core->scheduler.pass_wanted = true; /* its machine may be used again */
}

void ws_quarantine_clear(struct ws_core *core)
{
	struct ws_quarantined_job *kept = core->fleet.quarantined_jobs, *next;

	HASH_CLEAR(hh, core->fleet.quarantined_jobs);
	for (; kept; kept = next) {
		next = kept->hh.next;
		free(kept);
	}
}

static void ws_quarantine_stop(struct ws_core *core, struct ws_attempt *attempt, double grace_s,
			       const char *reason)
{
	ws_quarantine_drop(core, attempt);
	if (attempt->task_state == WS_TASK_EXITED) {
		ws_attempt_release(core, attempt); /* its machine may forget the result */
		return;
	}
	ws_attempt_stop(core, attempt, grace_s, reason);
	ws_machine_send_commands(core, attempt->machine);
}

/* A task that completed, of an attempt that no record names: whether its result is to be kept. */
static bool ws_completion_is_quarantined(struct ws_core *core, struct ws_machine *machine,
					 const struct ws_task_status *status)
{
	struct ws_attempt attempt = {.machine = machine,
				     .task = status->task,
				     .number = status->attempt,
				     .incarnation = machine->incarnation,
				     .state = WS_ATTEMPT_RECORDED};
	struct ws_job *job = ws_job_find(core, status->job);

	if (status->exit_reason != WS_EXIT_DONE)
		return false;
	if (job) {
		ws_job_task_done(core, job, status->task);
		return false;
	}
	if (ws_tombstone_is_set(core, &core->jobs.archived, status->job))
		return false; /* we archived it ourselves */
	snprintf(attempt.job_id, sizeof(attempt.job_id), "%s", status->job);
	return ws_subsystems_reconciled(core, &attempt, WS_RECONCILED_UNKNOWN_JOB);
}

/* Whether an attempt on no record is quarantined. A gang's is not, once its job is known. */
static bool ws_unrecorded_is_quarantined(struct ws_core *core, const struct ws_attempt *attempt)
{
	enum ws_reconciliation_result kind = ws_reconcile_unrecorded(attempt);
	bool keep = ws_subsystems_reconciled(core, attempt, kind);

	if (kind == WS_RECONCILED_UNRECORDED)
		return keep && !attempt->job->spec.gang;
	return keep && kind == WS_RECONCILED_UNKNOWN_JOB;
}

struct ws_attempt *ws_attempt_add_unrecorded(struct ws_core *core, struct ws_machine *machine,
					     const struct ws_task_status *status)
{
	bool exited = status->state == WS_TASK_EXITED;
	struct ws_attempt *attempt;

	if (exited && !ws_completion_is_quarantined(core, machine, status))
		return NULL;
	attempt = ws_attempt_add(core, machine, status->job, status->task, status->attempt);
	attempt->unrecorded = attempt->reported = attempt->maybe_sent = true;
	attempt->state = WS_ATTEMPT_RECORDED;
	if (exited) {
		attempt->task_state = status->state;
		attempt->exit_reason = status->exit_reason;
	} else if (!ws_unrecorded_is_quarantined(core, attempt)) {
		ws_attempt_stop(core, attempt, 0, "not in the plan");
		return attempt;
	}
	ws_quarantine_add(core, attempt);
	ws_log(core, WS_LOG_INFO, "machine %s: %s/%u is on no record: kept apart", machine->name,
	       attempt->job_id, attempt->task);
	return attempt;
}

/* Its job's record is to name it from now on; older attempts of the task are over. */
static void ws_quarantine_adopt(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_attempt *other, *next;

	ws_quarantine_drop(core, attempt);
	attempt->unrecorded = false;
	DL_FOREACH_SAFE2 (attempt->job->attempts, other, next, job_next)
		if (other != attempt && other->task == attempt->task)
			ws_attempt_stop(core, other, 0, "superseded");
	ws_log(core, WS_LOG_INFO, "machine %s: %s/%u is adopted", attempt->machine->name,
	       attempt->job_id, attempt->task);
	ws_job_mark_dirty(core, attempt->job, true);
	ws_subsystems_adopted(core, attempt->job_id, 1);
}

void ws_quarantine_reported(struct ws_core *core, struct ws_attempt *attempt)
{
	if (ws_reconcile_unrecorded(attempt) == WS_RECONCILED_UNRECORDED)
		ws_quarantine_adopt(core, attempt);
	else
		ws_quarantine_stop(core, attempt, 0, "over, or placed anew");
}

/* All tasks of a gang are there, of one attempt: it can go on. */
static bool ws_quarantined_gang_is_whole(const struct ws_job *job)
{
	const struct ws_attempt *attempt;
	uint32_t members = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (attempt->number != job->attempts->number ||
		    attempt->task_state == WS_TASK_EXITED)
			return false;
		members++;
	}
	return members == job->spec.tasks;
}

/* An attempt that is quarantined counts for its job from now on. */
static void ws_quarantine_join_job(struct ws_core *core, struct ws_job *job,
				   struct ws_attempt *attempt)
{
	ws_attempt_count(core, attempt, -1);
	attempt->job = job;
	DL_APPEND2(job->attempts, attempt, job_prev, job_next);
	ws_attempt_count(core, attempt, 1);
}

/* The results that wait for a job are its own; of a gang, those that can't go on end. */
static void ws_quarantine_settle_job(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;
	bool whole = job->spec.gang && job->attempts && ws_quarantined_gang_is_whole(job);

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (attempt->task_state == WS_TASK_EXITED) {
			ws_job_task_done(core, job, attempt->task);
			ws_attempt_release(core, attempt);
		} else if (whole) {
			ws_quarantine_adopt(core, attempt);
		} else if (job->spec.gang) {
			ws_quarantine_stop(core, attempt, 0, "its gang is not whole");
		} else {
			ws_quarantine_reported(core, attempt);
		}
	}
	ws_subsystems_adopted(core, job->spec.id, 0); /* it is known, whatever became of them */
}

void ws_quarantine_link_job(struct ws_core *core, struct ws_job *job)
{
	struct ws_quarantined_job *kept;
	struct ws_machine *machine, *next;

	HASH_FIND_STR(core->fleet.quarantined_jobs, job->spec.id, kept);
	if (!kept)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		for (struct ws_attempt *attempt = machine->quarantined_count ? machine->attempts
									     : NULL;
		     attempt; attempt = attempt->machine_next)
			if (attempt->quarantined && !attempt->job &&
			    !strcmp(attempt->job_id, job->spec.id))
				ws_quarantine_join_job(core, job, attempt);
	ws_quarantine_settle_job(core, job);
}

void ws_quarantine_end_job(struct ws_core *core, const char *job, double grace_s)
{
	struct ws_quarantined_job *kept;
	struct ws_machine *machine, *next_machine;

	HASH_FIND_STR(core->fleet.quarantined_jobs, job, kept);
	if (!kept)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		for (struct ws_attempt *attempt = machine->attempts, *next;
		     attempt && machine->quarantined_count; attempt = next) {
			next = attempt->machine_next;
			if (attempt->quarantined && !strcmp(attempt->job_id, job))
				ws_quarantine_stop(core, attempt, grace_s, "on no record");
		}
}

void ws_quarantine_reserved(struct ws_core *core, double *cpus, double *gpus)
{
	struct ws_machine *machine, *next;

	*cpus = *gpus = 0;
	if (!core->fleet.quarantined_jobs)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next) {
		bool unknown = false;

		for (struct ws_attempt *attempt = machine->quarantined_running ? machine->attempts
									       : NULL;
		     attempt; attempt = attempt->machine_next)
			unknown |= attempt->quarantined && !attempt->job &&
				   attempt->task_state != WS_TASK_EXITED;
		if (!unknown || !machine->type)
			continue;
		*cpus += machine->type->cpus - machine->used_cpus;
		*gpus += machine->type->gpus - machine->used_gpus;
	}
}
