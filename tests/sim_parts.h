/* The state of a simulation, which its modules share, and the functions that all of them need. */
#ifndef WS_SIM_PARTS_H
#define WS_SIM_PARTS_H
#include "sim.h"
#include <stdarg.h>

#define SIM_NODES 5
#define SIM_WORKERS 8192
#define SIM_TASKS 64
#define SIM_IMAGES 32
#define SIM_JOBS 4096
#define SIM_GANGS 16
#define SIM_CLASSES 8
#define SIM_ZONES 8
#define SIM_TIMED_LINES 256
#define SIM_LINE_MAX 256
#define SIM_CONSISTENCY_CHECKS 512
/* Length of a step: cores tick and workers act once in each, calls have times of their own. */
#define SIM_STEP_S 0.05

/*
 * Request ids: the lowest bits are the number of a worker or a job, the highest ones tell what kind
 * of request it is (none: of a user), and between them they are numbered in turn.
 */
#define SIM_TOKEN_SHIFT 13
#define SIM_ID_HEARTBEAT (1ULL << 62)
#define SIM_ID_OUTAGE_VOTE (1ULL << 61)
#define SIM_ID_UNHEARD (1ULL << 60) /* a late heartbeat, whose answer nobody waits for */
#define SIM_ID_CONSISTENCY_CHECK (1ULL << 59)

/* A task on a worker. */
struct sim_task {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_exit_reason exit_reason;
	double seconds_left;		  /* of the fetch, then of the run */
	double waiting_since, stopped_at; /* of a gang's task */
};

/* A machine and the worker on it. */
struct sim_worker {
	char name[WS_NAME_MAX];
	int type;
	char zone[32];
	bool preemptible, owned, is_up, dead, deleted;
	bool never_boots;
	bool failing; /* its tasks fail as soon as they run */
	double scaled_out_at, deleted_at, died_at, boots_at;
	double hang_until, cut_until;
	double preemption_notice_at, preempted_at;
	double deaf_until; /* its heartbeats arrive, no answer or command reaches it */
	double mute_until; /* it can't open connections; commands reach it */
	uint64_t incarnation, sequence, fencing_token;
	double answered_sent;  /* when the last answered heartbeat was sent */
	double answered_since; /* the first answer after the last stop of all controllers */
	double next_heartbeat_at, sent_at;
	int pin; /* reaches this node alone, if above 0: node + 1 */
	double pin_until;
	bool heartbeat_pending;
	uint64_t heartbeat_id;
	int node; /* that it sends heartbeats to */
	struct sim_task tasks[SIM_TASKS];
	int task_count;
	char images[SIM_IMAGES][WS_NAME_MAX];
	int image_count;
};

/* An attempt of a gang. */
struct sim_gang {
	uint64_t attempt;
	bool running;
	double progress, lost_at;
};

/* What a user asks of a node; 0: nothing. */
enum sim_request { SIM_REQUEST_SUBMIT = 1, SIM_REQUEST_POLL, SIM_REQUEST_CANCEL };

/* A job, and what its user knows of it. */
struct sim_job {
	struct ws_job_spec spec;
	double run_s, submit_at, next_try_at, cancel_at, next_poll_at;
	double told_cancelled_at, told_done_at;
	bool submitted, accepted, refused, cancelled, done, cancel_sent;
	bool bad; /* its tasks fail as soon as they run */
	int status, node;
	uint32_t completed;
	bool *task_done;
	uint64_t pending_request;
	int pending_kind;
	double pending_at;
	double started_at, answered_at;
	int finishes;
	double *displaced_at;  /* of each task: when its machine went dark; 0: no */
	double *killed_at;     /* of each task: when a lease ran out over it; 0: it did not */
	double progress_saved; /* of a gang */
	struct sim_gang gangs[SIM_GANGS];
	int gang_count;
	UT_hash_handle hh;
};

/*
 * What the simulator asks of a core: of this version's directly, of the one of the version in
 * production through sim_production.c. A core is looked into by its own version alone.
 */
struct sim_version {
	struct ws_core *(*create)(const struct ws_settings *, const struct ws_policy *, ws_log_fn,
				  double, uint64_t);
	void (*destroy)(struct ws_core *);
	void (*tick)(struct ws_core *, double);
	struct ws_effect *(*next_effect)(struct ws_core *);
	void (*complete)(struct ws_core *, double, struct ws_call *, const struct ws_result *);
	void (*resign)(struct ws_core *, double);
	bool (*is_ready)(const struct ws_core *);
	bool (*is_leader)(const struct ws_core *);
	void (*submit)(struct ws_core *, double, double, uint64_t, const struct ws_job_spec *,
		       bool);
	void (*query_status)(struct ws_core *, double, uint64_t, const char *, bool);
	void (*cancel)(struct ws_core *, double, uint64_t, const char *, bool);
	void (*heartbeat)(struct ws_core *, double, uint64_t, const struct ws_heartbeat *, bool);
	void (*outage_vote)(struct ws_core *, double, uint64_t);
	void (*free_effect)(struct ws_effect *);
	void (*free_call)(struct ws_call *); /* of a call that is never completed */
};

