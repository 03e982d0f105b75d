/* The workers: reports, commands, leases and tasks, and the rules that concern tasks. */
#include "parts.h"

#define REPORT_TIMEOUT_S 4
#define HELD 1e9 /* delay of messages to a machine that hangs */
#define REPORT_MAX 65536

struct worker workers[WORKERS_MAX];
static struct ws_http_client *clients[WORKERS_MAX][NODES_MAX];
static bool image_cached[WORKERS_MAX];
static double epoch_reported_at[WORKERS_MAX];

/* ---- rules ---- */

static bool on_machine(const struct task *task)
{
	return task->state == TASK_RUNNING || task->state == TASK_FLUSHING ||
	       task->state == TASK_WAITING;
}

static void lease_check(struct worker *worker);

unsigned running_tasks(const struct job *job)
{
	unsigned count = 0;

	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; k < workers[i].task_count; k++)
			count += workers[i].tasks[k].job == job && on_machine(&workers[i].tasks[k]);
	return count;
}

unsigned running_tasks_in_zone(int zone)
{
	unsigned count = 0;

	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; workers[i].zone == zone && k < workers[i].task_count; k++)
			count += on_machine(&workers[i].tasks[k]);
	return count;
}

static void check_others(const struct worker *worker, const struct task *started)
{
	unsigned in_zone = 0, elsewhere = 0;
	double cpus = 0;
	const struct job *job = started->job;

	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; k < workers[i].task_count; k++) {
			const struct task *other = &workers[i].tasks[k];

			if (!on_machine(other))
				continue;
			if (other->job->team == job->team)
				cpus += other->job->cpus;
			if (other->job != job)
				continue;
			in_zone += workers[i].zone == worker->zone;
			elsewhere += workers[i].zone != worker->zone;
			if (other != started && other->number == started->number)
				violation("ran_twice",
					  "%s/%u starts on %s (attempt %llu) while it is on %s "
					  "(attempt %llu, %.2f s of its lease left)",
					  job->id, started->number, worker->name,
					  (unsigned long long)started->attempt, workers[i].name,
					  (unsigned long long)other->attempt,
					  workers[i].renewed_at + settings.lease_s - ws_now());
		}
	if (cpus > settings.team_cpus_max[job->team] + 1e-6)
		violation("quota", "team %s uses %.2f of %.2f CPUs as %s/%u starts on %s",
			  settings.team_names[job->team], cpus, settings.team_cpus_max[job->team],
			  job->id, started->number, worker->name);
	if (job->zone && strcmp(job->zone, settings.zone_names[worker->zone]) != 0)
		violation("wrong_place", "%s/%u starts in zone %s", job->id, started->number,
			  settings.zone_names[worker->zone]);
	if (job->one_zone && elsewhere)
		violation("wrong_place", "%s/%u starts in zone %s, other tasks are elsewhere",
			  job->id, started->number, settings.zone_names[worker->zone]);
	if (job->spread && in_zone > (job->shards + 1) / 2)
		violation("wrong_place", "%s/%u starts in zone %s, which has %u of %u tasks",
			  job->id, started->number, settings.zone_names[worker->zone], in_zone,
			  job->shards);
}

static void check_started(struct worker *worker, struct task *task)
{
	struct job *job = task->job;

	for (int i = 0; i < settings.workers; i++)
		if (&workers[i] != worker)
			lease_check(&workers[i]);
	record("start %s/%u on %s (%s), attempt %llu, tenure %llu", job->id, task->number,
	       worker->name, settings.zone_names[worker->zone], (unsigned long long)task->attempt,
	       (unsigned long long)worker->tenure);
	job->starts++;
	if (!job->first_start_at)
		job->first_start_at = now_s();
	check_others(worker, task);
	if (job->told_cancelled && now_s() > job->cancelled_at + settings.cancel_s)
		violation("ran_cancelled", "%s/%u starts on %s %.1f s after its cancellation",
			  job->id, task->number, worker->name, now_s() - job->cancelled_at);
	else if (job->told_cancelled && now_s() > job->cancelled_at)
		record("note: %s/%u starts %.2f s after its confirmed cancellation", job->id,
		       task->number, now_s() - job->cancelled_at);
}

static void check_cancelled(const struct worker *worker)
{
	static double noted[JOBS_MAX];

	for (unsigned k = 0; k < worker->task_count; k++) {
		const struct task *task = &worker->tasks[k];
		const struct job *job = task->job;

		if (!on_machine(task) || !job->told_cancelled ||
		    now_s() <= job->cancelled_at + settings.cancel_s || noted[job - jobs])
			continue;
		noted[job - jobs] = 1;
		violation("ran_cancelled", "%s/%u is on %s %.1f s after its cancellation", job->id,
			  task->number, worker->name, now_s() - job->cancelled_at);
	}
}

