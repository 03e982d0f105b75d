/*
 * Decoders: what the protocol calls malformed, and mangled input with fixed seeds. With -d it also
 * prints digests of all that was encoded and decoded, so that two versions can be compared.
 */
#include "../src/io/codec.h"
#include "../src/io/http_common.h"
#include "../src/io/json_reader.h"
#include "../src/io/pool.h"
#include "check.h"
#include "codec_digest.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MANGLED_INPUTS 40000

static const char base[] =
    "{\"nameId\":\"job-000412\",\"jobclass\":\"train\",\"owner\":\"vision\",\"shape\":\"sweep\","
    "\"tier\":\"urgent\",\"shards\":16,\"vcpus\":8.0,\"accelerators\":1.0,\"memGb\":64.0,"
    "\"bundle\":\"img-07\",\"sizeGb\":6.2,\"flavours\":[\"g8\"],\"hall\":null,\"samePlace\":true,"
    "\"spread\":false,\"reclaimable\":true,\"expectedS\":240.0,\"snapshotEveryS\":30.0,"
    "\"snapshotS\":4.0,\"dueS\":900.0}";
static const char report[] =
    "{\"host\":\"n-000231\",\"address\":\"10.1.0.232:9000\",\"flavour\":\"g8\",\"hall\":\"a\","
    "\"reclaimable\":true,\"tenure\":1,\"counter\":88,\"epoch\":41,\"warningS\":null,\"shards\":["
    "{\"shard\":\"job-000412/3\",\"tryNo\":2,\"phase\":\"running\"},"
    "{\"shard\":\"job-000398/0\",\"tryNo\":1,\"phase\":\"exited\",\"cause\":\"done\"}]}";

/* The base with one field's value replaced; an empty value takes the field out. */
static int with(const char *field, const char *value)
{
	struct ws_job_spec spec;
	json_error_t e;
	json_t *object = json_loads(base, 0, NULL), *v;
	char *text;
	int r;

	if (!value[0]) {
		json_object_del(object, field);
	} else {
		v = json_loads(value, JSON_DECODE_ANY, &e);
		json_object_set_new(object, field, v);
	}
	text = json_dumps(object, 0);
	r = decode_job(text, strlen(text), &spec);
	free(text);
	json_decref(object);
	return r;
}

/* Whether a heartbeat reads that has this member as well, which no protocol names. */
static bool with_extra(const char *member)
{
	char text[1024];
	struct ws_heartbeat heartbeat;
	bool ok;

	snprintf(text, sizeof(text), "{%s,%s", member, report + 1);
	ok = decode_report(text, strlen(text), &heartbeat);
	if (ok)
		ws_heartbeat_free(&heartbeat);
	return ok;
}

/* What is malformed is so wherever it stands, also in members that are not read. */
static void malformed(void)
{
	char deep[5000], text[6000];

	check("an unknown member", with_extra("\"x\":[1,-2.5e3,{\"a\":null,\"b\":true}]"));
	check("an escaped character", with_extra("\"x\":\"\\u00e9\\n\""));
	check("one key twice", !with_extra("\"host\":\"n-1\""));
	check("one key twice further down", !with_extra("\"x\":[{\"a\":{\"b\":1,\"b\":2}}]"));
	check("one key twice among many",
	      !with_extra("\"x\":{\"a\":1,\"b\":1,\"c\":1,\"d\":1,\"e\":1,\"f\":1,\"g\":1,\"h\":1,"
			  "\"i\":1,\"j\":1,\"k\":1,\"l\":1,\"m\":1,\"n\":1,\"o\":1,\"p\":1,\"q\":1,"
			  "\"a\":1}"));
	check("a NUL in a string", !with_extra("\"x\":\"a\\u0000b\""));
	check("a NUL in a key", !with_extra("\"a\\u0000b\":1"));
	check("an integer beyond 63 bits", !with_extra("\"x\":9223372036854775808"));
	check("an integer beyond 64 bits", !with_extra("\"x\":18446744073709551616"));
	check("a number beyond a double", !with_extra("\"x\":1e999"));
	check("half a surrogate pair", !with_extra("\"x\":\"\\ud800\""));
	check("bytes that are no UTF-8", !with_extra("\"x\":\"\xff\""));
	check("a missing value", !with_extra("\"x\":"));
	memset(deep, '[', sizeof(deep));
	snprintf(text, sizeof(text), "{\"x\":%.*s}", (int)sizeof(deep), deep);
	check("nested without end", !decode_report(text, strlen(text), &(struct ws_heartbeat){0}));
	snprintf(text, sizeof(text), "%s}", report);
	check("more behind the end", !decode_report(text, strlen(text), &(struct ws_heartbeat){0}));
}

