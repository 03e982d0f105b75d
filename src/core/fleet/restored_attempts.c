/* Restores the attempts named by the records that a new leader reads. */
#include "../core_state.h"

/* Returns an attempt that has already been restored from another record, or NULL. */
static struct ws_attempt *ws_attempt_restored(const struct ws_machine *machine, const char *job_id,
					      const struct ws_recorded_attempt *recorded)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (ws_attempt_matches(attempt, job_id, recorded->task, recorded->number))
			return attempt;
	return NULL;
}

/* Whether a part is outdated: a version that does not know continuation records has written the
 * job's own record since, and may have placed the tasks of the part again. */
static bool ws_part_is_outdated(const struct ws_job *job, uint32_t part)
{
	return part > job->record.named_continuations;
}

static void ws_attempt_restore(struct ws_core *core, const char *job_id,
			       const struct ws_recorded_attempt *recorded, uint32_t part)
{
	struct ws_machine *machine = ws_machine_find_or_add(core, recorded->machine);
	struct ws_attempt *attempt;
	const struct ws_job *job;

	machine->recorded = true;
	if (!machine->zone[0])
		ws_machine_set_kind(core, machine, "", recorded->zone, false);
	if (recorded->incarnation > machine->incarnation)
		machine->incarnation = recorded->incarnation;
	attempt = ws_attempt_restored(machine, job_id, recorded);
	if (attempt) { /* it was moving to another record, or its job was cancelled */
		if (attempt->job)
			ws_job_part_repeats(core, attempt, part);
		return;
	}
	attempt = ws_attempt_add(core, machine, job_id, recorded->task, recorded->number);
	attempt->incarnation = recorded->incarnation;
	attempt->state = WS_ATTEMPT_RECORDED;
	attempt->maybe_sent = true; /* the previous leader may have sent the run command */
	attempt->awaiting_reconciliation = true;
	job = attempt->job;
	if (job)
		attempt->part = attempt->listed_part = part;
	if (!job || ws_part_is_outdated(job, part) ||
	    (attempt->task < job->spec.tasks && job->tasks[attempt->task].done))
		ws_attempt_mark_stopping(attempt);
}

void ws_attempts_restore(struct ws_core *core, const char *job_id, json_t *record, uint32_t part)
{
	struct ws_recorded_attempt *attempts;
	size_t count = ws_attempt_list_decode(record, &attempts);

	for (size_t i = 0; i < count; i++)
		ws_attempt_restore(core, job_id, &attempts[i], part);
	free(attempts);
}

/* Whether the job of an attempt is cancelled, or a newer attempt of its task is on record. */
static bool ws_attempt_is_superseded(const struct ws_attempt *attempt)
{
	const struct ws_job *job = attempt->job;

	if (!job)
		return false;
	return job->phase == WS_JOB_CANCELLED ||
	       (attempt->task < job->spec.tasks &&
		job->tasks[attempt->task].newest_attempt != attempt);
}

void ws_attempts_stop_superseded(struct ws_core *core)
{
	struct ws_machine *machine, *next;
	struct ws_attempt *attempt;

	HASH_ITER (hh, core->fleet.machines, machine, next)
		for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
			if (ws_attempt_is_superseded(attempt))
				ws_attempt_mark_stopping(attempt);
}
