/*
 * Simulated nodes that run the version in production. Its core is built from the repository's
 * history as a library with production_adapter.c, and is used through production_abi.h. Its calls
 * are converted to calls of this version, whose context is the core's own call object; completing
 * the call returns that object to the core.
 */
#include "sim_production.h"
#include "../src/io/http_status.h"

#ifdef WS_PRODUCTION_CORE
#include <dlfcn.h>

/* ---- enumerators ---- */

static const int priorities[] = {
    [WS_PRIORITY_BEST_EFFORT] = PRODUCTION_PRIORITY_BEST_EFFORT,
    [WS_PRIORITY_NORMAL] = PRODUCTION_PRIORITY_NORMAL,
    [WS_PRIORITY_URGENT] = PRODUCTION_PRIORITY_URGENT,
    [WS_PRIORITY_PRODUCTION] = PRODUCTION_PRIORITY_PRODUCTION,
};

static const int task_states[] = {
    [WS_TASK_FETCHING] = PRODUCTION_TASK_FETCHING,
    [WS_TASK_RUNNING] = PRODUCTION_TASK_RUNNING,
    [WS_TASK_CHECKPOINTING] = PRODUCTION_TASK_CHECKPOINTING,
    [WS_TASK_EXITED] = PRODUCTION_TASK_EXITED,
    [WS_TASK_WAITING] = PRODUCTION_TASK_WAITING,
};

static const int exit_reasons[] = {
    [WS_EXIT_NONE] = PRODUCTION_EXIT_NONE,
    [WS_EXIT_DONE] = PRODUCTION_EXIT_DONE,
    [WS_EXIT_STOPPED] = PRODUCTION_EXIT_STOPPED,
    [WS_EXIT_ERROR] = PRODUCTION_EXIT_ERROR,
    [WS_EXIT_NO_CAPACITY] = PRODUCTION_EXIT_NO_CAPACITY,
    [WS_EXIT_ATTEMPT_EXISTS] = PRODUCTION_EXIT_ATTEMPT_EXISTS,
    [WS_EXIT_UNKNOWN_JOB] = PRODUCTION_EXIT_UNKNOWN_JOB,
    [WS_EXIT_MEMBER_LOST] = PRODUCTION_EXIT_MEMBER_LOST,
    [WS_EXIT_GANG_INCOMPLETE] = PRODUCTION_EXIT_GANG_INCOMPLETE,
};

static const int instance_phases[] = {
    [WS_INSTANCE_STARTING] = PRODUCTION_INSTANCE_STARTING,
    [WS_INSTANCE_RUNNING] = PRODUCTION_INSTANCE_RUNNING,
    [WS_INSTANCE_FAILED] = PRODUCTION_INSTANCE_FAILED,
};

static const int log_levels[] = {
    [PRODUCTION_LOG_ERROR] = WS_LOG_ERROR,
    [PRODUCTION_LOG_INFO] = WS_LOG_INFO,
    [PRODUCTION_LOG_DEBUG] = WS_LOG_DEBUG,
};

/* ---- conversion of the core's input ---- */

static void convert_endpoint(struct production_endpoint *target, const struct ws_endpoint *from)
{
	PRODUCTION_COPY_TEXT(target->node, from->node);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	PRODUCTION_COPY_TEXT(target->address, from->host);
	target->port = from->port;
}

static void convert_team(struct production_team *target, const struct ws_team_setting *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	target->cpus = from->cpus;
	target->cpus_max = from->cpus_max;
	target->gpus = from->gpus;
	target->gpus_max = from->gpus_max;
}

static void convert_objective(struct production_objective *target, const struct ws_objective *from)
{
	PRODUCTION_COPY_TEXT(target->kind, from->kind);
	PRODUCTION_COPY_TEXT(target->job_class, from->job_class);
	target->within_s = from->within_s;
	target->share = from->share;
}

static void convert_settings_lists(struct production_settings *target,
				   const struct ws_settings *from)
{
	target->peer_count = from->peer_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(target->zones[i], from->zones[i]);
	target->zone_count = from->zone_count;
	target->team_count = from->team_count;
	target->objective_count = from->objective_count;
	for (size_t i = 0; i < from->peer_count; i++)
		convert_endpoint(&target->peers[i], &from->peers[i]);
	for (size_t i = 0; i < from->team_count; i++)
		convert_team(&target->teams[i], &from->teams[i]);
	for (size_t i = 0; i < from->objective_count; i++)
		convert_objective(&target->objectives[i], &from->objectives[i]);
}

