/* Records of the zones package: what each holds, and what a leader takes over from them. */
#include "internal.h"

static const char *const state_names[] = {
    [WS_ZONES_HEALTHY] = "healthy",
    [WS_ZONES_SUSPECT] = "suspect",
    [WS_ZONES_DARK] = "dark",
    [WS_ZONES_RECOVERING] = "recovering",
};
#define STATES (sizeof(state_names) / sizeof(state_names[0]))

static const char *const evidence_names[] = {
    [WS_ZONES_NO_EVIDENCE] = "none",
    [WS_ZONES_SILENCE] = "heartbeats stopped together",
    [WS_ZONES_UNANSWERED] = "heartbeats stopped together, commands unanswered",
    [WS_ZONES_LEASES_OUT] = "leases out, view of the rest not sound",
    [WS_ZONES_RECORDED] = "on record",
    [WS_ZONES_HEARD] = "half of it heard",
    [WS_ZONES_NONE_LEFT] = "no machine left there",
    [WS_ZONES_STABLE] = "stable",
};

static const char *const reason_names[] = {
    [WS_ZONES_BY_CLASS] = "class",
    [WS_ZONES_BY_GUARANTEE] = "guarantee",
    [WS_ZONES_BY_FIRST_REPLICA] = "first replica",
    [WS_ZONES_BY_DEADLINE] = "deadline",
    [WS_ZONES_BY_PRIORITY] = "priority",
    [WS_ZONES_PINNED] = "pinned",
};

const char *ws_zones_state_name(enum ws_zones_state state)
{
	return state_names[state];
}

const char *ws_zones_evidence_name(enum ws_zones_evidence evidence)
{
	return evidence_names[evidence];
}

const char *ws_zones_reason_name(enum ws_zones_reason reason)
{
	return reason_names[reason];
}

json_t *ws_zones_domain_record(const struct ws_zones *zones, const struct ws_zones_domain *domain,
			       double now)
{
	return json_pack("{s:i,s:s,s:s,s:f,s:f,s:b,s:I,s:I,s:I,s:I}", "v", WS_ZONES_FORMAT, "state",
			 ws_zones_state_name(domain->state), "evidence",
			 ws_zones_evidence_name(domain->evidence), "penalty",
			 ws_zones_penalty(zones, domain, now), "for_s", now - domain->since, "held",
			 domain->held, "live", (json_int_t)domain->live, "silent",
			 (json_int_t)domain->silent, "unanswered", (json_int_t)domain->unanswered,
			 "gone", (json_int_t)domain->removed);
}

static enum ws_zones_state state_read(const char *name)
{
	for (size_t i = 0; name && i < STATES; i++)
		if (!strcmp(state_names[i], name))
			return (enum ws_zones_state)i;
	return WS_ZONES_HEALTHY;
}

/*
 * An earlier leader's verdict. Whoever led since may not know these records, so it is taken as a
 * start only: heartbeats decide from here on. How long ago it was written can't be known, so the
 * penalty counts as undecayed and the stable time begins anew.
 */
static void domain_loaded(struct ws_zones *zones, const char *name, json_t *value)
{
	struct ws_zones_domain *domain = ws_zones_domain_find(zones, name);

	if (!domain) /* of a zone that machines brought, or of a domain declared no more */
		domain = ws_zones_add_zone(zones, name);
	if (!domain)
		return;
	domain->penalty = fmin(zones->settings.penalty_max,
			       fmax(0, json_number_value(json_object_get(value, "penalty"))));
	domain->state = state_read(json_string_value(json_object_get(value, "state")));
	if (domain->state == WS_ZONES_SUSPECT)
		domain->state = WS_ZONES_HEALTHY;
	domain->evidence = WS_ZONES_RECORDED;
}

static void hold_loaded(struct ws_zones *zones, const char *name)
{
	struct ws_zones_domain *domain = ws_zones_domain_find(zones, name);

	if (domain)
		domain->held_read = true;
}

void ws_zones_record_loaded(void *self, const char *name, json_t *value)
{
	struct ws_zones *zones = self;
	json_int_t format = json_integer_value(json_object_get(value, "v"));

	if (format > WS_ZONES_FORMAT) {
		if (!zones->later_format)
			ws_zones_logf(zones,
				      "zones: record %s has format %lld, later than %d: records "
				      "are left alone and nothing is judged",
				      name, (long long)format, WS_ZONES_FORMAT);
		zones->later_format = true;
		return;
	}
	if (!strncmp(name, "domain/", 7))
		domain_loaded(zones, name + 7, value);
	else if (!strncmp(name, "hold/", 5))
		hold_loaded(zones, name + 5);
	else if (!strncmp(name, "plan/", 5))
		ws_zones_plan_loaded(zones, name + 5, value);
}
