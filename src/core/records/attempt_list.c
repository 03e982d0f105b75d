/*
 * The packed list of a job's attempts that may still be running:
 *
 *   [[term, zone, prefix, "231=0-5,7;232/2#9=8"], ...]
 *
 * An entry holds the attempts of one term in one zone, because machine and zone names take most of
 * the space. Its text lists machines, separated by ";". Each consists of the machine's name without
 * the prefix that all names of the entry share, "/" and the incarnation unless that is 1, "#" and
 * the attempt's sequence number unless it equals the previous one, and "=" with the tasks as
 * ranges. An attempt number is the term, shifted left by WS_ATTEMPT_SHIFT, plus the sequence
 * number; all attempts of one placement pass have the same number.
 *
 * Compatibility: versions that do not know continuation records read a job's own record alone. So
 * that they place no task which a continuation record lists, the own record also holds entries of
 * term 0, one for each zone, with a machine that does not exist and the range of these tasks: such
 * a leader waits until the lease of that machine has surely expired, and every other machine has
 * either reported its tasks by then or lost its lease as well. This version skips these entries in
 * a record that names its continuation records.
 */
#include "attempt_list.h"
#include "../core_state.h"
#include "record_fields.h"

#define WS_FIRST_INCARNATION 1
#define WS_INT_DIGITS_MAX 11	 /* of an int, with its sign */
#define WS_ZONE_UNKNOWN (-1)	 /* zone index of a machine whose zone is not known yet */
#define WS_ENTRY_OVERHEAD_MAX 32 /* bytes of an entry's punctuation and term */

/* Term of the entries that stand for continuation records; lower than that of any leader. */
#define WS_CONTINUED_TERM 0
/* Machines of these entries, one for each zone. They sort before all names of machines, so that a
 * version which reads them takes them for owned and never asks the cloud to return them. */
#define WS_CONTINUED_MACHINE "!continued-"

uint64_t ws_attempt_term(uint64_t attempt)
{
	return attempt >> WS_ATTEMPT_SHIFT;
}

static uint64_t ws_attempt_sequence_number(uint64_t attempt)
{
	return attempt & ((1ULL << WS_ATTEMPT_SHIFT) - 1);
}

size_t ws_shared_name_prefix(const char *name, size_t length, const char *other)
{
	for (size_t i = 0; i < length; i++)
		if (other[i] != name[i] || !other[i + 1])
			return i;
	return length;
}

/* ---- encoding of an entry ---- */

void ws_attempt_entry_add(struct ws_attempt_entry_writer *writer,
			  const struct ws_attempt_range *range)
{
	struct ws_text_builder *text = &writer->text;
	bool first = !text->length;

	if (!first)
		ws_text_builder_add_char(text, ';');
	ws_text_builder_add(text, range->machine + writer->shared_prefix);
	if (range->incarnation != WS_FIRST_INCARNATION) {
		ws_text_builder_add_char(text, '/');
		ws_text_builder_add_number(text, range->incarnation);
	}
	if (first || writer->last.attempt != range->attempt) {
		ws_text_builder_add_char(text, '#');
		ws_text_builder_add_number(text, ws_attempt_sequence_number(range->attempt));
	}
	ws_text_builder_add_char(text, '=');
	ws_text_builder_add_range(text, range->first_task, range->last_task);
	writer->last = *range;
}

/* Appends more tasks for the machine, incarnation and attempt of the last appended range. */
static void ws_attempt_entry_add_tasks(struct ws_attempt_entry_writer *writer, uint32_t first,
				       uint32_t last)
{
	ws_text_builder_add_char(&writer->text, ',');
	ws_text_builder_add_range(&writer->text, first, last);
}

void ws_attempt_entry_close(struct ws_attempt_entry_writer *writer, json_t *list)
{
	const struct ws_attempt_range *last = &writer->last;

	json_array_append_new(list,
			      json_pack("[I,s,s#,s]", (json_int_t)ws_attempt_term(last->attempt),
					last->zone, last->machine, (int)writer->shared_prefix,
					ws_text_builder_text(&writer->text)));
	ws_text_builder_truncate(&writer->text, 0);
}

void ws_attempt_entry_writer_free(struct ws_attempt_entry_writer *writer)
{
	ws_text_builder_free(&writer->text);
}

/* ---- encoding of a job's attempts ---- */

/* Returns true if two attempts are written under one machine name: machine, incarnation and attempt
 * number are the same. */
static bool ws_same_machine_and_attempt(const struct ws_attempt *one,
					const struct ws_attempt *other)
{
	return one && one->machine == other->machine && one->number == other->number &&
	       one->incarnation == other->incarnation;
}

/* Returns the length of the common prefix of an entry's machine names, which is shorter than each
 * of the names. */
