#include "sim_parts.h"

bool sim_verbose;
bool sim_cold_start_always;

const struct sim_version sim_this_version = {
    .create = ws_core_new,
    .destroy = ws_core_free,
    .tick = ws_core_tick,
    .pop = ws_core_next_effect,
    .complete = ws_core_complete,
    .resign = ws_core_resign,
    .ready = ws_core_is_ready,
    .leading = ws_core_is_leader,
    .submit = ws_core_submit,
    .poll = ws_core_query_status,
    .abort = ws_core_cancel,
    .report = ws_core_heartbeat,
    .testify = ws_core_outage_vote_unlisted,
    .free_action = ws_effect_free,
    .free_call = ws_call_free,
};

void sim_fail(struct sim *sim, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (sim->err[0])
		return;
	n = snprintf(sim->err, sizeof(sim->err), "at %.2f s: ", sim->now);
	va_start(ap, fmt);
	vsnprintf(sim->err + n, sizeof(sim->err) - (size_t)n, fmt, ap);
	va_end(ap);
}

double sim_rnd(struct sim *sim)
{
	sim->random_state = sim->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(sim->random_state >> 33) / (double)(1ULL << 31);
}

static struct sim *log_sim;
void sim_log(enum ws_log_level level, const char *text)
{
	if (sim_verbose)
		fprintf(stderr, "%9.3f %d %s\n", log_sim ? log_sim->now : 0, level, text);
}

int sim_leader(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].is_up && sim->nodes[i].version->leading(sim->nodes[i].core))
			return i;
	return -1;
}

/* ---- calls under way ---- */

static void result_clear(struct ws_result *result)
{
	for (size_t i = 0; i < result->entry_count; i++)
		json_decref(result->entries[i].value);
	free(result->entries);
	free(result->failed_keys);
	free(result->types);
	free(result->instances);
	free(result->cancellations);
	if (result->heartbeat)
		free(result->heartbeat->tasks);
	free(result->heartbeat);
	memset(result, 0, sizeof(*result));
}

static void flight_add(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct sim_call_in_flight **flight_link = &sim->calls_in_flight;

	while (*flight_link && (*flight_link)->due_at <= flight->due_at)
		flight_link = &(*flight_link)->next;
	flight->next = *flight_link;
	*flight_link = flight;
}

void sim_node_crash(struct sim *sim, int index, double back)
{
	struct sim_node *node = &sim->nodes[index];

	if (!node->is_up)
		return;
	sim_log(WS_LOG_INFO, "---- a node crashes");
	node->is_up = false;
	node->life++;
	node->up_at = sim->now + back;
	node->version->destroy(node->core);
	node->core = NULL;
}

/* What the leader has to read of what a watch brings. */
static void sim_count_watched(struct sim *sim, const struct ws_result *result)
{
	sim->watched += result->entry_count;
	for (size_t i = 0; i < result->entry_count; i++)
		if (result->entries[i].value)
			sim->watched_size +=
			    json_dumpb(result->entries[i].value, NULL, 0, JSON_COMPACT);
}

static bool is_state(enum ws_call_kind kind)
{
	return kind <= WS_CALL_SESSION_CLOSE;
}

static bool is_cloud(enum ws_call_kind kind)
{
	return kind >= WS_CALL_MACHINE_TYPES && kind <= WS_CALL_SCALE_IN;
}

static void call_start(struct sim *sim, int node, struct ws_call *call)
{
	struct sim_call_in_flight *flight = calloc(1, sizeof(*flight));
	struct sim_node *other_node = &sim->nodes[node];
	bool mine =
	    sim->crash != CRASH_NONE && call->kind == sim->crash_kind && sim_leader(sim) == node &&
	    (call->kind != WS_CALL_TRANSACTION || call->operation_count) && sim->crash_skip-- <= 0;

	bool lag = call->kind == WS_CALL_TRANSACTION && call->operation_count &&
		   sim->now < sim->lag_until && sim_rnd(sim) < sim->lag_share;

	if (mine && sim->crash == CRASH_BEFORE) {
		sim->crash = CRASH_NONE;
		free(flight);
		other_node->version->free_call(call);
		sim_node_crash(sim, node, sim->down_for);
		return;
	}
	flight->node = node;
	flight->life = other_node->life;
	flight->call = call;
	flight->call_version = other_node->version;
	flight->due_at = sim->now + (is_cloud(call->kind) ? 0.2 : 0.004);
	if (is_state(call->kind) && sim->now < sim->state_slow)
		flight->due_at += sim->state_slow_by * (0.2 + 0.8 * sim_rnd(sim));
	if (is_state(call->kind) && sim->now < other_node->cut_state) {
		flight->stage = 1;
		flight->due_at = sim->now + 1;
	} else if (is_state(call->kind) && call->kind != WS_CALL_WATCH &&
		   (sim->now < sim->state_down || sim->now < other_node->refused)) {
		flight->stage = 1;
		flight->result.status = 503;
	} else if (call->kind == WS_CALL_TRANSACTION &&
		   (lag || (sim->late_txn > 0 && sim_leader(sim) == node))) {
		/* given up on, and carried out all the same some time later */
		struct sim_call_in_flight *other_flight = calloc(1, sizeof(*other_flight));

		sim->late_txn -= !lag;
		other_flight->stage = 1;
		other_flight->node = node;
		other_flight->life = other_node->life;
		other_flight->due_at = sim->now + 1;
		other_flight->call = call;
		other_flight->call_version = other_node->version;
		flight->stage = 2;
		flight->due_at = !lag ? sim->now + sim->late_by
				 : sim->lag_at_once
				     ? sim->now + 0.004
				     : sim->now + 2 + (sim->lag_most - 2) * sim_rnd(sim);
		flight->call = calloc(1, sizeof(*flight->call));
		*flight->call = *call;
		flight->call->context = NULL;
		flight->call_version = &sim_this_version; /* a copy that no core knows of */
		flight->call->operations =
		    calloc(call->operation_count + 1, sizeof(*call->operations));
		flight->call->compares = calloc(call->compare_count + 1, sizeof(*call->compares));
		memcpy(flight->call->operations, call->operations,
		       call->operation_count * sizeof(*call->operations));
		memcpy(flight->call->compares, call->compares,
		       call->compare_count * sizeof(*call->compares));
		for (size_t i = 0; i < call->operation_count; i++)
			json_incref(call->operations[i].value);
		flight_add(sim, other_flight);
	}
	if (mine) { /* carried out, but its sender is gone */
		sim->crash = CRASH_NONE;
		flight_add(sim, flight);
		sim_node_crash(sim, node, sim->down_for);
		return;
	}
	flight_add(sim, flight);
}

