/* Zones that go dark, the subsystem that deals with them, and what scenarios expect of it. */
#include "sim_parts.h"

static void zones_log(const char *text)
{
	sim_log(WS_LOG_INFO, text);
}

void sim_cluster_limits(const struct sim *sim, const struct sim_node *node, const char **names,
			struct ws_cluster_limits *limits)
{
	*limits = (struct ws_cluster_limits){
	    .report_s = sim->report,
	    .lease_s = sim->lease,
	    .state_write_rps = node->settings.state_write_rps,
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
	const char *names[8];
	struct ws_domains_error error;
	struct ws_cluster_limits limits;
	struct ws_failure_domains *domains;

	if (!sim->zones_on || node->version != &sim_this_version)
		return;
	sim_cluster_limits(sim, node, names, &limits);
	domains = ws_domains_new(&sim->zones_settings, &limits, zones_log, &error);
	if (!domains) {
		sim_fail(sim, "domain %s, %s: %s", error.domain, error.network,
			 ws_domains_error_text(error.code));
		return;
	}
	node->zones = domains;
	ws_core_attach(node->core, &ws_domains_ops, domains);
}

static struct ws_domains_declared *declared_get(struct ws_domains_settings *settings,
						const char *name)
{
	struct ws_domains_declared *declared;

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

/* subsystem zones [stable=S] [ramp=S] [half-life=S] | network NAME CIDR | move-first CLASS */
bool sim_domains_line(struct sim *sim, const char *word, char *rest, const char *full)
{
	struct ws_domains_settings *settings = &sim->zones_settings;

	if (!strcmp(word, "subsystem")) {
		sim->zones_on = true;
		settings->stable_s = sim_option(full, "stable", settings->stable_s);
		settings->ramp_s = sim_option(full, "ramp", settings->ramp_s);
		settings->half_life_s = sim_option(full, "half-life", settings->half_life_s);
	} else if (!strcmp(word, "network")) {
		struct ws_domains_declared *declared = declared_get(settings, sim_word(&rest));
		size_t n = ++declared->network_count;

		declared->networks = realloc(declared->networks, n * sizeof(*declared->networks));
		snprintf(declared->networks[n - 1], WS_DOMAINS_NETWORK_MAX, "%s", sim_word(&rest));
	} else if (!strcmp(word, "move-first")) {
		size_t n = ++settings->class_count;

		settings->class_order =
		    realloc(settings->class_order, n * sizeof(*settings->class_order));
		snprintf(settings->class_order[n - 1], WS_DOMAINS_NAME_MAX, "%s", sim_word(&rest));
	} else {
		return false;
	}
	return true;
}

/* What was on a machine that went dark, or died, is to run elsewhere: measured from now on. */
static void displace(struct sim *sim, const struct sim_worker *worker)
{
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_job *job = sim_job_of(sim, worker->tasks[i].job);

		if (!job || worker->tasks[i].state == WS_TASK_EXITED)
			continue;
		if (!job->displaced_at)
			job->displaced_at = calloc(job->spec.tasks, sizeof(*job->displaced_at));
		job->displaced_at[worker->tasks[i].task] = sim->now;
	}
}

/* A task starts: how long after its machine went dark. */
void sim_domains_started(struct sim *sim, struct sim_job *job, uint32_t task)
{
	struct sim_moves *moves = NULL;
	double span;

	if (!job->displaced_at || job->displaced_at[task] <= 0)
		return;
	span = sim->now - job->displaced_at[task];
	job->displaced_at[task] = 0;
	for (int i = 0; i < sim->nmoves; i++)
		if (!strcmp(sim->moves[i].job_class, job->spec.job_class))
			moves = &sim->moves[i];
	if (!moves && sim->nmoves < SIM_CLASSES) {
		moves = &sim->moves[sim->nmoves++];
		snprintf(moves->job_class, sizeof(moves->job_class), "%s", job->spec.job_class);
		moves->first = span;
	}
	if (!moves)
		return;
	moves->count++;
	moves->first = fmin(moves->first, span);
	moves->last = fmax(moves->last, span);
	moves->sum += span;
}

static void zone_trouble(struct sim *sim, struct sim_worker *worker, const char *verb,
			 const char *kind, double span)
{
	if (!strcmp(verb, "kill-zone")) {
		worker->dead = true;
		worker->died_at = sim->now;
	} else if (!strcmp(verb, "take-zone")) {
		worker->deleted = true;
		worker->deleted_at = sim->now;
	} else if (!strcmp(kind, "reports")) {
		worker->mute_until = sim->now + span;
	} else if (!strcmp(kind, "answers")) {
		worker->deaf_until = sim->now + span;
	} else {
		worker->cut_until = sim->now + span;
	}
}

/* Nodes of the other version end, so that one of the version named leads. */
static void lead_by(struct sim *sim, bool new_version)
{
	for (int i = 0; i < sim->node_count; i++)
		if ((sim->nodes[i].version == &sim_this_version) != new_version)
			sim_node_crash(sim, i, 8);
}

/* Whether a trouble of zones consecutive_failures a machine in this zone. */
static bool consecutive_failures(struct sim *sim, const char *verb, const char *name,
				 const char *zone)
{
	int leader = sim_leader(sim);

	if (!strcmp(verb, "dark-but-leader"))
		return leader >= 0 && strcmp(sim->nodes[leader].settings.zone, zone) != 0;
	return !strcmp(name, zone);
}

/* dark ZONE for=S [only=reports|answers] [share=X] | kill-zone, take-zone ZONE
 * | dark-but-leader for=S | hold-domain, release-domain, later-format NAME | lead-by old|new */
bool sim_domains_act(struct sim *sim, const char *verb, const char *name, const char *full)
{
	char kind[16] = "";
	char key[WS_KEY_MAX];
	double share = sim_option(full, "share", 1), part = 0;

	if (!strcmp(verb, "hold-domain") || !strcmp(verb, "release-domain")) {
		json_t *value = verb[0] == 'h' ? json_pack("{s:i}", "v", 1) : NULL;

		snprintf(key, sizeof(key), "zones/hold/%s", name);
		sim->revision++;
		sim_kv_put(sim, key, value, 0);
		json_decref(value);
		return true;
	}
	if (!strcmp(verb, "later-format")) { /* of a domain's record */
		json_t *value = json_pack("{s:i,s:s}", "v", 9, "state", "dark");

		snprintf(key, sizeof(key), "zones/domain/%s", name);
		sim->revision++;
		sim_kv_put(sim, key, value, 0);
		json_decref(value);
		return true;
	}
	if (!strcmp(verb, "lead-by")) {
		lead_by(sim, !strcmp(name, "new"));
		return true;
	}
	if (strcmp(verb, "dark") != 0 && strcmp(verb, "kill-zone") != 0 &&
	    strcmp(verb, "take-zone") != 0 && strcmp(verb, "dark-but-leader") != 0)
		return false;
	sim_option_text(full, "only", kind, sizeof(kind));
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (!consecutive_failures(sim, verb, name, worker->zone) || worker->deleted ||
		    worker->dead || !worker->is_up)
			continue;
		part += share;
		if (part < 1 - 1e-9)
			continue;
		part -= 1;
		displace(sim, worker);
		zone_trouble(sim, worker, verb, kind, sim_option(full, "for", 5));
	}
	return true;
}

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

