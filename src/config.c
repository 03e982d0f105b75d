/* Settings: the platform's file and the operators' own, both checked before anything starts. */
#include "config.h"
#include "toml.h"
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct ws_reader {
	struct ws_toml *t;
	const char *file;
	char *err;
	size_t n;
	bool ok;
};

static void ws_bad(struct ws_reader *r, const char *field, const char *what)
{
	if (r->ok)
		snprintf(r->err, r->n, "%s: %s %s", r->file, field, what);
	r->ok = false;
}

static void ws_text(struct ws_reader *r, const char *path, char *to, size_t n)
{
	enum ws_toml_got g = ws_toml_string(r->t, path, to, n);

	if (g == WS_TOML_MISSING)
		ws_bad(r, path, "is missing");
	else if (g == WS_TOML_WRONG_TYPE || !to[0])
		ws_bad(r, path, "must be a non-empty string of fair length");
}

static void ws_num(struct ws_reader *r, const char *path, double *to, double least, bool need)
{
	double v;
	enum ws_toml_got g = ws_toml_number(r->t, path, &v);

	if (g == WS_TOML_MISSING) {
		if (need)
			ws_bad(r, path, "is missing");
		return;
	}
	if (g == WS_TOML_WRONG_TYPE || !isfinite(v) || v < least || v > 1e12) {
		char what[64];

		snprintf(what, sizeof(what), "must be a number of at least %g", least);
		ws_bad(r, path, what);
		return;
	}
	*to = v;
}

/* A time or a share of which there must be some. */
static void ws_above(struct ws_reader *r, const char *path, double *to, bool need)
{
	double v = 1;

	ws_num(r, path, &v, 0, need);
	if (v <= 0)
		ws_bad(r, path, "must be above 0");
	else if (ws_toml_number(r->t, path, &v) != WS_TOML_MISSING)
		*to = v;
}

/* A limit that will hold from some later moment on: planned by from the start if it is lower. */
static void ws_lower(struct ws_reader *r, const char *path, double least, double *to)
{
	double next = *to;

	ws_num(r, path, &next, least, false);
	*to = next < *to ? next : *to;
}

static void ws_addr(struct ws_reader *r, const char *path, struct ws_endpoint *e)
{
	char text[64], *colon, *end;
	struct in_addr in;
	long port;

	text[0] = 0;
	ws_text(r, path, text, sizeof(text));
	if (!r->ok)
		return;
	colon = strrchr(text, ':');
	if (!colon) {
		ws_bad(r, path, "must be IPv4:port");
		return;
	}
	*colon = 0;
	port = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, text, &in) != 1 || *end || end == colon + 1 || port < 0 ||
	    port > 65535) {
		ws_bad(r, path, "must be IPv4:port");
		return;
	}
	snprintf(e->host, sizeof(e->host), "%s", text);
	e->port = (int)port;
}

static size_t ws_count(struct ws_reader *r, const char *path, size_t max, bool need)
{
	long n = ws_toml_length(r->t, path);

	if (n < 0) {
		if (need)
			ws_bad(r, path, "is missing or no array");
		return 0;
	}
	if ((size_t)n > max) {
		ws_bad(r, path, "has too many entries");
		return 0;
	}
	return (size_t)n;
}

