/* Guards against: a sound message is refused as malformed because of a field that its receiver does
 * not know. */
#include "check.h"
#include "codec_digest.h"
#include "odd_json.h"
#include "random_json.h"
#include "../src/io/http_common.h"
#include <time.h>

/* Depth of the deepest value in a body of 64 KiB. */
#define DEEP_LEVELS 32000
#define LONG_TEXT 50000
#define MANY_FIELDS 5000
#define RANDOM_VALUE_MAX 3000

/* A message with places for unknown fields, which begin with a comma. */
struct message {
	const char *name, *text;
	enum ws_call_kind kind; /* of the call that it answers */
	int status;		/* of the reply; 0: a submission, -1: a heartbeat */
};

#define JOB                                                                                        \
	"{\"nameId\":\"job-000412\",\"jobclass\":\"train\",\"owner\":\"vision\",\"shape\":"        \
	"\"sweep\",\"tier\":\"urgent\"@,\"shards\":16,\"vcpus\":8.0,\"accelerators\":1.0,"         \
	"\"memGb\":64.0,\"bundle\":\"img-07\",\"sizeGb\":6.2,\"flavours\":[\"g8\"],\"hall\":null," \
	"\"samePlace\":true,\"spread\":false,\"reclaimable\":true,\"expectedS\":240.0,"            \
	"\"snapshotEveryS\":30.0,\"snapshotS\":4.0,\"dueS\":900.0@}"
#define HEARTBEAT                                                                                  \
	"{\"host\":\"n-000231\"@,\"address\":\"10.1.0.232:9000\",\"flavour\":\"g8\",\"hall\":"     \
	"\"a\",\"reclaimable\":true,\"tenure\":1,\"counter\":88,\"epoch\":41,\"warningS\":null,"   \
	"\"shards\":[{\"shard\":\"job-000412/3\",\"tryNo\":2,\"phase\":\"running\"@},"             \
	"{\"shard\":\"job-000398/0\"@,\"tryNo\":1,\"phase\":\"exited\",\"cause\":\"done\"}]@}"

static const struct message messages[] = {
    {"submission", JOB, WS_CALL_GET, 0},
    {"heartbeat", HEARTBEAT, WS_CALL_GET, -1},
    {"reply to commands", HEARTBEAT, WS_CALL_COMMANDS, 200},
    {"refusal of commands", HEARTBEAT, WS_CALL_COMMANDS, 409},
    {"record", "{\"k\":\"job/job-1\"@,\"value\":{\"x\":1},\"stamp\":412,\"permit\":7@}",
     WS_CALL_GET, 200},
    {"list of records",
     "{\"entries\":[{\"k\":\"a\"@,\"value\":7,\"stamp\":3@},{\"k\":\"b\",\"value\":{},"
     "\"stamp\":4}]@,\"hasNext\":true,\"ledgerRev\":431@}",
     WS_CALL_LIST, 200},
    {"reply to a watch",
     "{\"ledgerRev\":433@,\"news\":[{\"write\":\"c/9\",\"value\":{\"y\":[2]},\"stamp\":433@},"
     "{\"delete\":\"c/d\"@,\"stamp\":432}]@}",
     WS_CALL_WATCH, 200},
    {"transaction", "{\"ledgerRev\":432@}", WS_CALL_TRANSACTION, 200},
    {"failed transaction", "{\"failed\":[\"a/b\"]@,\"ledgerRev\":431@}", WS_CALL_TRANSACTION, 409},
    {"session", "{\"permit\":7@}", WS_CALL_SESSION_OPEN, 200},
    {"machine types",
     "{\"flavours\":[{\"name\":\"g8\"@,\"vcpus\":96,\"accelerators\":8,\"memGb\":768,"
     "\"localGb\":200,\"fetchGbPerS\":1.0,\"rate\":12.0,\"spotPrice\":4.5,\"startupS\":45,"
     "\"halls\":[\"a\",\"b\"]@}]@}",
     WS_CALL_MACHINE_TYPES, 200},
    {"instances",
     "{\"hosts\":[{\"nameId\":\"n-000231\"@,\"address\":\"10.1.0.232:9000\",\"flavour\":\"g8\","
     "\"hall\":\"a\",\"reclaimable\":true,\"phase\":\"running\",\"ageS\":61.5@}]@,"
     "\"hasNext\":true}",
     WS_CALL_INSTANCES, 200},
    {"scale-out", "{\"hosts\":[\"n-000231\",\"n-000232\"]@}", WS_CALL_SCALE_OUT, 200},
    {"no capacity", "{\"error\":\"no capacity\"@}", WS_CALL_SCALE_OUT, 503},
};
#define MESSAGES (sizeof(messages) / sizeof(messages[0]))

