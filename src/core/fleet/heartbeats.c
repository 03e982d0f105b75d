/* Heartbeats taken in: what a machine's newest heartbeat says of itself and of its tasks. */
#include "../core_state.h"

static void ws_image_cache_touch(struct ws_core *core, struct ws_machine *machine, int image)
{
	int i;

	for (i = 0; i < machine->image_cache_count && machine->image_cache[i] != image; i++)
		;
	if (i < machine->image_cache_count && i < WS_CACHE_KEPT) {
		memmove(machine->image_cache + 1, machine->image_cache,
			(size_t)i * sizeof(machine->image_cache[0]));
		machine->image_cache[0] = image;
		return;
	}
	if (i == machine->image_cache_count && machine->image_cache_count < WS_CACHE_MAX)
		machine->image_cache_count++;
	if (i == WS_CACHE_MAX)
		i--;
	memmove(machine->image_cache + 1, machine->image_cache,
		(size_t)i * sizeof(machine->image_cache[0]));
	machine->image_cache[0] = image;
	if (machine->shard >= 0)
		ws_shard_at(core, machine->shard)->images_outdated = true;
}

/*
 * A task failed. A machine is suspected only when different jobs fail on it in a row, and a job
 * that fails on several machines is held back by itself: a mistake in a job must not condemn the
 * fleet, nor a bad machine the job.
 */
static void ws_task_failed(struct ws_core *core, struct ws_machine *machine,
			   struct ws_attempt *attempt)
{
	struct ws_job *job = attempt->job;

	/* a job that completed tasks elsewhere is sound: then its failures speak against the
	 * machine */
	if (strcmp(machine->last_failed_job, attempt->job_id) || (job && job->done_count > 0)) {
		machine->consecutive_failures++;
		snprintf(machine->last_failed_job, sizeof(machine->last_failed_job), "%s",
			 attempt->job_id);
	}
	if (machine->consecutive_failures >= 2 && core->now >= machine->quarantine_until) {
		double t = core->settings->lease_s * (1 << (machine->consecutive_failures < 6
								? machine->consecutive_failures - 1
								: 5));

		machine->quarantine_until = core->now + t;
		ws_log(core, WS_LOG_INFO, "machine %s: %d failures in a row, left out for %.0f s",
		       machine->name, machine->consecutive_failures, t);
	}
	if (!job)
		return;
	job->failures++;
	/* the first failures may be the machine's fault and are tried again at once, elsewhere */
	if (job->failures > 4) {
		double t = core->settings->report_s *
			   (1 << (job->failures < 12 ? (job->failures - 4) / 2 : 4));

		job->retry_not_before = core->now + t;
	}
	machine->refused_until = core->now + core->settings->report_s;
}

static void ws_attempt_exited(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_machine *machine = attempt->machine;
	struct ws_job *job = attempt->job;

	ws_log(core, WS_LOG_DEBUG, "machine %s: %s/%u attempt %llu exited (%d)", machine->name,
	       attempt->job_id, attempt->task, (unsigned long long)attempt->number,
	       attempt->exit_reason);
	switch (attempt->exit_reason) {
	case WS_EXIT_DONE:
		machine->consecutive_failures = 0;
		machine->last_failed_job[0] = 0;
		if (job) {
			if (attempt->running_at > 0)
				core->autoscaler.units_completed +=
				    ws_demand_units_of(core, &job->spec);
			ws_job_task_done(core, job, attempt->task);
		}
		break;
	case WS_EXIT_ERROR:
		ws_log(core, WS_LOG_INFO, "machine %s: %s/%u failed", machine->name,
		       attempt->job_id, attempt->task);
		ws_task_failed(core, machine, attempt);
		break;
	case WS_EXIT_FULL:
	case WS_EXIT_BUSY:
	case WS_EXIT_UNKNOWN:
		ws_log(core, WS_LOG_INFO, "machine %s refused %s/%u (%d)", machine->name,
		       attempt->job_id, attempt->task, attempt->exit_reason);
		machine->refused_until = core->now + core->settings->report_s;
		if (job && attempt->exit_reason == WS_EXIT_UNKNOWN)
			job->retry_not_before = core->now + core->settings->report_s;
		break;
	case WS_EXIT_NONE:
	case WS_EXIT_STOPPED:
	case WS_EXIT_MEMBER_LOST:
	case WS_EXIT_GANG_INCOMPLETE:
		/* of a gang that broke up; nobody is to blame for that here */
		if (job && job->spec.gang && !attempt->unrecorded)
			job->gang_ended_attempt = attempt->number;
		break;
	}
	ws_attempt_release(core, attempt);
}

