/*
 * The fleet: the machines, their leases and heartbeats, the commands to them, and their records.
 *
 * The fleet owns the machines; each machine owns the list of the attempts on it. This state exists
 * only on the leader: it is built from records, heartbeats and the cloud's instance list after the
 * election, and freed at step-down.
 *
 * Guarantees: an attempt is released only when it can no longer run (the cases are in
 * jobs/attempts.c). A machine is assigned tasks only while it proves that it receives this leader's
 * answers and its lease is valid. A worker rejects a command with an earlier fencing token or
 * incarnation, so a delayed command has no effect.
 *
 * Times are seconds on the core's clock; resources are CPUs, GPUs and gigabytes of memory.
 * Functions abort the process if memory is exhausted and report no other errors. The core is
 * single-threaded: the I/O layer holds its lock during each call into it.
 */
#ifndef WS_FLEET_H
#define WS_FLEET_H
#include "../catalog/catalog.h"
#include "../core.h"
#include "../extension/hooks.h"
#include "../jobs/jobs.h"
#include "../tombstones.h"

/* Maximum number of images in the image cache list of a machine. */
#define WS_IMAGE_CACHE_MAX 24
/* Shard records with this number or a higher one are ignored when records are read. */
#define WS_MAX_MACHINE_SHARDS 100000

/* Number of heartbeats for which a copy is recognized when it counts as old. */
#define WS_ACCEPTED_DIGESTS 32

/* The lease of a machine. Its worker ends all tasks when the lease expires. */
struct ws_machine_lease {
	double expires_at; /* with clock drift allowed for; set when a heartbeat is answered */
	double earlier_expires_at; /* the same of incarnations before the newest one reported */
	uint64_t min_incarnation;  /* heartbeats of earlier ones are stale: their lease expired */
};

/* The newest heartbeat of a machine. Replies to direct commands do not update it. */
struct ws_machine_heartbeat {
	uint64_t incarnation, sequence;
	double received_at;
};

/* What is known of a restart of a machine's worker under the same name, see worker_restarts.c. */
struct ws_machine_restart {
	bool suspected;		  /* by a heartbeat, and no message since has resolved it */
	double suspected_at;	  /* time of the last such heartbeat */
	uint64_t resolving_token; /* its echo shows that a message was written since it began */
	uint64_t known_incarnation, known_sequence; /* of the newest message when it began */
	bool probe_wanted;			    /* since a heartbeat, until a probe is sent */
	/* heartbeats that echo an earlier fencing token were sent before the last proved restart,
	 * or before the worker saw this leader's token since; 0: none was proved */
	uint64_t min_token;
	/* digests of heartbeats that were accepted, from the first messages of a worker's life */
	uint64_t accepted_digests[WS_ACCEPTED_DIGESTS];
	size_t next_digest; /* the oldest one, which is replaced next */
};

/* Commands to a machine, sent directly or in the answers to its heartbeats. */
struct ws_machine_commands {
	/* direct commands up to this fencing token may still arrive; 0: none */
	uint64_t outstanding_token;
	int in_flight; /* direct calls without a result yet */
	/* direct calls up to this fencing token held run commands: a copy of one may arrive at any
	 * time, also of an answered one; 0: none */
	uint64_t direct_run_token;
	/* fencing token of the answer to its newest heartbeat, if the answer holds run commands and
	 * may still arrive; 0: there is no such answer */
	uint64_t answer_token;
	bool pending; /* ws_job_send_commands() is to send them, in one call for all attempts */
	double next_probe_at;
};

/* Task failures on a machine. The number of consecutive ones is in struct ws_machine. */
struct ws_machine_failures {
	char last_job[WS_ID_MAX]; /* the job that failed last; empty: a task has completed since */
	double suspended_until;	  /* no tasks until then, after failures of different jobs */
	double backoff_until;	  /* no tasks until then, after a single failure or refusal */
};

/* Whether a machine may be assigned tasks, or the first reason found why it may not. */
enum ws_machine_use {
	WS_USABLE,
	WS_USE_GONE, /* failed, gone or being returned to the cloud */
	WS_USE_PREEMPTION_NOTICE,
	WS_USE_UNKNOWN_TYPE, /* its type is not in the catalog, or records can't hold its name */
	WS_USE_QUARANTINE,   /* a quarantined attempt has not exited */
	WS_USE_TASK_FAILURES,
	WS_USE_TOKEN_NOT_ECHOED,
	WS_USE_RESTART_SUSPECTED,
	WS_USE_UNREACHABLE,
	WS_USE_NO_HEARTBEATS,
	WS_USE_LEASE_EXPIRED,
	WS_USE_COUNT,
};

