/*
 * The record source of the machine shards, fleet/<number>. The next leader probes the machines
 * named there. Nothing else depends on these records, so they are written with a delay, one at a
 * time.
 */
#include "../core_state.h"
#include "../record_sources.h"

/* A dirty shard is written after a lease divided by the first number, or by the second one if there
 * is no spare write budget. */
#define WRITE_DELAYS_PER_LEASE 32
#define WRITE_DELAYS_PER_LEASE_LOW_BUDGET 4
/* If only the images have changed, a shard is written at most this often in a lease. */
#define IMAGE_WRITES_PER_LEASE 2
/* The pause between the writes of two shards is the time of this many writes at the store's write
 * rate. */
#define PAUSE_WRITES 8

static int ws_machine_shard_number(const char *key)
{
	return (int)strtol(key + strlen(WS_KEY_PREFIX_MACHINE_SHARD), NULL, 10);
}

static void ws_machine_shard_load(struct ws_core *core, const struct ws_kv *record)
{
	int number = ws_machine_shard_number(record->key);

	if (number < 0 || number >= WS_MAX_MACHINE_SHARDS)
		return;
	ws_shard_at(core, number)->revision = record->revision;
	if (json_is_array(json_object_get(record->value, "m"))) {
		ws_machine_shard_restore(core, record->value, number);
	} else { /* counted as full, so that it is not overwritten */
		ws_log(core, WS_LOG_ERROR, "malformed machine shard record ignored key=%s",
		       record->key);
		ws_shard_at(core, number)->machine_count = ws_shard_capacity(core);
	}
}

/* Assigns a shard to the machines that only other records name. */
static void ws_machine_shard_loaded(struct ws_core *core)
{
	struct ws_machine *machine, *next;

	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->shard < 0 && machine->port)
			ws_machine_mark_dirty(core, machine);
}

/* Whether a shard is to be written now. */
static bool ws_machine_shard_is_due(const struct ws_core *core,
				    const struct ws_machine_shard *shard)
{
	bool spare = ws_writer_has_spare_budget(core);
	double lease_s = core->settings->lease_s;
	double delay_s =
	    lease_s / (spare ? WRITE_DELAYS_PER_LEASE : WRITE_DELAYS_PER_LEASE_LOW_BUDGET);

	if (shard->write_in_flight)
		return false;
	if (shard->dirty && core->now - shard->dirty_since > delay_s)
		return true;
	return shard->images_outdated &&
	       core->now - shard->written_at > lease_s / IMAGE_WRITES_PER_LEASE && spare;
}

static void ws_machine_shard_add(struct ws_core *core, struct ws_write_batch *batch, int number)
{
	struct ws_machine_shard *shard = &core->fleet.shards[number];
	char key[WS_KEY_MAX];

	shard->dirty = shard->images_outdated = false;
	shard->write_in_flight = true;
	ws_write_counts_add(core, WS_WRITE_FLEET);
	core->fleet.next_shard_write_at =
	    core->now + PAUSE_WRITES / core->settings->store_write_rps;
	batch->bytes += (size_t)core->writer.value_bytes_max;
	snprintf(key, sizeof(key), "%s%d", WS_KEY_PREFIX_MACHINE_SHARD, number);
	ws_write_batch_set_if(batch, key, shard->revision, ws_machine_shard_encode(core, number));
}

/* Adds one shard at a time, if the transaction has room: records that users wait for go first. */
static void ws_machine_shard_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	if (!ws_write_batch_operations_left(batch) || batch->bytes >= WS_TRANSACTION_FILL_BYTES ||
	    core->now < core->fleet.next_shard_write_at)
		return;
	for (int i = 0; i < core->fleet.shard_count; i++)
		if (ws_machine_shard_is_due(core, &core->fleet.shards[i])) {
			ws_machine_shard_add(core, batch, i);
			return;
		}
}

static void ws_machine_shard_written(struct ws_core *core, const struct ws_operation *operation,
				     uint64_t revision)
{
	struct ws_machine_shard *shard = ws_shard_at(core, ws_machine_shard_number(operation->key));

	shard->write_in_flight = false;
	shard->revision = revision;
	shard->written_at = core->now;
}

static bool ws_machine_shard_not_written(struct ws_core *core, const struct ws_operation *operation,
					 const struct ws_compare *failed_compare)
{
	int number = ws_machine_shard_number(operation->key);

	if (failed_compare)
		return true;
	ws_shard_at(core, number)->write_in_flight = false;
	ws_shard_mark_dirty(core, number);
	return false;
}

static void ws_machine_shard_read_again(struct ws_core *core, const char *key, bool found,
					uint64_t revision)
{
	int number = ws_machine_shard_number(key);
	struct ws_machine_shard *shard = ws_shard_at(core, number);

	(void)found;
	shard->revision = revision;
	shard->write_in_flight = false;
	ws_shard_mark_dirty(core, number);
}

const struct ws_record_source ws_machine_shard_records = {
    .key_prefix = WS_KEY_PREFIX_MACHINE_SHARD,
    .load = ws_machine_shard_load,
    .loaded = ws_machine_shard_loaded,
    .collect = ws_machine_shard_collect,
    .written = ws_machine_shard_written,
    .not_written = ws_machine_shard_not_written,
    .read_again = ws_machine_shard_read_again,
};
