/* What the modules of the scheduler share; internal to src/core/scheduler/. */
#ifndef WS_SCHEDULER_PASS_H
#define WS_SCHEDULER_PASS_H
#include "../core_state.h"

/* ---- unmet_demand.c ---- */

/* Adds tasks that found no capacity in these zones, a bit each; 0: in no zone. */
void ws_unmet_demand_add(struct ws_core *core, struct ws_job *job, uint32_t tasks, uint32_t zones);
/* Empties the list and gives its memory back. */
void ws_unmet_demand_free(struct ws_scheduler *scheduler);
#endif
