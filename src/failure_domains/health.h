/*
 * Liveness of machines and the health state of each domain. This module owns the lists of machines
 * by liveness and the serving clock.
 */
#ifndef WS_DOMAINS_HEALTH_H
#define WS_DOMAINS_HEALTH_H
#include "state.h"

/*
 * Advances the serving clock. A long gap between calls counts as a pause of the process, for which
 * the clock stops.
 */
void ws_domains_advance_clock(struct ws_failure_domains *domains, double now);
/* Changes the liveness of a machine and updates the lists and the counts of its domains. */
void ws_domains_set_liveness(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			     enum ws_domains_liveness liveness);
/* Sets whether commands to an unresponsive machine go unanswered. Other machines are ignored. */
void ws_domains_set_unanswered(struct ws_domains_machine *machine, bool unanswered);
/* Updates the liveness of overdue machines, then evaluates the state of each domain. */
void ws_domains_health_tick(struct ws_failure_domains *domains, const struct ws_tick_info *info);
/* Returns the flap penalty of a domain, decayed up to `now`. */
double ws_domains_penalty(const struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain, double now);
/* Returns the number of seconds without loss after which a recovering domain is used again. */
double ws_domains_hold_down(const struct ws_failure_domains *domains,
			    const struct ws_failure_domain *domain);
/*
 * Returns true if work may be placed on this machine of the domain only when no other capacity is
 * free.
 */
bool ws_failure_domain_avoids_machine(const struct ws_failure_domains *domains,
				      const struct ws_failure_domain *domain,
				      const struct ws_domains_machine *machine, double now);
/* Returns true if any domain is in this state. */
bool ws_domains_any_in_state(const struct ws_failure_domains *domains, enum ws_domains_state state);
#endif
