/* Records of the failure domains subsystem. The caller owns the JSON values that are returned. */
#ifndef WS_DOMAINS_RECORDS_H
#define WS_DOMAINS_RECORDS_H
#include "state.h"

/* Encodes the record "domain/NAME". */
json_t *ws_failure_domain_record(const struct ws_failure_domains *domains,
				 const struct ws_failure_domain *domain, double now);
/* Implementation of the core's hook for loaded records; see core/extension/hooks.h. */
void ws_domains_record_loaded(void *self, const char *name, json_t *value);
/* Return the names of enum values as used in records and log lines. */
const char *ws_domains_state_name(enum ws_domains_state state);
const char *ws_domains_evidence_name(enum ws_domains_evidence evidence);
const char *ws_domains_ordering_rule_name(enum ws_domains_ordering_rule rule);
#endif
