#include "core_state.h"

void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until)
{
	struct ws_tombstone *tombstone;

	HASH_FIND_STR(*tombstones, name, tombstone);
	if (!tombstone) {
		tombstone = calloc(1, sizeof(*tombstone));
		if (!tombstone)
			abort();
		snprintf(tombstone->name, sizeof(tombstone->name), "%s", name);
		HASH_ADD_STR(*tombstones, name, tombstone);
	}
	tombstone->until = until;
}

bool ws_tombstone_is_set(const struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name)
{
	struct ws_tombstone *tombstone;

	HASH_FIND_STR(*tombstones, name, tombstone);
	return tombstone && core->now < tombstone->until;
}

void ws_tombstones_clear(const struct ws_core *core, struct ws_tombstone **tombstones, bool all)
{
	struct ws_tombstone *tombstone, *next;

	HASH_ITER (hh, *tombstones, tombstone, next)
		if (all || core->now >= tombstone->until) {
			HASH_DEL(*tombstones, tombstone);
			free(tombstone);
		}
}