static void complete(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct sim_node *node = &sim->nodes[flight->node];

	if (node->is_up && node->life == flight->life && sim->now < node->frozen) {
		flight->due_at = node->frozen;
		flight_add(sim, flight);
		return;
	}
	if (node->is_up && node->life == flight->life) {
		if (is_state(flight->call->kind) && sim->now < node->cut_state)
			flight->result.status = 0;
		node->version->complete(node->core, sim->now * (1 + node->skew), flight->call,
					&flight->result);
	} else {
		flight->call_version->free_call(flight->call);
	}
	result_clear(&flight->result);
	free(flight);
}

static void flight_go(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct ws_call *call = flight->call;
	struct sim_node *node = &sim->nodes[flight->node];

	if (flight->stage == 1) {
		complete(sim, flight);
		return;
	}
	if (flight->stage == 2) {
		if (sim->now < sim->state_down) { /* waits for the service to be back */
			flight->due_at = sim->state_down + 0.1;
			flight_add(sim, flight);
			return;
		}
		sim_state_do(sim, call, &flight->result);
		flight->call_version->free_call(call);
		result_clear(&flight->result);
		free(flight);
		return;
	}
	if (call->kind == WS_CALL_WATCH) {
		sim->asked += !call->timeout_ms;
		bool blind = sim->now < sim->state_down || sim->now < node->refused ||
			     sim->now < node->cut_state ||
			     (call->timeout_ms && sim->now < node->blind);

		if ((blind || !sim_watch_ready(sim, call, &flight->result)) &&
		    sim->now < call->created_at / (1 + node->skew) + call->timeout_ms / 1000.0 &&
		    node->life == flight->life) {
			result_clear(&flight->result);
			flight->due_at = sim->now + STEP / 2;
			flight_add(sim, flight);
			return;
		}
		if (blind) {
			result_clear(&flight->result);
			flight->result.status = sim->now < node->cut_state ? 0 : 503;
		}
		if (flight->node == sim_leader(sim))
			sim_count_watched(sim, &flight->result);
		if (call->timeout_ms &&
		    sim->now < sim->watch_late) { /* one that is not left open overtakes it */
			flight->stage = 1;
			flight->due_at = sim->now + sim->watch_late_by * sim_rnd(sim);
			flight_add(sim, flight);
			return;
		}
	} else if (is_state(call->kind)) {
		sim_state_do(sim, call, &flight->result);
		if (call->kind == WS_CALL_TRANSACTION && sim->lose_txn > 0 &&
		    sim_leader(sim) == flight->node) {
			sim->lose_txn--;
			result_clear(&flight->result);
			flight->due_at = sim->now + 1;
			flight->stage = 1;
			flight_add(sim, flight);
			return;
		}
	} else if (is_cloud(call->kind)) {
		sim_cloud_do(sim, call, &flight->result);
		if (call->kind == WS_CALL_SCALE_OUT && sim->lose_rent > 0) {
			sim->lose_rent--;
			result_clear(&flight->result);
			flight->due_at = sim->now + 2;
			flight->stage = 1;
			flight_add(sim, flight);
			return;
		}
	} else if (call->kind == WS_CALL_COMMANDS) {
		int i = sim_worker_at(call->address);
		struct sim_worker *worker = &sim->workers[i];
		bool lost = !sim_worker_live(sim, worker) || sim_apart(sim, worker, node);
		double late = 0;

		sim->commands++;

		if (worker->dead || worker->deleted) { /* nobody answers the attempt to connect */
			flight->result.status = -1;
			flight->due_at = sim->now + fmin(sim->report, sim->lease / 16);
			flight->stage = 1;
			flight_add(sim, flight);
			return;
		}
		if (sim->now < worker->deaf_until) { /* never arrives */
			flight->due_at = sim->now + sim->report;
			flight->stage = 1;
			flight_add(sim, flight);
			return;
		}
		if (sim->late_command_count > 0) {
			sim->late_command_count--;
			late = sim->now + sim->late_commands_by;
		} else if (lost) {
			late =
			    fmax(fmax(worker->cut_until, worker->hang_until),
				 fmax(fmax(node->cut_workers, sim->zone_cut), worker->pin_until)) +
			    0.05;
		}
		if (late > 0) {
			struct sim_late_command *late_command = calloc(1, sizeof(*late_command));

			late_command->due_at = late;
			late_command->worker = i;
			late_command->fencing_token = call->fencing_token;
			late_command->incarnation = call->incarnation;
			late_command->command_count = call->command_count;
			late_command->commands =
			    calloc(call->command_count + 1, sizeof(*late_command->commands));
			if (call->command_count)
				memcpy(late_command->commands, call->commands,
				       call->command_count * sizeof(*late_command->commands));
			late_command->next = sim->late_commands;
			sim->late_commands = late_command;
		} else {
			flight->result.heartbeat = calloc(1, sizeof(*flight->result.heartbeat));
			flight->result.status = sim_worker_command(
			    sim, worker, call->fencing_token, call->incarnation, call->commands,
			    call->command_count, flight->result.heartbeat);
			if (sim->slow_commands > 0) {
				flight->due_at = sim->now + sim->slow_commands;
				flight->stage = 1;
				flight_add(sim, flight);
				return;
			}
			if (sim->lose_commands > 0) {
				sim->lose_commands--;
				result_clear(&flight->result);
				late = 1;
			}
		}
		if (late > 0) {
			flight->due_at = sim->now + sim->report;
			flight->stage = 1;
			flight_add(sim, flight);
			return;
		}
	} else if (call->kind == WS_CALL_OUTAGE_VOTE) {
		int i;

		for (i = 0; i < sim->node_count && strcmp(sim->nodes[i].settings.node, call->key);
		     i++)
			;
		flight->stage = 1;
		if (i < sim->node_count && sim->nodes[i].is_up && sim->now >= node->cut_peers &&
		    sim->now >= sim->nodes[i].cut_peers && sim->now >= sim->nodes[i].frozen) {
			/* the answer comes back by the token, see node_drain */
			uint64_t request_id = ++sim->next_token << SIM_TOKEN_SHIFT |
					      (uint64_t)flight->node | 1ULL << 61;

			flight->token = request_id;
			flight->due_at = sim->now + 0.5;
			flight_add(sim, flight);
			/* only if both are of this version does what they ask and tell go further
			 */
			if (sim->nodes[i].version == &sim_this_version &&
			    node->version == &sim_this_version)
				ws_core_outage_vote(sim->nodes[i].core,
						    sim->now * (1 + sim->nodes[i].skew), request_id,
						    call->fencing_token, call->since_revision,
						    call->after);
			else
				sim->nodes[i].version->testify(sim->nodes[i].core,
							       sim->now * (1 + sim->nodes[i].skew),
							       request_id);
			return;
		}
		flight->due_at = sim->now + 0.3;
		flight_add(sim, flight);
		return;
	}
	flight->stage = 1;
	flight->due_at = sim->now + 0.004;
	flight_add(sim, flight);
}

