/*
 * The record source of the jobs: job/<id> holds a live job, more/<id>/<n> the attempts that have no
 * room in it, old/<id> an archived one. Decides which records are due and in which order they are
 * written, and handles the outcome of each write.
 */
#include "../core_state.h"
#include "../record_sources.h"
#include "live_job_records.h"
#include "record_parts.h"

/* A record in which only completed tasks have changed is written after this many seconds if there
 * is spare write budget: users may see progress this late. */
#define PROGRESS_DELAY_S 2
/* Without spare write budget, such a record is written after this fraction (1/n) of a lease. */
#define PROGRESS_DELAY_LEASE_DIVISOR 2
/* After this fraction (1/n) of a lease, a portion of an array gets the rank of a whole job. */
#define PORTION_DELAY_LEASE_DIVISOR 4
/* Estimated size of the operations that archive a finished job. */
#define FINISHED_JOB_BYTES 256
/* A finished job needs two operations: one on its job/ key and one on its old/ key. */
#define JOB_OPERATIONS 2

/* Write priority of a job's record when the write budget is short; the highest is written first. */
enum ws_job_write_rank { WS_JOB_RANK_PROGRESS, WS_JOB_RANK_ARRAY_PORTION, WS_JOB_RANK_WHOLE_JOB };

static struct ws_job *ws_job_of_key(struct ws_core *core, const char *key)
{
	return ws_job_find(core, key + strlen(WS_KEY_PREFIX_JOB));
}

/* ---- reading ---- */

static void ws_job_load(struct ws_core *core, const struct ws_kv *record)
{
	const char *job_id = record->key + strlen(WS_KEY_PREFIX_JOB);

	ws_job_record_changed(core, job_id, record->value, record->revision);
	if (!ws_job_find(core, job_id))
		ws_tombstone_set(&core->jobs.unreadable, job_id, INFINITY);
	ws_core_attempts_read(core, job_id, record->value, 0);
}

static void ws_jobs_loaded(struct ws_core *core)
{
	struct ws_job *job, *next;

	ws_core_attempts_restored(core);
	HASH_ITER (hh, core->jobs.by_id, job, next)
		ws_job_check_end(core, job);
}

/* ---- writing ---- */

/*
 * Whether a job's record is to be written now. Starts and ends are written at once. Completed tasks
 * are written after PROGRESS_DELAY_S if there is spare write budget, otherwise together with the
 * next start or end, or after a fraction of a lease.
 */
static bool ws_job_is_due(const struct ws_core *core, const struct ws_job *job)
{
	double age = core->now - job->record.dirty_since;

	return !job->record.write_in_flight && !job->record.compare_failed &&
	       (job->record.write_urgent ||
		age > core->settings->lease_s / PROGRESS_DELAY_LEASE_DIVISOR ||
		(age > PROGRESS_DELAY_S && ws_writer_has_spare_budget(core)));
}

/*
 * Records of jobs that start or end as a whole are written first, as are urgent records that have
 * been dirty for long. Further portions of arrays follow, since a delayed write covers more tasks.
 */
static enum ws_job_write_rank ws_job_write_rank(const struct ws_core *core,
						const struct ws_job *job)
{
	if (!job->record.write_urgent)
		return WS_JOB_RANK_PROGRESS;
	if (job->spec.service || job->spec.gang || !job->started || ws_job_is_finished(job) ||
	    core->now - job->record.dirty_since >
		core->settings->lease_s / PORTION_DELAY_LEASE_DIVISOR)
		return WS_JOB_RANK_WHOLE_JOB;
	return WS_JOB_RANK_ARRAY_PORTION;
}

/* Moves a finished job's record to its old/ key and deletes its continuation records. Those that do
 * not fit into this transaction are orphaned when it is committed. */
