/*
 * Calls in flight, sorted by the time at which they are due. A call is executed when it arrives,
 * and the same struct then carries its answer back. Faults delay a call, drop its answer or crash
 * its sender.
 */
#include "sim_calls.h"
#include "../src/io/http_status.h"
#include "sim_call_copies.h"
#include "sim_cloud.h"
#include "sim_nodes.h"
#include "sim_store.h"
#include "sim_workers.h"

#define CALL_LATENCY_S 0.004 /* one way */
#define CLOUD_CALL_LATENCY_S 0.2
#define VOTE_ANSWER_LATENCY_S 0.002
#define VOTE_TIMEOUT_S 0.5     /* if a peer received the request and does not answer */
#define VOTE_UNREACHABLE_S 0.3 /* until a peer is reported as unreachable */
#define STORE_TIMEOUT_S 1
#define CLOUD_TIMEOUT_S 2
#define TIMED_OUT_WRITE_DELAY_MIN_S 2

static bool is_store_call(enum ws_call_kind kind)
{
	return kind <= WS_CALL_SESSION_CLOSE;
}

static bool is_cloud_call(enum ws_call_kind kind)
{
	return kind >= WS_CALL_MACHINE_TYPES && kind <= WS_CALL_SCALE_IN;
}

/* Inserts the call behind all calls that are due at the same time. */
static void schedule(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct sim_call_in_flight **link = &sim->calls_in_flight;

	while (*link && (*link)->due_at <= flight->due_at)
		link = &(*link)->next;
	flight->next = *link;
	*link = flight;
}

static void schedule_answer(struct sim *sim, struct sim_call_in_flight *flight, double time)
{
	flight->stage = SIM_CALL_TO_ANSWER;
	flight->due_at = time;
	schedule(sim, flight);
}

/* Drops the answer of an executed call. Its sender times out at `time`. */
static void drop_answer(struct sim *sim, struct sim_call_in_flight *flight, double time)
{
	ws_result_free(&flight->result);
	schedule_answer(sim, flight, time);
}

/*
 * Returns whether the scenario crashes the sender on this call. Each matching call of the leader
 * counts towards the number of calls to skip first.
 */
static bool should_crash_sender(struct sim *sim, int node, const struct ws_call *call)
{
	if (sim->crash == SIM_CRASH_NONE || call->kind != sim->crash_kind ||
	    sim_leader(sim) != node)
		return false;
	if (call->kind == WS_CALL_TRANSACTION && !call->transaction.operation_count)
		return false;
	return sim->crash_skip-- <= 0;
}

static bool should_time_out_write(struct sim *sim, const struct ws_call *call)
{
	return call->kind == WS_CALL_TRANSACTION && call->transaction.operation_count &&
	       sim->now < sim->timed_out_writes_until &&
	       sim_random(sim) < sim->timed_out_writes_share;
}

static struct sim_call_in_flight *flight_new(const struct sim *sim, int node, struct ws_call *call)
{
	struct sim_call_in_flight *flight = calloc(1, sizeof(*flight));

	flight->node = node;
	flight->restarts = sim->nodes[node].restarts;
	flight->call = call;
	flight->result.kind = call->kind;
	flight->call_version = sim->nodes[node].version;
	flight->due_at =
	    sim->now + (is_cloud_call(call->kind) ? CLOUD_CALL_LATENCY_S : CALL_LATENCY_S);
	return flight;
}

