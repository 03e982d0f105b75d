/*
 * Record sources: the interface through which the writer and the loader use the modules that own
 * stored records.
 *
 * The writer and the loader transfer records without interpreting them. Each module that owns
 * records provides a struct ws_record_source; src/core/record_sources.c holds the table of all
 * sources and looks up the source of a key.
 */
#ifndef WS_STORE_RECORD_SOURCE_H
#define WS_STORE_RECORD_SOURCE_H
#include "../core.h"
#include "write_batch.h"

/* The keys and callbacks of one source. Callbacks that are NULL are skipped. */
struct ws_record_source {
	/* Prefix of the source's keys. If NULL, owns() decides. */
	const char *key_prefix;
	/* The source has a single record, whose key is key_prefix. */
	bool exact_key;
	/* Whether a key belongs to this source; used where its keys are not known at compile time.
	 */
	bool (*owns)(const struct ws_core *core, const char *key);

	/* Takes one record that was loaded after the election. */
	void (*load)(struct ws_core *core, const struct ws_kv *record);
	/* Called with the revision of the first page of the source's listing, before its records;
	 * the request was sent at requested_at. */
	void (*listed)(struct ws_core *core, uint64_t revision, double requested_at);
	/* Called when the records of all sources are loaded and the node has become the leader. */
	void (*loaded)(struct ws_core *core);

	/* Adds the operations that are due to a transaction under construction, as far as they fit.
	 */
	void (*collect)(struct ws_core *core, struct ws_write_batch *batch);
	/* Called for each of the source's operations that was committed, with the revision. */
	void (*written)(struct ws_core *core, const struct ws_operation *operation,
			uint64_t revision);
	/* Called for each operation after written() was called for all operations of the
	 * transaction. */
	void (*committed)(struct ws_core *core, const struct ws_operation *operation);
	/*
	 * Called for each operation of a transaction that was not committed or whose outcome is
	 * unknown. failed_compare is the compare of the operation's key if that compare failed,
	 * otherwise NULL. Returns true if the record is to be read again; read_again() is called
	 * with the result.
	 */
	bool (*not_written)(struct ws_core *core, const struct ws_operation *operation,
			    const struct ws_compare *failed_compare);
	/* Called before not_written() for each failed compare of a key of the source. */
	void (*compare_failed)(struct ws_core *core, const struct ws_compare *compare);
	/* Reports whether a record that was read again exists, and its revision (0 if unknown or
	 * if the record does not exist). */
	void (*read_again)(struct ws_core *core, const char *key, bool found, uint64_t revision);
};

/* Returns the source that a key belongs to, or NULL if there is none. */
const struct ws_record_source *ws_record_source_of(const struct ws_core *core, const char *key);

/* Lets all sources add their due operations to a transaction, in a fixed order of priority. */
void ws_record_sources_collect(struct ws_core *core, struct ws_write_batch *batch);

/* Calls loaded() of all sources. */
void ws_record_sources_loaded(struct ws_core *core);

/* Returns the key prefix at a position of the sequence in which a new leader lists the core's own
 * records, or NULL past the end. */
const char *ws_load_sequence_prefix(size_t position);

/* Returns a key prefix that is listed in parallel to that sequence, or NULL past the last index. */
const char *ws_load_parallel_prefix(const struct ws_core *core, size_t index);
#endif
