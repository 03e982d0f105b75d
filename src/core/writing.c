/* The leader's records: what is due, in one transaction at a time, within its share of changes. */
#include "internal.h"

static void ws_put(struct ws_call *call, const char *prefix, const char *name, uint64_t revision,
		   json_t *value)
{
	snprintf(call->compares[call->compare_count].key, WS_KEY_MAX, "%s%s", prefix, name);
	call->compares[call->compare_count++].revision = revision;
	snprintf(call->operations[call->operation_count].key, WS_KEY_MAX, "%s%s", prefix, name);
	call->operations[call->operation_count++].value = value;
}

static void ws_record_read_again(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	struct ws_scale_out *request;
	uint64_t revision =
	    result->status == 200 && result->entry_count == 1 ? result->entries[0].revision : 0;

	if (call->generation != core->generation)
		return;
	if (result->status != 200 && result->status != 404) {
		struct ws_call *other_call = ws_call_new(core, WS_CALL_GET, ws_record_read_again);

		snprintf(other_call->key, sizeof(other_call->key), "%s", call->key);
		return;
	}
	if (!strncmp(call->key, "fleet/", 6)) {
		struct ws_machine_shard *shard = ws_shard_at(core, atoi(call->key + 6));

		shard->revision = revision;
		shard->write_in_flight = false;
		ws_shard_mark_dirty(core, atoi(call->key + 6));
	} else if (!strncmp(call->key, "rental/", 7)) {
		HASH_FIND_STR(core->rentals, call->key + 7, request);
		if (!request)
			return;
		request->revision = revision;
		request->write_in_flight = false;
		ws_scale_out_mark_dirty(core, request);
	} else if (!strcmp(call->key, "owned")) {
		core->owned_known = result->status == 200;
		core->owned_writing = false;
	} else {
		ws_subsystems_reread(core, call->key, revision);
	}
}

/* What a job's record held is on record now: its starts may go out. */
static void ws_job_written(struct ws_job *job)
{
	struct ws_attempt *attempt, *next_attempt;

	DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next) {
		if (attempt->state == WS_ATTEMPT_GONE && !attempt->write_in_flight) {
			ws_attempt_free(attempt); /* what was just written no longer names it */
			continue;
		}
		if (attempt->write_in_flight && attempt->state == WS_ATTEMPT_PLANNED) {
			attempt->state = WS_ATTEMPT_RECORDED;
			attempt->machine->has_starts_to_send = true;
		}
		attempt->write_in_flight = false;
	}
	for (uint32_t t = 0; t < job->spec.tasks; t++)
		if (job->tasks[t].write_in_flight) {
			job->tasks[t].recorded = true;
			job->tasks[t].write_in_flight = false;
		}
}

static void ws_flush_op(struct ws_core *core, const struct ws_operation *operation, uint64_t rev)
{
	struct ws_scale_out *request;
	struct ws_job *job;

	if (!strncmp(operation->key, "fleet/", 6)) {
		struct ws_machine_shard *shard = ws_shard_at(core, atoi(operation->key + 6));

		shard->write_in_flight = false;
		shard->revision = rev;
		shard->written_at = core->now;
	} else if (!strncmp(operation->key, "rental/", 7)) {
		HASH_FIND_STR(core->rentals, operation->key + 7, request);
		if (!request)
			return;
		request->write_in_flight = false;
		request->revision = operation->value ? rev : 0;
		ws_scale_out_written(core, request, !operation->value);
	} else if (!strncmp(operation->key, "job/", 4) &&
		   (job = ws_job_find(core, operation->key + 4))) {
		job->write_in_flight = false;
		if (!operation->value) {
			ws_tombstone_set(&core->ended, job->spec.id,
					 core->now + core->settings->lease_s);
			ws_job_free(core, job);
			return;
		}
		if (rev > job->revision)
			job->revision = rev;
		ws_job_written(job);
	} else if (!strcmp(operation->key, "owned")) {
		core->owned_known = true;
		core->owned_writing = false;
		ws_log(core, WS_LOG_INFO, "owned machines recorded: up to %s",
		       core->owned_upto[0] ? core->owned_upto : "none");
	} else if (!strcmp(operation->key, "types")) {
		core->types_saved = true;
	} else {
		ws_subsystems_written(core, operation, rev);
	}
}

