/*
 * Helpers for the records of subsystems: each record has a format number "v", and enums are stored
 * by name.
 *
 * A record whose format is later than the supported one was written by a newer version of the
 * service. A subsystem that reads such a record suspends itself for the rest of the leader's term.
 * This module keeps no state.
 */
#ifndef WS_SUBSYSTEM_RECORDS_H
#define WS_SUBSYSTEM_RECORDS_H
#include "subsystem_log.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* The record format of one subsystem. */
struct ws_subsystem_record_format {
	const char *log_name; /* name of the subsystem, prefixed to its log lines */
	int supported;	      /* latest format that can be read */
};

/*
 * Returns true if the record's format is supported. Otherwise sets `later_format`, and logs the
 * record if `later_format` was not set before.
 */
bool ws_subsystem_record_supported(const struct ws_subsystem_record_format *format,
				   ws_subsystem_log_fn log, const char *record_name,
				   const json_t *value, bool *later_format);

/* Returns the index of `name` in `names`, or 0 if it is NULL or not found. */
size_t ws_subsystem_name_index(const char *const *names, size_t count, const char *name);
#endif
