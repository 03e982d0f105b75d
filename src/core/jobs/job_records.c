/*
 * The record source of the jobs: job/<id> while a job is live, old/<id> once it is over. Which
 * records are due, which go first, and what follows once they are written.
 */
#include "../core_state.h"
#include "../record_sources.h"

/* Seconds that progress alone waits for while there is spare write budget: users may wait so long.
 */
#define PROGRESS_DELAY_S 2
/* Without that, it waits for this share of a lease. */
#define PROGRESS_DELAYS_PER_LEASE 2
/* After this share of a lease a portion of an array goes with the jobs that are written whole. */
#define PORTION_DELAYS_PER_LEASE 4
/* Estimates of the bytes of a record: of a finished job; of a live one, and of each attempt. */
#define FINISHED_JOB_BYTES 256
#define JOB_BYTES 1024
#define ATTEMPT_BYTES 24
/* A finished job takes an operation on job/ and one on old/. */
#define JOB_OPERATIONS 2

/* Which records go first when the write budget is short; the highest first. */
enum ws_job_rank { WS_JOB_RANK_PROGRESS, WS_JOB_RANK_PORTION, WS_JOB_RANK_WHOLE };

static struct ws_job *ws_job_of_key(struct ws_core *core, const char *key)
{
	return ws_job_find(core, key + strlen(WS_KEY_PREFIX_JOB));
}

/* ---- reading ---- */

static void ws_job_load(struct ws_core *core, const struct ws_kv *record)
{
	const char *job_id = record->key + strlen(WS_KEY_PREFIX_JOB);

	ws_job_record_changed(core, job_id, record->value, record->revision);
	ws_core_attempts_read(core, job_id, record->value);
}

static void ws_job_loaded(struct ws_core *core)
{
	struct ws_job *job, *next;

	ws_core_attempts_restored(core);
	HASH_ITER (hh, core->jobs.by_id, job, next)
		ws_job_check_end(core, job);
}

/* ---- writing ---- */

/*
 * Whether a job's record is to be written now. Starts and ends are at once. Which tasks are
 * complete is written within PROGRESS_DELAY_S while there is spare write budget, else with the next
 * start or end, or when a share of a lease has passed.
 */
static bool ws_job_is_due(const struct ws_core *core, const struct ws_job *job)
{
	double age = core->now - job->record.dirty_since;

	return !job->record.write_in_flight && !job->record.compare_failed &&
	       (job->record.write_urgent ||
		age > core->settings->lease_s / PROGRESS_DELAYS_PER_LEASE ||
		(age > PROGRESS_DELAY_S && ws_writer_has_spare_budget(core)));
}

/*
 * Jobs that begin or end as a whole for their users go first, with all that has waited for long;
 * then further portions of arrays, which grow while they wait.
 */
static enum ws_job_rank ws_job_rank(const struct ws_core *core, const struct ws_job *job)
{
	if (!job->record.write_urgent)
		return WS_JOB_RANK_PROGRESS;
	if (job->spec.service || job->spec.gang || !job->started || ws_job_is_over(job) ||
	    core->now - job->record.dirty_since >
		core->settings->lease_s / PORTION_DELAYS_PER_LEASE)
		return WS_JOB_RANK_WHOLE;
	return WS_JOB_RANK_PORTION;
}

/* A finished job moves to old/, and its continuation records are deleted. */
static void ws_job_add_finished(struct ws_write_batch *batch, struct ws_job *job)
{
	char key[WS_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_ARCHIVED_JOB, job->spec.id);
	ws_write_batch_set_if(batch, key, 0, ws_record_final(job));
	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_JOB, job->spec.id);
	ws_write_batch_set_if(batch, key, job->record.revision, NULL);
	/* those for which there is no room now are deleted by the next leader, as orphaned */
	for (uint32_t i = 0; i < job->record.continuation_count && ws_write_batch_room(batch);
	     i++) {
		snprintf(key, sizeof(key), "%s%s/%u", WS_KEY_PREFIX_JOB_CONTINUATION, job->spec.id,
			 i);
		ws_write_batch_set(batch, key, NULL);
	}
	batch->bytes += FINISHED_JOB_BYTES;
}

/* The record has no room for all that is planned: releases the attempts that are not recorded yet.
 */
static void ws_job_release_planned(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next)
		if (attempt->state == WS_ATTEMPT_PLANNED)
			ws_attempt_release(core, attempt, WS_RELEASE_NEVER_SENT);
	ws_log(core, WS_LOG_INFO, "job record full job=%s", job->spec.id);
}