/* The write did not happen, or not surely: what it held is due again. */
static void ws_flush_undo(struct ws_core *core, const struct ws_operation *operation, bool reread)
{
	struct ws_scale_out *request;
	struct ws_job *job;
	struct ws_call *call;

	if (!strncmp(operation->key, "fleet/", 6)) {
		if (!reread) {
			ws_shard_at(core, atoi(operation->key + 6))->write_in_flight = false;
			ws_shard_mark_dirty(core, atoi(operation->key + 6));
		}
	} else if (!strncmp(operation->key, "rental/", 7)) {
		HASH_FIND_STR(core->rentals, operation->key + 7, request);
		if (!request)
			return;
		if (!reread) {
			request->write_in_flight = false;
			ws_scale_out_mark_dirty(core, request);
		}
	} else if (!strncmp(operation->key, "job/", 4) &&
		   (job = ws_job_find(core, operation->key + 4))) {
		struct ws_attempt *attempt;

		job->write_in_flight = false;
		for (uint32_t t = 0; t < job->spec.tasks; t++)
			job->tasks[t].write_in_flight = false;
		DL_FOREACH2 (job->attempts, attempt, job_next)
			attempt->write_in_flight = false;
		ws_job_mark_dirty(core, job, true);
		return;
	} else if (!strcmp(operation->key, "owned")) {
		if (!reread)
			core->owned_writing = false;
	} else if (!ws_subsystems_undone(core, operation, reread)) {
		return;
	}
	if (reread) {
		call = ws_call_new(core, WS_CALL_GET, ws_record_read_again);
		snprintf(call->key, sizeof(call->key), "%s", operation->key);
	}
}

/* Starts that are on record now go out. */
static void ws_flush_push(struct ws_core *core, const struct ws_call *call)
{
	struct ws_job *job;

	for (size_t i = 0; i < call->operation_count; i++)
		if (!strncmp(call->operations[i].key, "job/", 4) &&
		    (job = ws_job_find(core, call->operations[i].key + 4)))
			ws_job_send_commands(core, job);
}

/*
 * Too much for the store, by limits lower than those we plan by. It was not carried out;
 * what it held is written anew in smaller transactions, then in smaller records, never unchanged.
 */
static void ws_flush_refused(struct ws_core *core, const struct ws_call *call)
{
	size_t most = 0, all = 0, which = 0;

	for (size_t i = 0; i < call->operation_count; i++) {
		size_t n =
		    call->operations[i].value ? ws_record_size(call->operations[i].value) : 0;

		all += n;
		if (n > most) {
			most = n;
			which = i;
		}
	}
	if (call->operation_count > 2)
		core->ops_most =
		    (int)(call->operation_count / 2 > 2 ? call->operation_count / 2 : 2);
	else if (most > 512)
		core->value_most = fmax(512, (double)most * 3 / 4);
	ws_log(core, WS_LOG_ERROR,
	       "a write of %zu records, %zu bytes, was refused; the largest is %s with %zu: from "
	       "now on "
	       "%d changes a transaction, values of %.0f bytes",
	       call->operation_count, all, call->operations[which].key, most, core->ops_most,
	       core->value_most);
}

