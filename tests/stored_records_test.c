/*
 * Round trip of stored records: each record of a file is decoded and encoded again, and must keep
 * its bytes. The only argument is the path of the file.
 */
#include "../src/core/core_state.h"
#include "check.h"

#define FIXTURE_LIMIT (1 << 20) /* bytes of a value; no record is split */
#define FIXTURE_SPLIT_LIMIT 960 /* bytes; the split records were written for values of 1 KiB */
#define FIXTURE_ATTEMPTS_MAX 1000
#define FIXTURE_RECORDS_MIN 100

struct stored_record {
	char key[WS_KEY_MAX];
	char *text;
	json_t *value;
};

struct stored_records {
	struct stored_record *records;
	size_t count;
};

/* Reads lines of the form "key value"; lines that begin with # are comments. */
static struct stored_records fixture_read(const char *path)
{
	struct stored_records stored = {0};
	char *line = NULL;
	size_t capacity = 0;
	FILE *file = fopen(path, "r");

	while (file && getline(&line, &capacity, file) > 0) {
		struct stored_record *record;
		char *text = strchr(line, ' ');

		if (line[0] == '#' || !text)
			continue;
		stored.records =
		    realloc(stored.records, (stored.count + 1) * sizeof(*stored.records));
		if (!stored.records)
			abort();
		record = &stored.records[stored.count++];
		snprintf(record->key, sizeof(record->key), "%.*s", (int)(text - line), line);
		record->text = strndup(text + 1, strcspn(text + 1, "\n"));
		record->value = json_loads(record->text, 0, NULL);
	}
	free(line);
	if (file)
		fclose(file);
	return stored;
}

static void fixture_free(struct stored_records *stored)
{
	for (size_t i = 0; i < stored->count; i++) {
		free(stored->records[i].text);
		json_decref(stored->records[i].value);
	}
	free(stored->records);
}

/* Returns whether a value encodes to the bytes of the record. Releases the value. */
static bool same_bytes(const struct stored_record *record, json_t *encoded)
{
	char *text = encoded ? json_dumps(encoded, JSON_COMPACT) : NULL;
	bool same = text && !strcmp(text, record->text);

	if (!same)
		printf("%s\n  was %s\n  is  %s\n", record->key, record->text, text ? text : "none");
	free(text);
	json_decref(encoded);
	return same;
}

/* A decoded job with the attempts in its record and the machines that they run on. */
struct decoded_job {
	struct ws_job *job;
	struct ws_attempt attempts[FIXTURE_ATTEMPTS_MAX];
	struct ws_machine machines[FIXTURE_ATTEMPTS_MAX];
	int machine_count, zone_count;
};

/* Numbers zones in the order in which the record names them. Returns -1 for an empty name. */
static int decoded_zone(struct decoded_job *decoded, const char *zone)
{
	for (int i = 0; i < decoded->machine_count; i++)
		if (!strcmp(decoded->machines[i].zone, zone))
			return decoded->machines[i].zone_index;
	return zone[0] ? decoded->zone_count++ : -1;
}

static struct ws_machine *decoded_machine(struct decoded_job *decoded,
					  const struct ws_recorded_attempt *recorded)
{
	struct ws_machine *machine;

	for (int i = 0; i < decoded->machine_count; i++)
		if (!strcmp(decoded->machines[i].name, recorded->machine))
			return &decoded->machines[i];
	machine = &decoded->machines[decoded->machine_count];
	machine->zone_index = decoded_zone(decoded, recorded->zone);
	snprintf(machine->name, sizeof(machine->name), "%s", recorded->machine);
	snprintf(machine->zone, sizeof(machine->zone), "%s", recorded->zone);
	decoded->machine_count++;
	return machine;
}

static bool decode_job(struct decoded_job *decoded, const struct stored_record *record)
{
	struct ws_recorded_attempt *list;
	size_t count = ws_attempt_list_decode(record->value, &list);

	decoded->job = ws_job_record_decode(record->key + strlen(WS_KEY_PREFIX_JOB), record->value);
	for (size_t i = 0; decoded->job && i < count && i < FIXTURE_ATTEMPTS_MAX; i++) {
		struct ws_attempt *attempt = &decoded->attempts[i];

		attempt->machine = decoded_machine(decoded, &list[i]);
		attempt->task = list[i].task;
		attempt->number = list[i].number;
		attempt->incarnation = list[i].incarnation;
		attempt->state = WS_ATTEMPT_RECORDED;
		DL_APPEND2(decoded->job->attempts, attempt, job_prev, job_next);
		if (attempt->machine->zone_index >= 0)
			decoded->job->attempts_by_zone[attempt->machine->zone_index]++;
	}
	free(list);
	if (decoded->job)
		decoded->job->attempt_count = (uint32_t)count;
	return decoded->job && count <= FIXTURE_ATTEMPTS_MAX;
}

static json_t *encode_job(struct decoded_job *decoded)
{
	struct ws_attempt *listed[FIXTURE_ATTEMPTS_MAX];
	struct ws_attempt_slice slice = {.attempts = listed};
	struct ws_attempt *attempt;
	size_t bytes;

	DL_FOREACH2 (decoded->job->attempts, attempt, job_next)
		listed[slice.count++] = attempt;
	return ws_job_record_encode(decoded->job, &slice, 0, decoded->zone_count, FIXTURE_LIMIT,
				    &bytes);
}

