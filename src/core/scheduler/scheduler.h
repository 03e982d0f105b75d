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

void ws_scheduler_run_pass(struct ws_core *core);

/* At step-down: no pass is wanted or under way. */
void ws_scheduler_reset(struct ws_core *core);

#endif
