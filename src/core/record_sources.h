/* The sources of stored records. Their key prefixes are defined in records/records.h. */
#ifndef WS_RECORD_SOURCES_H
#define WS_RECORD_SOURCES_H
#include "store/record_source.h"

extern const struct ws_record_source ws_job_records;
extern const struct ws_record_source ws_continuation_records;
extern const struct ws_record_source ws_machine_shard_records;
extern const struct ws_record_source ws_scale_out_records;
extern const struct ws_record_source ws_owned_records;
extern const struct ws_record_source ws_machine_type_records;
/* Records of subsystems, under prefixes of their own; urgent ones are collected separately. */
extern const struct ws_record_source ws_subsystem_records;
extern const struct ws_record_source ws_urgent_subsystem_records;

/* Whether a key begins with a prefix. */
bool ws_key_has_prefix(const char *key, const char *prefix);
#endif
