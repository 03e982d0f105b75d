/* The leader's replica of the live jobs: adds, updates, finishes and frees them. */
#include "../core_state.h"
#include "record_parts.h"

/* Version of the eligible machine types of a job for which they were never determined. */
#define NO_TYPES_VERSION (-1)

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

bool ws_job_is_finished(const struct ws_job *job)
{
	return job->phase == WS_JOB_DONE || job->phase == WS_JOB_CANCELLED;
}

void ws_job_mark_dirty(struct ws_core *core, struct ws_job *job, bool urgent)
{
	if (urgent && !job->record.write_urgent) {
		job->record.write_urgent = true;
		ws_writer_wake(core);
	}
	if (job->record.dirty)
		return;
	job->record.dirty = true;
	job->record.dirty_since = core->now;
	DL_APPEND2(core->jobs.dirty, job, dirty_prev, dirty_next);
}

void ws_job_update_eligible_types(const struct ws_core *core, struct ws_job *job)
{
	if (job->eligible_types_version == core->catalog.types_version)
		return;
	job->eligible_types_version = core->catalog.types_version;
	job->eligible_types = 0;
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (ws_machine_type_fits(&core->catalog.types[i], &job->spec))
			job->eligible_types |= 1u << i;
}

void ws_job_free(struct ws_core *core, struct ws_job *job)
{
	while (job->attempts) {
		struct ws_attempt *attempt = job->attempts;

		ws_attempt_set_job(core, attempt, NULL);
		ws_quarantine_remove(core, attempt);
		if (attempt->state == WS_ATTEMPT_RECORDED) {
			/* its record is deleted, but it may still run: stop it */
			attempt->stopping = attempt->unrecorded = true;
			continue;
		}
		if (attempt->state == WS_ATTEMPT_PLANNED)
			ws_attempt_account(core, attempt, -1);
		ws_attempt_free(attempt);
	}
	if (job->record.dirty)
		DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	HASH_DEL(core->jobs.by_id, job);
	ws_job_parts_orphan(core, job);
	ws_job_parts_free(job);
	free(job->tasks);
	free(job);
}

void ws_job_check_end(struct ws_core *core, struct ws_job *job)
{
	if (!job->spec.service && job->phase != WS_JOB_CANCELLED &&
	    job->done_count == job->spec.tasks && job->phase != WS_JOB_DONE) {
		job->phase = WS_JOB_DONE;
		ws_log(core, WS_LOG_INFO, "job done job=%s", job->spec.id);
		ws_job_mark_dirty(core, job, true);
	}
	if (ws_job_is_finished(job) && !job->attempt_count)
		ws_job_mark_dirty(core, job, true);
}

