/*
 * Nodes of the version in production in the simulator: its core is a library of its own, built
 * from the repository's history (production_adapter.c), and spoken to through production_abi.h. A
 * call that it makes is held as a call of this version; the context of that is the core's own call
 * object, which goes back to the core when the call is completed.
 */
#include "production_abi.h"
#include "sim_parts.h"

#ifdef WS_PRODUCTION_CORE
#include <dlfcn.h>

/* ---- enumerators ---- */

static const int priorities[] = {
    [WS_BEST_EFFORT] = PRODUCTION_BEST_EFFORT,
    [WS_NORMAL] = PRODUCTION_NORMAL,
    [WS_URGENT] = PRODUCTION_URGENT,
    [WS_PRODUCTION] = PRODUCTION_HIGHEST,
};

static const int task_states[] = {
    [WS_TASK_FETCHING] = PRODUCTION_TASK_FETCHING, [WS_TASK_RUNNING] = PRODUCTION_TASK_RUNNING,
    [WS_TASK_SAVING] = PRODUCTION_TASK_SAVING,	   [WS_TASK_EXITED] = PRODUCTION_TASK_EXITED,
    [WS_TASK_WAITING] = PRODUCTION_TASK_WAITING,
};

static const int exit_reasons[] = {
    [WS_WHY_NONE] = PRODUCTION_EXIT_NONE,
    [WS_WHY_DONE] = PRODUCTION_EXIT_DONE,
    [WS_WHY_STOPPED] = PRODUCTION_EXIT_STOPPED,
    [WS_WHY_ERROR] = PRODUCTION_EXIT_ERROR,
    [WS_WHY_FULL] = PRODUCTION_EXIT_FULL,
    [WS_WHY_BUSY] = PRODUCTION_EXIT_BUSY,
    [WS_WHY_UNKNOWN] = PRODUCTION_EXIT_UNKNOWN,
    [WS_WHY_MATES] = PRODUCTION_EXIT_GANG_MEMBER_LOST,
    [WS_WHY_ALONE] = PRODUCTION_EXIT_GANG_INCOMPLETE,
};

static const int instance_phases[] = {
    [WS_HOST_STARTING] = PRODUCTION_INSTANCE_STARTING,
    [WS_HOST_RUNNING] = PRODUCTION_INSTANCE_RUNNING,
    [WS_HOST_FAILED] = PRODUCTION_INSTANCE_FAILED,
};

static const int command_kinds[] = {
    [PRODUCTION_COMMAND_RUN] = WS_RUN,
    [PRODUCTION_COMMAND_STOP] = WS_STOP,
    [PRODUCTION_COMMAND_REAP] = WS_REAP,
};

static const int call_kinds[] = {
    [PRODUCTION_CALL_GET] = WS_CALL_GET,
    [PRODUCTION_CALL_LIST] = WS_CALL_LIST,
    [PRODUCTION_CALL_TRANSACTION] = WS_CALL_TXN,
    [PRODUCTION_CALL_WATCH] = WS_CALL_WATCH,
    [PRODUCTION_CALL_SESSION_NEW] = WS_CALL_HOLD_NEW,
    [PRODUCTION_CALL_SESSION_EXTEND] = WS_CALL_HOLD_EXTEND,
    [PRODUCTION_CALL_SESSION_DROP] = WS_CALL_HOLD_DROP,
    [PRODUCTION_CALL_TYPES] = WS_CALL_TYPES,
    [PRODUCTION_CALL_INSTANCES] = WS_CALL_HOSTS,
    [PRODUCTION_CALL_SCALE_OUT] = WS_CALL_RENT,
    [PRODUCTION_CALL_SCALE_IN] = WS_CALL_RETURN,
    [PRODUCTION_CALL_COMMANDS] = WS_CALL_ORDERS,
    [PRODUCTION_CALL_OUTAGE_VOTE] = WS_CALL_TESTIFY,
};

