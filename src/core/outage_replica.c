/*
 * The leader's replica of the jobs during a store outage. It is kept current with the cancellations
 * that voting peers and this node have confirmed to users. Leadership calls these functions, which
 * use the jobs, the fleet and the job status cache.
 */
#include "core_state.h"

void ws_core_outage_cancellations(struct ws_core *core, const struct ws_cancellation *cancellations,
				  size_t count, const char *node)
{
	for (size_t i = 0; i < count; i++) {
		ws_log(core, WS_LOG_DEBUG, "cancellation received from peer job=%s peer=%s",
		       cancellations[i].job, node);
		ws_job_apply_cancellation(core, &cancellations[i]);
	}
}

bool ws_core_outage_confirm_replica(struct ws_core *core, double current_at)
{
	struct ws_cancellation *own;
	size_t count;
	bool has_more;
	bool complete = ws_cancellations_since(core, core->job_watch.revision, "", &own, &count,
					       SIZE_MAX, &has_more);

	ws_core_outage_cancellations(core, own, count, core->settings->node);
	free(own);
	if (complete)
		ws_job_watch_confirm(core, current_at);
	return complete;
}

void ws_core_outage_resumed(struct ws_core *core)
{
	struct ws_machine *machine, *next;

	HASH_ITER (hh, core->fleet.machines, machine, next)
		ws_machine_send_commands(core, machine);
}
