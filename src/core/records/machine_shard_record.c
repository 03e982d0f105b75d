/*
 * The record of a shard of the machines. It contains addresses and most recently cached images, so
 * that a new leader can contact the machines and place tasks as well as its predecessor:
 *
 *   {"im": [image, ...],
 *    "m": [[name, address, port, type, zone, preemptible, incarnation, [image's index, ...]], ...]}
 */
#include "../memory.h"
#include "record_fields.h"
#include "records.h"
#include "text_builder.h"
#include <stdlib.h>
#include <string.h>

#define WS_SHARD_RESERVE 64	/* bytes of the record outside its lists, with a margin */
#define WS_MACHINE_RESERVE 30	/* upper bound of a machine's punctuation, port and flag, bytes */
#define WS_IMAGE_INDEX_BYTES 5	/* bytes reserved for an image's index and its comma */
#define WS_IMAGE_NAME_RESERVE 3 /* bytes of punctuation around an image's name */

/* State of encoding a shard's record. */
struct ws_shard_writer {
	const struct ws_machine_shard_record *record;
	size_t used, limit;  /* size of the record, bytes */
	json_t *image_names; /* image names written so far */
	int *positions;	     /* 1-based position of each image in image_names; 0 if not written */
};

static size_t ws_machine_bytes(const struct ws_machine_record *machine)
{
	return strlen(machine->name) + strlen(machine->address) + strlen(machine->type) +
	       strlen(machine->zone) + WS_MACHINE_RESERVE + ws_decimal_digits(machine->incarnation);
}

/* Returns the number of machines that fit and adds their sizes to the bytes used. */
static size_t ws_machines_fit(struct ws_shard_writer *writer)
{
	size_t count = 0;

	while (count < writer->record->machine_count) {
		writer->used += ws_machine_bytes(&writer->record->machines[count]);
		if (writer->used > writer->limit)
			break;
		count++;
	}
	return count;
}

/* Encodes the cached images of a machine, leaving out those that do not fit. */
static json_t *ws_machine_images_encode(struct ws_shard_writer *writer,
					const struct ws_machine_record *machine)
{
	json_t *images = json_array();

	for (int i = 0; i < machine->image_count; i++) {
		const char *name = writer->record->image_names[machine->images[i]];
		int *position = &writer->positions[machine->images[i]];
		size_t added = WS_IMAGE_INDEX_BYTES;

		if (!*position)
			added += strlen(name) + WS_IMAGE_NAME_RESERVE;
		if (writer->used + added > writer->limit)
			continue;
		writer->used += added;
		if (!*position) {
			json_array_append_new(writer->image_names, json_string(name));
			*position = (int)json_array_size(writer->image_names);
		}
		json_array_append_new(images, json_integer(*position - 1));
	}
	return images;
}

json_t *ws_machine_shard_record_encode(const struct ws_machine_shard_record *record, size_t limit)
{
	struct ws_shard_writer writer = {
	    .record = record, .used = WS_SHARD_RESERVE, .limit = limit};
	size_t machine_count = ws_machines_fit(&writer);
	json_t *machines = json_array();

	writer.image_names = json_array();
	writer.positions = ws_alloc(record->image_name_count + 1, sizeof(*writer.positions));
	for (size_t i = 0; i < machine_count; i++) {
		const struct ws_machine_record *machine = &record->machines[i];

		json_array_append_new(
		    machines, json_pack("[s,s,i,s,s,b,I,o]", machine->name, machine->address,
					machine->port, machine->type, machine->zone,
					machine->preemptible, (json_int_t)machine->incarnation,
					ws_machine_images_encode(&writer, machine)));
	}
	free(writer.positions);
	return json_pack("{s:o,s:o}", WS_FIELD_IMAGE_NAMES, writer.image_names, WS_FIELD_MACHINES,
			 machines);
}

/* Decodes the cached images of a machine, ignoring indices out of range. */
static void ws_machine_images_decode(json_t *images, const struct ws_machine_shard_record *record,
				     struct ws_machine_record *machine)
{
	json_t *value;
	size_t i;

	json_array_foreach (images, i, value) {
		size_t index = (size_t)json_integer_value(value);

		if (index < record->image_name_count && record->image_names[index] &&
		    machine->image_count < WS_RECORD_IMAGES_MAX)
			machine->images[machine->image_count++] = (int)index;
	}
}

static enum ws_record_outcome ws_machine_decode(json_t *value,
						const struct ws_machine_shard_record *record,
						struct ws_machine_record *machine)
{
	json_int_t incarnation;
	json_t *images;
	int preemptible;

	*machine = (struct ws_machine_record){0};
	if (json_unpack(value, "[s,s,i,s,s,b,I,o]", &machine->name, &machine->address,
			&machine->port, &machine->type, &machine->zone, &preemptible, &incarnation,
			&images))
		return WS_RECORD_MALFORMED;
	if (strlen(machine->name) >= WS_NAME_MAX)
		return WS_RECORD_OUT_OF_RANGE;
	machine->preemptible = preemptible;
	machine->incarnation = (uint64_t)incarnation;
	ws_machine_images_decode(images, record, machine);
	return WS_RECORD_DECODED;
}

void ws_machine_shard_record_decode(json_t *value, struct ws_machine_shard_record *record)
{
	json_t *names = json_object_get(value, WS_FIELD_IMAGE_NAMES);
	json_t *machines = json_object_get(value, WS_FIELD_MACHINES);
	json_t *machine;
	size_t i;

	*record = (struct ws_machine_shard_record){.image_name_count = json_array_size(names)};
	record->image_names = calloc(record->image_name_count + 1, sizeof(*record->image_names));
	record->machines = calloc(json_array_size(machines) + 1, sizeof(*record->machines));
	if (!record->image_names || !record->machines)
		abort();
	for (i = 0; i < record->image_name_count; i++)
		record->image_names[i] = json_string_value(json_array_get(names, i));
	json_array_foreach (machines, i, machine) {
		struct ws_machine_record *next = &record->machines[record->machine_count];

		if (ws_machine_decode(machine, record, next) == WS_RECORD_DECODED)
			record->machine_count++;
	}
}

void ws_machine_shard_record_free(struct ws_machine_shard_record *record)
{
	free(record->machines);
	free(record->image_names);
	*record = (struct ws_machine_shard_record){0};
}
