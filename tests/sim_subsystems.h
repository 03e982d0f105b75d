/* The subsystems in the simulator: sim_failure_domains.c and sim_cold_start.c. */
#ifndef WS_SIM_SUBSYSTEMS_H
#define WS_SIM_SUBSYSTEMS_H
#include "sim_scenario.h"

/* What a subsystem is told of the cluster; `names` has room for all zones. */
void sim_cluster_limits(const struct sim *sim, const struct sim_node *node, const char **names,
			struct ws_cluster_limits *limits);

/* Gives a core that was just made the subsystem, if the scenario has it. */
void sim_domains_attach(struct sim *sim, struct sim_node *node);
/* subsystem zones [stable=S] [ramp=S] [half-life=S] */
void sim_domains_configure(struct sim *sim, const char *text);
/* A task starts: how long after its machine went dark. */
void sim_domains_started(struct sim *sim, struct sim_job *job, uint32_t task);

void sim_cold_start_attach(struct sim *sim, struct sim_node *node);
/* subsystem coldstart [keep=S] [share=X] */
void sim_cold_start_configure(struct sim *sim, const char *text);
/* All controllers end now. */
void sim_cold_start_all_stopped(struct sim *sim);
void sim_cold_start_step(struct sim *sim);
/* A worker takes a command, of a task that it has or NULL. */
void sim_cold_start_command(struct sim *sim, const struct sim_worker *worker,
			    const struct ws_command *command, const struct sim_task *task);
/* A lease ran out over all that a worker has. */
void sim_cold_start_killed(struct sim *sim, const struct sim_worker *worker);
void sim_cold_start_started(struct sim *sim, struct sim_job *job, uint32_t task);
#endif
