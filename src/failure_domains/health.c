/*
 * Liveness of machines and health of the failure domains.
 *
 * Live machines are on a list ordered by their last heartbeat, unresponsive machines on another,
 * ordered by the time at which they became unresponsive. A heartbeat moves its machine to the end
 * of the first list; a tick removes overdue machines from the front of both. The work is therefore
 * proportional to the number of changes, and each domain is evaluated from its counts alone.
 */
#include "health.h"
#include "domains.h"
#include "records.h"
#include <math.h>
#include <sys/types.h>
#include <utlist.h>

/* If fewer machines stop sending heartbeats together, these are isolated failures. */
#define GROUP_LOSS_MACHINES_MIN 2
/* The share of a domain that must be lost to suspect it, and live to let it recover. */
#define HALF_SHARE 0.5
/* A machine without a heartbeat for longer is unresponsive. */
#define UNRESPONSIVE_HEARTBEATS 1.5
/* A machine that is unresponsive for longer in a healthy domain is an isolated failure. */
#define ISOLATED_FAILURE_HEARTBEATS 3
/* A domain that is suspect for longer is unreachable. */
#define CONFIRM_HEARTBEATS 1.5
/* Time allowed for workers to connect to a new leader. */
#define RECONNECT_HEARTBEATS 3
/* A longer gap between ticks means that the process was paused. */
#define PAUSE_HEARTBEATS 0.25
/*
 * Time in leases after which a lease has expired on any clock: the lease with 0.1 % of clock drift,
 * and a margin of 1/32 lease, as in the core.
 */
#define LEASE_EXPIRY_FACTOR (1.001 + 1.0 / 32)

/* ---- liveness ---- */

static void list_append(struct ws_domains_machine_list *list, struct ws_domains_machine *machine)
{
	machine->prev = list->last;
	machine->next = NULL;
	if (list->last)
		list->last->next = machine;
	else
		list->first = machine;
	list->last = machine;
}

static void list_remove(struct ws_domains_machine_list *list, struct ws_domains_machine *machine)
{
	if (machine->prev)
		machine->prev->next = machine->next;
	else
		list->first = machine->next;
	if (machine->next)
		machine->next->prev = machine->prev;
	else
		list->last = machine->prev;
	machine->prev = machine->next = NULL;
}

static struct ws_domains_machine_list *list_for_liveness(struct ws_failure_domains *domains,
							 const struct ws_domains_machine *machine)
{
	switch (machine->liveness) {
	case WS_DOMAINS_EXPECTED: return &domains->expected;
	case WS_DOMAINS_LIVE: return &domains->live;
	case WS_DOMAINS_UNRESPONSIVE:
		return machine->unresponsive_with_domain ? NULL : &domains->unresponsive;
	case WS_DOMAINS_ISOLATED_FAILURE: break;
	}
	return NULL;
}

/* Adds a machine to the counts for its liveness (`sign` 1) or subtracts it (`sign` -1). */
static void adjust_liveness_counts(struct ws_failure_domains *domains,
				   struct ws_domains_machine *machine, int sign)
{
	size_t change = (size_t)(ssize_t)sign;

	domains->live_count += machine->liveness == WS_DOMAINS_LIVE ? change : 0;
	domains->unresponsive_count += machine->liveness == WS_DOMAINS_UNRESPONSIVE ? change : 0;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain)
			ws_failure_domain_adjust_counts(domain, machine, sign);
	}
}

void ws_domains_set_liveness(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			     enum ws_domains_liveness liveness)
{
	struct ws_domains_machine_list *list = list_for_liveness(domains, machine);

	domains->machine_operations++;
	if (list)
		list_remove(list, machine);
	adjust_liveness_counts(domains, machine, -1);
	machine->liveness = liveness;
	machine->changed_at = domains->serving_clock;
	machine->unresponsive_with_domain = false;
	if (liveness != WS_DOMAINS_UNRESPONSIVE)
		machine->unanswered = false;
	adjust_liveness_counts(domains, machine, 1);
	list = list_for_liveness(domains, machine);
	if (list)
		list_append(list, machine);
}

