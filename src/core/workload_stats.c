#include "core_state.h"

void ws_stats_arrived(struct ws_core *core, double units)
{
	core->stats.units_arrived += units;
}

void ws_stats_completed(struct ws_core *core, double units)
{
	core->stats.units_completed += units;
}

/* Adds the unit-seconds since the last update to the total. */
static void ws_stats_count_busy(struct ws_core *core)
{
	struct ws_workload_stats *stats = &core->stats;

	stats->busy_unit_seconds += stats->busy_units * (core->now - stats->busy_counted_at);
	stats->busy_counted_at = core->now;
}

void ws_stats_units_held(struct ws_core *core, double units)
{
	ws_stats_count_busy(core);
	core->stats.busy_units = fmax(0, core->stats.busy_units + units);
}

void ws_stats_booted(struct ws_core *core, double boot_s)
{
	core->stats.boot_seconds += boot_s;
	core->stats.boots += 1;
}

struct ws_workload_stats ws_stats_take(struct ws_core *core)
{
	struct ws_workload_stats taken;

	ws_stats_count_busy(core);
	taken = core->stats;
	core->stats.units_arrived = core->stats.units_completed = 0;
	core->stats.busy_unit_seconds = 0;
	return taken;
}

void ws_stats_reset(struct ws_core *core)
{
	core->stats.units_arrived = core->stats.units_completed = 0;
	core->stats.busy_unit_seconds = core->stats.busy_units = 0;
}