/* ---- nodes ---- */

/* From now on it is of this version, which plans by the lower limits from its start. */
static void node_lower(struct sim *sim, int index)
{
	sim->nodes[index].version = &sim_this_version;
	sim->nodes[index].settings.value_kb = fmin(sim->value_kb, sim->next_value_kb);
	sim->nodes[index].settings.txn_ops =
	    sim->txn_ops < sim->next_txn_ops ? sim->txn_ops : sim->next_txn_ops;
}

static void node_start(struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];

	node->is_up = true;
	node->core = node->version->create(&node->settings, &sim->policy, sim_log,
					   sim->now * (1 + node->skew),
					   node->life * 977 + (uint64_t)index + 1);
	sim_domains_attach(sim, node);
	sim_cold_start_attach(sim, node);
}

static void relay(struct sim *sim, int from, const struct ws_effect *effect)
{
	struct ws_effect other_effect = {
	    .request_id = effect->request_id, .status = 503, .retry_after = 1};
	int to = -1;

	for (int i = 0; i < sim->node_count; i++)
		if (i != from && sim->nodes[i].is_up && sim->now >= sim->nodes[i].frozen &&
		    sim->now >= sim->nodes[from].cut_peers && sim->now >= sim->nodes[i].cut_peers &&
		    (effect->name[0] ? !strcmp(effect->name, sim->nodes[i].settings.node) : to < 0))
			to = i;
	if (to < 0) {
		if (effect->request_id >> 62 & 1)
			sim_worker_answer(sim, &other_effect);
		else
			sim_user_answer(sim, &other_effect);
		return;
	}
	struct sim_node *node = &sim->nodes[to];
	double t = sim->now * (1 + node->skew);

	if (effect->request_id >> 62 & 1) {
		struct sim_worker *worker = &sim->workers[effect->request_id & (SIM_WORKERS - 1)];
		struct ws_heartbeat heartbeat;

		if (effect->request_id != worker->heartbeat_id)
			return;
		sim_worker_report(worker, &heartbeat, sim);
		heartbeat.sequence = worker->sequence;
		node->version->report(node->core, t, effect->request_id, &heartbeat, true);
		free(heartbeat.tasks);
	} else {
		struct sim_job *job = &sim->jobs[effect->request_id & (SIM_JOBS - 1)];
		int kind = sim_user_asked(sim, effect->request_id);

		if (kind)
			sim_ask(sim, to, job, kind, effect->request_id, true);
	}
}

static void testified(struct sim *sim, const struct sim_node *node, struct ws_effect *effect,
		      struct sim_call_in_flight *flight)
{
	struct sim_call_in_flight **flight_link = &sim->calls_in_flight;

	while (*flight_link != flight)
		flight_link = &(*flight_link)->next;
	*flight_link = flight->next;
	flight->due_at = sim->now + 0.002;
	flight_add(sim, flight);
	flight->result.status = effect->status;
	if (node->version != &sim_this_version ||
	    sim->nodes[flight->node].version != &sim_this_version)
		return;
	flight->result.vote_granted = effect->vote_granted;
	flight->result.has_more = effect->has_more;
	flight->result.cancellation_count = effect->cancellation_count;
	flight->result.cancellations = effect->cancellations;
	effect->cancellations = NULL;
}

static void node_drain(struct sim *sim, int index)
{
	struct ws_effect *effect;

	while (sim->nodes[index].is_up && sim->now >= sim->nodes[index].frozen &&
	       (effect = sim->nodes[index].version->pop(sim->nodes[index].core))) {
		sim_digest_add(sim, index, effect);
		switch (effect->kind) {
		case WS_EFFECT_CALL: call_start(sim, index, effect->call); break;
		case WS_EFFECT_ANSWER_USER: sim_user_answer(sim, effect); break;
		case WS_EFFECT_ANSWER_HEARTBEAT: sim_worker_answer(sim, effect); break;
		case WS_EFFECT_FORWARD: relay(sim, index, effect); break;
		case WS_EFFECT_ANSWER_VOTE:
			for (struct sim_call_in_flight *flight = sim->calls_in_flight; flight;
			     flight = flight->next)
				if (flight->token == effect->request_id) {
					testified(sim, &sim->nodes[index], effect, flight);
					break;
				}
			break;
		}
		sim->nodes[index].version->free_action(effect);
	}
}

