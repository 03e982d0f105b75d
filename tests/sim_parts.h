/* What the parts of the simulator share. */
#ifndef WS_SIM_PARTS_H
#define WS_SIM_PARTS_H
#include "sim.h"
#include <stdarg.h>

#define STEP 0.05

struct sim_kv {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t stamp, hold;
	UT_hash_handle hh;
};

struct sim_event { /* of the state service's history */
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t stamp;
};

struct sim_hold {
	uint64_t id;
	double ttl, until;
	bool live;
};

struct sim_flight { /* something under way */
	double at;
	int stage; /* 0: to be carried out, 1: to be answered, 2: carried out late, unanswered */
	int node;
	uint64_t life, token; /* token: of a question for testimony */
	struct ws_call *call;
	const struct sim_version *call_version; /* of the core that made the call */
	struct ws_result res;
	struct sim_flight *next;
};

struct sim_late { /* direct commands that arrive after their sender gave up */
	double at;
	int worker;
	uint64_t epoch, tenure;
	struct ws_order *orders;
	size_t n;
	struct sim_late *next;
};

struct sim_held { /* reports that a cut holds back */
	double at;
	int node;
	struct ws_report r;
	struct sim_held *next;
};

struct sim_relay {
	uint64_t token; /* at the node that was asked */
	int from, to;
	uint64_t life;
};

struct sim_type {
	struct ws_type t;
	int cap[2];
};

enum { ASK_SUBMIT = 1, ASK_POLL, ASK_ABORT }; /* of users */

#define SIM_LOOKS 512
struct sim_look { /* a question to one node, and what its user had been told before */
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
	double at;	      /* 0: none */
	double up_at, led_at; /* when the first was back, when one led; 0: not yet */
	uint64_t run_orders, stop_orders, changes, rented; /* counted until then */
};

enum sim_crash { CRASH_NONE, CRASH_BEFORE, CRASH_AFTER };

struct sim_order { /* a line with a time */
	double at;
	char text[256];
	int line;
};

struct sim {
	double now, end;
	double lease, report, cancel_s, lag;
	double gang_wait, gang_peer;
	double value_kb, next_value_kb; /* the state service's limits, and those to come */
	int txn_ops, next_txn_ops;
	bool lowered;
	int old_nodes, refused_writes;
	double slow_orders; /* direct commands are carried out at once and answered so much later */
	bool stutter;	    /* reports name every task twice */
	int alone, mates, saved, gang_runs; /* of gangs: how attempts and tasks ended */
	int nnodes;
	struct sim_node nodes[SIM_NODES];
	struct ws_policy pol;
	char zones[8][32];
	int nzones;
	struct ws_team_setting teams[16];
	int nteams;
	struct ws_objective objectives[8];
	int nobjectives;
	struct sim_type types[8];
	int ntypes;
	int cap_limit;
	struct sim_worker *w;
	int nw, vms;
	struct sim_job *jobs, *by_id;
	int njobs;
	struct sim_kv *kv;
	struct sim_event *hist;
	size_t nhist, hist_cap;
	uint64_t rev;
	struct sim_hold holds[4096];
	int nholds;
	double state_down, cloud_down, zone_cut;
	bool was_down;
	struct sim_flight *flights;
	struct sim_late *late;
	struct sim_held *held;
	uint64_t next_token;
	struct {
		uint64_t token;
		int from;
		uint64_t orig;
	} relays[4096];
	int nrelays;
	char (*bookings)[2][WS_NAME_MAX];
	struct {
		char name[WS_NAME_MAX];
		int first, n;
	} booked[512];
	int nbooked;
	int lose_rent, lose_txn, lose_orders, late_txn, no_boot, instant_boot;
	double late_by;
	int late_orders;
	double late_orders_by;
	double copies_by, copies_until; /* reports arrive once more, up to so much later */
	double copies_share;
	bool copies_for_next; /* not by the clock, but when a new leader begins */
	uint64_t led;	      /* the leader key's stamp when they last came */
	struct sim_look looks[SIM_LOOKS];
	size_t nlooks;
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
	struct sim_order orders[256];
	int norders;
	int rented, returned, failures;
	double after_return, returned_at;
	char then[256];
	uint64_t rnd;
	char err[512];
	int line;
	double down_for;
	uint64_t reports; /* that workers sent */
	bool zones_on;
	struct ws_zones_settings zones_settings;
	struct sim_moves moves[SIM_CLASSES];
	int nmoves;
	bool coldstart_on;
	struct ws_coldstart_settings coldstart_settings;
	struct sim_stop stop;
	uint64_t run_orders, stop_orders, reap_orders; /* that workers took */
	uint64_t healthy_stops; /* of them: of work that nobody cancelled, on machines that stay */
	int killed, restarted;	/* tasks that a lease ran out over, and those that ran again */
	double restart_sum, restart_last; /* how long after, and when the last one did */
	uint64_t digest, digest_lines;	  /* of all effects, see sim_digest.c */
};

