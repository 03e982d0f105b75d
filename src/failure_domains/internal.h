/* What the parts of the zones package share. */
#ifndef WS_DOMAINS_INTERNAL_H
#define WS_DOMAINS_INTERNAL_H
#include "failure_domains.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/* Format of the records; later ones are left alone. */
#define WS_DOMAINS_FORMAT 1
/* A machine can be in its zone and in one declared domain. */
#define WS_DOMAINS_MEMBERSHIPS 2
/* Fewer machines that stop together are single failures. */
#define WS_DOMAINS_MACHINES_MIN 2
/* Half of a domain: silent for suspicion, live for recovery. */
#define WS_DOMAINS_HALF 0.5
/* In heartbeat intervals: heard longer ago is silent; */
#define WS_DOMAINS_SILENT_REPORTS 1.5
/* silent for longer, in a healthy domain, is a single failure; */
#define WS_DOMAINS_SINGLE_REPORTS 3
/* a suspect domain that stays so is dark; */
#define WS_DOMAINS_CONFIRM_REPORTS 1.5
/* workers have so long to find a new leader. */
#define WS_DOMAINS_SETTLE_REPORTS 3
/* A tick later than this, in heartbeat intervals, is a standstill. */
#define WS_DOMAINS_STANDSTILL_REPORTS 0.25
/* A lease surely runs out within its length, drift and a margin, as the core reckons. */
#define WS_DOMAINS_LEASE_MARGIN (1.001 + 1.0 / 32)

enum ws_domains_state {
	WS_DOMAINS_HEALTHY,
	WS_DOMAINS_SUSPECT,
	WS_DOMAINS_DARK,
	WS_DOMAINS_RECOVERING,
};

enum ws_domains_evidence {
	WS_DOMAINS_NO_EVIDENCE,
	WS_DOMAINS_SILENCE,    /* stopped together and stayed silent */
	WS_DOMAINS_UNANSWERED, /* and commands got no answer */
	WS_DOMAINS_LEASES_OUT, /* without a sound view of the rest */
	WS_DOMAINS_RECORDED,   /* an earlier leader's verdict */
	WS_DOMAINS_HEARD,      /* half of it is live again */
	WS_DOMAINS_NONE_LEFT,  /* nothing there is left to be heard */
	WS_DOMAINS_STABLE,
};

enum ws_domains_presence {
	WS_DOMAINS_EXPECTED, /* on record, not yet heard by this leader */
	WS_DOMAINS_LIVE,
	WS_DOMAINS_SILENT,
	WS_DOMAINS_SINGLE, /* a single failure: counts no more until it is heard */
};

struct ws_domains_machine;

struct ws_failure_domain {
	char name[WS_DOMAINS_NAME_MAX];
	bool is_zone;
	enum ws_domains_state state;
	enum ws_domains_evidence evidence;
	double since;	    /* in this state */
	double clean_since; /* recovering: no loss since then */
	double penalty, penalty_at;
	bool held, held_read; /* by operators; read_: seen in the listing under way */
	bool record_due;
	double recorded_at;
	size_t live, silent, unanswered; /* members */
	size_t removed;			 /* silent ones that are gone since it was suspect */
	struct ws_domains_member *members;
	UT_hash_handle hh;
};

struct ws_domains_member {
	struct ws_failure_domain *domain;
	struct ws_domains_machine *machine;
	struct ws_domains_member *prev, *next;
};

struct ws_domains_machine {
	enum ws_domains_presence presence;
	double changed_at; /* by the listening clock. live: last heard; silent: since */
	bool unanswered;
	bool kept;	 /* silent with its domain: not on the list of silent ones */
	double ramp;	 /* its place in the growing share, from 0 to below 1 */
	size_t affected; /* attempts at the last survey */
	struct ws_domains_member memberships[WS_DOMAINS_MEMBERSHIPS];
	struct ws_domains_machine *prev, *next;
};

/* Machines in the order in which they came to it. */
struct ws_domains_list {
	struct ws_domains_machine *first, *last;
};

/* A declared network, found by its prefix. */
struct ws_domains_prefix {
	uint8_t bytes[16];
	uint8_t length;
	uint8_t version;
};

struct ws_domains_network {
	struct ws_domains_prefix prefix;
	struct ws_failure_domain *domain;
	UT_hash_handle hh;
};

#define WS_DOMAINS_LENGTHS 129
struct ws_domains_networks {
	struct ws_domains_network *table;
	bool used[2][WS_DOMAINS_LENGTHS]; /* prefix lengths of IPv4 and IPv6 */
};

enum ws_domains_reason {
	WS_DOMAINS_BY_CLASS,
	WS_DOMAINS_BY_GUARANTEE,
	WS_DOMAINS_BY_FIRST_REPLICA,
	WS_DOMAINS_BY_DEADLINE,
	WS_DOMAINS_BY_PRIORITY,
	WS_DOMAINS_PINNED,
};