/* ---- scenario lines ---- */

const char *sim_word(char **p)
{
	char *w = *p;

	while (*w == ' ' || *w == '\t')
		w++;
	if (!*w)
		return NULL;
	*p = w + strcspn(w, " \t");
	if (**p)
		*(*p)++ = 0;
	return w;
}

double sim_option(const char *text, const char *name, double otherwise)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), " %s=", name);
	p = strstr(text, key);
	return p ? atof(p + strlen(key)) : otherwise;
}

bool sim_option_text(const char *text, const char *name, char *target, size_t size)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), " %s=", name);
	p = strstr(text, key);
	if (!p)
		return false;
	p += strlen(key);
	snprintf(target, size, "%.*s", (int)strcspn(p, " "), p);
	return true;
}

static bool flag(const char *text, const char *name)
{
	char key[64];
	const char *p;
	size_t n;

	n = (size_t)snprintf(key, sizeof(key), " %s", name);
	for (p = text; (p = strstr(p, key)); p += n)
		if (p[n] == 0 || p[n] == ' ')
			return true;
	return false;
}

static void add_job(struct sim *sim, const char *id, const char *text, double time)
{
	struct sim_job *job = &sim->jobs[sim->job_count++];
	struct ws_job_spec *spec = &job->spec;
	char tier[32] = "normal", list[64];

	memset(job, 0, sizeof(*job));
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	strcpy(spec->job_class, "c");
	sim_option_text(text, "class", spec->job_class, sizeof(spec->job_class));
	strcpy(spec->team, "t");
	sim_option_text(text, "team", spec->team, sizeof(spec->team));
	spec->service = flag(text, "service");
	spec->gang = flag(text, "gang");
	spec->spread = flag(text, "spread");
	spec->one_zone = flag(text, "one-zone");
	spec->allows_preemptible = flag(text, "spot");
	sim_option_text(text, "zone", spec->zone, sizeof(spec->zone));
	if (sim_option_text(text, "type", list, sizeof(list)))
		strcpy(spec->types[spec->type_count++], list);
	sim_option_text(text, "tier", tier, sizeof(tier));
	spec->priority = !strcmp(tier, "production") ? WS_PRIORITY_PRODUCTION
			 : !strcmp(tier, "urgent")   ? WS_PRIORITY_URGENT
			 : !strcmp(tier, "best")     ? WS_PRIORITY_BEST_EFFORT
						     : WS_PRIORITY_NORMAL;
	spec->tasks = (uint32_t)sim_option(text, "tasks", 1);
	spec->cpus = sim_option(text, "cpus", 4);
	spec->mem_gb = sim_option(text, "mem", 1);
	strcpy(spec->image, "img");
	sim_option_text(text, "image", spec->image, sizeof(spec->image));
	spec->image_gb = sim_option(text, "gb", 0.5);
	spec->deadline_s = sim_option(text, "deadline", -1);
	spec->estimate_s = sim_option(text, "estimate", 0);
	spec->checkpoint_s = sim_option(text, "checkpoint", 0);
	spec->save_s = sim_option(text, "save", 0);
	job->run_s = sim_option(text, "run", 10);
	job->bad = flag(text, "bad");
	job->submit_at = time;
	job->node = sim->job_count;
	job->task_done = calloc(spec->tasks, sizeof(bool));
	HASH_ADD_KEYPTR(hh, sim->by_id, spec->id, strlen(spec->id), job);
}

