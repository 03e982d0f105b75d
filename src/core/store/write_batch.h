/* A transaction of the leader under construction: compares, operations, and room for more. */
#ifndef WS_STORE_WRITE_BATCH_H
#define WS_STORE_WRITE_BATCH_H
#include "../core.h"

/* Of the 64 KiB that a transaction may have, so much is filled before another record is added. */
#define WS_TRANSACTION_BYTES 32768

struct ws_write_batch {
	struct ws_call *call;  /* the transaction; owned by the batch until it is sent */
	size_t operations_max; /* that the transaction may have */
	size_t bytes;	       /* estimate of what its records take so far */
};

/* Begins an empty batch; ends the process where memory is out. */
void ws_write_batch_begin(struct ws_write_batch *batch, size_t operations_max);

/* Operations that still fit. */
size_t ws_write_batch_room(const struct ws_write_batch *batch);

/* Whether its records take all the bytes that a transaction is filled with. */
bool ws_write_batch_is_full(const struct ws_write_batch *batch);

/* Adds a compare: the transaction fails unless the key has this revision; 0: is missing. */
void ws_write_batch_compare(struct ws_write_batch *batch, const char *key, uint64_t revision);

/* Adds an operation without a compare. Takes over the value; NULL deletes the key. */
void ws_write_batch_set(struct ws_write_batch *batch, const char *key, json_t *value);

/* Adds a compare and the operation that it guards. Takes over the value; NULL deletes the key. */
void ws_write_batch_set_if(struct ws_write_batch *batch, const char *key, uint64_t revision,
			   json_t *value);
#endif
