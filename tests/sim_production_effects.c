/*
 * Converts effects and calls of the version in production to those of this version; see
 * sim_production.c.
 */
#include "sim_production.h"
#include "../src/io/http_status.h"

#ifdef WS_PRODUCTION_CORE

/* ---- enumerators ---- */

static const int command_kinds[] = {
    [PRODUCTION_COMMAND_RUN] = WS_COMMAND_RUN,
    [PRODUCTION_COMMAND_STOP] = WS_COMMAND_STOP,
    [PRODUCTION_COMMAND_REAP] = WS_COMMAND_REAP,
};

static const int call_kinds[] = {
    [PRODUCTION_CALL_GET] = WS_CALL_GET,
    [PRODUCTION_CALL_LIST] = WS_CALL_LIST,
    [PRODUCTION_CALL_TRANSACTION] = WS_CALL_TRANSACTION,
    [PRODUCTION_CALL_WATCH] = WS_CALL_WATCH,
    [PRODUCTION_CALL_SESSION_OPEN] = WS_CALL_SESSION_OPEN,
    [PRODUCTION_CALL_SESSION_RENEW] = WS_CALL_SESSION_RENEW,
    [PRODUCTION_CALL_SESSION_CLOSE] = WS_CALL_SESSION_CLOSE,
    [PRODUCTION_CALL_MACHINE_TYPES] = WS_CALL_MACHINE_TYPES,
    [PRODUCTION_CALL_INSTANCES] = WS_CALL_INSTANCES,
    [PRODUCTION_CALL_SCALE_OUT] = WS_CALL_SCALE_OUT,
    [PRODUCTION_CALL_SCALE_IN] = WS_CALL_SCALE_IN,
    [PRODUCTION_CALL_COMMANDS] = WS_CALL_COMMANDS,
    [PRODUCTION_CALL_OUTAGE_VOTE] = WS_CALL_OUTAGE_VOTE,
};

static const int effect_kinds[] = {
    [PRODUCTION_EFFECT_CALL] = WS_EFFECT_CALL,
    [PRODUCTION_EFFECT_ANSWER_USER] = WS_EFFECT_ANSWER_USER,
    [PRODUCTION_EFFECT_ANSWER_HEARTBEAT] = WS_EFFECT_ANSWER_HEARTBEAT,
    [PRODUCTION_EFFECT_FORWARD] = WS_EFFECT_FORWARD,
    [PRODUCTION_EFFECT_ANSWER_OUTAGE_VOTE] = WS_EFFECT_ANSWER_VOTE,
};

static const int job_phases[] = {
    [PRODUCTION_JOB_QUEUED] = WS_JOB_QUEUED,
    [PRODUCTION_JOB_RUNNING] = WS_JOB_RUNNING,
    [PRODUCTION_JOB_DONE] = WS_JOB_DONE,
    [PRODUCTION_JOB_CANCELLED] = WS_JOB_CANCELLED,
};

/* ---- calls ---- */

static void convert_command(struct ws_command *command, const struct production_command *from)
{
	command->kind = PRODUCTION_ENUMERATOR(command_kinds, from->kind);
	PRODUCTION_COPY_TEXT(command->job, from->job);
	command->task = from->task;
	command->attempt = from->attempt;
	command->grace_s = from->grace_s;
}

static void convert_compare(struct ws_compare *compare, const struct production_compare *from)
{
	PRODUCTION_COPY_TEXT(compare->key, from->key);
	compare->revision = from->revision;
}

static void convert_operation(struct ws_operation *operation,
			      const struct production_operation *from)
{
	PRODUCTION_COPY_TEXT(operation->key, from->key);
	operation->value = json_incref(from->value);
	operation->session = from->session;
}

static void convert_transaction(struct ws_transaction_call *transaction,
				const struct production_call *from)
{
	transaction->compare_count = from->compare_count;
	transaction->compares =
	    production_allocate(from->compare_count, sizeof(*transaction->compares));
	for (size_t i = 0; i < from->compare_count; i++)
		convert_compare(&transaction->compares[i], &from->compares[i]);
	transaction->operation_count = from->operation_count;
	transaction->operations =
	    production_allocate(from->operation_count, sizeof(*transaction->operations));
	for (size_t i = 0; i < from->operation_count; i++)
		convert_operation(&transaction->operations[i], &from->operations[i]);
	transaction->self_paced = from->self_paced;
}

static void convert_scale_out(struct ws_scale_out_call *scale_out,
			      const struct production_call *from)
{
	PRODUCTION_COPY_TEXT(scale_out->idempotency_key, from->key);
	PRODUCTION_COPY_TEXT(scale_out->type, from->type);
	PRODUCTION_COPY_TEXT(scale_out->zone, from->zone);
	scale_out->preemptible = from->preemptible;
	scale_out->count = from->count;
}

static void convert_scale_in(struct ws_scale_in_call *scale_in, const struct production_call *from)
{
	scale_in->count = from->name_count;
	scale_in->machine_names =
	    production_allocate(from->name_count, sizeof(*scale_in->machine_names));
	for (size_t i = 0; i < from->name_count; i++)
		PRODUCTION_COPY_TEXT(scale_in->machine_names[i], from->names[i]);
}

