/*
 * The table of requests that are not answered yet, received by HTTP or in a frame from a peer. Each
 * has an id, by which the core's effects refer to it. Only the thread of the event loop uses the
 * table.
 */
#ifndef WS_PENDING_REQUESTS_H
#define WS_PENDING_REQUESTS_H
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

enum ws_request_kind { WS_REQUEST_USER, WS_REQUEST_HEARTBEAT, WS_REQUEST_OUTAGE_VOTE };

struct ws_pending_request {
	uint64_t request_id;
	enum ws_request_kind kind;
	uint64_t peer_connection; /* that received its frame; 0: received by HTTP */
	uint64_t frame_id;
	UT_hash_handle hh;
};

struct ws_pending_requests {
	struct ws_pending_request *by_request_id;
	int user_requests; /* number of requests of kind WS_REQUEST_USER */
};

/* Adds a request, which the table owns. Returns NULL if memory is exhausted. */
struct ws_pending_request *ws_pending_requests_add(struct ws_pending_requests *table,
						   uint64_t request_id, enum ws_request_kind kind);
/* Returns NULL if the request is not in the table, as it was answered. */
struct ws_pending_request *ws_pending_requests_find(const struct ws_pending_requests *table,
						    uint64_t request_id);
/* Removes a request and frees it. */
void ws_pending_requests_remove(struct ws_pending_requests *table,
				struct ws_pending_request *request);
/* Removes and frees all requests. */
void ws_pending_requests_clear(struct ws_pending_requests *table);
#endif
