/* Helpers for the records of subsystems: the check of the format number, and enums by name. */
#include "subsystem_records.h"
#include <string.h>

bool ws_subsystem_record_supported(const struct ws_subsystem_record_format *format,
				   ws_subsystem_log_fn log, const char *record_name,
				   const json_t *value, bool *later_format)
{
	json_int_t record_format = json_integer_value(json_object_get(value, "v"));

	if (record_format <= format->supported)
		return true;
	if (!*later_format)
		ws_subsystem_logf(
		    log,
		    "%s: record has a later format than supported, subsystem suspended "
		    "record=%s format=%lld supported=%d",
		    format->log_name, record_name, (long long)record_format, format->supported);
	*later_format = true;
	return false;
}

size_t ws_subsystem_name_index(const char *const *names, size_t count, const char *name)
{
	for (size_t i = 0; name && i < count; i++)
		if (!strcmp(names[i], name))
			return i;
	return 0;
}
