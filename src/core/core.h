/*
 * The interface between the core and the I/O layer. The core holds jobs, fleet, scheduler,
 * autoscaler and leadership, and does no input or output itself.
 *
 * The I/O layer (src/io) passes events and the current time to the ws_core_* functions. The core
 * returns a queue of effects, which the I/O layer carries out in order. Times are seconds of a
 * monotonic clock unless stated otherwise. The core is not thread-safe: the I/O layer holds one
 * lock around each call.
 *
 * An answer is what this node sends for a request that it received; a reply is what it receives for
 * a call that it made.
 */
#ifndef WS_CORE_H
#define WS_CORE_H
#include "settings.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define WS_ID_MAX 64	    /* bytes of a job id, with the final zero byte */
#define WS_KEY_MAX 201	    /* bytes of a key of the store, with the final zero byte */
#define WS_MAX_TYPES 32	    /* machine types of the cloud */
#define WS_MAX_TASKS 100000 /* tasks of a job */
#define WS_MAX_ALLOWED 16   /* machine types that a job allows; zones of a machine type */

/* ---- jobs ---- */

/* Scheduling priority of a job: jobs of a larger value are scheduled first. */
enum ws_priority_class {
	WS_PRIORITY_BEST_EFFORT,
	WS_PRIORITY_NORMAL,
	WS_PRIORITY_URGENT,
	WS_PRIORITY_PRODUCTION
};
/* The phase of a job as reported to its user. */
enum ws_job_phase { WS_JOB_QUEUED, WS_JOB_RUNNING, WS_JOB_DONE, WS_JOB_CANCELLED };

/* A job as its user submitted it. */
struct ws_job_spec {
	char id[WS_ID_MAX];
	char job_class[WS_NAME_MAX];
	char team[WS_NAME_MAX];
	bool service; /* the tasks are replicas that run until the job is cancelled */
	bool gang;    /* all tasks run at the same time, or none runs */
	enum ws_priority_class priority;
	uint32_t tasks;
	double cpus, gpus, mem_gb; /* resources of each task */
	char image[WS_NAME_MAX];
	double image_gb;
	char types[WS_MAX_ALLOWED][WS_NAME_MAX]; /* machine types allowed */
	size_t type_count;			 /* 0: all types are allowed */
	char zone[WS_NAME_MAX]; /* the only zone allowed; empty: all zones are allowed */
	bool one_zone;		/* all tasks in the same zone */
	bool spread;		/* spread tasks over machines; those of a gang over zones */
	bool allows_preemptible;
	double estimate_s;	      /* expected run time of a task */
	double checkpoint_interval_s; /* interval between checkpoints */
	double checkpoint_duration_s; /* time that one checkpoint takes */
	double deadline_s;	      /* below 0: the job has no deadline */
};

/* ---- machines ---- */

/* A machine type of the cloud. */
struct ws_machine_type {
	char name[WS_NAME_MAX];
	double cpus, gpus, mem_gb;
	double local_gb;   /* disk space for images */
	double fetch_gb_s; /* bandwidth to fetch images, GB per second */
	double price, preemptible_price;
	double boot_s;
	char zones[WS_MAX_ALLOWED][WS_NAME_MAX];
	size_t zone_count;
};

/* State of a task as its worker reports it. */
enum ws_task_state {
	WS_TASK_FETCHING,
	WS_TASK_RUNNING,
	WS_TASK_CHECKPOINTING,
	WS_TASK_EXITED,
	WS_TASK_WAITING, /* gang only: waits for the other tasks of its attempt */
};
/* Reason for which a task exited. */
enum ws_exit_reason {
	WS_EXIT_NONE,	 /* the task has not exited */
	WS_EXIT_DONE,	 /* completed */
	WS_EXIT_STOPPED, /* stopped by a command, or because the lease expired */
	WS_EXIT_ERROR,
	WS_EXIT_NO_CAPACITY, /* this and the next two: the machine refused to start it */
	WS_EXIT_ATTEMPT_EXISTS,
	WS_EXIT_UNKNOWN_JOB,
	WS_EXIT_MEMBER_LOST,	 /* gang only: another task of the attempt was lost */
	WS_EXIT_GANG_INCOMPLETE, /* gang only: not all tasks started in time */
};

/* Status of one task in a heartbeat. */
struct ws_task_status {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_exit_reason exit_reason;
};

