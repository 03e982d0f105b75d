/* Stops of all controllers, records that the store loses, and what scenarios expect of a start. */
#include "sim_parts.h"

static void coldstart_log(const char *text)
{
	sim_log(WS_LOG_INFO, text);
}

void sim_cold_start_attach(struct sim *sim, struct sim_node *node)
{
	const char *names[8];
	struct ws_cluster_limits limits;

	if (!sim->coldstart_on || node->version != &sim_this_version)
		return;
	sim_cluster_limits(sim, node, names, &limits);
	node->coldstart = ws_cold_start_new(&sim->coldstart_settings, &limits, coldstart_log);
	ws_core_attach(node->core, &ws_cold_start_ops, node->coldstart);
}

/* subsystem coldstart [keep=S] [share=X] */
bool sim_cold_start_line(struct sim *sim, const char *word, const char *full)
{
	if (strcmp(word, "subsystem") != 0 || !strstr(full, " coldstart"))
		return false;
	sim->coldstart_on = true;
	sim->coldstart_settings.keep_s = sim_option(full, "keep", sim->coldstart_settings.keep_s);
	sim->coldstart_settings.heard_share =
	    sim_option(full, "share", sim->coldstart_settings.heard_share);
	return true;
}

/* ---- what befalls the cluster ---- */

void sim_cold_start_stopped(struct sim *sim)
{
	sim->stop = (struct sim_stop){
	    .stopped_at = sim->now,
	    .run_commands = sim->run_commands,
	    .stop_commands = sim->stop_commands,
	    .changes = sim->changes,
	    .rented = (uint64_t)sim->rented,
	};
}

/* When the first controller is back after a stop, and when one leads. */
void sim_cold_start_step(struct sim *sim)
{
	if (sim->stop.stopped_at <= 0)
		return;
	for (int i = 0; i < sim->node_count && sim->stop.up_at <= 0; i++)
		if (sim->nodes[i].is_up)
			sim->stop.up_at = sim->now;
	if (sim->stop.led_at <= 0 && sim_leader(sim) >= 0)
		sim->stop.led_at = sim->now;
}

/* All end, and come back one by one: the first after FIRST, the others EVERY apart. */
static void crash_in_turn(struct sim *sim, const char *full)
{
	double back = sim_option(full, "first", 5);

	sim_cold_start_stopped(sim);
	for (int i = 0; i < sim->node_count; i++) {
		sim_node_crash(sim, i, back);
		back += sim_option(full, "every", 5);
	}
}

/* Machines lose what they run, and are back after a while with a new incarnation. */
static void power_loss(struct sim *sim, const char *full)
{
	double share = sim_option(full, "share", 1), part = 0;
	char zone[32] = "";

	sim_option_text(full, "zone", zone, sizeof(zone));
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (worker->dead || worker->deleted || !worker->is_up ||
		    (zone[0] && strcmp(zone, worker->zone) != 0))
			continue;
		part += share;
		if (part < 1 - 1e-9)
			continue;
		part -= 1;
		sim_cold_start_killed(sim, worker);
		worker->task_count = worker->image_count = 0;
		worker->incarnation++;
		worker->waiting = false;
		worker->hang_until = sim->now + sim_option(full, "for", 5);
		worker->answered_sent = worker->next_heartbeat_at = worker->hang_until;
	}
}

/* A record is as it was so many versions ago; without one, it is gone. */
static void record_back(struct sim *sim, const char *key, int versions)
{
	json_t *value = NULL;
	int skip = versions;

	for (size_t i = sim->history_count; i-- > 0 && skip >= 0;)
		if (!strcmp(sim->history[i].key, key) && skip-- == 0)
			value = json_incref(sim->history[i].value);
	sim->revision++;
	sim_kv_put(sim, key, value, 0);
	json_decref(value);
}

/* The store has never heard of a job: its user waits for nothing until it is sent again. */
static void record_lost(struct sim *sim, const char *key)
{
	struct sim_job *job = strncmp(key, "job/", 4) ? NULL : sim_job_of(sim, key + 4);

	sim->revision++;
	sim_kv_put(sim, key, NULL, 0);
	if (!job)
		return;
	job->accepted = false;
	job->pending_request = 0;
	job->next_try = INFINITY;
}

/* The task that a worker has, as if another one had it too; its attempt's number differs by N. */
static void twin(struct sim *sim, const char *from, const char *target, int64_t by)
{
	struct sim_worker *a = NULL, *b = NULL;

	for (int i = 0; i < sim->worker_count; i++) {
		if (strcmp(from, "busiest") ? !strcmp(sim->workers[i].name, from)
					    : !a || sim->workers[i].task_count > a->task_count)
			a = &sim->workers[i];
		if (!strcmp(sim->workers[i].name, target))
			b = &sim->workers[i];
	}
	if (!a || !b || !a->task_count || b->task_count == SIM_TASKS) {
		sim_fail(sim, "no task of %s for %s", from, target);
		return;
	}
	b->tasks[b->task_count] = a->tasks[0];
	b->tasks[b->task_count].attempt += (uint64_t)by;
	b->tasks[b->task_count].state = WS_TASK_FETCHING;
	b->tasks[b->task_count++].seconds_left = 1e6;
	sim_worker_changed(b, sim->now);
}

