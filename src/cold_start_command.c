#include "cold_start_command.h"
#include "cold_start/cold_start.h"
#include "record_view.h"
#include <stdio.h>
#include <string.h>

/* Keys of the records. */
#define PREFIX "coldstart/"
#define ACCOUNT_KEY "account"
#define KEPT_KEY "kept/"

static void print_reconciliation(json_t *results)
{
	for (int kind = 0; kind < WS_RECONCILIATION_RESULTS; kind++) {
		const char *name = ws_cold_start_result_name((enum ws_reconciliation_result)kind);
		long long count = ws_record_view_count(results, name);

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
	double unproven = ws_record_view_number(record, "unproven_s");
	double left = ws_record_view_number(record, "leases_out_s");

	printf("cold start: %s, %.1f s after the election when written\n",
	       ws_record_view_text(record, "phase"), ws_record_view_number(record, "for_s"));
	if (unproven >= 0)
		printf("no leader was known to have lived for %.1f s\n", unproven);
	else
		printf("the leader knew of none before it\n");
	if (left > 0)
		printf("machines that are silent are waited for at most %.1f s more\n", left);
	if (ws_record_view_is_true(record, "doubted"))
		printf("the store has lost records\n");
	print_zones(json_object_get(record, "zones"));
	printf("attempts found:\n");
	print_reconciliation(json_object_get(record, "findings"));
	printf("jobs that lost work: %lld, of them running again or over: %lld\n",
	       ws_record_view_count(record, "lost_jobs"),
	       ws_record_view_count(record, "recovered_jobs"));
	printf("jobs the store never heard of: %lld; attempts adopted: %lld; jobs stopped "
	       "unclaimed: %lld; stopped as over: %lld\n",
	       ws_record_view_count(record, "kept"), ws_record_view_count(record, "adopted"),
	       ws_record_view_count(record, "unclaimed"), ws_record_view_count(record, "over"));
}

/* True: it is the account. */
static bool print_record(const char *name, json_t *record)
{
	bool account = !strcmp(name, ACCOUNT_KEY);

	if (account)
		print_account(record);
	else if (!strncmp(name, KEPT_KEY, strlen(KEPT_KEY)))
		printf("kept apart: job %s, first on machine %s, for %.1f s when written\n",
		       name + strlen(KEPT_KEY), ws_record_view_text(record, "machine"),
		       ws_record_view_number(record, "kept_s"));
	return account;
}

int ws_cold_start_command_run(const struct ws_settings *platform)
{
	static const struct ws_record_view view = {
	    .prefix = PREFIX,
	    .print = print_record,
	    .none_text = "no cold start is on record",
	};
	struct ws_store_client *store = ws_store_client_open(platform);
	int status = ws_record_view_print(&view, store);

	ws_store_client_close(store);
	return status;
}
