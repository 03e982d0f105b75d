/*
 * Records of the store: the JSON values of the core's keys, and the functions that encode and
 * decode them. This code does not use struct ws_core, does not change the revisions of keys and
 * does not decide when a record is written. Adapters between the core's state and these records are
 * declared in src/core/record_sources.h.
 *
 *   key              value                                     written by
 *   ---------------- ----------------------------------------- ----------------------------------
 *   leader           leading node, its process incarnation     the candidate, bound to its store
 *                                                              session
 *   owned            name of the last owned machine            the leader, once
 *   types            machine types of the cloud                the leader, once
 *   job/<id>         a live job: description, phase, attempts  any node at submission and
 *                    that may be running, completed tasks      cancellation, then the leader
 *   more/<id>/<n>    attempts of a job that do not fit into    the leader; a node that cancels a
 *                    the job's own record                      job whose record is too large
 *   old/<id>         an archived job: phase, completed tasks   the leader
 *   fleet/<n>        a shard of the machines: address, type,   the leader
 *                    zone, incarnation, cached images
 *   rental/<key>     a scale-out request, by its idempotency   the leader
 *                    key, and the instances started for it
 *
 * The names of the JSON fields are defined in record_fields.h. They are short, and attempts and
 * tasks are packed into text, because the store limits the size of values.
 *
 * Decoders ignore unknown fields and reject a malformed record as a whole unless their comment says
 * otherwise. Encoders return a new reference. The process aborts if an allocation fails, unless a
 * function's comment says otherwise.
 */
#ifndef WS_RECORDS_H
#define WS_RECORDS_H
#include "../core.h"

/* Keys, and prefixes of keys that continue with a name or a number. */
#define WS_KEY_LEADER "leader"
#define WS_KEY_OWNED_MACHINES "owned"
#define WS_KEY_MACHINE_TYPES "types"
#define WS_KEY_PREFIX_JOB "job/"
#define WS_KEY_PREFIX_JOB_CONTINUATION "more/"
#define WS_KEY_PREFIX_ARCHIVED_JOB "old/"
#define WS_KEY_PREFIX_MACHINE_SHARD "fleet/"
#define WS_KEY_PREFIX_SCALE_OUT "rental/"

/* An attempt number is the leader key's revision, shifted left by this many bits, plus a sequence
 * number. */
#define WS_ATTEMPT_SHIFT 24
/* Largest number of cached images that a shard's record lists for one machine. */
#define WS_RECORD_IMAGES_MAX 12
/* Largest number of instances of one scale-out request. */
#define WS_SCALE_OUT_INSTANCES_MAX 50

struct ws_attempt;
struct ws_job;

/* The result of decoding a record. */
enum ws_record_outcome {
	WS_RECORD_DECODED,
	WS_RECORD_MALFORMED,	/* a field is missing or has the wrong type */
	WS_RECORD_OUT_OF_RANGE, /* a value is outside the range that this kind of record allows */
};

/* Returns the size of a record in its encoded form, in bytes, or 0 if it cannot be encoded. */
size_t ws_record_size(json_t *record);

/* ---- job_record.c: job/<id> and old/<id> ---- */

/* Encodes a new job's record, which has a description but no attempts or completed tasks.
 * `submitted_at_wall` is the wall-clock time of its submission, in seconds. */
json_t *ws_new_job_record_encode(const struct ws_job_spec *spec, enum ws_job_phase phase,
				 double submitted_at_wall);

/* The attempts that one record lists, in the order of their job's list. */
struct ws_attempt_slice {
	struct ws_attempt *const *attempts;
	size_t count;
};

/*
 * Encodes a live job's own record of at most `limit` bytes: its description, the attempts that it
 * lists, in zones with an index below `zone_count`, the number of its continuation records, and its
 * completed tasks. Marks the completed tasks in the record as being written. Those that do not fit
 * are left out and not marked; they are therefore not reaped, and their results stay on their
 * machines. Returns NULL if the attempts do not fit. Stores in `bytes` the size of the record apart
 * from the completed tasks, whether it fits or not.
 */
json_t *ws_job_record_encode(const struct ws_job *job, const struct ws_attempt_slice *listed,
			     uint32_t continuation_count, int zone_count, size_t limit,
			     size_t *bytes);

/* Decodes a job's record, except for its attempts. Returns NULL if the record is malformed or out
 * of range, or if memory is exhausted. The caller frees the job and its tasks. */
struct ws_job *ws_job_record_decode(const char *id, json_t *record);

/* Encodes the record of an archived job. */
json_t *ws_archived_job_record_encode(const struct ws_job *job);

/* Decodes the phase and the task counts, which answer status queries, from the record of a live or
 * an archived job. Returns false if the phase is missing or unknown, or a count is malformed. */
bool ws_job_status_decode(json_t *record, enum ws_job_phase *phase, uint32_t *done,
			  uint32_t *running);

/* Sets the phase in a live job's record to cancelled. Returns false if the record could not be
 * changed. */
