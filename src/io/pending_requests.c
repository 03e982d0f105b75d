#include "pending_requests.h"
#include <stdlib.h>

struct ws_pending_request *ws_pending_requests_add(struct ws_pending_requests *table,
						   uint64_t request_id, enum ws_request_kind kind)
{
	struct ws_pending_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->request_id = request_id;
	request->kind = kind;
	HASH_ADD(hh, table->by_request_id, request_id, sizeof(request->request_id), request);
	if (kind == WS_REQUEST_USER)
		table->user_requests++;
	return request;
}

struct ws_pending_request *ws_pending_requests_find(const struct ws_pending_requests *table,
						    uint64_t request_id)
{
	struct ws_pending_request *request;

	HASH_FIND(hh, table->by_request_id, &request_id, sizeof(request_id), request);
	return request;
}

void ws_pending_requests_remove(struct ws_pending_requests *table,
				struct ws_pending_request *request)
{
	HASH_DEL(table->by_request_id, request);
	if (request->kind == WS_REQUEST_USER)
		table->user_requests--;
	free(request);
}

void ws_pending_requests_clear(struct ws_pending_requests *table)
{
	struct ws_pending_request *request = table->by_request_id;

	HASH_CLEAR(hh, table->by_request_id); /* the requests stay linked to each other */
	table->user_requests = 0;
	while (request) {
		struct ws_pending_request *next = request->hh.next;

		free(request);
		request = next;
	}
}