/* ---- reports ---- */

static json_t *build_report(struct worker *worker)
{
	static const char *const phases[] = {"pulling", "running", "flushing", "exited",
					     "waiting"};
	json_t *shards = json_array();
	char address[32];

	for (unsigned i = 0; i < worker->task_count; i++) {
		const struct task *task = &worker->tasks[i];
		char name[64];
		json_t *object;

		snprintf(name, sizeof(name), "%s/%u", task->job->id, task->number);
		object = json_pack("{s:s,s:I,s:s}", "shard", name, "tryNo",
				   (json_int_t)task->attempt, "phase", phases[task->state]);
		if (task->state == TASK_EXITED)
			json_object_set_new(object, "cause", json_string(task->cause));
		if (task->state == TASK_EXITED && task->saved)
			json_object_set_new(object, "saved", json_true());
		json_array_append_new(shards, object);
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "host", worker->name,
			 "address", address, "flavour", "keski16", "hall",
			 settings.zone_names[worker->zone], "reclaimable", 0, "tenure",
			 (json_int_t)worker->tenure, "counter", (json_int_t)++worker->counter,
			 "epoch", (json_int_t)worker->epoch, "warningS", "shards", shards);
}

/* A change is reported at once, but no more often than every half second. */
static void report_soon(struct worker *worker)
{
	double at = worker->last_sent_at + 0.5;

	if (at < ws_now())
		at = ws_now();
	if (at < worker->next_report_at)
		worker->next_report_at = at;
}

static void epoch_seen(struct worker *worker, uint64_t epoch)
{
	if (epoch <= worker->epoch)
		return;
	worker->epoch = epoch;
	/* a higher token counts as a change at most once per half of the lease */
	if (ws_now() - epoch_reported_at[worker->index] < settings.lease_s / 2)
		return;
	epoch_reported_at[worker->index] = ws_now();
	report_soon(worker);
}

/* ---- tasks ---- */

static void task_exit(struct worker *worker, struct task *task, const char *cause)
{
	record("exit %s/%u on %s, attempt %llu: %s", task->job->id, task->number, worker->name,
	       (unsigned long long)task->attempt, cause);
	task->state = TASK_EXITED;
	task->cause = cause;
	if (!strcmp(cause, "done") && !task->job->task_done[task->number]) {
		task->job->task_done[task->number] = true;
		task->job->done_count++;
	}
	report_soon(worker);
}

static struct task *task_find(struct worker *worker, const struct job *job, unsigned number,
			      uint64_t attempt)
{
	for (unsigned i = 0; i < worker->task_count; i++)
		if (worker->tasks[i].job == job && worker->tasks[i].number == number &&
		    worker->tasks[i].attempt == attempt)
			return &worker->tasks[i];
	return NULL;
}

static const char *refusal(const struct worker *worker, const struct job *job, unsigned number)
{
	double cpus = 0, mem_gb = 0;

	if (!job || number >= job->shards || !job->submitted)
		return "no_such";
	for (unsigned i = 0; i < worker->task_count; i++) {
		const struct task *task = &worker->tasks[i];

		if (task->state == TASK_EXITED)
			continue;
		if (task->job == job && task->number == number)
			return "busy";
		cpus += task->job->cpus;
		mem_gb += task->job->mem_gb;
	}
	if (cpus + job->cpus > settings.worker_cpus + 1e-9 ||
	    mem_gb + job->mem_gb > settings.worker_mem_gb + 1e-9)
		return "full";
	return NULL;
}

static void command_run(struct worker *worker, struct job *job, unsigned number, uint64_t attempt)
{
	const char *refused = refusal(worker, job, number);
	struct task *task;

	if (!job || worker->task_count == TASKS_MAX)
		return;
	task = &worker->tasks[worker->task_count++];
	*task = (struct task){.job = job, .number = number, .attempt = attempt};
	if (refused) {
		task_exit(worker, task, refused);
		return;
	}
	task->next_at = ws_now() + (image_cached[worker->index] ? 0 : job->image_gb);
	report_soon(worker);
}

static void command_stop(struct worker *worker, struct task *task, double grace_s)
{
	const struct job *job = task->job;

	if (task->state == TASK_EXITED)
		return;
	if (task->state == TASK_RUNNING && job->checkpoint_s > 0 && grace_s >= job->save_s) {
		task->state = TASK_FLUSHING;
		task->next_at = ws_now() + job->save_s;
		report_soon(worker);
	} else if (task->state != TASK_FLUSHING || grace_s == 0) {
		task_exit(worker, task, "stopped");
	}
}

