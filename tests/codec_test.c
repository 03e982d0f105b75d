/*
 * Tests of the codecs: examples of the protocol, malformed messages, and corrupted input from a
 * fixed seed. With -d it also prints digests of everything that was encoded and decoded, so that
 * two versions can be compared.
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

#define CORRUPTED_INPUTS 40000

static const char sample_job[] =
    "{\"nameId\":\"job-000412\",\"jobclass\":\"train\",\"owner\":\"vision\",\"shape\":\"sweep\","
    "\"tier\":\"urgent\",\"shards\":16,\"vcpus\":8.0,\"accelerators\":1.0,\"memGb\":64.0,"
    "\"bundle\":\"img-07\",\"sizeGb\":6.2,\"flavours\":[\"g8\"],\"hall\":null,\"samePlace\":true,"
    "\"spread\":false,\"reclaimable\":true,\"expectedS\":240.0,\"snapshotEveryS\":30.0,"
    "\"snapshotS\":4.0,\"dueS\":900.0}";
static const char sample_heartbeat[] =
    "{\"host\":\"n-000231\",\"address\":\"10.1.0.232:9000\",\"flavour\":\"g8\",\"hall\":\"a\","
    "\"reclaimable\":true,\"tenure\":1,\"counter\":88,\"epoch\":41,\"warningS\":null,\"shards\":["
    "{\"shard\":\"job-000412/3\",\"tryNo\":2,\"phase\":\"running\"},"
    "{\"shard\":\"job-000398/0\",\"tryNo\":1,\"phase\":\"exited\",\"cause\":\"done\"}]}";

/* Decodes the sample job with one field replaced; an empty value removes the field. Returns the
 * status of the decoder. */
