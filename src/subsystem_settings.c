#include "subsystem_settings.h"
#include "config_reader.h"
#include "log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_PATH_SIZE 160

void ws_subsystem_settings_defaults(struct ws_subsystem_settings *settings)
{
	settings->failure_domains_enabled = false;
	ws_domains_settings_defaults(&settings->failure_domains);
	settings->cold_start_enabled = false;
	ws_cold_start_defaults(&settings->cold_start);
}

void ws_subsystem_settings_free(struct ws_subsystem_settings *settings)
{
	ws_domains_settings_free(&settings->failure_domains);
}

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

static void read_networks(struct ws_config_reader *reader, struct ws_declared_domain *declared,
			  size_t domain)
{
	char path[KEY_PATH_SIZE];

	snprintf(path, sizeof(path), "zones.domains[%zu].networks", domain);
	declared->network_count = ws_config_array_length(reader, path, SIZE_MAX, true);
	declared->networks = allocate(declared->network_count, sizeof(*declared->networks));
	for (size_t i = 0; i < declared->network_count && reader->valid; i++) {
		snprintf(path, sizeof(path), "zones.domains[%zu].networks[%zu]", domain, i);
		ws_config_string(reader, path, declared->networks[i], WS_DOMAINS_NETWORK_MAX);
	}
}

static void read_domains(struct ws_config_reader *reader, struct ws_domains_settings *domains)
{
	static const char *const known[] = {"name", "networks"};
	size_t count = ws_config_array_length(reader, "zones.domains", SIZE_MAX, false);
	char path[KEY_PATH_SIZE];

	domains->declared = allocate(count, sizeof(*domains->declared));
	for (size_t i = 0; i < count && reader->valid; i++) {
		snprintf(path, sizeof(path), "zones.domains[%zu]", i);
		ws_config_reject_unknown_keys(reader, path, known,
					      sizeof(known) / sizeof(known[0]));
		snprintf(path, sizeof(path), "zones.domains[%zu].name", i);
		ws_config_string(reader, path, domains->declared[i].name, WS_DOMAINS_NAME_MAX);
		domains->declared_count = i + 1;
		read_networks(reader, &domains->declared[i], i);
	}
}

static void read_class_order(struct ws_config_reader *reader, struct ws_domains_settings *domains)
{
	size_t count = ws_config_array_length(reader, "zones.class_order", SIZE_MAX, false);

	domains->class_order = allocate(count, sizeof(*domains->class_order));
	domains->class_count = count;
	for (size_t i = 0; i < count && reader->valid; i++) {
		char path[KEY_PATH_SIZE];

		snprintf(path, sizeof(path), "zones.class_order[%zu]", i);
		ws_config_string(reader, path, domains->class_order[i], WS_DOMAINS_NAME_MAX);
	}
}

static void read_failure_domains(struct ws_config_reader *reader,
				 struct ws_subsystem_settings *settings)
{
	static const char *const known[] = {"enabled",	   "dark_share",  "stable_s",	 "ramp_s",
					    "half_life_s", "penalty_max", "class_order", "domains"};
	struct ws_domains_settings *domains = &settings->failure_domains;

	ws_config_reject_unknown_keys(reader, "zones", known, sizeof(known) / sizeof(known[0]));
	if (ws_toml_bool(reader->toml, "zones.enabled", &settings->failure_domains_enabled) !=
	    WS_TOML_OK)
		ws_config_invalid(reader, "zones.enabled", "must be true or false");
	ws_config_number(reader, "zones.dark_share", &domains->unreachable_share, 0.5, false);
	if (domains->unreachable_share > 1)
		ws_config_invalid(reader, "zones.dark_share", "must be at most 1");
	ws_config_number(reader, "zones.stable_s", &domains->hold_down_s, 0, false);
	ws_config_number(reader, "zones.ramp_s", &domains->ramp_s, 0, false);
	ws_config_positive_number(reader, "zones.half_life_s", &domains->penalty_half_life_s,
				  false);
	ws_config_number(reader, "zones.penalty_max", &domains->penalty_max, 1, false);
	if (domains->penalty_max > 16) /* the hold-down doubles with each penalty point */
		ws_config_invalid(reader, "zones.penalty_max", "must be at most 16");
	read_class_order(reader, domains);
	read_domains(reader, domains);
}