void ws_domains_set_unanswered(struct ws_domains_machine *machine, bool unanswered)
{
	if (machine->liveness != WS_DOMAINS_UNRESPONSIVE || machine->unanswered == unanswered)
		return;
	machine->unanswered = unanswered;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++)
		if (machine->memberships[i].domain)
			machine->memberships[i].domain->unanswered += unanswered ? 1 : (size_t)-1;
}

/*
 * Returns true if a domain of the machine is not healthy. Its failure is then not an isolated one.
 */
static bool machine_in_unhealthy_domain(const struct ws_domains_machine *machine)
{
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		const struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain && domain->state != WS_DOMAINS_HEALTHY)
			return true;
	}
	return false;
}

void ws_domains_advance_clock(struct ws_failure_domains *domains, double now)
{
	const double pause_s = PAUSE_HEARTBEATS * domains->limits.heartbeat_s;

	if (domains->serving && now > domains->clock_advanced_at)
		domains->serving_clock += fmin(now - domains->clock_advanced_at, pause_s);
	domains->clock_advanced_at = now;
}

/* Moves machines that are overdue by the serving clock from the fronts of the lists. */
static void expire_overdue_machines(struct ws_failure_domains *domains)
{
	const double heartbeat_s = domains->limits.heartbeat_s;
	const double unresponsive_after = UNRESPONSIVE_HEARTBEATS * heartbeat_s;
	const double isolated_after = ISOLATED_FAILURE_HEARTBEATS * heartbeat_s;
	struct ws_domains_machine *machine;

	while ((machine = domains->live.first) &&
	       domains->serving_clock - machine->changed_at > unresponsive_after)
		ws_domains_set_liveness(domains, machine, WS_DOMAINS_UNRESPONSIVE);
	while ((machine = domains->expected.first))
		ws_domains_set_liveness(domains, machine, WS_DOMAINS_UNRESPONSIVE);
	while ((machine = domains->unresponsive.first) &&
	       domains->serving_clock - machine->changed_at > isolated_after) {
		if (!machine_in_unhealthy_domain(machine)) {
			ws_domains_set_liveness(domains, machine, WS_DOMAINS_ISOLATED_FAILURE);
			continue;
		}
		list_remove(&domains->unresponsive, machine);
		machine->unresponsive_with_domain = true;
	}
}

/* ---- state transitions ---- */

/* Returns the number of unresponsive machines of a domain, including those removed meanwhile. */
static size_t lost_machine_count(const struct ws_failure_domain *domain)
{
	return domain->unresponsive + domain->removed_unresponsive;
}

static bool lost_share_reaches(const struct ws_failure_domain *domain, double share)
{
	size_t lost = lost_machine_count(domain);

	return lost >= GROUP_LOSS_MACHINES_MIN &&
	       (double)lost >= share * (double)(lost + domain->live);
}

static size_t saturating_difference(size_t left, size_t right)
{
	return left > right ? left - right : 0;
}

/*
 * Returns true if this controller's own network connections appear to work: at least half of the
 * machines outside the domain and other unreachable domains are live. If half of the machines are
 * lost in two or more zones that are not yet unreachable, some machine outside the domain and the
 * controller's own zone must also be live.
 */
static bool controller_connectivity_ok(struct ws_failure_domains *domains,
				       const struct ws_failure_domain *domain)
{
	const struct ws_failure_domain *own_zone =
	    ws_failure_domain_find(domains, domains->node_zone);
	size_t live = saturating_difference(domains->live_count, domain->live);
	size_t unresponsive =
	    saturating_difference(domains->unresponsive_count, domain->unresponsive);
	size_t zones_lost = 0;

	for (const struct ws_failure_domain *other = domains->by_name; other;
	     other = other->hh.next) {
		if (other != domain && other->state == WS_DOMAINS_UNREACHABLE)
			unresponsive = saturating_difference(unresponsive, other->unresponsive);
		else if (other->is_zone && lost_share_reaches(other, HALF_SHARE))
			zones_lost++;
	}
	if (!live || (double)live < HALF_SHARE * (double)(live + unresponsive))
		return false;
	return zones_lost < 2 || !own_zone || live > own_zone->live;
}

