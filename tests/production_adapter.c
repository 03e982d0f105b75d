/*
 * Adapter that exports the core of the version in production through the version-neutral interface
 * of production_abi.h. It is compiled with that version's own headers, only into the library
 * production_core.
 */
#include "production_abi.h"
#include "core.h"

/*
 * Workers of later versions report states and exit reasons for gangs that this version does not
 * have. They are passed in as values beyond its last enumerator.
 */
#define UNKNOWN_TASK_STATE (WS_TASK_EXITED + 1)
#define UNKNOWN_EXIT_REASON (WS_WHY_UNKNOWN + 1)

/* Declared in an internal header of that version, of which nothing else is needed. */
void ws_call_free(struct ws_call *call);

struct production_core {
	struct ws_settings settings; /* the core keeps a pointer to them */
	struct ws_core *core;
};

/* ---- enumerators ---- */

static const int priorities[] = {
    [PRODUCTION_PRIORITY_BEST_EFFORT] = WS_BEST_EFFORT,
    [PRODUCTION_PRIORITY_NORMAL] = WS_NORMAL,
    [PRODUCTION_PRIORITY_URGENT] = WS_URGENT,
    [PRODUCTION_PRIORITY_PRODUCTION] = WS_PRODUCTION,
};

static const int task_states[] = {
    [PRODUCTION_TASK_FETCHING] = WS_TASK_FETCHING,    [PRODUCTION_TASK_RUNNING] = WS_TASK_RUNNING,
    [PRODUCTION_TASK_CHECKPOINTING] = WS_TASK_SAVING, [PRODUCTION_TASK_EXITED] = WS_TASK_EXITED,
    [PRODUCTION_TASK_WAITING] = UNKNOWN_TASK_STATE,
};

static const int exit_reasons[] = {
    [PRODUCTION_EXIT_NONE] = WS_WHY_NONE,
    [PRODUCTION_EXIT_DONE] = WS_WHY_DONE,
    [PRODUCTION_EXIT_STOPPED] = WS_WHY_STOPPED,
    [PRODUCTION_EXIT_ERROR] = WS_WHY_ERROR,
    [PRODUCTION_EXIT_NO_CAPACITY] = WS_WHY_FULL,
    [PRODUCTION_EXIT_ATTEMPT_EXISTS] = WS_WHY_BUSY,
    [PRODUCTION_EXIT_UNKNOWN_JOB] = WS_WHY_UNKNOWN,
    [PRODUCTION_EXIT_MEMBER_LOST] = UNKNOWN_EXIT_REASON,
    [PRODUCTION_EXIT_GANG_INCOMPLETE] = UNKNOWN_EXIT_REASON + 1,
};

static const int instance_phases[] = {
    [PRODUCTION_INSTANCE_STARTING] = WS_HOST_STARTING,
    [PRODUCTION_INSTANCE_RUNNING] = WS_HOST_RUNNING,
    [PRODUCTION_INSTANCE_FAILED] = WS_HOST_FAILED,
};

static const int command_kinds[] = {
    [WS_RUN] = PRODUCTION_COMMAND_RUN,
    [WS_STOP] = PRODUCTION_COMMAND_STOP,
    [WS_REAP] = PRODUCTION_COMMAND_REAP,
};

static const int call_kinds[] = {
    [WS_CALL_GET] = PRODUCTION_CALL_GET,
    [WS_CALL_LIST] = PRODUCTION_CALL_LIST,
    [WS_CALL_TXN] = PRODUCTION_CALL_TRANSACTION,
    [WS_CALL_WATCH] = PRODUCTION_CALL_WATCH,
    [WS_CALL_HOLD_NEW] = PRODUCTION_CALL_SESSION_OPEN,
    [WS_CALL_HOLD_EXTEND] = PRODUCTION_CALL_SESSION_RENEW,
    [WS_CALL_HOLD_DROP] = PRODUCTION_CALL_SESSION_CLOSE,
    [WS_CALL_TYPES] = PRODUCTION_CALL_MACHINE_TYPES,
    [WS_CALL_HOSTS] = PRODUCTION_CALL_INSTANCES,
    [WS_CALL_RENT] = PRODUCTION_CALL_SCALE_OUT,
    [WS_CALL_RETURN] = PRODUCTION_CALL_SCALE_IN,
    [WS_CALL_ORDERS] = PRODUCTION_CALL_COMMANDS,
    [WS_CALL_TESTIFY] = PRODUCTION_CALL_OUTAGE_VOTE,
};

