/* What the parts of the simulator share. */
#ifndef WS_SIM_PARTS_H
#define WS_SIM_PARTS_H
#include "sim.h"
#include <stdarg.h>

#define STEP 0.05

struct sim_entry {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision, session;
	UT_hash_handle hh;
};

struct sim_change { /* of the store's history */
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t revision;
};

struct sim_session {
	uint64_t id;
	double ttl, until;
	bool live;
};

struct sim_call_in_flight { /* something under way */
	double due_at;
	int stage; /* 0: to be carried out, 1: to be answered, 2: carried out late, unanswered */
	int node;
	uint64_t life, token; /* token: of a question for outage vote */
	struct ws_call *call;
	const struct sim_version *call_version; /* of the core that made the call */
	struct ws_result result;
	struct sim_call_in_flight *next;
};

struct sim_late_command { /* direct commands that arrive after their sender gave up */
	double due_at;
	int worker;
	uint64_t fencing_token, incarnation;
	struct ws_command *commands;
	size_t command_count;
	struct sim_late_command *next;
};

struct sim_delayed_heartbeat { /* reports that a cut holds back */
	double due_at;
	int node;
	struct ws_heartbeat heartbeat;
	struct sim_delayed_heartbeat *next;
};

struct sim_forward {
	uint64_t token; /* at the node that was asked */
	int sender, receiver;
	uint64_t life;
};

struct sim_type {
	struct ws_machine_type type;
	int capacity[2];
};

enum { ASK_SUBMIT = 1, ASK_POLL, ASK_ABORT }; /* of users */

#define SIM_LOOKS 512
struct sim_consistency_check { /* a question to one node, and what its user had been told before */
	uint64_t token;
	int kind;
	bool accepted, done, cancelled;
};

struct sim_moves { /* tasks that ran in a zone when it went dark, by class */
	char job_class[WS_NAME_MAX];
	int count;
	double first, last, sum; /* until they ran again */
};

/* The last stop of all controllers. */
struct sim_stop {
	double stopped_at;    /* 0: none */
	double up_at, led_at; /* when the first was back, when one led; 0: not yet */
	uint64_t run_commands, stop_commands, changes, rented; /* counted until then */
};

enum sim_crash { CRASH_NONE, CRASH_BEFORE, CRASH_AFTER };

struct sim_timed_line { /* a line with a time */
	double time;
	char text[256];
	int line;
};

struct sim {
	double now, end;
	double lease, report, cancel_s, lag;
	double gang_wait, gang_peer;
	double value_kb, next_value_kb; /* the store's limits, and those to come */
	int txn_ops, next_txn_ops;
	bool lowered;
	int old_nodes, refused_writes;
	double
	    slow_commands; /* direct commands are carried out at once and answered so much later */
	bool stutter;	   /* reports name every task twice */
	int alone, mates, saved, gang_runs; /* of gangs: how attempts and tasks ended */
	int node_count;
	struct sim_node nodes[SIM_NODES];
	struct ws_policy policy;
	char zones[8][32];
	int zone_count;
	struct ws_team_setting teams[16];
	int team_count;
	struct ws_objective objectives[8];
	int objective_count;
	struct sim_type types[8];
	int type_count;
	int cap_limit;
	struct sim_worker *workers;
	int worker_count, vms;
	struct sim_job *jobs, *by_id;
	int job_count;
	struct sim_entry *entries;
	struct sim_change *history;
	size_t history_count, history_capacity;
	uint64_t revision;
	struct sim_session sessions[4096];
	int session_count;
	double state_down, cloud_down, zone_cut;
	bool was_down;
	struct sim_call_in_flight *calls_in_flight;
	struct sim_late_command *late_commands;
	struct sim_delayed_heartbeat *delayed_heartbeats;
	uint64_t next_token;
	struct {
		uint64_t token;
		int from;
		uint64_t orig;
	} forwards[4096];
	int forward_count;
	char (*idempotency_keys)[2][WS_NAME_MAX];
	struct {
		char name[WS_NAME_MAX];
		int first, n;
	} booked[512];
	int request_count;
	int lose_rent, lose_txn, lose_commands, late_txn, no_boot, instant_boot;
	double late_by;
	int late_command_count;
	double late_commands_by;
	double copies_by, copies_until; /* reports arrive once more, up to so much later */
	double copies_share;
	bool copies_for_next; /* not by the clock, but when a new leader begins */
	uint64_t led;	      /* the leader key's revision when they last came */
	struct sim_consistency_check checks[SIM_LOOKS];
	size_t check_count;
	double state_slow, state_slow_by; /* it answers later by up to so much */
	double watch_late,
	    watch_late_by; /* what open watches brought comes later by up to so much */
	double looks_until, abort_share, end_until, end_share;
	double lag_until, lag_share, lag_most; /* that share of changes gets no answer, */
	bool lag_at_once;		       /* and is carried out at once, or late */
	uint64_t commands, starts, polls, asked, changes; /* counts, for their ratios */
	uint64_t watched;      /* records that watches brought to the leader, */
	uint64_t watched_size; /* their bytes, */
	uint64_t written_size; /* and those of the records that leaders wrote */
	enum ws_call_kind crash_kind;
	enum sim_crash crash;
	int crash_skip;
	struct sim_timed_line timed_lines[256];
	int timed_line_count;
	int rented, returned, failures;
	double after_return, returned_at;
	char then[256];
	uint64_t random_state;
	char err[512];
	int line;
	double down_for;
	uint64_t reports; /* that workers sent */
	bool zones_on;
	struct ws_domains_settings zones_settings;
	struct sim_moves moves[SIM_CLASSES];
	int nmoves;
	bool coldstart_on;
	struct ws_cold_start_settings coldstart_settings;
	struct sim_stop stop;
	uint64_t run_commands, stop_commands, reap_commands; /* that workers took */
	uint64_t healthy_stops; /* of them: of work that nobody cancelled, on machines that stay */
	int killed, restarted;	/* tasks that a lease ran out over, and those that ran again */
	double restart_sum, restart_last; /* how long after, and when the last one did */
	uint64_t digest, digest_lines;	  /* of all effects, see sim_digest.c */
};

