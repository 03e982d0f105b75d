/* Operators' commands about failure domains: show them, hold one, release it. */
#ifndef WS_ZONES_COMMAND_H
#define WS_ZONES_COMMAND_H
#include "subsystem_settings.h"

enum ws_zones_verb { WS_ZONES_NO_VERB, WS_ZONES_SHOW, WS_ZONES_HOLD, WS_ZONES_RELEASE };

struct ws_zones_command {
	enum ws_zones_verb verb;
	const char *domain; /* to hold or release */
};

/*
 * Carries a command out on the records of the state service, and prints what it found. The exit
 * status: 0, 1 if the state service did not do it, 2 if there is no such domain.
 */
int ws_zones_command_run(const struct ws_zones_command *command, const struct ws_settings *platform,
			 const struct ws_subsystem_settings *subsystems);
#endif
