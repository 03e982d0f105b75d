#include "core_state.h"
#include "transaction.h"

void ws_transaction_reserve(struct ws_call *call, size_t compares_max, size_t operations_max)
{
	call->transaction.compares = ws_alloc(compares_max, sizeof(*call->transaction.compares));
	call->transaction.operations =
	    ws_alloc(operations_max, sizeof(*call->transaction.operations));
}

void ws_transaction_compare(struct ws_call *call, const char *key, uint64_t revision)
{
	struct ws_compare *compare = &call->transaction.compares[call->transaction.compare_count++];

	snprintf(compare->key, sizeof(compare->key), "%s", key);
	compare->revision = revision;
}

struct ws_operation *ws_transaction_set(struct ws_call *call, const char *key, json_t *value)
{
	struct ws_operation *operation =
	    &call->transaction.operations[call->transaction.operation_count++];

	snprintf(operation->key, sizeof(operation->key), "%s", key);
	operation->value = value;
	return operation;
}
