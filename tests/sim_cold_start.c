/* Cold starts: stops of all controllers, lost records, power losses, and their expectations. */
#include "sim_nodes.h"
#include "sim_store.h"
#include "sim_subsystems.h"
#include "sim_workers.h"

#define UNBOUNDED_S 1e6 /* longer than any scenario */

static void log_line(const char *text)
{
	sim_log(WS_LOG_INFO, text);
}

void sim_cold_start_attach(struct sim *sim, struct sim_node *node)
{
	const char *names[SIM_ZONES];
	struct ws_cluster_limits limits;

	if (!sim->cold_start_enabled || node->version != &sim_this_version)
		return;
	sim_fill_cluster_limits(sim, node, names, &limits);
	node->cold_start = ws_cold_start_new(&sim->cold_start_settings, &limits, log_line);
	ws_core_attach(node->core, &ws_cold_start_ops, node->cold_start);
}

void sim_cold_start_configure(struct sim *sim, const char *text)
{
	struct ws_cold_start_settings *settings = &sim->cold_start_settings;

	sim->cold_start_enabled = true;
	settings->quarantine_s = sim_option(text, "quarantine", settings->quarantine_s);
	settings->answered_share = sim_option(text, "share", settings->answered_share);
}

/* ---- faults of the cluster ---- */

void sim_cold_start_controllers_stopped(struct sim *sim)
{
	sim->stop = (struct sim_stop){
	    .stopped_at = sim->now,
	    .run_commands = sim->run_commands,
	    .stop_commands = sim->stop_commands,
	    .changes = sim->changes,
	    .scaled_out = (uint64_t)sim->scaled_out,
	};
}

void sim_cold_start_step(struct sim *sim)
{
	if (sim->stop.stopped_at <= 0)
		return;
	for (int i = 0; i < sim->node_count && sim->stop.restarted_at <= 0; i++)
		if (sim->nodes[i].is_up)
			sim->stop.restarted_at = sim->now;
	if (sim->stop.elected_at <= 0 && sim_leader(sim) >= 0)
		sim->stop.elected_at = sim->now;
}

/* staggered-restart [first=S] [every=S]: all controllers stop, and restart one after another */
static void run_staggered_restart(struct sim *sim, const struct sim_action *action)
{
	double down_s = sim_option(action->text, "first", 5);

	sim_cold_start_controllers_stopped(sim);
	for (int i = 0; i < sim->node_count; i++) {
		sim_node_crash(sim, i, down_s);
		down_s += sim_option(action->text, "every", 5);
	}
}

/* Kills the tasks of a machine, which restarts after `down_s` seconds with a new incarnation. */
static void lose_power(struct sim *sim, struct sim_worker *worker, double down_s)
{
	sim_cold_start_tasks_killed(sim, worker);
	worker->task_count = 0;
	worker->image_count = 0;
	worker->incarnation++;
	worker->heartbeat_pending = false;
	worker->hang_until = sim->now + down_s;
	worker->lease_renewed_at = worker->hang_until;
	worker->next_heartbeat_at = worker->hang_until;
}

/* power-loss [for=S] [share=X] [zone=Z] */
static void run_power_loss(struct sim *sim, const struct sim_action *action)
{
	double share = sim_option(action->text, "share", 1), accumulated_share = 0;
	char zone[32] = "";

	sim_option_text(action->text, "zone", zone, sizeof(zone));
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (worker->failed || worker->deleted || !worker->is_up ||
		    (zone[0] && strcmp(zone, worker->zone) != 0))
			continue;
		accumulated_share += share;
		if (accumulated_share < 1 - 1e-9)
			continue;
		accumulated_share -= 1;
		lose_power(sim, worker, action->duration_s);
	}
}

/*
 * roll-back-record KEY [versions=N]: restores the value N versions ago; deletes the key if there is
 * none
 */
static void run_roll_back_record(struct sim *sim, const struct sim_action *action)
{
	int skip = (int)sim_option(action->text, "versions", 1);
	json_t *value = NULL;

	for (size_t i = sim->history_count; i-- > 0 && skip >= 0;)
		if (!strcmp(sim->history[i].key, action->operand) && skip-- == 0)
			value = json_incref(sim->history[i].value);
	sim->revision++;
	sim_store_write(sim, action->operand, value, 0);
	json_decref(value);
}

