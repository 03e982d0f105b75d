/* Simulated workers: heartbeats, commands and leases. */
#ifndef WS_SIM_WORKERS_H
#define WS_SIM_WORKERS_H
#include "sim_parts.h"

/* Brings the worker's next heartbeat forward after a change. */
void sim_worker_expedite_heartbeat(struct sim_worker *worker, double now);
/* Builds the worker's next heartbeat. The caller frees `heartbeat->tasks`. */
void sim_worker_build_heartbeat(const struct sim *sim, struct sim_worker *worker,
				struct ws_heartbeat *heartbeat);
/* Returns the index of the worker at an address. */
int sim_worker_by_address(const char *address);
/* Returns whether the worker runs and does not hang. */
bool sim_worker_is_live(const struct sim *sim, const struct sim_worker *worker);
/*
 * Delivers direct commands to the worker and returns their outcome. Stores the heartbeat that the
 * worker answers with in `heartbeat` unless that is NULL.
 */
enum ws_outcome sim_worker_deliver_commands(struct sim *sim, struct sim_worker *worker,
					    uint64_t fencing_token, uint64_t incarnation,
					    const struct ws_command *commands, size_t count,
					    struct ws_heartbeat *heartbeat);
/* Sends a node's answer to a heartbeat to the worker, possibly with a delay. */
void sim_worker_send_answer(struct sim *sim, const struct ws_effect *effect);
/* Delivers an answer. The worker ignores it if it no longer waits for it. */
void sim_worker_receive_answer(struct sim *sim, const struct ws_effect *effect);
/* Returns whether node and machine can't reach each other now. */
bool sim_is_partitioned(const struct sim *sim, const struct sim_worker *worker,
			const struct sim_node *node);
void sim_worker_step(struct sim *sim, struct sim_worker *worker);
/* Delivers delayed heartbeats that are due. */
void sim_workers_deliver_delayed_heartbeats(struct sim *sim);
void sim_workers_free(struct sim *sim);

/*
 * Returns whether an answer is to be delayed; if so, a copy of it is delivered later. Defined in
 * sim_slow_answers.c.
 */
bool sim_slow_answer_add(struct sim *sim, const struct ws_effect *answer);
/* Delivers slow answers that are due. */
void sim_slow_answers_deliver(struct sim *sim);
void sim_slow_answers_free(struct sim *sim);

/* Executes commands in order. Defined in sim_worker_tasks.c. */
void sim_worker_execute_commands(struct sim *sim, struct sim_worker *worker,
				 const struct ws_command *commands, size_t count);
/* Advances the worker's tasks by one step. */
void sim_worker_tasks_step(struct sim *sim, struct sim_worker *worker);
/* Records that a run of a task has succeeded. */
void sim_task_finished(struct sim *sim, struct sim_job *job, const struct sim_task *task);

/* Advances all gangs by one step. Defined in sim_gangs.c. */
void sim_gangs_step(struct sim *sim);
/* Starts tracking a gang's attempt, unless it is tracked already. */
void sim_gang_track_attempt(struct sim *sim, struct sim_job *job, uint64_t attempt);
/* Seconds for which a task of a job would fetch its image on a worker. */
double sim_worker_fetch_s(const struct sim_worker *worker, const struct sim_job *job);
/* Adds a zeroed task to a worker. Valid until the next call. */
struct sim_task *sim_worker_add_task(struct sim_worker *worker);
#endif
