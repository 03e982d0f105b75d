/*
 * Scale-out requests and the cloud's replies to them. A request's idempotency key is stored before
 * the request is sent. A request without a reply is sent again with the same key, and no key is
 * used for two requests.
 */
#include "../memory.h"
#include "autoscaler_internal.h"

/* Sizes in a request's record: the maximum of all fields but the names, and the quotes and comma of
 * one name. */
#define RECORD_FIXED_BYTES 256
#define NAME_OVERHEAD_BYTES 3
/* Allowance for names of new machines, which may be longer than that of the first. */
#define NAME_GROWTH_BYTES 4
/* Assumed length of a name while no machine is known. */
#define NAME_BYTES_ASSUMED 16

bool ws_scale_out_is_pending(const struct ws_scale_out *request)
{
	return request->state == WS_SCALE_OUT_NEW || request->state == WS_SCALE_OUT_RECORDED ||
	       request->state == WS_SCALE_OUT_SENT;
}

void ws_scale_out_mark_dirty(struct ws_core *core, struct ws_scale_out *request)
{
	if (request->dirty)
		return;
	request->dirty = true;
	ws_writer_wake(core);
	DL_APPEND2(core->autoscaler.dirty_requests, request, dirty_prev, dirty_next);
}

void ws_scale_out_free(struct ws_core *core, struct ws_scale_out *request)
{
	if (request->dirty)
		DL_DELETE2(core->autoscaler.dirty_requests, request, dirty_prev, dirty_next);
	HASH_DEL(core->autoscaler.requests, request);
	free(request->instances);
	free(request);
}

/* Marks a request as finished, so that its record is deleted. */
static void ws_scale_out_discard(struct ws_core *core, struct ws_scale_out *request)
{
	request->state = WS_SCALE_OUT_DISCARDED;
	ws_scale_out_mark_dirty(core, request);
}

/* Returns the maximum number of machines of one request, limited by the names that fit into its
 * record. */
static uint32_t ws_scale_out_count_limit(const struct ws_core *core)
{
	const struct ws_fleet *fleet = &core->fleet;
	size_t name_bytes = fleet->first_fit_count
				? strlen(fleet->first_fit_order[0]->name) + NAME_GROWTH_BYTES
				: NAME_BYTES_ASSUMED;
	double names = (core->writer.value_bytes_max - RECORD_FIXED_BYTES) /
		       (double)(name_bytes + NAME_OVERHEAD_BYTES);

	if (names > WS_SCALE_OUT_INSTANCES_MAX)
		return WS_SCALE_OUT_INSTANCES_MAX;
	return names < 1 ? 1 : (uint32_t)names;
}

struct ws_scale_out *ws_scale_out_create(struct ws_core *core, const struct ws_machine_kind *kind,
					 uint32_t machine_count)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	const uint32_t limit = ws_scale_out_count_limit(core);
	struct ws_scale_out *request = ws_alloc(1, sizeof(*request));

	snprintf(request->idempotency_key, sizeof(request->idempotency_key), "r-%llu-%llu",
		 (unsigned long long)(core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT),
		 (unsigned long long)++autoscaler->request_sequence);
	snprintf(request->type, sizeof(request->type), "%s", kind->type->name);
	snprintf(request->zone, sizeof(request->zone), "%s", core->catalog.zones[kind->zone_index]);
	request->preemptible = kind->preemptible;
	request->count = machine_count < limit ? machine_count : limit;
	request->created_at = core->now;
	HASH_ADD_STR(autoscaler->requests, idempotency_key, request);
	ws_scale_out_mark_dirty(core, request);
	autoscaler->scale_out_in_flight = autoscaler->last_call_was_scale_out = true;
	autoscaler->next_cloud_call_at = core->now + WS_CLOUD_CALL_INTERVAL_S;
	return request;
}

void ws_scale_out_written(struct ws_core *core, struct ws_scale_out *request, bool deleted)
{
	if (deleted) {
		ws_scale_out_free(core, request);
		return;
	}
	if (request->state == WS_SCALE_OUT_NEW) {
		request->state = WS_SCALE_OUT_RECORDED;
		request->next_attempt_at = core->now;
	}
}

/* Handles a grant, which may contain fewer instances than requested. */
static void ws_scale_out_granted(struct ws_core *core, struct ws_scale_out *request,
				 const struct ws_result *result)
{
	free(request->instances);
	request->instance_count = 0;
	request->instances = ws_alloc(result->instances.count + 1, sizeof(*request->instances));
	for (size_t i = 0; i < result->instances.count && i < WS_SCALE_OUT_INSTANCES_MAX; i++) {
		const char *name = result->instances.list[i].name;
		struct ws_machine *machine = ws_machine_find_or_add(core, name);

		snprintf(request->instances[request->instance_count++], WS_NAME_MAX, "%s", name);
		if (!machine->reported)
			ws_machine_set_kind(core, machine, request->type, request->zone,
					    request->preemptible);
	}
	ws_log(core, WS_LOG_INFO, "scale-out granted key=%s granted=%u count=%u",
	       request->idempotency_key, request->instance_count, request->count);
	if (request->instance_count < request->count)
		ws_capacity_error_back_off(core, request);
	else
		ws_capacity_error_clear(core, request);
	request->state = request->instance_count ? WS_SCALE_OUT_GRANTED : WS_SCALE_OUT_DISCARDED;
	ws_scale_out_mark_dirty(core, request);
}

