/* Declarations shared by the modules of the scheduler; internal to src/core/scheduler/. */
#ifndef WS_SCHEDULER_PASS_H
#define WS_SCHEDULER_PASS_H
#include "../core_state.h"

/* Tolerance for comparing capacities, which are sums and differences of fractions. */
#define WS_CAPACITY_TOLERANCE 1e-9
/* The protocol counts a task's start only if no stop command follows within this many seconds. */
#define WS_MIN_COUNTED_RUN_S 30
/* A search for preemption victims ends after it has found this many candidate machines plus twice
 * the number of tasks. */
#define WS_VICTIM_CANDIDATES 64
/* All scheduling ranks are lower than this. */
#define WS_RANK_LIMIT 1000

/* A machine on which preemption can free capacity for at least one task. */
struct ws_preemption_candidate {
	double cost;		/* work lost by the stopped tasks, in CPU seconds */
	size_t first_fit_index; /* tie-breaker for equal costs */
	struct ws_machine *machine;
};

/*
 * The requirements of a job for which no preemption victim was found. In the same pass, a job whose
 * rank is not higher, whose tasks need at least as much and that may use no other machines finds
 * none either.
 */
struct ws_infeasible_preemption {
	bool valid;
	int rank;
	struct ws_capacity task;
	bool allows_preemptible;
	uint32_t eligible_types, zones; /* bit masks */
};

/*
 * State of one scheduling pass. Its lists are in the scheduler's scratch memory and are valid until
 * the pass is finished.
 */
struct ws_scheduling_pass {
	struct ws_core *core;
	/* list of jobs, reused by the steps of the pass */
	struct ws_job **jobs;
	/* usable machines, in first-fit order */
	struct ws_machine **machines;
	size_t machine_count;
	/* usable machines that may have capacity for the smallest waiting task */
	struct ws_machine **open_machines;
	size_t open_count;
	/* usable machines with stopping tasks */
	struct ws_machine **stopping_machines;
	size_t stopping_count;
	/* scratch lists for the placement of one job and for one preemption */
	struct ws_machine **candidates;
	struct ws_preemption_candidate *preemption_candidates;
	/* CPUs of the smallest waiting task */
	double smallest_task_cpus;
	/* when the scheduler's step count exceeds this, the pass preempts nothing more */
	uint64_t step_limit;
	/* lowest scheduling rank of a job that has attempts */
	int lowest_running_rank;
	struct ws_infeasible_preemption infeasible_preemption; /* latest one found */
	/* machines at lower indexes have no capacity left for advance reservations */
	size_t reservation_scan_start;
	/* CPUs of the smallest task with an advance reservation; 0: not determined yet */
	double smallest_reserved_cpus;
};

/* ---- first_fit_order.c ---- */

/* Sorts the fleet's machines in first-fit order if that order is out of date. */
void ws_first_fit_order_update(struct ws_core *core);

/* ---- queue_order.c ---- */

/* Returns the scheduling rank of a job. A job may only preempt jobs of a lower rank. */
int ws_scheduling_rank(const struct ws_job *job);
/* Returns the rank that orders the queue: the scheduling rank, raised while the job is starved. */
int ws_queue_rank(const struct ws_job *job);
/* Compares two job pointers by their order in the queue, for qsort(). */
int ws_queue_order_compare(const void *left, const void *right);
/* Returns true if a job has waited too long, so that only production jobs are served before it. */
bool ws_job_is_starved(const struct ws_core *core, const struct ws_job *job);
/* Sets for each job whether it is within its team's guarantee. Sorts the list by age. */
void ws_mark_guaranteed(struct ws_core *core, struct ws_job **jobs, size_t count);
/* Returns the mean time in seconds to fetch a job's image, over all machine types. */
double ws_mean_image_fetch_s(const struct ws_core *core, const struct ws_job *job);

/* ---- capacity.c ---- */

/* Returns true if a job may have one more attempt in a zone, besides its live ones. */
bool ws_zone_is_eligible(const struct ws_core *core, const struct ws_job *job, int zone);
/* Returns the zones in which a job may have one more attempt, as a bit mask. */
uint32_t ws_eligible_zones(const struct ws_core *core, const struct ws_job *job);
/* Returns true if a bit mask of zones contains a zone index. An index of -1 is an unknown zone. */
bool ws_zone_in_mask(int zone, uint32_t zones);
/* Returns true if a job may use machines that a subsystem has asked to avoid. */
bool ws_job_may_use_avoided(const struct ws_core *core, const struct ws_job *job);
/* Returns true if a job may use a machine, given its type, whether it is preemptible and whether a
 * subsystem has asked to avoid it. */
