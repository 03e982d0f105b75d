#include "world.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <limits.h>
#include <math.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_S 0.02
#define HARD_LIMIT_S 118
#define HISTORY 10000
#define GANG_WAIT_S 30
#define REPORT_TIMEOUT_S 4

struct deployment deployment = {.workers = 6,
				.report_s = 2,
				.lease_s = 16,
				.cancel_s = 46,
				.rps = 250,
				.write_rps = 50,
				.value_kb = 16,
				.txn_ops = 24,
				.machine_cpus = 16,
				.machine_gb = 128,
				.fetch_gb_s = 0.4,
				.cpus = 40,
				.cpus_max = 112,
				.teams = 8};
struct job jobs[JOBS_MAX];
int job_count;
struct worker workers[WORKERS_MAX];
struct node nodes[NODES];
bool trouble;
struct ev_loop *loop;
void (*store_hook)(const char *key, json_t *value);
void (*command_hook)(struct worker *worker);

static const char *const halls[2] = {"nyarugenge", "huye"};
static FILE *record_file;
static double started_at;
static unsigned broken_count;
static char folder[128];
static char **run_words; /* the `run` line of the deploy file */
static struct ws_http_server *store, *cloud;

/* ---- record ---- */

double world_time(void)
{
	return ws_now() - started_at;
}

static void record_line(const char *mark, const char *format, va_list arguments)
{
	fprintf(record_file, "%8.3f %s", world_time(), mark);
	vfprintf(record_file, format, arguments);
	fputc('\n', record_file);
	fflush(record_file);
}

void record(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	record_line("", format, arguments);
	va_end(arguments);
}

void broken(const char *format, ...)
{
	va_list arguments;

	if (++broken_count > 40)
		return;
	va_start(arguments, format);
	record_line("RULE BROKEN ", format, arguments);
	va_end(arguments);
}

static void clean_up(void)
{
	for (int i = 0; i < NODES; i++) {
		node_kill(i);
		if (nodes[i].path[0])
			unlink(nodes[i].path);
	}
	if (folder[0])
		rmdir(folder);
}

void cannot_run(const char *why)
{
	record("the case could not run: %s", why);
	printf("could not run: %s\n", why);
	clean_up();
	exit(2);
}

static void on_signal(int number)
{
	(void)number;
	for (int i = 0; i < NODES; i++) {
		if (nodes[i].pid > 0)
			kill(nodes[i].pid, SIGKILL);
		if (nodes[i].path[0])
			unlink(nodes[i].path);
	}
	rmdir(folder);
	_exit(2);
}

/* ---- answers ---- */

static void respond(struct ws_http_server *server, uint64_t id, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	ws_server_respond(server, id, status, text, strlen(text), 0);
	free(text);
	json_decref(body);
}

/* ---- state service ---- */

struct change {
	json_int_t stamp;
	char key[208];
	json_t *value; /* NULL: deleted */
};
static json_t *records; /* key -> [value, stamp, permit] */
static json_int_t ledger_rev = 1;
static struct change history[HISTORY];
static size_t history_count;
static json_int_t forgotten_rev; /* changes up to this one are no longer kept */
static struct {
	uint64_t id;
	json_int_t since;
	double until;
	char prefix[64];
} watches[64];
static struct {
	double ttl_s, until;
	bool open;
} holds[4096];
static json_int_t hold_count;
static double rate_tokens, write_tokens, rate_at;

static void change_apply(const char *key, json_t *value, json_int_t permit)
{
	struct change *change = &history[history_count % HISTORY];

	if (history_count >= HISTORY) {
		forgotten_rev = change->stamp;
		json_decref(change->value);
	}
	history_count++;
	change->stamp = ledger_rev;
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->value = json_incref(value);
	if (value)
		json_object_set_new(records, change->key,
				    json_pack("[O,I,I]", value, ledger_rev, permit));
	else
		json_object_del(records, change->key);
	if (store_hook)
		store_hook(change->key, value);
}

static json_int_t stamp_of(const char *key)
{
	return json_integer_value(json_array_get(json_object_get(records, key), 1));
}

json_t *store_value(const char *key)
{
	return json_array_get(json_object_get(records, key), 0);
}

unsigned store_key_count(const char *prefix)
{
	const char *key;
	json_t *entry;
	unsigned count = 0;

	json_object_foreach (records, key, entry)
		count += !strncmp(key, prefix, strlen(prefix));
	return count;
}

int store_leader(void)
{
	char *text = store_value("leader") ? json_dumps(store_value("leader"), 0) : NULL;
	const char *name = text ? strstr(text, "worker-") : NULL;
	int index = name ? atoi(name + 7) : -1;

	free(text);
	return index;
}

static json_t *news_since(const char *prefix, json_int_t since)
{
	json_t *list = json_array();
	size_t first = history_count > HISTORY ? history_count - HISTORY : 0;

	for (size_t i = first; i < history_count; i++) {
		const struct change *change = &history[i % HISTORY];

		if (change->stamp <= since || strncmp(change->key, prefix, strlen(prefix)) != 0)
			continue;
		if (change->value)
			json_array_append_new(list, json_pack("{s:s,s:O,s:I}", "write", change->key,
							      "value", change->value, "stamp",
							      change->stamp));
		else
			json_array_append_new(list, json_pack("{s:s,s:I}", "delete", change->key,
							      "stamp", change->stamp));
	}
	return list;
}

static void watches_step(void)
{
	for (size_t i = 0; i < 64; i++) {
		json_t *news;

		if (!watches[i].id)
			continue;
		news = news_since(watches[i].prefix, watches[i].since);
		if (!json_array_size(news) && ws_now() < watches[i].until) {
			json_decref(news);
			continue;
		}
		respond(store, watches[i].id, 200,
			json_pack("{s:I,s:o}", "ledgerRev", ledger_rev, "news", news));
		watches[i].id = 0;
	}
}

