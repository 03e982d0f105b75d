/* The packed list of attempts, as job_record.c and continuation_record.c write it. */
#ifndef WS_ATTEMPT_LIST_H
#define WS_ATTEMPT_LIST_H
#include "records.h"
#include "text_builder.h"

/* Consecutive tasks of one attempt on one incarnation of a machine. Strings are borrowed. */
struct ws_attempt_range {
	const char *machine, *zone;
	uint64_t incarnation, attempt;
	uint32_t first_task, last_task;
};

/* Writes one entry of the list: attempts of one term in one zone. */
struct ws_attempt_entry_writer {
	struct ws_text_builder text;
	size_t shared_prefix;	      /* bytes that the names of its machines begin with */
	struct ws_attempt_range last; /* the range that was appended last, if there is text */
};

/* Appends a range with its machine. */
void ws_attempt_entry_add(struct ws_attempt_entry_writer *writer,
			  const struct ws_attempt_range *range);

/* Appends the entry to the list, and begins another one. */
void ws_attempt_entry_close(struct ws_attempt_entry_writer *writer, json_t *list);

void ws_attempt_entry_writer_free(struct ws_attempt_entry_writer *writer);

/* How many of the `length` first bytes of a name another one begins with as well, short of the
 * other's whole. */
size_t ws_shared_name_prefix(const char *name, size_t length, const char *other);

/* The term of leadership that an attempt's number was given in. */
uint64_t ws_attempt_term(uint64_t attempt);

/* The attempts of a job that may be alive, and marks them as being written. */
json_t *ws_attempt_list_encode(const struct ws_job *job, int zone_count);
#endif
