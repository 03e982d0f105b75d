/* What the parts of the core share. */
#ifndef WS_INTERNAL_H
#define WS_INTERNAL_H
#include "core.h"
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
/* Bits of the epoch kept for the leader's own counter, below the leader key's stamp. */
#define WS_EPOCH_SHIFT 20
/* An attempt's number: the leader key's stamp, shifted by this, plus a counter. */
#define WS_ATTEMPT_SHIFT 24
#define WS_CACHE_MAX 24
#define WS_MAX_CHUNKS 100000
#define WS_CACHE_KEPT 12 /* of them in the fleet's record */
/* Clocks of two machines drift apart by this share at most (the protocol's figure, doubled). */
#define WS_DRIFT 0.001
/* A leader whose watch of the jobs brought nothing for so many ttl no longer knows what was
 * withdrawn: twice the time a watch is left open, with its time-out and a second try. */
#define WS_VIEW_TTLS 6
/* Withdrawals a frame of testimony carries. */
#define WS_TESTIMONY_MAX 64

struct ws_attempt;
struct ws_job;
struct ws_team;

struct ws_image { /* images are compared by number */
	char name[WS_NAME_MAX];
	int id;
	UT_hash_handle hh;
};

struct ws_task {
	struct ws_attempt *newest; /* that may be alive */
	uint16_t attempts;	   /* how many attempts may be alive, orphans included */
	uint8_t fails;
	bool done, saved; /* completed; and so recorded in the state service */
	bool writing;	  /* its completion is in the record being written */
};

/* struct ws_move without the job's name. */
struct ws_job_move {
	uint32_t position, room_ahead;
	bool replicas_apart;
};

struct ws_job {
	struct ws_spec spec;
	enum ws_phase phase;   /* as last read or written */
	uint64_t stamp;	       /* of its key */
	double submitted_wall; /* time of day, for deadlines and order */
	struct ws_task *tasks;
	uint32_t ndone, attempt_count;
	uint32_t waiting;	       /* tasks neither completed nor maybe alive */
	uint32_t scan;		       /* none of them is below this one */
	uint32_t waiting_before;       /* at the start of the pass */
	uint32_t zone_n[WS_MAX_ZONES]; /* attempts that may be alive, by zone */
	int zone, image;	       /* the only zone allowed, or -1; number of its image */
	uint32_t fits;		       /* machine types allowed, a bit each */
	int fits_of;		       /* for this edition of the types */
	struct ws_team *team;	       /* NULL: unknown here */
	struct ws_attempt *attempts;   /* its attempts, those the record still names included */
	bool dirty, writing, stale;    /* stale: our stamp lost a race, wait for the watch */
	bool urgent;		       /* holds starts or an end, which users wait for */
	double dirty_at;
	bool started;	   /* recorded as running */
	double not_before; /* back-off after failures */
	uint32_t errors;   /* failures on machines that otherwise work */
	bool prompt;	   /* its class has a start aim */
	double wait_logged;
	double known_at, placed_at; /* when a task of it was last placed */
	bool aged;		    /* waits too long: see ws_aged */
	double unmet_since;	    /* tasks of it have found no room since then; 0: none */
	bool guaranteed;	    /* fits its team's guarantee with the team's earlier jobs */
	uint64_t gang_over;	    /* of a gang: this attempt ran, or broke up */
	double gang_hold;	    /* room is held for it from then on, for a while */
	bool gang_aged;		    /* it was aged then */
	double gang_broke;	    /* its attempt was seen to have lost a task; 0: no */
	uint32_t gang_stops;	    /* how often it made room for others */
	int gang_zone;		    /* of a gang that waits: the zone it gathers room in, from 1 */
	uint32_t pieces;	    /* records beside its own that name attempts: see record.c */
	struct ws_job_move moves[WS_SUBSYSTEMS_MAX]; /* as each subsystem asked for last */
	uint32_t move_position; /* of these: the smallest; see struct ws_move */
	uint32_t room_ahead;	/* the largest */
	bool replicas_apart;	/* whether any asked for it */
	bool lost_attempts;	/* that were on record, and no move was asked for since */
	bool place_later;	/* the rest of its replicas come in the second round */
	uint32_t room_reserved; /* of the room ahead, in the pass under way */
	uint32_t place_most;	/* tasks to be placed in this round of a pass; 0: all */
	bool takes_avoided;	/* no other room was found for it: avoided machines are used */
	struct ws_job *dprev, *dnext;
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
	uint64_t attempt, tenure;
	enum ws_attempt_state state;
	bool sent;	       /* a run may have reached the worker, or may still */
	bool orphan;	       /* reported but on no record */
	bool loaded;	       /* on record at the election, and has no finding yet */
	bool kept;	       /* an orphan that a subsystem keeps: neither stopped nor reaped */
	bool seen;	       /* the worker has reported it */
	bool stop;	       /* is to end */
	bool stop_sent;	       /* and a command said so */
	bool aged;	       /* its job had waited too long: other arrays leave it its room */
	bool writing;	       /* is in the record being written */
	enum ws_task_state at; /* as reported */
	enum ws_why why;
	double grace, planned_at, running_at;
	double waiting_at;		  /* of a gang's task: reported waiting since */
	uint64_t pass;			  /* mark of the report being read */
	struct ws_attempt *next;	  /* of its machine */
	struct ws_attempt *jprev, *jnext; /* of its job */
};

