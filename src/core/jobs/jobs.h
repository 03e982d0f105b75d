/*
 * The leader's replica of the live jobs' records, updated by the job watch and by heartbeats, with
 * the attempts that may be running and the resources that the teams use.
 *
 * Owns the jobs and their tasks. An attempt is in the list of its machine, which owns it, and in
 * the list of its job if the job is known. An attempt is live until it is released, since it may be
 * running until then. Only the leader keeps this state; it is discarded at step-down.
 *
 * Guarantees: a state that was acknowledged to a user is never reverted (a job whose cancellation
 * was acknowledged stays cancelled), and a job's attempts count against its team until they are
 * released.
 *
 * Times are in seconds on the core's clock; resources are CPUs, GPUs and gigabytes of memory.
 * Functions abort the process if memory is exhausted; a malformed record is logged and ignored. The
 * core is single-threaded: the I/O layer holds its lock during each call into it.
 */
#ifndef WS_JOBS_H
#define WS_JOBS_H
#include "../catalog/catalog.h"
#include "../core.h"
#include "../extension/hooks.h"
#include "../tombstones.h"
#include <string.h>

struct ws_attempt;
struct ws_machine;
struct ws_team;

struct ws_task {
	struct ws_attempt *newest_attempt; /* of the live attempts; NULL if there is none */
	uint16_t live_attempts;		   /* attempts not released, including unrecorded ones */
	uint8_t failures;
	bool done;	      /* completed */
	bool recorded;	      /* its completion is in the stored record */
	bool write_in_flight; /* its completion is in the write in flight */
};

/* A subsystem's scheduling request for a job: struct ws_move without the job's name. */
struct ws_job_move {
	uint32_t position, reserve_ahead;
	bool replicas_apart;
};

/*
 * A stored record that lists attempts of a job. The parts of a job are numbered: part 0 is the
 * job's own record, job/<id>, and part n above 0 is the continuation record more/<id>/<n - 1>.
 */
struct ws_record_part {
	bool stored; /* may exist in the store */
	bool dirty;  /* the attempts that it must list have changed */
	bool write_in_flight;
	bool delete_in_flight;
	bool closed; /* takes no further attempts in the layout under way */
};

/* In place of a part's number: no part lists the attempt. */
#define WS_PART_NONE UINT32_MAX

/* State of a job's records in the store, and whether they must be written. */
struct ws_job_record_state {
	uint64_t revision; /* of the job's own record */
	bool dirty;	   /* the job is in the list of dirty jobs */
	bool write_urgent; /* has starts or an end to write, which users wait for */
	bool write_in_flight;
	bool compare_failed; /* the revision is outdated; writes wait for the job watch */
	double dirty_since;
	struct ws_record_part own;	      /* part 0 */
	struct ws_record_part *continuations; /* parts 1 and up; owned */
	uint32_t continuation_count;
	/* number of continuation records according to the job's own record as it was read; those
	 * beyond are outdated: a version that does not know them has written it since */
	uint32_t named_continuations;
};

/* A gang's attempts and capacity reservations. A time of 0 means that the event has not occurred.
 */
struct ws_job_gang {
	uint64_t last_run_attempt; /* newest attempt number that has run or failed */
	double reserving_since;	   /* start of the current reservation period */
	bool was_starved;	   /* whether the job was starved at the last check */
	double member_lost_at;	   /* when its running attempt was found to have lost a task */
	uint32_t preemptions;	   /* number of times it was preempted */
	int reservation_zone;	   /* index of the zone of its reservations, plus 1; 0 if none */
};

/* A live job, or a done or cancelled job that is not archived yet. */
struct ws_job {
	struct ws_job_spec spec;
	enum ws_job_phase phase;	  /* as last read or written */
	bool started;			  /* recorded as running */
	struct ws_capacity task_capacity; /* what each task takes of its machine */
	double submitted_at_wall;	  /* wall-clock time, for deadlines and queue order */
	double first_seen_at;		  /* when this leader added the job */
	struct ws_job_record_state record;
	struct ws_job *dirty_prev, *dirty_next;

	/* its tasks and attempts */
	struct ws_task *tasks;
	uint32_t done_count;
	struct ws_attempt *attempts; /* includes released ones that the record still lists */
	uint32_t attempt_count;	     /* live attempts */
	uint32_t attempts_by_zone[WS_MAX_ZONES]; /* live attempts in each zone */
	uint32_t waiting;		/* tasks that are neither completed nor in a live attempt */
	uint32_t lowest_waiting_task;	/* lower bound of the waiting tasks' indexes */
	uint32_t waiting_at_pass_start; /* number of waiting tasks at the start of the pass */

