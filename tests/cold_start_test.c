/*
 * The cold start subsystem by itself: its settings are refused by name, the rule that tells a cold
 * start has its bounds where the note says, its records read back; and the core merges what several
 * subsystems ask of one job.
 */
#include "../src/cold_start/quarantine.h"
#include "../src/cold_start/records.h"
#include "../src/cold_start/state.h"
#include "../src/core/core_state.h"
#include "../src/subsystem_settings.h"
#include "check.h"
#include "subsystem_text.h"

#define LEASE_S 16.0

static const struct ws_settings platform = {.zone = "a",
					    .zones = {"a", "b"},
					    .zone_count = 2,
					    .heartbeat_s = 2,
					    .lease_s = LEASE_S,
					    .cancel_s = 46,
					    .value_kb = 4,
					    .transaction_ops = 12,
					    .store_write_rps = 50};

/* ---- settings ---- */

struct refusal {
	const char *text, *names; /* what the message must name */
};

static const struct refusal refusals[] = {
    {"coldstart = 1\n", "coldstart"},
    {"[coldstart]\n", "coldstart.enabled"},
    {"[coldstart]\nenabled = 'yes'\n", "coldstart.enabled"},
    {"[coldstart]\nenabled = true\nkeep = 2\n", "coldstart.keep"},
    {"[coldstart]\nenabled = true\nkeep_s = -1\n", "coldstart.keep_s"},
    {"[coldstart]\nenabled = true\nheard_share = 0.4\n", "coldstart.heard_share"},
    {"[coldstart]\nenabled = true\nheard_share = 1.1\n", "coldstart.heard_share"},
};

static void check_settings(void)
{
	struct ws_subsystem_settings settings;
	char error[512], what[128];

	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		bool ok = read_subsystem_text(refusals[i].text, &settings, error, sizeof(error));

		snprintf(what, sizeof(what), "refused, naming %s", refusals[i].names);
		check(what, !ok && strstr(error, refusals[i].names));
		ws_subsystem_free(&settings);
	}
	check("off without its table", read_subsystem_text("", &settings, error, sizeof(error)) &&
					   !settings.cold_start_enabled);
	ws_subsystem_free(&settings);
	check("all is read",
	      read_subsystem_text("[coldstart]\nenabled = true\nkeep_s = 9.0\nheard_share = 1.0\n",
				  &settings, error, sizeof(error)) &&
		  settings.cold_start_enabled && settings.cold_start.quarantine_s == 9 &&
		  settings.cold_start.answered_share == 1);
	ws_subsystem_free(&settings);
}

/* ---- the rule ---- */

static struct ws_cold_start *package(void)
{
	struct ws_cold_start_settings settings;
	const struct ws_cluster_limits limits = {.report_s = 2,
						 .lease_s = LEASE_S,
						 .cancel_s = 46,
						 .state_write_rps = 50,
						 .value_bytes = 4096};

	ws_cold_start_defaults(&settings);
	return ws_cold_start_new(&settings, &limits, NULL);
}

/* The phase of a leader that has no proof of another for so long, with a phase on record. */
static enum ws_cold_start_phase phase_after(double unproven_s, const char *recorded,
					    uint64_t recorded_term, uint64_t proven_term)
{
	struct ws_cold_start *cold_start = package();
	const struct ws_election_info facts = {.now = 100,
					       .term = 50,
					       .leader_proof_age_s = unproven_s,
					       .leader_proof_term = proven_term,
					       .leases_expire_at = 117};
	enum ws_cold_start_phase phase;

	ws_cold_start_ops.elected(cold_start, &facts);
	if (recorded) {
		json_t *value =
		    json_pack("{s:i,s:s,s:I,s:I}", "v", 1, "phase", recorded, "term",
			      (json_int_t)recorded_term, "began", (json_int_t)recorded_term);

		ws_cold_start_ops.record_loaded(cold_start, "phase", value);
		json_decref(value);
	}
	ws_cold_start_ops.records_loaded(cold_start, 100);
	phase = cold_start->phase;
	ws_cold_start_free(cold_start);
	return phase;
}