static void command_execute(struct worker *worker, json_t *object)
{
	const char *verb = json_string_value(json_object_get(object, "verb"));
	const char *shard = json_string_value(json_object_get(object, "shard"));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(object, "tryNo"));
	const char *slash = shard ? strrchr(shard, '/') : NULL;
	struct task *task;
	struct job *job;
	unsigned number;
	char id[32];

	if (!verb || !slash)
		return;
	snprintf(id, sizeof(id), "%.*s", (int)(slash - shard), shard);
	number = (unsigned)atoi(slash + 1);
	job = job_find(id);
	task = task_find(worker, job, number, attempt);
	record("command to %s: %s %s attempt %llu%s", worker->name, verb, shard,
	       (unsigned long long)attempt, task ? "" : " (not there)");
	if (!strcmp(verb, "run") && !task)
		command_run(worker, job, number, attempt);
	else if (!strcmp(verb, "stop") && task)
		command_stop(worker, task,
			     json_number_value(json_object_get(object, "windDownS")));
	else if (!strcmp(verb, "reap") && task && task->state == TASK_EXITED) {
		*task = worker->tasks[--worker->task_count];
		report_soon(worker);
	}
}

static bool commands_execute(struct worker *worker, json_t *message)
{
	json_t *epoch = json_object_get(message, "epoch"), *object;
	size_t i;

	if (!json_is_integer(epoch) || (uint64_t)json_integer_value(epoch) < worker->epoch)
		return false;
	epoch_seen(worker, (uint64_t)json_integer_value(epoch));
	json_array_foreach (json_object_get(message, "orders"), i, object)
		command_execute(worker, object);
	return true;
}

/* ---- direct commands ---- */

static void command_receive(void *context, uint64_t id, const char *method, const char *path,
			    const char *body, size_t length)
{
	struct worker *worker = context;
	json_t *message;
	bool accepted;

	(void)path;
	if (worker->hung) {
		delay(HELD, command_receive, worker, id, method, path, body, length);
		return;
	}
	lease_check(worker);
	message = json_loadb(body, length, 0, NULL);
	accepted = json_integer_value(json_object_get(message, "tenure")) ==
		       (json_int_t)worker->tenure &&
		   commands_execute(worker, message);
	json_decref(message);
	if (strcmp(method, "late") != 0)
		answer(worker->server, id, accepted ? 200 : 409, build_report(worker));
}

static void on_command(void *context, uint64_t id, const char *method, const char *path,
		       const char *body, size_t length)
{
	struct worker *worker = context;
	json_t *message = json_loadb(body, length, 0, NULL);
	json_t *epoch = json_object_get(message, "epoch");
	int node = node_of_leader_revision((uint64_t)json_integer_value(epoch) >> 20);
	bool complete = epoch && json_object_get(message, "tenure");

	json_decref(message);
	if (on_direct_command)
		on_direct_command(worker, body);
	if (node >= 0 && faults.worker_cut[node][worker->index])
		return; /* neither carried out nor answered */
	if (length > REPORT_MAX)
		violation("body_limit", "a request of %zu bytes to %s", length, worker->name);
	if (!complete)
		answer(worker->server, id, 400, json_object());
	else if (random_unit() < faults.late_commands)
		delay(2 + 14 * random_unit(), command_receive, worker, id, "late", path, body,
		      length);
	else
		command_receive(worker, id, method, path, body, length);
}

/* ---- reporting ---- */

static void next_node(struct worker *worker)
{
	worker->node = (worker->node + 1) % settings.nodes;
	worker->next_report_at = ws_now() + 1;
}

struct report_context {
	struct worker *worker;
	uint64_t serial;
	int node;
};

