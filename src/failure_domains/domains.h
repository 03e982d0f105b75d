/*
 * Membership of machines in failure domains. This module owns the domains, the declared networks
 * and the counts of each domain's members.
 */
#ifndef WS_DOMAINS_DOMAINS_H
#define WS_DOMAINS_DOMAINS_H
#include "state.h"

/* Returns the domain with this name, or NULL if no such domain exists. */
struct ws_failure_domain *ws_failure_domain_find(struct ws_failure_domains *domains,
						 const char *name);
/*
 * Creates the zones and domains of the settings. Returns false and fills in `error` if a declared
 * domain is invalid.
 */
bool ws_domains_add_configured(struct ws_failure_domains *domains, struct ws_domains_error *error);
/*
 * Adds a zone that the settings don't list. Returns NULL if its name can't be part of a record's
 * key or is already in use.
 */
struct ws_failure_domain *ws_domains_add_zone(struct ws_failure_domains *domains, const char *name);
/* Frees all domains and networks. */
void ws_domains_clear(struct ws_failure_domains *domains);
/* Adds a machine to its zone and to the declared domain that contains its address. */
void ws_domains_add_machine(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			    const struct ws_machine_info *info);
/* Removes a machine from all its domains. */
void ws_domains_remove_machine(struct ws_domains_machine *machine);
/* Adds a machine to the counts of one of its domains (`sign` 1) or subtracts it (`sign` -1). */
void ws_failure_domain_adjust_counts(struct ws_failure_domain *domain,
				     const struct ws_domains_machine *machine, int sign);
#endif