/* lose-record KEY: deletes it; if it is a job's, the user is idle until the job is resubmitted */
static void run_lose_record(struct sim *sim, const struct sim_action *action)
{
	static const char prefix[] = "job/";
	const char *key = action->operand;
	struct sim_job *job = strncmp(key, prefix, strlen(prefix)) != 0
				  ? NULL
				  : sim_find_job(sim, key + strlen(prefix));

	sim->revision++;
	sim_store_write(sim, key, NULL, 0);
	if (!job)
		return;
	job->accepted = false;
	job->pending_request = 0;
	job->next_try_at = INFINITY;
}

/* resubmit JOB */
static void run_resubmit(struct sim *sim, const struct sim_action *action)
{
	struct sim_job *job = sim_find_job(sim, action->operand);

	if (job)
		job->next_try_at = sim->now;
}

/*
 * Returns the worker of this name, or NULL if there is none. The name "busiest" stands for the
 * first of the workers with the most tasks.
 */
static struct sim_worker *worker_named(struct sim *sim, const char *name)
{
	bool is_busiest = !strcmp(name, "busiest");
	struct sim_worker *found = NULL;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (is_busiest ? !found || worker->task_count > found->task_count
			       : !strcmp(worker->name, name))
			found = worker;
	}
	return found;
}

/*
 * duplicate-attempt FROM target=MACHINE [attempt-offset=N]: copies the first task of worker FROM to
 * another worker, and adds N to the copy's attempt number
 */
static void run_duplicate_attempt(struct sim *sim, const struct sim_action *action)
{
	char target_name[WS_NAME_MAX] = "";
	struct sim_worker *from = worker_named(sim, action->operand), *target;
	struct sim_task *task;

	sim_option_text(action->text, "target", target_name, sizeof(target_name));
	target = from ? worker_named(sim, target_name) : NULL;
	if (!target || !from->task_count) {
		sim_fail(sim, "can't copy a task from worker %s to worker '%s'", action->operand,
			 target_name);
		return;
	}
	task = sim_worker_add_task(target);
	*task = from->tasks[0];
	task->attempt += (uint64_t)(int64_t)sim_option(action->text, "attempt-offset", 0);
	task->state = WS_TASK_FETCHING;
	task->seconds_left = UNBOUNDED_S;
	sim_worker_expedite_heartbeat(target, sim->now);
}

/* newer-cold-start-record KEY: replaces the record by one in a later format */
static void run_newer_cold_start_record(struct sim *sim, const struct sim_action *action)
{
	json_t *value = json_pack("{s:i,s:s}", "v", 9, "phase", "observing");

	sim->revision++;
	sim_store_write(sim, action->operand, value, 0);
	json_decref(value);
}

const struct sim_action_word sim_cold_start_actions[] = {
    {"duplicate-attempt", run_duplicate_attempt},
    {"lose-record", run_lose_record},
    {"newer-cold-start-record", run_newer_cold_start_record},
    {"power-loss", run_power_loss},
    {"resubmit", run_resubmit},
    {"roll-back-record", run_roll_back_record},
    {"staggered-restart", run_staggered_restart},
    {NULL, NULL},
};

/* ---- commands, and healthy tasks that they stop or restart ---- */

/* Returns whether a task is alive: it has not exited, its machine is up and its lease runs. */
static bool is_task_alive(const struct sim *sim, const struct sim_worker *worker,
			  const struct sim_task *task)
{
	return task->state != WS_TASK_EXITED && !worker->failed && !worker->deleted &&
	       worker->is_up && sim->now - worker->lease_renewed_at <= sim->lease_s;
}

/* Counts the live tasks of a job, including those that fetch their image. */
static double count_live_tasks(struct sim *sim, const char *job)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			count += !strcmp(sim->workers[i].tasks[k].job, job) &&
				 is_task_alive(sim, &sim->workers[i], &sim->workers[i].tasks[k]);
	return count;
}

/*
 * Checks, in every scenario, that no command starts a task that is alive on some machine. The copy
 * of a call at a worker that has accepted no message since it started is exempt: no controller can
 * prevent it, and the task is not on that machine before it has its image (sim_check_start()).
 */
