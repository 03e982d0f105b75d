/* Watches the job records in the store to keep the leader's replica of the jobs current. */
#include "../core_state.h"
#include "../record_sources.h"

/* Timeout of a watch request, in session TTLs. */
#define WATCH_TIMEOUT_TTLS 2
/* After a failed watch, the next one is opened after this fraction (1/n) of a session TTL. */
#define RETRIES_PER_TTL 16
/* Minimum interval between two watches, in requests at the store's rate limit. It batches changes
 * and limits watches to an eighth of the allowed requests. */
#define WATCH_INTERVAL_REQUESTS 8

void ws_job_watch_reset(struct ws_core *core)
{
	core->job_watch.open = false;
}

void ws_job_watch_start(struct ws_core *core, uint64_t revision, double requested_at)
{
	core->job_watch.revision = revision;
	core->job_watch.next_at = core->now;
	core->job_watch.replica_current_at = requested_at;
}

void ws_job_watch_confirm(struct ws_core *core, double current_at)
{
	struct ws_job_watch *watch = &core->job_watch;

	watch->replica_current_at = fmax(watch->replica_current_at, current_at);
}

/*
 * Applies the changes that a watch returned to the leader's replica of the jobs. Replies to two
 * watches may arrive out of order, so a change that the replica already contains may have been
 * superseded since: only changes newer than the replica's revision are applied.
 */
static void ws_job_watch_update_replica(struct ws_core *core, const struct ws_call *call,
					const struct ws_result *result)
{
	struct ws_job_watch *watch = &core->job_watch;
	uint64_t replica_revision = watch->revision;

	if (core->leadership.role != WS_LEADER || call->watch.since_revision > replica_revision)
		return;
	for (size_t i = 0; i < result->records.entry_count; i++) {
		const struct ws_kv *change = &result->records.entries[i];

		if (change->revision > replica_revision &&
		    ws_key_has_prefix(change->key, WS_KEY_PREFIX_JOB))
			ws_core_job_changed(core, change);
	}
	watch->revision = result->records.revision > replica_revision ? result->records.revision
								      : replica_revision;
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
		ws_step_down(core, "job watch revision was compacted by the store");
		return;
	}
	if (result->outcome != WS_OUTCOME_OK) {
		watch->next_at = core->now + core->leadership.session_ttl_s / RETRIES_PER_TTL;
		return;
	}
	watch->next_at = core->now + WATCH_INTERVAL_REQUESTS / core->settings->store_rps;
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
	call->watch.timeout_ms =
	    (uint32_t)(core->leadership.session_ttl_s * WATCH_TIMEOUT_TTLS * 1000);
	watch->open = true;
}
