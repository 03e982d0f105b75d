/* The state service, the cloud and delayed messages. */
#include "parts.h"

#define LOG_KEPT 10000
#define WATCHES_MAX 64
#define SESSIONS_MAX 65536
#define LEADERS_MAX 4096
#define LEADER_KEY "leader"

struct change {
	json_int_t revision;
	char key[201];
	char *text; /* as it stands in the answer to a watch */
	size_t length;
};

static json_t *records;
static json_int_t revision = 1;
static struct change *changes;
static size_t change_count, change_capacity;
static struct {
	uint64_t request_id;
	int node;
	json_int_t since;
	double until;
	char prefix[201];
} watches[WATCHES_MAX];
static struct {
	double ttl_s, until, late_s;
	bool open;
} sessions[SESSIONS_MAX];
static unsigned session_count;
static struct {
	uint64_t revision;
	int node;
} leaders[LEADERS_MAX];
static unsigned leader_count;
static double request_tokens, write_tokens, tokens_at;

/* ---- delayed messages ---- */

struct delayed {
	double due_at;
	deliver_fn deliver;
	void *context;
	uint64_t id;
	char *method, *path, *body;
	size_t length;
	struct delayed *next;
};
static struct delayed *delayed;

void delay(double seconds, deliver_fn deliver, void *context, uint64_t id, const char *method,
	   const char *path, const char *body, size_t length)
{
	struct delayed *message = calloc(1, sizeof(*message)), **link = &delayed;

	*message = (struct delayed){.due_at = ws_now() + seconds,
				    .deliver = deliver,
				    .context = context,
				    .id = id,
				    .method = strdup(method ? method : ""),
				    .path = strdup(path ? path : ""),
				    .body = calloc(1, length + 1),
				    .length = length};
	memcpy(message->body, body ? body : "", length);
	while (*link)
		link = &(*link)->next;
	*link = message;
}

static void deliver_and_free(struct delayed *message)
{
	message->deliver(message->context, message->id, message->method, message->path,
			 message->body, message->length);
	free(message->method);
	free(message->path);
	free(message->body);
	free(message);
}

void delayed_step(void)
{
	for (struct delayed **link = &delayed; *link;) {
		struct delayed *message = *link;

		if (message->due_at > ws_now()) {
			link = &message->next;
			continue;
		}
		*link = message->next;
		deliver_and_free(message);
		link = &delayed;
	}
}

void delayed_release(void *context)
{
	for (struct delayed *message = delayed; message; message = message->next)
		if (message->context == context && message->due_at > ws_now() + 1000)
			message->due_at = ws_now();
}

/* ---- records ---- */

static bool has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static json_t *record_of(const char *key)
{
	return json_object_get(records, key);
}

int leader_node(void)
{
	const char *name = json_string_value(
	    json_object_get(json_object_get(record_of(LEADER_KEY), "value"), "node"));
	json_t *value = json_object_get(record_of(LEADER_KEY), "value");
	const char *field;
	json_t *member;

	if (!value)
		return -1;
	json_object_foreach (value, field, member)
		if (!name && json_is_string(member) && has_prefix(json_string_value(member), "node-"))
			name = json_string_value(member);
	return name ? atoi(name + strlen("node-")) : -1;
}

json_int_t leader_revision(void)
{
	return json_integer_value(json_object_get(record_of(LEADER_KEY), "stamp"));
}

int node_of_leader_revision(uint64_t leader)
{
	for (unsigned i = 0; i < leader_count; i++)
		if (leaders[i].revision == leader)
			return leaders[i].node;
	return -1;
}

size_t job_change_bytes;

static void change_add(const char *key, json_t *value)
{
	struct change *change;
	json_t *entry;

	if (change_count == change_capacity) {
		change_capacity = change_capacity ? 2 * change_capacity : 1024;
		changes = realloc(changes, change_capacity * sizeof(*changes));
	}
	if (change_count >= LOG_KEPT) {
		free(changes[change_count - LOG_KEPT].text);
		changes[change_count - LOG_KEPT].text = NULL;
	}
	change = &changes[change_count++];
	entry = value ? json_pack("{s:s,s:O,s:I}", "write", key, "value", value, "stamp", revision)
		      : json_pack("{s:s,s:I}", "delete", key, "stamp", revision);
	change->revision = revision;
	change->text = json_dumps(entry, JSON_COMPACT);
	change->length = strlen(change->text);
	snprintf(change->key, sizeof(change->key), "%s", key);
	if (has_prefix(key, "job/"))
		job_change_bytes += change->length;
	json_decref(entry);
}