static void check_duplicate_start(struct sim *sim, const struct sim_worker *receiver,
				  const struct ws_command *command)
{
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (int k = 0; k < worker->task_count; k++) {
			const struct sim_task *task = &worker->tasks[k];

			if (task->task == command->task && !strcmp(task->job, command->job) &&
			    is_task_alive(sim, worker, task))
				sim_fail(sim,
					 "duplicate start: %s/%u is sent to %s while alive on %s",
					 command->job, command->task, receiver->name, worker->name);
		}
	}
}

void sim_cold_start_command_received(struct sim *sim, const struct sim_worker *worker,
				     const struct ws_command *command, const struct sim_task *task)
{
	const struct sim_job *job = sim_find_job(sim, command->job);

	switch (command->kind) {
	case WS_COMMAND_RUN:
		sim->run_commands++;
		if (!task && !sim->copy_precedes_contact)
			check_duplicate_start(sim, worker, command);
		break;
	case WS_COMMAND_STOP:
		sim->stop_commands++;
		if (task && task->state != WS_TASK_EXITED && job && !job->cancelled &&
		    job->cancel_at <= 0 && worker->preemption_notice_at <= 0)
			sim->healthy_stops++;
		break;
	case WS_COMMAND_REAP: sim->reap_commands++; break;
	}
}

void sim_cold_start_tasks_killed(struct sim *sim, const struct sim_worker *worker)
{
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_job *job = sim_find_job(sim, worker->tasks[i].job);

		if (!job || worker->tasks[i].state == WS_TASK_EXITED || job->cancelled)
			continue;
		if (!job->killed_at)
			job->killed_at = calloc(job->spec.tasks, sizeof(*job->killed_at));
		job->killed_at[worker->tasks[i].task] = sim->now;
		sim->killed_tasks++;
	}
}

void sim_cold_start_task_started(struct sim *sim, struct sim_job *job, uint32_t task)
{
	if (!job->killed_at || job->killed_at[task] <= 0)
		return;
	sim->restarted_tasks++;
	sim->restart_delay_sum_s += sim->now - job->killed_at[task];
	sim->last_restart_at = sim->now;
	job->killed_at[task] = 0;
}

/* ---- expectations of scenarios ---- */

static json_t *record_field(struct sim *sim, const char *key, const char *field)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, key, entry);
	return entry ? json_object_get(entry->value, field) : NULL;
}

static const char *recorded_phase(struct sim *sim)
{
	const char *text = json_string_value(record_field(sim, "coldstart/phase", "phase"));

	return text ? text : "none";
}

/* Returns a count of the account record: a field of `findings`, or else one of the record. */
static double count_account(struct sim *sim, const char *name)
{
	json_t *findings = record_field(sim, "coldstart/account", "findings");
	json_t *count = json_object_get(findings, name);

	return json_number_value(count ? count : record_field(sim, "coldstart/account", name));
}

/* Counts the cold starts, which differ in the field `began` of the phase record. */
static double count_cold_starts(struct sim *sim)
{
	json_int_t last = 0;
	int count = 0;

	for (size_t i = 0; i < sim->history_count; i++) {
		json_int_t began;

		if (strcmp(sim->history[i].key, "coldstart/phase") != 0 || !sim->history[i].value)
			continue;
		began = json_integer_value(json_object_get(sim->history[i].value, "began"));
		count += began != last;
		last = began;
	}
	return count;
}

/* Live workers, and those of them whose heartbeats were answered since the last stop. */
struct answered_workers {
	int live, answered;
	double first, last; /* times of the first and the last worker's first answer */
};

static struct answered_workers find_answered(const struct sim *sim)
{
	struct answered_workers found = {.first = INFINITY};

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		if (!sim_worker_is_live(sim, worker))
			continue;
		found.live++;
		if (worker->reconnected_at <= sim->stop.stopped_at)
			continue;
		found.answered++;
		found.first = fmin(found.first, worker->reconnected_at);
		found.last = fmax(found.last, worker->reconnected_at);
	}
	return found;
}

static double count_killed(struct sim *sim)
{
	return sim->killed_tasks;
}

static double count_healthy_stops(struct sim *sim)
{
	return (double)sim->healthy_stops;
}

static double count_run_commands_since(struct sim *sim)
{
	return (double)(sim->run_commands - sim->stop.run_commands);
}

