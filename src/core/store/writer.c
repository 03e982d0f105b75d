/* The leader's transactions: one at a time, within its share of changes. */
#include "../core_state.h"
#include "record_source.h"

/* Of the changes a second that the store allows, the leader takes up to this share while
 * nobody is refused any, and has the other one for sure. */
#define RATE_SHARE_MAX 0.8
#define RATE_SHARE_MIN 0.5
/* Factor of the rate after a refusal, and the time in which it rises from nothing to its most. */
#define RATE_DECREASE 0.8
#define RATE_RECOVERY_S 32
/* The bucket holds the changes of this time. */
#define BUCKET_S 0.5
/* Less than this share of a second's changes in the bucket: changes are short. */
#define SPARE_SHARE 0.25
/* What becomes due by the clock is looked for so often in a ttl; the first back-off is twice that
 * interval. */
#define POLLS_PER_TTL 64
#define BACKOFF_DOUBLINGS_MAX 5
/* Limits are not lowered below these. */
#define OPERATIONS_FLOOR 2
#define VALUE_BYTES_FLOOR 512

void ws_writer_reset(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;

	core->writer.value_bytes_max = core->settings->value_kb * 1024;
	writer->operations_max = core->settings->txn_ops;
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
	return core->writer.tokens > core->writer.rate * SPARE_SHARE;
}

/* ---- outcome of a transaction ---- */

static void ws_writer_read_again(struct ws_core *core, const char *key);

/* A record whose compare failed was read again. */
static void ws_writer_reread(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result)
{
	const struct ws_record_source *source;
	bool found = result->outcome == WS_OUTCOME_OK;

	if (call->generation != core->generation)
		return;
	if (!found && result->outcome != WS_OUTCOME_NOT_FOUND) {
		ws_writer_read_again(core, call->read.key);
		return;
	}
	source = ws_record_source_of(core, call->read.key);
	if (source && source->read_again)
		source->read_again(core, call->read.key, found,
				   found && result->records.entry_count == 1
				       ? result->records.entries[0].revision
				       : 0);
}

static void ws_writer_read_again(struct ws_core *core, const char *key)
{
	struct ws_call *call = ws_call_new(core, WS_CALL_GET, ws_writer_reread);

	snprintf(call->read.key, sizeof(call->read.key), "%s", key);
}

static void ws_writer_committed(struct ws_core *core, const struct ws_call *call, uint64_t revision)
{
	const struct ws_record_source *source;

	core->writer.failures = 0;
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

/* The compare of a key if the store says that it failed, else NULL. */
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

/* The write did not happen, or not surely: what it held is due again. */
static void ws_writer_not_committed(struct ws_core *core, const struct ws_call *call,
				    const struct ws_result *result)
{
	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		const struct ws_operation *operation = &call->transaction.operations[i];
		const struct ws_record_source *source = ws_record_source_of(core, operation->key);
		const struct ws_compare *failed_compare = NULL;

		if (result->outcome == WS_OUTCOME_CONFLICT)
			failed_compare = ws_writer_failed_compare(call, operation->key, result);
		if (source && source->not_written &&
		    source->not_written(core, operation, failed_compare))
			ws_writer_read_again(core, operation->key);
	}
}

/*
 * Too much for the store, by limits lower than those we plan by. It was not carried out;
 * what it held is written anew in smaller transactions, then in smaller records, never unchanged.
 */
static void ws_writer_lower_limits(struct ws_core *core, const struct ws_call *call)
{
	size_t largest_bytes = 0, all_bytes = 0, largest = 0;
	struct ws_writer *writer = &core->writer;

	for (size_t i = 0; i < call->transaction.operation_count; i++) {
		size_t bytes = call->transaction.operations[i].value
				   ? ws_record_size(call->transaction.operations[i].value)
				   : 0;

		all_bytes += bytes;
		if (bytes > largest_bytes) {
			largest_bytes = bytes;
			largest = i;
		}
	}
	if (call->transaction.operation_count > OPERATIONS_FLOOR)
		writer->operations_max =
		    (int)(call->transaction.operation_count / 2 > OPERATIONS_FLOOR
			      ? call->transaction.operation_count / 2
			      : OPERATIONS_FLOOR);
	else if (largest_bytes > VALUE_BYTES_FLOOR)
		core->writer.value_bytes_max =
		    fmax(VALUE_BYTES_FLOOR, (double)largest_bytes * 3 / 4);
	ws_log(core, WS_LOG_ERROR,
	       "write batch rejected, limits lowered operations=%zu bytes=%zu largest_key=%s "
	       "largest_bytes=%zu transaction_limit=%d value_limit_bytes=%.0f",
	       call->transaction.operation_count, all_bytes,
	       call->transaction.operations[largest].key, largest_bytes, writer->operations_max,
	       core->writer.value_bytes_max);
}

static bool ws_writer_lost_lead(const struct ws_result *result)
{
	for (size_t i = 0; i < result->transaction.failed_count; i++)
		if (!strcmp(result->transaction.failed_keys[i], "leader"))
			return true;
	return false;
}

/* Others write as well: less for a while. */
static void ws_writer_throttled(struct ws_core *core)
{
	struct ws_writer *writer = &core->writer;

	writer->rate =
	    fmax(writer->rate * RATE_DECREASE, core->settings->state_write_rps * RATE_SHARE_MIN);
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
	if (result->outcome == WS_OUTCOME_CONFLICT && ws_writer_lost_lead(result)) {
		ws_step_down(core, "write rejected, another node leads");
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
 * Changes a second are the scarcest thing in a large deployment. The leader has half of them for
 * sure, and takes up to four fifths while nobody is refused any.
 */
static void ws_writer_refill(struct ws_core *core)
{
	double rate_max = RATE_SHARE_MAX * core->settings->state_write_rps;
	struct ws_writer *writer = &core->writer;
	double elapsed = core->now - writer->refilled_at;

	if (!writer->rate)
		writer->rate = rate_max;
	writer->rate = fmin(rate_max, writer->rate + elapsed * rate_max / RATE_RECOVERY_S);
	writer->tokens = fmin(writer->rate * BUCKET_S, writer->tokens + elapsed * writer->rate);
	writer->refilled_at = core->now;
}

/* Whether a transaction may be sent now, and something may be due. */
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
		writer->empty_passes++;
		ws_call_free(batch.call);
		return;
	}
	ws_writer_send(core, batch.call);
}
