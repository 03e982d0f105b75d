/*
 * Attempts to run a task on a machine.
 *
 * An attempt counts against its machine, team, job and task from the moment it is planned until
 * it is released, and a task is placed again only when it has no unreleased attempt. An attempt is
 * released only on evidence that it does not run and cannot start: its worker reported that it
 * exited; its worker's heartbeat does not list it and no command for it can still arrive; its
 * machine reports a later incarnation; the cloud confirmed that the machine no longer exists; or
 * the machine's lease has expired on every clock within the allowed drift.
 */
#include "../core_state.h"

/* Returns the number that precedes all attempt numbers of this leader's term. */
static uint64_t ws_attempt_number_base(const struct ws_core *core)
{
	return core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT << WS_ATTEMPT_SHIFT;
}

uint64_t ws_attempt_number_new(struct ws_core *core)
{
	uint64_t number = ws_attempt_number_base(core) + ++core->jobs.attempt_sequence;

	/* the number is unique all the same: the transaction that records it extends the range */
	if (number >= ws_term_number_max(core, WS_ATTEMPT_SHIFT))
		ws_term_numbers_exhausted(core);
	return number;
}

bool ws_attempt_number_is_own(const struct ws_core *core, uint64_t number)
{
	uint64_t base = ws_attempt_number_base(core);

	return number > base && number <= base + core->jobs.attempt_sequence;
}

/*
 * Updates the demand units of array jobs that have attempts, from which the queue model derives its
 * service rate. An attempt counts from planning to release, so image fetches and lost work are
 * included.
 */
static void ws_attempt_account_units(struct ws_core *core, const struct ws_job_spec *spec, int sign)
{
	if (!spec->service)
		ws_stats_units_held(core, sign * ws_task_demand_units(core, spec));
}

/* Adds (1) or removes (-1) an attempt's resources in its machine's usage. */
static void ws_attempt_account_machine(const struct ws_attempt *attempt, int sign)
{
	struct ws_machine *machine = attempt->machine;
	const struct ws_capacity *task = &attempt->job->task_capacity;

	ws_capacity_add(&machine->used, task, sign);
	if (attempt->stopping)
		ws_capacity_add(&machine->stopping, task, sign);
	if (!machine->attempt_count) /* discards accumulated rounding errors */
		machine->used = machine->stopping = (struct ws_capacity){0};
}

/* Returns the newest live attempt of a task other than one that is being released, or NULL. */
static struct ws_attempt *ws_task_newest_other(const struct ws_job *job,
					       const struct ws_attempt *released)
{
	struct ws_attempt *attempt, *newest = NULL;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt != released && attempt->task == released->task &&
		    attempt->state != WS_ATTEMPT_RELEASED &&
		    (!newest || newest->number < attempt->number))
			newest = attempt;
	return newest;
}

/* Updates the task's number of live attempts and the job's number of waiting tasks. */
static void ws_attempt_account_task(struct ws_attempt *attempt, int sign)
{
	struct ws_job *job = attempt->job;
	struct ws_task *task;
	bool was_waiting;

	if (attempt->task >= job->spec.tasks)
		return;
	task = &job->tasks[attempt->task];
	was_waiting = !task->done && !task->live_attempts;
	task->live_attempts = (uint16_t)(task->live_attempts + sign);
	if (was_waiting)
		job->waiting--;
	else if (!task->done && !task->live_attempts)
		job->waiting++;
	if (!task->live_attempts && attempt->task < job->lowest_waiting_task)
		job->lowest_waiting_task = attempt->task;
	if (sign > 0 && (!task->newest_attempt || task->newest_attempt->number < attempt->number))
		task->newest_attempt = attempt;
	else if (sign < 0 && task->newest_attempt == attempt)
		task->newest_attempt =
		    task->live_attempts ? ws_task_newest_other(job, attempt) : NULL;
}

void ws_attempt_account(struct ws_core *core, struct ws_attempt *attempt, int sign)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_job *job = attempt->job;

	machine->attempt_count += (uint32_t)sign;
	if (!job)
		return;
	ws_attempt_account_units(core, &job->spec, sign);
	ws_attempt_account_machine(attempt, sign);
	if (job->team) {
		job->team->used_cpus += sign * job->spec.cpus;
		job->team->used_gpus += sign * job->spec.gpus;
	}
	job->attempt_count += (uint32_t)sign;
	if (machine->zone_index >= 0)
		job->attempts_by_zone[machine->zone_index] += (uint32_t)sign;
	ws_attempt_account_task(attempt, sign);
}

struct ws_attempt *ws_attempt_add(struct ws_core *core, struct ws_machine *machine,
				  const char *job_id, uint32_t task, uint64_t number)
{
	struct ws_attempt *attempt = ws_alloc(1, sizeof(*attempt));

	attempt->machine = machine;
	attempt->job = ws_job_find(core, job_id);
	snprintf(attempt->job_id, sizeof(attempt->job_id), "%s", job_id);
	attempt->task = task;
	attempt->number = number;
	attempt->incarnation = machine->incarnation;
	attempt->planned_at = core->now;
	attempt->part = attempt->listed_part = WS_PART_NONE;
	attempt->machine_next = machine->attempts;
	machine->attempts = attempt;
	if (attempt->job)
		DL_APPEND2(attempt->job->attempts, attempt, job_prev, job_next);
	ws_attempt_account(core, attempt, 1);
	return attempt;
}