static int decode_job_with(const char *field, const char *value)
{
	struct ws_job_spec spec;
	json_error_t e;
	json_t *object = json_loads(sample_job, 0, NULL), *v;
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

/* Returns whether the sample heartbeat is accepted with an additional JSON member. */
static bool heartbeat_accepts_member(const char *member)
{
	char text[1024];
	struct ws_heartbeat heartbeat;
	bool ok;

	snprintf(text, sizeof(text), "{%s,%s", member, sample_heartbeat + 1);
	ok = decode_heartbeat(text, strlen(text), &heartbeat);
	if (ok)
		ws_heartbeat_free(&heartbeat);
	return ok;
}

/* Returns whether the sample heartbeat is accepted with a text in place of another. */
static bool heartbeat_accepts_instead(const char *old, const char *replacement)
{
	const char *found = strstr(sample_heartbeat, old);
	char text[1024];
	struct ws_heartbeat heartbeat;
	bool ok;

	snprintf(text, sizeof(text), "%.*s%s%s", (int)(found - sample_heartbeat), sample_heartbeat,
		 replacement, found + strlen(old));
	ok = decode_heartbeat(text, strlen(text), &heartbeat);
	if (ok)
		ws_heartbeat_free(&heartbeat);
	return ok;
}

/* What a member may not hold is refused in the members that the decoder reads, and accepted in
 * those that it ignores. */
static void check_values_by_member(void)
{
	check("an unknown member is accepted",
	      heartbeat_accepts_member("\"x\":[1,-2.5e3,{\"a\":null,\"b\":true}]"));
	check("an escaped character is accepted", heartbeat_accepts_member("\"x\":\"\\u00e9\\n\""));
	check("a duplicate key is refused", !heartbeat_accepts_member("\"host\":\"n-1\""));
	check("a duplicate key that may be null is refused",
	      !heartbeat_accepts_member("\"warningS\":null"));
	check("a duplicate key in a task is refused",
	      !heartbeat_accepts_instead("\"tryNo\":2", "\"tryNo\":2,\"tryNo\":2"));
	check("a duplicate key in a large object is refused",
	      !heartbeat_accepts_member(
		  "\"a\":1,\"b\":1,\"c\":1,\"d\":1,\"e\":1,\"f\":1,\"g\":1,\"h\":1,\"i\":1,"
		  "\"j\":1,\"k\":1,\"l\":1,\"m\":1,\"n\":1,\"o\":1,\"p\":1,\"q\":1,\"epoch\":1"));
	check("duplicate keys in an unknown member are accepted",
	      heartbeat_accepts_member("\"x\":[{\"a\":{\"b\":1,\"b\":2}}]"));
	check("a NUL in a known string is refused",
	      !heartbeat_accepts_instead("n-000231", "n-1\\u0000"));
	check("a NUL in an unknown string is accepted",
	      heartbeat_accepts_member("\"x\":\"a\\u0000b\""));
	check("a NUL in a key is accepted and is another key",
	      heartbeat_accepts_member("\"host\\u0000\":1") &&
		  !heartbeat_accepts_instead("\"host\"", "\"host\\u0000\""));
	check("an integer beyond 64 bits is refused in a known member",
	      !heartbeat_accepts_instead("\"counter\":88", "\"counter\":18446744073709551616") &&
		  !heartbeat_accepts_instead("\"counter\":88", "\"counter\":-1") &&
		  !heartbeat_accepts_instead("\"counter\":88", "\"counter\":-9223372036854775809"));
	check("an integer beyond 64 bits is accepted in an unknown member",
	      heartbeat_accepts_member("\"x\":18446744073709551616"));
	check("a number out of the range of a double is refused as a count",
	      !heartbeat_accepts_instead("\"counter\":88", "\"counter\":1e999"));
	check("a negative number out of the range of a double is refused as an amount",
	      !heartbeat_accepts_instead("\"warningS\":null", "\"warningS\":-1e999"));
	check("a number out of the range of a double is accepted in an unknown member",
	      heartbeat_accepts_member("\"x\":1e999"));
	check("an unpaired surrogate is accepted in an unknown member",
	      heartbeat_accepts_member("\"x\":\"\\ud800\""));
	check("an unpaired surrogate is refused in the name of a task",
	      !heartbeat_accepts_instead("job-000412/3", "job-000412/\\ud800"));
}

/* The counts of the protocol are below 2^64, and their spelling is free. */
static void check_counts(void)
{
	static const char text[] = "{\"host\":\"n-1\",\"address\":null,\"flavour\":\"g8\","
				   "\"hall\":\"a\",\"reclaimable\":true,\"tenure\":2e0,"
				   "\"counter\":18446744073709551615,"
				   "\"epoch\":9223372036854775808,\"shards\":[{\"shard\":"
				   "\"job-1/0\",\"tryNo\":3.0,\"phase\":\"running\"}]}";
	struct ws_heartbeat heartbeat;

	check("counts up to 2^64 - 1 and whole reals are read exactly",
	      decode_heartbeat(text, strlen(text), &heartbeat) &&
		  heartbeat.sequence == UINT64_MAX &&
		  heartbeat.fencing_token == (uint64_t)1 << 63 && heartbeat.incarnation == 2 &&
		  heartbeat.tasks[0].attempt == 3);
	ws_heartbeat_free(&heartbeat);
	check("a fraction is no count",
	      !heartbeat_accepts_instead("\"counter\":88", "\"counter\":88.5"));
	check("a real that a double does not hold exactly is no count",
	      !heartbeat_accepts_instead("\"counter\":88", "\"counter\":9007199254740993.0"));
}

/* Malformed JSON is refused wherever it occurs, also in members that the decoder ignores. */
static void check_malformed_json(void)
{
	char nested[5000], text[6000];

	check("invalid UTF-8 is refused", !heartbeat_accepts_member("\"x\":\"\xff\""));
	check("a missing value is refused", !heartbeat_accepts_member("\"x\":"));
	memset(nested, '[', sizeof(nested));
	snprintf(text, sizeof(text), "{\"x\":%.*s}", (int)sizeof(nested), nested);
	check("lists that are not closed are refused",
	      !decode_heartbeat(text, strlen(text), &(struct ws_heartbeat){0}));
	snprintf(text, sizeof(text), "%s}", sample_heartbeat);
	check("trailing characters are refused",
	      !decode_heartbeat(text, strlen(text), &(struct ws_heartbeat){0}));
	snprintf(text, sizeof(text), "%s%s", sample_heartbeat, sample_heartbeat);
	check("two documents are refused",
	      !decode_heartbeat(text, strlen(text), &(struct ws_heartbeat){0}));
}

static bool nesting_is_accepted(size_t levels)
{
	char *text = malloc(2 * levels + 1);
	struct ws_json root;
	bool accepted;

	memset(text, '[', levels);
	text[levels] = '1';
	memset(text + levels + 1, ']', levels);
	accepted = ws_json_parse(text, 2 * levels + 1, &root);
	free(text);
	return accepted;
}

/* A document nested deeper than is served is refused at once. */
static void check_nesting_limit(void)
{
	struct ws_json root;

	check("a document nested as deep as is served is accepted",
	      nesting_is_accepted(WS_JSON_MAX_DEPTH));
	check("a document nested one deeper is refused",
	      !nesting_is_accepted(WS_JSON_MAX_DEPTH + 1));
	check("the parser serves the next document", ws_json_parse("[]", 2, &root));
}

static uint64_t seed = 42;
static unsigned random_below(unsigned count)
{
	seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)(seed >> 33) % count;
}

