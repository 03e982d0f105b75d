/* What the modules that answer users share; any node runs them, leader or not. */
#ifndef WS_REQUESTS_H
#define WS_REQUESTS_H
#include "internal.h"

struct ws_job_status { /* what a live job's record says */
	char id[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done, running;
	uint64_t revision;
	UT_hash_handle hh;
};

struct ws_user_request { /* a user's request under way */
	bool forwarded;
	bool record_split;   /* the record is too large to be written whole */
	bool never_runnable; /* a submission that can never run, unless it was accepted before */
	int attempts;
};

/* requests.c */
void ws_user_answer(struct ws_core *core, uint64_t request_id, int status, const char *id,
		    enum ws_job_phase phase);
/* The store does not serve us: a peer may do better, unless the request came from one. */
void ws_user_answer_unavailable(struct ws_core *core, uint64_t request_id, const char *id,
				bool forwarded, int status);
/* Reads a job's record under "job" or "old"; takes over the request. */
struct ws_call *ws_job_record_get(struct ws_core *core, const char *prefix, const char *id,
				  uint64_t request_id, struct ws_user_request *request,
				  ws_result_fn done);
bool ws_store_refuses(const struct ws_core *core);
void ws_user_answer_status(struct ws_core *core, uint64_t request_id, const char *id,
			   enum ws_job_phase phase, uint32_t done, uint32_t running, bool poll);
/* Answers with what a record says. */
void ws_user_answer_record(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result, bool poll);
void ws_peer_probe_tick(struct ws_core *core);

/* polls.c */
/* The entry of a job of which we know more than the copy tells; NULL: the copy is as new. */
struct ws_job_status *ws_status_cache_note(struct ws_core *core, const char *id, uint64_t revision);
/* Answers with a record under "old". */
void ws_query_archived_read(struct ws_core *core, struct ws_call *call,
			    const struct ws_result *result);
void ws_status_cache_tick(struct ws_core *core);
void ws_queries_free(struct ws_core *core);

/* types.c */
void ws_machine_types_tick(struct ws_core *core);

/* followers.c */
void ws_redirects_tick(struct ws_core *core);
void ws_redirects_free(struct ws_core *core);
#endif
