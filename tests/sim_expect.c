/* Expectations of scenarios about the cluster. */
#include "sim_checks.h"
#include "sim_records.h"
#include "sim_scenario.h"

/*
 * Returns the core of the leader, whose state may be read. Fails and returns NULL if no node leads
 * or the leader is of the version in production.
 */
static const struct ws_core *leading_core(struct sim *sim)
{
	int leader = sim_leader(sim);

	if (leader < 0) {
		sim_fail(sim, "no node leads");
		return NULL;
	}
	if (sim->nodes[leader].version != &sim_this_version) {
		sim_fail(sim, "node %d leads, but is of the version in production", leader);
		return NULL;
	}
	return sim->nodes[leader].core;
}

/* ---- jobs ---- */

/* done JOB */
static void check_done(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct sim_job *job = sim_find_job(sim, expectation->first);

	if (!job || !job->done)
		sim_fail(sim, "job %s is not done, only %u of its tasks are", expectation->first,
			 job ? job->completed : 0);
}

/* cancelled JOB */
static void check_cancelled(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct sim_job *job = sim_find_job(sim, expectation->first);
	int running = sim_count_running(sim, expectation->first);

	if (!job || !job->cancelled || running)
		sim_fail(sim, "job %s is not cancelled, or still runs (%d tasks)",
			 expectation->first, running);
}

/* status JOB CODE: the HTTP status of the last answer to its submission */
static void check_status(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct sim_job *job = sim_find_job(sim, expectation->first);

	if (!job || job->status != atoi(expectation->second))
		sim_fail(sim, "the submission of job %s was answered with status %d, not %s",
			 expectation->first, job ? job->status : 0, expectation->second);
}

/* started-within JOB SECONDS */
static void check_started_within(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct sim_job *job = sim_find_job(sim, expectation->first);
	bool has_started = job && job->started_at != 0;

	if (!has_started || job->started_at - job->submit_at > atof(expectation->second))
		sim_fail(sim, "job %s started after %.1f s, the limit is %s s", expectation->first,
			 has_started ? job->started_at - job->submit_at : -1.0,
			 expectation->second);
}

static void check_all_done(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	for (int i = 0; i < sim->job_count; i++)
		if (!sim->jobs[i].done)
			sim_fail(sim, "job %s is not done", sim->jobs[i].spec.id);
}

/* all-done-but-services: all jobs but services are done */
static void check_batch_done(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	for (int i = 0; i < sim->job_count; i++)
		if (!sim->jobs[i].done && !sim->jobs[i].spec.service)
			sim_fail(sim, "job %s is not done", sim->jobs[i].spec.id);
}

/* all-answered-within SECONDS: the last answer about each accepted job is not older than this */
static void check_answer_age(struct sim *sim, const struct sim_expectation *expectation)
{
	for (int i = 0; i < sim->job_count; i++) {
		const struct sim_job *job = &sim->jobs[i];

		if (job->accepted && sim->now - job->answered_at > atof(expectation->first))
			sim_fail(sim, "lost job: no answer about %s for %.0f s, the limit is %s s",
				 job->spec.id, sim->now - job->answered_at, expectation->first);
	}
}

static double count_running(struct sim *sim, const char *subject)
{
	return sim_count_running(sim, subject);
}

static double count_finished_runs(struct sim *sim, const char *subject)
{
	const struct sim_job *job = sim_find_job(sim, subject);

	return job ? job->finished_runs : 0;
}

/* ---- machines ---- */

/* exited-in-report: the largest number of exited tasks in a heartbeat */
static double count_exited_in_report(struct sim *sim)
{
	return (double)sim->most_exited_in_report;
}

/* starts-by-copies: tasks that a copy of an executed direct command started */
static double count_starts_by_copies(struct sim *sim)
{
	return sim->starts_by_copies;
}

