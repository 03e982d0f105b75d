/*
 * The parts of a job's records. An attempt is listed by one part, to which it is assigned by
 * record_layout.c. If it moves to another, it may be listed by both until the first is written
 * again; so a released attempt is forgotten only once no part can list it any more.
 */
#include "record_parts.h"
#include "../core_state.h"

uint32_t ws_job_part_count(const struct ws_job *job)
{
	return job->record.continuation_count + 1;
}

struct ws_record_part *ws_job_part(struct ws_job *job, uint32_t number)
{
	return number ? &job->record.continuations[number - 1] : &job->record.own;
}

struct ws_record_part *ws_job_part_add(struct ws_job *job, uint32_t number)
{
	struct ws_job_record_state *record = &job->record;

	if (number > record->continuation_count) {
		record->continuations =
		    ws_resize(record->continuations, number, sizeof(*record->continuations));
		memset(record->continuations + record->continuation_count, 0,
		       (number - record->continuation_count) * sizeof(*record->continuations));
		record->continuation_count = number;
	}
	return ws_job_part(job, number);
}

void ws_job_part_key(const struct ws_job *job, uint32_t number, char *key)
{
	if (number)
		snprintf(key, WS_KEY_MAX, "%s%s/%u", WS_KEY_PREFIX_JOB_CONTINUATION, job->spec.id,
			 number - 1);
	else
		snprintf(key, WS_KEY_MAX, "%s%s", WS_KEY_PREFIX_JOB, job->spec.id);
}

void ws_job_part_changed(struct ws_job *job, uint32_t number)
{
	if (number != WS_PART_NONE)
		ws_job_part(job, number)->dirty = true;
}

void ws_job_part_repeats(struct ws_core *core, struct ws_attempt *attempt, uint32_t number)
{
	attempt->in_other_part = true;
	ws_job_part_changed(attempt->job, number);
	ws_job_mark_dirty(core, attempt->job, false);
}

void ws_job_parts_named(struct ws_job *job, uint32_t count)
{
	job->record.named_continuations = count;
	for (uint32_t number = 1; number <= count; number++)
		ws_job_part_add(job, number)->stored = true;
}

/* ---- writes ---- */

static bool ws_job_has_dirty_part(struct ws_job *job)
{
	for (uint32_t number = 0; number < ws_job_part_count(job); number++)
		if (ws_job_part(job, number)->dirty)
			return true;
	return false;
}

static bool ws_part_is_in_write(struct ws_job *job, uint32_t number)
{
	return number != WS_PART_NONE && ws_job_part(job, number)->write_in_flight;
}

void ws_job_parts_sent(struct ws_job *job)
{
	struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		attempt->write_in_flight =
		    ws_attempt_is_listed(attempt) && ws_part_is_in_write(job, attempt->part);
		if (attempt->write_in_flight && attempt->listed_part == WS_PART_NONE)
			attempt->listed_part = attempt->part;
	}
}

/* After a write of its part: the attempt is on record, so it may be started if it is planned. */
static void ws_attempt_mark_written(struct ws_attempt *attempt)
{
	attempt->write_in_flight = false;
	attempt->listed_part = attempt->part;
	if (attempt->state != WS_ATTEMPT_PLANNED)
		return;
	attempt->state = WS_ATTEMPT_RECORDED;
	attempt->machine->commands.pending = true;
}

/* Whether no part lists a released attempt any more. */
static bool ws_attempt_is_unlisted(struct ws_job *job, const struct ws_attempt *attempt)
{
	return !attempt->in_other_part && (attempt->listed_part == WS_PART_NONE ||
					   ws_part_is_in_write(job, attempt->listed_part));
}

static void ws_job_parts_end_write(struct ws_job *job, bool written)
{
	for (uint32_t number = 0; number < ws_job_part_count(job); number++) {
		struct ws_record_part *part = ws_job_part(job, number);

		if (part->write_in_flight && !written)
			part->dirty = true;
		if (part->delete_in_flight && written)
			part->stored = false;
		part->write_in_flight = part->delete_in_flight = false;
	}
}

void ws_job_parts_written(struct ws_job *job)
{
	bool all_written = !ws_job_has_dirty_part(job);
	struct ws_attempt *attempt, *next;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next, job_next) {
		if (all_written)
			attempt->in_other_part = false;
		if (attempt->write_in_flight)
			ws_attempt_mark_written(attempt);
		else if (attempt->state == WS_ATTEMPT_RELEASED &&
			 ws_attempt_is_unlisted(job, attempt))
			ws_attempt_free(attempt);
	}
	ws_job_parts_end_write(job, true);
}

void ws_job_parts_not_written(struct ws_job *job)
{
	struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		attempt->write_in_flight = false;
	ws_job_parts_end_write(job, false);
}

/* ---- end of a job ---- */

void ws_job_parts_orphan(struct ws_core *core, struct ws_job *job)
{
	char key[WS_KEY_MAX];

	for (uint32_t number = 1; number < ws_job_part_count(job); number++) {
		if (!ws_job_part(job, number)->stored)
			continue;
		ws_job_part_key(job, number, key);
		ws_continuation_orphaned(core, key);
	}
}

void ws_job_parts_free(struct ws_job *job)
{
	free(job->record.continuations);
	job->record.continuations = NULL;
	job->record.continuation_count = 0;
}
