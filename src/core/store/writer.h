/*
 * The writer: writes the leader's records to the store.
 *
 * At most one transaction is in flight. Each transaction compares the leader key, so that a write
 * by a former leader has no effect. A token bucket keeps the writer within the leader's share of
 * the store's write rate. The records come from the record sources, see record_source.h.
 */
#ifndef WS_STORE_WRITER_H
#define WS_STORE_WRITER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ws_core;

/* Modified only by writer.c. Times are in seconds on the core's clock. */
struct ws_writer {
	bool in_flight;		/* a transaction is in flight */
	bool woken;		/* an event has made a record due since the last collection */
	double next_poll_at;	/* next check for records that became due by time */
	double retry_at;	/* no transaction is sent before then (backoff) */
	int failures;		/* consecutive failures; each doubles the backoff, up to a limit */
	int operations_max;	/* limit of a transaction; lowered if one is too large */
	double value_bytes_max; /* limit of a value; lowered in the same way */
	double rate;		/* writes per second that refill the token bucket */
	double tokens;	    /* writes that may be sent now; negative after a large transaction */
	double refilled_at; /* when the token bucket was last refilled */
	uint64_t empty_collections; /* collections that found no record due; read by tests only */
};

/* Resets the writer at start and at step-down: no transaction is in flight, and the limits are
 * those of the settings. */
void ws_writer_reset(struct ws_core *core);

/* Makes the next tick collect records, after an event has made one due. */
void ws_writer_wake(struct ws_core *core);

/* Sends a transaction with the records that are due, if the leader may write now. */
void ws_writer_tick(struct ws_core *core);

/* Whether enough write budget is left for records that are not urgent. */
bool ws_writer_has_spare_budget(const struct ws_core *core);
#endif
