/*
 * Records of the store: the values that the cluster keeps under keys of the core, encoded
 * to JSON and decoded from it. Nothing here changes a key's revision, decides when a record is
 * written, or knows struct ws_core; the adapters between the core's state and these records are
 * src/core/machine_shards.c and src/core/stored_state.c.
 *
 *   key              value                                     written by
 *   ---------------- ----------------------------------------- ----------------------------------
 *   leader           node that leads, its process incarnation  the candidate, bound to its store
 *                                                              session
 *   owned            name of the last machine that is owned    the leader, once
 *   types            machine types of the cloud                the leader, once
 *   job/<id>         a live job: description, phase, attempts  any node at submission and
 *                    that may be alive, completed tasks        cancellation, then the leader
 *   more/<id>/<n>    attempts of a cancelled job for which     the node that cancels it; deleted
 *                    its own record has no room                by the leader
 *   old/<id>         an archived job: phase, completed tasks   the leader
 *   fleet/<n>        a shard of the machines: address, type,   the leader
 *                    zone, incarnation, cached images
 *   rental/<key>     a scale-out request, by its idempotency   the leader
 *                    key, and the instances that it brought
 *
 * The short names of the JSON fields stand in record_fields.h, each with what it means. Values are
 * limited in size, which is why they are short and why attempts and tasks are packed into text.
 *
 * Decoders ignore fields they do not know. What they refuse, they refuse whole, unless said
 * otherwise. Encoders return a new reference. Memory that can't be had ends the program.
 */
#ifndef WS_RECORDS_H
#define WS_RECORDS_H
#include "../core.h"

/* Keys, and the prefixes of keys that go on with a name or a number. */
#define WS_KEY_LEADER "leader"
#define WS_KEY_OWNED_MACHINES "owned"
#define WS_KEY_MACHINE_TYPES "types"
#define WS_KEY_PREFIX_JOB "job/"
#define WS_KEY_PREFIX_JOB_CONTINUATION "more/"
#define WS_KEY_PREFIX_ARCHIVED_JOB "old/"
#define WS_KEY_PREFIX_MACHINE_SHARD "fleet/"
#define WS_KEY_PREFIX_SCALE_OUT "rental/"

/* An attempt's number: the leader key's revision, shifted by this, plus a sequence number. */
#define WS_ATTEMPT_SHIFT 24
/* Cached images of one machine that its shard's record names. */
#define WS_CACHE_KEPT 12
/* Instances of one scale-out request. */
#define WS_SCALE_OUT_MAX 50

struct ws_attempt;
struct ws_job;

/* What became of decoding a record. */
enum ws_record_outcome {
	WS_RECORD_DECODED,
	WS_RECORD_MALFORMED,	/* a field is missing or of another type */
	WS_RECORD_OUT_OF_RANGE, /* a number is not one that a record of this kind can have */
};

/* Bytes of a record as it is sent; 0: it can't be encoded. */
size_t ws_record_size(json_t *record);

/* ---- job_record.c: job/<id> and old/<id> ---- */

/* A new job's record: its description, without attempts or completed tasks. `wall`: when it was
 * submitted, in seconds of the time of day. */
json_t *ws_record_spec(const struct ws_job_spec *spec, enum ws_job_phase phase, double wall);

/*
 * A live job's record, of at most `limit` bytes: its description, the attempts that may be alive,
 * in zones numbered below `zone_count`, and its completed tasks. Marks the attempts and the tasks
 * that it names as being written. Completed tasks that have no room stay out: they are not marked,
 * so not reaped, and their results wait on their machines. NULL: not even the attempts fit.
 */
json_t *ws_job_record_encode(const struct ws_job *job, int zone_count, size_t limit);

/* The job that a record describes, without its attempts; the caller frees it and its tasks. NULL:
 * the record is malformed or out of range. */
struct ws_job *ws_record_read_job(const char *id, json_t *record);

/* An archived job's record. */
json_t *ws_record_final(const struct ws_job *job);

/* What polls are answered from, of a live or an archived job. False: the record has no phase. */
bool ws_record_read_phase(json_t *record, enum ws_job_phase *phase, uint32_t *done,
			  uint32_t *running);

