/* The packed list of attempts that job records and continuation records contain. */
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

/* Builds one entry of the list, which holds the attempts of one term in one zone. */
struct ws_attempt_entry_writer {
	struct ws_text_builder text;
	size_t shared_prefix;	      /* length of the common prefix of the entry's machine names */
	struct ws_attempt_range last; /* the range appended last; valid if `text` is not empty */
};

/* Appends a range together with the name of its machine. */
void ws_attempt_entry_add(struct ws_attempt_entry_writer *writer,
			  const struct ws_attempt_range *range);

/* Appends the finished entry to the list and starts a new one. */
void ws_attempt_entry_close(struct ws_attempt_entry_writer *writer, json_t *list);

void ws_attempt_entry_writer_free(struct ws_attempt_entry_writer *writer);

/* Returns the length of the common prefix of `other` and the first `length` bytes of `name`. The
 * result is always shorter than `other`, so that at least one character of it remains. */
size_t ws_shared_name_prefix(const char *name, size_t length, const char *other);

/* Returns the leadership term in which an attempt number was assigned. */
uint64_t ws_attempt_term(uint64_t attempt);

/* Encodes attempts of a job. */
json_t *ws_attempt_list_encode(const struct ws_attempt_slice *slice, int zone_count);

/* Appends entries that stand for the attempts in a job's continuation records. */
void ws_attempt_list_append_continued(const struct ws_job *job, int zone_count, json_t *list);
#endif
