/* The core's entry points: the effect queue, completion of calls, and the periodic tick. */
#include "core_state.h"
#include <stdarg.h>

void ws_policy_defaults(struct ws_policy *policy)
{
	*policy = (struct ws_policy){
	    .delta = 1.0,
	    .rentals_max = -1,
	    .wait_max_s = -1,
	    .latency_bound_s = -1,
	    .rental_ceiling = -1,
	    .waiting_units_max = -1,
	    .idle_timeout_s = 10,
	    .sizing_period_s = 30,
	    .leader_ttl_ratio = 1.0 / 12,
	    .unreachable_ratio = 0.5,
	    .boot_timeout_ratio = 2.5,
	};
}

void ws_log(struct ws_core *core, enum ws_log_level level, const char *format, ...)
{
	char text[512];
	va_list arguments;

	if (!core->log || level > core->log_level)
		return;
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	core->log(level, text);
}

void ws_core_set_log_level(struct ws_core *core, enum ws_log_level most_detailed)
{
	core->log_level = most_detailed;
}

struct ws_effect *ws_effect_new(struct ws_core *core, enum ws_effect_kind kind)
{
	struct ws_effect *effect = ws_alloc(1, sizeof(*effect));

	effect->kind = kind;
	if (core->effects_tail)
		core->effects_tail->next = effect;
	else
		core->effects_head = effect;
	core->effects_tail = effect;
	return effect;
}

struct ws_call *ws_call_new(struct ws_core *core, enum ws_call_kind kind, ws_result_fn on_result)
{
	struct ws_call *call = ws_alloc(1, sizeof(*call));

	call->kind = kind;
	call->on_result = on_result;
	call->generation = core->generation;
	call->created_at = core->now;
	ws_effect_new(core, WS_EFFECT_CALL)->call = call;
	return call;
}

struct ws_effect *ws_core_next_effect(struct ws_core *core)
{
	struct ws_effect *effect = core->effects_head;

	if (effect) {
		core->effects_head = effect->next;
		if (!core->effects_head)
			core->effects_tail = NULL;
		effect->next = NULL;
	}
	return effect;
}

void ws_core_complete(struct ws_core *core, double now, struct ws_call *call,
		      const struct ws_result *result)
{
	if (now > core->now)
		core->now = now;
	if (call->kind <= WS_CALL_SESSION_CLOSE && call->kind != WS_CALL_WATCH)
		ws_store_health_update(core, result->outcome);
	call->on_result(core, call, result);
	ws_call_free(call);
	ws_core_tick(core, now);
}

void ws_core_clear_leader_state(struct ws_core *core)
{
	ws_subsystems_step_down(core);
	ws_fleet_clear(core);
	ws_jobs_clear(core);
	ws_autoscaler_reset(core);
	ws_stats_reset(core);
	ws_images_clear(core);
	ws_scheduler_reset(core);
	ws_writer_reset(core);
	ws_job_watch_reset(core);
	core->catalog.types_recorded = false;
}

void ws_core_request_pass(struct ws_core *core)
{
	core->scheduler.pass_requested = true;
}

void ws_core_instance_gone(struct ws_core *core)
{
	core->autoscaler.records_stale = true;
}

bool ws_core_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index)
{
	return ws_zone_can_scale_out(core, job, zone_index);
}

void ws_core_elected(struct ws_core *core)
{
	core->jobs.attempt_sequence = 0;
	core->autoscaler.request_sequence = 0;
	ws_subsystems_elected(core);
	ws_loader_start(core);
}

void ws_core_job_changed(struct ws_core *core, const struct ws_kv *change)
{
	ws_job_record_changed(core, change->key + strlen(WS_KEY_PREFIX_JOB), change->value,
			      change->revision);
}

void ws_core_job_watch_answered(struct ws_core *core, const struct ws_call *call,
				const struct ws_result *result)
{
	ws_status_cache_apply(core, call, result);
}

