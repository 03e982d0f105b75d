/* The state of a simulation, shared by its modules, and functions that all of them use. */
#ifndef WS_SIM_PARTS_H
#define WS_SIM_PARTS_H
#include "sim.h"
#include <stdarg.h>

#define SIM_NODES 5
#define SIM_WORKERS 8192
#define SIM_GANG_MEMBERS 4096
#define SIM_IMAGES 32
#define SIM_JOBS 4096
#define SIM_GANG_ATTEMPTS 16
#define SIM_CLASSES 8
#define SIM_ZONES 8
#define SIM_TIMED_LINES 256
#define SIM_LINE_MAX 256
#define SIM_CONSISTENCY_CHECKS 512
#define SIM_DEFERRED_ACTIONS 8
/* Length of a step. Cores tick and workers act once per step; calls may be due within it. */
#define SIM_STEP_S 0.05

/*
 * Layout of a request id: the lowest bits hold the index of a worker or a job, the middle bits a
 * sequence number. One of the highest bits marks the kind of request; a request of a user has none.
 */
#define SIM_REQUEST_ID_SHIFT 13
#define SIM_ID_HEARTBEAT (1ULL << 62)
#define SIM_ID_OUTAGE_VOTE (1ULL << 61)
#define SIM_ID_DELAYED_HEARTBEAT (1ULL << 60) /* a delayed heartbeat; its answer is discarded */
#define SIM_ID_CONSISTENCY_CHECK (1ULL << 59)

/* A task on a worker. */
struct sim_task {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_exit_reason exit_reason;
	double seconds_left;		  /* of the image fetch, then of the run */
	double waiting_since, stopped_at; /* used for gang tasks only */
	double
	    known_at; /* when the leader knew of it, or could not be expected to; 0: not checked */
};

/* A machine and the worker that runs on it. */
struct sim_worker {
	char name[WS_NAME_MAX];
	int type;
	char zone[32];
	bool preemptible, owned, is_up, failed, deleted;
	bool never_boots;
	bool tasks_fail; /* its tasks fail as soon as they run */
	double scaled_out_at, deleted_at, failed_at, boots_at;
	double hang_until, partitioned_until;
	double preemption_notice_at, preempted_at;
	double inbound_blocked_until;  /* its heartbeats arrive, but no message reaches it */
	double outbound_blocked_until; /* it cannot open connections, but commands reach it */
	uint64_t incarnation, sequence, fencing_token;
	/* The lease runs from the time at which the last answered heartbeat was sent. */
	double lease_renewed_at;
	/* Time of the first answer after the last stop of all controllers. */
	double reconnected_at;
	double next_heartbeat_at, heartbeat_sent_at;
	/* Index + 1 of the only node that it can reach, or 0 if that is not restricted. */
	int pinned_node;
	double pinned_until;
	bool heartbeat_pending;
	uint64_t heartbeat_id;
	int node; /* the node to which it sends heartbeats */
	struct sim_task *tasks;
	int task_count, task_capacity;
	char images[SIM_IMAGES][WS_NAME_MAX];
	int image_count;
};

/* One attempt to run a gang. */
struct sim_gang_attempt {
	uint64_t attempt;
	bool running;
	double progress, lost_at;
};

/* Kinds of user requests; 0 means that no request is pending. */
enum sim_request { SIM_REQUEST_SUBMIT = 1, SIM_REQUEST_POLL, SIM_REQUEST_CANCEL };

/* A job and what its user has learned about it from answers. */
struct sim_job {
	struct ws_job_spec spec;
	double run_s, submit_at, next_try_at, cancel_at, next_poll_at;
	double reported_cancelled_at, reported_done_at;
	bool submitted, accepted, refused, cancelled, done, cancel_sent;
	bool tasks_fail; /* its tasks fail as soon as they run */
	int status, node;
	uint32_t completed;
	bool *task_done;
	uint64_t pending_request;
	int pending_kind;
	double pending_at;
	double started_at, answered_at;
	int finished_runs;
	double *displaced_at;  /* per task: when a zone fault hit its machine; 0: never */
	double *killed_at;     /* per task: when lease expiry or power loss killed it; 0: never */
	double progress_saved; /* seconds of a gang's run that are checkpointed */
	struct sim_gang_attempt gang_attempts[SIM_GANG_ATTEMPTS];
	int gang_attempt_count;
	UT_hash_handle hh;
};

