/*
 * The interface between the core and the I/O layer. The core holds jobs, fleet, scheduler,
 * autoscaler and leadership, and does no input or output itself.
 *
 * Events and the time go in by ws_core_* functions; what is to be done comes out as a queue of
 * effects, which the I/O layer (src/io) carries out in their order. Times are seconds of a steady
 * clock that never goes back, unless something else is said. Not thread safe: the I/O layer holds
 * one lock round it.
 */
#ifndef WS_CORE_H
#define WS_CORE_H
#include "settings.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define WS_ID_MAX 64	    /* bytes of a job id, with its end */
#define WS_KEY_MAX 201	    /* bytes of a key of the store, with its end */
#define WS_MAX_TYPES 32	    /* machine types */
#define WS_MAX_TASKS 100000 /* of a job */
#define WS_MAX_ALLOWED 16   /* machine types that a job names; zones of a machine type */

/* ---- jobs ---- */

/* The larger one goes first. */
enum ws_priority_class {
	WS_PRIORITY_BEST_EFFORT,
	WS_PRIORITY_NORMAL,
	WS_PRIORITY_URGENT,
	WS_PRIORITY_PRODUCTION
};
/* What its user is told of a job. */
enum ws_job_phase { WS_JOB_QUEUED, WS_JOB_RUNNING, WS_JOB_DONE, WS_JOB_CANCELLED };

/* What a user asks for. */
struct ws_job_spec {
	char id[WS_ID_MAX];
	char job_class[WS_NAME_MAX];
	char team[WS_NAME_MAX];
	bool service; /* its tasks are replicas that run until the job is cancelled */
	bool gang;    /* all tasks run at once or none */
	enum ws_priority_class priority;
	uint32_t tasks;
	double cpus, gpus, mem_gb; /* of each task */
	char image[WS_NAME_MAX];
	double image_gb;
	char types[WS_MAX_ALLOWED][WS_NAME_MAX]; /* machine types allowed */
	size_t type_count;			 /* 0: any */
	char zone[WS_NAME_MAX];			 /* the only one allowed; empty: any */
	bool one_zone;				 /* all tasks in the same zone */
	bool spread;				 /* over many machines, of a gang over zones */
	bool allows_preemptible;
	double estimate_s;   /* expected run time of a task */
	double checkpoint_s; /* interval of checkpoints */
	double save_s;	     /* duration of a checkpoint */
	double deadline_s;   /* below 0: none */
};

/* ---- machines ---- */

/* A machine type of the cloud. */
struct ws_machine_type {
	char name[WS_NAME_MAX];
	double cpus, gpus, mem_gb;
	double local_gb;   /* disk for images */
	double fetch_gb_s; /* bandwidth to fetch images, GB a second */
	double price, preemptible_price;
	double boot_s;
	char zones[WS_MAX_ALLOWED][WS_NAME_MAX];
	size_t zone_count;
};

/* What a worker says of a task. */
enum ws_task_state {
	WS_TASK_FETCHING,
	WS_TASK_RUNNING,
	WS_TASK_SAVING,
	WS_TASK_EXITED,
	WS_TASK_WAITING, /* of a gang: for the other tasks of its attempt */
};
/* Why a task has exited. */
enum ws_exit_reason {
	WS_EXIT_NONE,	 /* it has not */
	WS_EXIT_DONE,	 /* completed */
	WS_EXIT_STOPPED, /* by a command, or a lease that ran out */
	WS_EXIT_ERROR,
	WS_EXIT_FULL, /* this and the next two: refused by the machine */
	WS_EXIT_BUSY,
	WS_EXIT_UNKNOWN,
	WS_EXIT_MEMBER_LOST,	 /* of a gang: another of its tasks is gone */
	WS_EXIT_GANG_INCOMPLETE, /* of a gang: it was not complete in time */
};

/* A task in a heartbeat. */
struct ws_task_status {
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum ws_task_state state;
	enum ws_exit_reason exit_reason;
};

