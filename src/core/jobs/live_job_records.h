/* Writes the records of a live job. */
#ifndef WS_LIVE_JOB_RECORDS_H
#define WS_LIVE_JOB_RECORDS_H
#include "../store/write_batch.h"
#include "jobs.h"

/* Adds the records of a live job that have to be written to a transaction, as many as fit. The
 * others follow in the next transactions. */
void ws_job_add_live(struct ws_core *core, struct ws_write_batch *batch, struct ws_job *job);
#endif
