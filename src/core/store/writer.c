/* Sends the leader's transactions one at a time, within its share of the store's write rate. */
#include "../core_state.h"
#include "record_source.h"

/* The leader's share of the store's write rate: up to the maximum while the store rejects none of
 * its writes, and never below the minimum. */
#define RATE_SHARE_MAX 0.8
#define RATE_SHARE_MIN 0.5
/* A rejection multiplies the rate by this factor; a rise from 0 to the maximum takes this time. */
#define RATE_DECREASE 0.8
#define RATE_RECOVERY_S 32
/* Capacity of the token bucket, in seconds at the current rate. */
#define TOKEN_BUCKET_S 0.5
/* There is spare budget while the bucket holds more than this fraction of a second's writes. */
#define SPARE_RATE_SHARE 0.25
/* Number of polls per session TTL for records that became due by time; the first backoff is two
 * poll intervals. */
#define POLLS_PER_TTL 64
#define BACKOFF_DOUBLINGS_MAX 5
/* The limits are never lowered below these values. */
#define OPERATIONS_MIN 2
#define VALUE_BYTES_MIN 512

void ws_writer_reset(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;

	core->writer.value_bytes_max = core->settings->value_kb * 1024;
	writer->operations_max = core->settings->transaction_ops;
	writer->in_flight = false;
	writer->woken = false;
	writer->next_poll_at = 0;
	writer->retry_at = 0;
}

void ws_writer_wake(struct ws_core *core)
{
	core->writer.woken = true;
}

bool ws_writer_has_spare_budget(const struct ws_core *core)
{
	return core->writer.tokens > core->writer.rate * SPARE_RATE_SHARE;
}

/* ---- outcome of a transaction ---- */

static void ws_writer_send_read(struct ws_core *core, const char *key);

/* Passes a record that was read again after a failed compare to its source. */
static void ws_writer_read_done(struct ws_core *core, struct ws_call *call,
				const struct ws_result *result)
{
	const struct ws_record_source *source;
	bool found = result->outcome == WS_OUTCOME_OK;

	if (call->generation != core->generation)
		return;
	if (!found && result->outcome != WS_OUTCOME_NOT_FOUND) {
		ws_writer_send_read(core, call->read.key);
		return;
	}
	source = ws_record_source_of(core, call->read.key);
	if (source && source->read_again)
		source->read_again(core, call->read.key, found,
				   found && result->records.entry_count == 1
				       ? result->records.entries[0].revision
				       : 0);
}

static void ws_writer_send_read(struct ws_core *core, const char *key)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, ws_writer_read_done);

	snprintf(call->read.key, sizeof(call->read.key), "%s", key);
}

static void ws_writer_committed(struct ws_core *core, const struct ws_call *call, uint64_t revision)
{
	const struct ws_record_source *source;

	core->writer.failures = 0;
	ws_leadership_committed(core, revision);
	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		source = ws_record_source_of(core, call->transaction.operations[i].key);
		if (source && source->written)
			source->written(core, &call->transaction.operations[i], revision);
	}
	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		source = ws_record_source_of(core, call->transaction.operations[i].key);
		if (source && source->committed)
			source->committed(core, &call->transaction.operations[i]);
	}
}

/* Returns the compare of a key if the store reported that it failed, otherwise NULL. */
static const struct ws_compare *ws_writer_failed_compare(const struct ws_call *call,
							 const char *key,
							 const struct ws_result *result)
{
	bool failed = false;

	for (size_t i = 0; i < result->transaction.failed_count; i++)
		failed |= !strcmp(result->transaction.failed_keys[i], key);
	for (size_t i = 0; failed && i < call->transaction.compare_count; i++)
		if (!strcmp(call->transaction.compares[i].key, key))
			return &call->transaction.compares[i];
	return NULL;
}

/* Notifies the sources of the compares that failed, also those of keys without an operation. */
static void ws_writer_compares_failed(struct ws_core *core, const struct ws_call *call,
				      const struct ws_result *result)
{
	for (size_t i = 0; i < result->transaction.failed_count; i++) {
		const char *key = result->transaction.failed_keys[i];
		const struct ws_record_source *source = ws_record_source_of(core, key);
		const struct ws_compare *compare = ws_writer_failed_compare(call, key, result);

		if (source && source->compare_failed && compare)
			source->compare_failed(core, compare);
	}
}

/* Notifies the sources that their operations were not committed or that the outcome is unknown; the
 * records become due again. */
static void ws_writer_not_committed(struct ws_core *core, const struct ws_call *call,
				    const struct ws_result *result)
{
	if (result->outcome == WS_OUTCOME_CONFLICT)
		ws_writer_compares_failed(core, call, result);
	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		const struct ws_operation *operation = &call->transaction.operations[i];
		const struct ws_record_source *source = ws_record_source_of(core, operation->key);
		const struct ws_compare *failed_compare = NULL;

		if (result->outcome == WS_OUTCOME_CONFLICT)
			failed_compare = ws_writer_failed_compare(call, operation->key, result);
		if (source && source->not_written &&
		    source->not_written(core, operation, failed_compare))
			ws_writer_send_read(core, operation->key);
	}
}

/*
 * Lowers the limits after the store rejected a transaction as too large, since its limits are lower
 * than the configured ones. The records are written again in transactions with fewer operations,
 * then with smaller values; the same transaction is never repeated.
 */
