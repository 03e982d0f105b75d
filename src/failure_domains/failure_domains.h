/*
 * Failure domains: detects that a zone, or a declared group of networks, went dark; prepares the
 * moves of its work and its return. See docs/zones.md.
 */
#ifndef WS_DOMAINS_H
#define WS_DOMAINS_H
#include "../core/extension/hooks.h"

#define WS_DOMAINS_NAME_MAX 128
#define WS_DOMAINS_NETWORK_MAX 64

/* A domain besides the zones: machines by their IP networks. */
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

struct ws_domains_error {
	enum ws_domains_error_code code;
	char domain[WS_DOMAINS_NAME_MAX];
	char network[WS_DOMAINS_NETWORK_MAX];
};

struct ws_failure_domains;
typedef void (*ws_domains_log_fn)(const char *text);

void ws_domains_defaults(struct ws_domains_settings *settings);
void ws_domains_settings_free(struct ws_domains_settings *settings);
/* What is wrong, in words. */
const char *ws_domains_error_text(enum ws_domains_error_code code);

/* Settings and limits are copied. NULL with `error` filled in if the settings are wrong. */
struct ws_failure_domains *ws_domains_new(const struct ws_domains_settings *settings,
					  const struct ws_cluster_limits *limits,
					  ws_domains_log_fn log, struct ws_domains_error *error);
void ws_domains_free(struct ws_failure_domains *domains);

/* Steps of work on single machines so far: for tests that hold it to what changed. */
uint64_t ws_domains_steps(const struct ws_failure_domains *domains);

/* For ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_domains_ops;
#endif
