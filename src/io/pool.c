#include "pool.h"
#include "http_common.h"
#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>

/* A value takes a few times the bytes of its text; pages that are not used take no memory. */
#define POOL_SIZE (16 * WS_BODY_MAX)
#define ALIGNMENT ((size_t)16)

static _Alignas(16) unsigned char block[POOL_SIZE];
static size_t used;	     /* of the block */
static size_t misses;	     /* allocations that went to malloc, from the start */
static size_t recent_misses; /* and since the last ws_pool_begin() */
static bool active;

static void *allocate(size_t size)
{
	size_t aligned = (size + ALIGNMENT - 1) & ~(ALIGNMENT - 1);

	if (active && aligned <= POOL_SIZE - used) {
		void *memory = block + used;

		used += aligned;
		return memory;
	}
	if (active) {
		misses++;
		recent_misses++;
	}
	return malloc(size);
}

/* What is in the block is given back with it. */
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
	used = recent_misses = 0;
	active = true;
}

bool ws_pool_whole(void)
{
	return recent_misses == 0 && used > 0;
}

void ws_pool_end(void)
{
	active = false;
}

size_t ws_pool_misses(void)
{
	return misses;
}
