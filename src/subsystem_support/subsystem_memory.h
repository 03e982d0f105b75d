/*
 * Memory of subsystems: allocation that can't fail, and freeing of whole hash tables.
 *
 * Memory is owned by the caller and released with free().
 */
#ifndef WS_SUBSYSTEM_MEMORY_H
#define WS_SUBSYSTEM_MEMORY_H
#include <stddef.h>
#include <stdlib.h>
#include <uthash.h>

/* Zeroed memory; ends the process if there is none left. */
void *ws_subsystem_allocate(size_t size);

/* Frees all entries of a uthash table with handle `hh`, and sets `head`, its variable, to NULL. */
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
