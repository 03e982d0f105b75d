/*
 * Restarts of workers under the same name.
 *
 * A worker that restarts has no tasks, begins with incarnation 1 and counts its messages from 1, so
 * that its heartbeats look like late copies of old ones. It has forgotten its fencing token: until
 * it accepts a message of a controller, it executes late direct calls, and a task that such a call
 * starts may run until the lease of the new incarnation expires. The leader therefore tells three
 * states of a machine apart:
 *
 * - known: messages continue those accepted before;
 * - suspected: a heartbeat arrived that counts as old, could come from a worker that has restarted,
 *   and equals none that was accepted. The machine is probed, and the heartbeat is answered, both
 *   with a fencing token that was never sent before. Late calls may have started attempts since the
 *   restart, which was before the heartbeat arrived: the lease is counted from then. Heartbeats
 * that continue the known ones may have been sent before the restart: what they say of tasks is not
 *   applied until a message shows that it was written after the suspicion;
 * - proved: a message was written after a call or token was sent, and yet counts as older than a
 *   message that came before. It is the newest state of the machine, and messages that echo an
 *   earlier fencing token than the one sent from then on are stale.
 */
#include "../core_state.h"
#include <xxhash.h>

/*
 * Upper bound on the messages a second of a worker that gets no answers: it sends a heartbeat every
 * half a second at most, and the others are replies to direct calls.
 */
#define UNANSWERED_MESSAGES_PER_S 4

bool ws_message_may_follow_restart(const struct ws_core *core, const struct ws_heartbeat *heartbeat)
{
	return (double)heartbeat->sequence <= UNANSWERED_MESSAGES_PER_S * core->settings->lease_s;
}

/* Returns a digest of what a restart would change in a heartbeat. Each part is hashed with the
 * digest of the parts before it as the seed. */
static uint64_t ws_heartbeat_digest(const struct ws_heartbeat *heartbeat)
{
	const uint64_t numbers[] = {heartbeat->incarnation, heartbeat->sequence,
				    heartbeat->fencing_token};
	uint64_t digest = XXH64(numbers, sizeof(numbers), 0);

	for (size_t i = 0; i < heartbeat->task_count; i++) {
		const struct ws_task_status *status = &heartbeat->tasks[i];
		const uint64_t fields[] = {status->task, status->attempt, status->state,
					   status->exit_reason};

		digest = XXH64(status->job, strlen(status->job), digest);
		digest = XXH64(fields, sizeof(fields), digest);
	}
	return digest;
}

void ws_worker_remember_heartbeat(const struct ws_core *core, struct ws_machine *machine,
				  const struct ws_heartbeat *heartbeat)
{
	struct ws_machine_restart *restart = &machine->restart;

	if (!ws_message_may_follow_restart(core, heartbeat))
		return;
	restart->accepted_digests[restart->next_digest] = ws_heartbeat_digest(heartbeat);
	restart->next_digest = (restart->next_digest + 1) % WS_ACCEPTED_DIGESTS;
}

/* Whether a stale heartbeat equals one that was accepted, so that it is a copy of it. */
static bool ws_heartbeat_is_copy(const struct ws_machine *machine,
				 const struct ws_heartbeat *heartbeat)
{
	uint64_t digest = ws_heartbeat_digest(heartbeat);

	for (size_t i = 0; i < WS_ACCEPTED_DIGESTS; i++)
		if (machine->restart.accepted_digests[i] == digest)
			return true;
	return false;
}

/* Begins the suspicion: a message that echoes the token sent from now on was written after it. */
static void ws_worker_begin_suspicion(struct ws_core *core, struct ws_machine *machine,
				      const struct ws_heartbeat *heartbeat)
{
	ws_event_count(core, WS_EVENT_RESTART_SUSPECTED);
	ws_log(core, WS_LOG_INFO,
	       "worker restart suspected machine=%s incarnation=%llu sequence=%llu token=%llu "
	       "known_incarnation=%llu known_sequence=%llu attempts=%u",
	       machine->name, (unsigned long long)heartbeat->incarnation,
	       (unsigned long long)heartbeat->sequence,
	       (unsigned long long)heartbeat->fencing_token,
	       (unsigned long long)machine->incarnation, (unsigned long long)machine->sequence,
	       machine->attempt_count);
	ws_machine_advance_token(core, machine);
	machine->restart.suspected = true;
	machine->restart.resolving_token = machine->fencing_token;
	machine->restart.known_incarnation = machine->incarnation;
	machine->restart.known_sequence = machine->sequence;
}