static size_t ws_entry_shared_prefix(const struct ws_attempt_slice *slice, int zone, uint64_t term)
{
	const char *first = NULL;
	size_t length = 0;

	for (size_t i = 0; i < slice->count; i++) {
		const struct ws_attempt *attempt = slice->attempts[i];

		if (attempt->machine->zone_index != zone ||
		    ws_attempt_term(attempt->number) != term)
			continue;
		if (!first) {
			first = attempt->machine->name;
			length = strlen(first) - 1;
		}
		length = ws_shared_name_prefix(first, length, attempt->machine->name);
	}
	return length;
}

/* Returns the index of the last attempt of the range that begins at an index. */
static size_t ws_attempt_range_end(const struct ws_attempt_slice *slice, size_t first)
{
	size_t last = first;

	while (last + 1 < slice->count &&
	       ws_same_machine_and_attempt(slice->attempts[last], slice->attempts[last + 1]) &&
	       slice->attempts[last + 1]->task == slice->attempts[last]->task + 1)
		last++;
	return last;
}

static struct ws_attempt_range ws_attempt_range_of(const struct ws_attempt *first,
						   const struct ws_attempt *last)
{
	return (struct ws_attempt_range){
	    .machine = first->machine->name,
	    .zone = first->machine->zone,
	    .incarnation = first->incarnation,
	    .attempt = first->number,
	    .first_task = first->task,
	    .last_task = last->task,
	};
}

static void ws_zone_attempts_encode(const struct ws_attempt_slice *slice, int zone,
				    struct ws_attempt_entry_writer *writer, json_t *list)
{
	const struct ws_attempt *previous = NULL; /* last attempt of the unfinished entry */

	for (size_t i = 0; i < slice->count; i++) {
		const struct ws_attempt *first = slice->attempts[i];
		uint64_t term = ws_attempt_term(first->number);

		if (first->machine->zone_index != zone)
			continue;
		if (previous && ws_attempt_term(previous->number) != term) {
			ws_attempt_entry_close(writer, list);
			previous = NULL;
		}
		if (!previous)
			writer->shared_prefix = ws_entry_shared_prefix(slice, zone, term);
		i = ws_attempt_range_end(slice, i);
		if (ws_same_machine_and_attempt(previous, first)) {
			ws_attempt_entry_add_tasks(writer, first->task, slice->attempts[i]->task);
		} else {
			struct ws_attempt_range range =
			    ws_attempt_range_of(first, slice->attempts[i]);

			ws_attempt_entry_add(writer, &range);
		}
		previous = slice->attempts[i];
	}
	if (previous)
		ws_attempt_entry_close(writer, list);
}

static bool ws_slice_has_zone(const struct ws_attempt_slice *slice, int zone)
{
	for (size_t i = 0; i < slice->count; i++)
		if (slice->attempts[i]->machine->zone_index == zone)
			return true;
	return false;
}

json_t *ws_attempt_list_encode(const struct ws_attempt_slice *slice, int zone_count)
{
	json_t *list = json_array();
	struct ws_attempt_entry_writer writer = {0};

	for (int zone = WS_ZONE_UNKNOWN; zone < zone_count; zone++)
		if (ws_slice_has_zone(slice, zone))
			ws_zone_attempts_encode(slice, zone, &writer, list);
	ws_attempt_entry_writer_free(&writer);
	return list;
}

/* Appends the entry of one zone for versions that do not know continuation records. */
static void ws_continued_entry_append(const struct ws_job *job, int zone, json_t *list)
{
	char machine[sizeof(WS_CONTINUED_MACHINE) + WS_INT_DIGITS_MAX];
	struct ws_attempt_range range = {
	    .machine = machine, .incarnation = WS_FIRST_INCARNATION, .first_task = UINT32_MAX};
	struct ws_attempt_entry_writer writer = {0};
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (!ws_attempt_is_listed(attempt) || attempt->machine->zone_index != zone ||
		    !attempt->part || attempt->part == WS_PART_NONE)
			continue;
		range.zone = attempt->machine->zone;
		if (attempt->task < range.first_task)
			range.first_task = attempt->task;
		if (attempt->task > range.last_task)
			range.last_task = attempt->task;
	}
	if (!range.zone)
		return;
	snprintf(machine, sizeof(machine), WS_CONTINUED_MACHINE "%d", zone);
	ws_attempt_entry_add(&writer, &range);
	ws_attempt_entry_close(&writer, list);
	ws_attempt_entry_writer_free(&writer);
}

void ws_attempt_list_append_continued(const struct ws_job *job, int zone_count, json_t *list)
{
	for (int zone = WS_ZONE_UNKNOWN; zone < zone_count; zone++)
		ws_continued_entry_append(job, zone, list);
}

