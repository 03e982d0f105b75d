/*
 * The fleet: machines, their leases and heartbeats, the commands to them, and what is on record of
 * them.
 *
 * All of it is the leader's and forgotten at step-down. A machine is usable while its newest
 * heartbeat shows that it hears this leader and its lease runs.
 */
#ifndef WS_FLEET_H
#define WS_FLEET_H
#include "../core.h"
#include "../extension/hooks.h"
#include "../tombstones.h"

struct ws_attempt;
struct ws_job;

/* Images of a machine that are remembered. */
#define WS_CACHE_MAX 24
#define WS_MAX_MACHINE_SHARDS 100000

struct ws_machine {
	char name[WS_NAME_MAX];
	char address[64];
	int port;
	char type_name[WS_NAME_MAX];
	const struct ws_machine_type *type;
	int type_index; /* its place among the types */
	char zone[WS_NAME_MAX];
	int zone_index; /* its number; -1: unknown */
	bool preemptible, owned;
	bool in_instance_list, reported, failed, gone;
	uint64_t instance_list_mark; /* the last list that named it */
	bool scale_in_requested;     /* asked for its return; never used again */
	bool scale_in_in_flight;
	double next_scale_in_at;
	bool recorded;		    /* known from the records at this leader's election */
	double listed_running_at;   /* when the cloud's list first told that it runs; 0: not yet */
	uint64_t least_incarnation; /* its lease surely ran out: word of an earlier incarnation is
				       stale */
	uint64_t incarnation, sequence,
	    echoed_token; /* of its newest word: a heartbeat or a command's answer */
	uint64_t heartbeat_incarnation, heartbeat_sequence; /* of its newest heartbeat alone */
	uint64_t fencing_token;	    /* what we give it; its own echo proves that it hears us */
	double fencing_token_since; /* since when */
	double next_probe_at;
	bool invalid_name;    /* its name has what a job's record parts names with: never used */
	bool unreachable;     /* silent, and a call to it got no answer either */
	double last_heard_at; /* when its newest word came in */
	double last_heartbeat_at; /* and when its newest heartbeat did */
	double lease_expires_at;  /* its tasks may live until then, as far as answers given tell */
	double first_seen, up_at;
	double preempted_at; /* the cloud takes it then; 0: no notice */
	bool preemption_noticed;
	double empty_since;
	double reserved_until; /* a gang that gathers room counts on it */
	uint64_t
	    late_command_token; /* a direct command of this fencing token may yet arrive; 0: none */
	int commands_in_flight; /* direct commands on their way */
	int consecutive_failures; /* failures in a row, of different jobs */
	char last_failed_job[WS_ID_MAX];
	double quarantine_until;
	double refused_until;
	struct ws_attempt *attempts;
	double used_cpus, used_gpus, used_mem;
	double stopping_cpus, stopping_gpus, stopping_mem; /* of that, what was told to stop */
	uint32_t attempt_count;
	int image_cache[WS_CACHE_MAX];
	int image_cache_count;
	int shard;		 /* its record in the store; -1: none yet */
	bool has_starts_to_send; /* has starts to be sent when the write's outcome is taken in */
	double planned_cpus, planned_gpus, planned_mem; /* scratch of one placement pass */
	int pass_rank;
	bool avoided;	 /* by a subsystem's filter, in the pass under way */
	bool unrecorded; /* when it first reported, neither records nor the cloud's list named it */
	uint32_t quarantined_count;   /* attempts there that are quarantined, */
	uint32_t quarantined_running; /* and those of them that run: it takes nothing new */
	void *subsystem_handles[WS_SUBSYSTEMS_MAX];
	UT_hash_handle hh;
};

struct ws_machine_shard { /* a record of some of the machines: fleet/<number> */
	uint64_t revision;
	int machine_count;
	bool dirty, write_in_flight;
	bool images_outdated; /* those it tells of are no longer the newest */
	double dirty_since, written_at;
};

/* A job of which attempts are quarantined. */
struct ws_quarantined_job {
	char id[WS_ID_MAX];
	uint32_t count;
	UT_hash_handle hh;
};

