/*
 * An arena for JSON documents that exist only while a message is written. Allocations come from one
 * block that is reused as a whole, which avoids a malloc() for every JSON node.
 */
#ifndef WS_POOL_H
#define WS_POOL_H
#include <stddef.h>

/* Installs the allocator in jansson; called before any other use of jansson. Without it jansson
 * uses malloc(). */
void ws_pool_setup(void);
/* Between these two calls jansson allocates from the block, and from malloc() once the block is
 * full. For one thread, not nested. Values created in between must not be used afterwards, and are
 * released with json_decref(), which frees the memory that came from malloc(). */
void ws_pool_begin(void);
void ws_pool_end(void);
/* For tests: the number of allocations passed to malloc() between begin and end since the process
 * started. */
size_t ws_pool_misses(void);
#endif
