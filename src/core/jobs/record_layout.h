/* Distributes the attempts of a job over the parts of its records, and encodes these. */
#ifndef WS_RECORD_LAYOUT_H
#define WS_RECORD_LAYOUT_H
#include "jobs.h"

/* The encoded parts of a job. */
struct ws_encoded_parts {
	json_t **values; /* by part; NULL: not dirty, or nothing to list */
	size_t *bytes;	 /* the sizes of the values */
	uint32_t count;
};

/*
 * Assigns the attempts of a job that no part lists, moves attempts out of parts that have become
 * larger than the limit, and encodes the dirty parts and the job's own record. Planned attempts
 * that only the own record may list and that it has no room for are released. Returns false if a
 * part cannot be made to fit.
 */
bool ws_job_encode_parts(struct ws_core *core, struct ws_job *job,
			 struct ws_encoded_parts *encoded);

/*
 * Whether recorded attempts have yet to move out of the job's own record, which was written under a
 * higher limit. It is written after their new parts. Until then it does not name these parts, and
 * its revision does not change with them: so they list only what it lists as well, and each is
 * written once, on condition that it does not exist. A write that is carried out late can then
 * replace nothing.
 */
bool ws_job_leaves_own_record(const struct ws_job *job);

/* Frees the values that were not taken over, and the lists. */
void ws_encoded_parts_free(struct ws_encoded_parts *encoded);
#endif
