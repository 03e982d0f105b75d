/* Tests that requests are answered by effects, and that ws_core_free() frees pending effects. */
#include "../src/core/core.h"
#include "check.h"
#include <stdlib.h>
#include <string.h>

#define REQUEST_ID 7

static void ignore_log(enum ws_log_level level, const char *text)
{
	(void)level;
	(void)text;
}

static struct ws_core *core_new(const struct ws_settings *settings)
{
	const struct ws_policy policy = {.leader_ttl_ratio = 0.5};

	return ws_core_new(settings, &policy, ignore_log, 0, 1);
}

/* A core without machine types answers that it is unavailable. */
static void submit(struct ws_core *core)
{
	struct ws_job_spec spec = {.tasks = 1};

	memset(spec.id, 'j',
	       sizeof(spec.id) - 1); /* the longest name: it overlaps the pointers in the effect */
	ws_core_submit(core, 0, 0, REQUEST_ID, &spec, false);
}

static void heartbeat(struct ws_core *core)
{
	const struct ws_heartbeat heartbeat = {.machine = "m-1"};

	ws_core_heartbeat(core, 0, REQUEST_ID, &heartbeat, false);
}

static void check_answers(const struct ws_settings *settings)
{
	struct ws_core *core = core_new(settings);
	struct ws_effect *effect;

	submit(core);
	effect = ws_core_next_effect(core);
	check("a submission is answered",
	      effect && effect->kind == WS_EFFECT_ANSWER_USER &&
		  effect->answer == WS_ANSWER_UNAVAILABLE && effect->request_id == REQUEST_ID &&
		  strlen(effect->user.job) == WS_ID_MAX - 1 && effect->user.retry_after_s == 1);
	ws_effect_free(effect);
	heartbeat(core);
	effect = ws_core_next_effect(core);
	check("a heartbeat is answered", effect && effect->kind == WS_EFFECT_ANSWER_HEARTBEAT &&
					     effect->answer == WS_ANSWER_UNAVAILABLE &&
					     !effect->heartbeat.commands);
	ws_effect_free(effect);
	check("no further effect is pending", !ws_core_next_effect(core));
	ws_core_free(core);
}

static void check_pending_effects_freed(const struct ws_settings *settings)
{
	struct ws_core *core = core_new(settings);

	submit(core);
	heartbeat(core);
	ws_core_tick(core, 1); /* adds calls to the store and the cloud */
	ws_core_free(core);
	check("pending effects are freed with the core", true);
}

int main(void)
{
	struct ws_settings *settings = calloc(1, sizeof(*settings));

	if (!settings)
		return 1;
	snprintf(settings->node, sizeof(settings->node), "node-1");
	settings->lease_s = 60;
	settings->heartbeat_s = 10;
	settings->cancel_s = 120;
	settings->store_rps = settings->store_write_rps = 100;
	settings->cloud_rps = 1;
	settings->value_kb = 100;
	settings->transaction_ops = 64;
	check_answers(settings);
	check_pending_effects_freed(settings);
	free(settings);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