/* Handles a final rejection by the cloud. */
static void ws_scale_out_rejected(struct ws_core *core, struct ws_scale_out *request)
{
	ws_capacity_error_back_off(core, request);
	ws_scale_out_discard(core, request);
}

static void ws_scale_out_answered(struct ws_core *core, struct ws_call *call,
				  const struct ws_result *result)
{
	struct ws_scale_out *request;

	if (call->generation != core->generation)
		return;
	core->autoscaler.scale_out_in_flight = false;
	HASH_FIND_STR(core->autoscaler.requests, call->scale_out.idempotency_key, request);
	if (!request)
		return;
	if (result->outcome == WS_OUTCOME_OK) {
		ws_scale_out_granted(core, request, result);
	} else if (result->outcome == WS_OUTCOME_UNAVAILABLE && result->instances.no_capacity) {
		ws_log(core, WS_LOG_INFO, "capacity error key=%s type=%s zone=%s preemptible=%s",
		       request->idempotency_key, request->type, request->zone,
		       request->preemptible ? "yes" : "no");
		ws_scale_out_rejected(core, request);
	} else if (result->outcome == WS_OUTCOME_REJECTED) {
		ws_log(core, WS_LOG_ERROR,
		       "scale-out request rejected by the cloud as malformed key=%s",
		       request->idempotency_key);
		ws_scale_out_rejected(core, request);
	} else { /* outage, rate limit or no reply: retry with the same key */
		request->state = WS_SCALE_OUT_RECORDED;
		request->next_attempt_at = ws_cloud_call_retry_at(core);
	}
	ws_core_request_pass(core);
}

static void ws_scale_out_send(struct ws_core *core, struct ws_scale_out *request)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_SCALE_OUT, ws_scale_out_answered);

	snprintf(call->scale_out.idempotency_key, sizeof(call->scale_out.idempotency_key), "%s",
		 request->idempotency_key);
	snprintf(call->scale_out.type, sizeof(call->scale_out.type), "%s", request->type);
	snprintf(call->scale_out.zone, sizeof(call->scale_out.zone), "%s", request->zone);
	call->scale_out.preemptible = request->preemptible;
	call->scale_out.count = request->count;
	request->state = WS_SCALE_OUT_SENT;
	core->autoscaler.scale_out_in_flight = true;
	core->autoscaler.next_cloud_call_at = core->now + WS_CLOUD_CALL_INTERVAL_S;
}

/* Removes machines that are gone from a request's record. An empty record is deleted. */
static void ws_scale_out_drop_gone(struct ws_core *core, struct ws_scale_out *request)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < request->instance_count; i++) {
		const struct ws_machine *machine = ws_machine_find(core, request->instances[i]);

		if (machine && !machine->gone)
			memmove(request->instances[left++], request->instances[i], WS_NAME_MAX);
	}
	if (left == request->instance_count)
		return;
	request->instance_count = left;
	if (!left)
		request->state = WS_SCALE_OUT_DISCARDED;
	ws_scale_out_mark_dirty(core, request);
}

bool ws_scale_out_update_due(struct ws_core *core)
{
	struct ws_autoscaler *autoscaler = &core->autoscaler;
	const double list_lag_s = core->settings->list_lag_s;
	const bool has_spare_writes = ws_writer_has_spare_budget(core);

	if (!autoscaler->records_stale || core->now < autoscaler->next_record_update_at)
		return false;
	autoscaler->records_stale = false;
	autoscaler->next_record_update_at =
	    core->now +
	    (has_spare_writes ? fmin(core->settings->lease_s / 32, list_lag_s) : list_lag_s);
	return true;
}

/* Returns whether a request may be sent now. Its call interval was already reserved when it was
 * created, so that interval is subtracted. */
static bool ws_scale_out_send_due(const struct ws_core *core, const struct ws_scale_out *request)
{
	return request->state == WS_SCALE_OUT_RECORDED && core->now >= request->next_attempt_at &&
	       core->now >= core->autoscaler.next_cloud_call_at - WS_CLOUD_CALL_INTERVAL_S;
}

void ws_scale_out_tick(struct ws_core *core, bool update_records)
{
	struct ws_scale_out *request, *next;

	HASH_ITER (hh, core->autoscaler.requests, request, next) {
		if (request->dirty || request->write_in_flight)
			continue;
		if (ws_scale_out_send_due(core, request)) {
			ws_scale_out_send(core, request);
			break;
		}
		if (update_records && request->state == WS_SCALE_OUT_GRANTED)
			ws_scale_out_drop_gone(core, request);
	}
}