static void record_write(const char *key, json_t *value, json_int_t session)
{
	char name[201];

	snprintf(name, sizeof(name), "%s", key);
	if (value) {
		json_object_set_new(records, name,
				    json_pack("{s:O,s:I,s:I}", "value", value, "stamp", revision,
					      "session", session));
		change_add(name, value);
	} else if (!json_object_del(records, name)) {
		change_add(name, NULL);
	}
	if (strcmp(name, LEADER_KEY) != 0)
		return;
	if (value && leader_count < LEADERS_MAX) {
		leaders[leader_count].revision = (uint64_t)revision;
		leaders[leader_count++].node = leader_node();
		record("leader key: node-%d, revision %lld", leader_node(), (long long)revision);
	} else if (!value) {
		record("leader key is gone, revision %lld", (long long)revision);
	}
}

static int key_compare(const void *left, const void *right)
{
	return strcmp(*(char *const *)left, *(char *const *)right);
}

static json_t *record_list(const char *prefix, const char *since, size_t most, bool *has_next)
{
	const char **keys = calloc(json_object_size(records) + 1, sizeof(*keys)), *key;
	json_t *list = json_array(), *entry;
	size_t count = 0, bytes = 0;

	json_object_foreach (records, key, entry)
		if (has_prefix(key, prefix) && strcmp(key, since) > 0)
			keys[count++] = key;
	qsort(keys, count, sizeof(*keys), key_compare);
	*has_next = false;
	for (size_t i = 0; i < count; i++) {
		size_t size;

		entry = record_of(keys[i]);
		size = json_dumpb(json_object_get(entry, "value"), NULL, 0, JSON_COMPACT) + 256;
		if (i == most || bytes + size > 512 * 1024) {
			*has_next = true;
			break;
		}
		bytes += size;
		json_array_append_new(list, json_pack("{s:s,s:O,s:O}", "k", keys[i], "value",
						      json_object_get(entry, "value"), "stamp",
						      json_object_get(entry, "stamp")));
	}
	free(keys);
	return list;
}

/* ---- watches ---- */

static void add_text(char **text, size_t *length, size_t *capacity, const char *part, size_t count)
{
	if (*length + count + 1 > *capacity) {
		*capacity = 2 * (*length + count + 1);
		*text = realloc(*text, *capacity);
	}
	memcpy(*text + *length, part, count);
	*length += count;
	(*text)[*length] = 0;
}

/* The body of the answer to a watch: all changes, whatever their size. Sets whether there are any. */
static char *changes_since(const char *prefix, json_int_t since, size_t *length, bool *any)
{
	size_t first = change_count, capacity = 0;
	char head[64], *text = NULL;

	*any = false;
	*length = 0;
	snprintf(head, sizeof(head), "{\"ledgerRev\":%lld,\"news\":[", (long long)revision);
	add_text(&text, length, &capacity, head, strlen(head));
	while (first > 0 && changes[first - 1].revision > since)
		first--;
	for (size_t i = first; i < change_count; i++) {
		if (!has_prefix(changes[i].key, prefix))
			continue;
		if (*any)
			add_text(&text, length, &capacity, ",", 1);
		add_text(&text, length, &capacity, changes[i].text, changes[i].length);
		*any = true;
	}
	add_text(&text, length, &capacity, "]}", 2);
	return text;
}

static bool node_not_served(int node)
{
	return faults.outage || faults.refused[node];
}

static bool is_too_old(json_int_t since)
{
	return change_count > LOG_KEPT && since < changes[change_count - LOG_KEPT].revision - 1;
}

static void watches_wake(void)
{
	for (int i = 0; i < WATCHES_MAX; i++) {
		size_t length;
		char *news;
		bool any;

		if (!watches[i].request_id || node_not_served(watches[i].node) ||
		    faults.store_cut[watches[i].node])
			continue;
		if (is_too_old(watches[i].since)) {
			answer(nodes[watches[i].node].store, watches[i].request_id, 410, json_object());
			watches[i].request_id = 0;
			continue;
		}
		news = changes_since(watches[i].prefix, watches[i].since, &length, &any);
		if (any || ws_now() >= watches[i].until) {
			ws_server_respond(nodes[watches[i].node].store, watches[i].request_id, 200,
					  news, length, 0);
			watches[i].request_id = 0;
		}
		free(news);
	}
}