	/* placement constraints and team */
	int pinned_zone;	    /* index of the only allowed zone; -1 if any zone is allowed */
	int image_index;	    /* index of its image */
	uint32_t eligible_types;    /* bit mask of the machine types allowed */
	int eligible_types_version; /* version of the catalog's types in the mask */
	struct ws_team *team;	    /* NULL if the settings have no such team */
	bool guaranteed; /* fits into its team's guarantee together with the team's earlier jobs */

	/* waiting and retries */
	double retry_not_before; /* backoff after failures */
	uint32_t failures;	 /* failures of tasks since one of the job's tasks last completed */
	bool latency_sensitive;	 /* its job class has a start latency objective */
	bool starved;		 /* has waited too long, see ws_job_is_starved() */
	double wait_logged_at;
	double last_placed_at; /* when one of its tasks was last placed */
	double unmet_since;    /* since when tasks of it lack capacity; 0 if none do */

	struct ws_job_gang gang; /* used if the job is a gang */

	/* scheduling requests of subsystems, see struct ws_move */
	struct ws_job_move moves[WS_SUBSYSTEMS_MAX]; /* the latest request of each subsystem */
	uint32_t move_position;			     /* smallest position requested; 0 if none */
	uint32_t reserve_ahead;			     /* largest number requested */
	bool replicas_apart;			     /* whether any subsystem requests it */
	bool lost_recorded_attempts; /* recorded work was lost in an election; no request since */

	/* temporary state of one placement pass */
	bool deferred_to_second_round; /* its other replicas are placed in the second round */
	uint32_t reserved_ahead;       /* tasks of reserve_ahead with reserved capacity */
	uint32_t placement_limit; /* maximum number of tasks placed in this round; 0 if unlimited */
	bool may_use_avoided; /* may be placed on avoided machines, for lack of other capacity */

	UT_hash_handle hh;
};

enum ws_attempt_state {
	WS_ATTEMPT_PLANNED,  /* in memory only, not yet in its job's record */
	WS_ATTEMPT_RECORDED, /* in its job's record, so its run command may be sent */
	WS_ATTEMPT_RELEASED, /* released; its job's record may still list it */
};

/* Why an attempt, or all attempts of a gang, are stopped. */
enum ws_stop_reason {
	WS_STOP_ALREADY_LOGGED, /* the caller has already logged the reason */
	WS_STOP_UNRECORDED,
	WS_STOP_UNKNOWN_JOB,
	WS_STOP_ENDED_OR_SUPERSEDED,
	WS_STOP_SUPERSEDED,
	WS_STOP_PREEMPTION_NOTICE, /* the cloud will reclaim the machine */
	WS_STOP_FOR_GUARANTEE,	   /* preempted by work within its team's guarantee */
	WS_STOP_FOR_PRODUCTION,	   /* preempted by other work of higher rank */
	WS_STOP_CONSOLIDATION,	   /* a replica is moved off a rented machine */
	WS_STOP_GANG_INCOMPLETE,
	WS_STOP_GANG_STOPPING,
	WS_STOP_GANG_LOST_TASK,
	WS_STOP_GANG_UNREACHABLE,
	WS_STOP_GANG_NOT_REPLACED, /* it lost tasks before it ran and can't replace them in time */
	WS_STOP_REASON_COUNT,
};

/* Evidence that an attempt does not run and can't start. */
enum ws_release_evidence {
	WS_RELEASE_NEVER_SENT,	  /* this node has sent no command to run it */
	WS_RELEASE_EXIT_REPORTED, /* its worker reported that it exited */
	WS_RELEASE_NOT_REPORTED,  /* its worker does not report it, and no command can start it */
	WS_RELEASE_LATER_INCARNATION, /* its machine lost its lease and began a new incarnation */
	WS_RELEASE_LEASE_EXPIRED,     /* its machine's lease has expired, clock drift included */
	WS_RELEASE_MACHINE_GONE,      /* the cloud reports its machine as terminated or failed */
	WS_RELEASE_EVIDENCE_COUNT,
};

/* One attempt to run a task on one machine. */
struct ws_attempt {
	struct ws_machine *machine;
	struct ws_job *job; /* NULL if the job is unknown */
	char job_id[WS_ID_MAX];
	uint32_t task;
	uint64_t number;      /* increases with each attempt of a task; a gang's tasks share it */
	uint64_t incarnation; /* the machine's incarnation when the attempt was planned */

