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
/* Checks that each count that the leader keeps beside a list equals what the list gives. */
void sim_check_counts(struct sim *sim);
/* Returns the leader if it is of this version and not frozen, else NULL. */
const struct sim_node *sim_acting_leader(struct sim *sim);
/* Whether a worker and the leader reach each other, both ways. */
bool sim_worker_is_reachable(const struct sim *sim, const struct sim_worker *worker,
			     const struct sim_node *leader);
#endif
