#include "failure_domains_command.h"
#include "record_view.h"
#include "io/codec.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prefix and names of the record keys. */
#define KEY_PREFIX "zones/"
#define DOMAIN_KEY "domain/"
#define HOLD_KEY "hold/"
#define PLAN_KEY "plan/"
#define PROGRESS_KEY "progress"
#define HOLD_FORMAT 1
/* Maximum attempts to change a hold when other writers conflict. */
#define HOLD_ATTEMPTS_MAX 3

/* ---- printing ---- */

static bool starts_with(const char *text, const char *start)
{
	return !strncmp(text, start, strlen(start));
}

static void print_domain(const char *name, json_t *record)
{
	printf("domain %s: %s, recorded after %.0f s in this state (%s), penalty %.1f%s\n", name,
	       ws_record_view_text(record, "state"), ws_record_view_number(record, "for_s"),
	       ws_record_view_text(record, "evidence"), ws_record_view_number(record, "penalty"),
	       ws_record_view_is_true(record, "held") ? ", held" : "");
	printf("  machines: %lld live, %lld silent (%lld of these with an unanswered command), "
	       "%lld gone\n",
	       ws_record_view_count(record, "live"), ws_record_view_count(record, "silent"),
	       ws_record_view_count(record, "unanswered"), ws_record_view_count(record, "gone"));
}

static void print_progress(json_t *record)
{
	printf(
	    "plan: %lld tasks; %lld moved or ended, %lld called off, %lld possibly still running, "
	    "%lld waiting for capacity, %lld pinned to their zone\n",
	    ws_record_view_count(record, "planned"), ws_record_view_count(record, "moved"),
	    ws_record_view_count(record, "called_off"), ws_record_view_count(record, "moving"),
	    ws_record_view_count(record, "waiting"), ws_record_view_count(record, "pinned"));
}

static void print_plan_shard(json_t *record)
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

/* Returns whether the record is that of a domain. */
static bool print_record(const char *name, json_t *record)
{
	if (starts_with(name, DOMAIN_KEY))
		print_domain(name + strlen(DOMAIN_KEY), record);
	else if (starts_with(name, HOLD_KEY))
		printf("hold requested: %s\n", name + strlen(HOLD_KEY));
	else if (!strcmp(name, PROGRESS_KEY))
		print_progress(record);
	else if (starts_with(name, PLAN_KEY))
		print_plan_shard(record);
	return starts_with(name, DOMAIN_KEY);
}

static const struct ws_record_view view = {
    .prefix = KEY_PREFIX,
    .print_record = print_record,
    .empty_text = "no failure domain is recorded",
};

/* ---- holds ---- */

static bool domain_exists(const char *name, const struct ws_settings *platform,
			  const struct ws_subsystem_settings *subsystems)
{
	for (size_t i = 0; i < platform->zone_count; i++)
		if (!strcmp(platform->zones[i], name))
			return true;
	for (size_t i = 0; i < subsystems->failure_domains.declared_count; i++)
		if (!strcmp(subsystems->failure_domains.declared[i].name, name))
			return true;
	return false;
}

/*
 * Reads the record of a hold, and writes or deletes it if it has not changed since. Returns the
 * outcome of the last call, and its HTTP status in `http_status`.
 */
static enum ws_outcome write_hold(struct ws_store_client *store, const char *key, bool hold,
				  int *http_status)
{
	struct ws_call read = {.kind = WS_CALL_GET};
	struct ws_compare condition = {0};
	struct ws_operation change = {0};
	struct ws_call write = {.kind = WS_CALL_TRANSACTION,
				.transaction = {.compares = &condition,
						.compare_count = 1,
						.operations = &change,
						.operation_count = 1}};
	struct ws_result result;
	enum ws_outcome outcome;

	snprintf(read.read.key, sizeof(read.read.key), "%s", key);
	ws_store_client_call(store, &read, &result);
	outcome = result.outcome;
	*http_status = result.http_status;
	condition.revision = outcome == WS_OUTCOME_OK && result.records.entry_count
				 ? result.records.entries[0].revision
				 : 0;
	ws_result_free(&result);
	if (outcome != WS_OUTCOME_OK && outcome != WS_OUTCOME_NOT_FOUND)
		return outcome;
	if ((outcome == WS_OUTCOME_OK) == hold) /* already as requested */
		return WS_OUTCOME_OK;
	snprintf(condition.key, sizeof(condition.key), "%s", key);
	snprintf(change.key, sizeof(change.key), "%s", key);
	change.value = hold ? json_pack("{s:i}", "v", HOLD_FORMAT) : NULL;
	ws_store_client_call(store, &write, &result);
	outcome = result.outcome;
	*http_status = result.http_status;
	ws_result_free(&result);
	json_decref(change.value);
	return outcome;
}

static int set_hold(struct ws_store_client *store, const char *domain, bool hold)
{
	char key[WS_KEY_MAX];
	enum ws_outcome outcome = WS_OUTCOME_CONFLICT;
	int http_status = 0;

	snprintf(key, sizeof(key), KEY_PREFIX HOLD_KEY "%s", domain);
	for (int i = 0; i < HOLD_ATTEMPTS_MAX && outcome == WS_OUTCOME_CONFLICT; i++)
		outcome = write_hold(store, key, hold, &http_status);
	if (outcome != WS_OUTCOME_OK) {
		fprintf(stderr,
			"waystep: the store did not accept the change of domain %s (HTTP status "
			"%d)\n",
			domain, http_status);
		return 1;
	}
	printf("domain %s is %s; the leader applies the change within lease_s / 4\n", domain,
	       hold ? "held" : "released");
	return 0;
}

int ws_failure_domains_command_run(const struct ws_failure_domains_command *command,
				   const struct ws_settings *platform,
				   const struct ws_subsystem_settings *subsystems)
{
	struct ws_store_client *store;
	int status = 0;

	if (command->kind > WS_FAILURE_DOMAINS_SHOW &&
	    !domain_exists(command->domain, platform, subsystems)) {
		fprintf(stderr, "waystep: failure domain %s does not exist\n", command->domain);
		return 2;
	}
	store = ws_store_client_open(platform);
	if (command->kind == WS_FAILURE_DOMAINS_SHOW)
		status = ws_record_view_print(&view, store);
	else
		status = set_hold(store, command->domain, command->kind == WS_FAILURE_DOMAINS_HOLD);
	ws_store_client_close(store);
	return status;
}