static void convert_settings_limits(struct production_settings *target,
				    const struct ws_settings *from)
{
	target->heartbeat_s = from->heartbeat_s;
	target->lease_s = from->lease_s;
	target->cancel_s = from->cancel_s;
	target->store_requests_per_s = from->store_rps;
	target->store_writes_per_s = from->store_write_rps;
	target->value_kb = from->value_kb;
	target->transaction_operations = from->transaction_ops;
	target->cloud_requests_per_s = from->cloud_rps;
	target->list_lag_s = from->list_lag_s;
	target->cpu_share = from->cpu_share;
	target->ram_mb = from->ram_mb;
	target->max_sockets = from->max_sockets;
	target->client_sockets = from->client_sockets;
}

static void convert_settings(struct production_settings *target, const struct ws_settings *from)
{
	PRODUCTION_COPY_TEXT(target->node, from->node);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	convert_endpoint(&target->bind, &from->bind);
	convert_endpoint(&target->peer_bind, &from->peer_bind);
	convert_endpoint(&target->cloud, &from->cloud);
	convert_endpoint(&target->store, &from->store);
	convert_settings_lists(target, from);
	convert_settings_limits(target, from);
}

static void convert_policy(struct production_policy *target, const struct ws_policy *from)
{
	target->delta = from->delta;
	target->scale_out_max = from->rentals_max;
	target->wait_max_s = from->wait_max_s;
	target->latency_bound_s = from->latency_bound_s;
	target->instance_ceiling = from->rental_ceiling;
	target->waiting_units_max = from->waiting_units_max;
	target->idle_timeout_s = from->idle_timeout_s;
	target->sizing_period_s = from->sizing_period_s;
	target->leader_ttl_ratio = from->leader_ttl_ratio;
	target->unreachable_ratio = from->unreachable_ratio;
	target->boot_timeout_ratio = from->boot_timeout_ratio;
}

static void convert_job_spec(struct production_job_spec *target, const struct ws_job_spec *from)
{
	PRODUCTION_COPY_TEXT(target->id, from->id);
	PRODUCTION_COPY_TEXT(target->job_class, from->job_class);
	PRODUCTION_COPY_TEXT(target->team, from->team);
	target->service = from->service;
	target->gang = from->gang;
	target->priority = PRODUCTION_ENUMERATOR(priorities, from->priority);
	target->tasks = from->tasks;
	target->cpus = from->cpus;
	target->gpus = from->gpus;
	target->memory_gb = from->mem_gb;
	PRODUCTION_COPY_TEXT(target->image, from->image);
	target->image_gb = from->image_gb;
	target->type_count = from->type_count;
	for (size_t i = 0; i < from->type_count; i++)
		PRODUCTION_COPY_TEXT(target->types[i], from->types[i]);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->one_zone = from->one_zone;
	target->spread = from->spread;
	target->allows_preemptible = from->allows_preemptible;
	target->estimate_s = from->estimate_s;
	target->checkpoint_interval_s = from->checkpoint_interval_s;
	target->checkpoint_duration_s = from->checkpoint_duration_s;
	target->deadline_s = from->deadline_s;
}

static void convert_machine_type(struct production_machine_type *target,
				 const struct ws_machine_type *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	target->cpus = from->cpus;
	target->gpus = from->gpus;
	target->memory_gb = from->mem_gb;
	target->local_gb = from->local_gb;
	target->fetch_gb_s = from->fetch_gb_s;
	target->price = from->price;
	target->preemptible_price = from->preemptible_price;
	target->boot_s = from->boot_s;
	target->zone_count = from->zone_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(target->zones[i], from->zones[i]);
}

static void convert_task(struct production_task_status *target, const struct ws_task_status *from)
{
	PRODUCTION_COPY_TEXT(target->job, from->job);
	target->task = from->task;
	target->attempt = from->attempt;
	target->state = PRODUCTION_ENUMERATOR(task_states, from->state);
	target->exit_reason = PRODUCTION_ENUMERATOR(exit_reasons, from->exit_reason);
}

static void convert_heartbeat(struct production_heartbeat *target, const struct ws_heartbeat *from)
{
	PRODUCTION_COPY_TEXT(target->machine, from->machine);
	PRODUCTION_COPY_TEXT(target->address, from->address);
	target->port = from->port;
	PRODUCTION_COPY_TEXT(target->type, from->type);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->preemptible = from->preemptible;
	target->incarnation = from->incarnation;
	target->sequence_number = from->sequence;
	target->fencing_token = from->fencing_token;
	target->preemption_notice_s = from->preemption_notice_s;
	target->task_count = from->task_count;
	target->tasks = production_allocate(from->task_count, sizeof(*target->tasks));
	for (size_t i = 0; i < from->task_count; i++)
		convert_task(&target->tasks[i], &from->tasks[i]);
}

