/* What the parts of the core share. */
#ifndef WS_INTERNAL_H
#define WS_INTERNAL_H
#include "core.h"
#include "records/records.h"
#include "sizing.h"
#include "store/job_watch.h"
#include "store/loader.h"
#include "store/writer.h"
#include "subsystems.h"
#include "write_counts.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* A leader key that was read for longer than this, in ttl, proves that its holder renewed it. */
#define WS_PROOF_TTLS 1.25
/* Bits of the fencing token kept for the leader's own counter, below the leader key's revision. */
#define WS_FENCING_TOKEN_SHIFT 20
#define WS_CACHE_MAX 24
#define WS_MAX_MACHINE_SHARDS 100000
/* Clocks of two machines drift apart by this share at most (the protocol's figure, doubled). */
#define WS_DRIFT 0.001
/* A leader whose watch of the jobs brought nothing for so many ttl no longer knows what was
 * cancelled: twice the time a watch is left open, with its time-out and a second try. */
#define WS_REPLICA_AGE_TTLS 6
/* Withdrawals a frame of outage vote carries. */
#define WS_VOTE_CANCELLATIONS_MAX 64

struct ws_attempt;
struct ws_job;
struct ws_team;

struct ws_image { /* images are compared by number */
	char name[WS_NAME_MAX];
	int id;
	UT_hash_handle hh;
};

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

enum ws_scale_out_state {
	WS_SCALE_OUT_NEW,
	WS_SCALE_OUT_RECORDED,
	WS_SCALE_OUT_SENT,
	WS_SCALE_OUT_GRANTED,
	WS_SCALE_OUT_DISCARDED
};
/* Machines of one call to return them. */
#define WS_SCALE_IN_MAX 100

struct ws_scale_out {
	char idempotency_key[WS_NAME_MAX];
	char type[WS_NAME_MAX], zone[WS_NAME_MAX];
	bool preemptible;
	uint32_t count;
	enum ws_scale_out_state state;
	char (*instances)[WS_NAME_MAX];
	uint32_t instance_count;
	double created_at, next_attempt_at;
	uint64_t revision;
	bool dirty, write_in_flight;
	struct ws_scale_out *dirty_prev, *dirty_next;
	UT_hash_handle hh;
};

struct ws_machine_shard { /* a record of some of the machines: fleet/<number> */
	uint64_t revision;
	int machine_count;
	bool dirty, write_in_flight;
	bool images_outdated; /* those it tells of are no longer the newest */
	double dirty_since, written_at;
};

struct ws_team {
	const struct ws_team_setting *settings;
	double used_cpus, used_gpus;
	double reserved_cpus,
	    reserved_gpus; /* for gangs that wait; scratch of one placement pass */
};

struct ws_capacity_error { /* of a kind of machine that the cloud would not give */
	double until;
	int count;
	int returned_since; /* machines of this kind given back since */
};

/* A job of which attempts are quarantined. */
struct ws_quarantined_job {
	char id[WS_ID_MAX];
	uint32_t count;
	UT_hash_handle hh;
};

/* What proves that some leader lived, see election.c. */
struct ws_leader_proof {
	uint64_t leader_revision; /* revision of the leader key that was last read; 0: none, or
				     refused since */
	double key_since;	  /* when the question was asked that first brought it */
	bool exists;
	double alive_at; /* a leader lived then or later */
	uint64_t term;
};

enum ws_role { WS_FOLLOWER, WS_CANDIDATE, WS_LOADING, WS_LEADER };

struct ws_tombstone { /* a machine the cloud confirmed as gone; lagging lists still name it */
	char name[WS_NAME_MAX];
	double until;
	UT_hash_handle hh;
};

struct ws_core {
	struct ws_tombstone *tombstones;
	struct ws_tombstone *ended; /* jobs just archived: word of the watch may be older */
	struct ws_tombstone *orphaned_parts; /* pieces of records of jobs that are over */
	const struct ws_settings *settings;
	struct ws_policy policy;
	ws_log_fn log;
	double now;
	double ticked_at, woke_at; /* the last tick; when we last went on after standing still */
	uint64_t nonce;
	struct ws_effect *head, *tail;
	uint64_t generation; /* rises whenever leadership ends: late completions are told apart */