/* Lets the sender time out on a transaction that is still executed some time later. */
static void abandon_transaction(struct sim *sim, struct sim_call_in_flight *flight,
				bool write_times_out)
{
	struct sim_call_in_flight *unanswered = flight_new(sim, flight->node, flight->call);

	schedule_answer(sim, unanswered, sim->now + STORE_TIMEOUT_S);
	flight->call = sim_call_copy(flight->call);
	flight->call_version = &sim_this_version;
	flight->stage = SIM_CALL_ABANDONED;
	if (!write_times_out) {
		sim->delayed_txns--;
		flight->due_at = sim->now + sim->txn_delay_s;
	} else if (sim->timed_out_writes_at_once) {
		flight->due_at = sim->now + CALL_LATENCY_S;
	} else {
		flight->due_at =
		    sim->now + TIMED_OUT_WRITE_DELAY_MIN_S +
		    (sim->timed_out_writes_max_s - TIMED_OUT_WRITE_DELAY_MIN_S) * sim_random(sim);
	}
}

/* Applies the store's and the network's faults to a call before it is executed. */
static void apply_store_faults(struct sim *sim, struct sim_call_in_flight *flight,
			       bool write_times_out)
{
	const struct sim_node *node = &sim->nodes[flight->node];
	const struct ws_call *call = flight->call;

	if (sim->now < sim->store_slow_until)
		flight->due_at += sim->store_slow_max_s * (0.2 + 0.8 * sim_random(sim));
	if (sim->now < node->store_partitioned_until) {
		flight->stage = SIM_CALL_TO_ANSWER;
		flight->due_at = sim->now + STORE_TIMEOUT_S;
	} else if (call->kind != WS_CALL_WATCH &&
		   (sim->now < sim->store_down_until || sim->now < node->store_errors_until)) {
		flight->stage = SIM_CALL_TO_ANSWER;
		flight->result.outcome = WS_OUTCOME_UNAVAILABLE;
	} else if (call->kind == WS_CALL_TRANSACTION &&
		   (write_times_out ||
		    (sim->delayed_txns > 0 && sim_leader(sim) == flight->node))) {
		abandon_transaction(sim, flight, write_times_out);
	}
}

void sim_call_start(struct sim *sim, int node, struct ws_call *call)
{
	bool crashes = should_crash_sender(sim, node, call);
	bool write_times_out = should_time_out_write(sim, call);
	struct sim_call_in_flight *flight;

	if (crashes && sim->crash == SIM_CRASH_BEFORE) {
		sim->crash = SIM_CRASH_NONE;
		sim->nodes[node].version->free_call(call);
		sim_node_crash(sim, node, sim->crash_down_s);
		return;
	}
	flight = flight_new(sim, node, call);
	if (is_store_call(call->kind))
		apply_store_faults(sim, flight, write_times_out);
	schedule(sim, flight);
	if (crashes) { /* the call is executed, but its sender has crashed */
		sim->crash = SIM_CRASH_NONE;
		sim_node_crash(sim, node, sim->crash_down_s);
	}
}

/* Delivers the answer if the calling node has not restarted since it made the call. */
static void deliver_answer(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct sim_node *node = &sim->nodes[flight->node];
	bool is_awaited = node->is_up && node->restarts == flight->restarts;

	if (is_awaited && sim->now < node->frozen_until) {
		flight->due_at = node->frozen_until;
		schedule(sim, flight);
		return;
	}
	if (is_awaited) {
		if (is_store_call(flight->call->kind) && sim->now < node->store_partitioned_until)
			flight->result.outcome = WS_OUTCOME_NO_REPLY;
		node->version->complete(node->core, sim_node_time(sim, node), flight->call,
					&flight->result);
	} else {
		flight->call_version->free_call(flight->call);
	}
	ws_result_free(&flight->result);
	free(flight);
}

static void execute_abandoned(struct sim *sim, struct sim_call_in_flight *flight)
{
	if (sim->now < sim->store_down_until) { /* retried once the store is available again */
		flight->due_at = sim->store_down_until + 0.1;
		schedule(sim, flight);
		return;
	}
	sim_store_execute(sim, flight->call, &flight->result);
	flight->call_version->free_call(flight->call);
	ws_result_free(&flight->result);
	free(flight);
}

