/*
 * Workload statistics: the input of the queue model. The parts of the core report arrivals,
 * completions and boots as they occur; the autoscaler reads the totals once per period.
 *
 * Work is counted in demand units. Only the leader counts; all totals but the boot times are reset
 * when it steps down.
 */
#ifndef WS_WORKLOAD_STATS_H
#define WS_WORKLOAD_STATS_H
#include "core.h"

/* Modified by workload_stats.c only. Times are seconds on the core's clock. */
struct ws_workload_stats {
	double units_arrived, units_completed; /* array jobs, since the last ws_stats_take() */
	double busy_unit_seconds;	       /* units held by attempts, integrated over time */
	double busy_units, busy_counted_at;    /* units held now; time of the last update */
	double boot_seconds, boots;
};

/* Reports that a job of this many demand units has arrived. */
void ws_stats_arrived(struct ws_core *core, double units);
/* Reports that a task of this many demand units has completed. */
void ws_stats_completed(struct ws_core *core, double units);
/* Reports that an attempt starts to hold units, or (below 0) releases them. */
void ws_stats_units_held(struct ws_core *core, double units);
/* Reports the time from the first sight of a machine to its first heartbeat. */
void ws_stats_booted(struct ws_core *core, double boot_s);
/* Returns the totals up to now and resets arrivals, completions and unit-seconds. */
struct ws_workload_stats ws_stats_take(struct ws_core *core);
/* Resets all totals but the boot times, when the leader steps down. */
void ws_stats_reset(struct ws_core *core);
#endif
