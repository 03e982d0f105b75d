/* Sizes of messages between controllers and workers. */
#ifndef WS_SIM_MESSAGE_SIZES_H
#define WS_SIM_MESSAGE_SIZES_H
#include "sim_parts.h"

/* Whether a report exceeds the largest request body, so that its worker cannot send it. */
bool sim_report_is_too_large(const struct ws_heartbeat *heartbeat);
/* Whether a message with commands exceeds the largest request body, so that a worker refuses it. */
bool sim_commands_are_too_large(const struct ws_command *commands, size_t count);
#endif