static void hold_end(json_int_t id)
{
	const char *key;
	json_t *entry;
	void *next;

	holds[id - 1].open = false;
	json_object_foreach_safe(records, next, key, entry)
	{
		if (json_integer_value(json_array_get(entry, 2)) != id)
			continue;
		ledger_rev++;
		record("store: hold %lld ended, key %s removed", (long long)id, key);
		change_apply(key, NULL, 0);
	}
}

static int key_order(const void *left, const void *right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static json_t *list_page(const char *prefix, const char *since, size_t most)
{
	size_t size = json_object_size(records), count = 0, bytes = 0;
	const char **keys = calloc(size + 1, sizeof(*keys)), *key;
	json_t *page = json_array(), *entry;
	bool more = false;

	json_object_foreach (records, key, entry)
		if (!strncmp(key, prefix, strlen(prefix)) && strcmp(key, since) > 0)
			keys[count++] = key;
	qsort(keys, count, sizeof(*keys), key_order);
	if (most > 1000 || !most)
		most = 1000;
	for (size_t i = 0; i < count; i++) {
		entry = json_object_get(records, keys[i]);
		bytes += strlen(keys[i]) + 60 + json_dumpb(json_array_get(entry, 0), NULL, 0, 0);
		if (json_array_size(page) == most || (i && bytes > 512 * 1024)) {
			more = true;
			break;
		}
		json_array_append_new(page, json_pack("{s:s,s:O,s:O}", "k", keys[i], "value",
						      json_array_get(entry, 0), "stamp",
						      json_array_get(entry, 1)));
	}
	free(keys);
	return json_pack("{s:o,s:b,s:I}", "entries", page, "hasNext", more, "ledgerRev",
			 ledger_rev);
}

static void multi(uint64_t id, json_t *body, size_t length)
{
	json_t *when = json_object_get(body, "when"), *then = json_object_get(body, "then"), *entry;
	json_t *failed = json_array();
	bool valid = json_is_array(then) && (int)json_array_size(then) <= deployment.txn_ops &&
		     (int)json_array_size(when) <= 4 * deployment.txn_ops && length <= BODY_LIMIT;
	size_t i;

	write_tokens -= (double)json_array_size(then);
	json_array_foreach (then, i, entry) {
		json_t *value = json_object_get(entry, "value");
		json_int_t permit = json_integer_value(json_object_get(entry, "permit"));

		if (value &&
		    (double)json_dumpb(value, NULL, 0, JSON_COMPACT) > deployment.value_kb * 1024)
			valid = false;
		if (permit && (permit > hold_count || !holds[permit - 1].open)) {
			respond(store, id, 400, json_pack("{s:s}", "error", "no such lease"));
			json_decref(failed);
			return;
		}
	}
	if (!valid) {
		record("store: transaction refused, %zu bytes, %zu changes", length,
		       json_array_size(then));
		respond(store, id, 400, json_pack("{s:s}", "error", "malformed"));
		json_decref(failed);
		return;
	}
	json_array_foreach (when, i, entry) {
		const char *key = json_string_value(json_object_get(entry, "k"));

		if (stamp_of(key) != json_integer_value(json_object_get(entry, "stamp")))
			json_array_append_new(failed, json_string(key));
	}
	if (json_array_size(failed)) {
		respond(store, id, 409,
			json_pack("{s:o,s:I}", "failed", failed, "ledgerRev", ledger_rev));
		return;
	}
	json_decref(failed);
	if (json_array_size(then))
		ledger_rev++;
	json_array_foreach (then, i, entry) {
		const char *key = json_string_value(json_object_get(entry, "write"));

		if (key)
			change_apply(key, json_object_get(entry, "value"),
				     json_integer_value(json_object_get(entry, "permit")));
		else
			change_apply(json_string_value(json_object_get(entry, "delete")), NULL, 0);
	}
	respond(store, id, 200, json_pack("{s:I}", "ledgerRev", ledger_rev));
	watches_step();
}

static void query_value(const char *path, const char *name, char *value, size_t size)
{
	const char *found = strstr(path, name);

	snprintf(value, size, "%.*s", found ? (int)strcspn(found + strlen(name), "&") : 0,
		 found ? found + strlen(name) : "");
}

static void hold_request(uint64_t id, const char *method, const char *path, json_t *body)
{
	json_int_t number = strlen(path) > 7 ? atoll(path + 7) : 0;

	if (!number && !strcmp(method, "POST")) {
		if (hold_count == 4096)
			cannot_run("the state service is out of holds");
		number = ++hold_count;
		holds[number - 1].open = true;
		holds[number - 1].ttl_s = json_number_value(json_object_get(body, "ttlMs")) / 1000;
	} else if (number < 1 || number > hold_count || !holds[number - 1].open) {
		respond(store, id, 404, json_object());
		return;
	} else if (!strcmp(method, "DELETE")) {
		hold_end(number);
	}
	holds[number - 1].until = ws_now() + holds[number - 1].ttl_s;
	respond(store, id, 200, json_pack("{s:I}", "permit", number));
	watches_step();
}

/* Both limits of the state service, with bursts of one second's worth. */
static bool over_limit(const char *path)
{
	double now = ws_now(), seconds = now - rate_at;

	rate_at = now;
	rate_tokens = fmin(deployment.rps, rate_tokens + seconds * deployment.rps);
	write_tokens = fmin(deployment.write_rps, write_tokens + seconds * deployment.write_rps);
	if (rate_tokens < 1 || (!strcmp(path, "/multi") && write_tokens < 1))
		return true;
	rate_tokens -= 1;
	return false;
}

static void on_store(void *context, uint64_t id, const char *method, const char *path,
		     const char *text, size_t length)
{
	json_t *body = length ? json_loadb(text, length, 0, NULL) : NULL;
	char prefix[208], since[208], number[32];

	(void)context;
	query_value(path, "starts=", prefix, sizeof(prefix));
	query_value(path, "since=", since, sizeof(since));
	if (over_limit(path)) {
		respond(store, id, 429, json_object());
	} else if (!strncmp(path, "/kv?", 4)) {
		query_value(path, "most=", number, sizeof(number));
		respond(store, id, 200, list_page(prefix, since, (size_t)atol(number)));
	} else if (!strncmp(path, "/kv/", 4)) {
		json_t *entry = json_object_get(records, path + 4);

		if (entry)
			respond(store, id, 200,
				json_pack("{s:s,s:O,s:O}", "k", path + 4, "value",
					  json_array_get(entry, 0), "stamp",
					  json_array_get(entry, 1)));
		else
			respond(store, id, 404, json_pack("{s:I}", "ledgerRev", ledger_rev));
	} else if (!strncmp(path, "/watch?", 7)) {
		size_t i = 0;

		query_value(path, "holdMs=", number, sizeof(number));
		if (atoll(since) < forgotten_rev) {
			respond(store, id, 410, json_object());
		} else {
			while (i < 64 && watches[i].id)
				i++;
			if (i == 64)
				cannot_run("the state service is out of watches");
			watches[i].id = id;
			watches[i].since = atoll(since);
			watches[i].until = ws_now() + atof(number) / 1000;
			snprintf(watches[i].prefix, sizeof(watches[i].prefix), "%.63s", prefix);
			watches_step();
		}
	} else if (!strcmp(path, "/multi")) {
		multi(id, body, length);
	} else if (!strncmp(path, "/holds", 6)) {
		hold_request(id, method, path, body);
	} else {
		respond(store, id, 400, json_object());
	}
	json_decref(body);
}

void store_lower_limits(void)
{
	deployment.value_kb = deployment.next_value_kb;
	deployment.txn_ops = deployment.next_txn_ops;
	deployment.write_rps = deployment.next_write_rps;
	record("the state service lowers its limits: value_kb %g, txn_ops %d, write_rps %g",
	       deployment.value_kb, deployment.txn_ops, deployment.write_rps);
}

static void store_step(void)
{
	for (json_int_t i = 1; i <= hold_count; i++)
		if (holds[i - 1].open && ws_now() > holds[i - 1].until)
			hold_end(i);
	watches_step();
}

/* ---- cloud: the machines that are up, and no further capacity ---- */

static void on_cloud(void *context, uint64_t id, const char *method, const char *path,
		     const char *text, size_t length)
{
	(void)context;
	(void)text;
	(void)length;
	if (!strcmp(path, "/machine_types")) {
		respond(cloud, id, 200,
			json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s,s]}]}", "flavours",
				  "name", "kigali-std16", "vcpus", deployment.machine_cpus,
				  "accelerators", 0.0, "memGb", deployment.machine_gb, "localGb",
				  80.0, "fetchGbPerS", deployment.fetch_gb_s, "rate", 0.91,
				  "spotPrice", 0.41, "startupS", 35.0, "halls", halls[0],
				  halls[1]));
	} else if (!strncmp(path, "/hosts?", 7) && !strcmp(method, "GET")) {
		json_t *list = json_array();
		char since[64], address[32];

		query_value(path, "since=", since, sizeof(since));
		for (int i = 0; i < deployment.workers; i++) {
			if (strcmp(workers[i].name, since) <= 0)
				continue;
			snprintf(address, sizeof(address), "127.0.0.1:%d", workers[i].port);
			json_array_append_new(
			    list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "nameId",
					    workers[i].name, "address", address, "flavour",
					    "kigali-std16", "hall", workers[i].hall, "reclaimable",
					    0, "phase", "running", "ageS", 600 + world_time()));
		}
		respond(cloud, id, 200, json_pack("{s:o,s:b}", "hosts", list, "hasNext", 0));
	} else if (!strcmp(path, "/hosts")) {
		respond(cloud, id, 503, json_pack("{s:s}", "error", "no capacity"));
	} else {
		record("cloud: %s %s", method, path);
		respond(cloud, id, 200, json_object());
	}
}

