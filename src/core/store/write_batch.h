/* A transaction of the leader under construction, with its limits on operations and bytes. */
#ifndef WS_STORE_WRITE_BATCH_H
#define WS_STORE_WRITE_BATCH_H
#include "../core.h"

/* No record is added to a transaction above this size. The store accepts 64 KiB; the rest is left
 * for the last record added. */
#define WS_TRANSACTION_FILL_BYTES 32768
/* Largest estimated size of a transaction; the rest of the 64 KiB is for what the estimates leave
 * out. */
#define WS_TRANSACTION_BYTES_MAX 61440

struct ws_write_batch {
	struct ws_call *call;  /* the transaction, owned by the batch until it is sent */
	size_t operations_max; /* maximum number of operations */
	size_t bytes;	       /* estimated size of the records added so far */
};

/* Initializes an empty batch. Aborts the process if memory is exhausted. */
void ws_write_batch_begin(struct ws_write_batch *batch, size_t operations_max);

/* Returns how many operations can still be added. */
size_t ws_write_batch_operations_left(const struct ws_write_batch *batch);

/* Returns whether the estimated size exceeds the limit for adding records. */
bool ws_write_batch_is_full(const struct ws_write_batch *batch);

/* Adds a compare: the transaction fails unless the key has this revision. Revision 0 means that the
 * key must not exist. */
void ws_write_batch_compare(struct ws_write_batch *batch, const char *key, uint64_t revision);

/* Adds an operation without a compare. Takes ownership of the value; NULL deletes the key. */
void ws_write_batch_set(struct ws_write_batch *batch, const char *key, json_t *value);

/* Adds a compare and an operation on the same key. Takes ownership of the value; NULL deletes the
 * key. */
void ws_write_batch_set_if(struct ws_write_batch *batch, const char *key, uint64_t revision,
			   json_t *value);
#endif
