/* Operators' commands about failure domains: show them, hold one, release it. */
#ifndef WS_DOMAINS_COMMAND_H
#define WS_DOMAINS_COMMAND_H
#include "subsystem_settings.h"

enum ws_domains_verb { WS_DOMAINS_NO_VERB, WS_DOMAINS_SHOW, WS_DOMAINS_HOLD, WS_DOMAINS_RELEASE };

struct ws_domains_command {
	enum ws_domains_verb verb;
	const char *domain; /* to hold or release */
};

/*
 * Carries a command out on the records of the store, and prints what it found. The exit
 * status: 0, 1 if the store did not do it, 2 if there is no such domain.
 */
int ws_domains_command_run(const struct ws_domains_command *command,
			   const struct ws_settings *platform,
			   const struct ws_subsystem_settings *subsystems);
#endif
