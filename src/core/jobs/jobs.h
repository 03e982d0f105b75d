/*
 * Jobs as the leader knows them: a replica of the live jobs' records, changed by the job watch and
 * by heartbeats, with the attempts that may be alive and what the teams use.
 *
 * All of it is the leader's and forgotten at step-down. An attempt belongs to its machine's list
 * and, if its job is known, to its job's.
 */
#ifndef WS_JOBS_H
#define WS_JOBS_H
#include "../core.h"
#include "../extension/hooks.h"
#include "../tombstones.h"

struct ws_attempt;
struct ws_machine;
struct ws_team;

struct ws_task {
	struct ws_attempt *newest_attempt; /* that may be alive */
	uint16_t live_attempts;		   /* how many attempts may be alive, orphans included */
	uint8_t failures;
	bool done, recorded;  /* completed; and so recorded in the store */
	bool write_in_flight; /* its completion is in the record being written */
};

/* struct ws_move without the job's name. */
struct ws_job_move {
	uint32_t position, reserve_ahead;
	bool replicas_apart;
};

struct ws_job {
	struct ws_job_spec spec;
	enum ws_job_phase phase;  /* as last read or written */
	uint64_t revision;	  /* of its key */
	double submitted_at_wall; /* time of day, for deadlines and order */
	struct ws_task *tasks;
	uint32_t done_count, attempt_count;
	uint32_t waiting;			 /* tasks neither completed nor maybe alive */
	uint32_t lowest_waiting;		 /* none of them is below this one */
	uint32_t waiting_before;		 /* at the start of the pass */
	uint32_t attempts_by_zone[WS_MAX_ZONES]; /* attempts that may be alive, by zone */
	int pinned_zone, image_index; /* the only zone allowed, or -1; number of its image */
	uint32_t eligible_types;      /* machine types allowed, a bit each */
	int eligible_types_edition;   /* for this edition of the types */
	struct ws_team *team;	      /* NULL: unknown here */
	struct ws_attempt *attempts;  /* its attempts, those the record still names included */
	bool dirty, write_in_flight,
	    compare_failed; /* stale: our revision lost a race, wait for the watch */
	bool write_urgent;  /* holds starts or an end, which users wait for */
	double dirty_since;
	bool started;		 /* recorded as running */
	double retry_not_before; /* back-off after failures */
	uint32_t failures;	 /* failures on machines that otherwise work */
	bool latency_sensitive;	 /* its class has a start aim */
	double wait_logged_at;
	double known_at, last_placed_at; /* when a task of it was last placed */
	bool starved;			 /* waits too long: see ws_job_is_starved */
	double unmet_since;		 /* tasks of it have found no room since then; 0: none */
	bool guaranteed;	     /* fits its team's guarantee with the team's earlier jobs */
	uint64_t gang_ended_attempt; /* of a gang: this attempt ran, or broke up */
	double gang_reserving_since; /* room is held for it from then on, for a while */
	bool gang_was_starved;	     /* it was aged then */
	double gang_broken_at;	     /* its attempt was seen to have lost a task; 0: no */
	uint32_t gang_preemptions;   /* how often it made room for others */
	int gang_reservation_zone;   /* of a gang that waits: the zone it gathers room in, from 1 */
	uint32_t continuation_count; /* records beside its own that name attempts: see
					continuation_record.c */
	struct ws_job_move moves[WS_SUBSYSTEMS_MAX]; /* as each subsystem asked for last */
	uint32_t move_position;	       /* of these: the smallest; see struct ws_move */
	uint32_t reserve_ahead;	       /* the largest */
	bool replicas_apart;	       /* whether any asked for it */
	bool lost_recorded_attempts;   /* that were on record, and no move was asked for since */
	bool deferred_to_second_round; /* the rest of its replicas come in the second round */
	uint32_t reserved_ahead;       /* of the room ahead, in the pass under way */
	uint32_t placement_limit;      /* tasks to be placed in this round of a pass; 0: all */
	bool may_use_avoided; /* no other room was found for it: avoided machines are used */
	struct ws_job *dirty_prev, *dirty_next;
	UT_hash_handle hh;
};

enum ws_attempt_state {
	WS_ATTEMPT_PLANNED,  /* in memory only: its job's record does not name it yet */
	WS_ATTEMPT_RECORDED, /* may be told to run */
	WS_ATTEMPT_GONE,     /* surely gone; its job's record may still name it */
};

