/*
 * Tombstones: names that are remembered as gone for a while, since late messages may still name
 * them. A set is a hash by name, NULL when empty, which its owner clears.
 */
#ifndef WS_TOMBSTONES_H
#define WS_TOMBSTONES_H
#include "core.h"

struct ws_tombstone {
	char name[WS_NAME_MAX];
	double until;			   /* on the core's clock, in seconds */
	struct ws_tombstone *next_expired; /* scratch of ws_tombstones_clear() */
	UT_hash_handle hh;
};

/* Whether a name is in the set and its time is not over. */
bool ws_tombstone_is_set(const struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name);
/* Remembers a name until a time, which replaces an earlier one. */
void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until);
/* Removes those whose time is over, or all. */
void ws_tombstones_clear(const struct ws_core *core, struct ws_tombstone **tombstones, bool all);
#endif
