/* Records of the failure domains subsystem. New values are owned by the caller. */
#ifndef WS_DOMAINS_RECORDS_H
#define WS_DOMAINS_RECORDS_H
#include "state.h"

/* The record "domain/NAME". */
json_t *ws_failure_domain_record(const struct ws_failure_domains *domains,
				 const struct ws_failure_domain *domain, double now);
/* Hook record_loaded: see core/extension/hooks.h. */
void ws_domains_record_loaded(void *self, const char *name, json_t *value);
/* The names of values on record and in the log. */
const char *ws_domains_state_name(enum ws_domains_state state);
const char *ws_domains_evidence_name(enum ws_domains_evidence evidence);
const char *ws_domains_reason_name(enum ws_domains_reason reason);
#endif