/* Returns the message with an unknown field at each place, without fields if `value` is NULL; the
 * caller frees it. */
static char *message_with(const struct message *message, const char *value)
{
	size_t length = value ? strlen(value) : 0, places = 0, end = 0;
	char *text;

	for (const char *c = message->text; *c; c++)
		places += *c == '@';
	text = malloc(strlen(message->text) + places * (length + 16) + 1);
	for (const char *c = message->text; *c; c++) {
		if (*c != '@')
			text[end++] = *c;
		else if (value)
			end += (size_t)sprintf(text + end, ",\"x_%zu\":%s", --places, value);
	}
	text[end] = 0;
	return text;
}

/* Whether a message was accepted, and a digest of what was decoded from it. */
struct decoded {
	bool accepted;
	uint64_t digest;
};

static struct decoded decode_request(const struct message *message, const char *text)
{
	struct digest *digest = message->status ? &heartbeats : &jobs;
	struct decoded decoded;
	struct ws_job_spec spec;
	struct ws_heartbeat heartbeat;

	digest->hash = FNV_OFFSET;
	if (message->status) {
		decoded.accepted = decode_heartbeat(text, strlen(text), &heartbeat);
		if (decoded.accepted)
			ws_heartbeat_free(&heartbeat);
	} else {
		decoded.accepted = decode_job(text, strlen(text), &spec) == 0;
	}
	decoded.digest = digest->hash;
	return decoded;
}

static bool reply_is_accepted(const struct ws_result *result)
{
	switch (result->http_status) {
	case 409:
		return result->kind == WS_CALL_COMMANDS ? result->heartbeat != NULL
							: result->transaction.failed_count == 1;
	case 503: return result->instances.no_capacity;
	default: return result->outcome == WS_OUTCOME_OK;
	}
}

static struct decoded decode(const struct message *message, const char *text)
{
	struct ws_call call = {.kind = message->kind};
	struct decoded decoded;
	struct ws_result result;

	if (message->status <= 0)
		return decode_request(message, text);
	if (message->kind == WS_CALL_GET)
		snprintf(call.read.key, sizeof(call.read.key), "job/job-1");
	replies.hash = FNV_OFFSET;
	decode_reply(&call, message->status, text, strlen(text), &result);
	decoded.accepted = reply_is_accepted(&result);
	decoded.digest = replies.hash;
	ws_result_free(&result);
	return decoded;
}

/* Checks that an unknown field with this value changes nothing in any message. */
static void check_ignored(const char *value, const char *what)
{
	for (size_t i = 0; i < MESSAGES; i++) {
		char *plain = message_with(&messages[i], NULL);
		char *odd = message_with(&messages[i], value), name[200];
		struct decoded expected = decode(&messages[i], plain);
		struct decoded decoded = decode(&messages[i], odd);

		snprintf(name, sizeof(name), "%s: unknown field %.60s", messages[i].name, what);
		check(name,
		      expected.accepted && decoded.accepted && decoded.digest == expected.digest);
		free(plain);
		free(odd);
	}
}

/* Checks that a message is refused which is no JSON within an unknown field. */
static void check_refused(const char *value, const char *what)
{
	for (size_t i = 0; i < MESSAGES; i++) {
		char *text = message_with(&messages[i], value), name[200];

		snprintf(name, sizeof(name), "%s: refuses %.60s", messages[i].name, what);
		check(name, !decode(&messages[i], text).accepted);
		free(text);
	}
}

/* A submission in another order and spelling is the same job. */
static void check_other_spelling(void)
{
	static const char respelled[] =
	    " {\"dueS\" : 9E2,\"snapshotS\":4,\"snapshotEveryS\":3e+1,\"expectedS\":240,"
	    "\"reclaimable\":true,\"spread\":false,\"samePlace\":true,\"x\":[1e400],"
	    "\"flavours\":[\"\\u0067\\u0038\"],\"sizeGb\":620e-2,\"bundle\":\"im\\u0067-07\","
	    "\"memGb\":64,\"accelerators\":1,\"vcpus\":0.8e1,\r\n\t\"shards\":1.6e1,"
	    "\"tier\":\"\\u0075rgent\",\"shape\":\"sweep\",\"owner\":\"vision\","
	    "\"jobclass\":\"trai\\u006e\",\"\\u006eameId\":\"job-00041\\u0032\"} ";
	char *plain = message_with(&messages[0], NULL);
	struct decoded expected = decode_request(&messages[0], plain);
	struct decoded decoded = decode_request(&messages[0], respelled);

	check("a submission in another order and spelling is the same job",
	      decoded.accepted && decoded.digest == expected.digest);
	free(plain);
}