/*
 * The functions of a core that the simulator calls: those of the present version directly, those of
 * the version in production through sim_production.c. The internal state of a core may be read only
 * if it is of the present version.
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
	void (*free_call)(struct ws_call *); /* frees a call that is never completed */
};

/* A controller node. */
struct sim_node {
	struct ws_core *core;
	const struct sim_version *version;
	struct ws_settings settings;
	bool is_up;
	double up_at;
	uint64_t restarts; /* a call made before a crash gets no answer after the restart */
	double store_partitioned_until, workers_partitioned_until, peers_partitioned_until;
	double store_errors_until;    /* the store rejects its calls with errors */
	double watches_stalled_until; /* its open watches receive nothing */
	double frozen_until;
	bool votes_without_lease_count;	    /* its outage votes are those of the version before */
	double clock_skew;		    /* clock rate error, as a fraction */
	struct ws_failure_domains *domains; /* owned by the core; NULL: disabled */
	struct ws_cold_start *cold_start;   /* owned by the core; NULL: disabled */
};

/* A key of the store and its value. */
struct sim_entry {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision, session;
	UT_hash_handle hh;
};

/* The attempts that the records of a job list, at a revision of the store. */
struct sim_listed {
	char job[WS_ID_MAX];
	uint64_t revision;
	struct ws_recorded_attempt *attempts; /* by task */
	size_t count;
};

/* A change in the history of the store. The value is NULL if the key was deleted. */
struct sim_change {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision;
};

struct sim_session {
	uint64_t id;
	double ttl_s, expires_at;
	bool live;
};

enum sim_call_stage {
	SIM_CALL_TO_EXECUTE,
	SIM_CALL_TO_ANSWER,
	SIM_CALL_ABANDONED, /* executed after its sender timed out */
};

/* A call in transit to a service or a peer, or its answer in transit back. */
struct sim_call_in_flight {
	double due_at;
	enum sim_call_stage stage;
	int node;
	uint64_t restarts;   /* restarts of the node when it made the call */
	uint64_t request_id; /* of an outage vote request that reached the peer; else 0 */
	struct ws_call *call;
	const struct sim_version *call_version; /* version of the core that made the call */
	struct ws_result result;
	struct sim_call_in_flight *next;
};

/* Direct commands that arrive after their sender timed out. */
struct sim_delayed_command {
	double due_at;
	int worker;
	uint64_t fencing_token, incarnation;
	struct ws_command *commands;
	size_t command_count;
	struct sim_delayed_command *next;
};

/* A fraction of the executed calls of these kinds arrives again, up to a maximum time later. */
struct sim_call_repetition {
	bool commands, store, cloud, peers;
	double until, share;
	double min_s, max_s;
	int copies; /* of each repeated call */
	/* no copy reaches a worker without a token that no stop could reach in time */
	bool waits_until_stoppable;
	bool holds_up; /* the copies are all that is carried out */
};

/* A heartbeat that a partition delays, or a duplicate that arrives later. */
struct sim_delayed_heartbeat {
	double due_at;
	int node; /* destination; negative: all nodes, once a new leader is elected */
	struct ws_heartbeat heartbeat;
	struct sim_delayed_heartbeat *next;
};

/* An answer to a heartbeat that is delayed on its way to the worker. */
struct sim_slow_answer {
	double due_at;
	struct ws_effect answer; /* owns its commands */
	struct sim_slow_answer *next;
};

/* A scale-out request that the cloud has granted, identified by its idempotency key. */
struct sim_scale_out {
	char key[WS_NAME_MAX];
	int first_worker, count;
};

/* A request to one node that checks its answer against what the user had learned before. */
struct sim_consistency_check {
	uint64_t request_id;
	int kind;
	bool accepted, done, cancelled;
};