static void on_watch(int node, uint64_t request_id, const char *path, const char *prefix)
{
	const char *since = strstr(path, "since="), *hold = strstr(path, "holdMs=");
	json_int_t from = since ? atoll(since + 6) : 0;
	int oldest = -1;

	if (is_too_old(from)) {
		answer(nodes[node].store, request_id, 410, json_object());
		return;
	}
	for (int i = 0; i < WATCHES_MAX; i++) {
		struct ws_http_request request;

		/* the client may have given up */
		if (watches[i].request_id &&
		    !ws_server_get_request(nodes[watches[i].node].store, watches[i].request_id,
					   &request))
			watches[i].request_id = 0;
		if (!watches[i].request_id) {
			oldest = i;
			break;
		}
		if (oldest < 0 || watches[i].until < watches[oldest].until)
			oldest = i;
	}
	watches[oldest].request_id = request_id;
	watches[oldest].node = node;
	watches[oldest].since = from;
	watches[oldest].until = ws_now() + (hold ? atof(hold + 7) / 1000 : 0);
	snprintf(watches[oldest].prefix, sizeof(watches[oldest].prefix), "%s", prefix);
	watches_wake();
}

/* ---- sessions ---- */

static bool session_is_open(json_int_t id)
{
	return id > 0 && id <= (json_int_t)session_count && sessions[id - 1].open;
}

static void session_end(json_int_t id)
{
	bool leader_gone = false;
	const char *key;
	json_t *entry;
	void *next;

	sessions[id - 1].open = false;
	json_object_foreach_safe (records, next, key, entry) {
		if (json_integer_value(json_object_get(entry, "session")) != id)
			continue;
		leader_gone |= !strcmp(key, LEADER_KEY);
		revision++;
		record_write(key, NULL, 0);
	}
	if (leader_gone && on_leader_gone)
		on_leader_gone();
	watches_wake();
}

static void on_session(int node, uint64_t request_id, const char *method, const char *path,
		       json_t *body)
{
	json_int_t id = strlen(path) > 7 ? atoll(path + 7) : 0;

	if (!strcmp(path, "/holds")) {
		if (session_count == SESSIONS_MAX)
			cannot_run("too many leases");
		id = ++session_count;
		sessions[id - 1].ttl_s = json_number_value(json_object_get(body, "ttlMs")) / 1000;
		sessions[id - 1].open = true;
	} else if (!session_is_open(id)) {
		answer(nodes[node].store, request_id, 404, json_object());
		return;
	} else if (!strcmp(method, "DELETE")) {
		session_end(id);
		answer(nodes[node].store, request_id, 200, json_pack("{s:I}", "permit", id));
		return;
	}
	sessions[id - 1].until = ws_now() + sessions[id - 1].ttl_s;
	sessions[id - 1].late_s = 0.1 * random_unit();
	answer(nodes[node].store, request_id, 200, json_pack("{s:I}", "permit", id));
}

void outage_set(bool on)
{
	if (faults.outage && !on)
		for (unsigned i = 0; i < session_count; i++)
			sessions[i].until = ws_now() + sessions[i].ttl_s;
	faults.outage = on;
	record("state service %s", on ? "is down for every node" : "is up again");
	if (!on)
		watches_wake();
}

/* ---- transactions ---- */

static bool transaction_is_valid(json_t *body)
{
	json_t *then = json_object_get(body, "then"), *entry;
	size_t i;

	if (json_array_size(then) > (size_t)settings.txn_ops ||
	    json_array_size(json_object_get(body, "when")) > 4 * (size_t)settings.txn_ops ||
	    json_dumpb(body, NULL, 0, JSON_COMPACT) > 64 * 1024)
		return false;
	json_array_foreach (then, i, entry) {
		json_t *value = json_object_get(entry, "value");
		json_t *permit = json_object_get(entry, "permit");

		if (value && json_dumpb(value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) >
				 settings.value_kb * 1024)
			return false;
		if (permit && !session_is_open(json_integer_value(permit)))
			return false;
	}
	return true;
}

