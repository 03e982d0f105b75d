/*
 * The core of waystep: jobs, fleet, placement, sizing and election, without any input or output.
 * Events and the time go in through ws_core_* calls; what is to be done comes out as a queue of
 * actions that the shell (src/io) carries out. Not thread safe: the shell holds one lock round it.
 */
#ifndef WS_CORE_H
#define WS_CORE_H
#include "settings.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define WS_ID_MAX 64
#define WS_KEY_MAX 201
#define WS_MAX_TYPES 32
#define WS_MAX_SHARDS 100000
#define WS_MAX_ALLOWED 16

enum ws_tier { WS_BEST_EFFORT, WS_NORMAL, WS_URGENT, WS_PRODUCTION };
enum ws_phase { WS_QUEUED, WS_RUNNING, WS_DONE, WS_CANCELLED };

/* What a user asks for. Times in seconds; negative deadline: none. */
struct ws_spec {
	char id[WS_ID_MAX];
	char job_class[WS_NAME_MAX];
	char team[WS_NAME_MAX];
	bool service;
	bool gang; /* all tasks run at once or none */
	enum ws_tier tier;
	uint32_t tasks;
	double cpus, gpus, mem;
	char image[WS_NAME_MAX];
	double image_gb;
	char types[WS_MAX_ALLOWED][WS_NAME_MAX];
	size_t ntypes; /* 0: any */
	char zone[WS_NAME_MAX];
	bool one_zone, spread, spot;
	double estimate_s, checkpoint_s, save_s, deadline_s;
};

struct ws_type {
	char name[WS_NAME_MAX];
	double cpus, gpus, mem, local_gb, fetch_gb_s, price, spot_price, boot_s;
	char zones[WS_MAX_ALLOWED][WS_NAME_MAX];
	size_t nzones;
};

enum ws_task_state {
	WS_TASK_FETCHING,
	WS_TASK_RUNNING,
	WS_TASK_SAVING,
	WS_TASK_EXITED,
	WS_TASK_WAITING, /* of a gang: for the other tasks of its attempt */
};
enum ws_why {
	WS_WHY_NONE,
	WS_WHY_DONE,
	WS_WHY_STOPPED,
	WS_WHY_ERROR,
	WS_WHY_FULL,
	WS_WHY_BUSY,
	WS_WHY_UNKNOWN,
	WS_WHY_MATES, /* of a gang: another of its tasks is gone */
	WS_WHY_ALONE, /* of a gang: it was not complete in time */
};

struct ws_task_report {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_why why;
};

struct ws_report {
	char machine[WS_NAME_MAX];
	char host[64];
	int port;
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool spot;
	uint64_t tenure, counter, epoch;
	double notice_s; /* below 0: none */
	struct ws_task_report *tasks;
	size_t ntasks;
};

enum ws_verb { WS_RUN, WS_STOP, WS_REAP };
struct ws_order {
	enum ws_verb verb;
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	double grace_s;
};

enum ws_host_phase { WS_HOST_STARTING, WS_HOST_RUNNING, WS_HOST_FAILED };
struct ws_host {
	char name[WS_NAME_MAX];
	char host[64];
	int port;
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool spot;
	enum ws_host_phase phase;
	double age_s;
};

struct ws_kv {
	char key[WS_KEY_MAX];
	json_t *value; /* NULL: the key was deleted */
	uint64_t stamp;
};

/* A job that its user was told is cancelled, or may have been, and its record's stamp as such. */
struct ws_withdrawal {
	char job[WS_ID_MAX];
	uint64_t stamp;
};

/* Outcome of a call. */
struct ws_result {
	/* HTTP status; 0: no answer, it may or may not have been carried out; -1: never sent */
	int status;
	uint64_t rev, hold;
	struct ws_kv *kvs;
	size_t nkvs;
	bool more;
	bool no_capacity; /* a 503 that means a plain no */
	char (*failed)[WS_KEY_MAX];
	size_t nfailed;
	struct ws_type *types;
	size_t ntypes;
	struct ws_host *hosts;
	size_t nhosts;
	struct ws_report *report;
	/* TESTIFY: the peer answers for all withdrawals that it knows of after a revision; these
	 * are the first, `more` of them are left */
	bool vouched;
	struct ws_withdrawal *withdrawn;
	size_t nwithdrawn;
};

enum ws_call_kind {
	WS_CALL_GET,
	WS_CALL_LIST,
	WS_CALL_TXN,
	WS_CALL_WATCH,
	WS_CALL_HOLD_NEW,
	WS_CALL_HOLD_EXTEND,
	WS_CALL_HOLD_DROP,
	WS_CALL_TYPES,
	WS_CALL_HOSTS,
	WS_CALL_RENT,
	WS_CALL_RETURN,
	WS_CALL_ORDERS,
	WS_CALL_TESTIFY,
};

struct ws_cond {
	char key[WS_KEY_MAX];
	uint64_t stamp;
};
struct ws_op {
	char key[WS_KEY_MAX];
	json_t *value; /* NULL: delete */
	uint64_t hold;
};