static void check_rule(void)
{
	check("a proof younger than half a lease is warm",
	      phase_after(0.49 * LEASE_S, NULL, 0, 40) == WS_COLD_START_NONE);
	check("an older one is cold",
	      phase_after(0.5 * LEASE_S, NULL, 0, 40) == WS_COLD_START_OBSERVING);
	check("none is cold", phase_after(INFINITY, NULL, 0, 0) == WS_COLD_START_OBSERVING);
	check("a warm leader goes on with the phase of the one before it",
	      phase_after(1, "recovering", 40, 40) == WS_COLD_START_OBSERVING);
	check("but not where another led in between",
	      phase_after(1, "observing", 40, 45) == WS_COLD_START_ENDED);
	check("nor with one that is ended", phase_after(1, "ended", 40, 40) == WS_COLD_START_NONE);
	check("a cold one goes on with any that is open",
	      phase_after(INFINITY, "observing", 40, 0) == WS_COLD_START_OBSERVING);
}

/* ---- records ---- */

static void check_records(void)
{
	struct ws_cold_start *cold_start = package();
	const struct ws_election_info facts = {
	    .now = 100, .term = 50, .leader_proof_age_s = INFINITY, .leases_expire_at = 117};
	const struct ws_reconciliation reconciliation = {
	    .result = WS_RECONCILED_UNKNOWN_JOB, .machine = "m", .job = "job-000001"};
	json_t *value;

	ws_cold_start_ops.elected(cold_start, &facts);
	value = json_pack("{s:i,s:f,s:s}", "v", 1, "kept_s", 30.0, "machine", "m");
	ws_cold_start_ops.record_loaded(cold_start, "kept/job-000001", value);
	json_decref(value);
	ws_cold_start_ops.records_loaded(cold_start, 100);
	check("an unknown job is kept",
	      ws_cold_start_ops.attempt_reconciled(cold_start, 101, &reconciliation));
	value = ws_cold_start_quarantine_record(cold_start->quarantined_jobs, 111);
	check("and for how long it was kept before counts",
	      fabs(json_number_value(json_object_get(value, "kept_s")) - 41) < 1e-6);
	json_decref(value);
	value = ws_cold_start_account_record(cold_start, 110);
	check("the account counts it",
	      json_integer_value(
		  json_object_get(json_object_get(value, "findings"), "unknown_job")) == 1);
	json_decref(value);
	cold_start->limits.value_bytes = 100;
	value = ws_cold_start_account_record(cold_start, 110);
	check("one that is too large goes without its zones",
	      !json_object_get(value, "zones") && json_object_get(value, "findings"));
	json_decref(value);
	ws_cold_start_free(cold_start);
}

/* ---- moves of several subsystems ---- */

struct mover {
	struct ws_move move;
};

static void mover_tick(void *self, const struct ws_tick_info *facts, struct ws_request_queue *out)
{
	(void)facts;
	ws_request_move(out, &((struct mover *)self)->move);
}

static const struct ws_subsystem_ops mover_ops = {.prefix = "mover/", .tick = mover_tick};

static void check_moves(void)
{
	static const struct ws_job_spec spec = {
	    .id = "job-000001", .team = "t", .tasks = 1, .cpus = 1};
	struct mover first = {.move = {.job = "job-000001", .position = 3, .reserve_ahead = 2}};
	struct mover second = {
	    .move = {
		.job = "job-000001", .position = 5, .reserve_ahead = 1, .replicas_apart = true}};
	struct ws_policy policy;
	struct ws_core *core;
	const struct ws_job *job;
	json_t *record = ws_new_job_record_encode(&spec, WS_JOB_QUEUED, 0);

	ws_policy_defaults(&policy);
	core = ws_core_new(&platform, &policy, NULL, 0, 1);
	ws_core_attach(core, &mover_ops, &first);
	ws_core_attach(core, &mover_ops, &second);
	ws_job_record_changed(core, "job-000001", record, 1);
	json_decref(record);
	job = ws_job_find(core, "job-000001");
	ws_subsystems_tick(core);
	check("of two places the smaller one counts",
	      job->move_position == 3 && job->reserve_ahead == 2 && job->replicas_apart);
	first.move = (struct ws_move){.job = "job-000001"};
	core->now += 1;
	ws_subsystems_tick(core);
	check("and the other one when that is given up",
	      job->move_position == 5 && job->reserve_ahead == 1 && job->replicas_apart);
	ws_core_free(core);
}

int main(void)
{
	check_settings();
	check_rule();
	check_records();
	check_moves();
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
