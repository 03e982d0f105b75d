/*
 * A digest of all effects that the cores emit in a scenario: calls with their compares and record
 * bytes, answers, commands and frames to peers, in the order in which they are emitted. Log lines
 * are left out. Each effect is one line of text, and the digest is the 64-bit FNV-1a hash of these
 * lines. The runner prints them with the option -t.
 *
 * If two versions of the sources have equal digests, their outputs were identical byte by byte. The
 * words of the lines are literals of this file, so that renaming an identifier does not change the
 * digest.
 */
#include "sim_digest.h"
#include "../src/io/http_status.h"

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

FILE *sim_digest_trace;

static void append_bytes(struct sim *sim, const char *text, size_t length)
{
	for (size_t i = 0; i < length; i++)
		sim->digest = (sim->digest ^ (unsigned char)text[i]) * FNV_PRIME;
	if (sim_digest_trace)
		fwrite(text, 1, length, sim_digest_trace);
}

static void append(struct sim *sim, const char *format, ...) __attribute__((format(printf, 2, 3)));
static void append(struct sim *sim, const char *format, ...)
{
	char text[1024];
	va_list arguments;
	int length;

	va_start(arguments, format);
	length = vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	append_bytes(sim, text, (size_t)length < sizeof(text) ? (size_t)length : sizeof(text) - 1);
}

static void append_commands(struct sim *sim, const struct ws_command *commands, size_t count)
{
	static const char *const words[] = {"run", "stop", "reap"};

	for (size_t i = 0; i < count; i++)
		append(sim, " (%s %s/%u %llu %.17g)", words[commands[i].kind], commands[i].job,
		       commands[i].task, (unsigned long long)commands[i].attempt,
		       commands[i].grace_s);
}

static void append_transaction(struct sim *sim, const struct ws_call *call)
{
	append(sim, "txn paced=%d", call->transaction.self_paced);
	for (size_t i = 0; i < call->transaction.compare_count; i++)
		append(sim, " (if %s %llu)", call->transaction.compares[i].key,
		       (unsigned long long)call->transaction.compares[i].revision);
	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		const struct ws_operation *operation = &call->transaction.operations[i];
		char *value = operation->value
				  ? json_dumps(operation->value, JSON_COMPACT | JSON_ENCODE_ANY)
				  : NULL;

		append(sim, " (put %s %llu ", operation->key,
		       (unsigned long long)operation->session);
		if (value)
			append_bytes(sim, value, strlen(value));
		append(sim, ")");
		free(value);
	}
}

static void append_call(struct sim *sim, const struct ws_call *call)
{
	switch (call->kind) {
	case WS_CALL_GET: append(sim, "get %s", call->read.key); break;
	case WS_CALL_LIST: append(sim, "list %s after=%s", call->read.key, call->read.after); break;
	case WS_CALL_TRANSACTION: append_transaction(sim, call); break;
	case WS_CALL_WATCH:
		append(sim, "watch %s %llu %u", call->watch.prefix,
		       (unsigned long long)call->watch.since_revision, call->watch.timeout_ms);
		break;
	case WS_CALL_SESSION_OPEN: append(sim, "session-new %u", call->session.ttl_ms); break;
	case WS_CALL_SESSION_RENEW:
		append(sim, "session-extend %llu", (unsigned long long)call->session.id);
		break;
	case WS_CALL_SESSION_CLOSE:
		append(sim, "session-drop %llu", (unsigned long long)call->session.id);
		break;
	case WS_CALL_MACHINE_TYPES: append(sim, "types"); break;
	case WS_CALL_INSTANCES: append(sim, "instances after=%s", call->instances.after); break;
	case WS_CALL_SCALE_OUT:
		append(sim, "scale-out %s %s %s %d %u", call->scale_out.idempotency_key,
		       call->scale_out.type, call->scale_out.zone, call->scale_out.preemptible,
		       call->scale_out.count);
		break;
	case WS_CALL_SCALE_IN:
		append(sim, "scale-in");
		for (size_t i = 0; i < call->scale_in.count; i++)
			append(sim, " %s", call->scale_in.machine_names[i]);
		break;
	case WS_CALL_COMMANDS:
		append(sim, "commands %s:%d %llu %llu", call->commands.address, call->commands.port,
		       (unsigned long long)call->commands.fencing_token,
		       (unsigned long long)call->commands.incarnation);
		append_commands(sim, call->commands.list, call->commands.count);
		break;
	case WS_CALL_OUTAGE_VOTE:
		append(sim, "vote %s after=%s %llu %llu", call->outage_vote.peer,
		       call->outage_vote.after_job,
		       (unsigned long long)call->outage_vote.since_revision,
		       (unsigned long long)call->outage_vote.leader_revision);
		break;
	}
	append(sim, " urgent=%d", call->urgent);
}

static void append_vote(struct sim *sim, const struct ws_effect *effect)
{
	append(sim, "vote-answer %llu %d %d %d", (unsigned long long)effect->request_id,
	       ws_http_status_of_answer(effect->answer), effect->vote.granted,
	       effect->vote.has_more);
	for (size_t i = 0; i < effect->vote.cancellation_count; i++)
		append(sim, " (%s %llu)", effect->vote.cancellations[i].job,
		       (unsigned long long)effect->vote.cancellations[i].revision);
}

void sim_digest_init(struct sim *sim)
{
	sim->digest = FNV_OFFSET;
}

void sim_digest_add(struct sim *sim, int node, const struct ws_effect *effect)
{
	sim->digest_lines++;
	append(sim, "%.9f %d ", sim->now, node);
	switch (effect->kind) {
	case WS_EFFECT_CALL: append_call(sim, effect->call); break;
	case WS_EFFECT_ANSWER_USER:
		append(sim, "user-answer %llu %d %d %s %d %u %u %d",
		       (unsigned long long)effect->request_id,
		       ws_http_status_of_answer(effect->answer), effect->user.retry_after_s,
		       effect->user.job, (int)effect->user.phase, effect->user.done,
		       effect->user.running, effect->user.carries_counts);
		break;
	case WS_EFFECT_ANSWER_HEARTBEAT:
		append(sim, "heartbeat-answer %llu %d 0 %s %llu",
		       (unsigned long long)effect->request_id,
		       ws_http_status_of_answer(effect->answer), effect->heartbeat.leader,
		       (unsigned long long)effect->heartbeat.fencing_token);
		append_commands(sim, effect->heartbeat.commands, effect->heartbeat.command_count);
		break;
	case WS_EFFECT_FORWARD:
		append(sim, "forward %llu %s %d", (unsigned long long)effect->request_id,
		       effect->forward.leader, effect->forward.redirect_failed);
		break;
	case WS_EFFECT_ANSWER_VOTE: append_vote(sim, effect); break;
	}
	append(sim, "\n");
}
