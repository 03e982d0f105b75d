#include "failure_domains_command.h"
#include "state_tool.h"
#include "io/codec.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "zones/"
#define HOLD_FORMAT 1
/* A hold that others change at the same moment is tried again so often. */
#define HOLD_TRIES 3

/* ---- showing ---- */

static void print_domain(const char *name, json_t *record)
{
	printf("domain %s: %s for %.0f s when written (%s), penalty %.1f%s\n", name,
	       ws_state_tool_text(record, "state"),
	       json_number_value(json_object_get(record, "for_s")),
	       ws_state_tool_text(record, "evidence"),
	       json_number_value(json_object_get(record, "penalty")),
	       json_is_true(json_object_get(record, "held")) ? ", held" : "");
	printf("  machines: %lld live, %lld silent, %lld of them left a command unanswered, "
	       "%lld gone\n",
	       ws_state_tool_count(record, "live"), ws_state_tool_count(record, "silent"),
	       ws_state_tool_count(record, "unanswered"), ws_state_tool_count(record, "gone"));
}

static void print_progress(json_t *record)
{
	printf("plan: %lld tasks; %lld moved or over, %lld called off, %lld may be alive still, "
	       "%lld wait for room, %lld for their zone\n",
	       ws_state_tool_count(record, "planned"), ws_state_tool_count(record, "moved"),
	       ws_state_tool_count(record, "called_off"), ws_state_tool_count(record, "moving"),
	       ws_state_tool_count(record, "waiting"), ws_state_tool_count(record, "pinned"));
}

static void print_part(json_t *record)
{
	json_t *job;
	size_t i;

	json_array_foreach (json_object_get(record, "jobs"), i, job) {
		const char *id = json_string_value(json_array_get(job, 0));
		const char *reason = json_string_value(json_array_get(job, 2));

		printf("  %s: %lld tasks (%s)\n", id ? id : "?",
		       (long long)json_integer_value(json_array_get(job, 1)),
		       reason ? reason : "?");
	}
}

static bool print_record(void *context, const struct ws_kv *record)
{
	const char *name = record->key + strlen(PREFIX);
	size_t *domains = context;

	if (!strncmp(name, "domain/", 7)) {
		print_domain(name + 7, record->value);
		(*domains)++;
	} else if (!strncmp(name, "hold/", 5)) {
		printf("hold asked for: %s\n", name + 5);
	} else if (!strcmp(name, "progress")) {
		print_progress(record->value);
	} else if (!strncmp(name, "plan/", 5)) {
		print_part(record->value);
	}
	return true;
}

static int show(struct ws_state_tool *tool)
{
	size_t domains = 0;

	if (!ws_state_tool_list(tool, PREFIX, print_record, &domains)) {
		fprintf(stderr, "waystep: the state service could not be read\n");
		return 1;
	}
	if (!domains)
		printf("no domain was ever dark\n");
	return 0;
}

/* ---- holding ---- */

static bool domain_exists(const char *name, const struct ws_settings *platform,
			  const struct ws_subsystem_settings *subsystems)
{
	for (size_t i = 0; i < platform->zone_count; i++)
		if (!strcmp(platform->zones[i], name))
			return true;
	for (size_t i = 0; i < subsystems->zones.declared_count; i++)
		if (!strcmp(subsystems->zones.declared[i].name, name))
			return true;
	return false;
}

/* Writes or removes a session under the revision at which it was read; the outcome's status. */
static int hold_write(struct ws_state_tool *tool, const char *key, bool hold)
{
	struct ws_call read = {.kind = WS_CALL_GET};
	struct ws_compare condition = {0};
	struct ws_operation change = {0};
	struct ws_call write = {.kind = WS_CALL_TRANSACTION,
				.compares = &condition,
				.compare_count = 1,
				.operations = &change,
				.operation_count = 1};
	struct ws_result result;
	int status;

	snprintf(read.key, sizeof(read.key), "%s", key);
	ws_state_tool_call(tool, &read, &result);
	status = result.status;
	condition.revision = status == 200 && result.entry_count ? result.entries[0].revision : 0;
	ws_result_free(&result);
	if (status != 200 && status != 404)
		return status;
	if ((status == 200) == hold) /* it is as it should be */
		return 200;
	snprintf(condition.key, sizeof(condition.key), "%s", key);
	snprintf(change.key, sizeof(change.key), "%s", key);
	change.value = hold ? json_pack("{s:i}", "v", HOLD_FORMAT) : NULL;
	ws_state_tool_call(tool, &write, &result);
	status = result.status;
	ws_result_free(&result);
	json_decref(change.value);
	return status;
}

static int hold(struct ws_state_tool *tool, const char *domain, bool hold)
{
	char key[WS_KEY_MAX];
	int status = 409;

	snprintf(key, sizeof(key), PREFIX "hold/%s", domain);
	for (int i = 0; i < HOLD_TRIES && status == 409; i++)
		status = hold_write(tool, key, hold);
	if (status != 200) {
		fprintf(stderr, "waystep: the state service did not take it (%d)\n", status);
		return 1;
	}
	printf("domain %s is %s; the leader takes it in within lease_s / 4\n", domain,
	       hold ? "held" : "released");
	return 0;
}

int ws_domains_command_run(const struct ws_domains_command *command,
			   const struct ws_settings *platform,
			   const struct ws_subsystem_settings *subsystems)
{
	struct ws_state_tool *tool;
	int status = 0;

	if (command->verb > WS_DOMAINS_SHOW &&
	    !domain_exists(command->domain, platform, subsystems)) {
		fprintf(stderr, "waystep: there is no domain %s\n", command->domain);
		return 2;
	}
	tool = ws_state_tool_open(platform);
	if (command->verb == WS_DOMAINS_SHOW)
		status = show(tool);
	else
		status = hold(tool, command->domain, command->verb == WS_DOMAINS_HOLD);
	ws_state_tool_close(tool);
	return status;
}
