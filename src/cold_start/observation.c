/*
 * Counts, for each zone, the expected machines that have answered this leader. The observation of a
 * zone ends when the configured share of them has echoed this leader's fencing token, or when all
 * leases of earlier leaders have expired.
 */
#include "observation.h"
#include "../subsystem_support/subsystem_memory.h"
#include <stdio.h>

static struct ws_cold_start_zone *find_or_add_zone(struct ws_cold_start *cold_start,
						   const char *name)
{
	struct ws_cold_start_zone *zone;

	HASH_FIND_STR(cold_start->zones, name, zone);
	if (zone)
		return zone;
	zone = ws_subsystem_allocate(sizeof(*zone));
	snprintf(zone->name, sizeof(zone->name), "%s", name);
	HASH_ADD_STR(cold_start->zones, name, zone);
	return zone;
}

void ws_cold_start_zones_free(struct ws_cold_start *cold_start)
{
	WS_SUBSYSTEM_FREE_TABLE(cold_start->zones);
}

/* ---- machines ---- */

static void update_zone_counts(struct ws_cold_start_machine *machine, bool added)
{
	if (!machine->expected)
		return;
	if (added) {
		machine->zone->expected++;
		machine->zone->answered += machine->answered;
	} else {
		machine->zone->expected--;
		machine->zone->answered -= machine->answered;
	}
}

void *ws_cold_start_machine_added(void *self, double now, const struct ws_machine_info *info)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_machine *machine = ws_subsystem_allocate(sizeof(*machine));

	(void)now;
	cold_start->operations++;
	machine->zone = find_or_add_zone(cold_start, info->zone);
	machine->expected = info->expected;
	update_zone_counts(machine, true);
	if (info->unknown && ws_cold_start_active(cold_start)) {
		cold_start->counts.results[WS_RECONCILED_UNKNOWN_MACHINE]++;
		cold_start->counts_changed = true;
		ws_subsystem_logf(
		    cold_start->log,
		    "cold start: machine is in neither the records nor the cloud's list "
		    "machine=%s",
		    info->name);
	}
	return machine;
}

void ws_cold_start_machine_changed(void *self, void *handle, const struct ws_machine_info *info)
{
	struct ws_cold_start_machine *machine = handle;

	update_zone_counts(machine, false);
	machine->zone = find_or_add_zone(self, info->zone);
	update_zone_counts(machine, true);
}

void ws_cold_start_machine_removed(void *self, void *handle)
{
	struct ws_cold_start_machine *machine = handle;

	(void)self;
	update_zone_counts(machine, false);
	free(machine);
}

/* A failed or returned machine will not answer, so it is no longer expected. */
void ws_cold_start_machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss)
{
	struct ws_cold_start_machine *machine = handle;

	(void)self;
	(void)now;
	if (loss == WS_LOSS_LEASE_EXPIRED)
		return;
	update_zone_counts(machine, false);
	machine->expected = false;
}

void ws_cold_start_heartbeat_seen(void *self, double now, void *handle)
{
	struct ws_cold_start *cold_start = self;
	struct ws_cold_start_machine *machine = handle;

	(void)now;
	if (machine->answered)
		return;
	cold_start->operations++;
	update_zone_counts(machine, false);
	machine->answered = true;
	update_zone_counts(machine, true);
	cold_start->counts_changed = true;
}

/* ---- zones ---- */

bool ws_cold_start_zone_is_observing(const struct ws_cold_start *cold_start, const char *name)
{
	const struct ws_cold_start_zone *zone;

	HASH_FIND_STR(cold_start->zones, name, zone);
	return zone && !zone->observed && zone->expected;
}

size_t ws_cold_start_unanswered_machines(const struct ws_cold_start *cold_start)
{
	size_t unanswered = 0;

	for (const struct ws_cold_start_zone *zone = cold_start->zones; zone; zone = zone->hh.next)
		unanswered += zone->expected - zone->answered;
	return unanswered;
}

static bool observation_is_complete(const struct ws_cold_start *cold_start,
				    const struct ws_cold_start_zone *zone, double now)
{
	double required = cold_start->settings.answered_share * (double)zone->expected;

	return (double)zone->answered >= required - 1e-9 || now >= cold_start->leases_expire_at;
}

bool ws_cold_start_update_observation(struct ws_cold_start *cold_start, double now)
{
	bool all_observed = true;

	for (struct ws_cold_start_zone *zone = cold_start->zones; zone; zone = zone->hh.next) {
		if (zone->observed)
			continue;
		if (!observation_is_complete(cold_start, zone, now)) {
			all_observed = false;
			continue;
		}
		zone->observed = true;
		cold_start->counts_changed = true;
		if (zone->expected)
			ws_subsystem_logf(
			    cold_start->log,
			    "cold start: zone observed zone=%s answered=%zu machines=%zu "
			    "after_s=%.1f leases_expired=%s",
			    zone->name, zone->answered, zone->expected,
			    now - cold_start->elected_at,
			    zone->answered < zone->expected && now >= cold_start->leases_expire_at
				? "yes"
				: "no");
	}
	return all_observed;
}
