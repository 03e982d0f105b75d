/*
 * A whole cluster on loopback sockets for one test process: stand-ins for store, cloud,
 * workers and users round real controller processes, and the history of what ran where.
 */
#ifndef WS_TEST_LOOPBACK_H
#define WS_TEST_LOOPBACK_H
#include <stdbool.h>
#include <stdint.h>

#define LOOPBACK_NODES 3
#define LOOPBACK_WORKERS 6
#define LOOPBACK_JOBS 16384
#define LOOPBACK_TEAMS 2

/* Figures of the settings that the controllers are started with. */
#define LOOPBACK_HEARTBEAT_S 0.5
#define LOOPBACK_LEASE_S 6.0
#define LOOPBACK_CANCEL_S 20.0

struct loopback_team {
	const char *name;
	double cpus_max;
};
extern struct loopback_team loopback_teams[LOOPBACK_TEAMS]; /* may be set before the start */

struct loopback_job {
	char id[32];
	const char *job_class;
	const struct loopback_team *team;
	double cpus;
	unsigned tasks;
	bool service;
	double run_s;
	bool accepted, done;
	unsigned answers_done; /* polls that said done */
	bool went_back;	       /* an answer after done or cancelled said otherwise */
	bool forgotten;	       /* an answer after it was accepted said that it is unknown */
	bool asking;	       /* a poll or cancellation has no answer yet */
	bool to_cancel;	       /* its user asks for that until it is answered */
	double cancelled_at;   /* when its user was told so; 0: it is not */
};

/* Faults of the stand-ins: shares of the messages that they befall, all 0 at first. */
struct loopback_faults {
	double slow_answers;	    /* answers to heartbeats reach their worker late */
	double heartbeat_copies;    /* heartbeats come again, later, at any node */
	double copies_for_next;	    /* or at all nodes, when the next leader begins */
	double late_commands;	    /* direct commands arrive after their sender gave up */
	double lost_answers;	    /* answers to direct commands are lost */
	double late_store_requests; /* the store carries them out late */
	double store_refuses_until; /* it answers 503 until this time */
};
extern struct loopback_faults loopback_faults;

/* What was seen, over the whole run. */
struct loopback_counts {
	unsigned starts, finishes, lost, twice; /* twice: started while on another machine */
	unsigned run_commands, stop_commands, reap_commands;
};

/* Starts the stand-ins and the controllers, with a settings file of the subsystems; NULL: none. */
void loopback_start(const char *program, const char *subsystems);
/* Before the start: the controllers' logs go to files, for the account of a break. */
void loopback_keep_logs(void);
void loopback_stop(void);
/* SIGINT and SIGTERM end the controllers, remove their files, and end this process. */
void loopback_leave_on_signals(void);
/* The time, in seconds. */
double loopback_now(void);
/* Runs the cluster for some seconds. */
void loopback_run(double seconds);
/* Runs until a condition holds, for some seconds at most; returns whether it does. */
bool loopback_until(bool (*condition)(void), double seconds);

struct loopback_job *loopback_submit(const char *job_class, unsigned tasks, bool service,
				     double run_s);
/* The same for a team, with tasks of so many CPUs. */
struct loopback_job *loopback_submit_for(const struct loopback_team *team, unsigned tasks,
					 double cpus, double run_s);
/* Its user cancels it. */
void loopback_cancel(struct loopback_job *job);
/* Jobs of a team whose users were not told yet that they are over. */
unsigned loopback_unfinished(const struct loopback_team *team);
/* Its user sends it again, as if it had not been accepted. */
void loopback_resubmit(struct loopback_job *job);
/* The workers of a zone, by its index, neither send nor answer anything. */
void loopback_dark(int zone, bool dark);
void loopback_kill_node(int node);
void loopback_start_node(int node);
void loopback_kill_all(void);
/* Stops a controller's process, or lets it go on. */
void loopback_freeze_node(int node, bool frozen);
void loopback_start_all(void);
/* Tasks of a job that run on a worker now, by its index; what the worker is called. */
unsigned loopback_running_on(int worker, const char *job);
const char *loopback_worker_name(int worker);
/* Tasks that run in a zone now. */
unsigned loopback_running(int zone);
/* State on record of a domain; "" without one. */
const char *loopback_domain(const char *name);
unsigned loopback_keys(const char *prefix);
/* A text and a count of a record; "" and 0 without one. */
const char *loopback_record_text(const char *key, const char *field);
long long loopback_record_count(const char *key, const char *field);
/* The store loses a record, as if it had never been written. */
void loopback_lose_record(const char *key);
/*
 * Runs the program beside the controllers with an option, and an argument of it or NULL. The first
 * line that it prints goes to `line`; returns its exit status.
 */
int loopback_command(const char *option, const char *argument, char *line, unsigned size);
/* Something that was seen, for the account of a break. */
void loopback_event(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* A rule was broken: the first time, that is kept. */
void loopback_broken(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* What was broken; NULL: nothing. */
const char *loopback_break(void);
/* Prints the last events and the last lines of the controllers' logs. */
void loopback_print_account(void);
/* A number from 0 up to 1, by srand48(). */
double loopback_random(void);
const struct loopback_counts *loopback_counts(void);
struct loopback_job *loopback_jobs(unsigned *count);
/* Whether the user of every job that ends was answered that it is done. */
bool loopback_all_done(void);
#endif
