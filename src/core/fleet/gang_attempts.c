/*
 * Gangs: jobs whose tasks run all at once or not at all. The tasks of one start share an attempt
 * number and find each other by it on the workers. An attempt
 *
 *  assembles: its tasks fetch, then wait. One that is refused or lost is replaced under the same
 *           number, once it is surely gone (scheduler); where that can't be had in time, all are
 *           stopped, so that no places idle;
 *  runs:    from the first word of a running task on. When one is gone now, the attempt is over:
 *           the others notice that within gang_peer_s and end by themselves;
 *  ends:    all are told to stop at once. The next attempt begins when the last task of this one
 *           is surely gone. When one is done, all are (ws_job_task_done).
 *
 * Nothing of this is on record but the attempts themselves: a new leader learns from heartbeats
 * what its gangs do, and replaces nothing before it has heard of every other task.
 */
#include "../core_state.h"

/* May be alive, and is of the job's own attempts. */
static bool ws_gang_has_member(const struct ws_attempt *attempt)
{
	return attempt->state != WS_ATTEMPT_GONE && !attempt->unrecorded;
}

/* Whether the attempt under way has surely not begun to run and may be completed; since when. */
bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *attempt, double *since)
{
	const struct ws_attempt *other_attempt;

	*attempt = 0;
	*since = 1e18;
	DL_FOREACH2 (job->attempts, other_attempt, job_next) {
		if (other_attempt->state == WS_ATTEMPT_GONE)
			continue;
		if (other_attempt->unrecorded || other_attempt->stopping ||
		    other_attempt->number == job->gang_ended_attempt ||
		    (*attempt && *attempt != other_attempt->number))
			return false;
		if (other_attempt->maybe_sent &&
		    (!other_attempt->reported || (other_attempt->task_state != WS_TASK_FETCHING &&
						  other_attempt->task_state != WS_TASK_WAITING)))
			return false;
		*attempt = other_attempt->number;
		*since =
		    fmin(*since, other_attempt->waiting_since > 0 ? other_attempt->waiting_since
								  : other_attempt->planned_at);
	}
	return *attempt != 0;
}

/* Whether all of its tasks can be told something at once, as far as we know. */
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		const struct ws_machine *machine = attempt->machine;

		if (attempt->state == WS_ATTEMPT_GONE ||
		    (!attempt->maybe_sent && !attempt->reported))
			continue;
		if (attempt->unrecorded || !machine->reported || !machine->port ||
		    machine->commands.in_flight || machine->commands.late_token || machine->gone ||
		    machine->scale_in_requested || machine->unreachable ||
		    !ws_machine_echoes_token(machine) ||
		    ws_heartbeat_overdue(core, machine->last_heard_at))
			return false;
	}
	return true;
}

/* All of its tasks are told to stop, at once: reports alone may come too seldom for that. */
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace, const char *reason)
{
	struct ws_attempt *attempt, *next_attempt;
	uint32_t stopped = 0;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
		if (ws_gang_has_member(attempt) && !attempt->stopping) {
			attempt->machine->commands.pending = true;
			ws_attempt_stop(core, attempt, grace, NULL);
			stopped++;
		}
	if (!stopped)
		return;
	ws_log(core, WS_LOG_INFO, "gang %s: stop all, %u tasks: %s", job->spec.id, stopped, reason);
	ws_job_send_commands(core, job);
}

/* A task is to stop in good order: if it is one of a gang, with the whole gang. */
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, const char *reason)
{
	const struct ws_job_spec *spec = &attempt->job->spec;

	if (spec->gang) {
		attempt->job->gang_preemptions++;
		ws_gang_stop(core, attempt->job, spec->save_s + core->settings->gang_peer_s,
			     reason);
	} else {
		ws_attempt_stop(core, attempt, spec->save_s, reason);
	}
}

/* Looks after an attempt under way: one that can't become complete would wait in vain. */
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job)
{
	uint64_t attempt = 0;
	double since = 1e18, silent_until = 0;
	uint32_t members = 0, stopping = 0;
	struct ws_attempt *other_attempt;

	DL_FOREACH2 (job->attempts, other_attempt, job_next) {
		if (!ws_gang_has_member(other_attempt))
			continue;
		members++;
		stopping += other_attempt->stopping;
		attempt = other_attempt->number > attempt ? other_attempt->number : attempt;
		if (other_attempt->task_state == WS_TASK_WAITING &&
		    other_attempt->waiting_since > 0)
			since = fmin(since, other_attempt->waiting_since);
		else if (other_attempt->maybe_sent &&
			 ws_heartbeat_overdue(
			     core, fmax(other_attempt->machine->last_heard_at, core->resumed_at)) &&
			 !ws_subsystems_defer(core, WS_DEFER_GANG_STOP,
					      other_attempt->machine->zone_index))
			silent_until = fmax(silent_until, other_attempt->machine->lease.expires_at);
	}
	if (stopping == members)
		return;
	if (stopping) {
		ws_gang_stop(core, job, 0, "others of it are stopped");
	} else if (attempt == job->gang_ended_attempt && job->waiting) {
		/* they notice and end by themselves; those that did not are told */
		if (!job->gang_broken_at)
			job->gang_broken_at = core->now;
		else if (core->now - job->gang_broken_at >
			 core->settings->gang_peer_s + 1.5 * core->settings->report_s)
			ws_gang_stop(core, job, 0, "it lost a task");
	} else if (attempt != job->gang_ended_attempt &&
		   silent_until > since + core->settings->gang_wait_s * 3 / 4) {
		ws_gang_stop(core, job, 0,
			     "a machine is silent for longer than the others may wait");
	}
}
