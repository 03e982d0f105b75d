/*
 * The scheduler places waiting tasks on machines by first fit, in passes over all jobs and
 * machines. It places all tasks of a gang at once or none, and frees capacity by preemption where a
 * job's rank allows that. Tasks without capacity are listed as unmet demand for the autoscaler.
 *
 * Only the leader schedules. The scheduler's state is discarded at step-down.
 */
#ifndef WS_SCHEDULER_H
#define WS_SCHEDULER_H
#include "../core.h"

struct ws_attempt;
struct ws_job;
struct ws_machine;

/* Tasks of a job that found no capacity, and a bit mask of the zones that they may use. */
struct ws_unmet_demand {
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;
};

/* State of a pass that is kept from its placement phase to its end. */
struct ws_unfinished_pass {
	struct ws_machine **machines; /* usable machines in first-fit order, in scratch memory */
	size_t machine_count;
	size_t waiting_job_count; /* jobs that had tasks waiting when the pass began */
	uint64_t first_step;	  /* value of the scheduler's step count when it began */
};

struct ws_scheduler {
	bool pass_requested;
	bool team_usage_logged;		 /* team usage was logged since the election */
	double unknown_team_cpus_logged; /* CPUs for unknown teams, as last logged */
	double unknown_teams_logged_at;	 /* when that was logged */
	double next_pass_at;		 /* earliest time of the next pass */
	/* start of a pass whose end the I/O layer has not reported yet; 0: none */
	double pass_began_at;
	double next_consolidation_at;
	void *scratch; /* memory for lists, reused by all passes */
	size_t scratch_size;
	struct ws_unfinished_pass unfinished_pass;
	struct ws_unmet_demand *unmet_demand; /* of the current pass */
	size_t unmet_count, unmet_capacity;
	uint64_t steps;		     /* units of work done; used to limit passes, and by tests */
	uint64_t longest_pass_steps; /* used by tests */
};

/*
 * Runs a pass: places waiting tasks and lists those without capacity in unmet_demand. The caller
 * plans the scale-out from that list, then calls ws_scheduler_finish_pass().
 */
void ws_scheduler_run_pass(struct ws_core *core);

/* Ends the pass: clears unmet_demand and consolidates replicas if no job was waiting. */
void ws_scheduler_finish_pass(struct ws_core *core);

/* Resets the scheduler at step-down: frees its memory and discards the unmet demand. */
void ws_scheduler_reset(struct ws_core *core);

#endif