struct ws_machine {
	char name[WS_NAME_MAX];
	char host[64];
	int port;
	char type_name[WS_NAME_MAX];
	const struct ws_type *type;
	int ti; /* its place among the types */
	char zone[WS_NAME_MAX];
	int zi; /* its number; -1: unknown */
	bool spot, owned;
	bool listed, reported, failed, gone;
	uint64_t list_pass; /* the last list that named it */
	bool returning;	    /* asked for its return; never used again */
	bool return_inflight;
	double return_next;
	bool on_record;	       /* known from the records at this leader's election */
	double listed_up;      /* when the cloud's list first told that it runs; 0: not yet */
	uint64_t least_tenure; /* its lease surely ran out: word of an earlier tenure is stale */
	uint64_t tenure, counter, epoch; /* of its newest word: a report or a command's answer */
	uint64_t report_tenure, report_counter; /* of its newest report alone */
	uint64_t token;	 /* what we give it; its own echo proves that it hears us */
	double token_at; /* since when */
	double probe_next;
	bool invalid_name;  /* its name has what a job's record parts names with: never used */
	bool unreachable;   /* silent, and a call to it got no answer either */
	double heard;	    /* when its newest word came in */
	double report_at;   /* and when its newest report did */
	double alive_until; /* its tasks may live until then, as far as answers given tell */
	double first_seen, up_at;
	double notice_until; /* the cloud takes it then; 0: no notice */
	bool noticed;
	double empty_since;
	double held_until;	  /* a gang that gathers room counts on it */
	uint64_t fence;		  /* a direct command of this epoch may yet arrive; 0: none */
	int commands;		  /* direct commands on their way */
	int consecutive_failures; /* failures in a row, of different jobs */
	char last_failed_job[WS_ID_MAX];
	double quarantine_until;
	double refused_until;
	struct ws_attempt *attempts;
	double used_cpus, used_gpus, used_mem;
	double stop_cpus, stop_gpus, stop_mem; /* of that, what was told to stop */
	uint32_t attempt_count;
	int cache[WS_CACHE_MAX];
	int ncache;
	int chunk; /* its record in the state service; -1: none yet */
	bool push; /* has starts to be sent when the write's outcome is taken in */
	double virt_cpus, virt_gpus, virt_mem; /* scratch of one placement pass */
	int rank;
	bool avoided; /* by a subsystem's filter, in the pass under way */
	bool unknown; /* when it first reported, neither records nor the cloud's list named it */
	uint32_t kept_count;   /* attempts there that are kept apart, */
	uint32_t kept_running; /* and those of them that run: it takes nothing new */
	void *handles[WS_SUBSYSTEMS_MAX];
	UT_hash_handle hh;
};