bool sim_line(struct sim *sim, char *line, char *err, size_t size)
{
	char copy[300], *p = copy;
	const char *w;

	sim->line++;
	line[strcspn(line, "#\r\n")] = 0;
	snprintf(copy, sizeof(copy), "%s", line);
	w = sim_word(&p);
	if (!w)
		return true;
	if (!strcmp(w, "at")) {
		struct sim_timed_line *timed_line = &sim->timed_lines[sim->timed_line_count];

		w = sim_word(&p);
		if (!w || sim->timed_line_count == 256) {
			snprintf(err, size, "line %d: at needs a time", sim->line);
			return false;
		}
		timed_line->time = atof(w);
		timed_line->line = sim->line;
		snprintf(timed_line->text, sizeof(timed_line->text), "%s", p);
		if (sim->timed_line_count &&
		    timed_line->time < sim->timed_lines[sim->timed_line_count - 1].time) {
			snprintf(err, size, "line %d: times must not fall", sim->line);
			return false;
		}
		sim->timed_line_count++;
		sim->end = timed_line->time > sim->end ? timed_line->time : sim->end;
	} else if (!strcmp(w, "nodes")) {
		sim->node_count = atoi(sim_word(&p));
	} else if (!strcmp(w, "lease")) {
		sim->lease = atof(sim_word(&p));
	} else if (!strcmp(w, "report")) {
		sim->report = atof(sim_word(&p));
	} else if (!strcmp(w, "gang-wait")) {
		sim->gang_wait = atof(sim_word(&p));
	} else if (!strcmp(w, "gang-peer")) {
		sim->gang_peer = atof(sim_word(&p));
	} else if (!strcmp(w, "old")) { /* so many nodes run the version in production at first */
		sim->old_nodes = atoi(sim_word(&p));
		if (!sim_production_version()) {
			snprintf(err, size, "line %d: the version in production was not built",
				 sim->line);
			return false;
		}
	} else if (!strcmp(w, "next-limits")) { /* KiB of a value, changes a transaction */
		sim->next_value_kb = atof(sim_word(&p));
		sim->next_txn_ops = atoi(sim_word(&p));
	} else if (!strcmp(w, "cancel")) {
		sim->cancel_s = atof(sim_word(&p));
	} else if (!strcmp(w, "seed")) {
		sim->random_state = (uint64_t)atoi(sim_word(&p));
	} else if (!strcmp(w, "capacity")) {
		sim->cap_limit = atoi(sim_word(&p));
	} else if (!strcmp(w, "zone")) {
		snprintf(sim->zones[sim->zone_count++], 32, "%s", sim_word(&p));
	} else if (!strcmp(w, "team")) {
		struct ws_team_setting *team_settings = &sim->teams[sim->team_count++];

		snprintf(team_settings->name, sizeof(team_settings->name), "%s", sim_word(&p));
		team_settings->cpus = atof(sim_word(&p));
		team_settings->cpus_max = atof(sim_word(&p));
	} else if (!strcmp(w, "type")) {
		struct ws_machine_type *other_type = &sim->types[sim->type_count++].type;

		snprintf(other_type->name, sizeof(other_type->name), "%s", sim_word(&p));
		other_type->cpus = atof(sim_word(&p));
		other_type->mem_gb = atof(sim_word(&p));
		other_type->price = atof(sim_word(&p));
		other_type->preemptible_price = other_type->price / 2;
		other_type->fetch_gb_s = 0.5;
		other_type->boot_s = atof(sim_word(&p));
		while ((w = sim_word(&p)))
			snprintf(other_type->zones[other_type->zone_count++], WS_NAME_MAX, "%s", w);
	} else if (!strcmp(w, "objective")) {
		struct ws_objective *objective = &sim->objectives[sim->objective_count++];

		snprintf(objective->kind, sizeof(objective->kind), "%s", sim_word(&p));
		snprintf(objective->job_class, sizeof(objective->job_class), "%s", sim_word(&p));
		objective->within_s = atof(sim_word(&p));
	} else if (!strcmp(w, "owned")) {
		const char *type = sim_word(&p), *zone = sim_word(&p);
		int t, k = 1;

		for (t = 0; t < sim->type_count && strcmp(sim->types[t].type.name, type); t++)
			;
		if ((w = sim_word(&p)))
			k = atoi(w);
		while (k-- > 0 && t < sim->type_count)
			sim_add_worker(sim, t, zone, false, true);
	} else if (!sim_cold_start_line(sim, w, line) && !sim_domains_line(sim, w, p, line)) {
		snprintf(err, size, "line %d: %s?", sim->line, w);
		return false;
	}
	return true;
}

static int node_named(struct sim *sim, const char *name)
{
	if (!strcmp(name, "leader"))
		return sim_leader(sim);
	return atoi(name) % sim->node_count;
}

static struct sim_worker *machine_named(struct sim *sim, const char *name)
{
	struct sim_worker *best = NULL;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];
		int n = 0, b = 0;

		if (!strcmp(name, worker->name))
			return worker;
		if (worker->deleted || worker->dead || !worker->is_up)
			continue;
		if (!strcmp(name, "rental") && worker->owned)
			continue;
		if (!strcmp(name, "owned") && !worker->owned)
			continue;
		for (int k = 0; k < worker->task_count; k++)
			n += worker->tasks[k].state != WS_TASK_EXITED;
		for (int k = 0; best && k < best->task_count; k++)
			b += best->tasks[k].state != WS_TASK_EXITED;
		if (!best || n > b)
			best = worker;
	}
	return best;
}

/* What befalls a machine. */
static void trouble(struct sim *sim, struct sim_worker *worker, const char *verb, double span)
{
	if (!strcmp(verb, "hang"))
		worker->hang_until = sim->now + span;
	else if (!strcmp(verb, "pin"))
		worker->pin = sim_leader(sim) + 1, worker->pin_until = sim->now + span;
	else if (!strcmp(verb, "reboot")) { /* an empty worker under the same name */
		worker->task_count = worker->image_count = 0;
		worker->sequence = worker->fencing_token = 0;
		worker->incarnation = 1;
		worker->waiting = false;
		worker->answered_sent = worker->next_heartbeat_at = sim->now;
	} else if (!strcmp(verb, "deaf"))
		worker->deaf_until = sim->now + span;
	else if (!strcmp(verb, "mute"))
		worker->mute_until = sim->now + span;
	else if (!strcmp(verb, "cut-machine"))
		worker->cut_until = sim->now + span;
	else if (!strcmp(verb, "die"))
		worker->dead = true, worker->died_at = sim->now;
	else if (!strcmp(verb, "fail-tasks"))
		worker->failing = true;
	else if (!strcmp(verb, "take"))
		worker->deleted = true, worker->deleted_at = sim->now;
	else {
		worker->preemption_notice_at = sim->now;
		worker->preempted_at = sim->now + span;
		sim_worker_changed(worker, sim->now);
	}
}

