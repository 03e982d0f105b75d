#include "pool.h"
#include "http_common.h"
#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>

/* A value takes a few times the bytes of its text; pages that are not used take no memory. */
#define WS_POOL_SIZE (16 * WS_BODY_MAX)

static _Alignas(16) unsigned char ws_block[WS_POOL_SIZE];
static size_t ws_used, ws_misses, ws_spilt;
static bool ws_on;

static void *ws_pool_alloc(size_t n)
{
	size_t want = (n + 15) & ~(size_t)15;

	if (ws_on && want <= WS_POOL_SIZE - ws_used) {
		void *p = ws_block + ws_used;

		ws_used += want;
		return p;
	}
	if (ws_on) {
		ws_misses++;
		ws_spilt++;
	}
	return malloc(n);
}

static void ws_pool_free(void *p)
{
	if ((uintptr_t)p - (uintptr_t)ws_block >= sizeof(ws_block))
		free(p);
}

void ws_pool_setup(void)
{
	json_set_alloc_funcs(ws_pool_alloc, ws_pool_free);
}

void ws_pool_begin(void)
{
	ws_used = ws_spilt = 0;
	ws_on = true;
}

bool ws_pool_whole(void)
{
	return ws_spilt == 0 && ws_used > 0;
}

void ws_pool_end(void)
{
	ws_on = false;
}

size_t ws_pool_misses(void)
{
	return ws_misses;
}
