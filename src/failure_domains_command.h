/* Operators' commands for failure domains: print all, hold one, release one. */
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
	const char *domain; /* the domain to hold or release; NULL if all are shown */
};

/*
 * Runs a command on the records of the store, and prints the result. Returns the exit status: 0, 1
 * if the store could not be read or did not accept the change, 2 if the domain does not exist.
 */
int ws_failure_domains_command_run(const struct ws_failure_domains_command *command,
				   const struct ws_settings *platform,
				   const struct ws_subsystem_settings *subsystems);
#endif
