/*
 * Health of the failure domains.
 *
 * Live machines stand on one list in the order in which they were last heard, silent ones on
 * another in the order in which they fell silent. A heartbeat moves its machine to the end of the
 * first; a tick takes from the fronts what is overdue. So the work is in proportion to what
 * changed, and each domain is judged by counts alone.
 */
#include "internal.h"

/* ---- presence ---- */

static void list_append(struct ws_domains_list *list, struct ws_domains_machine *machine)
{
	machine->prev = list->last;
	machine->next = NULL;
	if (list->last)
		list->last->next = machine;
	else
		list->first = machine;
	list->last = machine;
}

static void list_remove(struct ws_domains_list *list, struct ws_domains_machine *machine)
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

static struct ws_domains_list *presence_list(struct ws_failure_domains *domains,
					     const struct ws_domains_machine *machine)
{
	switch (machine->presence) {
	case WS_DOMAINS_EXPECTED: return &domains->expected;
	case WS_DOMAINS_LIVE: return &domains->live;
	case WS_DOMAINS_SILENT: return machine->kept ? NULL : &domains->silent;
	case WS_DOMAINS_SINGLE: break;
	}
	return NULL;
}

/* Adds a machine to the counts of its presence, or takes it off. */
static void presence_count(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			   int sign)
{
	size_t change = (size_t)(ssize_t)sign;

	domains->live_count += machine->presence == WS_DOMAINS_LIVE ? change : 0;
	domains->silent_count += machine->presence == WS_DOMAINS_SILENT ? change : 0;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain)
			ws_failure_domain_count(domain, machine, sign);
	}
}

void ws_domains_set_presence(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			     enum ws_domains_presence presence)
{
	struct ws_domains_list *list = presence_list(domains, machine);

	domains->steps++;
	if (list)
		list_remove(list, machine);
	presence_count(domains, machine, -1);
	machine->presence = presence;
	machine->changed_at = domains->clock;
	machine->kept = false;
	if (presence != WS_DOMAINS_SILENT)
		machine->unanswered = false;
	presence_count(domains, machine, 1);
	list = presence_list(domains, machine);
	if (list)
		list_append(list, machine);
}

void ws_domains_set_unanswered(struct ws_domains_machine *machine, bool unanswered)
{
	if (machine->presence != WS_DOMAINS_SILENT || machine->unanswered == unanswered)
		return;
	machine->unanswered = unanswered;
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++)
		if (machine->memberships[i].domain)
			machine->memberships[i].domain->unanswered += unanswered ? 1 : (size_t)-1;
}

/* Whether one of its domains is in trouble: then its silence is not a single failure. */
static bool machine_in_trouble(const struct ws_domains_machine *machine)
{
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		const struct ws_failure_domain *domain = machine->memberships[i].domain;

		if (domain && domain->state != WS_DOMAINS_HEALTHY)
			return true;
	}
	return false;
}

void ws_domains_listen(struct ws_failure_domains *domains, double now)
{
	const double standstill = WS_DOMAINS_STANDSTILL_REPORTS * domains->limits.report_s;

	if (domains->serving && now > domains->clock_read)
		domains->clock += fmin(now - domains->clock_read, standstill);
	domains->clock_read = now;
}

/* Takes from the fronts of the lists what is overdue by the listening clock. */
static void expire(struct ws_failure_domains *domains)
{
	const double report_s = domains->limits.report_s;
	const double silent_after = WS_DOMAINS_SILENT_REPORTS * report_s;
	const double single_after = WS_DOMAINS_SINGLE_REPORTS * report_s;
	struct ws_domains_machine *machine;

	while ((machine = domains->live.first) &&
	       domains->clock - machine->changed_at > silent_after)
		ws_domains_set_presence(domains, machine, WS_DOMAINS_SILENT);
	while ((machine = domains->expected.first))
		ws_domains_set_presence(domains, machine, WS_DOMAINS_SILENT);
	while ((machine = domains->silent.first) &&
	       domains->clock - machine->changed_at > single_after) {
		if (!machine_in_trouble(machine)) {
			ws_domains_set_presence(domains, machine, WS_DOMAINS_SINGLE);
			continue;
		}
		list_remove(&domains->silent, machine);
		machine->kept = true;
	}
}