static const int effect_kinds[] = {
    [PRODUCTION_EFFECT_CALL] = WS_ACT_CALL,
    [PRODUCTION_EFFECT_ANSWER_USER] = WS_ACT_ANSWER_USER,
    [PRODUCTION_EFFECT_ANSWER_HEARTBEAT] = WS_ACT_ANSWER_REPORT,
    [PRODUCTION_EFFECT_FORWARD] = WS_ACT_RELAY,
    [PRODUCTION_EFFECT_ANSWER_OUTAGE_VOTE] = WS_ACT_ANSWER_TESTIFY,
};

static const int job_phases[] = {
    [PRODUCTION_JOB_QUEUED] = WS_QUEUED,
    [PRODUCTION_JOB_RUNNING] = WS_RUNNING,
    [PRODUCTION_JOB_DONE] = WS_DONE,
    [PRODUCTION_JOB_CANCELLED] = WS_CANCELLED,
};

static const int log_levels[] = {
    [PRODUCTION_LOG_ERROR] = WS_LOG_ERROR,
    [PRODUCTION_LOG_INFO] = WS_LOG_INFO,
    [PRODUCTION_LOG_DEBUG] = WS_LOG_DEBUG,
};

/* ---- into the core ---- */

static void convert_endpoint(struct production_endpoint *to, const struct ws_endpoint *from)
{
	PRODUCTION_COPY_TEXT(to->node, from->node);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	PRODUCTION_COPY_TEXT(to->address, from->host);
	to->port = from->port;
}

static void convert_team(struct production_team *to, const struct ws_team_setting *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->cpus = from->cpus;
	to->cpus_max = from->cpus_max;
	to->gpus = from->gpus;
	to->gpus_max = from->gpus_max;
}

static void convert_objective(struct production_objective *to, const struct ws_objective *from)
{
	PRODUCTION_COPY_TEXT(to->kind, from->kind);
	PRODUCTION_COPY_TEXT(to->job_class, from->job_class);
	to->within_s = from->within_s;
	to->share = from->share;
}

static void convert_settings_lists(struct production_settings *to, const struct ws_settings *from)
{
	to->peer_count = from->npeers;
	for (size_t i = 0; i < from->nzones; i++)
		PRODUCTION_COPY_TEXT(to->zones[i], from->zones[i]);
	to->zone_count = from->nzones;
	to->team_count = from->nteams;
	to->objective_count = from->nobjectives;
	for (size_t i = 0; i < from->npeers; i++)
		convert_endpoint(&to->peers[i], &from->peers[i]);
	for (size_t i = 0; i < from->nteams; i++)
		convert_team(&to->teams[i], &from->teams[i]);
	for (size_t i = 0; i < from->nobjectives; i++)
		convert_objective(&to->objectives[i], &from->objectives[i]);
}

static void convert_settings_limits(struct production_settings *to, const struct ws_settings *from)
{
	to->heartbeat_s = from->report_s;
	to->lease_s = from->lease_s;
	to->cancel_s = from->cancel_s;
	to->store_requests_per_s = from->state_rps;
	to->store_writes_per_s = from->state_write_rps;
	to->value_kb = from->value_kb;
	to->transaction_operations = from->txn_ops;
	to->cloud_requests_per_s = from->cloud_rps;
	to->list_lag_s = from->list_lag_s;
	to->core_share = from->core_share;
	to->ram_mb = from->ram_mb;
	to->max_sockets = from->max_sockets;
	to->sockets = from->sockets;
}

static void convert_settings(struct production_settings *to, const struct ws_settings *from)
{
	PRODUCTION_COPY_TEXT(to->node, from->node);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	convert_endpoint(&to->bind, &from->bind);
	convert_endpoint(&to->peer_bind, &from->peer_bind);
	convert_endpoint(&to->cloud, &from->cloud);
	convert_endpoint(&to->store, &from->state);
	convert_settings_lists(to, from);
	convert_settings_limits(to, from);
}

