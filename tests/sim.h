/*
 * Stand-ins for state service, cloud, workers and users, after the protocol, in simulated time,
 * round one core per node. The rules are checked at every step.
 */
#ifndef WS_SIM_H
#define WS_SIM_H
#include "../src/core/core.h"
#include "../src/core/internal.h"

#define SIM_NODES 5
#define SIM_WORKERS 4096
#define SIM_TASKS 64
#define SIM_JOBS 4096

struct sim_task {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_why why;
	double left; /* of the fetch, then of the run */
};

struct sim_worker {
	char name[WS_NAME_MAX];
	int type;
	char zone[32];
	bool spot, owned, up, dead, deleted, hung, never, failing, slow;
	double rented, deleted_at, died_at, boots, hang_until, cut_until, notice_at, take_at;
	double deaf_until; /* its reports arrive, no answer or command reaches it */
	uint64_t tenure, counter, epoch;
	double answered_sent; /* when the last answered report was sent */
	double next_report, sent_at;
	int pin; /* reaches this node alone, if above 0: node + 1 */
	double pin_until;
	bool waiting;	/* a report is out */
	uint64_t report_id;
	int node;
	struct sim_task tasks[SIM_TASKS];
	int ntasks;
	char images[32][WS_NAME_MAX];
	int nimages;
};

struct sim_job {
	struct ws_spec spec;
	double run_s, submit_at, first, next_try, abort_at, next_poll, told_cancelled, told_done;
	bool submitted, accepted, cancelled, done, abort_sent, bad;
	int tries, status, node;
	uint32_t completed;
	bool *task_done;
	uint64_t pending; /* token of the request out */
	int pending_kind;
	double pending_at;
	double started_at, answered_at;
	int finishes;
	UT_hash_handle hh;
};

struct sim_node {
	struct ws_core *core;
	struct ws_settings set;
	bool up;
	double up_at;
	uint64_t life;
	double cut_state, cut_workers, cut_peers, refused; /* until */
	double skew;
};

struct sim;
struct sim *sim_new(void);
void sim_free(struct sim *s);
/* One line of a scenario; false with a message in err. */
bool sim_line(struct sim *s, char *line, char *err, size_t n);
/* Plays all lines; false with what broke in err. */
bool sim_play(struct sim *s, char *err, size_t n);
extern bool sim_verbose;
#endif
