#include "memory.h"
#include <stdlib.h>

void *ws_alloc(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

void *ws_resize(void *memory, size_t count, size_t size)
{
	void *resized = reallocarray(memory, count ? count : 1, size);

	if (!resized)
		abort();
	return resized;
}
