/*
 * Records of jobs: job/<id> while a job is live, old/<id> once it is over. Which of them are due,
 * which go first, and what follows once they are written.
 */
#include "../core_state.h"
#include "../record_sources.h"

#define WS_VALUE_RESERVE 64	 /* bytes of a value that records leave free */
#define WS_GANG_MACHINE_BYTES 8	 /* of a job's record, for each machine of a gang */
#define WS_GANG_RECORD_BYTES 704 /* of a gang's record, besides its machines */

/* Progress alone, with changes to spare, waits for this time: users may wait for it so long. */
#define PROGRESS_DELAY_S 2
/* Estimates of the bytes of a record: of a finished job; of a live one, and of each attempt. */
#define FINISHED_JOB_BYTES 256
#define JOB_BYTES 1024
#define ATTEMPT_BYTES 24
/* A finished job takes an operation on job/ and one on old/. */
#define JOB_OPERATIONS 2

/* Which records go first when changes are short. */
enum ws_job_rank { WS_JOB_RANK_PROGRESS, WS_JOB_RANK_PORTION, WS_JOB_RANK_WHOLE };

static struct ws_job *ws_job_of_key(struct ws_core *core, const char *key)
{
	return ws_job_find(core, key + strlen(WS_KEY_PREFIX_JOB));
}

/* ---- reading ---- */

static struct ws_attempt *ws_attempt_named(const struct ws_machine *machine, const char *job_id,
					   const struct ws_recorded_attempt *assigned)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->number == assigned->number && attempt->task == assigned->task &&
		    !strcmp(attempt->job_id, job_id))
			return attempt;
	return NULL;
}

static void ws_load_attempt(struct ws_core *core, const char *job_id,
			    const struct ws_recorded_attempt *assigned)
{
	struct ws_machine *machine = ws_machine_find_or_add(core, assigned->machine);
	struct ws_attempt *attempt;
	const struct ws_job *job;

	machine->recorded = true;
	if (!machine->zone[0])
		ws_machine_set_kind(core, machine, "", assigned->zone, false);
	if (assigned->incarnation > machine->incarnation)
		machine->incarnation = assigned->incarnation;
	if (ws_attempt_named(machine, job_id, assigned))
		return; /* named by two records: cancelled while we read */
	attempt = ws_attempt_add(core, machine, job_id, assigned->task, assigned->number);
	attempt->incarnation = assigned->incarnation;
	attempt->state = WS_ATTEMPT_RECORDED;
	attempt->maybe_sent = true; /* for all we know */
	attempt->awaiting_reconciliation = true;
	job = attempt->job;
	if (!job || (attempt->task < job->spec.tasks && job->tasks[attempt->task].done))
		ws_attempt_mark_stopping(attempt);
}

void ws_load_attempts(struct ws_core *core, const char *job_id, json_t *value)
{
	struct ws_recorded_attempt *list;
	size_t count = ws_record_read_attempts(value, &list);

	for (size_t i = 0; i < count; i++)
		ws_load_attempt(core, job_id, &list[i]);
	free(list);
}

static void ws_job_load(struct ws_core *core, const struct ws_kv *record)
{
	const char *job_id = record->key + strlen(WS_KEY_PREFIX_JOB);

	ws_job_record_changed(core, job_id, record->value, record->revision);
	ws_load_attempts(core, job_id, record->value);
}

/* Whether an attempt is of a cancelled job, or an older one of a task that was placed anew. */
static bool ws_attempt_is_superseded(const struct ws_attempt *attempt)
{
	const struct ws_job *job = attempt->job;

	if (!job)
		return false;
	return job->phase == WS_JOB_CANCELLED ||
	       (attempt->task < job->spec.tasks &&
		job->tasks[attempt->task].newest_attempt != attempt);
}

static void ws_job_loaded(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;
	struct ws_job *job, *next_job;

	HASH_ITER (hh, core->fleet.machines, machine, next_machine)
		for (struct ws_attempt *attempt = machine->attempts; attempt;
		     attempt = attempt->machine_next)
			if (ws_attempt_is_superseded(attempt))
				ws_attempt_mark_stopping(attempt);
	HASH_ITER (hh, core->jobs.by_id, job, next_job)
		ws_job_check_end(core, job);
}

/* ---- writing ---- */

/*
 * Whether a job's record is to be written now: starts and ends at once; which tasks are over
 * meanwhile, within the 2 s that users may wait for it while there are changes to spare, else with
 * the next start or end, or when half a lease has passed.
 */
static bool ws_job_is_due(const struct ws_core *core, const struct ws_job *job)
{
	double age = core->now - job->dirty_since;

	return !job->write_in_flight && !job->compare_failed &&
	       (job->write_urgent || age > core->settings->lease_s / 2 ||
		(age > PROGRESS_DELAY_S && ws_writer_has_spare_budget(core)));
}

