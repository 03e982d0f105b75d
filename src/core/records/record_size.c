/* The encoded size of a record of any kind. */
#include "records.h"

size_t ws_record_size(json_t *record)
{
	return json_dumpb(record, NULL, 0, JSON_COMPACT);
}