static void ws_job_add_finished(struct ws_write_batch *batch, struct ws_job *job)
{
	char key[WS_KEY_MAX];

	job->record.own.write_in_flight = true;
	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_ARCHIVED_JOB, job->spec.id);
	ws_write_batch_set_if(batch, key, 0, ws_archived_job_record_encode(job));
	ws_job_part_key(job, 0, key);
	ws_write_batch_set_if(batch, key, job->record.revision, NULL);
	for (uint32_t number = 1;
	     number < ws_job_part_count(job) && ws_write_batch_operations_left(batch); number++) {
		struct ws_record_part *part = ws_job_part(job, number);

		if (!part->stored)
			continue;
		part->write_in_flight = part->delete_in_flight = true;
		ws_job_part_key(job, number, key);
		ws_write_batch_set(batch, key, NULL);
	}
	batch->bytes += FINISHED_JOB_BYTES;
}

static void ws_job_add_to_batch(struct ws_core *core, struct ws_write_batch *batch,
				struct ws_job *job)
{
	/* archived only once all attempts are released: until then they count against its team */
	bool finished = ws_job_is_finished(job) && !job->attempt_count;

	DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	ws_write_counts_add(core, finished		     ? WS_WRITE_ENDS
				  : job->record.write_urgent ? WS_WRITE_STARTS
							     : WS_WRITE_JOBS_DEFERRED);
	job->record.dirty = job->record.write_urgent = false;
	if (job->phase == WS_JOB_CANCELLED && !finished)
		return; /* the stored phase is already "cancelled"; due again after the last
			   attempt's release */
	job->record.write_in_flight = true;
	if (finished)
		ws_job_add_finished(batch, job);
	else
		ws_job_add_live(core, batch, job);
}

static void ws_jobs_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	struct ws_job *job, *next;

	for (int rank = WS_JOB_RANK_WHOLE_JOB; rank >= WS_JOB_RANK_PROGRESS; rank--)
		DL_FOREACH_SAFE2 (core->jobs.dirty, job, next, dirty_next) {
			if (ws_write_batch_operations_left(batch) < JOB_OPERATIONS ||
			    ws_write_batch_is_full(batch))
				break;
			if ((int)ws_job_write_rank(core, job) == rank && ws_job_is_due(core, job))
				ws_job_add_to_batch(core, batch, job);
		}
}

/* ---- outcome of a write ---- */

/* After a write of a job's records: its planned attempts in them are recorded, so they may be
 * started. */
static void ws_job_mark_written(struct ws_job *job)
{
	ws_job_parts_written(job);
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
		ws_job_parts_written(job);
		ws_job_free(core, job);
		return;
	}
	if (revision > job->record.revision)
		job->record.revision = revision;
	ws_log(core, WS_LOG_DEBUG, "job record written job=%s revision=%llu attempts=%u",
	       job->spec.id, (unsigned long long)revision, job->attempt_count);
	ws_job_mark_written(job);
}

/* Sends the commands for attempts that this transaction has recorded. */
static void ws_job_committed(struct ws_core *core, const struct ws_operation *operation)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);

	if (job)
		ws_core_job_commands_due(core, job);
}

/* Notes that a job's own record is newer than the replica. A user has cancelled the job: the job
 * watch delivers the new record, so it is not read here. */
static void ws_job_compare_failed(struct ws_core *core, const struct ws_compare *compare)
{
	struct ws_job *job = ws_job_of_key(core, compare->key);

	if (job && compare->revision == job->record.revision)
		job->record.compare_failed = true;
}

void ws_job_records_not_written(struct ws_core *core, struct ws_job *job)
{
	job->record.write_in_flight = false;
	for (uint32_t task = 0; task < job->spec.tasks; task++)
		job->tasks[task].write_in_flight = false;
	ws_job_parts_not_written(job);
	ws_job_mark_dirty(core, job, true);
}

static bool ws_job_not_written(struct ws_core *core, const struct ws_operation *operation,
			       const struct ws_compare *failed_compare)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);

	(void)failed_compare; /* handled by ws_job_compare_failed() */
	if (job)
		ws_job_records_not_written(core, job);
	return false;
}

const struct ws_record_source ws_job_records = {
    .key_prefix = WS_KEY_PREFIX_JOB,
    .load = ws_job_load,
    .listed = ws_job_watch_start,
    .loaded = ws_jobs_loaded,
    .collect = ws_jobs_collect,
    .written = ws_job_written,
    .committed = ws_job_committed,
    .not_written = ws_job_not_written,
    .compare_failed = ws_job_compare_failed,
};
