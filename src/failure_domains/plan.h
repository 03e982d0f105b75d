/*
 * The evacuation plan. Owns its entries, and the records "zones/plan/NUMBER" and "zones/progress".
 */
#ifndef WS_DOMAINS_PLAN_H
#define WS_DOMAINS_PLAN_H
#include "state.h"

/* Hooks of the same names: see core/extension/hooks.h. */
bool ws_domains_attempt_surveyed(void *self, void *machine);
void ws_domains_job_surveyed(void *self, const struct ws_job_info *facts);
void ws_domains_survey_done(void *self, double now);
/* Requests moves and writes records after a survey; requests a survey when one is due. */
void ws_domains_plan_tick(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *out);
/* Restores the entries of one shard of the plan from its record. */
void ws_domains_plan_loaded(struct ws_failure_domains *domains, const char *number,
			    const json_t *value);
/* Counts the attempts on a machine that was heard again before they were moved. */
void ws_domains_called_off(struct ws_failure_domains *domains, struct ws_domains_machine *machine);
/* Releases the plan; its records stay. */
void ws_domains_plan_free(struct ws_failure_domains *domains);
#endif
