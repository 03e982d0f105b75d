/*
 * The layout of a job's attempts over its records. A new attempt goes to the first part that has
 * room for it, by the upper bound of its size, and stays there: so a start or an end changes few
 * parts. The encoded size decides. A part that exceeds the limit all the same, since it was written
 * under a higher one, gives its last attempts to other parts.
 */
#include "record_layout.h"
#include "../core_state.h"
#include "record_parts.h"

/* A layout under way. */
struct ws_layout {
	struct ws_core *core;
	struct ws_job *job;
	bool leaves_own; /* attempts have to leave the own record, see ws_job_leaves_own_record() */
	struct ws_attempt **attempts; /* assigned ones, by part */
	size_t *first;		      /* by part: the index of its first attempt; and the end */
};

/* ---- attempts that leave the own record ---- */

/* Whether an attempt that the own record lists is assigned to another part. */
static bool ws_attempt_leaves_own_record(const struct ws_attempt *attempt)
{
	return ws_attempt_is_listed(attempt) && !attempt->listed_part && attempt->part;
}

bool ws_job_leaves_own_record(const struct ws_job *job)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (ws_attempt_leaves_own_record(attempt))
			return true;
	return false;
}

/* ---- assignment ---- */

/* What is assigned to a part. */
struct ws_part_use {
	size_t bytes_left;
	const struct ws_attempt *last;
};

static size_t ws_part_growth(const struct ws_core *core, const struct ws_part_use *use,
			     const struct ws_attempt *attempt)
{
	return ws_record_attempt_size(core, use->last, attempt);
}

static void ws_part_use_add(const struct ws_core *core, struct ws_part_use *use,
			    const struct ws_attempt *attempt)
{
	size_t bytes = ws_part_growth(core, use, attempt);

	use->bytes_left -= bytes < use->bytes_left ? bytes : use->bytes_left;
	use->last = attempt;
}

static struct ws_part_use *ws_part_uses(const struct ws_layout *layout)
{
	uint32_t count = ws_job_part_count(layout->job);
	struct ws_part_use *uses = ws_alloc(count, sizeof(*uses));
	struct ws_attempt *attempt;

	for (uint32_t number = 0; number < count; number++)
		uses[number].bytes_left = ws_record_part_room(layout->core, layout->job, number);
	DL_FOREACH2 (layout->job->attempts, attempt, job_next)
		if (ws_attempt_is_listed(attempt) && attempt->part != WS_PART_NONE)
			ws_part_use_add(layout->core, &uses[attempt->part], attempt);
	return uses;
}

/* Whether an attempt may be listed by the own record alone. */
static bool ws_attempt_is_bound_to_own_record(const struct ws_attempt *attempt)
{
	return attempt->state == WS_ATTEMPT_PLANNED && !ws_job_may_continue(attempt->job);
}

static bool ws_attempt_awaits_part(const struct ws_layout *layout, const struct ws_attempt *attempt)
{
	return ws_attempt_is_listed(attempt) && attempt->part == WS_PART_NONE &&
	       !(layout->leaves_own && attempt->listed_part == WS_PART_NONE);
}

/* Whether a part takes an attempt. While attempts leave the own record, only parts that do not
 * exist yet take any. */
static bool ws_part_takes(const struct ws_layout *layout, uint32_t number,
			  const struct ws_part_use *use, const struct ws_attempt *attempt)
{
	const struct ws_record_part *part = ws_job_part(layout->job, number);

	return !part->closed && !(layout->leaves_own && (!number || part->stored)) &&
	       ws_part_growth(layout->core, use, attempt) <= use->bytes_left;
}

/* Returns the first part from `number` on that takes an attempt, a new one if none does. */
static uint32_t ws_part_with_room(const struct ws_layout *layout, struct ws_part_use **uses,
				  uint32_t number, const struct ws_attempt *attempt)
{
	struct ws_job *job = layout->job;
	uint32_t count = ws_job_part_count(job);

	while (number < count && !ws_part_takes(layout, number, &(*uses)[number], attempt))
		number++;
	if (number < count)
		return number;
	ws_job_part_add(job, number);
	*uses = ws_resize(*uses, count + 1, sizeof(**uses));
	(*uses)[number] =
	    (struct ws_part_use){.bytes_left = ws_record_part_room(layout->core, job, number)};
	return number;
}

static bool ws_layout_has_unassigned(const struct ws_layout *layout)
{
	const struct ws_attempt *attempt;

	DL_FOREACH2 (layout->job->attempts, attempt, job_next)
		if (ws_attempt_awaits_part(layout, attempt))
			return true;
	return false;
}

/* Assigns the attempts that await a part. A part that had no room for one is not tried for the
 * following ones, which keeps the tasks of a machine together. */