static void convert_instance(struct production_instance *target, const struct ws_instance *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	PRODUCTION_COPY_TEXT(target->address, from->address);
	target->port = from->port;
	PRODUCTION_COPY_TEXT(target->type, from->type);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->preemptible = from->preemptible;
	target->phase = PRODUCTION_ENUMERATOR(instance_phases, from->phase);
	target->age_s = from->age_s;
}

static void convert_record(struct production_record *target, const struct ws_kv *from)
{
	PRODUCTION_COPY_TEXT(target->key, from->key);
	target->value = from->value;
	target->revision = from->revision;
}

static void convert_records(struct production_result *target, const struct ws_records_result *from)
{
	target->revision = from->revision;
	target->has_more = from->has_more;
	target->record_count = from->entry_count;
	target->records = production_allocate(from->entry_count, sizeof(*target->records));
	for (size_t i = 0; i < from->entry_count; i++)
		convert_record(&target->records[i], &from->entries[i]);
}

static void convert_transaction_result(struct production_result *target,
				       const struct ws_transaction_result *from)
{
	target->revision = from->revision;
	target->failed_key_count = from->failed_count;
	target->failed_keys = production_allocate(from->failed_count, sizeof(*target->failed_keys));
	for (size_t i = 0; i < from->failed_count; i++)
		PRODUCTION_COPY_TEXT(target->failed_keys[i], from->failed_keys[i]);
}

static void convert_types(struct production_result *target, const struct ws_types_result *from)
{
	target->type_count = from->count;
	target->types = production_allocate(from->count, sizeof(*target->types));
	for (size_t i = 0; i < from->count; i++)
		convert_machine_type(&target->types[i], &from->list[i]);
}

static void convert_instances(struct production_result *target,
			      const struct ws_instances_result *from)
{
	target->has_more = from->has_more;
	target->no_capacity = from->no_capacity;
	target->instance_count = from->count;
	target->instances = production_allocate(from->count, sizeof(*target->instances));
	for (size_t i = 0; i < from->count; i++)
		convert_instance(&target->instances[i], &from->list[i]);
}

/* Values of records are borrowed; clear_result() frees the rest. */
static void convert_result(struct production_result *target, const struct ws_result *from)
{
	target->status = ws_http_status_of_outcome(from->outcome);
	switch (from->kind) {
	case WS_CALL_GET:
	case WS_CALL_LIST:
	case WS_CALL_WATCH: convert_records(target, &from->records); break;
	case WS_CALL_TRANSACTION: convert_transaction_result(target, &from->transaction); break;
	case WS_CALL_SESSION_OPEN: target->session = from->session; break;
	case WS_CALL_MACHINE_TYPES: convert_types(target, &from->types); break;
	case WS_CALL_INSTANCES:
	case WS_CALL_SCALE_OUT: convert_instances(target, &from->instances); break;
	case WS_CALL_COMMANDS:
		if (!from->heartbeat)
			break;
		target->heartbeat = production_allocate(1, sizeof(*target->heartbeat));
		convert_heartbeat(target->heartbeat, from->heartbeat);
		break;
	case WS_CALL_SESSION_RENEW:
	case WS_CALL_SESSION_CLOSE:
	case WS_CALL_SCALE_IN:
	case WS_CALL_OUTAGE_VOTE: break; /* the result has only a status */
	}
}

static void clear_result(struct production_result *result)
{
	free(result->records);
	free(result->failed_keys);
	free(result->types);
	free(result->instances);
	if (result->heartbeat)
		free(result->heartbeat->tasks);
	free(result->heartbeat);
}

/* ---- functions of struct sim_version ---- */

static const struct production_core_api *api;
static ws_log_fn log_sink;

/* The simulator holds the cores of both versions as struct ws_core, an opaque type. */
static struct production_core *to_production_core(struct ws_core *core)
{
	return (struct production_core *)(void *)core;
}

static const struct production_core *to_const_production_core(const struct ws_core *core)
{
	return (const struct production_core *)(const void *)core;
}

static void forward_log(enum production_log_level level, const char *text)
{
	log_sink(PRODUCTION_ENUMERATOR(log_levels, level), text);
}

