/* What a new leader reads back, and how its replica of the jobs is kept current. */
#include "internal.h"

static void ws_load_page(struct ws_core *core, struct ws_call *call,
			 const struct ws_result *result);

static void ws_load_from(struct ws_core *core, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_load_page);

	snprintf(call->key, sizeof(call->key), "%s", prefix);
	snprintf(call->after, sizeof(call->after), "%s", after);
	call->urgent = true;
}

/* The core's own records are read in this order, those of subsystems beside them. */
static const char *const ws_load_order[] = {"owned", "rental/", "fleet/", "job/", "more/"};
#define WS_LOAD_OWN (sizeof(ws_load_order) / sizeof(ws_load_order[0]))

void ws_loader_start(struct ws_core *core)
{
	core->loading = 0;
	ws_subsystems_elected(core);
	core->load_rev = 0;
	core->view_at = core->now;
	core->loads_open = 1;
	ws_load_from(core, ws_load_order[0], "");
	for (size_t i = 0; ws_subsystems_prefix(core, i); i++) {
		core->loads_open++;
		ws_load_from(core, ws_subsystems_prefix(core, i), "");
	}
}

static void ws_loaded(struct ws_core *core)
{
	struct ws_machine *machine, *next_machine;
	struct ws_job *job, *next_job;

	core->role = WS_LEADER;
	core->watch_rev = core->load_rev;
	core->place_wanted = true;
	core->watch_next = core->now;
	HASH_ITER (hh, core->machines, machine, next_machine)
		for (struct ws_attempt *attempt = machine->attempts; attempt;
		     attempt = attempt->machine_next)
			/* of a cancelled job, or an older attempt of a task placed anew */
			if (attempt->job &&
			    (attempt->job->phase == WS_JOB_CANCELLED ||
			     (attempt->task < attempt->job->spec.tasks &&
			      attempt->job->tasks[attempt->task].newest_attempt != attempt)))
				ws_attempt_mark_stopping(attempt);
	HASH_ITER (hh, core->machines, machine, next_machine)
		if (machine->shard < 0 && machine->port)
			ws_machine_mark_dirty(core, machine);
	HASH_ITER (hh, core->jobs, job, next_job)
		ws_job_check_end(core, job);
	ws_subsystems_loaded(core);
	ws_log(core, WS_LOG_INFO, "leading: %u jobs, %u machines, %u rentals on record",
	       HASH_COUNT(core->jobs), HASH_COUNT(core->machines), HASH_COUNT(core->rentals));
}

/* The attempts that a job's record, or a piece of it, names. */
static void ws_load_attempts(struct ws_core *core, const char *id, json_t *value)
{
	struct ws_recorded_attempt *list;
	size_t n = ws_record_read_attempts(value, &list);

	for (size_t i = 0; i < n; i++) {
		struct ws_machine *machine = ws_machine_find_or_add(core, list[i].machine);
		struct ws_attempt *attempt;

		machine->recorded = true;
		if (!machine->zone[0])
			ws_machine_set_kind(core, machine, "", list[i].zone, false);
		if (list[i].incarnation > machine->incarnation)
			machine->incarnation = list[i].incarnation;
		for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
			if (attempt->number == list[i].number && attempt->task == list[i].task &&
			    !strcmp(attempt->job_id, id))
				break;
		if (attempt) /* named by both: cancelled while we read */
			continue;
		attempt = ws_attempt_add(core, machine, id, list[i].task, list[i].number);
		attempt->incarnation = list[i].incarnation;
		attempt->state = WS_ATTEMPT_RECORDED;
		attempt->maybe_sent = true; /* for all we know */
		attempt->awaiting_reconciliation = true;
		if (!attempt->job || (attempt->task < attempt->job->spec.tasks &&
				      attempt->job->tasks[attempt->task].done))
			ws_attempt_mark_stopping(attempt);
	}
	free(list);
}

/* The last owned machine's name; the first version listed them all, and the last one counts. */
static void ws_load_owned(struct ws_core *core, json_t *value)
{
	const char *last = json_string_value(json_object_get(value, "upto"));

	for (size_t i = 0; i < json_array_size(value); i++) {
		const char *name = json_string_value(json_array_get(value, i));

		if (name && (!last || strcmp(name, last) > 0))
			last = name;
	}
	core->owned_seen = true;
	snprintf(core->owned_upto, sizeof(core->owned_upto), "%s", last ? last : "");
	core->owned_known = true;
}

static void ws_load_rental(struct ws_core *core, const struct ws_kv *entry)
{
	struct ws_scale_out *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	snprintf(request->idempotency_key, sizeof(request->idempotency_key), "%s", entry->key + 7);
	request->revision = entry->revision;
	request->created_at = request->next_attempt_at = core->now;
	if (!ws_record_read_scale_out(entry->value, request)) {
		ws_log(core, WS_LOG_ERROR, "%s can't be read, left alone", entry->key);
		free(request->instances);
		free(request);
		return;
	}
	HASH_ADD_STR(core->rentals, idempotency_key, request);
	for (uint32_t i = 0; i < request->instance_count; i++) {
		struct ws_machine *machine = ws_machine_find_or_add(core, request->instances[i]);

		machine->recorded = true;
		ws_machine_set_kind(core, machine, request->type, request->zone,
				    request->preemptible);
	}
}

