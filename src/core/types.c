/* Machine types: read from the cloud, or as an earlier leader wrote them down. */
#include "requests.h"

const struct ws_type *ws_type_find(const struct ws_core *c, const char *name)
{
	for (size_t i = 0; i < c->ntypes; i++)
		if (!strcmp(c->types[i].name, name))
			return &c->types[i];
	return NULL;
}

bool ws_type_fits(const struct ws_type *t, const struct ws_spec *s)
{
	bool ok = s->ntypes == 0, zone = !s->zone[0];

	for (size_t i = 0; i < s->ntypes && !ok; i++)
		ok = !strcmp(s->types[i], t->name);
	for (size_t i = 0; i < t->nzones && !zone; i++)
		zone = !strcmp(t->zones[i], s->zone);
	return ok && zone && s->cpus <= t->cpus + 1e-9 && s->gpus <= t->gpus + 1e-9 &&
	       s->mem <= t->mem + 1e-9;
}

static void ws_types_record(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	c->types_asked = false;
	if (r->status == 200 && r->nkvs == 1 && !c->ntypes)
		c->ntypes = ws_record_read_types(r->kvs[0].value, c->types);
	c->types_edition++;
	if (!c->ntypes)
		c->types_next = c->now + c->set->report_s / 2;
}

static void ws_types_cloud(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)call;
	if (r->status == 200 && r->ntypes) {
		for (size_t i = 0; i < r->ntypes; i++) {
			const struct ws_type *have = ws_type_find(c, r->types[i].name);

			if (have) /* prices move; pointers to types stay good */
				c->types[have - c->types] = r->types[i];
			else if (c->ntypes < WS_MAX_TYPES)
				c->types[c->ntypes++] = r->types[i];
			else
				ws_log(c, WS_LOG_ERROR, "machine type %s is left out: %d are kept",
				       r->types[i].name, WS_MAX_TYPES);
		}
		c->types_edition++;
		c->types_asked = false;
		c->types_next = c->now + c->set->lease_s * 8;
		c->place_wanted = true;
		return;
	}
	if (!c->ntypes) { /* the cloud is down: an earlier leader wrote them down */
		struct ws_call *g = ws_call(c, WS_CALL_GET, ws_types_record);

		snprintf(g->key, sizeof(g->key), "types");
		return;
	}
	c->types_asked = false;
	c->types_next = c->now + c->set->lease_s;
}

/* They are needed before anything can be decided. */
void ws_types_tick(struct ws_core *c)
{
	if (c->types_asked || c->now < c->types_next || (c->ntypes && c->role != WS_LEADER))
		return;
	c->types_asked = true;
	ws_call(c, WS_CALL_TYPES, ws_types_cloud);
}
