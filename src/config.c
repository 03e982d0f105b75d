/* Settings: the platform's file and the operators' own, both checked before anything starts. */
#include "config.h"
#include "config_reader.h"
#include <stdio.h>
#include <string.h>

#define PATH_MAX_LENGTH 128
/* Sockets kept from users and workers: 14 to state service and cloud, 2 to listen on; */
#define SOCKETS_OWN 16
/* those of each peer's few lives; */
#define SOCKETS_PEER 9
/* and what must be left. */
#define SOCKETS_LEAST 16
#define TXN_OPS_MAX 1000
#define MAX_SOCKETS_MAX 1000000
#define MACHINES_MAX 10000

static void read_addresses(struct ws_config_reader *r, struct ws_settings *s)
{
	char path[PATH_MAX_LENGTH];

	ws_config_text(r, "node", s->node, sizeof(s->node));
	ws_config_text(r, "zone", s->zone, sizeof(s->zone));
	ws_config_endpoint(r, "bind", &s->bind);
	ws_config_endpoint(r, "peer_bind", &s->peer_bind);
	ws_config_endpoint(r, "services.cloud", &s->cloud);
	ws_config_endpoint(r, "services.state", &s->state);
	s->npeers = ws_config_count(r, "seeds", WS_MAX_PEERS, false);
	for (size_t i = 0; i < s->npeers && r->ok; i++) {
		snprintf(path, sizeof(path), "seeds[%zu].node", i);
		ws_config_text(r, path, s->peers[i].node, WS_NAME_MAX);
		snprintf(path, sizeof(path), "seeds[%zu].endpoint", i);
		ws_config_endpoint(r, path, &s->peers[i]);
		snprintf(path, sizeof(path), "seeds[%zu].zone", i);
		ws_config_optional_text(r, path, s->peers[i].zone, WS_NAME_MAX);
	}
	s->nzones = ws_config_count(r, "settings.zones", WS_MAX_ZONES, true);
	for (size_t i = 0; i < s->nzones && r->ok; i++) {
		snprintf(path, sizeof(path), "settings.zones[%zu]", i);
		ws_config_text(r, path, s->zones[i], WS_NAME_MAX);
	}
}

static void read_team(struct ws_config_reader *r, struct ws_team_setting *team, size_t i)
{
	char path[PATH_MAX_LENGTH];

	snprintf(path, sizeof(path), "settings.teams[%zu].name", i);
	ws_config_text(r, path, team->name, WS_NAME_MAX);
	snprintf(path, sizeof(path), "settings.teams[%zu].cpus", i);
	ws_config_number(r, path, &team->cpus, 0, true);
	snprintf(path, sizeof(path), "settings.teams[%zu].cpus_max", i);
	ws_config_number(r, path, &team->cpus_max, 0, true);
	snprintf(path, sizeof(path), "settings.teams[%zu].gpus", i);
	ws_config_number(r, path, &team->gpus, 0, false);
	snprintf(path, sizeof(path), "settings.teams[%zu].gpus_max", i);
	ws_config_number(r, path, &team->gpus_max, 0, false);
}

static void read_objective(struct ws_config_reader *r, struct ws_objective *objective, size_t i)
{
	char path[PATH_MAX_LENGTH];

	snprintf(path, sizeof(path), "settings.objectives[%zu].kind", i);
	ws_config_text(r, path, objective->kind, sizeof(objective->kind));
	snprintf(path, sizeof(path), "settings.objectives[%zu].class", i);
	ws_config_optional_text(r, path, objective->job_class, WS_NAME_MAX);
	snprintf(path, sizeof(path), "settings.objectives[%zu].within_s", i);
	ws_config_number(r, path, &objective->within_s, 0, false);
	snprintf(path, sizeof(path), "settings.objectives[%zu].share", i);
	ws_config_number(r, path, &objective->share, 0, false);
}

static void read_users(struct ws_config_reader *r, struct ws_settings *s)
{
	s->nteams = ws_config_count(r, "settings.teams", WS_MAX_TEAMS, true);
	for (size_t i = 0; i < s->nteams && r->ok; i++)
		read_team(r, &s->teams[i], i);
	s->nobjectives = ws_config_count(r, "settings.objectives", WS_MAX_OBJECTIVES, false);
	for (size_t i = 0; i < s->nobjectives && r->ok; i++)
		read_objective(r, &s->objectives[i], i);
}

static void read_workers(struct ws_config_reader *r, struct ws_settings *s)
{
	ws_config_number(r, "settings.workers.report_s", &s->report_s, 0.01, true);
	ws_config_number(r, "settings.workers.lease_s", &s->lease_s, 0.1, true);
	ws_config_above_zero(r, "settings.workers.cancel_s", &s->cancel_s, true);
	s->gang_wait_s = s->lease_s;
	s->gang_peer_s = s->lease_s / 2;
	ws_config_number(r, "settings.workers.gang_wait_s", &s->gang_wait_s, 0.1, false);
	ws_config_above_zero(r, "settings.workers.gang_peer_s", &s->gang_peer_s, false);
}