struct ws_core;
struct ws_call;
typedef void (*ws_done_fn)(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

struct ws_call {
	enum ws_call_kind kind;
	char key[WS_KEY_MAX];	/* GET key; LIST and WATCH prefix; RENT booking; TESTIFY peer */
	char after[WS_KEY_MAX]; /* LIST and HOSTS: start behind this one; TESTIFY: this job */
	uint64_t since;		/* WATCH; TESTIFY: what the leader's view of the jobs holds */
	uint32_t ms;		/* WATCH and holds */
	uint64_t hold;
	struct ws_cond *conds;
	size_t nconds;
	struct ws_op *ops;
	size_t nops;
	char type[WS_NAME_MAX], zone[WS_NAME_MAX]; /* RENT */
	bool spot;
	uint32_t count;
	char (*names)[WS_NAME_MAX]; /* RETURN */
	size_t nnames;
	char host[64]; /* ORDERS */
	int port;
	uint64_t epoch, tenure; /* TESTIFY: epoch is the stamp of the asker's leader key */
	struct ws_order *orders;
	size_t norders;
	bool urgent; /* goes before other calls to the same service */
	bool paced;  /* keeps to its share of the state service's changes by itself */
	/* the core's own */
	ws_done_fn done;
	void *ctx; /* owned by the call; a handler that passes it on clears it */
	char ctx_name[WS_NAME_MAX];
	uint64_t ctx_n, generation;
	double made;
	struct ws_call *next;
};

enum ws_action_kind {
	WS_ACT_CALL,
	WS_ACT_ANSWER_USER,
	WS_ACT_ANSWER_REPORT,
	WS_ACT_RELAY, /* pass the request with this token to a peer, answer with its reply */
	WS_ACT_ANSWER_TESTIFY,
};

struct ws_action {
	enum ws_action_kind kind;
	struct ws_call *call;
	uint64_t token;
	int status, retry_after;
	char name[WS_NAME_MAX]; /* job id, or the node to report or relay to */
	enum ws_phase phase;
	uint32_t done, running;
	bool counts; /* the answer carries done and running */
	bool pinned; /* of a report to pass on: its worker was named the leader and came back */
	uint64_t epoch;
	struct ws_order *orders;
	size_t norders;
	struct ws_action *next;
	/* of a testimony: as in struct ws_result */
	bool vouched, more;
	struct ws_withdrawal *withdrawn;
	size_t nwithdrawn;
};

/* Log sink; the core writes no file itself. */
enum ws_log_level { WS_LOG_ERROR, WS_LOG_INFO, WS_LOG_DEBUG };
typedef void (*ws_log_fn)(enum ws_log_level level, const char *text);

struct ws_measure { /* what the sizing thread gets, by copy */
	double lambda, mu, alpha;
	int owned, ceiling, waiting_loads;
	double delta, rentals_max, wait_max_s, bound_s;
};

double ws_core_view_s(const struct ws_settings *s);
bool ws_core_view_short(const struct ws_settings *s, const struct ws_policy *p);
struct ws_core *ws_core_new(const struct ws_settings *s, const struct ws_policy *p, ws_log_fn log,
			    double now, uint64_t nonce);
void ws_core_free(struct ws_core *c);
void ws_core_tick(struct ws_core *c, double now);
struct ws_action *ws_core_pop(struct ws_core *c);
void ws_action_free(struct ws_action *a);
void ws_core_complete(struct ws_core *c, double now, struct ws_call *call,
		      const struct ws_result *r);

/* After what was asked of the core: how late it is now. Long passes come less often. */
void ws_core_spent(struct ws_core *c, double (*clock)(void));
void ws_core_resign(struct ws_core *c, double now);
bool ws_core_ready(const struct ws_core *c);
bool ws_core_leading(const struct ws_core *c);
/* Whether what only a leader may say may leave now. */
bool ws_core_entitled(const struct ws_core *c, double now);
void ws_core_submit(struct ws_core *c, double now, double wall, uint64_t token,
		    const struct ws_spec *spec, bool relayed);
void ws_core_poll(struct ws_core *c, double now, uint64_t token, const char *id, bool relayed);
void ws_core_abort(struct ws_core *c, double now, uint64_t token, const char *id, bool relayed);
void ws_core_report(struct ws_core *c, double now, uint64_t token, const struct ws_report *r,
		    bool relayed);
/* A peer that leads with a key of this stamp, and has seen the jobs up to a revision and, of a list
 * too long for one frame, up to a job of it, asks whether the state service refuses us. */
void ws_core_vouch(struct ws_core *c, double now, uint64_t token, uint64_t leader, uint64_t since,
		   const char *after);
/* The same, of a peer that takes in no list: the version before it. */
void ws_core_testify(struct ws_core *c, double now, uint64_t token);

/* The sizing thread: take a measurement when one is due, hand back the k found. */
bool ws_core_measure(struct ws_core *c, double now, struct ws_measure *m);
void ws_core_set_k(struct ws_core *c, double now, int k, double s, double wq);
#endif
