#include "pool.h"
#include "http_common.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

/* A JSON document takes a few times the size of its text. Pages never written use no memory. */
#define POOL_SIZE (16 * WS_BODY_MAX)
#define ALIGNMENT ((size_t)16)

static _Alignas(16) unsigned char block[POOL_SIZE];
static size_t used_bytes; /* bytes allocated from the block */
static size_t misses;	  /* allocations passed to malloc() since the process started */
static bool active;

static void *allocate(size_t size)
{
	size_t aligned = (size + ALIGNMENT - 1) & ~(ALIGNMENT - 1);

	if (active && aligned <= POOL_SIZE - used_bytes) {
		void *memory = block + used_bytes;

		used_bytes += aligned;
		return memory;
	}
	if (active)
		misses++;
	return malloc(size);
}

/* Memory of the block is not freed singly: the next ws_pool_begin() reuses the whole block. */
static void release(void *memory)
{
	if ((uintptr_t)memory - (uintptr_t)block >= sizeof(block))
		free(memory);
}

void ws_pool_setup(void)
{
	json_set_alloc_funcs(allocate, release);
}

void ws_pool_begin(void)
{
	used_bytes = 0;
	active = true;
}

void ws_pool_end(void)
{
	active = false;
}

size_t ws_pool_misses(void)
{
	return misses;
}
