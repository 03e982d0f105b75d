/* Reads the platform's settings file and the operator's policy file. */
#ifndef WS_CONFIG_H
#define WS_CONFIG_H
#include "core/settings.h"
#include "startup_error.h"

/* Both functions read and check a whole file. They return false with the first error, which names
 * the key. */
bool ws_config_read_settings(const char *path, struct ws_settings *settings,
			     struct ws_startup_error *error);
bool ws_config_read_policy(const char *path, struct ws_policy *policy,
			   struct ws_startup_error *error);
#endif
