/*
 * Reads the cloud's list of instances page by page. The list shows which machines existed before
 * any scale-out (the owned machines) and which machines are gone.
 */
#include "autoscaler_internal.h"

/*
 * The first complete list names the owned machines, because nothing has been rented before it. An
 * empty list is accepted only after the time in which the cloud's list may lag behind.
 */
static void ws_determine_owned_machines(struct ws_core *core, const struct ws_result *page)
{
	struct ws_fleet *fleet = &core->fleet;
	struct ws_machine *machine, *next;
	bool lag_is_over = core->now - core->leadership.elected_at > 2 * core->settings->list_lag_s;

	if (fleet->owned_recorded || fleet->owned_determined)
		return;
	if (page->instances.count)
		snprintf(fleet->last_owned_name, sizeof(fleet->last_owned_name), "%s",
			 page->instances.list[page->instances.count - 1].name);
	if (page->instances.has_more || (!fleet->last_owned_name[0] && !lag_is_over))
		return;
	fleet->owned_determined = true;
	fleet->first_fit_stale = true;
	HASH_ITER (hh, fleet->machines, machine, next)
		machine->owned = strcmp(machine->name, fleet->last_owned_name) <= 0;
}

/* Updates the machines from the instances of a page, and marks them as listed. */
static void ws_apply_page(struct ws_core *core, const struct ws_result *page)
{
	for (size_t i = 0; i < page->instances.count; i++) {
		struct ws_machine *machine;

		ws_machine_apply_instance(core, &page->instances.list[i]);
		machine = ws_machine_find(core, page->instances.list[i].name);
		if (machine)
			machine->instance_list_mark = core->autoscaler.list_generation;
	}
}

/* A machine recorded before this leader's election should be in every list that is requested more
 * than twice the list lag after the election. */
static bool ws_machine_should_be_listed(const struct ws_core *core,
					const struct ws_machine *machine)
{
	return machine->recorded &&
	       core->now - core->leadership.elected_at > 2 * core->settings->list_lag_s;
}

/* Returns whether a machine that was or should be listed is missing from the list just read, and
 * has sent no heartbeat recently. */
static bool ws_machine_is_missing(const struct ws_core *core, const struct ws_machine *machine)
{
	const double heartbeat_timeout_s = 2 * core->settings->heartbeat_s;

	return !machine->owned &&
	       (machine->in_instance_list || ws_machine_should_be_listed(core, machine)) &&
	       machine->instance_list_mark != core->autoscaler.list_generation &&
	       !machine->scale_in.requested &&
	       core->now - machine->last_contact_at > heartbeat_timeout_s &&
	       core->now - core->leadership.elected_at > heartbeat_timeout_s &&
	       core->fleet.owned_recorded;
}

/* Requests the return of missing machines, so that the cloud confirms that they are gone. */
static void ws_scale_in_missing(struct ws_core *core)
{
	struct ws_machine *machine, *next;

	HASH_ITER (hh, core->fleet.machines, machine, next) {
		if (!ws_machine_is_missing(core, machine))
			continue;
		ws_log(core, WS_LOG_INFO, "instance no longer listed machine=%s", machine->name);
		machine->scale_in.requested = true;
	}
}

static void ws_instance_list_answered(struct ws_core *core, struct ws_call *call,
				      const struct ws_result *result)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;

	if (call->generation != core->generation)
		return;
	autoscaler->list_in_flight = false;
	autoscaler->next_list_at = core->now + core->settings->list_lag_s;
	if (result->outcome != WS_OUTCOME_OK) {
		autoscaler->list_cursor[0] = 0;
		return;
	}
	ws_determine_owned_machines(core, result);
	ws_apply_page(core, result);
	if (result->instances.has_more && result->instances.count) {
		snprintf(autoscaler->list_cursor, sizeof(autoscaler->list_cursor), "%s",
			 result->instances.list[result->instances.count - 1].name);
		autoscaler->next_list_at = core->now;
		return;
	}
	autoscaler->list_cursor[0] = 0;
	ws_scale_in_missing(core);
}

/* While demand is unmet, other cloud calls take precedence until the list is overdue by its lag. */
static bool ws_instance_list_is_due(const struct ws_core *core)
{
	const struct ws_autoscaler *autoscaler = &core->autoscaler;

	if (autoscaler->list_in_flight || core->now < autoscaler->next_list_at ||
	    core->now < autoscaler->next_cloud_call_at)
		return false;
	return !autoscaler->new_machines_needed || !core->fleet.owned_recorded ||
	       core->now >= autoscaler->next_list_at + core->settings->list_lag_s;
}

void ws_instance_list_tick(struct ws_core *core)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	struct ws_call *call;

	if (!ws_instance_list_is_due(core))
		return;
	call = ws_call_new(core, WS_CALL_INSTANCES, ws_instance_list_answered);
	snprintf(call->instances.after, sizeof(call->instances.after), "%s",
		 autoscaler->list_cursor);
	if (!autoscaler->list_cursor[0])
		autoscaler->list_generation++;
	autoscaler->list_in_flight = true;
	autoscaler->next_cloud_call_at = core->now + WS_CLOUD_CALL_INTERVAL_S;
}