/* Probes a machine at once. Its address is that of the heartbeat if no record names one. */
static void ws_worker_probe(struct ws_core *core, struct ws_machine *machine,
			    const struct ws_heartbeat *heartbeat)
{
	if (!ws_is_entitled(core))
		return;
	if (!machine->port) {
		snprintf(machine->address, sizeof(machine->address), "%s", heartbeat->address);
		machine->port = heartbeat->port;
	}
	machine->restart.probe_wanted = true;
	machine->commands.next_probe_at = 0;
	ws_machine_send_probe(core, machine);
}

bool ws_worker_suspect_restart(struct ws_core *core, struct ws_machine *machine,
			       const struct ws_heartbeat *heartbeat)
{
	bool suspicious = ws_message_may_follow_restart(core, heartbeat) &&
			  !ws_heartbeat_is_copy(machine, heartbeat);

	if (suspicious) {
		machine->restart.suspected_at = core->now;
		if (!machine->restart.suspected)
			ws_worker_begin_suspicion(core, machine, heartbeat);
		ws_machine_extend_lease_of(core, machine, heartbeat->incarnation);
	}
	if (suspicious || !heartbeat->fencing_token) /* the worker may have forgotten its token */
		ws_worker_probe(core, machine, heartbeat);
	return suspicious;
}

void ws_worker_check_suspicion(struct ws_machine *machine, const struct ws_heartbeat *heartbeat)
{
	if (heartbeat->fencing_token >= machine->restart.resolving_token)
		machine->restart.suspected = false;
}

bool ws_heartbeat_counts_as_old(const struct ws_heartbeat *heartbeat, uint64_t incarnation,
				uint64_t sequence)
{
	return heartbeat->incarnation < incarnation ||
	       (heartbeat->incarnation == incarnation && heartbeat->sequence <= sequence);
}

bool ws_heartbeat_shows_restart(const struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat)
{
	const struct ws_machine_restart *restart = &machine->restart;

	if (!restart->suspected || heartbeat->fencing_token < restart->resolving_token)
		return false;
	return ws_heartbeat_counts_as_old(heartbeat, restart->known_incarnation,
					  restart->known_sequence) ||
	       heartbeat->incarnation < machine->lease.min_incarnation;
}

bool ws_reply_shows_restart(const struct ws_call *call, const struct ws_heartbeat *reply)
{
	return ws_heartbeat_counts_as_old(reply, call->commands.incarnation,
					  call->commands.known_sequence);
}

/* Moves the live attempts on a machine to the incarnation in which the worker restarted: those that
 * the worker does not report may be started by late calls, or were lost. */
static void ws_machine_move_attempts(struct ws_machine *machine, uint64_t incarnation)
{
	struct ws_attempt *attempt;

	for (attempt = machine->attempts; attempt; attempt = attempt->machine_next)
		if (attempt->state != WS_ATTEMPT_RELEASED)
			attempt->incarnation = incarnation;
}

void ws_worker_handle_restart(struct ws_core *core, struct ws_machine *machine,
			      const struct ws_heartbeat *message)
{
	uint64_t known_token = message->fencing_token > machine->fencing_token
				   ? message->fencing_token
				   : machine->fencing_token;

	ws_event_count(core, WS_EVENT_RESTART_PROVED);
	ws_log(core, WS_LOG_INFO,
	       "worker restarted machine=%s incarnation=%llu sequence=%llu token=%llu "
	       "previous_incarnation=%llu previous_sequence=%llu attempts=%u reported=%zu",
	       machine->name, (unsigned long long)message->incarnation,
	       (unsigned long long)message->sequence, (unsigned long long)message->fencing_token,
	       (unsigned long long)machine->incarnation, (unsigned long long)machine->sequence,
	       machine->attempt_count, message->task_count);
	machine->restart.suspected = false;
	ws_machine_raise_fencing_token(core, machine, known_token);
	machine->restart.min_token = machine->fencing_token;
	ws_machine_move_attempts(machine, message->incarnation);
	machine->incarnation = machine->heartbeat.incarnation = message->incarnation;
	machine->sequence = machine->heartbeat.sequence = message->sequence - 1;
	machine->lease.min_incarnation = 0;
	machine->commands.answer_token = 0; /* the worker that would have received it is gone */
	ws_machine_extend_lease(core, machine);
	ws_machine_mark_dirty(core, machine);
}
