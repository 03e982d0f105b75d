/* What the modules of the scheduler share; internal to src/core/scheduler/. */
#ifndef WS_SCHEDULER_PASS_H
#define WS_SCHEDULER_PASS_H
#include "../core_state.h"

/* Capacities are sums and differences of fractions: they are compared with this to spare. */
#define WS_CAPACITY_TOLERANCE 1e-9
/* The protocol counts a start only if the task is not stopped by command for this long. */
#define WS_START_COUNTS_S 30
/* A pass looks at no more machines than this in search of preemption victims, beyond twice the
 * number of tasks. */
#define WS_VICTIM_CANDIDATES 64
/* No job has this scheduling rank or a higher one. */
#define WS_RANK_LIMIT 1000

/* What a machine has left, or a task needs. */
struct ws_capacity {
	double cpus, gpus, mem_gb;
};

/* A machine on which preemption frees capacity for a task at least. */
struct ws_preemption_candidate {
	double cost;		/* what the work that is stopped loses, in CPU seconds */
	size_t first_fit_index; /* decides between equals */
	struct ws_machine *machine;
};

/*
 * A job for which no victim was found: in the same pass none is found either for a job of no higher
 * rank that needs at least as much and may use no other machines.
 */
struct ws_infeasible_preemption {
	bool known;
	int rank;
	struct ws_capacity task;
	bool allows_preemptible;
	uint32_t eligible_types, zones; /* a bit each */
};

/*
 * One pass. Its lists lie in the scheduler's scratch memory and are valid until the pass is
 * finished.
 */
struct ws_scheduling_pass {
	struct ws_core *core;
	/* list of jobs; what it holds changes with the step */
	struct ws_job **jobs;
	/* usable machines, in first fit order */
	struct ws_machine **machines;
	size_t machine_count;
	/* of these, those with capacity for the smallest task that waits */
	struct ws_machine **open_machines;
	size_t open_count;
	/* those on which tasks were told to stop */
	struct ws_machine **stopping_machines;
	size_t stopping_count;
	/* scratch of the placement of one job, and of one preemption */
	struct ws_machine **candidates;
	struct ws_preemption_candidate *preemption_candidates;
	/* CPUs of the smallest task that waits */
	double smallest_task_cpus;
	/* beyond these steps nothing more is preempted in this pass */
	uint64_t step_limit;
	/* scheduling rank of the least important job that runs */
	int lowest_running_rank;
	struct ws_infeasible_preemption infeasible_preemption; /* the latest */
	/* machines before this one have no capacity for reservations ahead */
	size_t reservation_scan_from;
	/* CPUs of the smallest task in reservations ahead; 0: not known yet */
	double smallest_reserved_cpus;
};

/* ---- first_fit_order.c ---- */

/* Sorts the fleet's machines in first fit order, where machines were added or changed. */
void ws_first_fit_order_update(struct ws_core *core);

/* ---- queue_order.c ---- */

/* The rank by which a job may preempt others: only those of lower rank. */
int ws_scheduling_rank(const struct ws_job *job);
/* The rank by which a job is served: its scheduling rank, raised while it is starved. */
int ws_queue_rank(const struct ws_job *job);
/* For qsort() of job pointers: the order in which jobs are served. */
int ws_queue_order_compare(const void *left, const void *right);
/* Whether a job has waited for too long and goes before all but production. */
bool ws_job_is_starved(const struct ws_core *core, const struct ws_job *job);
/* Decides which jobs are within their teams' guarantees; sorts the list by age. */
void ws_mark_guaranteed(struct ws_core *core, struct ws_job **jobs, size_t count);
/* Seconds for the fetch of a job's image, as a mean of all machine types. */
double ws_image_fetch_s(const struct ws_core *core, const struct ws_job *job);

/* ---- capacity.c ---- */

/* Whether one more attempt of a job may be in a zone, given where others may be alive. */
bool ws_zone_is_eligible(const struct ws_core *core, const struct ws_job *job, int zone);
/* The zones of which that is true, a bit each. */
uint32_t ws_eligible_zones(const struct ws_core *core, const struct ws_job *job);
/* Whether a zone, by its number, is among some; -1, an unknown zone, is not. */
bool ws_zone_is_among(int zone, uint32_t zones);
/* Whether a job may use machines that a subsystem would have avoided. */
bool ws_job_may_use_avoided(const struct ws_core *core, const struct ws_job *job);
/* Whether a machine is of a kind that a job may use. */
bool ws_machine_is_eligible(const struct ws_job *job, const struct ws_machine *machine);
/* Whether a task needs no more than a capacity. */
bool ws_capacity_holds_task(const struct ws_capacity *capacity, const struct ws_job *job);
/* Free capacity: of a machine, less all that may be alive there. */
bool ws_has_free_capacity(const struct ws_job *job, const struct ws_machine *machine);
/* Planned capacity: free, or to be free once what was told to stop has ended, less what this pass
 * has given away or reserved. */