enum ws_rental_state {
	WS_RENTAL_NEW,
	WS_RENTAL_RECORDED,
	WS_RENTAL_ASKING,
	WS_RENTAL_GOT,
	WS_RENTAL_DROP
};
#define WS_RENT_HOSTS 50
/* Machines of one call to return them. */
#define WS_RETURN_HOSTS 100

struct ws_rental {
	char booking[WS_NAME_MAX];
	char type[WS_NAME_MAX], zone[WS_NAME_MAX];
	bool spot;
	uint32_t count;
	enum ws_rental_state state;
	char (*hosts)[WS_NAME_MAX];
	uint32_t nhosts;
	double made, next_try;
	uint64_t stamp;
	bool dirty, writing;
	struct ws_rental *dprev, *dnext;
	UT_hash_handle hh;
};

struct ws_chunk { /* a record of some of the machines: fleet/<number> */
	uint64_t stamp;
	int n;
	bool dirty, writing;
	bool images; /* those it tells of are no longer the newest */
	double dirty_at, written_at;
};

struct ws_team {
	const struct ws_team_setting *set;
	double used_cpus, used_gpus;
	double held_cpus, held_gpus; /* for gangs that wait; scratch of one placement pass */
};

struct ws_refusal { /* of a kind of machine that the cloud would not give */
	double until;
	int times;
	int back; /* machines of this kind given back since */
};

/* A job of which attempts are kept apart. */
struct ws_kept_job {
	char id[WS_ID_MAX];
	uint32_t count;
	UT_hash_handle hh;
};

/* What proves that some leader lived, see election.c. */
struct ws_leader_proof {
	uint64_t key; /* revision of the leader key that was last read; 0: none, or refused since */
	double key_since; /* when the question was asked that first brought it */
	bool any;
	double at; /* a leader lived then or later */
	uint64_t term;
};

enum ws_role { WS_FOLLOWER, WS_ASKING, WS_LOADING, WS_LEADER };

struct ws_tombstone { /* a machine the cloud confirmed as gone; lagging lists still name it */
	char name[WS_NAME_MAX];
	double until;
	UT_hash_handle hh;
};

struct ws_core {
	struct ws_tombstone *tombstones;
	struct ws_tombstone *ended; /* jobs just archived: word of the watch may be older */
	struct ws_tombstone *orphaned_parts; /* pieces of records of jobs that are over */
	const struct ws_settings *set;
	struct ws_policy pol;
	ws_log_fn log;
	double now;
	double ticked_at, woke_at; /* the last tick; when we last went on after standing still */
	uint64_t nonce;
	struct ws_action *head, *tail;
	uint64_t generation; /* rises whenever leadership ends: late completions are told apart */

	/* what every node knows */
	struct ws_type types[WS_MAX_TYPES];
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
	struct ws_seen *seen; /* all live jobs as of seen_rev, for polls */
	bool seen_ready, seen_inflight;
	uint64_t seen_rev;
	double seen_next, seen_at;
	struct ws_final *finals;
	struct ws_poll *polls; /* waiting for the copy to be found current */
	struct ws_redirect *redirects;
	double redirects_next;
	double peers_ok_at, peers_next; /* while the state service refuses us */

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
	double served_at; /* the state service last came back to us */
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
	struct ws_rental *rentals;
	struct ws_kept_job *kept_jobs;
	struct ws_team teams[WS_MAX_TEAMS];
	struct ws_machine **order; /* all machines as first fit takes them */
	size_t norder;
	bool order_stale;
	size_t name_shared; /* what the names of all machines begin with */
	struct ws_chunk *chunks;
	int nchunks;
	struct ws_job *dirty_jobs;
	struct ws_rental *dirty_rentals;
	double sweep_next, rent_next;
	bool rentals_stale;	 /* a machine went: records of rentals may be out of date */
	uint64_t steps;		 /* of work in placement */
	uint64_t sweep_steps;	 /* machines in sweeps, counted for tests */
	struct ws_order *orders; /* scratch of the message under way */
	size_t norders, orders_cap;
	void *pass_memory; /* of placement passes, kept from one to the next */
	size_t pass_cap;
	uint64_t steps_most; /* of any one pass, for tests */
	bool place_wanted;
	double place_next, move_next;
	double pass_at; /* when a pass began that the shell has not told the length of */
	uint64_t pass;