/* Counts the records, and the bytes of their values, that a watch delivers to the leader. */
static void count_watched_records(struct sim *sim, const struct ws_result *result)
{
	sim->watched_records += result->records.entry_count;
	for (size_t i = 0; i < result->records.entry_count; i++)
		if (result->records.entries[i].value)
			sim->watched_bytes +=
			    json_dumpb(result->records.entries[i].value, NULL, 0, JSON_COMPACT);
}

/* Keeps a watch open until there is a change to deliver or its timeout has passed. */
static void execute_watch(struct sim *sim, struct sim_call_in_flight *flight)
{
	struct ws_call *call = flight->call;
	const struct sim_node *node = &sim->nodes[flight->node];
	bool sees_no_changes = sim->now < sim->store_down_until ||
			       sim->now < node->store_errors_until ||
			       sim->now < node->store_partitioned_until ||
			       (call->watch.timeout_ms && sim->now < node->watches_stalled_until);

	sim->store_requests += !call->watch.timeout_ms;
	if ((sees_no_changes || !sim_store_watch(sim, call, &flight->result)) &&
	    sim->now <
		call->created_at / (1 + node->clock_skew) + call->watch.timeout_ms / 1000.0 &&
	    node->restarts == flight->restarts) {
		ws_result_free(&flight->result);
		flight->due_at = sim->now + SIM_STEP_S / 2;
		schedule(sim, flight);
		return;
	}
	if (sees_no_changes) {
		ws_result_free(&flight->result);
		flight->result.outcome = sim->now < node->store_partitioned_until
					     ? WS_OUTCOME_NO_REPLY
					     : WS_OUTCOME_UNAVAILABLE;
	}
	if (flight->node == sim_leader(sim))
		count_watched_records(sim, &flight->result);
	if (call->watch.timeout_ms && sim->now < sim->slow_watches_until)
		/* a watch without a timeout is not delayed and can overtake this one */
		schedule_answer(sim, flight, sim->now + sim->slow_watches_max_s * sim_random(sim));
	else
		schedule_answer(sim, flight, sim->now + CALL_LATENCY_S);
}

static void execute_store_call(struct sim *sim, struct sim_call_in_flight *flight)
{
	sim_store_execute(sim, flight->call, &flight->result);
	sim_call_copies_schedule(sim, flight->call);
	if (flight->call->kind == WS_CALL_TRANSACTION && sim->lost_txns > 0 &&
	    sim_leader(sim) == flight->node) {
		sim->lost_txns--;
		drop_answer(sim, flight, sim->now + STORE_TIMEOUT_S);
		return;
	}
	schedule_answer(sim, flight, sim->now + CALL_LATENCY_S);
}

static void execute_cloud_call(struct sim *sim, struct sim_call_in_flight *flight)
{
	if (sim_call_hold_up(sim, flight->call)) {
		drop_answer(sim, flight, sim->now + CLOUD_TIMEOUT_S);
		return;
	}
	sim_cloud_execute(sim, flight->call, &flight->result);
	sim_call_copies_schedule(sim, flight->call);
	if (flight->call->kind == WS_CALL_SCALE_OUT && sim->lost_scale_outs > 0) {
		sim->lost_scale_outs--;
		drop_answer(sim, flight, sim->now + CLOUD_TIMEOUT_S);
		return;
	}
	schedule_answer(sim, flight, sim->now + CALL_LATENCY_S);
}

/* Returns when commands reach the worker if they can't reach it now, or 0 if they can. */
static double commands_delayed_until(struct sim *sim, const struct sim_worker *worker,
				     const struct sim_node *node)
{
	double machine_until = fmax(worker->partitioned_until, worker->hang_until);
	double network_until = fmax(node->workers_partitioned_until,
				    fmax(sim->zones_partitioned_until, worker->pinned_until));

	if (sim->delayed_command_calls > 0) {
		sim->delayed_command_calls--;
		return sim->now + sim->command_delay_s;
	}
	if (sim_worker_is_live(sim, worker) && !sim_is_partitioned(sim, worker, node))
		return 0;
	return fmax(machine_until, network_until) + 0.05;
}

