/* Construction of the leader's transactions. */
#include "../core_state.h"
#include "write_batch.h"

void ws_write_batch_begin(struct ws_write_batch *batch, size_t operations_max)
{
	struct ws_call *call = ws_alloc(1, sizeof(*call));

	call->kind = WS_CALL_TRANSACTION;
	/* one compare of the leader key and up to two for each operation; one operation is spare */
	ws_transaction_reserve(call, 2 * operations_max + 2, operations_max + 1);
	*batch = (struct ws_write_batch){.call = call, .operations_max = operations_max};
}

size_t ws_write_batch_operations_left(const struct ws_write_batch *batch)
{
	size_t used = batch->call->transaction.operation_count;

	return used < batch->operations_max ? batch->operations_max - used : 0;
}

bool ws_write_batch_is_full(const struct ws_write_batch *batch)
{
	return batch->bytes > WS_TRANSACTION_FILL_BYTES;
}

void ws_write_batch_compare(struct ws_write_batch *batch, const char *key, uint64_t revision)
{
	ws_transaction_compare(batch->call, key, revision);
}

void ws_write_batch_set(struct ws_write_batch *batch, const char *key, json_t *value)
{
	ws_transaction_set(batch->call, key, value);
}

void ws_write_batch_set_if(struct ws_write_batch *batch, const char *key, uint64_t revision,
			   json_t *value)
{
	ws_write_batch_compare(batch, key, revision);
	ws_write_batch_set(batch, key, value);
}
