/*
 * Checked allocation. The core can't manage a cluster with partial state, so the process aborts if
 * memory is exhausted; after its restart it reads its state from the store.
 */
#ifndef WS_MEMORY_H
#define WS_MEMORY_H
#include <stddef.h>

/* Allocates zeroed memory for `count` elements. Never returns NULL. Freed with free(). */
void *ws_alloc(size_t count, size_t size);
/* Resizes memory to `count` elements; added elements are not initialized. Never returns NULL. */
void *ws_resize(void *memory, size_t count, size_t size);
#endif
