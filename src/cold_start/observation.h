/*
 * Observation: which of the expected machines have been heard, zone by zone. Owns the zones and the
 * handles of the machines.
 */
#ifndef WS_COLD_START_OBSERVATION_H
#define WS_COLD_START_OBSERVATION_H
#include "state.h"

struct ws_cold_start_zone {
	char name[WS_COLD_START_NAME_MAX];
	size_t expected; /* machines on record as having been up, without those that are gone */
	size_t heard;	 /* of these, heard by this leader */
	bool observed;	 /* its observation has ended */
	UT_hash_handle hh;
};

/* The handle of a machine; the core returns it with each hook. */
struct ws_cold_start_machine {
	struct ws_cold_start_zone *zone;
	bool expected; /* counts among those of its zone */
	bool heard;
};

/* Hooks of the same names: see core/extension/hooks.h. */
void *ws_cold_start_machine_added(void *self, double now, const struct ws_machine_info *facts);
void ws_cold_start_machine_changed(void *self, void *handle, const struct ws_machine_info *facts);
void ws_cold_start_machine_removed(void *self, void *handle);
void ws_cold_start_machine_lost(void *self, double now, void *handle, enum ws_machine_loss loss);
void ws_cold_start_heartbeat_seen(void *self, double now, void *handle);
/* Whether machines of a zone are expected, and too few of them have been heard. */
bool ws_cold_start_zone_waits(const struct ws_cold_start *cold_start, const char *name);
/* The number of expected machines that have not been heard. */
size_t ws_cold_start_unheard(const struct ws_cold_start *cold_start);
/* Ends the observation of zones that have answered; returns whether all have. */
bool ws_cold_start_observe(struct ws_cold_start *cold_start, double now);
/* Releases the zones. */
void ws_cold_start_zones_free(struct ws_cold_start *cold_start);
#endif
