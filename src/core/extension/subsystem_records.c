/*
 * The record source of the attached subsystems.
 *
 * Their records are written in the leader's transactions, on condition that the leader key and each
 * record still have their last known revisions. A record that was changed by anyone else is read
 * again and then overwritten, because only the leader owns it.
 */
#include "../core_state.h"
#include "../record_sources.h"

const struct ws_subsystem *ws_subsystem_of(const struct ws_core *core, const char *key)
{
	for (size_t i = 0; i < core->subsystems.count; i++)
		if (ws_key_has_prefix(key, core->subsystems.list[i].ops->prefix))
			return &core->subsystems.list[i];
	return NULL;
}

/* ---- the leader's copies of the records ---- */

static struct ws_subsystem_record *ws_subsystem_record_find(struct ws_core *core, const char *key)
{
	struct ws_subsystem_record *record;

	HASH_FIND_STR(core->subsystems.records, key, record);
	return record;
}

static struct ws_subsystem_record *ws_subsystem_record_find_or_add(struct ws_core *core,
								   const char *key)
{
	struct ws_subsystem_record *record = ws_subsystem_record_find(core, key);

	if (record)
		return record;
	record = ws_alloc(1, sizeof(*record));
	snprintf(record->key, sizeof(record->key), "%s", key);
	HASH_ADD_STR(core->subsystems.records, key, record);
	return record;
}

static void ws_subsystem_record_free(struct ws_core *core, struct ws_subsystem_record *record)
{
	core->subsystems.dirty_records -= record->dirty;
	HASH_DEL(core->subsystems.records, record);
	json_decref(record->value);
	free(record);
}

static void ws_subsystem_record_mark_dirty(struct ws_core *core, struct ws_subsystem_record *record)
{
	core->subsystems.dirty_records += !record->dirty;
	record->dirty = true;
	ws_writer_wake(core);
}

static void ws_subsystem_record_mark_clean(struct ws_core *core, struct ws_subsystem_record *record)
{
	record->dirty = false;
	core->subsystems.dirty_records--;
}

void ws_subsystem_record_set(struct ws_core *core, const char *key, json_t *value, bool urgent)
{
	struct ws_subsystem_record *record = ws_subsystem_record_find_or_add(core, key);

	json_decref(record->value);
	record->value = value;
	record->urgent = urgent;
	ws_subsystem_record_mark_dirty(core, record);
}

void ws_subsystem_records_clear(struct ws_core *core)
{
	struct ws_subsystem_record *record = core->subsystems.records, *next;

	HASH_CLEAR(hh, core->subsystems.records);
	for (; record; record = next) {
		next = record->hh.next;
		json_decref(record->value);
		free(record);
	}
	core->subsystems.dirty_records = 0;
}

/* ---- callbacks for the writer and the loader ---- */

static bool ws_subsystem_records_own(const struct ws_core *core, const char *key)
{
	return ws_subsystem_of(core, key) != NULL;
}

void ws_subsystem_record_load(struct ws_core *core, const struct ws_kv *record)
{
	const struct ws_subsystem *subsystem = ws_subsystem_of(core, record->key);

	if (!subsystem)
		return;
	ws_subsystem_record_find_or_add(core, record->key)->revision = record->revision;
	if (subsystem->ops->record_loaded)
		subsystem->ops->record_loaded(
		    subsystem->self, record->key + strlen(subsystem->ops->prefix), record->value);
}

/* Adds the write of a record to the batch, conditional on its last known revision. A record that
 * was deleted before it was ever written is freed, and one that is too large is not written. */
static void ws_subsystem_record_add(struct ws_core *core, struct ws_write_batch *batch,
				    struct ws_subsystem_record *record)
{
	size_t size = record->value ? ws_record_size(record->value) : 0;

	if (!record->value && !record->revision) { /* deleted before it was ever written */
		ws_subsystem_record_free(core, record);
		return;
	}
	ws_subsystem_record_mark_clean(core, record);
	if ((double)size >= core->writer.value_bytes_max) {
		ws_log(core, WS_LOG_ERROR,
		       "subsystem record exceeds the value limit, not written key=%s bytes=%zu",
		       record->key, size);
		return;
	}
	batch->bytes += size + WS_KEY_MAX;
	ws_write_batch_set_if(batch, record->key, record->revision, json_incref(record->value));
	record->write_in_flight = true;
}

static void ws_subsystem_records_collect_by_urgency(struct ws_core *core,
						    struct ws_write_batch *batch, bool urgent)
{
	struct ws_subsystem_record *record, *next;

	if (!core->subsystems.dirty_records)
		return;
	HASH_ITER (hh, core->subsystems.records, record, next) {
		if (!ws_write_batch_operations_left(batch) || ws_write_batch_is_full(batch))
			return;
		if (record->dirty && !record->write_in_flight && record->urgent == urgent)
			ws_subsystem_record_add(core, batch, record);
	}
}

static void ws_subsystem_records_collect(struct ws_core *core, struct ws_write_batch *batch)
{
	ws_subsystem_records_collect_by_urgency(core, batch, false);
}

static void ws_subsystem_records_collect_urgent(struct ws_core *core, struct ws_write_batch *batch)
{
	ws_subsystem_records_collect_by_urgency(core, batch, true);
}

static void ws_subsystem_record_written(struct ws_core *core, const struct ws_operation *operation,
					uint64_t revision)
{
	struct ws_subsystem_record *record = ws_subsystem_record_find(core, operation->key);

	if (!record)
		return;
	record->write_in_flight = false;
	record->revision = operation->value ? revision : 0;
	if (!operation->value && !record->dirty)
		ws_subsystem_record_free(core, record);
}

static bool ws_subsystem_record_not_written(struct ws_core *core,
					    const struct ws_operation *operation,
					    const struct ws_compare *failed_compare)
{
	struct ws_subsystem_record *record = ws_subsystem_record_find(core, operation->key);

	if (!record)
		return false;
	if (failed_compare)
		return true;
	record->write_in_flight = false;
	ws_subsystem_record_mark_dirty(core, record);
	return false;
}

static void ws_subsystem_record_read_again(struct ws_core *core, const char *key, bool found,
					   uint64_t revision)
{
	struct ws_subsystem_record *record = ws_subsystem_record_find(core, key);

	(void)found;
	if (!record)
		return;
	record->revision = revision;
	record->write_in_flight = false;
	ws_subsystem_record_mark_dirty(core, record);
}

const struct ws_record_source ws_subsystem_records = {
    .owns = ws_subsystem_records_own,
    .load = ws_subsystem_record_load,
    .collect = ws_subsystem_records_collect,
    .written = ws_subsystem_record_written,
    .not_written = ws_subsystem_record_not_written,
    .read_again = ws_subsystem_record_read_again,
};

/* This source owns no key: ws_subsystem_records handles the outcome of its writes. */
const struct ws_record_source ws_urgent_subsystem_records = {
    .collect = ws_subsystem_records_collect_urgent,
};