static void read_state(struct ws_config_reader *r, struct ws_settings *s)
{
	char text[PATH_MAX_LENGTH];
	double ops = 0;

	ws_config_number(r, "settings.state.rps", &s->state_rps, 1, true);
	ws_config_number(r, "settings.state.write_rps", &s->state_write_rps, 1, true);
	ws_config_number(r, "settings.state.value_kb", &s->value_kb, 1, true);
	ws_config_number(r, "settings.state.txn_ops", &ops, 3, true);
	if (ws_toml_string(r->toml, "settings.state.next", text, sizeof(text)) != WS_TOML_MISSING &&
	    !ws_toml_table(r->toml, "settings.state.next"))
		ws_config_fail(r, "settings.state.next", "must be a table");
	ws_config_lower(r, "settings.state.next.rps", 1, &s->state_rps);
	ws_config_lower(r, "settings.state.next.write_rps", 1, &s->state_write_rps);
	ws_config_lower(r, "settings.state.next.value_kb", 1, &s->value_kb);
	ws_config_lower(r, "settings.state.next.txn_ops", 3, &ops);
	s->txn_ops = ops > TXN_OPS_MAX ? TXN_OPS_MAX : (int)ops;
}

static void read_limits(struct ws_config_reader *r, struct ws_settings *s)
{
	double sockets = 0;

	ws_config_number(r, "settings.cloud.rps", &s->cloud_rps, 0.01, true);
	ws_config_number(r, "settings.cloud.list_lag_s", &s->list_lag_s, 0, true);
	/* at rest a small deployment takes a thousandth of a core and 2 MB; the block for messages,
	 * and one answer of the state service as long as it may be, come on top */
	ws_config_number(r, "settings.machine_limits.core_share", &s->core_share, 0.002, true);
	ws_config_number(r, "settings.machine_limits.ram_mb", &s->ram_mb, 8, true);
	ws_config_number(r, "settings.machine_limits.max_sockets", &sockets, 16, true);
	s->max_sockets = sockets > MAX_SOCKETS_MAX ? MAX_SOCKETS_MAX : (int)sockets;
	s->sockets = s->max_sockets - SOCKETS_OWN - SOCKETS_PEER * (int)s->npeers;
	if (r->ok && s->sockets < SOCKETS_LEAST)
		ws_config_fail(r, "settings.machine_limits.max_sockets",
			       "leaves no room for users and workers");
}

bool ws_config_settings(const char *path, struct ws_settings *s, char *err, size_t n)
{
	struct ws_config_reader r;

	memset(s, 0, sizeof(*s));
	if (!ws_config_open(&r, path, err, n))
		return false;
	read_addresses(&r, s);
	read_users(&r, s);
	read_workers(&r, s);
	read_state(&r, s);
	read_limits(&r, s);
	if (r.ok && s->lease_s <= s->report_s)
		ws_config_fail(&r, "settings.workers.lease_s", "must be longer than report_s");
	return ws_config_close(&r);
}

/* A whole number that may be left out: then it stays as it is. */
static void read_machines(struct ws_config_reader *r, const char *path, int *to)
{
	double value = *to;

	ws_config_number(r, path, &value, 0, false);
	*to = value > MACHINES_MAX ? MACHINES_MAX : (int)value;
}

bool ws_config_policy(const char *path, struct ws_policy *p, char *err, size_t n)
{
	static const char *const known[] = {
	    "delta",	       "rentals_max",	  "wait_max_s",
	    "latency_bound_s", "rental_ceiling",  "waiting_loads",
	    "empty_wait_s",    "sizing_period_s", "leader_ttl_ratio",
	    "silent_ratio",    "boot_patience"};
	struct ws_config_reader r;

	if (!ws_config_open(&r, path, err, n))
		return false;
	ws_config_known_keys(&r, "", known, sizeof(known) / sizeof(known[0]));
	ws_config_number(&r, "delta", &p->delta, 1e-6, false);
	ws_config_number(&r, "rentals_max", &p->rentals_max, 1e-6, false);
	ws_config_number(&r, "wait_max_s", &p->wait_max_s, 1e-6, false);
	ws_config_number(&r, "latency_bound_s", &p->latency_bound_s, 1e-6, false);
	read_machines(&r, "rental_ceiling", &p->rental_ceiling);
	read_machines(&r, "waiting_loads", &p->waiting_loads);
	ws_config_number(&r, "empty_wait_s", &p->empty_wait_s, 0, false);
	ws_config_number(&r, "sizing_period_s", &p->sizing_period_s, 1, false);
	ws_config_number(&r, "leader_ttl_ratio", &p->leader_ttl_ratio, 0.01, false);
	ws_config_number(&r, "silent_ratio", &p->silent_ratio, 0.1, false);
	ws_config_number(&r, "boot_patience", &p->boot_patience, 1, false);
	if (r.ok && p->leader_ttl_ratio > 0.5)
		ws_config_fail(&r, "leader_ttl_ratio", "must be at most 0.5");
	return ws_config_close(&r);
}