/* One job of the evacuation plan. */
struct ws_domains_entry {
	char job[WS_DOMAINS_NAME_MAX];
	uint64_t round; /* of the survey that found it; those of earlier rounds go first */
	size_t recorded_position;
	size_t class_position;
	bool guaranteed, service, first_replica, pinned;
	int priority;
	double latest_start;
	enum ws_domains_reason reason;
	size_t planned, affected, waiting;
	int64_t part; /* number of the record that names it; -1: none yet */
	uint64_t seen;
	struct ws_domains_entry *next_finished;
	struct ws_move sent; /* as last asked of the core, without the job's name */
	UT_hash_handle hh;
};

/* A record of a part of the plan. */
struct ws_domains_part {
	int64_t number;
	size_t entries; /* that are unfinished */
	struct ws_domains_part *next_finished;
	UT_hash_handle hh;
};

struct ws_domains_progress {
	size_t planned, moved, moving, waiting, pinned, called_off;
};

struct ws_domains_plan {
	struct ws_domains_entry *entries;
	struct ws_domains_part *parts;
	int64_t next_part;
	uint64_t surveys;
	double survey_next;
	bool surveyed;	   /* since the last tick */
	size_t called_off; /* attempts that went on */
	size_t finished;   /* tasks of entries that are finished */
	struct ws_domains_progress told;
	double told_at;
};

struct ws_failure_domains {
	struct ws_domains_settings settings;
	struct ws_cluster_limits limits;
	char node_zone[WS_DOMAINS_NAME_MAX];
	ws_domains_log_fn log;
	struct ws_domains_networks networks;
	struct ws_failure_domain *by_name;
	struct ws_domains_list live, silent, expected; /* each in the order of changed_at */
	/*
	 * Time during which we were listening: it stands still while the process does, and while
	 * it may not answer reports. Silence is measured by it.
	 */
	double clock, clock_read; /* and the time when it was last read */
	double judge_from;	  /* of that clock: workers had the time to find us */
	bool serving;
	size_t live_count, silent_count;
	size_t machine_count; /* ever added: gives each its place in the ramp */
	bool later_format;    /* a record is of a later format: nothing is judged or written */
	double hold_read_next;
	uint64_t steps; /* of work on single machines, counted for tests */
	struct ws_domains_plan plan;
};

void ws_domains_logf(const struct ws_failure_domains *domains, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* domains.c */
struct ws_failure_domain *ws_failure_domain_find(struct ws_failure_domains *domains,
						 const char *name);
bool ws_domains_domains_create(struct ws_failure_domains *domains, struct ws_domains_error *error);
/* A zone that the settings don't list; NULL: its name can be no key. */
struct ws_failure_domain *ws_domains_add_zone(struct ws_failure_domains *domains, const char *name);
void ws_domains_domains_free(struct ws_failure_domains *domains);
void ws_domains_join(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
		     const struct ws_machine_facts *facts);
void ws_domains_leave(struct ws_domains_machine *machine);
/* Adds a machine to the counts of one of its domains, or takes it off. */
void ws_failure_domain_count(struct ws_failure_domain *domain,
			     const struct ws_domains_machine *machine, int sign);

/* health.c */
void ws_domains_listen(struct ws_failure_domains *domains, double now);
void ws_domains_set_presence(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			     enum ws_domains_presence presence);
void ws_domains_set_unanswered(struct ws_domains_machine *machine, bool unanswered);
void ws_domains_health_tick(struct ws_failure_domains *domains, const struct ws_tick_facts *facts);
double ws_domains_penalty(const struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain, double now);
double ws_domains_hold_down(const struct ws_failure_domains *domains,
			    const struct ws_failure_domain *domain);
bool ws_failure_domain_avoids(const struct ws_failure_domains *domains,
			      const struct ws_failure_domain *domain,
			      const struct ws_domains_machine *machine, double now);
bool ws_domains_in_state(const struct ws_failure_domains *domains, enum ws_domains_state state);

/* plan.c */
void ws_domains_plan_free(struct ws_failure_domains *domains);
bool ws_domains_attempt_surveyed(void *self, void *machine);
void ws_domains_job_surveyed(void *self, const struct ws_job_facts *facts);
void ws_domains_survey_done(void *self, double now);
void ws_domains_plan_tick(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *out);
void ws_domains_plan_loaded(struct ws_failure_domains *domains, const char *number, json_t *value);
void ws_domains_called_off(struct ws_failure_domains *domains, struct ws_domains_machine *machine);

/* records.c */
json_t *ws_failure_domain_record(const struct ws_failure_domains *domains,
				 const struct ws_failure_domain *domain, double now);
void ws_domains_record_loaded(void *self, const char *name, json_t *value);
const char *ws_domains_state_name(enum ws_domains_state state);
const char *ws_domains_evidence_name(enum ws_domains_evidence evidence);
const char *ws_domains_reason_name(enum ws_domains_reason reason);
#endif
