/*
 * Leadership: who leads, how long this node is entitled to act as the leader, and how it goes on in
 * an outage of the store.
 *
 * The leader is whoever bound the key `leader` to a store session of its own. Its fencing token is
 * the key's revision, shifted, so every leader's is above those before it.
 */
#ifndef WS_LEADERSHIP_H
#define WS_LEADERSHIP_H
#include "../core.h"

/* A leader key that was read for longer than this, in session times, proves that its holder renewed
 * it. */
#define WS_PROOF_TTLS 1.25
/* Bits of the fencing token kept for the leader's own sequence, below the leader key's revision. */
#define WS_FENCING_TOKEN_SHIFT 20
/* A leader whose watch of the jobs brought nothing for so many session times no longer knows what
 * was cancelled: twice the time a watch is left open, with its time-out and a second try. */
#define WS_REPLICA_AGE_TTLS 6
/* Cancellations that a frame of an outage vote carries. */
#define WS_VOTE_CANCELLATIONS_MAX 64

enum ws_role {
	WS_FOLLOWER,
	WS_CANDIDATE, /* opens a session and writes the leader key */
	WS_LOADING,   /* elected, reads the records */
	WS_LEADER,
};

/* What proves that some leader lived, see leader_proof.c. */
struct ws_leader_proof {
	uint64_t leader_revision; /* revision of the leader key that was last read; 0: none, or
				     refused since */
	double key_since;	  /* when the question was asked that first brought it */
	bool exists;
	double alive_at; /* a leader lived then or later */
	uint64_t term;
};

/* A round of votes of the peers: does the store refuse them as well? */
struct ws_outage_votes {
	uint64_t round;
	int granted, outstanding;
	double asked_at, last_answer_at, next_round_at;
};

struct ws_leadership {
	enum ws_role role;
	/* who leads, as the leader key tells */
	char leader_node[WS_NAME_MAX]; /* empty: none known */
	uint64_t leader_revision;      /* of the leader key; 0: there is none */
	bool leader_known;	       /* the key was read */
	bool watch_in_flight;
	uint64_t watch_revision;
	double next_attempt_at; /* to read the key, or to campaign */
	double campaign_after;	/* resigned, or another should lead */
	struct ws_leader_proof proof;
	/* of this node as the leader */
	uint64_t session; /* of the store; 0: none */
	double session_ttl_s;
	uint64_t fencing_token;
	double elected_at;
	double entitled_until; /* by the session, less drift, or by outage votes */
	int renewals_in_flight;
	double next_renewal_at;
	double forwarded_only_since; /* heartbeats come by other nodes alone; 0: not so */
	/* in an outage of the store */
	bool in_outage, paused;
	double pause_until;
	struct ws_outage_votes votes;
	double store_served_at; /* the store last came back to us */
	/* the leader's replica of the jobs must not be older than this, or a lease could outlast
	 * cancel_s */
	double replica_age_limit_s;
};

/* ---- election.c ---- */

/* At start. */
void ws_leadership_init(struct ws_core *core);
/* Campaigns, renews the session, gives up. True: this node leads, and is to keep its replica of the
 * jobs current. */
bool ws_leadership_tick(struct ws_core *core);
/* All records are read: this node leads from now on. */
void ws_leadership_assume(struct ws_core *core);
/* A worker was heard, directly or by another node: where all come by others, one of these should
 * lead. */
void ws_leadership_saw_worker(struct ws_core *core, bool forwarded);
/* Whether this node may act as the leader now. */
bool ws_is_entitled(const struct ws_core *core);
/* Gives up leadership, or the campaign for it, and forgets all that is the leader's. NULL: at the
 * end of the core, without a word to the store. */
void ws_step_down(struct ws_core *core, const char *reason);

/* How old the replica of the jobs may be while the store serves it, in seconds. */
double ws_replica_age_max(const struct ws_core *core);

/* ---- outage.c ---- */

/* In an outage: asks the peers for their votes when the next round is due. */
void ws_outage_tick(struct ws_core *core);

#endif
