/*
 * Checked allocation. The core can't answer for a cluster that it knows in part only: without
 * memory the process ends, is started again, and reads its state back from the store.
 */
#ifndef WS_MEMORY_H
#define WS_MEMORY_H
#include <stddef.h>

/* Zeroed memory for so many elements; never NULL. Freed by free(). */
void *ws_alloc(size_t count, size_t size);
/* The same memory with room for so many elements; what is new is not cleared. Never NULL. */
void *ws_resize(void *memory, size_t count, size_t size);
#endif