static void convert_commands(struct ws_commands_call *commands, const struct production_call *from)
{
	PRODUCTION_COPY_TEXT(commands->address, from->address);
	commands->port = from->port;
	commands->fencing_token = from->fencing_token;
	commands->incarnation = from->incarnation;
	commands->count = from->command_count;
	commands->list = production_allocate(from->command_count, sizeof(*commands->list));
	for (size_t i = 0; i < from->command_count; i++)
		convert_command(&commands->list[i], &from->commands[i]);
}

static void convert_outage_vote(struct ws_outage_vote_call *vote,
				const struct production_call *from)
{
	PRODUCTION_COPY_TEXT(vote->peer, from->key);
	PRODUCTION_COPY_TEXT(vote->after_job, from->after);
	vote->since_revision = from->since_revision;
	vote->leader_revision = from->fencing_token;
}

/* Converts the parameters that belong to the call's kind. */
static void convert_parameters(struct ws_call *call, const struct production_call *from)
{
	switch (call->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
		PRODUCTION_COPY_TEXT(call->read.key, from->key);
		PRODUCTION_COPY_TEXT(call->read.after, from->after);
		break;
	case WS_CALL_WATCH:
		PRODUCTION_COPY_TEXT(call->watch.prefix, from->key);
		call->watch.since_revision = from->since_revision;
		call->watch.timeout_ms = from->duration_ms;
		break;
	case WS_CALL_TRANSACTION: convert_transaction(&call->transaction, from); break;
	case WS_CALL_SESSION_OPEN:
	case WS_CALL_SESSION_RENEW:
	case WS_CALL_SESSION_CLOSE:
		call->session.id = from->session;
		call->session.ttl_ms = from->duration_ms;
		break;
	case WS_CALL_MACHINE_TYPES: break;
	case WS_CALL_INSTANCES: PRODUCTION_COPY_TEXT(call->instances.after, from->after); break;
	case WS_CALL_SCALE_OUT: convert_scale_out(&call->scale_out, from); break;
	case WS_CALL_SCALE_IN: convert_scale_in(&call->scale_in, from); break;
	case WS_CALL_COMMANDS: convert_commands(&call->commands, from); break;
	case WS_CALL_OUTAGE_VOTE: convert_outage_vote(&call->outage_vote, from); break;
	}
}

static void convert_call(struct ws_call *call, const struct production_call *from)
{
	call->kind = PRODUCTION_ENUMERATOR(call_kinds, from->kind);
	convert_parameters(call, from);
	call->urgent = from->urgent;
	call->created_at = from->created_at;
	call->context = from->call_object;
}

/* ---- effects ---- */

static enum ws_answer convert_answer(int status)
{
	enum ws_answer answer = ws_answer_of_http_status(status);

	if (ws_http_status_of_answer(answer) != status) {
		fprintf(stderr, "production core: unexpected answer with HTTP status %d\n", status);
		abort();
	}
	return answer;
}

static void convert_user_reply(struct ws_user_answer_effect *reply,
			       const struct production_effect *from)
{
	PRODUCTION_COPY_TEXT(reply->job, from->name);
	reply->phase = PRODUCTION_ENUMERATOR(job_phases, from->phase);
	reply->done = from->done;
	reply->running = from->running;
	reply->carries_counts = from->has_counts;
	reply->retry_after_s = from->retry_after_s;
}

static void convert_heartbeat_reply(struct ws_heartbeat_answer_effect *reply,
				    const struct production_effect *from)
{
	PRODUCTION_COPY_TEXT(reply->leader, from->name);
	reply->fencing_token = from->fencing_token;
	reply->command_count = from->command_count;
	reply->commands = production_allocate(from->command_count, sizeof(*reply->commands));
	for (size_t i = 0; i < from->command_count; i++)
		convert_command(&reply->commands[i], &from->commands[i]);
}

void sim_production_convert_effect(struct ws_effect *effect, const struct production_effect *from)
{
	effect->kind = PRODUCTION_ENUMERATOR(effect_kinds, from->kind);
	effect->request_id = from->request_id;
	switch (effect->kind) {
	case WS_EFFECT_CALL:
		effect->call = production_allocate(1, sizeof(*effect->call));
		convert_call(effect->call, from->call);
		break;
	case WS_EFFECT_ANSWER_USER:
		effect->answer = convert_answer(from->status);
		convert_user_reply(&effect->user, from);
		break;
	case WS_EFFECT_ANSWER_HEARTBEAT:
		effect->answer = convert_answer(from->status);
		convert_heartbeat_reply(&effect->heartbeat, from);
		break;
	case WS_EFFECT_FORWARD:
		PRODUCTION_COPY_TEXT(effect->forward.leader, from->name);
		effect->forward.redirect_failed = from->redirect_failed;
		break;
	case WS_EFFECT_ANSWER_VOTE: /* that version sends no list of cancellations */
		effect->answer = convert_answer(from->status);
		break;
	}
}
#endif
