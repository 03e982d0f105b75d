/* What the records in the store name, for the invariants and expectations on them. */
#ifndef WS_SIM_RECORDS_H
#define WS_SIM_RECORDS_H
#include "sim_parts.h"

/* Checks that the records of its job list an attempt that starts: record, then run. */
void sim_records_check_start(struct sim *sim, const struct sim_worker *worker,
			     const struct sim_task *task);
/* Checks that no record lists an attempt whose state its worker is told to delete. */
void sim_records_check_reap(struct sim *sim, const struct sim_worker *worker,
			    const struct sim_task *task);
/* Checks that the records of a job list all its running tasks. */
void sim_records_check_job(struct sim *sim, const char *job_id);
/* Checks that every continuation record belongs to a live job. */
void sim_records_check_strays(struct sim *sim);
/* Returns the number of records that list attempts of a job: its own and continuation records. */
double sim_records_count(struct sim *sim, const char *job_id);
/* Frees the cached list of recorded attempts. */
void sim_records_free(struct sim *sim);
#endif
