/* Sets of tombstones: names of removed objects, kept for a limited time. */
#include "core_state.h"

void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until)
{
	struct ws_tombstone *tombstone;

	HASH_FIND_STR(*tombstones, name, tombstone);
	if (!tombstone) {
		tombstone = ws_alloc(1, sizeof(*tombstone));
		snprintf(tombstone->name, sizeof(tombstone->name), "%s", name);
		HASH_ADD_STR(*tombstones, name, tombstone);
	}
	tombstone->expires_at = until;
}

bool ws_tombstone_is_set(const struct ws_core *core, struct ws_tombstone *const *tombstones,
			 const char *name)
{
	struct ws_tombstone *tombstone;

	HASH_FIND_STR(*tombstones, name, tombstone);
	return tombstone && core->now < tombstone->expires_at;
}

/* Removes and frees all tombstones of a set. */
static void ws_tombstones_free(struct ws_tombstone **tombstones)
{
	struct ws_tombstone *tombstone = *tombstones, *next;

	HASH_CLEAR(hh, *tombstones);
	for (; tombstone; tombstone = next) {
		next = tombstone->hh.next;
		free(tombstone);
	}
}

/* Removes the expired tombstones from a set and returns them as a list, linked by `next_expired`.
 */
static struct ws_tombstone *ws_tombstones_take_expired(struct ws_tombstone **tombstones, double now)
{
	struct ws_tombstone *tombstone, *next, *expired = NULL;

	HASH_ITER (hh, *tombstones, tombstone, next) {
		if (now < tombstone->expires_at)
			continue;
		HASH_DEL(*tombstones, tombstone);
		tombstone->next_expired = expired;
		expired = tombstone;
	}
	return expired;
}

void ws_tombstones_clear(const struct ws_core *core, struct ws_tombstone **tombstones, bool all)
{
	struct ws_tombstone *expired, *next;

	if (all) {
		ws_tombstones_free(tombstones);
		return;
	}
	for (expired = ws_tombstones_take_expired(tombstones, core->now); expired; expired = next) {
		next = expired->next_expired;
		free(expired);
	}
}
