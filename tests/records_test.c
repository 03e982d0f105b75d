/*
 * Compatibility with the version in production: samples of its records and frames are decoded, and
 * records encoded here are checked against a copy of the rules of that version's decoder.
 */
#include "../src/core/core_state.h"
#include "check.h"
#include "codec.h"
#include "outage_vote.h"

/* Samples in the format of the version in production: a running array job, a queued gang, a
 * scale-out request, a shard of the fleet, the machine types. */
static const char array_job[] =
    "{\"ph\":\"running\",\"at\":1764642032.1234567,\"cl\":\"accrual-batch\",\"tm\":\"ledger-ops-"
    "03\","
    "\"sv\":false,\"ti\":2,\"n\":40,\"c\":4.0,\"g\":0.0,\"m\":17.0,\"im\":\"img-0007\","
    "\"gb\":1.2000000000000000,\"ty\":[\"std16\",\"std32\"],\"z\":\"\",\"fl\":4,\"e\":61.5,\"ck\":"
    "0.0,"
    "\"sa\":0.0,\"dl\":133.0,\"p\":[[41,\"huye\",\"n-0000\",\"31#5=20-22,30;32=23;40/2#9=24\"],"
    "[41,\"nyarugenge\",\"n-00005\",\"5#5=25-29\"],[57,\"huye\",\"n-00009\",\"1#1=31\"]],"
    "\"d\":\"0-19,33,\",\"nd\":21,\"nr\":12}";
static const char gang_job[] =
    "{\"ph\":\"queued\",\"at\":1.5,\"cl\":\"c\",\"tm\":\"t\",\"sv\":false,\"ti\":1,\"n\":3,\"c\":2."
    "0,"
    "\"g\":0.0,\"m\":12.8,\"im\":\"i\",\"gb\":1.0,\"ty\":[],\"z\":\"huye\",\"fl\":9,\"e\":30.0,"
    "\"ck\":20.0,\"sa\":3.0,\"dl\":-1.0}";
static const char scale_out_request[] =
    "{\"ty\":\"std16\",\"z\":\"huye\",\"sp\":true,\"n\":3,\"got\":true,"
    "\"h\":[\"n-000100\",\"n-000101\",\"n-000102\"]}";
static const char machine_shard[] =
    "{\"im\":[\"img-1\",\"img-2\"],\"m\":[[\"n-000001\",\"10.1.0.1\",9000,\"std16\",\"huye\",false,"
    "1,"
    "[0,1]],[\"n-000002\",\"10.1.0.2\",9000,\"std16\",\"huye\",true,3,[1]]]}";
static const char machine_types[] =
    "[[\"std16\",16.0,0.0,128.0,80.0,0.4,0.91,0.41,35.0,[\"huye\"]]]";

/* Returns whether the decoder of the version in production accepts a job record: it requires these
 * fields with these types. */