bool ws_config_settings(const char *path, struct ws_settings *s, char *err, size_t n)
{
	struct ws_reader r = {.file = path, .err = err, .n = n, .ok = true};
	char p[128];
	double v;

	memset(s, 0, sizeof(*s));
	r.t = ws_toml_open(path, err, n);
	if (!r.t)
		return false;
	ws_text(&r, "node", s->node, sizeof(s->node));
	ws_text(&r, "zone", s->zone, sizeof(s->zone));
	ws_addr(&r, "bind", &s->bind);
	ws_addr(&r, "peer_bind", &s->peer_bind);
	ws_addr(&r, "services.cloud", &s->cloud);
	ws_addr(&r, "services.state", &s->state);
	s->npeers = ws_count(&r, "seeds", WS_MAX_PEERS, false);
	for (size_t i = 0; i < s->npeers && r.ok; i++) {
		snprintf(p, sizeof(p), "seeds[%zu].node", i);
		ws_text(&r, p, s->peers[i].node, WS_NAME_MAX);
		snprintf(p, sizeof(p), "seeds[%zu].endpoint", i);
		ws_addr(&r, p, &s->peers[i]);
		snprintf(p, sizeof(p), "seeds[%zu].zone", i);
		ws_toml_string(r.t, p, s->peers[i].zone, WS_NAME_MAX);
	}
	s->nzones = ws_count(&r, "settings.zones", WS_MAX_ZONES, true);
	for (size_t i = 0; i < s->nzones && r.ok; i++) {
		snprintf(p, sizeof(p), "settings.zones[%zu]", i);
		ws_text(&r, p, s->zones[i], WS_NAME_MAX);
	}
	s->nteams = ws_count(&r, "settings.teams", WS_MAX_TEAMS, true);
	for (size_t i = 0; i < s->nteams && r.ok; i++) {
		struct ws_team_setting *t = &s->teams[i];

		snprintf(p, sizeof(p), "settings.teams[%zu].name", i);
		ws_text(&r, p, t->name, WS_NAME_MAX);
		snprintf(p, sizeof(p), "settings.teams[%zu].cpus", i);
		ws_num(&r, p, &t->cpus, 0, true);
		snprintf(p, sizeof(p), "settings.teams[%zu].cpus_max", i);
		ws_num(&r, p, &t->cpus_max, 0, true);
		snprintf(p, sizeof(p), "settings.teams[%zu].gpus", i);
		ws_num(&r, p, &t->gpus, 0, false);
		snprintf(p, sizeof(p), "settings.teams[%zu].gpus_max", i);
		ws_num(&r, p, &t->gpus_max, 0, false);
	}
	s->nobjectives = ws_count(&r, "settings.objectives", WS_MAX_OBJECTIVES, false);
	for (size_t i = 0; i < s->nobjectives && r.ok; i++) {
		struct ws_objective *o = &s->objectives[i];

		snprintf(p, sizeof(p), "settings.objectives[%zu].kind", i);
		ws_text(&r, p, o->kind, sizeof(o->kind));
		snprintf(p, sizeof(p), "settings.objectives[%zu].class", i);
		ws_toml_string(r.t, p, o->job_class, WS_NAME_MAX);
		snprintf(p, sizeof(p), "settings.objectives[%zu].within_s", i);
		ws_num(&r, p, &o->within_s, 0, false);
		snprintf(p, sizeof(p), "settings.objectives[%zu].share", i);
		ws_num(&r, p, &o->share, 0, false);
	}
	ws_num(&r, "settings.workers.report_s", &s->report_s, 0.01, true);
	ws_num(&r, "settings.workers.lease_s", &s->lease_s, 0.1, true);
	ws_above(&r, "settings.workers.cancel_s", &s->cancel_s, true);
	s->gang_wait_s = s->lease_s;
	s->gang_peer_s = s->lease_s / 2;
	ws_num(&r, "settings.workers.gang_wait_s", &s->gang_wait_s, 0.1, false);
	ws_above(&r, "settings.workers.gang_peer_s", &s->gang_peer_s, false);
	ws_num(&r, "settings.state.rps", &s->state_rps, 1, true);
	ws_num(&r, "settings.state.write_rps", &s->state_write_rps, 1, true);
	ws_num(&r, "settings.state.value_kb", &s->value_kb, 1, true);
	v = 0;
	ws_num(&r, "settings.state.txn_ops", &v, 3, true);
	if (ws_toml_string(r.t, "settings.state.next", p, sizeof(p)) != WS_TOML_MISSING &&
	    !ws_toml_table(r.t, "settings.state.next"))
		ws_bad(&r, "settings.state.next", "must be a table");
	ws_lower(&r, "settings.state.next.rps", 1, &s->state_rps);
	ws_lower(&r, "settings.state.next.write_rps", 1, &s->state_write_rps);
	ws_lower(&r, "settings.state.next.value_kb", 1, &s->value_kb);
	ws_lower(&r, "settings.state.next.txn_ops", 3, &v);
	s->txn_ops = v > 1000 ? 1000 : (int)v;
	ws_num(&r, "settings.cloud.rps", &s->cloud_rps, 0.01, true);
	ws_num(&r, "settings.cloud.list_lag_s", &s->list_lag_s, 0, true);
	/* at rest a small deployment takes a thousandth of a core and 2 MB; the block for messages,
	 * and one answer of the state service as long as it may be, come on top */
	ws_num(&r, "settings.machine_limits.core_share", &s->core_share, 0.002, true);
	ws_num(&r, "settings.machine_limits.ram_mb", &s->ram_mb, 8, true);
	v = 0;
	ws_num(&r, "settings.machine_limits.max_sockets", &v, 16, true);
	s->max_sockets = v > 1e6 ? 1000000 : (int)v;
	/* 14 to state service and cloud, 2 to listen on, and those of each peer's few lives */
	s->sockets = s->max_sockets - 16 - 9 * (int)s->npeers;
	if (r.ok && s->sockets < 16)
		ws_bad(&r, "settings.machine_limits.max_sockets",
		       "leaves no room for users and workers");
	if (r.ok && s->lease_s <= s->report_s)
		ws_bad(&r, "settings.workers.lease_s", "must be longer than report_s");
	ws_toml_close(r.t);
	return r.ok;
}

