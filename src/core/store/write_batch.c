/* Construction of the leader's transactions. */
#include "../core_state.h"
#include "write_batch.h"

void ws_write_batch_begin(struct ws_write_batch *batch, size_t operations_max)
{
	struct ws_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	/* the leader key's compare, up to two for each operation, and one operation to spare */
	call->compares = calloc(2 * operations_max + 2, sizeof(*call->compares));
	call->operations = calloc(operations_max + 1, sizeof(*call->operations));
	if (!call->compares || !call->operations)
		abort();
	call->kind = WS_CALL_TRANSACTION;
	*batch = (struct ws_write_batch){.call = call, .operations_max = operations_max};
}

size_t ws_write_batch_room(const struct ws_write_batch *batch)
{
	size_t used = batch->call->operation_count;

	return used < batch->operations_max ? batch->operations_max - used : 0;
}

bool ws_write_batch_is_full(const struct ws_write_batch *batch)
{
	return batch->bytes > WS_TRANSACTION_BYTES;
}

void ws_write_batch_compare(struct ws_write_batch *batch, const char *key, uint64_t revision)
{
	struct ws_compare *compare = &batch->call->compares[batch->call->compare_count++];

	snprintf(compare->key, sizeof(compare->key), "%s", key);
	compare->revision = revision;
}

void ws_write_batch_set(struct ws_write_batch *batch, const char *key, json_t *value)
{
	struct ws_operation *operation = &batch->call->operations[batch->call->operation_count++];

	snprintf(operation->key, sizeof(operation->key), "%s", key);
	operation->value = value;
}

void ws_write_batch_set_if(struct ws_write_batch *batch, const char *key, uint64_t revision,
			   json_t *value)
{
	ws_write_batch_compare(batch, key, revision);
	ws_write_batch_set(batch, key, value);
}
