/* Records of scale-out requests: rental/<idempotency key>. */
#include "internal.h"
#include "record_sources.h"

/* Estimate of a record's bytes: its fields, and each instance that it names. */
#define RECORD_BYTES 512
#define INSTANCE_BYTES 64

static struct ws_rental *ws_scale_out_of(struct ws_core *core, const char *key)
{
	const char *name = key + strlen(WS_SCALE_OUT_PREFIX);
	struct ws_rental *request;

	HASH_FIND_STR(core->rentals, name, request);
	return request;
}

static void ws_scale_out_load(struct ws_core *core, const struct ws_kv *record)
{
	struct ws_rental *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	snprintf(request->booking, sizeof(request->booking), "%s",
		 record->key + strlen(WS_SCALE_OUT_PREFIX));
	request->stamp = record->stamp;
	request->made = request->next_try = core->now;
	if (!ws_record_read_rental(record->value, request)) {
		ws_log(core, WS_LOG_ERROR, "%s can't be read, left alone", record->key);
		free(request->hosts);
		free(request);
		return;
	}
	HASH_ADD_STR(core->rentals, booking, request);
	for (uint32_t i = 0; i < request->nhosts; i++) {
		struct ws_machine *machine = ws_machine_get(core, request->hosts[i]);

		machine->on_record = true;
		ws_machine_place(core, machine, request->type, request->zone, request->spot);
	}
}

/* Adds one record that is due; its value stays out if it is too long. */
static void ws_scale_out_add(struct ws_core *core, struct ws_write_batch *batch,
			     struct ws_rental *request)
{
	json_t *value = request->state == WS_RENTAL_DROP ? NULL : ws_record_rental(request);
	char key[WS_KEY_MAX];

	DL_DELETE2(core->dirty_rentals, request, dprev, dnext);
	request->dirty = false;
	if (value && (double)ws_record_size(value) >= core->value_most) {
		json_decref(value); /* of a higher limit: when it is shorter */
		return;
	}
	request->writing = true;
	ws_write_counts_add(core, WS_WROTE_RENTALS);
	batch->bytes += RECORD_BYTES + request->nhosts * INSTANCE_BYTES;
	snprintf(key, sizeof(key), "%s%s", WS_SCALE_OUT_PREFIX, request->booking);
	ws_write_batch_set_if(batch, key, request->stamp, value);
}

static void ws_scale_out_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	struct ws_rental *request, *next;

	DL_FOREACH_SAFE2 (core->dirty_rentals, request, next, dnext) {
		if (!ws_write_batch_room(batch) || ws_write_batch_is_full(batch))
			break;
		if (!request->writing)
			ws_scale_out_add(core, batch, request);
	}
}

static void ws_scale_out_written(struct ws_core *core, const struct ws_op *operation,
				 uint64_t revision)
{
	struct ws_rental *request = ws_scale_out_of(core, operation->key);

	if (!request)
		return;
	request->writing = false;
	request->stamp = operation->value ? revision : 0;
	ws_rental_written(core, request, !operation->value);
}

static bool ws_scale_out_not_written(struct ws_core *core, const struct ws_op *operation,
				     const struct ws_cond *failed_compare)
{
	struct ws_rental *request = ws_scale_out_of(core, operation->key);

	if (!request)
		return false;
	if (failed_compare)
		return true;
	request->writing = false;
	ws_rental_dirty(core, request);
	return false;
}

static void ws_scale_out_read_again(struct ws_core *core, const char *key, bool found,
				    uint64_t revision)
{
	struct ws_rental *request = ws_scale_out_of(core, key);

	(void)found;
	if (!request)
		return;
	request->stamp = revision;
	request->writing = false;
	ws_rental_dirty(core, request);
}

const struct ws_record_source ws_scale_out_records = {
    .key_prefix = WS_SCALE_OUT_PREFIX,
    .load = ws_scale_out_load,
    .collect = ws_scale_out_collect,
    .written = ws_scale_out_written,
    .not_written = ws_scale_out_not_written,
    .read_again = ws_scale_out_read_again,
};