/* A worker's heartbeat, or its reply to commands. */
struct ws_heartbeat {
	char machine[WS_NAME_MAX];
	char address[64]; /* the worker accepts commands here */
	int port;
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool preemptible;
	uint64_t incarnation;	      /* increases when the worker has lost its lease */
	uint64_t sequence;	      /* increases with each heartbeat of an incarnation */
	uint64_t fencing_token;	      /* the highest that the worker has seen */
	double preemption_notice_s;   /* time until preemption; below 0: no notice */
	struct ws_task_status *tasks; /* owned; see ws_heartbeat_free() */
	size_t task_count;
};

enum ws_command_kind {
	WS_COMMAND_RUN,	 /* start a task */
	WS_COMMAND_STOP, /* checkpoint and end a task */
	WS_COMMAND_REAP, /* discard the state of a task that has exited */
};

/* A command to a worker about one attempt of a task. */
struct ws_command {
	enum ws_command_kind kind;
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	double grace_s; /* STOP: time to write a checkpoint; 0: end at once */
};

/* An instance as the cloud lists it. */
enum ws_instance_phase { WS_INSTANCE_STARTING, WS_INSTANCE_RUNNING, WS_INSTANCE_FAILED };
struct ws_instance {
	char name[WS_NAME_MAX];
	char address[64];
	int port;
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool preemptible;
	enum ws_instance_phase phase;
	double age_s; /* time since it was requested */
};

/* ---- calls: requests that the core sends, and their results ---- */

/* A record of the store, or a change to one. */
struct ws_kv {
	char key[WS_KEY_MAX];
	json_t *value; /* NULL: the key was deleted */
	uint64_t revision;
};

/* A job whose cancellation was, or may have been, confirmed to its user. */
struct ws_cancellation {
	char job[WS_ID_MAX];
	uint64_t revision; /* revision of the job record that marks it as cancelled */
};

/* Outcome of a call. */
enum ws_outcome {
	WS_OUTCOME_NO_REPLY, /* no valid reply arrived: it may have been carried out */
	WS_OUTCOME_NOT_SENT, /* the request was not sent */
	WS_OUTCOME_OK,
	WS_OUTCOME_REJECTED,  /* malformed, or exceeds a limit: not carried out */
	WS_OUTCOME_NOT_FOUND, /* the key or the session does not exist */
	WS_OUTCOME_CONFLICT,  /* a compare failed, or the worker has seen a higher fencing token */
	WS_OUTCOME_COMPACTED, /* the start revision of a watch has been compacted */
	WS_OUTCOME_RATE_LIMITED, /* exceeds the service's rate, or this node's share of it */
	WS_OUTCOME_UNAVAILABLE,	 /* the service is temporarily unavailable */
	WS_OUTCOME_OTHER,	 /* any other reply */
};

enum ws_call_kind {
	WS_CALL_GET,
	WS_CALL_LIST,
	WS_CALL_TRANSACTION,
	WS_CALL_WATCH,
	WS_CALL_SESSION_OPEN,
	WS_CALL_SESSION_RENEW,
	WS_CALL_SESSION_CLOSE,
	WS_CALL_MACHINE_TYPES,
	WS_CALL_INSTANCES,
	WS_CALL_SCALE_OUT,
	WS_CALL_SCALE_IN,
	WS_CALL_COMMANDS,
	WS_CALL_OUTAGE_VOTE,
};

/* Result of WS_CALL_GET (one entry), WS_CALL_LIST (a page) or WS_CALL_WATCH (changes). */
struct ws_records_result {
	struct ws_kv *entries; /* owned */
	size_t entry_count;
	uint64_t revision; /* LIST and WATCH: the store's revision at the time of its reply */
	bool has_more;	   /* LIST: another page follows */
};

/* Result of WS_CALL_TRANSACTION. */
struct ws_transaction_result {
	uint64_t revision;		 /* OK: the revision of the keys written */
	char (*failed_keys)[WS_KEY_MAX]; /* CONFLICT: keys whose compare failed; owned */
	size_t failed_count;
};

/* Result of WS_CALL_MACHINE_TYPES. */
struct ws_types_result {
	struct ws_machine_type *list; /* owned */
	size_t count;
};

/* Result of WS_CALL_INSTANCES (a page), or of WS_CALL_SCALE_OUT (only names are filled in). */
struct ws_instances_result {
	struct ws_instance *list; /* owned */
	size_t count;
	bool has_more;	  /* INSTANCES: another page follows */
	bool no_capacity; /* SCALE_OUT, UNAVAILABLE: no instance was created */
};