static void convert_policy(struct production_policy *to, const struct ws_policy *from)
{
	to->delta = from->delta;
	to->scale_out_max = from->rentals_max;
	to->wait_max_s = from->wait_max_s;
	to->latency_bound_s = from->latency_bound_s;
	to->instance_ceiling = from->rental_ceiling;
	to->waiting_demand_units = from->waiting_loads;
	to->empty_wait_s = from->empty_wait_s;
	to->sizing_period_s = from->sizing_period_s;
	to->leader_ttl_ratio = from->leader_ttl_ratio;
	to->silent_ratio = from->silent_ratio;
	to->boot_patience = from->boot_patience;
}

static void convert_job_spec(struct production_job_spec *to, const struct ws_spec *from)
{
	PRODUCTION_COPY_TEXT(to->id, from->id);
	PRODUCTION_COPY_TEXT(to->job_class, from->job_class);
	PRODUCTION_COPY_TEXT(to->team, from->team);
	to->service = from->service;
	to->gang = from->gang;
	to->priority = PRODUCTION_ENUMERATOR(priorities, from->tier);
	to->tasks = from->tasks;
	to->cpus = from->cpus;
	to->gpus = from->gpus;
	to->memory = from->mem;
	PRODUCTION_COPY_TEXT(to->image, from->image);
	to->image_gb = from->image_gb;
	to->type_count = from->ntypes;
	for (size_t i = 0; i < from->ntypes; i++)
		PRODUCTION_COPY_TEXT(to->types[i], from->types[i]);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->one_zone = from->one_zone;
	to->spread = from->spread;
	to->preemptible = from->spot;
	to->estimate_s = from->estimate_s;
	to->checkpoint_s = from->checkpoint_s;
	to->save_s = from->save_s;
	to->deadline_s = from->deadline_s;
}

static void convert_machine_type(struct production_machine_type *to, const struct ws_type *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->cpus = from->cpus;
	to->gpus = from->gpus;
	to->memory = from->mem;
	to->local_gb = from->local_gb;
	to->fetch_gb_s = from->fetch_gb_s;
	to->price = from->price;
	to->preemptible_price = from->spot_price;
	to->boot_s = from->boot_s;
	to->zone_count = from->nzones;
	for (size_t i = 0; i < from->nzones; i++)
		PRODUCTION_COPY_TEXT(to->zones[i], from->zones[i]);
}

static void convert_task(struct production_task_status *to, const struct ws_task_report *from)
{
	PRODUCTION_COPY_TEXT(to->job, from->job);
	to->task = from->task;
	to->attempt = from->attempt;
	to->state = PRODUCTION_ENUMERATOR(task_states, from->state);
	to->exit_reason = PRODUCTION_ENUMERATOR(exit_reasons, from->why);
}

static void convert_heartbeat(struct production_heartbeat *to, const struct ws_report *from)
{
	PRODUCTION_COPY_TEXT(to->machine, from->machine);
	PRODUCTION_COPY_TEXT(to->address, from->host);
	to->port = from->port;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->preemptible = from->spot;
	to->incarnation = from->tenure;
	to->sequence_number = from->counter;
	to->fencing_token = from->epoch;
	to->preemption_notice_s = from->notice_s;
	to->task_count = from->ntasks;
	to->tasks = production_allocate(from->ntasks, sizeof(*to->tasks));
	for (size_t i = 0; i < from->ntasks; i++)
		convert_task(&to->tasks[i], &from->tasks[i]);
}

static void convert_instance(struct production_instance *to, const struct ws_host *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	PRODUCTION_COPY_TEXT(to->address, from->host);
	to->port = from->port;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->preemptible = from->spot;
	to->phase = PRODUCTION_ENUMERATOR(instance_phases, from->phase);
	to->age_s = from->age_s;
}

static void convert_record(struct production_record *to, const struct ws_kv *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->value = from->value;
	to->revision = from->stamp;
}

