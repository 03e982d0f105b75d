/*
 * Layout of what the simulator shares with the production version's core: the places of fields,
 * the sizes of array elements and the values of enumerators, of one version's headers.
 */
#ifndef WS_TEST_LAYOUT_H
#define WS_TEST_LAYOUT_H
#include <stddef.h>

struct layout_entry {
	const char *name;
	size_t value;
};

/* layout.c, compiled with this version's headers and, in the other library, with the old ones. */
extern const struct layout_entry layout_now[], layout_then[];
extern const size_t layout_now_count, layout_then_count;
#endif