/* Quarantined attempts on a machine. While one has not exited, the machine is assigned no other
 * task. */
struct ws_machine_quarantine {
	uint32_t count;
	/* includes attempts that are no longer quarantined, see struct ws_attempt */
	uint32_t of_unknown_team;
};

/* The scale-in of a rented machine: its return to the cloud. */
struct ws_machine_scale_in {
	bool requested; /* the machine is not used any more */
	bool in_flight; /* a call to the cloud has no result yet */
	double next_attempt_at;
};

/* A machine in the leader's memory. It is freed when it is gone and has no attempts left. */
struct ws_machine {
	/* identity and network address */
	char name[WS_NAME_MAX];
	char address[64]; /* empty: unknown */
	int port;	  /* 0: unknown */
	char type_name[WS_NAME_MAX];
	const struct ws_machine_type *type; /* NULL: not in the catalog */
	int type_index;			    /* its index in the catalog */
	char zone[WS_NAME_MAX];
	int zone_index; /* -1: unknown */
	bool preemptible;
	bool owned;	   /* existed before any scale-out; never scaled in */
	bool invalid_name; /* contains a field separator of the job records: never used */

	/* the sources that name it, and whether it exists */
	bool recorded; /* named by a record read at this leader's election */
	bool in_instance_list;
	uint64_t instance_list_mark; /* mark of the last instance list that named it */
	double listed_running_at;    /* when the list first showed it as running; 0: not yet */
	bool reported;		     /* has sent a heartbeat or answered a command */
	/* at its first report, no record, scale-out request or instance list had named it */
	bool unrecorded;
	bool unreachable; /* its heartbeats are overdue, and a probe got no reply */
	bool failed;	  /* according to the cloud */
	bool gone;	  /* confirmed by the cloud; freed by a later sweep */
	/* when it was added, or when the cloud created it, if earlier; when it first reported */
	double first_seen_at, first_report_at;

	/* scale-in and preemption */
	struct ws_machine_scale_in scale_in;
	bool preemption_noticed;
	double preemption_at; /* when the cloud will take it; 0: no notice */
	double empty_since;   /* it has had no live attempts since */
	double unused_since;  /* empty, in contact and not usable since; 0: it is not */

	/* its newest report: a heartbeat or the reply to a direct command */
	uint64_t incarnation, sequence;
	uint64_t echoed_token;
	double last_contact_at;
	struct ws_machine_restart restart;
	struct ws_machine_heartbeat heartbeat;
	struct ws_machine_lease lease;

	/* fencing: the token sent to it, and the one whose echo proves that the machine receives
	 * our answers or commands. The first is higher after a reap command. */
	uint64_t fencing_token, expected_echo;
	double expected_echo_since;

	struct ws_machine_commands commands;
	int consecutive_failures; /* see struct ws_machine_failures */
	struct ws_machine_failures failures;

	/* the attempts on it and the resources they use */
	struct ws_attempt *attempts;
	uint32_t attempt_count; /* live attempts */
	struct ws_capacity used;
	struct ws_capacity stopping; /* the part of stopping attempts */
	/* of its newest report: tasks that have exited and are not reaped, and those of unknown
	 * jobs */
	double other_report_bytes;
	struct ws_machine_quarantine quarantine;
	double reserved_until; /* reserved for a waiting gang until then */

	int image_cache[WS_IMAGE_CACHE_MAX]; /* image indices, most recently used first */
	int image_cache_count;
	int shard; /* index of the shard whose record names it; -1: none yet */

	/* scratch data of one placement pass */
	struct ws_capacity planned; /* free in the plan of this pass */
	int pass_rank;		    /* lower ranks are tried first */
	bool avoided; /* a filter of a subsystem excludes it while other machines have room */

	void *subsystem_handles[WS_SUBSYSTEMS_MAX]; /* indexed by subsystem; NULL: no handle */
	UT_hash_handle hh;
};

/* A shard: the record fleet/<number>, which holds part of the machines. */
struct ws_machine_shard {
	uint64_t revision;
	int machine_count;
	bool dirty, write_in_flight;
	bool images_outdated; /* the image lists in the record are outdated */
	double dirty_since, written_at;
};