	/* recorded state */
	enum ws_attempt_state state;
	bool write_in_flight; /* is in the write of its job's records in flight */
	uint32_t part;	      /* of its job's records, the one that is to list it */
	uint32_t listed_part; /* the one that lists it, or may after a write in flight */
	bool in_other_part; /* another part may list it as well until all dirty parts are written */
	bool unrecorded;    /* reported by its worker, but in no record */
	bool quarantined;   /* unrecorded; neither stopped nor reaped */
	bool of_unknown_team; /* may run and its job is unknown: counts against every team */
	bool awaiting_reconciliation; /* recorded at the election, not reconciled yet */

	/* decisions and commands */
	uint64_t command_list;	/* the last list of commands that includes it */
	bool maybe_sent;	/* a run command may have reached the worker or may still arrive */
	bool stopping;		/* is to be stopped */
	bool stop_command_sent; /* a stop command was sent */
	bool starved;		/* placed for a starved job: only production jobs may preempt it */
	double grace_s;		/* time to save a checkpoint when it is stopped */
	double planned_at;

	/* state reported by its worker */
	bool reported;
	enum ws_task_state task_state;
	enum ws_exit_reason exit_reason;
	double running_at;
	double waiting_since; /* of a gang's task: since when it is reported as waiting */
	uint64_t mark; /* equals the fleet's mark if it was visited in the current traversal */

	struct ws_attempt *machine_next;
	struct ws_attempt *job_prev, *job_next;
};

struct ws_team {
	const struct ws_team_setting *settings;
	double used_cpus, used_gpus;
	double reserved_cpus, reserved_gpus; /* for waiting gangs; temporary state of one pass */
};

/* A job, known or unknown, that has quarantined attempts. */
struct ws_quarantined_job {
	char id[WS_ID_MAX];
	uint32_t count; /* number of its quarantined attempts */
	UT_hash_handle hh;
};

struct ws_jobs {
	struct ws_job *by_id;
	struct ws_job *dirty; /* jobs to be written, in the order in which they became dirty */
	struct ws_team teams[WS_MAX_TEAMS];
	struct ws_quarantined_job *quarantined;
	uint32_t attempts_of_unknown_teams;
	struct ws_tombstone *archived; /* by this leader; a late watch may still deliver them */
	struct ws_tombstone *orphaned_continuations; /* continuation records without a live job */
	struct ws_tombstone *unreadable;	     /* jobs whose own record is malformed */
	uint64_t attempt_sequence; /* sequence part of this leader's newest attempt number */
};

/* ---- jobs.c ---- */

/* Returns NULL if the replica has no such job. */
struct ws_job *ws_job_find(struct ws_core *core, const char *id);
/* Returns NULL if the settings have no such team. */
struct ws_team *ws_team_find(struct ws_core *core, const char *name);
/* Whether a job is done or cancelled. */
bool ws_job_is_finished(const struct ws_job *job);
/* Applies a job's record that was loaded after the election or delivered by the job watch. A NULL
 * value means that the record was deleted. */
void ws_job_record_changed(struct ws_core *core, const char *id, json_t *value, uint64_t revision);
/* Cancels a job whose cancellation was accepted by a peer while the store can't be read, and stops
 * its tasks. */
void ws_job_apply_cancellation(struct ws_core *core, const struct ws_cancellation *cancellation);
/* Marks a task as completed; for a gang, marks all its tasks. */
void ws_job_task_done(struct ws_core *core, struct ws_job *job, uint32_t task);
/* Marks a job as done if all its tasks are completed, and schedules a done or cancelled job without
 * live attempts for archiving. */
void ws_job_check_end(struct ws_core *core, struct ws_job *job);
/* Schedules a write of a job's record: at once if urgent, otherwise after a short delay. */
void ws_job_mark_dirty(struct ws_core *core, struct ws_job *job, bool urgent);
/* Recomputes the machine types that a job's tasks may run on if the catalog's types have changed.
 */
void ws_job_update_eligible_types(const struct ws_core *core, struct ws_job *job);
/* Frees a job whose record was deleted; its recorded attempts are kept to be stopped. */
void ws_job_free(struct ws_core *core, struct ws_job *job);
/* Frees all jobs at step-down; their attempts are freed by the machines that own them. */
void ws_jobs_clear(struct ws_core *core);

/* ---- attempts.c ---- */

/* Returns a unique number for a job's next attempts. */
uint64_t ws_attempt_number_new(struct ws_core *core);
/* Whether this leader has assigned an attempt number in its term. */
bool ws_attempt_number_is_own(const struct ws_core *core, uint64_t number);
/* Adds a planned attempt and counts it. Its job may be unknown. */
struct ws_attempt *ws_attempt_add(struct ws_core *core, struct ws_machine *machine,
				  const char *job_id, uint32_t task, uint64_t number);