static void ws_job_add_live(struct ws_core *core, struct ws_write_batch *batch, struct ws_job *job)
{
	json_t *value = ws_record_job(core, job, ws_record_size_limit(core));
	char key[WS_KEY_MAX];

	if (!value) {
		ws_job_release_planned(core, job);
		value = ws_record_job(core, job, ws_record_size_limit(core));
	}
	if (!value) {
		job->record.write_in_flight = false;
		return;
	}
	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_JOB, job->spec.id);
	ws_write_batch_set_if(batch, key, job->record.revision, value);
	/* a record is mostly its attempts */
	batch->bytes += JOB_BYTES + ATTEMPT_BYTES * (size_t)job->attempt_count;
}

static void ws_job_add(struct ws_core *core, struct ws_write_batch *batch, struct ws_job *job)
{
	/* archived only when no attempt may be alive: until then they count for its team */
	bool over = ws_job_is_over(job) && !job->attempt_count;

	DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	ws_write_counts_add(core, over			     ? WS_WRITE_ENDS
				  : job->record.write_urgent ? WS_WRITE_STARTS
							     : WS_WRITE_LATER);
	job->record.dirty = job->record.write_urgent = false;
	if (job->phase == WS_JOB_CANCELLED && !over)
		return; /* the record says so already; due again when the last task is gone */
	job->record.write_in_flight = true;
	if (over)
		ws_job_add_finished(batch, job);
	else
		ws_job_add_live(core, batch, job);
}

static void ws_job_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	struct ws_job *job, *next;

	for (int rank = WS_JOB_RANK_WHOLE; rank >= WS_JOB_RANK_PROGRESS; rank--)
		DL_FOREACH_SAFE2 (core->jobs.dirty, job, next, dirty_next) {
			if (ws_write_batch_room(batch) < JOB_OPERATIONS ||
			    ws_write_batch_is_full(batch))
				break;
			if ((int)ws_job_rank(core, job) == rank && ws_job_is_due(core, job))
				ws_job_add(core, batch, job);
		}
}

/* ---- outcome of a write ---- */

/* A job's record was written: its planned attempts are recorded, and their starts may be sent. */
static void ws_job_mark_written(struct ws_job *job)
{
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (attempt->state == WS_ATTEMPT_GONE && !attempt->write_in_flight) {
			ws_attempt_free(attempt); /* the record no longer names it */
			continue;
		}
		if (attempt->write_in_flight && attempt->state == WS_ATTEMPT_PLANNED) {
			attempt->state = WS_ATTEMPT_RECORDED;
			attempt->machine->commands.pending = true;
		}
		attempt->write_in_flight = false;
	}
	for (uint32_t task = 0; task < job->spec.tasks; task++)
		if (job->tasks[task].write_in_flight) {
			job->tasks[task].recorded = true;
			job->tasks[task].write_in_flight = false;
		}
}

static void ws_job_written(struct ws_core *core, const struct ws_operation *operation,
			   uint64_t revision)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);

	if (!job)
		return;
	job->record.write_in_flight = false;
	if (!operation->value) {
		ws_tombstone_set(&core->jobs.archived, job->spec.id,
				 core->now + core->settings->lease_s);
		ws_job_free(core, job);
		return;
	}
	if (revision > job->record.revision)
		job->record.revision = revision;
	ws_log(core, WS_LOG_DEBUG, "job record written job=%s revision=%llu attempts=%u",
	       job->spec.id, (unsigned long long)revision, job->attempt_count);
	ws_job_mark_written(job);
}

/* Starts that are on record now go out. */
static void ws_job_committed(struct ws_core *core, const struct ws_operation *operation)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);

	if (job)
		ws_core_job_commands_due(core, job);
}

/* A job's key changes when its user cancels: the watch brings that, so it is not read again. */
static bool ws_job_not_written(struct ws_core *core, const struct ws_operation *operation,
			       const struct ws_compare *failed_compare)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);
	struct ws_attempt *attempt;

	if (!job)
		return false;
	if (failed_compare && failed_compare->revision == job->record.revision)
		job->record.compare_failed = true;
	job->record.write_in_flight = false;
	for (uint32_t task = 0; task < job->spec.tasks; task++)
		job->tasks[task].write_in_flight = false;
	DL_FOREACH2 (job->attempts, attempt, job_next)
		attempt->write_in_flight = false;
	ws_job_mark_dirty(core, job, true);
	return false;
}

const struct ws_record_source ws_job_records = {
    .key_prefix = WS_KEY_PREFIX_JOB,
    .load = ws_job_load,
    .listed = ws_job_watch_start,
    .loaded = ws_job_loaded,
    .collect = ws_job_collect,
    .written = ws_job_written,
    .committed = ws_job_committed,
    .not_written = ws_job_not_written,
};