	/* cloud */
	double cloud_next, hosts_next, tidy_next;
	bool hosts_inflight, rent_inflight, hosts_known;
	bool rented_last;     /* and not returned: the two take turns while both wait */
	int returns_wait;     /* machines to be returned at the last sweep */
	double returns_since; /* none waited then, or some were returned */
	char hosts_after[WS_KEY_MAX];
	struct ws_refusal refusals[WS_MAX_TYPES][WS_MAX_ZONES][2]; /* ordinary, spot */
	int loads;		       /* waiting machine-loads at the last pass */
	struct ws_unmet_demand *unmet; /* of the pass under way */
	size_t unmet_count, unmet_cap;
	uint64_t list_pass;

	struct ws_subsystems subsystems;

	/* sizing */
	int k;
	double size_next;
	double work_arrived, work_done, busy_time; /* machine-loads since the last run */
	double busy, busy_at; /* loads that arrays hold, and until when that is in busy_time */
	double boot_sum, boot_n;
	double measured_at;
};

void ws_log(struct ws_core *c, enum ws_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
struct ws_action *ws_act(struct ws_core *c, enum ws_action_kind kind);
struct ws_call *ws_call(struct ws_core *c, enum ws_call_kind kind, ws_done_fn done);
void ws_call_free(struct ws_call *call);
void ws_state_seen(struct ws_core *c, int status);
double ws_replica_age_max(const struct ws_core *c);

/* record.c: records of the state service to JSON and back */
json_t *ws_record_job(const struct ws_core *c, const struct ws_job *j, size_t limit);
struct ws_job *ws_record_read_job(const char *id, json_t *v);
void ws_record_split(json_t *v, size_t limit, json_t **pieces, size_t most, size_t *n);
size_t ws_record_size(json_t *v);
uint32_t ws_record_pieces(json_t *v);
json_t *ws_record_final(const struct ws_job *j);
bool ws_record_read_phase(json_t *v, enum ws_phase *phase, uint32_t *done, uint32_t *running);
json_t *ws_record_spec(const struct ws_spec *s, enum ws_phase phase, double wall);
bool ws_record_withdraw(json_t *v);
struct ws_assigned { /* an attempt as a job's record names it */
	char machine[WS_NAME_MAX], zone[WS_NAME_MAX];
	uint64_t tenure, attempt;
	uint32_t task;
};
size_t ws_record_limit(const struct ws_core *c);
bool ws_gang_recordable(const struct ws_core *c, const struct ws_spec *s, const struct ws_type *t);
size_t ws_record_read_assigned(json_t *v, struct ws_assigned **list);
size_t ws_record_assign_size(const struct ws_core *c, const struct ws_attempt *before,
			     const struct ws_attempt *s);
json_t *ws_record_chunk(struct ws_core *c, int chunk);
void ws_record_read_chunk(struct ws_core *c, json_t *v, int chunk);
json_t *ws_record_rental(const struct ws_rental *r);
bool ws_record_read_rental(json_t *v, struct ws_rental *r);
json_t *ws_record_leader(const struct ws_settings *s, uint64_t nonce);
const char *ws_record_leader_node(json_t *v);
json_t *ws_record_types(const struct ws_type *t, size_t n);
size_t ws_record_read_types(json_t *v, struct ws_type *t);

/* jobs.c */
struct ws_job *ws_job_find(struct ws_core *c, const char *id);
void ws_job_event(struct ws_core *c, const char *id, json_t *value, uint64_t stamp);
void ws_job_free(struct ws_core *c, struct ws_job *j);
void ws_job_task_done(struct ws_core *c, struct ws_job *j, uint32_t task);
void ws_job_dirty(struct ws_core *c, struct ws_job *j, bool urgent);
void ws_job_fits(const struct ws_core *c, struct ws_job *j);
int ws_image_id(struct ws_core *c, const char *name);
int ws_zone_id(struct ws_core *c, const char *name);
void ws_job_check_end(struct ws_core *c, struct ws_job *j);
struct ws_team *ws_team_of(struct ws_core *c, const char *name);
bool ws_type_fits(const struct ws_type *t, const struct ws_spec *s);
double ws_mean_cpus(const struct ws_core *c);
void ws_job_push(struct ws_core *c, struct ws_job *j);
void ws_job_withdrawn(struct ws_core *c, const struct ws_withdrawal *w);
double ws_load_of(const struct ws_core *c, const struct ws_spec *s);
bool ws_job_over(const struct ws_job *j);

/* fleet.c */
struct ws_machine *ws_machine_find(struct ws_core *c, const char *name);
struct ws_machine *ws_machine_get(struct ws_core *c, const char *name);
void ws_machine_dirty(struct ws_core *c, struct ws_machine *m);
void ws_machine_place(struct ws_core *c, struct ws_machine *m, const char *type, const char *zone,
		      bool spot);
void ws_machine_doubt(struct ws_core *c, struct ws_machine *m, uint64_t known);
bool ws_machine_hears(const struct ws_machine *m);
bool ws_machine_usable(const struct ws_core *c, const struct ws_machine *m);
void ws_machine_gone(struct ws_core *c, struct ws_machine *m, const char *why);
void ws_machine_forget(struct ws_core *c, struct ws_machine *m);
void ws_machine_host(struct ws_core *c, const struct ws_host *h);
bool ws_overdue(const struct ws_core *c, double since);
int ws_chunk_size(const struct ws_core *c);
struct ws_chunk *ws_chunk_at(struct ws_core *c, int i);
void ws_chunk_dirty(struct ws_core *c, int i);
bool ws_tombstone_holds(struct ws_core *c, struct ws_tombstone *const *tombstones,
			const char *name);
void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until);
void ws_tombstones_clear(struct ws_core *c, bool all);
void ws_fleet_tick(struct ws_core *c);
double ws_sweep_every(const struct ws_core *c);
const struct ws_type *ws_type_find(const struct ws_core *c, const char *name);
double ws_lease_length(const struct ws_settings *s);
double ws_lease_out(const struct ws_core *c, double from);

