/*
 * The fleet: the machines, their leases and heartbeats, the commands to them, and their records.
 *
 * Owns the machines and, as their lists, the attempts on them. All of it is the leader's: it is
 * built up from records, heartbeats and the cloud's instance list after the election, and forgotten
 * at step-down.
 *
 * Promises: an attempt is released only when it is surely gone (jobs/attempts.c); a machine is
 * given tasks only while it proves that it hears this leader and its lease runs; a command for an
 * earlier fencing token or incarnation is refused by the worker, so that it can't act late.
 *
 * Times are seconds on the core's clock, resources CPUs, GPUs and gigabytes of memory. Functions
 * abort the process when memory runs out and report no other errors. The core is single-threaded:
 * the I/O layer's lock is held round each call into it.
 */
#ifndef WS_FLEET_H
#define WS_FLEET_H
#include "../core.h"
#include "../extension/hooks.h"
#include "../jobs/jobs.h"
#include "../tombstones.h"

/* Images of a machine that are remembered. */
#define WS_CACHE_MAX 24
/* Shards beyond this number are ignored when records are read. */
#define WS_MAX_MACHINE_SHARDS 100000
/* Commands in the answer to a heartbeat at the most: keeps it under the line limit. */
#define WS_ANSWER_COMMANDS_MAX 400

/* The lease of a machine: its worker ends all tasks when it expires. */
struct ws_machine_lease {
	double expires_at;	    /* on any clock, as far as answers to heartbeats tell */
	uint64_t least_incarnation; /* heartbeats of earlier incarnations are stale: expired */
};

/* The newest heartbeat of a machine; answers to commands are not counted here. */
struct ws_machine_heartbeat {
	uint64_t incarnation, sequence;
	double received_at;
};

/* Commands to a machine, direct or in the answers to its heartbeats. */
struct ws_machine_commands {
	uint64_t late_token; /* one of this fencing token may still arrive; 0: none */
	int in_flight;	     /* calls without a result yet */
	/* of the answer to its newest heartbeat, if that starts tasks and may still arrive; 0: no
	 */
	uint64_t answer_token;
	bool pending; /* to be sent once the writes or stops under way are all taken in */
	double next_probe_at;
};

/* Failures of tasks on a machine; struct ws_machine counts those in a row. */
struct ws_machine_failures {
	char last_job[WS_ID_MAX]; /* of the last failure; empty: a task has completed since */
	double suspended_until;	  /* after failures of different jobs */
	double refused_until;	  /* after a single failure or refusal */
};

/* Quarantined attempts on a machine. While one runs, the machine takes no other task. */
struct ws_machine_quarantine {
	uint32_t count;
	uint32_t running;
	uint32_t of_unknown_team; /* also those that were quarantined, see struct ws_attempt */
};

/* The return of a rented machine to the cloud. */
struct ws_machine_scale_in {
	bool requested; /* the machine is never used again */
	bool in_flight;
	double next_attempt_at;
};

/* A machine that this leader knows. It is freed when it is gone and no attempt is left on it. */
struct ws_machine {
	/* what it is, and where it is reached */
	char name[WS_NAME_MAX];
	char address[64]; /* empty: unknown */
	int port;	  /* 0: unknown */
	char type_name[WS_NAME_MAX];
	const struct ws_machine_type *type; /* NULL: the catalog does not have it */
	int type_index;			    /* its place in the catalog */
	char zone[WS_NAME_MAX];
	int zone_index; /* its number; -1: unknown */
	bool preemptible;
	bool owned;	   /* was there before any scale-out; never scaled in */
	bool invalid_name; /* holds a separator of the job records: never used */

	/* how it is known, and whether it is there */
	bool recorded; /* from the records at this leader's election */
	bool in_instance_list;
	uint64_t instance_list_mark; /* of the last list that named it */
	double listed_running_at;    /* when the list first told that it runs; 0: not yet */
	bool reported;		     /* has sent a heartbeat or answered a command */
	bool unrecorded;  /* at its first heartbeat neither records nor instance list named it */
	bool unreachable; /* silent, and a probe got no answer either */
	bool failed;	  /* says the cloud */
	bool gone;	  /* confirmed by the cloud; freed by a later sweep */
	double first_seen, up_at;

	/* scale-in and preemption */
	struct ws_machine_scale_in scale_in;
	bool preemption_noticed;
	double preempted_at; /* the cloud takes it then; 0: no notice */
	double empty_since;

	/* what it said last, in a heartbeat or in the answer to a command */
	uint64_t incarnation, sequence;
	uint64_t echoed_token;
	double last_heard_at;
	struct ws_machine_heartbeat heartbeat;
	struct ws_machine_lease lease;

