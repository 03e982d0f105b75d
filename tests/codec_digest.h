/*
 * A 64-bit FNV-1a digest of everything that the codecs encode and decode, for codec_test -d. The
 * checks call the codecs through the functions below, which add each message and each decoded
 * value to a digest. Two versions with equal digests encoded the same bytes and decoded the same
 * values.
 */
#ifndef CODEC_DIGEST_H
#define CODEC_DIGEST_H
#include "../src/io/codec.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

struct digest {
	const char *name;
	uint64_t hash;
	unsigned long messages;
};

static struct digest encoded = {"encoded", FNV_OFFSET, 0};
static struct digest jobs = {"jobs", FNV_OFFSET, 0};
static struct digest heartbeats = {"heartbeats", FNV_OFFSET, 0};
static struct digest replies = {"replies", FNV_OFFSET, 0};

static void digest_bytes(struct digest *digest, const void *bytes, size_t length)
{
	const unsigned char *data = bytes;

	for (size_t i = 0; i < length; i++)
		digest->hash = (digest->hash ^ data[i]) * FNV_PRIME;
}

/* Adds a string with its terminating NUL; NULL differs from every string. */
static void digest_text(struct digest *digest, const char *text)
{
	digest_bytes(digest, text ? text : "\xff", text ? strlen(text) + 1 : 2);
}

static void digest_heartbeat(struct digest *digest, const struct ws_heartbeat *heartbeat)
{
	struct ws_heartbeat copy = *heartbeat;

	copy.tasks = NULL; /* the address differs from run to run */
	digest_bytes(digest, &copy, sizeof(copy));
	if (heartbeat->task_count)
		digest_bytes(digest, heartbeat->tasks,
			     heartbeat->task_count * sizeof(*heartbeat->tasks));
}

static void digest_records(struct digest *digest, const struct ws_result *result)
{
	for (size_t i = 0; i < result->records.entry_count; i++) {
		char *value =
		    json_dumps(result->records.entries[i].value, JSON_COMPACT | JSON_ENCODE_ANY);

		digest_text(digest, result->records.entries[i].key);
		digest_bytes(digest, &result->records.entries[i].revision,
			     sizeof(result->records.entries[i].revision));
		digest_text(digest, value);
		free(value);
	}
}

/* The numeric fields of a result; those that its kind does not have are 0. */
struct result_numbers {
	uint64_t http_status, revision, session;
	uint64_t records, record_count;
	uint64_t flags; /* 1: has_more; 256: no_capacity */
	uint64_t failed_keys, failed_key_count;
	uint64_t types, type_count;
	uint64_t instances, instance_count;
	uint64_t heartbeat, vote_granted;
	uint64_t cancellations, cancellation_count;
};

/* The fields of lists stay 0, because digest_result() adds lists itself. */
static struct result_numbers result_numbers(const struct ws_result *result)
{
	struct result_numbers numbers = {.http_status = (uint32_t)result->http_status};

	switch (result->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
	case WS_CALL_WATCH:
		numbers.revision = result->records.revision;
		numbers.record_count = result->records.entry_count;
		numbers.flags = result->records.has_more;
		break;
	case WS_CALL_TRANSACTION:
		numbers.revision = result->transaction.revision;
		numbers.failed_key_count = result->transaction.failed_count;
		break;
	case WS_CALL_SESSION_OPEN: numbers.session = result->session; break;
	case WS_CALL_MACHINE_TYPES: numbers.type_count = result->types.count; break;
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
		numbers.instance_count = result->instances.count;
		numbers.flags = result->instances.has_more | (uint64_t)result->instances.no_capacity
								 << 8;
		break;
	case WS_CALL_OUTAGE_VOTE:
		numbers.vote_granted = result->vote.granted;
		numbers.flags = result->vote.has_more;
		numbers.cancellation_count = result->vote.cancellation_count;
		break;
	case WS_CALL_SESSION_RENEW:
	case WS_CALL_SESSION_CLOSE:
	case WS_CALL_SCALE_IN:
	case WS_CALL_COMMANDS: break;
	}
	return numbers;
}

/* Adds the elements of an array. */
static void digest_list(struct digest *digest, const void *list, size_t count, size_t size)
{
	if (count)
		digest_bytes(digest, list, count * size);
}

static void digest_result(struct digest *digest, const struct ws_result *result)
{
	const struct result_numbers numbers = result_numbers(result);

	digest_bytes(digest, &numbers, sizeof(numbers));
	switch (result->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
	case WS_CALL_WATCH: digest_records(digest, result); break;
	case WS_CALL_TRANSACTION:
		for (size_t i = 0; i < result->transaction.failed_count; i++)
			digest_text(digest, result->transaction.failed_keys[i]);
		break;
	case WS_CALL_MACHINE_TYPES:
		digest_list(digest, result->types.list, result->types.count,
			    sizeof(*result->types.list));
		break;
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT:
		digest_list(digest, result->instances.list, result->instances.count,
			    sizeof(*result->instances.list));
		break;
	case WS_CALL_COMMANDS:
		if (result->heartbeat)
			digest_heartbeat(digest, result->heartbeat);
		break;
	default: break; /* the numeric fields are all */
	}
}

/* Calls ws_decode_job() and adds its result to the digest. */
static int decode_job(const char *body, size_t length, struct ws_job_spec *spec)
{
	int status;

	memset(spec, 0, sizeof(*spec)); /* clears bytes that the decoder leaves unset */
	status = ws_decode_job(body, length, spec);

	jobs.messages++;
	digest_bytes(&jobs, &status, sizeof(status));
	if (!status)
		digest_bytes(&jobs, spec, sizeof(*spec));
	return status;
}