static void ws_layout_assign(struct ws_layout *layout)
{
	struct ws_part_use *uses;
	struct ws_attempt *attempt;
	uint32_t number = 0;

	if (!ws_layout_has_unassigned(layout))
		return;
	uses = ws_part_uses(layout);
	DL_FOREACH2 (layout->job->attempts, attempt, job_next) {
		if (!ws_attempt_awaits_part(layout, attempt))
			continue;
		if (ws_attempt_is_bound_to_own_record(attempt)) {
			attempt->part = 0;
			continue;
		}
		number = ws_part_with_room(layout, &uses, number, attempt);
		attempt->part = number;
		ws_job_part_changed(layout->job, number);
		ws_part_use_add(layout->core, &uses[number], attempt);
	}
	free(uses);
}

/* ---- the attempts of each part ---- */

static bool ws_attempt_is_in_layout(const struct ws_attempt *attempt)
{
	return ws_attempt_is_listed(attempt) && attempt->part != WS_PART_NONE;
}

/* Sorts the assigned attempts by part; within a part they keep the order of the job's list. */
static void ws_layout_sort(struct ws_layout *layout)
{
	uint32_t count = ws_job_part_count(layout->job);
	struct ws_attempt *attempt;
	size_t *next;

	layout->attempts = ws_alloc(layout->job->attempt_count + 1, sizeof(*layout->attempts));
	layout->first = ws_alloc(count + 2, sizeof(*layout->first));
	next = layout->first + 1;
	DL_FOREACH2 (layout->job->attempts, attempt, job_next)
		if (ws_attempt_is_in_layout(attempt))
			layout->first[attempt->part + 2]++;
	for (uint32_t number = 0; number < count; number++)
		next[number + 1] += next[number];
	DL_FOREACH2 (layout->job->attempts, attempt, job_next)
		if (ws_attempt_is_in_layout(attempt))
			layout->attempts[next[attempt->part]++] = attempt;
}

static void ws_layout_sort_free(struct ws_layout *layout)
{
	free(layout->attempts);
	free(layout->first);
}

static struct ws_attempt_slice ws_layout_slice(const struct ws_layout *layout, uint32_t number)
{
	size_t first = layout->first[number];

	return (struct ws_attempt_slice){
	    .attempts = layout->attempts + first,
	    .count = layout->first[number + 1] - first,
	};
}

/* ---- encoding ---- */

/* Returns how many continuation records the own record names: up to the last one that exists or is
 * to list something. */
static uint32_t ws_layout_named_continuations(const struct ws_layout *layout)
{
	uint32_t number = layout->job->record.continuation_count;

	while (number && !ws_job_part(layout->job, number)->stored &&
	       !ws_layout_slice(layout, number).count)
		number--;
	return number;
}

/* Encodes a part. Returns whether it fits; the value is NULL if it does not or lists nothing. */
static bool ws_layout_encode_part(const struct ws_layout *layout, uint32_t number, json_t **value,
				  size_t *bytes)
{
	size_t limit = ws_job_record_size_limit(layout->core);
	struct ws_attempt_slice slice = ws_layout_slice(layout, number);
	int zone_count = layout->core->catalog.zone_count;

	if (!number) {
		*value =
		    ws_job_record_encode(layout->job, &slice, ws_layout_named_continuations(layout),
					 zone_count, limit, bytes);
		return *value;
	}
	*value = slice.count ? ws_continuation_record_encode(&slice, zone_count) : NULL;
	*bytes = *value ? ws_record_size(*value) : 0;
	return *bytes <= limit;
}

static void ws_encoded_parts_begin(struct ws_encoded_parts *encoded, uint32_t count)
{
	encoded->values = (json_t **)ws_alloc(count, sizeof(*encoded->values));
	encoded->bytes = ws_alloc(count, sizeof(*encoded->bytes));
	encoded->count = count;
}

void ws_encoded_parts_free(struct ws_encoded_parts *encoded)
{
	for (uint32_t number = 0; number < encoded->count; number++)
		json_decref(encoded->values[number]);
	free((void *)encoded->values);
	free(encoded->bytes);
	*encoded = (struct ws_encoded_parts){0};
}

/* Encodes the own record and the dirty parts. Returns the number of the first part that does not
 * fit, or WS_PART_NONE. */
static uint32_t ws_layout_encode(const struct ws_layout *layout, struct ws_encoded_parts *encoded)
{
	ws_encoded_parts_begin(encoded, ws_job_part_count(layout->job));
	for (uint32_t number = 0; number < encoded->count; number++)
		if ((!number || ws_job_part(layout->job, number)->dirty) &&
		    !ws_layout_encode_part(layout, number, &encoded->values[number],
					   &encoded->bytes[number]))
			return number;
	return WS_PART_NONE;
}