bool ws_machine_is_eligible(const struct ws_job *job, const struct ws_machine *machine);
/* Returns true if a task of a job fits into a capacity. */
bool ws_capacity_fits_task(const struct ws_capacity *capacity, const struct ws_job *job);
/* Returns true if a task of a job fits into the free capacity of a machine. */
bool ws_has_free_capacity(const struct ws_job *job, const struct ws_machine *machine);
/* Returns true if a task of a job fits into the planned capacity of a machine. */
bool ws_has_planned_capacity(const struct ws_job *job, const struct ws_machine *machine);
/* Subtracts the resources of a task from a machine's planned capacity, or adds them back. */
void ws_planned_capacity_reserve(const struct ws_job *job, struct ws_machine *machine);
void ws_planned_capacity_release(const struct ws_job *job, struct ws_machine *machine);
/* Returns how many tasks fit into the planned capacity, up to a limit. */
uint32_t ws_tasks_fit_planned(const struct ws_job *job, const struct ws_machine *machine,
			      uint32_t limit);
/* Returns how many tasks can start now, up to a limit: they fit into both the free and the planned
 * capacity. */
uint32_t ws_tasks_fit_now(const struct ws_job *job, const struct ws_machine *machine,
			  uint32_t limit);
/* Returns true if a machine has the image with an index in its cache. */
bool ws_image_is_cached(const struct ws_machine *machine, int image);

/* ---- task_placement.c ---- */

/*
 * Plans attempts of waiting tasks on a machine, at most the limit and as many as fit into
 * record_bytes_left, see ws_record_bytes_left(). Returns their number. Reduces record_bytes_left by
 * their size, or sets it to 0 if an attempt does not fit.
 */
uint32_t ws_place_on_machine(struct ws_core *core, struct ws_job *job, struct ws_machine *machine,
			     uint32_t limit, uint64_t attempt_number, size_t *record_bytes_left);
/* Returns true at most once per lease duration for a job, to limit log lines on why it waits. The
 * caller must log the reason if true is returned. */
bool ws_wait_log_is_due(const struct ws_core *core, struct ws_job *job);
/* Logs why a job waits, at most once per lease duration. */
void ws_log_wait_reason(struct ws_core *core, struct ws_job *job, const char *reason);

/* ---- team_limits.c ---- */

/* Returns how many of a job's waiting tasks fit into its team's limit, of which the capacity
 * reserved for gangs and for attempts of unknown teams is not available. */
uint32_t ws_tasks_within_team_limit(const struct ws_job *job);
/* Counts that tasks of a job wait because its team is at its limit; logs this at a limited rate. */
void ws_report_team_limit(struct ws_core *core, struct ws_job *job);
/* Logs the usage of a job's team if it is near the limit. Called after placing tasks of the job. */
void ws_log_team_near_limit(struct ws_core *core, const struct ws_job *job);
/* Logs the CPUs reserved for attempts of unknown teams if they have changed, at most once per
 * heartbeat interval. */
void ws_log_unknown_team_reserve(struct ws_core *core, double reserved_cpus);
/* Logs the usage of each team that uses or has reserved CPUs. */
void ws_log_team_usage(struct ws_core *core);

/* ---- preemption.c ---- */

/* A request to free capacity for tasks of a job by preemption. */
struct ws_preemption_request {
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;		/* bit mask */
	bool only_cached_image; /* only on machines that have the job's image */
};
/*
 * Stops the work whose preemption costs least and reserves the freed capacity. Returns the number
 * of tasks that it fits. For a gang, nothing is stopped unless at least as many machines as
 * requested tasks have victims.
 */
uint32_t ws_preempt(struct ws_scheduling_pass *pass, const struct ws_preemption_request *request);
/* Returns true if a job has waited long enough to preempt others. The start objective of its class
 * is in seconds; 0: none. */
bool ws_preemption_is_due(const struct ws_core *core, const struct ws_job *job,
			  double start_objective_s);

/* ---- array_placement.c ---- */

/* Places tasks of a job that is not a gang. For the rest, preempts others or adds unmet demand. */
void ws_place_array(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s);

/* ---- gang_placement.c ---- */

/* Places all waiting tasks of a gang. If they do not fit, reserves capacity, preempts others or
 * adds unmet demand. */
void ws_place_gang(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s);

/* ---- reservations.c ---- */

/* Reserves capacity for one replica of each service that may have lost all of its replicas. */
void ws_reserve_first_replicas(struct ws_scheduling_pass *pass);
/* Reserves capacity for tasks whose attempts are on machines with overdue heartbeats. */
void ws_make_advance_reservations(struct ws_scheduling_pass *pass);
/* Returns true if a service has a live attempt on a machine whose heartbeat is not overdue. */
bool ws_has_live_replica(const struct ws_core *core, const struct ws_job *job);

/* ---- consolidation.c ---- */

/* Stops one replica on a rented machine so that it restarts on an owned one, if every replica on
 * that machine can move. Does so at most once per heartbeat interval. */
void ws_consolidate(struct ws_core *core, struct ws_machine **machines, size_t machine_count);

/* ---- unmet_demand.c ---- */

/* Adds tasks of a job to the unmet demand. The zones that they may use are a bit mask; 0: none. */
void ws_unmet_demand_add(struct ws_core *core, struct ws_job *job, uint32_t tasks, uint32_t zones);
/* Clears the unmet demand and frees its memory. */
void ws_unmet_demand_free(struct ws_scheduler *scheduler);
#endif
