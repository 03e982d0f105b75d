/* Timed actions of users: submissions, cancellations, and checks of the answers at all nodes. */
#include "sim_scenario.h"
#include "sim_users.h"

#define NEVER_SUBMITTED (-1)

static enum ws_priority_class priority_of(const char *text)
{
	char word[32] = "normal";

	sim_option_text(text, "priority", word, sizeof(word));
	if (!strcmp(word, "production"))
		return WS_PRIORITY_PRODUCTION;
	if (!strcmp(word, "urgent"))
		return WS_PRIORITY_URGENT;
	if (!strcmp(word, "best-effort"))
		return WS_PRIORITY_BEST_EFFORT;
	return WS_PRIORITY_NORMAL;
}

static void read_job_spec(const char *text, struct ws_job_spec *spec)
{
	snprintf(spec->job_class, sizeof(spec->job_class), "c");
	sim_option_text(text, "class", spec->job_class, sizeof(spec->job_class));
	snprintf(spec->team, sizeof(spec->team), "t");
	sim_option_text(text, "team", spec->team, sizeof(spec->team));
	spec->service = sim_flag(text, "service");
	spec->gang = sim_flag(text, "gang");
	spec->spread = sim_flag(text, "spread");
	spec->one_zone = sim_flag(text, "one-zone");
	spec->allows_preemptible = sim_flag(text, "preemptible");
	sim_option_text(text, "zone", spec->zone, sizeof(spec->zone));
	if (sim_option_text(text, "type", spec->types[0], sizeof(spec->types[0])))
		spec->type_count = 1;
	spec->priority = priority_of(text);
	spec->tasks = (uint32_t)sim_option(text, "tasks", 1);
	spec->cpus = sim_option(text, "cpus", 4);
	spec->mem_gb = sim_option(text, "mem-gb", 1);
	snprintf(spec->image, sizeof(spec->image), "img");
	sim_option_text(text, "image", spec->image, sizeof(spec->image));
	spec->image_gb = sim_option(text, "image-gb", 0.5);
	spec->deadline_s = sim_option(text, "deadline", -1);
	spec->estimate_s = sim_option(text, "estimate", 0);
	spec->checkpoint_interval_s = sim_option(text, "checkpoint-interval", 0);
	spec->checkpoint_duration_s = sim_option(text, "checkpoint-duration", 0);
}

static void add_job(struct sim *sim, const char *id, const char *text, double submit_at)
{
	struct sim_job *job = &sim->jobs[sim->job_count++];

	memset(job, 0, sizeof(*job));
	snprintf(job->spec.id, sizeof(job->spec.id), "%s", id);
	read_job_spec(text, &job->spec);
	job->run_s = sim_option(text, "run", 10);
	job->tasks_fail = sim_flag(text, "failing");
	job->submit_at = submit_at;
	job->node = sim->job_count;
	job->task_done = calloc(job->spec.tasks, sizeof(bool));
	HASH_ADD_KEYPTR(hh, sim->jobs_by_id, job->spec.id, strlen(job->spec.id), job);
}

/* submit ID [OPTION ...] */
static void run_submit(struct sim *sim, const struct sim_action *action)
{
	add_job(sim, action->operand, action->text, sim->now);
}

/* submit-many COUNT [first=N] [every=S] [OPTION ...]: submits jobs at intervals, from now on */
static void run_submit_many(struct sim *sim, const struct sim_action *action)
{
	int first = (int)sim_option(action->text, "first", 1);
	double every = sim_option(action->text, "every", SIM_STEP_S);

	for (int i = 0; i < atoi(action->operand) && sim->job_count < SIM_JOBS; i++) {
		char id[WS_ID_MAX];

		snprintf(id, sizeof(id), "job-%06d", first + i);
		add_job(sim, id, action->text, sim->now + i * every);
	}
}

/* poll-unsubmitted ID: polls a job that was never submitted */
static void run_poll_unsubmitted(struct sim *sim, const struct sim_action *action)
{
	add_job(sim, action->operand, action->text, NEVER_SUBMITTED);
}

/* abort ID [node=NODE]: the request is sent to this node first */
static void run_abort(struct sim *sim, const struct sim_action *action)
{
	struct sim_job *job = sim_find_job(sim, action->operand);
	char node[16];

	if (!job)
		return;
	job->cancel_at = sim->now;
	if (sim_option_text(action->text, "node", node, sizeof(node)))
		job->node = sim_node_index(sim, node) - 1;
}

/* abort-many COUNT [first=N] [every=S] */
static void run_abort_many(struct sim *sim, const struct sim_action *action)
{
	int first = (int)sim_option(action->text, "first", 1);
	double every = sim_option(action->text, "every", SIM_STEP_S);

	for (int i = 0; i < atoi(action->operand); i++) {
		char id[WS_ID_MAX];
		struct sim_job *job;

		snprintf(id, sizeof(id), "job-%06d", first + i);
		job = sim_find_job(sim, id);
		if (job)
			job->cancel_at = sim->now + i * every;
	}
}

/* abort-on-completion SHARE for=S: the fraction of jobs cancelled when their last task ends */
static void run_abort_on_completion(struct sim *sim, const struct sim_action *action)
{
	sim->cancel_on_completion_until = sim->now + action->duration_s;
	sim->cancel_on_completion_share = atof(action->operand);
}

/*
 * check-consistency ID: polls and resubmits the job at all nodes, and checks that the answers are
 * consistent
 */
static void run_check_consistency(struct sim *sim, const struct sim_action *action)
{
	struct sim_job *job = sim_find_job(sim, action->operand);

	if (job)
		sim_user_check_all_nodes(sim, job);
}

/*
 * check-consistency-on-change SHARE for=S: checks each job after each change of it, then cancels
 * this fraction
 */
static void run_check_consistency_on_change(struct sim *sim, const struct sim_action *action)
{
	sim->consistency_checks_until = sim->now + action->duration_s;
	sim->cancel_share = atof(action->operand);
}

const struct sim_action_word sim_user_actions[] = {
    {"abort", run_abort},
    {"abort-many", run_abort_many},
    {"abort-on-completion", run_abort_on_completion},
    {"check-consistency", run_check_consistency},
    {"check-consistency-on-change", run_check_consistency_on_change},
    {"poll-unsubmitted", run_poll_unsubmitted},
    {"submit", run_submit},
    {"submit-many", run_submit_many},
    {NULL, NULL},
};
