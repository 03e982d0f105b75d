/*
 * Attempts that a worker reports and no record names.
 *
 * Such an attempt is stopped at once unless a subsystem requests its quarantine. A quarantined
 * attempt is neither stopped nor reaped, and its machine is assigned no other task. While its job
 * is unknown, the capacity of its machine that attempts of known jobs do not use counts against the
 * limit of every team. Once its job is known, the attempt is adopted (added to the job's record) or
 * stopped.
 */
#include "../core_state.h"

void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt)
{
	if (attempt->task_state == WS_TASK_EXITED)
		return;
	ws_attempt_clear_unknown_team(core, attempt);
	attempt->task_state = WS_TASK_EXITED;
	attempt->exit_reason = WS_EXIT_DONE;
	ws_core_request_pass(core); /* the machine may be usable again */
}

/* Ends the quarantine of an attempt and stops the attempt. */
static void ws_quarantine_stop(struct ws_core *core, struct ws_attempt *attempt, double grace_s,
			       enum ws_stop_reason reason)
{
	ws_quarantine_remove(core, attempt);
	if (attempt->task_state == WS_TASK_EXITED) {
		/* the worker may delete the result */
		ws_attempt_release(core, attempt, WS_RELEASE_EXIT_REPORTED);
		return;
	}
	ws_attempt_stop(core, attempt, grace_s, reason);
	ws_machine_send_commands(core, attempt->machine);
}

/* Whether the result of an exited attempt that no record names is kept until its job becomes known.
 * If the job is known already, the result is applied here. */
static bool ws_completion_needs_quarantine(struct ws_core *core, struct ws_machine *machine,
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
		return false; /* this leader has archived the job */
	snprintf(attempt.job_id, sizeof(attempt.job_id), "%s", status->job);
	return ws_subsystems_attempt_reconciled(core, &attempt, WS_RECONCILED_UNKNOWN_JOB);
}

/* Whether an attempt that no record names is quarantined. An attempt of a gang is not if its job is
 * known. */
static bool ws_unrecorded_needs_quarantine(struct ws_core *core, const struct ws_attempt *attempt)
{
	enum ws_reconciliation_result result = ws_reconcile_unrecorded(attempt);
	bool requested = ws_subsystems_attempt_reconciled(core, attempt, result);

	if (result == WS_RECONCILED_UNRECORDED)
		return requested && !attempt->job->spec.gang;
	return requested && result == WS_RECONCILED_UNKNOWN_JOB;
}

/* Counts and logs an attempt that this leader started and released, and that a worker reports as
 * not exited: the worker has started it again, or it was released too early. */
static void ws_attempt_check_released(struct ws_core *core, const struct ws_machine *machine,
				      const struct ws_task_status *status)
{
	if (!ws_attempt_number_is_own(core, status->attempt))
		return;
	ws_event_count(core, WS_EVENT_RELEASED_REPORTED);
	ws_log(core, WS_LOG_ERROR,
	       "released attempt reported again machine=%s job=%s task=%u attempt=%llu state=%d "
	       "incarnation=%llu sequence=%llu echoed_token=%llu fencing_token=%llu",
	       machine->name, status->job, status->task, (unsigned long long)status->attempt,
	       (int)status->state, (unsigned long long)machine->incarnation,
	       (unsigned long long)machine->sequence, (unsigned long long)machine->echoed_token,
	       (unsigned long long)machine->fencing_token);
}

struct ws_attempt *ws_attempt_add_unrecorded(struct ws_core *core, struct ws_machine *machine,
					     const struct ws_task_status *status)
{
	bool exited = status->state == WS_TASK_EXITED;
	struct ws_attempt *attempt;

	if (exited && !ws_completion_needs_quarantine(core, machine, status))
		return NULL;
	if (!exited)
		ws_attempt_check_released(core, machine, status);
	attempt = ws_attempt_add(core, machine, status->job, status->task, status->attempt);
	attempt->unrecorded = attempt->reported = attempt->maybe_sent = true;
	attempt->state = WS_ATTEMPT_RECORDED;
	if (exited) {
		attempt->task_state = status->state;
		attempt->exit_reason = status->exit_reason;
	} else if (!ws_unrecorded_needs_quarantine(core, attempt)) {
		ws_attempt_stop(core, attempt, 0, WS_STOP_UNRECORDED);
		return attempt;
	}
	ws_quarantine_add(core, attempt);
	ws_event_count(core, WS_EVENT_QUARANTINED);
	ws_log(core, WS_LOG_INFO,
	       "unrecorded attempt quarantined machine=%s job=%s task=%u attempt=%llu exited=%s "
	       "sequence=%llu echoed_token=%llu fencing_token=%llu",
	       machine->name, attempt->job_id, attempt->task, (unsigned long long)attempt->number,
	       exited ? "yes" : "no", (unsigned long long)machine->sequence,
	       (unsigned long long)machine->echoed_token,
	       (unsigned long long)machine->fencing_token);
	return attempt;
}

