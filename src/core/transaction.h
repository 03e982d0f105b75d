/* Builds compare-and-swap transactions: calls of the kind WS_CALL_TRANSACTION. */
#ifndef WS_TRANSACTION_H
#define WS_TRANSACTION_H
#include "core.h"

/* Allocates space in a call for the given numbers of compares and operations. */
void ws_transaction_reserve(struct ws_call *call, size_t compares_max, size_t operations_max);
/* Adds a precondition: the key has this revision, or does not exist (0). */
void ws_transaction_compare(struct ws_call *call, const char *key, uint64_t revision);
/* Adds an operation that sets a key, and returns it. Takes ownership of the value; NULL deletes the
 * key. */
struct ws_operation *ws_transaction_set(struct ws_call *call, const char *key, json_t *value);
#endif