struct ws_fleet {
	struct ws_machine *machines; /* by name */

	/* all machines in the order of the first-fit search; rebuilt when stale */
	struct ws_machine **first_fit_order;
	size_t first_fit_count;
	bool first_fit_stale;
	size_t shared_name_length; /* length of the common prefix of all machine names */

	struct ws_machine_shard *shards;
	int shard_count;
	double next_shard_write_at;

	double next_sweep_at;
	uint64_t sweep_steps; /* machines visited by sweeps and probes, counted for tests */

	/* Owned machines. Names sort in the order of creation: a machine is owned if its name does
	 * not sort after the last owned name. */
	bool owned_determined, owned_recorded, owned_write_in_flight;
	char last_owned_name[WS_NAME_MAX];
	struct ws_tombstone *returned_machines; /* confirmed as gone, but the lagging instance list
						 * may still name them */

	struct ws_command *commands; /* scratch list of commands for one machine */
	size_t command_count, command_capacity;
	size_t command_bytes;  /* of the commands in the list, in a message */
	uint64_t command_list; /* number of the list; attempts with it are in the list */
	/* attempts with this mark are named by the current heartbeat, or are selected by the
	 * current preemption search */
	uint64_t mark;
};

/* ---- fleet.c: the machines ---- */

/* Returns NULL if no such machine exists. */
struct ws_machine *ws_machine_find(struct ws_core *core, const char *name);
/* A new machine is treated as if an earlier leader had renewed its lease and sent it commands. */
struct ws_machine *ws_machine_find_or_add(struct ws_core *core, const char *name);
/* Sets type, zone and preemptibility, and moves its attempts to the new zone in the counts of their
 * jobs. */
void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool preemptible);
/* Applies one entry of the cloud's instance list. */
void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance);
/* Removes and frees a machine that has no attempts. */
void ws_machine_remove(struct ws_core *core, struct ws_machine *machine);
/* Frees all machines and their attempts, at step-down. */
void ws_fleet_clear(struct ws_core *core);

/* ---- machine_leases.c: whether a machine is usable, and its loss ---- */

/* Whether a machine has echoed its fencing token, which proves that it receives this leader's
 * messages. */
bool ws_machine_echoes_token(const struct ws_machine *machine);
/* Raises the fencing token of a machine above a token that it or a delayed command may have. The
 * machine is not usable until it has echoed a higher one. */
void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known);
/*
 * Makes the next message to a machine carry a higher fencing token than all direct calls with run
 * commands so far, so that it rejects their copies from then on. Returns false if the term has no
 * higher token. The machine stays usable.
 */
bool ws_machine_fence_direct_runs(struct ws_core *core, struct ws_machine *machine);
/* Makes the next message to a machine carry a token that none before has carried. The machine stays
 * usable. */
void ws_machine_advance_token(struct ws_core *core, struct ws_machine *machine);
/* Returns what the live attempts on a machine leave free of its capacity. Its type is known. */
struct ws_capacity ws_machine_free_capacity(const struct ws_machine *machine);
/* Makes a machine's lease last one lease from now. It never ends earlier than assumed before: an
 * earlier leader may still renew it. */
void ws_machine_extend_lease(const struct ws_core *core, struct ws_machine *machine);
/* The same for the lease of one incarnation, as its worker knows it. */
void ws_machine_extend_lease_of(const struct ws_core *core, struct ws_machine *machine,
				uint64_t incarnation);
/*
 * Whether the newest report of a machine was written after its worker heard this leader. Until then
 * it may be a copy from before a restart, after which the worker has begun with incarnation 1
 * again.
 */
bool ws_machine_heard_leader(const struct ws_core *core, const struct ws_machine *machine);
/*
 * Releases the attempts of earlier incarnations than the newest one reported. They are not only
 * those of the incarnation before: the record of one job may name an earlier one than the record of
 * another job or of the machine.
 */
void ws_machine_release_earlier_incarnations(struct ws_core *core, struct ws_machine *machine,
					     enum ws_reconciliation_result result,
					     enum ws_release_evidence evidence);
