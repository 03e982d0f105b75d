/*
 * Interface between the simulator and the core of the version in production. Its structures belong
 * to neither version: production_adapter.c converts them from and to the production version's,
 * sim_production.c from and to this version's. Both are built from one source tree, so this
 * interface can change at any time.
 *
 * Arrays that are passed into the core are borrowed for the duration of the call. JSON values are
 * shared and reference-counted. Times are in seconds unless the name has another unit.
 */
#ifndef WS_TEST_PRODUCTION_ABI_H
#define WS_TEST_PRODUCTION_ABI_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PRODUCTION_NAME_SIZE 128
#define PRODUCTION_JOB_ID_SIZE 64
#define PRODUCTION_KEY_SIZE 201
#define PRODUCTION_ADDRESS_SIZE 64
#define PRODUCTION_OBJECTIVE_KIND_SIZE 32
#define PRODUCTION_PEERS_MAX 16
#define PRODUCTION_ZONES_MAX 32
#define PRODUCTION_TEAMS_MAX 256
#define PRODUCTION_OBJECTIVES_MAX 64
#define PRODUCTION_ALLOWED_MAX 16 /* allowed machine types of a job, zones of a machine type */

struct production_endpoint {
	char node[PRODUCTION_NAME_SIZE];
	char zone[PRODUCTION_NAME_SIZE];
	char address[PRODUCTION_ADDRESS_SIZE];
	int port;
};

struct production_team {
	char name[PRODUCTION_NAME_SIZE];
	double cpus, cpus_max, gpus, gpus_max;
};

struct production_objective {
	char kind[PRODUCTION_OBJECTIVE_KIND_SIZE];
	char job_class[PRODUCTION_NAME_SIZE];
	double within_s, share;
};

/* The platform's settings that the version in production supports. */
struct production_settings {
	char node[PRODUCTION_NAME_SIZE];
	char zone[PRODUCTION_NAME_SIZE];
	struct production_endpoint bind, peer_bind, cloud, store;
	struct production_endpoint peers[PRODUCTION_PEERS_MAX];
	size_t peer_count;
	char zones[PRODUCTION_ZONES_MAX][PRODUCTION_NAME_SIZE];
	size_t zone_count;
	struct production_team teams[PRODUCTION_TEAMS_MAX];
	size_t team_count;
	struct production_objective objectives[PRODUCTION_OBJECTIVES_MAX];
	size_t objective_count;
	double heartbeat_s, lease_s, cancel_s;
	double store_requests_per_s, store_writes_per_s, value_kb;
	int transaction_operations;
	double cloud_requests_per_s, list_lag_s;
	double cpu_share, ram_mb;
	int max_sockets, client_sockets;
};

/* The operators' policy. */
struct production_policy {
	double delta, scale_out_max, wait_max_s, latency_bound_s;
	int instance_ceiling, waiting_units_max;
	double idle_timeout_s, sizing_period_s, leader_ttl_ratio, unreachable_ratio,
	    boot_timeout_ratio;
};

enum production_priority {
	PRODUCTION_PRIORITY_BEST_EFFORT,
	PRODUCTION_PRIORITY_NORMAL,
	PRODUCTION_PRIORITY_URGENT,
	PRODUCTION_PRIORITY_PRODUCTION,
};

struct production_job_spec {
	char id[PRODUCTION_JOB_ID_SIZE];
	char job_class[PRODUCTION_NAME_SIZE];
	char team[PRODUCTION_NAME_SIZE];
	bool service, gang;
	enum production_priority priority;
	uint32_t tasks;
	double cpus, gpus, memory_gb;
	char image[PRODUCTION_NAME_SIZE];
	double image_gb;
	char types[PRODUCTION_ALLOWED_MAX][PRODUCTION_NAME_SIZE];
	size_t type_count;
	char zone[PRODUCTION_NAME_SIZE];
	bool one_zone, spread, allows_preemptible;
	double estimate_s, checkpoint_interval_s, checkpoint_duration_s, deadline_s;
};

struct production_machine_type {
	char name[PRODUCTION_NAME_SIZE];
	double cpus, gpus, memory_gb, local_gb, fetch_gb_s, price, preemptible_price, boot_s;
	char zones[PRODUCTION_ALLOWED_MAX][PRODUCTION_NAME_SIZE];
	size_t zone_count;
};

enum production_task_state {
	PRODUCTION_TASK_FETCHING,
	PRODUCTION_TASK_RUNNING,
	PRODUCTION_TASK_CHECKPOINTING,
	PRODUCTION_TASK_EXITED,
	PRODUCTION_TASK_WAITING, /* waits for the other tasks of its gang */
};

