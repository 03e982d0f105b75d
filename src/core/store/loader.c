/* Loads the stored records of a new leader: lists them by key prefix, page by page. */
#include "../core_state.h"
#include "record_source.h"

static void ws_loader_page_received(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result);

/* Requests a page of the records under a prefix whose keys follow `after`; an empty string requests
 * the first page. */
static void ws_loader_list(struct ws_core *core, const char *prefix, const char *after)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_LIST, ws_loader_page_received);

	snprintf(call->read.key, sizeof(call->read.key), "%s", prefix);
	snprintf(call->read.after, sizeof(call->read.after), "%s", after);
	call->urgent = true;
}

void ws_loader_start(struct ws_core *core)
{
	struct ws_loader *loader = &core->loader;
	const char *prefix;

	loader->started_at = core->now;
	loader->position = 0;
	loader->open_listings = 1;
	ws_loader_list(core, ws_load_sequence_prefix(0), "");
	for (size_t i = 0; (prefix = ws_load_parallel_prefix(core, i)); i++) {
		loader->open_listings++;
		ws_loader_list(core, prefix, "");
	}
}

/* Makes this node the leader once all records are loaded. */
static void ws_loader_finish(struct ws_core *core)
{
	ws_leadership_assume(core);
	ws_core_request_pass(core);
	ws_record_sources_loaded(core);
}

/* Handles the end of a prefix's listing: starts the next listing of the sequence, or finishes
 * loading after the last open listing. */
static void ws_loader_prefix_done(struct ws_core *core, const char *prefix)
{
	struct ws_loader *loader = &core->loader;
	const char *current = ws_load_sequence_prefix(loader->position), *next = NULL;

	if (current && !strcmp(prefix, current))
		next = ws_load_sequence_prefix(++loader->position);
	if (next)
		ws_loader_list(core, next, "");
	else if (!--loader->open_listings)
		ws_loader_finish(core);
}

/* Requests a page again that could not be read; steps down once the leadership session has expired.
 */
static void ws_loader_retry(struct ws_core *core, const struct ws_call *call)
{
	if (core->now > core->leadership.entitled_until)
		ws_step_down(core, "records not loaded before the session expired");
	else
		ws_loader_list(core, call->read.key, call->read.after);
}

static void ws_loader_deliver_record(struct ws_core *core, const struct ws_kv *record)
{
	const struct ws_record_source *source = ws_record_source_of(core, record->key);

	if (source && source->load)
		source->load(core, record);
}

static void ws_loader_page_received(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result)
{
	const struct ws_record_source *source;

	if (call->generation != core->generation || core->leadership.role != WS_LOADING)
		return;
	if (result->outcome != WS_OUTCOME_OK) {
		ws_loader_retry(core, call);
		return;
	}
	ws_log(core, WS_LOG_DEBUG,
	       "records listed prefix=%s after=%s revision=%llu count=%zu age_s=%.3f",
	       call->read.key, call->read.after, (unsigned long long)result->records.revision,
	       result->records.entry_count, core->now - call->created_at);
	source = ws_record_source_of(core, call->read.key);
	if (source && source->listed && !call->read.after[0])
		source->listed(core, result->records.revision, call->created_at);
	for (size_t i = 0; i < result->records.entry_count; i++)
		ws_loader_deliver_record(core, &result->records.entries[i]);
	if (result->records.has_more && result->records.entry_count)
		ws_loader_list(core, call->read.key,
			       result->records.entries[result->records.entry_count - 1].key);
	else
		ws_loader_prefix_done(core, call->read.key);
}
