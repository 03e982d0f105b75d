/*
 * The transactions for the records of a live job, job/<id> and more/<id>/<n>.
 *
 * They may need several. Each is conditioned on the revision of the job's own record, and all but
 * those that make room in that record write it as well. An attempt may be started once a part that
 * lists it is committed, so a later leader finds every attempt that was started; it places the
 * tasks of those that were only planned.
 */
#include "live_job_records.h"
#include "../core_state.h"
#include "record_layout.h"
#include "record_parts.h"

/* Upper bound of the bytes that an operation adds to a transaction beside its value. */
#define WS_RECORD_OVERHEAD_BYTES ((size_t)512)

/* A recorded attempt that moves from one part to another. */
struct ws_part_move {
	uint32_t source, target;
};

/* A transaction for a live job under construction. */
struct ws_live_job_write {
	struct ws_write_batch *batch;
	struct ws_job *job;
	struct ws_encoded_parts parts;
	struct ws_part_move *moves;
	size_t move_count;
	uint32_t continuations; /* added to the transaction */
};

static void ws_live_job_find_moves(struct ws_live_job_write *write)
{
	struct ws_attempt *attempt;

	if (!write->job->record.continuation_count)
		return;
	write->moves = ws_alloc(write->job->attempt_count + 1, sizeof(*write->moves));
	DL_FOREACH2 (write->job->attempts, attempt, job_next)
		if (ws_attempt_is_listed(attempt) && attempt->listed_part != WS_PART_NONE &&
		    attempt->listed_part != attempt->part)
			write->moves[write->move_count++] =
			    (struct ws_part_move){attempt->listed_part, attempt->part};
}

/* Whether attempts move from a part to others that are not in this transaction: the part must list
 * them until the others do. */
static bool ws_part_awaits_targets(const struct ws_live_job_write *write, uint32_t number)
{
	for (size_t i = 0; i < write->move_count; i++)
		if (write->moves[i].source == number &&
		    (write->moves[i].target == WS_PART_NONE ||
		     !ws_job_part(write->job, write->moves[i].target)->write_in_flight))
			return true;
	return false;
}

/* Whether a dirty continuation record has nothing to be written: it neither exists nor lists
 * anything. */
static bool ws_part_is_void(const struct ws_live_job_write *write, uint32_t number)
{
	return !write->parts.values[number] && !ws_job_part(write->job, number)->stored;
}

static bool ws_part_fits_batch(const struct ws_live_job_write *write, uint32_t number)
{
	/* one operation and the bytes of the own record are kept for that record */
	return ws_write_batch_operations_left(write->batch) > 1 &&
	       write->batch->bytes + write->parts.bytes[0] + write->parts.bytes[number] +
		       2 * WS_RECORD_OVERHEAD_BYTES <=
		   WS_TRANSACTION_BYTES_MAX;
}

static json_t *ws_live_job_take_value(struct ws_live_job_write *write, uint32_t number)
{
	json_t *value = write->parts.values[number];

	write->parts.values[number] = NULL;
	write->batch->bytes += write->parts.bytes[number] + WS_RECORD_OVERHEAD_BYTES;
	return value;
}

static void ws_live_job_add_part(struct ws_live_job_write *write, uint32_t number)
{
	struct ws_record_part *part = ws_job_part(write->job, number);
	json_t *value = ws_live_job_take_value(write, number);
	char key[WS_KEY_MAX];

	part->dirty = false;
	part->write_in_flight = true;
	part->delete_in_flight = !value;
	part->stored |= value != NULL;
	ws_job_part_key(write->job, number, key);
	ws_write_batch_set(write->batch, key, value);
	write->continuations++;
}

/* Adds the new parts of attempts that leave the own record, as many as fit. */
static void ws_live_job_add_new_parts(struct ws_live_job_write *write)
{
	for (uint32_t number = 1; number < write->parts.count; number++) {
		char key[WS_KEY_MAX];

		if (ws_job_part(write->job, number)->stored || !write->parts.values[number] ||
		    !ws_part_fits_batch(write, number))
			continue;
		ws_job_part_key(write->job, number, key);
		ws_write_batch_compare(write->batch, key, 0);
		ws_live_job_add_part(write, number);
	}
}

/* Adds the dirty continuation records, as many as fit. Those that give attempts to others come
 * last. */
