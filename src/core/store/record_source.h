/*
 * Record sources: what the writer and the loader ask of the owners of stored records.
 *
 * The store modules carry records between the leader and the store without knowing what is
 * in them. Each owner of records provides a struct ws_record_source; src/core/record_sources.c
 * holds the table of all sources and finds the one that a key belongs to.
 */
#ifndef WS_STORE_RECORD_SOURCE_H
#define WS_STORE_RECORD_SOURCE_H
#include "../core.h"
#include "write_batch.h"

/* The callbacks of one owner of records. Those that are NULL are skipped. */
struct ws_record_source {
	/* What its keys begin with; NULL: owns() decides. */
	const char *key_prefix;
	/* The prefix is the whole key of its only record. */
	bool exact_key;
	/* Whether a key is of this source, where that is not fixed when the program is built. */
	bool (*owns)(const struct ws_core *core, const char *key);

	/* One record that was read after the election. */
	void (*load)(struct ws_core *core, const struct ws_kv *record);
	/* The first page of its listing, as of a revision; the request was sent at asked_at. */
	void (*listed)(struct ws_core *core, uint64_t revision, double asked_at);
	/* All records of all sources are read; the node leads from now on. */
	void (*loaded)(struct ws_core *core);

	/* Adds what is due to a transaction under construction, as far as there is room. */
	void (*collect)(struct ws_core *core, struct ws_write_batch *batch);
	/* An operation of its own was committed at a revision. */
	void (*written)(struct ws_core *core, const struct ws_operation *operation,
			uint64_t revision);
	/* Called after written() was called for all operations of the transaction. */
	void (*committed)(struct ws_core *core, const struct ws_operation *operation);
	/*
	 * The transaction of an operation was not committed, or the outcome is unknown.
	 * failed_compare is the compare of the operation's key if that one failed, else NULL.
	 * Returns whether the record is to be read again; read_again() is called then.
	 */
	bool (*not_written)(struct ws_core *core, const struct ws_operation *operation,
			    const struct ws_compare *failed_compare);
	/* A record was read again: whether it exists, and its revision (0: unknown or missing). */
	void (*read_again)(struct ws_core *core, const char *key, bool found, uint64_t revision);
};

/* The source that a key belongs to; NULL: none. */
const struct ws_record_source *ws_record_source_of(const struct ws_core *core, const char *key);

/* All sources collect what is due, in the fixed order in which they share a transaction. */
void ws_record_sources_collect(struct ws_core *core, struct ws_write_batch *batch);

/* Tells all sources that everything is read. */
void ws_record_sources_loaded(struct ws_core *core);

/* Prefix of the listing at a position of the sequence in which a new leader reads its own records,
 * one listing after the other; NULL behind the last. */
const char *ws_load_sequence_prefix(size_t position);

/* Prefixes of the listings that are read beside that sequence; NULL behind the last. */
const char *ws_load_parallel_prefix(const struct ws_core *core, size_t index);
#endif
