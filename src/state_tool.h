/* Calls to the store for operators' commands: one at a time, waited for. */
#ifndef WS_STATE_TOOL_H
#define WS_STATE_TOOL_H
#include "core/core.h"

struct ws_state_tool;
struct ws_state_tool *ws_state_tool_open(const struct ws_settings *settings);
void ws_state_tool_close(struct ws_state_tool *tool);

/* Makes a call and waits for its outcome; the caller frees what it holds with ws_result_free(). */
void ws_state_tool_call(struct ws_state_tool *tool, const struct ws_call *call,
			struct ws_result *result);

/* Called for each record of a listing; false ends it. */
typedef bool (*ws_state_tool_fn)(void *context, const struct ws_kv *record);
/* Lists all records whose keys begin so, page by page; false if it could not. */
bool ws_state_tool_list(struct ws_state_tool *tool, const char *prefix, ws_state_tool_fn each,
			void *context);

/* Fields of a record, to be printed: "?" and 0 where it has none. */
const char *ws_state_tool_text(json_t *record, const char *name);
long long ws_state_tool_count(json_t *record, const char *name);
#endif