bool ws_job_record_cancel(json_t *record);

/* ---- attempt_list.c: the attempts in a job's record or a continuation record ---- */

/* An attempt as it is stored in a record. */
struct ws_recorded_attempt {
	char machine[WS_NAME_MAX], zone[WS_NAME_MAX];
	uint64_t incarnation, number;
	uint32_t task;
};

/* Decodes the attempts in a record, skipping malformed parts of the list. Returns their number. The
 * caller frees the list. */
size_t ws_attempt_list_decode(json_t *record, struct ws_recorded_attempt **list);

/*
 * Returns an upper bound on the bytes that an attempt adds to its job's record. `previous` is the
 * live attempt before it in the job's list, or NULL if there is none; `shared_prefix` is the length
 * of the common prefix of all machine names. The removal of other attempts from the list never
 * makes the record larger.
 */
size_t ws_attempt_list_growth(const struct ws_attempt *previous, const struct ws_attempt *attempt,
			      size_t shared_prefix);

/* ---- continuation_record.c: more/<id>/<n> ---- */

/* Encodes a continuation record. */
json_t *ws_continuation_record_encode(const struct ws_attempt_slice *listed, int zone_count);

/*
 * Splits the record of a cancelled job so that it has at most `limit` bytes. Attempts that do not
 * fit move to at most `continuations_max` continuation records, which follow those that the record
 * names already; their number is stored in `count`. The completed tasks are removed from the
 * record. Attempts that do not fit into any of these records are not recorded any more.
 */
void ws_job_record_split(json_t *record, size_t limit, json_t **continuations,
			 size_t continuations_max, size_t *count);

/* Largest number of continuation records of a job: one for each task. */
#define WS_CONTINUATIONS_MAX WS_MAX_TASKS

/* Returns the number of continuation records that belong to a job's record; 0 if it is out of
 * range.
 */
uint32_t ws_job_record_continuation_count(json_t *record);

/* ---- machine_shard_record.c: fleet/<n> ---- */

/* One machine of a shard. Strings are borrowed. */
struct ws_machine_record {
	const char *name, *address, *type, *zone;
	int port;
	bool preemptible;
	uint64_t incarnation;
	int images[WS_RECORD_IMAGES_MAX]; /* indices into image_names, newest first */
	int image_count;
};

struct ws_machine_shard_record {
	struct ws_machine_record *machines;
	size_t machine_count;
	const char **image_names; /* may contain names that no machine refers to */
	size_t image_name_count;
};

/* Encodes a shard's record of at most `limit` bytes. The first machine that does not fit and all
 * machines after it are left out; images are left out if they do not fit beside the machines. */
json_t *ws_machine_shard_record_encode(const struct ws_machine_shard_record *record, size_t limit);

/* Decodes a shard's record, leaving out malformed machines and images. The strings are owned by
 * `value`. The caller frees the record with ws_machine_shard_record_free(). */
void ws_machine_shard_record_decode(json_t *value, struct ws_machine_shard_record *record);

/* Frees the memory that decoding allocated. */
void ws_machine_shard_record_free(struct ws_machine_shard_record *record);

/* ---- scale_out_record.c: rental/<idempotency key> ---- */

/* A scale-out request. Strings are borrowed. */
struct ws_scale_out_record {
	const char *type, *zone;
	bool preemptible;
	uint32_t count; /* number of requested instances */
	bool granted;	/* the cloud has confirmed the request and started the instances below */
	const char *instances[WS_SCALE_OUT_INSTANCES_MAX];
	uint32_t instance_count;
};

/* Encodes the record of a scale-out request. */
json_t *ws_scale_out_record_encode(const struct ws_scale_out_record *record);

/* Decodes the record of a scale-out request. The strings are owned by `value`. */
enum ws_record_outcome ws_scale_out_record_decode(json_t *value,
						  struct ws_scale_out_record *record);

/* ---- leader_record.c: leader ---- */

/* The current leader. Strings are borrowed. */
struct ws_leader_record {
	const char *node;
	uint64_t process_incarnation; /* distinguishes successive processes of a node; below 2^63 */
};

/* Encodes the value of the leader key. */
json_t *ws_leader_record_encode(const struct ws_leader_record *record);

/* Decodes the value of the leader key. The node's name is owned by `value`; a missing incarnation
 * is decoded as 0. */
enum ws_record_outcome ws_leader_record_decode(json_t *value, struct ws_leader_record *record);

/* Returns the name of the node in a leader's record, or NULL if the record is malformed. The string
 * is owned by `value`. */
const char *ws_leader_record_node(json_t *value);

/* ---- machine_type_record.c: types ---- */

/* Encodes the record of all machine types. */
json_t *ws_machine_types_encode(const struct ws_machine_type *types, size_t count);

/* Decodes up to WS_MAX_TYPES machine types, leaving out malformed ones. Returns their number. */
size_t ws_machine_types_decode(json_t *record, struct ws_machine_type *types);
#endif
