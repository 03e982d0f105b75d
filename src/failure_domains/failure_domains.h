/*
 * Failure domains: detects that a zone or a declared group of networks has become unreachable,
 * plans the evacuation of its work, and returns it to use gradually once it has recovered. The
 * unreachable state is called "dark" in records, settings and log lines. See docs/zones.md.
 *
 * Ownership: the object owns its domains, its machine handles, the evacuation plan and its records
 * under "zones/". It never starts or stops work itself: it implements the core's hooks and sends
 * requests to the core (core/extension/hooks.h).
 * Units: fields and variables ending in _s are in seconds; times are on the core's clock; *_LEASES
 * and *_HEARTBEATS constants are multiples of the lease duration and of the heartbeat interval.
 * Errors: ws_domains_new() rejects invalid settings; the process aborts if memory is exhausted. A
 * record of a later format suspends the subsystem for the rest of the leader's term.
 * Threading: all functions are called from the thread of the core, never concurrently.
 */
#ifndef WS_DOMAINS_H
#define WS_DOMAINS_H
#include "../core/extension/hooks.h"
#include "../subsystem_support/subsystem_log.h"

#define WS_DOMAINS_NAME_MAX 128
#define WS_DOMAINS_NETWORK_MAX 64

/* A domain declared in the settings. Its members are the machines of these IP networks. */
struct ws_declared_domain {
	char name[WS_DOMAINS_NAME_MAX];
	char (*networks)[WS_DOMAINS_NETWORK_MAX];
	size_t network_count;
};

/* Settings of the subsystem. A negative duration selects the default, a multiple of the lease. */
struct ws_domains_settings {
	double unreachable_share; /* share of a domain's machines that must be lost together */
	double hold_down_s;	  /* time without loss before use, after a first loss */
	double ramp_s; /* its machines return to use over this time after the hold-down */
	double penalty_half_life_s; /* of the flap penalty */
	double penalty_max;
	char (*class_order)[WS_DOMAINS_NAME_MAX]; /* job classes that are evacuated first */
	size_t class_count;
	struct ws_declared_domain *declared;
	size_t declared_count;
};

enum ws_domains_error_code {
	WS_DOMAINS_OK,
	WS_DOMAINS_INVALID_NETWORK,   /* not a network in CIDR notation */
	WS_DOMAINS_HOST_BITS_SET,     /* an address within a network, not the network */
	WS_DOMAINS_DUPLICATE_NETWORK, /* declared more than once */
	WS_DOMAINS_DUPLICATE_NAME,    /* the name of another domain or of a zone */
	WS_DOMAINS_INVALID_NAME,      /* empty, or with characters not allowed in keys */
};

/* Why settings were rejected, with the domain and network concerned, which are empty if none is. */
struct ws_domains_error {
	enum ws_domains_error_code code;
	char domain[WS_DOMAINS_NAME_MAX];
	char network[WS_DOMAINS_NETWORK_MAX];
};

/* The failure domains subsystem of one controller. */
struct ws_failure_domains;

/* Sets all settings to their defaults. */
void ws_domains_settings_defaults(struct ws_domains_settings *settings);
/* Frees the arrays of the settings. */
void ws_domains_settings_free(struct ws_domains_settings *settings);
/* Returns a description of the error for operators, to follow the name of the domain or network. */
const char *ws_domains_error_text(enum ws_domains_error_code code);

/*
 * Creates the subsystem. Settings and limits are copied. `log` may be NULL. Returns NULL and fills
 * in `error` if the settings are invalid. The caller frees the object with ws_domains_free(),
 * unless a core has taken it over.
 */
struct ws_failure_domains *ws_domains_new(const struct ws_domains_settings *settings,
					  const struct ws_cluster_limits *limits,
					  ws_subsystem_log_fn log, struct ws_domains_error *error);
/* Frees the object, which may be NULL. */
void ws_domains_free(struct ws_failure_domains *domains);

/*
 * Returns the number of operations on single machines so far, by which tests bound the work done.
 */
uint64_t ws_domains_machine_operations(const struct ws_failure_domains *domains);

/* The hooks to pass to ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_domains_ops;
#endif
