/*
 * Memory for JSON documents that live no longer than it takes to write a message: handed out from
 * one block, given back whole, where malloc would be asked for every node.
 */
#ifndef WS_POOL_H
#define WS_POOL_H
#include <stdbool.h>
#include <stddef.h>

/* Before any other use of jansson; without it all goes to malloc as ever. */
void ws_pool_setup(void);
/* Between these two jansson's memory comes from the block, and from malloc once that is used up.
 * One thread, not nested. Nothing made in between may live on, unless it was freed node by node. */
void ws_pool_begin(void);
/* True: all of it was in the block, so nothing need be freed one by one. */
bool ws_pool_whole(void);
void ws_pool_end(void);
/* What went to malloc in between, counted from the start, for tests. */
size_t ws_pool_misses(void);
#endif
