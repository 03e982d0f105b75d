/*
 * The subsystems' filters: which actions are deferred, and which machines and zones placement
 * avoids. The filters are combined by logical OR: an action is deferred if any subsystem defers it.
 */
#include "../core_state.h"

/* Returns the bit of a zone index in a set of zones that includes -1, the unknown zone. */
static uint64_t ws_deferred_zone_bit(int zone)
{
	return 1ULL << (zone + 1);
}

/* Returns the set of zones in which a subsystem defers actions of a kind. */
static uint64_t ws_subsystem_deferred_zones(const struct ws_core *core,
					    const struct ws_subsystem *subsystem,
					    enum ws_deferrable_action kind)
{
	uint64_t zones = 0;

	for (int zone = -1; zone < core->catalog.zone_count; zone++) {
		const char *name = zone < 0 ? "" : core->catalog.zones[zone];

		if (subsystem->ops->action_deferred(subsystem->self, core->now, kind, name))
			zones |= ws_deferred_zone_bit(zone);
	}
	return zones;
}

void ws_subsystems_update_deferrals(struct ws_core *core)
{
	struct ws_subsystems *subsystems = &core->subsystems;

	memset(subsystems->deferred_zones, 0, sizeof(subsystems->deferred_zones));
	for (size_t i = 0; i < subsystems->count; i++) {
		const struct ws_subsystem *subsystem = &subsystems->list[i];

		if (!subsystem->ops->action_deferred)
			continue;
		for (int kind = 0; kind < WS_DEFERRABLE_ACTIONS; kind++)
			subsystems->deferred_zones[kind] |= ws_subsystem_deferred_zones(
			    core, subsystem, (enum ws_deferrable_action)kind);
	}
}

bool ws_subsystems_action_deferred(const struct ws_core *core, enum ws_deferrable_action kind,
				   int zone)
{
	return (core->subsystems.deferred_zones[kind] & ws_deferred_zone_bit(zone)) != 0;
}

void ws_subsystems_begin_pass(struct ws_core *core)
{
	struct ws_subsystems *subsystems = &core->subsystems;

	subsystems->zones_avoided = subsystems->zones_closed = 0;
	for (int zone = 0; zone < core->catalog.zone_count; zone++) {
		const char *name = core->catalog.zones[zone];

		for (size_t i = 0; i < subsystems->count; i++) {
			const struct ws_subsystem_ops *ops = subsystems->list[i].ops;
			void *self = subsystems->list[i].self;

			if (ops->zone_avoided && ops->zone_avoided(self, core->now, name))
				subsystems->zones_avoided |= 1u << zone;
			if (ops->zone_closed && ops->zone_closed(self, core->now, name))
				subsystems->zones_closed |= 1u << zone;
		}
	}
}

bool ws_subsystems_avoid_machine(struct ws_core *core, const struct ws_machine *machine)
{
	for (size_t i = 0; i < core->subsystems.count; i++) {
		const struct ws_subsystem *subsystem = &core->subsystems.list[i];

		if (machine->subsystem_handles[i] && subsystem->ops->machine_avoided &&
		    subsystem->ops->machine_avoided(subsystem->self, core->now,
						    machine->subsystem_handles[i]))
			return true;
	}
	return false;
}
