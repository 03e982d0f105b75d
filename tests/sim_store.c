/* Simulated key-value store: records, transactions, sessions and watches. */
#include "sim_store.h"

/* Pages are small so that lists need several of them. */
#define LIST_PAGE_RECORDS 7
/* Sessions end this long after their TTL has expired. */
#define SESSION_GRACE_S 0.05

/* ---- keys ---- */

static void history_add(struct sim *sim, const char *key, json_t *value)
{
	struct sim_change *change;

	if (sim->history_count == sim->history_capacity) {
		sim->history_capacity = sim->history_capacity ? 2 * sim->history_capacity : 256;
		sim->history = realloc(sim->history, sim->history_capacity * sizeof(*sim->history));
	}
	change = &sim->history[sim->history_count++];
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->value = json_incref(value);
	change->revision = sim->revision;
}

static void entry_delete(struct sim *sim, struct sim_entry *entry)
{
	history_add(sim, entry->key, NULL);
	HASH_DEL(sim->entries, entry);
	json_decref(entry->value);
	free(entry);
}

void sim_store_write(struct sim *sim, const char *key, json_t *value, uint64_t session)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, key, entry);
	if (!value) {
		if (entry)
			entry_delete(sim, entry);
		return;
	}
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		snprintf(entry->key, sizeof(entry->key), "%s", key);
		HASH_ADD_STR(sim->entries, key, entry);
	} else {
		json_decref(entry->value);
	}
	entry->value = json_deep_copy(value);
	entry->revision = sim->revision;
	entry->session = session;
	history_add(sim, key, entry->value);
}

static int compare_keys(const struct sim_entry *entry, const struct sim_entry *other_entry)
{
	return strcmp(entry->key, other_entry->key);
}

static void append_record(struct ws_result *result, const char *key, json_t *value,
			  uint64_t revision)
{
	result->records.entries =
	    realloc(result->records.entries,
		    (result->records.entry_count + 1) * sizeof(*result->records.entries));
	snprintf(result->records.entries[result->records.entry_count].key, WS_KEY_MAX, "%s", key);
	result->records.entries[result->records.entry_count].value =
	    value ? json_deep_copy(value) : NULL;
	result->records.entries[result->records.entry_count++].revision = revision;
}

static void get(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, call->read.key, entry);
	if (entry)
		append_record(result, entry->key, entry->value, entry->revision);
	else
		result->outcome = WS_OUTCOME_NOT_FOUND;
}

static void list(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	struct sim_entry *entry, *next_entry;

	HASH_SORT(sim->entries, compare_keys);
	result->records.revision = sim->revision;
	HASH_ITER (hh, sim->entries, entry, next_entry) {
		if (strncmp(entry->key, call->read.key, strlen(call->read.key)) != 0 ||
		    strcmp(entry->key, call->read.after) <= 0)
			continue;
		if (result->records.entry_count == LIST_PAGE_RECORDS) {
			result->records.has_more = true;
			return;
		}
		append_record(result, entry->key, entry->value, entry->revision);
	}
}

bool sim_store_watch(const struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	result->records.revision = sim->revision;
	for (size_t i = 0; i < sim->history_count; i++) {
		const struct sim_change *change = &sim->history[i];

		if (change->revision > call->watch.since_revision &&
		    !strncmp(change->key, call->watch.prefix, strlen(call->watch.prefix)))
			append_record(result, change->key, change->value, change->revision);
	}
	result->outcome = WS_OUTCOME_OK;
	return result->records.entry_count > 0;
}

/* ---- sessions ---- */

static struct sim_session *session_find(struct sim *sim, uint64_t id)
{
	return id && id <= (uint64_t)sim->session_count && sim->sessions[id - 1].live
		   ? &sim->sessions[id - 1]
		   : NULL;
}

static void session_end(struct sim *sim, struct sim_session *session)
{
	struct sim_entry *entry, *next_entry;

	session->live = false;
	HASH_ITER (hh, sim->entries, entry, next_entry)
		if (entry->session == session->id) {
			sim->revision++;
			sim_store_write(sim, entry->key, NULL, 0);
		}
}

static void session_expire(struct sim *sim, struct sim_session *session)
{
	struct sim_entry *leader_key;

	HASH_FIND_STR(sim->entries, WS_KEY_LEADER, leader_key);
	if (leader_key && leader_key->session == session->id && sim->leader_key_expired_at <= 0)
		sim->leader_key_expired_at = sim->now;
	session_end(sim, session);
}

static void session_open(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	struct sim_session *session = &sim->sessions[sim->session_count];

	if (sim->session_count == (int)(sizeof(sim->sessions) / sizeof(sim->sessions[0]))) {
		sim_fail(sim, "the store is out of session slots (%d)", sim->session_count);
		return;
	}
	session->id = (uint64_t)++sim->session_count;
	session->ttl_s = call->session.ttl_ms / 1000.0;
	session->expires_at = sim->now + session->ttl_s;
	session->live = true;
	result->session = session->id;
}