/* Adopts an attempt: adds it to its job's record and stops the older attempts of the task. */
static void ws_quarantine_adopt(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_attempt *other, *next;

	ws_quarantine_remove(core, attempt);
	attempt->unrecorded = false;
	DL_FOREACH_SAFE2 (attempt->job->attempts, other, next, job_next)
		if (other != attempt && other->task == attempt->task)
			ws_attempt_stop(core, other, 0, WS_STOP_SUPERSEDED);
	ws_log(core, WS_LOG_INFO, "unrecorded attempt adopted machine=%s job=%s task=%u",
	       attempt->machine->name, attempt->job_id, attempt->task);
	ws_job_mark_dirty(core, attempt->job, true);
	ws_subsystems_attempts_adopted(core, attempt->job_id, 1);
}

void ws_quarantine_reported(struct ws_core *core, struct ws_attempt *attempt)
{
	if (ws_reconcile_unrecorded(attempt) == WS_RECONCILED_UNRECORDED)
		ws_quarantine_adopt(core, attempt);
	else
		ws_quarantine_stop(core, attempt, 0, WS_STOP_ENDED_OR_SUPERSEDED);
}

/* Whether all tasks of a gang are quarantined and running under one attempt number, so that the
 * gang can continue. */
static bool ws_quarantined_gang_is_complete(const struct ws_job *job)
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

/* Resolves all quarantined attempts of a job that has become known: the results of completed ones
 * are applied, the others are adopted or stopped. A gang is adopted as a whole or not at all. */
static void ws_quarantine_resolve_attempts(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;
	bool gang_is_complete =
	    job->spec.gang && job->attempts && ws_quarantined_gang_is_complete(job);

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (attempt->task_state == WS_TASK_EXITED) {
			ws_job_task_done(core, job, attempt->task);
			ws_attempt_release(core, attempt, WS_RELEASE_EXIT_REPORTED);
		} else if (gang_is_complete) {
			ws_quarantine_adopt(core, attempt);
		} else if (job->spec.gang) {
			ws_quarantine_stop(core, attempt, 0, WS_STOP_GANG_INCOMPLETE);
		} else {
			ws_quarantine_reported(core, attempt);
		}
	}
	ws_subsystems_attempts_adopted(core, job->spec.id, 0); /* also called if none was adopted */
}

void ws_quarantine_resolve_job(struct ws_core *core, struct ws_job *job)
{
	struct ws_machine *machine, *next;
	struct ws_attempt *attempt;

	if (!ws_job_has_quarantined(core, job->spec.id))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!machine->quarantine.count)
			continue;
		for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
			if (attempt->quarantined && !attempt->job &&
			    !strcmp(attempt->job_id, job->spec.id))
				ws_attempt_set_job(core, attempt, job);
	}
	ws_quarantine_resolve_attempts(core, job);
}

void ws_quarantine_stop_job(struct ws_core *core, const char *job_id, double grace_s)
{
	struct ws_machine *machine, *next_machine;

	if (!ws_job_has_quarantined(core, job_id))
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		for (struct ws_attempt *attempt = machine->attempts, *next;
		     attempt && machine->quarantine.count; attempt = next) {
			next = attempt->machine_next;
			if (attempt->quarantined && !strcmp(attempt->job_id, job_id))
				ws_quarantine_stop(core, attempt, grace_s, WS_STOP_UNKNOWN_JOB);
		}
}

/*
 * Adds the maximum that attempts of unknown teams on a machine may use: its capacity less what its
 * reported attempts of known jobs use. Other attempts on record are not subtracted: they may not
 * have started, and after a delayed copy of a heartbeat they may exceed the machine's capacity.
 * That once made the result negative and raised the limit of every team.
 */
static void ws_machine_add_reserved_capacity(const struct ws_machine *machine, double *cpus,
					     double *gpus)
{
	double free_cpus = machine->type->cpus, free_gpus = machine->type->gpus;
	const struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->job && attempt->reported && attempt->state != WS_ATTEMPT_RELEASED) {
			free_cpus -= attempt->job->spec.cpus;
			free_gpus -= attempt->job->spec.gpus;
		}
	*cpus += fmax(0, free_cpus);
	*gpus += fmax(0, free_gpus);
}

void ws_quarantine_reserved(struct ws_core *core, double *cpus, double *gpus)
{
	struct ws_machine *machine, *next;

	*cpus = *gpus = 0;
	if (!core->jobs.attempts_of_unknown_teams)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->type && machine->quarantine.of_unknown_team)
			ws_machine_add_reserved_capacity(machine, cpus, gpus);
}