/* ---- users ---- */

static int next_node;

static struct ws_http_client *balanced_client(void)
{
	for (int i = 0; i < NODES; i++) {
		int node = next_node++ % NODES;

		if (nodes[node].pid > 0)
			return nodes[node].users;
	}
	return nodes[0].users;
}

struct job *job_new(const char *shape, int shards, double vcpus, double mem_gb, double run_s)
{
	struct job *job = &jobs[job_count++];

	if (job_count > JOBS_MAX)
		cannot_run("too many jobs");
	*job = (struct job){.shards = shards, .vcpus = vcpus, .mem_gb = mem_gb, .run_s = run_s};
	snprintf(job->id, sizeof(job->id), "job-%06d", job_count);
	snprintf(job->class_name, sizeof(job->class_name), "accrual-batch");
	snprintf(job->team, sizeof(job->team), "ledger-ops-00");
	snprintf(job->shape, sizeof(job->shape), "%s", shape);
	snprintf(job->tier, sizeof(job->tier), "urgent");
	snprintf(job->bundle, sizeof(job->bundle), "img-01");
	job->size_gb = 0.2;
	job->task_done = calloc((size_t)shards, sizeof(bool));
	return job;
}

void job_submit(struct job *job)
{
	job->submitted = true;
	job->first_try_at = job->next_try_at = ws_now();
}

void job_abort(struct job *job)
{
	job->abort_wanted = true;
}

static void on_submitted(void *context, int status, const char *body, size_t length)
{
	struct job *job = context;

	job->submit_pending = false;
	record("user: submission of %s answered %d %.*s", job->id, status, (int)length, body);
	if (status == 200 || status == 201) {
		job->accepted = true;
		job->accepted_at = ws_now();
		job->next_poll_at = ws_now() + 1;
	} else if (status == 400 || status == 422) {
		job->refused = true;
	} else {
		job->next_try_at = ws_now() + 1;
	}
}

