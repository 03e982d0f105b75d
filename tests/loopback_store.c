/* The store of the loopback cluster: records, sessions, watches. */
#include "loopback_parts.h"
#include "../src/core/core.h"

#define WATCHES 32
#define SESSIONS 4096
#define LEADER_KEY "leader"
#define SESSIONS_PATH "/holds"
#define SESSION_PATH "/holds/"
/* Longest delay of a request, see struct loopback_faults. */
#define DELAYED_REQUEST_MAX_S 4.0

static struct ws_http_server *store;
static json_t *records, *removed;
static json_int_t revision = 1;
static struct {
	uint64_t request_id; /* 0: unused entry */
	json_int_t since;
	double until;
	char prefix[64];
} watches[WATCHES];
static unsigned most_watches; /* largest number open at once */
static struct {
	double ttl_s, until;
	bool open;
} sessions[SESSIONS];
static unsigned session_count;

static void record_write(const char *key, json_t *value, json_int_t session)
{
	char name[WS_KEY_MAX]; /* a copy: the key may belong to the record that is deleted */

	snprintf(name, sizeof(name), "%s", key);
	if (value) {
		json_object_set_new(records, name,
				    json_pack("{s:O,s:I,s:I}", "value", value, "stamp", revision,
					      "session", session));
		json_object_del(removed, name);
		if (!strcmp(name, LEADER_KEY))
			loopback_leader_elected();
	} else if (!json_object_del(records, name)) {
		json_object_set_new(removed, name, json_integer(revision));
	}
}

static json_t *record_list(const char *prefix, json_int_t since, bool events)
{
	json_t *list = json_array(), *record;
	const char *key;

	json_object_foreach (records, key, record) {
		json_int_t written = json_integer_value(json_object_get(record, "stamp"));

		if (strncmp(key, prefix, strlen(prefix)) != 0 || written <= since)
			continue;
		json_array_append_new(list, json_pack("{s:s,s:O,s:I}", events ? "write" : "k", key,
						      "value", json_object_get(record, "value"),
						      "stamp", written));
	}
	if (!events)
		return list;
	json_object_foreach (removed, key, record)
		if (!strncmp(key, prefix, strlen(prefix)) && json_integer_value(record) > since)
			json_array_append_new(
			    list, json_pack("{s:s,s:O}", "delete", key, "stamp", record));
	return list;
}

void loopback_store_wake_watches(void)
{
	for (int i = 0; i < WATCHES; i++) {
		json_t *changes;

		if (!watches[i].request_id)
			continue;
		changes = record_list(watches[i].prefix, watches[i].since, true);
		if (!json_array_size(changes) && ws_now() < watches[i].until) {
			json_decref(changes);
			continue;
		}
		loopback_answer_request(
		    LOOPBACK_STORE, store, watches[i].request_id, 200,
		    json_pack("{s:I,s:o}", "ledgerRev", revision, "news", changes));
		watches[i].request_id = 0;
	}
}

/* Updates most_watches with the number of open watches. */
static void count_watches(void)
{
	unsigned count = 0;

	for (int i = 0; i < WATCHES; i++)
		count += watches[i].request_id != 0;
	if (count > most_watches)
		most_watches = count;
}

/* Returns the number behind `name` in a path, 0 if the path does not have it. */
static double path_number(const char *path, const char *name)
{
	const char *found = strstr(path, name);

	return found ? atof(found + strlen(name)) : 0;
}

static void on_watch(uint64_t request_id, const char *path, const char *prefix)
{
	for (int i = 0; i < WATCHES; i++) {
		if (watches[i].request_id)
			continue;
		watches[i].request_id = request_id;
		watches[i].since = (json_int_t)path_number(path, "since=");
		watches[i].until = ws_now() + path_number(path, "holdMs=") / 1000;
		snprintf(watches[i].prefix, sizeof(watches[i].prefix), "%s", prefix);
		count_watches();
		loopback_store_wake_watches();
		return;
	}
	loopback_answer_request(LOOPBACK_STORE, store, request_id, 503, json_object());
}

static bool session_is_open(json_int_t id)
{
	return id > 0 && id <= (json_int_t)session_count && sessions[id - 1].open;
}

static void on_transaction(uint64_t request_id, json_t *body)
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
		loopback_answer_request(
		    LOOPBACK_STORE, store, request_id, 409,
		    json_pack("{s:o,s:I}", "failed", failed, "ledgerRev", revision));
		return;
	}
	json_decref(failed);
	revision++;
	json_array_foreach (json_object_get(body, "then"), i, entry) {
		const char *key = json_string_value(json_object_get(entry, "write"));

		if (key)
			record_write(key, json_object_get(entry, "value"),
				     json_integer_value(json_object_get(entry, "permit")));
		else
			record_write(json_string_value(json_object_get(entry, "delete")), NULL, 0);
	}
	loopback_answer_request(LOOPBACK_STORE, store, request_id, 200,
				json_pack("{s:I}", "ledgerRev", revision));
	loopback_store_wake_watches();
}

