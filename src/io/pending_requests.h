/*
 * The table of requests that are not answered yet, whether they came by HTTP or in a peer's frame.
 * A request is known by its token; the core's effects name the token that they answer. Belongs to
 * the thread of the event loop.
 */
#ifndef WS_PENDING_REQUESTS_H
#define WS_PENDING_REQUESTS_H
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

enum ws_request_kind { WS_REQUEST_USER, WS_REQUEST_HEARTBEAT, WS_REQUEST_OUTAGE_VOTE };

struct ws_pending_request {
	uint64_t token;
	enum ws_request_kind kind;
	uint64_t peer_connection; /* by which its frame came; 0: it came by HTTP */
	uint64_t frame_id;
	UT_hash_handle hh;
};

struct ws_pending_requests {
	struct ws_pending_request *by_token;
	int user_requests; /* among them */
};

/* NULL without memory. Owned by the table. */
struct ws_pending_request *ws_pending_requests_add(struct ws_pending_requests *table,
						   uint64_t request_id, enum ws_request_kind kind);
/* NULL: it was answered. */
struct ws_pending_request *ws_pending_requests_find(const struct ws_pending_requests *table,
						    uint64_t request_id);
/* Takes a request out and frees it. */
void ws_pending_requests_remove(struct ws_pending_requests *table,
				struct ws_pending_request *request);
/* Removes all. */
void ws_pending_requests_clear(struct ws_pending_requests *table);
#endif
