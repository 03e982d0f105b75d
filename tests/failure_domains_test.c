/*
 * Unit tests of failure domains: the message about an invalid setting names it, an address belongs
 * to the declared domain with the longest matching prefix (IPv4 and IPv6), and a zone that only
 * a record names keeps its recorded state.
 */
#include "../src/subsystem_settings.h"
#include "../src/failure_domains/domains.h"
#include "../src/failure_domains/state.h"
#include "check.h"
#include "subsystem_text.h"

static const struct ws_settings platform = {
    .zone = "a", .zones = {"a", "b"}, .zone_count = 2, .heartbeat_s = 2, .lease_s = 16};

struct refusal {
	const char *text, *expected; /* the setting or value that the message must name */
};

static const struct refusal refusals[] = {
    {"[zone]\nenabled = true\n", "zone"},
    {"zones = 1\n", "zones"},
    {"[zones]\n", "zones.enabled"},
    {"[zones]\nenabled = 1\n", "zones.enabled"},
    {"[zones]\nenabled = true\nspeed = 2\n", "zones.speed"},
    {"[zones]\nenabled = true\ndark_share = 0.2\n", "zones.dark_share"},
    {"[zones]\nenabled = true\ndark_share = 1.5\n", "zones.dark_share"},
    {"[zones]\nenabled = true\nstable_s = -1\n", "zones.stable_s"},
    {"[zones]\nenabled = true\nhalf_life_s = 0\n", "zones.half_life_s"},
    {"[zones]\nenabled = true\npenalty_max = 17\n", "zones.penalty_max"},
    {"[zones]\nenabled = true\nclass_order = [1]\n", "zones.class_order[0]"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\n", "zones.domains[0].networks"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nnetworks = []\n", "zones.domains[0].name"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = []\nx = 1\n",
     "zones.domains[0].x"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = ['10.0.0.0/33']\n",
     "r: 10.0.0.0/33"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = ['ten']\n", "r: ten"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = ['10.0.0.1/8']\n",
     "10.0.0.1/8"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = ['fd00::1/64']\n",
     "fd00::1/64"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r'\nnetworks = ['10.0.0.0/8']\n"
     "[[zones.domains]]\nname = 's'\nnetworks = ['10.0.0.0/8']\n",
     "s: 10.0.0.0/8"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'a'\nnetworks = []\n", "a"},
    {"[zones]\nenabled = true\n[[zones.domains]]\nname = 'r s'\nnetworks = []\n", "r s"},
    {"[zones]\nenabled = false\n[[zones.domains]]\nname = 'r'\nnetworks = ['ten']\n", "r: ten"},
};

static void check_refusals(void)
{
	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		struct ws_subsystem_settings settings;
		char error[512], what[128];
		bool ok = read_subsystem_text(refusals[i].text, &settings, error, sizeof(error)) &&
			  check_subsystem_settings(&settings, &platform, error, sizeof(error));

		snprintf(what, sizeof(what),
			 "invalid settings are refused, and the message names %s",
			 refusals[i].expected);
		check(what, !ok && strstr(error, refusals[i].expected));
		ws_subsystem_settings_free(&settings);
	}
}

static const char declared[] =
    "[zones]\nenabled = true\nstable_s = 3.0\nclass_order = ['x', 'y']\n"
    "[[zones.domains]]\nname = 'row'\nnetworks = ['10.1.0.0/16', 'fd00:1::/32']\n"
    "[[zones.domains]]\nname = 'rack'\nnetworks = ['10.1.2.0/23', 'fd00:1:0:5::/64']\n"
    "[[zones.domains]]\nname = 'host'\nnetworks = ['10.1.2.9/32']\n"
    "[[zones.domains]]\nname = 'rest'\nnetworks = ['0.0.0.0/0']\n";

static size_t invalid_address_count;
static void log_text(const char *text)
{
	invalid_address_count +=
	    strstr(text, "invalid address, no declared domain assigned machine=m ") != NULL;
}

struct lookup {
	const char *address, *domain; /* NULL: no declared domain */
};