static bool production_accepts_job(json_t *value)
{
	static const char *const required[] = {
	    "ph:s", "at:f", "cl:s", "tm:s", "sv:b", "ti:i", "n:i",  "c:f",  "g:f", "m:f",
	    "im:s", "gb:f", "ty:a", "z:s",  "fl:i", "e:f",  "ck:f", "sa:f", "dl:f"};
	static const char *const phases = " queued running done withdrawn ";
	json_t *element, *attempts = json_object_get(value, "p"),
			 *done = json_object_get(value, "d");
	char name[8], phase[32];
	size_t i;

	for (i = 0; i < sizeof(required) / sizeof(required[0]); i++) {
		const char *colon = strchr(required[i], ':');

		snprintf(name, sizeof(name), "%.*s", (int)(colon - required[i]), required[i]);
		element = json_object_get(value, name);
		if (!(colon[1] == 's'	? json_is_string(element)
		      : colon[1] == 'f' ? json_is_number(element)
		      : colon[1] == 'b' ? json_is_boolean(element)
		      : colon[1] == 'i' ? json_is_integer(element)
					: json_is_array(element)))
			return false;
	}
	snprintf(phase, sizeof(phase), " %s ", json_string_value(json_object_get(value, "ph")));
	if (!strstr(phases, phase) || (done && !json_is_string(done)) ||
	    (attempts && !json_is_array(attempts)))
		return false;
	json_array_foreach (
	    attempts, i,
	    element) { /* [term, zone, name prefix, "suffix[/incarnation][#number]=1-3,5;..."] */
		const char *tasks = json_string_value(json_array_get(element, 3));
		bool has_number = false;

		if (json_array_size(element) != 4 || !json_is_integer(json_array_get(element, 0)) ||
		    !json_is_string(json_array_get(element, 1)) ||
		    !json_is_string(json_array_get(element, 2)) || !tasks || !*tasks)
			return false;
		for (const char *suffix = tasks; *suffix;) {
			size_t length = strcspn(suffix, "/#=;");

			if (!length)
				return false;
			suffix += length;
			if (*suffix == '/')
				suffix += 1 + strspn(suffix + 1, "0123456789");
			if (*suffix == '#') {
				has_number = true;
				suffix += 1 + strspn(suffix + 1, "0123456789");
			}
			if (*suffix != '=' || !has_number || !strspn(suffix + 1, "0123456789"))
				return false;
			suffix += 1 + strspn(suffix + 1, "0123456789-,");
			if (*suffix && *suffix != ';')
				return false;
			suffix += *suffix == ';';
		}
	}
	return true;
}

static bool has_attempt(const struct ws_recorded_attempt *recorded, size_t count,
			const char *machine, uint32_t task, uint64_t attempt, uint64_t incarnation)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(recorded[i].machine, machine) && recorded[i].task == task &&
		    recorded[i].incarnation == incarnation && recorded[i].number == attempt)
			return true;
	return false;
}

static void check_jobs(void)
{
	json_t *value = json_loads(array_job, 0, NULL);
	struct ws_job *job = ws_job_record_decode("job-000001", value);
	struct ws_recorded_attempt *recorded;
	size_t count;

	check("the production rules accept a record of the version in production",
	      production_accepts_job(value));
	check("the record of an array job is decoded",
	      job && job->phase == WS_JOB_RUNNING && job->spec.tasks == 40 &&
		  job->done_count == 21 && job->tasks[33].recorded && !job->tasks[20].done &&
		  job->spec.allows_preemptible && !job->spec.gang && job->spec.type_count == 2 &&
		  job->spec.deadline_s == 133);
	count = ws_attempt_list_decode(value, &recorded);
	check("all attempts are decoded", count == 12);
	check("an attempt in a range of tasks is decoded",
	      has_attempt(recorded, count, "n-000031", 21, (41ULL << 24) + 5, 1));
	check("an attempt in a list of tasks is decoded",
	      has_attempt(recorded, count, "n-000031", 30, (41ULL << 24) + 5, 1));
	check("an attempt that inherits the number of the preceding entry is decoded",
	      has_attempt(recorded, count, "n-000032", 23, (41ULL << 24) + 5, 1));
	check("an attempt with an incarnation is decoded",
	      has_attempt(recorded, count, "n-000040", 24, (41ULL << 24) + 9, 2));
	check("an attempt of another term is decoded",
	      has_attempt(recorded, count, "n-000091", 31, (57ULL << 24) + 1, 1));
	free(recorded);
	check("a cancelled record satisfies the production rules",
	      ws_job_record_cancel(value) && production_accepts_job(value) &&
		  ws_job_record_continuation_count(value) == 0);
	json_decref(value);
	if (job) {
		free(job->tasks);
		free(job);
	}
	value = json_loads(gang_job, 0, NULL);
	job = ws_job_record_decode("job-000002", value);
	check("the record of a gang is decoded",
	      job && job->spec.gang && job->spec.one_zone && !job->spec.spread &&
		  job->phase == WS_JOB_QUEUED && job->spec.checkpoint_interval_s == 20 &&
		  !strcmp(job->spec.zone, "huye"));
	json_decref(value);
	value = job ? ws_new_job_record_encode(&job->spec, WS_JOB_QUEUED, 1.5) : NULL;
	check("the encoded record of a gang satisfies the production rules",
	      value && production_accepts_job(value));
	json_object_del(value, "fl");
	check("the production rules refuse a missing field",
	      value && !production_accepts_job(value));
	json_decref(value);
	if (job) {
		free(job->tasks);
		free(job);
	}
}

