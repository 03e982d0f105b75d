/* The state service: keys, holds, watches. */
#include "sim_parts.h"

static void history(struct sim *s, const char *key, json_t *v)
{
	if (s->nhist == s->hist_cap) {
		s->hist_cap = s->hist_cap ? 2 * s->hist_cap : 256;
		s->hist = realloc(s->hist, s->hist_cap * sizeof(*s->hist));
	}
	snprintf(s->hist[s->nhist].key, WS_KEY_MAX, "%s", key);
	s->hist[s->nhist].value = json_incref(v);
	s->hist[s->nhist++].stamp = s->rev;
}

void sim_kv_put(struct sim *s, const char *key, json_t *v, uint64_t hold)
{
	struct sim_kv *k;

	HASH_FIND_STR(s->kv, key, k);
	if (!v) {
		if (!k)
			return;
		history(s, key, NULL); /* key may be the entry's own */
		HASH_DEL(s->kv, k);
		json_decref(k->value);
		free(k);
		return;
	}
	if (!k) {
		k = calloc(1, sizeof(*k));
		snprintf(k->key, sizeof(k->key), "%s", key);
		HASH_ADD_STR(s->kv, key, k);
	} else {
		json_decref(k->value);
	}
	k->value = json_deep_copy(v);
	k->stamp = s->rev;
	k->hold = hold;
	history(s, key, k->value);
}

void sim_hold_end(struct sim *s, struct sim_hold *h)
{
	struct sim_kv *k, *t;

	h->live = false;
	HASH_ITER (hh, s->kv, k, t)
		if (k->hold == h->id) {
			s->rev++;
			sim_kv_put(s, k->key, NULL, 0);
		}
}

static struct sim_hold *hold_find(struct sim *s, uint64_t id)
{
	return id && id <= (uint64_t)s->nholds && s->holds[id - 1].live ? &s->holds[id - 1] : NULL;
}

static int by_key(struct sim_kv *a, struct sim_kv *b)
{
	return strcmp(a->key, b->key);
}

static void copy_kv(struct ws_result *r, const char *key, json_t *v, uint64_t stamp)
{
	r->kvs = realloc(r->kvs, (r->nkvs + 1) * sizeof(*r->kvs));
	snprintf(r->kvs[r->nkvs].key, WS_KEY_MAX, "%s", key);
	r->kvs[r->nkvs].value = v ? json_deep_copy(v) : NULL;
	r->kvs[r->nkvs++].stamp = stamp;
}

void sim_state_do(struct sim *s, struct ws_call *c, struct ws_result *r)
{
	struct sim_kv *k, *t;
	struct sim_hold *h;
	size_t n;

	r->status = 200;
	s->asked += c->kind == WS_CALL_GET;
	s->changes += c->kind == WS_CALL_TXN && c->paced ? c->nops : 0;
	switch (c->kind) {
	case WS_CALL_GET:
		HASH_FIND_STR(s->kv, c->key, k);
		if (!k)
			r->status = 404;
		else
			copy_kv(r, k->key, k->value, k->stamp);
		break;
	case WS_CALL_LIST:
		HASH_SORT(s->kv, by_key);
		r->rev = s->rev;
		HASH_ITER (hh, s->kv, k, t) {
			if (strncmp(k->key, c->key, strlen(c->key)) ||
			    strcmp(k->key, c->after) <= 0)
				continue;
			if (r->nkvs == 7) { /* small pages, so that paging is at work */
				r->more = true;
				break;
			}
			copy_kv(r, k->key, k->value, k->stamp);
		}
		break;
	case WS_CALL_TXN:
		n = strlen("") + c->nconds;
		r->failed = calloc(n + 1, sizeof(*r->failed));
		for (size_t i = 0; i <= c->nops; i++) {
			size_t len = i < c->nops && c->ops[i].value
					 ? json_dumpb(c->ops[i].value, NULL, 0, JSON_COMPACT)
					 : 0;

			s->written_size += c->paced ? len : 0;
			if (c->nops <= (size_t)s->txn_ops && (double)len <= s->value_kb * 1024)
				continue;
			s->refused_writes++;
			r->status = 400;
			if (!s->lowered)
				sim_fail(s, "a transaction of %zu changes, %zu bytes under %s",
					 c->nops, len, c->ops[i < c->nops ? i : 0].key);
			return;
		}
		for (size_t i = 0; i < c->nconds; i++) {
			HASH_FIND_STR(s->kv, c->conds[i].key, k);
			if ((k ? k->stamp : 0) != c->conds[i].stamp)
				strcpy(r->failed[r->nfailed++], c->conds[i].key);
		}
		for (size_t i = 0; i < c->nops; i++)
			if (c->ops[i].hold && !hold_find(s, c->ops[i].hold)) {
				r->status = 400;
				return;
			}
		if (r->nfailed) {
			r->status = 409;
			break;
		}
		if (c->nops)
			s->rev++;
		for (size_t i = 0; i < c->nops; i++) {
			sim_kv_put(s, c->ops[i].key, c->ops[i].value, c->ops[i].hold);
		}
		r->rev = s->rev;
		break;
	case WS_CALL_HOLD_NEW:
		if (s->nholds == (int)(sizeof(s->holds) / sizeof(s->holds[0]))) {
			sim_fail(s, "too many holds");
			break;
		}
		h = &s->holds[s->nholds++];
		*h = (struct sim_hold){(uint64_t)s->nholds, c->ms / 1000.0, s->now + c->ms / 1000.0,
				       true};
		r->hold = h->id;
		break;
	case WS_CALL_HOLD_EXTEND:
		if ((h = hold_find(s, c->hold)))
			h->until = s->now + h->ttl;
		else
			r->status = 404;
		break;
	case WS_CALL_HOLD_DROP:
		if ((h = hold_find(s, c->hold)))
			sim_hold_end(s, h);
		else
			r->status = 404;
		break;
	default: break;
	}
}

bool sim_watch_ready(struct sim *s, struct ws_call *c, struct ws_result *r)
{
	r->rev = s->rev;
	for (size_t i = 0; i < s->nhist; i++)
		if (s->hist[i].stamp > c->since && !strncmp(s->hist[i].key, c->key, strlen(c->key)))
			copy_kv(r, s->hist[i].key, s->hist[i].value, s->hist[i].stamp);
	r->status = 200;
	return r->nkvs > 0;
}