static void delay_commands(struct sim *sim, const struct ws_call *call, int worker, double due_at)
{
	struct sim_delayed_command *delayed = calloc(1, sizeof(*delayed));

	delayed->due_at = due_at;
	delayed->worker = worker;
	delayed->fencing_token = call->commands.fencing_token;
	delayed->incarnation = call->commands.incarnation;
	delayed->command_count = call->commands.count;
	delayed->commands = calloc(call->commands.count + 1, sizeof(*delayed->commands));
	if (call->commands.count)
		memcpy(delayed->commands, call->commands.list,
		       call->commands.count * sizeof(*delayed->commands));
	delayed->next = sim->delayed_commands;
	sim->delayed_commands = delayed;
}

static void execute_commands(struct sim *sim, struct sim_call_in_flight *flight)
{
	const struct ws_call *call = flight->call;
	int index = sim_worker_by_address(call->commands.address);
	struct sim_worker *worker = &sim->workers[index];
	double delayed_until;

	sim->commands++;
	if (worker->failed || worker->deleted) { /* the connection attempt fails */
		flight->result.outcome = WS_OUTCOME_NOT_SENT;
		flight->result.http_status = ws_http_status_of_outcome(WS_OUTCOME_NOT_SENT);
		schedule_answer(sim, flight, sim->now + fmin(sim->heartbeat_s, sim->lease_s / 16));
		return;
	}
	if (sim->now < worker->inbound_blocked_until) { /* the commands are dropped */
		schedule_answer(sim, flight, sim->now + sim->heartbeat_s);
		return;
	}
	if (sim_call_hold_up(sim, call)) {
		schedule_answer(sim, flight, sim->now + sim->heartbeat_s);
		return;
	}
	delayed_until = commands_delayed_until(sim, worker, &sim->nodes[flight->node]);
	if (delayed_until > 0) {
		delay_commands(sim, call, index, delayed_until);
		schedule_answer(sim, flight, sim->now + sim->heartbeat_s);
		return;
	}
	flight->result.heartbeat = calloc(1, sizeof(*flight->result.heartbeat));
	flight->result.outcome = sim_worker_deliver_commands(
	    sim, worker, call->commands.fencing_token, call->commands.incarnation,
	    call->commands.list, call->commands.count, flight->result.heartbeat);
	flight->result.http_status = ws_http_status_of_outcome(flight->result.outcome);
	sim_call_copies_schedule(sim, call);
	if (sim->command_answer_delay_s > 0) {
		schedule_answer(sim, flight, sim->now + sim->command_answer_delay_s);
	} else if (sim->lost_commands > 0) {
		sim->lost_commands--;
		drop_answer(sim, flight, sim->now + sim->heartbeat_s);
	} else {
		schedule_answer(sim, flight, sim->now + CALL_LATENCY_S);
	}
}

/* Returns the node of this name, or NULL if it is unreachable from node `from`. */
static struct sim_node *reachable_peer(struct sim *sim, const struct sim_node *from,
				       const char *name)
{
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *peer = &sim->nodes[i];

		if (strcmp(peer->settings.node, name) != 0)
			continue;
		if (peer->is_up && sim->now >= from->peers_partitioned_until &&
		    sim->now >= peer->peers_partitioned_until && sim->now >= peer->frozen_until)
			return peer;
		return NULL;
	}
	return NULL;
}

