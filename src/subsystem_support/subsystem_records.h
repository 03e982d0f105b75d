/*
 * What the records of all subsystems have in common: a format number "v", and enums by name.
 *
 * A record of a later format than the one supported was written by a newer version of the service.
 * A subsystem that reads one suspends itself for the term. Nothing is owned or kept here.
 */
#ifndef WS_SUBSYSTEM_RECORDS_H
#define WS_SUBSYSTEM_RECORDS_H
#include "subsystem_log.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* The records of one subsystem. */
struct ws_subsystem_record_format {
	const char *log_name; /* of the subsystem, before the colon in its log lines */
	int supported;	      /* the latest format that can be read */
};

/*
 * Whether the record can be read. If it is of a later format, `later_format` is set, and the first
 * such record is logged.
 */
bool ws_subsystem_record_supported(const struct ws_subsystem_record_format *format,
				   ws_subsystem_log_fn log, const char *record_name,
				   const json_t *value, bool *later_format);

/* The index of a name, which may be NULL; 0 if it is not among the names. */
size_t ws_subsystem_name_index(const char *const *names, size_t count, const char *name);
#endif
