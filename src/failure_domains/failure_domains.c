/*
 * Implements the core's hooks for the failure domains subsystem: forwards events to the health and
 * plan modules, and their requests to the core.
 */
#include "failure_domains.h"
#include "../subsystem_support/subsystem_memory.h"
#include "domains.h"
#include "health.h"
#include "plan.h"
#include "records.h"
#include "state.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Defaults of the settings. Those ending in _LEASES are multiples of the lease duration. */
#define HOLD_DOWN_LEASES 1.0
#define RAMP_LEASES 2.0
#define PENALTY_HALF_LIFE_LEASES 30.0
#define PENALTY_MAX 5.0
#define UNREACHABLE_SHARE 0.8
/* The penalty after one loss. A penalty above it means that the domain was lost repeatedly. */
#define SINGLE_LOSS_PENALTY 1.0
/* Interval at which the operators' hold records are read, in leases. */
#define HOLDS_READ_LEASES 0.25
/* Interval at which the records of unreachable and recovering domains are rewritten, in leases. */
#define RECORD_WRITE_LEASES 1.0
/* The golden ratio's fractional part spreads any number of machines evenly over the ramp-up. */
#define RAMP_STEP 0.6180339887498949

const char *ws_domains_error_text(enum ws_domains_error_code code)
{
	switch (code) {
	case WS_DOMAINS_OK: return "fine";
	case WS_DOMAINS_INVALID_NETWORK: return "is not a valid IP network";
	case WS_DOMAINS_HOST_BITS_SET: return "has host bits set: it is an address, not a network";
	case WS_DOMAINS_DUPLICATE_NETWORK: return "is declared more than once";
	case WS_DOMAINS_DUPLICATE_NAME: return "has the name of another domain or zone";
	case WS_DOMAINS_INVALID_NAME:
		return "is not a valid name: it is empty or contains a space, tab or slash";
	}
	return "";
}

void ws_domains_settings_defaults(struct ws_domains_settings *settings)
{
	*settings = (struct ws_domains_settings){
	    .unreachable_share = UNREACHABLE_SHARE,
	    .hold_down_s = -1,
	    .ramp_s = -1,
	    .penalty_half_life_s = -1,
	    .penalty_max = PENALTY_MAX,
	};
}

void ws_domains_settings_free(struct ws_domains_settings *settings)
{
	for (size_t i = 0; i < settings->declared_count; i++)
		free(settings->declared[i].networks);
	free(settings->declared);
	free(settings->class_order);
	settings->declared = NULL;
	settings->class_order = NULL;
	settings->declared_count = settings->class_count = 0;
}

/* Copies an array. Returns NULL if it is empty. */
static void *copy_array(const void *source, size_t count, size_t size)
{
	void *copy;

	if (!count)
		return NULL;
	copy = malloc(count * size);
	if (!copy)
		abort();
	memcpy(copy, source, count * size);
	return copy;
}

static void copy_settings(struct ws_domains_settings *target,
			  const struct ws_domains_settings *source, double lease_s)
{
	*target = *source;
	target->class_order =
	    copy_array(source->class_order, source->class_count, sizeof(*source->class_order));
	target->declared =
	    copy_array(source->declared, source->declared_count, sizeof(*source->declared));
	for (size_t i = 0; i < target->declared_count; i++)
		target->declared[i].networks =
		    copy_array(source->declared[i].networks, source->declared[i].network_count,
			       sizeof(*source->declared[i].networks));
	if (target->hold_down_s < 0)
		target->hold_down_s = HOLD_DOWN_LEASES * lease_s;
	if (target->ramp_s < 0)
		target->ramp_s = RAMP_LEASES * lease_s;
	if (target->penalty_half_life_s <= 0)
		target->penalty_half_life_s = PENALTY_HALF_LIFE_LEASES * lease_s;
}

struct ws_failure_domains *ws_domains_new(const struct ws_domains_settings *settings,
					  const struct ws_cluster_limits *limits,
					  ws_subsystem_log_fn log, struct ws_domains_error *error)
{
	struct ws_failure_domains *domains = ws_subsystem_allocate(sizeof(*domains));

	copy_settings(&domains->settings, settings, limits->lease_s);
	domains->limits = *limits;
	domains->log = log;
	snprintf(domains->node_zone, sizeof(domains->node_zone), "%s", limits->node_zone);
	if (!ws_domains_add_configured(domains, error)) {
		ws_domains_free(domains);
		return NULL;
	}
	domains->limits.zones = NULL; /* owned by the caller */
	domains->limits.node_zone = domains->node_zone;
	return domains;
}