/* The peer's answer is matched to this call by its request id. */
static void execute_outage_vote(struct sim *sim, struct sim_call_in_flight *flight)
{
	const struct ws_call *call = flight->call;
	const struct sim_node *node = &sim->nodes[flight->node];
	struct sim_node *peer = reachable_peer(sim, node, call->outage_vote.peer);

	if (!peer) {
		schedule_answer(sim, flight, sim->now + VOTE_UNREACHABLE_S);
		return;
	}
	flight->request_id = ++sim->last_request_id << SIM_REQUEST_ID_SHIFT |
			     (uint64_t)flight->node | SIM_ID_OUTAGE_VOTE;
	schedule_answer(sim, flight, sim->now + VOTE_TIMEOUT_S);
	sim_call_copies_schedule(sim, call);
	/* only two nodes of this version exchange lists of cancellations */
	if (peer->version == &sim_this_version && node->version == &sim_this_version)
		ws_core_outage_vote(peer->core, sim_node_time(sim, peer), flight->request_id,
				    call->outage_vote.leader_revision,
				    call->outage_vote.since_revision, call->outage_vote.after_job);
	else
		peer->version->outage_vote(peer->core, sim_node_time(sim, peer),
					   flight->request_id);
}

void sim_call_deliver_vote(struct sim *sim, const struct sim_node *node, struct ws_effect *effect)
{
	struct sim_call_in_flight **link = &sim->calls_in_flight, *flight;

	while (*link && (*link)->request_id != effect->request_id)
		link = &(*link)->next;
	flight = *link;
	if (!flight)
		return;
	*link = flight->next;
	flight->due_at = sim->now + VOTE_ANSWER_LATENCY_S;
	schedule(sim, flight);
	flight->result.outcome =
	    effect->answer == WS_ANSWER_UNAVAILABLE ? WS_OUTCOME_UNAVAILABLE : WS_OUTCOME_OK;
	if (node->version != &sim_this_version ||
	    sim->nodes[flight->node].version != &sim_this_version)
		return;
	flight->result.vote = effect->vote;
	flight->result.vote.counts_leases &= !node->votes_without_lease_count;
	effect->vote.cancellations = NULL;
}

static void execute_call(struct sim *sim, struct sim_call_in_flight *flight)
{
	enum ws_call_kind kind = flight->call->kind;

	if (kind == WS_CALL_WATCH)
		execute_watch(sim, flight);
	else if (is_store_call(kind))
		execute_store_call(sim, flight);
	else if (is_cloud_call(kind))
		execute_cloud_call(sim, flight);
	else if (kind == WS_CALL_COMMANDS)
		execute_commands(sim, flight);
	else
		execute_outage_vote(sim, flight);
}

void sim_call_advance(struct sim *sim, struct sim_call_in_flight *flight)
{
	switch (flight->stage) {
	case SIM_CALL_TO_EXECUTE: execute_call(sim, flight); break;
	case SIM_CALL_TO_ANSWER: deliver_answer(sim, flight); break;
	case SIM_CALL_ABANDONED: execute_abandoned(sim, flight); break;
	}
}

static void delayed_command_free(struct sim_delayed_command *delayed)
{
	free(delayed->commands);
	free(delayed);
}

void sim_calls_deliver_delayed_commands(struct sim *sim)
{
	struct sim_delayed_command **link = &sim->delayed_commands, *delayed;

	while ((delayed = *link)) {
		struct sim_worker *worker = &sim->workers[delayed->worker];

		if (delayed->due_at > sim->now) {
			link = &delayed->next;
			continue;
		}
		*link = delayed->next;
		if (sim_worker_is_live(sim, worker))
			sim_worker_deliver_commands(sim, worker, delayed->fencing_token,
						    delayed->incarnation, delayed->commands,
						    delayed->command_count, NULL);
		delayed_command_free(delayed);
	}
}

void sim_calls_free(struct sim *sim)
{
	sim_call_copies_free(sim);
	while (sim->calls_in_flight) {
		struct sim_call_in_flight *flight = sim->calls_in_flight;

		sim->calls_in_flight = flight->next;
		flight->call_version->free_call(flight->call);
		ws_result_free(&flight->result);
		free(flight);
	}
	while (sim->delayed_commands) {
		struct sim_delayed_command *delayed = sim->delayed_commands;

		sim->delayed_commands = delayed->next;
		delayed_command_free(delayed);
	}
}