/*
 * Reply to an outage vote request. A peer that grants its vote also returns the cancellations that
 * it has recorded after the requested revision, page by page.
 */
struct ws_outage_vote_reply {
	bool granted;
	bool counts_leases; /* the peer, if elected, allows for the entitlement by its vote */
	bool has_more;	    /* another page follows */
	struct ws_cancellation *cancellations; /* owned */
	size_t cancellation_count;
};

/* Result of a call. The call's kind selects the member of the union. */
struct ws_result {
	enum ws_call_kind kind;
	enum ws_outcome outcome;
	int http_status; /* for log lines only; 0: no reply; below 0: not sent */
	union {
		struct ws_records_result records;
		struct ws_transaction_result transaction;
		uint64_t session; /* SESSION_OPEN: the id of the new session */
		struct ws_types_result types;
		struct ws_instances_result instances;
		struct ws_heartbeat
		    *heartbeat; /* COMMANDS: the worker's reply; owned; may be NULL */
		struct ws_outage_vote_reply vote;
	};
};

/* A precondition of a transaction: the key has this revision; 0: the key does not exist. */
struct ws_compare {
	char key[WS_KEY_MAX];
	uint64_t revision;
};

/* One write or deletion in a transaction. */
struct ws_operation {
	char key[WS_KEY_MAX];
	json_t *value;	  /* owned by the call; NULL: the key is deleted */
	uint64_t session; /* the store deletes the key when this session ends; 0: never */
};

/* WS_CALL_GET: the record of a key. WS_CALL_LIST: the records of a prefix, page by page. */
struct ws_read_call {
	char key[WS_KEY_MAX];	/* LIST: the prefix */
	char after[WS_KEY_MAX]; /* LIST: the page starts after this key; empty: at the first key */
};

/* WS_CALL_WATCH: the changes to the keys of a prefix. */
struct ws_watch_call {
	char prefix[WS_KEY_MAX];
	uint64_t since_revision; /* only changes with a higher revision are returned */
	uint32_t timeout_ms;	 /* time that the store waits for a change; 0: it replies at once */
};

/* WS_CALL_TRANSACTION: applies all operations atomically if all compares hold, else none. */
struct ws_transaction_call {
	struct ws_compare *compares; /* owned */
	size_t compare_count;
	struct ws_operation *operations; /* owned */
	size_t operation_count;
	bool self_paced; /* the sender limits its own write rate; the I/O layer does not */
};

/* WS_CALL_SESSION_OPEN, _RENEW and _CLOSE: a session of the store. */
struct ws_session_call {
	uint64_t id;	 /* RENEW and CLOSE */
	uint32_t ttl_ms; /* OPEN: the session expires this long after the last renewal */
};

/* WS_CALL_INSTANCES: the cloud's list of instances, page by page. */
struct ws_instances_call {
	char after[WS_KEY_MAX]; /* the page starts after this name; empty: at the first */
};

/* WS_CALL_SCALE_OUT: requests new instances of one type in one zone. */
struct ws_scale_out_call {
	char idempotency_key[WS_NAME_MAX]; /* the cloud carries out one request per key */
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool preemptible;
	uint32_t count;
};

/* WS_CALL_SCALE_IN: instances to delete. */
struct ws_scale_in_call {
	char (*machine_names)[WS_NAME_MAX]; /* owned */
	size_t count;
};

/* WS_CALL_COMMANDS: commands sent directly to a worker. An empty list is a probe. */
struct ws_commands_call {
	char machine[WS_NAME_MAX]; /* not part of the message */
	char address[64];
	int port;
	uint64_t fencing_token; /* the worker rejects a token below the highest it has seen */
	uint64_t incarnation;	/* the commands are valid for this incarnation of the worker only */
	uint64_t known_sequence; /* of the worker's newest report; not part of the message */
	struct ws_command *list; /* owned */
	size_t count;
};

/* WS_CALL_OUTAGE_VOTE: asks a peer whether the store is unavailable to it as well. */
struct ws_outage_vote_call {
	char peer[WS_NAME_MAX];
	char after_job[WS_ID_MAX]; /* the page starts after this job; empty: at the first */
	uint64_t since_revision;   /* the leader's replica already has cancellations up to it */
	uint64_t leader_revision;  /* revision of the requesting leader's key */
	uint64_t round;		   /* the requester's voting round; not part of the message */
};

struct ws_core;
struct ws_call;
/* Handles the result of a call. The caller frees the call and the result afterwards. */
typedef void (*ws_result_fn)(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result);