enum production_exit_reason {
	PRODUCTION_EXIT_NONE,
	PRODUCTION_EXIT_DONE,
	PRODUCTION_EXIT_STOPPED,
	PRODUCTION_EXIT_ERROR,
	PRODUCTION_EXIT_NO_CAPACITY,
	PRODUCTION_EXIT_ATTEMPT_EXISTS,
	PRODUCTION_EXIT_UNKNOWN_JOB,
	PRODUCTION_EXIT_MEMBER_LOST,
	PRODUCTION_EXIT_GANG_INCOMPLETE,
};

struct production_task_status {
	char job[PRODUCTION_JOB_ID_SIZE];
	uint32_t task;
	uint64_t attempt;
	enum production_task_state state;
	enum production_exit_reason exit_reason;
};

struct production_heartbeat {
	char machine[PRODUCTION_NAME_SIZE];
	char address[PRODUCTION_ADDRESS_SIZE];
	int port;
	char type[PRODUCTION_NAME_SIZE];
	char zone[PRODUCTION_NAME_SIZE];
	bool preemptible;
	uint64_t incarnation, sequence_number, fencing_token;
	double preemption_notice_s; /* seconds until the preemption; negative without a notice */
	struct production_task_status *tasks;
	size_t task_count;
};

enum production_command_kind {
	PRODUCTION_COMMAND_RUN,
	PRODUCTION_COMMAND_STOP,
	PRODUCTION_COMMAND_REAP,
};

struct production_command {
	enum production_command_kind kind;
	char job[PRODUCTION_JOB_ID_SIZE];
	uint32_t task;
	uint64_t attempt;
	double grace_s;
};

enum production_instance_phase {
	PRODUCTION_INSTANCE_STARTING,
	PRODUCTION_INSTANCE_RUNNING,
	PRODUCTION_INSTANCE_FAILED,
};

/* An instance in the cloud's list. */
struct production_instance {
	char name[PRODUCTION_NAME_SIZE];
	char address[PRODUCTION_ADDRESS_SIZE];
	int port;
	char type[PRODUCTION_NAME_SIZE];
	char zone[PRODUCTION_NAME_SIZE];
	bool preemptible;
	enum production_instance_phase phase;
	double age_s;
};

struct production_record {
	char key[PRODUCTION_KEY_SIZE];
	json_t *value; /* NULL if the key was deleted */
	uint64_t revision;
};

/* The outcome of a call. */
struct production_result {
	int status; /* HTTP status, or 0 if there was no answer, or -1 if it was never sent */
	uint64_t revision, session;
	struct production_record *records;
	size_t record_count;
	bool has_more;
	bool no_capacity;
	char (*failed_keys)[PRODUCTION_KEY_SIZE];
	size_t failed_key_count;
	struct production_machine_type *types;
	size_t type_count;
	struct production_instance *instances;
	size_t instance_count;
	struct production_heartbeat *heartbeat; /* a worker's answer to commands, or NULL */
};

enum production_call_kind {
	PRODUCTION_CALL_GET,
	PRODUCTION_CALL_LIST,
	PRODUCTION_CALL_TRANSACTION,
	PRODUCTION_CALL_WATCH,
	PRODUCTION_CALL_SESSION_OPEN,
	PRODUCTION_CALL_SESSION_RENEW,
	PRODUCTION_CALL_SESSION_CLOSE,
	PRODUCTION_CALL_MACHINE_TYPES,
	PRODUCTION_CALL_INSTANCES,
	PRODUCTION_CALL_SCALE_OUT,
	PRODUCTION_CALL_SCALE_IN,
	PRODUCTION_CALL_COMMANDS,
	PRODUCTION_CALL_OUTAGE_VOTE,
};

struct production_compare {
	char key[PRODUCTION_KEY_SIZE];
	uint64_t revision;
};

struct production_operation {
	char key[PRODUCTION_KEY_SIZE];
	json_t *value; /* borrowed from the core's call object; NULL deletes the key */
	uint64_t session;
};

/* A call that the core requests. Either complete() or free_call() must consume its call object. */
struct production_call {
	void *call_object; /* the core's representation of this call */
	enum production_call_kind kind;
	char key[PRODUCTION_KEY_SIZE];
	char after[PRODUCTION_KEY_SIZE];
	uint64_t since_revision;
	uint32_t duration_ms;
	uint64_t session;
	struct production_compare *compares;
	size_t compare_count;
	struct production_operation *operations;
	size_t operation_count;
	char type[PRODUCTION_NAME_SIZE], zone[PRODUCTION_NAME_SIZE];
	bool preemptible;
	uint32_t count;
	char (*names)[PRODUCTION_NAME_SIZE];
	size_t name_count;
	char address[PRODUCTION_ADDRESS_SIZE];
	int port;
	uint64_t fencing_token, incarnation;
	struct production_command *commands;
	size_t command_count;
	bool urgent, self_paced;
	double created_at;
};

