/* Memory allocation for subsystems. */
#include "subsystem_memory.h"

void *ws_subsystem_allocate(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}