	/* fencing: the token it is given; that it echoes the token proves that it hears us */
	uint64_t fencing_token;
	double fencing_token_since;

	struct ws_machine_commands commands;
	int consecutive_failures; /* of different jobs */
	struct ws_machine_failures failures;

	/* the attempts on it and what they use */
	struct ws_attempt *attempts;
	uint32_t attempt_count; /* that may be alive */
	double used_cpus, used_gpus, used_mem;
	double stopping_cpus, stopping_gpus, stopping_mem; /* of that, what was told to stop */
	struct ws_machine_quarantine quarantine;
	double reserved_until; /* a waiting gang has a reservation on it */

	int image_cache[WS_CACHE_MAX]; /* image numbers, the last used first */
	int image_cache_count;
	int shard; /* the shard whose record names it; -1: none yet */

	/* scratch of one placement pass */
	double planned_cpus, planned_gpus, planned_mem;
	int pass_rank;
	bool avoided; /* by a subsystem's filter */

	void *subsystem_handles[WS_SUBSYSTEMS_MAX]; /* by subsystem; NULL: it keeps none */
	UT_hash_handle hh;
};

/* A shard: the record fleet/<number>, which names some of the machines. */
struct ws_machine_shard {
	uint64_t revision;
	int machine_count;
	bool dirty, write_in_flight;
	bool images_outdated; /* the images in it are no longer the newest */
	double dirty_since, written_at;
};

struct ws_fleet {
	struct ws_machine *machines; /* by name */

	/* all machines in the order in which first fit tries them; rebuilt when stale */
	struct ws_machine **first_fit_order;
	size_t first_fit_count;
	bool first_fit_stale;
	size_t shared_name_length; /* of the prefix that all machine names share */

	struct ws_machine_shard *shards;
	int shard_count;
	double next_shard_write_at;

	double next_sweep_at;
	uint64_t sweep_steps; /* machines looked at in sweeps, for tests */

	/* Owned machines. Names rise with creation: all up to the last owned one's are owned. */
	bool owned_determined, owned_recorded, owned_write_in_flight;
	char last_owned_name[WS_NAME_MAX];
	struct ws_tombstone *returned_machines; /* confirmed as gone; a lagging list names them */

	struct ws_command *commands; /* scratch of the message under way */
	size_t command_count, command_capacity;
	uint64_t mark; /* of the attempts that the heartbeat or pass under way has met */
};

/* ---- fleet.c: the machines ---- */

/* NULL: no such machine is known. */
struct ws_machine *ws_machine_find(struct ws_core *core, const char *name);
/* A new machine counts as one that an earlier leader may have granted a lease and sent commands. */
struct ws_machine *ws_machine_find_or_add(struct ws_core *core, const char *name);
/* Sets type, zone and kind; its attempts are counted for their jobs in the new zone. */
void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool preemptible);
/* Takes in one entry of the cloud's instance list. */
void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance);
/* Forgets and frees a machine, which has no attempts. */
void ws_machine_remove(struct ws_core *core, struct ws_machine *machine);
/* Forgets all machines and their attempts, at step-down. */
void ws_fleet_clear(struct ws_core *core);

/* ---- machine_leases.c: trust in machines, and their loss ---- */

/* Whether a machine has proved that it hears this leader. */
bool ws_machine_echoes_token(const struct ws_machine *machine);
/* Gives a machine a fencing token above one that it, or a late command, may know. */
void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known);
/* Whether a time is longer ago than a machine that is well takes between two heartbeats. */
bool ws_heartbeat_overdue(const struct ws_core *core, double since);
/* Whether a machine may be given tasks. */
bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine);
/* A machine's lease has expired on any clock: releases its attempts. */
void ws_machine_expire_lease(struct ws_core *core, struct ws_machine *machine);
/* The cloud says that a machine failed: releases its attempts. */
void ws_machine_mark_failed(struct ws_core *core, struct ws_machine *machine);
/* The cloud confirmed that a machine is gone: releases its attempts. */
void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason);
/* Whether the cloud lately confirmed that a machine is gone: its heartbeats are late copies. */
bool ws_machine_is_returned(const struct ws_core *core, const char *name);

/* ---- fleet_sweep.c ---- */

/* Looks at all machines if a sweep is due: leases, preemption notices, probes. */
void ws_fleet_tick(struct ws_core *core);

/* ---- machine_shards.c: the shards, and their records' content ---- */

