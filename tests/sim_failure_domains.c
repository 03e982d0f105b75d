/* Failure domains: zone failures, the subsystem that handles them, and its expectations. */
#include "sim_checks.h"
#include "sim_nodes.h"
#include "sim_store.h"
#include "sim_subsystems.h"

/* Downtime of the nodes whose version must not lead. */
#define OTHER_VERSION_DOWN_S 8

static void log_line(const char *text)
{
	sim_log(WS_LOG_INFO, text);
}

void sim_fill_cluster_limits(const struct sim *sim, const struct sim_node *node, const char **names,
			     struct ws_cluster_limits *limits)
{
	*limits = (struct ws_cluster_limits){
	    .heartbeat_s = sim->heartbeat_s,
	    .lease_s = sim->lease_s,
	    .store_write_rps = node->settings.store_write_rps,
	    .value_bytes = (size_t)(node->settings.value_kb * 1024),
	    .cancel_s = sim->cancel_s,
	    .node_zone = node->settings.zone,
	    .zones = names,
	    .zone_count = (size_t)sim->zone_count,
	};
	for (int i = 0; i < sim->zone_count; i++)
		names[i] = sim->zones[i];
}

void sim_domains_attach(struct sim *sim, struct sim_node *node)
{
	const char *names[SIM_ZONES];
	struct ws_domains_error error;
	struct ws_cluster_limits limits;
	struct ws_failure_domains *domains;

	if (!sim->domains_enabled || node->version != &sim_this_version)
		return;
	sim_fill_cluster_limits(sim, node, names, &limits);
	domains = ws_domains_new(&sim->domains_settings, &limits, log_line, &error);
	if (!domains) {
		sim_fail(sim, "domain %s, network %s: %s", error.domain, error.network,
			 ws_domains_error_text(error.code));
		return;
	}
	node->domains = domains;
	ws_core_attach(node->core, &ws_domains_ops, domains);
}

static struct ws_declared_domain *find_or_add_domain(struct ws_domains_settings *settings,
						     const char *name)
{
	struct ws_declared_domain *declared;

	for (size_t i = 0; i < settings->declared_count; i++)
		if (!strcmp(settings->declared[i].name, name))
			return &settings->declared[i];
	settings->declared =
	    realloc(settings->declared, ++settings->declared_count * sizeof(*settings->declared));
	declared = &settings->declared[settings->declared_count - 1];
	memset(declared, 0, sizeof(*declared));
	snprintf(declared->name, sizeof(declared->name), "%s", name);
	return declared;
}

void sim_domains_configure(struct sim *sim, const char *text)
{
	struct ws_domains_settings *settings = &sim->domains_settings;

	sim->domains_enabled = true;
	settings->hold_down_s = sim_option(text, "stable", settings->hold_down_s);
	settings->ramp_s = sim_option(text, "ramp", settings->ramp_s);
	settings->penalty_half_life_s =
	    sim_option(text, "half-life", settings->penalty_half_life_s);
}

/* network NAME CIDR */
static const char *parse_network(struct sim *sim, struct sim_setting *setting)
{
	struct ws_declared_domain *declared =
	    find_or_add_domain(&sim->domains_settings, sim_next_word(&setting->rest));
	size_t count = ++declared->network_count;

	declared->networks = realloc(declared->networks, count * sizeof(*declared->networks));
	snprintf(declared->networks[count - 1], WS_DOMAINS_NETWORK_MAX, "%s",
		 sim_next_word(&setting->rest));
	return NULL;
}

/* move-first CLASS */
static const char *parse_move_first(struct sim *sim, struct sim_setting *setting)
{
	struct ws_domains_settings *settings = &sim->domains_settings;
	size_t count = ++settings->class_count;

	settings->class_order =
	    realloc(settings->class_order, count * sizeof(*settings->class_order));
	snprintf(settings->class_order[count - 1], WS_DOMAINS_NAME_MAX, "%s",
		 sim_next_word(&setting->rest));
	return NULL;
}

