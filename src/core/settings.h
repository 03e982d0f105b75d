/* What the platform's settings file and the operator's policy file say. */
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
	struct ws_endpoint bind, peer_bind, cloud, state;
	struct ws_endpoint peers[WS_MAX_PEERS];
	size_t peer_count;
	char zones[WS_MAX_ZONES][WS_NAME_MAX];
	size_t zone_count;
	struct ws_team_setting teams[WS_MAX_TEAMS];
	size_t team_count;
	struct ws_objective objectives[WS_MAX_OBJECTIVES];
	size_t objective_count;
	double report_s, lease_s, cancel_s;
	double state_rps, state_write_rps, value_kb;
	int txn_ops;
	double cloud_rps, list_lag_s;
	double core_share, ram_mb;
	int max_sockets;
	int sockets;	    /* of these, what the store, the cloud and the peers leave */
	double gang_wait_s; /* a gang's task waits so long for the others */
	double gang_peer_s; /* and notices within this that another is gone */
};

/* Operators' own settings. A value below 0 means "derive it from the platform's settings". */
struct ws_policy {
	double delta;		 /* Algorithm 1 stops at S'/W'q >= delta */
	double rentals_max;	 /* the paper's S over bar */
	double wait_max_s;	 /* the paper's Wq over bar */
	double latency_bound_s;	 /* the paper's W'q: k rises on while Wq is above it */
	int rental_ceiling;	 /* never more rented machines than this */
	int waiting_loads;	 /* demand units allowed to wait: the last term of K */
	double empty_wait_s;	 /* an empty rented machine is returned after this */
	double sizing_period_s;	 /* Algorithm 1 is run this often */
	double leader_ttl_ratio; /* of lease_s */
	double silent_ratio;	 /* of lease_s: a rented machine silent for longer is returned */
	double boot_patience;	 /* times the type's boot time before a boot counts as failed */
};

/* The policy of operators who set nothing. */
void ws_policy_defaults(struct ws_policy *policy);
#endif
