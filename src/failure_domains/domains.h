/*
 * Membership: which failure domains a machine belongs to. Owns the domains, the declared networks
 * and the counts of each domain's members.
 */
#ifndef WS_DOMAINS_DOMAINS_H
#define WS_DOMAINS_DOMAINS_H
#include "state.h"

/* The domain of a name; NULL if there is none. */
struct ws_failure_domain *ws_failure_domain_find(struct ws_failure_domains *domains,
						 const char *name);
/* Creates the domains of the settings; false with `error` filled in if these are wrong. */
bool ws_domains_create(struct ws_failure_domains *domains, struct ws_domains_error *error);
/* Adds a zone that the settings don't list; NULL if its name can't be part of a record's key. */
struct ws_failure_domain *ws_domains_add_zone(struct ws_failure_domains *domains, const char *name);
/* Releases all domains and networks. */
void ws_domains_clear(struct ws_failure_domains *domains);
/* Adds a machine to its zone, and to the declared domain that its address is in. */
void ws_domains_join(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
		     const struct ws_machine_info *facts);
/* Removes a machine from all its domains. */
void ws_domains_leave(struct ws_domains_machine *machine);
/* Adds a machine to the counts of one of its domains (sign 1), or removes it (sign -1). */
void ws_failure_domain_count(struct ws_failure_domain *domain,
			     const struct ws_domains_machine *machine, int sign);
#endif