/* The first word of a machine. */
static void ws_machine_first_heard(struct ws_core *core, struct ws_machine *machine)
{
	machine->reported = true;
	machine->up_at = core->now;
	if (!machine->owned && core->now - machine->first_seen > core->settings->report_s) {
		core->autoscaler.boot_seconds += core->now - machine->first_seen;
		core->autoscaler.boots += 1;
	}
	ws_log(core, WS_LOG_INFO, "machine %s is up: %s in %s%s%s", machine->name,
	       machine->type_name, machine->zone, machine->preemptible ? ", spot" : "",
	       machine->owned ? ", owned" : "");
	core->scheduler.pass_wanted = true;
}

/* What a machine is, and where it is reached. */
static void ws_machine_update_identity(struct ws_core *core, struct ws_machine *machine,
				       const struct ws_heartbeat *heartbeat)
{
	bool address =
	    machine->port != heartbeat->port || strcmp(machine->address, heartbeat->address) != 0;
	/* the cloud's list may have told its address before it was ever heard */
	bool moved = !machine->reported || address || strcmp(machine->zone, heartbeat->zone) != 0;

	if (!machine->reported)
		machine->unrecorded = !machine->recorded && !machine->in_instance_list &&
				      !machine->owned && !machine->type_name[0];
	ws_machine_set_kind(core, machine, heartbeat->type, heartbeat->zone,
			    heartbeat->preemptible);
	if (!machine->reported)
		ws_machine_first_heard(core, machine);
	machine->failed = false;
	if (address) {
		snprintf(machine->address, sizeof(machine->address), "%s", heartbeat->address);
		machine->port = heartbeat->port;
		ws_machine_mark_dirty(core, machine);
	}
	if (moved)
		ws_subsystems_machine(core, machine);
}

/* A machine's lease ran out: all that it had before is gone. */
static void ws_machine_begin_incarnation(struct ws_core *core, struct ws_machine *machine,
					 const struct ws_heartbeat *heartbeat)
{
	if (machine->incarnation && machine->attempt_count)
		ws_log(core, WS_LOG_INFO, "machine %s began tenure %llu, %u tasks lost",
		       machine->name, (unsigned long long)heartbeat->incarnation,
		       machine->attempt_count);
	if (machine->incarnation) /* did it hear our answers? */
		ws_machine_raise_fencing_token(core, machine,
					       heartbeat->fencing_token > machine->fencing_token
						   ? heartbeat->fencing_token
						   : machine->fencing_token);
	machine->incarnation = heartbeat->incarnation;
	/* the worker's lease counts from the incarnation's beginning, also where no answer of ours
	 * has renewed it: we may have heard of it by a command's answer alone */
	machine->lease_expires_at =
	    fmax(machine->lease_expires_at, ws_lease_expiry(core, core->now));
	machine->late_command_token = 0; /* a command for an earlier incarnation is refused */
	ws_machine_mark_dirty(core, machine);
}

static void ws_machine_preemption_notice(struct ws_core *core, struct ws_machine *machine,
					 double notice_s)
{
	machine->preemption_noticed = true;
	machine->preempted_at = core->now + notice_s;
	ws_log(core, WS_LOG_INFO, "machine %s will be taken in %.0f s", machine->name, notice_s);
	core->scheduler.pass_wanted = true;
}

