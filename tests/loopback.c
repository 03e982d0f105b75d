#include "loopback.h"
#include "../src/io/http.h"
#include "ports.h"
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define TICK_S 0.05
#define WATCHES 32
#define HOLDS 256
#define TASKS 32
#define POLL_S 0.5

enum task_state { PULLING, RUNNING, EXITED };
struct task {
	char job[32];
	unsigned number;
	uint64_t attempt;
	enum task_state state;
	const char *cause;
	double until;
};

struct worker {
	char name[32];
	int zone, port, node;
	struct ws_server *server;
	struct ws_client *to[LOOPBACK_NODES];
	uint64_t tenure, counter, epoch, report;
	double answered_sent, sent_at, next_report;
	bool waiting, dark;
	struct task tasks[TASKS];
	unsigned count;
};

struct node {
	pid_t pid;
	int port, peer_port;
	char file[64];
	struct ws_client *client;
};

static const char *const zones[] = {"a", "b", "c"};
static struct ev_loop *loop;
static struct ws_server *state, *cloud;
static json_t *records, *removed;
static json_int_t revision = 1;
static struct {
	uint64_t token;
	json_int_t since;
	double until;
	char prefix[64];
} watches[WATCHES];
static struct {
	double ttl, until;
	bool live;
} holds[HOLDS];
static unsigned hold_count;
static struct worker workers[LOOPBACK_WORKERS];
static struct node nodes[LOOPBACK_NODES];
static struct loopback_job jobs[LOOPBACK_JOBS];
static unsigned job_count;
static struct loopback_counts counts;
static const char *program, *subsystems;
static ev_timer ticker;
static double next_poll;
static unsigned next_node;

static void answer(struct ws_server *server, uint64_t token, int status, json_t *body)
{
	char *text = json_dumps(body, 0);

	ws_server_answer(server, token, status, text, strlen(text), 0);
	free(text);
	json_decref(body);
}

/* ---- state service ---- */

static void record_put(const char *key, json_t *value, json_int_t hold)
{
	if (value) {
		json_object_set_new(
		    records, key,
		    json_pack("{s:O,s:I,s:I}", "value", value, "stamp", revision, "hold", hold));
		json_object_del(removed, key);
	} else if (!json_object_del(records, key)) {
		json_object_set_new(removed, key, json_integer(revision));
	}
}

static json_t *record_list(const char *prefix, json_int_t since, bool events)
{
	json_t *list = json_array(), *record;
	const char *key;

	json_object_foreach (records, key, record) {
		json_int_t stamp = json_integer_value(json_object_get(record, "stamp"));

		if (strncmp(key, prefix, strlen(prefix)) != 0 || stamp <= since)
			continue;
		json_array_append_new(list, json_pack("{s:s,s:O,s:I}", events ? "write" : "k", key,
						      "value", json_object_get(record, "value"),
						      "stamp", stamp));
	}
	if (!events)
		return list;
	json_object_foreach (removed, key, record)
		if (!strncmp(key, prefix, strlen(prefix)) && json_integer_value(record) > since)
			json_array_append_new(
			    list, json_pack("{s:s,s:O}", "delete", key, "stamp", record));
	return list;
}

static void watches_wake(void)
{
	for (int i = 0; i < WATCHES; i++) {
		json_t *news;

		if (!watches[i].token)
			continue;
		news = record_list(watches[i].prefix, watches[i].since, true);
		if (!json_array_size(news) && ws_now() < watches[i].until) {
			json_decref(news);
			continue;
		}
		answer(state, watches[i].token, 200,
		       json_pack("{s:I,s:o}", "ledgerRev", revision, "news", news));
		watches[i].token = 0;
	}
}

static void on_watch(uint64_t token, const char *path, const char *prefix)
{
	for (int i = 0; i < WATCHES; i++) {
		if (watches[i].token)
			continue;
		watches[i].token = token;
		watches[i].since = atoll(strstr(path, "since=") + 6);
		watches[i].until = ws_now() + atof(strstr(path, "holdMs=") + 7) / 1000;
		snprintf(watches[i].prefix, sizeof(watches[i].prefix), "%s", prefix);
		watches_wake();
		return;
	}
	answer(state, token, 503, json_object());
}

static bool hold_live(json_int_t id)
{
	return id > 0 && id <= (json_int_t)hold_count && holds[id - 1].live;
}