static void report_answered(struct report_context *context, int status, const char *body,
			    size_t length)
{
	struct worker *worker = context->worker;
	json_t *message = json_loadb(body, length, 0, NULL);
	const char *supervisor = json_string_value(json_object_get(message, "supervisor"));
	uint64_t epoch = (uint64_t)json_integer_value(json_object_get(message, "epoch"));

	if (status == 200) {
		bool accepted =
		    worker->tenure == worker->report_tenure && commands_execute(worker, message);

		record("report of %s at %.3f answered by node-%d: 200, epoch %llu (leader key "
		       "revision %llu)%s",
		       worker->name, worker->sent_at - (ws_now() - now_s()), context->node,
		       (unsigned long long)epoch, (unsigned long long)(epoch >> 20),
		       accepted ? "" : ", dropped");
		if (accepted)
			worker->renewed_at = worker->sent_at;
		if (on_report_answered)
			on_report_answered(worker, context->node, epoch, accepted);
	} else {
		record("report of %s answered by node-%d: %d %s", worker->name, context->node,
		       status, supervisor ? supervisor : "");
		if (status == 421 && supervisor && atoi(supervisor + strlen("node-")) != worker->node) {
			worker->node = atoi(supervisor + strlen("node-")) % settings.nodes;
			worker->next_report_at = ws_now() + 0.5 * random_unit();
		} else {
			next_node(worker);
		}
	}
	json_decref(message);
}

static void on_report_reply(void *data, int status, const char *body, size_t length)
{
	struct report_context context = *(struct report_context *)data;
	struct worker *worker = context.worker;

	free(data);
	if (context.serial != worker->report_serial || !worker->reporting)
		return; /* given up */
	/* a cut drops the answer; a machine that hangs answers nothing and reads nothing in time */
	if (worker->hung || faults.worker_cut[context.node][worker->index])
		return;
	worker->reporting = false;
	report_answered(&context, status, body, length);
}

static void on_copy_reply(void *data, int status, const char *body, size_t length)
{
	(void)data;
	(void)status;
	(void)body;
	(void)length;
}

static void copy_send(void *context, uint64_t id, const char *method, const char *path,
		      const char *body, size_t length)
{
	struct worker *worker = context;
	int node = (int)(random_unit() * settings.nodes) % settings.nodes;

	(void)id;
	(void)method;
	(void)path;
	if (!faults.worker_cut[node][worker->index])
		ws_client_send(clients[worker->index][node], "POST", "/checkin", body, length,
			       REPORT_TIMEOUT_S, false, on_copy_reply, NULL);
}

static void report_send(struct worker *worker)
{
	struct report_context *context;
	json_t *body = build_report(worker);
	char *text = json_dumps(body, JSON_COMPACT);
	size_t length = strlen(text);

	json_decref(body);
	if (length > worker->largest_report)
		worker->largest_report = length;
	if (length > REPORT_MAX) { /* no request body may be that large: it can't be sent */
		record("report of %s with %u tasks would take %zu bytes", worker->name,
		       worker->task_count, length);
		worker->next_report_at = ws_now() + settings.report_s;
		free(text);
		return;
	}
	worker->sent_at = worker->last_sent_at = ws_now();
	worker->report_tenure = worker->tenure;
	worker->next_report_at =
	    ws_now() + settings.report_s * (0.75 + 0.5 * random_unit());
	worker->reporting = true;
	worker->report_serial++;
	if (random_unit() < faults.late_reports)
		delay(2 + 1.5 * settings.lease_s * random_unit(), copy_send, worker, 0, "POST",
		      "/checkin", text, strlen(text));
	if (!faults.worker_cut[worker->node][worker->index]) {
		context = malloc(sizeof(*context));
		*context = (struct report_context){worker, worker->report_serial, worker->node};
		if (!ws_client_send(clients[worker->index][worker->node], "POST", "/checkin", text,
				    strlen(text), REPORT_TIMEOUT_S, false, on_report_reply, context))
			free(context);
	}
	free(text);
}

/* ---- time ---- */

static void lease_check(struct worker *worker)
{
	unsigned lost = 0;

	if (ws_now() - worker->renewed_at <= settings.lease_s)
		return;
	for (unsigned i = 0; i < worker->task_count; i++)
		if (worker->tasks[i].state != TASK_EXITED) {
			worker->tasks[i].job->killed_count++;
			lost++;
		}
	record("lease of %s expired, tenure %llu ends, tasks killed: %u", worker->name,
	       (unsigned long long)worker->tenure, lost);
	worker->task_count = 0;
	worker->tenure++;
	worker->renewed_at = ws_now();
	report_soon(worker);
}

static bool is_gang(const struct job *job)
{
	return !strcmp(job->kind, "gang");
}

/* The tasks of an attempt of a gang in this state, on machines that don't hang. */
static unsigned gang_tasks(const struct task *task, enum task_state state)
{
	unsigned count = 0;

	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; !workers[i].hung && k < workers[i].task_count; k++)
			count += workers[i].tasks[k].job == task->job &&
				 workers[i].tasks[k].attempt == task->attempt &&
				 workers[i].tasks[k].state == state;
	return count;
}

