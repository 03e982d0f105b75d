#include "codec.h"
#include "../log.h"
#include "pool.h"
#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A body that is not what the protocol says is a failure, never a fact. */

static json_t *ws_parse(const char *body, size_t len)
{
	/* amounts too large for a double, duplicate keys and deep nesting are malformed too */
	return json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
}

/* Read, copied from and dropped again, in the pool's block; ws_parsed_end before the next one. */
static json_t *ws_parse_once(const char *body, size_t len)
{
	ws_pool_begin();
	return ws_parse(body, len);
}

static void ws_parsed_end(json_t *o)
{
	if (!ws_pool_whole())
		json_decref(o);
	ws_pool_end();
}

static bool ws_str(json_t *o, const char *key, char *to, size_t n, bool may_be_null)
{
	json_t *v = json_object_get(o, key);
	const char *s;

	to[0] = 0;
	if (!v || json_is_null(v))
		return may_be_null;
	s = json_string_value(v);
	if (!s || !s[0] || json_string_length(v) >= n || strlen(s) != json_string_length(v))
		return false;
	memcpy(to, s, strlen(s) + 1);
	return true;
}

static bool ws_amount(json_t *o, const char *key, double *to)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_number(v))
		return false;
	*to = json_number_value(v);
	return isfinite(*to) && *to >= 0 && *to < 1e12;
}

static bool ws_flag(json_t *o, const char *key, bool *to)
{
	json_t *v = json_object_get(o, key);

	*to = json_is_true(v);
	return json_is_boolean(v);
}

static bool ws_uint(json_t *o, const char *key, uint64_t *to)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*to = (uint64_t)json_integer_value(v);
	return true;
}

bool ws_job_id_ok(const char *id)
{
	size_t n = strlen(id);

	if (n <= 4 || n >= WS_ID_MAX / 2 || strncmp(id, "job-", 4))
		return false;
	for (size_t i = 4; i < n; i++)
		if (!isdigit((unsigned char)id[i]))
			return false;
	return true;
}

static const char *const ws_tiers[] = {"best_effort", "normal", "urgent", "production"};

static bool ws_decode_spec(json_t *o, struct ws_spec *s)
{
	char text[WS_NAME_MAX];
	uint64_t n;
	json_t *v;
	int i;

	if (!json_is_object(o) || !ws_str(o, "nameId", s->id, sizeof(s->id), false) ||
	    !ws_job_id_ok(s->id) ||
	    !ws_str(o, "jobclass", s->job_class, sizeof(s->job_class), false) ||
	    !ws_str(o, "owner", s->team, sizeof(s->team), false) ||
	    !ws_str(o, "shape", text, sizeof(text), false))
		return false;
	s->service = !strcmp(text, "daemon");
	s->gang = !strcmp(text, "gang");
	if (!s->service && !s->gang && strcmp(text, "sweep"))
		return false;
	if (!ws_str(o, "tier", text, sizeof(text), false))
		return false;
	for (i = 0; i < 4 && strcmp(text, ws_tiers[i]); i++)
		;
	if (i == 4)
		return false;
	s->tier = (enum ws_tier)i;
	if (!ws_uint(o, "shards", &n) || n < 1 || n > WS_MAX_SHARDS)
		return false;
	s->tasks = (uint32_t)n;
	if (!ws_amount(o, "vcpus", &s->cpus) || !ws_amount(o, "accelerators", &s->gpus) ||
	    !ws_amount(o, "memGb", &s->mem) ||
	    !ws_str(o, "bundle", s->image, sizeof(s->image), false) ||
	    !ws_amount(o, "sizeGb", &s->image_gb))
		return false;
	v = json_object_get(o, "flavours");
	if (v && !json_is_null(v)) {
		size_t k;
		json_t *e;

		if (!json_is_array(v) || !json_array_size(v) || json_array_size(v) > WS_MAX_ALLOWED)
			return false;
		json_array_foreach (v, k, e) {
			const char *t = json_string_value(e);

			if (!t || strlen(t) >= WS_NAME_MAX)
				return false;
			strcpy(s->types[s->ntypes++], t);
		}
	}
	if (!ws_str(o, "hall", s->zone, sizeof(s->zone), true) ||
	    !ws_flag(o, "samePlace", &s->one_zone) || !ws_flag(o, "spread", &s->spread) ||
	    !ws_flag(o, "reclaimable", &s->spot) || !ws_amount(o, "expectedS", &s->estimate_s) ||
	    !ws_amount(o, "snapshotEveryS", &s->checkpoint_s) ||
	    !ws_amount(o, "snapshotS", &s->save_s))
		return false;
	v = json_object_get(o, "dueS");
	s->deadline_s = -1;
	if (v && !json_is_null(v) && !ws_amount(o, "dueS", &s->deadline_s))
		return false;
	return true;
}

