/* The operators' command about cold starts: shows the last one's account, and changes nothing. */
#ifndef WS_COLD_START_COMMAND_H
#define WS_COLD_START_COMMAND_H
#include "core/settings.h"

/* Prints what is on record. The exit status: 0, 1 if the state service could not be read. */
int ws_cold_start_command_run(const struct ws_settings *platform);
#endif
