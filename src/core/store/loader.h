/*
 * The loader: a new leader reads back all records before it leads.
 *
 * The core's own records are listed prefix by prefix in a fixed order; listings of other prefixes
 * run beside that sequence. Each record goes to its source, see record_source.h.
 */
#ifndef WS_STORE_LOADER_H
#define WS_STORE_LOADER_H
#include <stddef.h>

struct ws_core;

/* Written by loader.c alone. */
struct ws_loader {
	size_t position;      /* of the listing of the sequence that is under way */
	size_t open_listings; /* under way: the sequence counts as one */
	double started_at;    /* on the core's clock, in seconds */
};

/* After the election: begins to read. The node leads once the last record is read, and steps down
 * if the records can't be read while its session lasts. */
void ws_loader_start(struct ws_core *core);
#endif