/* A record from a version with values of 16 KiB: 400 attempts on as many machines. It is cancelled
 * and split for values of 2 KiB. */
static void check_split(void)
{
	json_t *value = json_loads(array_job, 0, NULL), *continuations[8];
	char text[8192];
	size_t len = 0, count, total;
	struct ws_recorded_attempt *recorded;

	for (int i = 0; i < 400; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len, "%s%03d%s=%d", i ? ";" : "",
					i, i ? "" : "#7", i);
	json_object_set_new(value, "n", json_integer(400));
	json_object_set_new(value, "p", json_pack("[[i,s,s,s]]", 41, "huye", "n-000", text));
	check("a large record of the version in production is decoded",
	      ws_attempt_list_decode(value, &recorded) == 400);
	free(recorded);
	ws_job_record_cancel(value);
	ws_job_record_split(value, 2000, continuations, 7, &count);
	check("the record is split",
	      count >= 1 && count <= 3 && ws_job_record_continuation_count(value) == count);
	check("the job record fits and satisfies the production rules",
	      ws_record_size(value) <= 2000 && production_accepts_job(value));
	total = ws_attempt_list_decode(value, &recorded);
	check("the job record has the first attempt",
	      has_attempt(recorded, total, "n-000000", 0, (41ULL << 24) + 7, 1));
	free(recorded);
	for (size_t i = 0; i < count; i++) {
		size_t found = ws_attempt_list_decode(continuations[i], &recorded);

		check("a continuation record fits", ws_record_size(continuations[i]) <= 2000);
		if (i + 1 == count)
			check("the last continuation record has the last attempt",
			      has_attempt(recorded, found, "n-000399", 399, (41ULL << 24) + 7, 1));
		total += found;
		free(recorded);
		json_decref(continuations[i]);
	}
	check("no attempt is lost", total == 400);
	json_object_set_new(value, "mo", json_integer(-1));
	check("a negative number of continuation records counts as none",
	      ws_job_record_continuation_count(value) == 0);
	json_object_set_new(value, "mo", json_integer(1LL << 40));
	check("a number of continuation records out of range counts as none",
	      ws_job_record_continuation_count(value) == 0);
	json_decref(value);
}

static struct ws_settings settings = {.node = "n",
				      .heartbeat_s = 2,
				      .lease_s = 16,
				      .store_rps = 250,
				      .store_write_rps = 35,
				      .value_kb = 2,
				      .transaction_ops = 4,
				      .zones = {"huye"},
				      .zone_count = 1};

static void check_other_records(void)
{
	struct ws_policy policy;
	struct ws_scale_out request = {0};
	struct ws_machine_type type[WS_MAX_TYPES];
	struct ws_core *core;
	struct ws_machine *machine;
	json_t *value = json_loads(scale_out_request, 0, NULL), *encoded;

	check("a scale-out record is decoded",
	      ws_scale_out_decode(value, &request) && request.instance_count == 3 &&
		  request.preemptible && request.state == WS_SCALE_OUT_GRANTED &&
		  !strcmp(request.instances[2], "n-000102"));
	encoded = ws_scale_out_encode(&request);
	check("a scale-out record is encoded unchanged", json_equal(value, encoded));
	json_decref(value);
	json_decref(encoded);
	free(request.instances);
	value = json_loads(machine_types, 0, NULL);
	check("machine types are decoded", ws_machine_types_decode(value, type) == 1 &&
					       type[0].cpus == 16 &&
					       !strcmp(type[0].zones[0], "huye"));
	encoded = ws_machine_types_encode(type, 1);
	check("machine types are encoded unchanged", json_equal(value, encoded));
	json_decref(value);
	json_decref(encoded);
	ws_policy_defaults(&policy);
	core = ws_core_new(&settings, &policy, NULL, 1, 1);
	value = json_loads(machine_shard, 0, NULL);
	ws_machine_shard_restore(core, value, 0);
	machine = ws_machine_find(core, "n-000002");
	check("a shard of the fleet is decoded",
	      machine && machine->port == 9000 && machine->incarnation == 3 &&
		  machine->preemptible && machine->image_cache_count == 1);
	encoded = ws_machine_shard_encode(core, 0);
	check("a shard of the fleet is encoded in the same format",
	      json_array_size(json_object_get(encoded, "m")) == 2 &&
		  json_array_size(json_array_get(json_object_get(encoded, "m"), 1)) == 8);
	json_decref(value);
	json_decref(encoded);
	ws_core_free(core);
}