static const int effect_kinds[] = {
    [WS_ACT_CALL] = PRODUCTION_EFFECT_CALL,
    [WS_ACT_ANSWER_USER] = PRODUCTION_EFFECT_ANSWER_USER,
    [WS_ACT_ANSWER_REPORT] = PRODUCTION_EFFECT_ANSWER_HEARTBEAT,
    [WS_ACT_RELAY] = PRODUCTION_EFFECT_FORWARD,
    [WS_ACT_ANSWER_TESTIFY] = PRODUCTION_EFFECT_ANSWER_OUTAGE_VOTE,
};

static const int job_phases[] = {
    [WS_QUEUED] = PRODUCTION_JOB_QUEUED,
    [WS_RUNNING] = PRODUCTION_JOB_RUNNING,
    [WS_DONE] = PRODUCTION_JOB_DONE,
    [WS_CANCELLED] = PRODUCTION_JOB_CANCELLED,
};

static const int log_levels[] = {
    [WS_LOG_ERROR] = PRODUCTION_LOG_ERROR,
    [WS_LOG_INFO] = PRODUCTION_LOG_INFO,
    [WS_LOG_DEBUG] = PRODUCTION_LOG_DEBUG,
};

/* ---- conversion of the core's input ---- */

static void convert_endpoint(struct ws_endpoint *target, const struct production_endpoint *from)
{
	PRODUCTION_COPY_TEXT(target->node, from->node);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	PRODUCTION_COPY_TEXT(target->host, from->address);
	target->port = from->port;
}

static void convert_team(struct ws_team_setting *target, const struct production_team *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	target->cpus = from->cpus;
	target->cpus_max = from->cpus_max;
	target->gpus = from->gpus;
	target->gpus_max = from->gpus_max;
}

static void convert_objective(struct ws_objective *target, const struct production_objective *from)
{
	PRODUCTION_COPY_TEXT(target->kind, from->kind);
	PRODUCTION_COPY_TEXT(target->job_class, from->job_class);
	target->within_s = from->within_s;
	target->share = from->share;
}

static void convert_settings_lists(struct ws_settings *target,
				   const struct production_settings *from)
{
	target->npeers = from->peer_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(target->zones[i], from->zones[i]);
	target->nzones = from->zone_count;
	target->nteams = from->team_count;
	target->nobjectives = from->objective_count;
	for (size_t i = 0; i < from->peer_count; i++)
		convert_endpoint(&target->peers[i], &from->peers[i]);
	for (size_t i = 0; i < from->team_count; i++)
		convert_team(&target->teams[i], &from->teams[i]);
	for (size_t i = 0; i < from->objective_count; i++)
		convert_objective(&target->objectives[i], &from->objectives[i]);
}

static void convert_settings_limits(struct ws_settings *target,
				    const struct production_settings *from)
{
	target->report_s = from->heartbeat_s;
	target->lease_s = from->lease_s;
	target->cancel_s = from->cancel_s;
	target->state_rps = from->store_requests_per_s;
	target->state_write_rps = from->store_writes_per_s;
	target->value_kb = from->value_kb;
	target->txn_ops = from->transaction_operations;
	target->cloud_rps = from->cloud_requests_per_s;
	target->list_lag_s = from->list_lag_s;
	target->core_share = from->cpu_share;
	target->ram_mb = from->ram_mb;
	target->max_sockets = from->max_sockets;
	target->sockets = from->client_sockets;
}

static void convert_settings(struct ws_settings *target, const struct production_settings *from)
{
	PRODUCTION_COPY_TEXT(target->node, from->node);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	convert_endpoint(&target->bind, &from->bind);
	convert_endpoint(&target->peer_bind, &from->peer_bind);
	convert_endpoint(&target->cloud, &from->cloud);
	convert_endpoint(&target->state, &from->store);
	convert_settings_lists(target, from);
	convert_settings_limits(target, from);
}

