/*
 * Observation phase: counts, for each zone, the expected machines that have answered this leader. A
 * machine has answered when a heartbeat of it carried this leader's fencing token. This module owns
 * the zones and the machine handles.
 */
#ifndef WS_COLD_START_OBSERVATION_H
#define WS_COLD_START_OBSERVATION_H
#include "state.h"

struct ws_cold_start_zone {
	char name[WS_COLD_START_NAME_MAX];
	size_t expected; /* machines recorded as running, without those that are gone */
	size_t answered; /* expected machines that have answered this leader */
	bool observed;	 /* the observation of this zone has ended */
	UT_hash_handle hh;
};

/* The handle of a machine, which the core passes back to each hook about the machine. */
struct ws_cold_start_machine {
	struct ws_cold_start_zone *zone;
	bool expected; /* counted among the expected machines of its zone */
	bool answered; /* has answered this leader */
};

/* Hooks about machines and their heartbeats; see core/extension/hooks.h. */
void *ws_cold_start_machine_added(void *self, double now, const struct ws_machine_info *info);
void ws_cold_start_machine_changed(void *self, void *handle, const struct ws_machine_info *info);
void ws_cold_start_machine_removed(void *self, void *handle);
void ws_cold_start_machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss);
void ws_cold_start_heartbeat_seen(void *self, double now, void *handle);
/* Returns whether a zone has expected machines and its observation has not ended. */
bool ws_cold_start_zone_is_observing(const struct ws_cold_start *cold_start, const char *name);
/* Returns the number of expected machines, in all zones, that have not answered this leader. */
size_t ws_cold_start_unanswered_machines(const struct ws_cold_start *cold_start);
/*
 * Ends the observation of each zone in which enough machines have answered or all leases of
 * earlier leaders have expired. Returns whether the observation of all zones has ended.
 */
bool ws_cold_start_update_observation(struct ws_cold_start *cold_start, double now);
/* Frees the zones, but not the machine handles. */
void ws_cold_start_zones_free(struct ws_cold_start *cold_start);
#endif
