/*
 * Stand-ins for store, cloud, workers and users, after the protocol, in simulated time,
 * round one core per node. The rules are checked at every step.
 */
#ifndef WS_SIM_H
#define WS_SIM_H
#include "../src/core/core.h"
#include "../src/core/core_state.h"
#include "../src/cold_start/cold_start.h"
#include "../src/failure_domains/failure_domains.h"

#define SIM_NODES 5
#define SIM_WORKERS 8192
#define SIM_TASKS 64
#define SIM_JOBS 4096
#define SIM_GANGS 16
#define SIM_CLASSES 8
/* Of tokens: the lower bits number workers or jobs. */
#define SIM_TOKEN_SHIFT 13

struct sim_task {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_exit_reason exit_reason;
	double seconds_left;		  /* of the fetch, then of the run */
	double waiting_since, stopped_at; /* of a gang's task */
};

struct sim_worker {
	char name[WS_NAME_MAX];
	int type;
	char zone[32];
	bool preemptible, owned, is_up, dead, deleted, hung, never, failing, slow;
	double rented, deleted_at, died_at, boots, hang_until, cut_until, preemption_notice_at,
	    preempted_at;
	double deaf_until; /* its heartbeats arrive, no answer or command reaches it */
	double mute_until; /* it can't open connections; commands reach it */
	uint64_t incarnation, sequence, fencing_token;
	double answered_sent;  /* when the last answered heartbeat was sent */
	double answered_since; /* the first answer after the last stop of all controllers */
	double next_heartbeat_at, sent_at;
	int pin; /* reaches this node alone, if above 0: node + 1 */
	double pin_until;
	bool waiting; /* a heartbeat is out */
	uint64_t heartbeat_id;
	int node;
	struct sim_task tasks[SIM_TASKS];
	int task_count;
	char images[32][WS_NAME_MAX];
	int image_count;
};

struct sim_job {
	struct ws_job_spec spec;
	double run_s, submit_at, first, next_try, abort_at, next_poll, told_cancelled, told_done;
	bool submitted, accepted, refused, cancelled, done, abort_sent, bad;
	int tries, status, node;
	uint32_t completed;
	bool *task_done;
	uint64_t pending_request; /* token of the request out */
	int pending_kind;
	double pending_at;
	double started_at, answered_at;
	int finishes;
	double *displaced_at;  /* of each task: when its machine went dark; 0: no */
	double *killed_at;     /* of each task: when a lease ran out over it; 0: it did not */
	double progress_saved; /* of a gang */
	struct sim_gang {      /* its attempts */
		uint64_t attempt;
		bool running, over;
		double progress, stop_at, lost_at;
	} gangs[SIM_GANGS];
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
	struct ws_effect *(*pop)(struct ws_core *);
	void (*complete)(struct ws_core *, double, struct ws_call *, const struct ws_result *);
	void (*resign)(struct ws_core *, double);
	bool (*ready)(const struct ws_core *);
	bool (*leading)(const struct ws_core *);
	void (*submit)(struct ws_core *, double, double, uint64_t, const struct ws_job_spec *,
		       bool);
	void (*poll)(struct ws_core *, double, uint64_t, const char *, bool);
	void (*abort)(struct ws_core *, double, uint64_t, const char *, bool);
	void (*report)(struct ws_core *, double, uint64_t, const struct ws_heartbeat *, bool);
	void (*testify)(struct ws_core *, double, uint64_t);
	void (*free_action)(struct ws_effect *);
	void (*free_call)(struct ws_call *); /* of a call that is never completed */
};

struct sim_node {
	struct ws_core *core;
	const struct sim_version *version;
	struct ws_settings settings;
	bool is_up;
	double up_at;
	uint64_t life;
	double cut_state, cut_workers, cut_peers, refused, blind, frozen; /* until */
	double skew;
	struct ws_failure_domains *zones; /* of the core, which owns it; NULL: off */
	struct ws_cold_start *coldstart;  /* the same */
};

struct sim;
struct sim *sim_new(void);
void sim_free(struct sim *sim);
/* One line of a scenario; false with a message in err. */
bool sim_line(struct sim *sim, char *line, char *err, size_t size);
/* Plays all lines; false with what broke in err. */
bool sim_play(struct sim *sim, char *err, size_t size);
/* Prints the digest of all that left the cores, see sim_digest.c. */
void sim_print_digest(const struct sim *sim, const char *name);
extern FILE *sim_trace; /* what the digest is of, as text; NULL: nowhere */
extern bool sim_verbose;
/* The subsystem coldstart is on in every scenario, whether it says so or not. */
extern bool sim_cold_start_always;
#endif