/* Calls ws_decode_heartbeat() and adds its result to the digest. */
static bool decode_heartbeat(const char *body, size_t length, struct ws_heartbeat *heartbeat)
{
	bool ok;

	memset(heartbeat, 0, sizeof(*heartbeat));
	ok = ws_decode_heartbeat(body, length, heartbeat);

	heartbeats.messages++;
	digest_bytes(&heartbeats, &ok, sizeof(ok));
	if (ok)
		digest_heartbeat(&heartbeats, heartbeat);
	return ok;
}

/* Calls ws_decode_reply() and adds its result to the digest. */
static void decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
			 struct ws_result *result)
{
	ws_decode_reply(call, status, body, length, result);
	replies.messages++;
	digest_result(&replies, result);
}

/* Calls ws_encode_heartbeat_answer() and adds the message to the digest. */
static char *encode_heartbeat_answer(const struct ws_effect *answer)
{
	char *text = ws_encode_heartbeat_answer(answer);

	encoded.messages++;
	digest_text(&encoded, text);
	return text;
}

static void digest_answer(enum ws_answer answer, int phase)
{
	const struct ws_effect to_user = {.kind = WS_EFFECT_ANSWER_USER,
					  .answer = answer,
					  .user = {.job = "job-000412",
						   .phase = (enum ws_job_phase)phase,
						   .done = 3,
						   .running = 2,
						   .carries_counts = phase & 1}};
	const struct ws_effect to_worker = {.kind = WS_EFFECT_ANSWER_HEARTBEAT,
					    .answer = answer,
					    .heartbeat = {.leader = "job-000412"}};
	char *text = ws_encode_user_answer(&to_user);

	encoded.messages++;
	digest_text(&encoded, text);
	free(text);
	free(encode_heartbeat_answer(&to_worker));
}

static void digest_answers(void)
{
	const enum ws_answer answers[] = {WS_ANSWER_OK, WS_ANSWER_ACCEPTED, WS_ANSWER_NOT_FOUND,
					  WS_ANSWER_OTHER_LEADER, WS_ANSWER_UNAVAILABLE};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++)
		for (int phase = 0; phase < 4; phase++)
			digest_answer(answers[i], phase);
}

/* Arrays that the sample calls share. */
struct sample_lists {
	struct ws_command commands[3];
	struct ws_compare compares[2];
	struct ws_operation operations[2];
};

/* Returns a sample call of this kind; it refers to `lists`. */
static struct ws_call sample_call(enum ws_call_kind kind, struct sample_lists *lists)
{
	struct ws_call call = {.kind = kind};

	switch (kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
		call.read = (struct ws_read_call){.key = "job/", .after = "job/job-1"};
		break;
	case WS_CALL_TRANSACTION:
		call.transaction = (struct ws_transaction_call){.compares = lists->compares,
								.compare_count = 2,
								.operations = lists->operations,
								.operation_count = 2};
		break;
	case WS_CALL_WATCH:
		call.watch = (struct ws_watch_call){
		    .prefix = "job/", .since_revision = 12, .timeout_ms = 1500};
		break;
	case WS_CALL_SESSION_OPEN:
	case WS_CALL_SESSION_RENEW:
	case WS_CALL_SESSION_CLOSE:
		call.session = (struct ws_session_call){.id = 77, .ttl_ms = 1500};
		break;
	case WS_CALL_INSTANCES:
		call.instances = (struct ws_instances_call){.after = "job/job-1"};
		break;
	case WS_CALL_SCALE_OUT:
		call.scale_out = (struct ws_scale_out_call){
		    .idempotency_key = "job/", .type = "g8", .zone = "a", .count = 4};
		break;
	case WS_CALL_COMMANDS:
		call.commands = (struct ws_commands_call){
		    .fencing_token = 41, .incarnation = 2, .list = lists->commands, .count = 3};
		break;
	case WS_CALL_MACHINE_TYPES:
	case WS_CALL_SCALE_IN:
	case WS_CALL_OUTAGE_VOTE: break;
	}
	return call;
}

/* Adds one message of every kind that ws_encode_call() encodes, whatever the checks cover. */
static void digest_calls(void)
{
	struct sample_lists lists = {
	    .commands = {{.kind = WS_COMMAND_RUN, .job = "job-1", .task = 3, .attempt = 9},
			 {.kind = WS_COMMAND_STOP, .job = "job-2", .attempt = 1, .grace_s = 2.5},
			 {.kind = WS_COMMAND_REAP, .job = "job-3", .task = 7, .attempt = 2}},
	    .compares = {{.key = "job/job-1", .revision = 41}, {.key = "job/job-2"}},
	    .operations = {{.key = "job/job-1", .session = 5}, {.key = "job/job-2"}},
	};

	lists.operations[0].value = json_pack("{s:i}", "v", 1);
	for (int kind = 0; kind <= WS_CALL_COMMANDS; kind++) {
		struct ws_call call = sample_call((enum ws_call_kind)kind, &lists);
		char path[WS_CALL_PATH_SIZE] = "";
		const char *method = NULL;
		char *body = ws_encode_call(&call, &method, path);

		encoded.messages++;
		digest_text(&encoded, method);
		digest_text(&encoded, path);
		digest_text(&encoded, body);
		free(body);
	}
	json_decref(lists.operations[0].value);
}

/* Adds messages of each kind, in addition to those that the checks encode. */
__attribute__((unused)) static void digest_samples(void)
{
	digest_answers();
	digest_calls();
}

__attribute__((unused)) static void digest_print(void)
{
	const struct digest *const all[] = {&encoded, &jobs, &heartbeats, &replies};

	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		printf("digest %s: %016" PRIx64 " of %lu\n", all[i]->name, all[i]->hash,
		       all[i]->messages);
}
#endif