static void on_transaction(uint64_t token, json_t *body)
{
	json_t *failed = json_array(), *entry;
	size_t i;

	json_array_foreach (json_object_get(body, "when"), i, entry) {
		const char *key = json_string_value(json_object_get(entry, "k"));
		json_t *record = json_object_get(records, key);

		if (json_integer_value(json_object_get(record, "stamp")) !=
		    json_integer_value(json_object_get(entry, "stamp")))
			json_array_append_new(failed, json_string(key));
	}
	if (json_array_size(failed)) {
		answer(state, token, 409,
		       json_pack("{s:o,s:I}", "failed", failed, "ledgerRev", revision));
		return;
	}
	json_decref(failed);
	revision++;
	json_array_foreach (json_object_get(body, "then"), i, entry) {
		const char *key = json_string_value(json_object_get(entry, "write"));

		if (key)
			record_put(key, json_object_get(entry, "value"),
				   json_integer_value(json_object_get(entry, "permit")));
		else
			record_put(json_string_value(json_object_get(entry, "delete")), NULL, 0);
	}
	answer(state, token, 200, json_pack("{s:I}", "ledgerRev", revision));
	watches_wake();
}

static void hold_end(json_int_t id)
{
	json_t *record;
	const char *key;
	void *next;

	holds[id - 1].live = false;
	json_object_foreach_safe(records, next, key, record)
	{
		if (json_integer_value(json_object_get(record, "hold")) != id)
			continue;
		revision++;
		record_put(key, NULL, 0);
	}
	watches_wake();
}

static void on_hold(uint64_t token, const char *method, const char *path, json_t *body)
{
	json_int_t id = atoll(path + strcspn(path + 1, "/") + 2);

	if (!strcmp(path, "/holds")) {
		holds[hold_count].ttl = json_number_value(json_object_get(body, "ttlMs")) / 1000;
		id = ++hold_count % HOLDS;
		holds[id - 1].live = true;
	} else if (!hold_live(id)) {
		answer(state, token, 404, json_object());
		return;
	} else if (!strcmp(method, "DELETE")) {
		hold_end(id);
	}
	holds[id - 1].until = ws_now() + holds[id - 1].ttl;
	answer(state, token, 200, json_pack("{s:I}", "permit", id));
}

static void on_state(void *context, uint64_t token, const char *method, const char *path,
		     const char *body, size_t length)
{
	json_t *request = length ? json_loadb(body, length, 0, NULL) : NULL;
	char prefix[64] = "";

	(void)context;
	if (strstr(path, "starts="))
		sscanf(strstr(path, "starts=") + 7, "%63[^&]", prefix);
	if (!strncmp(path, "/kv?", 4)) {
		answer(state, token, 200,
		       json_pack("{s:o,s:b,s:I}", "entries", record_list(prefix, 0, false),
				 "hasNext", 0, "ledgerRev", revision));
	} else if (!strncmp(path, "/kv/", 4)) {
		json_t *record = json_object_get(records, path + 4);

		answer(state, token, record ? 200 : 404,
		       record ? json_pack("{s:s,s:O,s:O}", "k", path + 4, "value",
					  json_object_get(record, "value"), "stamp",
					  json_object_get(record, "stamp"))
			      : json_pack("{s:I}", "ledgerRev", revision));
	} else if (!strncmp(path, "/watch", 6)) {
		on_watch(token, path, prefix);
	} else if (!strcmp(path, "/multi")) {
		on_transaction(token, request);
	} else {
		on_hold(token, method, path, request);
	}
	json_decref(request);
}

/* ---- cloud: the workers are owned, and there is nothing to rent ---- */

static json_t *hosts(void)
{
	json_t *list = json_array();

	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "127.0.0.1:%d", workers[i].port);
		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "nameId",
						      workers[i].name, "address", address,
						      "flavour", "std", "hall",
						      zones[workers[i].zone], "reclaimable", 0,
						      "phase", "running", "ageS", 100.0));
	}
	return list;
}

static void on_cloud(void *context, uint64_t token, const char *method, const char *path,
		     const char *body, size_t length)
{
	(void)context;
	(void)body;
	(void)length;
	if (!strcmp(path, "/machine_types"))
		answer(cloud, token, 200,
		       json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s,s,s]}]}",
				 "flavours", "name", "std", "vcpus", 16.0, "accelerators", 0.0,
				 "memGb", 64.0, "localGb", 20.0, "fetchGbPerS", 1.0, "rate", 1.0,
				 "spotPrice", 0.4, "startupS", 30.0, "halls", "a", "b", "c"));
	else if (!strcmp(method, "GET"))
		answer(cloud, token, 200, json_pack("{s:o,s:b}", "hosts", hosts(), "hasNext", 0));
	else
		answer(cloud, token, 503, json_pack("{s:s}", "error", "no capacity"));
}