static void ws_writer_lower_limits(struct ws_core *core, const struct ws_call *call)
{
	size_t largest_bytes = 0, all_bytes = 0, largest_index = 0;
	struct ws_writer *writer = &core->writer;

	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		size_t bytes = call->transaction.operations[i].value
				   ? ws_record_size(call->transaction.operations[i].value)
				   : 0;

		all_bytes += bytes;
		if (bytes > largest_bytes) {
			largest_bytes = bytes;
			largest_index = i;
		}
	}
	if (call->transaction.operation_count > OPERATIONS_MIN)
		writer->operations_max =
		    (int)(call->transaction.operation_count / 2 > OPERATIONS_MIN
			      ? call->transaction.operation_count / 2
			      : OPERATIONS_MIN);
	else if (largest_bytes > VALUE_BYTES_MIN)
		core->writer.value_bytes_max = fmax(VALUE_BYTES_MIN, (double)largest_bytes * 3 / 4);
	ws_log(core, WS_LOG_ERROR,
	       "write batch rejected, limits lowered operations=%zu bytes=%zu largest_key=%s "
	       "largest_bytes=%zu transaction_limit=%d value_limit_bytes=%.0f",
	       call->transaction.operation_count, all_bytes,
	       call->transaction.operations[largest_index].key, largest_bytes,
	       writer->operations_max, core->writer.value_bytes_max);
}

static bool ws_writer_lost_leadership(const struct ws_result *result)
{
	for (size_t i = 0; i < result->transaction.failed_count; i++)
		if (!strcmp(result->transaction.failed_keys[i], "leader"))
			return true;
	return false;
}

/* Lowers the rate after the store rejected a write, since other nodes use the write rate as well.
 */
static void ws_writer_throttled(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;

	writer->rate =
	    fmax(writer->rate * RATE_DECREASE, core->settings->store_write_rps * RATE_SHARE_MIN);
	writer->tokens = 0;
	writer->retry_at = core->now + 1 / writer->rate;
}

static void ws_writer_back_off(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;

	if (writer->failures < BACKOFF_DOUBLINGS_MAX)
		writer->failures++;
	writer->retry_at =
	    core->now + core->leadership.session_ttl_s / POLLS_PER_TTL * (1 << writer->failures);
}

static void ws_writer_done(struct ws_core *core, struct ws_call *call,
			   const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	core->writer.in_flight = false;
	core->writer.woken = true;
	if (result->outcome == WS_OUTCOME_OK) {
		ws_writer_committed(core, call, result->transaction.revision);
		return;
	}
	if (result->outcome == WS_OUTCOME_CONFLICT && ws_writer_lost_leadership(result)) {
		ws_step_down(core, "write rejected, another node is the leader");
		return;
	}
	if (result->outcome == WS_OUTCOME_REJECTED)
		ws_writer_lower_limits(core, call);
	ws_writer_not_committed(core, call, result);
	if (result->outcome == WS_OUTCOME_RATE_LIMITED)
		ws_writer_throttled(core);
	else if (result->outcome != WS_OUTCOME_CONFLICT)
		ws_writer_back_off(core);
}

/* ---- sending ---- */

/*
 * Refills the token bucket. The store's write rate is the scarcest resource of a large deployment:
 * the leader always has half of it, and uses up to four fifths while the store rejects none of its
 * writes.
 */
static void ws_writer_refill(struct ws_core *core)
{
	double rate_max = RATE_SHARE_MAX * core->settings->store_write_rps;
	struct ws_writer *writer = &core->writer;
	double elapsed = core->now - writer->refilled_at;

	if (!writer->rate)
		writer->rate = rate_max;
	writer->rate = fmin(rate_max, writer->rate + elapsed * rate_max / RATE_RECOVERY_S);
	writer->tokens =
	    fmin(writer->rate * TOKEN_BUCKET_S, writer->tokens + elapsed * writer->rate);
	writer->refilled_at = core->now;
}

/* Whether a transaction may be sent now and records may be due. */
static bool ws_writer_is_ready(const struct ws_core *core)
{
	const struct ws_writer *writer = &core->writer;

	return !writer->in_flight && core->now >= writer->retry_at && ws_is_entitled(core) &&
	       !core->leadership.in_outage && writer->tokens >= 1 &&
	       (writer->woken || core->now >= writer->next_poll_at);
}

static void ws_writer_send(struct ws_core *core, struct ws_call *call)
{
	core->writer.tokens -= (double)call->transaction.operation_count;
	call->transaction.self_paced = true;
	call->on_result = ws_writer_done;
	call->generation = core->generation;
	call->created_at = core->now;
	ws_effect_new(core, WS_EFFECT_CALL)->call = call;
	core->writer.in_flight = true;
}

void ws_writer_tick(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;
	struct ws_write_batch batch;

	ws_writer_refill(core);
	if (!ws_writer_is_ready(core))
		return;
	writer->woken = false;
	writer->next_poll_at = core->now + core->leadership.session_ttl_s / POLLS_PER_TTL;
	ws_write_counts_log(core);
	ws_write_batch_begin(&batch, (size_t)writer->operations_max);
	ws_write_batch_compare(&batch, "leader",
			       core->leadership.fencing_token >> WS_FENCING_TOKEN_SHIFT);
	ws_record_sources_collect(core, &batch);
	if (!batch.call->transaction.operation_count) {
		writer->empty_collections++;
		ws_call_free(batch.call);
		return;
	}
	ws_writer_send(core, batch.call);
}
