/* Records of the failure domains subsystem: encoding, and restoring of state by a new leader. */
#include "records.h"
#include "../subsystem_support/subsystem_records.h"
#include "domains.h"
#include "health.h"
#include "plan.h"
#include <math.h>
#include <string.h>

static const struct ws_subsystem_record_format record_format = {
    .log_name = "zones",
    .supported = WS_DOMAINS_RECORD_FORMAT,
};

static const char *const state_names[] = {
    [WS_DOMAINS_HEALTHY] = "healthy",
    [WS_DOMAINS_SUSPECT] = "suspect",
    [WS_DOMAINS_UNREACHABLE] = "dark",
    [WS_DOMAINS_RECOVERING] = "recovering",
};
_Static_assert(WS_DOMAINS_HEALTHY == 0, "an unknown state name must decode as healthy");
#define STATE_COUNT (sizeof(state_names) / sizeof(state_names[0]))

static const char *const evidence_names[] = {
    [WS_DOMAINS_NO_EVIDENCE] = "none",
    [WS_DOMAINS_HEARTBEATS_STOPPED] = "heartbeats stopped together",
    [WS_DOMAINS_COMMANDS_UNANSWERED] = "heartbeats stopped together, commands unanswered",
    [WS_DOMAINS_LEASES_EXPIRED] = "leases out, view of the rest not sound",
    [WS_DOMAINS_RESTORED] = "on record",
    [WS_DOMAINS_HEARTBEATS_RESUMED] = "half of it heard",
    [WS_DOMAINS_NO_MACHINES_LEFT] = "no machine left there",
    [WS_DOMAINS_STABLE] = "stable",
};

static const char *const ordering_rule_names[] = {
    [WS_DOMAINS_BY_CLASS] = "class",
    [WS_DOMAINS_BY_GUARANTEE] = "guarantee",
    [WS_DOMAINS_BY_FIRST_REPLICA] = "first replica",
    [WS_DOMAINS_BY_DEADLINE] = "deadline",
    [WS_DOMAINS_BY_PRIORITY] = "priority",
    [WS_DOMAINS_BY_ZONE_PIN] = "pinned",
};

const char *ws_domains_state_name(enum ws_domains_state state)
{
	return state_names[state];
}

const char *ws_domains_evidence_name(enum ws_domains_evidence evidence)
{
	return evidence_names[evidence];
}

const char *ws_domains_ordering_rule_name(enum ws_domains_ordering_rule rule)
{
	return ordering_rule_names[rule];
}

json_t *ws_failure_domain_record(const struct ws_failure_domains *domains,
				 const struct ws_failure_domain *domain, double now)
{
	return json_pack("{s:i,s:s,s:s,s:f,s:f,s:b,s:I,s:I,s:I,s:I}", "v", WS_DOMAINS_RECORD_FORMAT,
			 "state", ws_domains_state_name(domain->state), "evidence",
			 ws_domains_evidence_name(domain->evidence), "penalty",
			 ws_domains_penalty(domains, domain, now), "for_s",
			 now - domain->state_changed_at, "held", domain->held, "live",
			 (json_int_t)domain->live, "silent", (json_int_t)domain->unresponsive,
			 "unanswered", (json_int_t)domain->unanswered, "gone",
			 (json_int_t)domain->removed_unresponsive);
}

static enum ws_domains_state state_from_name(const char *name)
{
	return (enum ws_domains_state)ws_subsystem_name_index(state_names, STATE_COUNT, name);
}

/*
 * Restores the state of a domain from the record of an earlier leader. It is an initial state only,
 * and heartbeats determine the state from here on, because a leader of a version without these
 * records may have been in between. The age of the record is unknown, so the penalty is taken as
 * undecayed and the hold-down starts again.
 */
static void domain_loaded(struct ws_failure_domains *domains, const char *name, json_t *value)
{
	struct ws_failure_domain *domain = ws_failure_domain_find(domains, name);

	if (!domain) /* a zone that only machines reported, or a domain removed from the settings */
		domain = ws_domains_add_zone(domains, name);
	if (!domain)
		return;
	domain->penalty = fmin(domains->settings.penalty_max,
			       fmax(0, json_number_value(json_object_get(value, "penalty"))));
	domain->state = state_from_name(json_string_value(json_object_get(value, "state")));
	if (domain->state == WS_DOMAINS_SUSPECT)
		domain->state = WS_DOMAINS_HEALTHY;
	domain->evidence = WS_DOMAINS_RESTORED;
}

static void hold_loaded(struct ws_failure_domains *domains, const char *name)
{
	struct ws_failure_domain *domain = ws_failure_domain_find(domains, name);

	if (domain)
		domain->held_in_listing = true;
}

void ws_domains_record_loaded(void *self, const char *name, json_t *value)
{
	struct ws_failure_domains *domains = self;

	if (!ws_subsystem_record_supported(&record_format, domains->log, name, value,
					   &domains->later_format))
		return;
	if (!strncmp(name, "domain/", 7))
		domain_loaded(domains, name + 7, value);
	else if (!strncmp(name, "hold/", 5))
		hold_loaded(domains, name + 5);
	else if (!strncmp(name, "plan/", 5))
		ws_domains_plan_shard_loaded(domains, name + 5, value);
}