struct ws_attempt {
	struct ws_machine *machine;
	struct ws_job *job; /* NULL: the job is unknown */
	char job_id[WS_ID_MAX];
	uint32_t task;
	uint64_t number, incarnation;
	enum ws_attempt_state state;
	bool maybe_sent;	      /* a run may have reached the worker, or may still */
	bool unrecorded;	      /* reported but on no record */
	bool awaiting_reconciliation; /* on record at the election, and has no reconciliation result
					 yet */
	bool quarantined;	/* an orphan that a subsystem keeps: neither stopped nor reaped */
	bool reported;		/* the worker has reported it */
	bool stopping;		/* is to end */
	bool stop_command_sent; /* and a command said so */
	bool starved;		/* its job had waited too long: other arrays leave it its room */
	bool write_in_flight;	/* is in the record being written */
	enum ws_task_state task_state; /* as reported */
	enum ws_exit_reason exit_reason;
	double grace_s, planned_at, running_at;
	double waiting_since;			/* of a gang's task: reported waiting since */
	uint64_t mark;				/* mark of the heartbeat being read */
	struct ws_attempt *machine_next;	/* of its machine */
	struct ws_attempt *job_prev, *job_next; /* of its job */
};

struct ws_team {
	const struct ws_team_setting *settings;
	double used_cpus, used_gpus;
	double reserved_cpus,
	    reserved_gpus; /* for gangs that wait; scratch of one placement pass */
};

struct ws_jobs {
	struct ws_job *by_id;
	struct ws_job *dirty; /* to be written, in the order in which they became so */
	struct ws_team teams[WS_MAX_TEAMS];
	struct ws_tombstone *archived; /* lately: word of the watch may be older */
	struct ws_tombstone
	    *orphaned_continuations; /* continuation records of jobs that are over */
	uint64_t attempt_sequence;   /* of the newest attempt number of this leader */
};

/* ---- jobs.c ---- */

struct ws_job *ws_job_find(struct ws_core *core, const char *id);
void ws_job_record_changed(struct ws_core *core, const char *id, json_t *value, uint64_t revision);
void ws_job_free(struct ws_core *core, struct ws_job *job);
void ws_job_task_done(struct ws_core *core, struct ws_job *job, uint32_t task);
void ws_job_mark_dirty(struct ws_core *core, struct ws_job *job, bool urgent);
void ws_job_update_eligible_types(const struct ws_core *core, struct ws_job *job);
void ws_job_check_end(struct ws_core *core, struct ws_job *job);
struct ws_team *ws_team_find(struct ws_core *core, const char *name);
void ws_job_send_commands(struct ws_core *core, struct ws_job *job);
void ws_job_apply_cancellation(struct ws_core *core, const struct ws_cancellation *cancellation);
bool ws_job_is_over(const struct ws_job *job);
/* Forgets all jobs, at step-down; their attempts are their machines' to free. */
void ws_jobs_clear(struct ws_core *core);

/* ---- attempts.c ---- */

void ws_attempt_free(struct ws_attempt *attempt);
void ws_attempt_count(struct ws_core *core, struct ws_attempt *attempt, int sign);
struct ws_attempt *ws_attempt_add(struct ws_core *core, struct ws_machine *machine, const char *job,
				  uint32_t task, uint64_t attempt);
void ws_attempt_release(struct ws_core *core, struct ws_attempt *attempt);
/* Runs may reach the worker only while nothing else stands against the attempt. */
bool ws_attempt_is_runnable(const struct ws_core *core, const struct ws_attempt *attempt);
void ws_attempt_mark_stopping(struct ws_attempt *attempt);
void ws_attempt_stop(struct ws_core *core, struct ws_attempt *attempt, double grace,
		     const char *reason);

/* ---- job_records.c ---- */

/* Bytes that a job's record may have, with some to spare. */
size_t ws_record_size_limit(const struct ws_core *core);
/* As ws_job_record_encode(), for the zones that the core knows. */
json_t *ws_record_job(const struct ws_core *core, const struct ws_job *job, size_t limit);
/* As ws_attempt_list_growth(), for the names of the core's machines. */
size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt);
/*
 * Whether a record can name all of a gang on machines of a type: a gang is on record whole. Some 8
 * bytes a machine, besides the description.
 */
bool ws_gang_recordable(const struct ws_core *core, const struct ws_job_spec *spec,
			const struct ws_machine_type *type);
#endif
