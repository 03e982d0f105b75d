/*
 * The writer: carries the leader's records to the store.
 *
 * One transaction is under way at a time. Each is conditioned on the leader key, so that a write of
 * a former leader has no effect, and keeps to the leader's share of the changes a second that the
 * store allows. The records come from the sources, see record_source.h.
 */
#ifndef WS_STORE_WRITER_H
#define WS_STORE_WRITER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ws_core;

/* Written by writer.c alone. Times are those of the core's clock, in seconds. */
struct ws_writer {
	bool in_flight;		/* a transaction is under way */
	bool woken;		/* something became due by an event since the last collection */
	double next_poll_at;	/* what became due by the clock is looked for then */
	double retry_at;	/* back-off: no transaction before then */
	int failures;		/* in a row; the back-off doubles with each, up to a limit */
	int operations_max;	/* of a transaction: less than the settings' once one was refused */
	double value_bytes_max; /* of a value that is planned by; lowered in the same way */
	double rate;		/* token bucket: changes a second that are the leader's */
	double tokens;		/* changes that it may make now */
	double refilled_at;	/* when the bucket was last filled up */
	uint64_t empty_passes;	/* collections that found nothing due; counted for tests */
};

/* At start and at step-down: nothing is under way, and the limits are those of the settings. */
void ws_writer_reset(struct ws_core *core);

/* Something became due by an event: the next tick collects. */
void ws_writer_wake(struct ws_core *core);

/* Sends a transaction with what is due, if the leader may write now. */
void ws_writer_tick(struct ws_core *core);

/* Whether there are changes to spare for what can wait. */
bool ws_writer_has_spare_budget(const struct ws_core *core);
#endif