/* attempts.c */
void ws_attempt_free(struct ws_attempt *s);
void ws_attempt_count(struct ws_core *c, struct ws_attempt *s, int sign);
struct ws_attempt *ws_attempt_add(struct ws_core *c, struct ws_machine *m, const char *job,
				  uint32_t task, uint64_t attempt);
void ws_attempt_release(struct ws_core *c, struct ws_attempt *s);
/* Runs may reach the worker only while nothing else stands against the attempt. */
bool ws_attempt_runnable(const struct ws_core *c, const struct ws_attempt *s);
void ws_attempt_ends(struct ws_attempt *s);
void ws_attempt_stop(struct ws_core *c, struct ws_attempt *s, double grace, const char *why);

/* reports.c */
/* Takes in the newest word of a worker: a report, or the answer to a direct command. */
void ws_fleet_read(struct ws_core *c, struct ws_machine *m, const struct ws_report *r);

/* reconcile.c */
/* What a report says of an attempt that was on record at the election; the first word counts. */
void ws_attempt_finding(struct ws_core *c, struct ws_attempt *s, enum ws_finding_kind kind);
void ws_attempt_reported(struct ws_core *c, struct ws_attempt *s, const struct ws_task_report *t);
/* A report names an attempt that no record does; NULL if nothing of it counts. */
struct ws_attempt *ws_attempt_foreign(struct ws_core *c, struct ws_machine *m,
				      const struct ws_task_report *t);