/* ---- workers ---- */

static struct loopback_job *job_of(const char *id)
{
	for (unsigned i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].id, id))
			return &jobs[i];
	return NULL;
}

/* The rule: a task starts on one machine only. */
static void check_alone(const struct task *started)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < workers[i].count; k++) {
			const struct task *other = &workers[i].tasks[k];

			counts.twice += other != started && other->state == RUNNING &&
					other->number == started->number &&
					!strcmp(other->job, started->job);
		}
}

static json_t *report(struct worker *w)
{
	static const char *const names[] = {"pulling", "running", "exited"};
	json_t *tasks = json_array();
	char address[32];

	for (unsigned i = 0; i < w->count; i++) {
		const struct task *t = &w->tasks[i];
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
			 address, "flavour", "std", "hall", zones[w->zone], "reclaimable", 0,
			 "tenure", (json_int_t)w->tenure, "counter", (json_int_t)++w->counter,
			 "epoch", (json_int_t)w->epoch, "warningS", "shards", tasks);
}

static void changed(struct worker *w)
{
	if (w->next_report > ws_now() + 0.1)
		w->next_report = ws_now() + 0.1;
}

static void order(struct worker *w, json_t *o)
{
	const char *verb = json_string_value(json_object_get(o, "verb"));
	const char *shard = json_string_value(json_object_get(o, "shard"));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, "tryNo"));
	unsigned number = (unsigned)atoi(strrchr(shard, '/') + 1);
	struct task *t = NULL;
	char job[32];

	snprintf(job, sizeof(job), "%.*s", (int)strcspn(shard, "/"), shard);
	for (unsigned i = 0; i < w->count; i++)
		if (w->tasks[i].attempt == attempt && w->tasks[i].number == number &&
		    !strcmp(w->tasks[i].job, job))
			t = &w->tasks[i];
	if (!strcmp(verb, "run") && !t && w->count < TASKS) {
		counts.run_orders++;
		t = &w->tasks[w->count++];
		*t = (struct task){.number = number, .attempt = attempt, .until = ws_now() + 0.1};
		snprintf(t->job, sizeof(t->job), "%s", job);
	} else if (!strcmp(verb, "stop") && t && t->state != EXITED) {
		counts.stop_orders++;
		t->state = EXITED;
		t->cause = "stopped";
	} else if (!strcmp(verb, "reap") && t && t->state == EXITED) {
		counts.reap_orders++;
		*t = w->tasks[--w->count];
	}
	changed(w);
}

/* Orders with a token; false if it is too low. */
static bool orders(struct worker *w, json_t *message)
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
	struct worker *w = context;
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
	answer(w->server, token, ok ? 200 : 409, report(w));
	json_decref(message);
}

