/* Jobs as the leader knows them: a mirror of the job records, changed by watch and by heartbeats.
 */
#include "../core_state.h"

struct ws_team *ws_team_find(struct ws_core *core, const char *name)
{
	for (size_t i = 0; i < core->settings->team_count; i++)
		if (!strcmp(core->jobs.teams[i].settings->name, name))
			return &core->jobs.teams[i];
	return NULL;
}

struct ws_job *ws_job_find(struct ws_core *core, const char *id)
{
	struct ws_job *job;

	HASH_FIND_STR(core->jobs.by_id, id, job);
	return job;
}

bool ws_job_is_over(const struct ws_job *job)
{
	return job->phase == WS_JOB_DONE || job->phase == WS_JOB_CANCELLED;
}

/* What users wait for is written at once, the rest with it or a moment later. */
void ws_job_mark_dirty(struct ws_core *core, struct ws_job *job, bool urgent)
{
	if (urgent && !job->write_urgent) {
		job->write_urgent = true;
		ws_writer_wake(core);
	}
	if (job->dirty)
		return;
	job->dirty = true;
	job->dirty_since = core->now;
	DL_APPEND2(core->jobs.dirty, job, dirty_prev, dirty_next);
}

/* The types of machine that its tasks may run on. */
void ws_job_update_eligible_types(const struct ws_core *core, struct ws_job *job)
{
	if (job->eligible_types_edition == core->catalog.types_edition)
		return;
	job->eligible_types_edition = core->catalog.types_edition;
	job->eligible_types = 0;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (ws_machine_type_fits(&core->catalog.types[i], &job->spec) &&
		    ws_gang_recordable(core, &job->spec, &core->catalog.types[i]))
			job->eligible_types |= 1u << i;
}

void ws_job_free(struct ws_core *core, struct ws_job *job)
{
	while (job->attempts) {
		struct ws_attempt *attempt = job->attempts;
		bool alive = attempt->state == WS_ATTEMPT_RECORDED;

		if (attempt->state != WS_ATTEMPT_GONE)
			ws_attempt_count(core, attempt, -1);
		DL_DELETE2(job->attempts, attempt, job_prev, job_next);
		attempt->job = NULL;
		ws_quarantine_drop(core, attempt);
		if (alive) { /* its record is gone, the attempt may live on: it is told to stop */
			attempt->stopping = attempt->unrecorded = true;
			ws_attempt_count(core, attempt, 1);
		} else {
			ws_attempt_free(attempt);
		}
	}
	if (job->dirty)
		DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	HASH_DEL(core->jobs.by_id, job);
	free(job->tasks);
	free(job);
}

/* Over with nothing left on any machine: its record moves to old/. */
void ws_job_check_end(struct ws_core *core, struct ws_job *job)
{
	if (!job->spec.service && job->phase != WS_JOB_CANCELLED &&
	    job->done_count == job->spec.tasks && job->phase != WS_JOB_DONE) {
		job->phase = WS_JOB_DONE;
		ws_log(core, WS_LOG_INFO, "job %s done", job->spec.id);
		ws_job_mark_dirty(core, job, true);
	}
	if (ws_job_is_over(job) && !job->attempt_count)
		ws_job_mark_dirty(core, job, true);
}

void ws_job_task_done(struct ws_core *core, struct ws_job *job, uint32_t task)
{
	uint32_t from = task, to = task + 1;

	if (task >= job->spec.tasks || job->tasks[task].done || job->spec.service)
		return;
	if (job->spec.gang) { /* its tasks complete together */
		from = 0;
		to = job->spec.tasks;
	}
	for (uint32_t t = from; t < to; t++) {
		if (job->tasks[t].done)
			continue;
		if (!job->tasks[t].live_attempts)
			job->waiting--;
		job->tasks[t].done = true;
		job->done_count++;
	}
	job->failures = 0;
	ws_job_mark_dirty(core, job, false);
	ws_job_check_end(core, job);
}

static void ws_job_cancel(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next_attempt;

	job->phase = WS_JOB_CANCELLED;
	ws_log(core, WS_LOG_INFO, "job %s cancelled by its user, %u tasks to stop", job->spec.id,
	       job->attempt_count);
	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
		if (attempt->state != WS_ATTEMPT_GONE) {
			attempt->machine->has_starts_to_send = true;
			ws_attempt_stop(core, attempt, 0, NULL);
		}
	ws_job_send_commands(core, job);
	ws_job_check_end(core, job);
}

