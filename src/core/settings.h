/* Values of the platform's settings file and of the operator's policy file. */
#ifndef WS_SETTINGS_H
#define WS_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WS_NAME_MAX 128
#define WS_MAX_PEERS 16
#define WS_MAX_ZONES 32
#define WS_MAX_TEAMS 256
#define WS_MAX_OBJECTIVES 64

struct ws_endpoint {
	char node[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	char host[64];
	int port;
};

struct ws_team_setting {
	char name[WS_NAME_MAX];
	double cpus, cpus_max, gpus, gpus_max;
};

struct ws_objective {
	char kind[32];
	char job_class[WS_NAME_MAX];
	double within_s, share;
};

struct ws_settings {
	char node[WS_NAME_MAX];
	char zone[WS_NAME_MAX];
	struct ws_endpoint bind, peer_bind, cloud, store;
	struct ws_endpoint peers[WS_MAX_PEERS];
	size_t peer_count;
	char zones[WS_MAX_ZONES][WS_NAME_MAX];
	size_t zone_count;
	struct ws_team_setting teams[WS_MAX_TEAMS];
	size_t team_count;
	struct ws_objective objectives[WS_MAX_OBJECTIVES];
	size_t objective_count;
	double heartbeat_s, lease_s, cancel_s;
	double store_rps, store_write_rps, value_kb;
	int transaction_ops;
	double cloud_rps, list_lag_s;
	double cpu_share, ram_mb;
	int max_sockets;
	int client_sockets; /* max_sockets less those for the store, the cloud and peers */
	double gang_wait_s; /* time that a task of a gang waits for the other tasks */
	double gang_peer_s; /* a task of a gang detects the loss of another within this time */
};

/* Settings of the operator. Values below 0 are derived from the platform's settings. */
struct ws_policy {
	double delta;	    /* Algorithm 1 stops at S'/W'q >= delta */
	double rentals_max; /* S-bar of the paper: divisor of the mean number of rented machines */
	double wait_max_s;  /* Wq-bar of the paper: divisor of the mean wait */
	double latency_bound_s;	 /* W'q of the paper: k is increased while Wq exceeds it */
	int rental_ceiling;	 /* maximum number of rented machines */
	int waiting_units_max;	 /* maximum of waiting demand units: the last term of K */
	double idle_timeout_s;	 /* a rented machine without tasks is returned after this time */
	double sizing_period_s;	 /* interval between runs of Algorithm 1 */
	double leader_ttl_ratio; /* the leader's session TTL, as a share of lease_s */
	/* a rented machine without contact for longer than this share of lease_s is returned */
	double unreachable_ratio;
	double boot_timeout_ratio; /* a boot fails after this multiple of the type's boot time */
};

/* Sets all values of a policy to their defaults. */
void ws_policy_defaults(struct ws_policy *policy);
#endif