int ws_decode_job(const char *body, size_t len, struct ws_spec *spec)
{
	json_t *o = ws_parse_once(body, len);
	bool ok;

	memset(spec, 0, sizeof(*spec));
	ok = o && ws_decode_spec(o, spec);
	ws_parsed_end(o);
	return ok ? 0 : 400;
}

static bool ws_address(json_t *o, char *host, size_t n, int *port)
{
	char text[80], *colon;

	*port = 0;
	host[0] = 0;
	if (!ws_str(o, "address", text, sizeof(text), true))
		return false;
	colon = strrchr(text, ':');
	if (!colon)
		return true;
	*colon = 0;
	if (strlen(text) < n)
		strcpy(host, text);
	*port = atoi(colon + 1);
	if (*port < 1 || *port > 65535)
		*port = 0;
	return true;
}

/* A word of a later protocol is named once; the machine is served all the same. */
static void ws_unknown_word(const char *field, const char *word)
{
	static char seen[16][32];
	char text[32];
	size_t i;

	snprintf(text, sizeof(text), "%s %s", field, word);
	for (i = 0; i < 16 && seen[i][0]; i++)
		if (!strcmp(seen[i], text))
			return;
	if (i == 16)
		return;
	strcpy(seen[i], text);
	ws_logf(WS_LOG_ERROR, "a report has the unknown word \"%s\" as its %s", word, field);
}

static bool ws_decode_task(json_t *o, struct ws_task_report *t)
{
	static const char *const states[] = {"pulling", "running", "flushing", "exited", "waiting"};
	static const char *const whys[] = {"",	   "done",    "stopped",    "error",	 "full",
					   "busy", "no_such", "mates_gone", "incomplete"};
	const int nstates = sizeof(states) / sizeof(states[0]);
	const int nwhys = sizeof(whys) / sizeof(whys[0]);
	char text[WS_NAME_MAX], *slash, *end;
	unsigned long n;
	int i;

	if (!json_is_object(o) || !ws_str(o, "shard", text, sizeof(text), false) ||
	    !ws_uint(o, "tryNo", &t->attempt))
		return false;
	slash = strrchr(text, '/');
	if (!slash || slash == text || (size_t)(slash - text) >= sizeof(t->job))
		return false;
	*slash = 0;
	n = strtoul(slash + 1, &end, 10);
	if (!isdigit((unsigned char)slash[1]) || *end || n >= WS_MAX_SHARDS)
		return false;
	t->task = (uint32_t)n;
	strcpy(t->job, text);
	if (!ws_str(o, "phase", text, sizeof(text), false))
		return false;
	for (i = 0; i < nstates && strcmp(text, states[i]); i++)
		;
	if (i == nstates) {
		ws_unknown_word("phase", text);
		i = WS_TASK_FETCHING; /* a state we do not know is at any rate alive */
	}
	t->state = (enum ws_task_state)i;
	t->why = WS_WHY_NONE;
	if (t->state == WS_TASK_EXITED) {
		if (!ws_str(o, "cause", text, sizeof(text), true))
			return false;
		for (i = 1; i < nwhys && strcmp(text, whys[i]); i++)
			;
		if (i == nwhys && text[0])
			ws_unknown_word("cause", text);
		/* a cause we do not know blames nobody */
		t->why = i < nwhys ? (enum ws_why)i : WS_WHY_STOPPED;
	}
	return true;
}

static bool ws_decode_report_json(json_t *o, struct ws_report *r)
{
	json_t *v, *e;
	size_t i;

	memset(r, 0, sizeof(*r));
	if (!json_is_object(o) || !ws_str(o, "host", r->machine, sizeof(r->machine), false) ||
	    !ws_address(o, r->host, sizeof(r->host), &r->port) ||
	    !ws_str(o, "flavour", r->type, sizeof(r->type), false) ||
	    !ws_str(o, "hall", r->zone, sizeof(r->zone), false) ||
	    !ws_flag(o, "reclaimable", &r->spot) || !ws_uint(o, "tenure", &r->tenure) ||
	    r->tenure < 1 || !ws_uint(o, "counter", &r->counter) || !ws_uint(o, "epoch", &r->epoch))
		return false;
	r->notice_s = -1;
	v = json_object_get(o, "warningS");
	if (v && !json_is_null(v) && !ws_amount(o, "warningS", &r->notice_s))
		return false;
	v = json_object_get(o, "shards");
	if (!json_is_array(v))
		return false;
	r->tasks = calloc(json_array_size(v) + 1, sizeof(*r->tasks));
	if (!r->tasks)
		return false;
	json_array_foreach (v, i, e) {
		if (!ws_decode_task(e, &r->tasks[r->ntasks])) {
			ws_report_free(r);
			return false;
		}
		r->ntasks++;
	}
	return true;
}

