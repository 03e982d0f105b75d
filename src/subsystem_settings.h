/* The subsystems' settings file: which of them are enabled, and their settings. */
#ifndef WS_SUBSYSTEM_SETTINGS_H
#define WS_SUBSYSTEM_SETTINGS_H
#include "core/core.h"
#include "cold_start/cold_start.h"
#include "startup_error.h"
#include "failure_domains/failure_domains.h"

struct ws_subsystem_settings {
	bool failure_domains_enabled;
	struct ws_domains_settings failure_domains;
	bool cold_start_enabled;
	struct ws_cold_start_settings cold_start;
};

/* Sets every subsystem to disabled, with its default settings. */
void ws_subsystem_settings_defaults(struct ws_subsystem_settings *settings);
void ws_subsystem_settings_free(struct ws_subsystem_settings *settings);
/* Reads the file. Returns false with the first error, which names the key. */
bool ws_subsystem_settings_read(const char *path, struct ws_subsystem_settings *settings,
				struct ws_startup_error *error);
/*
 * Attaches the enabled subsystems to a core; with a NULL core the settings are only checked against
 * the platform's. Returns false with the error on failure.
 */
bool ws_subsystem_attach(struct ws_core *core, const struct ws_subsystem_settings *settings,
			 const struct ws_settings *platform, struct ws_startup_error *error);
#endif
