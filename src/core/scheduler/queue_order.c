/*
 * The order in which waiting jobs are served, and what is within its team's guarantee (its quota):
 * production goes first, then starved jobs, then work within its guarantee, then by priority class,
 * deadline and age.
 *
 * What may preempt other work must also be served before it, or the two take the same capacity from
 * each other for ever: both follow the scheduling rank.
 */
#include "pass.h"

/* Scheduling ranks; to that of guaranteed work its priority class is added. */
#define WS_RANK_PRODUCTION 100
#define WS_RANK_STARVED 99
#define WS_RANK_GUARANTEED 50
/* Deadline of a job that has none, in seconds after its submission. */
#define WS_NO_DEADLINE_S 1e9
/* Leases for which a job waits until it is starved. */
#define WS_STARVED_LEASES 2
/* The share of its start objective that a gang waits until it is starved. */
#define WS_STARVED_GANG_SHARE 4

int ws_scheduling_rank(const struct ws_job *job)
{
	if (job->spec.priority == WS_PRIORITY_PRODUCTION)
		return WS_RANK_PRODUCTION + job->guaranteed;
	return (job->guaranteed ? WS_RANK_GUARANTEED : 0) + (int)job->spec.priority;
}

int ws_queue_rank(const struct ws_job *job)
{
	int rank = ws_scheduling_rank(job);

	return job->starved && rank < WS_RANK_STARVED ? WS_RANK_STARVED : rank;
}

double ws_image_fetch_s(const struct ws_core *core, const struct ws_job *job)
{
	double fetch_s = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (core->catalog.types[i].fetch_gb_s > 0)
			fetch_s += job->spec.image_gb / core->catalog.types[i].fetch_gb_s /
				   (double)core->catalog.type_count;
	return fetch_s;
}

/*
 * No job waits for ever behind those that keep coming: one of which no task was placed for two
 * leases is served before all other arrays until one is. What it then takes no array may preempt,
 * or the two would do so in turn. Production and the rules of preemption stay as they are.
 *
 * A gang needs more capacity at once than comes free between others: it is starved after a quarter
 * of its start objective, less the fetch.
 */
bool ws_job_is_starved(const struct ws_core *core, const struct ws_job *job)
{
	double start_objective_s =
	    job->spec.gang ? ws_start_objective(core, job->spec.job_class) : 0;
	double waiting_since = fmax(job->known_at, job->last_placed_at);

	if (start_objective_s > 0 && job->unmet_since > 0 &&
	    core->now - job->unmet_since >
		fmax(0, start_objective_s - ws_image_fetch_s(core, job)) / WS_STARVED_GANG_SHARE)
		return true;
	return core->now - waiting_since > WS_STARVED_LEASES * core->settings->lease_s &&
	       job->retry_not_before <= core->now;
}

/* When a job should be done, by the time of day. */
static double ws_latest_end(const struct ws_job *job)
{
	return job->submitted_at_wall +
	       (job->spec.deadline_s >= 0 ? job->spec.deadline_s : WS_NO_DEADLINE_S);
}

/* Older jobs first; of the same age, by name. */
static int ws_job_age_order(const struct ws_job *first, const struct ws_job *second)
{
	if (first->submitted_at_wall != second->submitted_at_wall)
		return first->submitted_at_wall < second->submitted_at_wall ? -1 : 1;
	return strcmp(first->spec.id, second->spec.id);
}

int ws_queue_order_compare(const void *left, const void *right)
{
	const struct ws_job *first = *(struct ws_job *const *)left;
	const struct ws_job *second = *(struct ws_job *const *)right;
	double first_end = ws_latest_end(first);
	double second_end = ws_latest_end(second);

	if (ws_queue_rank(first) != ws_queue_rank(second))
		return ws_queue_rank(first) > ws_queue_rank(second) ? -1 : 1;
	/* those that a subsystem moves, in its order; 0 stands for none and wraps to the largest */
	if (first->move_position != second->move_position)
		return first->move_position - 1 < second->move_position - 1 ? -1 : 1;
	if (first_end != second_end)
		return first_end < second_end ? -1 : 1;
	return ws_job_age_order(first, second);
}

static int ws_job_age_compare(const void *left, const void *right)
{
	return ws_job_age_order(*(struct ws_job *const *)left, *(struct ws_job *const *)right);
}

/* A job is guaranteed while it fits its team's guarantee along with the team's earlier jobs. */
void ws_mark_guaranteed(struct ws_core *core, struct ws_job **jobs, size_t count)
{
	double cpus[WS_MAX_TEAMS] = {0}, gpus[WS_MAX_TEAMS] = {0};

	qsort(jobs, count, sizeof(*jobs), ws_job_age_compare);
	for (size_t i = 0; i < count; i++) {
		struct ws_job *job = jobs[i];
		const struct ws_team_setting *quota;
		size_t team_index;

		job->guaranteed = false;
		if (!job->team)
			continue;
		quota = job->team->settings;
		team_index = (size_t)(job->team - core->jobs.teams);
		cpus[team_index] += job->spec.cpus * job->spec.tasks;
		gpus[team_index] += job->spec.gpus * job->spec.tasks;
		job->guaranteed = cpus[team_index] <= quota->cpus + WS_CAPACITY_TOLERANCE &&
				  (gpus[team_index] <= quota->gpus + WS_CAPACITY_TOLERANCE ||
				   job->spec.gpus <= 0);
	}
}