static void on_answer(void *context, int status, const char *body, size_t length)
{
	struct worker *w = context;
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

static void task_step(struct worker *w, struct task *t)
{
	struct loopback_job *job = job_of(t->job);

	if (t->state == EXITED || ws_now() < t->until)
		return;
	if (t->state == PULLING) {
		t->state = RUNNING;
		t->until = job->service ? 1e18 : ws_now() + job->run_s;
		counts.starts++;
		check_alone(t);
	} else {
		t->state = EXITED;
		t->cause = "done";
		counts.finishes++;
	}
	changed(w);
}

static void worker_step(struct worker *w)
{
	char *text;
	json_t *body;

	if (ws_now() - w->answered_sent > LOOPBACK_LEASE_S) {
		for (unsigned i = 0; i < w->count; i++)
			counts.lost += w->tasks[i].state != EXITED;
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

/* ---- users ---- */

static void on_submitted(void *context, int status, const char *body, size_t length)
{
	struct loopback_job *job = context;

	(void)body;
	(void)length;
	job->accepted |= status == 200 || status == 201;
}

static void on_polled(void *context, int status, const char *body, size_t length)
{
	struct loopback_job *job = context;
	json_t *message = status == 200 ? json_loadb(body, length, 0, NULL) : NULL;
	const char *phase = json_string_value(json_object_get(message, "phase"));

	if (phase && !strcmp(phase, "done")) {
		job->done = true;
		job->answers_done++;
	} else if (phase || status == 404) {
		job->went_back |= job->done;
	}
	json_decref(message);
}

static void job_send(struct loopback_job *job, struct ws_client *client)
{
	char text[700];

	snprintf(text, sizeof(text),
		 "{\"nameId\":\"%s\",\"jobclass\":\"%s\",\"owner\":\"t\",\"shape\":\"%s\","
		 "\"tier\":\"%s\",\"shards\":%u,\"vcpus\":4.0,\"accelerators\":0.0,\"memGb\":1.0,"
		 "\"bundle\":\"i\",\"sizeGb\":0.1,\"flavours\":null,\"hall\":null,"
		 "\"samePlace\":false,\"spread\":%s,\"reclaimable\":true,\"expectedS\":%g,"
		 "\"snapshotEveryS\":0.0,\"snapshotS\":0.0,\"dueS\":null}",
		 job->id, job->job_class, job->service ? "daemon" : "sweep",
		 job->service ? "production" : "urgent", job->tasks,
		 job->service ? "true" : "false", job->service ? 0 : job->run_s);
	ws_client_send(client, "POST", "/v2/runs", text, strlen(text), 3, false, on_submitted, job);
}

static void users_step(void)
{
	if (ws_now() < next_poll)
		return;
	next_poll = ws_now() + POLL_S;
	for (unsigned i = 0; i < job_count; i++) {
		struct ws_client *client = nodes[next_node++ % LOOPBACK_NODES].client;
		char path[64];

		snprintf(path, sizeof(path), "/v2/runs/%s", jobs[i].id);
		if (jobs[i].accepted)
			ws_client_send(client, "GET", path, "", 0, 2, false, on_polled, &jobs[i]);
		else
			job_send(&jobs[i], client);
	}
}

struct loopback_job *loopback_submit(const char *job_class, unsigned tasks, bool service,
				     double run_s)
{
	struct loopback_job *job = &jobs[job_count++];

	*job = (struct loopback_job){
	    .job_class = job_class, .tasks = tasks, .service = service, .run_s = run_s};
	snprintf(job->id, sizeof(job->id), "job-%06u", job_count);
	job_send(job, nodes[next_node++ % LOOPBACK_NODES].client);
	return job;
}

/* ---- the whole ---- */

static void on_tick(struct ev_loop *l, ev_timer *timer, int events)
{
	(void)l;
	(void)timer;
	(void)events;
	for (unsigned i = 0; i < hold_count; i++)
		if (holds[i].live && ws_now() > holds[i].until)
			hold_end((json_int_t)i + 1);
	watches_wake();
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		worker_step(&workers[i]);
	users_step();
}

static void settings_write(int n)
{
	struct node *node = &nodes[n];
	FILE *f;

	strcpy(node->file, "/tmp/waystep-loopback-XXXXXX");
	f = fdopen(mkstemp(node->file), "w");
	fprintf(f, "node='node-%d'\nzone='%s'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\n", n,
		zones[n], node->port, node->peer_port);
	for (int i = 0; i < LOOPBACK_NODES; i++)
		if (i != n)
			fprintf(f,
				"[[seeds]]\nnode='node-%d'\nzone='%s'\nendpoint='127.0.0.1:%d'\n",
				i, zones[i], nodes[i].peer_port);
	fprintf(f,
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a','b','c']\n"
		"[[settings.teams]]\nname='t'\ncpus=200.0\ncpus_max=400.0\n"
		"[settings.workers]\nreport_s=%g\nlease_s=%g\ncancel_s=20.0\n"
		"[settings.state]\nrps=400.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=200\n",
		ws_server_port(cloud), ws_server_port(state), LOOPBACK_REPORT_S, LOOPBACK_LEASE_S);
	fclose(f);
}

void loopback_start_node(int n)
{
	nodes[n].pid = fork();
	if (nodes[n].pid)
		return;
	if (!getenv("LOG_LEVEL"))
		(void)!freopen("/dev/null", "w", stderr);
	if (subsystems)
		execl(program, program, "--subsystems", subsystems, "--config", nodes[n].file,
		      (char *)NULL);
	else
		execl(program, program, "--config", nodes[n].file, (char *)NULL);
	_exit(99);
}

void loopback_kill_node(int n)
{
	if (nodes[n].pid <= 0)
		return;
	kill(nodes[n].pid, SIGKILL);
	waitpid(nodes[n].pid, NULL, 0);
	nodes[n].pid = 0;
}

static void worker_open(int i, const struct ws_server_opts *options)
{
	struct ws_client_opts client = {.max_conns = 1, .max_queue = 2, .max_reply = 65536};
	struct worker *w = &workers[i];
	char error[200];

	snprintf(w->name, sizeof(w->name), "n-%06d", i);
	w->zone = i % LOOPBACK_NODES;
	w->server =
	    ws_server_new(loop, "127.0.0.1", 0, options, on_command, w, error, sizeof(error));
	w->port = ws_server_port(w->server);
	w->tenure = 1;
	w->answered_sent = ws_now();
	for (int n = 0; n < LOOPBACK_NODES; n++)
		w->to[n] = ws_client_new(loop, "127.0.0.1", nodes[n].port, &client);
}

void loopback_start(const char *binary, const char *switches)
{
	static const struct ws_server_opts options = {
	    .max = 200, .backlog = 64, .keep = {200, 200, 200}, .idle = {60, 60, 60}, .slow = 60};
	struct ws_client_opts users = {
	    .max_conns = 4, .max_queue = LOOPBACK_JOBS, .max_reply = 65536};
	char error[200];

	signal(SIGPIPE, SIG_IGN);
	program = binary;
	subsystems = switches;
	loop = ev_default_loop(0);
	records = json_object();
	removed = json_object();
	state = ws_server_new(loop, "127.0.0.1", 0, &options, on_state, NULL, error, sizeof(error));
	cloud = ws_server_new(loop, "127.0.0.1", 0, &options, on_cloud, NULL, error, sizeof(error));
	for (int n = 0; n < LOOPBACK_NODES; n++) {
		nodes[n].port = free_port();
		nodes[n].peer_port = free_port();
		nodes[n].client = ws_client_new(loop, "127.0.0.1", nodes[n].port, &users);
	}
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		worker_open(i, &options);
	for (int n = 0; n < LOOPBACK_NODES; n++) {
		settings_write(n);
		loopback_start_node(n);
	}
	ev_timer_init(&ticker, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &ticker);
}

void loopback_stop(void)
{
	ev_timer_stop(loop, &ticker);
	for (int n = 0; n < LOOPBACK_NODES; n++) {
		loopback_kill_node(n);
		unlink(nodes[n].file);
		ws_client_free(nodes[n].client);
	}
	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		for (int n = 0; n < LOOPBACK_NODES; n++)
			ws_client_free(workers[i].to[n]);
		ws_server_free(workers[i].server);
	}
	ws_server_free(state);
	ws_server_free(cloud);
	json_decref(records);
	json_decref(removed);
	ev_loop_destroy(loop);
}

bool loopback_until(bool (*condition)(void), double seconds)
{
	double end = ws_now() + seconds;

	while (ws_now() < end) {
		if (condition && condition())
			return true;
		ev_run(loop, EVRUN_ONCE);
	}
	return condition && condition();
}

void loopback_run(double seconds)
{
	loopback_until(NULL, seconds);
}

void loopback_dark(int zone, bool dark)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		if (workers[i].zone == zone)
			workers[i].dark = dark;
}

unsigned loopback_running(int zone)
{
	unsigned n = 0;

	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; workers[i].zone == zone && k < workers[i].count; k++)
			n += workers[i].tasks[k].state == RUNNING;
	return n;
}

