/*
 * The loader: after an election, loads all records from the store before the node acts as leader.
 *
 * The core's own records are listed prefix by prefix in a fixed sequence; listings of other
 * prefixes run in parallel to it. Each record is passed to its source, see record_source.h.
 */
#ifndef WS_STORE_LOADER_H
#define WS_STORE_LOADER_H
#include <stddef.h>

struct ws_core;

/* Modified only by loader.c. */
struct ws_loader {
	size_t position;      /* index of the current listing in the sequence */
	size_t open_listings; /* listings in progress; the sequence counts as one */
	double started_at;    /* on the core's clock, in seconds */
};

/* Starts loading after an election was won. The node becomes the leader once all records are
 * loaded, and steps down if its session expires before. */
void ws_loader_start(struct ws_core *core);
#endif
