/* Data structures that the modules of the failure domains subsystem share. Times are in seconds. */
#ifndef WS_DOMAINS_STATE_H
#define WS_DOMAINS_STATE_H
#include "failure_domains.h"
#include <uthash.h>

/* The record format that is written, and the latest one that can be read. */
#define WS_DOMAINS_RECORD_FORMAT 1
/* A machine can belong to its zone and to one declared domain. */
#define WS_DOMAINS_MEMBERSHIPS 2

enum ws_domains_state {
	WS_DOMAINS_HEALTHY,
	WS_DOMAINS_SUSPECT,
	WS_DOMAINS_UNREACHABLE,
	WS_DOMAINS_RECOVERING,
};

/* The observation that caused a domain's last change of state. */
enum ws_domains_evidence {
	WS_DOMAINS_NO_EVIDENCE,
	WS_DOMAINS_HEARTBEATS_STOPPED,	/* of several machines together */
	WS_DOMAINS_COMMANDS_UNANSWERED, /* in addition, commands were not answered */
	WS_DOMAINS_LEASES_EXPIRED,	/* while this controller's own connections are suspect */
	WS_DOMAINS_RESTORED,		/* restored from an earlier leader's record */
	WS_DOMAINS_HEARTBEATS_RESUMED,	/* of at least half of its machines */
	WS_DOMAINS_NO_MACHINES_LEFT,	/* all its machines were removed */
	WS_DOMAINS_STABLE,		/* hold-down and ramp-up passed without a loss */
};

/* Liveness of a machine, judged by its heartbeats. */
enum ws_domains_liveness {
	WS_DOMAINS_EXPECTED, /* recorded as up, no heartbeat received by this leader yet */
	WS_DOMAINS_LIVE,
	WS_DOMAINS_UNRESPONSIVE,     /* heartbeats are overdue */
	WS_DOMAINS_ISOLATED_FAILURE, /* not counted until its next heartbeat */
};

struct ws_domains_machine;

/* A failure domain: a zone or a declared group of networks. */
struct ws_failure_domain {
	char name[WS_DOMAINS_NAME_MAX];
	bool is_zone;
	enum ws_domains_state state;
	enum ws_domains_evidence evidence;
	double state_changed_at;
	double loss_free_since; /* in recovery: start of the time without loss */
	double penalty, penalty_updated_at;
	bool held, held_in_listing; /* by operators; according to the listing being read */
	bool record_due;
	double recorded_at;
	size_t live, unresponsive, unanswered; /* numbers of members */
	size_t removed_unresponsive;	       /* since the domain became suspect */
	struct ws_domains_membership *members;
	UT_hash_handle hh;
};

/* The membership of one machine in one domain. */
struct ws_domains_membership {
	struct ws_failure_domain *domain;
	struct ws_domains_machine *machine;
	struct ws_domains_membership *prev, *next;
};

/* A machine. The core passes it as the handle to each hook. */
struct ws_domains_machine {
	enum ws_domains_liveness liveness;
	/* on the serving clock: time of the last heartbeat, or of the change if it is not live */
	double changed_at;
	bool unanswered;
	bool unresponsive_with_domain; /* overdue with its unhealthy domain; on no list */
	double ramp_position;	  /* share of the ramp-up after which it is used again, in [0, 1) */
	size_t affected_attempts; /* in the last survey */
	struct ws_domains_membership memberships[WS_DOMAINS_MEMBERSHIPS];
	struct ws_domains_machine *prev, *next;
};

/* A doubly linked list of machines in the order of insertion. */
struct ws_domains_machine_list {
	struct ws_domains_machine *first, *last;
};

/* An IP network prefix, the key by which declared networks are found. */
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

#define WS_DOMAINS_PREFIX_LENGTHS 129
struct ws_domains_networks {
	struct ws_domains_network *table;
	bool used[2][WS_DOMAINS_PREFIX_LENGTHS]; /* prefix lengths in use for IPv4 and IPv6 */
};

/* The ordering rule that determines the position of an entry in the plan. */
enum ws_domains_ordering_rule {
	WS_DOMAINS_BY_CLASS,
	WS_DOMAINS_BY_GUARANTEE,
	WS_DOMAINS_BY_FIRST_REPLICA,
	WS_DOMAINS_BY_DEADLINE,
	WS_DOMAINS_BY_PRIORITY,
	WS_DOMAINS_BY_ZONE_PIN,
};

/* One job of the evacuation plan. */
struct ws_domains_plan_entry {
	char job[WS_DOMAINS_NAME_MAX];
	uint64_t first_survey; /* number of the survey that added it; earlier ones come first */
	size_t recorded_position;
	size_t class_position;
	bool guaranteed, service, needs_first_replica, pinned;
	int priority;
	double latest_start;
	enum ws_domains_ordering_rule ordering_rule;
	size_t planned, affected, waiting; /* tasks; planned: the most that were affected */
	int64_t shard; /* number of the record that contains it; -1 if none does yet */
	uint64_t last_survey;
	struct ws_domains_plan_entry *next_finished;
	struct ws_move requested_move; /* the last request, without the job's name */
	UT_hash_handle hh;
};

/* One record of the plan, with as many entries as the record size allows. */
struct ws_domains_plan_shard {
	int64_t number;
	size_t unfinished_entries;
	struct ws_domains_plan_shard *next_finished;
	UT_hash_handle hh;
};

/* Numbers of tasks, as written to the record "progress". */
struct ws_domains_progress {
	size_t planned, moved, moving, waiting, pinned, cancelled;
};

/*
 * The evacuation plan: a hash table of entries by job, kept in plan order, and one of shards by
 * number.
 */
struct ws_domains_plan {
	struct ws_domains_plan_entry *entries;
	struct ws_domains_plan_shard *shards;
	int64_t next_shard;
	uint64_t survey_number;
	double survey_due_at;
	bool survey_completed;	/* since the last tick */
	size_t cancelled_moves; /* attempts whose machine returned before they were moved */
	size_t finished_tasks;	/* planned tasks of the entries removed from the plan */
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
	/* each list is ordered by changed_at */
	struct ws_domains_machine_list live, unresponsive, expected;
	/*
	 * The serving clock counts the seconds during which this controller answered heartbeats. It
	 * stops while the process is paused and while the controller may not answer. Missing
	 * heartbeats are timed by it.
	 */
	double serving_clock;
	double clock_advanced_at; /* on the core's clock */
	double evaluate_from; /* on the serving clock; workers have had time to reconnect by then */
	bool serving;
	size_t live_count, unresponsive_count;
	size_t machine_count; /* machines added so far; determines each one's ramp-up position */
	bool later_format;    /* a record of a later format was read; the subsystem is suspended */
	double holds_due_at;
	uint64_t machine_operations; /* on single machines, counted for tests */
	struct ws_domains_plan plan;
};
#endif
