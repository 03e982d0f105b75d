/* Encodes the cold start records, and restores the state of an earlier leader from them. */
#include "records.h"
#include "../subsystem_support/subsystem_records.h"
#include "observation.h"
#include <math.h>
#include <string.h>

static const struct ws_subsystem_record_format record_format = {
    .log_name = "cold start",
    .supported = WS_COLD_START_FORMAT,
};

static const char *const phase_names[] = {
    [WS_COLD_START_NONE] = "none",
    [WS_COLD_START_OBSERVING] = "observing",
    [WS_COLD_START_RECOVERING] = "recovering",
    [WS_COLD_START_ENDED] = "ended",
};
_Static_assert(WS_COLD_START_NONE == 0, "an unknown phase name is read as index 0");
#define PHASE_COUNT (sizeof(phase_names) / sizeof(phase_names[0]))

static const char *const result_names[] = {
    [WS_RECONCILED_AGREED] = "agreed",
    [WS_RECONCILED_NOT_REPORTED] = "not_reported",
    [WS_RECONCILED_UNRECORDED] = "unrecorded",
    [WS_RECONCILED_SUPERSEDED] = "superseded",
    [WS_RECONCILED_TWO_MACHINES] = "two_machines",
    [WS_RECONCILED_OVER] = "over",
    [WS_RECONCILED_ENDED_DONE] = "ended_done",
    [WS_RECONCILED_ENDED_FAILED] = "ended_failed",
    [WS_RECONCILED_ENDED_STOPPED] = "ended_stopped",
    [WS_RECONCILED_LEASE_LOST] = "lease_lost",
    [WS_RECONCILED_LEASE_EXPIRED] = "lease_out",
    [WS_RECONCILED_MACHINE_GONE] = "machine_gone",
    [WS_RECONCILED_UNKNOWN_JOB] = "unknown_job",
    [WS_RECONCILED_UNKNOWN_MACHINE] = "unknown_machine",
};
_Static_assert(sizeof(result_names) / sizeof(result_names[0]) == WS_RECONCILIATION_RESULTS,
	       "each reconciliation result has a name");

static const char *phase_name(enum ws_cold_start_phase phase)
{
	return phase_names[phase];
}

const char *ws_cold_start_reconciliation_name(enum ws_reconciliation_result result)
{
	return result_names[result];
}

/* ---- encoding ---- */

json_t *ws_cold_start_phase_record(const struct ws_cold_start *cold_start)
{
	return json_pack("{s:i,s:s,s:I,s:I,s:b}", "v", WS_COLD_START_FORMAT, "phase",
			 phase_name(cold_start->phase), "term", (json_int_t)cold_start->term,
			 "began", (json_int_t)cold_start->began_term, "doubted",
			 cold_start->store_lost_records);
}

static json_t *encode_results(const struct ws_cold_start *cold_start)
{
	json_t *results = json_object();

	for (int result = 0; result < WS_RECONCILIATION_RESULTS; result++)
		if (cold_start->counts.results[result])
			json_object_set_new(
			    results, result_names[result],
			    json_integer((json_int_t)cold_start->counts.results[result]));
	return results;
}

/*
 * Returns, for each zone, the number of expected machines, the number of these that have answered,
 * and whether the observation has ended.
 */
static json_t *encode_zones(const struct ws_cold_start *cold_start)
{
	json_t *zones = json_object();

	for (const struct ws_cold_start_zone *zone = cold_start->zones; zone; zone = zone->hh.next)
		if (zone->expected)
			json_object_set_new(zones, zone->name,
					    json_pack("[I,I,b]", (json_int_t)zone->expected,
						      (json_int_t)zone->answered, zone->observed));
	return zones;
}

json_t *ws_cold_start_account_record(const struct ws_cold_start *cold_start, double now)
{
	const struct ws_cold_start_counts *counts = &cold_start->counts;
	double remaining_s = cold_start->leases_expire_at - now;
	json_t *record = json_pack(
	    "{s:i,s:s,s:I,s:I,s:f,s:f,s:f,s:b}", "v", WS_COLD_START_FORMAT, "phase",
	    phase_name(cold_start->phase), "term", (json_int_t)cold_start->term, "began",
	    (json_int_t)cold_start->began_term, "unproven_s",
	    isfinite(cold_start->without_leader_s) ? cold_start->without_leader_s : -1, "for_s",
	    now - cold_start->elected_at, "leases_out_s", remaining_s > 0 ? remaining_s : 0.0,
	    "doubted", cold_start->store_lost_records);

	json_object_set_new(record, "findings", encode_results(cold_start));
	json_object_update_new(record, json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "lost_jobs",
						 (json_int_t)counts->lost_jobs, "recovered_jobs",
						 (json_int_t)counts->recovered_jobs, "kept",
						 (json_int_t)counts->quarantined, "adopted",
						 (json_int_t)counts->adopted, "unclaimed",
						 (json_int_t)counts->unclaimed, "over",
						 (json_int_t)counts->stopped_ended));
	json_object_set_new(record, "zones", encode_zones(cold_start));
	/* The core does not write a record that is too large, so leave out the zones. */
	if (json_dumpb(record, NULL, 0, JSON_COMPACT) >= cold_start->limits.value_bytes)
		json_object_del(record, "zones");
	return record;
}

json_t *ws_cold_start_quarantine_record(const struct ws_cold_start_quarantined_job *quarantined,
					double now)
{
	return json_pack("{s:i,s:f,s:s}", "v", WS_COLD_START_FORMAT, "kept_s",
			 quarantined->earlier_terms_s + now - quarantined->quarantined_at,
			 "machine", quarantined->machine);
}

/* ---- decoding ---- */

static enum ws_cold_start_phase phase_from_name(const char *name)
{
	return (enum ws_cold_start_phase)ws_subsystem_name_index(phase_names, PHASE_COUNT, name);
}

static void restore_phase(struct ws_cold_start *cold_start, json_t *value)
{
	cold_start->recorded_phase =
	    phase_from_name(json_string_value(json_object_get(value, "phase")));
	cold_start->recorded_term = (uint64_t)json_integer_value(json_object_get(value, "term"));
	cold_start->recorded_began_term =
	    (uint64_t)json_integer_value(json_object_get(value, "began"));
	cold_start->recorded_store_lost_records = json_is_true(json_object_get(value, "doubted"));
}

void ws_cold_start_record_loaded(void *self, const char *name, json_t *value)
{
	struct ws_cold_start *cold_start = self;

	if (!ws_subsystem_record_supported(&record_format, cold_start->log, name, value,
					   &cold_start->later_format))
		return;
	if (!strcmp(name, "phase"))
		restore_phase(cold_start, value);
	else if (!strncmp(name, "kept/", 5))
		ws_cold_start_quarantine_restore(cold_start, name + 5, value);
}
