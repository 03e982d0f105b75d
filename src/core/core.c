/* The core's frame: actions out, calls and their completions, the clock. */
#include "internal.h"
#include <stdarg.h>

void ws_policy_defaults(struct ws_policy *policy)
{
	*policy = (struct ws_policy){
	    .delta = 1.0,
	    .rentals_max = -1,
	    .wait_max_s = -1,
	    .latency_bound_s = -1,
	    .rental_ceiling = -1,
	    .waiting_loads = -1,
	    .empty_wait_s = 10,
	    .sizing_period_s = 30,
	    .leader_ttl_ratio = 1.0 / 12,
	    .silent_ratio = 0.5,
	    .boot_patience = 2.5,
	};
}

void ws_log(struct ws_core *core, enum ws_log_level level, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (core->log)
		core->log(level, text);
}

struct ws_effect *ws_effect_new(struct ws_core *core, enum ws_effect_kind kind)
{
	struct ws_effect *effect = calloc(1, sizeof(*effect));

	if (!effect) /* nothing can be done without memory for an answer; start afresh */
		abort();
	effect->kind = kind;
	if (core->tail)
		core->tail->next = effect;
	else
		core->head = effect;
	core->tail = effect;
	return effect;
}

struct ws_call *ws_call_new(struct ws_core *core, enum ws_call_kind kind, ws_result_fn done)
{
	struct ws_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->kind = kind;
	call->on_result = done;
	call->generation = core->generation;
	call->created_at = core->now;
	ws_effect_new(core, WS_EFFECT_CALL)->call = call;
	return call;
}

void ws_call_free(struct ws_call *call)
{
	if (!call)
		return;
	for (size_t i = 0; i < call->operation_count; i++)
		json_decref(call->operations[i].value);
	free(call->operations);
	free(call->compares);
	free(call->machine_names);
	free(call->commands);
	free(call->context);
	free(call);
}

struct ws_effect *ws_core_next_effect(struct ws_core *core)
{
	struct ws_effect *effect = core->head;

	if (effect) {
		core->head = effect->next;
		if (!core->head)
			core->tail = NULL;
		effect->next = NULL;
	}
	return effect;
}

void ws_effect_free(struct ws_effect *effect)
{
	if (effect) {
		free(effect->commands);
		free(effect->cancellations);
	}
	free(effect);
}

/* Whether the store serves us, as the last answers tell. */
void ws_store_answered(struct ws_core *core, int status)
{
	if (status == 503 || status == 0) {
		if (core->state_bad_at <= core->state_ok_at)
			core->state_bad_since = core->now;
		core->state_bad_at = core->now;
	} else {
		core->state_ok_at = core->now;
	}
}

void ws_core_complete(struct ws_core *core, double now, struct ws_call *call,
		      const struct ws_result *result)
{
	if (now > core->now)
		core->now = now;
	if (call->kind <= WS_CALL_SESSION_CLOSE && call->kind != WS_CALL_WATCH)
		ws_store_answered(core, result->status);
	call->on_result(core, call, result);
	ws_call_free(call);
	ws_core_tick(core, now);
}

/*
 * How old a leader's view of what users cancelled may be when it answers a heartbeat: the answer
 * renews the lease of a cancelled task for the last time, and that lease must be out within
 * cancel_s.
 */
double ws_core_replica_age_limit(const struct ws_settings *settings)
{
	return settings->cancel_s - ws_lease_length(settings);
}

/* Whether that is shorter than what a leader is served by its watch at the latest. */
bool ws_core_replica_age_limit_is_short(const struct ws_settings *settings,
					const struct ws_policy *policy)
{
	return ws_core_replica_age_limit(settings) <
	       WS_REPLICA_AGE_TTLS * settings->lease_s * policy->leader_ttl_ratio;
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
	core->now = now;
	core->nonce = nonce;
	ws_writer_reset(core);
	core->state_ok_at = core->state_bad_at = -1e9;
	core->ttl = settings->lease_s * policy->leader_ttl_ratio;
	if (core->ttl < 0.2)
		core->ttl = 0.2;
	core->view_s = ws_core_replica_age_limit(settings);
	if (ws_core_replica_age_limit_is_short(settings, policy))
		ws_log(core, WS_LOG_ERROR,
		       "cancel_s %.3g is short for lease_s %.3g: in outages of the state service "
		       "reports are answered for %.3g s at most",
		       settings->cancel_s, settings->lease_s, fmax(0, core->view_s));
	if (core->policy.rental_ceiling < 0)
		core->policy.rental_ceiling = -1; /* derived once the machine types are known */
	for (size_t i = 0; i < settings->zone_count; i++)
		ws_zone_index(core, settings->zones[i]);
	core->k = -1;
	for (size_t i = 0; i < settings->team_count; i++)
		core->teams[i].settings = &settings->teams[i];
	return core;
}

void ws_core_free(struct ws_core *core)
{
	struct ws_effect *effect;

	if (!core)
		return;
	ws_step_down(core, NULL);
	while ((effect = ws_core_next_effect(core))) {
		ws_call_free(effect->call);
		ws_effect_free(effect);
	}
	ws_requests_free(core);
	ws_subsystems_free(core);
	free(core->orders);
	free(core->pass_memory);
	free(core);
}

bool ws_core_is_ready(const struct ws_core *core)
{
	return core->ntypes > 0 && core->state_ok_at > 0 && !ws_node_is_isolated(core);
}

bool ws_core_is_leader(const struct ws_core *core)
{
	return core->role == WS_LEADER;
}

void ws_core_pass_ended(struct ws_core *core, double (*clock)(void))
{
	double now;

	if (core->pass_at <= 0)
		return;
	now = clock();
	/* placement takes a third of the time at the most, however long what waits; if the process
	 * stood still meanwhile, that was no pass */
	core->place_next =
	    fmax(core->place_next, now + fmin(2 * (now - core->pass_at), core->ttl / 2));
	core->pass_at = 0;
}

/* How old the leader's replica of the jobs may be while the store serves it. */
double ws_replica_age_max(const struct ws_core *core)
{
	return fmax(core->view_s, WS_REPLICA_AGE_TTLS * core->ttl);
}

bool ws_core_is_entitled(const struct ws_core *core, double now)
{
	return core->role == WS_LEADER && now < core->entitled_until &&
	       now < core->job_watch.replica_current_at + ws_replica_age_max(core);
}

/* Everything that is due; called after each event and by the I/O layer's timer. */
void ws_core_tick(struct ws_core *core, double now)
{
	if (now > core->now)
		core->now = now;
	/* who was silent meanwhile may have been talking to us all the time */
	if (core->now - core->ticked_at > core->settings->report_s / 4)
		core->woke_at = core->now;
	core->ticked_at = core->now;
	ws_requests_tick(core);
	ws_leadership_tick(core);
	if (core->role == WS_LEADER) {
		ws_fleet_tick(core);
		ws_subsystems_tick(core);
		if (core->now > core->place_next + core->settings->report_s / 4)
			core->place_wanted = true; /* back-offs end without an event */
		if (core->place_wanted && core->now >= core->place_next && ws_is_entitled(core) &&
		    !core->in_outage)
			ws_scheduler_run_pass(core);
		ws_autoscaler_tick(core);
		ws_writer_tick(core);
	}
}
