/* Reading: requests of users and workers, answers of workers, the cloud and the state service. */
#include "codec.h"
#include "../log.h"
#include "json_reader.h"
#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A body that is not what the protocol says is a failure, never a fact. */

/* ---- members of an object that is read ---- */

/* False: malformed, or of another type. One that is missing or null gives "" where it may be. */
static bool ws_member_string(struct ws_json object, const char *key, char *to, size_t n,
			     bool may_be_null)
{
	struct ws_json value;
	const char *text;
	size_t len;

	to[0] = 0;
	if (!ws_json_member(object, key, &value) || ws_json_is_null(value))
		return may_be_null;
	if (!ws_json_string(value, &text, &len) || !len || len >= n)
		return false;
	memcpy(to, text, len);
	to[len] = 0;
	return true;
}

static bool ws_member_amount(struct ws_json object, const char *key, double *to)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_number(value, to) && isfinite(*to) &&
	       *to >= 0 && *to < 1e12;
}

static bool ws_member_bool(struct ws_json object, const char *key, bool *to)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_bool(value, to);
}

static bool ws_member_uint(struct ws_json object, const char *key, uint64_t *to)
{
	struct ws_json value;
	int64_t n;

	if (!ws_json_member(object, key, &value) || !ws_json_integer(value, &n) || n < 0)
		return false;
	*to = (uint64_t)n;
	return true;
}

/* Whether there is a member that is not null. */
static bool ws_member_set(struct ws_json object, const char *key)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && !ws_json_is_null(value);
}

/* An array that is a member, and its length. */
static bool ws_member_array(struct ws_json object, const char *key,
			    struct ws_json_elements *elements, size_t *count)
{
	struct ws_json value;

	return ws_json_member(object, key, &value) && ws_json_elements(value, elements, count);
}

/* A name of an array, no longer than names are. */
static bool ws_element_name(struct ws_json value, char *to)
{
	const char *text;
	size_t len;

	if (!ws_json_string(value, &text, &len) || len >= WS_NAME_MAX)
		return false;
	memcpy(to, text, len);
	to[len] = 0;
	return true;
}

/* ---- requests ---- */

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

/* The machine types that a job may run on; no list: any. */
static bool ws_decode_allowed_types(struct ws_json o, struct ws_spec *s)
{
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_set(o, "flavours"))
		return true;
	if (!ws_member_array(o, "flavours", &elements, &count) || !count || count > WS_MAX_ALLOWED)
		return false;
	while (ws_json_next(&elements, &type))
		if (!ws_element_name(type, s->types[s->ntypes++]))
			return false;
	return true;
}

static bool ws_decode_spec(struct ws_json o, struct ws_spec *s)
{
	char text[WS_NAME_MAX];
	uint64_t n;
	int i;

	if (!ws_json_is_object(o) || !ws_member_string(o, "nameId", s->id, sizeof(s->id), false) ||
	    !ws_job_id_ok(s->id) ||
	    !ws_member_string(o, "jobclass", s->job_class, sizeof(s->job_class), false) ||
	    !ws_member_string(o, "owner", s->team, sizeof(s->team), false) ||
	    !ws_member_string(o, "shape", text, sizeof(text), false))
		return false;
	s->service = !strcmp(text, "daemon");
	s->gang = !strcmp(text, "gang");
	if (!s->service && !s->gang && strcmp(text, "sweep"))
		return false;
	if (!ws_member_string(o, "tier", text, sizeof(text), false))
		return false;
	for (i = 0; i < 4 && strcmp(text, ws_tiers[i]); i++)
		;
	if (i == 4)
		return false;
	s->tier = (enum ws_tier)i;
	if (!ws_member_uint(o, "shards", &n) || n < 1 || n > WS_MAX_SHARDS)
		return false;
	s->tasks = (uint32_t)n;
	if (!ws_member_amount(o, "vcpus", &s->cpus) ||
	    !ws_member_amount(o, "accelerators", &s->gpus) ||
	    !ws_member_amount(o, "memGb", &s->mem) ||
	    !ws_member_string(o, "bundle", s->image, sizeof(s->image), false) ||
	    !ws_member_amount(o, "sizeGb", &s->image_gb))
		return false;
	if (!ws_decode_allowed_types(o, s) ||
	    !ws_member_string(o, "hall", s->zone, sizeof(s->zone), true) ||
	    !ws_member_bool(o, "samePlace", &s->one_zone) ||
	    !ws_member_bool(o, "spread", &s->spread) ||
	    !ws_member_bool(o, "reclaimable", &s->spot) ||
	    !ws_member_amount(o, "expectedS", &s->estimate_s) ||
	    !ws_member_amount(o, "snapshotEveryS", &s->checkpoint_s) ||
	    !ws_member_amount(o, "snapshotS", &s->save_s))
		return false;
	s->deadline_s = -1;
	return !ws_member_set(o, "dueS") || ws_member_amount(o, "dueS", &s->deadline_s);
}