/* A report names an attempt that is kept apart, whose job is known: the record is to name it. */
void ws_kept_reported(struct ws_core *c, struct ws_attempt *s);
/* An attempt that is kept apart completed: the result waits for its job. */
void ws_kept_completed(struct ws_core *c, struct ws_attempt *s);
void ws_kept_drop(struct ws_core *c, struct ws_attempt *s);
/* A job has just become known. */
void ws_kept_link(struct ws_core *c, struct ws_job *j);
void ws_kept_end(struct ws_core *c, const char *job, double grace_s);
/* What attempts of unknown teams may use at the most. */
void ws_kept_reserve(struct ws_core *c, double *cpus, double *gpus);
void ws_kept_clear(struct ws_core *c);

/* commands.c */
/* Commands in the answer to a report: keeps it under the line limit. */
#define WS_ANSWER_ORDERS 400
struct ws_order *ws_orders(struct ws_core *c, struct ws_machine *m, const struct ws_report *r,
			   size_t max, bool direct, size_t *n);
bool ws_machine_probe(struct ws_core *c, struct ws_machine *m);
void ws_fleet_push(struct ws_core *c, struct ws_machine *m);
void ws_fleet_probe(struct ws_core *c);

/* placement.c */
uint32_t ws_tasks_fit(const struct ws_spec *s, double cpus, double gpus, double mem, uint32_t most);
void ws_place(struct ws_core *c);

/* gang.c */
bool ws_gang_gathers(const struct ws_job *j, uint64_t *attempt, double *since);
bool ws_gang_reachable(const struct ws_core *c, const struct ws_job *j);
void ws_gang_stop(struct ws_core *c, struct ws_job *j, double grace, const char *why);
void ws_gang_tend(struct ws_core *c, struct ws_job *j);
void ws_task_stop(struct ws_core *c, struct ws_attempt *s, const char *why);

/* rentals.c */
bool ws_rentable(struct ws_core *c, const struct ws_job *j, int zi);
void ws_rentals_tick(struct ws_core *c);
struct ws_unmet_demand { /* tasks of a job that found no room, and the zones they may be in */
	struct ws_job *job;
	uint32_t tasks;
	uint32_t zones;
};
void ws_rentals_want(struct ws_core *c, struct ws_job *j, uint32_t tasks, uint32_t zones);
double ws_bound(const struct ws_core *c);
void ws_rentals_plan(struct ws_core *c);
void ws_rental_dirty(struct ws_core *c, struct ws_rental *r);
void ws_rental_written(struct ws_core *c, struct ws_rental *r, bool deleted);
void ws_rental_free(struct ws_core *c, struct ws_rental *r);
bool ws_boot_late(const struct ws_core *c, const struct ws_machine *m);

/* election.c */
void ws_leader_tick(struct ws_core *c);
bool ws_entitled(const struct ws_core *c);
void ws_step_down(struct ws_core *c, const char *why);

/* outage.c */
void ws_outage_tick(struct ws_core *c);

/* requests.c */
bool ws_withdrawn_since(struct ws_core *c, uint64_t since, const char *after,
			struct ws_withdrawal **list, size_t *n, size_t most, bool *more);
void ws_cache_apply(struct ws_core *c, const struct ws_call *call, const struct ws_result *r);
void ws_requests_tick(struct ws_core *c);
bool ws_cut_off(const struct ws_core *c);
void ws_report_answer(struct ws_core *c, uint64_t token, int status, const char *leader);
void ws_follower_report(struct ws_core *c, uint64_t token, const struct ws_report *r, bool relayed);
void ws_requests_free(struct ws_core *c);
#endif
