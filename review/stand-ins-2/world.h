/*
 * Stand-ins for users, load balancer, workers, cloud and state service round real controller
 * processes, all on 127.0.0.1 and the real clock, as PROTOCOL-waystep.md describes them. One
 * process, one thread. A scenario (case_*.c) drives them; the rules are checked all the time.
 */
#ifndef WORLD_H
#define WORLD_H
#include "../../src/io/clock.h"
#include "../../src/io/http_client.h"
#include "../../src/io/http_server.h"
#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#define NODES 3
#define WORKERS_MAX 8
#define JOBS_MAX 512
#define BODY_LIMIT 65536 /* "No request body may exceed 64 KiB." */

/* ---- settings of the deployment: the values of the deploy page ---- */

struct deployment {
	int workers;
	double report_s, lease_s, cancel_s;
	double rps, write_rps, value_kb;
	int txn_ops;
	double machine_cpus, machine_gb, fetch_gb_s;
	double cpus, cpus_max; /* of each team */
	int teams;
	/* limits that the state service will have: `state.next` in the settings; 0: there is none
	 */
	double next_value_kb, next_write_rps;
	int next_txn_ops;
};
extern struct deployment deployment;

/* ---- jobs, as their users see them ---- */

struct job {
	char id[16], class_name[32], team[32], shape[8], tier[16], bundle[16];
	int shards;
	double vcpus, mem_gb, size_gb, run_s;
	/* submission */
	bool submitted, accepted, refused, submit_pending;
	double first_try_at, next_try_at, accepted_at;
	/* polls */
	bool poll_pending, done, withdrawn;
	double next_poll_at, done_at;
	char phase[16];
	/* cancellation */
	bool abort_wanted, abort_pending;
	double next_abort_at, withdrawn_at;
	/* what ran; the next starts that end with `error` after a second */
	unsigned starts, finished, errors_left;
	bool *task_done;
};
extern struct job jobs[JOBS_MAX];
extern int job_count;

/* Fills in a job with an id; the scenario may change it before job_submit(). */
struct job *job_new(const char *shape, int shards, double vcpus, double mem_gb, double run_s);
void job_submit(struct job *job);
void job_abort(struct job *job);

/* ---- workers ---- */

enum phase { PULLING, RUNNING, EXITED, WAITING };
struct task {
	struct job *job;
	int number;
	uint64_t attempt;
	enum phase phase;
	const char *cause;
	double next_at; /* of a waiting task: since when it waits */
};
struct worker {
	char name[16], hall[16];
	int index, port, node;
	struct ws_http_server *server;
	struct ws_http_client *clients[NODES];
	uint64_t tenure, counter, epoch, sent_tenure;
	double renewed_at, sent_at, next_report_at, last_report_at;
	bool report_pending, changed;
	struct task *tasks;
	size_t count, capacity;
	char bundles[16][16];
	int bundle_count;
	unsigned lease_losses, tasks_lost, oversize_reports, oversize_commands;
	/* faults */
	char *last_report;     /* the report that was sent last */
	char *run_call;	       /* body of the first direct call with a start that was carried out */
	bool holds_calls;      /* direct calls are held up: neither carried out nor answered */
	char *held_call;       /* body of the first one with a start */
	double direct_delay_s; /* answers to direct calls leave this much later */
};
extern struct worker workers[WORKERS_MAX];
/* The machine is back at once: its worker has no tasks and no images, session 1 and token 0. */
void worker_restart(struct worker *worker);
/* A late copy of a direct call arrives at the worker. */
void worker_receive_copy(struct worker *worker, const char *body);
unsigned tasks_on(const struct worker *worker, const struct job *job, bool exited);

/* Called when a direct call arrives at a worker, before it is carried out. */
extern void (*command_hook)(struct worker *worker);

/* ---- controllers ---- */

struct node {
	pid_t pid;
	int port, peer_port;
	char path[256];
	struct ws_http_client *users, *copies;
};
extern struct node nodes[NODES];
void node_start(int index);
void node_kill(int index);
void node_stop(int index); /* SIGSTOP */
void node_continue(int index);

/* ---- state service ---- */

/* Index of the node whose key `leader` is in the store, -1: none. */
int store_leader(void);
json_t *store_value(const char *key);
unsigned store_key_count(const char *prefix);
/* From now on the limits are those of `state.next`. */
void store_lower_limits(void);
/* Called with each applied write or deletion (value NULL). */
extern void (*store_hook)(const char *key, json_t *value);

/* ---- run ---- */

extern bool trouble;
extern struct ev_loop *loop;
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Records that a rule was broken. */
void broken(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the run: the case can't be judged. */
void cannot_run(const char *why);
double world_time(void);
void run_for(double seconds);
bool run_until(bool (*condition)(void), double seconds);
bool leader_known(void);
bool all_accepted(void);
bool all_done(void);

/* The scenario. */
extern const char *const case_name;
void case_setup(void); /* changes `deployment` */
void case_run(void);
#endif