/*
 * A peer told a user that this job is cancelled, and we can't read its record. Its tasks end now:
 * that takes no write. The revision stays as it was, so that the watch brings the record once the
 * store is back, and a write of ours before that fails.
 */
void ws_job_apply_cancellation(struct ws_core *core, const struct ws_cancellation *cancellation)
{
	struct ws_job *job = ws_job_find(core, cancellation->job);

	if (job && cancellation->revision > job->revision && job->phase != WS_JOB_CANCELLED)
		ws_job_cancel(core, job);
}

/* One command to each machine marked for it, with all that is to start or end there. */
void ws_job_send_commands(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->machine->has_starts_to_send) {
			attempt->machine->has_starts_to_send = false;
			ws_machine_send_commands(core, attempt->machine);
		}
}

/* A job record as read at the election or seen by the watch. */
void ws_job_record_changed(struct ws_core *core, const char *id, json_t *value, uint64_t revision)
{
	struct ws_job *job = ws_job_find(core, id), *next_job;

	if (job && revision <= job->revision)
		return;
	if (!value) {
		if (job)
			ws_job_free(core, job);
		return;
	}
	if (job) { /* of what others may write only its user's cancelling matters here */
		enum ws_job_phase phase;
		uint32_t done, running;

		job->revision = revision;
		job->compare_failed = false;
		ws_writer_wake(core);
		job->continuation_count = ws_record_continuation_count(value);
		if (!ws_record_read_phase(value, &phase, &done, &running))
			return;
		if (phase == WS_JOB_CANCELLED && !ws_job_is_over(job)) {
			ws_job_cancel(core, job);
		} else if (phase == WS_JOB_CANCELLED && job->phase == WS_JOB_DONE) {
			/* the user was told "cancelled" before we could record "done": that stands
			 */
			job->phase = WS_JOB_CANCELLED;
			ws_job_check_end(core, job);
		}
		return;
	}
	if (ws_tombstone_is_set(core, &core->jobs.archived, id))
		return; /* written before we archived it */
	next_job = ws_record_read_job(id, value);
	if (!next_job) {
		ws_log(core, WS_LOG_ERROR, "job %s: its record can't be read, left alone", id);
		return;
	}
	next_job->revision = revision;
	next_job->continuation_count = ws_record_continuation_count(value);
	next_job->team = ws_team_find(core, next_job->spec.team);
	next_job->pinned_zone = ws_zone_index(core, next_job->spec.zone);
	next_job->image_index = ws_image_index(core, next_job->spec.image);
	next_job->eligible_types_edition = -1;
	next_job->waiting = next_job->spec.tasks - next_job->done_count;
	next_job->known_at = core->now;
	HASH_ADD_STR(core->jobs.by_id, spec.id, next_job);
	ws_quarantine_link_job(core, next_job);
	if (core->leadership.role == WS_LEADER) {
		ws_log(core, WS_LOG_DEBUG, "job %s known: %u tasks of %s %s", id,
		       next_job->spec.tasks, next_job->spec.team, next_job->spec.job_class);
		if (next_job->phase == WS_JOB_CANCELLED)
			ws_job_check_end(core, next_job);
		else if (!next_job->spec.service)
			core->autoscaler.units_arrived +=
			    next_job->spec.tasks * ws_demand_units_of(core, &next_job->spec);
	}
	core->scheduler.pass_wanted = true;
}

void ws_jobs_clear(struct ws_core *core)
{
	struct ws_job *job = core->jobs.by_id, *next;

	HASH_CLEAR(hh, core->jobs.by_id);
	for (; job; job = next) {
		next = job->hh.next;
		free(job->tasks);
		free(job);
	}
	core->jobs.dirty = NULL;
	for (size_t i = 0; i < core->settings->team_count; i++)
		core->jobs.teams[i].used_cpus = core->jobs.teams[i].used_gpus = 0;
	ws_tombstones_clear(core, &core->jobs.archived, true);
	ws_tombstones_clear(core, &core->jobs.orphaned_continuations, true);
}
