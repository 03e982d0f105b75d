/* The periodic work of the API, and its cleanup. */
#include "../core_state.h"

void ws_api_tick(struct ws_core *core)
{
	ws_queries_expire(core);
	ws_status_cache_tick(core);
	ws_peer_probe_tick(core);
	ws_machine_types_tick(core);
	ws_redirects_tick(core);
}

void ws_api_free(struct ws_core *core)
{
	ws_status_cache_clear(core);
	ws_queries_free(core);
	ws_redirects_free(core);
}