static void convert_policy(struct ws_policy *target, const struct production_policy *from)
{
	target->delta = from->delta;
	target->rentals_max = from->scale_out_max;
	target->wait_max_s = from->wait_max_s;
	target->latency_bound_s = from->latency_bound_s;
	target->rental_ceiling = from->instance_ceiling;
	target->waiting_loads = from->waiting_units_max;
	target->empty_wait_s = from->idle_timeout_s;
	target->sizing_period_s = from->sizing_period_s;
	target->leader_ttl_ratio = from->leader_ttl_ratio;
	target->silent_ratio = from->unreachable_ratio;
	target->boot_patience = from->boot_timeout_ratio;
}

static void convert_job_spec(struct ws_spec *target, const struct production_job_spec *from)
{
	PRODUCTION_COPY_TEXT(target->id, from->id);
	PRODUCTION_COPY_TEXT(target->job_class, from->job_class);
	PRODUCTION_COPY_TEXT(target->team, from->team);
	target->service = from->service;
	target->gang = from->gang;
	target->tier = PRODUCTION_ENUMERATOR(priorities, from->priority);
	target->tasks = from->tasks;
	target->cpus = from->cpus;
	target->gpus = from->gpus;
	target->mem = from->memory_gb;
	PRODUCTION_COPY_TEXT(target->image, from->image);
	target->image_gb = from->image_gb;
	target->ntypes = from->type_count;
	for (size_t i = 0; i < from->type_count; i++)
		PRODUCTION_COPY_TEXT(target->types[i], from->types[i]);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->one_zone = from->one_zone;
	target->spread = from->spread;
	target->spot = from->allows_preemptible;
	target->estimate_s = from->estimate_s;
	target->checkpoint_s = from->checkpoint_interval_s;
	target->save_s = from->checkpoint_duration_s;
	target->deadline_s = from->deadline_s;
}

static void convert_machine_type(struct ws_type *target, const struct production_machine_type *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	target->cpus = from->cpus;
	target->gpus = from->gpus;
	target->mem = from->memory_gb;
	target->local_gb = from->local_gb;
	target->fetch_gb_s = from->fetch_gb_s;
	target->price = from->price;
	target->spot_price = from->preemptible_price;
	target->boot_s = from->boot_s;
	target->nzones = from->zone_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(target->zones[i], from->zones[i]);
}

static void convert_task(struct ws_task_report *target, const struct production_task_status *from)
{
	PRODUCTION_COPY_TEXT(target->job, from->job);
	target->task = from->task;
	target->attempt = from->attempt;
	target->state = PRODUCTION_ENUMERATOR(task_states, from->state);
	target->why = PRODUCTION_ENUMERATOR(exit_reasons, from->exit_reason);
}

static void convert_heartbeat(struct ws_report *target, const struct production_heartbeat *from)
{
	PRODUCTION_COPY_TEXT(target->machine, from->machine);
	PRODUCTION_COPY_TEXT(target->host, from->address);
	target->port = from->port;
	PRODUCTION_COPY_TEXT(target->type, from->type);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->spot = from->preemptible;
	target->tenure = from->incarnation;
	target->counter = from->sequence_number;
	target->epoch = from->fencing_token;
	target->notice_s = from->preemption_notice_s;
	target->ntasks = from->task_count;
	target->tasks = production_allocate(from->task_count, sizeof(*target->tasks));
	for (size_t i = 0; i < from->task_count; i++)
		convert_task(&target->tasks[i], &from->tasks[i]);
}

static void convert_instance(struct ws_host *target, const struct production_instance *from)
{
	PRODUCTION_COPY_TEXT(target->name, from->name);
	PRODUCTION_COPY_TEXT(target->host, from->address);
	target->port = from->port;
	PRODUCTION_COPY_TEXT(target->type, from->type);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->spot = from->preemptible;
	target->phase = PRODUCTION_ENUMERATOR(instance_phases, from->phase);
	target->age_s = from->age_s;
}

static void convert_record(struct ws_kv *target, const struct production_record *from)
{
	PRODUCTION_COPY_TEXT(target->key, from->key);
	target->value = from->value;
	target->stamp = from->revision;
}

