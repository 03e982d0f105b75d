/*
 * The invariant on counts: each count that the leader keeps beside a list equals what the list
 * gives. Recomputed for the leader's machines, jobs and teams.
 */
#include "sim_checks.h"
#include "sim_nodes.h"

#define AMOUNT_TOLERANCE 1e-6
/* Larger fleets and job queues are checked only in one of so many steps. */
#define SMALL_FLEET 50
#define LARGE_FLEET_STEPS 200

/* What the attempts on a machine add up to. */
struct machine_sums {
	uint32_t attempts, quarantined, of_unknown_team;
	struct ws_capacity used, stopping;
};

static void fail_count(struct sim *sim, const char *owner, const char *count, double kept,
		       double recomputed)
{
	sim_fail(sim, "count: %s of %s is %g, its list gives %g", count, owner, kept, recomputed);
}

static void check_count(struct sim *sim, const char *owner, const char *count, double kept,
			double recomputed)
{
	if (fabs(kept - recomputed) > AMOUNT_TOLERANCE)
		fail_count(sim, owner, count, kept, recomputed);
}

static void add_resources(struct machine_sums *sums, const struct ws_attempt *attempt)
{
	const struct ws_capacity task = ws_task_capacity(&attempt->job->spec);

	ws_capacity_add(&sums->used, &task, 1);
	if (attempt->stopping)
		ws_capacity_add(&sums->stopping, &task, 1);
}

static void check_capacity(struct sim *sim, const struct ws_machine *machine,
			   const struct ws_capacity *kept, const struct ws_capacity *recomputed)
{
	check_count(sim, machine->name, "CPUs", kept->cpus, recomputed->cpus);
	check_count(sim, machine->name, "GPUs", kept->gpus, recomputed->gpus);
	check_count(sim, machine->name, "memory", kept->mem_gb, recomputed->mem_gb);
	check_count(sim, machine->name, "report bytes", kept->report_bytes,
		    recomputed->report_bytes);
}

static struct machine_sums sum_attempts(const struct ws_machine *machine)
{
	struct machine_sums sums = {0};
	const struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next) {
		if (attempt->state == WS_ATTEMPT_RELEASED)
			continue;
		sums.attempts++;
		sums.quarantined += attempt->quarantined;
		sums.of_unknown_team += attempt->of_unknown_team;
		if (attempt->job)
			add_resources(&sums, attempt);
	}
	return sums;
}

static void check_machine(struct sim *sim, const struct ws_machine *machine)
{
	struct machine_sums sums = sum_attempts(machine);

	check_count(sim, machine->name, "attempts", machine->attempt_count, sums.attempts);
	check_count(sim, machine->name, "quarantined attempts", machine->quarantine.count,
		    sums.quarantined);
	check_count(sim, machine->name, "attempts of unknown teams",
		    machine->quarantine.of_unknown_team, sums.of_unknown_team);
	check_capacity(sim, machine, &machine->used, &sums.used);
	check_capacity(sim, machine, &machine->stopping, &sums.stopping);
}

/* Checks the machines, and the counts that they add up to. */
static void check_machines(struct sim *sim, const struct ws_core *core)
{
	const struct ws_machine *machine;
	uint32_t of_unknown_teams = 0;

	for (machine = core->fleet.machines; machine; machine = machine->hh.next) {
		check_machine(sim, machine);
		of_unknown_teams += machine->quarantine.of_unknown_team;
	}
	check_count(sim, "the leader", "attempts of unknown teams",
		    core->jobs.attempts_of_unknown_teams, of_unknown_teams);
}

/* Checks that no live attempt of its task is newer than the one held as the newest. */
static void check_newest(struct sim *sim, const struct ws_job *job,
			 const struct ws_attempt *attempt)
{
	const struct ws_attempt *newest = job->tasks[attempt->task].newest_attempt;

	if (!newest || newest->state == WS_ATTEMPT_RELEASED || newest->number < attempt->number)
		fail_count(sim, job->spec.id, "newest attempt of a task",
			   newest ? (double)newest->number : 0, (double)attempt->number);
}

/* Checks the counts that a job keeps of its live attempts: in all, by zone and by task. */
static void check_attempts(struct sim *sim, const struct ws_job *job, uint16_t *live)
{
	uint32_t by_zone[WS_MAX_ZONES] = {0}, attempts = 0;
	const struct ws_attempt *attempt;

	DL_FOREACH2 (job->attempts, attempt, job_next) {
		if (attempt->state == WS_ATTEMPT_RELEASED)
			continue;
		attempts++;
		if (attempt->machine->zone_index >= 0)
			by_zone[attempt->machine->zone_index]++;
		if (attempt->task >= job->spec.tasks)
			continue;
		live[attempt->task]++;
		check_newest(sim, job, attempt);
	}
	check_count(sim, job->spec.id, "attempts", job->attempt_count, attempts);
	for (int i = 0; i < WS_MAX_ZONES; i++)
		check_count(sim, job->spec.id, "attempts in a zone", job->attempts_by_zone[i],
			    by_zone[i]);
}

static void check_job(struct sim *sim, const struct ws_job *job)
{
	uint16_t *live = calloc(job->spec.tasks + 1, sizeof(*live));
	uint32_t done = 0, waiting = 0, lowest_waiting = job->spec.tasks;

	check_attempts(sim, job, live);
	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		bool waits = !job->tasks[i].done && !live[i];

		check_count(sim, job->spec.id, "live attempts of a task",
			    job->tasks[i].live_attempts, live[i]);
		done += job->tasks[i].done;
		waiting += waits;
		if (waits && lowest_waiting == job->spec.tasks)
			lowest_waiting = i;
	}
	check_count(sim, job->spec.id, "done tasks", job->done_count, done);
	check_count(sim, job->spec.id, "waiting tasks", job->waiting, waiting);
	if (job->lowest_waiting_task > lowest_waiting)
		fail_count(sim, job->spec.id, "lowest waiting task", job->lowest_waiting_task,
			   lowest_waiting);
	free(live);
}

static void check_teams(struct sim *sim, const struct ws_core *core)
{
	const struct ws_job *job;

	for (size_t i = 0; i < core->settings->team_count; i++) {
		const struct ws_team *team = &core->jobs.teams[i];
		double cpus = 0, gpus = 0;

		for (job = core->jobs.by_id; job; job = job->hh.next)
			if (job->team == team) {
				cpus += job->attempt_count * job->spec.cpus;
				gpus += job->attempt_count * job->spec.gpus;
			}
		check_count(sim, core->settings->teams[i].name, "CPUs", team->used_cpus, cpus);
		check_count(sim, core->settings->teams[i].name, "GPUs", team->used_gpus, gpus);
	}
}

static bool is_small(const struct ws_core *core)
{
	return HASH_COUNT(core->fleet.machines) <= SMALL_FLEET &&
	       HASH_COUNT(core->jobs.by_id) <= SMALL_FLEET;
}

void sim_check_counts(struct sim *sim)
{
	const struct sim_node *leader = sim_acting_leader(sim);
	const struct ws_job *job;

	sim->steps++;
	if (!leader || (!is_small(leader->core) && sim->steps % LARGE_FLEET_STEPS))
		return;
	check_machines(sim, leader->core);
	check_teams(sim, leader->core);
	for (job = leader->core->jobs.by_id; job; job = job->hh.next)
		check_job(sim, job);
}
