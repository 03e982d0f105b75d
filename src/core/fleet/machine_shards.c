/*
 * Adapter between the fleet and the records of its shards: which machines a shard's record names,
 * and what a new leader takes over from one.
 */
#include "../core_state.h"

/* A machine as its shard's record has it; the strings are the machine's. */
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

	record.image_count =
	    machine->image_cache_count < WS_CACHE_KEPT ? machine->image_cache_count : WS_CACHE_KEPT;
	memcpy(record.images, machine->image_cache,
	       (size_t)record.image_count * sizeof(record.images[0]));
	return record;
}

json_t *ws_record_machine_shard(struct ws_core *core, int chunk)
{
	size_t most = (size_t)ws_shard_capacity(core) + 1;
	struct ws_machine_shard_record record = {.image_names = core->catalog.image_names,
						 .image_name_count =
						     (size_t)core->catalog.image_count};
	struct ws_machine *machine, *next;
	json_t *value;

	record.machines = calloc(most, sizeof(*record.machines));
	if (!record.machines)
		abort();
	HASH_ITER (hh, core->fleet.machines, machine, next)
		if (machine->shard == chunk && !machine->gone && machine->port &&
		    record.machine_count < most)
			record.machines[record.machine_count++] = ws_machine_record_of(machine);
	value = ws_machine_shard_record_encode(&record, (size_t)core->writer.value_bytes_max);
	free(record.machines);
	return value;
}

/* The machine belongs to this shard from now on, or to another one if this one is full. */
static void ws_machine_assign_shard(struct ws_core *core, struct ws_machine *machine, int chunk)
{
	if (ws_shard_at(core, chunk)->machine_count < ws_shard_capacity(core)) {
		machine->shard = chunk;
		ws_shard_at(core, chunk)->machine_count++;
	} else { /* written under a higher limit: the rest goes to others */
		ws_shard_mark_dirty(core, chunk);
	}
}

/* Takes over what a record tells of a machine, unless another shard's has named it. */
static void ws_machine_restore(struct ws_core *core, const struct ws_machine_shard_record *shard,
			       const struct ws_machine_record *record, int chunk)
{
	struct ws_machine *machine = ws_machine_find_or_add(core, record->name);

	if (machine->shard >= 0)
		return;
	ws_machine_assign_shard(core, machine, chunk);
	machine->recorded = true;
	ws_machine_set_kind(core, machine, record->type, record->zone, record->preemptible);
	snprintf(machine->address, sizeof(machine->address), "%s", record->address);
	machine->port = record->port;
	if (record->incarnation > machine->incarnation)
		machine->incarnation = record->incarnation;
	for (int i = 0; i < record->image_count && machine->image_cache_count < WS_CACHE_KEPT;
	     i++) {
		const char *image = shard->image_names[record->images[i]];

		machine->image_cache[machine->image_cache_count++] = ws_image_index(core, image);
	}
}

void ws_record_read_machine_shard(struct ws_core *core, json_t *value, int chunk)
{
	struct ws_machine_shard_record shard;

	ws_machine_shard_record_decode(value, &shard);
	for (size_t i = 0; i < shard.machine_count; i++)
		ws_machine_restore(core, &shard, &shard.machines[i], chunk);
	ws_machine_shard_record_free(&shard);
}
