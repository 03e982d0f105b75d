/*
 * Cold start of all controllers.
 *
 * Tells a cold start from an ordinary election, defers actions that would restart or replace work
 * that is still healthy, reconciles heartbeats with the records, and orders the jobs that must
 * start again. See docs/coldstart.md.
 *
 * Ownership: the object owns what it has learnt in this leader's term, and its records under
 * "coldstart/". It never starts or stops work itself: it answers the core's hooks and asks by
 * requests (core/extension/hooks.h).
 * Units: fields and variables ending in _s are seconds; times are on the core's clock; *_LEASES and
 * *_HEARTBEATS constants are multiples of the lease and of the heartbeat interval.
 * Errors: none are returned; the process ends if memory is exhausted. Records of a later format
 * suspend the subsystem for the term.
 * Threading: all functions are called from the thread of the core, never concurrently.
 */
#ifndef WS_COLD_START_H
#define WS_COLD_START_H
#include "../core/extension/hooks.h"
#include "../subsystem_support/subsystem_log.h"

/* A time below 0 is derived from the platform's settings. */
struct ws_cold_start_settings {
	double quarantine_s; /* for attempts of a job that is not in the store */
	double heard_share;  /* of a zone's expected machines, that end its observation */
};

/* The state of the subsystem on one controller. */
struct ws_cold_start;

/* Fills in the settings that apply where the file has none. */
void ws_cold_start_defaults(struct ws_cold_start_settings *settings);
/* Settings and limits are copied. `log` may be NULL. Released with ws_cold_start_free(). */
struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_subsystem_log_fn log);
/* Releases the object; NULL is allowed. */
void ws_cold_start_free(struct ws_cold_start *cold_start);

/* The name of a reconciliation result on record and in the log. */
const char *ws_cold_start_result_name(enum ws_reconciliation_result kind);

/* Operations on single machines and jobs so far, for tests of the amount of work. */
uint64_t ws_cold_start_steps(const struct ws_cold_start *cold_start);

/* For ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_cold_start_ops;
#endif