static void act(struct sim *sim, const struct sim_timed_line *timed_line)
{
	char text[256], full[256], *p = text;
	const char *verb, *who;
	double span;
	struct sim_worker *worker;
	int i;

	snprintf(text, sizeof(text), "%s", timed_line->text);
	snprintf(full, sizeof(full), "%s", timed_line->text);
	verb = sim_word(&p);
	if (!verb)
		return;
	span = sim_option(full, "for", 5);
	if (!strcmp(verb, "expect")) {
		sim_expect(sim, p);
		return;
	}
	sim_log(WS_LOG_INFO, full);
	who = sim_word(&p);
	if (!who)
		who = "";
	if (!strcmp(verb,
		    "once-returned")) { /* the rest of the line so long after the first return */
		sim->after_return = atof(who);
		snprintf(sim->then, sizeof(sim->then), "%s", p);
	} else if (!strcmp(verb, "submit")) {
		add_job(sim, who, full, sim->now);
	} else if (!strcmp(verb, "submit-many")) { /* so many, one each step from now on */
		int first = atoi(sim_option_text(full, "first", text, sizeof(text)) ? text : "1");

		for (i = 0; i < atoi(who) && sim->job_count < SIM_JOBS; i++) {
			char id[WS_ID_MAX];

			snprintf(id, sizeof(id), "job-%06d", first + i);
			add_job(sim, id, full, sim->now + i * sim_option(full, "every", STEP));
		}
	} else if (!strcmp(verb, "ask")) { /* for a job that nobody submitted */
		add_job(sim, who, full, -1);
	} else if (!strcmp(verb, "abort")) {
		struct sim_job *job = sim_job_of(sim, who);
		char at[16];

		if (job)
			job->abort_at = sim->now;
		if (job && sim_option_text(full, "at", at, sizeof(at))) /* of this node first */
			job->node = node_named(sim, at) - 1;
	} else if (!strcmp(verb, "look")) { /* asked for and sent again, at all nodes */
		if (sim_job_of(sim, who))
			sim_look(sim, sim_job_of(sim, who));
	} else if (!strcmp(verb, "abort-many")) { /* so many from a number on, each step one */
		for (i = 0; i < atoi(who); i++) {
			char id[WS_ID_MAX];
			struct sim_job *other_job;

			snprintf(id, sizeof(id), "job-%06d", (int)sim_option(full, "first", 1) + i);
			if ((other_job = sim_job_of(sim, id)))
				other_job->abort_at =
				    sim->now + i * sim_option(full, "every", STEP);
		}
	} else if (!strcmp(verb, "crash")) {
		if (!strcmp(who, "all"))
			sim_cold_start_stopped(sim);
		for (i = 0; i < sim->node_count; i++)
			if (!strcmp(who, "all") || i == node_named(sim, who))
				sim_node_crash(sim, i, span);
	} else if (!strcmp(verb, "upgrade")) { /* killed, and back with this version */
		if ((i = node_named(sim, who)) < 0) {
			sim_fail(sim, "nobody leads");
			return;
		}
		sim_node_crash(sim, i, span);
		node_lower(sim, i);
	} else if (!strcmp(verb, "lower-limits")) {
		sim->lowered = true;
		if (who[0]) { /* by more than the settings told */
			sim->next_value_kb = atof(who);
			sim->next_txn_ops = (int)sim_option(full, "ops", 12);
		}
		sim->value_kb = sim->next_value_kb;
		sim->txn_ops = sim->next_txn_ops;
	} else if (!strcmp(verb, "resign")) {
		if ((i = node_named(sim, who)) >= 0)
			sim->nodes[i].version->resign(sim->nodes[i].core,
						      sim->now * (1 + sim->nodes[i].skew));
	} else if (!strcmp(verb, "cut") || !strcmp(verb, "refuse") || !strcmp(verb, "blind") ||
		   !strcmp(verb, "freeze")) {
		i = node_named(sim, who);
		if (i < 0) {
			sim_fail(sim, "nobody leads");
			return;
		}
		bool all = flag(full, "all");

		if (!strcmp(verb, "refuse"))
			sim->nodes[i].refused = sim->now + span;
		if (!strcmp(verb, "freeze")) /* it stands still; what reaches it waits */
			sim->nodes[i].frozen = sim->now + span;
		if (!strcmp(verb, "blind")) /* its watches wait, all else is served */
			sim->nodes[i].blind = sim->now + span;
		if (all || flag(full, "state"))
			sim->nodes[i].cut_state = sim->now + span;
		if (all || flag(full, "workers"))
			sim->nodes[i].cut_workers = sim->now + span;
		if (all || flag(full, "peers"))
			sim->nodes[i].cut_peers = sim->now + span;
	} else if (!strcmp(verb, "state-outage")) {
		sim->state_down = sim->now + span;
	} else if (!strcmp(verb, "slow-state")) { /* slow-state BY for=SPAN */
		sim->state_slow = sim->now + span;
		sim->state_slow_by = atof(who);
	} else if (!strcmp(verb, "late-watches")) { /* late-watches BY for=SPAN */
		sim->watch_late = sim->now + span;
		sim->watch_late_by = atof(who);
	} else if (!strcmp(verb, "cloud-outage")) {
		sim->cloud_down = sim->now + span;
	} else if (!strcmp(verb, "zone-cut")) {
		sim->zone_cut = sim->now + span;
	} else if (!strcmp(verb, "hang") || !strcmp(verb, "cut-machine") || !strcmp(verb, "die") ||
		   !strcmp(verb, "fail-tasks") || !strcmp(verb, "pin") || !strcmp(verb, "notice") ||
		   !strcmp(verb, "take") || !strcmp(verb, "deaf") || !strcmp(verb, "mute") ||
		   !strcmp(verb, "reboot")) {
		/* so many, the one with most on it first; those that are gone are not named again
		 */
		for (int k = (int)sim_option(full, "times", 1); k > 0; k--) {
			if (!(worker = machine_named(sim, who))) {
				sim_fail(sim, "no machine %s", who);
				return;
			}
			trouble(sim, worker, verb, span);
		}
	} else if (!strcmp(verb, "lose-answer")) {
		int k = (int)sim_option(full, "times", 1);

		if (!strcmp(who, "rent"))
			sim->lose_rent = k;
		else if (!strcmp(who, "txn"))
			sim->lose_txn = k;
		else
			sim->lose_commands = k;
	} else if (!strcmp(verb, "late")) {
		if (!strcmp(who, "txn")) {
			sim->late_txn = (int)sim_option(full, "times", 1);
			sim->late_by = sim_option(full, "by", 5);
		} else {
			sim->late_command_count = (int)sim_option(full, "times", 1);
			sim->late_commands_by = sim_option(full, "by", 5);
		}
	} else if (!strcmp(verb, "crash-on")) {
		sim->crash_kind = !strcmp(who, "txn")	   ? WS_CALL_TRANSACTION
				  : !strcmp(who, "orders") ? WS_CALL_COMMANDS
				  : !strcmp(who, "rent")   ? WS_CALL_SCALE_OUT
							   : WS_CALL_SCALE_IN;
		sim->crash = flag(full, "after") ? CRASH_AFTER : CRASH_BEFORE;
		sim->crash_skip = (int)sim_option(full, "skip", 0);
		sim->down_for = span;
	} else if (!strcmp(verb, "copies")) { /* copies BY for=SPAN */
		sim->copies_by = atof(who);
		sim->copies_until = sim->now + span;
		sim->copies_share = sim_option(full, "share", 1);
		sim->copies_for_next = flag(full, "for-next");
	} else if (!strcmp(verb, "looks")) { /* looks SHARE for=SPAN: that share cancels at once */
		sim->looks_until = sim->now + span;
		sim->abort_share = atof(who);
	} else if (!strcmp(verb, "abort-at-end")) { /* abort-at-end SHARE for=SPAN */
		sim->end_until = sim->now + span;
		sim->end_share = atof(who);
	} else if (!strcmp(verb, "late-writes")) { /* late-writes SHARE for=SPAN [at-once] */
		sim->lag_until = sim->now + span;
		sim->lag_share = atof(who);
		sim->lag_most = sim_option(full, "most", 12);
		sim->lag_at_once = flag(full, "at-once");
	} else if (!strcmp(verb, "garble")) { /* a record that nobody can read */
		json_t *value = json_pack("{s:i}", "x", 1);

		sim->revision++;
		sim_kv_put(sim, who, value, 0);
		json_decref(value);
	} else if (!strcmp(verb, "slow-orders")) {
		sim->slow_commands = atof(who);
	} else if (!strcmp(verb, "stutter")) {
		sim->stutter = true;
	} else if (!strcmp(verb, "foreign")) { /* MACHINE job=ID: its task 0 runs there, unasked */
		if (!(worker = machine_named(sim, who)) || worker->task_count == SIM_TASKS) {
			sim_fail(sim, "no machine %s", who);
			return;
		}
		memset(&worker->tasks[worker->task_count], 0, sizeof(worker->tasks[0]));
		sim_option_text(full, "job", worker->tasks[worker->task_count].job, WS_ID_MAX);
		worker->tasks[worker->task_count].attempt = 7;
		worker->tasks[worker->task_count++].state = WS_TASK_FETCHING;
		worker->tasks[worker->task_count - 1].seconds_left = 1e6;
		sim_worker_changed(worker, sim->now);
	} else if (!strcmp(verb, "no-boot")) {
		sim->no_boot = atoi(who);
	} else if (!strcmp(verb, "instant-boot")) {
		sim->instant_boot = 1;
	} else if (!sim_cold_start_act(sim, verb, who, full) &&
		   !sim_domains_act(sim, verb, who, full)) {
		sim_fail(sim, "line %d: %s?", timed_line->line, verb);
	}
}