/* Whether more time has passed since a heartbeat than a healthy machine takes to send the next. */
bool ws_heartbeat_overdue(const struct ws_core *core, double since);
/* Whether a machine may be assigned tasks, and if not, why. */
enum ws_machine_use ws_machine_use(const struct ws_core *core, const struct ws_machine *machine);
/* Returns the text of a reason in log lines. */
const char *ws_machine_use_text(enum ws_machine_use use);
/* Whether a machine may be assigned tasks. */
bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine);
/* Releases the attempts of a machine whose lease has expired, with clock drift allowed for. */
void ws_machine_expire_lease(struct ws_core *core, struct ws_machine *machine);
/* Releases the attempts of a machine that the cloud reports as failed. */
void ws_machine_mark_failed(struct ws_core *core, struct ws_machine *machine);
/* Releases the attempts of a machine after the cloud confirmed that it is gone. */
void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason);
/* Whether the cloud recently confirmed that a machine is gone. Heartbeats from it are delayed
 * copies. */
bool ws_machine_is_returned(const struct ws_core *core, const char *name);

/* ---- fleet_sweep.c ---- */

/* If a sweep is due, checks leases and preemption notices of all machines and sends probes. */
void ws_fleet_tick(struct ws_core *core);

/* ---- machine_shards.c: the shards and the content of their records ---- */

/* Maximum number of machines in a shard. */
int ws_shard_capacity(const struct ws_core *core);
/* Returns the shard with an index, and adds it if needed. Valid until the next call. */
struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index);
/* Schedules the record of a shard to be written. */
void ws_shard_mark_dirty(struct ws_core *core, int index);
/* Schedules the record that holds a machine to be written, and assigns a shard if it has none. */
void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine);
/* Encodes the record of a shard within the size limit of a value. The caller owns the result. */
json_t *ws_machine_shard_encode(struct ws_core *core, int index);
/* Adds the machines of a shard's record that no other shard's record has named. */
void ws_machine_shard_restore(struct ws_core *core, json_t *value, int index);

/* ---- image_cache.c ---- */

/* Moves an image that a machine has fetched or uses to the front of its image cache. */
void ws_image_cache_touch(struct ws_core *core, struct ws_machine *machine, int image);

/* ---- heartbeats.c ---- */

/*
 * Answers a heartbeat and renews the machine's lease. The caller has checked that this leader may
 * answer. Returns false if the heartbeat is stale; it is then ignored.
 */
bool ws_fleet_heartbeat(struct ws_core *core, const struct ws_heartbeat *heartbeat,
			uint64_t request_id);
/* Applies the newest report of a worker: a heartbeat, or the reply to a direct command. */
void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat);

/* ---- task_reports.c ---- */

/* Applies the status of one task from a machine's newest report. */
void ws_machine_apply_task_status(struct ws_core *core, struct ws_machine *machine,
				  const struct ws_task_status *status);

/* ---- restored_attempts.c ---- */

/* Adds the attempts named by the record of a job or by one of its continuation records. */
void ws_attempts_restore(struct ws_core *core, const char *job_id, json_t *record, uint32_t part);
/* Called when all records are read: marks attempts of cancelled jobs, and attempts superseded by a
 * newer attempt of their task, to be stopped. */
void ws_attempts_stop_superseded(struct ws_core *core);

/* ---- reconciliation.c ---- */

/* Sets the result for an attempt that was on record at the election. Only the first one counts. */
void ws_attempt_reconcile(struct ws_core *core, struct ws_attempt *attempt,
			  enum ws_reconciliation_result result);
/* Derives the result from the status that the worker reports, and sets it. */
void ws_attempt_reconcile_status(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status);
/* Compares an attempt that no record names with the recorded state of its job and task. */
enum ws_reconciliation_result ws_reconcile_unrecorded(const struct ws_attempt *attempt);

/* ---- quarantine.c: attempts that no record names ---- */

/*
 * Adds an attempt that a worker reports and no record names, either quarantined or to be stopped.
 * Returns NULL if the attempt has exited and needs no further action.
 */
struct ws_attempt *ws_attempt_add_unrecorded(struct ws_core *core, struct ws_machine *machine,
					     const struct ws_task_status *status);
/* Adopts or stops a quarantined attempt whose job is known, when its worker reports it. */
void ws_quarantine_reported(struct ws_core *core, struct ws_attempt *attempt);
/* Keeps the result of a completed quarantined attempt until its job becomes known. */
void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt);
/* Resolves the quarantined attempts of a job that has just become known: adopts or stops them, or
 * applies their results. */