void ws_attempt_set_job(struct ws_core *core, struct ws_attempt *attempt, struct ws_job *job)
{
	bool is_counted = attempt->state != WS_ATTEMPT_RELEASED;

	if (is_counted)
		ws_attempt_account(core, attempt, -1);
	if (attempt->job)
		DL_DELETE2(attempt->job->attempts, attempt, job_prev, job_next);
	attempt->job = job;
	attempt->part = attempt->listed_part = WS_PART_NONE;
	if (job) {
		DL_APPEND2(job->attempts, attempt, job_prev, job_next);
		ws_attempt_clear_unknown_team(core, attempt);
	}
	if (is_counted)
		ws_attempt_account(core, attempt, 1);
}

void ws_attempt_free(struct ws_attempt *attempt)
{
	struct ws_attempt **attempt_link = &attempt->machine->attempts;

	while (*attempt_link && *attempt_link != attempt)
		attempt_link = &(*attempt_link)->machine_next;
	if (*attempt_link)
		*attempt_link = attempt->machine_next;
	if (attempt->job)
		DL_DELETE2(attempt->job->attempts, attempt, job_prev, job_next);
	free(attempt);
}

const char *ws_release_evidence_text(enum ws_release_evidence evidence)
{
	static const char *const texts[WS_RELEASE_EVIDENCE_COUNT] = {
	    [WS_RELEASE_NEVER_SENT] = "never_sent",
	    [WS_RELEASE_EXIT_REPORTED] = "exit_reported",
	    [WS_RELEASE_NOT_REPORTED] = "not_reported",
	    [WS_RELEASE_LATER_INCARNATION] = "later_incarnation",
	    [WS_RELEASE_LEASE_EXPIRED] = "lease_expired",
	    [WS_RELEASE_MACHINE_GONE] = "machine_gone",
	};

	return texts[evidence];
}

void ws_attempt_release(struct ws_core *core, struct ws_attempt *attempt,
			enum ws_release_evidence evidence)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_job *job = attempt->job;

	if (attempt->state == WS_ATTEMPT_RELEASED)
		return;
	ws_event_count_release(core, evidence);
	ws_log(core, WS_LOG_DEBUG,
	       "attempt released machine=%s job=%s task=%u attempt=%llu evidence=%s "
	       "incarnation=%llu sequence=%llu echoed_token=%llu",
	       machine->name, attempt->job_id, attempt->task, (unsigned long long)attempt->number,
	       ws_release_evidence_text(evidence), (unsigned long long)machine->incarnation,
	       (unsigned long long)machine->sequence, (unsigned long long)machine->echoed_token);
	ws_quarantine_remove(core, attempt);
	ws_attempt_clear_unknown_team(core, attempt);
	ws_attempt_account(core, attempt, -1);
	if (!machine->attempt_count)
		machine->empty_since = core->now;
	ws_core_request_pass(core);
	if (attempt->unrecorded || !job) {
		ws_attempt_free(attempt);
	} else {
		attempt->state = WS_ATTEMPT_RELEASED;
		ws_job_part_changed(job, attempt->part);
		ws_job_part_changed(job, attempt->listed_part);
		ws_job_mark_dirty(core, job, false);
	}
	if (job)
		ws_job_check_end(core, job);
}

bool ws_attempt_is_runnable(const struct ws_core *core, const struct ws_attempt *attempt)
{
	return attempt->state == WS_ATTEMPT_RECORDED && !attempt->stopping && !attempt->reported &&
	       !attempt->unrecorded && attempt->incarnation == attempt->machine->incarnation &&
	       !core->leadership.in_outage && attempt->job && !ws_job_is_finished(attempt->job) &&
	       !attempt->machine->scale_in.requested;
}

void ws_attempt_mark_stopping(struct ws_attempt *attempt)
{
	if (!attempt->stopping && attempt->job)
		ws_capacity_add(&attempt->machine->stopping, &attempt->job->task_capacity, 1);
	attempt->stopping = true;
}

const char *ws_stop_reason_text(enum ws_stop_reason reason)
{
	static const char *const texts[WS_STOP_REASON_COUNT] = {
	    [WS_STOP_UNRECORDED] = "unrecorded attempt",
	    [WS_STOP_UNKNOWN_JOB] = "unknown job",
	    [WS_STOP_ENDED_OR_SUPERSEDED] = "job ended or attempt superseded",
	    [WS_STOP_SUPERSEDED] = "superseded",
	    [WS_STOP_PREEMPTION_NOTICE] = "preemption notice",
	    [WS_STOP_FOR_GUARANTEE] = "preempted for guaranteed work",
	    [WS_STOP_FOR_PRODUCTION] = "preempted for production work",
	    [WS_STOP_CONSOLIDATION] = "consolidation",
	    [WS_STOP_GANG_INCOMPLETE] = "gang incomplete",
	    [WS_STOP_GANG_STOPPING] = "other gang members stopped",
	    [WS_STOP_GANG_LOST_TASK] = "gang member lost",
	    [WS_STOP_GANG_UNREACHABLE] = "gang member unreachable for too long",
	    [WS_STOP_GANG_NOT_REPLACED] = "lost gang members not replaced in time",
	};

	return texts[reason];
}

void ws_attempt_stop(struct ws_core *core, struct ws_attempt *attempt, double grace_s,
		     enum ws_stop_reason reason)
{
	if (attempt->state == WS_ATTEMPT_RELEASED)
		return;
	ws_quarantine_remove(core, attempt);
	if (!attempt->stopping && reason != WS_STOP_ALREADY_LOGGED)
		ws_log(core, WS_LOG_INFO, "task stopping machine=%s job=%s task=%u reason=\"%s\"",
		       attempt->machine->name, attempt->job_id, attempt->task,
		       ws_stop_reason_text(reason));
	ws_attempt_mark_stopping(attempt);
	attempt->grace_s = grace_s;
	if (!attempt->maybe_sent && !attempt->reported)
		ws_attempt_release(core, attempt, WS_RELEASE_NEVER_SENT);
}
