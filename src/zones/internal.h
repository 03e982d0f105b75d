/* What the parts of the zones package share. */
#ifndef WS_ZONES_INTERNAL_H
#define WS_ZONES_INTERNAL_H
#include "zones.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/* Format of the records; later ones are left alone. */
#define WS_ZONES_FORMAT 1
/* A machine can be in its zone and in one declared domain. */
#define WS_ZONES_MEMBERSHIPS 2
/* Fewer machines that stop together are single failures. */
#define WS_ZONES_MACHINES_MIN 2
/* Half of a domain: silent for suspicion, live for recovery. */
#define WS_ZONES_HALF 0.5
/* In report periods: heard longer ago is silent; */
#define WS_ZONES_SILENT_REPORTS 1.5
/* silent for longer, in a healthy domain, is a single failure; */
#define WS_ZONES_SINGLE_REPORTS 3
/* a suspect domain that stays so is dark; */
#define WS_ZONES_CONFIRM_REPORTS 1.5
/* workers have so long to find a new leader. */
#define WS_ZONES_SETTLE_REPORTS 3
/* A tick later than this, in report periods, is a standstill. */
#define WS_ZONES_STANDSTILL_REPORTS 0.25
/* A lease surely runs out within its length, drift and a margin, as the core reckons. */
#define WS_ZONES_LEASE_MARGIN (1.001 + 1.0 / 32)

enum ws_zones_state {
	WS_ZONES_HEALTHY,
	WS_ZONES_SUSPECT,
	WS_ZONES_DARK,
	WS_ZONES_RECOVERING,
};

enum ws_zones_evidence {
	WS_ZONES_NO_EVIDENCE,
	WS_ZONES_SILENCE,    /* stopped together and stayed silent */
	WS_ZONES_UNANSWERED, /* and commands got no answer */
	WS_ZONES_LEASES_OUT, /* without a sound view of the rest */
	WS_ZONES_RECORDED,   /* an earlier leader's verdict */
	WS_ZONES_HEARD,	     /* half of it is live again */
	WS_ZONES_NONE_LEFT,  /* nothing there is left to be heard */
	WS_ZONES_STABLE,
};

enum ws_zones_presence {
	WS_ZONES_EXPECTED, /* on record, not yet heard by this leader */
	WS_ZONES_LIVE,
	WS_ZONES_SILENT,
	WS_ZONES_SINGLE, /* a single failure: counts no more until it is heard */
};

struct ws_zones_machine;

struct ws_zones_domain {
	char name[WS_ZONES_NAME_MAX];
	bool is_zone;
	enum ws_zones_state state;
	enum ws_zones_evidence evidence;
	double since;	    /* in this state */
	double clean_since; /* recovering: no loss since then */
	double penalty, penalty_at;
	bool held, held_read; /* by operators; read_: seen in the listing under way */
	bool record_due;
	double recorded_at;
	size_t live, silent, unanswered; /* members */
	size_t removed;			 /* silent ones that are gone since it was suspect */
	struct ws_zones_member *members;
	UT_hash_handle hh;
};

struct ws_zones_member {
	struct ws_zones_domain *domain;
	struct ws_zones_machine *machine;
	struct ws_zones_member *prev, *next;
};

struct ws_zones_machine {
	enum ws_zones_presence presence;
	double changed_at; /* by the listening clock. live: last heard; silent: since */
	bool unanswered;
	bool kept;	 /* silent with its domain: not on the list of silent ones */
	double ramp;	 /* its place in the growing share, from 0 to below 1 */
	size_t affected; /* attempts at the last survey */
	struct ws_zones_member memberships[WS_ZONES_MEMBERSHIPS];
	struct ws_zones_machine *prev, *next;
};

/* Machines in the order in which they came to it. */
struct ws_zones_list {
	struct ws_zones_machine *first, *last;
};

/* A declared network, found by its prefix. */
struct ws_zones_prefix {
	uint8_t bytes[16];
	uint8_t length;
	uint8_t version;
};

struct ws_zones_network {
	struct ws_zones_prefix prefix;
	struct ws_zones_domain *domain;
	UT_hash_handle hh;
};

#define WS_ZONES_LENGTHS 129
struct ws_zones_networks {
	struct ws_zones_network *table;
	bool used[2][WS_ZONES_LENGTHS]; /* prefix lengths of IPv4 and IPv6 */
};

enum ws_zones_reason {
	WS_ZONES_BY_CLASS,
	WS_ZONES_BY_GUARANTEE,
	WS_ZONES_BY_FIRST_REPLICA,
	WS_ZONES_BY_DEADLINE,
	WS_ZONES_BY_PRIORITY,
	WS_ZONES_PINNED,
};

