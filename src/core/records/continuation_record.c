/*
 * Attempts of a cancelled job that its record has no room for.
 *
 * Compatibility: a record may be larger than the limit that holds by now, if it was written under a
 * higher one, as the version before gangs did. Its job's attempts end by and by, and once those
 * that are left fit it is written again; it can end at any time. Only a cancellation can't wait:
 * then the attempts that don't fit go to records of their own, in the same transaction, and a field
 * of the job's record tells how many these are. Versions that don't know them can lead no more when
 * the limit is lowered. This may go when no limit will be lowered again.
 */
#include "attempt_list.h"
#include "record_fields.h"
#include <stdlib.h>
#include <string.h>

#define WS_RECORD_RESERVE 16 /* bytes of a record kept free for the number of continuations */
#define WS_ENTRY_RESERVE 40  /* bytes of an entry's punctuation and its term, at the most */

/* The attempts of a record that are distributed over several. */
struct ws_record_splitter {
	struct ws_recorded_attempt *attempts;
	size_t count;
	size_t next; /* the first one that no record names yet */
	size_t shared_prefix;
	size_t limit; /* bytes of a record */
};

static size_t ws_all_shared_prefix(const struct ws_recorded_attempt *attempts, size_t count)
{
	size_t length = count ? strlen(attempts[0].machine) - 1 : 0;

	for (size_t i = 1; i < count; i++)
		length = ws_shared_name_prefix(attempts[0].machine, length, attempts[i].machine);
	return length;
}

static bool ws_same_entry(const struct ws_recorded_attempt *one,
			  const struct ws_recorded_attempt *other)
{
	return !strcmp(one->zone, other->zone) &&
	       ws_attempt_term(one->number) == ws_attempt_term(other->number);
}

/* The range that begins with an attempt; `end` is the first one behind it. */
static struct ws_attempt_range ws_range_at(const struct ws_record_splitter *splitter, size_t begin,
					   size_t *end)
{
	const struct ws_recorded_attempt *first = &splitter->attempts[begin];
	const struct ws_recorded_attempt *last = first;
	const struct ws_recorded_attempt *behind = splitter->attempts + splitter->count;

	while (last + 1 < behind && !strcmp(last[1].machine, first->machine) &&
	       last[1].number == first->number && last[1].incarnation == first->incarnation &&
	       last[1].task == last->task + 1)
		last++;
	*end = begin + (size_t)(last - first) + 1;
	return (struct ws_attempt_range){
	    .machine = first->machine,
	    .zone = first->zone,
	    .incarnation = first->incarnation,
	    .attempt = first->number,
	    .first_task = first->task,
	    .last_task = last->task,
	};
}

/* Moves attempts of one term and zone to a list, in a record with `used` bytes. Returns the bytes
 * that they take; 0: not even one fits. */
static size_t ws_add_entry(struct ws_record_splitter *splitter, json_t *list, size_t used)
{
	const struct ws_recorded_attempt *first = &splitter->attempts[splitter->next];
	struct ws_attempt_entry_writer writer = {.shared_prefix = splitter->shared_prefix};
	size_t overhead = strlen(first->zone) + splitter->shared_prefix + WS_ENTRY_RESERVE;
	size_t bytes;

	while (splitter->next < splitter->count &&
	       ws_same_entry(&splitter->attempts[splitter->next], first)) {
		size_t before = writer.text.length, end;
		struct ws_attempt_range range = ws_range_at(splitter, splitter->next, &end);

		ws_attempt_entry_add(&writer, &range);
		if (used + overhead + writer.text.length > splitter->limit) {
			ws_text_builder_truncate(&writer.text, before);
			break;
		}
		splitter->next = end;
	}
	bytes = writer.text.length ? overhead + writer.text.length : 0;
	if (bytes)
		ws_attempt_entry_close(&writer, list);
	ws_attempt_entry_writer_free(&writer);
	return bytes;
}

/* Moves as many attempts to a record as it has room for. */
static void ws_fill_record(struct ws_record_splitter *splitter, json_t *record)
{
	json_t *list = json_object_get(record, WS_FIELD_ATTEMPTS);
	size_t used = ws_record_size(record) + WS_RECORD_RESERVE;
	size_t added = 1;

	while (added && splitter->next < splitter->count) {
		added = ws_add_entry(splitter, list, used);
		used += added;
	}
}

void ws_record_split_attempts(json_t *record, size_t limit, json_t **continuations,
			      size_t continuations_max, size_t *count)
{
	struct ws_record_splitter splitter = {.limit = limit};
	json_t *filled = record;

	splitter.count = ws_record_read_attempts(record, &splitter.attempts);
	splitter.shared_prefix = ws_all_shared_prefix(splitter.attempts, splitter.count);
	*count = 0;
	json_object_set_new(record, WS_FIELD_COMPLETED_TASKS, json_string(""));
	json_object_set_new(record, WS_FIELD_ATTEMPTS, json_array());
	json_object_set_new(record, WS_FIELD_CONTINUATIONS,
			    json_integer((json_int_t)continuations_max));
	while (filled && splitter.next < splitter.count) {
		size_t before = splitter.next;

		ws_fill_record(&splitter, filled);
		if (splitter.next == splitter.count || *count == continuations_max ||
		    (splitter.next == before && filled != record))
			break;
		filled = json_pack("{s:[]}", WS_FIELD_ATTEMPTS);
		continuations[(*count)++] = filled;
	}
	json_object_set_new(record, WS_FIELD_CONTINUATIONS, json_integer((json_int_t)*count));
	free(splitter.attempts);
}

uint32_t ws_record_continuation_count(json_t *record)
{
	return (uint32_t)json_integer_value(json_object_get(record, WS_FIELD_CONTINUATIONS));
}