/* deleted MACHINE */
static void check_deleted(struct sim *sim, const struct sim_expectation *expectation)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (!strcmp(sim->workers[i].name, expectation->first) && !sim->workers[i].deleted)
			sim_fail(sim, "machine %s is not deleted", expectation->first);
}

/*
 * max-worker-restarts COUNT: the maximum number of workers that restarted after a lease expiry or a
 * power loss
 */
static void check_worker_restarts(struct sim *sim, const struct sim_expectation *expectation)
{
	int restarted = 0;

	for (int i = 0; i < sim->worker_count; i++)
		restarted += sim->workers[i].is_up && sim->workers[i].incarnation > 1;
	if (restarted > atoi(expectation->first))
		sim_fail(sim,
			 "%d workers restarted after lease expiry or power loss, the limit is %s",
			 restarted, expectation->first);
}

static double count_scaled_out(struct sim *sim)
{
	return sim->scaled_out;
}

static double count_scaled_in(struct sim *sim)
{
	return sim->scaled_in;
}

/* Counts the instances of the cloud that exist. */
static double count_instances(struct sim *sim)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		count += !sim->workers[i].owned && !sim->workers[i].deleted;
	return count;
}

static double count_failures(struct sim *sim)
{
	return sim->task_failures;
}

static double count_incomplete_exits(struct sim *sim)
{
	return sim->incomplete_exits;
}

static double count_member_lost_exits(struct sim *sim)
{
	return sim->member_lost_exits;
}

static double count_checkpointed_attempts(struct sim *sim)
{
	return sim->checkpointed_attempts;
}

static double count_gang_runs(struct sim *sim)
{
	return sim->gang_runs;
}

/* ---- nodes and store ---- */

static void check_leader(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	if (sim_leader(sim) < 0)
		sim_fail(sim, "no node leads");
}

static void check_no_leader(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	if (sim_leader(sim) >= 0)
		sim_fail(sim, "node %d leads, none should", sim_leader(sim));
}

/* leader-version new|old */
static void check_leader_version(struct sim *sim, const struct sim_expectation *expectation)
{
	int leader = sim_leader(sim);
	bool expects_new = !strcmp(expectation->first, "new");

	if (leader < 0 || (sim->nodes[leader].version == &sim_this_version) != expects_new)
		sim_fail(sim, "node %d leads, not one of the %s version", leader,
			 expectation->first);
}

static bool is_healthy(const struct sim_node *node)
{
	return node->is_up && node->version->is_ready(node->core);
}

/* healthy-nodes COUNT */
static void check_healthy_nodes(struct sim *sim, const struct sim_expectation *expectation)
{
	int healthy = 0;

	for (int i = 0; i < sim->node_count; i++)
		healthy += is_healthy(&sim->nodes[i]);
	if (healthy != atoi(expectation->first))
		sim_fail(sim, "%d nodes are healthy, not %s", healthy, expectation->first);
}

/* healthy NODE | unhealthy NODE: the node runs and reports this health */
static void check_node_health(struct sim *sim, const struct sim_expectation *expectation)
{
	int index = atoi(expectation->first) % sim->node_count;
	const struct sim_node *node = &sim->nodes[index];

	if (!node->is_up || is_healthy(node) != !strcmp(expectation->word, "healthy"))
		sim_fail(sim, "node %d is not %s", index, expectation->word);
}

/* elections COUNT: the number of writes of the leader key */
static void check_elections(struct sim *sim, const struct sim_expectation *expectation)
{
	int elections = 0;

	for (size_t i = 0; i < sim->history_count; i++)
		elections += !strcmp(sim->history[i].key, "leader") && sim->history[i].value;
	if (elections != atoi(expectation->first))
		sim_fail(sim, "%d elections, not %s", elections, expectation->first);
}

static double count_rejected_writes(struct sim *sim)
{
	return sim->rejected_writes;
}