bool ws_config_policy(const char *path, struct ws_policy *p, char *err, size_t n)
{
	struct ws_reader r = {.file = path, .err = err, .n = n, .ok = true};
	static const char *const known[] = {
	    "delta",	       "rentals_max",	  "wait_max_s",
	    "latency_bound_s", "rental_ceiling",  "waiting_loads",
	    "empty_wait_s",    "sizing_period_s", "leader_ttl_ratio",
	    "silent_ratio",    "boot_patience"};
	const char *key;
	double v;

	r.t = ws_toml_open(path, err, n);
	if (!r.t)
		return false;
	for (size_t i = 0; (key = ws_toml_key(r.t, i)); i++) {
		bool ok = false;

		for (size_t k = 0; k < sizeof(known) / sizeof(known[0]); k++)
			ok |= !strcmp(known[k], key);
		if (!ok)
			ws_bad(&r, key, "is not a setting of waystep");
	}
	ws_num(&r, "delta", &p->delta, 1e-6, false);
	ws_num(&r, "rentals_max", &p->rentals_max, 1e-6, false);
	ws_num(&r, "wait_max_s", &p->wait_max_s, 1e-6, false);
	ws_num(&r, "latency_bound_s", &p->latency_bound_s, 1e-6, false);
	v = p->rental_ceiling;
	ws_num(&r, "rental_ceiling", &v, 0, false);
	p->rental_ceiling = v > 10000 ? 10000 : (int)v;
	v = p->waiting_loads;
	ws_num(&r, "waiting_loads", &v, 0, false);
	p->waiting_loads = v > 10000 ? 10000 : (int)v;
	ws_num(&r, "empty_wait_s", &p->empty_wait_s, 0, false);
	ws_num(&r, "sizing_period_s", &p->sizing_period_s, 1, false);
	ws_num(&r, "leader_ttl_ratio", &p->leader_ttl_ratio, 0.01, false);
	ws_num(&r, "silent_ratio", &p->silent_ratio, 0.1, false);
	ws_num(&r, "boot_patience", &p->boot_patience, 1, false);
	if (r.ok && p->leader_ttl_ratio > 0.5)
		ws_bad(&r, "leader_ttl_ratio", "must be at most 0.5");
	ws_toml_close(r.t);
	return r.ok;
}