void ws_domains_free(struct ws_failure_domains *domains)
{
	if (!domains)
		return;
	ws_domains_plan_free(domains);
	ws_domains_clear(domains);
	ws_domains_settings_free(&domains->settings);
	free(domains);
}

/* ---- leadership ---- */

uint64_t ws_domains_machine_operations(const struct ws_failure_domains *domains)
{
	return domains->machine_operations;
}

static void destroy(void *self)
{
	ws_domains_free(self);
}

static void elected(void *self, const struct ws_election_info *info)
{
	struct ws_failure_domains *domains = self;
	const double now = info->now;

	for (struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next) {
		domain->state = WS_DOMAINS_HEALTHY;
		domain->evidence = WS_DOMAINS_NO_EVIDENCE;
		domain->penalty = 0;
		domain->state_changed_at = domain->penalty_updated_at = domain->loss_free_since =
		    domain->recorded_at = now;
		domain->held = domain->held_in_listing = domain->record_due = false;
		domain->removed_unresponsive = 0;
	}
	domains->later_format = false;
	domains->serving = false; /* the first serving tick sets when evaluation starts */
	domains->serving_clock = domains->evaluate_from = 0;
	domains->clock_advanced_at = now;
	domains->holds_due_at = 0;
}

/* Applies a complete listing of hold records. A domain without a hold record is not held. */
static void apply_holds(struct ws_failure_domains *domains)
{
	for (struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next) {
		if (domain->held != domain->held_in_listing) {
			ws_subsystem_logf(domains->log,
					  "zones: operator hold changed domain=%s held=%s",
					  domain->name, domain->held_in_listing ? "yes" : "no");
			domain->record_due = true;
		}
		domain->held = domain->held_in_listing;
		domain->held_in_listing = false;
	}
}

static void records_loaded(void *self, double now)
{
	struct ws_failure_domains *domains = self;

	(void)now;
	apply_holds(domains);
	for (struct ws_failure_domain *domain = domains->by_name; domain; domain = domain->hh.next)
		if (domain->state != WS_DOMAINS_HEALTHY)
			ws_subsystem_logf(
			    domains->log,
			    "zones: domain state restored domain=%s state=%s penalty=%.2f",
			    domain->name, ws_domains_state_name(domain->state), domain->penalty);
}

static void records_read(void *self, const char *name_prefix)
{
	if (!strcmp(name_prefix, "hold/"))
		apply_holds(self);
}

static void stepped_down(void *self)
{
	struct ws_failure_domains *domains = self;

	ws_domains_plan_free(domains);
}

/* ---- machines ---- */

static void *machine_added(void *self, double now, const struct ws_machine_info *info)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_machine *machine = ws_subsystem_allocate(sizeof(*machine));

	(void)now;
	/* not counted before its first heartbeat */
	machine->liveness = WS_DOMAINS_ISOLATED_FAILURE;
	machine->ramp_position = fmod((double)domains->machine_count++ * RAMP_STEP, 1);
	ws_domains_add_machine(domains, machine, info);
	if (info->expected)
		ws_domains_set_liveness(domains, machine, WS_DOMAINS_EXPECTED);
	return machine;
}

static void machine_changed(void *self, void *handle, const struct ws_machine_info *info)
{
	ws_domains_remove_machine(handle);
	ws_domains_add_machine(self, handle, info);
}

/*
 * A machine that stopped sending heartbeats and was then removed still counts as lost with its
 * domain.
 */
static void count_removed_machine(const struct ws_domains_machine *machine)
{
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain && domain->state != WS_DOMAINS_HEALTHY)
			domain->removed_unresponsive++;
	}
}

static void machine_removed(void *self, void *handle)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_machine *machine = handle;

	ws_domains_set_liveness(domains, machine, WS_DOMAINS_ISOLATED_FAILURE);
	ws_domains_remove_machine(machine);
	free(machine);
}

static void machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss)
{
	struct ws_failure_domains *domains = self;
	struct ws_domains_machine *machine = handle;

	(void)now;
	machine->affected_attempts = 0;
	if (loss == WS_LOSS_LEASE_EXPIRED)
		return;
	if (machine->liveness == WS_DOMAINS_UNRESPONSIVE)
		count_removed_machine(machine);
	ws_domains_set_liveness(domains, machine, WS_DOMAINS_ISOLATED_FAILURE);
}