/*
 * crash-in-turn first=S every=S | power-loss for=S [share=X] [zone=Z] | lose-record KEY | resubmit
 * JOB | old-record KEY [back=N] | twin FROM to=MACHINE [by=N] | coldstart-format KEY
 */
bool sim_cold_start_act(struct sim *sim, const char *verb, const char *name, const char *full)
{
	char to[WS_NAME_MAX] = "";

	if (!strcmp(verb, "crash-in-turn")) {
		crash_in_turn(sim, full);
	} else if (!strcmp(verb, "power-loss")) {
		power_loss(sim, full);
	} else if (!strcmp(verb, "lose-record")) {
		record_lost(sim, name);
	} else if (!strcmp(verb, "resubmit")) {
		if (sim_job_of(sim, name))
			sim_job_of(sim, name)->next_try = sim->now;
	} else if (!strcmp(verb, "old-record")) {
		record_back(sim, name, (int)sim_option(full, "back", 1));
	} else if (!strcmp(verb, "twin")) {
		sim_option_text(full, "to", to, sizeof(to));
		twin(sim, name, to, (int64_t)sim_option(full, "by", 0));
	} else if (!strcmp(verb, "coldstart-format")) { /* a later version's record */
		json_t *value = json_pack("{s:i,s:s}", "v", 9, "phase", "observing");

		sim->revision++;
		sim_kv_put(sim, name, value, 0);
		json_decref(value);
	} else {
		return false;
	}
	return true;
}

/* ---- orders, and what they do to healthy work ---- */

/* Whether a worker has a task that would go on by itself: its lease runs and its machine is there.
 */
static bool task_alive(const struct sim *sim, const struct sim_worker *worker,
		       const struct sim_task *task)
{
	return task->state != WS_TASK_EXITED && !worker->dead && !worker->deleted &&
	       worker->is_up && sim->now - worker->answered_sent <= sim->lease;
}

static int tasks_alive(const struct sim *sim, const char *job)
{
	int n = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			n += !strcmp(sim->workers[i].tasks[k].job, job) &&
			     task_alive(sim, &sim->workers[i], &sim->workers[i].tasks[k]);
	return n;
}

/* The rule of every scenario: no order starts anew what is alive somewhere. */
static void check_restart(struct sim *sim, const struct sim_worker *taker,
			  const struct ws_command *command)
{
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (int k = 0; k < worker->task_count; k++) {
			const struct sim_task *task = &worker->tasks[k];

			if (task->task == command->task && !strcmp(task->job, command->job) &&
			    task_alive(sim, worker, task))
				sim_fail(sim, "restarted: %s/%u is to run on %s while on %s",
					 command->job, command->task, taker->name, worker->name);
		}
	}
}

void sim_cold_start_order(struct sim *sim, const struct sim_worker *worker,
			  const struct ws_command *command, const struct sim_task *task)
{
	const struct sim_job *job = sim_job_of(sim, command->job);

	switch (command->kind) {
	case WS_COMMAND_RUN:
		sim->run_commands++;
		if (!task)
			check_restart(sim, worker, command);
		break;
	case WS_COMMAND_STOP:
		sim->stop_commands++;
		if (task && task->state != WS_TASK_EXITED && job && !job->cancelled &&
		    job->abort_at <= 0 && worker->preemption_notice_at <= 0)
			sim->healthy_stops++;
		break;
	case WS_COMMAND_REAP: sim->reap_commands++; break;
	}
}

void sim_cold_start_killed(struct sim *sim, const struct sim_worker *worker)
{
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_job *job = sim_job_of(sim, worker->tasks[i].job);

		if (!job || worker->tasks[i].state == WS_TASK_EXITED || job->cancelled)
			continue;
		if (!job->killed_at)
			job->killed_at = calloc(job->spec.tasks, sizeof(*job->killed_at));
		job->killed_at[worker->tasks[i].task] = sim->now;
		sim->killed++;
	}
}

void sim_cold_start_started(struct sim *sim, struct sim_job *job, uint32_t task)
{
	if (!job->killed_at || job->killed_at[task] <= 0)
		return;
	sim->restarted++;
	sim->restart_sum += sim->now - job->killed_at[task];
	sim->restart_last = sim->now;
	job->killed_at[task] = 0;
}

/* ---- what scenarios expect ---- */

static json_t *record_field(struct sim *sim, const char *key, const char *field)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, key, entry);
	return entry ? json_object_get(entry->value, field) : NULL;
}

static const char *phase(struct sim *sim)
{
	const char *text = json_string_value(record_field(sim, "coldstart/phase", "phase"));

	return text ? text : "none";
}

/* A count of the account: of a reconciliation result, or one of its own. */
static double account(struct sim *sim, const char *name)
{
	json_t *findings = record_field(sim, "coldstart/account", "findings");
	json_t *count = json_object_get(findings, name);

	return json_number_value(count ? count : record_field(sim, "coldstart/account", name));
}

