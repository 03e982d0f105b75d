/* The clock, the main loop, and functions that all modules of the simulator use. */
#include "sim_call_copies.h"
#include "sim_calls.h"
#include "sim_checks.h"
#include "sim_digest.h"
#include "sim_nodes.h"
#include "sim_records.h"
#include "sim_store.h"
#include "sim_subsystems.h"
#include "sim_users.h"
#include "sim_workers.h"

#define TIME_TOLERANCE_S 1e-9

bool sim_verbose;
bool sim_cold_start_always;

const struct sim_version sim_this_version = {
    .create = ws_core_new,
    .destroy = ws_core_free,
    .tick = ws_core_tick,
    .next_effect = ws_core_next_effect,
    .complete = ws_core_complete,
    .resign = ws_core_resign,
    .is_ready = ws_core_is_ready,
    .is_leader = ws_core_is_leader,
    .submit = ws_core_submit,
    .query_status = ws_core_query_status,
    .cancel = ws_core_cancel,
    .heartbeat = ws_core_heartbeat,
    .outage_vote = ws_core_outage_vote_legacy,
    .free_effect = ws_effect_free,
    .free_call = ws_call_free,
};

/* The simulation whose time is printed in log lines. */
static const struct sim *logged_sim;

void sim_fail(struct sim *sim, const char *format, ...)
{
	va_list arguments;
	int length;

	if (sim->error[0])
		return;
	length = snprintf(sim->error, sizeof(sim->error), "at %.2f s: ", sim->now);
	va_start(arguments, format);
	vsnprintf(sim->error + length, sizeof(sim->error) - (size_t)length, format, arguments);
	va_end(arguments);
}

double sim_random(struct sim *sim)
{
	sim->random_state = sim->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(sim->random_state >> 33) / (double)(1ULL << 31);
}

void sim_log(enum ws_log_level level, const char *text)
{
	if (sim_verbose)
		fprintf(stderr, "%9.3f %d %s\n", logged_sim ? logged_sim->now : 0, level, text);
}

int sim_leader(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].is_up && sim->nodes[i].version->is_leader(sim->nodes[i].core))
			return i;
	return -1;
}

struct sim_job *sim_find_job(struct sim *sim, const char *id)
{
	struct sim_job *job;

	HASH_FIND(hh, sim->jobs_by_id, id, strlen(id), job);
	return job;
}

struct sim *sim_new(void)
{
	struct sim *sim = calloc(1, sizeof(*sim));

	sim->workers = calloc(SIM_WORKERS, sizeof(*sim->workers));
	sim->jobs = calloc(SIM_JOBS, sizeof(*sim->jobs));
	sim->node_count = 3;
	sim->lease_s = 16;
	sim->heartbeat_s = 2;
	sim->cancel_s = 46;
	sim->list_lag_s = 5;
	sim->gang_wait_s = 30;
	sim->gang_peer_s = 8;
	sim->value_kb = 4;
	sim->txn_ops = 12;
	sim->instance_limit = 100;
	sim->random_state = 12345;
	ws_policy_defaults(&sim->policy);
	ws_domains_settings_defaults(&sim->domains_settings);
	ws_cold_start_defaults(&sim->cold_start_settings);
	sim->cold_start_enabled = sim_cold_start_always;
	sim_digest_init(sim);
	return sim;
}

static void run_due_actions(struct sim *sim)
{
	while (sim->next_timed_line < sim->timed_line_count &&
	       sim->timed_lines[sim->next_timed_line].time <= sim->now + TIME_TOLERANCE_S)
		sim_run_action(sim, &sim->timed_lines[sim->next_timed_line++]);
}

/* Returns when an event first happened, or 0 if it has not happened yet. */
static double event_time(const struct sim *sim, enum sim_event event)
{
	return event == SIM_EVENT_SCALE_IN ? sim->scaled_in_at : sim->leader_key_expired_at;
}

/* Runs the actions that the scenario has deferred until after an event. */
static void run_deferred_actions(struct sim *sim)
{
	for (int i = 0; i < sim->deferred_action_count; i++) {
		struct sim_deferred_action *action = &sim->deferred_actions[i];
		double event_at = event_time(sim, action->event);
		struct sim_timed_line line = {.time = sim->now};

		if (!action->text[0] || event_at <= 0 || sim->now < event_at + action->delay_s)
			continue;
		snprintf(line.text, sizeof(line.text), "%s", action->text);
		action->text[0] = 0;
		sim_run_action(sim, &line);
	}
}

/* Advances all calls that are due within this step, in the order of their due times. */
static void advance_calls(struct sim *sim, double step_end)
{
	for (;;) {
		struct sim_call_in_flight *flight;

		sim_nodes_drain(sim);
		flight = sim->calls_in_flight;
		if (!flight || flight->due_at >= step_end)
			return;
		sim->calls_in_flight = flight->next;
		sim->now = flight->due_at > sim->now ? flight->due_at : sim->now;
		sim_call_advance(sim, flight);
	}
}

static void step(struct sim *sim)
{
	double step_end;

	run_due_actions(sim);
	sim_sessions_extend_after_outage(sim);
	sim_sessions_expire(sim);
	run_deferred_actions(sim);
	sim->store_was_down = sim->now < sim->store_down_until;
	sim_workers_deliver_delayed_heartbeats(sim);
	sim_calls_deliver_delayed_commands(sim);
	sim_call_copies_deliver(sim);
	sim_slow_answers_deliver(sim);
	sim_nodes_step(sim);
	for (int i = 0; i < sim->worker_count; i++)
		sim_worker_step(sim, &sim->workers[i]);
	sim_gangs_step(sim);
	sim_users_step(sim);
	sim_cold_start_step(sim);
	step_end = sim->now + SIM_STEP_S;
	advance_calls(sim, step_end);
	sim->now = step_end;
	sim_check_running_tasks(sim);
	sim_check_unknown_tasks(sim);
	sim_check_counts(sim);
}

bool sim_run(struct sim *sim, char *error, size_t size)
{
	logged_sim = sim;
	sim_nodes_start(sim);
	while (!sim->error[0] && sim->now <= sim->end_at + SIM_STEP_S / 2)
		step(sim);
	snprintf(error, size, "%s", sim->error);
	return !sim->error[0];
}

void sim_print_digest(const struct sim *sim, const char *name)
{
	printf("digest %s %016llx %llu effects\n", name, (unsigned long long)sim->digest,
	       (unsigned long long)sim->digest_lines);
}

void sim_free(struct sim *sim)
{
	sim_calls_free(sim);
	sim_workers_free(sim);
	sim_nodes_free(sim);
	sim_records_free(sim);
	sim_store_free(sim);
	sim_jobs_free(sim);
	ws_domains_settings_free(&sim->domains_settings);
	free(sim);
}