static void phase_seen(struct job *job, const char *phase)
{
	if (strcmp(job->phase, phase) != 0)
		record("user: %s is %s", job->id, phase);
	snprintf(job->phase, sizeof(job->phase), "%s", phase);
	if (job->done && strcmp(phase, "done") != 0)
		broken("went_back: %s was done, now it is %s", job->id, phase);
	if (job->withdrawn && strcmp(phase, "withdrawn") != 0)
		broken("went_back: %s was withdrawn, now it is %s", job->id, phase);
	if (!strcmp(phase, "withdrawn") && !job->abort_wanted)
		broken("went_back: %s is withdrawn, its user did not cancel it", job->id);
	if (!strcmp(phase, "done") && !job->done) {
		job->done = true;
		job->done_at = ws_now();
		for (int i = 0; i < job->shards; i++)
			if (!job->task_done[i]) {
				broken("not_done: %s is called done, task %d is not", job->id, i);
				break;
			}
	}
	if (!strcmp(phase, "withdrawn") && !job->withdrawn) {
		job->withdrawn = true;
		job->withdrawn_at = ws_now();
	}
}

static void answer_seen(struct job *job, int status, const char *body, size_t length)
{
	json_t *answer = status == 200 ? json_loadb(body, length, 0, NULL) : NULL;
	const char *phase = json_string_value(json_object_get(answer, "phase"));
	const char *name = json_string_value(json_object_get(answer, "nameId"));

	if (status == 404)
		broken("forgotten: %s was accepted, now the answer is 404", job->id);
	if (name && strcmp(name, job->id) != 0)
		broken("foreign data: asked for %s, got %s", job->id, name);
	if (phase)
		phase_seen(job, phase);
	json_decref(answer);
}

static void on_polled(void *context, int status, const char *body, size_t length)
{
	struct job *job = context;

	job->poll_pending = false;
	job->next_poll_at = ws_now() + (status == 200 ? 3 : 1);
	answer_seen(job, status, body, length);
}

static void on_aborted(void *context, int status, const char *body, size_t length)
{
	struct job *job = context;

	job->abort_pending = false;
	job->next_abort_at = ws_now() + 1;
	record("user: abort of %s answered %d %.*s", job->id, status, (int)length, body);
	answer_seen(job, status, body, length);
}

static void submission_send(struct job *job)
{
	json_t *body = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f}", "nameId", job->id,
				 "jobclass", job->class_name, "owner", job->team, "shape",
				 job->shape, "tier", job->tier, "shards", job->shards, "vcpus",
				 job->vcpus, "accelerators", 0.0, "memGb", job->mem_gb);
	json_t *rest = json_pack("{s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "bundle",
				 job->bundle, "sizeGb", job->size_gb, "flavours", "hall",
				 "samePlace", 0, "spread", 0, "reclaimable", 0, "expectedS",
				 !strcmp(job->shape, "daemon") ? 0.0 : job->run_s, "snapshotEveryS",
				 0.0, "snapshotS", 0.0, "dueS");
	char *text;

	json_object_update(body, rest);
	json_decref(rest);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	job->submit_pending = ws_client_send(balanced_client(), "POST", "/v2/runs", text,
					     strlen(text), 5, false, on_submitted, job);
	free(text);
}

static void users_step(void)
{
	double now = ws_now();

	for (int i = 0; i < job_count; i++) {
		struct job *job = &jobs[i];
		char path[64];

		if (job->submitted && !job->accepted && !job->refused && !job->submit_pending &&
		    now >= job->next_try_at && now - job->first_try_at < 60)
			submission_send(job);
		if (!job->accepted || job->done || job->withdrawn)
			continue;
		if (job->abort_wanted && !job->abort_pending && now >= job->next_abort_at) {
			snprintf(path, sizeof(path), "/v2/runs/%.15s/abort", job->id);
			job->abort_pending = ws_client_send(balanced_client(), "POST", path, "", 0,
							    5, false, on_aborted, job);
		} else if (!job->abort_wanted && !job->poll_pending && now >= job->next_poll_at) {
			snprintf(path, sizeof(path), "/v2/runs/%.15s", job->id);
			job->poll_pending = ws_client_send(balanced_client(), "GET", path, "", 0, 2,
							   false, on_polled, job);
		}
	}
}

/* ---- workers ---- */

static const char *const phase_names[] = {"pulling", "running", "exited", "waiting"};

static json_t *report_json(struct worker *worker)
{
	json_t *shards = json_array();
	char text[64];

	for (size_t i = 0; i < worker->count; i++) {
		const struct task *task = &worker->tasks[i];
		json_t *entry;

		snprintf(text, sizeof(text), "%s/%d", task->job->id, task->number);
		entry = json_pack("{s:s,s:I,s:s}", "shard", text, "tryNo",
				  (json_int_t)task->attempt, "phase", phase_names[task->phase]);
		if (task->cause)
			json_object_set_new(entry, "cause", json_string(task->cause));
		json_array_append_new(shards, entry);
	}
	snprintf(text, sizeof(text), "127.0.0.1:%d", worker->port);
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "host", worker->name,
			 "address", text, "flavour", "kigali-std16", "hall", worker->hall,
			 "reclaimable", 0, "tenure", (json_int_t)worker->tenure, "counter",
			 (json_int_t)++worker->counter, "epoch", (json_int_t)worker->epoch,
			 "warningS", "shards", shards);
}

static char *worker_report(struct worker *worker)
{
	json_t *report = report_json(worker);
	char *text = json_dumps(report, JSON_COMPACT);

	json_decref(report);
	return text;
}

unsigned tasks_on(const struct worker *worker, const struct job *job, bool exited)
{
	unsigned count = 0;

	for (size_t i = 0; i < worker->count; i++)
		count +=
		    worker->tasks[i].job == job && (worker->tasks[i].phase == EXITED) == exited;
	return count;
}