/*
 * Of jobs that users see begin or end whole, and what has waited for long; then further portions of
 * arrays, of which more come together meanwhile.
 */
static enum ws_job_rank ws_job_rank(const struct ws_core *core, const struct ws_job *job)
{
	if (!job->write_urgent)
		return WS_JOB_RANK_PROGRESS;
	if (job->spec.service || job->spec.gang || !job->started || ws_job_is_over(job) ||
	    core->now - job->dirty_since > core->settings->lease_s / 4)
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
	ws_write_batch_set_if(batch, key, job->revision, NULL);
	/* those for which there is no room now are found as orphans by the next leader */
	for (uint32_t i = 0; i < job->continuation_count && ws_write_batch_room(batch); i++) {
		snprintf(key, sizeof(key), "%s%s/%u", WS_KEY_PREFIX_JOB_CONTINUATION, job->spec.id,
			 i);
		ws_write_batch_set(batch, key, NULL);
	}
	batch->bytes += FINISHED_JOB_BYTES;
}

/* More is planned than the record holds: what was not sent is taken back. */
static void ws_job_release_planned(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next)
		if (attempt->state == WS_ATTEMPT_PLANNED)
			ws_attempt_release(core, attempt);
	ws_log(core, WS_LOG_INFO, "job %s: its record is full", job->spec.id);
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
		job->write_in_flight = false;
		return;
	}
	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_JOB, job->spec.id);
	ws_write_batch_set_if(batch, key, job->revision, value);
	/* a record is mostly its attempts */
	batch->bytes += JOB_BYTES + ATTEMPT_BYTES * (size_t)job->attempt_count;
}

static void ws_job_add(struct ws_core *core, struct ws_write_batch *batch, struct ws_job *job)
{
	/* archived once nothing of it can be alive, so that what is counts for its team */
	bool over = ws_job_is_over(job) && !job->attempt_count;

	DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	ws_write_counts_add(core, over		      ? WS_WRITE_ENDS
				  : job->write_urgent ? WS_WRITE_STARTS
						      : WS_WRITE_LATER);
	job->dirty = job->write_urgent = false;
	if (job->phase == WS_JOB_CANCELLED && !over)
		return; /* the record says so already; due again when the last task is gone */
	job->write_in_flight = true;
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

/* What a job's record held is on record now: its starts may go out. */
static void ws_job_mark_written(struct ws_job *job)
{
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (attempt->state == WS_ATTEMPT_GONE && !attempt->write_in_flight) {
			ws_attempt_free(attempt); /* what was just written no longer names it */
			continue;
		}
		if (attempt->write_in_flight && attempt->state == WS_ATTEMPT_PLANNED) {
			attempt->state = WS_ATTEMPT_RECORDED;
			attempt->machine->has_starts_to_send = true;
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
	job->write_in_flight = false;
	if (!operation->value) {
		ws_tombstone_set(&core->jobs.archived, job->spec.id,
				 core->now + core->settings->lease_s);
		ws_job_free(core, job);
		return;
	}
	if (revision > job->revision)
		job->revision = revision;
	ws_job_mark_written(job);
}

/* Starts that are on record now go out. */
static void ws_job_committed(struct ws_core *core, const struct ws_operation *operation)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);

	if (job)
		ws_job_send_commands(core, job);
}

/* A job's key moves when its user cancels: the watch brings it, so it is never read again. */
static bool ws_job_not_written(struct ws_core *core, const struct ws_operation *operation,
			       const struct ws_compare *failed_compare)
{
	struct ws_job *job = ws_job_of_key(core, operation->key);
	struct ws_attempt *attempt;

	if (!job)
		return false;
	if (failed_compare && failed_compare->revision == job->revision)
		job->compare_failed = true;
	job->write_in_flight = false;
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

size_t ws_record_size_limit(const struct ws_core *core)
{
	return core->writer.value_bytes_max > 2 * WS_VALUE_RESERVE
		   ? (size_t)core->writer.value_bytes_max - WS_VALUE_RESERVE
		   : WS_VALUE_RESERVE;
}

size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt)
{
	return ws_attempt_list_growth(before, attempt, core->fleet.shared_name_length);
}

json_t *ws_record_job(const struct ws_core *core, const struct ws_job *job, size_t limit)
{
	return ws_job_record_encode(job, core->catalog.zone_count, limit);
}

bool ws_gang_recordable(const struct ws_core *core, const struct ws_job_spec *spec,
			const struct ws_machine_type *type)
{
	uint32_t per_machine;
	double machines;

	if (!spec->gang)
		return true;
	per_machine = ws_tasks_fit(spec, type->cpus, type->gpus, type->mem_gb, spec->tasks);
	if (!per_machine)
		return false;
	machines = ceil((double)spec->tasks / per_machine);
	return WS_GANG_MACHINE_BYTES * machines <=
	       core->settings->value_kb * 1024 - WS_GANG_RECORD_BYTES;
}