static void ws_live_job_add_continuations(struct ws_live_job_write *write)
{
	for (int round = 0; round < 2; round++)
		for (uint32_t number = 1; number < write->parts.count; number++) {
			struct ws_record_part *part = ws_job_part(write->job, number);

			if (!part->dirty || part->write_in_flight)
				continue;
			if (ws_part_is_void(write, number)) {
				part->dirty = false;
				continue;
			}
			if (ws_part_awaits_targets(write, number) ||
			    !ws_part_fits_batch(write, number))
				continue;
			ws_live_job_add_part(write, number);
		}
}

/* If attempts move from the job's own record to parts that are not in this transaction, it stays as
 * it is, and the transaction only compares its revision. */
static void ws_live_job_compare_own(struct ws_live_job_write *write)
{
	char key[WS_KEY_MAX];

	ws_job_part_key(write->job, 0, key);
	if (write->continuations)
		ws_write_batch_compare(write->batch, key, write->job->record.revision);
	else
		write->job->record.write_in_flight = false; /* the batch has no room for any */
}

static void ws_live_job_add_own(struct ws_live_job_write *write)
{
	struct ws_job *job = write->job;
	char key[WS_KEY_MAX];

	ws_job_part_key(job, 0, key);
	job->record.own.dirty = false;
	job->record.own.write_in_flight = true;
	ws_write_batch_set_if(write->batch, key, job->record.revision,
			      ws_live_job_take_value(write, 0));
}

/* Whether parts remain to be written, or attempts have no part yet. */
static bool ws_live_job_is_incomplete(struct ws_job *job)
{
	const struct ws_attempt *attempt;

	for (uint32_t number = 0; number < ws_job_part_count(job); number++)
		if (ws_job_part(job, number)->dirty)
			return true;
	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (ws_attempt_is_listed(attempt) && attempt->part == WS_PART_NONE)
			return true;
	return false;
}

/* Schedules the next transaction of a job whose records are not all written. A gang goes before
 * other jobs, since the part of it that is on record waits for the rest. */
static void ws_live_job_continue(struct ws_core *core, struct ws_job *job)
{
	ws_job_mark_dirty(core, job, true);
	if (!job->spec.gang)
		return;
	DL_DELETE2(core->jobs.dirty, job, dirty_prev, dirty_next);
	DL_PREPEND2(core->jobs.dirty, job, dirty_prev, dirty_next);
}

/* Releases the planned attempts of a job whose records cannot be made to fit. */
static void ws_job_release_planned(struct ws_core *core, struct ws_job *job)
{
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next)
		if (attempt->state == WS_ATTEMPT_PLANNED)
			ws_attempt_release(core, attempt, WS_RELEASE_NEVER_SENT);
	ws_log(core, WS_LOG_ERROR, "record too large, not written job=%s attempts=%u", job->spec.id,
	       job->attempt_count);
}

static void ws_live_job_count_continuations(struct ws_core *core,
					    const struct ws_live_job_write *write)
{
	for (uint32_t i = 0; i < write->continuations; i++)
		ws_write_counts_add(core, WS_WRITE_CONTINUATIONS);
	if (write->continuations)
		ws_log(core, WS_LOG_DEBUG,
		       "continuation records sent job=%s sent=%u of=%u attempts=%u",
		       write->job->spec.id, write->continuations,
		       write->job->record.continuation_count, write->job->attempt_count);
}

void ws_job_add_live(struct ws_core *core, struct ws_write_batch *batch, struct ws_job *job)
{
	struct ws_live_job_write write = {.batch = batch, .job = job};

	if (!ws_job_encode_parts(core, job, &write.parts)) {
		job->record.write_in_flight = false;
		ws_job_release_planned(core, job);
		return;
	}
	ws_live_job_find_moves(&write);
	if (ws_job_leaves_own_record(job))
		ws_live_job_add_new_parts(&write);
	if (ws_part_awaits_targets(&write, 0)) {
		ws_live_job_compare_own(&write);
	} else {
		ws_live_job_add_continuations(&write);
		ws_live_job_add_own(&write);
	}
	ws_job_parts_sent(job);
	ws_live_job_count_continuations(core, &write);
	ws_encoded_parts_free(&write.parts);
	free(write.moves);
	if (ws_live_job_is_incomplete(job))
		ws_live_job_continue(core, job);
}