/* Adds (1) or removes (-1) an attempt in the usage of its machine, team, job and task. */
void ws_attempt_account(struct ws_core *core, struct ws_attempt *attempt, int sign);
/* Assigns an attempt to a job and counts it there; NULL if its job is unknown. */
void ws_attempt_set_job(struct ws_core *core, struct ws_attempt *attempt, struct ws_job *job);
/* Whether an attempt has this job, task and attempt number. Compares numbers first, since it is
 * called for each pair of an attempt on a machine and a task in its heartbeat. */
static inline bool ws_attempt_matches(const struct ws_attempt *attempt, const char *job_id,
				      uint32_t task, uint64_t number)
{
	return attempt->number == number && attempt->task == task &&
	       !strcmp(attempt->job_id, job_id);
}
/* Whether a job's records must list an attempt: it may be running, and was not found running
 * without a record. */
static inline bool ws_attempt_is_listed(const struct ws_attempt *attempt)
{
	return attempt->state != WS_ATTEMPT_RELEASED && !attempt->unrecorded;
}
/* Whether a command to run an attempt may be sent. */
bool ws_attempt_is_runnable(const struct ws_core *core, const struct ws_attempt *attempt);
/* Marks an attempt as stopping and counts its resources as about to become free. */
void ws_attempt_mark_stopping(struct ws_attempt *attempt);
/* Marks an attempt as stopping, with grace_s seconds to save a checkpoint. An attempt that was
 * neither sent nor reported is released at once. */
void ws_attempt_stop(struct ws_core *core, struct ws_attempt *attempt, double grace_s,
		     enum ws_stop_reason reason);
/* Returns the text of a reason in log lines, or NULL if the caller logs the reason itself. */
const char *ws_stop_reason_text(enum ws_stop_reason reason);
/* Releases an attempt: it no longer counts, and its task may be placed again. Frees it unless its
 * job's record may still list it. */
void ws_attempt_release(struct ws_core *core, struct ws_attempt *attempt,
			enum ws_release_evidence evidence);
/* Returns the name of a release's evidence in log lines. */
const char *ws_release_evidence_text(enum ws_release_evidence evidence);
/* Removes an attempt that no longer counts from its lists and frees it. */
void ws_attempt_free(struct ws_attempt *attempt);

/* ---- quarantined_jobs.c ---- */

/* Whether a job has quarantined attempts. */
bool ws_job_has_quarantined(const struct ws_core *core, const char *job_id);
/* Marks an attempt as quarantined and counts it. */
void ws_quarantine_add(struct ws_core *core, struct ws_attempt *attempt);
/* Ends the quarantine of an attempt, if any: it is adopted, stopped or released. */
void ws_quarantine_remove(struct ws_core *core, struct ws_attempt *attempt);
/* Stops counting an attempt against every team's limit, once its team is known or it is released.
 * The end of its quarantine is not enough, since it may take long to save and stop. */
void ws_attempt_clear_unknown_team(struct ws_core *core, struct ws_attempt *attempt);
/* Discards the counts of quarantined attempts at step-down. */
void ws_quarantine_clear(struct ws_core *core);

/* ---- job_record_size.c ---- */

/* Returns the maximum size in bytes of a job's record, with a reserve below the store's limit. */
size_t ws_job_record_size_limit(const struct ws_core *core);
/* Whether new attempts of a job may be listed in continuation records. An array runs in slices
 * instead: those of its tasks that its own record has no room for wait until others end. */
bool ws_job_may_continue(const struct ws_job *job);
/* Returns how many bytes attempts may take in a part of a job's records. */
size_t ws_record_part_room(const struct ws_core *core, const struct ws_job *job, uint32_t part);
/* Calls ws_attempt_list_growth() with the shared prefix of the machine names. */
size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt);
/* Returns how many bytes are left for new attempts of a job, SIZE_MAX if it may continue in further
 * records. */
size_t ws_record_bytes_left(const struct ws_core *core, const struct ws_job *job);

/* ---- record_parts.c ---- */

/* Notes that the attempts which a part must list have changed. Accepts WS_PART_NONE. */
void ws_job_part_changed(struct ws_job *job, uint32_t number);
/* Notes that a new leader has read a part that lists an attempt which another part lists as well:
 * the part is written again without it. */
void ws_job_part_repeats(struct ws_core *core, struct ws_attempt *attempt, uint32_t number);
#endif