static void enter_state(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			enum ws_domains_state state, enum ws_domains_evidence evidence, double now)
{
	ws_subsystem_logf(
	    domains->log,
	    "zones: state changed domain=%s state=%s previous=%s after_s=%.1f live=%zu "
	    "silent=%zu unanswered=%zu gone=%zu evidence=\"%s\"",
	    domain->name, ws_domains_state_name(state), ws_domains_state_name(domain->state),
	    now - domain->state_changed_at, domain->live, domain->unresponsive, domain->unanswered,
	    domain->removed_unresponsive, ws_domains_evidence_name(evidence));
	domain->state = state;
	domain->evidence = evidence;
	domain->state_changed_at = now;
	/* the suspect state is not recorded: a new leader detects it again if it persists */
	domain->record_due |= state != WS_DOMAINS_SUSPECT;
}

double ws_domains_penalty(const struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain, double now)
{
	return domain->penalty *
	       exp2(-(now - domain->penalty_updated_at) / domains->settings.penalty_half_life_s);
}

static void enter_unreachable(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			      enum ws_domains_evidence evidence, double now)
{
	domain->penalty =
	    fmin(domains->settings.penalty_max, ws_domains_penalty(domains, domain, now) + 1);
	domain->penalty_updated_at = now;
	enter_state(domains, domain, WS_DOMAINS_UNREACHABLE, evidence, now);
}

/* Machines that were lost with the domain and have not returned become isolated failures. */
static void enter_healthy(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			  enum ws_domains_evidence evidence, double now)
{
	struct ws_domains_membership *member, *next;

	/* the suspect state is not recorded, so its end changes no record */
	bool recorded = domain->state != WS_DOMAINS_SUSPECT;

	enter_state(domains, domain, WS_DOMAINS_HEALTHY, evidence, now);
	domain->record_due = recorded;
	domain->removed_unresponsive = 0;
	DL_FOREACH_SAFE (domain->members, member, next) {
		domains->machine_operations++;
		if (member->machine->unresponsive_with_domain &&
		    !machine_in_unhealthy_domain(member->machine))
			ws_domains_set_liveness(domains, member->machine,
						WS_DOMAINS_ISOLATED_FAILURE);
	}
}

double ws_domains_hold_down(const struct ws_failure_domains *domains,
			    const struct ws_failure_domain *domain)
{
	return domains->settings.hold_down_s * exp2(fmax(0, domain->penalty - 1));
}

static void evaluate_suspect(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			     double now)
{
	double elapsed_s = now - domain->state_changed_at;

	if (!lost_share_reaches(domain, HALF_SHARE)) {
		enter_healthy(domains, domain, WS_DOMAINS_HEARTBEATS_RESUMED, now);
		return;
	}
	if (domain->held || !lost_share_reaches(domain, domains->settings.unreachable_share))
		return;
	if (controller_connectivity_ok(domains, domain)) {
		if (2 * domain->unanswered >= lost_machine_count(domain))
			enter_unreachable(domains, domain, WS_DOMAINS_COMMANDS_UNANSWERED, now);
		else if (elapsed_s > CONFIRM_HEARTBEATS * domains->limits.heartbeat_s)
			enter_unreachable(domains, domain, WS_DOMAINS_HEARTBEATS_STOPPED, now);
	} else if (domains->live_count > domain->live &&
		   elapsed_s > domains->limits.lease_s * LEASE_EXPIRY_FACTOR) {
		enter_unreachable(domains, domain, WS_DOMAINS_LEASES_EXPIRED, now);
	}
}

static void evaluate_unreachable(struct ws_failure_domains *domains,
				 struct ws_failure_domain *domain, double now)
{
	size_t remaining = domain->live + domain->unresponsive;