static struct ws_core *create(const struct ws_settings *settings, const struct ws_policy *policy,
			      ws_log_fn log, double now, uint64_t nonce)
{
	struct production_settings *neutral = production_allocate(1, sizeof(*neutral));
	struct production_policy neutral_policy = {0};
	struct production_core *production;

	log_sink = log;
	convert_settings(neutral, settings);
	convert_policy(&neutral_policy, policy);
	production = api->create(neutral, &neutral_policy, forward_log, now, nonce);
	free(neutral);
	return (struct ws_core *)(void *)production;
}

static void destroy(struct ws_core *core)
{
	api->destroy(to_production_core(core));
}

static void tick(struct ws_core *core, double now)
{
	api->tick(to_production_core(core), now);
}

static struct ws_effect *next_effect(struct ws_core *core)
{
	struct production_effect *neutral = api->next_effect(to_production_core(core));
	struct ws_effect *effect;

	if (!neutral)
		return NULL;
	effect = production_allocate(1, sizeof(*effect));
	sim_production_convert_effect(effect, neutral);
	api->free_effect(neutral);
	return effect;
}

/* Frees the simulator's copy of a call; the core's call object is returned or freed already. */
static void free_copy(struct ws_call *call)
{
	call->context = NULL;
	ws_call_free(call);
}

static void complete(struct ws_core *core, double now, struct ws_call *call,
		     const struct ws_result *result)
{
	struct production_result neutral = {0};

	convert_result(&neutral, result);
	api->complete(to_production_core(core), now, call->context, &neutral);
	clear_result(&neutral);
	free_copy(call);
}

static void free_call(struct ws_call *call)
{
	api->free_call(call->context);
	free_copy(call);
}

static void resign(struct ws_core *core, double now)
{
	api->resign(to_production_core(core), now);
}

static bool is_ready(const struct ws_core *core)
{
	return api->is_ready(to_const_production_core(core));
}

static bool is_leader(const struct ws_core *core)
{
	return api->is_leader(to_const_production_core(core));
}

static void submit(struct ws_core *core, double now, double wall, uint64_t request_id,
		   const struct ws_job_spec *spec, bool forwarded)
{
	struct production_job_spec neutral = {0};

	convert_job_spec(&neutral, spec);
	api->submit(to_production_core(core), now, wall, request_id, &neutral, forwarded);
}

static void query_status(struct ws_core *core, double now, uint64_t request_id, const char *job,
			 bool forwarded)
{
	api->query_status(to_production_core(core), now, request_id, job, forwarded);
}

static void cancel(struct ws_core *core, double now, uint64_t request_id, const char *job,
		   bool forwarded)
{
	api->cancel(to_production_core(core), now, request_id, job, forwarded);
}

static void handle_heartbeat(struct ws_core *core, double now, uint64_t request_id,
			     const struct ws_heartbeat *heartbeat, bool forwarded)
{
	struct production_heartbeat neutral = {0};

	convert_heartbeat(&neutral, heartbeat);
	api->heartbeat(to_production_core(core), now, request_id, &neutral, forwarded);
	free(neutral.tasks);
}

static void outage_vote(struct ws_core *core, double now, uint64_t request_id)
{
	api->outage_vote(to_production_core(core), now, request_id);
}

/* Loads the library and returns its functions. Returns NULL if it can't be loaded. */
static const struct production_core_api *load(void)
{
	void *library = dlopen(WS_PRODUCTION_CORE, RTLD_NOW | RTLD_LOCAL);
	production_core_api_fn get_api = NULL;

	if (library)
		*(void **)&get_api = dlsym(library, PRODUCTION_CORE_API_SYMBOL);
	if (!get_api) {
		fprintf(stderr, "loading the production core failed: %s\n", dlerror());
		return NULL;
	}
	return get_api();
}

const struct sim_version *sim_production_version(void)
{
	static const struct sim_version version = {
	    .create = create,
	    .destroy = destroy,
	    .tick = tick,
	    .next_effect = next_effect,
	    .complete = complete,
	    .resign = resign,
	    .is_ready = is_ready,
	    .is_leader = is_leader,
	    .submit = submit,
	    .query_status = query_status,
	    .cancel = cancel,
	    .heartbeat = handle_heartbeat,
	    .outage_vote = outage_vote,
	    .free_effect = ws_effect_free,
	    .free_call = free_call,
	};

	if (!api)
		api = load();
	return api ? &version : NULL;
}
#else
const struct sim_version *sim_production_version(void)
{
	return NULL;
}
#endif
