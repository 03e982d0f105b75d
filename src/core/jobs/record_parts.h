/* The parts of a job's records: which exist in the store, and the outcome of writes to them. */
#ifndef WS_RECORD_PARTS_H
#define WS_RECORD_PARTS_H
#include "jobs.h"

/* Returns the number of parts, which is at least 1. */
uint32_t ws_job_part_count(const struct ws_job *job);

/* Returns a part. It is valid until a part is added. */
struct ws_record_part *ws_job_part(struct ws_job *job, uint32_t number);

/* Returns a part; adds it, and those before it, if it does not exist. */
struct ws_record_part *ws_job_part_add(struct ws_job *job, uint32_t number);

/* Writes the key of a part to a buffer of WS_KEY_MAX bytes. */
void ws_job_part_key(const struct ws_job *job, uint32_t number, char *key);

/* Notes the number of continuation records that a job's own record names as it was read. */
void ws_job_parts_named(struct ws_job *job, uint32_t count);

/* Notes that a transaction is sent: the attempts in the parts with a write in flight may be listed
 * there from now on. */
void ws_job_parts_sent(struct ws_job *job);

/* Handles the outcome of a transaction for the parts with a write in flight. */
void ws_job_parts_written(struct ws_job *job);
void ws_job_parts_not_written(struct ws_job *job);

/* Handles a transaction for a job's records that was not committed or whose outcome is unknown
 * (job_records.c): they are due again. */
void ws_job_records_not_written(struct ws_core *core, struct ws_job *job);

/* Schedules the deletion of the parts that remain in the store when a job is freed. */
void ws_job_parts_orphan(struct ws_core *core, struct ws_job *job);

/* Frees the memory of a job's parts. */
void ws_job_parts_free(struct ws_job *job);

/* ---- continuation_records.c ---- */

/* Schedules the deletion of a continuation record without a live job. */
void ws_continuation_orphaned(struct ws_core *core, const char *key);
#endif
