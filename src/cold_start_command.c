#include "cold_start_command.h"
#include "cold_start/cold_start.h"
#include "record_view.h"
#include <stdio.h>
#include <string.h>

/* Prefix and names of the record keys. */
#define KEY_PREFIX "coldstart/"
#define ACCOUNT_KEY "account"
#define QUARANTINE_KEY "kept/"

static void print_reconciliation(json_t *results)
{
	for (int result = 0; result < WS_RECONCILIATION_RESULTS; result++) {
		const char *name =
		    ws_cold_start_reconciliation_name((enum ws_reconciliation_result)result);
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
		       json_is_true(json_array_get(zone, 2)) ? "" : ", still waiting");
}

static void print_account(json_t *record)
{
	double unproven_s = ws_record_view_number(record, "unproven_s");
	double remaining_s = ws_record_view_number(record, "leases_out_s");

	printf("cold start: %s, recorded %.1f s after the election\n",
	       ws_record_view_text(record, "phase"), ws_record_view_number(record, "for_s"));
	if (unproven_s >= 0)
		printf("no proof of an active leader for %.1f s before the election\n", unproven_s);
	else
		printf("no proof of an earlier leader\n");
	if (remaining_s > 0)
		printf("machines that have not answered are waited for at most %.1f s more\n",
		       remaining_s);
	if (ws_record_view_is_true(record, "doubted"))
		printf("the store has lost records\n");
	print_zones(json_object_get(record, "zones"));
	printf("attempts by reconciliation result:\n");
	print_reconciliation(json_object_get(record, "findings"));
	printf("jobs that lost work: %lld; of these, running again or ended: %lld\n",
	       ws_record_view_count(record, "lost_jobs"),
	       ws_record_view_count(record, "recovered_jobs"));
	printf(
	    "quarantined jobs without a record: %lld; attempts adopted: %lld; jobs stopped because "
	    "not submitted again: %lld; because recorded as ended or not read in time: %lld\n",
	    ws_record_view_count(record, "kept"), ws_record_view_count(record, "adopted"),
	    ws_record_view_count(record, "unclaimed"), ws_record_view_count(record, "over"));
}

/* Returns whether the record is the account record. */
static bool print_record(const char *name, json_t *record)
{
	bool account = !strcmp(name, ACCOUNT_KEY);

	if (account)
		print_account(record);
	else if (!strncmp(name, QUARANTINE_KEY, strlen(QUARANTINE_KEY)))
		printf(
		    "quarantined: job %s, first reported by machine %s, recorded after %.1f s in "
		    "quarantine\n",
		    name + strlen(QUARANTINE_KEY), ws_record_view_text(record, "machine"),
		    ws_record_view_number(record, "kept_s"));
	return account;
}

int ws_cold_start_command_run(const struct ws_settings *platform)
{
	static const struct ws_record_view view = {
	    .prefix = KEY_PREFIX,
	    .print_record = print_record,
	    .empty_text = "no cold start is recorded",
	};
	struct ws_store_client *store = ws_store_client_open(platform);
	int status = ws_record_view_print(&view, store);

	ws_store_client_close(store);
	return status;
}