/* Returns `levels` opening texts, a value, and as many closing characters; the caller frees it. */
static char *nested(const char *open, char close, size_t levels)
{
	char *text = malloc(levels * (strlen(open) + 1) + 2), *end = text;

	for (size_t i = 0; i < levels; i++)
		end = stpcpy(end, open);
	*end++ = '1';
	memset(end, close, levels);
	end[levels] = 0;
	return text;
}

static void check_large_values(void)
{
	char *lists = nested("[", ']', DEEP_LEVELS / 8);
	char *objects = nested("{\"a\":", '}', DEEP_LEVELS / 16);
	char *unclosed = strdup(lists);
	char *letters = malloc(LONG_TEXT + 3), *fields = malloc((size_t)MANY_FIELDS * 16),
	     *end = fields;

	check_ignored(lists, "lists nested deep");
	check_ignored(objects, "objects nested deep");
	unclosed[strlen(unclosed) - 1] = 0;
	check_refused(unclosed, "lists nested deep, one not closed");
	memset(letters, 'x', LONG_TEXT + 2);
	letters[0] = letters[LONG_TEXT + 1] = '"';
	letters[LONG_TEXT + 2] = 0;
	check_ignored(letters, "a long text");
	*end++ = '{';
	for (size_t i = 0; i < MANY_FIELDS; i++)
		end += sprintf(end, "%s\"f%zu\":%zu", i ? "," : "", i, i);
	memcpy(end, "}", 2);
	check_ignored(fields, "many fields");
	free(lists);
	free(objects);
	free(unclosed);
	free(letters);
	free(fields);
}

/* A submission of the longest allowed body, nested as deep as it can be. */
static void check_deepest_body(void)
{
	char *plain = message_with(&messages[0], NULL), *text = malloc(WS_BODY_MAX + 1);
	char *lists = nested("[", ']', DEEP_LEVELS);

	snprintf(text, WS_BODY_MAX + 1, "{\"x\":%s,%s", lists, plain + 1);
	check("a submission of 64 KiB nested as deep as possible is accepted",
	      decode_request(&messages[0], text).accepted);
	free(lists);
	free(text);
	free(plain);
}

/* Draws values for unknown fields, which change nothing, and damages messages, which must not end
 * the process. Prints the time of it. */
static void check_random_values(unsigned long first, unsigned long count)
{
	struct timespec begin, end;
	unsigned long executions = 0;
	double seconds;

	clock_gettime(CLOCK_MONOTONIC, &begin);
	for (unsigned long seed = first; seed < first + count; seed++) {
		char value[RANDOM_VALUE_MAX];

		random_json_seed(seed);
		check_ignored(random_json(value, sizeof(value)), value);
		for (size_t i = 0; i < MESSAGES; i++) {
			char *text = message_with(&messages[i], value);

			random_json_damage(text, strlen(text));
			decode(&messages[i], text);
			free(text);
		}
		executions += 3 * MESSAGES;
	}
	clock_gettime(CLOCK_MONOTONIC, &end);
	seconds = (double)(end.tv_sec - begin.tv_sec) + (double)(end.tv_nsec - begin.tv_nsec) / 1e9;
	printf("seeds %lu to %lu: %lu messages decoded, %.0f a second\n", first, first + count - 1,
	       executions, (double)executions / seconds);
}

/* With FIRST and COUNT it draws that many random values; else it checks those of odd_json.h. */
int main(int argc, char **argv)
{
	if (argc == 3) {
		check_random_values(strtoul(argv[1], NULL, 10), strtoul(argv[2], NULL, 10));
		printf("%d passed, %d failed\n", passed_checks, failed_checks);
		return failed_checks != 0;
	}
	for (size_t i = 0; i < ODD_COUNT; i++)
		check_ignored(odd_values[i], odd_values[i]);
	for (size_t i = 0; i < MALFORMED_COUNT; i++)
		check_refused(malformed_values[i], malformed_values[i]);
	check_other_spelling();
	check_large_values();
	check_deepest_body();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