/* Returns the JSON text of a heartbeat with this number of tasks; the caller frees it. */
static char *long_heartbeat(size_t tasks)
{
	json_t *object = json_loads(sample_heartbeat, 0, NULL),
	       *array = json_object_get(object, "shards");
	char *text;

	while (json_array_size(array) < tasks)
		json_array_append_new(array, json_pack("{s:s,s:i,s:s}", "shard", "job-000412/17",
						       "tryNo", 7, "phase", "running"));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/* Messages are decoded and encoded in memory of the pool; values that outlive a message are not
 * allocated there. */
static void check_pool(void)
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
	text = long_heartbeat(64);
	check("a heartbeat of 64 tasks is decoded",
	      decode_heartbeat(text, strlen(text), &heartbeat) && heartbeat.task_count == 64);
	ws_heartbeat_free(&heartbeat);
	free(text);
	s = encode_heartbeat_answer(&effect);
	check("an answer with 300 commands is encoded", s && strstr(s, "\"orders\":[{"));
	free(s);
	check("decoding and encoding need no memory beyond the pool", ws_pool_misses() == before);
	text = long_heartbeat(1000);
	check("a heartbeat of 1000 tasks is decoded",
	      strlen(text) < WS_BODY_MAX && decode_heartbeat(text, strlen(text), &heartbeat) &&
		  heartbeat.task_count == 1000);
	ws_heartbeat_free(&heartbeat);
	free(text);
	check("the memory of a large heartbeat is kept for the next one",
	      ws_json_capacity() <= WS_JSON_KEPT_BYTES);
	text = long_heartbeat(6000);
	check("a heartbeat beyond the kept memory is decoded",
	      decode_heartbeat(text, strlen(text), &heartbeat) && heartbeat.task_count == 6000 &&
		  ws_json_capacity() > WS_JSON_KEPT_BYTES);
	ws_heartbeat_free(&heartbeat);
	free(text);
	check("the additional memory is freed with the next heartbeat",
	      decode_heartbeat(sample_heartbeat, strlen(sample_heartbeat), &heartbeat) &&
		  ws_json_capacity() <= WS_JSON_KEPT_BYTES);
	ws_heartbeat_free(&heartbeat);
	check("decoding heartbeats allocates nothing through jansson", ws_pool_misses() == before);
	effect.heartbeat.commands = calloc(6000, sizeof(*effect.heartbeat.commands));
	effect.heartbeat.command_count = 6000;
	for (size_t i = 0; i < effect.heartbeat.command_count; i++)
		effect.heartbeat.commands[i] = orders[0];
	s = encode_heartbeat_answer(&effect);
	check("an answer larger than the pool is encoded",
	      s && strlen(s) > 6000 * strlen("{\"verb\":\"run\"}") && ws_pool_misses() > before);
	free(s);
	free(effect.heartbeat.commands);
	check("a decoded value outlives later messages",
	      kept.records.entry_count == 1 &&
		  json_integer_value(
		      json_array_get(json_object_get(kept.records.entries[0].value, "x"), 1)) == 2);
	ws_result_free(&kept);
}