struct ws_fleet {
	struct ws_machine *machines;
	struct ws_machine **first_fit_order; /* all machines as first fit takes them */
	size_t first_fit_count;
	bool first_fit_stale;
	size_t shared_name_length; /* what the names of all machines begin with */
	struct ws_machine_shard *shards;
	int shard_count;
	double next_shard_write_at;
	double next_sweep_at;
	uint64_t sweep_steps; /* machines in sweeps, counted for tests */
	/* Machines that were there before any scale-out. Names rise with creation: they end with
	 * the last owned one's. */
	bool owned_determined, owned_recorded, owned_write_in_flight;
	char last_owned_name[WS_NAME_MAX];
	struct ws_tombstone *returned_machines; /* confirmed as gone; lagging lists name them */
	struct ws_quarantined_job *quarantined_jobs;
	struct ws_command *commands; /* scratch of the message under way */
	size_t command_count, command_capacity;
	uint64_t mark; /* tells the attempts that the heartbeat or pass under way has met */
};

/* ---- fleet.c ---- */

struct ws_machine *ws_machine_find(struct ws_core *core, const char *name);
struct ws_machine *ws_machine_find_or_add(struct ws_core *core, const char *name);
void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine);
void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool spot);
void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known);
bool ws_machine_echoes_token(const struct ws_machine *machine);
bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine);
/* Whether the cloud confirmed its return: a heartbeat was held back since before that. */
bool ws_machine_is_returned(const struct ws_core *core, const char *name);
void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason);
void ws_machine_remove(struct ws_core *core, struct ws_machine *machine);
void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance);
bool ws_heartbeat_overdue(const struct ws_core *core, double since);
int ws_shard_capacity(const struct ws_core *core);
struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index);
void ws_shard_mark_dirty(struct ws_core *core, int index);
void ws_fleet_tick(struct ws_core *core);
double ws_sweep_interval(const struct ws_core *core);

/* Forgets all machines and their attempts, at step-down. */
void ws_fleet_clear(struct ws_core *core);

/* ---- machine_shards.c: adapter between the fleet and the records of its shards ---- */

/* The record of a shard, within the size of a value that we plan by. */
json_t *ws_record_machine_shard(struct ws_core *core, int chunk);
/* Takes over the machines of a shard's record that no other shard has named. */
void ws_record_read_machine_shard(struct ws_core *core, json_t *value, int chunk);

/* ---- heartbeats.c ---- */

/*
 * A heartbeat that reached this leader, which is entitled: answers it and renews the machine's
 * lease. False: it is stale, and nothing of it counts.
 */
bool ws_fleet_heartbeat(struct ws_core *core, const struct ws_heartbeat *heartbeat,
			uint64_t request_id);

/* Takes in the newest word of a worker: a heartbeat, or the answer to a direct command. */
void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat);

/* ---- reconciliation.c ---- */

/* What a heartbeat says of an attempt that was on record at the election; the first word counts. */
void ws_attempt_reconcile(struct ws_core *core, struct ws_attempt *attempt,
			  enum ws_reconciliation_result kind);
void ws_attempt_reconcile_status(struct ws_core *core, struct ws_attempt *attempt,
				 const struct ws_task_status *status);
/* A heartbeat names an attempt that no record does; NULL if nothing of it counts. */
struct ws_attempt *ws_attempt_add_unrecorded(struct ws_core *core, struct ws_machine *machine,
					     const struct ws_task_status *status);
/* A heartbeat names an attempt that is quarantined, whose job is known: the record is to name it.
 */
void ws_quarantine_reported(struct ws_core *core, struct ws_attempt *attempt);
/* An attempt that is quarantined completed: the result waits for its job. */
void ws_quarantine_completed(struct ws_core *core, struct ws_attempt *attempt);
void ws_quarantine_drop(struct ws_core *core, struct ws_attempt *attempt);
/* A job has just become known. */
void ws_quarantine_link_job(struct ws_core *core, struct ws_job *job);
void ws_quarantine_end_job(struct ws_core *core, const char *job, double grace_s);
/* What attempts of unknown teams may use at the most. */
void ws_quarantine_reserved(struct ws_core *core, double *cpus, double *gpus);
void ws_quarantine_clear(struct ws_core *core);

/* ---- commands.c ---- */

/* Commands in the answer to a heartbeat: keeps it under the line limit. */
#define WS_ANSWER_COMMANDS_MAX 400
struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, size_t max,
					   bool direct, size_t *count);
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine);
void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine);
void ws_fleet_send_probes(struct ws_core *core);

/* ---- gang_attempts.c ---- */

bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *attempt, double *since);
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job);
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace, const char *reason);
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job);
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, const char *reason);

#endif