void ws_quarantine_resolve_job(struct ws_core *core, struct ws_job *job);
/* Ends all quarantined attempts of a job. grace_s: seconds to save their state; 0: none. */
void ws_quarantine_stop_job(struct ws_core *core, const char *job_id, double grace_s);
/* Returns the maximum of CPUs and GPUs that attempts of unknown teams may use. */
void ws_quarantine_reserved(struct ws_core *core, double *cpus, double *gpus);

/* ---- commands.c ---- */

/*
 * Returns the commands due for a machine that fit into a message, those that were not sent yet
 * first, and marks their attempts as sent. With a heartbeat, includes reap commands for the exited
 * tasks in it that the worker may delete. The caller owns the list. Returns NULL if there are no
 * commands.
 */
struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, bool direct,
					   size_t *count);
/* Whether a list of commands has a run command. */
bool ws_commands_include_run(const struct ws_command *commands, size_t count);
/* Whether a run command that was sent to a machine may still arrive there. */
bool ws_machine_has_outstanding_run(const struct ws_machine *machine);

/* ---- direct_calls.c ---- */

/* Probes a machine: sends a command call without commands. Returns false if no probe is due. */
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine);
/* Sends due commands directly to a machine with recent contact. Heartbeat answers repeat them. */
void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine);
/* Sends one call to each machine that has attempts of a job and pending commands. */
void ws_job_send_commands(struct ws_core *core, struct ws_job *job);
/* Probes machines for which a probe is due, a limited number per call. */
void ws_fleet_send_probes(struct ws_core *core);

/* ---- worker_restarts.c ---- */

/*
 * Whether a message may come from a worker that has restarted and was not answered since. Without
 * an answer to a heartbeat an incarnation ends after a lease, which bounds its number of messages.
 */
bool ws_message_may_follow_restart(const struct ws_core *core,
				   const struct ws_heartbeat *heartbeat);
/* Remembers a heartbeat that was accepted, so that copies of it raise no suspicion. */
void ws_worker_remember_heartbeat(const struct ws_core *core, struct ws_machine *machine,
				  const struct ws_heartbeat *heartbeat);
/*
 * Handles a stale heartbeat: if it may be the first sign of a restart, probes the machine and
 * counts its lease from now. Returns true in that case: the heartbeat is to be answered with the
 * machine's fencing token and without commands.
 */
bool ws_worker_suspect_restart(struct ws_core *core, struct ws_machine *machine,
			       const struct ws_heartbeat *heartbeat);
/* Ends the suspicion if the worker wrote a heartbeat that is not stale after it began. */
void ws_worker_check_suspicion(struct ws_machine *machine, const struct ws_heartbeat *heartbeat);
/* Whether a message of a worker is not newer than one of an incarnation and a sequence number. */
bool ws_heartbeat_counts_as_old(const struct ws_heartbeat *heartbeat, uint64_t incarnation,
				uint64_t sequence);
/*
 * Whether the reply to a call proves that the worker has restarted: it was written after the call
 * was sent, and yet its number is not above that of a message that came before.
 */
bool ws_reply_shows_restart(const struct ws_call *call, const struct ws_heartbeat *reply);
/* Whether a heartbeat that counts as old was written after the suspicion, which proves a restart.
 */
bool ws_heartbeat_shows_restart(const struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat);
/*
 * Begins the new life of a worker, of which `message` is the newest state known; the caller applies
 * it. The worker's lease began at the restart, so it is counted from now. The machine's token is
 * raised, and messages with earlier tokens are stale.
 */
void ws_worker_handle_restart(struct ws_core *core, struct ws_machine *machine,
			      const struct ws_heartbeat *message);

/* ---- gang_attempts.c ---- */

/*
 * Whether the current attempt of a gang cannot have begun to run yet and may still be completed. If
 * so, sets its number and the time since which its first task has waited.
 */
bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *number, double *since);
/* Whether commands can be sent at once to all machines that may run tasks of a gang. */
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job);
/* Stops all tasks of a gang at once. grace_s: seconds that they have to save their state. */
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace_s,
		  enum ws_stop_reason reason);
/* Stops a gang whose current attempt cannot become complete or has lost a task. */
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job);
/* Stops a task, or all tasks of a gang, with the time to save that the job asks for. */
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, enum ws_stop_reason reason);

#endif