static void ws_write_answered(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	core->flushing = false;
	core->flush_wanted = true;
	if (result->status == 200) {
		core->flush_fails = 0;
		for (size_t i = 0; i < call->operation_count; i++)
			ws_flush_op(core, &call->operations[i], result->revision);
		ws_flush_push(core, call);
		return;
	}
	if (result->status == 409) {
		for (size_t i = 0; i < result->failed_count; i++)
			if (!strcmp(result->failed_keys[i], "leader")) {
				ws_step_down(core, "a write found another leader");
				return;
			}
		for (size_t i = 0; i < call->operation_count; i++) {
			bool failed = false;
			struct ws_job *job;

			for (size_t k = 0; k < result->failed_count; k++)
				failed |= !strcmp(result->failed_keys[k], call->operations[i].key);
			/* a job's key moves when its user cancels: the watch brings it */
			if (failed && !strncmp(call->operations[i].key, "job/", 4) &&
			    (job = ws_job_find(core, call->operations[i].key + 4)))
				for (size_t k = 0; k < call->compare_count; k++)
					if (!strcmp(call->compares[k].key,
						    call->operations[i].key) &&
					    call->compares[k].revision == job->revision)
						job->compare_failed = true;
			ws_flush_undo(core, &call->operations[i], failed);
		}
		return;
	}
	if (result->status == 400)
		ws_flush_refused(core, call);
	for (size_t i = 0; i < call->operation_count; i++)
		ws_flush_undo(core, &call->operations[i], false);
	if (result->status == 429) { /* others write as well: less for a while */
		core->flush_rate =
		    fmax(core->flush_rate * 0.8, core->settings->state_write_rps / 2);
		core->flush_tokens = 0;
		core->flush_next = core->now + 1 / core->flush_rate;
		return;
	}
	if (core->flush_fails < 5)
		core->flush_fails++;
	core->flush_next = core->now + core->ttl / 64 * (1 << core->flush_fails);
}

/*
 * Changes a second are the scarcest thing in a large deployment. The leader has half of them for
 * sure, and takes up to four fifths while nobody is refused any.
 */
static void ws_flush_budget(struct ws_core *core)
{
	double most = 0.8 * core->settings->state_write_rps;

	if (!core->flush_rate)
		core->flush_rate = most;
	core->flush_rate = fmin(most, core->flush_rate + (core->now - core->flush_at) * most / 32);
	core->flush_tokens =
	    fmin(core->flush_rate / 2,
		 core->flush_tokens + (core->now - core->flush_at) * core->flush_rate);
	core->flush_at = core->now;
}

/*
 * Whether a job's record is to be written now: starts and ends at once; which tasks are over
 * meanwhile, within the 2 s that users may wait for it while there are changes to spare, else with
 * the next start or end, or when half a lease has passed.
 */
static bool ws_job_due(const struct ws_core *core, const struct ws_job *job)
{
	double age = core->now - job->dirty_since;

	return !job->write_in_flight && !job->compare_failed &&
	       (job->write_urgent || age > core->settings->lease_s / 2 ||
		(age > 2 && core->flush_tokens > core->flush_rate / 4));
}

/*
 * Which records go first when changes are short: of jobs that users see begin or end whole, and
 * what has waited for long; then further portions of arrays, which gather meanwhile.
 */
static int ws_job_rank(const struct ws_core *core, const struct ws_job *job)
{
	if (!job->write_urgent)
		return 0;
	return job->spec.service || job->spec.gang || !job->started || ws_job_is_over(job) ||
		       core->now - job->dirty_since > core->settings->lease_s / 4
		   ? 2
		   : 1;
}

/* Whether a record of the fleet is to be written: late, and later still if changes are short. */
static bool ws_chunk_due(const struct ws_core *core, const struct ws_machine_shard *shard)
{
	bool spare = core->flush_tokens > core->flush_rate / 4;

	return !shard->write_in_flight &&
	       ((shard->dirty &&
		 core->now - shard->dirty_since > core->settings->lease_s / (spare ? 32 : 4)) ||
		(shard->images_outdated &&
		 core->now - shard->written_at > core->settings->lease_s / 2 && spare));
}

/* Now and then, so that operators see what the changes are spent on. */
static void ws_flush_log(struct ws_core *core)
{
	const uint32_t *w = core->wrote;

	if (core->now < core->wrote_log)
		return;
	if (w[0] + w[1] + w[2] + w[3] + w[4])
		ws_log(core, WS_LOG_INFO,
		       "written since: %u starts, %u ends, %u jobs later, %u fleet, %u rentals; "
		       "%.0f changes a second are ours",
		       w[WS_WRITE_STARTS], w[WS_WRITE_ENDS], w[WS_WRITE_LATER], w[WS_WRITE_FLEET],
		       w[WS_WRITE_SCALE_OUTS], core->flush_rate);
	memset(core->wrote, 0, sizeof(core->wrote));
	core->wrote_log = core->now + core->settings->lease_s;
}