static void on_transaction(int node, uint64_t request_id, json_t *body, bool silent)
{
	struct ws_http_server *server = nodes[node].store;
	json_t *failed = json_array(), *entry;
	size_t i;

	json_array_foreach (json_object_get(body, "when"), i, entry) {
		const char *key = json_string_value(json_object_get(entry, "k"));

		if (json_integer_value(json_object_get(record_of(key), "stamp")) !=
		    json_integer_value(json_object_get(entry, "stamp")))
			json_array_append_new(failed, json_string(key));
	}
	if (!transaction_is_valid(body)) {
		json_decref(failed);
		if (!silent)
			answer(server, request_id, 400, json_object());
		return;
	}
	if (json_array_size(failed)) {
		if (!silent)
			answer(server, request_id, 409,
			       json_pack("{s:O,s:I}", "failed", failed, "ledgerRev", revision));
		json_decref(failed);
		return;
	}
	json_decref(failed);
	if (json_array_size(json_object_get(body, "then")))
		revision++;
	json_array_foreach (json_object_get(body, "then"), i, entry) {
		const char *key = json_string_value(json_object_get(entry, "write"));

		if (key)
			record_write(key, json_object_get(entry, "value"),
				     json_integer_value(json_object_get(entry, "permit")));
		else
			record_write(json_string_value(json_object_get(entry, "delete")), NULL, 0);
	}
	if (!silent)
		answer(server, request_id, 200, json_pack("{s:I}", "ledgerRev", revision));
	watches_wake();
}

/* ---- requests ---- */

static void query_text(const char *path, const char *name, char *target, size_t size)
{
	const char *found = strstr(path, name);

	snprintf(target, size, "%.*s", found ? (int)strcspn(found + strlen(name), "&") : 0,
		 found ? found + strlen(name) : "");
}

static void execute(void *context, uint64_t id, const char *method, const char *path,
		    const char *body, size_t length)
{
	int node = (int)((struct node *)context - nodes);
	struct ws_http_server *server = nodes[node].store;
	json_t *request = length ? json_loadb(body, length, 0, NULL) : NULL;
	char prefix[201], since[201], most[16];

	query_text(path, "starts=", prefix, sizeof(prefix));
	if (has_prefix(path, "/kv?")) {
		bool has_next;
		json_t *list;

		query_text(path, "since=", since, sizeof(since));
		query_text(path, "most=", most, sizeof(most));
		list = record_list(prefix, since, most[0] ? (size_t)atoi(most) : 1000, &has_next);
		answer(server, id, 200,
		       json_pack("{s:o,s:b,s:I}", "entries", list, "hasNext", has_next, "ledgerRev",
				 revision));
	} else if (has_prefix(path, "/kv/")) {
		json_t *entry = record_of(path + 4);

		if (entry)
			answer(server, id, 200,
			       json_pack("{s:s,s:O,s:O}", "k", path + 4, "value",
					 json_object_get(entry, "value"), "stamp",
					 json_object_get(entry, "stamp")));
		else
			answer(server, id, 404, json_pack("{s:I}", "ledgerRev", revision));
	} else if (has_prefix(path, "/watch")) {
		on_watch(node, id, path, prefix);
	} else if (!strcmp(path, "/multi")) {
		on_transaction(node, id, request, false);
	} else if (has_prefix(path, "/holds")) {
		on_session(node, id, method, path, request);
	} else {
		answer(server, id, 400, json_object());
	}
	json_decref(request);
}

static void execute_silently(void *context, uint64_t id, const char *method, const char *path,
			     const char *body, size_t length)
{
	json_t *request = json_loadb(body, length, 0, NULL);

	(void)method;
	(void)path;
	on_transaction((int)((struct node *)context - nodes), id, request, true);
	json_decref(request);
}

/* The rate limits of the protocol page; bursts of one second. */
static bool within_rates(const char *path, const char *body, size_t length)
{
	double now = ws_now(), elapsed = tokens_at ? now - tokens_at : 1;
	json_t *request;
	double writes;

	tokens_at = now;
	request_tokens += elapsed * settings.store_rps;
	write_tokens += elapsed * settings.store_write_rps;
	if (request_tokens > settings.store_rps)
		request_tokens = settings.store_rps;
	if (write_tokens > settings.store_write_rps)
		write_tokens = settings.store_write_rps;
	if (request_tokens < 1)
		return false;
	request_tokens -= 1;
	if (strcmp(path, "/multi") != 0)
		return true;
	request = json_loadb(body, length, 0, NULL);
	writes = (double)json_array_size(json_object_get(request, "then"));
	json_decref(request);
	if (write_tokens < writes && write_tokens < settings.store_write_rps - 0.5)
		return false;
	write_tokens -= writes;
	return true;
}