static struct job *job_find(const char *id)
{
	for (int i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].id, id))
			return &jobs[i];
	return NULL;
}

static bool bundle_is_cached(const struct worker *worker, const char *bundle)
{
	for (int i = 0; i < worker->bundle_count; i++)
		if (!strcmp(worker->bundles[i], bundle))
			return true;
	return false;
}

static const char *refusal(const struct worker *worker, const struct job *job, int number)
{
	double cpus = 0, gb = 0;

	if (!job || !job->submitted || number >= job->shards)
		return "no_such";
	for (size_t i = 0; i < worker->count; i++) {
		const struct task *task = &worker->tasks[i];

		if (task->phase == EXITED)
			continue;
		if (task->job == job && task->number == number)
			return "busy";
		cpus += task->job->vcpus;
		gb += task->job->mem_gb;
	}
	return cpus + job->vcpus > deployment.machine_cpus + 1e-6 ||
		       gb + job->mem_gb > deployment.machine_gb + 1e-6
		   ? "full"
		   : NULL;
}

static void order_run(struct worker *worker, struct job *job, int number, uint64_t attempt)
{
	const char *cause = refusal(worker, job, number);
	struct task *task;

	if (worker->count == worker->capacity) {
		worker->capacity = worker->capacity ? 2 * worker->capacity : 64;
		worker->tasks = realloc(worker->tasks, worker->capacity * sizeof(*worker->tasks));
	}
	task = &worker->tasks[worker->count++];
	*task = (struct task){.job = job, .number = number, .attempt = attempt};
	task->phase = cause ? EXITED : PULLING;
	task->cause = cause;
	task->next_at =
	    ws_now() +
	    (bundle_is_cached(worker, job->bundle) ? 0 : job->size_gb / deployment.fetch_gb_s);
	if (cause)
		record("%s: start of %s/%d refused: %s", worker->name, job->id, number, cause);
}

static void order_execute(struct worker *worker, json_t *order)
{
	const char *verb = json_string_value(json_object_get(order, "verb"));
	const char *shard = json_string_value(json_object_get(order, "shard"));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(order, "tryNo"));
	int number = atoi(strrchr(shard, '/') + 1);
	struct task *task = NULL;
	struct job *job;
	char id[32];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(shard, "/"), shard);
	job = job_find(id);
	if (!job) {
		broken("server gets work that nobody sent: %s %s", verb, shard);
		return;
	}
	for (size_t i = 0; i < worker->count && !task; i++)
		if (worker->tasks[i].job == job && worker->tasks[i].number == number &&
		    worker->tasks[i].attempt == attempt)
			task = &worker->tasks[i];
	if (!strcmp(verb, "run") && !task) {
		order_run(worker, job, number, attempt);
	} else if (!strcmp(verb, "stop") && task && task->phase != EXITED) {
		task->phase = EXITED;
		task->cause = "stopped";
	} else if (!strcmp(verb, "reap") && task && task->phase == EXITED) {
		*task = worker->tasks[--worker->count];
	} else {
		return;
	}
	worker->changed = true;
}

static bool orders_execute(struct worker *worker, json_t *message)
{
	json_t *epoch = json_object_get(message, "epoch"), *order;
	size_t i;

	if (!epoch || (uint64_t)json_integer_value(epoch) < worker->epoch)
		return false;
	if ((uint64_t)json_integer_value(epoch) > worker->epoch)
		worker->changed = true;
	worker->epoch = (uint64_t)json_integer_value(epoch);
	json_array_foreach (json_object_get(message, "orders"), i, order)
		order_execute(worker, order);
	return true;
}

static bool direct_call_execute(struct worker *worker, json_t *body)
{
	return (uint64_t)json_integer_value(json_object_get(body, "tenure")) == worker->tenure &&
	       orders_execute(worker, body);
}

void worker_receive_copy(struct worker *worker, const char *body)
{
	json_t *message = json_loads(body, 0, NULL);
	bool accepted = direct_call_execute(worker, message);

	json_decref(message);
	record("%s: a late copy of a direct call arrives, status %d: %s", worker->name,
	       accepted ? 200 : 409, body);
}

void worker_restart(struct worker *worker)
{
	record("%s: the machine is back, %zu tasks forgotten", worker->name, worker->count);
	worker->count = 0;
	worker->bundle_count = 0;
	worker->tenure = 1;
	worker->counter = worker->epoch = 0;
	worker->sent_tenure = 0; /* an answer to a report from before is dropped */
	worker->renewed_at = worker->last_report_at = ws_now();
	worker->next_report_at = ws_now() + 0.5;
	worker->changed = true;
}

struct late_answer {
	struct worker *worker;
	uint64_t id;
	int status;
	double at;
	struct late_answer *next;
};
static struct late_answer *late_answers;

static void late_answers_step(void)
{
	struct late_answer **link = &late_answers, *answer;

	while ((answer = *link)) {
		if (ws_now() < answer->at) {
			link = &answer->next;
			continue;
		}
		*link = answer->next;
		respond(answer->worker->server, answer->id, answer->status,
			report_json(answer->worker));
		free(answer);
	}
}

