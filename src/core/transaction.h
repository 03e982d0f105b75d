/* Compare-and-swap transactions under construction: calls of the kind WS_CALL_TRANSACTION. */
#ifndef WS_TRANSACTION_H
#define WS_TRANSACTION_H
#include "core.h"

/* Makes room in a call for so many compares and operations. */
void ws_transaction_reserve(struct ws_call *call, size_t compares_max, size_t operations_max);
/* The transaction fails unless the key has this revision; 0: is missing. */
void ws_transaction_compare(struct ws_call *call, const char *key, uint64_t revision);
/* Sets a key. Takes over the value; NULL deletes the key. Returns the operation. */
struct ws_operation *ws_transaction_set(struct ws_call *call, const char *key, json_t *value);
#endif