/* How many cold starts were begun, each by a leader of its own. */
static int cold_starts(struct sim *sim)
{
	json_int_t last = 0;
	int n = 0;

	for (size_t i = 0; i < sim->history_count; i++) {
		json_int_t began;

		if (strcmp(sim->history[i].key, "coldstart/phase") != 0 || !sim->history[i].value)
			continue;
		began = json_integer_value(json_object_get(sim->history[i].value, "began"));
		n += began != last;
		last = began;
	}
	return n;
}

/* How many workers that are there were answered since the last stop; when the last of them was. */
static int answered(const struct sim *sim, int *live, double *first, double *last)
{
	int n = 0;

	*live = 0;
	*first = 1e18;
	*last = 0;
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		if (!sim_worker_live(sim, worker))
			continue;
		(*live)++;
		if (worker->answered_since <= sim->stop.stopped_at)
			continue;
		n++;
		*first = fmin(*first, worker->answered_since);
		*last = fmax(*last, worker->answered_since);
	}
	return n;
}

/* What a measurement by hand takes down, with -v: see docs/measurements.md. */
static void measured(struct sim *sim)
{
	int live, n;
	double first, last;

	n = answered(sim, &live, &first, &last);
	fprintf(stderr,
		"measured: stopped at %.1f, first back after %.1f s, leading %.2f s later; %d of "
		"%d workers answered since\n",
		sim->stop.stopped_at, sim->stop.up_at - sim->stop.stopped_at,
		sim->stop.led_at - sim->stop.up_at, n, live);
	fprintf(stderr,
		"measured: since the stop %llu run orders, %llu stop orders, %llu changes, %llu "
		"rented\n",
		(unsigned long long)(sim->run_commands - sim->stop.run_commands),
		(unsigned long long)(sim->stop_commands - sim->stop.stop_commands),
		(unsigned long long)(sim->changes - sim->stop.changes),
		(unsigned long long)((uint64_t)sim->rented - sim->stop.rented));
	fprintf(stderr,
		"measured: %d killed by their lease, %d of them ran again after %.2f s on average, "
		"the last %.1f s after the stop; %llu stops of healthy work\n",
		sim->killed, sim->restarted, sim->restarted ? sim->restart_sum / sim->restarted : 0,
		sim->restart_last - sim->stop.stopped_at, (unsigned long long)sim->healthy_stops);
}

/* answered-within S: every worker that is there, so long after the first controller was back */
static void expect_answered(struct sim *sim, const char *within)
{
	int live;
	double first, last;
	int n = answered(sim, &live, &first, &last);

	if (sim_verbose)
		fprintf(stderr, "answered: %d of %d, first %.2f, last %.2f s\n", n, live,
			first - sim->stop.up_at, last - sim->stop.up_at);
	if (n < live || last - sim->stop.up_at > atof(within))
		sim_fail(sim, "%d of %d workers were answered, the last after %.2f s", n, live,
			 last - sim->stop.up_at);
}

bool sim_cold_start_expect(struct sim *sim, const char *what, const char *first, const char *second,
			   const char *third)
{
	double n;

	if (!strcmp(what, "phase")) {
		if (strcmp(phase(sim), first) != 0)
			sim_fail(sim, "the phase is %s", phase(sim));
		return true;
	}
	if (!strcmp(what, "cold-measured")) {
		if (sim_verbose)
			measured(sim);
		return true;
	}
	if (!strcmp(what, "answered-within")) {
		expect_answered(sim, first);
		return true;
	}
	if (!strcmp(what, "coldstart-steps")) { /* of the leader, for each report it was sent */
		int leader = sim_leader(sim);

		n = leader < 0 ? INFINITY
			       : (double)ws_cold_start_steps(sim->nodes[leader].coldstart) /
				     (double)sim->reports;
		if (n > atof(first))
			sim_fail(sim, "%.2f steps a report", n);
		return true;
	}
	if (!strcmp(what, "alive")) { /* tasks of a job on machines, fetching ones included */
		n = tasks_alive(sim, first);
		if (!sim_compare(n, second, third))
			sim_fail(sim, "alive %s: %.0f", first, n);
		return true;
	}
	if (!strcmp(what, "account")) {
		n = account(sim, first);
		if (!sim_compare(n, second, third))
			sim_fail(sim, "account %s: %.0f", first, n);
		return true;
	}
	if (!strcmp(what, "cold-starts")) { /* how many were begun */
		n = cold_starts(sim);
	} else if (!strcmp(what, "killed"))
		n = sim->killed;
	else if (!strcmp(what, "healthy-stops"))
		n = (double)sim->healthy_stops;
	else if (!strcmp(what, "run-orders-since"))
		n = (double)(sim->run_commands - sim->stop.run_commands);
	else if (!strcmp(what, "rented-since"))
		n = (double)((uint64_t)sim->rented - sim->stop.rented);
	else if (!strcmp(what, "restarts-within")) /* of the stop: when the last one ran again */
		n = sim->restart_last - sim->stop.stopped_at;
	else
		return false;
	if (!sim_compare(n, first, second))
		sim_fail(sim, "%s: %.1f", what, n);
	return true;
}
