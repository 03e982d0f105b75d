#ifndef WS_CONFIG_H
#define WS_CONFIG_H
#include "core/settings.h"

/* Both return false with one line in err that names the field. */
bool ws_config_settings(const char *path, struct ws_settings *settings, char *err, size_t size);
bool ws_config_policy(const char *path, struct ws_policy *policy, char *err, size_t size);
#endif
