/*
 * The wire: JSON of users, workers, the cloud and the store to the core's terms and back.
 *
 * The names of the protocols stay within the codecs. What they mean:
 *
 *   users     nameId            job id           vcpus, memGb      CPUs, memory
 *             jobclass          job class        accelerators      GPUs
 *             owner             team             bundle, sizeGb    image and its size
 *             shape: sweep      batch job        hall              zone
 *             shape: daemon     service          samePlace         all tasks in one zone
 *             shape: gang       gang             spread            over many machines
 *             tier              priority class   reclaimable       on preemptible instances
 *             shards            tasks            expectedS         estimated duration
 *             flavours          machine types    dueS              deadline
 *             phase: withdrawn  cancelled        snapshotEveryS    checkpoint interval
 *                                                snapshotS         duration of a checkpoint
 *   workers   host              machine          shards            task attempts
 *             flavour, hall     type, zone       shard             job and task
 *             reclaimable       preemptible      tryNo             attempt
 *             tenure            incarnation      phase: pulling    fetching the image
 *             counter           sequence number  phase: flushing   saving a checkpoint
 *             epoch             fencing token    cause             exit reason
 *             warningS          preemption notice  cause: mates_gone  of a gang: a member is gone
 *             orders, verb      commands, kind   cause: incomplete   of a gang: never whole
 *             verb: reap        forget an exit   windDownS         grace period of a stop
 *             supervisor        leader
 *   store     k                 key              holds             store sessions
 *             stamp             revision         permit            id of a store session
 *             ledgerRev         store revision   ttlMs             its time to live
 *             entries, news     records, events  multi             transaction
 *             starts, since     prefix, after    when, then        compares, operations
 *             most, holdMs      limit, wait      failed            keys whose compare failed
 *             hasNext           more follow
 *   cloud     hosts             instances        halls             zones
 *             flavours          machine types    rate, spotPrice   price, preemptible price
 *             booking           idempotency key  startupS          time to boot
 *             howMany           count            localGb, fetchGbPerS  disk, image bandwidth
 */
#ifndef WS_CODEC_H
#define WS_CODEC_H
#include "../core/core.h"

/* A user's job. 0, or the HTTP status that refuses the body. */
int ws_decode_job(const char *body, size_t length, struct ws_job_spec *spec);
/* Whether a job may have such an id. */
bool ws_job_id_ok(const char *id);
/* A worker's heartbeat; false: malformed. What it allocates is freed by ws_heartbeat_free(). */
bool ws_decode_heartbeat(const char *body, size_t length, struct ws_heartbeat *report);

/* Bodies to send; freed by the caller, NULL without memory. */
char *ws_encode_user(const struct ws_effect *answer);
char *ws_encode_heartbeat_answer(const struct ws_effect *answer);
char *ws_encode_commands(uint64_t fencing_token, uint64_t incarnation,
			 const struct ws_command *commands, size_t count);

/* Paths of calls go to buffers of this size. */
#define WS_URL_MAX 900
/* The request of a call: its body, which the caller frees, or NULL where it has none. */
char *ws_encode_call(const struct ws_call *call, const char **method, char *path);
/* Reads an answer into `result`; what it allocates is freed by ws_result_free(). A body that makes
 * no sense: no answer. */
void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
		     struct ws_result *result);
#endif
