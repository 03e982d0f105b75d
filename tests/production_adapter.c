/*
 * The core of the version in production behind the neutral interface of production_abi.h. Compiled
 * with that version's own headers, into the library production_core alone.
 */
#include "production_abi.h"
#include "core.h"

/* What a worker of a later version says of a gang's tasks is, to this version, a state and an exit
 * reason behind the last that it knows. */
#define UNKNOWN_TASK_STATE (WS_TASK_EXITED + 1)
#define UNKNOWN_EXIT_REASON (WS_WHY_UNKNOWN + 1)

/* Declared in the version's internal header, which is not needed otherwise. */
void ws_call_free(struct ws_call *call);

struct production_core {
	struct ws_settings settings; /* the core keeps a pointer to them */
	struct ws_core *core;
};

/* ---- enumerators ---- */

static const int priorities[] = {
    [PRODUCTION_BEST_EFFORT] = WS_BEST_EFFORT,
    [PRODUCTION_NORMAL] = WS_NORMAL,
    [PRODUCTION_URGENT] = WS_URGENT,
    [PRODUCTION_HIGHEST] = WS_PRODUCTION,
};

static const int task_states[] = {
    [PRODUCTION_TASK_FETCHING] = WS_TASK_FETCHING,  [PRODUCTION_TASK_RUNNING] = WS_TASK_RUNNING,
    [PRODUCTION_TASK_SAVING] = WS_TASK_SAVING,	    [PRODUCTION_TASK_EXITED] = WS_TASK_EXITED,
    [PRODUCTION_TASK_WAITING] = UNKNOWN_TASK_STATE,
};