static int keys_under(struct sim *sim, const char *prefix)
{
	struct sim_entry *entry, *next_entry;
	int n = 0;

	HASH_ITER (hh, sim->entries, entry, next_entry)
		n += !strncmp(entry->key, prefix, strlen(prefix));
	return n;
}

static int running_in(struct sim *sim, const char *zone)
{
	int n = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			n += !strcmp(sim->workers[i].zone, zone) && !sim->workers[i].dead &&
			     !sim->workers[i].deleted && sim_on_machine(&sim->workers[i].tasks[k]);
	return n;
}

/* What a measurement by hand takes down, with -v: see docs/measurements.md. */
static void measured(struct sim *sim)
{
	int finishes = 0, done = 0, due = 0, kept = 0;
	double price = 0;

	for (int i = 0; i < sim->job_count; i++) {
		const struct sim_job *job = &sim->jobs[i];
		bool has = job->spec.deadline_s >= 0;

		finishes += job->finishes;
		done += job->done;
		due += has;
		kept += has && job->done && job->told_done <= job->submit_at + job->spec.deadline_s;
	}
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];
		double hours =
		    ((worker->deleted ? worker->deleted_at : sim->now) - worker->rented) / 3600;

		if (!worker->owned)
			price += hours * sim->types[worker->type].type.price;
	}
	fprintf(stderr, "measured: %d of %d deadlines kept, rentals cost %.2f\n", kept, due, price);
	fprintf(stderr,
		"measured: %llu starts, %d finishes, %d jobs done, %d rented, %d returned, "
		"%llu changes\n",
		(unsigned long long)sim->starts, finishes, done, sim->rented, sim->returned,
		(unsigned long long)sim->changes);
	for (int i = 0; i < sim->nmoves; i++)
		fprintf(stderr, "measured: %s: %d moved, first %.1f, mean %.1f, last %.1f s\n",
			sim->moves[i].job_class, sim->moves[i].count, sim->moves[i].first,
			sim->moves[i].sum / sim->moves[i].count, sim->moves[i].last);
}