/* Machines that a shard holds. */
int ws_shard_capacity(const struct ws_core *core);
/* The shard of a number, added if it is new; valid until the next call. */
struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index);
/* A shard's record is to be written. */
void ws_shard_mark_dirty(struct ws_core *core, int index);
/* The record that names a machine is to be written; the machine gets a shard if it has none. */
void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine);
/* The record of a shard, within the size of a value. The caller owns the value. */
json_t *ws_record_machine_shard(struct ws_core *core, int index);
/* Takes over the machines of a shard's record that no other shard has named. */
void ws_record_read_machine_shard(struct ws_core *core, json_t *value, int index);

/* ---- image_cache.c ---- */

/* A machine has, and uses, an image: it becomes the first of its image cache. */
void ws_image_cache_touch(struct ws_core *core, struct ws_machine *machine, int image);

/* ---- heartbeats.c ---- */

/*
 * A heartbeat that reached this leader, which is entitled: answers it and renews the machine's
 * lease. False: it is stale, and nothing of it counts.
 */
bool ws_fleet_heartbeat(struct ws_core *core, const struct ws_heartbeat *heartbeat,
			uint64_t request_id);
/* Applies the newest state of a worker: of a heartbeat, or of the answer to a direct command. */
void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat);

/* ---- task_reports.c ---- */

/* Applies the status of one task of a machine's newest heartbeat. */
void ws_machine_apply_task_status(struct ws_core *core, struct ws_machine *machine,
				  const struct ws_task_status *status);

/* ---- restored_attempts.c ---- */

/* Adds the attempts that a record of a job, or a continuation record of it, names. */
void ws_attempts_restore(struct ws_core *core, const char *job_id, json_t *record);
/* All records are read: attempts that a newer one, or a cancellation, supersedes are to stop. */
void ws_attempts_restored(struct ws_core *core);

/* ---- reconciliation.c ---- */

/* The result for an attempt that was on record at the election; only the first one counts. */
void ws_attempt_reconcile(struct ws_core *core, struct ws_attempt *attempt,
			  enum ws_reconciliation_result result);
/* The same, by the status that its worker reports. */
void ws_attempt_reconcile_status(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status);
/* How an attempt that no record names relates to what the records say of its job and task. */
enum ws_reconciliation_result ws_reconcile_unrecorded(const struct ws_attempt *attempt);

/* ---- quarantine.c: attempts that no record names ---- */

/*
 * A worker reports an attempt that no record names: adds it, quarantined or to be stopped. NULL: it
 * has exited and nothing of it is left to do.
 */
struct ws_attempt *ws_attempt_add_unrecorded(struct ws_core *core, struct ws_machine *machine,
					     const struct ws_task_status *status);
/* A quarantined attempt whose job is known was reported: adopts or stops it. */
void ws_quarantine_reported(struct ws_core *core, struct ws_attempt *attempt);
/* A quarantined attempt completed: the result waits for its job to become known. */
void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt);
/* A job has just become known: decides on its quarantined attempts. */
void ws_quarantine_link_job(struct ws_core *core, struct ws_job *job);
/* Ends all quarantined attempts of a job, with so many seconds to save; 0: at once. */
void ws_quarantine_end_job(struct ws_core *core, const char *job_id, double grace_s);
/* What attempts of unknown teams may use at the most. */
void ws_quarantine_reserved(struct ws_core *core, double *cpus, double *gpus);

/* ---- commands.c ---- */

/*
 * The commands that a machine is due, and marks their attempts as told; with a heartbeat, also what
 * of it the worker may forget. A list of its own, which the caller owns; NULL: none.
 */
struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, size_t max,
					   bool direct, size_t *count);
/* Whether a command to run a task that was sent to a machine may still arrive there. */
bool ws_machine_start_may_arrive(const struct ws_machine *machine);
/* Sends a command call without commands to a machine that is to be heard. False: not due. */
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine);
/* Sends what is due straight to a machine that is known to listen; heartbeat answers repeat it. */
void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine);
/* Sends one call to each machine with an attempt of a job whose commands are pending. */
void ws_job_send_commands(struct ws_core *core, struct ws_job *job);
/* Probes the machines that are due, a limited number at a time. */
void ws_fleet_send_probes(struct ws_core *core);

/* ---- gang_attempts.c ---- */

/*
 * Whether the current attempt of a gang has surely not begun to run and may be completed; if so,
 * its number and since when its first task waits.
 */
bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *number, double *since);
/* Whether all tasks of a gang can be told something at once, as far as is known. */
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job);
/* Stops all tasks of a gang at once; they have so many seconds to save. */
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace_s,
		  enum ws_stop_reason reason);
/* Stops a gang whose current attempt can't become complete, or has lost a task. */
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job);
/* Stops a task with the time to save that its job asks for; of a gang, all its tasks. */
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, enum ws_stop_reason reason);

#endif
