/* Tombstones: names that are remembered as gone for a while, since late word may still name them.
 */
#ifndef WS_TOMBSTONES_H
#define WS_TOMBSTONES_H
#include "core.h"

struct ws_tombstone {
	char name[WS_NAME_MAX];
	double until; /* on the core's clock, in seconds */
	UT_hash_handle hh;
};

bool ws_tombstone_is_set(const struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name);
void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until);
/* Forgets those that are out of date, or all. */
void ws_tombstones_clear(const struct ws_core *core, struct ws_tombstone **tombstones, bool all);
#endif