static uint64_t seed = 42;
static unsigned rnd(unsigned count)
{
	seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)(seed >> 33) % count;
}

/* A heartbeat of so many tasks, as text. */
static char *long_report(size_t tasks)
{
	json_t *object = json_loads(report, 0, NULL), *array = json_object_get(object, "shards");
	char *text;

	while (json_array_size(array) < tasks)
		json_array_append_new(array, json_pack("{s:s,s:i,s:s}", "shard", "job-000412/17",
						       "tryNo", 7, "phase", "running"));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/* What messages are read and written with is taken in one piece; what is kept is not in it. */
static void pool(void)
{
	struct ws_command orders[300] = {
	    {.kind = WS_COMMAND_RUN, .job = "job-000412", .attempt = 9}};
	struct ws_effect effect = {
	    .kind = WS_EFFECT_ANSWER_HEARTBEAT,
	    .answer = WS_ANSWER_OK,
	    .heartbeat = {.fencing_token = 41, .commands = orders, .command_count = 300}};
	struct ws_call get = {.kind = WS_CALL_GET, .read = {.key = "job/a"}};
	static const char kv[] = "{\"k\":\"job/a\",\"value\":{\"x\":[1,2,\"y\"]},\"stamp\":412}";
	struct ws_heartbeat heartbeat = {0};
	struct ws_result kept;
	char *text, *s;
	size_t before;

	ws_pool_setup();
	decode_reply(&get, 200, kv, sizeof(kv) - 1, &kept);
	before = ws_pool_misses();
	text = long_report(64);
	check("a report of 64 tasks reads",
	      decode_report(text, strlen(text), &heartbeat) && heartbeat.task_count == 64);
	ws_heartbeat_free(&heartbeat);
	free(text);
	s = encode_report_answer(&effect);
	check("an answer of 300 commands is written", s && strstr(s, "\"orders\":[{"));
	free(s);
	check("with no memory beyond the pool's", ws_pool_misses() == before);
	text = long_report(1000);
	check("the longest report reads", strlen(text) < WS_BODY_MAX &&
					      decode_report(text, strlen(text), &heartbeat) &&
					      heartbeat.task_count == 1000);
	ws_heartbeat_free(&heartbeat);
	free(text);
	check("in memory that is kept for the next", ws_json_capacity() <= WS_JSON_KEPT_BYTES);
	text = long_report(6000);
	check("one that takes more reads all the same",
	      decode_report(text, strlen(text), &heartbeat) && heartbeat.task_count == 6000 &&
		  ws_json_capacity() > WS_JSON_KEPT_BYTES);
	ws_heartbeat_free(&heartbeat);
	free(text);
	check("and what it took is given back with the next",
	      decode_report(report, strlen(report), &heartbeat) &&
		  ws_json_capacity() <= WS_JSON_KEPT_BYTES);
	ws_heartbeat_free(&heartbeat);
	check("reports take nothing of jansson's", ws_pool_misses() == before);
	effect.heartbeat.commands = calloc(6000, sizeof(*effect.heartbeat.commands));
	effect.heartbeat.command_count = 6000;
	for (size_t i = 0; i < effect.heartbeat.command_count; i++)
		effect.heartbeat.commands[i] = orders[0];
	s = encode_report_answer(&effect);
	check("an answer that takes more than the pool is written all the same",
	      s && strlen(s) > 6000 * strlen("{\"verb\":\"run\"}") && ws_pool_misses() > before);
	free(s);
	free(effect.heartbeat.commands);
	check("a key's value outlives them",
	      kept.records.entry_count == 1 &&
		  json_integer_value(
		      json_array_get(json_object_get(kept.records.entries[0].value, "x"), 1)) == 2);
	ws_result_free(&kept);
}

/* ---- jobs ---- */

static void job_example(void)
{
	struct ws_job_spec spec;

	check("the protocol's example", decode_job(base, strlen(base), &spec) == 0);
	check("its fields", !strcmp(spec.id, "job-000412") && spec.tasks == 16 && spec.cpus == 8 &&
				spec.one_zone && spec.allows_preemptible && !spec.spread &&
				spec.priority == WS_PRIORITY_URGENT && spec.type_count == 1 &&
				spec.deadline_s == 900);
	check("unknown fields", with("colour", "\"red\"") == 0);
	check("no deadline", with("dueS", "") == 0 && with("dueS", "null") == 0);
	check("no types", with("flavours", "") == 0 && with("flavours", "null") == 0);
	check("a gang", with("shape", "\"gang\"") == 0);
}

static void job_without_field(void)
{
	static const char *const needed[] = {
	    "nameId", "jobclass",     "owner",	   "shape",	     "tier",	 "shards",
	    "vcpus",  "accelerators", "memGb",	   "bundle",	     "sizeGb",	 "samePlace",
	    "spread", "reclaimable",  "expectedS", "snapshotEveryS", "snapshotS"};

	for (size_t i = 0; i < sizeof(needed) / sizeof(needed[0]); i++)
		check(needed[i], with(needed[i], "") == 400);
}

static void job_with_wrong_value(void)
{
	static const char *const wrong[][2] = {{"nameId", "\"job-\""},
					       {"nameId", "\"task-1\""},
					       {"nameId", "7"},
					       {"nameId", "\"job-12x\""},
					       {"nameId", "\"job-1/2\""},
					       {"shape", "\"swarm\""},
					       {"tier", "\"high\""},
					       {"shards", "0"},
					       {"shards", "-1"},
					       {"shards", "100001"},
					       {"shards", "1.5"},
					       {"shards", "\"1\""},
					       {"vcpus", "-1"},
					       {"vcpus", "\"8\""},
					       {"vcpus", "null"},
					       {"memGb", "-0.5"},
					       {"flavours", "[]"},
					       {"flavours", "[1]"},
					       {"flavours", "\"g8\""},
					       {"hall", "3"},
					       {"samePlace", "1"},
					       {"spread", "null"},
					       {"dueS", "-1"},
					       {"dueS", "\"x\""},
					       {"expectedS", "-1"},
					       {"vcpus", "1e300"}};

	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		check(wrong[i][0], with(wrong[i][0], wrong[i][1]) == 400);
}

static void no_job(void)
{
	struct ws_job_spec spec;

	check("no JSON", decode_job("{", 1, &spec) == 400 && decode_job("", 0, &spec) == 400);
	check("no object", decode_job("[]", 2, &spec) == 400 && decode_job("3", 1, &spec) == 400);
	check("not finite", decode_job("{\"vcpus\":1e999}", 15, &spec) == 400);
}

/* ---- heartbeats ---- */

static void heartbeat_example(void)
{
	struct ws_heartbeat heartbeat;

	check("a report", decode_report(report, strlen(report), &heartbeat));
	check("its tasks", heartbeat.task_count == 2 && heartbeat.tasks[0].task == 3 &&
			       heartbeat.tasks[1].exit_reason == WS_EXIT_DONE &&
			       heartbeat.preemption_notice_s < 0 && heartbeat.port == 9000);
	ws_heartbeat_free(&heartbeat);
	check("no report", !decode_report("{}", 2, &heartbeat));
}

static void heartbeat_of_gang(void)
{
	static const char gang[] =
	    "{\"host\":\"n-1\",\"address\":\"10.1.0.2:9000\",\"flavour\":\"g8\",\"hall\":\"a\","
	    "\"reclaimable\":false,\"tenure\":1,\"counter\":8,\"epoch\":4,\"shards\":["
	    "{\"shard\":\"job-1/0\",\"tryNo\":2,\"phase\":\"waiting\"},"
	    "{\"shard\":\"job-1/1\",\"tryNo\":2,\"phase\":\"exited\",\"cause\":\"mates_gone\"},"
	    "{\"shard\":\"job-1/2\",\"tryNo\":2,\"phase\":\"exited\",\"cause\":\"incomplete\"},"
	    "{\"shard\":\"job-1/3\",\"tryNo\":2,\"phase\":\"dreaming\"},"
	    "{\"shard\":\"job-1/4\",\"tryNo\":2,\"phase\":\"exited\",\"cause\":\"boredom\"}]}";
	struct ws_heartbeat heartbeat;

	check("a gang's words",
	      decode_report(gang, strlen(gang), &heartbeat) && heartbeat.task_count == 5);
	check("waiting", heartbeat.tasks[0].state == WS_TASK_WAITING);
	check("mates_gone", heartbeat.tasks[1].exit_reason == WS_EXIT_MEMBER_LOST);
	check("incomplete", heartbeat.tasks[2].exit_reason == WS_EXIT_GANG_INCOMPLETE);
	check("an unknown state is alive", heartbeat.tasks[3].state == WS_TASK_FETCHING);
	check("an unknown cause blames nobody", heartbeat.tasks[4].exit_reason == WS_EXIT_STOPPED);
	ws_heartbeat_free(&heartbeat);
}

/* ---- answers of store and cloud ---- */

static void store_and_cloud_replies(void)
{
	struct ws_call call = {.kind = WS_CALL_GET, .read = {.key = "job/job-1"}};
	struct ws_result result;

	decode_reply(&call, 200, "{\"k\":\"job/other\",\"value\":1,\"stamp\":2}", 38, &result);
	check("another key's answer is none", result.outcome == WS_OUTCOME_NO_ANSWER);
	ws_result_free(&result);
	decode_reply(&call, 200, "garbage", 7, &result);
	check("garbage is no answer", result.outcome == WS_OUTCOME_NO_ANSWER);
	ws_result_free(&result);
	call.kind = WS_CALL_SCALE_OUT;
	decode_reply(&call, 503, "{\"error\":\"trouble\"}", 19, &result);
	check("trouble is no refusal",
	      result.outcome == WS_OUTCOME_UNAVAILABLE && !result.instances.no_capacity);
	ws_result_free(&result);
	decode_reply(&call, 503, "{\"error\":\"no capacity\"}", 23, &result);
	check("no capacity is one", result.instances.no_capacity);
	ws_result_free(&result);
}

/* ---- mangled input ---- */

/* Changes, cuts out or cuts off at a few places; the new length. */
static size_t mangle(char *text, size_t length)
{
	static const char characters[] = "\"{}[]:,-+0e9.\\ntruefalse\x00\x80\xff";

	for (unsigned i = 0; i <= rnd(4); i++) {
		unsigned at = rnd((unsigned)length);

		switch (rnd(3)) {
		case 0: text[at] = characters[rnd(sizeof(characters) - 1)]; break;
		case 1:
			memmove(text + at, text + at + 1, length - at);
			length--;
			break;
		default: length = at + 1; break;
		}
		if (length < 2)
			break;
	}
	return length;
}

static void read_mangled_job(const char *text, size_t length)
{
	struct ws_job_spec spec;

	if (!decode_job(text, length, &spec) && (spec.tasks < 1 || spec.tasks > WS_MAX_TASKS ||
						 !(spec.cpus >= 0) || !ws_job_id_is_valid(spec.id)))
		check("a mangled job out of bounds is accepted", false);
}

static void read_mangled_heartbeat(const char *text, size_t length)
{
	struct ws_heartbeat heartbeat;

	if (!decode_report(text, length, &heartbeat))
		return;
	if (heartbeat.incarnation < 1 || !heartbeat.machine[0])
		check("a mangled report out of bounds is accepted", false);
	ws_heartbeat_free(&heartbeat);
}

static void read_mangled_replies(const char *text, size_t length)
{
	struct ws_call call = {.read = {.key = "job/job-1"}};
	struct ws_result result;

	for (int kind = WS_CALL_GET; kind <= WS_CALL_COMMANDS; kind++) {
		call.kind = (enum ws_call_kind)kind;
		decode_reply(&call, rnd(4) ? 200 : 409, text, length, &result);
		ws_result_free(&result);
	}
}

/* Nothing may crash, and what is accepted must be within bounds. */
static void mangled(void)
{
	for (int i = 0; i < MANGLED_INPUTS; i++) {
		const char *from = i & 1 ? base : report;
		char text[1200];
		size_t length = strlen(from);

		memcpy(text, from, length + 1);
		length = mangle(text, length);
		read_mangled_job(text, length);
		read_mangled_heartbeat(text, length);
		read_mangled_replies(text, length);
	}
	good++;
}

int main(int argc, char **argv)
{
	job_example();
	job_without_field();
	job_with_wrong_value();
	no_job();
	heartbeat_example();
	heartbeat_of_gang();
	store_and_cloud_replies();
	mangled();
	malformed();
	pool();
	printf("%d passed, %d failed\n", good, bad);
	if (argc > 1 && !strcmp(argv[1], "-d")) {
		digest_of_samples();
		digest_print();
	}
	return bad != 0;
}
