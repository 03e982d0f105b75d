/*
 * The list of unmet demand: tasks for which a pass found no capacity. The autoscaler, a module in a
 * higher layer, reads the list before the scheduler finishes the pass.
 */
#include "../memory.h"
#include "pass.h"

/* Initial capacity of the list, in entries. The capacity doubles when the list is full. */
#define WS_UNMET_DEMAND_INITIAL 64

/* Grows the list if it is full. */
static void ws_unmet_demand_grow(struct ws_scheduler *scheduler)
{
	if (scheduler->unmet_count < scheduler->unmet_capacity)
		return;
	scheduler->unmet_capacity =
	    scheduler->unmet_capacity ? scheduler->unmet_capacity * 2 : WS_UNMET_DEMAND_INITIAL;
	scheduler->unmet_demand = ws_resize(scheduler->unmet_demand, scheduler->unmet_capacity,
					    sizeof(*scheduler->unmet_demand));
}

void ws_unmet_demand_add(struct ws_core *core, struct ws_job *job, uint32_t tasks, uint32_t zones)
{
	struct ws_scheduler *scheduler = &core->scheduler;

	if (!job->unmet_since)
		job->unmet_since = core->now;
	if (zones && !(zones &= ~core->subsystems.zones_closed))
		return; /* all of its zones are closed to scale-out at present */
	ws_unmet_demand_grow(scheduler);
	scheduler->unmet_demand[scheduler->unmet_count++] =
	    (struct ws_unmet_demand){job, tasks, zones};
}

void ws_unmet_demand_free(struct ws_scheduler *scheduler)
{
	free(scheduler->unmet_demand);
	scheduler->unmet_demand = NULL;
	scheduler->unmet_count = scheduler->unmet_capacity = 0;
}