/* ---- parts that do not fit ---- */

/* Takes an attempt out of its part: a planned one of an array is released, any other is assigned
 * again. */
static void ws_layout_take_out(struct ws_layout *layout, struct ws_attempt *attempt)
{
	if (ws_attempt_is_bound_to_own_record(attempt)) {
		ws_attempt_release(layout->core, attempt, WS_RELEASE_NEVER_SENT);
		return;
	}
	layout->leaves_own |= !attempt->part && !attempt->listed_part;
	attempt->in_other_part |= attempt->listed_part != WS_PART_NONE;
	attempt->part = WS_PART_NONE;
}

/* While attempts leave the own record: unassigns those that no part lists, and those that are to
 * move to a part which may exist, since a write of it had no reply. */
static void ws_layout_unassign_leaving(const struct ws_layout *layout)
{
	struct ws_attempt *attempt;

	DL_FOREACH2 (layout->job->attempts, attempt, job_next)
		if (attempt->listed_part == WS_PART_NONE ||
		    (ws_attempt_leaves_own_record(attempt) && attempt->part != WS_PART_NONE &&
		     ws_job_part(layout->job, attempt->part)->stored))
			attempt->part = WS_PART_NONE;
}

static bool ws_slice_has_bound_attempt(const struct ws_attempt_slice *slice)
{
	for (size_t i = 0; i < slice->count; i++)
		if (ws_attempt_is_bound_to_own_record(slice->attempts[i]))
			return true;
	return false;
}

/*
 * Takes the last attempts out of a part that is too large by some bytes, at least one. Of an array,
 * planned attempts go first. Returns false if that cannot make it fit.
 */
static bool ws_layout_shrink_part(struct ws_layout *layout, uint32_t number, size_t excess)
{
	struct ws_attempt_slice slice = ws_layout_slice(layout, number);
	bool bound_only = ws_slice_has_bound_attempt(&slice);
	struct ws_record_part *part = ws_job_part(layout->job, number);
	size_t taken = 0;

	if (!slice.count || (number && slice.count == 1))
		return false;
	part->dirty = part->closed = true;
	for (size_t i = slice.count; i && taken < excess; i--) {
		struct ws_attempt *attempt = slice.attempts[i - 1];
		const struct ws_attempt *previous = i > 1 ? slice.attempts[i - 2] : NULL;

		if (bound_only && !ws_attempt_is_bound_to_own_record(attempt))
			continue;
		taken += ws_record_attempt_size(layout->core, previous, attempt);
		ws_layout_take_out(layout, attempt);
	}
	if (layout->leaves_own)
		ws_layout_unassign_leaving(layout);
	return true;
}

static void ws_job_open_parts(struct ws_job *job)
{
	for (uint32_t number = 0; number < ws_job_part_count(job); number++)
		ws_job_part(job, number)->closed = false;
}

/* Assigns the attempts that await a part, and encodes. If a part does not fit, takes attempts out
 * of it and returns its number; sets `failed` if that is not possible. */
static uint32_t ws_layout_try(struct ws_layout *layout, struct ws_encoded_parts *encoded,
			      bool *failed)
{
	size_t limit = ws_job_record_size_limit(layout->core);
	uint32_t too_large;

	ws_layout_assign(layout);
	ws_layout_sort(layout);
	too_large = ws_layout_encode(layout, encoded);
	if (too_large != WS_PART_NONE) {
		*failed =
		    !ws_layout_shrink_part(layout, too_large, encoded->bytes[too_large] - limit);
		ws_encoded_parts_free(encoded);
	}
	ws_layout_sort_free(layout);
	return too_large;
}

bool ws_job_encode_parts(struct ws_core *core, struct ws_job *job, struct ws_encoded_parts *encoded)
{
	struct ws_layout layout = {
	    .core = core, .job = job, .leaves_own = ws_job_leaves_own_record(job)};
	uint32_t too_large = WS_PART_NONE, last_too_large;
	bool failed = false;

	ws_job_open_parts(job);
	if (layout.leaves_own)
		ws_layout_unassign_leaving(&layout);
	do {
		last_too_large = too_large;
		too_large = ws_layout_try(&layout, encoded, &failed);
	} while (too_large != WS_PART_NONE && !failed);
	if (last_too_large != WS_PART_NONE)
		ws_log(core, WS_LOG_INFO,
		       "record too large, attempts moved job=%s part=%u attempts=%u parts=%u "
		       "value_limit_bytes=%.0f",
		       job->spec.id, last_too_large, job->attempt_count, ws_job_part_count(job),
		       core->writer.value_bytes_max);
	return !failed;
}
