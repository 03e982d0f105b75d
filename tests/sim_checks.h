/* The invariants on running tasks. */
#ifndef WS_SIM_CHECKS_H
#define WS_SIM_CHECKS_H
#include "sim_parts.h"

/* Returns whether a task has finished its image fetch and not exited. */
bool sim_task_started(const struct sim_task *task);
/* Returns the number of tasks of a job that run on existing machines. */
int sim_count_running(const struct sim *sim, const char *id);
/* Checks that a task may start now and on this worker. */
void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task);
/* Checks that no team exceeds its limit and that no task runs long after its job was cancelled. */
void sim_check_running_tasks(struct sim *sim);
/* Checks that no task runs for long without the leader's knowledge. */
void sim_check_unknown_tasks(struct sim *sim);
#endif
