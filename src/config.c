/* Reads and checks the platform's settings file and the operator's policy file before startup. */
#include "config.h"
#include "config_reader.h"
#include <stdio.h>
#include <string.h>

#define KEY_PATH_SIZE 128
/* Sockets reserved for the store and the cloud (14) and for listening (2). */
#define SOCKETS_RESERVED 16
/* Sockets reserved per peer: one outgoing connection and the 8 that may be accepted from a peer,
 * since some may be left over from before its restarts. */
#define SOCKETS_PER_PEER 9
/* The minimum number of sockets left for users and workers. */
#define CLIENT_SOCKETS_MIN 16
#define TRANSACTION_OPERATIONS_MAX 1000
#define SOCKETS_MAX 1000000
#define MACHINES_MAX 10000

/* Writes the path of a field of an array entry, such as "seeds[0].node", and returns `path`. */
static const char *entry_path(char path[KEY_PATH_SIZE], const char *array, size_t index,
			      const char *field)
{
	snprintf(path, KEY_PATH_SIZE, "%s[%zu].%s", array, index, field);
	return path;
}

static void read_addresses(struct ws_config_reader *reader, struct ws_settings *settings)
{
	char path[KEY_PATH_SIZE];

	ws_config_string(reader, "node", settings->node, sizeof(settings->node));
	ws_config_string(reader, "zone", settings->zone, sizeof(settings->zone));
	ws_config_endpoint(reader, "bind", &settings->bind);
	ws_config_endpoint(reader, "peer_bind", &settings->peer_bind);
	ws_config_endpoint(reader, "services.cloud", &settings->cloud);
	ws_config_endpoint(reader, "services.state", &settings->store);
	settings->peer_count = ws_config_array_length(reader, "seeds", WS_MAX_PEERS, false);
	for (size_t i = 0; i < settings->peer_count && reader->valid; i++) {
		ws_config_string(reader, entry_path(path, "seeds", i, "node"),
				 settings->peers[i].node, WS_NAME_MAX);
		ws_config_endpoint(reader, entry_path(path, "seeds", i, "endpoint"),
				   &settings->peers[i]);
		ws_config_optional_string(reader, entry_path(path, "seeds", i, "zone"),
					  settings->peers[i].zone, WS_NAME_MAX);
	}
	settings->zone_count = ws_config_array_length(reader, "settings.zones", WS_MAX_ZONES, true);
	for (size_t i = 0; i < settings->zone_count && reader->valid; i++) {
		snprintf(path, sizeof(path), "settings.zones[%zu]", i);
		ws_config_string(reader, path, settings->zones[i], WS_NAME_MAX);
	}
}

static void read_team(struct ws_config_reader *reader, struct ws_team_setting *team, size_t index)
{
	char path[KEY_PATH_SIZE];

	ws_config_string(reader, entry_path(path, "settings.teams", index, "name"), team->name,
			 WS_NAME_MAX);
	ws_config_number(reader, entry_path(path, "settings.teams", index, "cpus"), &team->cpus, 0,
			 true);
	ws_config_number(reader, entry_path(path, "settings.teams", index, "cpus_max"),
			 &team->cpus_max, 0, true);
	ws_config_number(reader, entry_path(path, "settings.teams", index, "gpus"), &team->gpus, 0,
			 false);
	ws_config_number(reader, entry_path(path, "settings.teams", index, "gpus_max"),
			 &team->gpus_max, 0, false);
}

static void read_objective(struct ws_config_reader *reader, struct ws_objective *objective,
			   size_t index)
{
	char path[KEY_PATH_SIZE];

	ws_config_string(reader, entry_path(path, "settings.objectives", index, "kind"),
			 objective->kind, sizeof(objective->kind));
	ws_config_optional_string(reader, entry_path(path, "settings.objectives", index, "class"),
				  objective->job_class, WS_NAME_MAX);
	ws_config_number(reader, entry_path(path, "settings.objectives", index, "within_s"),
			 &objective->within_s, 0, false);
	ws_config_number(reader, entry_path(path, "settings.objectives", index, "share"),
			 &objective->share, 0, false);
}

static void read_users(struct ws_config_reader *reader, struct ws_settings *settings)
{
	settings->team_count = ws_config_array_length(reader, "settings.teams", WS_MAX_TEAMS, true);
	for (size_t i = 0; i < settings->team_count && reader->valid; i++)
		read_team(reader, &settings->teams[i], i);
	settings->objective_count =
	    ws_config_array_length(reader, "settings.objectives", WS_MAX_OBJECTIVES, false);
	for (size_t i = 0; i < settings->objective_count && reader->valid; i++)
		read_objective(reader, &settings->objectives[i], i);
}

static void read_workers(struct ws_config_reader *reader, struct ws_settings *settings)
{
	ws_config_number(reader, "settings.workers.report_s", &settings->heartbeat_s, 0.01, true);
	ws_config_number(reader, "settings.workers.lease_s", &settings->lease_s, 0.1, true);
	ws_config_positive_number(reader, "settings.workers.cancel_s", &settings->cancel_s, true);
	settings->gang_wait_s = settings->lease_s;
	settings->gang_peer_s = settings->lease_s / 2;
	ws_config_number(reader, "settings.workers.gang_wait_s", &settings->gang_wait_s, 0.1,
			 false);
	ws_config_positive_number(reader, "settings.workers.gang_peer_s", &settings->gang_peer_s,
				  false);
}