bool ws_decode_report(const char *body, size_t len, struct ws_report *r)
{
	json_t *o = ws_parse_once(body, len);
	bool ok = o && ws_decode_report_json(o, r);

	ws_parsed_end(o);
	return ok;
}

void ws_report_free(struct ws_report *r)
{
	free(r->tasks);
	r->tasks = NULL;
	r->ntasks = 0;
}

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
	if (a->status == 200 || (a->status == 421 && a->name[0]))
		ws_pool_begin();
	if (a->status == 200)
		return ws_dump(json_pack("{s:I,s:o}", "epoch", (json_int_t)a->epoch, "orders",
					 ws_orders_json(a->orders, a->norders)));
	if (a->status == 421 && a->name[0])
		return ws_dump(json_pack("{s:s}", "supervisor", a->name));
	return strdup("{}");
}

char *ws_encode_orders(uint64_t epoch, uint64_t tenure, const struct ws_order *o, size_t n)
{
	ws_pool_begin();
	return ws_dump(json_pack("{s:I,s:I,s:o}", "epoch", (json_int_t)epoch, "tenure",
				 (json_int_t)tenure, "orders", ws_orders_json(o, n)));
}

char *ws_encode_call(const struct ws_call *call, const char **method, char *path)
{
	json_t *o = NULL, *a;

	*method = "GET";
	switch (call->kind) {
	case WS_CALL_GET: snprintf(path, WS_URL_MAX, "/kv/%s", call->key); return NULL;
	case WS_CALL_LIST:
		if (call->after[0])
			snprintf(path, WS_URL_MAX, "/kv?starts=%s&since=%s&most=1000", call->key,
				 call->after);
		else
			snprintf(path, WS_URL_MAX, "/kv?starts=%s&most=1000", call->key);
		return NULL;
	case WS_CALL_WATCH:
		snprintf(path, WS_URL_MAX, "/watch?starts=%s&since=%llu&holdMs=%u", call->key,
			 (unsigned long long)call->since, call->ms);
		return NULL;
	case WS_CALL_TXN:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/multi");
		ws_pool_begin();
		a = json_array();
		for (size_t i = 0; i < call->nconds; i++)
			json_array_append_new(a,
					      json_pack("{s:s,s:I}", "k", call->conds[i].key,
							"stamp", (json_int_t)call->conds[i].stamp));
		o = json_pack("{s:o}", "when", a);
		a = json_array();
		for (size_t i = 0; i < call->nops; i++) {
			const struct ws_op *p = &call->ops[i];
			json_t *x;

			if (p->value) {
				x = json_pack("{s:s,s:O}", "write", p->key, "value", p->value);
				if (p->hold)
					json_object_set_new(x, "permit",
							    json_integer((json_int_t)p->hold));
			} else {
				x = json_pack("{s:s}", "delete", p->key);
			}
			json_array_append_new(a, x);
		}
		json_object_set_new(o, "then", a);
		return ws_dump(o);
	case WS_CALL_HOLD_NEW:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/holds");
		return ws_dump(json_pack("{s:i}", "ttlMs", (int)call->ms));
	case WS_CALL_HOLD_EXTEND:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/holds/%llu/extend", (unsigned long long)call->hold);
		return NULL;
	case WS_CALL_HOLD_DROP:
		*method = "DELETE";
		snprintf(path, WS_URL_MAX, "/holds/%llu", (unsigned long long)call->hold);
		return NULL;
	case WS_CALL_TYPES: snprintf(path, WS_URL_MAX, "/machine_types"); return NULL;
	case WS_CALL_HOSTS:
		if (call->after[0])
			snprintf(path, WS_URL_MAX, "/hosts?since=%s&most=500", call->after);
		else
			snprintf(path, WS_URL_MAX, "/hosts?most=500");
		return NULL;
	case WS_CALL_RENT:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/hosts");
		return ws_dump(json_pack("{s:s,s:s,s:s,s:b,s:i}", "booking", call->key, "flavour",
					 call->type, "hall", call->zone, "reclaimable", call->spot,
					 "howMany", (int)call->count));
	case WS_CALL_RETURN:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/hosts/return");
		a = json_array();
		for (size_t i = 0; i < call->nnames; i++)
			json_array_append_new(a, json_string(call->names[i]));
		return ws_dump(json_pack("{s:o}", "hosts", a));
	case WS_CALL_ORDERS:
		*method = "POST";
		snprintf(path, WS_URL_MAX, "/commands");
		return ws_encode_orders(call->epoch, call->tenure, call->orders, call->norders);
	case WS_CALL_TESTIFY: break;
	}
	path[0] = 0;
	return NULL;
}