/* Tasks of one job class that a zone fault displaced and that have run again since. */
struct sim_moves {
	char job_class[WS_NAME_MAX];
	int count;
	/* Shortest, longest and total time until they ran again, in seconds. */
	double shortest_s, longest_s, total_s;
};

/* The last stop of all controllers. The counters hold their values at that time. */
struct sim_stop {
	double stopped_at;		 /* 0: none */
	double restarted_at, elected_at; /* first restart and first election after it; 0: not yet */
	uint64_t run_commands, stop_commands, changes, scaled_out;
};

enum sim_event { SIM_EVENT_SCALE_IN, SIM_EVENT_LEADER_KEY_EXPIRED };

/* An action to run this long after an event. */
struct sim_deferred_action {
	enum sim_event event;
	double delay_s;
	char text[SIM_LINE_MAX];
};

/* Whether a call crashes the node that sends it, before or after the call is executed. */
enum sim_crash { SIM_CRASH_NONE, SIM_CRASH_BEFORE, SIM_CRASH_AFTER };

/* A timed line of the scenario: an action or an expectation. */
struct sim_timed_line {
	double time;
	char text[SIM_LINE_MAX];
	int line_number;
};

struct sim {
	double now, end_at;
	char error[512]; /* the first violated invariant or failed expectation */
	uint64_t random_state;

	/* the scenario */
	struct sim_timed_line timed_lines[SIM_TIMED_LINES];
	int timed_line_count, next_timed_line;
	int line_number; /* number of the line parsed last */
	struct sim_deferred_action deferred_actions[SIM_DEFERRED_ACTIONS];
	int deferred_action_count;

	/* settings */
	double lease_s, heartbeat_s, cancel_s, list_lag_s;
	double gang_wait_s, gang_peer_s;
	/* Limits of the store, now and after they are lowered. */
	double value_kb, upcoming_value_kb;
	int txn_ops, upcoming_txn_ops;
	struct ws_policy policy;
	char zones[SIM_ZONES][32];
	struct ws_team_setting teams[16];
	double team_use_bound[16]; /* upper bound of each team's CPU use, see sim_checks.c */
	struct ws_objective objectives[8];
	struct ws_machine_type types[8];
	int zone_count, team_count, objective_count, type_count;
	int instance_limit;
	bool starts_on_record; /* every task that starts must be on record */
	bool limits_lowered, domains_enabled, cold_start_enabled;
	struct ws_domains_settings domains_settings;
	struct ws_cold_start_settings cold_start_settings;

	/* the cluster */
	struct sim_node nodes[SIM_NODES];
	uint64_t last_leader_revision; /* of the leader key at the last detected election */
	struct sim_worker *workers;
	struct sim_job *jobs, *jobs_by_id;
	int node_count, worker_count, job_count;
	int production_nodes; /* number of nodes that start with the version in production */
	struct sim_consistency_check consistency_checks[SIM_CONSISTENCY_CHECKS];
	size_t consistency_check_count;
	struct sim_scale_out scale_outs[512];
	int scale_out_count;

	/* the store */
	int session_count;
	struct sim_session sessions[4096];
	struct sim_entry *entries;
	struct sim_listed listed;
	struct sim_change *history;
	size_t history_count, history_capacity;
	uint64_t revision;

	/* messages in transit */
	struct sim_call_in_flight *calls_in_flight; /* sorted by due time */
	struct sim_delayed_command *delayed_commands;
	struct sim_delayed_heartbeat *delayed_heartbeats;
	struct sim_call_copy *call_copies;
	struct sim_slow_answer *slow_answers;
	uint64_t last_request_id;

	/* faults of the store */
	double store_down_until;
	double store_slow_until, store_slow_max_s;     /* maximum extra latency of store calls */
	double slow_watches_until, slow_watches_max_s; /* maximum extra latency of open watches */
	int lost_txns; /* remaining transactions whose answers get lost */
	/* Remaining transactions that execute after their senders timed out, and the delay. */
	int delayed_txns;
	double txn_delay_s;
	/* A fraction of writes gets no answer, and executes after up to a maximum delay or at once.
	 */
	double timed_out_writes_until, timed_out_writes_share;
	double timed_out_writes_max_s;
	bool timed_out_writes_at_once;
	bool store_was_down; /* in the previous step */

