/*
 * Recovery after a cold start, that is, after all controllers were down at the same time.
 *
 * Distinguishes a cold start from an ordinary election, defers actions that would restart or
 * replace work that is still healthy, reconciles the attempts that workers report with the records,
 * and orders the jobs that must start again. See docs/coldstart.md.
 *
 * Ownership: the object owns the state that it collects during one leader's term, and its records
 * under "coldstart/". It never starts or stops work itself: it implements the core's hooks and
 * issues requests that the core carries out (core/extension/hooks.h).
 * Units: fields and variables ending in _s are in seconds; times are on the core's clock; *_LEASES
 * and *_HEARTBEATS constants are multiples of the lease and of the heartbeat interval.
 * Errors: no function returns an error; the process aborts if memory is exhausted. A record of a
 * later format suspends the subsystem for the term.
 * Threading: all functions are called from the thread of the core, never concurrently.
 */
#ifndef WS_COLD_START_H
#define WS_COLD_START_H
#include "../core/extension/hooks.h"
#include "../subsystem_support/subsystem_log.h"

/* A negative time means that it is derived from the platform's settings. */
struct ws_cold_start_settings {
	double quarantine_s;   /* maximum time in quarantine for a job that is not in the store */
	double answered_share; /* the share of a zone's expected machines that must answer */
};

/* The state of the subsystem on one controller. */
struct ws_cold_start;

/* Sets the defaults for settings that the settings file leaves out. */
void ws_cold_start_defaults(struct ws_cold_start_settings *settings);
/*
 * Creates the subsystem's state from copies of the settings and limits. `log` may be NULL. The
 * caller frees the object with ws_cold_start_free().
 */
struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_subsystem_log_fn log);
/* Frees the object. Does nothing if it is NULL. */
void ws_cold_start_free(struct ws_cold_start *cold_start);

/* Returns the name of a reconciliation result, as it stands in records. */
const char *ws_cold_start_reconciliation_name(enum ws_reconciliation_result result);

/* Returns the number of operations on single machines and jobs, for tests of the complexity. */
uint64_t ws_cold_start_operations(const struct ws_cold_start *cold_start);

/* The hooks to pass to ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_cold_start_ops;
#endif
