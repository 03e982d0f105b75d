/*
 * Tombstones: names of removed objects, kept for a limited time because delayed messages may still
 * refer to them. A set is a hash table keyed by name, NULL when empty; its owner clears it.
 */
#ifndef WS_TOMBSTONES_H
#define WS_TOMBSTONES_H
#include "core.h"

struct ws_tombstone {
	char name[WS_NAME_MAX];
	double expires_at;		   /* time of expiry in seconds, on the core's clock */
	struct ws_tombstone *next_expired; /* used by ws_tombstones_clear() only */
	UT_hash_handle hh;
};

/* Whether the set has a tombstone of this name that has not expired. */
bool ws_tombstone_is_set(const struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name);
/* Adds a tombstone that expires at `until`, or changes the expiry of an existing one. */
void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until);
/* Removes the expired tombstones, or all of them. */
void ws_tombstones_clear(const struct ws_core *core, struct ws_tombstone **tombstones, bool all);
#endif