const struct sim_setting_word sim_domains_settings_words[] = {
    {"move-first", 1, parse_move_first},
    {"network", 2, parse_network},
    {NULL, 0, NULL},
};

/* ---- zone failures ---- */

/* Starts to measure how long the tasks of a failed or unreachable machine take to run again. */
static void mark_displaced(struct sim *sim, const struct sim_worker *worker)
{
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_job *job = sim_find_job(sim, worker->tasks[i].job);

		if (!job || worker->tasks[i].state == WS_TASK_EXITED)
			continue;
		if (!job->displaced_at)
			job->displaced_at = calloc(job->spec.tasks, sizeof(*job->displaced_at));
		job->displaced_at[worker->tasks[i].task] = sim->now;
	}
}

void sim_domains_task_started(struct sim *sim, struct sim_job *job, uint32_t task)
{
	struct sim_moves *moves = NULL;
	double duration_s;

	if (!job->displaced_at || job->displaced_at[task] <= 0)
		return;
	duration_s = sim->now - job->displaced_at[task];
	job->displaced_at[task] = 0;
	for (int i = 0; i < sim->move_count; i++)
		if (!strcmp(sim->moves[i].job_class, job->spec.job_class))
			moves = &sim->moves[i];
	if (!moves && sim->move_count < SIM_CLASSES) {
		moves = &sim->moves[sim->move_count++];
		snprintf(moves->job_class, sizeof(moves->job_class), "%s", job->spec.job_class);
		moves->shortest_s = duration_s;
	}
	if (!moves)
		return;
	moves->count++;
	moves->shortest_s = fmin(moves->shortest_s, duration_s);
	moves->longest_s = fmax(moves->longest_s, duration_s);
	moves->total_s += duration_s;
}

/* Applies a zone failure to one of the zone's machines. */
static void apply_zone_fault(struct sim *sim, struct sim_worker *worker,
			     const struct sim_action *action)
{
	char kind[16] = "";

	sim_option_text(action->text, "only", kind, sizeof(kind));
	if (!strcmp(action->word, "kill-zone")) {
		worker->failed = true;
		worker->failed_at = sim->now;
	} else if (!strcmp(action->word, "delete-zone")) {
		worker->deleted = true;
		worker->deleted_at = sim->now;
	} else if (!strcmp(kind, "outbound")) {
		worker->outbound_blocked_until = sim->now + action->duration_s;
	} else if (!strcmp(kind, "inbound")) {
		worker->inbound_blocked_until = sim->now + action->duration_s;
	} else {
		worker->partitioned_until = sim->now + action->duration_s;
	}
}

/* Returns whether a fault affects the machines of this zone. */
static bool affects_zone(struct sim *sim, const struct sim_action *action, const char *zone)
{
	int leader = sim_leader(sim);

	if (!strcmp(action->word, "partition-other-zones"))
		return leader >= 0 && strcmp(sim->nodes[leader].settings.zone, zone) != 0;
	return !strcmp(action->operand, zone);
}

/*
 * partition-zone ZONE for=S [only=outbound|inbound] [share=X] | kill-zone ZONE | delete-zone ZONE
 * | partition-other-zones for=S
 * The fault affects the given share of the machines in these zones.
 */
static void run_zone_fault(struct sim *sim, const struct sim_action *action)
{
	double share = sim_option(action->text, "share", 1), accumulated_share = 0;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (!affects_zone(sim, action, worker->zone) || worker->deleted || worker->failed ||
		    !worker->is_up)
			continue;
		accumulated_share += share;
		if (accumulated_share < 1 - 1e-9)
			continue;
		accumulated_share -= 1;
		mark_displaced(sim, worker);
		apply_zone_fault(sim, worker, action);
	}
}

