/*
 * A cluster on loopback sockets for one test process: real controller processes with simulated
 * store, cloud, workers and users, and a history of the tasks.
 */
#ifndef WS_TEST_LOOPBACK_H
#define WS_TEST_LOOPBACK_H
#include <stdbool.h>
#include <stdint.h>

#define LOOPBACK_NODES 3
#define LOOPBACK_WORKERS 6
#define LOOPBACK_JOBS_MAX 16384
#define LOOPBACK_TEAMS 2

/* Values in the settings of the controllers. */
#define LOOPBACK_HEARTBEAT_S 0.5
#define LOOPBACK_LEASE_S 6.0
#define LOOPBACK_CANCEL_S 20.0

struct loopback_team {
	const char *name;
	double cpus_max;
};
/* The limits may be changed before loopback_start(). */
extern struct loopback_team loopback_teams[LOOPBACK_TEAMS];

struct loopback_job {
	char id[32];
	const char *job_class;
	const struct loopback_team *team;
	double cpus;
	unsigned tasks;
	bool service;
	double run_s;
	bool accepted, done;
	unsigned done_answer_count; /* number of answers with the phase done */
	bool contradicted;	    /* an answer contradicts an earlier one or the requests */
	bool reported_unknown;	    /* an answer after its acceptance was 404 */
	bool request_pending;	    /* a poll or a cancellation is unanswered */
	bool cancel_requested;	    /* its user requests the cancellation until it is answered */
	double cancelled_at;	    /* time of the answer; 0: not cancelled */
};

/* Faults of the simulated services: the shares of messages that they affect, 0 at the start. */
struct loopback_faults {
	double delayed_answers;		  /* answers to heartbeats are delayed */
	double duplicated_heartbeats;	  /* heartbeats are sent again later, to any node */
	double duplicated_after_election; /* the same to all nodes after the next election */
	double delayed_commands; /* direct commands arrive after the timeout of their sender */
	double copied_commands;	 /* executed direct commands arrive again, once or several times */
	double lost_answers;	 /* answers to direct commands are lost */
	double delayed_store_requests;	/* the store executes requests late */
	double store_unavailable_until; /* the store answers 503 until this time */
};
extern struct loopback_faults loopback_faults;

/* Who sends messages with the unknown field. */
enum loopback_sender {
	LOOPBACK_USERS = 1,
	LOOPBACK_STORE = 2,
	LOOPBACK_CLOUD = 4,
	LOOPBACK_WORKER = 8,
};
/* The JSON value of an unknown field in all messages of these senders; NULL: there is none. */
struct loopback_unknown_field {
	const char *value;
	unsigned senders;
};
extern struct loopback_unknown_field loopback_unknown_field;

/* Counts over the whole run. */
struct loopback_counts {
	/* the last one: tasks started while they ran on another machine */
	unsigned starts, finishes, lost_tasks, duplicate_starts;
	unsigned run_commands, stop_commands, reap_commands;
	unsigned command_copies;      /* copies of direct calls that arrived */
	unsigned refused_submissions; /* submissions answered with 400 */
};

/* Starts the simulated services and the controllers. `subsystem_settings` is the settings file
 * of the subsystems, or NULL. */
void loopback_start(const char *program_path, const char *subsystem_settings);
/* Writes the controllers' logs to files for diagnostics; to be called before loopback_start(). */
void loopback_write_logs(void);
void loopback_stop(void);
/* Installs handlers of SIGINT and SIGTERM that kill the controllers, remove their settings files
 * and exit. */
void loopback_exit_on_signals(void);
/* Returns the time in seconds. */
double loopback_now(void);
/* Runs the cluster for a time. */
void loopback_run(double seconds);
/* Runs the cluster until a condition holds. Returns false on a timeout after `seconds`. */
bool loopback_run_until(bool (*condition)(void), double seconds);

/* Submits a job of the first team. */
struct loopback_job *loopback_submit(const char *job_class, unsigned tasks, bool service,
				     double run_s);
/* Submits a job of a team, with this number of CPUs for each task. */
struct loopback_job *loopback_submit_for(const struct loopback_team *team, unsigned tasks,
					 double cpus, double run_s);
/* Makes the user of a job cancel it. */
void loopback_cancel(struct loopback_job *job);
/* Returns the number of jobs of a team that no answer has called done or cancelled. */
unsigned loopback_unfinished_count(const struct loopback_team *team);
/* Makes the user of a job submit it again, as if it had not been accepted. */
void loopback_resubmit(struct loopback_job *job);
/* Sets whether the workers of a zone, by its index, are partitioned: they neither send heartbeats
 * nor answer. */
void loopback_partition_zone(int zone, bool partitioned);
void loopback_kill_node(int node);
void loopback_start_node(int node);
void loopback_kill_all(void);
/* Pauses or resumes a controller process. */
void loopback_pause_node(int node, bool paused);
void loopback_start_all(void);
/* Returns the number of running tasks of a job on a worker, by its index. */
unsigned loopback_running_on_worker(int worker, const char *job);
const char *loopback_worker_name(int worker);
/* Returns the number of running tasks in a zone. */
unsigned loopback_running_in_zone(int zone);
/* Returns the recorded state of a domain, "" if there is none. */
const char *loopback_domain_state(const char *name);
/* Returns the number of keys with a prefix. */
unsigned loopback_key_count(const char *prefix);
/* Returns a string or an integer of a record, "" or 0 if there is none. */
const char *loopback_record_text(const char *key, const char *field);
long long loopback_record_integer(const char *key, const char *field);
/* Deletes a record from the store, to simulate a loss of data. */
void loopback_delete_record(const char *key);
/*
 * Runs the program with an option and its argument, or NULL, while the controllers run. The
 * beginning of its output goes to `output`. Returns its exit status, -1 on failure.
 */
int loopback_command(const char *option, const char *argument, char *output, unsigned size);
/* Logs an event for diagnostics. */
void loopback_event(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Reports the violation of an invariant. Only the first one is kept. */
void loopback_violation(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Returns the text of the first violation, NULL if there is none. */
const char *loopback_first_violation(void);
/* Prints the last events and the last lines of the controllers' logs. */
void loopback_print_diagnostics(void);
/* Returns a random number from 0 up to but not including 1, seeded with srand48(). */
double loopback_random(void);
const struct loopback_counts *loopback_counts(void);
struct loopback_job *loopback_jobs(unsigned *count);
/* Returns true if every job that is not a service was answered as done. */
bool loopback_all_done(void);
#endif