static double count_scaled_out_since(struct sim *sim)
{
	return (double)((uint64_t)sim->scaled_out - sim->stop.scaled_out);
}

/* Returns how many seconds after the stop the last killed task ran again. */
static double last_restart_s(struct sim *sim)
{
	return sim->last_restart_at - sim->stop.stopped_at;
}

/* Prints the figures for manual measurements, described in docs/measurements.md. */
static void print_measurements(struct sim *sim)
{
	struct answered_workers found = find_answered(sim);

	fprintf(stderr,
		"measured: stopped at %.1f s, first node up after %.1f s, a leader %.2f s later; "
		"%d of %d workers answered since\n",
		sim->stop.stopped_at, sim->stop.restarted_at - sim->stop.stopped_at,
		sim->stop.elected_at - sim->stop.restarted_at, found.answered, found.live);
	fprintf(stderr,
		"measured: since the stop %.0f run commands, %llu stop commands, %llu changes, "
		"%.0f instances scaled out\n",
		count_run_commands_since(sim),
		(unsigned long long)(sim->stop_commands - sim->stop.stop_commands),
		(unsigned long long)(sim->changes - sim->stop.changes),
		count_scaled_out_since(sim));
	fprintf(stderr,
		"measured: %d tasks killed, %d of them ran again after %.2f s on average, the last "
		"%.1f s after the stop; %llu stop commands to healthy tasks\n",
		sim->killed_tasks, sim->restarted_tasks,
		sim->restarted_tasks ? sim->restart_delay_sum_s / sim->restarted_tasks : 0,
		last_restart_s(sim), (unsigned long long)sim->healthy_stops);
}

/* print-cold-start-measurements: with -v, prints the figures for manual measurements */
static void handle_print_measurements(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	if (sim_verbose)
		print_measurements(sim);
}

/* cold-start-phase NAME */
static void check_phase(struct sim *sim, const struct sim_expectation *expectation)
{
	if (strcmp(recorded_phase(sim), expectation->first) != 0)
		sim_fail(sim, "the phase of the cold start is %s, not %s", recorded_phase(sim),
			 expectation->first);
}

/*
 * workers-answered-within S: all live workers are answered within S after the first controller is
 * up
 */
static void check_answered(struct sim *sim, const struct sim_expectation *expectation)
{
	struct answered_workers found = find_answered(sim);
	double last = found.last - sim->stop.restarted_at;

	if (sim_verbose)
		fprintf(stderr, "answered: %d of %d workers, first after %.2f, last after %.2f s\n",
			found.answered, found.live, found.first - sim->stop.restarted_at, last);
	if (found.answered < found.live || last > atof(expectation->first))
		sim_fail(sim,
			 "%d of %d workers were answered, the last after %.2f s, the limit is %s s",
			 found.answered, found.live, last, expectation->first);
}

/* cold-start-steps-per-heartbeat NUMBER: at most so many steps of the leader per heartbeat sent */
static void check_steps(struct sim *sim, const struct sim_expectation *expectation)
{
	int leader = sim_leader(sim);
	double steps = leader < 0
			   ? INFINITY
			   : (double)ws_cold_start_operations(sim->nodes[leader].cold_start) /
				 (double)sim->heartbeats;

	if (steps > atof(expectation->first))
		sim_fail(sim, "%.2f steps per heartbeat, the limit is %s", steps,
			 expectation->first);
}

const struct sim_expect_word sim_cold_start_expectations[] = {
    {"account", 3, .count_of = count_account},
    {"cold-start-phase", 1, .check = check_phase},
    {"cold-start-steps-per-heartbeat", 1, .check = check_steps},
    {"cold-starts", 2, .count = count_cold_starts},
    {"healthy-stops", 2, .count = count_healthy_stops},
    {"killed-tasks", 2, .count = count_killed},
    {"last-restart-after-stop", 2, .count = last_restart_s},
    {"live-tasks", 3, .count_of = count_live_tasks},
    {"print-cold-start-measurements", 0, .check = handle_print_measurements},
    {"run-commands-since-stop", 2, .count = count_run_commands_since},
    {"scaled-out-since-stop", 2, .count = count_scaled_out_since},
    {"workers-answered-within", 1, .check = check_answered},
    {NULL},
};
