/* Executes the effects of the core: sends calls, and answers or forwards requests. */
#include "clock.h"
#include "server_internal.h"

/* Returns whether only the leader may execute the effect: commands, lease renewals, and requests to
 * the cloud for more or fewer instances. */
static bool needs_leadership(const struct ws_effect *effect)
{
	if (effect->kind == WS_EFFECT_ANSWER_HEARTBEAT)
		return effect->answer == WS_ANSWER_OK;
	return effect->kind == WS_EFFECT_CALL &&
	       (effect->call->kind == WS_CALL_COMMANDS || effect->call->kind == WS_CALL_SCALE_OUT ||
		effect->call->kind == WS_CALL_SCALE_IN);
}

static void execute(struct ws_service *service, struct ws_effect *effect)
{
	switch (effect->kind) {
	case WS_EFFECT_CALL: ws_outgoing_call_start(service, effect->call); break;
	case WS_EFFECT_ANSWER_USER: ws_router_answer_user(service, effect); break;
	case WS_EFFECT_ANSWER_HEARTBEAT: ws_router_answer_heartbeat(service, effect); break;
	case WS_EFFECT_FORWARD: ws_forwarding_send(service, effect); break;
	case WS_EFFECT_ANSWER_VOTE: ws_forwarding_answer_vote(service, effect); break;
	}
}

/*
 * Handles an effect that needs leadership if the process was suspended after the core queued it, so
 * that another node may lead by now. A call is dropped, and a heartbeat is answered as unavailable.
 */
static void execute_without_leadership(struct ws_service *service, struct ws_effect *effect)
{
	if (effect->kind == WS_EFFECT_CALL) {
		ws_outgoing_call_drop(service, effect->call);
		return;
	}
	effect->answer = WS_ANSWER_UNAVAILABLE;
	execute(service, effect);
}

/* Returns the next effect, or NULL if there is none. Sets whether this node leads, and whether it
 * is entitled to execute the effect. */
static struct ws_effect *next_effect(struct ws_service *service, bool *leading, bool *entitled)
{
	struct ws_effect *effect;

	pthread_mutex_lock(&service->core_lock);
	ws_core_delay_next_pass(service->core, ws_now);
	effect = ws_core_next_effect(service->core);
	*leading = ws_core_is_leader(service->core);
	/* checked with the current time, directly before the effect is executed */
	*entitled =
	    !effect || !needs_leadership(effect) || ws_core_is_entitled(service->core, ws_now());
	pthread_mutex_unlock(&service->core_lock);
	return effect;
}

void ws_effects_execute(struct ws_service *service)
{
	if (service->executing_effects)
		return;
	service->executing_effects = true;
	for (;;) {
		bool leading, entitled;
		struct ws_effect *effect = next_effect(service, &leading, &entitled);

		if (leading != service->outgoing.leading)
			ws_outgoing_calls_set_share(service, leading);
		if (!effect)
			break;
		if (entitled)
			execute(service, effect);
		else
			execute_without_leadership(service, effect);
		ws_effect_free(effect);
	}
	service->executing_effects = false;
}
