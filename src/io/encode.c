/* Writing: answers to users and workers, and calls to workers, the cloud and the state service. */
#include "codec.h"
#include "pool.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *ws_dump(json_t *o)
{
	char *s = o ? json_dumps(o, JSON_COMPACT) : NULL, *own = s ? strdup(s) : NULL;

	if (s) { /* it may be the pool's, which ends here; what is part of others is given back */
		json_free_t give;

		json_get_alloc_funcs(NULL, &give);
		give(s);
	}
	json_decref(o);
	ws_pool_end();
	return own;
}

char *ws_encode_user(const struct ws_action *a)
{
	static const char *const phases[] = {"queued", "running", "done", "withdrawn"};
	json_t *o;

	if (a->status != 200 && a->status != 201)
		return strdup("{}");
	ws_pool_begin();
	o = json_pack("{s:s,s:s}", "nameId", a->name, "phase", phases[a->phase]);
	if (a->counts) {
		json_object_set_new(o, "done", json_integer(a->done));
		json_object_set_new(o, "running", json_integer(a->running));
	}
	return ws_dump(o);
}

static json_t *ws_orders_json(const struct ws_order *o, size_t n)
{
	static const char *const verbs[] = {"run", "stop", "reap"};
	json_t *a = json_array();

	for (size_t i = 0; i < n; i++) {
		char task[WS_ID_MAX + 16];
		json_t *x;

		snprintf(task, sizeof(task), "%s/%u", o[i].job, o[i].task);
		x = json_pack("{s:s,s:s,s:I}", "verb", verbs[o[i].verb], "shard", task, "tryNo",
			      (json_int_t)o[i].attempt);
		if (o[i].verb == WS_STOP)
			json_object_set_new(x, "windDownS", json_real(o[i].grace_s));
		json_array_append_new(a, x);
	}
	return a;
}

char *ws_encode_report_answer(const struct ws_action *a)
{
	bool names_leader = a->status == 421 && a->name[0];

	if (a->status != 200 && !names_leader)
		return strdup("{}");
	ws_pool_begin();
	if (names_leader)
		return ws_dump(json_pack("{s:s}", "supervisor", a->name));
	return ws_dump(json_pack("{s:I,s:o}", "epoch", (json_int_t)a->epoch, "orders",
				 ws_orders_json(a->orders, a->norders)));
}

char *ws_encode_orders(uint64_t epoch, uint64_t tenure, const struct ws_order *o, size_t n)
{
	ws_pool_begin();
	return ws_dump(json_pack("{s:I,s:I,s:o}", "epoch", (json_int_t)epoch, "tenure",
				 (json_int_t)tenure, "orders", ws_orders_json(o, n)));
}

static json_t *ws_conditions_json(const struct ws_call *call)
{
	json_t *list = json_array();

	for (size_t i = 0; i < call->nconds; i++)
		json_array_append_new(list, json_pack("{s:s,s:I}", "k", call->conds[i].key, "stamp",
						      (json_int_t)call->conds[i].stamp));
	return list;
}

static json_t *ws_change_json(const struct ws_op *op)
{
	json_t *change;

	if (!op->value)
		return json_pack("{s:s}", "delete", op->key);
	change = json_pack("{s:s,s:O}", "write", op->key, "value", op->value);
	if (op->hold)
		json_object_set_new(change, "permit", json_integer((json_int_t)op->hold));
	return change;
}

static char *ws_encode_transaction(const struct ws_call *call)
{
	json_t *when, *then;

	ws_pool_begin();
	when = ws_conditions_json(call);
	then = json_array();
	for (size_t i = 0; i < call->nops; i++)
		json_array_append_new(then, ws_change_json(&call->ops[i]));
	return ws_dump(json_pack("{s:o,s:o}", "when", when, "then", then));
}

static char *ws_encode_return(const struct ws_call *call)
{
	json_t *names = json_array();

	for (size_t i = 0; i < call->nnames; i++)
		json_array_append_new(names, json_string(call->names[i]));
	return ws_dump(json_pack("{s:o}", "hosts", names));
}

static char *ws_encode_rent(const struct ws_call *call)
{
	return ws_dump(json_pack("{s:s,s:s,s:s,s:b,s:i}", "booking", call->key, "flavour",
				 call->type, "hall", call->zone, "reclaimable", call->spot,
				 "howMany", (int)call->count));
}

/* Reads, which have no body: their path. */
static void ws_encode_read(const struct ws_call *call, char *path)
{
	const char *since = call->after[0] ? "&since=" : "";

	switch (call->kind) {
	case WS_CALL_GET: snprintf(path, WS_URL_MAX, "/kv/%s", call->key); break;
	case WS_CALL_LIST:
		snprintf(path, WS_URL_MAX, "/kv?starts=%s%s%s&most=1000", call->key, since,
			 call->after);
		break;
	case WS_CALL_WATCH:
		snprintf(path, WS_URL_MAX, "/watch?starts=%s&since=%llu&holdMs=%u", call->key,
			 (unsigned long long)call->since, call->ms);
		break;
	case WS_CALL_TYPES: snprintf(path, WS_URL_MAX, "/machine_types"); break;
	case WS_CALL_HOSTS:
		if (call->after[0])
			snprintf(path, WS_URL_MAX, "/hosts?since=%s&most=500", call->after);
		else
			snprintf(path, WS_URL_MAX, "/hosts?most=500");
		break;
	default: path[0] = 0; break;
	}
}

char *ws_encode_call(const struct ws_call *call, const char **method, char *path)
{
	*method = "POST";
	switch (call->kind) {
	case WS_CALL_TXN: snprintf(path, WS_URL_MAX, "/multi"); return ws_encode_transaction(call);
	case WS_CALL_HOLD_NEW:
		snprintf(path, WS_URL_MAX, "/holds");
		return ws_dump(json_pack("{s:i}", "ttlMs", (int)call->ms));
	case WS_CALL_HOLD_EXTEND:
		snprintf(path, WS_URL_MAX, "/holds/%llu/extend", (unsigned long long)call->hold);
		return NULL;
	case WS_CALL_HOLD_DROP:
		*method = "DELETE";
		snprintf(path, WS_URL_MAX, "/holds/%llu", (unsigned long long)call->hold);
		return NULL;
	case WS_CALL_RENT: snprintf(path, WS_URL_MAX, "/hosts"); return ws_encode_rent(call);
	case WS_CALL_RETURN:
		snprintf(path, WS_URL_MAX, "/hosts/return");
		return ws_encode_return(call);
	case WS_CALL_ORDERS:
		snprintf(path, WS_URL_MAX, "/commands");
		return ws_encode_orders(call->epoch, call->tenure, call->orders, call->norders);
	default:
		*method = "GET";
		ws_encode_read(call, path);
		return NULL;
	}
}