static void on_command(void *context, uint64_t id, const char *method, const char *path,
		       const char *text, size_t length)
{
	struct worker *worker = context;
	json_t *body = length ? json_loadb(text, length, 0, NULL) : NULL;
	int status = 200;

	if (command_hook)
		command_hook(worker);
	if (worker->holds_calls) {
		record("%s: a direct call is held up: %.*s", worker->name, (int)length, text);
		if (!worker->held_call && strstr(text, "\"run\""))
			worker->held_call = strndup(text, length);
		json_decref(body);
		return;
	}
	if (length > BODY_LIMIT) {
		worker->oversize_commands++;
		record("%s: a controller sent %s %s with a body of %zu bytes, refused with 413",
		       worker->name, method, path, length);
		respond(worker->server, id, 413, json_object());
		json_decref(body);
		return;
	}
	if (!strcmp(path, "/commands")) {
		if (!json_object_get(body, "epoch") || !json_object_get(body, "tenure"))
			status = 400;
		else if (!direct_call_execute(worker, body))
			status = 409;
		else if (!worker->run_call && strstr(text, "\"run\""))
			worker->run_call = strndup(text, length);
	}
	json_decref(body);
	if (worker->direct_delay_s > 0) {
		struct late_answer *answer = calloc(1, sizeof(*answer));

		*answer = (struct late_answer){worker, id, status,
					       ws_now() + worker->direct_delay_s, late_answers};
		late_answers = answer;
		return;
	}
	respond(worker->server, id, status, report_json(worker));
}

static void on_report_answered(void *context, int status, const char *body, size_t length)
{
	struct worker *worker = context;
	json_t *message = length ? json_loadb(body, length, 0, NULL) : NULL;
	const char *supervisor = json_string_value(json_object_get(message, "supervisor"));
	int named = supervisor ? atoi(supervisor + 7) : -1;

	worker->report_pending = false;
	if (length > BODY_LIMIT)
		broken("a response of %zu bytes to %s", length, worker->name);
	if (status == 200) {
		if (worker->sent_tenure == worker->tenure && orders_execute(worker, message))
			worker->renewed_at = worker->sent_at;
	} else if (status == 421 && named >= 0 && named < NODES && named != worker->node) {
		worker->node = named;
		worker->next_report_at = ws_now() + 0.1;
	} else {
		worker->node = (worker->node + 1) % NODES;
		worker->next_report_at = ws_now() + 1;
	}
	json_decref(message);
}

static double team_cpus(const char *team)
{
	double cpus = 0;

	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++)
			if ((workers[i].tasks[k].phase == RUNNING ||
			     workers[i].tasks[k].phase == WAITING) &&
			    !strcmp(workers[i].tasks[k].job->team, team))
				cpus += workers[i].tasks[k].job->vcpus;
	return cpus;
}

static void start_checked(const struct worker *worker, const struct task *task)
{
	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++) {
			const struct task *other = &workers[i].tasks[k];

			if (other != task && (other->phase == RUNNING || other->phase == WAITING) &&
			    other->job == task->job && other->number == task->number)
				broken("ran_twice: %s/%d starts on %s while it is on %s",
				       task->job->id, task->number, worker->name, workers[i].name);
		}
	if (team_cpus(task->job->team) > deployment.cpus_max + 1e-6)
		broken("quota: %s uses %.2f CPUs", task->job->team, team_cpus(task->job->team));
}

/* The tasks of a gang's attempt start together when the last one has its image, and end together.
 */
static void gang_step(struct job *job)
{
	int waiting = 0, running = 0;
	uint64_t newest = 0;

	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++)
			if (workers[i].tasks[k].job == job && workers[i].tasks[k].attempt > newest)
				newest = workers[i].tasks[k].attempt;
	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++) {
			const struct task *task = &workers[i].tasks[k];

			waiting +=
			    task->job == job && task->attempt == newest && task->phase == WAITING;
			running +=
			    task->job == job && task->attempt == newest && task->phase == RUNNING;
		}
	for (int i = 0; i < deployment.workers; i++)
		for (size_t k = 0; k < workers[i].count; k++) {
			struct task *task = &workers[i].tasks[k];

			if (task->job != job || task->phase == EXITED || task->phase == PULLING)
				continue;
			if (task->phase == WAITING && waiting == job->shards) {
				task->phase = RUNNING;
				task->next_at = ws_now() + job->run_s;
				job->starts++;
			} else if (task->phase == WAITING &&
				   ws_now() > task->next_at + GANG_WAIT_S) {
				task->phase = EXITED;
				task->cause = "incomplete";
			} else if (task->phase == RUNNING && running < job->shards &&
				   ws_now() < task->next_at) {
				task->phase = EXITED;
				task->cause = "mates_gone";
			} else {
				continue;
			}
			workers[i].changed = true;
		}
}

static void task_step(struct worker *worker, struct task *task)
{
	struct job *job = task->job;

	if (task->phase == EXITED)
		return;
	if (job->withdrawn && ws_now() > job->withdrawn_at + deployment.cancel_s)
		broken("ran_cancelled: %s/%d is on %s %.1f s after the answer", job->id,
		       task->number, worker->name, ws_now() - job->withdrawn_at);
	if (task->phase == WAITING || ws_now() < task->next_at)
		return;
	if (task->phase == PULLING) {
		if (!bundle_is_cached(worker, job->bundle) && worker->bundle_count < 16)
			snprintf(worker->bundles[worker->bundle_count++], 16, "%s", job->bundle);
		if (!strcmp(job->shape, "gang")) {
			task->phase = WAITING;
			task->next_at = ws_now();
			worker->changed = true;
			start_checked(worker, task);
			return;
		}
		task->phase = RUNNING;
		task->next_at = !strcmp(job->shape, "daemon")  ? 1e18
				: job->task_done[task->number] ? ws_now()
							       : ws_now() + job->run_s;
		job->starts++;
		if (job->errors_left)
			task->next_at = ws_now() + 1;
		start_checked(worker, task);
	} else if (job->errors_left) {
		job->errors_left--;
		task->phase = EXITED;
		task->cause = "error";
		record("%s: %s/%d exits with error", worker->name, job->id, task->number);
	} else {
		task->phase = EXITED;
		task->cause = "done";
		job->finished += !job->task_done[task->number];
		job->task_done[task->number] = true;
	}
	worker->changed = true;
}

