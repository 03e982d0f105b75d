/* Encoding and decoding of the cold start records. The caller owns each returned value. */
#ifndef WS_COLD_START_RECORDS_H
#define WS_COLD_START_RECORDS_H
#include "quarantine.h"
#include "state.h"

/* Returns the value of the record "phase". */
json_t *ws_cold_start_phase_record(const struct ws_cold_start *cold_start);
/* Returns the value of the record "account", without its zones if they make it too large. */
json_t *ws_cold_start_account_record(const struct ws_cold_start *cold_start, double now);
/* Returns the value of the record "kept/JOB". */
json_t *ws_cold_start_quarantine_record(const struct ws_cold_start_quarantined_job *quarantined,
					double now);
/* Hook that restores the state in a record; see core/extension/hooks.h. */
void ws_cold_start_record_loaded(void *self, const char *name, json_t *value);
#endif
