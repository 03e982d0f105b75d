/*
 * A 64-bit FNV-1a digest of what the codecs write and read, for codec_test -d: the checks call the
 * codecs through the functions below, which fold each message and each decoded value in. Two
 * versions whose digests agree wrote the same bytes and read the same values.
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
static struct digest reports = {"heartbeats", FNV_OFFSET, 0};
static struct digest replies = {"replies", FNV_OFFSET, 0};

static void digest_bytes(struct digest *digest, const void *bytes, size_t length)
{
	const unsigned char *next = bytes;

	for (size_t i = 0; i < length; i++)
		digest->hash = (digest->hash ^ next[i]) * FNV_PRIME;
}

/* A text and its end; NULL counts as a text of its own. */
static void digest_text(struct digest *digest, const char *text)
{
	digest_bytes(digest, text ? text : "\xff", text ? strlen(text) + 1 : 2);
}

static void digest_report_value(struct digest *digest, const struct ws_report *report)
{
	struct ws_report plain = *report;

	plain.tasks = NULL; /* an address, which differs from run to run */
	digest_bytes(digest, &plain, sizeof(plain));
	if (report->ntasks)
		digest_bytes(digest, report->tasks, report->ntasks * sizeof(*report->tasks));
}

static void digest_records(struct digest *digest, const struct ws_result *result)
{
	for (size_t i = 0; i < result->nkvs; i++) {
		char *value = json_dumps(result->kvs[i].value, JSON_COMPACT | JSON_ENCODE_ANY);

		digest_text(digest, result->kvs[i].key);
		digest_bytes(digest, &result->kvs[i].stamp, sizeof(result->kvs[i].stamp));
		digest_text(digest, value);
		free(value);
	}
}

static void digest_result(struct digest *digest, const struct ws_result *result)
{
	struct ws_result plain = *result;

	plain.kvs = NULL;
	plain.failed = NULL;
	plain.types = NULL;
	plain.hosts = NULL;
	plain.report = NULL;
	plain.withdrawn = NULL;
	digest_bytes(digest, &plain, sizeof(plain));
	digest_records(digest, result);
	for (size_t i = 0; i < result->nfailed; i++)
		digest_text(digest, result->failed[i]);
	if (result->ntypes)
		digest_bytes(digest, result->types, result->ntypes * sizeof(*result->types));
	if (result->nhosts)
		digest_bytes(digest, result->hosts, result->nhosts * sizeof(*result->hosts));
	if (result->report)
		digest_report_value(digest, result->report);
}

/* ws_decode_job(), with its outcome in the digest. */
static int decode_job(const char *body, size_t length, struct ws_spec *spec)
{
	int status = ws_decode_job(body, length, spec);

	jobs.messages++;
	digest_bytes(&jobs, &status, sizeof(status));
	if (!status)
		digest_bytes(&jobs, spec, sizeof(*spec));
	return status;
}

/* ws_decode_report(), with its outcome in the digest. */
static bool decode_report(const char *body, size_t length, struct ws_report *report)
{
	bool ok = ws_decode_report(body, length, report);

	reports.messages++;
	digest_bytes(&reports, &ok, sizeof(ok));
	if (ok)
		digest_report_value(&reports, report);
	return ok;
}

/* ws_decode_reply(), with its outcome in the digest. */
static void decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
			 struct ws_result *result)
{
	ws_decode_reply(call, status, body, length, result);
	replies.messages++;
	digest_result(&replies, result);
}

/* ws_encode_report_answer(), with the message in the digest. */
static char *encode_report_answer(const struct ws_action *answer)
{
	char *text = ws_encode_report_answer(answer);

	encoded.messages++;
	digest_text(&encoded, text);
	return text;
}

static void digest_of_answers(void)
{
	struct ws_action answer = {.name = "job-000412", .done = 3, .running = 2};
	const int statuses[] = {200, 201, 404, 421, 503};

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		for (int phase = 0; phase < 4; phase++) {
			char *text;

			answer.status = statuses[i];
			answer.phase = phase;
			answer.counts = phase & 1;
			text = ws_encode_user(&answer);
			encoded.messages++;
			digest_text(&encoded, text);
			free(text);
			free(encode_report_answer(&answer));
		}
}

/* Messages of every kind that leaves by ws_encode_call(), whatever the checks cover. */
static void digest_of_calls(void)
{
	struct ws_order orders[] = {
	    {.verb = WS_RUN, .job = "job-1", .task = 3, .attempt = 9},
	    {.verb = WS_STOP, .job = "job-2", .task = 0, .attempt = 1, .grace_s = 2.5},
	    {.verb = WS_REAP, .job = "job-3", .task = 7, .attempt = 2},
	};
	struct ws_cond conditions[] = {{.key = "job/job-1", .stamp = 41}, {.key = "job/job-2"}};
	struct ws_op changes[] = {{.key = "job/job-1", .hold = 5}, {.key = "job/job-2"}};
	struct ws_call call = {.key = "job/", .after = "job/job-1"};

	changes[0].value = json_pack("{s:i}", "v", 1);
	call.conds = conditions;
	call.nconds = 2;
	call.ops = changes;
	call.nops = 2;
	call.orders = orders;
	call.norders = 3;
	call.epoch = 41;
	call.tenure = 2;
	call.hold = 77;
	call.ms = 1500;
	call.since = 12;
	call.count = 4;
	snprintf(call.type, sizeof(call.type), "g8");
	snprintf(call.zone, sizeof(call.zone), "a");
	for (int kind = 0; kind <= WS_CALL_ORDERS; kind++) {
		char path[WS_URL_MAX] = "";
		const char *method = NULL;
		char *body;

		call.kind = (enum ws_call_kind)kind;
		body = ws_encode_call(&call, &method, path);
		encoded.messages++;
		digest_text(&encoded, method);
		digest_text(&encoded, path);
		digest_text(&encoded, body);
		free(body);
	}
	json_decref(changes[0].value);
}

/* Messages of each kind besides those that the checks encode. */
static void digest_of_samples(void)
{
	digest_of_answers();
	digest_of_calls();
}

static void digest_print(void)
{
	const struct digest *const all[] = {&encoded, &jobs, &reports, &replies};

	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		printf("digest %s: %016" PRIx64 " of %lu\n", all[i]->name, all[i]->hash,
		       all[i]->messages);
}
#endif
