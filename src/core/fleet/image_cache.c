/* The images that a machine has used most recently, which it probably need not fetch again. */
#include "../core_state.h"

/* Moves the entries before a position back by one and puts an image first. */
static void ws_image_cache_put_first(struct ws_machine *machine, int image, int position)
{
	memmove(machine->image_cache + 1, machine->image_cache,
		(size_t)position * sizeof(machine->image_cache[0]));
	machine->image_cache[0] = image;
}

void ws_image_cache_touch(struct ws_core *core, struct ws_machine *machine, int image)
{
	int position = 0;

	while (position < machine->image_cache_count && machine->image_cache[position] != image)
		position++;
	if (position < machine->image_cache_count && position < WS_RECORD_IMAGES_MAX) {
		ws_image_cache_put_first(machine, image, position);
		return;
	}
	if (position == machine->image_cache_count &&
	    machine->image_cache_count < WS_IMAGE_CACHE_MAX)
		machine->image_cache_count++;
	if (position == WS_IMAGE_CACHE_MAX)
		position--;
	ws_image_cache_put_first(machine, image, position);
	if (machine->shard >= 0)
		ws_shard_at(core, machine->shard)->images_outdated = true;
}
