/* The operators' command that prints the records of the last cold start. It changes nothing. */
#ifndef WS_COLD_START_COMMAND_H
#define WS_COLD_START_COMMAND_H
#include "core/settings.h"

/* Prints the records. Returns the exit status: 0, or 1 if the store could not be read. */
int ws_cold_start_command_run(const struct ws_settings *platform);
#endif