enum production_effect_kind {
	PRODUCTION_EFFECT_CALL,
	PRODUCTION_EFFECT_ANSWER_USER,
	PRODUCTION_EFFECT_ANSWER_HEARTBEAT,
	PRODUCTION_EFFECT_FORWARD,
	PRODUCTION_EFFECT_ANSWER_OUTAGE_VOTE,
};

enum production_job_phase {
	PRODUCTION_JOB_QUEUED,
	PRODUCTION_JOB_RUNNING,
	PRODUCTION_JOB_DONE,
	PRODUCTION_JOB_CANCELLED,
};

struct production_effect {
	enum production_effect_kind kind;
	struct production_call *call; /* NULL unless the kind is PRODUCTION_EFFECT_CALL */
	uint64_t request_id;
	int status, retry_after_s;
	char name[PRODUCTION_NAME_SIZE];
	enum production_job_phase phase;
	uint32_t done, running;
	bool has_counts;
	bool redirect_failed;
	uint64_t fencing_token;
	struct production_command *commands;
	size_t command_count;
};

enum production_log_level { PRODUCTION_LOG_ERROR, PRODUCTION_LOG_INFO, PRODUCTION_LOG_DEBUG };
typedef void (*production_log_fn)(enum production_log_level level, const char *text);

struct production_core; /* defined by the adapter, opaque to the simulator */

/* The library's functions. `now` is the time on the node's clock, `wall` the wall-clock time. */
struct production_core_api {
	/* The caller frees the core with destroy(). All cores share one log function. */
	struct production_core *(*create)(const struct production_settings *settings,
					  const struct production_policy *policy,
					  production_log_fn log, double now, uint64_t nonce);
	/* Calls that next_effect() returned outlive the core: each must still be freed. */
	void (*destroy)(struct production_core *core);
	void (*tick)(struct production_core *core, double now);
	/*
	 * Returns NULL if no effect is pending. The caller frees the effect with free_effect() and
	 * owns the call object of its call.
	 */
	struct production_effect *(*next_effect)(struct production_core *core);
	/* Takes ownership of the call object and frees it. */
	void (*complete)(struct production_core *core, double now, void *call_object,
			 const struct production_result *result);
	void (*resign)(struct production_core *core, double now);
	bool (*is_ready)(const struct production_core *core);
	bool (*is_leader)(const struct production_core *core);
	void (*submit)(struct production_core *core, double now, double wall, uint64_t request_id,
		       const struct production_job_spec *spec, bool forwarded);
	void (*query_status)(struct production_core *core, double now, uint64_t request_id,
			     const char *job, bool forwarded);
	void (*cancel)(struct production_core *core, double now, uint64_t request_id,
		       const char *job, bool forwarded);
	void (*heartbeat)(struct production_core *core, double now, uint64_t request_id,
			  const struct production_heartbeat *heartbeat, bool forwarded);
	void (*outage_vote)(struct production_core *core, double now, uint64_t request_id);
	/* Frees the effect and its call, but not the call's call object. */
	void (*free_effect)(struct production_effect *effect);
	/* Frees a call object that will not be completed. */
	void (*free_call)(void *call_object);
};

/* The only symbol that the library exports. */
#define PRODUCTION_CORE_API_SYMBOL "production_core_api"
typedef const struct production_core_api *(*production_core_api_fn)(void);

/* Copies a text into an array of `size` bytes. Aborts if it does not fit. */
static inline void production_copy_text(char *target, size_t size, const char *from)
{
	size_t length = strlen(from);

	if (length >= size) {
		fprintf(stderr, "production core: text of %zu bytes exceeds a field of %zu bytes\n",
			length, size);
		abort();
	}
	memcpy(target, from, length + 1);
}
#define PRODUCTION_COPY_TEXT(target, from) production_copy_text(target, sizeof(target), from)

/* Returns a zeroed array, which the caller frees. Aborts if memory is exhausted. */
static inline void *production_allocate(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

/* Returns the table's entry for an enumerator. Aborts if the table has none. */
static inline int production_enumerator(const int *table, size_t count, int value)
{
	if (value < 0 || (size_t)value >= count) {
		fprintf(stderr, "production core: no counterpart of enumerator %d\n", value);
		abort();
	}
	return table[value];
}
#define PRODUCTION_ENUMERATOR(table, value)                                                        \
	production_enumerator(table, sizeof(table) / sizeof((table)[0]), (int)(value))
#endif
