/* Records of the cold start subsystem. New values are owned by the caller. */
#ifndef WS_COLD_START_RECORDS_H
#define WS_COLD_START_RECORDS_H
#include "quarantine.h"
#include "state.h"

/* The record "phase". */
json_t *ws_cold_start_phase_record(const struct ws_cold_start *cold_start);
/* The record "account"; without its zones if it would be too large with them. */
json_t *ws_cold_start_account_record(const struct ws_cold_start *cold_start, double now);
/* The record "kept/JOB". */
json_t *ws_cold_start_quarantine_record(const struct ws_cold_start_quarantined *quarantined,
					double now);
/* Hook record_loaded: see core/extension/hooks.h. */
void ws_cold_start_record_loaded(void *self, const char *name, json_t *value);
#endif
