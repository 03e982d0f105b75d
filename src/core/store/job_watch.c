/* The watch of the job records that keeps the leader's replica current. */
#include "../core_state.h"
#include "../record_sources.h"

/* A watch is left open for so many ttl. */
#define WATCH_TTLS 2
/* After a watch that failed, the next one waits for this share of a ttl. */
#define RETRIES_PER_TTL 16
/* What comes within a moment comes together: so many requests' worth of time passes between two
 * watches, an eighth of the requests allowed at most. */
#define REQUESTS_PER_WATCH 8

void ws_job_watch_reset(struct ws_core *core)
{
	core->job_watch.open = false;
}

void ws_job_watch_start(struct ws_core *core, uint64_t revision, double asked_at)
{
	core->job_watch.revision = revision;
	core->job_watch.next_at = core->now;
	core->job_watch.replica_current_at = asked_at;
}

void ws_job_watch_confirm(struct ws_core *core, double current_at)
{
	struct ws_job_watch *watch = &core->job_watch;

	watch->replica_current_at = fmax(watch->replica_current_at, current_at);
}

/*
 * What a watch of the jobs brought, to the leader's replica of them. Of two watches one may be
 * answered after the other, with less: a change that it brings and that the replica held already
 * may since have been undone, so only what is newer than the replica counts.
 */
static void ws_job_watch_update_replica(struct ws_core *core, const struct ws_call *call,
					const struct ws_result *result)
{
	struct ws_job_watch *watch = &core->job_watch;
	uint64_t held = watch->revision;

	if (core->leadership.role != WS_LEADER || call->watch.since_revision > held)
		return;
	for (size_t i = 0; i < result->records.entry_count; i++) {
		const struct ws_kv *change = &result->records.entries[i];

		if (change->revision > held && ws_key_has_prefix(change->key, WS_KEY_PREFIX_JOB))
			ws_core_job_changed(core, change);
	}
	watch->revision = result->records.revision > held ? result->records.revision : held;
	if (result->records.entry_count)
		ws_log(core, WS_LOG_DEBUG,
		       "job watch answered since=%llu revision=%llu changes=%zu age_s=%.3f",
		       (unsigned long long)call->watch.since_revision,
		       (unsigned long long)result->records.revision, result->records.entry_count,
		       core->now - call->created_at);
	ws_job_watch_confirm(core, call->created_at);
}

void ws_job_watch_apply(struct ws_core *core, const struct ws_call *call,
			const struct ws_result *result)
{
	ws_job_watch_update_replica(core, call, result);
	ws_core_job_watch_answered(core, call, result);
}

static void ws_job_watch_answered(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	struct ws_job_watch *watch = &core->job_watch;

	if (call->generation != core->generation)
		return;
	watch->open = false;
	if (result->outcome == WS_OUTCOME_COMPACTED) {
		ws_step_down(core, "job watch fell too far behind");
		return;
	}
	if (result->outcome != WS_OUTCOME_OK) {
		watch->next_at = core->now + core->leadership.session_ttl_s / RETRIES_PER_TTL;
		return;
	}
	watch->next_at = core->now + REQUESTS_PER_WATCH / core->settings->state_rps;
	ws_job_watch_apply(core, call, result);
}

void ws_job_watch_tick(struct ws_core *core)
{
	struct ws_job_watch *watch = &core->job_watch;
	struct ws_call *call;

	if (core->leadership.role != WS_LEADER || watch->open || core->now < watch->next_at)
		return;
	call = ws_call_new(core, WS_CALL_WATCH, ws_job_watch_answered);
	snprintf(call->watch.prefix, sizeof(call->watch.prefix), "%s", WS_KEY_PREFIX_JOB);
	call->watch.since_revision = watch->revision;
	call->watch.timeout_ms = (uint32_t)(core->leadership.session_ttl_s * WATCH_TTLS * 1000);
	watch->open = true;
}