/* A controller node. */
struct sim_node {
	struct ws_core *core;
	const struct sim_version *version;
	struct ws_settings settings;
	bool is_up;
	double up_at;
	uint64_t restarts; /* a call made before a crash is not answered after it */
	double cut_store_until, cut_workers_until, cut_peers_until;
	double refused_until; /* the store answers it with errors */
	double blind_until;   /* its watches wait, all else is served */
	double frozen_until;
	double skew;			    /* of its clock, as a share */
	struct ws_failure_domains *domains; /* of the core, which owns it; NULL: off */
	struct ws_cold_start *cold_start;   /* the same */
};

/* A key of the store. */
struct sim_entry {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision, session;
	UT_hash_handle hh;
};

/* A change in the store's history; without a value: the key was deleted. */
struct sim_change {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision;
};

struct sim_session {
	uint64_t id;
	double ttl_s, until;
	bool live;
};

enum sim_call_stage {
	SIM_CALL_TO_EXECUTE,
	SIM_CALL_TO_ANSWER,
	SIM_CALL_ABANDONED, /* executed late, its sender waits no more */
};

/* A call on its way to a service or a peer, or its answer on the way back. */
struct sim_call_in_flight {
	double due_at;
	enum sim_call_stage stage;
	int node;
	uint64_t restarts;   /* of the node, when it made the call */
	uint64_t request_id; /* of a question for an outage vote, once it has arrived */
	struct ws_call *call;
	const struct sim_version *call_version; /* of the core that made the call */
	struct ws_result result;
	struct sim_call_in_flight *next;
};

/* Direct commands that arrive after their sender gave up. */
struct sim_late_command {
	double due_at;
	int worker;
	uint64_t fencing_token, incarnation;
	struct ws_command *commands;
	size_t command_count;
	struct sim_late_command *next;
};

/* A heartbeat that a cut holds back, or the copy of one. */
struct sim_delayed_heartbeat {
	double due_at;
	int node; /* that it arrives at; negative: at all, when a new leader begins */
	struct ws_heartbeat heartbeat;
	struct sim_delayed_heartbeat *next;
};

/* A leader's answer to a heartbeat that is still on its way to the worker. */
struct sim_slow_answer {
	double due_at;
	struct ws_effect answer; /* owns its commands */
	struct sim_slow_answer *next;
};

/* A scale-out request that the cloud has granted, by its idempotency key. */
struct sim_scale_out {
	char key[WS_NAME_MAX];
	int first_worker, count;
};

/* A question to one node, and what its user had been told before. */
struct sim_consistency_check {
	uint64_t request_id;
	int kind;
	bool accepted, done, cancelled;
};

/* Tasks that ran in a zone when it went dark, by job class. */
struct sim_moves {
	char job_class[WS_NAME_MAX];
	int count;
	double first, last, sum; /* until they ran again, in seconds */
};

/* The last stop of all controllers. */
struct sim_stop {
	double stopped_at;    /* 0: none */
	double up_at, led_at; /* when the first was back, when one led; 0: not yet */
	uint64_t run_commands, stop_commands, changes, scaled_out; /* counted until then */
};

/* Whether a call crashes the node that makes it, before or after it is executed. */
enum sim_crash { SIM_CRASH_NONE, SIM_CRASH_BEFORE, SIM_CRASH_AFTER };

/* A timed action of the scenario. */
struct sim_timed_line {
	double time;
	char text[SIM_LINE_MAX];
	int line;
};

struct sim {
	double now, end_at;
	char error[512]; /* the first rule that was broken */
	uint64_t random_state;

	/* the scenario */
	struct sim_timed_line timed_lines[SIM_TIMED_LINES];
	int timed_line_count, next_timed_line;
	int line;		  /* that was taken last */
	double follow_up_after_s; /* an action so long after the first scale-in */
	char follow_up[SIM_LINE_MAX];

	/* settings */
	double lease_s, heartbeat_s, cancel_s, list_lag_s;
	double gang_wait_s, gang_peer_s;
	double value_kb, next_value_kb; /* the store's limits, and those to come */
	int txn_ops, next_txn_ops;
	struct ws_policy policy;
	char zones[SIM_ZONES][32];
	struct ws_team_setting teams[16];
	double team_use_bound[16]; /* no team uses more, see sim_checks.c */
	struct ws_objective objectives[8];
	struct ws_machine_type types[8];
	int zone_count, team_count, objective_count, type_count;
	int instance_limit;
	bool limits_lowered, domains_on, cold_start_on;
	struct ws_domains_settings domains_settings;
	struct ws_cold_start_settings cold_start_settings;

