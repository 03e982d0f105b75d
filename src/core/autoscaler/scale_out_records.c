/* Stored records of scale-out requests, under the keys rental/<idempotency key>. */
#include "../core_state.h"
#include "../record_sources.h"

json_t *ws_scale_out_encode(const struct ws_scale_out *request)
{
	struct ws_scale_out_record record = {
	    .type = request->type,
	    .zone = request->zone,
	    .preemptible = request->preemptible,
	    .count = request->count,
	    .granted = request->state == WS_SCALE_OUT_GRANTED,
	    .instance_count = request->instance_count,
	};

	for (uint32_t i = 0; i < request->instance_count; i++)
		record.instances[i] = request->instances[i];
	return ws_scale_out_record_encode(&record);
}

bool ws_scale_out_decode(json_t *value, struct ws_scale_out *request)
{
	struct ws_scale_out_record record;

	if (ws_scale_out_record_decode(value, &record) != WS_RECORD_DECODED)
		return false;
	snprintf(request->type, sizeof(request->type), "%s", record.type);
	snprintf(request->zone, sizeof(request->zone), "%s", record.zone);
	request->preemptible = record.preemptible;
	request->count = record.count;
	request->state = record.granted ? WS_SCALE_OUT_GRANTED : WS_SCALE_OUT_RECORDED;
	request->instances = calloc(record.instance_count + 1, sizeof(*request->instances));
	if (!request->instances)
		return false;
	for (uint32_t i = 0; i < record.instance_count; i++)
		snprintf(request->instances[request->instance_count++], WS_NAME_MAX, "%s",
			 record.instances[i]);
	return true;
}

/* Estimated bytes of a record: its fields, and each instance name. */
#define RECORD_BYTES 512
#define INSTANCE_BYTES 64

/* Returns NULL if no request with the idempotency key in a record's key exists. */
static struct ws_scale_out *ws_scale_out_of(struct ws_core *core, const char *key)
{
	const char *name = key + strlen(WS_KEY_PREFIX_SCALE_OUT);
	struct ws_scale_out *request;

	HASH_FIND_STR(core->autoscaler.requests, name, request);
	return request;
}

static void ws_scale_out_load(struct ws_core *core, const struct ws_kv *record)
{
	struct ws_scale_out *request = ws_alloc(1, sizeof(*request));

	snprintf(request->idempotency_key, sizeof(request->idempotency_key), "%s",
		 record->key + strlen(WS_KEY_PREFIX_SCALE_OUT));
	request->revision = record->revision;
	request->created_at = request->next_attempt_at = core->now;
	if (!ws_scale_out_decode(record->value, request)) {
		ws_log(core, WS_LOG_ERROR, "malformed scale-out record ignored key=%s",
		       record->key);
		free(request->instances);
		free(request);
		return;
	}
	HASH_ADD_STR(core->autoscaler.requests, idempotency_key, request);
	for (uint32_t i = 0; i < request->instance_count; i++) {
		struct ws_machine *machine = ws_machine_find_or_add(core, request->instances[i]);

		machine->recorded = true;
		ws_machine_set_kind(core, machine, request->type, request->zone,
				    request->preemptible);
	}
}

/* Adds the write of a request's record to the batch, unless its value exceeds the store's limit. */
static void ws_scale_out_add(struct ws_core *core, struct ws_write_batch *batch,
			     struct ws_scale_out *request)
{
	json_t *value =
	    request->state == WS_SCALE_OUT_DISCARDED ? NULL : ws_scale_out_encode(request);
	char key[WS_KEY_MAX];

	DL_DELETE2(core->autoscaler.dirty_requests, request, dirty_prev, dirty_next);
	request->dirty = false;
	if (value && (double)ws_record_size(value) >= core->writer.value_bytes_max) {
		json_decref(value); /* written under a higher limit; it is written again when it is
				       shorter */
		return;
	}
	request->write_in_flight = true;
	ws_write_counts_add(core, WS_WRITE_SCALE_OUTS);
	batch->bytes += RECORD_BYTES + request->instance_count * INSTANCE_BYTES;
	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_SCALE_OUT, request->idempotency_key);
	ws_write_batch_set_if(batch, key, request->revision, value);
}

static void ws_scale_out_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	struct ws_scale_out *request, *next;

	DL_FOREACH_SAFE2 (core->autoscaler.dirty_requests, request, next, dirty_next) {
		if (!ws_write_batch_operations_left(batch) || ws_write_batch_is_full(batch))
			break;
		if (!request->write_in_flight)
			ws_scale_out_add(core, batch, request);
	}
}

static void ws_scale_out_record_written(struct ws_core *core, const struct ws_operation *operation,
					uint64_t revision)
{
	struct ws_scale_out *request = ws_scale_out_of(core, operation->key);

	if (!request)
		return;
	request->write_in_flight = false;
	request->revision = operation->value ? revision : 0;
	ws_scale_out_written(core, request, !operation->value);
}

static bool ws_scale_out_not_written(struct ws_core *core, const struct ws_operation *operation,
				     const struct ws_compare *failed_compare)
{
	struct ws_scale_out *request = ws_scale_out_of(core, operation->key);

	if (!request)
		return false;
	if (failed_compare)
		return true;
	request->write_in_flight = false;
	ws_scale_out_mark_dirty(core, request);
	return false;
}

static void ws_scale_out_read_again(struct ws_core *core, const char *key, bool found,
				    uint64_t revision)
{
	struct ws_scale_out *request = ws_scale_out_of(core, key);

	(void)found;
	if (!request)
		return;
	request->revision = revision;
	request->write_in_flight = false;
	ws_scale_out_mark_dirty(core, request);
}

const struct ws_record_source ws_scale_out_records = {
    .key_prefix = WS_KEY_PREFIX_SCALE_OUT,
    .load = ws_scale_out_load,
    .collect = ws_scale_out_collect,
    .written = ws_scale_out_record_written,
    .not_written = ws_scale_out_not_written,
    .read_again = ws_scale_out_read_again,
};