/* Makes a live job's record say that it is cancelled. False: it can't be changed. */
bool ws_record_cancel(json_t *record);

/* ---- attempt_list.c: the attempts that a job's record or a continuation record names ---- */

/* An attempt as a record names it. */
struct ws_recorded_attempt {
	char machine[WS_NAME_MAX], zone[WS_NAME_MAX];
	uint64_t incarnation, number;
	uint32_t task;
};

/* The attempts that a record names, as many as could be decoded. Returns their number; the caller
 * frees the list. */
size_t ws_record_read_attempts(json_t *record, struct ws_recorded_attempt **list);

/*
 * Bytes that an attempt adds to its job's record at the most, behind `before`, the live one before
 * it in the job's list (NULL: none). `shared_prefix`: length of what the names of all machines
 * begin with. When others of the list go, the record never grows by it.
 */
size_t ws_attempt_list_growth(const struct ws_attempt *before, const struct ws_attempt *attempt,
			      size_t shared_prefix);

/* ---- continuation_record.c: more/<id>/<n> ---- */

/*
 * Splits the record of a job that was cancelled: attempts that do not fit `limit` bytes move to at
 * most `most` continuation records, of which `count` are made. The completed tasks are dropped.
 * Attempts that fit none of them are lost to the records.
 */
void ws_record_split_attempts(json_t *record, size_t limit, json_t **continuations,
			      size_t continuations_max, size_t *count);

/* How many continuation records a job's record has. */
uint32_t ws_record_continuation_count(json_t *record);

/* ---- machine_shard_record.c: fleet/<n> ---- */

/* One machine of a shard. Strings are borrowed. */
struct ws_machine_record {
	const char *name, *address, *type, *zone;
	int port;
	bool preemptible;
	uint64_t incarnation;
	int images[WS_CACHE_KEPT]; /* cached images, newest first, as indices of the shard's names
				    */
	int image_count;
};

struct ws_machine_shard_record {
	struct ws_machine_record *machines;
	size_t machine_count;
	const char **image_names; /* may hold more than the machines refer to */
	size_t image_name_count;
};

/* A shard's record of at most `limit` bytes: machines are left out from the first one that does not
 * fit, then images that have no room. */
json_t *ws_machine_shard_record_encode(const struct ws_machine_shard_record *record, size_t limit);

/* Machines and images that can't be decoded are left out. The strings are those of `value`; free
 * the record with ws_machine_shard_record_free(). */
void ws_machine_shard_record_decode(json_t *value, struct ws_machine_shard_record *record);

/* Frees what decoding allocated. */
void ws_machine_shard_record_free(struct ws_machine_shard_record *record);

/* ---- scale_out_record.c: rental/<idempotency key> ---- */

/* A scale-out request. Strings are borrowed. */
struct ws_scale_out_record {
	const char *type, *zone;
	bool preemptible;
	uint32_t count; /* instances asked for */
	bool acquired;	/* the cloud has confirmed it, with the instances below */
	const char *instances[WS_SCALE_OUT_MAX];
	uint32_t instance_count;
};

/* A scale-out request's record. */
json_t *ws_scale_out_record_encode(const struct ws_scale_out_record *record);

/* The strings are those of `value`. */
enum ws_record_outcome ws_scale_out_record_decode(json_t *value,
						  struct ws_scale_out_record *record);

/* ---- leader_record.c: leader ---- */

/* Who is the leader. Strings are borrowed. */
struct ws_leader_record {
	const char *node;
	uint64_t process_incarnation; /* tells two processes of one node apart; below 2^63 */
};

/* The leader key's value. */
json_t *ws_leader_record_encode(const struct ws_leader_record *record);

/* The node is a string of `value`; a record without an incarnation has 0. */
enum ws_record_outcome ws_leader_record_decode(json_t *value, struct ws_leader_record *record);

/* The node that a leader's record names, or NULL. */
const char *ws_record_leader_node(json_t *value);

/* ---- machine_type_record.c: types ---- */

/* The record of all machine types. */
json_t *ws_record_types(const struct ws_machine_type *types, size_t count);

/* Decodes up to WS_MAX_TYPES types and returns their number; those that are malformed are left
 * out. */
size_t ws_record_read_types(json_t *record, struct ws_machine_type *types);
#endif
