/*
 * Gangs: jobs whose tasks run all at once or not at all. The tasks of one start share an attempt
 * number, by which the workers let them find each other. The attempt of a gang has three phases:
 *
 * - Assembling: its tasks fetch their image, then wait. The scheduler places a refused or lost task
 *   again under the same number once its previous attempt is released. If that is not possible in
 *   time, all tasks are stopped, so that no capacity stays idle.
 * - Running: from the first heartbeat with a running task on. If a task is lost now, the attempt is
 *   over: the other tasks detect the loss within gang_peer_s and exit by themselves.
 * - Ending: all tasks are stopped at once. The next attempt begins when the last task is released.
 *   When one task completes, all tasks count as completed (ws_job_task_done).
 *
 * Only the attempts themselves are on record. A new leader restores the phase of a gang from
 * heartbeats, and replaces no task before all the others are reported.
 */
#include "../core_state.h"

/* Later than any time on the core's clock. */
#define NEVER 1e18
/* A gang is stopped if a machine that is out of contact may keep its lease until a task has waited
 * for more than this share of gang_wait_s. */
#define NO_CONTACT_WAIT_SHARE 0.75
/* After gang_peer_s and this many heartbeat intervals, tasks of a broken gang that still run are
 * stopped. */
#define BROKEN_GANG_STOP_INTERVALS 1.5

/* Whether a task cannot be running: its run command was not sent, or its worker reported it as
 * fetching or waiting. */
static bool ws_gang_task_is_assembling(const struct ws_attempt *attempt)
{
	if (!attempt->maybe_sent)
		return true;
	return attempt->reported &&
	       (attempt->task_state == WS_TASK_FETCHING || attempt->task_state == WS_TASK_WAITING);
}

bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *number, double *since)
{
	const struct ws_attempt *attempt;

	*number = 0;
	*since = NEVER;
	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (attempt->state == WS_ATTEMPT_RELEASED)
			continue;
		if (attempt->unrecorded || attempt->stopping ||
		    attempt->number == job->gang.last_run_attempt ||
		    (*number && *number != attempt->number) || !ws_gang_task_is_assembling(attempt))
			return false;
		*number = attempt->number;
		*since = fmin(*since, attempt->waiting_since > 0 ? attempt->waiting_since
								 : attempt->planned_at);
	}
	return *number != 0;
}

/* Whether a command can be sent to a machine at once. */
static bool ws_machine_is_reachable(const struct ws_core *core, const struct ws_machine *machine)
{
	return machine->reported && machine->port && !machine->commands.in_flight &&
	       !machine->commands.outstanding_token && !machine->gone &&
	       !machine->scale_in.requested && !machine->unreachable &&
	       ws_machine_echoes_token(machine) &&
	       !ws_heartbeat_overdue(core, machine->last_contact_at);
}

bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (attempt->state == WS_ATTEMPT_RELEASED ||
		    (!attempt->maybe_sent && !attempt->reported))
			continue;
		if (attempt->unrecorded || !ws_machine_is_reachable(core, attempt->machine))
			return false;
	}
	return true;
}

/* The stop commands are sent directly, since the answers to heartbeats may come too late. */
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace_s,
		  enum ws_stop_reason reason)
{
	struct ws_attempt *attempt, *next_attempt;
	uint32_t stopped = 0;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
		if (ws_attempt_is_listed(attempt) && !attempt->stopping) {
			attempt->machine->commands.pending = true;
			ws_attempt_stop(core, attempt, grace_s, WS_STOP_ALREADY_LOGGED);
			stopped++;
		}
	if (!stopped)
		return;
	ws_log(core, WS_LOG_INFO, "gang stopping job=%s count=%u reason=\"%s\"", job->spec.id,
	       stopped, ws_stop_reason_text(reason));
	ws_job_send_commands(core, job);
}

void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, enum ws_stop_reason reason)
{
	const struct ws_job_spec *spec = &attempt->job->spec;

	if (spec->gang) {
		attempt->job->gang.preemptions++;
		ws_gang_stop(core, attempt->job,
			     spec->checkpoint_duration_s + core->settings->gang_peer_s, reason);
	} else {
		ws_attempt_stop(core, attempt, spec->checkpoint_duration_s, reason);
	}
}

/* The state of a gang's current attempt. */
struct ws_gang_progress {
	uint64_t number;
	uint32_t members, stopping;
	double waiting_since; /* of the task that has waited longest */
	/* the latest lease expiry of its machines that are out of contact; 0: there are none */
	double no_contact_lease_expiry;
};

/* Whether a task may have been started on a machine whose heartbeat is overdue. */
static bool ws_gang_member_is_out_of_contact(const struct ws_core *core,
					     const struct ws_attempt *attempt)
{
	const struct ws_machine *machine = attempt->machine;

	return attempt->maybe_sent &&
	       ws_heartbeat_overdue(core, fmax(machine->last_contact_at, core->resumed_at)) &&
	       !ws_subsystems_action_deferred(core, WS_DEFER_GANG_STOP, machine->zone_index);
}

static struct ws_gang_progress ws_gang_progress(const struct ws_core *core,
						const struct ws_job *job)
{
	struct ws_gang_progress progress = {.waiting_since = NEVER};
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (!ws_attempt_is_listed(attempt))
			continue;
		progress.members++;
		progress.stopping += attempt->stopping;
		if (attempt->number > progress.number)
			progress.number = attempt->number;
		if (attempt->task_state == WS_TASK_WAITING && attempt->waiting_since > 0)
			progress.waiting_since =
			    fmin(progress.waiting_since, attempt->waiting_since);
		else if (ws_gang_member_is_out_of_contact(core, attempt))
			progress.no_contact_lease_expiry = fmax(progress.no_contact_lease_expiry,
								attempt->machine->lease.expires_at);
	}
	return progress;
}

/* Handles a gang that has lost a task while it ran. The other tasks exit by themselves; those that
 * still run after a while are stopped. */
static void ws_gang_stop_broken(struct ws_core *core, struct ws_job *job)
{
	if (!job->gang.member_lost_at)
		job->gang.member_lost_at = core->now;
	else if (core->now - job->gang.member_lost_at >
		 core->settings->gang_peer_s +
		     BROKEN_GANG_STOP_INTERVALS * core->settings->heartbeat_s)
		ws_gang_stop(core, job, 0, WS_STOP_GANG_LOST_TASK);
}

void ws_gang_check_progress(struct ws_core *core, struct ws_job *job)
{
	struct ws_gang_progress progress = ws_gang_progress(core, job);
	bool has_run = progress.number == job->gang.last_run_attempt;

	if (progress.stopping == progress.members)
		return;
	if (progress.stopping)
		ws_gang_stop(core, job, 0, WS_STOP_GANG_STOPPING);
	else if (has_run && job->waiting)
		ws_gang_stop_broken(core, job);
	else if (!has_run &&
		 progress.no_contact_lease_expiry >
		     progress.waiting_since + core->settings->gang_wait_s * NO_CONTACT_WAIT_SHARE)
		ws_gang_stop(core, job, 0, WS_STOP_GANG_UNREACHABLE);
}
