/* Workers: heartbeats, commands and leases. */
#ifndef WS_SIM_WORKERS_H
#define WS_SIM_WORKERS_H
#include "sim_parts.h"

/* Its next heartbeat comes soon, for its tasks have changed. */
void sim_worker_changed(struct sim_worker *worker, double now);
/* Makes its next heartbeat; the caller frees `heartbeat->tasks`. */
void sim_worker_heartbeat(const struct sim *sim, struct sim_worker *worker,
			  struct ws_heartbeat *heartbeat);
/* The number of the worker at an address. */
int sim_worker_at(const char *address);
/* Whether it runs now and does not hang. */
bool sim_worker_live(const struct sim *sim, const struct sim_worker *worker);
/* Direct commands reach it: their outcome, and in `heartbeat` its answer, unless that is NULL. */
enum ws_outcome sim_worker_command(struct sim *sim, struct sim_worker *worker,
				   uint64_t fencing_token, uint64_t incarnation,
				   const struct ws_command *commands, size_t count,
				   struct ws_heartbeat *heartbeat);
/* A node's answer to its heartbeat, which may be slow on its way. */
void sim_worker_answer(struct sim *sim, const struct ws_effect *effect);
/* An answer has arrived: the worker takes it unless it no longer waits for it. */
void sim_worker_take_answer(struct sim *sim, const struct ws_effect *effect);
/* Whether node and machine can't reach each other now. */
bool sim_is_partitioned(const struct sim *sim, const struct sim_worker *worker,
			const struct sim_node *node);
void sim_worker_step(struct sim *sim, struct sim_worker *worker);
/* Heartbeats that were held back and are due arrive. */
void sim_workers_deliver_delayed_heartbeats(struct sim *sim);
void sim_workers_free(struct sim *sim);

/* Whether an answer is slow; if so, it is taken over and arrives later. sim_slow_answers.c */
bool sim_slow_answer_add(struct sim *sim, const struct ws_effect *answer);
/* Slow answers that are due arrive. */
void sim_slow_answers_deliver(struct sim *sim);
void sim_slow_answers_free(struct sim *sim);

/* Takes commands one after another. sim_worker_tasks.c */
void sim_worker_take_commands(struct sim *sim, struct sim_worker *worker,
			      const struct ws_command *commands, size_t count);
/* Its tasks go on by one step. */
void sim_worker_tasks_step(struct sim *sim, struct sim_worker *worker);
/* A run of a task has ended well. */
void sim_task_finished(struct sim *sim, struct sim_job *job, const struct sim_task *task);

/* All gangs go on by one step. sim_gangs.c */
void sim_gangs_step(struct sim *sim);
/* A run of a gang's task began: its attempt is followed from now on. */
void sim_gang_follow(struct sim *sim, struct sim_job *job, uint64_t attempt);
#endif