/* ---- judgement ---- */

/* Machines of a domain that stopped together, those that are gone since included. */
static size_t domain_out(const struct ws_failure_domain *domain)
{
	return domain->silent + domain->removed;
}

static bool domain_out_by(const struct ws_failure_domain *domain, double share)
{
	size_t out = domain_out(domain);

	return out >= WS_DOMAINS_MACHINES_MIN &&
	       (double)out >= share * (double)(out + domain->live);
}

static size_t less(size_t left, size_t right)
{
	return left > right ? left - right : 0;
}

/*
 * Whether what we see outside a domain speaks for our own connections: most of the rest is live,
 * and it is not our own zone alone that we see while several others fell silent.
 */
static bool view_is_sound(struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain)
{
	const struct ws_failure_domain *own = ws_failure_domain_find(domains, domains->node_zone);
	size_t live = less(domains->live_count, domain->live);
	size_t silent = less(domains->silent_count, domain->silent);
	size_t zones_out = 0;

	for (const struct ws_failure_domain *other = domains->by_name; other;
	     other = other->hh.next) {
		if (other != domain && other->state == WS_DOMAINS_DARK)
			silent = less(silent, other->silent);
		else if (other->is_zone && domain_out_by(other, WS_DOMAINS_HALF))
			zones_out++;
	}
	if (!live || (double)live < WS_DOMAINS_HALF * (double)(live + silent))
		return false;
	return zones_out < 2 || !own || live > own->live;
}

static void enter(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
		  enum ws_domains_state state, enum ws_domains_evidence evidence, double now)
{
	ws_domains_logf(domains,
			"zones: state changed domain=%s state=%s previous=%s after_s=%.1f live=%zu "
			"silent=%zu unanswered=%zu gone=%zu evidence=\"%s\"",
			domain->name, ws_domains_state_name(state),
			ws_domains_state_name(domain->state), now - domain->since, domain->live,
			domain->silent, domain->unanswered, domain->removed,
			ws_domains_evidence_name(evidence));
	domain->state = state;
	domain->evidence = evidence;
	domain->since = now;
	/* a suspicion is not on record: it is found again, or was unfounded */
	domain->record_due |= state != WS_DOMAINS_SUSPECT;
}

double ws_domains_penalty(const struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain, double now)
{
	return domain->penalty * exp2(-(now - domain->penalty_at) / domains->settings.half_life_s);
}

static void enter_dark(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
		       enum ws_domains_evidence evidence, double now)
{
	domain->penalty =
	    fmin(domains->settings.penalty_max, ws_domains_penalty(domains, domain, now) + 1);
	domain->penalty_at = now;
	enter(domains, domain, WS_DOMAINS_DARK, evidence, now);
}

/* Machines that fell silent with the domain and stayed so are single failures from now on. */
static void enter_healthy(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			  enum ws_domains_evidence evidence, double now)
{
	struct ws_domains_member *member, *next;

	/* a suspicion that passed changed nothing on record */
	bool recorded = domain->state != WS_DOMAINS_SUSPECT;

	enter(domains, domain, WS_DOMAINS_HEALTHY, evidence, now);
	domain->record_due = recorded;
	domain->removed = 0;
	DL_FOREACH_SAFE (domain->members, member, next) {
		domains->steps++;
		if (member->machine->kept && !machine_in_trouble(member->machine))
			ws_domains_set_presence(domains, member->machine, WS_DOMAINS_SINGLE);
	}
}

double ws_domains_hold_down(const struct ws_failure_domains *domains,
			    const struct ws_failure_domain *domain)
{
	return domains->settings.stable_s * exp2(fmax(0, domain->penalty - 1));
}

static void judge_suspect(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			  double now)
{
	double span = now - domain->since;

	if (!domain_out_by(domain, WS_DOMAINS_HALF)) {
		enter_healthy(domains, domain, WS_DOMAINS_HEARD, now);
		return;
	}
	if (domain->held || !domain_out_by(domain, domains->settings.dark_share))
		return;
	if (view_is_sound(domains, domain)) {
		if (2 * domain->unanswered >= domain_out(domain))
			enter_dark(domains, domain, WS_DOMAINS_UNANSWERED, now);
		else if (span > WS_DOMAINS_CONFIRM_REPORTS * domains->limits.report_s)
			enter_dark(domains, domain, WS_DOMAINS_SILENCE, now);
	} else if (domains->live_count > domain->live &&
		   span > domains->limits.lease_s * WS_DOMAINS_LEASE_MARGIN) {
		enter_dark(domains, domain, WS_DOMAINS_LEASES_OUT, now);
	}
}

