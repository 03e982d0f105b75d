/* The loopback cluster's workers: reports, commands, leases; the count of all that they are told.
 */
#include "loopback_parts.h"

struct loopback_worker loopback_workers[LOOPBACK_WORKERS];
struct loopback_counts loopback_count;

/* The rule: a task starts on one machine only. */
static void check_alone(const struct loopback_task *started)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].count; k++) {
			const struct loopback_task *other = &loopback_workers[i].tasks[k];

			loopback_count.twice +=
			    other != started && other->state == LOOPBACK_RUNNING &&
			    other->number == started->number && !strcmp(other->job, started->job);
		}
}

static json_t *report(struct loopback_worker *w)
{
	static const char *const names[] = {"pulling", "running", "exited"};
	json_t *tasks = json_array();
	char address[32];

	for (unsigned i = 0; i < w->count; i++) {
		const struct loopback_task *t = &w->tasks[i];
		char name[64];
		json_t *o;

		snprintf(name, sizeof(name), "%s/%u", t->job, t->number);
		o = json_pack("{s:s,s:I,s:s}", "shard", name, "tryNo", (json_int_t)t->attempt,
			      "phase", names[t->state]);
		if (t->cause)
			json_object_set_new(o, "cause", json_string(t->cause));
		json_array_append_new(tasks, o);
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", w->port);
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "host", w->name, "address",
			 address, "flavour", "std", "hall", loopback_zones[w->zone], "reclaimable",
			 0, "tenure", (json_int_t)w->tenure, "counter", (json_int_t)++w->counter,
			 "epoch", (json_int_t)w->epoch, "warningS", "shards", tasks);
}

static void changed(struct loopback_worker *w)
{
	if (w->next_report > ws_now() + 0.1)
		w->next_report = ws_now() + 0.1;
}

static void order(struct loopback_worker *w, json_t *o)
{
	const char *verb = json_string_value(json_object_get(o, "verb"));
	const char *shard = json_string_value(json_object_get(o, "shard"));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, "tryNo"));
	unsigned number = (unsigned)atoi(strrchr(shard, '/') + 1);
	struct loopback_task *t = NULL;
	char job[32];

	snprintf(job, sizeof(job), "%.*s", (int)strcspn(shard, "/"), shard);
	for (unsigned i = 0; i < w->count; i++)
		if (w->tasks[i].attempt == attempt && w->tasks[i].number == number &&
		    !strcmp(w->tasks[i].job, job))
			t = &w->tasks[i];
	if (!strcmp(verb, "run") && !t && w->count < LOOPBACK_TASKS) {
		loopback_count.run_orders++;
		t = &w->tasks[w->count++];
		*t = (struct loopback_task){
		    .number = number, .attempt = attempt, .until = ws_now() + 0.1};
		snprintf(t->job, sizeof(t->job), "%s", job);
	} else if (!strcmp(verb, "stop") && t && t->state != LOOPBACK_EXITED) {
		loopback_count.stop_orders++;
		t->state = LOOPBACK_EXITED;
		t->cause = "stopped";
	} else if (!strcmp(verb, "reap") && t && t->state == LOOPBACK_EXITED) {
		loopback_count.reap_orders++;
		*t = w->tasks[--w->count];
	}
	changed(w);
}

/* Orders with a token; false if it is too low. */
static bool orders(struct loopback_worker *w, json_t *message)
{
	uint64_t epoch = (uint64_t)json_integer_value(json_object_get(message, "epoch"));
	json_t *o;
	size_t i;

	if (epoch < w->epoch)
		return false;
	if (epoch > w->epoch)
		changed(w);
	w->epoch = epoch;
	json_array_foreach (json_object_get(message, "orders"), i, o)
		order(w, o);
	return true;
}

static void on_command(void *context, uint64_t token, const char *method, const char *path,
		       const char *body, size_t length)
{
	struct loopback_worker *w = context;
	json_t *message = json_loadb(body, length, 0, NULL);
	bool ok;

	(void)method;
	(void)path;
	if (w->dark) { /* nobody hears the answer */
		json_decref(message);
		return;
	}
	ok = json_integer_value(json_object_get(message, "tenure")) == (json_int_t)w->tenure &&
	     orders(w, message);
	loopback_answer(w->server, token, ok ? 200 : 409, report(w));
	json_decref(message);
}