static const struct lookup lookups[] = {
    {"10.1.0.1", "row"},
    {"10.1.2.0", "rack"},
    {"10.1.3.255", "rack"},
    {"10.1.4.0", "row"},
    {"10.1.2.9", "host"},
    {"10.2.0.1", "rest"},
    {"::ffff:10.1.2.9", "host"},
    {"fd00:1:0:5::77", "rack"},
    {"fd00:1:0:6::77", "row"},
    {"fd00:2::1", NULL},
    {"ten", NULL},
    {"10.1.2.0/24", NULL},
};

static void check_lookups(void)
{
	struct ws_subsystem_settings settings;
	struct ws_cluster_limits limits = {.heartbeat_s = 2, .lease_s = 16, .node_zone = "a"};
	struct ws_domains_error domains_error;
	struct ws_failure_domains *domains;
	char error[512];

	check("declared domains are read",
	      read_subsystem_text(declared, &settings, error, sizeof(error)) &&
		  settings.failure_domains_enabled &&
		  settings.failure_domains.declared_count == 4 &&
		  settings.failure_domains.class_count == 2);
	domains = ws_domains_new(&settings.failure_domains, &limits, log_text, &domains_error);
	check("declared domains are accepted", domains != NULL);
	for (size_t i = 0; domains && i < sizeof(lookups) / sizeof(lookups[0]); i++) {
		const struct ws_machine_info info = {
		    .name = "m", .address = lookups[i].address, .zone = "z"};
		struct ws_domains_machine machine = {0};
		const struct ws_failure_domain *got;
		char what[128];

		ws_domains_add_machine(domains, &machine, &info);
		got = machine.memberships[1].domain;
		snprintf(what, sizeof(what), "%s is in %s", lookups[i].address,
			 lookups[i].domain ? lookups[i].domain : "no declared domain");
		check(what, machine.memberships[0].domain &&
				(lookups[i].domain ? got && !strcmp(got->name, lookups[i].domain)
						   : !got));
		ws_domains_remove_machine(&machine);
	}
	check("two invalid addresses were logged", invalid_address_count == 2);
	ws_domains_free(domains);
	ws_subsystem_settings_free(&settings);
}

/* The state that a leader recorded for a zone is restored even if the settings don't list it. */
static void check_unlisted_zone(void)
{
	struct ws_domains_settings settings;
	struct ws_cluster_limits limits = {.heartbeat_s = 2, .lease_s = 16, .node_zone = "a"};
	struct ws_domains_error domains_error;
	struct ws_failure_domains *domains;
	const struct ws_failure_domain *domain;
	json_t *record = json_pack("{s:i,s:s,s:f}", "v", 1, "state", "dark", "penalty", 2.0);

	ws_domains_settings_defaults(&settings);
	domains = ws_domains_new(&settings, &limits, log_text, &domains_error);
	ws_domains_ops.elected(domains, &(struct ws_election_info){.now = 10});
	ws_domains_ops.record_loaded(domains, "domain/far", record);
	ws_domains_ops.records_loaded(domains, 10);
	domain = ws_failure_domain_find(domains, "far");
	check("a recorded state of an unlisted zone is restored",
	      domain && domain->state == WS_DOMAINS_UNREACHABLE && domain->penalty == 2);
	check("an unreachable zone without settings is avoided",
	      ws_domains_ops.zone_avoided(domains, 11, "far"));
	check("a zone without a record is not avoided",
	      !ws_domains_ops.zone_avoided(domains, 11, "near"));
	json_decref(record);
	ws_domains_free(domains);
}

int main(void)
{
	struct ws_subsystem_settings settings;
	char error[512];

	check("an empty file enables nothing",
	      read_subsystem_text("", &settings, error, sizeof(error)) &&
		  !settings.failure_domains_enabled);
	check("a missing file is refused, and the message names it",
	      !read_subsystem_file("/nowhere.toml", &settings, error, sizeof(error)) &&
		  strstr(error, "/nowhere.toml"));
	check_refusals();
	check_lookups();
	check_unlisted_zone();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
