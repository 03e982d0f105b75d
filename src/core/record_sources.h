/* The owners of stored records, and the prefixes of their keys. */
#ifndef WS_RECORD_SOURCES_H
#define WS_RECORD_SOURCES_H
#include "store/record_source.h"

#define WS_JOB_PREFIX "job/"
#define WS_FINISHED_JOB_PREFIX "old/"
#define WS_CONTINUATION_PREFIX "more/"
#define WS_MACHINE_SHARD_PREFIX "fleet/"
#define WS_SCALE_OUT_PREFIX "rental/"
#define WS_OWNED_KEY "owned"
#define WS_MACHINE_TYPES_KEY "types"

extern const struct ws_record_source ws_job_records;
extern const struct ws_record_source ws_continuation_records;
extern const struct ws_record_source ws_machine_shard_records;
extern const struct ws_record_source ws_scale_out_records;
extern const struct ws_record_source ws_owned_records;
extern const struct ws_record_source ws_machine_type_records;
/* Those of subsystems, by their own prefixes; the urgent ones are collected apart. */
extern const struct ws_record_source ws_subsystem_records;
extern const struct ws_record_source ws_urgent_subsystem_records;

bool ws_key_has_prefix(const char *key, const char *prefix);

/* job_records.c: the attempts that a job's record, or a continuation record of it, names. */
void ws_load_attempts(struct ws_core *core, const char *job_id, json_t *value);
#endif
