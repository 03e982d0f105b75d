/*
 * The API: requests of users, workers and peers, which any node serves whether it leads or not.
 * Answers that bind the service are given only after a read from or a write to the store; a node
 * that cannot answer reports that at once.
 */
#ifndef WS_API_H
#define WS_API_H
#include "../core.h"

struct ws_job_status { /* the status in a live job's record */
	char id[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done, running;
	uint64_t revision;
	UT_hash_handle hh;
};

/* The job status cache: the statuses in the records of all live jobs, as of a revision. */
struct ws_status_cache {
	struct ws_job_status *jobs;
	bool complete; /* contains all changes up to the revision */
	bool request_in_flight;
	uint64_t revision;
	double next_request_at, refreshed_at;
};

/* Status queries of users. */
struct ws_status_queries {
	struct ws_status_query *waiting;	/* wait until the cache is brought up to date */
	struct ws_final_status *final_statuses; /* of completed and cancelled jobs */
};

/* State of a node that does not lead: the workers whose heartbeats it forwards or redirects. */
struct ws_follower {
	struct ws_redirect *redirects;
	double next_sweep_at;
};

/* Whether the store and the peers respond to this node. Times are on the core's clock. */
struct ws_store_health {
	double last_success_at;			       /* last reply that is no failure */
	double last_failure_at;			       /* last reply "unavailable", or timeout */
	double failing_since;			       /* first of the consecutive failures */
	double last_peer_reply_at, next_peer_probe_at; /* used while store calls fail */
};

/* A user's request in progress. It is the context of the calls made for it, one at a time. */
struct ws_user_request {
	char job[WS_ID_MAX];
	uint64_t request_id;
	bool forwarded;
	bool must_split_record; /* the record is too large to be written unsplit */
	bool never_runnable; /* a submission that can never run; rejected unless accepted before */
	int attempts;
};

/* ---- api.c ---- */

/* Runs the periodic work of the API, which any node does. */
void ws_api_tick(struct ws_core *core);
/* Frees the status cache, the waiting queries and the redirects. */
void ws_api_free(struct ws_core *core);

/* ---- store_health.c ---- */

/* Records from the outcome of a call whether the store served it. */
void ws_store_health_update(struct ws_core *core, enum ws_outcome outcome);
/* Returns true if the last store call failed, less than a quarter of a lease ago. */
bool ws_store_is_unavailable(const struct ws_core *core);
/* Returns true if neither the store nor any peer has responded for some time. */
bool ws_node_is_isolated(const struct ws_core *core);
/* Probes the peers while store calls fail. */
void ws_peer_probe_tick(struct ws_core *core);

/* ---- user_answers.c ---- */

/* Answers a user's request without task counts. */
void ws_user_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
		    const char *id, enum ws_job_phase phase);
/* Handles a request that the store did not serve: forwards it to a peer, or answers that the
 * service is unavailable if no peer can help, for instance because the request was forwarded by
 * one. */
void ws_user_answer_unavailable(struct ws_core *core, uint64_t request_id, const char *id,
				bool forwarded, enum ws_outcome outcome);
/* Creates a request about a job. Returns NULL if memory is exhausted. The call whose context it
 * becomes owns it. */
struct ws_user_request *ws_user_request_new(uint64_t request_id, const char *id, bool forwarded);
/* Detaches the request from a call, so that it can become the context of the next call. */
struct ws_user_request *ws_user_request_detach(struct ws_call *call);
/* Reads the job's record, live or archived depending on the key prefix. The new call owns the
 * request. */
void ws_job_record_get(struct ws_core *core, const char *prefix, struct ws_user_request *request,
		       ws_result_fn on_result);
/* Answers with the phase of a job and, if `with_counts` is set, its task counts. */
void ws_user_answer_status(struct ws_core *core, uint64_t request_id, const char *id,
			   enum ws_job_phase phase, uint32_t done, uint32_t running,
			   bool with_counts);
/* Answers with the status in the record that a call has read; the call's context is the request. */
void ws_user_answer_record(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result, bool with_counts);
/* Records a cancellation in the job status cache; called before it is confirmed to a user. Does
 * nothing for keys of archived jobs. */
void ws_status_cache_mark_cancelled(struct ws_core *core, const char *key, uint64_t revision);

/* ---- status_cache.c ---- */

/* Loads the cache if it is incomplete; refreshes it while queries wait and otherwise periodically.
 */
void ws_status_cache_tick(struct ws_core *core);
/* Removes all entries and marks the cache as incomplete, so that it is loaded again. */
void ws_status_cache_clear(struct ws_core *core);
/* Applies those changes from a watch of the job records that are newer than the cache. */
void ws_status_cache_apply(struct ws_core *core, const struct ws_call *call,
			   const struct ws_result *result);
/* Returns the entry of a job, created if necessary and set to `revision`, for the caller to update.
 * Returns NULL if the cache already contains this revision or a later one. */
struct ws_job_status *ws_status_cache_put_newer(struct ws_core *core, const char *id,
						uint64_t revision);

/* ---- status_queries.c ---- */

/* Answers the queries that waited for the refresh of the cache that ended with this outcome. */
void ws_queries_answer(struct ws_core *core, enum ws_outcome outcome);
/* Marks all waiting queries to be answered by the refresh of the cache that is being sent. */
void ws_queries_mark_refresh_sent(struct ws_core *core);
/* Makes all waiting queries wait for the next refresh, as the last one did not take place. */
void ws_queries_clear_refresh_sent(struct ws_core *core);
/* Forwards queries that have waited too long to a peer. */
void ws_queries_expire(struct ws_core *core);
/* Result handler of reading an archived job's record: answers the request with its status. */
void ws_query_archived_record_read(struct ws_core *core, struct ws_call *call,
				   const struct ws_result *result);
/* Frees the waiting queries and the cached final statuses when the core is freed. */
void ws_queries_free(struct ws_core *core);

/* ---- outage_votes.c ---- */

/*
 * Lists jobs that were cancelled after revision `since` according to the job status cache, at most
 * `limit`, ordered by revision and id. If `after` is not empty, also lists the jobs of revision
 * `since` whose ids are greater than `after`, which continues an earlier listing. Sets `has_more`
 * if jobs were left out. Returns false if the cache is incomplete. The caller frees the list.
 */
bool ws_cancellations_since(struct ws_core *core, uint64_t since, const char *after,
			    struct ws_cancellation **list, size_t *count, size_t limit,
			    bool *has_more);

/* ---- heartbeat_requests.c ---- */

/* Answers a heartbeat that is not processed. `leader` is the node to which the worker is
 * redirected, or NULL. */
void ws_heartbeat_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
			 const char *leader);
/* Handles a heartbeat on a node that does not lead: forwards it or redirects the worker to the
 * leader. */
void ws_follower_heartbeat(struct ws_core *core, uint64_t request_id,
			   const struct ws_heartbeat *heartbeat, bool forwarded);

/* Removes redirects whose workers have sent no heartbeat to this node for a lease. */
void ws_redirects_tick(struct ws_core *core);
/* Frees all redirects. */
void ws_redirects_free(struct ws_core *core);
#endif