/* Values of records are borrowed; clear_result() frees the rest. */
static void convert_result(struct ws_result *target, const struct production_result *from)
{
	target->status = from->status;
	target->rev = from->revision;
	target->hold = from->session;
	target->more = from->has_more;
	target->no_capacity = from->no_capacity;
	target->nkvs = from->record_count;
	target->kvs = production_allocate(from->record_count, sizeof(*target->kvs));
	for (size_t i = 0; i < from->record_count; i++)
		convert_record(&target->kvs[i], &from->records[i]);
	target->nfailed = from->failed_key_count;
	target->failed = production_allocate(from->failed_key_count, sizeof(*target->failed));
	for (size_t i = 0; i < from->failed_key_count; i++)
		PRODUCTION_COPY_TEXT(target->failed[i], from->failed_keys[i]);
	target->ntypes = from->type_count;
	target->types = production_allocate(from->type_count, sizeof(*target->types));
	for (size_t i = 0; i < from->type_count; i++)
		convert_machine_type(&target->types[i], &from->types[i]);
	target->nhosts = from->instance_count;
	target->hosts = production_allocate(from->instance_count, sizeof(*target->hosts));
	for (size_t i = 0; i < from->instance_count; i++)
		convert_instance(&target->hosts[i], &from->instances[i]);
	target->report = NULL;
	if (from->heartbeat) {
		target->report = production_allocate(1, sizeof(*target->report));
		convert_heartbeat(target->report, from->heartbeat);
	}
}

static void clear_result(struct ws_result *result)
{
	free(result->kvs);
	free(result->failed);
	free(result->types);
	free(result->hosts);
	if (result->report)
		free(result->report->tasks);
	free(result->report);
}

/* ---- conversion of the core's output ---- */

static void convert_command(struct production_command *target, const struct ws_order *from)
{
	target->kind = PRODUCTION_ENUMERATOR(command_kinds, from->verb);
	PRODUCTION_COPY_TEXT(target->job, from->job);
	target->task = from->task;
	target->attempt = from->attempt;
	target->grace_s = from->grace_s;
}

static void convert_compare(struct production_compare *target, const struct ws_cond *from)
{
	PRODUCTION_COPY_TEXT(target->key, from->key);
	target->revision = from->stamp;
}

static void convert_operation(struct production_operation *target, const struct ws_op *from)
{
	PRODUCTION_COPY_TEXT(target->key, from->key);
	target->value = from->value;
	target->session = from->hold;
}

static void convert_call_lists(struct production_call *target, const struct ws_call *from)
{
	target->compare_count = from->nconds;
	target->compares = production_allocate(from->nconds, sizeof(*target->compares));
	for (size_t i = 0; i < from->nconds; i++)
		convert_compare(&target->compares[i], &from->conds[i]);
	target->operation_count = from->nops;
	target->operations = production_allocate(from->nops, sizeof(*target->operations));
	for (size_t i = 0; i < from->nops; i++)
		convert_operation(&target->operations[i], &from->ops[i]);
	target->name_count = from->nnames;
	target->names = production_allocate(from->nnames, sizeof(*target->names));
	for (size_t i = 0; i < from->nnames; i++)
		PRODUCTION_COPY_TEXT(target->names[i], from->names[i]);
	target->command_count = from->norders;
	target->commands = production_allocate(from->norders, sizeof(*target->commands));
	for (size_t i = 0; i < from->norders; i++)
		convert_command(&target->commands[i], &from->orders[i]);
}

static void convert_call(struct production_call *target, struct ws_call *from)
{
	target->kind = PRODUCTION_ENUMERATOR(call_kinds, from->kind);
	PRODUCTION_COPY_TEXT(target->key, from->key);
	PRODUCTION_COPY_TEXT(target->after, from->after);
	target->since_revision = from->since;
	target->duration_ms = from->ms;
	target->session = from->hold;
	PRODUCTION_COPY_TEXT(target->type, from->type);
	PRODUCTION_COPY_TEXT(target->zone, from->zone);
	target->preemptible = from->spot;
	target->count = from->count;
	PRODUCTION_COPY_TEXT(target->address, from->host);
	target->port = from->port;
	target->fencing_token = from->epoch;
	target->incarnation = from->tenure;
	target->urgent = from->urgent;
	target->self_paced = from->paced;
	target->created_at = from->made;
	convert_call_lists(target, from);
	target->call_object = from;
}