static struct ws_attempt *ws_attempt_find(const struct ws_machine *machine,
					  const struct ws_task_status *status)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->state != WS_ATTEMPT_GONE && attempt->number == status->attempt &&
		    attempt->task == status->task && !strcmp(attempt->job_id, status->job))
			break;
	return attempt;
}

static void ws_attempt_is_running(struct ws_core *core, struct ws_machine *machine,
				  struct ws_attempt *attempt)
{
	struct ws_job *job = attempt->job;

	attempt->running_at = core->now;
	ws_log(core, WS_LOG_DEBUG, "machine %s: %s/%u attempt %llu runs", machine->name,
	       attempt->job_id, attempt->task, (unsigned long long)attempt->number);
	if (!job)
		return;
	ws_image_cache_touch(core, machine, job->image_index);
	if (!job->started && !ws_job_is_over(job)) {
		job->started = true;
		job->phase = WS_JOB_RUNNING;
		ws_job_mark_dirty(core, job, false);
	}
}

/* One task of a machine's newest word. */
static void ws_machine_apply_task_status(struct ws_core *core, struct ws_machine *machine,
					 const struct ws_task_status *status)
{
	struct ws_attempt *attempt = ws_attempt_find(machine, status);

	if (!attempt)
		attempt = ws_attempt_add_unrecorded(core, machine, status);
	if (!attempt)
		return;
	attempt->mark = core->fleet.mark;
	attempt->reported = attempt->maybe_sent = true;
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
		if (attempt->job) /* it has its image */
			ws_image_cache_touch(core, machine, attempt->job->image_index);
	}
	if (attempt->job && attempt->job->spec.gang && !attempt->unrecorded &&
	    (status->state == WS_TASK_RUNNING || status->state == WS_TASK_SAVING))
		attempt->job->gang_ended_attempt = attempt->number;
	if (status->state == WS_TASK_RUNNING && attempt->task_state != WS_TASK_RUNNING)
		ws_attempt_is_running(core, machine, attempt);
	attempt->task_state = status->state;
	attempt->exit_reason = status->exit_reason;
	if (status->state == WS_TASK_EXITED)
		ws_attempt_exited(core, attempt);
}

/* Attempts that a machine's newest word does not name. */
static void ws_machine_release_missing(struct ws_core *core, struct ws_machine *machine)
{
	for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
	     attempt = next_attempt) {
		next_attempt = attempt->machine_next;
		if (attempt->state == WS_ATTEMPT_GONE || attempt->mark == core->fleet.mark ||
		    attempt->incarnation != machine->incarnation)
			continue;
		if (ws_machine_echoes_token(machine))
			ws_attempt_reconcile(core, attempt, WS_RECONCILED_NOT_REPORTED);
		/* it was there and is no more; or it was told to run, is not there, and no command
		 * is on its way that could bring it */
		if (attempt->reported ||
		    (attempt->maybe_sent && attempt->stopping && !machine->late_command_token &&
		     !machine->commands_in_flight))
			ws_attempt_release(core, attempt);
	}
}

