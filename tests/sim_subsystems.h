/* The subsystems in the simulator: sim_failure_domains.c and sim_cold_start.c. */
#ifndef WS_SIM_SUBSYSTEMS_H
#define WS_SIM_SUBSYSTEMS_H
#include "sim_scenario.h"

/*
 * Fills in the cluster's limits for a subsystem. They refer to `names`, which needs space for
 * SIM_ZONES entries.
 */
void sim_fill_cluster_limits(const struct sim *sim, const struct sim_node *node, const char **names,
			     struct ws_cluster_limits *limits);

/* Attaches the subsystem to a new core if the scenario enables it. */
void sim_domains_attach(struct sim *sim, struct sim_node *node);
/* Enables the subsystem: subsystem zones [stable=S] [ramp=S] [half-life=S] */
void sim_domains_configure(struct sim *sim, const char *text);
/* Records how long after the loss of its machine a displaced task starts again. */
void sim_domains_task_started(struct sim *sim, struct sim_job *job, uint32_t task);

void sim_cold_start_attach(struct sim *sim, struct sim_node *node);
/* Enables the subsystem: subsystem coldstart [quarantine=S] [share=X] */
void sim_cold_start_configure(struct sim *sim, const char *text);
/* Records the time and the counters when all controllers stop. */
void sim_cold_start_controllers_stopped(struct sim *sim);
/* Records when the first controller is up after a stop, and when one leads. */
void sim_cold_start_step(struct sim *sim);
/*
 * Counts and checks a command that a worker receives. `task` is NULL if the worker does not have
 * the named attempt.
 */
void sim_cold_start_command_received(struct sim *sim, const struct sim_worker *worker,
				     const struct ws_command *command, const struct sim_task *task);
/* Records that all tasks of a worker are killed: by an expired lease or a power loss. */
void sim_cold_start_tasks_killed(struct sim *sim, const struct sim_worker *worker);
/* Records how long after it was killed a task runs again. */
void sim_cold_start_task_started(struct sim *sim, struct sim_job *job, uint32_t task);
#endif
