/* The rules about what runs. */
#ifndef WS_SIM_CHECKS_H
#define WS_SIM_CHECKS_H
#include "sim_parts.h"

/* Whether a task has left the fetch behind and not exited. */
bool sim_on_machine(const struct sim_task *task);
/* How many tasks of a job run. */
int sim_running(const struct sim *sim, const char *id);
/* A task starts on a worker: whether it may, and there. */
void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task);
/* Whether no team uses more than it may, and nothing runs long after it was cancelled. */
void sim_check_quota(struct sim *sim);
#endif