/* Takes in the newest word of a worker: a heartbeat, or the answer to a direct command. */
void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat)
{
	ws_machine_update_identity(core, machine, heartbeat);
	if (heartbeat->incarnation > machine->incarnation)
		ws_machine_begin_incarnation(core, machine, heartbeat);
	/* also where we did not see the incarnation begin: one job's record may name an attempt of
	 * a incarnation that another's, or the fleet's, knows to be over */
	for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
	     attempt = next_attempt) {
		next_attempt = attempt->machine_next;
		if (attempt->incarnation < heartbeat->incarnation) {
			ws_attempt_reconcile(core, attempt, WS_RECONCILED_LEASE_LOST);
			ws_attempt_release(core, attempt);
		}
	}
	machine->sequence = heartbeat->sequence;
	machine->echoed_token = heartbeat->fencing_token;
	if (machine->late_command_token && heartbeat->fencing_token > machine->late_command_token)
		machine->late_command_token = 0;
	if (heartbeat->preemption_notice_s >= 0 && !machine->preemption_noticed)
		ws_machine_preemption_notice(core, machine, heartbeat->preemption_notice_s);
	core->fleet.mark++;
	for (size_t i = 0; i < heartbeat->task_count; i++)
		ws_machine_apply_task_status(core, machine, &heartbeat->tasks[i]);
	ws_machine_release_missing(core, machine);
}

/*
 * Whether a heartbeat is a copy, or was held back since before: nobody waits for the answer, and a
 * grant would count as one, its tasks as alive. An answer to a command may have overtaken a
 * heartbeat that is new.
 */
static bool ws_heartbeat_is_stale(const struct ws_machine *machine,
				  const struct ws_heartbeat *heartbeat)
{
	return heartbeat->incarnation < machine->least_incarnation ||
	       heartbeat->incarnation < machine->incarnation ||
	       (heartbeat->incarnation == machine->heartbeat_incarnation &&
		heartbeat->sequence <= machine->heartbeat_sequence);
}

/* Takes in a heartbeat that is not stale; whether it is the machine's newest word. */
static bool ws_machine_take_heartbeat(struct ws_core *core, struct ws_machine *machine,
				      const struct ws_heartbeat *heartbeat)
{
	bool newest = heartbeat->incarnation > machine->incarnation ||
		      heartbeat->sequence > machine->sequence || !machine->reported;

	machine->last_heartbeat_at = core->now;
	machine->heartbeat_incarnation = heartbeat->incarnation;
	machine->heartbeat_sequence = heartbeat->sequence;
	if (heartbeat->fencing_token > machine->fencing_token)
		machine->fencing_token = heartbeat->fencing_token;
	machine->unreachable = false;
	if (newest) {
		machine->last_heard_at = core->now;
		ws_machine_apply_heartbeat(core, machine, heartbeat);
	}
	return newest;
}

/* The answer that renews the machine's lease, with commands. */
static void ws_heartbeat_grant(struct ws_core *core, struct ws_machine *machine,
			       const struct ws_heartbeat *heartbeat, bool newest,
			       uint64_t request_id)
{
	struct ws_effect *effect = ws_effect_new(core, WS_EFFECT_ANSWER_HEARTBEAT);

	effect->request_id = request_id;
	effect->answer = WS_ANSWER_OK;
	effect->heartbeat.fencing_token = machine->fencing_token;
	if (ws_machine_echoes_token(machine))
		ws_subsystems_heartbeat(core, machine);
	machine->lease_expires_at = ws_lease_expiry(core, core->now);
	if (heartbeat->incarnation == machine->incarnation)
		effect->heartbeat.commands = ws_commands_for_machine(
		    core, machine, newest ? heartbeat : NULL, WS_ANSWER_COMMANDS_MAX, false,
		    &effect->heartbeat.command_count);
}

bool ws_fleet_heartbeat(struct ws_core *core, const struct ws_heartbeat *heartbeat,
			uint64_t request_id)
{
	struct ws_machine *machine;
	bool newest;

	machine = ws_machine_find_or_add(core, heartbeat->machine);
	if (ws_heartbeat_is_stale(machine, heartbeat))
		return false;
	newest = ws_machine_take_heartbeat(core, machine, heartbeat);
	ws_heartbeat_grant(core, machine, heartbeat, newest, request_id);
	if (!ws_machine_echoes_token(machine) && ws_is_entitled(core) &&
	    !core->leadership.in_outage)
		ws_machine_send_probe(core, machine); /* now, not with the next sweep's turn */
	return true;
}
