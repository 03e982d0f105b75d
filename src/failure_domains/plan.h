/*
 * The evacuation plan. This module owns the plan's entries and the records "zones/plan/NUMBER" and
 * "zones/progress".
 */
#ifndef WS_DOMAINS_PLAN_H
#define WS_DOMAINS_PLAN_H
#include "state.h"

/* Implementations of the core's survey hooks; see core/extension/hooks.h. */
bool ws_domains_attempt_surveyed(void *self, void *machine);
void ws_domains_job_surveyed(void *self, const struct ws_job_info *info);
void ws_domains_survey_done(void *self, double now);
/* Requests moves and writes records after a survey, and requests the next survey when it is due. */
void ws_domains_plan_tick(struct ws_failure_domains *domains, double now,
			  struct ws_request_queue *requests);
/* Restores the entries of the plan's shard with this number from its record. */
void ws_domains_plan_shard_loaded(struct ws_failure_domains *domains, const char *number,
				  const json_t *value);
/* Counts the affected attempts of a machine whose heartbeats resumed before they were moved. */
void ws_domains_plan_cancel_moves(struct ws_failure_domains *domains,
				  struct ws_domains_machine *machine);
/* Frees the plan. Its records remain in the store. */
void ws_domains_plan_free(struct ws_failure_domains *domains);
#endif