static void ws_flush_job(struct ws_core *core, struct ws_call *call, struct ws_job *job,
			 size_t *bytes)
{
	/* archived once nothing of it can be alive, so that what is counts for its team */
	bool over = ws_job_is_over(job) && !job->attempt_count;
	json_t *value;

	DL_DELETE2(core->dirty_jobs, job, dirty_prev, dirty_next);
	core->wrote[over ? WS_WRITE_ENDS : job->write_urgent ? WS_WRITE_STARTS : WS_WRITE_LATER]++;
	job->dirty = job->write_urgent = false;
	if (job->phase == WS_JOB_CANCELLED && !over)
		return; /* the record says so already; due again when the last task is gone */
	job->write_in_flight = true;
	if (over) {
		snprintf(call->compares[call->compare_count].key, WS_KEY_MAX, "old/%s",
			 job->spec.id);
		call->compares[call->compare_count++].revision = 0;
		snprintf(call->operations[call->operation_count].key, WS_KEY_MAX, "old/%s",
			 job->spec.id);
		call->operations[call->operation_count++].value = ws_record_final(job);
		ws_put(call, "job/", job->spec.id, job->revision, NULL);
		/* pieces for which there is no room now are found as orphaned parts by the next
		 * leader */
		for (uint32_t i = 0;
		     i < job->continuation_count && call->operation_count < (size_t)core->ops_most;
		     i++)
			snprintf(call->operations[call->operation_count++].key, WS_KEY_MAX,
				 "more/%s/%u", job->spec.id, i);
		*bytes += 256;
	} else {
		value = ws_record_job(core, job, ws_record_size_limit(core));
		if (!value) { /* more planned than the record holds: what was not sent is taken back
			       */
			struct ws_attempt *attempt, *next_attempt;

			DL_FOREACH_SAFE2 (job->attempts, attempt, next_attempt, job_next)
				if (attempt->state == WS_ATTEMPT_PLANNED)
					ws_attempt_release(core, attempt);
			ws_log(core, WS_LOG_INFO, "job %s: its record is full", job->spec.id);
			value = ws_record_job(core, job, ws_record_size_limit(core));
		}
		if (!value) {
			job->write_in_flight = false;
			return;
		}
		ws_put(call, "job/", job->spec.id, job->revision, value);
		/* a record is mostly its attempts */
		*bytes += 1024 + 24 * (size_t)job->attempt_count;
	}
}

/* A transaction of the leader, with room for so many changes, conditioned on its key. */
static struct ws_call *ws_flush_begin(struct ws_core *core, size_t most)
{
	struct ws_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->compares = calloc(2 * most + 2, sizeof(*call->compares));
	call->operations = calloc(most + 1, sizeof(*call->operations));
	if (!call->compares || !call->operations)
		abort();
	snprintf(call->compares[0].key, WS_KEY_MAX, "leader");
	call->compares[0].revision = core->epoch >> WS_FENCING_TOKEN_SHIFT;
	call->compare_count = 1;
	return call;
}

/* What is written once: the owned machines, and the machine types. */
static void ws_flush_once(struct ws_core *core, struct ws_call *call)
{
	json_t *value;

	if (core->owned_seen && !core->owned_known && !core->owned_writing) {
		ws_put(call, "", "owned", 0, json_pack("{s:s}", "upto", core->owned_upto));
		core->owned_writing = true;
	}
	if (core->types_saved || !core->ntypes)
		return;
	value = ws_record_types(core->types, core->ntypes);
	if ((double)ws_record_size(value) < core->value_most) {
		snprintf(call->operations[call->operation_count].key, WS_KEY_MAX, "types");
		call->operations[call->operation_count++].value = value;
	} else { /* one written under a higher limit stays readable */
		ws_log(core, WS_LOG_ERROR, "the record of machine types does not fit a value");
		json_decref(value);
		core->types_saved = true;
	}
}

/* Parts of records whose jobs are over are deleted; the next sweep forgets them here. */
static void ws_flush_orphaned_parts(struct ws_core *core, struct ws_call *call, size_t most)
{
	for (struct ws_tombstone *tombstone = core->orphaned_parts;
	     tombstone && call->operation_count < most; tombstone = tombstone->hh.next) {
		if (tombstone->until <= core->now)
			continue;
		snprintf(call->operations[call->operation_count++].key, WS_KEY_MAX, "%s",
			 tombstone->name);
		tombstone->until = core->now;
	}
}