static void read_cold_start(struct ws_config_reader *reader, struct ws_subsystem_settings *settings)
{
	static const char *const known[] = {"enabled", "keep_s", "heard_share"};
	struct ws_cold_start_settings *cold_start = &settings->cold_start;

	ws_config_reject_unknown_keys(reader, "coldstart", known, sizeof(known) / sizeof(known[0]));
	if (ws_toml_bool(reader->toml, "coldstart.enabled", &settings->cold_start_enabled) !=
	    WS_TOML_OK)
		ws_config_invalid(reader, "coldstart.enabled", "must be true or false");
	ws_config_number(reader, "coldstart.keep_s", &cold_start->quarantine_s, 0, false);
	ws_config_number(reader, "coldstart.heard_share", &cold_start->answered_share, 0.5, false);
	if (cold_start->answered_share > 1)
		ws_config_invalid(reader, "coldstart.heard_share", "must be at most 1");
}

/* Reads the table of a subsystem if the file has one. */
static void read_table(struct ws_config_reader *reader, const char *name,
		       void (*read)(struct ws_config_reader *, struct ws_subsystem_settings *),
		       struct ws_subsystem_settings *settings)
{
	if (ws_toml_is_table(reader->toml, name))
		read(reader, settings);
	else if (ws_toml_has(reader->toml, name))
		ws_config_invalid(reader, name, "must be a table");
}

bool ws_subsystem_settings_read(const char *path, struct ws_subsystem_settings *settings,
				struct ws_startup_error *error)
{
	static const char *const known[] = {"zones", "coldstart"};
	struct ws_config_reader reader;

	if (!ws_config_open(&reader, path, error))
		return false;
	ws_config_reject_unknown_keys(&reader, "", known, sizeof(known) / sizeof(known[0]));
	read_table(&reader, "zones", read_failure_domains, settings);
	read_table(&reader, "coldstart", read_cold_start, settings);
	return ws_config_close(&reader);
}

static void log_line(const char *text)
{
	ws_log_write(WS_LOG_INFO, text);
}

/* Sets the error to the invalid domain and, if that is the cause, its network. */
static void set_domain_error(struct ws_startup_error *error,
			     const struct ws_domains_error *domains_error)
{
	*error =
	    (struct ws_startup_error){.code = WS_STARTUP_SETTINGS_CONFLICT, .key = "zones.domains"};
	snprintf(error->text, sizeof(error->text), "%s%s%s %s", domains_error->domain,
		 domains_error->network[0] ? ": " : "", domains_error->network,
		 ws_domains_error_text(domains_error->code));
}

static bool attach_failure_domains(struct ws_core *core, const struct ws_domains_settings *settings,
				   const struct ws_cluster_limits *limits,
				   struct ws_startup_error *error)
{
	struct ws_domains_error domains_error;
	struct ws_failure_domains *domains =
	    ws_domains_new(settings, limits, log_line, &domains_error);

	if (!domains) {
		set_domain_error(error, &domains_error);
		return false;
	}
	if (core && ws_core_attach(core, &ws_domains_ops, domains))
		return true;
	ws_domains_free(domains);
	return !core;
}

static bool attach_cold_start(struct ws_core *core, const struct ws_cold_start_settings *settings,
			      const struct ws_cluster_limits *limits)
{
	struct ws_cold_start *cold_start = ws_cold_start_new(settings, limits, log_line);

	if (ws_core_attach(core, &ws_cold_start_ops, cold_start))
		return true;
	ws_cold_start_free(cold_start);
	return false;
}

bool ws_subsystem_attach(struct ws_core *core, const struct ws_subsystem_settings *settings,
			 const struct ws_settings *platform, struct ws_startup_error *error)
{
	const char *zone_names[WS_MAX_ZONES];
	struct ws_cluster_limits limits = {
	    .heartbeat_s = platform->heartbeat_s,
	    .lease_s = platform->lease_s,
	    .store_write_rps = platform->store_write_rps,
	    .value_bytes = (size_t)(platform->value_kb * 1024),
	    .cancel_s = platform->cancel_s,
	    .node_zone = platform->zone,
	    .zones = zone_names,
	    .zone_count = platform->zone_count,
	};

	for (size_t i = 0; i < platform->zone_count; i++)
		zone_names[i] = platform->zones[i];
	if ((settings->failure_domains_enabled || !core) &&
	    !attach_failure_domains(core, &settings->failure_domains, &limits, error))
		return false;
	return !core || !settings->cold_start_enabled ||
	       attach_cold_start(core, &settings->cold_start, &limits);
}