int ws_decode_job(const char *body, size_t len, struct ws_spec *spec)
{
	struct ws_json o;

	memset(spec, 0, sizeof(*spec));
	return ws_json_read(body, len, &o) && ws_decode_spec(o, spec) ? 0 : 400;
}

static bool ws_address(struct ws_json o, char *host, size_t n, int *port)
{
	char text[80], *colon;

	*port = 0;
	host[0] = 0;
	if (!ws_member_string(o, "address", text, sizeof(text), true))
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

static bool ws_decode_task(struct ws_json o, struct ws_task_report *t)
{
	static const char *const states[] = {"pulling", "running", "flushing", "exited", "waiting"};
	static const char *const whys[] = {"",	   "done",    "stopped",    "error",	 "full",
					   "busy", "no_such", "mates_gone", "incomplete"};
	const int nstates = sizeof(states) / sizeof(states[0]);
	const int nwhys = sizeof(whys) / sizeof(whys[0]);
	char text[WS_NAME_MAX], *slash, *end;
	unsigned long n;
	int i;

	if (!ws_json_is_object(o) || !ws_member_string(o, "shard", text, sizeof(text), false) ||
	    !ws_member_uint(o, "tryNo", &t->attempt))
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
	if (!ws_member_string(o, "phase", text, sizeof(text), false))
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
		if (!ws_member_string(o, "cause", text, sizeof(text), true))
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

static bool ws_decode_report_json(struct ws_json o, struct ws_report *r)
{
	struct ws_json_elements elements;
	struct ws_json task;
	size_t count;

	memset(r, 0, sizeof(*r));
	if (!ws_json_is_object(o) ||
	    !ws_member_string(o, "host", r->machine, sizeof(r->machine), false) ||
	    !ws_address(o, r->host, sizeof(r->host), &r->port) ||
	    !ws_member_string(o, "flavour", r->type, sizeof(r->type), false) ||
	    !ws_member_string(o, "hall", r->zone, sizeof(r->zone), false) ||
	    !ws_member_bool(o, "reclaimable", &r->spot) ||
	    !ws_member_uint(o, "tenure", &r->tenure) || r->tenure < 1 ||
	    !ws_member_uint(o, "counter", &r->counter) || !ws_member_uint(o, "epoch", &r->epoch))
		return false;
	r->notice_s = -1;
	if (ws_member_set(o, "warningS") && !ws_member_amount(o, "warningS", &r->notice_s))
		return false;
	if (!ws_member_array(o, "shards", &elements, &count))
		return false;
	r->tasks = calloc(count + 1, sizeof(*r->tasks));
	if (!r->tasks)
		return false;
	while (ws_json_next(&elements, &task)) {
		if (!ws_decode_task(task, &r->tasks[r->ntasks])) {
			ws_report_free(r);
			return false;
		}
		r->ntasks++;
	}
	return true;
}

bool ws_decode_report(const char *body, size_t len, struct ws_report *r)
{
	struct ws_json o;

	return ws_json_read(body, len, &o) && ws_decode_report_json(o, r);
}

void ws_report_free(struct ws_report *r)
{
	free(r->tasks);
	r->tasks = NULL;
	r->ntasks = 0;
}

/* ---- answers of the state service that carry records: these live on ---- */

static bool ws_record_stamp(json_t *o, const char *key, uint64_t *to)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*to = (uint64_t)json_integer_value(v);
	return true;
}

static bool ws_record_key(json_t *o, const char *name, char *to, size_t n)
{
	json_t *v = json_object_get(o, name);
	const char *s = json_string_value(v);
	size_t len = json_string_length(v);

	if (!s || !len || len >= n || strlen(s) != len)
		return false;
	memcpy(to, s, len + 1);
	return true;
}

static bool ws_decode_kv(json_t *o, const char *name, struct ws_kv *kv, bool need_value)
{
	json_t *v;

	memset(kv, 0, sizeof(*kv));
	if (!json_is_object(o) || !ws_record_key(o, name, kv->key, sizeof(kv->key)) ||
	    !ws_record_stamp(o, "stamp", &kv->stamp))
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

static bool ws_decode_records(const struct ws_call *call, json_t *o, struct ws_result *r)
{
	if (call->kind == WS_CALL_GET) {
		r->kvs = calloc(1, sizeof(*r->kvs));
		if (!r->kvs || !ws_decode_kv(o, "k", r->kvs, true))
			return false;
		r->nkvs = 1;
		return !strcmp(r->kvs->key, call->key);
	}
	r->more = json_is_true(json_object_get(o, "hasNext"));
	if (!ws_record_stamp(o, "ledgerRev", &r->rev))
		return false;
	return call->kind == WS_CALL_LIST ? ws_decode_kvs(json_object_get(o, "entries"), r, false)
					  : ws_decode_kvs(json_object_get(o, "news"), r, true);
}

/* ---- all other answers ---- */

static bool ws_decode_type(struct ws_json o, struct ws_type *t)
{
	struct ws_json_elements zones;
	struct ws_json zone;
	size_t count;
	char name[WS_NAME_MAX];

	if (!ws_member_string(o, "name", t->name, sizeof(t->name), false) ||
	    !ws_member_amount(o, "vcpus", &t->cpus) || t->cpus <= 0 ||
	    !ws_member_amount(o, "memGb", &t->mem) || !ws_member_amount(o, "rate", &t->price) ||
	    !ws_member_amount(o, "startupS", &t->boot_s))
		return false;
	if (!ws_member_amount(o, "accelerators", &t->gpus))
		t->gpus = 0;
	if (!ws_member_amount(o, "spotPrice", &t->spot_price))
		t->spot_price = t->price;
	if (!ws_member_amount(o, "localGb", &t->local_gb))
		t->local_gb = 0;
	if (!ws_member_amount(o, "fetchGbPerS", &t->fetch_gb_s))
		t->fetch_gb_s = 0;
	if (!ws_member_array(o, "halls", &zones, &count))
		return false;
	while (ws_json_next(&zones, &zone)) {
		if (!ws_element_name(zone, name))
			return false;
		if (t->nzones < WS_MAX_ALLOWED)
			strcpy(t->zones[t->nzones++], name);
	}
	return true;
}

static bool ws_decode_types(struct ws_json o, struct ws_result *r)
{
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_array(o, "flavours", &elements, &count) || !count)
		return false;
	r->types = calloc(count, sizeof(*r->types));
	if (!r->types)
		return false;
	while (ws_json_next(&elements, &type)) {
		if (!ws_decode_type(type, &r->types[r->ntypes]))
			return false;
		r->ntypes++;
	}
	return true;
}

static bool ws_decode_host(struct ws_json o, struct ws_host *h)
{
	char phase[WS_NAME_MAX];

	if (!ws_member_string(o, "nameId", h->name, sizeof(h->name), false) ||
	    !ws_address(o, h->host, sizeof(h->host), &h->port) ||
	    !ws_member_string(o, "flavour", h->type, sizeof(h->type), false) ||
	    !ws_member_string(o, "hall", h->zone, sizeof(h->zone), false) ||
	    !ws_member_bool(o, "reclaimable", &h->spot) ||
	    !ws_member_string(o, "phase", phase, sizeof(phase), false))
		return false;
	if (!ws_member_amount(o, "ageS", &h->age_s))
		h->age_s = 0;
	h->phase = !strcmp(phase, "failed")    ? WS_HOST_FAILED
		   : !strcmp(phase, "running") ? WS_HOST_RUNNING
					       : WS_HOST_STARTING;
	return true;
}

/* The cloud's machines: whole entries, or of a rental their names alone. */
static bool ws_decode_hosts(struct ws_json o, struct ws_result *r, bool names)
{
	struct ws_json_elements elements;
	struct ws_json host;
	size_t count;

	if (!ws_member_array(o, "hosts", &elements, &count))
		return false;
	r->hosts = calloc(count + 1, sizeof(*r->hosts));
	if (!r->hosts)
		return false;
	while (ws_json_next(&elements, &host)) {
		struct ws_host *h = &r->hosts[r->nhosts];

		if (names ? !ws_element_name(host, h->name) || !h->name[0]
			  : !ws_decode_host(host, h))
			return false;
		r->nhosts++;
	}
	return true;
}

static bool ws_decode_orders_answer(struct ws_json o, struct ws_result *r)
{
	r->report = calloc(1, sizeof(*r->report));
	if (r->report && ws_decode_report_json(o, r->report))
		return true;
	free(r->report);
	r->report = NULL;
	return false;
}

static bool ws_decode_ok(const struct ws_call *call, struct ws_json o, struct ws_result *r)
{
	switch (call->kind) {
	case WS_CALL_TXN: return ws_member_uint(o, "ledgerRev", &r->rev);
	case WS_CALL_HOLD_NEW: return ws_member_uint(o, "permit", &r->hold);
	case WS_CALL_TYPES: return ws_decode_types(o, r);
	case WS_CALL_HOSTS:
		if (!ws_member_bool(o, "hasNext", &r->more))
			r->more = false;
		return ws_decode_hosts(o, r, false);
	case WS_CALL_RENT: return ws_decode_hosts(o, r, true);
	case WS_CALL_ORDERS: return ws_decode_orders_answer(o, r);
	default: return true;
	}
}

/* The keys whose revisions had moved, of a transaction that was not carried out. */
static void ws_decode_failed_keys(struct ws_json o, struct ws_result *r)
{
	struct ws_json_elements elements;
	struct ws_json key;
	const char *text;
	size_t count, len;

	if (!ws_member_array(o, "failed", &elements, &count))
		return;
	r->failed = calloc(count + 1, sizeof(*r->failed));
	while (r->failed && ws_json_next(&elements, &key))
		if (ws_json_string(key, &text, &len))
			snprintf(r->failed[r->nfailed++], WS_KEY_MAX, "%s", text);
}

static bool ws_no_capacity(struct ws_json o)
{
	char error[WS_NAME_MAX];

	return ws_member_string(o, "error", error, sizeof(error), false) &&
	       !strcmp(error, "no capacity");
}

static bool ws_carries_records(const struct ws_call *call)
{
	return call->kind == WS_CALL_GET || call->kind == WS_CALL_LIST ||
	       call->kind == WS_CALL_WATCH;
}

/* Answers whose status says it all. */
static bool ws_plain_answer(const struct ws_call *call)
{
	return call->kind == WS_CALL_HOLD_EXTEND || call->kind == WS_CALL_HOLD_DROP ||
	       call->kind == WS_CALL_RETURN;
}

static void ws_decode_records_reply(const struct ws_call *call, const char *body, size_t len,
				    struct ws_result *r)
{
	/* amounts too large for a double, duplicate keys and deep nesting are malformed too */
	json_t *o = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);

	if (!json_is_object(o) || !ws_decode_records(call, o, r))
		ws_result_free(r); /* answered, but who knows what was done */
	json_decref(o);
}

void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t len,
		     struct ws_result *r)
{
	bool done = status == 200 || (status == 409 && call->kind == WS_CALL_ORDERS);
	struct ws_json o;

	memset(r, 0, sizeof(*r));
	r->status = status;
	if (status <= 0 || (done && ws_plain_answer(call)))
		return;
	if (ws_carries_records(call)) {
		if (done)
			ws_decode_records_reply(call, body, len, r);
		return;
	}
	bool read = ws_json_read(body, len, &o) && ws_json_is_object(o);

	if (done) {
		if (!read || !ws_decode_ok(call, o, r))
			ws_result_free(r); /* answered, but who knows what was done */
	} else if (read && status == 409 && call->kind == WS_CALL_TXN) {
		ws_decode_failed_keys(o, r);
	} else if (read && status == 503 && call->kind == WS_CALL_RENT) {
		r->no_capacity = ws_no_capacity(o);
	}
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