static void on_answer(void *context, int status, const char *body, size_t length)
{
	struct loopback_worker *w = context;
	json_t *message;
	const char *leader;

	w->waiting = false;
	if (w->dark)
		return;
	message = json_loadb(body, length, 0, NULL);
	leader = json_string_value(json_object_get(message, "supervisor"));
	if (status == 200 && orders(w, message)) {
		w->answered_sent = w->sent_at;
	} else if (status == 421 && leader && atoi(leader + 5) != w->node) {
		w->node = atoi(leader + 5);
		w->next_report = ws_now() + 0.1;
	} else {
		w->node = (w->node + 1) % LOOPBACK_NODES;
		w->next_report = ws_now() + 1;
	}
	json_decref(message);
}

static void task_step(struct loopback_worker *w, struct loopback_task *t)
{
	struct loopback_job *job = loopback_job_of(t->job);

	if (t->state == LOOPBACK_EXITED || ws_now() < t->until)
		return;
	if (t->state == LOOPBACK_PULLING) {
		t->state = LOOPBACK_RUNNING;
		t->until = job->service ? 1e18 : ws_now() + job->run_s;
		loopback_count.starts++;
		check_alone(t);
	} else {
		t->state = LOOPBACK_EXITED;
		t->cause = "done";
		loopback_count.finishes++;
	}
	changed(w);
}

static void worker_step(struct loopback_worker *w)
{
	char *text;
	json_t *body;

	if (ws_now() - w->answered_sent > LOOPBACK_LEASE_S) {
		for (unsigned i = 0; i < w->count; i++)
			loopback_count.lost += w->tasks[i].state != LOOPBACK_EXITED;
		w->count = 0;
		w->tenure++;
		w->answered_sent = ws_now();
	}
	for (unsigned i = 0; i < w->count; i++)
		task_step(w, &w->tasks[i]);
	if (w->dark || w->waiting || ws_now() < w->next_report)
		return;
	body = report(w);
	text = json_dumps(body, 0);
	json_decref(body);
	w->sent_at = ws_now();
	w->next_report = ws_now() + LOOPBACK_REPORT_S;
	w->waiting = ws_client_send(w->to[w->node], "POST", "/checkin", text, strlen(text), 4,
				    false, on_answer, w);
	free(text);
}

void loopback_worker_open(struct ev_loop *loop, int i, const struct ws_server_opts *options)
{
	struct ws_client_opts client = {.max_conns = 1, .max_queue = 2, .max_reply = 65536};
	struct loopback_worker *w = &loopback_workers[i];
	char error[200];

	snprintf(w->name, sizeof(w->name), "n-%06d", i);
	w->zone = i % LOOPBACK_NODES;
	w->server =
	    ws_server_new(loop, "127.0.0.1", 0, options, on_command, w, error, sizeof(error));
	w->port = ws_server_port(w->server);
	w->tenure = 1;
	w->answered_sent = ws_now();
	for (int n = 0; n < LOOPBACK_NODES; n++)
		w->to[n] = ws_client_new(loop, "127.0.0.1", loopback_nodes[n].port, &client);
}

void loopback_workers_close(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		for (int n = 0; n < LOOPBACK_NODES; n++)
			ws_client_free(loopback_workers[i].to[n]);
		ws_server_free(loopback_workers[i].server);
	}
}

void loopback_workers_step(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		worker_step(&loopback_workers[i]);
}

void loopback_dark(int zone, bool dark)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		if (loopback_workers[i].zone == zone)
			loopback_workers[i].dark = dark;
}

unsigned loopback_running_on(int worker, const char *job)
{
	const struct loopback_worker *w = &loopback_workers[worker];
	unsigned n = 0;

	for (unsigned i = 0; i < w->count; i++)
		n += w->tasks[i].state == LOOPBACK_RUNNING && !strcmp(w->tasks[i].job, job);
	return n;
}

const char *loopback_worker_name(int worker)
{
	return loopback_workers[worker].name;
}

unsigned loopback_running(int zone)
{
	unsigned n = 0;

	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0;
		     loopback_workers[i].zone == zone && k < loopback_workers[i].count; k++)
			n += loopback_workers[i].tasks[k].state == LOOPBACK_RUNNING;
	return n;
}

const struct loopback_counts *loopback_counts(void)
{
	return &loopback_count;
}