/* moved CLASS COUNT SECONDS: so many displaced tasks of a class run elsewhere, the last within */
static void expect_moved(struct sim *sim, const char *job_class, const char *count,
			 const char *within)
{
	for (int i = 0; i < sim->nmoves; i++) {
		const struct sim_moves *moves = &sim->moves[i];

		if (strcmp(moves->job_class, job_class) != 0)
			continue;
		if (sim_verbose)
			fprintf(stderr, "%s: %d moved, first %.1f, mean %.1f, last %.1f s\n",
				job_class, moves->count, moves->first, moves->sum / moves->count,
				moves->last);
		if (moves->count < atoi(count) || moves->last > atof(within))
			sim_fail(sim, "%s: %d moved, the last after %.1f s", job_class,
				 moves->count, moves->last);
		return;
	}
	if (atoi(count) > 0)
		sim_fail(sim, "%s: none moved", job_class);
}

bool sim_domains_expect(struct sim *sim, const char *what, const char *first, const char *second,
			const char *third)
{
	int n;

	if (!strcmp(what, "domain")) {
		if (strcmp(domain_state(sim, first), second) != 0)
			sim_fail(sim, "domain %s is %s", first, domain_state(sim, first));
		return true;
	}
	if (!strcmp(what, "measured")) {
		if (sim_verbose)
			measured(sim);
		return true;
	}
	if (!strcmp(what, "moved")) {
		expect_moved(sim, first, second, third);
		return true;
	}
	if (!strcmp(what, "zone-steps")) { /* of the leader, for each report it was sent */
		double steps = (double)ws_domains_steps(sim->nodes[sim_leader(sim)].zones);

		if (sim_verbose)
			fprintf(stderr, "%.2f steps a report\n", steps / (double)sim->reports);
		if (steps / (double)sim->reports > atof(first))
			sim_fail(sim, "%.2f steps a report", steps / (double)sim->reports);
		return true;
	}
	if (!strcmp(what, "dark-domains")) {
		n = 0;
		for (int i = 0; i < sim->zone_count; i++)
			n += !strcmp(domain_state(sim, sim->zones[i]), "dark");
		if (n != atoi(first))
			sim_fail(sim, "%d domains are dark", n);
		return true;
	}
	if (!strcmp(what, "in-zone"))
		n = running_in(sim, first);
	else if (!strcmp(what, "keys"))
		n = keys_under(sim, first);
	else
		return false;
	if (!sim_compare(n, second, third))
		sim_fail(sim, "%s %s: %d", what, first, n);
	return true;
}