void sim_kv_put(struct sim *sim, const char *key, json_t *value, uint64_t hold);
void sim_hold_end(struct sim *sim, struct sim_session *session);
void sim_state_do(struct sim *sim, struct ws_call *call, struct ws_result *result);
bool sim_watch_ready(struct sim *sim, struct ws_call *call, struct ws_result *result);
void sim_worker_changed(struct sim_worker *worker, double now);
void sim_worker_report(struct sim_worker *worker, struct ws_heartbeat *heartbeat, struct sim *sim);
void sim_node_crash(struct sim *sim, int index, double back);
int sim_worker_at(const char *host);
bool sim_worker_live(const struct sim *sim, const struct sim_worker *worker);
int sim_worker_command(struct sim *sim, struct sim_worker *worker, uint64_t epoch, uint64_t tenure,
		       const struct ws_command *command, size_t count,
		       struct ws_heartbeat *heartbeat);
bool sim_apart(const struct sim *sim, const struct sim_worker *worker, const struct sim_node *node);
void sim_gangs_step(struct sim *sim);
void sim_worker_step(struct sim *sim, struct sim_worker *worker);
void sim_worker_answer(struct sim *sim, const struct ws_effect *effect);
int sim_add_worker(struct sim *sim, int type, const char *zone, bool spot, bool owned);
void sim_cloud_do(struct sim *sim, struct ws_call *call, struct ws_result *result);
void sim_user_answer(struct sim *sim, const struct ws_effect *effect);
void sim_look(struct sim *sim, struct sim_job *job);
void sim_ask(struct sim *sim, int node, struct sim_job *job, int kind, uint64_t request_id,
	     bool forwarded);
int sim_user_asked(struct sim *sim, uint64_t request_id);
void sim_user_end(struct sim *sim, struct sim_job *job);
void sim_users_step(struct sim *sim);
struct sim_job *sim_job_of(struct sim *sim, const char *id);
bool sim_on_machine(const struct sim_task *task);
void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task);
int sim_running(struct sim *sim, const char *id);
void sim_expect(struct sim *sim, char *text);
void sim_check_quota(struct sim *sim);
void sim_fail(struct sim *sim, const char *fmt, ...);
double sim_rnd(struct sim *sim);
void sim_log(enum ws_log_level level, const char *text);
int sim_leader(struct sim *sim);
const char *sim_word(char **p);
double sim_option(const char *text, const char *name, double otherwise);
bool sim_option_text(const char *text, const char *name, char *target, size_t size);
void sim_domains_attach(struct sim *sim, struct sim_node *node);
bool sim_domains_line(struct sim *sim, const char *word, char *rest, const char *full);
bool sim_domains_act(struct sim *sim, const char *verb, const char *name, const char *full);
bool sim_domains_expect(struct sim *sim, const char *what, const char *first, const char *second,
			const char *third);
void sim_domains_started(struct sim *sim, struct sim_job *job, uint32_t task);
/* What a subsystem is told of the cluster; `names` has room for all zones. */
void sim_cluster_limits(const struct sim *sim, const struct sim_node *node, const char **names,
			struct ws_cluster_limits *limits);
/* Whether "N OP M" holds, with the operator as a scenario writes it. */
bool sim_compare(double number, const char *operator, const char * text);

/* sim_cold_start.c */
void sim_cold_start_attach(struct sim *sim, struct sim_node *node);
bool sim_cold_start_line(struct sim *sim, const char *word, const char *full);
bool sim_cold_start_act(struct sim *sim, const char *verb, const char *name, const char *full);
bool sim_cold_start_expect(struct sim *sim, const char *what, const char *first, const char *second,
			   const char *third);
/* All controllers end now. */
void sim_cold_start_stopped(struct sim *sim);
void sim_cold_start_step(struct sim *sim);
/* A worker takes an order, of a task that it has or NULL. */
void sim_cold_start_order(struct sim *sim, const struct sim_worker *worker,
			  const struct ws_command *command, const struct sim_task *task);
/* A lease ran out over all that a worker has. */
void sim_cold_start_killed(struct sim *sim, const struct sim_worker *worker);
void sim_cold_start_started(struct sim *sim, struct sim_job *job, uint32_t task);

/* sim_digest.c */
void sim_digest_begin(struct sim *sim);
/* An effect that leaves the core of a node. */
void sim_digest_add(struct sim *sim, int node, const struct ws_effect *effect);

extern const struct sim_version sim_this_version;
/* The version in production, see sim_production.c; NULL where it could not be built or loaded. */
const struct sim_version *sim_production_version(void);
#endif
