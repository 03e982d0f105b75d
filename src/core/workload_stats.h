/*
 * Workload statistics: what the queue model is measured by. The parts of the core report arrivals,
 * completions and boots as they see them; the autoscaler takes the figures once a period.
 *
 * Work is counted in demand units. The counts are the leader's and forgotten at step-down, but for
 * the boot times.
 */
#ifndef WS_WORKLOAD_STATS_H
#define WS_WORKLOAD_STATS_H
#include "core.h"

/* Written by workload_stats.c alone. Times in seconds by the core's clock. */
struct ws_workload_stats {
	double units_arrived, units_completed; /* of arrays, since they were last taken */
	double busy_unit_seconds;	       /* units held by attempts, over time */
	double busy_units, busy_counted_at;    /* held now, and counted up to then */
	double boot_seconds, boots;
};

/* A job of so many demand units became known. */
void ws_stats_arrived(struct ws_core *core, double units);
/* A task of so many demand units completed. */
void ws_stats_completed(struct ws_core *core, double units);
/* An attempt holds units from now on, or (below 0) no longer. */
void ws_stats_held(struct ws_core *core, double units);
/* A machine sent its first heartbeat so long after it was first seen. */
void ws_stats_booted(struct ws_core *core, double boot_s);
/* The figures up to now; arrivals, completions and unit-seconds begin anew. */
struct ws_workload_stats ws_stats_take(struct ws_core *core);
/* At step-down. */
void ws_stats_reset(struct ws_core *core);
#endif