static void read_store_limits(struct ws_config_reader *reader, struct ws_settings *settings)
{
	char text[KEY_PATH_SIZE];
	double operations = 0;

	ws_config_number(reader, "settings.state.rps", &settings->store_rps, 1, true);
	ws_config_number(reader, "settings.state.write_rps", &settings->store_write_rps, 1, true);
	ws_config_number(reader, "settings.state.value_kb", &settings->value_kb, 1, true);
	ws_config_number(reader, "settings.state.txn_ops", &operations, 3, true);
	if (ws_toml_string(reader->toml, "settings.state.next", text, sizeof(text)) !=
		WS_TOML_MISSING &&
	    !ws_toml_is_table(reader->toml, "settings.state.next"))
		ws_config_invalid(reader, "settings.state.next", "must be a table");
	ws_config_lower_limit(reader, "settings.state.next.rps", 1, &settings->store_rps);
	ws_config_lower_limit(reader, "settings.state.next.write_rps", 1,
			      &settings->store_write_rps);
	ws_config_lower_limit(reader, "settings.state.next.value_kb", 1, &settings->value_kb);
	ws_config_lower_limit(reader, "settings.state.next.txn_ops", 3, &operations);
	settings->transaction_ops =
	    operations > TRANSACTION_OPERATIONS_MAX ? TRANSACTION_OPERATIONS_MAX : (int)operations;
}

static void read_cloud_and_machine_limits(struct ws_config_reader *reader,
					  struct ws_settings *settings)
{
	double sockets = 0;

	ws_config_number(reader, "settings.cloud.rps", &settings->cloud_rps, 0.01, true);
	ws_config_number(reader, "settings.cloud.list_lag_s", &settings->list_lag_s, 0, true);
	/* an idle small deployment uses 0.001 of a core and 2 MB of memory; the JSON arena and one
	 * store reply of the maximum size are added to that */
	ws_config_number(reader, "settings.machine_limits.core_share", &settings->cpu_share, 0.002,
			 true);
	ws_config_number(reader, "settings.machine_limits.ram_mb", &settings->ram_mb, 8, true);
	ws_config_number(reader, "settings.machine_limits.max_sockets", &sockets, 16, true);
	settings->max_sockets = sockets > SOCKETS_MAX ? SOCKETS_MAX : (int)sockets;
	settings->client_sockets =
	    settings->max_sockets - SOCKETS_RESERVED - SOCKETS_PER_PEER * (int)settings->peer_count;
	if (reader->valid && settings->client_sockets < CLIENT_SOCKETS_MIN)
		ws_config_invalid(reader, "settings.machine_limits.max_sockets",
				  "leaves too few sockets for users and workers");
}

bool ws_config_read_settings(const char *path, struct ws_settings *settings,
			     struct ws_startup_error *error)
{
	struct ws_config_reader reader;

	memset(settings, 0, sizeof(*settings));
	if (!ws_config_open(&reader, path, error))
		return false;
	read_addresses(&reader, settings);
	read_users(&reader, settings);
	read_workers(&reader, settings);
	read_store_limits(&reader, settings);
	read_cloud_and_machine_limits(&reader, settings);
	if (reader.valid && settings->lease_s <= settings->heartbeat_s)
		ws_config_invalid(&reader, "settings.workers.lease_s",
				  "must be longer than report_s");
	return ws_config_close(&reader);
}

/* Reads an optional whole number, at most MACHINES_MAX. If it is missing, `target` is unchanged. */
static void read_machine_count(struct ws_config_reader *reader, const char *path, int *target)
{
	double value = *target;

	ws_config_number(reader, path, &value, 0, false);
	*target = value > MACHINES_MAX ? MACHINES_MAX : (int)value;
}

bool ws_config_read_policy(const char *path, struct ws_policy *policy,
			   struct ws_startup_error *error)
{
	static const char *const known[] = {
	    "delta",	       "rentals_max",	  "wait_max_s",
	    "latency_bound_s", "rental_ceiling",  "waiting_loads",
	    "empty_wait_s",    "sizing_period_s", "leader_ttl_ratio",
	    "silent_ratio",    "boot_patience"};
	struct ws_config_reader reader;

	if (!ws_config_open(&reader, path, error))
		return false;
	ws_config_reject_unknown_keys(&reader, "", known, sizeof(known) / sizeof(known[0]));
	ws_config_number(&reader, "delta", &policy->delta, 1e-6, false);
	ws_config_number(&reader, "rentals_max", &policy->rentals_max, 1e-6, false);
	ws_config_number(&reader, "wait_max_s", &policy->wait_max_s, 1e-6, false);
	ws_config_number(&reader, "latency_bound_s", &policy->latency_bound_s, 1e-6, false);
	read_machine_count(&reader, "rental_ceiling", &policy->rental_ceiling);
	read_machine_count(&reader, "waiting_loads", &policy->waiting_units_max);
	ws_config_number(&reader, "empty_wait_s", &policy->idle_timeout_s, 0, false);
	ws_config_number(&reader, "sizing_period_s", &policy->sizing_period_s, 1, false);
	ws_config_number(&reader, "leader_ttl_ratio", &policy->leader_ttl_ratio, 0.01, false);
	ws_config_number(&reader, "silent_ratio", &policy->unreachable_ratio, 0.1, false);
	ws_config_number(&reader, "boot_patience", &policy->boot_timeout_ratio, 1, false);
	if (reader.valid && policy->leader_ttl_ratio > 0.5)
		ws_config_invalid(&reader, "leader_ttl_ratio", "must be at most 0.5");
	return ws_config_close(&reader);
}
