/* Counts written records by kind, so that operators see what uses the store's write rate. */
#include "../core_state.h"

void ws_write_counts_add(struct ws_core *core, enum ws_write_kind kind)
{
	core->write_counts.by_kind[kind]++;
}

void ws_write_counts_log(struct ws_core *core)
{
	struct ws_write_counts *counts = &core->write_counts;
	const uint32_t *by_kind = counts->by_kind;
	uint32_t sum = 0;

	if (core->now < counts->next_log_at)
		return;
	for (size_t kind = 0; kind < WS_WRITE_KIND_COUNT; kind++)
		sum += by_kind[kind];
	if (sum)
		ws_log(core, WS_LOG_INFO,
		       "store writes starts=%u ends=%u jobs_deferred=%u continuations=%u fleet=%u "
		       "scale_outs=%u rate_limit=%.0f",
		       by_kind[WS_WRITE_STARTS], by_kind[WS_WRITE_ENDS],
		       by_kind[WS_WRITE_JOBS_DEFERRED], by_kind[WS_WRITE_CONTINUATIONS],
		       by_kind[WS_WRITE_FLEET], by_kind[WS_WRITE_SCALE_OUTS], core->writer.rate);
	memset(counts->by_kind, 0, sizeof(counts->by_kind));
	counts->next_log_at = core->now + core->settings->lease_s;
}