static const int exit_reasons[] = {
    [PRODUCTION_EXIT_NONE] = WS_WHY_NONE,
    [PRODUCTION_EXIT_DONE] = WS_WHY_DONE,
    [PRODUCTION_EXIT_STOPPED] = WS_WHY_STOPPED,
    [PRODUCTION_EXIT_ERROR] = WS_WHY_ERROR,
    [PRODUCTION_EXIT_FULL] = WS_WHY_FULL,
    [PRODUCTION_EXIT_BUSY] = WS_WHY_BUSY,
    [PRODUCTION_EXIT_UNKNOWN] = WS_WHY_UNKNOWN,
    [PRODUCTION_EXIT_GANG_MEMBER_LOST] = UNKNOWN_EXIT_REASON,
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
    [WS_CALL_HOLD_NEW] = PRODUCTION_CALL_SESSION_NEW,
    [WS_CALL_HOLD_EXTEND] = PRODUCTION_CALL_SESSION_EXTEND,
    [WS_CALL_HOLD_DROP] = PRODUCTION_CALL_SESSION_DROP,
    [WS_CALL_TYPES] = PRODUCTION_CALL_TYPES,
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

/* ---- into the core ---- */

static void convert_endpoint(struct ws_endpoint *to, const struct production_endpoint *from)
{
	PRODUCTION_COPY_TEXT(to->node, from->node);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	PRODUCTION_COPY_TEXT(to->host, from->address);
	to->port = from->port;
}

static void convert_team(struct ws_team_setting *to, const struct production_team *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->cpus = from->cpus;
	to->cpus_max = from->cpus_max;
	to->gpus = from->gpus;
	to->gpus_max = from->gpus_max;
}

static void convert_objective(struct ws_objective *to, const struct production_objective *from)
{
	PRODUCTION_COPY_TEXT(to->kind, from->kind);
	PRODUCTION_COPY_TEXT(to->job_class, from->job_class);
	to->within_s = from->within_s;
	to->share = from->share;
}

static void convert_settings_lists(struct ws_settings *to, const struct production_settings *from)
{
	to->npeers = from->peer_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(to->zones[i], from->zones[i]);
	to->nzones = from->zone_count;
	to->nteams = from->team_count;
	to->nobjectives = from->objective_count;
	for (size_t i = 0; i < from->peer_count; i++)
		convert_endpoint(&to->peers[i], &from->peers[i]);
	for (size_t i = 0; i < from->team_count; i++)
		convert_team(&to->teams[i], &from->teams[i]);
	for (size_t i = 0; i < from->objective_count; i++)
		convert_objective(&to->objectives[i], &from->objectives[i]);
}

static void convert_settings_limits(struct ws_settings *to, const struct production_settings *from)
{
	to->report_s = from->heartbeat_s;
	to->lease_s = from->lease_s;
	to->cancel_s = from->cancel_s;
	to->state_rps = from->store_requests_per_s;
	to->state_write_rps = from->store_writes_per_s;
	to->value_kb = from->value_kb;
	to->txn_ops = from->transaction_operations;
	to->cloud_rps = from->cloud_requests_per_s;
	to->list_lag_s = from->list_lag_s;
	to->core_share = from->core_share;
	to->ram_mb = from->ram_mb;
	to->max_sockets = from->max_sockets;
	to->sockets = from->sockets;
}

static void convert_settings(struct ws_settings *to, const struct production_settings *from)
{
	PRODUCTION_COPY_TEXT(to->node, from->node);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	convert_endpoint(&to->bind, &from->bind);
	convert_endpoint(&to->peer_bind, &from->peer_bind);
	convert_endpoint(&to->cloud, &from->cloud);
	convert_endpoint(&to->state, &from->store);
	convert_settings_lists(to, from);
	convert_settings_limits(to, from);
}

static void convert_policy(struct ws_policy *to, const struct production_policy *from)
{
	to->delta = from->delta;
	to->rentals_max = from->scale_out_max;
	to->wait_max_s = from->wait_max_s;
	to->latency_bound_s = from->latency_bound_s;
	to->rental_ceiling = from->instance_ceiling;
	to->waiting_loads = from->waiting_demand_units;
	to->empty_wait_s = from->empty_wait_s;
	to->sizing_period_s = from->sizing_period_s;
	to->leader_ttl_ratio = from->leader_ttl_ratio;
	to->silent_ratio = from->silent_ratio;
	to->boot_patience = from->boot_patience;
}

static void convert_job_spec(struct ws_spec *to, const struct production_job_spec *from)
{
	PRODUCTION_COPY_TEXT(to->id, from->id);
	PRODUCTION_COPY_TEXT(to->job_class, from->job_class);
	PRODUCTION_COPY_TEXT(to->team, from->team);
	to->service = from->service;
	to->gang = from->gang;
	to->tier = PRODUCTION_ENUMERATOR(priorities, from->priority);
	to->tasks = from->tasks;
	to->cpus = from->cpus;
	to->gpus = from->gpus;
	to->mem = from->memory;
	PRODUCTION_COPY_TEXT(to->image, from->image);
	to->image_gb = from->image_gb;
	to->ntypes = from->type_count;
	for (size_t i = 0; i < from->type_count; i++)
		PRODUCTION_COPY_TEXT(to->types[i], from->types[i]);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->one_zone = from->one_zone;
	to->spread = from->spread;
	to->spot = from->preemptible;
	to->estimate_s = from->estimate_s;
	to->checkpoint_s = from->checkpoint_s;
	to->save_s = from->save_s;
	to->deadline_s = from->deadline_s;
}

static void convert_machine_type(struct ws_type *to, const struct production_machine_type *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->cpus = from->cpus;
	to->gpus = from->gpus;
	to->mem = from->memory;
	to->local_gb = from->local_gb;
	to->fetch_gb_s = from->fetch_gb_s;
	to->price = from->price;
	to->spot_price = from->preemptible_price;
	to->boot_s = from->boot_s;
	to->nzones = from->zone_count;
	for (size_t i = 0; i < from->zone_count; i++)
		PRODUCTION_COPY_TEXT(to->zones[i], from->zones[i]);
}

static void convert_task(struct ws_task_report *to, const struct production_task_status *from)
{
	PRODUCTION_COPY_TEXT(to->job, from->job);
	to->task = from->task;
	to->attempt = from->attempt;
	to->state = PRODUCTION_ENUMERATOR(task_states, from->state);
	to->why = PRODUCTION_ENUMERATOR(exit_reasons, from->exit_reason);
}

static void convert_heartbeat(struct ws_report *to, const struct production_heartbeat *from)
{
	PRODUCTION_COPY_TEXT(to->machine, from->machine);
	PRODUCTION_COPY_TEXT(to->host, from->address);
	to->port = from->port;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->spot = from->preemptible;
	to->tenure = from->incarnation;
	to->counter = from->sequence_number;
	to->epoch = from->fencing_token;
	to->notice_s = from->preemption_notice_s;
	to->ntasks = from->task_count;
	to->tasks = production_allocate(from->task_count, sizeof(*to->tasks));
	for (size_t i = 0; i < from->task_count; i++)
		convert_task(&to->tasks[i], &from->tasks[i]);
}

static void convert_instance(struct ws_host *to, const struct production_instance *from)
{
	PRODUCTION_COPY_TEXT(to->name, from->name);
	PRODUCTION_COPY_TEXT(to->host, from->address);
	to->port = from->port;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->spot = from->preemptible;
	to->phase = PRODUCTION_ENUMERATOR(instance_phases, from->phase);
	to->age_s = from->age_s;
}

static void convert_record(struct ws_kv *to, const struct production_record *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->value = from->value;
	to->stamp = from->revision;
}

/* Values of records are borrowed; clear_result() frees the rest. */
static void convert_result(struct ws_result *to, const struct production_result *from)
{
	to->status = from->status;
	to->rev = from->revision;
	to->hold = from->session;
	to->more = from->more;
	to->no_capacity = from->no_capacity;
	to->nkvs = from->record_count;
	to->kvs = production_allocate(from->record_count, sizeof(*to->kvs));
	for (size_t i = 0; i < from->record_count; i++)
		convert_record(&to->kvs[i], &from->records[i]);
	to->nfailed = from->failed_key_count;
	to->failed = production_allocate(from->failed_key_count, sizeof(*to->failed));
	for (size_t i = 0; i < from->failed_key_count; i++)
		PRODUCTION_COPY_TEXT(to->failed[i], from->failed_keys[i]);
	to->ntypes = from->type_count;
	to->types = production_allocate(from->type_count, sizeof(*to->types));
	for (size_t i = 0; i < from->type_count; i++)
		convert_machine_type(&to->types[i], &from->types[i]);
	to->nhosts = from->instance_count;
	to->hosts = production_allocate(from->instance_count, sizeof(*to->hosts));
	for (size_t i = 0; i < from->instance_count; i++)
		convert_instance(&to->hosts[i], &from->instances[i]);
	to->report = NULL;
	if (from->heartbeat) {
		to->report = production_allocate(1, sizeof(*to->report));
		convert_heartbeat(to->report, from->heartbeat);
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

/* ---- out of the core ---- */

static void convert_command(struct production_command *to, const struct ws_order *from)
{
	to->kind = PRODUCTION_ENUMERATOR(command_kinds, from->verb);
	PRODUCTION_COPY_TEXT(to->job, from->job);
	to->task = from->task;
	to->attempt = from->attempt;
	to->grace_s = from->grace_s;
}

static void convert_compare(struct production_compare *to, const struct ws_cond *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->revision = from->stamp;
}

static void convert_operation(struct production_operation *to, const struct ws_op *from)
{
	PRODUCTION_COPY_TEXT(to->key, from->key);
	to->value = from->value;
	to->session = from->hold;
}

static void convert_call_lists(struct production_call *to, const struct ws_call *from)
{
	to->compare_count = from->nconds;
	to->compares = production_allocate(from->nconds, sizeof(*to->compares));
	for (size_t i = 0; i < from->nconds; i++)
		convert_compare(&to->compares[i], &from->conds[i]);
	to->operation_count = from->nops;
	to->operations = production_allocate(from->nops, sizeof(*to->operations));
	for (size_t i = 0; i < from->nops; i++)
		convert_operation(&to->operations[i], &from->ops[i]);
	to->name_count = from->nnames;
	to->names = production_allocate(from->nnames, sizeof(*to->names));
	for (size_t i = 0; i < from->nnames; i++)
		PRODUCTION_COPY_TEXT(to->names[i], from->names[i]);
	to->command_count = from->norders;
	to->commands = production_allocate(from->norders, sizeof(*to->commands));
	for (size_t i = 0; i < from->norders; i++)
		convert_command(&to->commands[i], &from->orders[i]);
}

static void convert_call(struct production_call *to, struct ws_call *from)
{
	to->kind = PRODUCTION_ENUMERATOR(call_kinds, from->kind);
	PRODUCTION_COPY_TEXT(to->key, from->key);
	PRODUCTION_COPY_TEXT(to->after, from->after);
	to->since = from->since;
	to->duration_ms = from->ms;
	to->session = from->hold;
	PRODUCTION_COPY_TEXT(to->type, from->type);
	PRODUCTION_COPY_TEXT(to->zone, from->zone);
	to->preemptible = from->spot;
	to->count = from->count;
	PRODUCTION_COPY_TEXT(to->address, from->host);
	to->port = from->port;
	to->fencing_token = from->epoch;
	to->incarnation = from->tenure;
	to->urgent = from->urgent;
	to->paced = from->paced;
	to->made_at = from->made;
	convert_call_lists(to, from);
	to->origin = from;
}

static void convert_effect(struct production_effect *to, const struct ws_action *from)
{
	to->kind = PRODUCTION_ENUMERATOR(effect_kinds, from->kind);
	to->token = from->token;
	to->status = from->status;
	to->retry_after = from->retry_after;
	PRODUCTION_COPY_TEXT(to->name, from->name);
	to->phase = PRODUCTION_ENUMERATOR(job_phases, from->phase);
	to->done = from->done;
	to->running = from->running;
	to->has_counts = from->counts;
	to->pinned = from->pinned;
	to->fencing_token = from->epoch;
	to->command_count = from->norders;
	to->commands = production_allocate(from->norders, sizeof(*to->commands));
	for (size_t i = 0; i < from->norders; i++)
		convert_command(&to->commands[i], &from->orders[i]);
	if (from->call) {
		to->call = production_allocate(1, sizeof(*to->call));
		convert_call(to->call, from->call);
	}
}

/* ---- the functions of the interface ---- */

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
	ws_action_free(action); /* its call is the caller's from now on */
	return effect;
}

static void complete(struct production_core *production, double now, void *origin,
		     const struct production_result *result)
{
	struct ws_result converted = {0};

	convert_result(&converted, result);
	ws_core_complete(production->core, now, origin, &converted);
	clear_result(&converted);
}

static void resign(struct production_core *production, double now)
{
	ws_core_resign(production->core, now);
}

static bool ready(const struct production_core *production)
{
	return ws_core_ready(production->core);
}

static bool leading(const struct production_core *production)
{
	return ws_core_leading(production->core);
}

static void submit(struct production_core *production, double now, double wall, uint64_t token,
		   const struct production_job_spec *spec, bool forwarded)
{
	struct ws_spec converted = {0};

	convert_job_spec(&converted, spec);
	ws_core_submit(production->core, now, wall, token, &converted, forwarded);
}

static void poll_job(struct production_core *production, double now, uint64_t token,
		     const char *job, bool forwarded)
{
	ws_core_poll(production->core, now, token, job, forwarded);
}

static void abort_job(struct production_core *production, double now, uint64_t token,
		      const char *job, bool forwarded)
{
	ws_core_abort(production->core, now, token, job, forwarded);
}

static void take_heartbeat(struct production_core *production, double now, uint64_t token,
			   const struct production_heartbeat *heartbeat, bool forwarded)
{
	struct ws_report converted = {0};

	convert_heartbeat(&converted, heartbeat);
	ws_core_report(production->core, now, token, &converted, forwarded);
	free(converted.tasks);
}

static void outage_vote(struct production_core *production, double now, uint64_t token)
{
	ws_core_testify(production->core, now, token);
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

static void free_call(void *origin)
{
	ws_call_free(origin);
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
	    .ready = ready,
	    .leading = leading,
	    .submit = submit,
	    .poll = poll_job,
	    .abort = abort_job,
	    .heartbeat = take_heartbeat,
	    .outage_vote = outage_vote,
	    .free_effect = free_effect,
	    .free_call = free_call,
	};

	return &api;
}