void ws_job_task_done(struct ws_core *core, struct ws_job *job, uint32_t task)
{
	uint32_t first = task, end = task + 1;

	if (task >= job->spec.tasks || job->tasks[task].done || job->spec.service)
		return;
	if (job->spec.gang) { /* the tasks of a gang complete together */
		first = 0;
		end = job->spec.tasks;
	}
	for (uint32_t index = first; index < end; index++) {
		if (job->tasks[index].done)
			continue;
		if (!job->tasks[index].live_attempts)
			job->waiting--;
		job->tasks[index].done = true;
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
	ws_log(core, WS_LOG_INFO, "job cancelled job=%s stopping=%u", job->spec.id,
	       job->attempt_count);
	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
		if (attempt->state != WS_ATTEMPT_RELEASED) {
			attempt->machine->commands.pending = true;
			ws_attempt_stop(core, attempt, 0, WS_STOP_ALREADY_LOGGED);
		}
	ws_core_job_commands_due(core, job);
	ws_job_check_end(core, job);
}

/*
 * Keeps the record's old revision, so that the job watch delivers the cancelled record once the
 * store is available again, and any write by this leader before that fails its compare.
 */
void ws_job_apply_cancellation(struct ws_core *core, const struct ws_cancellation *cancellation)
{
	struct ws_job *job = ws_job_find(core, cancellation->job);

	if (job && cancellation->revision > job->record.revision && job->phase != WS_JOB_CANCELLED)
		ws_job_cancel(core, job);
}

/*
 * Applies a changed record to a job of the replica. Other nodes than the leader change a job's
 * record only to cancel the job.
 */
static void ws_job_update(struct ws_core *core, struct ws_job *job, json_t *value,
			  uint64_t revision)
{
	enum ws_job_phase phase;
	uint32_t done, running;

	job->record.revision = revision;
	job->record.compare_failed = false;
	ws_writer_wake(core);
	ws_job_parts_named(job, ws_job_record_continuation_count(value));
	if (!ws_job_status_decode(value, &phase, &done, &running))
		return;
	if (phase != WS_JOB_CANCELLED)
		return;
	if (!ws_job_is_finished(job)) {
		ws_job_cancel(core, job);
	} else if (job->phase == WS_JOB_DONE) {
		/* the cancellation was acknowledged before "done" could be recorded, so it prevails
		 */
		job->phase = WS_JOB_CANCELLED;
		ws_job_check_end(core, job);
	}
}

/* Creates a job from its record. Returns NULL if the record is malformed. */
static struct ws_job *ws_job_decode(struct ws_core *core, const char *id, json_t *value,
				    uint64_t revision)
{
	struct ws_job *job = ws_job_record_decode(id, value);

	if (!job)
		return NULL;
	job->record.revision = revision;
	ws_job_parts_named(job, ws_job_record_continuation_count(value));
	job->team = ws_team_find(core, job->spec.team);
	job->pinned_zone = ws_zone_index(core, job->spec.zone);
	job->image_index = ws_image_index(core, job->spec.image);
	job->task_capacity = ws_task_capacity(&job->spec);
	job->eligible_types_version = NO_TYPES_VERSION;
	job->waiting = job->spec.tasks - job->done_count;
	job->first_seen_at = core->now;
	return job;
}

/* Handles a job that was added while this node is the leader; most are users' submissions. */
static void ws_job_added_while_leading(struct ws_core *core, struct ws_job *job)
{
	ws_log(core, WS_LOG_DEBUG, "job loaded job=%s count=%u team=%s class=%s", job->spec.id,
	       job->spec.tasks, job->spec.team, job->spec.job_class);
	if (job->phase == WS_JOB_CANCELLED)
		ws_job_check_end(core, job);
	else if (!job->spec.service)
		ws_stats_arrived(core, job->spec.tasks * ws_task_demand_units(core, &job->spec));
}

/* Adds a job to the replica from a record that was not in it. */
static void ws_job_add_from_record(struct ws_core *core, const char *id, json_t *value,
				   uint64_t revision)
{
	struct ws_job *job;

	if (ws_tombstone_is_set(core, &core->jobs.archived, id))
		return; /* an outdated record: this leader has archived the job since */
	job = ws_job_decode(core, id, value, revision);
	if (!job) {
		ws_log(core, WS_LOG_ERROR, "malformed job record ignored job=%s", id);
		return;
	}
	HASH_ADD_STR(core->jobs.by_id, spec.id, job);
	ws_core_job_known(core, job);
	if (core->leadership.role == WS_LEADER)
		ws_job_added_while_leading(core, job);
	ws_core_request_pass(core);
}

void ws_job_record_changed(struct ws_core *core, const char *id, json_t *value, uint64_t revision)
{
	struct ws_job *job = ws_job_find(core, id);

	if (job && revision <= job->record.revision)
		return;
	if (value && job)
		ws_job_update(core, job, value, revision);
	else if (value)
		ws_job_add_from_record(core, id, value, revision);
	else if (job)
		ws_job_free(core, job);
}

void ws_jobs_clear(struct ws_core *core)
{
	struct ws_job *job = core->jobs.by_id, *next;

	HASH_CLEAR(hh, core->jobs.by_id);
	for (; job; job = next) {
		next = job->hh.next;
		ws_job_parts_free(job);
		free(job->tasks);
		free(job);
	}
	core->jobs.dirty = NULL;
	for (size_t i = 0; i < core->settings->team_count; i++)
		core->jobs.teams[i].used_cpus = core->jobs.teams[i].used_gpus = 0;
	ws_tombstones_clear(core, &core->jobs.archived, true);
	ws_tombstones_clear(core, &core->jobs.orphaned_continuations, true);
	ws_tombstones_clear(core, &core->jobs.unreadable, true);
	ws_quarantine_clear(core);
}
