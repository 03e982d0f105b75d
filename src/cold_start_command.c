#include "cold_start_command.h"
#include "cold_start/cold_start.h"
#include "state_tool.h"
#include <stdio.h>
#include <string.h>

#define PREFIX "coldstart/"

static double seconds_of(json_t *record, const char *name)
{
	return json_number_value(json_object_get(record, name));
}

static void print_findings(json_t *findings)
{
	for (int kind = 0; kind < WS_RECONCILIATION_RESULTS; kind++) {
		const char *name = ws_cold_start_finding_name((enum ws_reconciliation_result)kind);
		long long count = ws_state_tool_count(findings, name);

		if (count)
			printf("  %s: %lld\n", name, count);
	}
}

static void print_zones(json_t *zones)
{
	const char *name;
	json_t *zone;

	json_object_foreach (zones, name, zone)
		printf("zone %s: %lld of %lld machines answered%s\n", name,
		       (long long)json_integer_value(json_array_get(zone, 1)),
		       (long long)json_integer_value(json_array_get(zone, 0)),
		       json_is_true(json_array_get(zone, 2)) ? "" : ", waited for");
}

static void print_account(json_t *record)
{
	double unproven = seconds_of(record, "unproven_s");
	double left = seconds_of(record, "leases_out_s");

	printf("cold start: %s, %.1f s after the election when written\n",
	       ws_state_tool_text(record, "phase"), seconds_of(record, "for_s"));
	if (unproven >= 0)
		printf("no leader was known to have lived for %.1f s\n", unproven);
	else
		printf("the leader knew of none before it\n");
	if (left > 0)
		printf("machines that are silent are waited for at most %.1f s more\n", left);
	if (json_is_true(json_object_get(record, "doubted")))
		printf("the store has lost records\n");
	print_zones(json_object_get(record, "zones"));
	printf("attempts found:\n");
	print_findings(json_object_get(record, "findings"));
	printf("jobs that lost work: %lld, of them running again or over: %lld\n",
	       ws_state_tool_count(record, "lost_jobs"),
	       ws_state_tool_count(record, "recovered_jobs"));
	printf("jobs the store never heard of: %lld; attempts adopted: %lld; jobs stopped "
	       "unclaimed: %lld; stopped as over: %lld\n",
	       ws_state_tool_count(record, "kept"), ws_state_tool_count(record, "adopted"),
	       ws_state_tool_count(record, "unclaimed"), ws_state_tool_count(record, "over"));
}

static bool print_record(void *context, const struct ws_kv *record)
{
	const char *name = record->key + strlen(PREFIX);
	bool *any = context;

	if (!strcmp(name, "account")) {
		*any = true;
		print_account(record->value);
	} else if (!strncmp(name, "kept/", 5)) {
		printf("kept apart: job %s, first on machine %s, for %.1f s when written\n",
		       name + 5, ws_state_tool_text(record->value, "machine"),
		       seconds_of(record->value, "kept_s"));
	}
	return true;
}

int ws_cold_start_command_run(const struct ws_settings *platform)
{
	struct ws_state_tool *tool = ws_state_tool_open(platform);
	bool any = false;
	bool read = ws_state_tool_list(tool, PREFIX, print_record, &any);

	ws_state_tool_close(tool);
	if (!read) {
		fprintf(stderr, "waystep: the state service could not be read\n");
		return 1;
	}
	if (!any)
		printf("no cold start is on record\n");
	return 0;
}
