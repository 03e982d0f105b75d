/*
 * The API: what users, workers and peers ask of any node, leader or not. Answers that bind the
 * service are read from or written to the store first; a node that can't tell says so at once.
 */
#ifndef WS_API_H
#define WS_API_H
#include "../core.h"

struct ws_job_status { /* what a live job's record says */
	char id[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done, running;
	uint64_t revision;
	UT_hash_handle hh;
};

/* The job status cache: what the records of all live jobs say, as of a revision. */
struct ws_status_cache {
	struct ws_job_status *jobs;
	bool complete; /* up to the revision */
	bool request_in_flight;
	uint64_t revision;
	double next_request_at, fresh_at;
};

/* Status queries of users. */
struct ws_status_queries {
	struct ws_status_query *waiting;	/* for the cache to be found current */
	struct ws_final_status *final_statuses; /* of jobs that are over; the newest */
};

/* Of a node that does not lead: workers that were sent to the leader. */
struct ws_follower {
	struct ws_redirect *redirects;
	double next_sweep_at;
};

/* Whether the store and the peers answer this node. */
struct ws_store_health {
	double served_at;			     /* last answer other than a refusal */
	double refused_at;			     /* last refusal or silence */
	double refused_since;			     /* the first of those in a row */
	double peer_answered_at, next_peer_probe_at; /* while the store refuses us */
};

/* A user's request under way: the context of the calls that it takes, one after the other. */
struct ws_user_request {
	char job[WS_ID_MAX];
	uint64_t request_id;
	bool forwarded;
	bool record_split;   /* the record is too large to be written whole */
	bool never_runnable; /* a submission that can never run, unless it was accepted before */
	int attempts;
};

/* ---- api.c ---- */

/* All that any node does for its callers by the clock, and its end. */
void ws_requests_tick(struct ws_core *core);
void ws_requests_free(struct ws_core *core);

/* ---- store_health.c ---- */

/* Takes in whether the store served a call, by its outcome. */
void ws_store_answered(struct ws_core *core, enum ws_outcome outcome);
/* The store refused this node, or did not answer it, a moment ago. */
bool ws_store_refuses(const struct ws_core *core);
/* Neither the store nor any peer answers. */
bool ws_node_is_isolated(const struct ws_core *core);
/* Asks the peers whether they answer, while the store does not. */
void ws_peer_probe_tick(struct ws_core *core);

/* ---- user_answers.c ---- */

/* Answers a user without counts. */
void ws_user_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
		    const char *id, enum ws_job_phase phase);
/* The store does not serve us: a peer may do better, unless the request came from one. */
void ws_user_answer_unavailable(struct ws_core *core, uint64_t request_id, const char *id,
				bool forwarded, enum ws_outcome outcome);
/* A request about a job; NULL without memory. Owned by the call whose context it becomes. */
struct ws_user_request *ws_user_request_new(uint64_t request_id, const char *id, bool forwarded);
/* Takes the request from a call, for the call that follows. */
struct ws_user_request *ws_user_request_take(struct ws_call *call);
/* Reads the job's record under a prefix, live or archived; takes over the request. */
void ws_job_record_get(struct ws_core *core, const char *prefix, struct ws_user_request *request,
		       ws_result_fn on_result);
/* Answers with the state of a job; with_counts: the counts of its tasks go with it. */
void ws_user_answer_status(struct ws_core *core, uint64_t request_id, const char *id,
			   enum ws_job_phase phase, uint32_t done, uint32_t running,
			   bool with_counts);
/* Answers with what a record says; the call's context is the request. */
void ws_user_answer_record(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result, bool with_counts);
/* A user is about to be told that a job is cancelled: the job status cache must hold that. */
void ws_status_cache_note_cancelled(struct ws_core *core, const char *key, uint64_t revision);

/* ---- status_cache.c ---- */

/* Loads the cache, and keeps it current while queries wait, or else now and then. */
void ws_status_cache_tick(struct ws_core *core);
/* Forgets all of it; it is loaded anew. */
void ws_status_cache_clear(struct ws_core *core);
/* What a watch of the jobs brought: only what is newer than the cache. */
void ws_status_cache_apply(struct ws_core *core, const struct ws_call *call,
			   const struct ws_result *result);
/* The entry of a job of which we know more than the cache tells; NULL: the cache is as new. */
struct ws_job_status *ws_status_cache_note(struct ws_core *core, const char *id, uint64_t revision);

/* ---- status_queries.c ---- */

/* The cache was checked, with this outcome: answers the queries that awaited it. */
void ws_queries_answer(struct ws_core *core, enum ws_outcome outcome);
/* A check of the cache is sent: the queries that wait now are answered by it. */
void ws_queries_await_check(struct ws_core *core);
/* That check did not take place: they wait for the next. */
void ws_queries_await_next_check(struct ws_core *core);
/* Passes queries that have waited too long to a peer. */
void ws_queries_expire(struct ws_core *core);
/* Answers with an archived record. */
void ws_query_archived_read(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result);
/* Frees waiting queries and kept answers, at the end of the core. */
void ws_queries_free(struct ws_core *core);

/* ---- outage_votes.c ---- */

/*
 * Jobs cancelled after a revision, as the job status cache has them, the first ones by revision and
 * id, from behind `after` on where that is one of the revision itself. The caller frees the list.
 * False: the cache can't tell.
 */
bool ws_cancellations_since(struct ws_core *core, uint64_t since, const char *after,
			    struct ws_cancellation **list, size_t *count, size_t limit,
			    bool *has_more);

/* ---- heartbeat_requests.c ---- */

/* Answers a heartbeat that is not taken in; with the leader's name where it is to go there. */
void ws_heartbeat_answer(struct ws_core *core, uint64_t request_id, enum ws_answer answer,
			 const char *leader);
/* A heartbeat that reached a node that does not lead: forwarded, or sent to the leader. */
void ws_follower_heartbeat(struct ws_core *core, uint64_t request_id,
			   const struct ws_heartbeat *heartbeat, bool forwarded);

/* Forgets workers that were sent to the leader long ago; frees all. */
void ws_redirects_tick(struct ws_core *core);
void ws_redirects_free(struct ws_core *core);
#endif
