/*
 * Leadership: which node leads, how long this node is entitled to act as the leader, and how a
 * leader continues during a store outage.
 *
 * The leader is the node whose store session holds the key `leader`. Its fencing token is the
 * shifted revision of that key, so each leader's token is higher than those of earlier leaders.
 */
#ifndef WS_LEADERSHIP_H
#define WS_LEADERSHIP_H
#include "../core.h"

/* A leader key that was read for longer than this, in session TTLs, was renewed by its holder. */
#define WS_PROOF_TTLS 1.25
/* Low bits of the fencing token, below the leader key's revision: the leader's own sequence. */
#define WS_FENCING_TOKEN_SHIFT 20
/* Maximum age of the job replica, in session TTLs; an older one may lack cancellations. It is twice
 * the time that a watch stays open, with its timeout and one retry. */
#define WS_REPLICA_AGE_TTLS 6
/* Maximum number of cancellations in one outage vote reply. */
#define WS_VOTE_CANCELLATIONS_MAX 64

enum ws_role {
	WS_FOLLOWER,
	WS_CANDIDATE, /* is opening a session and writing the leader key */
	WS_LOADING,   /* was elected and is reading the stored records */
	WS_LEADER,
};

/* The latest proof that a leader was active; see leader_proof.c. */
struct ws_leader_proof {
	uint64_t leader_revision; /* revision of the leader key when last read; 0: no key, or a
				     read has failed since */
	double key_since;	  /* when the request that first returned that revision was sent */
	bool exists;
	double active_at; /* a leader was active at this time or later */
	uint64_t term;	  /* revision of that leader's key */
};

/* A round of outage votes: whether the store is unavailable to the peers as well. */
struct ws_outage_votes {
	uint64_t round;
	int granted, outstanding;
	int lease_counting; /* granted by peers that, if elected, allow for them in leases */
	double requested_at, last_reply_at, next_round_at;
};

struct ws_leadership {
	enum ws_role role;
	/* the current leader, as read from the leader key */
	char leader_node[WS_NAME_MAX]; /* empty: no leader is known */
	uint64_t leader_revision;      /* revision of the leader key; 0: the key does not exist */
	bool leader_known;	       /* the leader key has been read */
	bool watch_in_flight;
	uint64_t watch_revision;
	double next_attempt_at; /* earliest time to read the key or to campaign */
	double campaign_after;	/* set after resigning, or if another node should lead */
	struct ws_leader_proof proof;
	/* until then, votes of this node or of its earlier process may entitle another node */
	double votes_entitle_until;
	/* state of this node as the leader */
	uint64_t session; /* id of the store session; 0: none */
	double session_ttl_s;
	uint64_t fencing_token;
	/* of the last transaction that this leader committed: later leader keys have higher ones */
	uint64_t committed_revision;
	bool numbers_exhausted; /* its term has no more fencing tokens or attempt numbers */
	double elected_at;
	/* no earlier leader answers a heartbeat after this time: its leases count from here */
	double predecessors_entitled_until;
	double entitled_until; /* from the session less clock drift, or from outage votes */
	int renewals_in_flight;
	double next_renewal_at;
	double forwarded_only_since; /* all heartbeats since then were forwarded; 0: not so */
	/* state in a store outage */
	bool in_outage, paused;
	bool session_may_have_ended; /* entitlement has ended since the last successful renewal */
	double pause_until;
	struct ws_outage_votes votes;
	double store_served_at; /* when the store last became available again */
	/* maximum age of the leader's job replica; above it, the lease of a cancelled task could
	 * last longer than cancel_s */
	double replica_age_limit_s;
};

/* ---- election.c ---- */

/* Initializes the state of leadership when the core is created. */
void ws_leadership_init(struct ws_core *core);
/* Campaigns, renews the session, or steps down, as due. Returns whether this node leads and must
 * keep its job replica current. */
bool ws_leadership_tick(struct ws_core *core);
/* Makes this node the leader, after all records have been read. */
void ws_leadership_assume(struct ws_core *core);
/* Records a message from a worker, received directly or forwarded by a peer. If all are forwarded,
 * a peer should lead. */
void ws_leadership_worker_contact(struct ws_core *core, bool forwarded);
/* Whether this node has read that the leader key of this revision does not exist any more; for
 * revision 0, whether it has read that there is no leader key. */
bool ws_leader_key_is_gone(const struct ws_core *core, uint64_t revision);
/* Whether this node may act as the leader now. */
bool ws_is_entitled(const struct ws_core *core);
/* Records the revision of a transaction that the leader has committed. */
void ws_leadership_committed(struct ws_core *core, uint64_t revision);
/*
 * Returns the highest number of this leader's term: numbers are the revision of the leader key,
 * shifted left by `shift`, plus a sequence number. The range grows with each transaction that the
 * leader commits, and stays below the numbers of every later leader.
 */
uint64_t ws_term_number_max(const struct ws_core *core, unsigned shift);
/* Makes the leader step down, since only a new term has more numbers. */
void ws_term_numbers_exhausted(struct ws_core *core);
/* Gives up leadership or the campaign and clears the leader's state. If `reason` is NULL, the core
 * is being freed: nothing is logged and the store session is not closed. */
void ws_step_down(struct ws_core *core, const char *reason);

/* The maximum age of the job replica while the store is available, in seconds. */
double ws_replica_age_max(const struct ws_core *core);

/* ---- outage.c ---- */

/* In a store outage, requests the peers' votes when the next round is due. */
void ws_outage_tick(struct ws_core *core);
/* Records that this node grants an outage vote now, which may entitle the requester to lead. */
void ws_outage_vote_granted(struct ws_core *core);

#endif
