/* What the leader's changes are spent on: records written by kind, logged now and then. */
#ifndef WS_WRITE_COUNTS_H
#define WS_WRITE_COUNTS_H
#include <stdint.h>

struct ws_core;

enum ws_wrote { WS_WROTE_STARTS, WS_WROTE_ENDS, WS_WROTE_LATER, WS_WROTE_FLEET, WS_WROTE_RENTALS };
#define WS_WROTE_KINDS 5

/* Written by write_counts.c alone. */
struct ws_write_counts {
	uint32_t by_kind[WS_WROTE_KINDS]; /* since the last log line */
	double next_log_at;		  /* on the core's clock, in seconds */
};

/* Counts one record of a kind. */
void ws_write_counts_add(struct ws_core *core, enum ws_wrote kind);

/* Logs the counts and begins anew, if that is due. */
void ws_write_counts_log(struct ws_core *core);
#endif