/*
 * A call to the store, the cloud, a worker or a peer. The kind selects the member of the union;
 * WS_CALL_MACHINE_TYPES has none.
 */
struct ws_call {
	enum ws_call_kind kind;
	bool urgent; /* is sent before other calls to the same service */
	union {
		struct ws_read_call read;
		struct ws_watch_call watch;
		struct ws_transaction_call transaction;
		struct ws_session_call session;
		struct ws_instances_call instances;
		struct ws_scale_out_call scale_out;
		struct ws_scale_in_call scale_in;
		struct ws_commands_call commands;
		struct ws_outage_vote_call outage_vote;
	};
	/* used by the core only */
	ws_result_fn on_result;
	void *context; /* data for on_result, from malloc(); owned; NULL after it was passed on */
	uint64_t generation; /* of the core at creation; results of earlier ones are ignored */
	double created_at;   /* seconds of the core's clock */
	struct ws_call *next;
};

/* ---- effects: actions for the I/O layer ---- */

/* Answer to a request of a user, a worker or a peer. */
enum ws_answer {
	WS_ANSWER_UNAVAILABLE,	/* retry later; outage vote: the store is unavailable here too */
	WS_ANSWER_OK,		/* job state returned, or lease renewed; outage vote: not granted */
	WS_ANSWER_ACCEPTED,	/* the job is new and has been recorded in the store */
	WS_ANSWER_NOT_FOUND,	/* the job does not exist */
	WS_ANSWER_OTHER_LEADER, /* the worker must send its heartbeats to the named node */
	WS_ANSWER_NEVER_RUNNABLE, /* no machine type fits the job, or a team limit excludes it */
};

enum ws_effect_kind {
	WS_EFFECT_CALL,	       /* send a call */
	WS_EFFECT_ANSWER_USER, /* answer a user's request */
	WS_EFFECT_ANSWER_HEARTBEAT,
	WS_EFFECT_FORWARD, /* forward the request to a peer and return its reply */
	WS_EFFECT_ANSWER_VOTE,
};

