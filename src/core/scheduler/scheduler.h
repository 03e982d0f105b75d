/*
 * The scheduler: places waiting tasks on machines in passes over all of them, by first fit, and
 * makes room by preemption where the rules allow; gangs are placed whole.
 */
#ifndef WS_SCHEDULER_H
#define WS_SCHEDULER_H
#include "../core.h"

struct ws_attempt;
struct ws_job;

struct ws_scheduler {
	bool pass_wanted;
	double next_pass_at;
	double pass_began_at; /* of a pass that the I/O layer has not told the length of; 0: none */
	double next_consolidation_at;
	void *scratch; /* memory of passes, kept from one to the next */
	size_t scratch_size;
	uint64_t steps;		     /* of work; counted for the limit of a pass and for tests */
	uint64_t longest_pass_steps; /* for tests */
};

/* ---- scheduler.c ---- */

/* How many such tasks fit into free capacity, up to a number. */
uint32_t ws_tasks_fit(const struct ws_job_spec *spec, double cpus, double gpus, double mem,
		      uint32_t most);
void ws_scheduler_run_pass(struct ws_core *core);

/* At step-down: no pass is wanted or under way. */
void ws_scheduler_reset(struct ws_core *core);

/* ---- gang.c ---- */

bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *attempt, double *since);
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job);
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace, const char *reason);
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job);
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, const char *reason);

#endif