static bool job_keeps_bytes(const struct stored_record *record)
{
	struct decoded_job *decoded = calloc(1, sizeof(*decoded));
	bool same = decoded && decode_job(decoded, record);
	bool has_attempts = json_object_get(record->value, "p");

	if (same)
		same = same_bytes(
		    record, has_attempts
				? encode_job(decoded)
				: ws_new_job_record_encode(&decoded->job->spec, decoded->job->phase,
							   decoded->job->submitted_at_wall));
	if (decoded && decoded->job) {
		free(decoded->job->tasks);
		free(decoded->job);
	}
	free(decoded);
	return same;
}

/* Cancels and splits the job record `before`. The records that follow it in the file must be the
 * result: the job record and its continuation records. */
static bool split_keeps_bytes(const struct stored_record *before)
{
	enum { CONTINUATIONS_MAX = 7 };
	json_t *continuations[CONTINUATIONS_MAX], *record = json_deep_copy(before->value);
	size_t count;
	bool same;

	ws_job_record_cancel(record);
	ws_job_record_split(record, FIXTURE_SPLIT_LIMIT, continuations, CONTINUATIONS_MAX, &count);
	same = count && ws_job_record_continuation_count(before[1].value) == count;
	same &= same_bytes(&before[1], record);
	for (size_t i = 0; i < count; i++)
		same &= same_bytes(&before[2 + i], continuations[i]);
	return same;
}

static bool archived_job_keeps_bytes(const struct stored_record *record)
{
	struct ws_job job = {0};
	uint32_t running;

	return ws_job_status_decode(record->value, &job.phase, &job.done_count, &running) &&
	       !running && same_bytes(record, ws_archived_job_record_encode(&job));
}

static bool shard_keeps_bytes(const struct stored_record *record)
{
	struct ws_machine_shard_record shard;
	bool same;

	ws_machine_shard_record_decode(record->value, &shard);
	same = shard.machine_count == json_array_size(json_object_get(record->value, "m")) &&
	       same_bytes(record, ws_machine_shard_record_encode(&shard, FIXTURE_LIMIT));
	ws_machine_shard_record_free(&shard);
	return same;
}

static bool scale_out_keeps_bytes(const struct stored_record *record)
{
	struct ws_scale_out_record request;

	return ws_scale_out_record_decode(record->value, &request) == WS_RECORD_DECODED &&
	       same_bytes(record, ws_scale_out_record_encode(&request));
}

static bool leader_keeps_bytes(const struct stored_record *record)
{
	struct ws_leader_record leader;

	return ws_leader_record_decode(record->value, &leader) == WS_RECORD_DECODED &&
	       same_bytes(record, ws_leader_record_encode(&leader));
}

static bool types_keep_bytes(const struct stored_record *record)
{
	struct ws_machine_type types[WS_MAX_TYPES];
	size_t count = ws_machine_types_decode(record->value, types);

	return same_bytes(record, ws_machine_types_encode(types, count));
}

static bool has_prefix(const struct stored_record *record, const char *prefix)
{
	return !strncmp(record->key, prefix, strlen(prefix));
}

/* Checks a record of any kind. Continuation records are only decoded here; split_keeps_bytes()
 * checks their bytes together with the record of their job. */
static bool keeps_bytes(const struct stored_record *record)
{
	if (has_prefix(record, WS_KEY_PREFIX_JOB))
		return ws_job_record_continuation_count(record->value)
			   ? split_keeps_bytes(record - 1)
			   : job_keeps_bytes(record);
	if (has_prefix(record, WS_KEY_PREFIX_ARCHIVED_JOB))
		return archived_job_keeps_bytes(record);
	if (has_prefix(record, WS_KEY_PREFIX_MACHINE_SHARD))
		return shard_keeps_bytes(record);
	if (has_prefix(record, WS_KEY_PREFIX_SCALE_OUT))
		return scale_out_keeps_bytes(record);
	if (has_prefix(record, WS_KEY_PREFIX_JOB_CONTINUATION)) {
		struct ws_recorded_attempt *list;
		size_t count = ws_attempt_list_decode(record->value, &list);

		free(list);
		return count > 0;
	}
	if (!strcmp(record->key, WS_KEY_LEADER))
		return leader_keeps_bytes(record);
	return !strcmp(record->key, WS_KEY_MACHINE_TYPES) && types_keep_bytes(record);
}

static void stored_records(const char *path)
{
	struct stored_records stored = fixture_read(path);

	check("the file has the minimum number of records", stored.count >= FIXTURE_RECORDS_MIN);
	for (size_t i = 0; i < stored.count; i++) {
		char what[WS_KEY_MAX + 64];

		snprintf(what, sizeof(what), "stored record %zu, %s, keeps its bytes", i + 1,
			 stored.records[i].key);
		check(what, stored.records[i].value && keeps_bytes(&stored.records[i]));
	}
	fixture_free(&stored);
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: stored_records_test STORED_RECORDS\n");
		return 2;
	}
	stored_records(argv[1]);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