static void session_end(json_int_t id)
{
	json_t *record;
	const char *key;
	void *next;

	sessions[id - 1].open = false;
	json_object_foreach_safe(records, next, key, record)
	{
		if (json_integer_value(json_object_get(record, "session")) != id)
			continue;
		revision++;
		record_write(key, NULL, 0);
	}
	loopback_store_wake_watches();
}

static void answer_session(uint64_t request_id, json_int_t id)
{
	sessions[id - 1].until = ws_now() + sessions[id - 1].ttl_s;
	loopback_answer_request(LOOPBACK_STORE, store, request_id, 200,
				json_pack("{s:I}", "permit", id));
}

static void on_session_open(uint64_t request_id, json_t *body)
{
	if (session_count == SESSIONS) {
		loopback_violation("the store is out of session slots (%u)", session_count);
		loopback_answer_request(LOOPBACK_STORE, store, request_id, 503, json_object());
		return;
	}
	sessions[session_count].ttl_s = json_number_value(json_object_get(body, "ttlMs")) / 1000;
	sessions[session_count].open = true;
	answer_session(request_id, ++session_count);
}

/* Renews or closes the session whose id follows the prefix SESSION_PATH in the path. */
static void on_session(uint64_t request_id, const char *method, const char *path)
{
	json_int_t id = strncmp(path, SESSION_PATH, strlen(SESSION_PATH))
			    ? 0
			    : atoll(path + strlen(SESSION_PATH));

	if (!session_is_open(id)) {
		loopback_answer_request(LOOPBACK_STORE, store, request_id, 404, json_object());
		return;
	}
	if (!strcmp(method, "DELETE"))
		session_end(id);
	answer_session(request_id, id);
}

/* Executes a request and answers it. */
static void execute_request(const struct loopback_message *message)
{
	const char *path = message->path, *method = message->method;
	uint64_t request_id = message->id;
	json_t *request =
	    message->length ? json_loadb(message->body, message->length, 0, NULL) : NULL;
	char prefix[64] = "";

	if (strstr(path, "starts="))
		sscanf(strstr(path, "starts=") + 7, "%63[^&]", prefix);
	if (!strncmp(path, "/kv?", 4)) {
		loopback_answer_request(LOOPBACK_STORE, store, request_id, 200,
					json_pack("{s:o,s:b,s:I}", "entries",
						  record_list(prefix, 0, false), "hasNext", 0,
						  "ledgerRev", revision));
	} else if (!strncmp(path, "/kv/", 4)) {
		json_t *record = json_object_get(records, path + 4);

		loopback_answer_request(LOOPBACK_STORE, store, request_id, record ? 200 : 404,
					record
					    ? json_pack("{s:s,s:O,s:O}", "k", path + 4, "value",
							json_object_get(record, "value"), "stamp",
							json_object_get(record, "stamp"))
					    : json_pack("{s:I}", "ledgerRev", revision));
	} else if (!strncmp(path, "/watch", 6)) {
		on_watch(request_id, path, prefix);
	} else if (!strcmp(path, "/multi")) {
		on_transaction(request_id, request);
	} else if (!strcmp(path, SESSIONS_PATH)) {
		on_session_open(request_id, request);
	} else {
		on_session(request_id, method, path);
	}
	json_decref(request);
}

static void on_store(void *context, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t length)
{
	const struct loopback_message message = {
	    .id = request_id, .method = method, .path = path, .body = body, .length = length};

	(void)context;
	if (ws_now() < loopback_faults.store_unavailable_until)
		loopback_answer_request(LOOPBACK_STORE, store, request_id, 503, json_object());
	else if (loopback_fault_occurs(loopback_faults.delayed_store_requests))
		loopback_delay_message(&message, DELAYED_REQUEST_MAX_S * loopback_random(),
				       execute_request);
	else
		execute_request(&message);
}

struct ws_http_server *loopback_store_open(struct ev_loop *loop,
					   const struct ws_http_server_options *options)
{
	char error[200];

	records = json_object();
	removed = json_object();
	store = ws_server_new(loop, "127.0.0.1", 0, options, on_store, NULL, error, sizeof(error));
	return store;
}

void loopback_store_close(void)
{
	ws_server_free(store);
	json_decref(records);
	json_decref(removed);
}

void loopback_store_step(void)
{
	for (unsigned i = 0; i < session_count; i++)
		if (sessions[i].open && ws_now() > sessions[i].until)
			session_end((json_int_t)i + 1);
	loopback_store_wake_watches();
}

unsigned loopback_store_most_watches(void)
{
	return most_watches;
}

json_t *loopback_record_value(const char *key)
{
	return json_object_get(json_object_get(records, key), "value");
}

unsigned loopback_key_count(const char *prefix)
{
	const char *key;
	json_t *record;
	unsigned count = 0;

	json_object_foreach (records, key, record)
		count += !strncmp(key, prefix, strlen(prefix));
	return count;
}

void loopback_delete_record(const char *key)
{
	revision++;
	record_write(key, NULL, 0);
	loopback_store_wake_watches();
}
