/* The waystep cluster scheduler: command line, settings and event loop of one controller. */
#include "cold_start_command.h"
#include "config.h"
#include "failure_domains_command.h"
#include "io/pool.h"
#include "io/server.h"
#include "log.h"
#include "startup_error.h"
#include "subsystem_settings.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#ifndef WS_VERSION
#define WS_VERSION "0"
#endif

const char *argp_program_version = "waystep " WS_VERSION;

#define EXIT_START_FAILED 1
#define EXIT_USAGE 2 /* the command line or the settings are invalid */

#define ERROR_LINE_MAX 512

/* On a stop signal the process runs on for this time, to send the resignation to the store. */
#define RESIGN_GRACE_S 0.2
/* Descriptors that are not sockets: those of the event loop and the log. */
#define OTHER_DESCRIPTORS 16

struct ws_args {
	const char *config, *policy, *subsystems;
	/* commands that run instead of the controller: */
	bool check;
	bool cold_start;
	struct ws_failure_domains_command domains_command;
};

/* Options without a short form. */
enum { OPTION_DOMAINS = 256, OPTION_HOLD, OPTION_RELEASE, OPTION_COLD_START };

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "The platform's settings (TOML); required", 0},
    {"policy", 'p', "FILE", 0, "The operator's policy settings (TOML)", 0},
    {"subsystems", 's', "FILE", 0, "Which subsystems are enabled, and their settings (TOML)", 0},
    {"check", 'k', NULL, 0, "Check the settings and exit", 0},
    {"domains", OPTION_DOMAINS, NULL, 0, "Show the stored failure domains and exit", 0},
    {"hold-domain", OPTION_HOLD, "NAME", 0, "Hold a domain: neither evacuate it nor let it return",
     0},
    {"release-domain", OPTION_RELEASE, "NAME", 0, "Release the hold on a domain", 0},
    {"cold-start", OPTION_COLD_START, NULL, 0,
     "Show the stored report of the last cold start and exit", 0},
    {0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct ws_args *args = state->input;

	switch (key) {
	case 'c': args->config = arg; return 0;
	case 'p': args->policy = arg; return 0;
	case 's': args->subsystems = arg; return 0;
	case 'k': args->check = true; return 0;
	case OPTION_DOMAINS:
		args->domains_command =
		    (struct ws_failure_domains_command){WS_FAILURE_DOMAINS_SHOW, NULL};
		return 0;
	case OPTION_HOLD:
		args->domains_command =
		    (struct ws_failure_domains_command){WS_FAILURE_DOMAINS_HOLD, arg};
		return 0;
	case OPTION_RELEASE:
		args->domains_command =
		    (struct ws_failure_domains_command){WS_FAILURE_DOMAINS_RELEASE, arg};
		return 0;
	case OPTION_COLD_START: args->cold_start = true; return 0;
	case ARGP_KEY_ARG: argp_error(state, "unexpected argument: %s", arg); return 0;
	case ARGP_KEY_END:
		if (!args->config)
			argp_error(state, "--config FILE is required");
		return 0;
	default: return ARGP_ERR_UNKNOWN;
	}
}

static void on_stop_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Resigns leadership and stops RESIGN_GRACE_S later. A second signal stops at once. */
static void on_stop_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	static ev_timer timer;
	struct ws_service *service = watcher->data;

	(void)events;
	if (ev_is_active(&timer)) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	ws_service_resign(service);
	ev_timer_init(&timer, on_stop_timer, RESIGN_GRACE_S, 0);
	ev_timer_start(loop, &timer);
}

/* Raises the limit to what the sockets, the event loop and the log need, as far as permitted. */
static void raise_descriptor_limit(int sockets)
{
	struct rlimit limit;
	rlim_t required = (rlim_t)sockets + OTHER_DESCRIPTORS;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur >= required)
		return;
	limit.rlim_cur = limit.rlim_max < required ? limit.rlim_max : required;
	if (setrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur < required)
		ws_logf(WS_LOG_ERROR,
			"descriptor limit is below max_sockets max_sockets=%d descriptors=%llu",
			sockets, (unsigned long long)limit.rlim_cur);
}

static void print_error(const struct ws_startup_error *error)
{
	char line[ERROR_LINE_MAX];

	ws_startup_error_format(error, line, sizeof(line));
	fprintf(stderr, "waystep: %s\n", line);
}