struct ws_capacity ws_planned_capacity(const struct ws_machine *machine);
bool ws_has_planned_capacity(const struct ws_job *job, const struct ws_machine *machine);
/* Takes a task's share out of the planned capacity, or gives it back. */
void ws_planned_capacity_take(const struct ws_job *job, struct ws_machine *machine);
void ws_planned_capacity_give(const struct ws_job *job, struct ws_machine *machine);
/* How many tasks fit into the planned capacity, up to a limit. */
uint32_t ws_tasks_fit_planned(const struct ws_job *job, const struct ws_machine *machine,
			      uint32_t limit);
/* How many tasks fit into what is both free and planned, up to a limit: they can start now. */
uint32_t ws_tasks_fit_now(const struct ws_job *job, const struct ws_machine *machine,
			  uint32_t limit);
/* Whether a machine has an image, by its number. */
bool ws_image_is_cached(const struct ws_machine *machine, int image);

/* ---- task_placement.c ---- */

/* A number for a job's next attempts; none is used twice. */
uint64_t ws_attempt_number_new(struct ws_core *core);
/* Bytes left for attempts in a job's record. */
size_t ws_record_bytes_left(const struct ws_core *core, const struct ws_job *job);

/*
 * Plans attempts of waiting tasks on a machine, up to a limit and as many as the job's record can
 * name. Returns how many; what the record has left is taken off, and is 0 once it can name no more.
 */
uint32_t ws_place_on_machine(struct ws_core *core, struct ws_job *job, struct ws_machine *machine,
			     uint32_t limit, uint64_t attempt_number, size_t *record_bytes_left);
/* Whether the log is to say why a job waits: once a lease. Counts as said, if so. */
bool ws_wait_log_is_due(const struct ws_core *core, struct ws_job *job);
/* Logs why a job waits, if that is due. */
void ws_log_wait_reason(struct ws_core *core, struct ws_job *job, const char *reason);

/* ---- team_limits.c ---- */

/* How many of a job's waiting tasks its team's limit allows, less what is reserved for gangs. */
uint32_t ws_tasks_within_team_limit(const struct ws_job *job);
/* Counts, and logs now and then, that tasks of a job wait since its team is at its limit. */
void ws_team_limit_reached(struct ws_core *core, struct ws_job *job);
/* A job's tasks were placed: logs its team's use if that is near the limit. */
void ws_log_team_near_limit(struct ws_core *core, const struct ws_job *job);
/* Logs what is reserved for attempts of unknown teams, if that has changed of late. */
void ws_log_unknown_teams(struct ws_core *core, double reserved_cpus);
/* Logs the use of all teams that use or have reserved anything. */
void ws_log_teams(struct ws_core *core);

/* ---- preemption.c ---- */

/* What is to be preempted for: tasks of a job, in some zones. */
struct ws_preemption_request {
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;		/* a bit each */
	bool only_cached_image; /* only on machines that have the job's image */
};
/*
 * Stops the work that loses least where that frees capacity; returns for how many tasks. Their
 * planned capacity is taken. For a gang nothing is stopped unless that frees capacity for all of
 * them.
 */
uint32_t ws_preempt(struct ws_scheduling_pass *pass, const struct ws_preemption_request *request);
/* Whether a job has waited long enough to preempt others; its class's objective in s, 0: none. */
bool ws_preemption_is_due(const struct ws_core *core, const struct ws_job *job,
			  double start_objective_s);

/* ---- array_placement.c ---- */

/* Places tasks of a job that is no gang, and frees or asks for capacity for the rest. */
void ws_place_array(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s);

/* ---- gang_placement.c ---- */

/* Places a gang whole, or reserves, frees or asks for the capacity that it lacks. */
void ws_place_gang(struct ws_scheduling_pass *pass, struct ws_job *job, double start_objective_s);

/* ---- reservations.c ---- */

/* Reserves capacity for a first replica of each service of which none may be left. */
void ws_reserve_first_replicas(struct ws_scheduling_pass *pass);
/* Reserves capacity for tasks whose attempts will end on silent machines. */
void ws_reserve_ahead(struct ws_scheduling_pass *pass);
/* Whether a replica of a service may be alive on a machine that is not silent. */
bool ws_has_live_replica(const struct ws_core *core, const struct ws_job *job);

/* ---- consolidation.c ---- */

/* Moves a replica off a rented machine onto owned ones, if all replicas there can move. */
void ws_consolidate(struct ws_core *core, struct ws_machine **machines, size_t machine_count);

/* ---- unmet_demand.c ---- */

/* Adds tasks that found no capacity in these zones, a bit each; 0: in no zone. */
void ws_unmet_demand_add(struct ws_core *core, struct ws_job *job, uint32_t tasks, uint32_t zones);
/* Empties the list and gives its memory back. */
void ws_unmet_demand_free(struct ws_scheduler *scheduler);
#endif