/* Values of records are borrowed; clear_result() frees the rest. */
static void convert_result(struct production_result *to, const struct ws_result *from)
{
	to->status = from->status;
	to->revision = from->rev;
	to->session = from->hold;
	to->more = from->more;
	to->no_capacity = from->no_capacity;
	to->record_count = from->nkvs;
	to->records = production_allocate(from->nkvs, sizeof(*to->records));
	for (size_t i = 0; i < from->nkvs; i++)
		convert_record(&to->records[i], &from->kvs[i]);
	to->failed_key_count = from->nfailed;
	to->failed_keys = production_allocate(from->nfailed, sizeof(*to->failed_keys));
	for (size_t i = 0; i < from->nfailed; i++)
		PRODUCTION_COPY_TEXT(to->failed_keys[i], from->failed[i]);
	to->type_count = from->ntypes;
	to->types = production_allocate(from->ntypes, sizeof(*to->types));
	for (size_t i = 0; i < from->ntypes; i++)
		convert_machine_type(&to->types[i], &from->types[i]);
	to->instance_count = from->nhosts;
	to->instances = production_allocate(from->nhosts, sizeof(*to->instances));
	for (size_t i = 0; i < from->nhosts; i++)
		convert_instance(&to->instances[i], &from->hosts[i]);
	to->heartbeat = NULL;
	if (from->report) {
		to->heartbeat = production_allocate(1, sizeof(*to->heartbeat));
		convert_heartbeat(to->heartbeat, from->report);
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

/* ---- out of the core ---- */

static void convert_command(struct ws_order *to, const struct production_command *from)
{
	to->verb = PRODUCTION_ENUMERATOR(command_kinds, from->kind);
	PRODUCTION_COPY_TEXT(to->job, from->job);
	to->task = from->task;
	to->attempt = from->attempt;
	to->grace_s = from->grace_s;
}

static void convert_compare(struct ws_cond *to, const struct production_compare *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->stamp = from->revision;
}

static void convert_operation(struct ws_op *to, const struct production_operation *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->value = json_incref(from->value);
	to->hold = from->session;
}

static void convert_call_lists(struct ws_call *to, const struct production_call *from)
{
	to->nconds = from->compare_count;
	to->conds = production_allocate(from->compare_count, sizeof(*to->conds));
	for (size_t i = 0; i < from->compare_count; i++)
		convert_compare(&to->conds[i], &from->compares[i]);
	to->nops = from->operation_count;
	to->ops = production_allocate(from->operation_count, sizeof(*to->ops));
	for (size_t i = 0; i < from->operation_count; i++)
		convert_operation(&to->ops[i], &from->operations[i]);
	to->nnames = from->name_count;
	to->names = production_allocate(from->name_count, sizeof(*to->names));
	for (size_t i = 0; i < from->name_count; i++)
		PRODUCTION_COPY_TEXT(to->names[i], from->names[i]);
	to->norders = from->command_count;
	to->orders = production_allocate(from->command_count, sizeof(*to->orders));
	for (size_t i = 0; i < from->command_count; i++)
		convert_command(&to->orders[i], &from->commands[i]);
}

static void convert_call(struct ws_call *to, const struct production_call *from)
{
	to->kind = PRODUCTION_ENUMERATOR(call_kinds, from->kind);
	PRODUCTION_COPY_TEXT(to->key, from->key);
	PRODUCTION_COPY_TEXT(to->after, from->after);
	to->since = from->since;
	to->ms = from->duration_ms;
	to->hold = from->session;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->spot = from->preemptible;
	to->count = from->count;
	PRODUCTION_COPY_TEXT(to->host, from->address);
	to->port = from->port;
	to->epoch = from->fencing_token;
	to->tenure = from->incarnation;
	to->urgent = from->urgent;
	to->paced = from->paced;
	to->made = from->made_at;
	convert_call_lists(to, from);
	to->ctx = from->origin;
}

static void convert_effect(struct ws_action *to, const struct production_effect *from)
{
	to->kind = PRODUCTION_ENUMERATOR(effect_kinds, from->kind);
	to->token = from->token;
	to->status = from->status;
	to->retry_after = from->retry_after;
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->phase = PRODUCTION_ENUMERATOR(job_phases, from->phase);
	to->done = from->done;
	to->running = from->running;
	to->counts = from->has_counts;
	to->pinned = from->pinned;
	to->epoch = from->fencing_token;
	to->norders = from->command_count;
	to->orders = production_allocate(from->command_count, sizeof(*to->orders));
	for (size_t i = 0; i < from->command_count; i++)
		convert_command(&to->orders[i], &from->commands[i]);
	if (from->call) {
		to->call = production_allocate(1, sizeof(*to->call));
		convert_call(to->call, from->call);
	}
}

/* ---- what the simulator asks of a core ---- */

static const struct production_core_api *api;
static ws_log_fn log_sink;

/* The simulator holds the cores of both versions under one type, which it does not look into. */
static struct production_core *production_of(struct ws_core *core)
{
	return (struct production_core *)(void *)core;
}

static const struct production_core *production_of_const(const struct ws_core *core)
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
	api->destroy(production_of(core));
}

static void tick(struct ws_core *core, double now)
{
	api->tick(production_of(core), now);
}

static struct ws_action *next_effect(struct ws_core *core)
{
	struct production_effect *neutral = api->next_effect(production_of(core));
	struct ws_action *effect;

	if (!neutral)
		return NULL;
	effect = production_allocate(1, sizeof(*effect));
	convert_effect(effect, neutral);
	api->free_effect(neutral);
	return effect;
}

/* Frees the simulator's copy of a call, whose origin has gone back to its core or is freed. */
static void free_copy(struct ws_call *call)
{
	call->ctx = NULL;
	ws_call_free(call);
}

static void complete(struct ws_core *core, double now, struct ws_call *call,
		     const struct ws_result *result)
{
	struct production_result neutral = {0};

	convert_result(&neutral, result);
	api->complete(production_of(core), now, call->ctx, &neutral);
	clear_result(&neutral);
	free_copy(call);
}

static void free_call(struct ws_call *call)
{
	api->free_call(call->ctx);
	free_copy(call);
}

static void resign(struct ws_core *core, double now)
{
	api->resign(production_of(core), now);
}

static bool ready(const struct ws_core *core)
{
	return api->ready(production_of_const(core));
}

static bool leading(const struct ws_core *core)
{
	return api->leading(production_of_const(core));
}

static void submit(struct ws_core *core, double now, double wall, uint64_t token,
		   const struct ws_spec *spec, bool forwarded)
{
	struct production_job_spec neutral = {0};

	convert_job_spec(&neutral, spec);
	api->submit(production_of(core), now, wall, token, &neutral, forwarded);
}

static void poll_job(struct ws_core *core, double now, uint64_t token, const char *job,
		     bool forwarded)
{
	api->poll(production_of(core), now, token, job, forwarded);
}

static void abort_job(struct ws_core *core, double now, uint64_t token, const char *job,
		      bool forwarded)
{
	api->abort(production_of(core), now, token, job, forwarded);
}

static void take_heartbeat(struct ws_core *core, double now, uint64_t token,
			   const struct ws_report *heartbeat, bool forwarded)
{
	struct production_heartbeat neutral = {0};

	convert_heartbeat(&neutral, heartbeat);
	api->heartbeat(production_of(core), now, token, &neutral, forwarded);
	free(neutral.tasks);
}

static void outage_vote(struct ws_core *core, double now, uint64_t token)
{
	api->outage_vote(production_of(core), now, token);
}

/* The library's functions, loaded once and kept; NULL where it can't be loaded. */
static const struct production_core_api *load(void)
{
	void *library = dlopen(WS_PRODUCTION_CORE, RTLD_NOW | RTLD_LOCAL);
	production_core_api_fn get_api = NULL;

	if (library)
		*(void **)&get_api = dlsym(library, PRODUCTION_CORE_API_SYMBOL);
	if (!get_api) {
		fprintf(stderr, "the production core can't be loaded: %s\n", dlerror());
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
	    .pop = next_effect,
	    .complete = complete,
	    .resign = resign,
	    .ready = ready,
	    .leading = leading,
	    .submit = submit,
	    .poll = poll_job,
	    .abort = abort_job,
	    .report = take_heartbeat,
	    .testify = outage_vote,
	    .free_action = ws_action_free,
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
