/* Carries out what the core wants done: calls to send, requests to answer or to forward. */
#include "clock.h"
#include "server_internal.h"

/* Commands, renewed leases and what is asked of the cloud: only the leader may. */
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
 * An effect that needs leadership, decided while this node had it, but the process stood still
 * since, and another may lead by now.
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

/* The next effect, NULL if there is none, and whether it may be carried out as it is. */
static struct ws_effect *next_effect(struct ws_service *service, bool *leading, bool *entitled)
{
	struct ws_effect *effect;

	pthread_mutex_lock(&service->lock);
	ws_core_delay_next_pass(service->core, ws_now);
	effect = ws_core_next_effect(service->core);
	*leading = ws_core_is_leader(service->core);
	/* with the clock as it is now, directly before it leaves */
	*entitled =
	    !effect || !needs_leadership(effect) || ws_core_is_entitled(service->core, ws_now());
	pthread_mutex_unlock(&service->lock);
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