/* ---- jobs ---- */

static void check_job_example(void)
{
	struct ws_job_spec spec;

	check("the example of a job is accepted",
	      decode_job(sample_job, strlen(sample_job), &spec) == 0);
	check("the fields of the example are decoded",
	      !strcmp(spec.id, "job-000412") && spec.tasks == 16 && spec.cpus == 8 &&
		  spec.one_zone && spec.allows_preemptible && !spec.spread &&
		  spec.priority == WS_PRIORITY_URGENT && spec.type_count == 1 &&
		  spec.deadline_s == 900);
	check("an unknown field is ignored", decode_job_with("colour", "\"red\"") == 0);
	check("the deadline is optional",
	      decode_job_with("dueS", "") == 0 && decode_job_with("dueS", "null") == 0);
	check("the machine types are optional",
	      decode_job_with("flavours", "") == 0 && decode_job_with("flavours", "null") == 0);
	check("a gang is accepted", decode_job_with("shape", "\"gang\"") == 0);
	check("an amount beyond any machine is sound", decode_job_with("vcpus", "1e300") == 0);
}

static void check_missing_job_fields(void)
{
	static const char *const required[] = {
	    "nameId", "jobclass",     "owner",	   "shape",	     "tier",	 "shards",
	    "vcpus",  "accelerators", "memGb",	   "bundle",	     "sizeGb",	 "samePlace",
	    "spread", "reclaimable",  "expectedS", "snapshotEveryS", "snapshotS"};

	for (size_t i = 0; i < sizeof(required) / sizeof(required[0]); i++)
		check(required[i], decode_job_with(required[i], "") == 400);
}

static void check_invalid_job_values(void)
{
	static const char *const invalid[][2] = {{"nameId", "\"job-\""},
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
						 {"vcpus", "-1e300"},
						 {"vcpus", "[]"}};

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		check(invalid[i][0], decode_job_with(invalid[i][0], invalid[i][1]) == 400);
}

static void check_not_a_job(void)
{
	struct ws_job_spec spec;

	check("text that is not JSON is refused",
	      decode_job("{", 1, &spec) == 400 && decode_job("", 0, &spec) == 400);
	check("a value that is not an object is refused",
	      decode_job("[]", 2, &spec) == 400 && decode_job("3", 1, &spec) == 400);
	check("a number that is not finite is refused",
	      decode_job("{\"vcpus\":1e999}", 15, &spec) == 400);
}

/* ---- heartbeats ---- */

static void check_heartbeat_example(void)
{
	struct ws_heartbeat heartbeat;

	check("the example of a heartbeat is accepted",
	      decode_heartbeat(sample_heartbeat, strlen(sample_heartbeat), &heartbeat));
	check("the tasks of the example are decoded",
	      heartbeat.task_count == 2 && heartbeat.tasks[0].task == 3 &&
		  heartbeat.tasks[1].exit_reason == WS_EXIT_DONE &&
		  heartbeat.preemption_notice_s < 0 && heartbeat.port == 9000);
	ws_heartbeat_free(&heartbeat);
	check("an empty object is not a heartbeat", !decode_heartbeat("{}", 2, &heartbeat));
}

static void check_gang_heartbeat(void)
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

	check("a heartbeat with tasks of a gang is accepted",
	      decode_heartbeat(gang, strlen(gang), &heartbeat) && heartbeat.task_count == 5);
	check("phase waiting is decoded", heartbeat.tasks[0].state == WS_TASK_WAITING);
	check("cause mates_gone is decoded", heartbeat.tasks[1].exit_reason == WS_EXIT_MEMBER_LOST);
	check("cause incomplete is decoded",
	      heartbeat.tasks[2].exit_reason == WS_EXIT_GANG_INCOMPLETE);
	check("an unknown phase counts as alive", heartbeat.tasks[3].state == WS_TASK_FETCHING);
	check("an unknown cause counts as stopped",
	      heartbeat.tasks[4].exit_reason == WS_EXIT_STOPPED);
	ws_heartbeat_free(&heartbeat);
}