static void on_store(void *context, uint64_t id, const char *method, const char *path,
		     const char *body, size_t length)
{
	int node = (int)((struct node *)context - nodes);

	if (on_store_request)
		on_store_request(node, method, path);
	if (faults.store_cut[node])
		return; /* neither carried out nor answered */
	if (node_not_served(node)) {
		answer(nodes[node].store, id, 503, json_object());
	} else if (!within_rates(path, body, length)) {
		answer(nodes[node].store, id, 429, json_object());
	} else if (!strcmp(path, "/multi") && random_unit() < faults.late_writes) {
		delay(2 + 10 * random_unit(), execute_silently, context, id, method, path, body,
		      length);
	} else if (!strcmp(path, "/multi") && random_unit() < faults.lost_answers) {
		execute_silently(context, id, method, path, body, length);
	} else if (faults.slow_store_s > 0) {
		delay(faults.slow_store_s * random_unit(), execute, context, id, method, path, body,
		      length);
	} else {
		execute(context, id, method, path, body, length);
	}
}

void store_open(void)
{
	char error[200];

	records = json_object();
	for (int i = 0; i < settings.nodes; i++) {
		nodes[i].store = ws_server_new(loop, "127.0.0.1", 0, &server_options, on_store,
					       &nodes[i], error, sizeof(error));
		if (!nodes[i].store)
			cannot_run("%s", error);
	}
}

void store_step(void)
{
	for (unsigned i = 0; i < session_count && !faults.outage; i++)
		if (sessions[i].open && ws_now() > sessions[i].until + sessions[i].late_s)
			session_end((json_int_t)i + 1);
	watches_wake();
}

/* ---- the cloud: the machines that are there, and no further capacity ---- */

static json_t *machine_types(void)
{
	json_t *halls = json_array();

	for (int i = 0; i < settings.zones; i++)
		json_array_append_new(halls, json_string(settings.zone_names[i]));
	return json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:o}]}", "flavours", "name",
			 "keski16", "vcpus", settings.worker_cpus, "accelerators", 0.0, "memGb",
			 settings.worker_mem_gb, "localGb", 100.0, "fetchGbPerS", 1.0, "rate", 1.1,
			 "spotPrice", 0.31, "startupS", 35, "halls", halls);
}

static json_t *machine_list(void)
{
	json_t *list = json_array();

	for (int i = 0; i < settings.workers; i++) {
		char address[32];

		snprintf(address, sizeof(address), "127.0.0.1:%d", workers[i].port);
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "nameId", workers[i].name,
				    "address", address, "flavour", "keski16", "hall",
				    settings.zone_names[workers[i].zone], "reclaimable", 0, "phase",
				    "running", "ageS", 100.0 + now_s()));
	}
	return list;
}

static void on_cloud(void *context, uint64_t id, const char *method, const char *path,
		     const char *body, size_t length)
{
	int node = (int)((struct node *)context - nodes);
	struct ws_http_server *server = nodes[node].cloud;

	(void)body;
	(void)length;
	if (faults.cloud_cut[node])
		return;
	if (!strcmp(path, "/machine_types"))
		answer(server, id, 200, machine_types());
	else if (!strcmp(method, "GET"))
		answer(server, id, 200,
		       json_pack("{s:o,s:b}", "hosts",
				 strstr(path, "since=") ? json_array() : machine_list(), "hasNext",
				 0));
	else if (!strcmp(path, "/hosts"))
		answer(server, id, 503, json_pack("{s:s}", "error", "no capacity"));
	else
		answer(server, id, 200, json_object());
}

void cloud_open(void)
{
	char error[200];

	for (int i = 0; i < settings.nodes; i++) {
		nodes[i].cloud = ws_server_new(loop, "127.0.0.1", 0, &server_options, on_cloud,
					       &nodes[i], error, sizeof(error));
		if (!nodes[i].cloud)
			cannot_run("%s", error);
	}
}