	/* what every node knows */
	struct ws_machine_type types[WS_MAX_TYPES];
	size_t ntypes;
	int types_edition;
	char zones[WS_MAX_ZONES][WS_NAME_MAX]; /* those of the settings first */
	int nzones;
	struct ws_image *images;
	const char **image_names; /* by number */
	int nimages;
	bool types_asked;
	double types_next;
	char leader[WS_NAME_MAX]; /* empty: none known */
	uint64_t leader_stamp;
	bool leader_watch, leader_read;
	double leader_next;
	uint64_t leader_rev;
	double state_ok_at, state_bad_at; /* last answer other than 503; last 503 or silence */
	double state_bad_since;		  /* the first of those in a row */
	bool types_saved;
	struct ws_job_status *seen; /* all live jobs as of seen_rev, for status queries */
	bool seen_ready, seen_inflight;
	uint64_t seen_rev;
	double seen_next, seen_at;
	struct ws_final_status *finals;
	struct ws_status_query *polls; /* waiting for the copy to be found current */
	struct ws_redirect *redirects;
	double redirects_next;
	double peers_ok_at, peers_next; /* while the store refuses us */

	/* leadership */
	struct ws_leader_proof proof;
	enum ws_role role;
	uint64_t hold;
	double ttl, entitled_until, extend_next, campaign_after, elected_at;
	int extends; /* renewals under way */
	bool in_outage, paused;
	double pause_until;
	uint64_t ask_round;
	int ask_yes, ask_out;
	double ask_sent, ask_heard, ask_next; /* ask_heard: the last word of the round */
	/* the leader's replica of the jobs must not be older than this, or a lease could outlast
	 * cancel_s */
	double view_s;
	double served_at; /* the store last came back to us */
	uint64_t epoch;
	uint64_t attempt_seq;
	uint64_t rental_seq;
	struct ws_loader loader;
	struct ws_job_watch job_watch;
	struct ws_writer writer;
	struct ws_write_counts write_counts;
	double value_most; /* bytes of a value that we plan by; lowered by the writer */
	double chunk_next; /* the next fleet shard is written then */
	bool owned_seen, owned_known, owned_writing;
	char owned_upto[WS_NAME_MAX]; /* names rise with creation: owned ones end here */
	double relay_since; /* reports have come by other nodes alone since then; 0: not so */

	struct ws_job *jobs;
	struct ws_machine *machines;
	struct ws_scale_out *rentals;
	struct ws_quarantined_job *kept_jobs;
	struct ws_team teams[WS_MAX_TEAMS];
	struct ws_machine **order; /* all machines as first fit takes them */
	size_t norder;
	bool order_stale;
	size_t name_shared; /* what the names of all machines begin with */
	struct ws_machine_shard *chunks;
	int nchunks;
	struct ws_job *dirty_jobs;
	struct ws_scale_out *dirty_rentals;
	double sweep_next, rent_next;
	bool rentals_stale;   /* a machine went: records of rented machines may be out of date */
	uint64_t steps;	      /* of work in placement */
	uint64_t sweep_steps; /* machines in sweeps, counted for tests */
	struct ws_command *orders; /* scratch of the message under way */
	size_t norders, orders_cap;
	void *pass_memory; /* of placement passes, kept from one to the next */
	size_t pass_cap;
	uint64_t steps_most; /* of any one pass, for tests */
	bool place_wanted;
	double place_next, move_next;
	double pass_at; /* when a pass began that the I/O layer has not told the length of */
	uint64_t pass;

