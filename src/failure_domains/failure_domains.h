/*
 * Failure domains: detects that a zone, or a declared group of networks, went dark; plans the
 * evacuation of its work, and brings it back into use step by step. See docs/zones.md.
 *
 * Ownership: the object owns its domains, its handles of the machines, the evacuation plan, and its
 * records under "zones/". It never starts or stops work itself: it answers the core's hooks and
 * asks by requests (core/extension/hooks.h).
 * Units: fields and variables ending in _s are seconds; times are on the core's clock; *_LEASES and
 * *_HEARTBEATS constants are multiples of the lease and of the heartbeat interval.
 * Errors: wrong settings are refused by ws_domains_new(); the process ends if memory is exhausted.
 * Records of a later format suspend the subsystem for the term.
 * Threading: all functions are called from the thread of the core, never concurrently.
 */
#ifndef WS_DOMAINS_H
#define WS_DOMAINS_H
#include "../core/extension/hooks.h"
#include "../subsystem_support/subsystem_log.h"

#define WS_DOMAINS_NAME_MAX 128
#define WS_DOMAINS_NETWORK_MAX 64

/* A domain that the settings declare: the machines of some IP networks. */
struct ws_domains_declared {
	char name[WS_DOMAINS_NAME_MAX];
	char (*networks)[WS_DOMAINS_NETWORK_MAX];
	size_t network_count;
};

/* Times below 0 are derived from the platform's settings. */
struct ws_domains_settings {
	double dark_share;  /* of a domain's machines that must stop together */
	double stable_s;    /* hold-down of a first loss */
	double ramp_s;	    /* then its machines come back over this time */
	double half_life_s; /* of the penalty for flaps */
	double penalty_max;
	char (*class_order)[WS_DOMAINS_NAME_MAX]; /* job classes that move first */
	size_t class_count;
	struct ws_domains_declared *declared;
	size_t declared_count;
};

enum ws_domains_error_code {
	WS_DOMAINS_OK,
	WS_DOMAINS_BAD_NETWORK,	  /* can't be read */
	WS_DOMAINS_HOST_BITS,	  /* an address of a network, not the network */
	WS_DOMAINS_NETWORK_TWICE, /* declared by two domains */
	WS_DOMAINS_NAME_TWICE,	  /* two domains, or a domain and a zone, of one name */
	WS_DOMAINS_BAD_NAME,	  /* empty, or with characters that keys can't have */
};

/* Why settings were refused, and the domain and network concerned; empty if there is none. */
struct ws_domains_error {
	enum ws_domains_error_code code;
	char domain[WS_DOMAINS_NAME_MAX];
	char network[WS_DOMAINS_NETWORK_MAX];
};

/* The state of the subsystem on one controller. */
struct ws_failure_domains;

/* Fills in the settings that apply where the file has none. */
void ws_domains_defaults(struct ws_domains_settings *settings);
/* Releases the arrays of the settings. */
void ws_domains_settings_free(struct ws_domains_settings *settings);
/* A description of the error for operators. */
const char *ws_domains_error_text(enum ws_domains_error_code code);

/*
 * Settings and limits are copied. `log` may be NULL. Returns NULL with `error` filled in if the
 * settings are wrong; else the object is released with ws_domains_free().
 */
struct ws_failure_domains *ws_domains_new(const struct ws_domains_settings *settings,
					  const struct ws_cluster_limits *limits,
					  ws_subsystem_log_fn log, struct ws_domains_error *error);
/* Releases the object; NULL is allowed. */
void ws_domains_free(struct ws_failure_domains *domains);

/* Operations on single machines so far, for tests of the amount of work. */
uint64_t ws_domains_steps(const struct ws_failure_domains *domains);

/* For ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_domains_ops;
#endif
