/*
 * Orders the queue of waiting jobs and determines which jobs are within their team's guarantee (its
 * quota). Production jobs come first, then starved jobs, then guaranteed jobs, then the others by
 * priority class. Within a rank, jobs that a subsystem moves come first, then jobs are ordered by
 * deadline and age.
 *
 * Queue order and preemption both follow the scheduling rank. A job that may preempt another must
 * also be served before it; otherwise the two would take the same capacity from each other forever.
 */
#include "pass.h"

/* Scheduling ranks. The priority class is added to the rank of guaranteed work. */
#define WS_RANK_PRODUCTION 100
#define WS_RANK_STARVED 99
#define WS_RANK_GUARANTEED 50
/* Deadline assumed for a job without one, in seconds after its submission. */
#define WS_NO_DEADLINE_S 1e9
/* Lease durations without a placement after which a job is starved. */
#define WS_STARVED_LEASES 2
/* Divisor of a gang's start objective, minus the image fetch: the wait until it is starved. */
#define WS_STARVED_GANG_DIVISOR 4

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

double ws_mean_image_fetch_s(const struct ws_core *core, const struct ws_job *job)
{
	double fetch_s = 0;

	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (core->catalog.types[i].fetch_gb_s > 0)
			fetch_s += job->spec.image_gb / core->catalog.types[i].fetch_gb_s /
				   (double)core->catalog.type_count;
	return fetch_s;
}

/*
 * Prevents a job from waiting forever behind a stream of newer jobs. A job of which no task was
 * placed for two lease durations is starved: it is served before all jobs except production until
 * one of its tasks is placed. Only production may preempt the attempts placed while it was starved,
 * since otherwise two jobs would preempt each other in turn. Its own right to preempt is unchanged.
 *
 * A gang needs more capacity at once than becomes free while other jobs are served first. It is
 * therefore starved already after a quarter of its start objective, minus the image fetch.
 */
bool ws_job_is_starved(const struct ws_core *core, const struct ws_job *job)
{
	double start_objective_s =
	    job->spec.gang ? ws_start_objective(core, job->spec.job_class) : 0;
	double waiting_since = fmax(job->first_seen_at, job->last_placed_at);

	if (start_objective_s > 0 && job->unmet_since > 0 &&
	    core->now - job->unmet_since >
		fmax(0, start_objective_s - ws_mean_image_fetch_s(core, job)) /
		    WS_STARVED_GANG_DIVISOR)
		return true;
	return core->now - waiting_since > WS_STARVED_LEASES * core->settings->lease_s &&
	       job->retry_not_before <= core->now;
}

/* Returns the deadline of a job as wall-clock time. */
static double ws_job_deadline(const struct ws_job *job)
{
	return job->submitted_at_wall +
	       (job->spec.deadline_s >= 0 ? job->spec.deadline_s : WS_NO_DEADLINE_S);
}

/* Compares two jobs by age, oldest first, then by name. */
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
	double first_deadline = ws_job_deadline(first);
	double second_deadline = ws_job_deadline(second);

	if (ws_queue_rank(first) != ws_queue_rank(second))
		return ws_queue_rank(first) > ws_queue_rank(second) ? -1 : 1;
	/* Jobs that a subsystem moves are served in its order. Position 0 means none: the
	 * subtraction wraps it to the largest value, so that it comes last. */
	if (first->move_position != second->move_position)
		return first->move_position - 1 < second->move_position - 1 ? -1 : 1;
	if (first_deadline != second_deadline)
		return first_deadline < second_deadline ? -1 : 1;
	return ws_job_age_order(first, second);
}

static int ws_job_age_compare(const void *left, const void *right)
{
	return ws_job_age_order(*(struct ws_job *const *)left, *(struct ws_job *const *)right);
}

/* A job is guaranteed if all its tasks, along with those of the team's older jobs, fit into the
 * team's guarantee. */
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
