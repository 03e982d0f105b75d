/* What the modules that answer users share; any node runs them, leader or not. */
#ifndef WS_REQUESTS_H
#define WS_REQUESTS_H
#include "internal.h"

struct ws_seen { /* what a live job's record says */
	char id[WS_ID_MAX];
	enum ws_phase phase;
	uint32_t done, running;
	uint64_t stamp;
	UT_hash_handle hh;
};

struct ws_ask { /* a user's request under way */
	bool relayed;
	bool split;   /* the record is too large to be written whole */
	bool refused; /* a submission that can never run, unless it was accepted before */
	int tries;
};

/* requests.c */
void ws_answer(struct ws_core *c, uint64_t token, int status, const char *id, enum ws_phase phase);
/* The state service does not serve us: a peer may do better, unless the request came from one. */
void ws_cannot(struct ws_core *c, uint64_t token, const char *id, bool relayed, int status);
/* Reads a job's record under "job" or "old"; takes over the request. */
struct ws_call *ws_get(struct ws_core *c, const char *prefix, const char *id, uint64_t token,
		       struct ws_ask *ask, ws_done_fn done);
bool ws_state_refuses(const struct ws_core *c);
void ws_known_answer(struct ws_core *c, uint64_t token, const char *id, enum ws_phase phase,
		     uint32_t done, uint32_t running, bool poll);
/* Answers with what a record says. */
void ws_state_answer(struct ws_core *c, struct ws_call *call, const struct ws_result *r, bool poll);
void ws_peers_tick(struct ws_core *c);

/* polls.c */
/* The entry of a job of which we know more than the copy tells; NULL: the copy is as new. */
struct ws_seen *ws_seen_note(struct ws_core *c, const char *id, uint64_t stamp);
/* Answers with a record under "old". */
void ws_poll_old(struct ws_core *c, struct ws_call *call, const struct ws_result *r);
void ws_seen_tick(struct ws_core *c);
void ws_polls_free(struct ws_core *c);

/* types.c */
void ws_types_tick(struct ws_core *c);

/* followers.c */
void ws_redirects_tick(struct ws_core *c);
void ws_redirects_free(struct ws_core *c);
#endif