/* Returns the size of a key's value in bytes, or 0 if the key does not exist. */
static double count_value_bytes(struct sim *sim, const char *subject)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, subject, entry);
	return entry ? (double)json_dumpb(entry->value, NULL, 0, JSON_COMPACT) : 0;
}

/* on-record JOB: its records list all its running tasks */
static void check_on_record(struct sim *sim, const struct sim_expectation *expectation)
{
	sim_records_check_job(sim, expectation->first);
}

/* no-stray-records: every continuation record belongs to a live job */
static void check_no_stray_records(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	sim_records_check_strays(sim);
}

/* usable MACHINE: the leader may assign tasks to the machine */
static void check_usable(struct sim *sim, const struct sim_expectation *expectation)
{
	struct ws_core *core = (struct ws_core *)leading_core(sim);
	const struct ws_machine *machine = core ? ws_machine_find(core, expectation->first) : NULL;

	if (!machine || !ws_machine_is_usable(core, machine))
		sim_fail(sim, "machine %s is not usable", expectation->first);
}

/* ---- costs ---- */

/* jobs-in-memory COUNT: the maximum number of jobs in the memory of the leader */
static void check_jobs_in_memory(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct ws_core *core = leading_core(sim);
	int jobs = core ? (int)HASH_COUNT(core->jobs.by_id) : -1;

	if (jobs < 0 || jobs > atoi(expectation->first))
		sim_fail(sim, "the leader has %d jobs in memory, the limit is %s", jobs,
			 expectation->first);
}

/* per-pass steps COUNT: the maximum number of steps in the longest scheduling pass of the leader */
static void check_steps_per_pass(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct ws_core *core = leading_core(sim);

	if (core && core->scheduler.longest_pass_steps > (uint64_t)atoll(expectation->second))
		sim_fail(sim, "a scheduling pass took %llu steps, the limit is %s",
			 (unsigned long long)core->scheduler.longest_pass_steps,
			 expectation->second);
}

/*
 * Finds a counter of the cluster or, for other names, of the leader. Returns false if the leader's
 * state is needed and cannot be read.
 */
static bool find_counter(struct sim *sim, const char *name, double *cost)
{
	const struct {
		const char *name;
		uint64_t value;
	} counters[] = {{"store-requests", sim->store_requests},
			{"changes", sim->changes},
			{"commands", sim->commands},
			{"heartbeats", sim->heartbeats},
			{"watched-records", sim->watched_records},
			{"watched-bytes", sim->watched_bytes},
			{"written-bytes", sim->written_bytes}};
	const struct ws_core *core;

	for (size_t i = 0; i < sizeof(counters) / sizeof(counters[0]); i++)
		if (!strcmp(counters[i].name, name)) {
			*cost = (double)counters[i].value;
			return true;
		}
	core = leading_core(sim);
	if (!core)
		return false;
	if (!strcmp(name, "empty-collections"))
		*cost = (double)core->writer.empty_collections;
	else if (!strcmp(name, "sweep-steps"))
		*cost = (double)core->fleet.sweep_steps;
	else
		*cost = (double)core->scheduler.steps;
	return true;
}

/* per-start COST NUMBER | per-poll COST NUMBER: the maximum average per task start or per poll */
static void check_ratio(struct sim *sim, const struct sim_expectation *expectation)
{
	bool per_poll = !strcmp(expectation->word, "per-poll");
	double base = per_poll ? (double)sim->status_queries : (double)sim->starts, cost;

	if (!find_counter(sim, expectation->first, &cost))
		return; /* leading_core() has reported the failure */
	if (!base || cost / base > atof(expectation->second))
		sim_fail(sim, "%.3f %s %s, the limit is %s", base ? cost / base : -1,
			 expectation->first, expectation->word, expectation->second);
}

/* ---- evaluation of expectations ---- */

