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
 */
#include "attempt_list.h"
#include "../core_state.h"
#include "record_fields.h"

#define WS_FIRST_INCARNATION 1
#define WS_ZONE_UNKNOWN (-1)	 /* zone index of a machine whose zone is not known yet */
#define WS_ENTRY_OVERHEAD_MAX 32 /* bytes of an entry's punctuation and term */

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

static bool ws_attempt_is_listed(const struct ws_attempt *attempt)
{
	return attempt->state != WS_ATTEMPT_RELEASED && !attempt->unrecorded;
}

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
static size_t ws_entry_shared_prefix(const struct ws_job *job, int zone, uint64_t term)
{
	const struct ws_attempt *attempt;
	const char *first = NULL;
	size_t length = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (!ws_attempt_is_listed(attempt) || attempt->machine->zone_index != zone ||
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

/* Marks the attempts that form one range beginning with `attempt` as being written. Returns the
 * last of them. */
static struct ws_attempt *ws_attempt_range_mark(struct ws_attempt *attempt)
{
	struct ws_attempt *next = attempt->job_next;

	attempt->write_in_flight = true;
	while (next && ws_attempt_is_listed(next) && ws_same_machine_and_attempt(attempt, next) &&
	       next->task == attempt->task + 1) {
		attempt = next;
		attempt->write_in_flight = true;
		next = attempt->job_next;
	}
	return attempt;
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

static void ws_zone_attempts_encode(const struct ws_job *job, int zone,
				    struct ws_attempt_entry_writer *writer, json_t *list)
{
	const struct ws_attempt *previous = NULL; /* last attempt of the unfinished entry */

	for (struct ws_attempt *attempt = job->attempts; attempt; attempt = attempt->job_next) {
		const struct ws_attempt *first = attempt;
		uint64_t term = ws_attempt_term(attempt->number);

		if (!ws_attempt_is_listed(attempt) || attempt->machine->zone_index != zone)
			continue;
		if (previous && ws_attempt_term(previous->number) != term) {
			ws_attempt_entry_close(writer, list);
			previous = NULL;
		}
		if (!previous)
			writer->shared_prefix = ws_entry_shared_prefix(job, zone, term);
		attempt = ws_attempt_range_mark(attempt);
		if (ws_same_machine_and_attempt(previous, first)) {
			ws_attempt_entry_add_tasks(writer, first->task, attempt->task);
		} else {
			struct ws_attempt_range range = ws_attempt_range_of(first, attempt);

			ws_attempt_entry_add(writer, &range);
		}
		previous = attempt;
	}
	if (previous)
		ws_attempt_entry_close(writer, list);
}

json_t *ws_attempt_list_encode(const struct ws_job *job, int zone_count)
{
	json_t *list = json_array();
	struct ws_attempt_entry_writer writer = {0};
	struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		attempt->write_in_flight = false;
	for (int zone = WS_ZONE_UNKNOWN; zone < zone_count; zone++)
		if (zone == WS_ZONE_UNKNOWN || job->attempts_by_zone[zone])
			ws_zone_attempts_encode(job, zone, &writer, list);
	ws_attempt_entry_writer_free(&writer);
	return list;
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

/* Decodes an entry up to the first malformed part; the rest of the entry is ignored. */
static void ws_attempt_entry_decode(json_t *entry, struct ws_decoded_attempts *list)
{
	struct ws_attempt_entry_reader reader = {0};
	struct ws_recorded_attempt attempt;
	json_int_t term;
	const char *text;

	if (json_unpack(entry, "[I,s,s,s]", &term, &reader.zone, &reader.prefix, &text))
		return;
	reader.term = (uint64_t)term;
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
	json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(record, WS_FIELD_ATTEMPTS), i, entry)
		ws_attempt_entry_decode(entry, &decoded);
	*list = decoded.attempts;
	return decoded.count;
}