static void lease_lost(struct worker *worker)
{
	unsigned lost = 0;

	for (size_t i = 0; i < worker->count; i++)
		lost += worker->tasks[i].phase != EXITED;
	record("%s: lease ran out, %zu tasks forgotten, %u of them killed", worker->name,
	       worker->count, lost);
	worker->lease_losses++;
	worker->tasks_lost += lost;
	worker->count = 0;
	worker->tenure++;
	worker->renewed_at = ws_now();
	worker->changed = true;
}

static void report_send(struct worker *worker)
{
	char *text = worker_report(worker);
	size_t length = strlen(text);

	worker->changed = false;
	worker->last_report_at = ws_now();
	worker->next_report_at = ws_now() + deployment.report_s * (0.75 + 0.5 * drand48());
	if (length > BODY_LIMIT) {
		if (!worker->oversize_reports++)
			record("%s: its report of %zu tasks has %zu bytes, more than 64 KiB: it "
			       "can't be sent",
			       worker->name, worker->count, length);
		free(text);
		return;
	}
	if (worker->holds_calls && worker->node == store_leader()) {
		record("%s: its report to worker-%d gets no response", worker->name, worker->node);
		worker->node = (worker->node + 1) % NODES;
		worker->next_report_at = ws_now() + REPORT_TIMEOUT_S + 1;
		worker->last_report_at = worker->next_report_at - 0.5;
		free(text);
		return;
	}
	worker->sent_at = ws_now();
	worker->sent_tenure = worker->tenure;
	worker->report_pending = ws_client_send(worker->clients[worker->node], "POST", "/checkin",
						text, length, 4, false, on_report_answered, worker);
	free(worker->last_report);
	worker->last_report = text;
}

static void worker_step(struct worker *worker)
{
	double now = ws_now();

	if (now - worker->renewed_at > deployment.lease_s)
		lease_lost(worker);
	for (size_t i = 0; i < worker->count; i++)
		task_step(worker, &worker->tasks[i]);
	if (worker->report_pending)
		return;
	if (now >= worker->next_report_at ||
	    (worker->changed && now >= worker->last_report_at + 0.5 &&
	     worker->next_report_at < now + deployment.report_s))
		report_send(worker);
}

static void worker_open(int index)
{
	static const struct ws_http_server_options options = {.max_connections = 100,
							      .backlog = 64,
							      .keep_alive_max = {100, 100, 100},
							      .idle_timeout_s = {300, 300, 300},
							      .receive_timeout_s = 60};
	static const struct ws_http_client_options client = {
	    .max_connections = 1, .max_queue = 4, .max_reply_bytes = 1024 * 1024};
	struct worker *worker = &workers[index];
	char error[200];

	worker->index = index;
	snprintf(worker->name, sizeof(worker->name), "n-%06d", index + 1);
	snprintf(worker->hall, sizeof(worker->hall), "%s", halls[index % 2]);
	worker->server =
	    ws_server_new(loop, "127.0.0.1", 0, &options, on_command, worker, error, sizeof(error));
	if (!worker->server)
		cannot_run(error);
	worker->port = ws_server_port(worker->server);
	worker->tenure = 1;
	worker->counter = 300; /* reports of ten minutes, the age in the machine list */
	worker->renewed_at = ws_now();
	worker->node = index % NODES;
	worker->next_report_at = ws_now() + 0.1 * index;
	for (int i = 0; i < NODES; i++)
		worker->clients[i] = ws_client_new(loop, "127.0.0.1", nodes[i].port, &client);
}

/* ---- controllers ---- */

/* Stays bound and never listens, so that no other process is given the port. */
static int free_port(void)
{
	int enabled = 1;
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    getsockname(fd, (struct sockaddr *)&address, &length))
		cannot_run("no free port");
	return ntohs(address.sin_port);
}

static void settings_write(int index)
{
	const struct deployment *d = &deployment;
	FILE *file;

	snprintf(nodes[index].path, sizeof(nodes[index].path), "%s/worker-%d.toml", folder, index);
	file = fopen(nodes[index].path, "w");
	if (!file)
		cannot_run("no settings file");
	fprintf(file,
		"node = \"worker-%d\"\nzone = \"%s\"\nbind = \"127.0.0.1:%d\"\n"
		"peer_bind = \"127.0.0.1:%d\"\n",
		index, halls[index % 2], nodes[index].port, nodes[index].peer_port);
	for (int i = 0; i < NODES; i++)
		if (i != index)
			fprintf(file,
				"[[seeds]]\nnode = \"worker-%d\"\nzone = \"%s\"\n"
				"endpoint = \"127.0.0.1:%d\"\n",
				i, halls[i % 2], nodes[i].peer_port);
	fprintf(file,
		"[services]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n"
		"[settings]\ninitial_size = 3\nzones = [\"%s\", \"%s\"]\nclock_error_ms = 1000.0\n",
		ws_server_port(cloud), ws_server_port(store), halls[1], halls[0]);
	for (int i = 0; i < d->teams; i++)
		fprintf(file,
			"[[settings.teams]]\nname = \"ledger-ops-%02d\"\ncpus = %.1f\n"
			"cpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n",
			i, d->cpus, d->cpus_max);
	fprintf(file,
		"[[settings.objectives]]\nkind = \"deadline\"\nclass = \"accrual-batch\"\n"
		"share = 0.97\ntimes = 1.0\n"
		"[[settings.objectives]]\nkind = \"wait\"\nclass = \"statement-portal\"\n"
		"within_s = 1.0\nshare = 0.93\n"
		"[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.95\n"
		"[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\n"
		"gang_peer_s = 8.0\ncancel_s = %.1f\n"
		"[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n"
		"[settings.cloud]\nrps = 2.0\nlist_lag_s = 5.0\n"
		"[settings.machine_limits]\ncore_share = 0.16\nram_mb = 72.0\nmax_sockets = 900\n",
		d->report_s, d->lease_s, d->cancel_s, d->rps, d->write_rps, d->value_kb,
		d->txn_ops);
	if (d->next_value_kb > 0)
		fprintf(file,
			"[settings.state.next]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\n"
			"txn_ops = %d\n",
			d->rps, d->next_write_rps, d->next_value_kb, d->next_txn_ops);
	fclose(file);
}