static void ws_flush_rentals(struct ws_core *core, struct ws_call *call, size_t most, size_t *bytes)
{
	struct ws_scale_out *request, *next_request;

	DL_FOREACH_SAFE2 (core->dirty_rentals, request, next_request, dirty_next) {
		if (call->operation_count == most || *bytes > WS_TRANSACTION_BYTES)
			break;
		if (request->write_in_flight)
			continue;
		json_t *value =
		    request->state == WS_SCALE_OUT_DISCARDED ? NULL : ws_record_scale_out(request);

		DL_DELETE2(core->dirty_rentals, request, dirty_prev, dirty_next);
		request->dirty = false;
		if (value && (double)ws_record_size(value) >= core->value_most) {
			json_decref(value); /* of a higher limit: when it is shorter */
			continue;
		}
		request->write_in_flight = true;
		core->wrote[WS_WRITE_SCALE_OUTS]++;
		*bytes += 512 + request->instance_count * 64;
		ws_put(call, "rental/", request->idempotency_key, request->revision, value);
	}
}

static void ws_flush_jobs(struct ws_core *core, struct ws_call *call, size_t most, size_t *bytes)
{
	struct ws_job *job, *next_job;

	for (int rank = 2; rank >= 0; rank--)
		DL_FOREACH_SAFE2 (core->dirty_jobs, job, next_job, dirty_next) {
			if (call->operation_count + 2 > most || *bytes > WS_TRANSACTION_BYTES)
				break;
			if (ws_job_rank(core, job) == rank && ws_job_due(core, job))
				ws_flush_job(core, call, job, bytes);
		}
}

/* One record of the fleet at a time: what users wait for goes before. */
static void ws_flush_fleet(struct ws_core *core, struct ws_call *call, size_t most, size_t *bytes)
{
	if (call->operation_count >= most || *bytes >= WS_TRANSACTION_BYTES ||
	    core->now < core->chunk_next)
		return;
	for (int i = 0; i < core->nchunks; i++) {
		struct ws_machine_shard *shard = &core->chunks[i];
		char name[16];

		if (!ws_chunk_due(core, shard))
			continue;
		shard->dirty = shard->images_outdated = false;
		shard->write_in_flight = true;
		core->wrote[WS_WRITE_FLEET]++;
		core->chunk_next = core->now + 8 / core->settings->state_write_rps;
		*bytes += (size_t)core->value_most;
		snprintf(name, sizeof(name), "%d", i);
		ws_put(call, "fleet/", name, shard->revision, ws_record_machine_shard(core, i));
		return;
	}
}

/* One transaction at a time, with what is due: scale-out requests, starts and ends, then the rest.
 */
void ws_writer_tick(struct ws_core *core)
{
	size_t most = (size_t)core->ops_most, bytes = 0;
	struct ws_call *call;

	ws_flush_budget(core);
	if (core->flushing || core->now < core->flush_next || !ws_is_entitled(core) ||
	    core->in_outage || core->flush_tokens < 1 ||
	    (!core->flush_wanted && core->now < core->flush_look))
		return;
	core->flush_wanted = false;
	core->flush_look = core->now + core->ttl / 64;
	ws_flush_log(core);
	call = ws_flush_begin(core, most);
	ws_flush_once(core, call);
	ws_flush_orphaned_parts(core, call, most);
	ws_flush_rentals(core, call, most, &bytes);
	ws_subsystems_collect_writes(core, call, most, &bytes, true);
	ws_flush_jobs(core, call, most, &bytes);
	ws_flush_fleet(core, call, most, &bytes);
	ws_subsystems_collect_writes(core, call, most, &bytes, false);
	if (!call->operation_count) {
		core->flush_idle++;
		ws_call_free(call);
		return;
	}
	core->flush_tokens -= (double)call->operation_count;
	call->kind = WS_CALL_TRANSACTION;
	call->self_paced = true;
	call->on_result = ws_write_answered;
	call->generation = core->generation;
	call->created_at = core->now;
	ws_effect_new(core, WS_EFFECT_CALL)->call = call;
	core->flushing = true;
}
