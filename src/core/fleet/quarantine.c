/*
 * Attempts that a worker reports and no record names.
 *
 * Such an attempt is stopped at once unless a subsystem wants it quarantined. A quarantined attempt
 * is neither stopped nor reaped; its machine takes no other task, and while its job is unknown, the
 * rest of its machine counts against the limit of every team. Once its job is known the attempt is
 * adopted (the job's record names it) or stopped.
 */
#include "../core_state.h"

void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt)
{
	if (attempt->task_state == WS_TASK_EXITED)
		return;
	attempt->machine->quarantine.running--;
	ws_attempt_clear_unknown_team(core, attempt);
	attempt->task_state = WS_TASK_EXITED;
	attempt->exit_reason = WS_EXIT_DONE;
	ws_core_request_pass(core); /* its machine may take tasks again */
}

/* Ends the quarantine of an attempt and the attempt. */
static void ws_quarantine_stop(struct ws_core *core, struct ws_attempt *attempt, double grace_s,
			       enum ws_stop_reason reason)
{
	ws_quarantine_remove(core, attempt);
	if (attempt->task_state == WS_TASK_EXITED) {
		ws_attempt_release(
		    core, attempt,
		    WS_RELEASE_EXIT_REPORTED); /* its machine may forget the result */
		return;
	}
	ws_attempt_stop(core, attempt, grace_s, reason);
	ws_machine_send_commands(core, attempt->machine);
}

/* Whether the result of an attempt that no record names, and which has exited, is to wait for its
 * job to become known. */
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
		return false; /* archived by this leader */
	snprintf(attempt.job_id, sizeof(attempt.job_id), "%s", status->job);
	return ws_subsystems_attempt_reconciled(core, &attempt, WS_RECONCILED_UNKNOWN_JOB);
}

/* Whether an attempt on no record is quarantined. A gang's is not, once its job is known. */
static bool ws_unrecorded_is_quarantined(struct ws_core *core, const struct ws_attempt *attempt)
{
	enum ws_reconciliation_result result = ws_reconcile_unrecorded(attempt);
	bool wanted = ws_subsystems_attempt_reconciled(core, attempt, result);

	if (result == WS_RECONCILED_UNRECORDED)
		return wanted && !attempt->job->spec.gang;
	return wanted && result == WS_RECONCILED_UNKNOWN_JOB;
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

/* Adopts an attempt: its job's record is to name it; older attempts of the task are stopped. */
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

/* Whether all tasks of a gang are quarantined, under one attempt number: it can go on. */
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

/* Decides on all quarantined attempts of a job that has become known: completed ones count, others
 * are adopted or stopped. A gang is adopted whole or not at all. */
static void ws_quarantine_settle_job(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;
	bool gang_is_whole = job->spec.gang && job->attempts && ws_quarantined_gang_is_whole(job);

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (attempt->task_state == WS_TASK_EXITED) {
			ws_job_task_done(core, job, attempt->task);
			ws_attempt_release(core, attempt, WS_RELEASE_EXIT_REPORTED);
		} else if (gang_is_whole) {
			ws_quarantine_adopt(core, attempt);
		} else if (job->spec.gang) {
			ws_quarantine_stop(core, attempt, 0, WS_STOP_GANG_INCOMPLETE);
		} else {
			ws_quarantine_reported(core, attempt);
		}
	}
	ws_subsystems_attempts_adopted(core, job->spec.id,
				       0); /* reported also if none was adopted */
}

void ws_quarantine_link_job(struct ws_core *core, struct ws_job *job)
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
	ws_quarantine_settle_job(core, job);
}

void ws_quarantine_end_job(struct ws_core *core, const char *job_id, double grace_s)
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
 * What attempts of unknown teams on a machine may use at the most: the machine less what is surely
 * beside them. That is what the same heartbeat named, not all that counts here: attempts on record
 * that a heartbeat does not name may not have begun, and with an old copy of one they may be too
 * many for the machine, which once made this negative and raised the limit of every team.
 */
static void ws_machine_add_reserve(const struct ws_machine *machine, double *cpus, double *gpus)
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
			ws_machine_add_reserve(machine, cpus, gpus);
}
