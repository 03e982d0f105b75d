/*
 * Adapter between the fleet and the records of its shards: which machines a shard's record names,
 * and what a new leader takes over from one.
 */
#include "internal.h"

/* A machine as its shard's record has it; the strings are the machine's. */
static struct ws_machine_record ws_machine_record_of(const struct ws_machine *machine)
{
	struct ws_machine_record record = {
	    .name = machine->name,
	    .address = machine->host,
	    .port = machine->port,
	    .type = machine->type_name,
	    .zone = machine->zone,
	    .preemptible = machine->spot,
	    .incarnation = machine->tenure,
	};

	record.image_count = machine->ncache < WS_CACHE_KEPT ? machine->ncache : WS_CACHE_KEPT;
	memcpy(record.images, machine->cache,
	       (size_t)record.image_count * sizeof(record.images[0]));
	return record;
}

json_t *ws_record_chunk(struct ws_core *c, int chunk)
{
	size_t most = (size_t)ws_chunk_size(c) + 1;
	struct ws_machine_shard_record record = {.image_names = c->image_names,
						 .image_name_count = (size_t)c->nimages};
	struct ws_machine *machine, *next;
	json_t *value;

	record.machines = calloc(most, sizeof(*record.machines));
	if (!record.machines)
		abort();
	HASH_ITER (hh, c->machines, machine, next)
		if (machine->chunk == chunk && !machine->gone && machine->port &&
		    record.machine_count < most)
			record.machines[record.machine_count++] = ws_machine_record_of(machine);
	value = ws_machine_shard_record_encode(&record, (size_t)c->value_most);
	free(record.machines);
	return value;
}

/* The machine belongs to this shard from now on, or to another one if this one is full. */
static void ws_machine_assign_shard(struct ws_core *c, struct ws_machine *machine, int chunk)
{
	if (ws_chunk_at(c, chunk)->n < ws_chunk_size(c)) {
		machine->chunk = chunk;
		ws_chunk_at(c, chunk)->n++;
	} else { /* written under a higher limit: the rest goes to others */
		ws_chunk_dirty(c, chunk);
	}
}

/* Takes over what a record tells of a machine, unless another shard's has named it. */
static void ws_machine_restore(struct ws_core *c, const struct ws_machine_shard_record *shard,
			       const struct ws_machine_record *record, int chunk)
{
	struct ws_machine *machine = ws_machine_get(c, record->name);

	if (machine->chunk >= 0)
		return;
	ws_machine_assign_shard(c, machine, chunk);
	machine->on_record = true;
	ws_machine_place(c, machine, record->type, record->zone, record->preemptible);
	snprintf(machine->host, sizeof(machine->host), "%s", record->address);
	machine->port = record->port;
	if (record->incarnation > machine->tenure)
		machine->tenure = record->incarnation;
	for (int i = 0; i < record->image_count && machine->ncache < WS_CACHE_KEPT; i++) {
		const char *image = shard->image_names[record->images[i]];

		machine->cache[machine->ncache++] = ws_image_id(c, image);
	}
}

void ws_record_read_chunk(struct ws_core *c, json_t *v, int chunk)
{
	struct ws_machine_shard_record shard;

	ws_machine_shard_record_decode(v, &shard);
	for (size_t i = 0; i < shard.machine_count; i++)
		ws_machine_restore(c, &shard, &shard.machines[i], chunk);
	ws_machine_shard_record_free(&shard);
}
