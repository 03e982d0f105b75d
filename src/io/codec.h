/*
 * JSON codecs, which convert between the messages of users, workers, the cloud and the store and
 * the types of the core.
 *
 * Only the codecs use the names of the protocols. The table gives the term for each of them:
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
 *             orders, verb      commands, kind   cause: incomplete   of a gang: not complete
 *             verb: reap        drop exited task   windDownS         grace period of a stop
 *             supervisor        leader
 *   store     k                 key              holds             store sessions
 *             stamp             revision         permit            id of a store session
 *             ledgerRev         store revision   ttlMs             its time to live
 *             entries, news     records, events  multi             transaction
 *             starts, since     prefix, after    when, then        compares, operations
 *             most, holdMs      limit, timeout   failed            keys whose compare failed
 *             hasNext           more pages follow
 *   cloud     hosts             instances        halls             zones
 *             flavours          machine types    rate, spotPrice   price, preemptible price
 *             booking           idempotency key  startupS          time to boot
 *             howMany           count            localGb, fetchGbPerS  disk, image bandwidth
 */
#ifndef WS_CODEC_H
#define WS_CODEC_H
#include "../core/core.h"
#include "json_members.h"

/* Decodes a user's job. Returns 0, or the HTTP status of the error if the body is invalid; `id` is
 * then set if it could be read. ws_message_refusal() tells why a body is refused. */
int ws_decode_job(const char *body, size_t length, struct ws_job_spec *spec);
/* Returns whether a job id has the form "job-" and digits, and is not too long. */
bool ws_job_id_is_valid(const char *id);
/* Decodes a worker's heartbeat. Returns false if the body is malformed; `machine` is then set if it
 * could be read. The caller frees the memory of the heartbeat with ws_heartbeat_free(). */
bool ws_decode_heartbeat(const char *body, size_t length, struct ws_heartbeat *heartbeat);

/* Encode the body of a message, which the caller frees. Return NULL if memory is exhausted. */
char *ws_encode_refusal(struct ws_refusal refusal);
char *ws_encode_user_answer(const struct ws_effect *answer);
char *ws_encode_heartbeat_answer(const struct ws_effect *answer);
char *ws_encode_commands(uint64_t fencing_token, uint64_t incarnation,
			 const struct ws_command *commands, size_t count);

/* Size in bytes of the buffer for the path of a call. */
#define WS_CALL_PATH_SIZE 900
/* Encodes the request of a call: sets its method and path, and returns its body, which the caller
 * frees, or NULL if the request has none. */
char *ws_encode_call(const struct ws_call *call, const char **method, char *path);
/* Decodes the reply to a call into `result`, whose memory the caller frees with
 * ws_result_free(). A malformed body counts as no reply. A `status` of 0 means that no reply came,
 * and one below 0 that the call was not sent. */
void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t length,
		     struct ws_result *result);
#endif
