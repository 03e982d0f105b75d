/*
 * Unit tests of the cold start subsystem: the message about an invalid setting names it, a start
 * counts as cold when the proof of the previous leader is at least half a lease old, and records
 * are restored. Also tests that the core merges the moves that several subsystems request for one
 * job.
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
	const char *text, *setting; /* the setting that the message must name */
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

		snprintf(what, sizeof(what),
			 "invalid settings are refused, and the message names %s",
			 refusals[i].setting);
		check(what, !ok && strstr(error, refusals[i].setting));
		ws_subsystem_settings_free(&settings);
	}
	check("the subsystem is disabled without its table",
	      read_subsystem_text("", &settings, error, sizeof(error)) &&
		  !settings.cold_start_enabled);
	ws_subsystem_settings_free(&settings);
	check("all settings are read",
	      read_subsystem_text("[coldstart]\nenabled = true\nkeep_s = 9.0\nheard_share = 1.0\n",
				  &settings, error, sizeof(error)) &&
		  settings.cold_start_enabled && settings.cold_start.quarantine_s == 9 &&
		  settings.cold_start.answered_share == 1);
	ws_subsystem_settings_free(&settings);
}

/* ---- detection of a cold start ---- */

static struct ws_cold_start *new_cold_start(void)
{
	struct ws_cold_start_settings settings;
	const struct ws_cluster_limits limits = {.heartbeat_s = 2,
						 .lease_s = LEASE_S,
						 .cancel_s = 46,
						 .store_write_rps = 50,
						 .value_bytes = 4096};

	ws_cold_start_defaults(&settings);
	return ws_cold_start_new(&settings, &limits, NULL);
}

/* Returns the phase of a new leader whose newest proof of an earlier leader has this age and term;
 * `recorded` is the stored phase, NULL for none. */
static enum ws_cold_start_phase phase_after(double proof_age_s, const char *recorded,
					    uint64_t recorded_term, uint64_t proven_term)
{
	struct ws_cold_start *cold_start = new_cold_start();
	const struct ws_election_info info = {.now = 100,
					      .term = 50,
					      .leader_proof_age_s = proof_age_s,
					      .leader_proof_term = proven_term,
					      .leases_expire_at = 117};
	enum ws_cold_start_phase phase;

	ws_cold_start_ops.elected(cold_start, &info);
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

static void check_detection(void)
{
	check("a proof younger than half a lease means a warm start",
	      phase_after(0.49 * LEASE_S, NULL, 0, 40) == WS_COLD_START_NONE);
	check("an older proof means a cold start",
	      phase_after(0.5 * LEASE_S, NULL, 0, 40) == WS_COLD_START_OBSERVING);
	check("no proof means a cold start",
	      phase_after(INFINITY, NULL, 0, 0) == WS_COLD_START_OBSERVING);
	check("a warm start continues the phase of the previous leader",
	      phase_after(1, "recovering", 40, 40) == WS_COLD_START_OBSERVING);
	check("a warm start ends a phase if another leader was elected in between",
	      phase_after(1, "observing", 40, 45) == WS_COLD_START_ENDED);
	check("a warm start does not continue a phase that has ended",
	      phase_after(1, "ended", 40, 40) == WS_COLD_START_NONE);
	check("a cold start continues any phase that has not ended",
	      phase_after(INFINITY, "observing", 40, 0) == WS_COLD_START_OBSERVING);
}

/* ---- records ---- */

static void check_records(void)
{
	struct ws_cold_start *cold_start = new_cold_start();
	const struct ws_election_info info = {
	    .now = 100, .term = 50, .leader_proof_age_s = INFINITY, .leases_expire_at = 117};
	const struct ws_reconciliation reconciliation = {
	    .result = WS_RECONCILED_UNKNOWN_JOB, .machine = "m", .job = "job-000001"};
	json_t *value;

	ws_cold_start_ops.elected(cold_start, &info);
	value = json_pack("{s:i,s:f,s:s}", "v", 1, "kept_s", 30.0, "machine", "m");
	ws_cold_start_ops.record_loaded(cold_start, "kept/job-000001", value);
	json_decref(value);
	ws_cold_start_ops.records_loaded(cold_start, 100);
	check("a job without a record is quarantined",
	      ws_cold_start_ops.attempt_reconciled(cold_start, 101, &reconciliation));
	value = ws_cold_start_quarantine_record(cold_start->quarantined_jobs, 111);
	check("the recorded time in quarantine is included",
	      fabs(json_number_value(json_object_get(value, "kept_s")) - 41) < 1e-6);
	json_decref(value);
	value = ws_cold_start_account_record(cold_start, 110);
	check("the account counts the job",
	      json_integer_value(
		  json_object_get(json_object_get(value, "findings"), "unknown_job")) == 1);
	json_decref(value);
	cold_start->limits.value_bytes = 100;
	value = ws_cold_start_account_record(cold_start, 110);
	check("an account over the size limit omits its zones",
	      !json_object_get(value, "zones") && json_object_get(value, "findings"));
	json_decref(value);
	ws_cold_start_free(cold_start);
}

/* ---- moves of several subsystems ---- */

struct mover {
	struct ws_move move;
};

static void mover_tick(void *self, const struct ws_tick_info *info, struct ws_request_queue *out)
{
	(void)info;
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
	check("the lower of two requested positions applies",
	      job->move_position == 3 && job->reserve_ahead == 2 && job->replicas_apart);
	first.move = (struct ws_move){.job = "job-000001"};
	core->now += 1;
	ws_subsystems_tick(core);
	check("the other position applies once the first request is withdrawn",
	      job->move_position == 5 && job->reserve_ahead == 1 && job->replicas_apart);
	ws_core_free(core);
}

int main(void)
{
	check_settings();
	check_detection();
	check_records();
	check_moves();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
