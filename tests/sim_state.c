/* The store: keys, holds, watches. */
#include "sim_parts.h"

static void history(struct sim *sim, const char *key, json_t *value)
{
	if (sim->history_count == sim->history_capacity) {
		sim->history_capacity = sim->history_capacity ? 2 * sim->history_capacity : 256;
		sim->history = realloc(sim->history, sim->history_capacity * sizeof(*sim->history));
	}
	snprintf(sim->history[sim->history_count].key, WS_KEY_MAX, "%s", key);
	sim->history[sim->history_count].value = json_incref(value);
	sim->history[sim->history_count++].revision = sim->revision;
}

void sim_kv_put(struct sim *sim, const char *key, json_t *value, uint64_t hold)
{
	struct sim_entry *entry;

	HASH_FIND_STR(sim->entries, key, entry);
	if (!value) {
		if (!entry)
			return;
		history(sim, key, NULL); /* key may be the entry's own */
		HASH_DEL(sim->entries, entry);
		json_decref(entry->value);
		free(entry);
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
	entry->session = hold;
	history(sim, key, entry->value);
}

void sim_hold_end(struct sim *sim, struct sim_session *session)
{
	struct sim_entry *entry, *next_entry;

	session->live = false;
	HASH_ITER (hh, sim->entries, entry, next_entry)
		if (entry->session == session->id) {
			sim->revision++;
			sim_kv_put(sim, entry->key, NULL, 0);
		}
}

static struct sim_session *hold_find(struct sim *sim, uint64_t id)
{
	return id && id <= (uint64_t)sim->session_count && sim->sessions[id - 1].live
		   ? &sim->sessions[id - 1]
		   : NULL;
}

static int by_key(struct sim_entry *entry, struct sim_entry *other_entry)
{
	return strcmp(entry->key, other_entry->key);
}

static void copy_kv(struct ws_result *result, const char *key, json_t *value, uint64_t revision)
{
	result->entries =
	    realloc(result->entries, (result->entry_count + 1) * sizeof(*result->entries));
	snprintf(result->entries[result->entry_count].key, WS_KEY_MAX, "%s", key);
	result->entries[result->entry_count].value = value ? json_deep_copy(value) : NULL;
	result->entries[result->entry_count++].revision = revision;
}

void sim_state_do(struct sim *sim, struct ws_call *call, struct ws_result *result)
{
	struct sim_entry *entry, *next_entry;
	struct sim_session *session;
	size_t n;

	result->status = 200;
	sim->asked += call->kind == WS_CALL_GET;
	sim->changes +=
	    call->kind == WS_CALL_TRANSACTION && call->self_paced ? call->operation_count : 0;
	switch (call->kind) {
	case WS_CALL_GET:
		HASH_FIND_STR(sim->entries, call->key, entry);
		if (!entry)
			result->status = 404;
		else
			copy_kv(result, entry->key, entry->value, entry->revision);
		break;
	case WS_CALL_LIST:
		HASH_SORT(sim->entries, by_key);
		result->revision = sim->revision;
		HASH_ITER (hh, sim->entries, entry, next_entry) {
			if (strncmp(entry->key, call->key, strlen(call->key)) ||
			    strcmp(entry->key, call->after) <= 0)
				continue;
			if (result->entry_count == 7) { /* small pages, so that paging is at work */
				result->has_more = true;
				break;
			}
			copy_kv(result, entry->key, entry->value, entry->revision);
		}
		break;
	case WS_CALL_TRANSACTION:
		n = strlen("") + call->compare_count;
		result->failed_keys = calloc(n + 1, sizeof(*result->failed_keys));
		for (size_t i = 0; i <= call->operation_count; i++) {
			size_t len =
			    i < call->operation_count && call->operations[i].value
				? json_dumpb(call->operations[i].value, NULL, 0, JSON_COMPACT)
				: 0;

			sim->written_size += call->self_paced ? len : 0;
			if (call->operation_count <= (size_t)sim->txn_ops &&
			    (double)len <= sim->value_kb * 1024)
				continue;
			sim->refused_writes++;
			result->status = 400;
			if (!sim->lowered)
				sim_fail(sim, "a transaction of %zu changes, %zu bytes under %s",
					 call->operation_count, len,
					 call->operations[i < call->operation_count ? i : 0].key);
			return;
		}
		for (size_t i = 0; i < call->compare_count; i++) {
			HASH_FIND_STR(sim->entries, call->compares[i].key, entry);
			if ((entry ? entry->revision : 0) != call->compares[i].revision)
				strcpy(result->failed_keys[result->failed_count++],
				       call->compares[i].key);
		}
		for (size_t i = 0; i < call->operation_count; i++)
			if (call->operations[i].session &&
			    !hold_find(sim, call->operations[i].session)) {
				result->status = 400;
				return;
			}
		if (result->failed_count) {
			result->status = 409;
			break;
		}
		if (call->operation_count)
			sim->revision++;
		for (size_t i = 0; i < call->operation_count; i++) {
			sim_kv_put(sim, call->operations[i].key, call->operations[i].value,
				   call->operations[i].session);
		}
		result->revision = sim->revision;
		break;
	case WS_CALL_SESSION_OPEN:
		if (sim->session_count == (int)(sizeof(sim->sessions) / sizeof(sim->sessions[0]))) {
			sim_fail(sim, "too many holds");
			break;
		}
		session = &sim->sessions[sim->session_count++];
		*session =
		    (struct sim_session){(uint64_t)sim->session_count, call->timeout_ms / 1000.0,
					 sim->now + call->timeout_ms / 1000.0, true};
		result->session = session->id;
		break;
	case WS_CALL_SESSION_RENEW:
		if ((session = hold_find(sim, call->session)))
			session->until = sim->now + session->ttl;
		else
			result->status = 404;
		break;
	case WS_CALL_SESSION_CLOSE:
		if ((session = hold_find(sim, call->session)))
			sim_hold_end(sim, session);
		else
			result->status = 404;
		break;
	default: break;
	}
}

bool sim_watch_ready(struct sim *sim, struct ws_call *call, struct ws_result *result)
{
	result->revision = sim->revision;
	for (size_t i = 0; i < sim->history_count; i++)
		if (sim->history[i].revision > call->since_revision &&
		    !strncmp(sim->history[i].key, call->key, strlen(call->key)))
			copy_kv(result, sim->history[i].key, sim->history[i].value,
				sim->history[i].revision);
	result->status = 200;
	return result->entry_count > 0;
}