const char *loopback_domain(const char *name)
{
	char key[64];
	json_t *record;
	const char *text;

	snprintf(key, sizeof(key), "zones/domain/%s", name);
	record = json_object_get(json_object_get(records, key), "value");
	text = json_string_value(json_object_get(record, "state"));
	return text ? text : "";
}

unsigned loopback_keys(const char *prefix)
{
	const char *key;
	json_t *record;
	unsigned n = 0;

	json_object_foreach (records, key, record)
		n += !strncmp(key, prefix, strlen(prefix));
	return n;
}

int loopback_command(const char *option, const char *argument, char *line, unsigned size)
{
	int ends[2], status = 0;
	pid_t pid;
	ssize_t got;

	if (pipe(ends))
		return -1;
	pid = fork();
	if (!pid) {
		dup2(ends[1], STDOUT_FILENO);
		close(ends[0]);
		close(ends[1]);
		if (argument)
			execl(program, program, option, argument, "--config", nodes[0].file,
			      (char *)NULL);
		else
			execl(program, program, option, "--config", nodes[0].file, (char *)NULL);
		_exit(99);
	}
	close(ends[1]);
	while (waitpid(pid, &status, WNOHANG) == 0) /* it talks to our state service */
		ev_run(loop, EVRUN_ONCE);
	got = read(ends[0], line, size - 1);
	line[got > 0 ? got : 0] = 0;
	close(ends[0]);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

const struct loopback_counts *loopback_counts(void)
{
	return &counts;
}

struct loopback_job *loopback_jobs(unsigned *count)
{
	*count = job_count;
	return jobs;
}