/* A worker's heartbeat, or its answer to commands. */
struct ws_heartbeat {
	char machine[WS_NAME_MAX];
	char address[64]; /* where the worker takes commands */
	int port;
	char type[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	bool preemptible;
	uint64_t incarnation;	      /* rises when the worker has lost its lease */
	uint64_t sequence;	      /* rises with each heartbeat of an incarnation */
	uint64_t fencing_token;	      /* the highest that it knows */
	double preemption_notice_s;   /* until the machine is taken away; below 0: no notice */
	struct ws_task_status *tasks; /* owned by who made the heartbeat */
	size_t task_count;
};

enum ws_command_kind {
	WS_COMMAND_RUN,	 /* start a task */
	WS_COMMAND_STOP, /* save and end a task */
	WS_COMMAND_REAP, /* forget a task that has exited */
};

/* What a worker is told to do with one attempt of a task. */
struct ws_command {
	enum ws_command_kind kind;
	char job[WS_ID_MAX];
	uint32_t task;
	uint64_t attempt;
	double grace_s; /* STOP: so long it may save; 0: ends at once */
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
	double age_s; /* since it was asked for */
};

/* ---- calls: what the core asks of others, and what they answer ---- */

/* A record of the store, or a change to one. */
struct ws_kv {
	char key[WS_KEY_MAX];
	json_t *value; /* NULL: the key was deleted */
	uint64_t revision;
};

/* A job whose user was told that it is cancelled, or may have been. */
struct ws_cancellation {
	char job[WS_ID_MAX];
	uint64_t revision; /* of its record, as cancelled */
};

/* What became of a call. */
enum ws_outcome {
	WS_OUTCOME_NO_ANSWER, /* none, or none that can be read: carried out or not */
	WS_OUTCOME_NOT_SENT,  /* it never left this node */
	WS_OUTCOME_OK,
	WS_OUTCOME_REJECTED,	 /* malformed, or over a limit of the service: not carried out */
	WS_OUTCOME_NOT_FOUND,	 /* no such key, or session */
	WS_OUTCOME_CONFLICT,	 /* a compare failed; the worker knows a later fencing token */
	WS_OUTCOME_COMPACTED,	 /* the store has no longer what a watch starts from */
	WS_OUTCOME_RATE_LIMITED, /* over the rate of the service, or of this node's share of it */
	WS_OUTCOME_UNAVAILABLE,	 /* the service can't serve now */
	WS_OUTCOME_OTHER,	 /* any other answer */
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

/* Of WS_CALL_GET (one entry), WS_CALL_LIST (a page) and WS_CALL_WATCH (changes). */
struct ws_records_result {
	struct ws_kv *entries; /* owned */
	size_t entry_count;
	uint64_t revision; /* LIST and WATCH: of the store, when it answered */
	bool has_more;	   /* LIST: another page follows */
};

/* Of WS_CALL_TRANSACTION. */
struct ws_transaction_result {
	uint64_t revision;		 /* OK: of the keys written */
	char (*failed_keys)[WS_KEY_MAX]; /* CONFLICT: those whose compare failed; owned */
	size_t failed_count;
};

/* Of WS_CALL_MACHINE_TYPES. */
struct ws_types_result {
	struct ws_machine_type *list; /* owned */
	size_t count;
};

/* Of WS_CALL_INSTANCES (a page), and of WS_CALL_SCALE_OUT, with names alone. */
struct ws_instances_result {
	struct ws_instance *list; /* owned */
	size_t count;
	bool has_more;	  /* INSTANCES: another page follows */
	bool no_capacity; /* SCALE_OUT, UNAVAILABLE: surely nothing was granted */
};

/*
 * An outage vote. Who grants it answers for all cancellations that it knows of after a revision:
 * these are the first of them.
 */
struct ws_outage_vote_reply {
	bool granted;
	bool has_more;			       /* others follow the last one */
	struct ws_cancellation *cancellations; /* owned */
	size_t cancellation_count;
};

/* What a call brought. The kind of the call tells which member of the union holds it. */
struct ws_result {
	enum ws_call_kind kind;
	enum ws_outcome outcome;
	int http_status; /* of the answer, for log lines only; 0: none, below: never sent */
	union {
		struct ws_records_result records;
		struct ws_transaction_result transaction;
		uint64_t session; /* SESSION_OPEN: id of the new session */
		struct ws_types_result types;
		struct ws_instances_result instances;
		struct ws_heartbeat
		    *heartbeat; /* COMMANDS: the worker's answer; owned; may be NULL */
		struct ws_outage_vote_reply vote;
	};
};

/* A transaction is carried out only if this key has this revision; 0: the key is missing. */
struct ws_compare {
	char key[WS_KEY_MAX];
	uint64_t revision;
};

/* One change of a transaction. */
struct ws_operation {
	char key[WS_KEY_MAX];
	json_t *value;	  /* owned by the call; NULL: the key is deleted */
	uint64_t session; /* the key is deleted when this store session ends; 0: it stays */
};

/* WS_CALL_GET: the record of a key. WS_CALL_LIST: the records of a prefix, page by page. */
struct ws_read_call {
	char key[WS_KEY_MAX];	/* LIST: the prefix */
	char after[WS_KEY_MAX]; /* LIST: the page starts behind this key; empty: with the first */
};

/* WS_CALL_WATCH: the changes to the keys of a prefix. */
struct ws_watch_call {
	char prefix[WS_KEY_MAX];
	uint64_t since_revision; /* changes above it are asked for */
	uint32_t timeout_ms;	 /* waits so long for a change; 0: is answered at once */
};

/* WS_CALL_TRANSACTION: all operations are carried out if all compares hold, else none. */
struct ws_transaction_call {
	struct ws_compare *compares; /* owned */
	size_t compare_count;
	struct ws_operation *operations; /* owned */
	size_t operation_count;
	bool self_paced; /* its sender keeps to its share of the store's changes by itself */
};

/* WS_CALL_SESSION_OPEN, _RENEW and _CLOSE: a session of the store. */
struct ws_session_call {
	uint64_t id;	 /* RENEW and CLOSE */
	uint32_t ttl_ms; /* OPEN: time to live without a renewal */
};

/* WS_CALL_INSTANCES: the cloud's list of instances, page by page. */
struct ws_instances_call {
	char after[WS_KEY_MAX]; /* the page starts behind this name; empty: with the first */
};

/* WS_CALL_SCALE_OUT: new instances of one type in one zone. */
struct ws_scale_out_call {
	char idempotency_key[WS_NAME_MAX]; /* the cloud grants the same key only once */
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

/* WS_CALL_COMMANDS: commands sent to a worker directly; without any it is a probe. */
struct ws_commands_call {
	char machine[WS_NAME_MAX]; /* not sent */
	char address[64];
	int port;
	uint64_t fencing_token;	 /* the worker refuses tokens below the highest that it knows */
	uint64_t incarnation;	 /* of the worker that the commands are meant for */
	struct ws_command *list; /* owned */
	size_t count;
};

/* WS_CALL_OUTAGE_VOTE: asks a peer whether the store refuses it too. */
struct ws_outage_vote_call {
	char peer[WS_NAME_MAX];
	char after_job[WS_ID_MAX]; /* the list of cancellations goes on behind it; empty: begins */
	uint64_t since_revision;   /* cancellations above it, not in the leader's job replica */
	uint64_t leader_revision;  /* revision of the asker's leader key */
	uint64_t round;		   /* of the asker's questions; not sent */
};

struct ws_core;
struct ws_call;
/* Handles the result of a call; both are freed after it. */
typedef void (*ws_result_fn)(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result);

/*
 * A call to the store, the cloud, a worker or a peer. The kind tells which member of the union
 * holds what is asked; WS_CALL_MACHINE_TYPES has none.
 */
struct ws_call {
	enum ws_call_kind kind;
	bool urgent; /* goes before other calls to the same service */
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
	/* the core's own */
	ws_result_fn on_result;
	void *context; /* what on_result needs, from malloc(); owned; who passes it on clears it */
	uint64_t generation; /* of the core when it made the call; others' results are ignored */
	double created_at;   /* seconds of the core's clock */
	struct ws_call *next;
};

/* ---- effects: what the I/O layer is to do ---- */

/* What a request of a user, a worker or a peer is answered. */
enum ws_answer {
	WS_ANSWER_UNAVAILABLE,	  /* not now; of an outage vote: the store refuses this node too */
	WS_ANSWER_OK,		  /* the job's state; the lease is renewed; no outage vote */
	WS_ANSWER_ACCEPTED,	  /* the job is new, and on record from now on */
	WS_ANSWER_NOT_FOUND,	  /* no such job */
	WS_ANSWER_OTHER_LEADER,	  /* the worker is to turn to the node named */
	WS_ANSWER_NEVER_RUNNABLE, /* no machine type or team limit lets the job run */
};

enum ws_effect_kind {
	WS_EFFECT_CALL,	       /* make a call */
	WS_EFFECT_ANSWER_USER, /* answer the request */
	WS_EFFECT_ANSWER_HEARTBEAT,
	WS_EFFECT_FORWARD, /* pass the request on to a peer, and answer with its reply */
	WS_EFFECT_ANSWER_VOTE,
};

/* WS_EFFECT_ANSWER_USER: of a job. */
struct ws_user_reply {
	char job[WS_ID_MAX];
	enum ws_job_phase phase;
	uint32_t done, running; /* tasks */
	bool carries_counts;	/* the answer carries done and running */
	int retry_after_s;	/* 0: not said */
};

/* WS_EFFECT_ANSWER_HEARTBEAT. */
struct ws_heartbeat_reply {
	char leader[WS_NAME_MAX];    /* OTHER_LEADER: the node to turn to */
	uint64_t fencing_token;	     /* OK */
	struct ws_command *commands; /* OK; owned */
	size_t command_count;
};

/* WS_EFFECT_FORWARD. */
struct ws_forward {
	char leader[WS_NAME_MAX]; /* the node to forward to; empty: any peer */
	bool worker_pinned; /* of a heartbeat: its worker was named the leader and came back */
};

/* What is to be done. The kind tells which member of the union holds it. */
struct ws_effect {
	enum ws_effect_kind kind;
	enum ws_answer answer; /* of the kinds that answer */
	uint64_t request_id;   /* that is answered or forwarded */
	union {
		struct ws_call *call; /* not owned: it goes back by ws_core_complete() */
		struct ws_user_reply user;
		struct ws_heartbeat_reply heartbeat;
		struct ws_forward forward;
		struct ws_outage_vote_reply vote;
	};
	struct ws_effect *next;
};

/* ---- the core ---- */

/* Takes the lines that the core logs; the core writes no file itself. */
enum ws_log_level { WS_LOG_ERROR, WS_LOG_INFO, WS_LOG_DEBUG };
typedef void (*ws_log_fn)(enum ws_log_level level, const char *text);

/* How old the leader's replica of the jobs may become in an outage of the store, in seconds. */
double ws_core_replica_age_limit(const struct ws_settings *settings);
/* Whether that is shorter than what a leader is served by its watch at the latest. */
bool ws_core_replica_age_limit_is_short(const struct ws_settings *settings,
					const struct ws_policy *policy);

/*
 * A core that follows. The settings must outlive it; the policy is copied. `now` is the time at the
 * start, `nonce` tells this process from others of the same node. NULL without memory.
 */
struct ws_core *ws_core_new(const struct ws_settings *settings, const struct ws_policy *policy,
			    ws_log_fn log, double now, uint64_t nonce);
/* The most detailed lines that its log takes; at first all. Others are not even made. */
void ws_core_set_log_level(struct ws_core *core, enum ws_log_level most_detailed);
/* Frees it with the effects that were not taken. Calls under way stay with who carries them out. */
void ws_core_free(struct ws_core *core);
/* Does what is due by the clock. */
void ws_core_tick(struct ws_core *core, double now);
/* The next effect, which the caller frees, and carries out or hands on its call; NULL: none. */
struct ws_effect *ws_core_next_effect(struct ws_core *core);
/* Frees an effect, but for its call. NULL is none. */
void ws_effect_free(struct ws_effect *effect);
/* Frees what a heartbeat holds. */
void ws_heartbeat_free(struct ws_heartbeat *heartbeat);
/* Frees what a result holds; it is one without an answer then, to a call of the same kind. */
void ws_result_free(struct ws_result *result);
/* Each call ends here once: hands in its result and frees the call. The result is borrowed. */
void ws_core_complete(struct ws_core *core, double now, struct ws_call *call,
		      const struct ws_result *result);
/* After what was asked of the core: how late it is now. Long passes come less often. */
void ws_core_pass_ended(struct ws_core *core, double (*clock)(void));
/* Gives up leadership, and does not campaign any more: the process is about to stop. */
void ws_core_resign(struct ws_core *core, double now);

/* Whether the node can serve: it knows the machine types, and the store or a peer answers. */
bool ws_core_is_ready(const struct ws_core *core);
/* Whether this node leads; it may act only while ws_core_is_entitled(). */
bool ws_core_is_leader(const struct ws_core *core);
/* Whether what only a leader may say may leave now. */
bool ws_core_is_entitled(const struct ws_core *core, double now);

/*
 * Requests. Each is answered, or forwarded unless it was forwarded already, by an effect with its
 * id; what is passed is borrowed.
 */
/* A job's submission; `wall` is the time of day in seconds since 1970. */
void ws_core_submit(struct ws_core *core, double now, double wall, uint64_t request_id,
		    const struct ws_job_spec *spec, bool forwarded);
/* Asks for the state of a job. */
void ws_core_query_status(struct ws_core *core, double now, uint64_t request_id, const char *id,
			  bool forwarded);
/* Cancels a job. */
void ws_core_cancel(struct ws_core *core, double now, uint64_t request_id, const char *id,
		    bool forwarded);
/* A worker's heartbeat; where this node leads it renews the worker's lease. */
void ws_core_heartbeat(struct ws_core *core, double now, uint64_t request_id,
		       const struct ws_heartbeat *heartbeat, bool forwarded);
/*
 * A peer that leads with a key of the revision `leader` asks whether the store refuses this node
 * too. It knows of cancellations up to the revision `since`, and of a list too long for one frame
 * up to the job `after`.
 */
void ws_core_outage_vote(struct ws_core *core, double now, uint64_t request_id, uint64_t leader,
			 uint64_t since, const char *after);
/* The same, of a peer that takes in no list: the version before it. */
void ws_core_outage_vote_unlisted(struct ws_core *core, double now, uint64_t request_id);

/* ---- the queueing model, which runs on a thread of its own ---- */

/* What the model works on, by copy: rates a second, sizes in demand units, times in seconds. */
struct ws_queue_measurement {
	double arrival_rate, service_rate, boot_rate; /* the last two of one unit */
	int owned;				      /* units on owned machines */
	int ceiling;				      /* units on instances at most */
	int waiting_units;			      /* that may wait in the queue */
	double delta;				      /* ratio at which Algorithm 1 stops */
	double rentals_max;			      /* scale of the mean units on instances */
	double wait_max_s;			      /* scale of the mean wait */
	double bound_s;				      /* the mean wait may not be above it */
};

/* Takes a measurement when one is due; false: none is, or it is of no use. */
bool ws_core_take_measurement(struct ws_core *core, double now,
			      struct ws_queue_measurement *measurement);
/* The model's result: units on instances at most, and the means expected with it. */
void ws_core_set_scale_out_limit(struct ws_core *core, double now, int limit,
				 double mean_scaled_out, double mean_wait_s);
#endif