/* One job of the evacuation plan. */
struct ws_zones_entry {
	char job[WS_ZONES_NAME_MAX];
	uint64_t round; /* of the survey that found it; those of earlier rounds go first */
	size_t recorded_position;
	size_t class_position;
	bool guaranteed, service, first_replica, pinned;
	int priority;
	double latest_start;
	enum ws_zones_reason reason;
	size_t planned, affected, waiting;
	int64_t part; /* number of the record that names it; -1: none yet */
	uint64_t seen;
	struct ws_zones_entry *next_finished;
	struct ws_move sent; /* as last asked of the core, without the job's name */
	UT_hash_handle hh;
};

/* A record of a part of the plan. */
struct ws_zones_part {
	int64_t number;
	size_t entries; /* that are unfinished */
	struct ws_zones_part *next_finished;
	UT_hash_handle hh;
};

struct ws_zones_progress {
	size_t planned, moved, moving, waiting, pinned, called_off;
};

struct ws_zones_plan {
	struct ws_zones_entry *entries;
	struct ws_zones_part *parts;
	int64_t next_part;
	uint64_t surveys;
	double survey_next;
	bool surveyed;	   /* since the last tick */
	size_t called_off; /* attempts that went on */
	size_t finished;   /* tasks of entries that are finished */
	struct ws_zones_progress told;
	double told_at;
};

struct ws_zones {
	struct ws_zones_settings settings;
	struct ws_cluster_limits limits;
	char node_zone[WS_ZONES_NAME_MAX];
	ws_zones_log_fn log;
	struct ws_zones_networks networks;
	struct ws_zones_domain *domains;
	struct ws_zones_list live, silent, expected; /* each in the order of changed_at */
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
	struct ws_zones_plan plan;
};

void ws_zones_logf(const struct ws_zones *zones, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* domains.c */
struct ws_zones_domain *ws_zones_domain_find(struct ws_zones *zones, const char *name);
bool ws_zones_domains_create(struct ws_zones *zones, struct ws_zones_error *error);
/* A zone that the settings don't list; NULL: its name can be no key. */
struct ws_zones_domain *ws_zones_add_zone(struct ws_zones *zones, const char *name);
void ws_zones_domains_free(struct ws_zones *zones);
void ws_zones_join(struct ws_zones *zones, struct ws_zones_machine *machine,
		   const struct ws_machine_facts *facts);
void ws_zones_leave(struct ws_zones_machine *machine);
/* Adds a machine to the counts of one of its domains, or takes it off. */
void ws_zones_domain_count(struct ws_zones_domain *domain, const struct ws_zones_machine *machine,
			   int sign);

/* health.c */
void ws_zones_listen(struct ws_zones *zones, double now);
void ws_zones_set_presence(struct ws_zones *zones, struct ws_zones_machine *machine,
			   enum ws_zones_presence presence);
void ws_zones_set_unanswered(struct ws_zones_machine *machine, bool unanswered);
void ws_zones_health_tick(struct ws_zones *zones, const struct ws_tick_facts *facts);
double ws_zones_penalty(const struct ws_zones *zones, const struct ws_zones_domain *domain,
			double now);
double ws_zones_hold_down(const struct ws_zones *zones, const struct ws_zones_domain *domain);
bool ws_zones_domain_avoids(const struct ws_zones *zones, const struct ws_zones_domain *domain,
			    const struct ws_zones_machine *machine, double now);
bool ws_zones_in_state(const struct ws_zones *zones, enum ws_zones_state state);

/* plan.c */
void ws_zones_plan_free(struct ws_zones *zones);
bool ws_zones_attempt_surveyed(void *self, void *machine);
void ws_zones_job_surveyed(void *self, const struct ws_job_facts *facts);
void ws_zones_survey_done(void *self, double now);
void ws_zones_plan_tick(struct ws_zones *zones, double now, struct ws_request_queue *out);
void ws_zones_plan_loaded(struct ws_zones *zones, const char *number, json_t *value);
void ws_zones_called_off(struct ws_zones *zones, struct ws_zones_machine *machine);

/* records.c */
json_t *ws_zones_domain_record(const struct ws_zones *zones, const struct ws_zones_domain *domain,
			       double now);
void ws_zones_record_loaded(void *self, const char *name, json_t *value);
const char *ws_zones_state_name(enum ws_zones_state state);
const char *ws_zones_evidence_name(enum ws_zones_evidence evidence);
const char *ws_zones_reason_name(enum ws_zones_reason reason);
#endif