void ws_core_attempts_read(struct ws_core *core, const char *job_id, json_t *record, uint32_t part)
{
	ws_attempts_restore(core, job_id, record, part);
}

void ws_core_attempts_restored(struct ws_core *core)
{
	ws_attempts_stop_superseded(core);
}

void ws_core_job_known(struct ws_core *core, struct ws_job *job)
{
	ws_quarantine_resolve_job(core, job);
}

void ws_core_job_commands_due(struct ws_core *core, struct ws_job *job)
{
	ws_job_send_commands(core, job);
}

void ws_core_stop_quarantined(struct ws_core *core, const char *job_id, double grace_s)
{
	ws_quarantine_stop_job(core, job_id, grace_s);
}

struct ws_core *ws_core_new(const struct ws_settings *settings, const struct ws_policy *policy,
			    ws_log_fn log, double now, uint64_t nonce)
{
	struct ws_core *core = calloc(1, sizeof(*core));

	if (!core)
		return NULL;
	core->settings = settings;
	core->policy = *policy;
	core->log = log;
	core->log_level = WS_LOG_DEBUG;
	core->now = now;
	core->nonce = nonce;
	ws_writer_reset(core);
	core->store_health.last_success_at = core->store_health.last_failure_at = -1e9;
	ws_leadership_init(core);
	if (core->policy.rental_ceiling < 0)
		core->policy.rental_ceiling =
		    -1; /* derived when the machine types have been loaded */
	for (size_t i = 0; i < settings->zone_count; i++)
		ws_zone_index(core, settings->zones[i]);
	core->autoscaler.unit_limit = -1;
	for (size_t i = 0; i < settings->team_count; i++)
		core->jobs.teams[i].settings = &settings->teams[i];
	return core;
}

void ws_core_free(struct ws_core *core)
{
	struct ws_effect *effect;

	if (!core)
		return;
	ws_step_down(core, NULL);
	while ((effect = ws_core_next_effect(core))) {
		if (effect->kind == WS_EFFECT_CALL)
			ws_call_free(effect->call);
		ws_effect_free(effect);
	}
	ws_api_free(core);
	ws_subsystems_free(core);
	free(core->fleet.commands);
	free(core->scheduler.scratch);
	free(core);
}

bool ws_core_is_ready(const struct ws_core *core)
{
	return core->catalog.type_count > 0 && core->store_health.last_success_at > 0 &&
	       !ws_node_is_isolated(core);
}

/* Runs a scheduling pass; the autoscaler then plans for the demand that it could not place. */
static void ws_core_run_pass(struct ws_core *core)
{
	ws_scheduler_run_pass(core);
	ws_autoscaler_plan(core);
	ws_scheduler_finish_pass(core);
}

/* Runs all due work; called after each completed call and by the I/O layer's timer. */
void ws_core_tick(struct ws_core *core, double now)
{
	if (now > core->now)
		core->now = now;
	/* after a stall of this process, machines may seem overdue though their heartbeats were
	 * sent */
	if (core->now - core->last_tick_at > core->settings->heartbeat_s / 4)
		core->resumed_at = core->now;
	core->last_tick_at = core->now;
	ws_api_tick(core);
	if (ws_leadership_tick(core))
		ws_job_watch_tick(core);
	if (core->leadership.role == WS_LEADER) {
		ws_event_counts_log(core);
		ws_fleet_tick(core);
		ws_subsystems_tick(core);
		if (core->now > core->scheduler.next_pass_at + core->settings->heartbeat_s / 4)
			core->scheduler.pass_requested = true; /* a backoff ends without an event */
		if (core->scheduler.pass_requested && core->now >= core->scheduler.next_pass_at &&
		    ws_is_entitled(core) && !core->leadership.in_outage)
			ws_core_run_pass(core);
		ws_autoscaler_tick(core);
		ws_writer_tick(core);
	}
}
