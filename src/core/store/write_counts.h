/* Counts of the records that the leader writes, by kind; logged once per lease duration. */
#ifndef WS_WRITE_COUNTS_H
#define WS_WRITE_COUNTS_H
#include <stdint.h>

struct ws_core;

enum ws_write_kind {
	WS_WRITE_STARTS,
	WS_WRITE_ENDS,
	WS_WRITE_JOBS_DEFERRED,
	WS_WRITE_FLEET,
	WS_WRITE_SCALE_OUTS,
	WS_WRITE_CONTINUATIONS
};
#define WS_WRITE_KIND_COUNT 6

/* Modified only by write_counts.c. */
struct ws_write_counts {
	uint32_t by_kind[WS_WRITE_KIND_COUNT]; /* since the last log line */
	double next_log_at;		       /* on the core's clock, in seconds */
};

/* Counts one record of a kind. */
void ws_write_counts_add(struct ws_core *core, enum ws_write_kind kind);

/* Logs and resets the counts if the log interval has passed. */
void ws_write_counts_log(struct ws_core *core);
#endif