/* ---- replies of the store and the cloud ---- */

static void check_store_and_cloud_replies(void)
{
	struct ws_call call = {.kind = WS_CALL_GET, .read = {.key = "job/job-1"}};
	struct ws_result result;

	decode_reply(&call, 200, "{\"k\":\"job/other\",\"value\":1,\"stamp\":2}", 38, &result);
	check("a reply for another key is no answer", result.outcome == WS_OUTCOME_NO_REPLY);
	ws_result_free(&result);
	decode_reply(&call, 200, "garbage", 7, &result);
	check("a reply that is not JSON is no answer", result.outcome == WS_OUTCOME_NO_REPLY);
	ws_result_free(&result);
	call.kind = WS_CALL_SCALE_OUT;
	decode_reply(&call, 503, "{\"error\":\"trouble\"}", 19, &result);
	check("another 503 is not a lack of capacity",
	      result.outcome == WS_OUTCOME_UNAVAILABLE && !result.instances.no_capacity);
	ws_result_free(&result);
	decode_reply(&call, 503, "{\"error\":\"no capacity\"}", 23, &result);
	check("a lack of capacity is recognized", result.instances.no_capacity);
	ws_result_free(&result);
}

/* ---- corrupted input ---- */

/* Replaces or removes a byte or truncates the text, at a few positions. Returns the new length. */
static size_t corrupt(char *text, size_t length)
{
	static const char characters[] = "\"{}[]:,-+0e9.\\ntruefalse\x00\x80\xff";

	for (unsigned i = 0; i <= random_below(4); i++) {
		unsigned at = random_below((unsigned)length);

		switch (random_below(3)) {
		case 0: text[at] = characters[random_below(sizeof(characters) - 1)]; break;
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

static void decode_corrupted_job(const char *text, size_t length)
{
	struct ws_job_spec spec;

	if (!decode_job(text, length, &spec) && (spec.tasks < 1 || spec.tasks > WS_MAX_TASKS ||
						 !(spec.cpus >= 0) || !ws_job_id_is_valid(spec.id)))
		check("a corrupted job is accepted only with values within bounds", false);
}

static void decode_corrupted_heartbeat(const char *text, size_t length)
{
	struct ws_heartbeat heartbeat;

	if (!decode_heartbeat(text, length, &heartbeat))
		return;
	if (heartbeat.incarnation < 1 || !heartbeat.machine[0])
		check("a corrupted heartbeat is accepted only with values within bounds", false);
	ws_heartbeat_free(&heartbeat);
}

static void decode_corrupted_replies(const char *text, size_t length)
{
	struct ws_call call = {.read = {.key = "job/job-1"}};
	struct ws_result result;

	for (int kind = WS_CALL_GET; kind <= WS_CALL_COMMANDS; kind++) {
		call.kind = (enum ws_call_kind)kind;
		decode_reply(&call, random_below(4) ? 200 : 409, text, length, &result);
		ws_result_free(&result);
	}
}

/* The decoders must not crash, and accepted values must be within their bounds. */
static void check_corrupted_input(void)
{
	for (int i = 0; i < CORRUPTED_INPUTS; i++) {
		const char *source = i & 1 ? sample_job : sample_heartbeat;
		char text[1200];
		size_t length = strlen(source);

		memcpy(text, source, length + 1);
		length = corrupt(text, length);
		decode_corrupted_job(text, length);
		decode_corrupted_heartbeat(text, length);
		decode_corrupted_replies(text, length);
	}
	passed_checks++;
}

int main(int argc, char **argv)
{
	check_job_example();
	check_missing_job_fields();
	check_invalid_job_values();
	check_not_a_job();
	check_heartbeat_example();
	check_gang_heartbeat();
	check_store_and_cloud_replies();
	check_corrupted_input();
	check_values_by_member();
	check_counts();
	check_malformed_json();
	check_nesting_limit();
	check_pool();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	if (argc > 1 && !strcmp(argv[1], "-d")) {
		digest_samples();
		digest_print();
	}
	return failed_checks != 0;
}