/* Encoded frames: a forwarded heartbeat, a frame with an unknown kind and an unknown field, and
 * a reply. */
static void check_frames(void)
{
	static const uint8_t heartbeat[] =
	    "\x08\x01\x10\x07\x1a\x06node-1\x22\x04POST\x2a\x08/checkin"
	    "\x32\x02{}";
	static const uint8_t unknown_kind[] = "\x08\x09\x10\x08\x1a\x06node-1\x98\x06\x05";
	static const uint8_t reply[] = "\x10\x07\x38\xf7\x03\x40\x01";
	uint8_t out[64];
	Ws__PeerFrame *frame = ws__peer_frame__unpack(NULL, sizeof(heartbeat) - 1, heartbeat);

	check("a forwarded heartbeat is decoded",
	      frame && frame->kind == WS__PEER_FRAME__KIND__HEARTBEAT && frame->id == 7 &&
		  !strcmp(frame->path, "/checkin") && frame->body.len == 2);
	check("a forwarded heartbeat is encoded to the same bytes",
	      frame && ws__peer_frame__pack(frame, out) == sizeof(heartbeat) - 1 &&
		  !memcmp(out, heartbeat, sizeof(heartbeat) - 1));
	ws__peer_frame__free_unpacked(frame, NULL);
	frame = ws__peer_frame__unpack(NULL, sizeof(unknown_kind) - 1, unknown_kind);
	check("a frame of an unknown kind is decoded", frame && frame->kind == 9 && frame->id == 8);
	ws__peer_frame__free_unpacked(frame, NULL);
	frame = ws__peer_frame__unpack(NULL, sizeof(reply) - 1, reply);
	check("a reply is decoded", frame && frame->kind == WS__PEER_FRAME__KIND__REPLY &&
					frame->status == 503 && frame->retry_after == 1);
	ws__peer_frame__free_unpacked(frame, NULL);
}

/* Round trip of the request and the answer of an outage vote. An invalid answer, or one without a
 * vote, as the version in production sends it, grants nothing. */
static void check_outage_votes(void)
{
	struct ws_cancellation list[] = {{"job-000007", 41}, {"job-000003", 43}};
	struct ws_effect effect = {
	    .kind = WS_EFFECT_ANSWER_VOTE,
	    .answer = WS_ANSWER_UNAVAILABLE,
	    .vote = {
		.granted = true, .has_more = true, .counts_leases = true, .cancellation_count = 2}};
	struct ws_call call = {.kind = WS_CALL_OUTAGE_VOTE,
			       .outage_vote = {.after_job = "job-000002",
					       .since_revision = 40,
					       .leader_revision = 12}};
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT, *decoded;
	Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;
	struct ws_result result;
	uint8_t out[256];
	size_t length;

	ws_vote_encode_request(&frame, &vote, &call);
	length = ws__peer_frame__pack(&frame, out);
	decoded = ws__peer_frame__unpack(NULL, length, out);
	check("the request of an outage vote is decoded",
	      decoded && decoded->kind == WS__PEER_FRAME__KIND__OUTAGE_VOTE &&
		  decoded->vote->leader_revision == 12 && decoded->vote->since_revision == 40 &&
		  !strcmp(decoded->vote->after_job, "job-000002"));
	ws__peer_frame__free_unpacked(decoded, NULL);

	effect.vote.cancellations = list;
	ws__peer_frame__init(&frame);
	ws__outage_vote__init(&vote);
	ws_vote_encode_reply(&frame, &vote, &effect);
	length = ws__peer_frame__pack(&frame, out);
	ws_vote_free(&vote);
	decoded = ws__peer_frame__unpack(NULL, length, out);
	check("the answer of an outage vote is decoded",
	      decoded && ws_vote_decode_reply(decoded, &result) &&
		  result.outcome == WS_OUTCOME_UNAVAILABLE && result.vote.granted &&
		  result.vote.has_more && result.vote.counts_leases &&
		  result.vote.cancellation_count == 2 &&
		  result.vote.cancellations[1].revision == 43 &&
		  !strcmp(result.vote.cancellations[0].job, "job-000007"));
	ws_result_free(&result);
	ws__peer_frame__free_unpacked(decoded, NULL);
}