size_t ws_attempt_list_growth(const struct ws_attempt *previous, const struct ws_attempt *attempt,
			      size_t shared_prefix)
{
	size_t bytes = ws_decimal_digits(attempt->task) + 1;
	bool same_zone = previous && previous->machine->zone_index == attempt->machine->zone_index;

	if (ws_same_machine_and_attempt(previous, attempt))
		return bytes;
	/* one byte more than the separators take: a name that shortens the common prefix makes
	 * each of the other names longer by one */
	bytes += strlen(attempt->machine->name) - shared_prefix + 2;
	if (attempt->incarnation != WS_FIRST_INCARNATION)
		bytes += 1 + ws_decimal_digits(attempt->incarnation);
	if (!same_zone || previous->number != attempt->number)
		bytes += 1 + ws_decimal_digits(ws_attempt_sequence_number(attempt->number));
	if (!same_zone || ws_attempt_term(previous->number) != ws_attempt_term(attempt->number))
		bytes += strlen(attempt->machine->zone) + shared_prefix + WS_ENTRY_OVERHEAD_MAX;
	return bytes;
}

/* ---- decoding ---- */

struct ws_decoded_attempts {
	struct ws_recorded_attempt *attempts;
	size_t count, capacity;
};

static void ws_decoded_attempts_append(struct ws_decoded_attempts *list,
				       const struct ws_recorded_attempt *attempt)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? 2 * list->capacity : 64;
		list->attempts = ws_resize(list->attempts, list->capacity, sizeof(*list->attempts));
	}
	list->attempts[list->count++] = *attempt;
}

/* State of decoding an entry's text. */
struct ws_attempt_entry_reader {
	uint64_t term;
	const char *zone, *prefix;
	uint64_t sequence_number; /* of the previous attempt, used if the next one has none */
};

/* Decodes one machine, with its incarnation and sequence number. Returns the position of the "="
 * before its tasks, or NULL if the text is malformed. */
static char *ws_attempt_machine_decode(struct ws_attempt_entry_reader *reader, char *text,
				       struct ws_recorded_attempt *attempt)
{
	size_t length = strcspn(text, "/#=;");
	char *end = text + length;

	memset(attempt, 0, sizeof(*attempt));
	if (strlen(reader->prefix) + length >= sizeof(attempt->machine) || !length)
		return NULL;
	snprintf(attempt->machine, sizeof(attempt->machine), "%s%.*s", reader->prefix, (int)length,
		 text);
	ws_text_copy(attempt->zone, sizeof(attempt->zone), reader->zone);
	attempt->incarnation = WS_FIRST_INCARNATION;
	if (*end == '/')
		attempt->incarnation = strtoull(end + 1, &end, 10);
	if (*end == '#')
		reader->sequence_number = strtoull(end + 1, &end, 10);
	attempt->number = (reader->term << WS_ATTEMPT_SHIFT) + reader->sequence_number;
	return *end == '=' ? end : NULL;
}

/* Decodes the tasks of a machine, starting at the "=" at `end`. Returns the position after them. */
static char *ws_attempt_tasks_decode(char *end, struct ws_recorded_attempt *attempt,
				     struct ws_decoded_attempts *list)
{
	do {
		unsigned long long task = strtoull(end + 1, &end, 10);
		unsigned long long last = task;

		if (*end == '-')
			last = strtoull(end + 1, &end, 10);
		for (; task <= last && last < WS_MAX_TASKS; task++) {
			attempt->task = (uint32_t)task;
			ws_decoded_attempts_append(list, attempt);
		}
	} while (*end == ',');
	return end;
}

/* Decodes an entry up to the first malformed part; the rest of the entry is ignored. Entries that
 * stand for continuation records are skipped if these are read as well. */
static void ws_attempt_entry_decode(json_t *entry, bool has_continuations,
				    struct ws_decoded_attempts *list)
{
	struct ws_attempt_entry_reader reader = {0};
	struct ws_recorded_attempt attempt;
	json_int_t term;
	const char *text;

	if (json_unpack(entry, "[I,s,s,s]", &term, &reader.zone, &reader.prefix, &text))
		return;
	reader.term = (uint64_t)term;
	if (has_continuations && reader.term == WS_CONTINUED_TERM)
		return;
	while (*text) {
		char *end = ws_attempt_machine_decode(&reader, (char *)text, &attempt);

		if (!end)
			return;
		end = ws_attempt_tasks_decode(end, &attempt, list);
		if (*end != ';')
			return;
		text = end + 1;
	}
}

size_t ws_attempt_list_decode(json_t *record, struct ws_recorded_attempt **list)
{
	struct ws_decoded_attempts decoded = {0};
	bool has_continuations = ws_job_record_continuation_count(record) > 0;
	json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(record, WS_FIELD_ATTEMPTS), i, entry)
		ws_attempt_entry_decode(entry, has_continuations, &decoded);
	*list = decoded.attempts;
	return decoded.count;
}