/* Writes a record of the subsystem, or deletes it if the value is NULL. Releases the value. */
static void write_record(struct sim *sim, const char *prefix, const char *name, json_t *value)
{
	char key[WS_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", prefix, name);
	sim->revision++;
	sim_store_write(sim, key, value, 0);
	json_decref(value);
}

/* hold-domain NAME: an operator keeps the domain in use */
static void run_hold_domain(struct sim *sim, const struct sim_action *action)
{
	write_record(sim, "zones/hold/", action->operand, json_pack("{s:i}", "v", 1));
}

/* release-domain NAME */
static void run_release_domain(struct sim *sim, const struct sim_action *action)
{
	write_record(sim, "zones/hold/", action->operand, NULL);
}

/* newer-domain-record NAME: replaces the domain's record by one in a later format */
static void run_newer_domain_record(struct sim *sim, const struct sim_action *action)
{
	write_record(sim, "zones/domain/", action->operand,
		     json_pack("{s:i,s:s}", "v", 9, "state", "dark"));
}

/*
 * lead-with-version old|new: stops the nodes of the other version, so that one of the named version
 * leads
 */
static void run_lead_with_version(struct sim *sim, const struct sim_action *action)
{
	bool is_new = !strcmp(action->operand, "new");

	for (int i = 0; i < sim->node_count; i++)
		if ((sim->nodes[i].version == &sim_this_version) != is_new)
			sim_node_crash(sim, i, OTHER_VERSION_DOWN_S);
}

const struct sim_action_word sim_domains_actions[] = {
    {"delete-zone", run_zone_fault},
    {"hold-domain", run_hold_domain},
    {"kill-zone", run_zone_fault},
    {"lead-with-version", run_lead_with_version},
    {"newer-domain-record", run_newer_domain_record},
    {"partition-other-zones", run_zone_fault},
    {"partition-zone", run_zone_fault},
    {"release-domain", run_release_domain},
    {NULL, NULL},
};

/* ---- expectations of scenarios ---- */

static const char *domain_state(struct sim *sim, const char *name)
{
	char key[WS_KEY_MAX];
	struct sim_entry *entry;
	const char *state = NULL;

	snprintf(key, sizeof(key), "zones/domain/%s", name);
	HASH_FIND_STR(sim->entries, key, entry);
	if (entry)
		state = json_string_value(json_object_get(entry->value, "state"));
	return state ? state : "healthy";
}

/* Counts the keys of the store that begin with a prefix. */
static double count_keys(struct sim *sim, const char *prefix)
{
	struct sim_entry *entry, *next_entry;
	int count = 0;

	HASH_ITER (hh, sim->entries, entry, next_entry)
		count += !strncmp(entry->key, prefix, strlen(prefix));
	return count;
}

/* Counts the tasks that run in a zone. */
static double count_running_in_zone(struct sim *sim, const char *zone)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		if (strcmp(worker->zone, zone) != 0 || worker->failed || worker->deleted)
			continue;
		for (int k = 0; k < worker->task_count; k++)
			count += sim_task_started(&worker->tasks[k]);
	}
	return count;
}

static void print_moves(const struct sim_moves *moves)
{
	fprintf(stderr, "measured: class %s: %d tasks moved, first %.1f, mean %.1f, last %.1f s\n",
		moves->job_class, moves->count, moves->shortest_s, moves->total_s / moves->count,
		moves->longest_s);
}

/* Prints the figures for manual measurements, described in docs/measurements.md. */
static void print_measurements(const struct sim *sim)
{
	int finishes = 0, done = 0, deadlines = 0, deadlines_met = 0;
	double price = 0;

	for (int i = 0; i < sim->job_count; i++) {
		const struct sim_job *job = &sim->jobs[i];
		bool has_deadline = job->spec.deadline_s >= 0;

		finishes += job->finished_runs;
		done += job->done;
		deadlines += has_deadline;
		deadlines_met += has_deadline && job->done &&
				 job->reported_done_at <= job->submit_at + job->spec.deadline_s;
	}
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];
		double hours =
		    ((worker->deleted ? worker->deleted_at : sim->now) - worker->scaled_out_at) /
		    3600;

		if (!worker->owned)
			price += hours * sim->types[worker->type].price;
	}
	fprintf(stderr, "measured: %d of %d deadlines met, rentals cost %.2f\n", deadlines_met,
		deadlines, price);
	fprintf(stderr,
		"measured: %llu starts, %d finishes, %d jobs done, %d rented, %d returned, "
		"%llu changes\n",
		(unsigned long long)sim->starts, finishes, done, sim->scaled_out, sim->scaled_in,
		(unsigned long long)sim->changes);
	for (int i = 0; i < sim->move_count; i++)
		print_moves(&sim->moves[i]);
}