/* Answers that are invalid, lack the vote or come from an earlier version. */
static void check_other_vote_answers(void)
{
	struct ws_cancellation list[] = {{"job-000007", 41}, {"job-000003", 43}};
	struct ws_effect effect = {
	    .kind = WS_EFFECT_ANSWER_VOTE,
	    .answer = WS_ANSWER_UNAVAILABLE,
	    .vote = {
		.granted = true, .has_more = true, .cancellations = list, .cancellation_count = 2}};
	Ws__PeerFrame frame = WS__PEER_FRAME__INIT;
	Ws__OutageVote vote = WS__OUTAGE_VOTE__INIT;
	struct ws_result result;

	ws_vote_encode_reply(&frame, &vote, &effect);
	check("a vote of the version before does not count leases",
	      ws_vote_decode_reply(&frame, &result) && result.vote.granted &&
		  !result.vote.counts_leases);
	ws_result_free(&result);
	ws_vote_free(&vote);

	snprintf(list[1].job, sizeof(list[1].job), "no/job");
	ws__peer_frame__init(&frame);
	ws__outage_vote__init(&vote);
	ws_vote_encode_reply(&frame, &vote, &effect);
	check("an answer with an invalid job name is refused",
	      !ws_vote_decode_reply(&frame, &result) && result.outcome != WS_OUTCOME_UNAVAILABLE &&
		  !result.vote.granted && !result.vote.cancellations);
	ws_vote_free(&vote);

	effect.vote.granted = false;
	ws__peer_frame__init(&frame);
	ws_vote_encode_reply(&frame, &vote, &effect);
	check("an answer without a vote grants nothing",
	      !frame.vote && ws_vote_decode_reply(&frame, &result) &&
		  result.outcome == WS_OUTCOME_UNAVAILABLE && !result.vote.granted);
}

/* Invalid records are refused with the matching outcome. */
static void check_refused(void)
{
	static const struct {
		const char *text;
		enum ws_record_outcome outcome;
	} requests[] = {
	    {"{}", WS_RECORD_MALFORMED},
	    {"{\"ty\":\"t\",\"z\":\"a\",\"sp\":false,\"n\":\"1\",\"got\":false,\"h\":[]}",
	     WS_RECORD_MALFORMED},
	    {"{\"ty\":\"t\",\"z\":\"a\",\"sp\":false,\"n\":0,\"got\":false,\"h\":[]}",
	     WS_RECORD_OUT_OF_RANGE},
	    {"{\"ty\":\"t\",\"z\":\"a\",\"sp\":false,\"n\":51,\"got\":false,\"h\":[]}",
	     WS_RECORD_OUT_OF_RANGE},
	    {"{\"ty\":\"t\",\"z\":\"a\",\"sp\":false,\"n\":50,\"got\":false,\"h\":[]}",
	     WS_RECORD_DECODED},
	};
	struct ws_scale_out_record request;
	struct ws_leader_record leader;
	json_t *value;

	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		value = json_loads(requests[i].text, 0, NULL);
		check(requests[i].text,
		      ws_scale_out_record_decode(value, &request) == requests[i].outcome);
		json_decref(value);
	}
	value = json_pack("{s:i}", "life", 5);
	check("a leader record without a node is malformed",
	      ws_leader_record_decode(value, &leader) == WS_RECORD_MALFORMED);
	json_decref(value);
}

int main(void)
{
	check_jobs();
	check_split();
	check_other_records();
	check_refused();
	check_frames();
	check_outage_votes();
	check_other_vote_answers();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