/* A task of a gang waits for the others; the last one starts all. */
static void gang_wait(struct worker *worker, struct task *task)
{
	struct job *job = task->job;

	task->state = TASK_WAITING;
	task->next_at = ws_now() + settings.gang_wait_s;
	check_started(worker, task);
	report_soon(worker);
	if (gang_tasks(task, TASK_WAITING) < job->shards)
		return;
	for (int i = 0; i < settings.workers; i++)
		for (unsigned k = 0; k < workers[i].task_count; k++) {
			struct task *mate = &workers[i].tasks[k];

			if (mate->job != job || mate->state != TASK_WAITING)
				continue;
			mate->state = TASK_RUNNING;
			mate->next_at = ws_now() + job->run_s;
			report_soon(&workers[i]);
		}
	record("gang %s runs", job->id);
}

/* The tasks of a gang that runs complete together, or exit when one of them is gone. */
static bool gang_ends(struct worker *worker, struct task *task)
{
	if (!is_gang(task->job) || task->state != TASK_RUNNING || ws_now() >= task->next_at)
		return false;
	if (task->job->done_count)
		task_exit(worker, task, "done");
	else if (gang_tasks(task, TASK_RUNNING) < task->job->shards)
		task_exit(worker, task, "mates_gone");
	else
		return false;
	return true;
}

static void task_step(struct worker *worker, struct task *task)
{
	struct job *job = task->job;

	if (task->state == TASK_EXITED || gang_ends(worker, task) || ws_now() < task->next_at)
		return;
	if (task->state == TASK_WAITING) {
		task_exit(worker, task, "incomplete");
	} else if (task->state == TASK_PULLING && is_gang(job)) {
		image_cached[worker->index] = true;
		gang_wait(worker, task);
	} else if (task->state == TASK_PULLING) {
		image_cached[worker->index] = true;
		task->state = TASK_RUNNING;
		check_started(worker, task);
		if (job->task_done[task->number])
			task->next_at = 0;
		else if (job->fails_after_s > 0)
			task->next_at = ws_now() + job->fails_after_s;
		else
			task->next_at =
			    strcmp(job->kind, "daemon")
				? ws_now() + job->run_s * (1 + job->run_vary * random_unit())
				: 1e18;
		report_soon(worker);
	} else if (task->state == TASK_FLUSHING) {
		task->saved = true;
		task_exit(worker, task, "stopped");
	} else {
		task_exit(worker, task, job->fails_after_s > 0 ? "error" : "done");
	}
}

static void worker_step(struct worker *worker)
{
	lease_check(worker); /* a machine that hangs may go on within its lease only */
	if (worker->hung)
		return;
	for (unsigned i = 0; i < worker->task_count; i++)
		task_step(worker, &worker->tasks[i]);
	check_cancelled(worker);
	if (worker->reporting && ws_now() - worker->sent_at > REPORT_TIMEOUT_S) {
		worker->reporting = false;
		next_node(worker);
	}
	if (!worker->reporting && ws_now() >= worker->next_report_at)
		report_send(worker);
}

void worker_hang(int index, bool on)
{
	struct worker *worker = &workers[index];
	static double hung_at[WORKERS_MAX];

	record("%s %s", worker->name, on ? "hangs" : "goes on");
	worker->hung = on;
	if (on) {
		hung_at[index] = ws_now();
		return;
	}
	for (unsigned i = 0; i < worker->task_count; i++)
		worker->tasks[i].next_at += ws_now() - hung_at[index];
	lease_check(worker);
	delayed_release(worker);
}

void workers_step(void)
{
	for (int i = 0; i < settings.workers; i++)
		worker_step(&workers[i]);
}

void workers_open(void)
{
	const struct ws_http_client_options options = {
	    .max_connections = 6, .max_queue = 16, .max_reply_bytes = 1 << 20};
	char error[200];

	for (int i = 0; i < settings.workers; i++) {
		struct worker *worker = &workers[i];

		snprintf(worker->name, sizeof(worker->name), "n-%06d", i + 1);
		worker->index = i;
		worker->zone = settings.worker_zone[i];
		worker->server = ws_server_new(loop, "127.0.0.1", 0, &server_options, on_command,
					       worker, error, sizeof(error));
		if (!worker->server)
			cannot_run("%s", error);
		worker->port = ws_server_port(worker->server);
		worker->tenure = 1;
		worker->renewed_at = ws_now();
		worker->next_report_at = ws_now() + settings.report_s * random_unit();
		worker->node = i % settings.nodes;
		for (int k = 0; k < settings.nodes; k++)
			clients[i][k] = ws_client_new(loop, "127.0.0.1", nodes[k].port, &options);
	}
}