static void session_renew(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	struct sim_session *session = session_find(sim, call->session.id);

	if (session)
		session->expires_at = sim->now + session->ttl_s;
	else
		result->outcome = WS_OUTCOME_NOT_FOUND;
}

static void session_close(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	struct sim_session *session = session_find(sim, call->session.id);

	if (session)
		session_end(sim, session);
	else
		result->outcome = WS_OUTCOME_NOT_FOUND;
}

void sim_sessions_extend_after_outage(struct sim *sim)
{
	if (!sim->store_was_down || sim->now < sim->store_down_until)
		return;
	for (int i = 0; i < sim->session_count; i++)
		if (sim->sessions[i].live)
			sim->sessions[i].expires_at = sim->now + sim->sessions[i].ttl_s;
}

void sim_sessions_expire(struct sim *sim)
{
	for (int i = 0; i < sim->session_count; i++)
		if (sim->sessions[i].live && sim->now >= sim->store_down_until &&
		    sim->now > sim->sessions[i].expires_at + SESSION_GRACE_S)
			session_expire(sim, &sim->sessions[i]);
}

/* ---- transactions ---- */

/* Counts the bytes that an operation writes. Returns whether it is within the store's limits. */
static bool is_operation_within_limits(struct sim *sim, const struct ws_call *call, size_t index)
{
	const struct ws_operation *operation = &call->transaction.operations[index];
	size_t bytes = operation->value ? json_dumpb(operation->value, NULL, 0, JSON_COMPACT) : 0;

	sim->written_bytes += call->transaction.self_paced ? bytes : 0;
	if (call->transaction.operation_count <= (size_t)sim->txn_ops &&
	    (double)bytes <= sim->value_kb * 1024)
		return true;
	sim->rejected_writes++;
	if (!sim->limits_lowered)
		sim_fail(sim, "transaction over the limits: %zu operations, %zu bytes at key %s",
			 call->transaction.operation_count, bytes, operation->key);
	return false;
}

static bool is_transaction_within_limits(struct sim *sim, const struct ws_call *call)
{
	for (size_t i = 0; i < call->transaction.operation_count; i++)
		if (!is_operation_within_limits(sim, call, i))
			return false;
	return true;
}

static void check_compares(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	result->transaction.failed_keys =
	    calloc(call->transaction.compare_count + 1, sizeof(*result->transaction.failed_keys));
	for (size_t i = 0; i < call->transaction.compare_count; i++) {
		struct sim_entry *entry;

		HASH_FIND_STR(sim->entries, call->transaction.compares[i].key, entry);
		if ((entry ? entry->revision : 0) != call->transaction.compares[i].revision)
			snprintf(
			    result->transaction.failed_keys[result->transaction.failed_count++],
			    WS_KEY_MAX, "%s", call->transaction.compares[i].key);
	}
}

static bool refers_to_ended_session(struct sim *sim, const struct ws_call *call)
{
	for (size_t i = 0; i < call->transaction.operation_count; i++)
		if (call->transaction.operations[i].session &&
		    !session_find(sim, call->transaction.operations[i].session))
			return true;
	return false;
}

static void transact(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	sim->changes += call->transaction.self_paced ? call->transaction.operation_count : 0;
	if (!is_transaction_within_limits(sim, call)) {
		result->outcome = WS_OUTCOME_REJECTED;
		return;
	}
	check_compares(sim, call, result);
	if (refers_to_ended_session(sim, call)) {
		result->outcome = WS_OUTCOME_REJECTED;
		return;
	}
	if (result->transaction.failed_count) {
		result->outcome = WS_OUTCOME_CONFLICT;
		return;
	}
	if (call->transaction.operation_count)
		sim->revision++;
	for (size_t i = 0; i < call->transaction.operation_count; i++)
		sim_store_write(sim, call->transaction.operations[i].key,
				call->transaction.operations[i].value,
				call->transaction.operations[i].session);
	result->transaction.revision = sim->revision;
}

void sim_store_execute(struct sim *sim, const struct ws_call *call, struct ws_result *result)
{
	result->outcome = WS_OUTCOME_OK;
	sim->store_requests += call->kind == WS_CALL_GET;
	switch (call->kind) {
	case WS_CALL_GET: get(sim, call, result); break;
	case WS_CALL_LIST: list(sim, call, result); break;
	case WS_CALL_TRANSACTION: transact(sim, call, result); break;
	case WS_CALL_SESSION_OPEN: session_open(sim, call, result); break;
	case WS_CALL_SESSION_RENEW: session_renew(sim, call, result); break;
	case WS_CALL_SESSION_CLOSE: session_close(sim, call, result); break;
	default: break;
	}
}

void sim_store_free(struct sim *sim)
{
	struct sim_entry *entry = sim->entries, *next_entry;

	HASH_CLEAR(hh, sim->entries); /* does not change the entries or their order */
	for (; entry; entry = next_entry) {
		next_entry = entry->hh.next;
		json_decref(entry->value);
		free(entry);
	}
	for (size_t i = 0; i < sim->history_count; i++)
		json_decref(sim->history[i].value);
	free(sim->history);
}