	/* the cluster */
	struct sim_node nodes[SIM_NODES];
	uint64_t last_leader_revision; /* of the leader's key when its change was last noticed */
	struct sim_worker *workers;
	struct sim_job *jobs, *jobs_by_id;
	int node_count, worker_count, job_count;
	int production_nodes; /* so many run the version in production at first */
	struct sim_consistency_check checks[SIM_CONSISTENCY_CHECKS];
	size_t check_count;
	struct sim_scale_out scale_outs[512];
	int scale_out_count;

	/* the store */
	int session_count;
	struct sim_session sessions[4096];
	struct sim_entry *entries;
	struct sim_change *history;
	size_t history_count, history_capacity;
	uint64_t revision;

	/* under way */
	struct sim_call_in_flight *calls_in_flight; /* by time */
	struct sim_late_command *late_commands;
	struct sim_delayed_heartbeat *delayed_heartbeats;
	struct sim_slow_answer *slow_answers;
	uint64_t last_request_id;

	/* faults of the store */
	double store_down_until;
	double store_slow_until, store_slow_by_s;      /* it answers later by up to so much */
	double late_watches_until, late_watches_max_s; /* so do open watches */
	int lost_txns;				       /* so many answers are lost */
	int late_txns;				       /* so many are executed late */
	double late_txns_by_s;
	double late_writes_until, late_writes_share; /* that share of changes gets no answer, */
	double late_writes_max_s;		     /* and is executed late, */
	bool late_writes_at_once;		     /* or at once */
	bool store_was_down;			     /* in the last step */

	/* faults of cloud and network */
	double cloud_down_until, zone_cut_until;
	int lost_scale_outs, lost_commands; /* so many answers are lost */
	int late_command_count;		    /* so many are executed late */
	double late_commands_by_s;
	double slow_commands_s; /* executed at once and answered so much later */
	double slow_answers_until, slow_answers_by_s; /* answers to heartbeats come later */
	double slow_answers_share;		      /* that share of them */
	double duplicates_until, duplicates_max_s; /* heartbeats come once more, later by so much */
	double duplicates_share;
	bool duplicates_for_next_leader; /* not by the clock, but when a new leader begins */

	/* faults of nodes and workers */
	enum sim_crash crash;
	enum ws_call_kind crash_kind;
	int crash_skip;
	double crash_down_s;
	int boot_failures; /* so many instances never boot */
	bool instant_boot;
	bool heartbeats_name_tasks_twice;

	/* what users do */
	double checks_until;	    /* they ask all nodes after each news, */
	double cancel_share;	    /* and that share cancels */
	double cancel_at_end_until; /* some cancel when the last task ends: */
	double cancel_at_end_share; /* that share of them */

	/* counts, for what scenarios expect */
	uint64_t commands, starts, status_queries, store_requests, changes, heartbeats;
	uint64_t watched_records, watched_bytes; /* that watches brought to the leader */
	uint64_t written_bytes;			 /* of the records that leaders wrote */
	int refused_writes;
	int scaled_out, scaled_in, failures;
	double scaled_in_at;				     /* the first time */
	int incomplete_exits, member_lost_exits;	     /* of gangs' tasks */
	int saved_attempts, gang_runs;			     /* of gangs */
	uint64_t run_commands, stop_commands, reap_commands; /* that workers took */
	uint64_t healthy_stops; /* of them: of work that nobody cancelled, on machines that stay */
	int killed, restarted;	/* tasks that a lease ran out over, and those that ran again */
	double restart_sum, restart_last; /* how long after, and when the last one did */
	struct sim_stop stop;
	struct sim_moves moves[SIM_CLASSES];
	int move_count;
	uint64_t digest, digest_lines; /* of all effects, see sim_digest.c */
};

/* Ends the play with this message; only the first one counts. */
void sim_fail(struct sim *sim, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* A number from 0 up to 1, by the scenario's seed. */
double sim_random(struct sim *sim);
void sim_log(enum ws_log_level level, const char *text);
/* The number of the node that leads; -1: none. */
int sim_leader(struct sim *sim);
/* The job of this id; NULL: none. */
struct sim_job *sim_job_of(struct sim *sim, const char *id);

extern const struct sim_version sim_this_version;
/* The version in production, see sim_production.c; NULL where it could not be built or loaded. */
const struct sim_version *sim_production_version(void);
#endif
