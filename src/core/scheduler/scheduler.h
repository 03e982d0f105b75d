/*
 * The scheduler: places waiting tasks on machines in passes over all of them, by first fit, and
 * frees capacity by preemption where the rules allow; gangs are placed whole. What found no
 * capacity is listed as unmet demand, for the autoscaler.
 *
 * All of it is the leader's and forgotten at step-down.
 */
#ifndef WS_SCHEDULER_H
#define WS_SCHEDULER_H
#include "../core.h"

struct ws_attempt;
struct ws_job;
struct ws_machine;

/* Tasks of a job that found no capacity, and the zones they may be in, a bit each. */
struct ws_unmet_demand {
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;
};

/* What the end of a pass needs of its beginning. */
struct ws_unfinished_pass {
	struct ws_machine **machines; /* usable ones, in first fit order; in the scratch memory */
	size_t machine_count;
	size_t waiting_job_count; /* jobs that had tasks waiting when the pass began */
	uint64_t first_step;	  /* the scheduler's steps when it began */
};

struct ws_scheduler {
	bool pass_wanted;
	bool teams_logged;	    /* in the first pass after the election */
	double logged_reserve_cpus; /* for unknown teams, as last logged */
	double reserve_logged_at;
	double next_pass_at; /* no pass before then */
	/* of a pass whose duration the I/O layer has yet to report; 0: none */
	double pass_began_at;
	double next_consolidation_at;
	void *scratch; /* memory of passes, kept from one to the next */
	size_t scratch_size;
	struct ws_unfinished_pass unfinished_pass;
	struct ws_unmet_demand *unmet_demand; /* of the pass under way */
	size_t unmet_count, unmet_capacity;
	uint64_t steps;		     /* of work; counted for the limit of a pass and for tests */
	uint64_t longest_pass_steps; /* for tests */
};

/*
 * Runs a pass: places what waits and lists what found no capacity in unmet_demand. The caller plans
 * the scale-out by that list, then calls ws_scheduler_finish_pass().
 */
void ws_scheduler_run_pass(struct ws_core *core);

/* Ends the pass: empties unmet_demand and, with nothing waiting, consolidates replicas. */
void ws_scheduler_finish_pass(struct ws_core *core);

/* At step-down: no pass is wanted or under way, and no demand is known. */
void ws_scheduler_reset(struct ws_core *core);

#endif