	/* faults of cloud and network */
	double cloud_down_until, zones_partitioned_until;
	int lost_scale_outs, lost_commands; /* remaining calls whose answers get lost */
	/* Remaining calls with commands that are delayed, and the delay. */
	int delayed_command_calls;
	double command_delay_s;
	double command_answer_delay_s; /* delay of answers to commands, which execute at once */
	/* A fraction of the answers to heartbeats is delayed. */
	double slow_answers_until, slow_answer_delay_s;
	double slow_answers_share;
	/* A fraction of heartbeats is duplicated; the copies arrive after up to a maximum delay. */
	double duplicates_until, duplicates_max_s;
	double duplicates_share;
	bool duplicates_for_next_leader; /* the copies arrive after the next election instead */
	struct sim_call_repetition call_repetition;
	size_t most_exited_in_report;
	int starts_by_copies; /* tasks that a copy of a direct command started */

	/* faults of nodes and workers */
	enum sim_crash crash;
	enum ws_call_kind crash_kind;
	int crash_skip;
	double crash_down_s;
	int boot_failures; /* remaining new instances that never boot */
	bool instant_boot;
	bool drops_oversize_messages; /* of machines that an earlier version has overfilled */
	uint64_t steps;		      /* simulated so far */
	bool copy_precedes_contact;   /* a copy is being executed by a worker without a token */
	double reboot_report_after_s; /* from a reboot to the first report */
	bool heartbeats_list_tasks_twice;

	/* what users do */
	/* Users query all nodes after each change of a job; a fraction of them then cancels it. */
	double consistency_checks_until;
	double cancel_share;
	/* A fraction of users cancels a job when its last task ends. */
	double cancel_on_completion_until;
	double cancel_on_completion_share;

	/* counters for expectations */
	uint64_t commands, starts, status_queries, store_requests, changes, heartbeats;
	uint64_t watched_records, watched_bytes; /* delivered to the leader by watches */
	uint64_t written_bytes;			 /* in transactions that the core paces itself */
	int rejected_writes;
	int scaled_out, scaled_in, task_failures;
	double scaled_in_at;	      /* time of the first scale-in */
	double leader_key_expired_at; /* when a session that held the leader key first expired */
	int incomplete_exits, member_lost_exits; /* exits of gang tasks by reason */
	/* Gang attempts that saved their state when stopped, and those that started to run. */
	int checkpointed_attempts, gang_runs;
	uint64_t run_commands, stop_commands, reap_commands; /* received by workers */
	/* Stop commands for live tasks whose job is not cancelled, on machines without a notice. */
	uint64_t healthy_stops;
	/* Tasks killed by a lease expiry or a power loss, and those of them that ran again. */
	int killed_tasks, restarted_tasks;
	/* Total delay until they ran again, and the time of the last restart. */
	double restart_delay_sum_s, last_restart_at;
	struct sim_stop stop;
	struct sim_moves moves[SIM_CLASSES];
	int move_count;
	uint64_t digest, digest_lines; /* of all effects, see sim_digest.c */
};

/* Fails the scenario with this message. Later messages are discarded. */
void sim_fail(struct sim *sim, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Returns a pseudo-random number in [0, 1), determined by the seed of the scenario. */
double sim_random(struct sim *sim);
void sim_log(enum ws_log_level level, const char *text);
/* Returns the index of the leader, or -1 if no node leads. */
int sim_leader(struct sim *sim);
/* Returns the job with this id, or NULL if no such job exists. */
struct sim_job *sim_find_job(struct sim *sim, const char *id);

extern const struct sim_version sim_this_version;
/*
 * Returns the version in production, see sim_production.c, or NULL if it could not be built or
 * loaded.
 */
const struct sim_version *sim_production_version(void);
#endif