	/* cloud */
	double cloud_next, hosts_next, tidy_next;
	bool hosts_inflight, rent_inflight, hosts_known;
	bool rented_last;     /* and not returned: the two take turns while both wait */
	int returns_wait;     /* machines to be returned at the last sweep */
	double returns_since; /* none waited then, or some were returned */
	char hosts_after[WS_KEY_MAX];
	struct ws_capacity_error refusals[WS_MAX_TYPES][WS_MAX_ZONES]
					 [2]; /* ordinary, preemptible */
	int loads;			      /* waiting demand units at the last pass */
	struct ws_unmet_demand *unmet;	      /* of the pass under way */
	size_t unmet_count, unmet_cap;
	uint64_t list_pass;

	struct ws_subsystems subsystems;

	/* sizing */
	int k;
	double size_next;
	double work_arrived, work_done, busy_time; /* demand units since the last run */
	double busy, busy_at; /* loads that arrays hold, and until when that is in busy_time */
	double boot_sum, boot_n;
	double measured_at;
};

void ws_log(struct ws_core *core, enum ws_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
struct ws_effect *ws_effect_new(struct ws_core *core, enum ws_effect_kind kind);
struct ws_call *ws_call_new(struct ws_core *core, enum ws_call_kind kind, ws_result_fn done);
void ws_call_free(struct ws_call *call);
void ws_store_answered(struct ws_core *core, int status);
double ws_replica_age_max(const struct ws_core *core);

/* stored_state.c: adapters to the records of jobs and scale-out requests (records/records.h) */
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
json_t *ws_record_scale_out(const struct ws_scale_out *rental);
/* False: the record can't be decoded; the request may own instances all the same. */
bool ws_record_read_scale_out(json_t *value, struct ws_scale_out *rental);

/* machine_shards.c: adapter between the fleet and the records of its shards */
/* The record of a shard, within the size of a value that we plan by. */
json_t *ws_record_machine_shard(struct ws_core *core, int chunk);
/* Takes over the machines of a shard's record that no other shard has named. */
void ws_record_read_machine_shard(struct ws_core *core, json_t *value, int chunk);

/* jobs.c */
struct ws_job *ws_job_find(struct ws_core *core, const char *id);
void ws_job_record_changed(struct ws_core *core, const char *id, json_t *value, uint64_t revision);
void ws_job_free(struct ws_core *core, struct ws_job *job);
void ws_job_task_done(struct ws_core *core, struct ws_job *job, uint32_t task);
void ws_job_mark_dirty(struct ws_core *core, struct ws_job *job, bool urgent);
void ws_job_update_eligible_types(const struct ws_core *core, struct ws_job *job);
int ws_image_index(struct ws_core *core, const char *name);
int ws_zone_index(struct ws_core *core, const char *name);
void ws_job_check_end(struct ws_core *core, struct ws_job *job);
struct ws_team *ws_team_find(struct ws_core *core, const char *name);
bool ws_machine_type_fits(const struct ws_machine_type *type, const struct ws_job_spec *spec);
double ws_mean_machine_cpus(const struct ws_core *core);
void ws_job_send_commands(struct ws_core *core, struct ws_job *job);
void ws_job_apply_cancellation(struct ws_core *core, const struct ws_cancellation *cancellation);
double ws_demand_units_of(const struct ws_core *core, const struct ws_job_spec *spec);
bool ws_job_is_over(const struct ws_job *job);

/* fleet.c */
struct ws_machine *ws_machine_find(struct ws_core *core, const char *name);
struct ws_machine *ws_machine_find_or_add(struct ws_core *core, const char *name);
void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine);
void ws_machine_set_kind(struct ws_core *core, struct ws_machine *machine, const char *type,
			 const char *zone, bool spot);
void ws_machine_raise_fencing_token(struct ws_core *core, struct ws_machine *machine,
				    uint64_t known);