static void judge_dark(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
		       double now)
{
	size_t left = domain->live + domain->silent;

	if (domain->held)
		return;
	if (left && (double)domain->live >= WS_DOMAINS_HALF * (double)left) {
		domain->clean_since = now;
		domain->removed = 0;
		enter(domains, domain, WS_DOMAINS_RECOVERING, WS_DOMAINS_HEARD, now);
	} else if (!left && now - domain->since > ws_domains_hold_down(domains, domain)) {
		domain->clean_since = now - ws_domains_hold_down(domains, domain);
		domain->removed = 0;
		enter(domains, domain, WS_DOMAINS_RECOVERING, WS_DOMAINS_NONE_LEFT, now);
	}
}

/* The share of a recovering domain's machines that is in use. */
static double ramp_share(const struct ws_failure_domains *domains,
			 const struct ws_failure_domain *domain, double now)
{
	double span = now - domain->clean_since - ws_domains_hold_down(domains, domain);

	return domains->settings.ramp_s > 0 ? span / domains->settings.ramp_s : span >= 0;
}

static void judge_recovering(struct ws_failure_domains *domains, struct ws_failure_domain *domain,
			     double now)
{
	if (domain_out_by(domain, WS_DOMAINS_HALF)) {
		domain->clean_since = now;
		if (!domain->held && domain_out_by(domain, domains->settings.dark_share) &&
		    view_is_sound(domains, domain))
			enter_dark(domains, domain, WS_DOMAINS_SILENCE, now);
		return;
	}
	if (!domain->held && ramp_share(domains, domain, now) >= 1)
		enter_healthy(domains, domain, WS_DOMAINS_STABLE, now);
}

static void judge(struct ws_failure_domains *domains, struct ws_failure_domain *domain, double now)
{
	switch (domain->state) {
	case WS_DOMAINS_HEALTHY:
		if (domain_out_by(domain, WS_DOMAINS_HALF))
			enter(domains, domain, WS_DOMAINS_SUSPECT, WS_DOMAINS_SILENCE, now);
		break;
	case WS_DOMAINS_SUSPECT: judge_suspect(domains, domain, now); break;
	case WS_DOMAINS_DARK: judge_dark(domains, domain, now); break;
	case WS_DOMAINS_RECOVERING: judge_recovering(domains, domain, now); break;
	}
}

void ws_domains_health_tick(struct ws_failure_domains *domains, const struct ws_tick_facts *facts)
{
	ws_domains_listen(domains, facts->now);
	if (facts->serving &&
	    !domains->serving) /* workers that we did not answer come back first */
		domains->judge_from =
		    fmax(domains->judge_from,
			 domains->clock + WS_DOMAINS_SETTLE_REPORTS * domains->limits.report_s);
	domains->serving = facts->serving;
	if (!facts->serving || domains->clock < domains->judge_from)
		return;
	expire(domains);
	for (struct ws_failure_domain *domain = domains->by_name; domain; domain = domain->hh.next)
		judge(domains, domain, facts->now);
}

bool ws_failure_domain_avoids(const struct ws_failure_domains *domains,
			      const struct ws_failure_domain *domain,
			      const struct ws_domains_machine *machine, double now)
{
	switch (domain->state) {
	case WS_DOMAINS_HEALTHY: return false;
	case WS_DOMAINS_SUSPECT: return machine->presence == WS_DOMAINS_SILENT;
	case WS_DOMAINS_DARK: return true;
	case WS_DOMAINS_RECOVERING: return machine->ramp >= ramp_share(domains, domain, now);
	}
	return false;
}

bool ws_domains_in_state(const struct ws_failure_domains *domains, enum ws_domains_state state)
{
	for (const struct ws_failure_domain *domain = domains->by_name; domain;
	     domain = domain->hh.next)
		if (domain->state == state)
			return true;
	return false;
}