static void heartbeat_seen(void *self, double now, void *handle)
{
	struct ws_domains_machine *machine = handle;

	if (machine->liveness == WS_DOMAINS_UNRESPONSIVE)
		ws_domains_plan_cancel_moves(self, machine);
	ws_domains_advance_clock(self, now);
	ws_domains_set_liveness(self, machine, WS_DOMAINS_LIVE);
}

static void command_answered(void *self, void *handle, bool answered)
{
	(void)self;
	ws_domains_set_unanswered(handle, !answered);
}

/* ---- placement ---- */

static bool machine_avoided(void *self, double now, const void *handle)
{
	const struct ws_failure_domains *domains = self;
	const struct ws_domains_machine *machine = handle;

	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS && !domains->later_format; i++) {
		const struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain && ws_failure_domain_avoids_machine(domains, domain, machine, now))
			return true;
	}
	return false;
}

/*
 * Returns the zone's domain if it is unreachable, or recovering and still in hold-down; otherwise
 * NULL.
 */
static const struct ws_failure_domain *find_unavailable_zone(struct ws_failure_domains *domains,
							     double now, const char *zone)
{
	const struct ws_failure_domain *domain = ws_failure_domain_find(domains, zone);

	if (!domain || !domain->is_zone || domains->later_format)
		return NULL;
	if (domain->state == WS_DOMAINS_UNREACHABLE)
		return domain;
	return domain->state == WS_DOMAINS_RECOVERING &&
		       now - domain->loss_free_since < ws_domains_hold_down(domains, domain)
		   ? domain
		   : NULL;
}

static bool zone_avoided(void *self, double now, const char *zone)
{
	return find_unavailable_zone(self, now, zone) != NULL;
}

/*
 * A new machine takes time to boot, so a recovering zone is closed to new machines only if it was
 * lost repeatedly.
 */
static bool zone_closed(void *self, double now, const char *zone)
{
	const struct ws_failure_domain *domain = find_unavailable_zone(self, now, zone);

	return domain &&
	       (domain->state == WS_DOMAINS_UNREACHABLE || domain->penalty > SINGLE_LOSS_PENALTY);
}

/* ---- tick ---- */

static void write_domain_records(struct ws_failure_domains *domains, double now,
				 struct ws_request_queue *requests)
{
	for (struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next) {
		char name[WS_DOMAINS_NAME_MAX + 16];
		bool unhealthy = domain->state == WS_DOMAINS_UNREACHABLE ||
				 domain->state == WS_DOMAINS_RECOVERING;
		bool rewrite_due = unhealthy && now - domain->recorded_at >
						    RECORD_WRITE_LEASES * domains->limits.lease_s;

		if (!domain->record_due && !rewrite_due)
			continue;
		snprintf(name, sizeof(name), "domain/%s", domain->name);
		ws_request_write(requests, name, ws_failure_domain_record(domains, domain, now),
				 domain->record_due);
		domain->record_due = false;
		domain->recorded_at = now;
	}
}

static void tick(void *self, const struct ws_tick_info *info, struct ws_request_queue *requests)
{
	struct ws_failure_domains *domains = self;

	if (domains->later_format)
		return;
	ws_domains_health_tick(domains, info);
	if (!info->serving)
		return;
	write_domain_records(domains, info->now, requests);
	ws_domains_plan_tick(domains, info->now, requests);
	if (info->now >= domains->holds_due_at) {
		domains->holds_due_at = info->now + HOLDS_READ_LEASES * domains->limits.lease_s;
		ws_request_read(requests, "hold/");
	}
}

const struct ws_subsystem_ops ws_domains_ops = {
    .prefix = "zones/",
    .destroy = destroy,
    .elected = elected,
    .record_loaded = ws_domains_record_loaded,
    .records_loaded = records_loaded,
    .stepped_down = stepped_down,
    .records_read = records_read,
    .machine_added = machine_added,
    .machine_changed = machine_changed,
    .machine_removed = machine_removed,
    .heartbeat_seen = heartbeat_seen,
    .command_answered = command_answered,
    .machine_lost = machine_lost,
    .machine_avoided = machine_avoided,
    .zone_avoided = zone_avoided,
    .zone_closed = zone_closed,
    .attempt_surveyed = ws_domains_attempt_surveyed,
    .job_surveyed = ws_domains_job_surveyed,
    .survey_done = ws_domains_survey_done,
    .tick = tick,
};