static bool ws_decode_kv(json_t *o, const char *name, struct ws_kv *kv, bool need_value)
{
	json_t *v;

	memset(kv, 0, sizeof(*kv));
	if (!json_is_object(o) || !ws_str(o, name, kv->key, sizeof(kv->key), false) ||
	    !ws_uint(o, "stamp", &kv->stamp))
		return false;
	v = json_object_get(o, "value");
	if (need_value && !v)
		return false;
	kv->value = json_incref(v);
	return true;
}

static bool ws_decode_kvs(json_t *a, struct ws_result *r, bool events)
{
	size_t i;
	json_t *e;

	if (!json_is_array(a))
		return false;
	r->kvs = calloc(json_array_size(a) + 1, sizeof(*r->kvs));
	if (!r->kvs)
		return false;
	json_array_foreach (a, i, e) {
		bool del = events && json_object_get(e, "delete");

		if (!ws_decode_kv(e,
				  del	   ? "delete"
				  : events ? "write"
					   : "k",
				  &r->kvs[r->nkvs], !del))
			return false;
		if (del) {
			json_decref(r->kvs[r->nkvs].value);
			r->kvs[r->nkvs].value = NULL;
		}
		r->nkvs++;
	}
	return true;
}

static bool ws_decode_types(json_t *o, struct ws_result *r)
{
	json_t *a = json_object_get(o, "flavours"), *e, *z, *n;
	size_t i, k;

	if (!json_is_array(a) || !json_array_size(a))
		return false;
	r->types = calloc(json_array_size(a), sizeof(*r->types));
	if (!r->types)
		return false;
	json_array_foreach (a, i, e) {
		struct ws_type *t = &r->types[r->ntypes];

		if (!ws_str(e, "name", t->name, sizeof(t->name), false) ||
		    !ws_amount(e, "vcpus", &t->cpus) || t->cpus <= 0 ||
		    !ws_amount(e, "memGb", &t->mem) || !ws_amount(e, "rate", &t->price) ||
		    !ws_amount(e, "startupS", &t->boot_s))
			return false;
		if (!ws_amount(e, "accelerators", &t->gpus))
			t->gpus = 0;
		if (!ws_amount(e, "spotPrice", &t->spot_price))
			t->spot_price = t->price;
		if (!ws_amount(e, "localGb", &t->local_gb))
			t->local_gb = 0;
		if (!ws_amount(e, "fetchGbPerS", &t->fetch_gb_s))
			t->fetch_gb_s = 0;
		z = json_object_get(e, "halls");
		if (!json_is_array(z))
			return false;
		json_array_foreach (z, k, n) {
			const char *s = json_string_value(n);

			if (!s || strlen(s) >= WS_NAME_MAX)
				return false;
			if (t->nzones < WS_MAX_ALLOWED)
				strcpy(t->zones[t->nzones++], s);
		}
		r->ntypes++;
	}
	return true;
}

static bool ws_decode_hosts(json_t *o, struct ws_result *r, bool names)
{
	json_t *a = json_object_get(o, "hosts"), *e;
	size_t i;

	if (!json_is_array(a))
		return false;
	r->hosts = calloc(json_array_size(a) + 1, sizeof(*r->hosts));
	if (!r->hosts)
		return false;
	json_array_foreach (a, i, e) {
		struct ws_host *h = &r->hosts[r->nhosts];
		char phase[WS_NAME_MAX];

		if (names) {
			const char *s = json_string_value(e);

			if (!s || !s[0] || strlen(s) >= WS_NAME_MAX)
				return false;
			strcpy(h->name, s);
			r->nhosts++;
			continue;
		}
		if (!ws_str(e, "nameId", h->name, sizeof(h->name), false) ||
		    !ws_address(e, h->host, sizeof(h->host), &h->port) ||
		    !ws_str(e, "flavour", h->type, sizeof(h->type), false) ||
		    !ws_str(e, "hall", h->zone, sizeof(h->zone), false) ||
		    !ws_flag(e, "reclaimable", &h->spot) ||
		    !ws_str(e, "phase", phase, sizeof(phase), false))
			return false;
		if (!ws_amount(e, "ageS", &h->age_s))
			h->age_s = 0;
		h->phase = !strcmp(phase, "failed")    ? WS_HOST_FAILED
			   : !strcmp(phase, "running") ? WS_HOST_RUNNING
						       : WS_HOST_STARTING;
		r->nhosts++;
	}
	return true;
}

