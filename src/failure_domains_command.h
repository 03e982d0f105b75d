/* Operators' commands about failure domains: show them, hold one, release it. */
#ifndef WS_FAILURE_DOMAINS_COMMAND_H
#define WS_FAILURE_DOMAINS_COMMAND_H
#include "subsystem_settings.h"

enum ws_failure_domains_command_kind {
	WS_FAILURE_DOMAINS_NONE,
	WS_FAILURE_DOMAINS_SHOW,
	WS_FAILURE_DOMAINS_HOLD,
	WS_FAILURE_DOMAINS_RELEASE
};

struct ws_failure_domains_command {
	enum ws_failure_domains_command_kind kind;
	const char *domain; /* to hold or release */
};

/*
 * Carries a command out on the records of the store, and prints what it found. The exit
 * status: 0, 1 if the store did not do it, 2 if there is no such domain.
 */
int ws_failure_domains_command_run(const struct ws_failure_domains_command *command,
				   const struct ws_settings *platform,
				   const struct ws_subsystem_settings *subsystems);
#endif