/* WS_EFFECT_ANSWER_USER: the state of a job. */
struct ws_user_answer_effect {
	char job[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done, running; /* numbers of tasks */
	bool carries_counts;	/* done and running are part of the answer */
	int retry_after_s;	/* 0: no retry time is given */
};

/* WS_EFFECT_ANSWER_HEARTBEAT: redirects the worker, or renews its lease and sends commands. */
struct ws_heartbeat_answer_effect {
	char leader[WS_NAME_MAX];    /* OTHER_LEADER: the current leader's node */
	uint64_t fencing_token;	     /* set with OK */
	struct ws_command *commands; /* set with OK; owned */
	size_t command_count;
};

/* WS_EFFECT_FORWARD: passes a request to the leader or another peer. */
struct ws_forward {
	char leader[WS_NAME_MAX]; /* the node to forward to; empty: any peer */
	bool redirect_failed;	  /* heartbeat: the worker was redirected and still sends it here */
};

/* An action for the I/O layer. The kind selects the member of the union. */
struct ws_effect {
	enum ws_effect_kind kind;
	enum ws_answer answer; /* used by the kinds that answer a request */
	uint64_t request_id;   /* the request that is answered or forwarded */
	union {
		struct ws_call *call; /* not owned: returned to the core by ws_core_complete() */
		struct ws_user_answer_effect user;
		struct ws_heartbeat_answer_effect heartbeat;
		struct ws_forward forward;
		struct ws_outage_vote_reply vote;
	};
	struct ws_effect *next;
};

/* ---- the core ---- */

/* Receives the log lines of the core, which writes no file itself. */
enum ws_log_level { WS_LOG_ERROR, WS_LOG_INFO, WS_LOG_DEBUG };
typedef void (*ws_log_fn)(enum ws_log_level level, const char *text);

/* The maximum age of the leader's job replica during a store outage, in seconds. */
double ws_core_replica_age_limit(const struct ws_settings *settings);
/* Whether that maximum is below the longest update interval of a working job watch. */
bool ws_core_replica_age_limit_is_short(const struct ws_settings *settings,
					const struct ws_policy *policy);

/*
 * Creates a core in the follower role. The settings must outlive it; the policy is copied. `now` is
 * the start time; `nonce` distinguishes this process from earlier ones on the same node. Returns
 * NULL if memory is exhausted.
 */
struct ws_core *ws_core_new(const struct ws_settings *settings, const struct ws_policy *policy,
			    ws_log_fn log, double now, uint64_t nonce);
/* Sets the most detailed level to log (initially all). Other lines are not formatted. */
void ws_core_set_log_level(struct ws_core *core, enum ws_log_level most_detailed);
/* Frees the core and its pending effects. Calls already taken belong to the I/O layer. */
void ws_core_free(struct ws_core *core);
/* Runs all work that is due at this time. */
void ws_core_tick(struct ws_core *core, double now);
/* Returns the next effect, or NULL if none is pending. The caller carries it out and frees it. */
struct ws_effect *ws_core_next_effect(struct ws_core *core);
/* Frees an effect, but not its call. Accepts NULL. */
void ws_effect_free(struct ws_effect *effect);
/* Frees the contents of a heartbeat, but not the struct itself. */
void ws_heartbeat_free(struct ws_heartbeat *heartbeat);
/* Frees the contents of a result and resets it to WS_OUTCOME_NO_REPLY of the same kind. */
void ws_result_free(struct ws_result *result);
/* Passes the result of a call to the core and frees the call; required once for each call. The
 * caller keeps the result. */
void ws_core_complete(struct ws_core *core, double now, struct ws_call *call,
		      const struct ws_result *result);
/* Called after each request to the core. Reads the clock if a scheduling pass has run, and delays
 * the next one in proportion to its duration. */
void ws_core_delay_next_pass(struct ws_core *core, double (*clock)(void));
/* Gives up leadership and stops campaigning, because the process is about to stop. */
void ws_core_resign(struct ws_core *core, double now);

/* Whether the node can serve: the machine types are loaded, and the store or a peer answers. */
bool ws_core_is_ready(const struct ws_core *core);
/* Whether this node is the leader; it may act only while ws_core_is_entitled() holds. */
bool ws_core_is_leader(const struct ws_core *core);
/* Whether messages that only a leader may send may be sent now. */
bool ws_core_is_entitled(const struct ws_core *core, double now);

/*
 * Requests. An effect with the request's id answers each, or forwards it if it was not forwarded
 * before. The caller keeps ownership of the arguments.
 */
/* Submits a job; `wall` is the wall-clock time in seconds since 1970. */
void ws_core_submit(struct ws_core *core, double now, double wall, uint64_t request_id,
		    const struct ws_job_spec *spec, bool forwarded);
/* Queries the state of a job. */
void ws_core_query_status(struct ws_core *core, double now, uint64_t request_id, const char *id,
			  bool forwarded);
/* Cancels a job. */
void ws_core_cancel(struct ws_core *core, double now, uint64_t request_id, const char *id,
		    bool forwarded);
/* Handles a worker's heartbeat; on the leader it renews the worker's lease. */
void ws_core_heartbeat(struct ws_core *core, double now, uint64_t request_id,
		       const struct ws_heartbeat *heartbeat, bool forwarded);
/*
 * Handles an outage vote request: a leader whose key has the revision `leader_revision` asks
 * whether the store is unavailable to this node too. The answer lists cancellations above
 * `since_revision`; where one frame can't hold the list, the next page starts after the job
 * `after_job`.
 */
void ws_core_outage_vote(struct ws_core *core, double now, uint64_t request_id,
			 uint64_t leader_revision, uint64_t since_revision, const char *after_job);
/* Handles an outage vote request of a peer whose version does not accept a cancellation list. */
void ws_core_outage_vote_legacy(struct ws_core *core, double now, uint64_t request_id);

/* ---- the queue model, which runs on a separate thread ---- */

/* Input of the model: rates per second, sizes in demand units, times in seconds. */
struct ws_queue_measurement {
	double arrival_rate, service_rate, boot_rate; /* the last two are rates of one unit */
	int owned;				      /* units on owned machines */
	int ceiling;				      /* maximum of units on rented machines */
	int waiting_units;			      /* maximum of units waiting in the queue */
	double delta;				      /* ratio at which Algorithm 1 stops */
	double rentals_max; /* the mean units on rented machines are divided by it */
	double wait_max_s;  /* the mean wait is divided by it */
	double bound_s;	    /* upper bound of the mean wait */
};

/* Takes a measurement if one is due. Returns false if none is due or the data is insufficient. */
bool ws_core_take_measurement(struct ws_core *core, double now,
			      struct ws_queue_measurement *measurement);
/* Applies the model's result: the maximum of units on rented machines, and the expected means. */
void ws_core_set_scale_out_limit(struct ws_core *core, double now, int limit,
				 double mean_scaled_out, double mean_wait_s);
#endif