bool ws_machine_echoes_token(const struct ws_machine *machine);
bool ws_machine_is_usable(const struct ws_core *core, const struct ws_machine *machine);
void ws_machine_mark_gone(struct ws_core *core, struct ws_machine *machine, const char *reason);
void ws_machine_remove(struct ws_core *core, struct ws_machine *machine);
void ws_machine_apply_instance(struct ws_core *core, const struct ws_instance *instance);
bool ws_heartbeat_overdue(const struct ws_core *core, double since);
int ws_shard_capacity(const struct ws_core *core);
struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index);
void ws_shard_mark_dirty(struct ws_core *core, int index);
bool ws_tombstone_is_set(struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name);
void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until);
void ws_tombstones_clear(struct ws_core *core, bool all);
void ws_fleet_tick(struct ws_core *core);
double ws_sweep_interval(const struct ws_core *core);
const struct ws_machine_type *ws_machine_type_find(const struct ws_core *core, const char *name);
double ws_lease_length(const struct ws_settings *settings);
double ws_lease_expiry(const struct ws_core *core, double from);

/* attempts.c */
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

/* reports.c */
/* Takes in the newest word of a worker: a heartbeat, or the answer to a direct command. */
void ws_machine_apply_heartbeat(struct ws_core *core, struct ws_machine *machine,
				const struct ws_heartbeat *heartbeat);

/* reconcile.c */
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

/* commands.c */
/* Commands in the answer to a heartbeat: keeps it under the line limit. */
#define WS_ANSWER_COMMANDS_MAX 400
struct ws_command *ws_commands_for_machine(struct ws_core *core, struct ws_machine *machine,
					   const struct ws_heartbeat *heartbeat, size_t max,
					   bool direct, size_t *count);
bool ws_machine_send_probe(struct ws_core *core, struct ws_machine *machine);
void ws_machine_send_commands(struct ws_core *core, struct ws_machine *machine);
void ws_fleet_send_probes(struct ws_core *core);

/* placement.c */
uint32_t ws_tasks_fit(const struct ws_job_spec *spec, double cpus, double gpus, double mem,
		      uint32_t most);
void ws_scheduler_run_pass(struct ws_core *core);

/* gang.c */
bool ws_gang_is_assembling(const struct ws_job *job, uint64_t *attempt, double *since);
bool ws_gang_is_reachable(const struct ws_core *core, const struct ws_job *job);
void ws_gang_stop(struct ws_core *core, struct ws_job *job, double grace, const char *reason);
void ws_gang_check_progress(struct ws_core *core, struct ws_job *job);
void ws_task_stop(struct ws_core *core, struct ws_attempt *attempt, const char *reason);

/* rented machines.c */
bool ws_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index);
void ws_autoscaler_tick(struct ws_core *core);
struct ws_unmet_demand { /* tasks of a job that found no room, and the zones they may be in */
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;
};
void ws_autoscaler_add_demand(struct ws_core *core, struct ws_job *job, uint32_t tasks,
			      uint32_t zones);
double ws_latency_bound(const struct ws_core *core);
void ws_autoscaler_plan(struct ws_core *core);
void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request);
void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted);
void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request);
bool ws_boot_is_late(const struct ws_core *core, const struct ws_machine *machine);

/* election.c */
void ws_leadership_tick(struct ws_core *core);
bool ws_is_entitled(const struct ws_core *core);
void ws_step_down(struct ws_core *core, const char *reason);

/* outage.c */
void ws_outage_tick(struct ws_core *core);

/* requests.c */
bool ws_cancellations_since(struct ws_core *core, uint64_t since, const char *after,
			    struct ws_cancellation **list, size_t *count, size_t most, bool *more);
void ws_status_cache_apply(struct ws_core *core, const struct ws_call *call,
			   const struct ws_result *result);
void ws_requests_tick(struct ws_core *core);
bool ws_node_is_isolated(const struct ws_core *core);
void ws_heartbeat_answer(struct ws_core *core, uint64_t request_id, int status, const char *leader);
void ws_follower_heartbeat(struct ws_core *core, uint64_t request_id,
			   const struct ws_heartbeat *heartbeat, bool forwarded);
void ws_requests_free(struct ws_core *core);
#endif