struct sim *sim_new(void)
{
	struct sim *sim = calloc(1, sizeof(*sim));

	sim->workers = calloc(SIM_WORKERS, sizeof(*sim->workers));
	sim->jobs = calloc(SIM_JOBS, sizeof(*sim->jobs));
	sim->node_count = 3;
	sim->lease = 16;
	sim->report = 2;
	sim->cancel_s = 46;
	sim->lag = 5;
	sim->gang_wait = 30;
	sim->gang_peer = 8;
	sim->value_kb = 4;
	sim->txn_ops = 12;
	sim->cap_limit = 100;
	sim->random_state = 12345;
	ws_policy_defaults(&sim->policy);
	ws_domains_defaults(&sim->zones_settings);
	ws_cold_start_defaults(&sim->coldstart_settings);
	sim->coldstart_on = sim_cold_start_always;
	sim_digest_begin(sim);
	return sim;
}

/* Whether another node has begun to lead since this was last asked. */
static bool begun(struct sim *sim)
{
	struct sim_entry *entry;
	const char *node;

	HASH_FIND_STR(sim->entries, "leader", entry);
	if (!entry || entry->revision == sim->led)
		return false;
	node = ws_record_leader_node(entry->value);
	for (int i = 0; i < sim->node_count; i++)
		if (!strcmp(sim->nodes[i].settings.node, node) && sim->nodes[i].is_up &&
		    sim->nodes[i].version->leading(sim->nodes[i].core)) {
			sim->led = entry->revision;
			return true;
		}
	return false;
}