static bool ws_decode_ok(const struct ws_call *call, json_t *o, struct ws_result *r)
{
	switch (call->kind) {
	case WS_CALL_GET:
		r->kvs = calloc(1, sizeof(*r->kvs));
		if (!r->kvs || !ws_decode_kv(o, "k", r->kvs, true))
			return false;
		r->nkvs = 1;
		return !strcmp(r->kvs->key, call->key);
	case WS_CALL_LIST:
		r->more = json_is_true(json_object_get(o, "hasNext"));
		return ws_uint(o, "ledgerRev", &r->rev) &&
		       ws_decode_kvs(json_object_get(o, "entries"), r, false);
	case WS_CALL_WATCH:
		return ws_uint(o, "ledgerRev", &r->rev) &&
		       ws_decode_kvs(json_object_get(o, "news"), r, true);
	case WS_CALL_TXN: return ws_uint(o, "ledgerRev", &r->rev);
	case WS_CALL_HOLD_NEW: return ws_uint(o, "permit", &r->hold);
	case WS_CALL_HOLD_EXTEND:
	case WS_CALL_HOLD_DROP:
	case WS_CALL_RETURN:
	case WS_CALL_TESTIFY: return true;
	case WS_CALL_TYPES: return ws_decode_types(o, r);
	case WS_CALL_HOSTS:
		r->more = json_is_true(json_object_get(o, "hasNext"));
		return ws_decode_hosts(o, r, false);
	case WS_CALL_RENT: return ws_decode_hosts(o, r, true);
	case WS_CALL_ORDERS:
		r->report = calloc(1, sizeof(*r->report));
		if (r->report && ws_decode_report_json(o, r->report))
			return true;
		free(r->report);
		r->report = NULL;
		return false;
	}
	return false;
}

void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t len,
		     struct ws_result *r)
{
	json_t *o, *a, *e;
	size_t i;
	const char *why;
	bool keeps;

	memset(r, 0, sizeof(*r));
	r->status = status;
	if (status <= 0)
		return;
	/* values of the state service's keys live on */
	keeps =
	    call->kind == WS_CALL_GET || call->kind == WS_CALL_LIST || call->kind == WS_CALL_WATCH;
	o = keeps ? ws_parse(body, len) : ws_parse_once(body, len);
	if (status == 200 || (status == 409 && call->kind == WS_CALL_ORDERS)) {
		bool plain = call->kind == WS_CALL_HOLD_EXTEND || call->kind == WS_CALL_HOLD_DROP ||
			     call->kind == WS_CALL_RETURN;

		if (!plain && (!json_is_object(o) || !ws_decode_ok(call, o, r))) {
			ws_result_free(r);
			memset(r, 0, sizeof(*r)); /* answered, but who knows what was done */
		}
	} else if (status == 409 && call->kind == WS_CALL_TXN) {
		a = json_object_get(o, "failed");
		r->failed = calloc(json_array_size(a) + 1, sizeof(*r->failed));
		json_array_foreach (a, i, e) {
			if (r->failed && json_is_string(e))
				snprintf(r->failed[r->nfailed++], WS_KEY_MAX, "%s",
					 json_string_value(e));
		}
	} else if (status == 503 && call->kind == WS_CALL_RENT) {
		why = json_string_value(json_object_get(o, "error"));
		r->no_capacity = why && !strcmp(why, "no capacity");
	}
	if (keeps)
		json_decref(o);
	else
		ws_parsed_end(o);
}

void ws_result_free(struct ws_result *r)
{
	for (size_t i = 0; i < r->nkvs; i++)
		json_decref(r->kvs[i].value);
	if (r->report) {
		ws_report_free(r->report);
		free(r->report);
	}
	free(r->kvs);
	free(r->failed);
	free(r->types);
	free(r->hosts);
	free(r->withdrawn);
	memset(r, 0, sizeof(*r));
}