static void ws_load_fleet(struct ws_core *core, const struct ws_kv *entry)
{
	int i = atoi(entry->key + 6);

	if (i < 0 || i >= WS_MAX_MACHINE_SHARDS)
		return;
	ws_shard_at(core, i)->revision = entry->revision;
	if (json_is_array(json_object_get(entry->value, "m"))) {
		ws_record_read_machine_shard(core, entry->value, i);
	} else { /* counted as full, so that it is not written over */
		ws_log(core, WS_LOG_ERROR, "%s can't be read, left alone", entry->key);
		ws_shard_at(core, i)->machine_count = ws_shard_capacity(core);
	}
}

/* Attempts that a job's own record had no room for. */
static void ws_load_more(struct ws_core *core, const struct ws_kv *entry)
{
	char id[WS_ID_MAX];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(entry->key + 5, "/"), entry->key + 5);
	if (ws_job_find(core, id))
		ws_load_attempts(core, id, entry->value);
	else if (strlen(entry->key) < WS_NAME_MAX) /* its job is over */
		ws_tombstone_set(&core->orphaned_parts, entry->key, 1e18);
}

static void ws_load_kv(struct ws_core *core, const struct ws_kv *entry)
{
	if (!strcmp(entry->key, "owned")) {
		ws_load_owned(core, entry->value);
	} else if (!strncmp(entry->key, "rental/", 7)) {
		ws_load_rental(core, entry);
	} else if (!strncmp(entry->key, "fleet/", 6)) {
		ws_load_fleet(core, entry);
	} else if (!strncmp(entry->key, "job/", 4)) {
		ws_job_record_changed(core, entry->key + 4, entry->value, entry->revision);
		ws_load_attempts(core, entry->key + 4, entry->value);
	} else if (!strncmp(entry->key, "more/", 5)) {
		ws_load_more(core, entry);
	} else {
		ws_subsystems_record(core, entry);
	}
}

/* All records under a prefix are read: the next of the core's own, or one listing less is open. */
static void ws_load_next(struct ws_core *core, const char *prefix)
{
	bool own = core->loading < WS_LOAD_OWN && !strcmp(prefix, ws_load_order[core->loading]);

	if (own && ++core->loading < WS_LOAD_OWN)
		ws_load_from(core, ws_load_order[core->loading], "");
	else if (!--core->loads_open)
		ws_loaded(core);
}

static void ws_load_page(struct ws_core *core, struct ws_call *call, const struct ws_result *result)
{
	if (call->generation != core->generation || core->role != WS_LOADING)
		return;
	if (result->status != 200) {
		if (core->now > core->entitled_until) {
			ws_step_down(core, "the records could not be read in time");
			return;
		}
		ws_load_from(core, call->key, call->after);
		return;
	}
	if (!strcmp(call->key, "job/") && !core->load_rev) {
		core->load_rev = result->revision;
		core->view_at = call->created_at;
	}
	for (size_t i = 0; i < result->entry_count; i++)
		ws_load_kv(core, &result->entries[i]);
	if (result->has_more && result->entry_count) {
		ws_load_from(core, call->key, result->entries[result->entry_count - 1].key);
		return;
	}
	ws_load_next(core, call->key);
}

/*
 * What a watch of the jobs brought, to the leader's replica of them. Of two watches one may be
 * answered after the other, with less: a change that it brings and that the replica held already
 * may since have been undone, so only what is newer than the replica counts.
 */
static void ws_replica_apply(struct ws_core *core, const struct ws_call *call,
			     const struct ws_result *result)
{
	uint64_t held = core->watch_rev;

	if (core->role != WS_LEADER || call->since_revision > held)
		return;
	for (size_t i = 0; i < result->entry_count; i++)
		if (result->entries[i].revision > held &&
		    !strncmp(result->entries[i].key, "job/", 4))
			ws_job_record_changed(core, result->entries[i].key + 4,
					      result->entries[i].value,
					      result->entries[i].revision);
	core->watch_rev = result->revision > held ? result->revision : held;
	core->view_at = fmax(core->view_at, call->created_at);
}

/* A leader watches the jobs for its replica and for its job cache: each brings both up to date. */
void ws_job_watch_apply(struct ws_core *core, const struct ws_call *call,
			const struct ws_result *result)
{
	ws_replica_apply(core, call, result);
	ws_status_cache_apply(core, call, result);
}

static void ws_job_watch_answered(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	core->job_watch = false;
	if (result->status == 410) {
		ws_step_down(core, "the watch fell too far behind");
		return;
	}
	if (result->status != 200) {
		core->watch_next = core->now + core->ttl / 16;
		return;
	}
	/* what comes within a moment comes together: an eighth of the requests allowed at most */
	core->watch_next = core->now + 8 / core->settings->state_rps;
	ws_job_watch_apply(core, call, result);
}

/* Keeps a watch of the jobs open. */
void ws_job_watch_tick(struct ws_core *core)
{
	struct ws_call *call;

	if (core->role != WS_LEADER || core->job_watch || core->now < core->watch_next)
		return;
	call = ws_call_new(core, WS_CALL_WATCH, ws_job_watch_answered);
	snprintf(call->key, sizeof(call->key), "job/");
	call->since_revision = core->watch_rev;
	call->timeout_ms = (uint32_t)(core->ttl * 2000);
	core->job_watch = true;
}