bool sim_play(struct sim *sim, char *err, size_t size)
{
	int next = 0;

	log_sim = sim;
	for (int i = 0; i < sim->node_count; i++) {
		struct ws_settings *settings = &sim->nodes[i].settings;

		snprintf(settings->node, sizeof(settings->node), "node-%d", i);
		snprintf(settings->zone, sizeof(settings->zone), "%s",
			 sim->zones[i % sim->zone_count]);
		for (int k = 0; k < sim->node_count; k++)
			if (k != i)
				snprintf(settings->peers[settings->peer_count++].node, WS_NAME_MAX,
					 "node-%d", k);
		for (int k = 0; k < sim->zone_count; k++)
			snprintf(settings->zones[settings->zone_count++], WS_NAME_MAX, "%s",
				 sim->zones[k]);
		for (int k = 0; k < sim->team_count; k++)
			settings->teams[settings->team_count++] = sim->teams[k];
		for (int k = 0; k < sim->objective_count; k++)
			settings->objectives[settings->objective_count++] = sim->objectives[k];
		settings->report_s = sim->report;
		settings->lease_s = sim->lease;
		settings->cancel_s = sim->cancel_s;
		settings->state_rps = 250;
		settings->state_write_rps = 50;
		/* the new version plans by the lower limits from its start */
		settings->value_kb = sim->value_kb;
		settings->txn_ops = sim->txn_ops;
		settings->gang_wait_s = sim->gang_wait;
		settings->gang_peer_s = sim->gang_peer;
		sim->nodes[i].version = &sim_this_version;
		if (i < sim->old_nodes)
			sim->nodes[i].version = sim_production_version();
		else if (sim->next_value_kb > 0)
			node_lower(sim, i);
		settings->cloud_rps = 2;
		settings->list_lag_s = sim->lag;
		sim->nodes[i].skew = i == 1 ? 0.0005 : 0;
		node_start(sim, i);
	}
	while (!sim->err[0] && sim->now <= sim->end + STEP / 2) {
		struct sim_call_in_flight *flight;

		while (next < sim->timed_line_count &&
		       sim->timed_lines[next].time <= sim->now + 1e-9)
			act(sim, &sim->timed_lines[next++]);
		if (sim->was_down && sim->now >= sim->state_down)
			for (int i = 0; i < sim->session_count; i++)
				if (sim->sessions[i].live)
					sim->sessions[i].until = sim->now + sim->sessions[i].ttl;
		if (sim->then[0] && sim->returned_at > 0 &&
		    sim->now >= sim->returned_at + sim->after_return) {
			struct sim_timed_line timed_line = {.time = sim->now};

			snprintf(timed_line.text, sizeof(timed_line.text), "%s", sim->then);
			sim->then[0] = 0;
			act(sim, &timed_line);
		}
		for (int i = 0; i < sim->session_count; i++)
			if (sim->sessions[i].live && sim->now >= sim->state_down &&
			    sim->now > sim->sessions[i].until + 0.05)
				sim_hold_end(sim, &sim->sessions[i]);
		sim->was_down = sim->now < sim->state_down;
		bool next_leader = begun(sim);

		for (struct sim_delayed_heartbeat **delayed_link = &sim->delayed_heartbeats,
						  *delayed;
		     (delayed = *delayed_link);) {
			if (delayed->node < 0 ? !next_leader : delayed->due_at > sim->now) {
				delayed_link = &delayed->next;
				continue;
			}
			*delayed_link = delayed->next;
			/* its sender gave up long ago: nobody hears the answer */
			for (int i = 0; i < sim->node_count; i++)
				if (sim->nodes[i].is_up &&
				    (delayed->node == i || delayed->node < 0))
					sim->nodes[i].version->report(
					    sim->nodes[i].core, sim->now * (1 + sim->nodes[i].skew),
					    1ULL << 60, &delayed->heartbeat, false);
			free(delayed->heartbeat.tasks);
			free(delayed);
		}
		for (struct sim_late_command **late_command_link = &sim->late_commands,
					     *late_command;
		     (late_command = *late_command_link);) {
			if (late_command->due_at > sim->now) {
				late_command_link = &late_command->next;
				continue;
			}
			*late_command_link = late_command->next;
			if (sim_worker_live(sim, &sim->workers[late_command->worker]))
				sim_worker_command(
				    sim, &sim->workers[late_command->worker],
				    late_command->fencing_token, late_command->incarnation,
				    late_command->commands, late_command->command_count, NULL);
			free(late_command->commands);
			free(late_command);
		}
		for (int i = 0; i < sim->node_count; i++) {
			if (!sim->nodes[i].is_up && sim->now >= sim->nodes[i].up_at)
				node_start(sim, i);
			if (sim->now < sim->nodes[i].frozen)
				continue;
			if (sim->nodes[i].is_up)
				sim->nodes[i].version->tick(sim->nodes[i].core,
							    sim->now * (1 + sim->nodes[i].skew));
			node_drain(sim, i);
		}
		for (int i = 0; i < sim->worker_count; i++)
			sim_worker_step(sim, &sim->workers[i]);
		sim_gangs_step(sim);
		sim_users_step(sim);
		sim_cold_start_step(sim);
		/* all that falls within this step, in the order of its time */
		double step_end = sim->now + STEP;
		for (;;) {
			for (int i = 0; i < sim->node_count; i++)
				node_drain(sim, i);
			flight = sim->calls_in_flight;
			if (!flight || flight->due_at >= step_end)
				break;
			sim->calls_in_flight = flight->next;
			sim->now = flight->due_at > sim->now ? flight->due_at : sim->now;
			flight_go(sim, flight);
		}
		sim->now = step_end;
		sim_check_quota(sim);
	}
	snprintf(err, size, "%s", sim->err);
	return !sim->err[0];
}

void sim_print_digest(const struct sim *sim, const char *name)
{
	printf("digest %s %016llx %llu effects\n", name, (unsigned long long)sim->digest,
	       (unsigned long long)sim->digest_lines);
}

void sim_free(struct sim *sim)
{
	struct sim_entry *entry, *next_entry;

	while (sim->calls_in_flight) {
		struct sim_call_in_flight *flight = sim->calls_in_flight;

		sim->calls_in_flight = flight->next;
		flight->call_version->free_call(flight->call);
		result_clear(&flight->result);
		free(flight);
	}
	while (sim->delayed_heartbeats) {
		struct sim_delayed_heartbeat *delayed = sim->delayed_heartbeats;

		sim->delayed_heartbeats = delayed->next;
		free(delayed->heartbeat.tasks);
		free(delayed);
	}
	while (sim->late_commands) {
		struct sim_late_command *late_command = sim->late_commands;

		sim->late_commands = late_command->next;
		free(late_command->commands);
		free(late_command);
	}
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].core)
			sim->nodes[i].version->destroy(sim->nodes[i].core);
	HASH_ITER (hh, sim->entries, entry, next_entry) {
		HASH_DEL(sim->entries, entry);
		json_decref(entry->value);
		free(entry);
	}
	for (size_t i = 0; i < sim->history_count; i++)
		json_decref(sim->history[i].value);
	HASH_CLEAR(hh, sim->by_id);
	for (int i = 0; i < sim->job_count; i++) {
		free(sim->jobs[i].task_done);
		free(sim->jobs[i].displaced_at);
		free(sim->jobs[i].killed_at);
	}
	ws_domains_settings_free(&sim->zones_settings);
	free(sim->history);
	free(sim->jobs);
	free(sim->workers);
	free(sim);
}
