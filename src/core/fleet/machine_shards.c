/*
 * The shards of the machines: assigns machines to shards, encodes the records of the shards, and
 * restores machines from these records on a new leader.
 */
#include "../core_state.h"

/* An upper bound for the bytes of a machine's entry in a record. Images use the bytes left over. */
#define MACHINE_ENTRY_BYTES_MAX 112
/* Maximum number of machines in a shard: as many as a version without gangs wrote into 16 KiB. That
 * version truncates longer records. */
#define SHARD_MACHINES_MAX 85

int ws_shard_capacity(const struct ws_core *core)
{
	int capacity = (int)(core->settings->value_kb * 1024 / MACHINE_ENTRY_BYTES_MAX);

	if (capacity < 1)
		return 1;
	return capacity > SHARD_MACHINES_MAX ? SHARD_MACHINES_MAX : capacity;
}

struct ws_machine_shard *ws_shard_at(struct ws_core *core, int index)
{
	if (index >= core->fleet.shard_count) {
		core->fleet.shards =
		    ws_resize(core->fleet.shards, (index + 1), sizeof(*core->fleet.shards));
		memset(core->fleet.shards + core->fleet.shard_count, 0,
		       (size_t)(index + 1 - core->fleet.shard_count) * sizeof(*core->fleet.shards));
		core->fleet.shard_count = index + 1;
	}
	return &core->fleet.shards[index];
}

void ws_shard_mark_dirty(struct ws_core *core, int index)
{
	struct ws_machine_shard *shard = ws_shard_at(core, index);

	if (!shard->dirty)
		shard->dirty_since = core->now;
	shard->dirty = true;
}

void ws_machine_mark_dirty(struct ws_core *core, struct ws_machine *machine)
{
	const struct ws_fleet *fleet = &core->fleet;
	int index = 0;

	if (machine->shard < 0) {
		while (index < fleet->shard_count &&
		       fleet->shards[index].machine_count >= ws_shard_capacity(core))
			index++;
		machine->shard = index;
		ws_shard_at(core, index)->machine_count++;
	}
	ws_shard_mark_dirty(core, machine->shard);
}

/* Returns the entry of a machine in its shard's record. The machine owns the strings. */
static struct ws_machine_record ws_machine_record_of(const struct ws_machine *machine)
{
	struct ws_machine_record record = {
	    .name = machine->name,
	    .address = machine->address,
	    .port = machine->port,
	    .type = machine->type_name,
	    .zone = machine->zone,
	    .preemptible = machine->preemptible,
	    .incarnation = machine->incarnation,
	};

	record.image_count = machine->image_cache_count < WS_RECORD_IMAGES_MAX
				 ? machine->image_cache_count
				 : WS_RECORD_IMAGES_MAX;
	memcpy(record.images, machine->image_cache,
	       (size_t)record.image_count * sizeof(record.images[0]));
	return record;
}

json_t *ws_machine_shard_encode(struct ws_core *core, int index)
{
	size_t capacity = (size_t)ws_shard_capacity(core) + 1;
	struct ws_machine_shard_record record = {.image_names = core->catalog.image_names,
						 .image_name_count =
						     (size_t)core->catalog.image_count};
	struct ws_machine *machine, *next;
	json_t *value;

	record.machines = ws_alloc(capacity, sizeof(*record.machines));
	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->shard == index && !machine->gone && machine->port &&
		    record.machine_count < capacity)
			record.machines[record.machine_count++] = ws_machine_record_of(machine);
	value = ws_machine_shard_record_encode(&record, (size_t)core->writer.value_bytes_max);
	free(record.machines);
	return value;
}

/* Assigns a restored machine to the shard that names it, unless that shard is full. */
static void ws_machine_assign_shard(struct ws_core *core, struct ws_machine *machine, int index)
{
	if (ws_shard_at(core, index)->machine_count < ws_shard_capacity(core)) {
		machine->shard = index;
		ws_shard_at(core, index)->machine_count++;
	} else { /* written under a higher limit: the other machines move to other shards */
		ws_shard_mark_dirty(core, index);
	}
}

/* Restores a machine from a shard's record, unless another shard's record has named it. */
static void ws_machine_restore(struct ws_core *core, const struct ws_machine_shard_record *shard,
			       const struct ws_machine_record *record, int index)
{
	struct ws_machine *machine = ws_machine_find_or_add(core, record->name);

	if (machine->shard >= 0)
		return;
	ws_machine_assign_shard(core, machine, index);
	machine->recorded = true;
	ws_machine_set_kind(core, machine, record->type, record->zone, record->preemptible);
	snprintf(machine->address, sizeof(machine->address), "%s", record->address);
	machine->port = record->port;
	if (record->incarnation > machine->incarnation)
		machine->incarnation = record->incarnation;
	for (int i = 0;
	     i < record->image_count && machine->image_cache_count < WS_RECORD_IMAGES_MAX; i++) {
		const char *image = shard->image_names[record->images[i]];

		machine->image_cache[machine->image_cache_count++] = ws_image_index(core, image);
	}
}

void ws_machine_shard_restore(struct ws_core *core, json_t *value, int index)
{
	struct ws_machine_shard_record shard;

	ws_machine_shard_record_decode(value, &shard);
	for (size_t i = 0; i < shard.machine_count; i++)
		ws_machine_restore(core, &shard, &shard.machines[i], index);
	ws_machine_shard_record_free(&shard);
}