/* Reads and checks all settings files. Returns false with the first error. */
static bool read_settings(const struct ws_args *args, struct ws_settings *settings,
			  struct ws_policy *policy, struct ws_subsystem_settings *subsystems,
			  struct ws_startup_error *error)
{
	ws_policy_defaults(policy);
	ws_subsystem_settings_defaults(subsystems);
	if (!ws_config_read_settings(args->config, settings, error))
		return false;
	if (args->policy && !ws_config_read_policy(args->policy, policy, error))
		return false;
	return !args->subsystems ||
	       (ws_subsystem_settings_read(args->subsystems, subsystems, error) &&
		ws_subsystem_attach(NULL, subsystems, settings, error));
}

static void print_check_result(const char *file, const struct ws_settings *settings,
			       const struct ws_policy *policy,
			       const struct ws_subsystem_settings *subsystems)
{
	printf("%s: valid: node %s, %zu peers, %zu teams\n", file, settings->node,
	       settings->peer_count, settings->team_count);
	if (subsystems->failure_domains_enabled)
		printf("subsystem zones is on, %zu domains besides the zones\n",
		       subsystems->failure_domains.declared_count);
	if (subsystems->cold_start_enabled)
		printf("subsystem coldstart is on\n");
	if (ws_core_replica_age_limit_is_short(settings, policy))
		printf(
		    "%s: settings.workers.cancel_s is short for lease_s: in outages of the store, "
		    "heartbeats are answered for at most %.3g s\n",
		    file,
		    ws_core_replica_age_limit(settings) > 0 ? ws_core_replica_age_limit(settings)
							    : 0);
}

/* Runs as a controller until a stop signal. Returns the exit status. */
static int run_controller(const struct ws_settings *settings, const struct ws_policy *policy,
			  const struct ws_subsystem_settings *subsystems)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct ws_service *service;
	ev_signal sigterm, sigint;
	struct ws_startup_error error = {0};

	if (!loop) {
		fprintf(stderr, "waystep: can't create the event loop\n");
		return EXIT_START_FAILED;
	}
	service = ws_service_new(loop, settings, policy, subsystems, &error);
	if (!service) {
		print_error(&error);
		return EXIT_START_FAILED;
	}
	ws_logf(WS_LOG_INFO, "started version=%s address=%s:%d peers=%zu", WS_VERSION,
		settings->bind.host, settings->bind.port, settings->peer_count);
	ws_logf(WS_LOG_INFO,
		"store limits value_kb=%g transaction_operations=%d writes_per_second=%g",
		settings->value_kb, settings->transaction_ops, settings->store_write_rps);
	ws_logf(WS_LOG_INFO, "subsystems zones=%s coldstart=%s",
		subsystems->failure_domains_enabled ? "on" : "off",
		subsystems->cold_start_enabled ? "on" : "off");
	ev_signal_init(&sigterm, on_stop_signal, SIGTERM);
	sigterm.data = service;
	ev_signal_start(loop, &sigterm);
	ev_signal_init(&sigint, on_stop_signal, SIGINT);
	sigint.data = service;
	ev_signal_start(loop, &sigint);
	ev_run(loop, 0);
	ws_logf(WS_LOG_INFO, "stopping");
	ws_service_free(service);
	ev_loop_destroy(loop);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
	    options,
	    parse_option,
	    NULL,
	    "waystep -- one controller of a cluster: accepts jobs, rents machines, places tasks\v"
	    "LOG_LEVEL (error, info, debug) sets the level of the log on standard error.",
	    NULL,
	    NULL,
	    NULL};
	static struct ws_settings settings;
	static struct ws_policy policy;
	static struct ws_subsystem_settings subsystems;
	struct ws_args args = {0};
	struct ws_startup_error error = {0};
	int status = 0;

	ws_pool_setup();
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!read_settings(&args, &settings, &policy, &subsystems, &error)) {
		print_error(&error);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (args.check) {
		print_check_result(args.config, &settings, &policy, &subsystems);
	} else if (args.cold_start) {
		status = ws_cold_start_command_run(&settings);
	} else if (args.domains_command.kind != WS_FAILURE_DOMAINS_NONE) {
		status =
		    ws_failure_domains_command_run(&args.domains_command, &settings, &subsystems);
	} else {
		ws_log_init(settings.node, getenv("LOG_LEVEL"));
		raise_descriptor_limit(settings.max_sockets);
		status = run_controller(&settings, &policy, &subsystems);
	}
	ws_subsystem_settings_free(&subsystems);
	return status;
}