	if (domain->held)
		return;
	if (remaining && (double)domain->live >= HALF_SHARE * (double)remaining) {
		domain->loss_free_since = now;
		domain->removed_unresponsive = 0;
		enter_state(domains, domain, WS_DOMAINS_RECOVERING, WS_DOMAINS_HEARTBEATS_RESUMED,
			    now);
	} else if (!remaining &&
		   now - domain->state_changed_at > ws_domains_hold_down(domains, domain)) {
		domain->loss_free_since = now - ws_domains_hold_down(domains, domain);
		domain->removed_unresponsive = 0;
		enter_state(domains, domain, WS_DOMAINS_RECOVERING, WS_DOMAINS_NO_MACHINES_LEFT,
			    now);
	}
}

/*
 * Returns the share of a recovering domain's machines that may be used: at most 0 during hold-down,
 * at least 1 after the ramp-up.
 */
static double ramp_share(const struct ws_failure_domains *domains,
			 const struct ws_failure_domain *domain, double now)
{
	double elapsed_s = now - domain->loss_free_since - ws_domains_hold_down(domains, domain);

	return domains->settings.ramp_s > 0 ? elapsed_s / domains->settings.ramp_s : elapsed_s >= 0;
}

static void evaluate_recovering(struct ws_failure_domains *domains,
				struct ws_failure_domain *domain, double now)
{
	if (lost_share_reaches(domain, HALF_SHARE)) {
		domain->loss_free_since = now;
		if (!domain->held &&
		    lost_share_reaches(domain, domains->settings.unreachable_share) &&
		    controller_connectivity_ok(domains, domain))
			enter_unreachable(domains, domain, WS_DOMAINS_HEARTBEATS_STOPPED, now);
		return;
	}
	if (!domain->held && ramp_share(domains, domain, now) >= 1)
		enter_healthy(domains, domain, WS_DOMAINS_STABLE, now);
}

static void evaluate(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
		     double now)
{
	switch (domain->state) {
	case WS_DOMAINS_HEALTHY:
		if (lost_share_reaches(domain, HALF_SHARE))
			enter_state(domains, domain, WS_DOMAINS_SUSPECT,
				    WS_DOMAINS_HEARTBEATS_STOPPED, now);
		break;
	case WS_DOMAINS_SUSPECT: evaluate_suspect(domains, domain, now); break;
	case WS_DOMAINS_UNREACHABLE: evaluate_unreachable(domains, domain, now); break;
	case WS_DOMAINS_RECOVERING: evaluate_recovering(domains, domain, now); break;
	}
}

void ws_domains_health_tick(struct ws_failure_domains *domains, const struct ws_tick_info *info)
{
	ws_domains_advance_clock(domains, info->now);
	if (info->serving && !domains->serving) /* unanswered workers need time to reconnect */
		domains->evaluate_from = fmax(
		    domains->evaluate_from,
		    domains->serving_clock + RECONNECT_HEARTBEATS * domains->limits.heartbeat_s);
	domains->serving = info->serving;
	if (!info->serving || domains->serving_clock < domains->evaluate_from)
		return;
	expire_overdue_machines(domains);
	for (struct ws_failure_domain *domain = domains->by_name; domain; domain = domain->hh.next)
		evaluate(domains, domain, info->now);
}

bool ws_failure_domain_avoids_machine(const struct ws_failure_domains *domains,
				      const struct ws_failure_domain *domain,
				      const struct ws_domains_machine *machine, double now)
{
	switch (domain->state) {
	case WS_DOMAINS_HEALTHY: return false;
	case WS_DOMAINS_SUSPECT: return machine->liveness == WS_DOMAINS_UNRESPONSIVE;
	case WS_DOMAINS_UNREACHABLE: return true;
	case WS_DOMAINS_RECOVERING:
		return machine->ramp_position >= ramp_share(domains, domain, now);
	}
	return false;
}

bool ws_domains_any_in_state(const struct ws_failure_domains *domains, enum ws_domains_state state)
{
	for (const struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next)
		if (domain->state == state)
			return true;
	return false;
}
