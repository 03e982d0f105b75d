/* The state of the failure domains subsystem, which its modules share. All times are in seconds. */
#ifndef WS_DOMAINS_STATE_H
#define WS_DOMAINS_STATE_H
#include "failure_domains.h"
#include <uthash.h>

/* Format of the records; later ones are left alone. */
#define WS_DOMAINS_FORMAT 1
/* A machine can be in its zone and in one declared domain. */
#define WS_DOMAINS_MEMBERSHIPS 2

enum ws_domains_state {
	WS_DOMAINS_HEALTHY,
	WS_DOMAINS_SUSPECT,
	WS_DOMAINS_DARK,
	WS_DOMAINS_RECOVERING,
};

/* Why a domain is in its state. */
enum ws_domains_evidence {
	WS_DOMAINS_NO_EVIDENCE,
	WS_DOMAINS_SILENCE,    /* stopped together and stayed silent */
	WS_DOMAINS_UNANSWERED, /* and commands got no answer */
	WS_DOMAINS_LEASES_OUT, /* while this controller's connections are in doubt */
	WS_DOMAINS_RECORDED,   /* restored from an earlier leader's record */
	WS_DOMAINS_HEARD,      /* half of it is live again */
	WS_DOMAINS_NONE_LEFT,  /* it has no machines left */
	WS_DOMAINS_STABLE,
};

/* Whether a machine is heard. */
enum ws_domains_presence {
	WS_DOMAINS_EXPECTED, /* on record, not yet heard by this leader */
	WS_DOMAINS_LIVE,
	WS_DOMAINS_SILENT,
	WS_DOMAINS_SINGLE, /* a single failure: not counted until it is heard again */
};

struct ws_domains_machine;

/* A zone, or a declared group of networks. */
struct ws_failure_domain {
	char name[WS_DOMAINS_NAME_MAX];
	bool is_zone;
	enum ws_domains_state state;
	enum ws_domains_evidence evidence;
	double since;		/* in this state */
	double loss_free_since; /* recovering: no loss since then */
	double penalty, penalty_at;
	bool held, held_in_listing; /* by operators; and as the listing in progress says */
	bool record_due;
	double recorded_at;
	size_t live, silent, unanswered; /* members */
	size_t removed;			 /* silent ones removed since the domain became suspect */
	struct ws_domains_member *members;
	UT_hash_handle hh;
};

/* The membership of one machine in one domain. */
struct ws_domains_member {
	struct ws_failure_domain *domain;
	struct ws_domains_machine *machine;
	struct ws_domains_member *prev, *next;
};

/* The handle of a machine; the core returns it with each hook. */
struct ws_domains_machine {
	enum ws_domains_presence presence;
	/* on the serving clock: when it was last heard, or fell silent */
	double changed_at;
	bool unanswered;
	bool silent_with_domain; /* overdue while its domain is not healthy: on no list */
	double ramp;	 /* the share of the ramp at which it is used again, from 0 to below 1 */
	size_t affected; /* attempts at the last survey */
	struct ws_domains_member memberships[WS_DOMAINS_MEMBERSHIPS];
	struct ws_domains_machine *prev, *next;
};

/* Machines in the order in which they were appended. */
struct ws_domains_list {
	struct ws_domains_machine *first, *last;
};

/* A declared network, found by its prefix. */
struct ws_domains_prefix {
	uint8_t bytes[16];
	uint8_t length;
	uint8_t version;
};

struct ws_domains_network {
	struct ws_domains_prefix prefix;
	struct ws_failure_domain *domain;
	UT_hash_handle hh;
};

#define WS_DOMAINS_LENGTHS 129
struct ws_domains_networks {
	struct ws_domains_network *table;
	bool used[2][WS_DOMAINS_LENGTHS]; /* prefix lengths of IPv4 and IPv6 */
};

/* The ordering rule that decides the place of an entry in the plan. */
enum ws_domains_reason {
	WS_DOMAINS_BY_CLASS,
	WS_DOMAINS_BY_GUARANTEE,
	WS_DOMAINS_BY_FIRST_REPLICA,
	WS_DOMAINS_BY_DEADLINE,
	WS_DOMAINS_BY_PRIORITY,
	WS_DOMAINS_PINNED,
};

/* One job of the evacuation plan. */
struct ws_domains_plan_entry {
	char job[WS_DOMAINS_NAME_MAX];
	uint64_t first_survey; /* number of the survey that found it; earlier ones go first */
	size_t recorded_position;
	size_t class_position;
	bool guaranteed, service, first_replica, pinned;
	int priority;
	double latest_start;
	enum ws_domains_reason reason;
	size_t planned, affected, waiting;
	int64_t shard; /* number of the record that names it; -1: none yet */
	uint64_t last_survey;
	struct ws_domains_plan_entry *next_finished;
	struct ws_move requested_move; /* as last requested, without the job's name */
	UT_hash_handle hh;
};

/* One record of the plan, with as many entries as it can hold. */
struct ws_domains_plan_shard {
	int64_t number;
	size_t entries; /* that are unfinished */
	struct ws_domains_plan_shard *next_finished;
	UT_hash_handle hh;
};

/* Numbers of tasks, as the record "progress" has them. */
struct ws_domains_progress {
	size_t planned, moved, moving, waiting, pinned, called_off;
};

/* The plan itself: entries by job, in their order, and shards by number. */
struct ws_domains_plan {
	struct ws_domains_plan_entry *entries;
	struct ws_domains_plan_shard *shards;
	int64_t next_shard;
	uint64_t surveys;
	double survey_due_at;
	bool surveyed;	   /* since the last tick */
	size_t called_off; /* attempts heard again before they were moved */
	size_t finished;   /* tasks of entries that are finished */
	struct ws_domains_progress last_progress;
	double last_progress_at;
};

struct ws_failure_domains {
	struct ws_domains_settings settings;
	struct ws_cluster_limits limits;
	char node_zone[WS_DOMAINS_NAME_MAX];
	ws_subsystem_log_fn log;
	struct ws_domains_networks networks;
	struct ws_failure_domain *by_name;
	struct ws_domains_list live, silent, expected; /* each in the order of changed_at */
	/*
	 * The serving clock counts the seconds during which this controller answered heartbeats: it
	 * stops while the process is stopped, and while it may not answer. Silence is measured by
	 * it.
	 */
	double serving_clock;
	double clock_advanced_at; /* time of the core */
	double evaluate_from;	  /* on that clock: by then workers have had time to reconnect */
	bool serving;
	size_t live_count, silent_count;
	size_t machine_count; /* ever added: gives each its place in the ramp */
	bool later_format;    /* a record is of a later format: the subsystem is suspended */
	double holds_due_at;
	uint64_t steps; /* operations on single machines, counted for tests */
	struct ws_domains_plan plan;
};
#endif
