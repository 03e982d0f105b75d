/*
 * Memory management for subsystems: allocation that aborts the process on failure, and freeing of
 * whole hash tables.
 *
 * The caller owns allocated memory and frees it with free().
 */
#ifndef WS_SUBSYSTEM_MEMORY_H
#define WS_SUBSYSTEM_MEMORY_H
#include <stddef.h>
#include <stdlib.h>
#include <uthash.h>

/* Allocates zeroed memory. Aborts the process if memory is exhausted. */
void *ws_subsystem_allocate(size_t size);

/*
 * Frees all entries of a uthash table whose handle is `hh`, and sets the variable `head` to NULL.
 */
#define WS_SUBSYSTEM_FREE_TABLE(head)                                                              \
	do {                                                                                       \
		__typeof__(head) table_entry = (head), table_next;                                 \
                                                                                                   \
		HASH_CLEAR(hh, head);                                                              \
		for (; table_entry; table_entry = table_next) {                                    \
			table_next = table_entry->hh.next;                                         \
			free(table_entry);                                                         \
		}                                                                                  \
	} while (0)
#endif