void node_start(int index)
{
	const char *log = getenv("REVIEW_LOG");
	size_t count = 0;
	pid_t pid;

	while (run_words[count])
		count++;
	fflush(record_file);
	pid = fork();
	if (pid < 0)
		cannot_run("fork failed");
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		char **words = calloc(count + 2, sizeof(*words));
		char path[PATH_MAX];

		memcpy(words, run_words, count * sizeof(*words));
		words[count] = nodes[index].path;
		snprintf(path, sizeof(path), "%s.%d", log ? log : "", index);
		(void)!freopen(log ? path : "/dev/null", "a", stderr);
		(void)!freopen("/dev/null", "w", stdout);
		for (int fd = 3; fd < 1024; fd++)
			close(fd);
		execv(words[0], words);
		_exit(99);
	}
	nodes[index].pid = pid;
	record("controller worker-%d started", index);
}

void node_kill(int index)
{
	if (nodes[index].pid <= 0)
		return;
	kill(nodes[index].pid, SIGKILL);
	waitpid(nodes[index].pid, NULL, 0);
	nodes[index].pid = 0;
	if (record_file)
		record("controller worker-%d killed", index);
}

void node_stop(int index)
{
	kill(nodes[index].pid, SIGSTOP);
	record("controller worker-%d stands still", index);
}

void node_continue(int index)
{
	kill(nodes[index].pid, SIGCONT);
	record("controller worker-%d goes on", index);
}

static void nodes_check(void)
{
	for (int i = 0; i < NODES; i++) {
		int status;

		if (nodes[i].pid <= 0 || waitpid(nodes[i].pid, &status, WNOHANG) != nodes[i].pid)
			continue;
		broken("a process ended by itself: worker-%d, wait status %d", i, status);
		nodes[i].pid = 0;
		node_start(i);
	}
}

/* ---- run ---- */

static void on_tick(struct ev_loop *tick_loop, ev_timer *timer, int events)
{
	(void)tick_loop;
	(void)timer;
	(void)events;
	nodes_check();
	store_step();
	late_answers_step();
	for (int i = 0; i < deployment.workers; i++)
		worker_step(&workers[i]);
	for (int i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].shape, "gang"))
			gang_step(&jobs[i]);
	users_step();
}

bool run_until(bool (*condition)(void), double seconds)
{
	double end = ws_now() + seconds;

	while (ws_now() < end) {
		if (condition && condition())
			return true;
		if (world_time() > HARD_LIMIT_S) {
			record("the time of the case is over");
			return condition && condition();
		}
		ev_run(loop, EVRUN_ONCE);
	}
	return condition && condition();
}

void run_for(double seconds)
{
	run_until(NULL, seconds);
}

bool leader_known(void)
{
	return store_leader() >= 0;
}

bool all_accepted(void)
{
	for (int i = 0; i < job_count; i++)
		if (jobs[i].submitted && !jobs[i].accepted)
			return false;
	return true;
}

bool all_done(void)
{
	for (int i = 0; i < job_count; i++)
		if (jobs[i].submitted && !jobs[i].done && !jobs[i].withdrawn)
			return false;
	return true;
}

static void open_world(void)
{
	static const struct ws_http_server_options options = {.max_connections = 400,
							      .backlog = 128,
							      .keep_alive_max = {400, 400, 400},
							      .idle_timeout_s = {300, 300, 300},
							      .receive_timeout_s = 60};
	static const struct ws_http_client_options client = {
	    .max_connections = 16, .max_queue = 512, .max_reply_bytes = 1024 * 1024};
	char error[200];

	loop = ev_default_loop(0);
	records = json_object();
	rate_at = ws_now();
	rate_tokens = deployment.rps;
	write_tokens = deployment.write_rps;
	store = ws_server_new(loop, "127.0.0.1", 0, &options, on_store, NULL, error, sizeof(error));
	cloud = ws_server_new(loop, "127.0.0.1", 0, &options, on_cloud, NULL, error, sizeof(error));
	if (!store || !cloud)
		cannot_run(error);
	for (int i = 0; i < NODES; i++) {
		nodes[i].port = free_port();
		nodes[i].peer_port = free_port();
		nodes[i].users = ws_client_new(loop, "127.0.0.1", nodes[i].port, &client);
		nodes[i].copies = ws_client_new(loop, "127.0.0.1", nodes[i].port, &client);
	}
	for (int i = 0; i < deployment.workers; i++)
		worker_open(i);
	for (int i = 0; i < NODES; i++) {
		settings_write(i);
		node_start(i);
	}
}

/* Usage: world RECORD PROGRAM ARGUMENT...; the path of a settings file is appended. */
int main(int argc, char **argv)
{
	const char *text = getenv("TROUBLE"), *temporary = getenv("TMPDIR");
	ev_timer ticker;

	if (argc < 3)
		return 2;
	trouble = !text || strcmp(text, "0") != 0;
	record_file = fopen(argv[1], "w");
	if (!record_file)
		return 2;
	started_at = ws_now();
	run_words = argv + 2;
	srand48(7);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	snprintf(folder, sizeof(folder), "%s/waystep-review-XXXXXX",
		 temporary ? temporary : "/tmp");
	if (!mkdtemp(folder))
		return 2;
	record("case %s, disruption %s", case_name, trouble ? "on" : "off");
	case_setup();
	open_world();
	ev_timer_init(&ticker, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &ticker);
	if (!run_until(leader_known, 20))
		cannot_run("no leader after 20 s");
	case_run();
	record("%s", broken_count ? "a rule was broken" : "the rules held");
	printf("%s: %s\n", case_name, broken_count ? "a rule was broken" : "the rules held");
	clean_up();
	fclose(record_file);
	return broken_count ? 1 : 0;
}
