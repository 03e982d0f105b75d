/*
 * A digest of all that leaves the cores in a scenario: calls with their conditions and record
 * bytes, answers, commands and frames to peers, in the order in which they leave. Log lines are not
 * in it. Each effect is one line of text; the digest is the 64-bit FNV-1a hash of these lines,
 * which sim_trace prints.
 *
 * Two versions of the sources with equal digests behaved alike to the last byte. The words of the
 * lines are this file's own, so that they outlive the renaming of what they tell of.
 */
#include "sim_parts.h"

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

FILE *sim_trace;

static void put(struct sim *s, const char *text, size_t n)
{
	for (size_t i = 0; i < n; i++)
		s->digest = (s->digest ^ (unsigned char)text[i]) * FNV_PRIME;
	if (sim_trace)
		fwrite(text, 1, n, sim_trace);
}

static void say(struct sim *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
static void say(struct sim *s, const char *fmt, ...)
{
	char text[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	put(s, text, (size_t)n < sizeof(text) ? (size_t)n : sizeof(text) - 1);
}

static void say_commands(struct sim *s, const struct ws_order *orders, size_t n)
{
	static const char *const words[] = {"run", "stop", "reap"};

	for (size_t i = 0; i < n; i++)
		say(s, " (%s %s/%u %llu %.17g)", words[orders[i].verb], orders[i].job,
		    orders[i].task, (unsigned long long)orders[i].attempt, orders[i].grace_s);
}

static void say_transaction(struct sim *s, const struct ws_call *call)
{
	say(s, "txn paced=%d", call->paced);
	for (size_t i = 0; i < call->nconds; i++)
		say(s, " (if %s %llu)", call->conds[i].key,
		    (unsigned long long)call->conds[i].stamp);
	for (size_t i = 0; i < call->nops; i++) {
		const struct ws_op *op = &call->ops[i];
		char *value =
		    op->value ? json_dumps(op->value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

		say(s, " (put %s %llu ", op->key, (unsigned long long)op->hold);
		if (value)
			put(s, value, strlen(value));
		say(s, ")");
		free(value);
	}
}

static void say_call(struct sim *s, const struct ws_call *call)
{
	switch (call->kind) {
	case WS_CALL_GET: say(s, "get %s", call->key); break;
	case WS_CALL_LIST: say(s, "list %s after=%s", call->key, call->after); break;
	case WS_CALL_TXN: say_transaction(s, call); break;
	case WS_CALL_WATCH:
		say(s, "watch %s %llu %u", call->key, (unsigned long long)call->since, call->ms);
		break;
	case WS_CALL_HOLD_NEW: say(s, "session-new %u", call->ms); break;
	case WS_CALL_HOLD_EXTEND:
		say(s, "session-extend %llu", (unsigned long long)call->hold);
		break;
	case WS_CALL_HOLD_DROP: say(s, "session-drop %llu", (unsigned long long)call->hold); break;
	case WS_CALL_TYPES: say(s, "types"); break;
	case WS_CALL_HOSTS: say(s, "instances after=%s", call->after); break;
	case WS_CALL_RENT:
		say(s, "scale-out %s %s %s %d %u", call->key, call->type, call->zone, call->spot,
		    call->count);
		break;
	case WS_CALL_RETURN:
		say(s, "scale-in");
		for (size_t i = 0; i < call->nnames; i++)
			say(s, " %s", call->names[i]);
		break;
	case WS_CALL_ORDERS:
		say(s, "commands %s:%d %llu %llu", call->host, call->port,
		    (unsigned long long)call->epoch, (unsigned long long)call->tenure);
		say_commands(s, call->orders, call->norders);
		break;
	case WS_CALL_TESTIFY:
		say(s, "vote %s after=%s %llu %llu", call->key, call->after,
		    (unsigned long long)call->since, (unsigned long long)call->epoch);
		break;
	}
	say(s, " urgent=%d", call->urgent);
}

static void say_vote(struct sim *s, const struct ws_action *a)
{
	say(s, "vote-answer %llu %d %d %d", (unsigned long long)a->token, a->status, a->vouched,
	    a->more);
	for (size_t i = 0; i < a->nwithdrawn; i++)
		say(s, " (%s %llu)", a->withdrawn[i].job,
		    (unsigned long long)a->withdrawn[i].stamp);
}

void sim_digest_begin(struct sim *s)
{
	s->digest = FNV_OFFSET;
}

void sim_digest_add(struct sim *s, int node, const struct ws_action *a)
{
	s->digest_lines++;
	say(s, "%.9f %d ", s->now, node);
	switch (a->kind) {
	case WS_ACT_CALL: say_call(s, a->call); break;
	case WS_ACT_ANSWER_USER:
		say(s, "user-answer %llu %d %d %s %d %u %u %d", (unsigned long long)a->token,
		    a->status, a->retry_after, a->name, (int)a->phase, a->done, a->running,
		    a->counts);
		break;
	case WS_ACT_ANSWER_REPORT:
		say(s, "heartbeat-answer %llu %d %d %s %llu", (unsigned long long)a->token,
		    a->status, a->retry_after, a->name, (unsigned long long)a->epoch);
		say_commands(s, a->orders, a->norders);
		break;
	case WS_ACT_RELAY:
		say(s, "forward %llu %s %d", (unsigned long long)a->token, a->name, a->pinned);
		break;
	case WS_ACT_ANSWER_TESTIFY: say_vote(s, a); break;
	}
	say(s, "\n");
}
