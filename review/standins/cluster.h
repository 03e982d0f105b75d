/*
 * Stand-ins for the state service, the cloud, the workers and the users of waystep, around real
 * controller processes on loopback addresses and the real clock. They follow the protocol page.
 * The rules that they check are those of its section "Rules".
 */
#ifndef REVIEW_CLUSTER_H
#define REVIEW_CLUSTER_H
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define NODES_MAX 3
#define WORKERS_MAX 24
#define TASKS_MAX 4096
#define JOBS_MAX 4096
#define TEAMS_MAX 4

/* The settings of the deployment; to be filled in before cluster_start(). */
struct cluster_settings {
	int nodes, workers, teams, zones;
	const char *zone_names[4];
	int node_zone[NODES_MAX], worker_zone[WORKERS_MAX];
	const char *team_names[TEAMS_MAX];
	double team_cpus[TEAMS_MAX], team_cpus_max[TEAMS_MAX];
	double worker_cpus, worker_mem_gb;
	double report_s, lease_s, cancel_s, gang_wait_s, gang_peer_s; /* 0: lease_s and 4 s */
	double store_rps, store_write_rps, value_kb;
	int txn_ops;
	double cloud_rps, list_lag_s, core_share, ram_mb;
	int max_sockets;
	double poll_s;
};
extern struct cluster_settings settings;

/* The disruptions in force. */
struct cluster_faults {
	bool outage;			/* the state service answers 503 to every node */
	bool refused[NODES_MAX];	/* the state service answers 503 to this node alone */
	bool store_cut[NODES_MAX];	/* this node and the state service can't reach each other */
	bool users_cut[NODES_MAX];
	bool cloud_cut[NODES_MAX];
	bool worker_cut[NODES_MAX][WORKERS_MAX];
	bool peer_cut[NODES_MAX][NODES_MAX];
	double late_writes;	/* share of transactions: no answer, carried out 2 to 12 s later */
	double lost_answers;	/* share of transactions: carried out, the answer is lost */
	double late_reports;	/* share of reports of which a copy arrives again later */
	double late_commands;	/* share of direct commands: no answer, carried out 2 to 16 s later */
	double slow_store_s;	/* the state service answers up to this late */
};
extern struct cluster_faults faults;

enum task_state { TASK_PULLING, TASK_RUNNING, TASK_FLUSHING, TASK_EXITED, TASK_WAITING };

struct job {
	char id[32];
	const char *kind; /* "sweep", "daemon" or "gang" */
	const char *tier;
	int team;
	unsigned shards;
	double cpus, mem_gb, image_gb, run_s, checkpoint_s, save_s;
	double run_vary; /* each run takes up to this share of run_s longer */
	const char *zone;   /* NULL: any */
	bool one_zone, spread;
	double fails_after_s; /* above 0: each task fails so long after its start */
	char *submission;     /* the body, as sent */

	/* what its user knows and wants */
	bool submitted, accepted, cancel_wanted, told_done, told_cancelled;
	bool answered_since_accepted;
	double accepted_at, cancelled_at, last_answer_at, next_request_at;
	bool pending;
	unsigned polls, poll_answers;
	/* what really happened */
	unsigned starts, done_count, killed_count; /* killed: with the lease of the machine */
	bool *task_done;
	double first_start_at;
};

struct task {
	struct job *job;
	unsigned number;
	uint64_t attempt;
	enum task_state state;
	const char *cause;
	bool saved;
	double next_at; /* of its next state */
};

struct worker {
	char name[32];
	int index, zone, port, node; /* node: it reports to this one */
	struct ws_http_server *server;
	uint64_t tenure, counter, epoch;
	double renewed_at;	/* sending time of the last answered report, or begin of the tenure */
	double sent_at, next_report_at, last_sent_at;
	bool reporting;
	uint64_t report_tenure, report_serial;
	bool hung;
	size_t largest_report; /* bytes */
	struct task tasks[TASKS_MAX];
	unsigned task_count;
};

extern struct worker workers[WORKERS_MAX];
extern struct job jobs[JOBS_MAX];
extern unsigned job_count;

double now_s(void);	/* since the start of the test */
double random_unit(void);
/* Writes a line into the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Notes that a rule was broken. */
void violation(const char *rule, const char *format, ...) __attribute__((format(printf, 2, 3)));
extern unsigned violation_count;
extern bool users_poll;	/* users poll their jobs */
/* The case could not run: ends the test with status 2. */
void cannot_run(const char *format, ...) __attribute__((format(printf, 1, 2), noreturn));

/* `program` is the run line of the deploy file, split; the settings file is appended. */
void cluster_start(int program_count, char **program, const char *record_path);
void cluster_stop(void);
void node_start(int node);
void node_kill(int node);
void node_signal(int node, int signal_number);
bool node_is_up(int node);
/* Index of the node named in the leader key, -1 if there is no key. */
int leader_node(void);
json_int_t leader_revision(void);
/* Bytes of the changes of job records in answers to watches, since the start of the test. */
extern size_t job_change_bytes;
/* Ends or begins an outage; at its end all leases of the state service have their full time. */
void outage_set(bool on);
/* Cuts a node, or a worker, off from everything outside of its zone. */
void zone_cut(int zone, bool on);
/* A machine loses the network, or has it again. */
void worker_cut(int worker, bool on);
void worker_hang(int worker, bool on);
/* Heals everything. */
void faults_clear(void);

/* Adds a job and submits it; NULL-terminated defaults are those of a small array. */
struct job *job_add(const struct job *template);
void job_cancel(struct job *job);
/* Asks every node about a job at once, or repeats its submission. */
void job_ask_everywhere(struct job *job, bool repeat_submission);
unsigned running_tasks(const struct job *job);
unsigned running_tasks_in_zone(int zone);

/* Hooks for the case: called before each request to the state service, and 20 times a second. */
extern void (*on_store_request)(int node, const char *method, const char *path);
extern void (*on_step)(void);
extern void (*on_leader_gone)(void); /* the leader key was removed with its lease */
extern void (*on_report_answered)(struct worker *worker, int node, uint64_t epoch, bool accepted);
extern void (*on_direct_command)(struct worker *worker, const char *body); /* as it arrives */

bool run_until(bool (*condition)(void), double seconds);
void run_for(double seconds);
#endif
