/*
 * Health: the presence of machines, and the state of each domain. Owns the lists of machines by
 * presence and the serving clock.
 */
#ifndef WS_DOMAINS_HEALTH_H
#define WS_DOMAINS_HEALTH_H
#include "state.h"

/* Advances the serving clock; a long gap between calls counts as a standstill. */
void ws_domains_advance_clock(struct ws_failure_domains *domains, double now);
/* Moves a machine to a presence as of now, and updates the counts of its domains. */
void ws_domains_set_presence(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			     enum ws_domains_presence presence);
/* Records whether commands to a silent machine go unanswered; ignored for other machines. */
void ws_domains_set_unanswered(struct ws_domains_machine *machine, bool unanswered);
/* Expires overdue machines, then evaluates the state of each domain. */
void ws_domains_health_tick(struct ws_failure_domains *domains, const struct ws_tick_info *facts);
/* The flap penalty of a domain, decayed until now. */
double ws_domains_penalty(const struct ws_failure_domains *domains,
			  const struct ws_failure_domain *domain, double now);
/* For how many seconds a recovering domain must be without loss before it is used again. */
double ws_domains_hold_down(const struct ws_failure_domains *domains,
			    const struct ws_failure_domain *domain);
/* Whether work is to be placed on a machine of the domain only if there is no other capacity. */
bool ws_failure_domain_avoids(const struct ws_failure_domains *domains,
			      const struct ws_failure_domain *domain,
			      const struct ws_domains_machine *machine, double now);
/* Whether some domain is in this state. */
bool ws_domains_in_state(const struct ws_failure_domains *domains, enum ws_domains_state state);
#endif
