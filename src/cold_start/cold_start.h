/*
 * Cold start of all controllers: tells it from an ordinary election, holds back what would restart
 * or replace work that is still healthy, reconciles reports with the records, and orders what must
 * start again. See docs/coldstart.md.
 */
#ifndef WS_COLD_START_H
#define WS_COLD_START_H
#include "../core/extension/hooks.h"

/* A time below 0 is derived from the platform's settings. */
struct ws_cold_start_settings {
	double keep_s;	    /* an attempt of a job that the store never heard of is kept so long */
	double heard_share; /* of a zone's expected machines, that end its observation */
};

struct ws_cold_start;
typedef void (*ws_cold_start_log_fn)(const char *text);

void ws_cold_start_defaults(struct ws_cold_start_settings *settings);
/* Settings and limits are copied. */
struct ws_cold_start *ws_cold_start_new(const struct ws_cold_start_settings *settings,
					const struct ws_cluster_limits *limits,
					ws_cold_start_log_fn log);
void ws_cold_start_free(struct ws_cold_start *cold_start);

/* The name of a reconciliation result on record and in the log. */
const char *ws_cold_start_result_name(enum ws_reconciliation_result kind);

/* Steps of work on single machines and jobs so far: for tests that hold it to what changed. */
uint64_t ws_cold_start_steps(const struct ws_cold_start *cold_start);

/* For ws_core_attach(), with the object as `self`. */
extern const struct ws_subsystem_ops ws_cold_start_ops;
#endif