static const struct sim_expect_word cluster_expectations[] = {
    {"all-answered-within", 1, .check = check_answer_age},
    {"all-done", 0, .check = check_all_done},
    {"all-done-but-services", 0, .check = check_batch_done},
    {"cancelled", 1, .check = check_cancelled},
    {"checkpointed-attempts", 2, .count = count_checkpointed_attempts},
    {"deleted", 1, .check = check_deleted},
    {"done", 1, .check = check_done},
    {"elections", 1, .check = check_elections},
    {"exited-in-report", 2, .count = count_exited_in_report},
    {"finished-runs", 3, .count_of = count_finished_runs},
    {"gang-runs", 2, .count = count_gang_runs},
    {"healthy", 1, .check = check_node_health},
    {"healthy-nodes", 1, .check = check_healthy_nodes},
    {"incomplete-gang-exits", 2, .count = count_incomplete_exits},
    {"instances", 2, .count = count_instances},
    {"jobs-in-memory", 1, .check = check_jobs_in_memory},
    {"leader", 0, .check = check_leader},
    {"leader-version", 1, .check = check_leader_version},
    {"max-worker-restarts", 1, .check = check_worker_restarts},
    {"member-lost-exits", 2, .count = count_member_lost_exits},
    {"no-leader", 0, .check = check_no_leader},
    {"no-stray-records", 0, .check = check_no_stray_records},
    {"on-record", 1, .check = check_on_record},
    {"per-pass", 2, .check = check_steps_per_pass},
    {"per-poll", 2, .check = check_ratio},
    {"per-start", 2, .check = check_ratio},
    {"records", 3, .count_of = sim_records_count},
    {"rejected-writes", 2, .count = count_rejected_writes},
    {"running", 3, .count_of = count_running},
    {"scaled-in", 2, .count = count_scaled_in},
    {"scaled-out", 2, .count = count_scaled_out},
    {"started-within", 2, .check = check_started_within},
    {"starts-by-copies", 2, .count = count_starts_by_copies},
    {"status", 2, .check = check_status},
    {"task-failures", 2, .count = count_failures},
    {"unhealthy", 1, .check = check_node_health},
    {"usable", 1, .check = check_usable},
    {"value-bytes", 3, .count_of = count_value_bytes},
    {NULL},
};

static const struct sim_expect_word *find_expectation_word(const char *word)
{
	static const struct sim_expect_word *const tables[] = {
	    cluster_expectations, sim_domains_expectations, sim_cold_start_expectations};

	for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++)
		for (const struct sim_expect_word *entry = tables[i]; entry->word; entry++)
			if (!strcmp(entry->word, word))
				return entry;
	return NULL;
}

static void check_count(struct sim *sim, const struct sim_expectation *expectation, double count)
{
	if (!sim_compare(count, expectation->first, expectation->second))
		sim_fail(sim, "%s: %g, not %s %s", expectation->word, count, expectation->first,
			 expectation->second);
}

static void check_count_of(struct sim *sim, const struct sim_expectation *expectation, double count)
{
	if (!sim_compare(count, expectation->second, expectation->third))
		sim_fail(sim, "%s %s: %g, not %s %s", expectation->word, expectation->first, count,
			 expectation->second, expectation->third);
}

void sim_expect(struct sim *sim, char *text)
{
	int operands = sim_count_words(text) - 1;
	struct sim_expectation expectation = {.word = sim_next_word(&text)};
	const struct sim_expect_word *entry = find_expectation_word(expectation.word);

	if (!entry) {
		sim_fail(sim, "unknown expectation %s", expectation.word);
		return;
	}
	if (operands < entry->operands) {
		sim_fail(sim, "expect %s: operands are missing", expectation.word);
		return;
	}
	expectation.first = sim_next_word(&text);
	expectation.second = sim_next_word(&text);
	expectation.third = sim_next_word(&text);
	if (entry->check)
		entry->check(sim, &expectation);
	else if (entry->count)
		check_count(sim, &expectation, entry->count(sim));
	else
		check_count_of(sim, &expectation, entry->count_of(sim, expectation.first));
}