/* print-measurements: with -v, prints the figures for manual measurements */
static void handle_print_measurements(struct sim *sim, const struct sim_expectation *expectation)
{
	(void)expectation;
	if (sim_verbose)
		print_measurements(sim);
}

static const struct sim_moves *find_moves(const struct sim *sim, const char *job_class)
{
	for (int i = 0; i < sim->move_count; i++)
		if (!strcmp(sim->moves[i].job_class, job_class))
			return &sim->moves[i];
	return NULL;
}

/*
 * moved CLASS COUNT SECONDS: at least COUNT displaced tasks of the class run again, the last one
 * within SECONDS
 */
static void check_moved(struct sim *sim, const struct sim_expectation *expectation)
{
	const struct sim_moves *moves = find_moves(sim, expectation->first);
	int count = atoi(expectation->second);

	if (!moves) {
		if (count > 0)
			sim_fail(sim, "class %s: no task moved, not %d", expectation->first, count);
		return;
	}
	if (sim_verbose)
		print_moves(moves);
	if (moves->count < count || moves->longest_s > atof(expectation->third))
		sim_fail(sim, "class %s: %d tasks moved, the last after %.1f s, not %d within %s s",
			 moves->job_class, moves->count, moves->longest_s, count,
			 expectation->third);
}

/* domain NAME STATE */
static void check_domain(struct sim *sim, const struct sim_expectation *expectation)
{
	const char *state = domain_state(sim, expectation->first);

	if (strcmp(state, expectation->second) != 0)
		sim_fail(sim, "domain %s is %s, not %s", expectation->first, state,
			 expectation->second);
}

/* dark-domains COUNT */
static void check_dark_domains(struct sim *sim, const struct sim_expectation *expectation)
{
	int dark_count = 0;

	for (int i = 0; i < sim->zone_count; i++)
		dark_count += !strcmp(domain_state(sim, sim->zones[i]), "dark");
	if (dark_count != atoi(expectation->first))
		sim_fail(sim, "%d domains are in state dark, not %s", dark_count,
			 expectation->first);
}

/*
 * domain-steps-per-heartbeat NUMBER: at most so many machine operations of the leader per heartbeat
 * sent
 */
static void check_machine_operations(struct sim *sim, const struct sim_expectation *expectation)
{
	int leader = sim_leader(sim);
	double operations;

	if (leader < 0) {
		sim_fail(sim, "no node leads");
		return;
	}
	operations = (double)ws_domains_machine_operations(sim->nodes[leader].domains) /
		     (double)sim->heartbeats;
	if (sim_verbose)
		fprintf(stderr, "%.2f machine operations per heartbeat\n", operations);
	if (operations > atof(expectation->first))
		sim_fail(sim, "%.2f machine operations per heartbeat, the limit is %s", operations,
			 expectation->first);
}

const struct sim_expect_word sim_domains_expectations[] = {
    {"dark-domains", 1, .check = check_dark_domains},
    {"domain", 2, .check = check_domain},
    {"domain-steps-per-heartbeat", 1, .check = check_machine_operations},
    {"keys", 3, .count_of = count_keys},
    {"moved", 3, .check = check_moved},
    {"print-measurements", 0, .check = handle_print_measurements},
    {"running-in-zone", 3, .count_of = count_running_in_zone},
    {NULL},
};
