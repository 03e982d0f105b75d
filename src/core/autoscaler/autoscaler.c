/* The autoscaler's tick and reset, the retry time of cloud calls and the derived rental ceiling. */
#include "autoscaler_internal.h"

/* Ratio of the derived ceiling to the sum of the guarantees; the rest is for capacity that teams
 * borrow at peaks. */
#define CEILING_HEADROOM 1.25

double ws_cloud_call_retry_at(const struct ws_core *core)
{
	return core->now + WS_CLOUD_CALL_INTERVAL_S + core->settings->list_lag_s / 4;
}

/* Returns how many machines of mean size cover all teams' guarantees at once, with headroom. */
static int ws_derived_ceiling(const struct ws_core *core)
{
	const double mean_cpus = ws_mean_machine_cpus(core);
	double guaranteed_cpus = 0;

	for (size_t i = 0; i < core->settings->team_count; i++)
		guaranteed_cpus += core->settings->teams[i].cpus;
	return mean_cpus > 0 ? (int)ceil(CEILING_HEADROOM * guaranteed_cpus / mean_cpus) : 1;
}

void ws_autoscaler_tick(struct ws_core *core)
{
	bool update_records;

	if (core->policy.rental_ceiling < 0 && core->catalog.type_count)
		core->policy.rental_ceiling = ws_derived_ceiling(core);
	if (!ws_is_entitled(core) || core->leadership.in_outage ||
	    core->now < core->autoscaler.next_check_at)
		return;
	core->autoscaler.next_check_at = core->now + ws_sweep_interval(core);
	update_records = ws_scale_out_update_due(core);
	/* Until the owned machines are recorded, rented ones can't be distinguished from them. */
	if (core->fleet.owned_recorded) {
		ws_scale_out_tick(core, update_records);
		ws_scale_in_tick(core);
	}
	ws_instance_list_tick(core);
}

void ws_autoscaler_reset(struct ws_core *core)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	struct ws_scale_out *request = autoscaler->requests, *next;

	HASH_CLEAR(hh, autoscaler->requests);
	for (; request; request = next) {
		next = request->hh.next;
		free(request->instances);
		free(request);
	}
	autoscaler->dirty_requests = NULL;
	autoscaler->list_in_flight = autoscaler->scale_out_in_flight = false;
	autoscaler->list_cursor[0] = 0;
	autoscaler->next_list_at = autoscaler->next_cloud_call_at = autoscaler->next_check_at = 0;
	memset(autoscaler->capacity_errors, 0, sizeof(autoscaler->capacity_errors));
	autoscaler->scale_in_due_count = 0;
	autoscaler->measured_at = 0;
}