void sim_kv_put(struct sim *s, const char *key, json_t *v, uint64_t hold);
void sim_hold_end(struct sim *s, struct sim_hold *h);
void sim_state_do(struct sim *s, struct ws_call *c, struct ws_result *r);
bool sim_watch_ready(struct sim *s, struct ws_call *c, struct ws_result *r);
void sim_worker_changed(struct sim_worker *w, double now);
void sim_worker_report(struct sim_worker *w, struct ws_report *r, struct sim *s);
void sim_node_crash(struct sim *s, int i, double back);
int sim_worker_at(const char *host);
bool sim_worker_live(const struct sim *s, const struct sim_worker *w);
int sim_worker_command(struct sim *s, struct sim_worker *w, uint64_t epoch, uint64_t tenure,
		       const struct ws_order *o, size_t n, struct ws_report *r);
bool sim_apart(const struct sim *s, const struct sim_worker *w, const struct sim_node *nd);
void sim_gangs_step(struct sim *s);
void sim_worker_step(struct sim *s, struct sim_worker *w);
void sim_worker_answer(struct sim *s, const struct ws_action *a);
int sim_add_worker(struct sim *s, int type, const char *zone, bool spot, bool owned);
void sim_cloud_do(struct sim *s, struct ws_call *c, struct ws_result *r);
void sim_user_answer(struct sim *s, const struct ws_action *a);
void sim_look(struct sim *s, struct sim_job *j);
void sim_ask(struct sim *s, int node, struct sim_job *j, int kind, uint64_t token, bool relayed);
int sim_user_asked(struct sim *s, uint64_t token);
void sim_user_end(struct sim *s, struct sim_job *j);
void sim_users_step(struct sim *s);
struct sim_job *sim_job_of(struct sim *s, const char *id);
bool sim_on_machine(const struct sim_task *t);
void sim_check_start(struct sim *s, struct sim_worker *w, struct sim_task *t);
int sim_running(struct sim *s, const char *id);
void sim_expect(struct sim *s, char *p);
void sim_check_quota(struct sim *s);
void sim_fail(struct sim *s, const char *fmt, ...);
double sim_rnd(struct sim *s);
void sim_log(enum ws_log_level level, const char *text);
int sim_leader(struct sim *s);
const char *sim_word(char **p);
double sim_option(const char *text, const char *name, double otherwise);
bool sim_option_text(const char *text, const char *name, char *to, size_t n);
void sim_zones_attach(struct sim *s, struct sim_node *node);
bool sim_zones_line(struct sim *s, const char *word, char *rest, const char *full);
bool sim_zones_act(struct sim *s, const char *verb, const char *name, const char *full);
bool sim_zones_expect(struct sim *s, const char *what, const char *a, const char *b, const char *c);
void sim_zones_started(struct sim *s, struct sim_job *j, uint32_t task);
/* What a subsystem is told of the cluster; `names` has room for all zones. */
void sim_cluster_limits(const struct sim *s, const struct sim_node *node, const char **names,
			struct ws_cluster_limits *limits);
/* Whether "N OP M" holds, with the operator as a scenario writes it. */
bool sim_compare(double n, const char *op, const char *m);

/* sim_coldstart.c */
void sim_coldstart_attach(struct sim *s, struct sim_node *node);
bool sim_coldstart_line(struct sim *s, const char *word, const char *full);
bool sim_coldstart_act(struct sim *s, const char *verb, const char *name, const char *full);
bool sim_coldstart_expect(struct sim *s, const char *what, const char *a, const char *b,
			  const char *c);
/* All controllers end now. */
void sim_coldstart_stopped(struct sim *s);
void sim_coldstart_step(struct sim *s);
/* A worker takes an order, of a task that it has or NULL. */
void sim_coldstart_order(struct sim *s, const struct sim_worker *w, const struct ws_order *o,
			 const struct sim_task *t);
/* A lease ran out over all that a worker has. */
void sim_coldstart_killed(struct sim *s, const struct sim_worker *w);
void sim_coldstart_started(struct sim *s, struct sim_job *j, uint32_t task);

/* sim_digest.c */
void sim_digest_begin(struct sim *s);
/* An effect that leaves the core of a node. */
void sim_digest_add(struct sim *s, int node, const struct ws_action *a);

extern const struct sim_version sim_this_version;
/* The version in production, see sim_production.c; NULL where it could not be built or loaded. */
const struct sim_version *sim_production_version(void);
#endif
