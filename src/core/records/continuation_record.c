/*
 * Continuation records: attempts of a job that do not fit into the job's own record, which names
 * their number.
 *
 * The leader distributes a live job's attempts over its records (jobs/record_layout.c). A user's
 * cancellation is written by any node, which changes the phase alone; but a record that was written
 * under a higher size limit, as by the version before gangs, may be too large to be written again.
 * Then the attempts that do not fit move to continuation records in the same transaction.
 */
#include "attempt_list.h"
#include "record_fields.h"
#include <stdlib.h>
#include <string.h>

#define WS_RECORD_RESERVE 16 /* bytes kept free in a record for the number of continuations */
#define WS_ENTRY_RESERVE 40  /* upper bound, in bytes, of an entry's punctuation and term */

/* State of distributing the attempts of one record over several records. */
struct ws_record_splitter {
	struct ws_recorded_attempt *attempts;
	size_t count;
	size_t next; /* index of the first attempt that is in no record yet */
	size_t shared_prefix;
	size_t limit; /* size limit of each record, in bytes */
};

static size_t ws_recorded_attempts_shared_prefix(const struct ws_recorded_attempt *attempts,
						 size_t count)
{
	size_t length = count ? strlen(attempts[0].machine) - 1 : 0;

	for (size_t i = 1; i < count; i++)
		length = ws_shared_name_prefix(attempts[0].machine, length, attempts[i].machine);
	return length;
}

static bool ws_belong_to_one_entry(const struct ws_recorded_attempt *one,
				   const struct ws_recorded_attempt *other)
{
	return !strcmp(one->zone, other->zone) &&
	       ws_attempt_term(one->number) == ws_attempt_term(other->number);
}

/* Returns the range that begins with attempt `begin`. Sets `end` to the index of the first attempt
 * after the range. */
static struct ws_attempt_range ws_recorded_range_at(const struct ws_record_splitter *splitter,
						    size_t begin, size_t *end)
{
	const struct ws_recorded_attempt *first = &splitter->attempts[begin];
	const struct ws_recorded_attempt *last = first;
	const struct ws_recorded_attempt *end_of_attempts = splitter->attempts + splitter->count;

	while (last + 1 < end_of_attempts && !strcmp(last[1].machine, first->machine) &&
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

/* Adds an entry with as many attempts of one term and zone as fit to the list of a record that has
 * `used` bytes. Returns the bytes added, or 0 if no attempt fits. */
static size_t ws_record_add_entry(struct ws_record_splitter *splitter, json_t *list, size_t used)
{
	const struct ws_recorded_attempt *first = &splitter->attempts[splitter->next];
	struct ws_attempt_entry_writer writer = {.shared_prefix = splitter->shared_prefix};
	size_t overhead = strlen(first->zone) + splitter->shared_prefix + WS_ENTRY_RESERVE;
	size_t bytes;

	while (splitter->next < splitter->count &&
	       ws_belong_to_one_entry(&splitter->attempts[splitter->next], first)) {
		size_t before = writer.text.length, end;
		struct ws_attempt_range range =
		    ws_recorded_range_at(splitter, splitter->next, &end);

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

/* Adds attempts to a record until it is full or all attempts are distributed. */
static void ws_record_fill(struct ws_record_splitter *splitter, json_t *record)
{
	json_t *list = json_object_get(record, WS_FIELD_ATTEMPTS);
	size_t used = ws_record_size(record) + WS_RECORD_RESERVE;
	size_t added = 1;

	while (added && splitter->next < splitter->count) {
		added = ws_record_add_entry(splitter, list, used);
		used += added;
	}
}

void ws_job_record_split(json_t *record, size_t limit, json_t **continuations,
			 size_t continuations_max, size_t *count)
{
	struct ws_record_splitter splitter = {.limit = limit};
	uint32_t named = ws_job_record_continuation_count(record);
	json_t *filled = record;

	splitter.count = ws_attempt_list_decode(record, &splitter.attempts);
	splitter.shared_prefix =
	    ws_recorded_attempts_shared_prefix(splitter.attempts, splitter.count);
	*count = 0;
	json_object_set_new(record, WS_FIELD_COMPLETED_TASKS, json_string(""));
	json_object_set_new(record, WS_FIELD_ATTEMPTS, json_array());
	json_object_set_new(record, WS_FIELD_CONTINUATIONS,
			    json_integer(named + (json_int_t)continuations_max));
	while (filled && splitter.next < splitter.count) {
		size_t before = splitter.next;

		ws_record_fill(&splitter, filled);
		if (splitter.next == splitter.count || *count == continuations_max ||
		    (splitter.next == before && filled != record))
			break;
		filled = json_pack("{s:[]}", WS_FIELD_ATTEMPTS);
		continuations[(*count)++] = filled;
	}
	json_object_set_new(record, WS_FIELD_CONTINUATIONS,
			    json_integer(named + (json_int_t)*count));
	free(splitter.attempts);
}

json_t *ws_continuation_record_encode(const struct ws_attempt_slice *listed, int zone_count)
{
	return json_pack("{s:o}", WS_FIELD_ATTEMPTS, ws_attempt_list_encode(listed, zone_count));
}

uint32_t ws_job_record_continuation_count(json_t *record)
{
	json_int_t count = json_integer_value(json_object_get(record, WS_FIELD_CONTINUATIONS));

	return count > 0 && count <= WS_CONTINUATIONS_MAX ? (uint32_t)count : 0;
}