static void convert_effect(struct production_effect *target, const struct ws_action *from)
{
	target->kind = PRODUCTION_ENUMERATOR(effect_kinds, from->kind);
	target->request_id = from->token;
	target->status = from->status;
	target->retry_after_s = from->retry_after;
	PRODUCTION_COPY_TEXT(target->name, from->name);
	target->phase = PRODUCTION_ENUMERATOR(job_phases, from->phase);
	target->done = from->done;
	target->running = from->running;
	target->has_counts = from->counts;
	target->redirect_failed = from->pinned;
	target->fencing_token = from->epoch;
	target->command_count = from->norders;
	target->commands = production_allocate(from->norders, sizeof(*target->commands));
	for (size_t i = 0; i < from->norders; i++)
		convert_command(&target->commands[i], &from->orders[i]);
	if (from->call) {
		target->call = production_allocate(1, sizeof(*target->call));
		convert_call(target->call, from->call);
	}
}

/* ---- functions of the interface ---- */

static production_log_fn log_sink;

static void forward_log(enum ws_log_level level, const char *text)
{
	log_sink(PRODUCTION_ENUMERATOR(log_levels, level), text);
}

static struct production_core *create(const struct production_settings *settings,
				      const struct production_policy *policy, production_log_fn log,
				      double now, uint64_t nonce)
{
	struct production_core *production = production_allocate(1, sizeof(*production));
	struct ws_policy converted = {0};

	log_sink = log;
	convert_settings(&production->settings, settings);
	convert_policy(&converted, policy);
	production->core = ws_core_new(&production->settings, &converted, forward_log, now, nonce);
	if (!production->core)
		abort();
	return production;
}

static void destroy(struct production_core *production)
{
	ws_core_free(production->core);
	free(production);
}

static void tick(struct production_core *production, double now)
{
	ws_core_tick(production->core, now);
}

static struct production_effect *next_effect(struct production_core *production)
{
	struct ws_action *action = ws_core_pop(production->core);
	struct production_effect *effect;

	if (!action)
		return NULL;
	effect = production_allocate(1, sizeof(*effect));
	convert_effect(effect, action);
	ws_action_free(action); /* the caller owns its call from now on */
	return effect;
}

static void complete(struct production_core *production, double now, void *call_object,
		     const struct production_result *result)
{
	struct ws_result converted = {0};

	convert_result(&converted, result);
	ws_core_complete(production->core, now, call_object, &converted);
	clear_result(&converted);
}

static void resign(struct production_core *production, double now)
{
	ws_core_resign(production->core, now);
}

static bool is_ready(const struct production_core *production)
{
	return ws_core_ready(production->core);
}

static bool is_leader(const struct production_core *production)
{
	return ws_core_leading(production->core);
}

static void submit(struct production_core *production, double now, double wall, uint64_t request_id,
		   const struct production_job_spec *spec, bool forwarded)
{
	struct ws_spec converted = {0};

	convert_job_spec(&converted, spec);
	ws_core_submit(production->core, now, wall, request_id, &converted, forwarded);
}

static void query_status(struct production_core *production, double now, uint64_t request_id,
			 const char *job, bool forwarded)
{
	ws_core_poll(production->core, now, request_id, job, forwarded);
}

static void cancel_job(struct production_core *production, double now, uint64_t request_id,
		       const char *job, bool forwarded)
{
	ws_core_abort(production->core, now, request_id, job, forwarded);
}

static void handle_heartbeat(struct production_core *production, double now, uint64_t request_id,
			     const struct production_heartbeat *heartbeat, bool forwarded)
{
	struct ws_report converted = {0};

	convert_heartbeat(&converted, heartbeat);
	ws_core_report(production->core, now, request_id, &converted, forwarded);
	free(converted.tasks);
}

static void outage_vote(struct production_core *production, double now, uint64_t request_id)
{
	ws_core_testify(production->core, now, request_id);
}

static void free_effect(struct production_effect *effect)
{
	if (effect->call) {
		free(effect->call->compares);
		free(effect->call->operations);
		free(effect->call->names);
		free(effect->call->commands);
		free(effect->call);
	}
	free(effect->commands);
	free(effect);
}

static void free_call(void *call_object)
{
	ws_call_free(call_object);
}

__attribute__((visibility("default"))) const struct production_core_api *production_core_api(void);

const struct production_core_api *production_core_api(void)
{
	static const struct production_core_api api = {
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
	    .cancel = cancel_job,
	    .heartbeat = handle_heartbeat,
	    .outage_vote = outage_vote,
	    .free_effect = free_effect,
	    .free_call = free_call,
	};

	return &api;
}
