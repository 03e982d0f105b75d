/*
 * Attempts: what may be alive on machines.
 *
 * An attempt is one try to run a task on one machine. It counts against machine, team and siblings
 * from the moment it is planned until it is surely gone, and a task is placed anew only when it
 * has no attempt left. Surely gone means: the worker reported the attempt exited, or reported
 * without it when no command for it can still arrive; or a heartbeat of a later incarnation; or the
 * cloud confirmed the machine's return; or its lease ran out by the longest reckoning.
 */
#include "../core_state.h"

/*
 * Array work takes or leaves room: load-seconds held, over which completions give mu. A server of
 * the queue is taken from the plan to the end: by fetches and by work that is lost as well.
 */
static void ws_busy_units_add(struct ws_core *core, const struct ws_job_spec *spec, int sign)
{
	if (spec->service)
		return;
	core->autoscaler.busy_unit_seconds +=
	    core->autoscaler.busy_units * (core->now - core->autoscaler.busy_counted_at);
	core->autoscaler.busy_counted_at = core->now;
	core->autoscaler.busy_units =
	    fmax(0, core->autoscaler.busy_units + sign * ws_demand_units_of(core, spec));
}

/* An attempt begins or ceases to count against machine, team, job and task. */
void ws_attempt_count(struct ws_core *core, struct ws_attempt *attempt, int sign)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_team *team;

	machine->attempt_count += (uint32_t)sign;
	if (!attempt->job)
		return;
	const struct ws_job_spec *spec = &attempt->job->spec;
	ws_busy_units_add(core, spec, sign);
	machine->used_cpus += sign * spec->cpus;
	machine->used_gpus += sign * spec->gpus;
	machine->used_mem += sign * spec->mem_gb;
	if (attempt->stopping) {
		machine->stopping_cpus += sign * spec->cpus;
		machine->stopping_gpus += sign * spec->gpus;
		machine->stopping_mem += sign * spec->mem_gb;
	}
	if (!machine->attempt_count) /* no rounding is left behind */
		machine->used_cpus = machine->used_gpus = machine->used_mem =
		    machine->stopping_cpus = machine->stopping_gpus = machine->stopping_mem = 0;
	team = attempt->job->team;
	if (team) {
		team->used_cpus += sign * spec->cpus;
		team->used_gpus += sign * spec->gpus;
	}
	attempt->job->attempt_count += (uint32_t)sign;
	if (machine->zone_index >= 0)
		attempt->job->attempts_by_zone[machine->zone_index] += (uint32_t)sign;
	if (attempt->task < spec->tasks) {
		struct ws_task *task = &attempt->job->tasks[attempt->task];
		bool waited = !task->done && !task->live_attempts;

		task->live_attempts = (uint16_t)(task->live_attempts + sign);
		if (waited)
			attempt->job->waiting--;
		else if (!task->done && !task->live_attempts)
			attempt->job->waiting++;
		if (!task->live_attempts && attempt->task < attempt->job->lowest_waiting)
			attempt->job->lowest_waiting = attempt->task;
		if (sign > 0 &&
		    (!task->newest_attempt || task->newest_attempt->number < attempt->number))
			task->newest_attempt = attempt;
		else if (sign < 0 && task->newest_attempt == attempt)
			task->newest_attempt = NULL;
	}
}

struct ws_attempt *ws_attempt_add(struct ws_core *core, struct ws_machine *machine, const char *job,
				  uint32_t task, uint64_t attempt)
{
	struct ws_attempt *other_attempt = calloc(1, sizeof(*other_attempt));

	if (!other_attempt)
		abort();
	other_attempt->machine = machine;
	other_attempt->job = ws_job_find(core, job);
	snprintf(other_attempt->job_id, sizeof(other_attempt->job_id), "%s", job);
	other_attempt->task = task;
	other_attempt->number = attempt;
	other_attempt->incarnation = machine->incarnation;
	other_attempt->planned_at = core->now;
	other_attempt->machine_next = machine->attempts;
	machine->attempts = other_attempt;
	if (other_attempt->job)
		DL_APPEND2(other_attempt->job->attempts, other_attempt, job_prev, job_next);
	ws_attempt_count(core, other_attempt, 1);
	return other_attempt;
}

/* Off its machine's list and its job's; it counts no more. */
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

/* The attempt is surely gone. Its task may be placed again; the record will name the new one. */
void ws_attempt_release(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_job *job = attempt->job;

	if (attempt->state == WS_ATTEMPT_GONE)
		return;
	ws_quarantine_drop(core, attempt);
	ws_attempt_count(core, attempt, -1);
	if (!machine->attempt_count)
		machine->empty_since = core->now;
	core->scheduler.pass_wanted = true;
	if (attempt->unrecorded || !job) {
		ws_attempt_free(attempt);
	} else {
		attempt->state = WS_ATTEMPT_GONE;
		ws_job_mark_dirty(core, job, false);
	}
	if (job)
		ws_job_check_end(core, job);
}

/* Runs may reach the worker only while nothing else stands against the attempt. */
bool ws_attempt_is_runnable(const struct ws_core *core, const struct ws_attempt *attempt)
{
	return attempt->state == WS_ATTEMPT_RECORDED && !attempt->stopping && !attempt->reported &&
	       !attempt->unrecorded && attempt->incarnation == attempt->machine->incarnation &&
	       !core->leadership.in_outage && attempt->job && !ws_job_is_over(attempt->job) &&
	       !attempt->machine->scale_in_requested;
}

/* It is to end: its room will come free. */
void ws_attempt_mark_stopping(struct ws_attempt *attempt)
{
	if (!attempt->stopping && attempt->job) {
		attempt->machine->stopping_cpus += attempt->job->spec.cpus;
		attempt->machine->stopping_gpus += attempt->job->spec.gpus;
		attempt->machine->stopping_mem += attempt->job->spec.mem_gb;
	}
	attempt->stopping = true;
}

void ws_attempt_stop(struct ws_core *core, struct ws_attempt *attempt, double grace,
		     const char *reason)
{
	if (attempt->state == WS_ATTEMPT_GONE)
		return;
	ws_quarantine_drop(core, attempt);
	if (!attempt->stopping) {
		if (reason)
			ws_log(core, WS_LOG_INFO, "machine %s: stop %s/%u: %s",
			       attempt->machine->name, attempt->job_id, attempt->task, reason);
	}
	ws_attempt_mark_stopping(attempt);
	attempt->grace_s = grace;
	if (!attempt->maybe_sent && !attempt->reported)
		ws_attempt_release(core, attempt);
}
